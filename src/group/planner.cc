#include "figcleat/group/planner.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <optional>

namespace figcleat::group
{

namespace
{

constexpr rank_number noRank = std::numeric_limits<rank_number>::max();
constexpr std::uint32_t noExpert = std::numeric_limits<std::uint32_t>::max();
/** Least loaded ranks that are tried as targets of each change. */
constexpr std::size_t targetsTried = 4;
/** Single changes that come this near to an even load need no help from packing anew. */
constexpr double nearlyEven = 1.03;
/** An unevenness that keeps most replicas in place when a layer is packed anew. */
constexpr double keepTolerance = 0.1;
/** Bound on the changes after packing anew, which is near to its end already. */
constexpr std::size_t changesAfterRepack = 32;

/** A change of one layer. */
struct change
{
    std::uint32_t expert = noExpert;
    rank_number to = noRank;
    /** Rank that gives the expert up; noRank for a further replica. */
    rank_number from = noRank;
    /** Expert that `to` gives up to have a free slot. */
    std::uint32_t evicted = noExpert;
    /** In an exchange `from` takes the evicted expert, otherwise another replica of it remains. */
    bool exchange = false;

    [[nodiscard]] int loadedReplicas() const
    {
        return exchange ? 2 : 1;
    }
};

/** Placement of one layer in a form that is quick to change. */
class layer_state
{
public:
    /** @param present what the ranks hold now; `map` is where the changes begin. */
    layer_state(const layer_load &load, const layer_map &present, const layer_map &map, const plan_limits &limits,
                rank_number ranks)
        : m_load(load.tokensPerSecond)
        , m_limits(limits)
        , m_present(present)
        , m_holders(map.replicas)
        , m_held(ranks)
        , m_loads(ranks, 0)
        , m_rank(rankLoads(load, map, limits, ranks))
    {
        for (std::uint32_t expert = 0; expert < m_holders.size(); ++expert) {
            for (const auto rank : m_holders[expert]) {
                m_held[rank].push_back(expert);
                m_loads[rank] += isLoaded(expert, rank) ? 0 : 1;
            }
        }
    }

    [[nodiscard]] double busiest() const
    {
        return *std::max_element(m_rank.begin(), m_rank.end());
    }
    [[nodiscard]] const std::vector<std::vector<rank_number>> &holders() const
    {
        return m_holders;
    }

    /** The change that lowers the busiest rank most for its bytes, or none if no change does. */
    [[nodiscard]] std::optional<change> best();
    void apply(const change &what);

private:
    [[nodiscard]] double share(std::uint32_t expert) const
    {
        return m_load[expert] / static_cast<double>(m_holders[expert].size());
    }
    [[nodiscard]] double slowness(rank_number rank) const
    {
        return m_limits.timePerToken.empty() ? 1.0 : m_limits.timePerToken[rank];
    }
    [[nodiscard]] bool holds(rank_number rank, std::uint32_t expert) const
    {
        return std::find(m_held[rank].begin(), m_held[rank].end(), expert) != m_held[rank].end();
    }
    [[nodiscard]] bool isLoaded(std::uint32_t expert, rank_number rank) const
    {
        return std::binary_search(m_present.replicas[expert].begin(), m_present.replicas[expert].end(), rank);
    }
    [[nodiscard]] bool mayLoad(std::uint32_t expert, rank_number rank) const
    {
        return m_limits.loadsPerRank == 0 || isLoaded(expert, rank) || m_loads[rank] < m_limits.loadsPerRank;
    }
    [[nodiscard]] bool hasFreeSlot(rank_number rank) const
    {
        return m_held[rank].size() < m_limits.slotsPerRank;
    }
    [[nodiscard]] std::vector<rank_number> targets(rank_number busiest) const;
    void tryChange(const change &what, std::optional<change> &best, double &bestScore);
    void tryEvictions(change what, std::optional<change> &best, double &bestScore);
    /** Calls use(rank, difference) for each rank whose load the change alters. */
    template<typename Use>
    void differences(const change &what, Use use) const;
    void addHolder(std::uint32_t expert, rank_number rank);
    void removeHolder(std::uint32_t expert, rank_number rank);

    const std::vector<double> &m_load;
    const plan_limits &m_limits;
    const layer_map &m_present;
    std::vector<std::vector<rank_number>> m_holders;
    std::vector<std::vector<std::uint32_t>> m_held;
    /** Experts that each rank has to load. */
    std::vector<std::size_t> m_loads;
    std::vector<double> m_rank;
    double m_busiest = 0;
    std::vector<std::pair<rank_number, double>> m_scratch;
};

template<typename Use>
void layer_state::differences(const change &what, Use use) const
{
    const auto &holders = m_holders[what.expert];
    const double before = share(what.expert);
    if (what.from != noRank) {
        use(what.from, -before);
        use(what.to, before);
    } else {
        const double after = m_load[what.expert] / static_cast<double>(holders.size() + 1);
        for (const auto rank : holders) {
            use(rank, after - before);
        }
        use(what.to, after);
    }
    if (what.evicted == noExpert) {
        return;
    }
    const double evicted = share(what.evicted);
    use(what.to, -evicted);
    if (what.exchange) {
        use(what.from, evicted);
        return;
    }
    const auto &others = m_holders[what.evicted];
    const double grown = m_load[what.evicted] / static_cast<double>(others.size() - 1);
    for (const auto rank : others) {
        if (rank != what.to) {
            use(rank, grown - evicted);
        }
    }
}

std::vector<rank_number> layer_state::targets(rank_number busiest) const
{
    std::vector<rank_number> order;
    for (rank_number rank = 0; rank < m_rank.size(); ++rank) {
        if (rank != busiest && (m_limits.excluded.empty() || !m_limits.excluded[rank])) {
            order.push_back(rank);
        }
    }
    const auto count = std::min(targetsTried, order.size());
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count), order.end(),
                      [this](rank_number a, rank_number b) { return m_rank[a] < m_rank[b]; });
    order.resize(count);
    return order;
}

std::optional<change> layer_state::best()
{
    const auto top = static_cast<rank_number>(std::max_element(m_rank.begin(), m_rank.end()) - m_rank.begin());
    m_busiest = m_rank[top];
    std::optional<change> found;
    double score = 0;
    const auto candidates = targets(top);
    for (const auto expert : m_held[top]) {
        for (const auto to : candidates) {
            if (holds(to, expert) || !mayLoad(expert, to)) {
                continue;
            }
            for (const rank_number from : { noRank, top }) {
                const change what { expert, to, from, noExpert, false };
                if (hasFreeSlot(to)) {
                    tryChange(what, found, score);
                } else {
                    tryEvictions(what, found, score);
                }
            }
        }
    }
    return found;
}

void layer_state::tryEvictions(change what, std::optional<change> &best, double &bestScore)
{
    for (const auto evicted : m_held[what.to]) {
        what.evicted = evicted;
        what.exchange = false;
        if (m_holders[evicted].size() > 1) {
            tryChange(what, best, bestScore);
        }
        if (what.from != noRank && !holds(what.from, evicted) && mayLoad(evicted, what.from)) {
            what.exchange = true;
            tryChange(what, best, bestScore);
        }
    }
}

/** The score is the distance by which every rank that the change touches stays below the busiest one, per replica. */
void layer_state::tryChange(const change &what, std::optional<change> &best, double &bestScore)
{
    m_scratch.clear();
    differences(what, [this](rank_number rank, double difference) {
        const auto known = std::find_if(m_scratch.begin(), m_scratch.end(),
                                        [rank](const auto &entry) { return entry.first == rank; });
        if (known != m_scratch.end()) {
            known->second += difference;
        } else {
            m_scratch.emplace_back(rank, difference);
        }
    });
    double highest = 0;
    for (const auto &[rank, difference] : m_scratch) {
        highest = std::max(highest, m_rank[rank] + difference * slowness(rank));
    }
    const double score = (m_busiest - highest) / what.loadedReplicas();
    // A gain below a thousandth of the busiest rank is within the noise of the counts.
    if (score > std::max(bestScore, m_busiest * 1e-3)) {
        bestScore = score;
        best = what;
    }
}

void layer_state::apply(const change &what)
{
    differences(what, [this](rank_number rank, double difference) { m_rank[rank] += difference * slowness(rank); });
    if (what.evicted != noExpert) {
        removeHolder(what.evicted, what.to);
        if (what.exchange) {
            addHolder(what.evicted, what.from);
        }
    }
    if (what.from != noRank) {
        removeHolder(what.expert, what.from);
    }
    addHolder(what.expert, what.to);
}

void layer_state::addHolder(std::uint32_t expert, rank_number rank)
{
    auto &holders = m_holders[expert];
    holders.insert(std::lower_bound(holders.begin(), holders.end(), rank), rank);
    m_held[rank].push_back(expert);
    m_loads[rank] += isLoaded(expert, rank) ? 0 : 1;
}

void layer_state::removeHolder(std::uint32_t expert, rank_number rank)
{
    std::erase(m_holders[expert], rank);
    std::erase(m_held[rank], expert);
    m_loads[rank] -= isLoaded(expert, rank) ? 0 : 1;
}

/**
 * Packs the replicas of one layer anew. With a tolerance it keeps a replica where it is as long as its rank stays below
 * a limit; without, it packs the largest first and then gives each set of experts to the rank that holds most of it.
 */
class repacking
{
public:
    repacking(const layer_load &load, const layer_map &map, const plan_limits &limits, rank_number ranks,
              double tolerance)
        : m_load(load.tokensPerSecond)
        , m_map(map)
        , m_limits(limits)
        , m_ranks(ranks)
        , m_tolerance(tolerance)
        , m_copies(load.tokensPerSecond.size())
        , m_share(load.tokensPerSecond.size())
        , m_grown(load.tokensPerSecond.size())
        , m_rank(ranks, 0)
        , m_used(ranks, 0)
    {
    }

    /** Empty if the replicas do not fit. */
    [[nodiscard]] layer_map run()
    {
        chooseCopies();
        std::vector<std::uint32_t> order(m_load.size());
        std::iota(order.begin(), order.end(), 0U);
        std::stable_sort(order.begin(), order.end(), [this](auto a, auto b) { return share(a) > share(b); });
        layer_map result { std::vector<std::vector<rank_number>>(m_load.size()) };
        const double limit = (1 + m_tolerance) * std::max(share(order.front()), fairLoad());
        for (const auto expert : order) {
            if (!place(expert, limit, result.replicas[expert])) {
                return {};
            }
        }
        if (m_tolerance == 0) {
            relabel(result);
        }
        return result;
    }

private:
    [[nodiscard]] double share(std::uint32_t expert) const
    {
        return m_share[expert];
    }
    [[nodiscard]] double slowness(rank_number rank) const
    {
        return m_limits.timePerToken.empty() ? 1.0 : m_limits.timePerToken[rank];
    }
    [[nodiscard]] double fairLoad() const
    {
        double capacity = 0;
        for (rank_number rank = 0; rank < m_ranks; ++rank) {
            capacity += 1 / slowness(rank);
        }
        return std::accumulate(m_load.begin(), m_load.end(), 0.0) / capacity;
    }
    /** Adds copies of the expert with the largest share, from spare slots or from one whose share stays lower. */
    void chooseCopies()
    {
        for (std::uint32_t expert = 0; expert < m_load.size(); ++expert) {
            setCopies(expert, m_map.replicas[expert].size());
        }
        const std::size_t slots = m_ranks * m_limits.slotsPerRank;
        std::size_t used = std::accumulate(m_copies.begin(), m_copies.end(), std::size_t { 0 });
        for (std::size_t round = 0; round < 2 * slots; ++round) {
            const auto hottest = hottestExpert();
            if (m_copies[hottest] >= m_ranks) {
                return;
            }
            if (used < slots) {
                ++used;
            } else if (const auto giver = cheapestGiver(); m_grown[giver] < share(hottest) / (1 + m_tolerance)) {
                setCopies(giver, m_copies[giver] - 1);
            } else {
                return;
            }
            setCopies(hottest, m_copies[hottest] + 1);
        }
    }
    [[nodiscard]] std::uint32_t hottestExpert() const
    {
        return static_cast<std::uint32_t>(std::max_element(m_share.begin(), m_share.end()) - m_share.begin());
    }
    void setCopies(std::uint32_t expert, std::size_t copies)
    {
        m_copies[expert] = copies;
        m_share[expert] = m_load[expert] / static_cast<double>(copies);
        m_grown[expert]
            = copies > 1 ? m_load[expert] / static_cast<double>(copies - 1) : std::numeric_limits<double>::max();
    }
    /** The expert whose share stays lowest after it gives a copy up. */
    [[nodiscard]] std::uint32_t cheapestGiver() const
    {
        return static_cast<std::uint32_t>(std::min_element(m_grown.begin(), m_grown.end()) - m_grown.begin());
    }
    [[nodiscard]] bool place(std::uint32_t expert, double limit, std::vector<rank_number> &holders)
    {
        const auto fits = [&](rank_number rank) {
            return m_used[rank] < m_limits.slotsPerRank
                && std::find(holders.begin(), holders.end(), rank) == holders.end();
        };
        for (const auto rank : m_map.replicas[expert]) {
            if (m_tolerance > 0 && holders.size() < m_copies[expert] && fits(rank)
                && m_rank[rank] + share(expert) * slowness(rank) <= limit) {
                put(expert, rank, holders);
            }
        }
        while (holders.size() < m_copies[expert]) {
            rank_number chosen = noRank;
            double least = std::numeric_limits<double>::max();
            for (rank_number rank = 0; rank < m_ranks; ++rank) {
                const double loaded = m_rank[rank] + share(expert) * slowness(rank);
                const bool allowed = m_limits.excluded.empty() || !m_limits.excluded[rank];
                if (loaded < least && allowed && fits(rank)) {
                    chosen = rank;
                    least = loaded;
                }
            }
            if (chosen == noRank) {
                return false;
            }
            put(expert, chosen, holders);
        }
        std::sort(holders.begin(), holders.end());
        return true;
    }
    /** Renames ranks so that as many replicas as possible stay; only ranks of equal speed can take each other's set. */
    void relabel(layer_map &packed) const
    {
        std::vector<std::size_t> common(std::size_t { m_ranks } * m_ranks, 0);
        for (std::size_t expert = 0; expert < packed.replicas.size(); ++expert) {
            for (const auto from : packed.replicas[expert]) {
                for (const auto to : m_map.replicas[expert]) {
                    common[std::size_t { from } * m_ranks + to] += slowness(from) == slowness(to) ? 1 : 0;
                }
            }
        }
        std::vector<std::size_t> pairs;
        for (std::size_t pair = 0; pair < common.size(); ++pair) {
            if (common[pair] > 0) {
                pairs.push_back(pair);
            }
        }
        std::stable_sort(pairs.begin(), pairs.end(), [&](auto a, auto b) { return common[a] > common[b]; });
        const auto names = matchNames(pairs);
        for (auto &holders : packed.replicas) {
            for (auto &rank : holders) {
                rank = names[rank];
            }
            std::sort(holders.begin(), holders.end());
        }
    }
    /** Gives every rank a name: the pairs in order as far as both are free, then any free name of equal speed. */
    [[nodiscard]] std::vector<rank_number> matchNames(const std::vector<std::size_t> &pairs) const
    {
        std::vector<rank_number> names(m_ranks, noRank);
        std::vector<bool> taken(m_ranks, false);
        const auto give = [&](rank_number from, rank_number to) {
            if (names[from] == noRank && !taken[to] && slowness(from) == slowness(to)) {
                names[from] = to;
                taken[to] = true;
            }
        };
        for (const auto pair : pairs) {
            give(static_cast<rank_number>(pair / m_ranks), static_cast<rank_number>(pair % m_ranks));
        }
        for (rank_number from = 0; from < m_ranks; ++from) {
            for (rank_number to = 0; to < m_ranks && names[from] == noRank; ++to) {
                give(from, to);
            }
        }
        return names;
    }
    void put(std::uint32_t expert, rank_number rank, std::vector<rank_number> &holders)
    {
        holders.push_back(rank);
        m_rank[rank] += share(expert) * slowness(rank);
        ++m_used[rank];
    }

    const std::vector<double> &m_load;
    const layer_map &m_map;
    const plan_limits &m_limits;
    rank_number m_ranks;
    double m_tolerance;
    std::vector<std::size_t> m_copies;
    std::vector<double> m_share;
    /** Share of an expert with one copy less. */
    std::vector<double> m_grown;
    std::vector<double> m_rank;
    std::vector<std::size_t> m_used;
};

/** A possible next placement of one layer: `changes` changes made to one of its starting points. */
struct trade_point
{
    std::size_t start = 0;
    std::size_t changes = 0;
    std::size_t replicas = 0;
    double gainSeconds = 0;
};

/** Placements from which changes are made: the present one, and it packed anew. */
struct starting_point
{
    layer_map map;
    std::vector<change> changes;
};

struct layer_plan
{
    std::vector<starting_point> starts;
    std::vector<trade_point> points;
    /** Points with rising replicas and falling gain per replica. */
    std::vector<trade_point> hull;
    std::size_t taken = 0;
};

double gainOver(double stepShare, double driftPerSecond, const plan_limits &limits)
{
    const double longest = std::chrono::duration<double>(limits.maxMapLifetime).count();
    // Drift eats the gain at its own rate, so a gain g lasts g / drift and is worth half of that on average.
    const double lasting = driftPerSecond > 0 ? stepShare / (2 * driftPerSecond) : longest;
    return stepShare * std::min(longest, lasting);
}

/** Keeps the upper concave hull of the points, so that each further segment gains less per replica. */
std::vector<trade_point> hullOf(std::vector<trade_point> points)
{
    std::sort(points.begin(), points.end(), [](const trade_point &a, const trade_point &b) {
        return a.replicas != b.replicas ? a.replicas < b.replicas : a.gainSeconds > b.gainSeconds;
    });
    const auto slope = [](const trade_point &a, const trade_point &b) {
        return (b.gainSeconds - a.gainSeconds) / static_cast<double>(b.replicas - a.replicas);
    };
    std::vector<trade_point> hull;
    for (const auto &next : points) {
        if (!hull.empty() && (next.replicas == hull.back().replicas || next.gainSeconds <= hull.back().gainSeconds)) {
            continue;
        }
        while (hull.size() > 1 && slope(hull[hull.size() - 2], hull.back()) <= slope(hull.back(), next)) {
            hull.pop_back();
        }
        hull.push_back(next);
    }
    return hull;
}

/** Sum over layers of the busiest rank's load; the step time is proportional to it. */
double totalBusiest(const std::vector<layer_load> &loads, const expert_map &map, const plan_limits &limits)
{
    double total = 0;
    for (std::size_t layer = 0; layer < loads.size(); ++layer) {
        const auto ranks = rankLoads(loads[layer], map.layers[layer], limits, map.ranks);
        total += *std::max_element(ranks.begin(), ranks.end());
    }
    return total;
}

/** What a layer gains, in seconds of serving time, when its busiest rank gets a given load. */
class layer_gain
{
public:
    layer_gain(double before, double total, const layer_load &load, const plan_limits &limits)
        : m_before(before)
        , m_noise(noiseOf(before, load.sampledSeconds))
        , m_scale(limits.expertShare / total)
        , m_drift(load.driftPerSecond * m_scale * before)
        , m_limits(limits)
    {
    }
    [[nodiscard]] double operator()(double busiest) const
    {
        return gainOver(m_scale * std::max(0.0, m_before - busiest - m_noise), m_drift, m_limits);
    }

private:
    /** Two standard deviations of a count: a smaller gain may be there by chance alone. */
    [[nodiscard]] static double noiseOf(double tokensPerSecond, double seconds)
    {
        return seconds > 0 ? 2 * std::sqrt(tokensPerSecond / seconds) : 0;
    }

    double m_before;
    double m_noise;
    double m_scale;
    double m_drift;
    const plan_limits &m_limits;
};

std::size_t addedReplicas(const layer_map &from, const layer_map &to)
{
    std::size_t added = 0;
    for (std::size_t expert = 0; expert < to.replicas.size(); ++expert) {
        const auto &before = from.replicas[expert];
        for (const auto rank : to.replicas[expert]) {
            added += std::binary_search(before.begin(), before.end(), rank) ? 0 : 1;
        }
    }
    return added;
}

/** No rank has to load more of the layer than it can at once. */
bool loadsFit(const layer_map &from, const layer_map &to, const plan_limits &limits, rank_number ranks)
{
    std::vector<std::size_t> loads(ranks, 0);
    for (std::size_t expert = 0; expert < to.replicas.size(); ++expert) {
        const auto &before = from.replicas[expert];
        for (const auto rank : to.replicas[expert]) {
            loads[rank] += std::binary_search(before.begin(), before.end(), rank) ? 0 : 1;
        }
    }
    return limits.loadsPerRank == 0 || *std::max_element(loads.begin(), loads.end()) <= limits.loadsPerRank;
}

/** Follows the best changes from one starting point; returns the load of the busiest rank at the end. */
double follow(layer_plan &plans, const layer_load &load, const layer_map &present, const layer_map &start,
              std::size_t loaded, const layer_gain &gain, const plan_limits &limits, rank_number ranks)
{
    const std::size_t most = loaded == 0 ? limits.changesPerLayer : changesAfterRepack;
    layer_state state(load, present, start, limits, ranks);
    starting_point followed { start, {} };
    trade_point point { plans.starts.size(), 0, loaded, gain(state.busiest()) };
    plans.points.push_back(point);
    while (followed.changes.size() < most) {
        const auto next = state.best();
        if (!next) {
            break;
        }
        state.apply(*next);
        followed.changes.push_back(*next);
        point.changes = followed.changes.size();
        point.replicas += static_cast<std::size_t>(next->loadedReplicas());
        point.gainSeconds = gain(state.busiest());
        plans.points.push_back(point);
    }
    plans.starts.push_back(std::move(followed));
    return state.busiest();
}

layer_plan planLayer(const layer_load &load, const layer_map &map, const plan_limits &limits, rank_number ranks,
                     double total)
{
    layer_plan result;
    const auto before = rankLoads(load, map, limits, ranks);
    const layer_gain gain(*std::max_element(before.begin(), before.end()), total, load, limits);
    const double reached = follow(result, load, map, map, 0, gain, limits, ranks);
    const double mean = std::accumulate(load.tokensPerSecond.begin(), load.tokensPerSecond.end(), 0.0) / ranks;
    if (reached > mean * nearlyEven) {
        for (const double tolerance : { 0.0, keepTolerance }) {
            const auto packed = repacking(load, map, limits, ranks, tolerance).run();
            if (!packed.replicas.empty() && loadsFit(map, packed, limits, ranks)) {
                follow(result, load, map, packed, addedReplicas(map, packed), gain, limits, ranks);
            }
        }
    }
    result.hull = hullOf(result.points);
    return result;
}

struct segment
{
    std::size_t layer = 0;
    std::size_t end = 0;
    std::size_t replicas = 0;
    double gainSeconds = 0;
};

/** Every segment of every layer, best gain per replica first. */
std::vector<segment> segmentsOf(const std::vector<layer_plan> &plans)
{
    std::vector<segment> segments;
    for (std::size_t layer = 0; layer < plans.size(); ++layer) {
        const auto &hull = plans[layer].hull;
        for (std::size_t i = 1; i < hull.size(); ++i) {
            segments.push_back(
                { layer, i, hull[i].replicas - hull[i - 1].replicas, hull[i].gainSeconds - hull[i - 1].gainSeconds });
        }
    }
    std::stable_sort(segments.begin(), segments.end(), [](const segment &a, const segment &b) {
        return a.gainSeconds * static_cast<double>(b.replicas) > b.gainSeconds * static_cast<double>(a.replicas);
    });
    return segments;
}

void take(const std::vector<segment> &segments, const plan_limits &limits, std::vector<layer_plan> &plans,
          plan_result &result)
{
    const double costPerReplica = limits.loadingSlowdown * limits.storeContentionFactor
        * static_cast<double>(limits.bytesPerExpert.count)
        / static_cast<double>(std::max<std::int64_t>(limits.storeBytesPerSecond.count, 1));
    for (const auto &next : segments) {
        const double cost = costPerReplica * static_cast<double>(next.replicas);
        const byte_count bytes { limits.bytesPerExpert.count * static_cast<std::int64_t>(next.replicas) };
        auto &layer = plans[next.layer];
        if (next.gainSeconds <= cost || layer.taken + 1 != next.end || result.bytes + bytes > limits.byteBudget) {
            continue;
        }
        layer.taken = next.end;
        result.bytes += bytes;
        result.gainSeconds += next.gainSeconds;
        result.costSeconds += cost;
    }
}

} // namespace

std::vector<double> rankLoads(const layer_load &load, const layer_map &map, const plan_limits &limits,
                              rank_number ranks)
{
    std::vector<double> result(ranks, 0);
    for (std::size_t expert = 0; expert < map.replicas.size(); ++expert) {
        const auto &holders = map.replicas[expert];
        const double share = load.tokensPerSecond[expert] / static_cast<double>(holders.size());
        for (const auto rank : holders) {
            result[rank] += share * (limits.timePerToken.empty() ? 1.0 : limits.timePerToken[rank]);
        }
    }
    return result;
}

plan_result plan(const std::vector<layer_load> &loads, const expert_map &map, const plan_limits &limits)
{
    plan_result result;
    const double total = totalBusiest(loads, map, limits);
    if (total <= 0) {
        return result;
    }
    std::vector<layer_plan> plans;
    plans.reserve(loads.size());
    for (std::size_t layer = 0; layer < loads.size(); ++layer) {
        plans.push_back(planLayer(loads[layer], map.layers[layer], limits, map.ranks, total));
    }
    take(segmentsOf(plans), limits, plans, result);
    if (result.bytes == byte_count {}) {
        return result;
    }
    expert_map next = map;
    for (std::size_t layer = 0; layer < loads.size(); ++layer) {
        const auto &chosen = plans[layer].hull[plans[layer].taken];
        const auto &start = plans[layer].starts[chosen.start];
        layer_state state(loads[layer], map.layers[layer], start.map, limits, map.ranks);
        for (std::size_t i = 0; i < chosen.changes; ++i) {
            state.apply(start.changes[i]);
        }
        next.layers[layer].replicas = state.holders();
    }
    // A replica that is added and moved again within the plan is loaded once.
    const auto added = addedReplicasPerRank(map, next);
    result.replicasLoaded = std::accumulate(added.begin(), added.end(), std::size_t { 0 });
    result.bytes = { limits.bytesPerExpert.count * static_cast<std::int64_t>(result.replicasLoaded) };
    result.layers = std::move(next.layers);
    return result;
}

} // namespace figcleat::group
