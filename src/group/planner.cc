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
/** Number of least loaded ranks that are tried as the destination of each change. */
constexpr std::size_t destinationsPerChange = 4;
/**
 * Largest ratio of the busiest rank's load to the mean load that single changes may leave behind without the layer
 * being repacked.
 */
constexpr double nearlyEvenSkew = 1.03;
/** Relative load above an even distribution that repacking accepts in order to keep most replicas in place. */
constexpr double repackTolerance = 0.1;
/** Largest number of changes after repacking; few are needed, as a repacked layer is nearly even already. */
constexpr std::size_t changesAfterRepack = 32;

/** A change of the placement of one layer: adds, moves or exchanges a replica. */
struct change
{
    std::uint32_t expert = noExpert;
    rank_number to = noRank;
    /** Rank that drops the expert; noRank if the change adds a replica. */
    rank_number from = noRank;
    /** Expert that `to` drops to free a slot; noExpert if `to` has a free slot. */
    std::uint32_t evicted = noExpert;
    /** True if `from` takes over the evicted expert; if false, another rank keeps a replica of the evicted expert. */
    bool isExchange = false;

    [[nodiscard]] int replicasToLoad() const
    {
        return isExchange ? 2 : 1;
    }
};

/** Placement of one layer with the indexes and rank loads that make changes cheap to evaluate and apply. */
class layer_state
{
public:
    /**
     * @param present placement that the ranks hold now; replicas outside of this placement have to be loaded.
     * @param map placement that the changes start from.
     */
    layer_state(const layer_load &load, const layer_map &present, const layer_map &map, const plan_limits &limits,
                rank_number ranks)
        : m_tokensPerSecond(load.tokensPerSecond)
        , m_limits(limits)
        , m_presentMap(present)
        , m_holders(map.replicas)
        , m_expertsByRank(ranks)
        , m_replicasToLoad(ranks, 0)
        , m_rankLoads(rankLoads(load, map, limits, ranks))
    {
        for (std::uint32_t expert = 0; expert < m_holders.size(); ++expert) {
            for (const auto rank : m_holders[expert]) {
                m_expertsByRank[rank].push_back(expert);
                m_replicasToLoad[rank] += isPresent(expert, rank) ? 0 : 1;
            }
        }
    }

    [[nodiscard]] double busiestLoad() const
    {
        return *std::max_element(m_rankLoads.begin(), m_rankLoads.end());
    }
    [[nodiscard]] const std::vector<std::vector<rank_number>> &holders() const
    {
        return m_holders;
    }

    /** Returns the change that lowers the load of the busiest rank most per loaded replica; empty if none does. */
    [[nodiscard]] std::optional<change> findBestChange();
    void apply(const change &selected);

private:
    [[nodiscard]] double replicaLoad(std::uint32_t expert) const
    {
        return m_tokensPerSecond[expert] / static_cast<double>(m_holders[expert].size());
    }
    [[nodiscard]] double timePerToken(rank_number rank) const
    {
        return m_limits.timePerToken.empty() ? 1.0 : m_limits.timePerToken[rank];
    }
    [[nodiscard]] bool holds(rank_number rank, std::uint32_t expert) const
    {
        return std::find(m_expertsByRank[rank].begin(), m_expertsByRank[rank].end(), expert)
            != m_expertsByRank[rank].end();
    }
    [[nodiscard]] bool isPresent(std::uint32_t expert, rank_number rank) const
    {
        return std::binary_search(m_presentMap.replicas[expert].begin(), m_presentMap.replicas[expert].end(), rank);
    }
    [[nodiscard]] bool canLoad(std::uint32_t expert, rank_number rank) const
    {
        return m_limits.loadsPerRank == 0 || isPresent(expert, rank) || m_replicasToLoad[rank] < m_limits.loadsPerRank;
    }
    [[nodiscard]] bool hasFreeSlot(rank_number rank) const
    {
        return m_expertsByRank[rank].size() < m_limits.slotsPerRank;
    }
    [[nodiscard]] std::vector<rank_number> leastLoadedRanks(rank_number busiest) const;
    void evaluateChange(const change &candidate, std::optional<change> &best, double &bestScore);
    void evaluateEvictions(change candidate, std::optional<change> &best, double &bestScore);
    /**
     * Calls callback(rank, difference) for each difference of load in tokens per second that the change makes; a rank
     * can occur more than once.
     */
    template<typename Callback>
    void forEachLoadDifference(const change &candidate, Callback callback) const;
    void addHolder(std::uint32_t expert, rank_number rank);
    void removeHolder(std::uint32_t expert, rank_number rank);

    const std::vector<double> &m_tokensPerSecond;
    const plan_limits &m_limits;
    const layer_map &m_presentMap;
    std::vector<std::vector<rank_number>> m_holders;
    std::vector<std::vector<std::uint32_t>> m_expertsByRank;
    /** Number of experts that each rank has to load, compared with the present placement. */
    std::vector<std::size_t> m_replicasToLoad;
    std::vector<double> m_rankLoads;
    double m_busiestLoad = 0;
    /** Buffer of evaluateChange(), kept to avoid allocations. */
    std::vector<std::pair<rank_number, double>> m_loadDifferences;
};

template<typename Callback>
void layer_state::forEachLoadDifference(const change &candidate, Callback callback) const
{
    const auto &holders = m_holders[candidate.expert];
    const double loadBefore = replicaLoad(candidate.expert);
    if (candidate.from != noRank) {
        callback(candidate.from, -loadBefore);
        callback(candidate.to, loadBefore);
    } else {
        const double loadAfter = m_tokensPerSecond[candidate.expert] / static_cast<double>(holders.size() + 1);
        for (const auto rank : holders) {
            callback(rank, loadAfter - loadBefore);
        }
        callback(candidate.to, loadAfter);
    }
    if (candidate.evicted == noExpert) {
        return;
    }
    const double evictedLoad = replicaLoad(candidate.evicted);
    callback(candidate.to, -evictedLoad);
    if (candidate.isExchange) {
        callback(candidate.from, evictedLoad);
        return;
    }
    const auto &others = m_holders[candidate.evicted];
    const double loadAfterRemoval = m_tokensPerSecond[candidate.evicted] / static_cast<double>(others.size() - 1);
    for (const auto rank : others) {
        if (rank != candidate.to) {
            callback(rank, loadAfterRemoval - evictedLoad);
        }
    }
}

std::vector<rank_number> layer_state::leastLoadedRanks(rank_number busiest) const
{
    std::vector<rank_number> destinations;
    for (rank_number rank = 0; rank < m_rankLoads.size(); ++rank) {
        if (rank != busiest && (m_limits.excluded.empty() || !m_limits.excluded[rank])) {
            destinations.push_back(rank);
        }
    }
    const auto count = std::min(destinationsPerChange, destinations.size());
    std::partial_sort(destinations.begin(), destinations.begin() + static_cast<std::ptrdiff_t>(count),
                      destinations.end(),
                      [this](rank_number a, rank_number b) { return m_rankLoads[a] < m_rankLoads[b]; });
    destinations.resize(count);
    return destinations;
}

std::optional<change> layer_state::findBestChange()
{
    const auto busiestRank
        = static_cast<rank_number>(std::max_element(m_rankLoads.begin(), m_rankLoads.end()) - m_rankLoads.begin());
    m_busiestLoad = m_rankLoads[busiestRank];
    std::optional<change> found;
    double score = 0;
    const auto destinations = leastLoadedRanks(busiestRank);
    for (const auto expert : m_expertsByRank[busiestRank]) {
        for (const auto to : destinations) {
            if (holds(to, expert) || !canLoad(expert, to)) {
                continue;
            }
            for (const rank_number from : { noRank, busiestRank }) {
                const change candidate { expert, to, from, noExpert, false };
                if (hasFreeSlot(to)) {
                    evaluateChange(candidate, found, score);
                } else {
                    evaluateEvictions(candidate, found, score);
                }
            }
        }
    }
    return found;
}

void layer_state::evaluateEvictions(change candidate, std::optional<change> &best, double &bestScore)
{
    for (const auto evicted : m_expertsByRank[candidate.to]) {
        candidate.evicted = evicted;
        candidate.isExchange = false;
        if (m_holders[evicted].size() > 1) {
            evaluateChange(candidate, best, bestScore);
        }
        if (candidate.from != noRank && !holds(candidate.from, evicted) && canLoad(evicted, candidate.from)) {
            candidate.isExchange = true;
            evaluateChange(candidate, best, bestScore);
        }
    }
}

/**
 * Keeps the candidate if its score is the best so far. The score is the difference between the load of the busiest rank
 * and the highest resulting load among the ranks that the change affects, divided by the number of replicas to load.
 */
void layer_state::evaluateChange(const change &candidate, std::optional<change> &best, double &bestScore)
{
    m_loadDifferences.clear();
    forEachLoadDifference(candidate, [this](rank_number rank, double difference) {
        const auto existing = std::find_if(m_loadDifferences.begin(), m_loadDifferences.end(),
                                           [rank](const auto &entry) { return entry.first == rank; });
        if (existing != m_loadDifferences.end()) {
            existing->second += difference;
        } else {
            m_loadDifferences.emplace_back(rank, difference);
        }
    });
    double highestLoad = 0;
    for (const auto &[rank, difference] : m_loadDifferences) {
        highestLoad = std::max(highestLoad, m_rankLoads[rank] + difference * timePerToken(rank));
    }
    const double score = (m_busiestLoad - highestLoad) / candidate.replicasToLoad();
    // Gains below a thousandth of the busiest rank's load are within the noise of the token counts.
    if (score > std::max(bestScore, m_busiestLoad * 1e-3)) {
        bestScore = score;
        best = candidate;
    }
}

void layer_state::apply(const change &selected)
{
    forEachLoadDifference(selected, [this](rank_number rank, double difference) {
        m_rankLoads[rank] += difference * timePerToken(rank);
    });
    if (selected.evicted != noExpert) {
        removeHolder(selected.evicted, selected.to);
        if (selected.isExchange) {
            addHolder(selected.evicted, selected.from);
        }
    }
    if (selected.from != noRank) {
        removeHolder(selected.expert, selected.from);
    }
    addHolder(selected.expert, selected.to);
}

void layer_state::addHolder(std::uint32_t expert, rank_number rank)
{
    auto &holders = m_holders[expert];
    holders.insert(std::lower_bound(holders.begin(), holders.end(), rank), rank);
    m_expertsByRank[rank].push_back(expert);
    m_replicasToLoad[rank] += isPresent(expert, rank) ? 0 : 1;
}

void layer_state::removeHolder(std::uint32_t expert, rank_number rank)
{
    std::erase(m_holders[expert], rank);
    std::erase(m_expertsByRank[rank], expert);
    m_replicasToLoad[rank] -= isPresent(expert, rank) ? 0 : 1;
}

/**
 * Computes a new placement of all replicas of one layer, largest replica load first. With a tolerance above 0, a
 * replica stays on its rank as long as the load of the rank stays below a limit. With tolerance 0, replicas are placed
 * regardless of the present placement; the resulting sets of experts are then assigned to the ranks that already hold
 * most of them.
 */
class layer_repacker
{
public:
    layer_repacker(const layer_load &load, const layer_map &map, const plan_limits &limits, rank_number ranks,
                   double tolerance)
        : m_tokensPerSecond(load.tokensPerSecond)
        , m_map(map)
        , m_limits(limits)
        , m_ranks(ranks)
        , m_tolerance(tolerance)
        , m_replicaCounts(load.tokensPerSecond.size())
        , m_replicaLoads(load.tokensPerSecond.size())
        , m_replicaLoadsAfterRemoval(load.tokensPerSecond.size())
        , m_rankLoads(ranks, 0)
        , m_usedSlots(ranks, 0)
    {
    }

    /** Returns the new placement; empty if the replicas do not fit into the slots of the allowed ranks. */
    [[nodiscard]] layer_map run()
    {
        chooseReplicaCounts();
        std::vector<std::uint32_t> order(m_tokensPerSecond.size());
        std::iota(order.begin(), order.end(), 0U);
        std::stable_sort(order.begin(), order.end(),
                         [this](auto a, auto b) { return replicaLoad(a) > replicaLoad(b); });
        layer_map result { std::vector<std::vector<rank_number>>(m_tokensPerSecond.size()) };
        const double limit = (1 + m_tolerance) * std::max(replicaLoad(order.front()), evenLoad());
        for (const auto expert : order) {
            if (!placeExpert(expert, limit, result.replicas[expert])) {
                return {};
            }
        }
        if (m_tolerance == 0) {
            permuteRanks(result);
        }
        return result;
    }

private:
    [[nodiscard]] double replicaLoad(std::uint32_t expert) const
    {
        return m_replicaLoads[expert];
    }
    [[nodiscard]] double timePerToken(rank_number rank) const
    {
        return m_limits.timePerToken.empty() ? 1.0 : m_limits.timePerToken[rank];
    }
    [[nodiscard]] double evenLoad() const
    {
        double capacity = 0;
        for (rank_number rank = 0; rank < m_ranks; ++rank) {
            capacity += 1 / timePerToken(rank);
        }
        return std::accumulate(m_tokensPerSecond.begin(), m_tokensPerSecond.end(), 0.0) / capacity;
    }
    /**
     * Repeatedly adds a replica to the expert with the highest load per replica. The slot is a free one or comes from
     * an expert whose load per replica, with one replica less, stays lower by more than the tolerance.
     */
    void chooseReplicaCounts()
    {
        for (std::uint32_t expert = 0; expert < m_tokensPerSecond.size(); ++expert) {
            setReplicaCount(expert, m_map.replicas[expert].size());
        }
        const std::size_t slots = m_ranks * m_limits.slotsPerRank;
        std::size_t used = std::accumulate(m_replicaCounts.begin(), m_replicaCounts.end(), std::size_t { 0 });
        for (std::size_t attempt = 0; attempt < 2 * slots; ++attempt) {
            const auto hottest = hottestExpert();
            if (m_replicaCounts[hottest] >= m_ranks) {
                return;
            }
            if (used < slots) {
                ++used;
            } else if (const auto donor = cheapestDonor();
                       m_replicaLoadsAfterRemoval[donor] < replicaLoad(hottest) / (1 + m_tolerance)) {
                setReplicaCount(donor, m_replicaCounts[donor] - 1);
            } else {
                return;
            }
            setReplicaCount(hottest, m_replicaCounts[hottest] + 1);
        }
    }
    [[nodiscard]] std::uint32_t hottestExpert() const
    {
        return static_cast<std::uint32_t>(std::max_element(m_replicaLoads.begin(), m_replicaLoads.end())
                                          - m_replicaLoads.begin());
    }
    void setReplicaCount(std::uint32_t expert, std::size_t count)
    {
        m_replicaCounts[expert] = count;
        m_replicaLoads[expert] = m_tokensPerSecond[expert] / static_cast<double>(count);
        m_replicaLoadsAfterRemoval[expert] = count > 1 ? m_tokensPerSecond[expert] / static_cast<double>(count - 1)
                                                       : std::numeric_limits<double>::max();
    }
    /** Returns the expert with the lowest load per replica after the removal of one of its replicas. */
    [[nodiscard]] std::uint32_t cheapestDonor() const
    {
        return static_cast<std::uint32_t>(
            std::min_element(m_replicaLoadsAfterRemoval.begin(), m_replicaLoadsAfterRemoval.end())
            - m_replicaLoadsAfterRemoval.begin());
    }
    [[nodiscard]] bool placeExpert(std::uint32_t expert, double limit, std::vector<rank_number> &holders)
    {
        const auto fits = [&](rank_number rank) {
            return m_usedSlots[rank] < m_limits.slotsPerRank
                && std::find(holders.begin(), holders.end(), rank) == holders.end();
        };
        for (const auto rank : m_map.replicas[expert]) {
            if (m_tolerance > 0 && holders.size() < m_replicaCounts[expert] && fits(rank)
                && m_rankLoads[rank] + replicaLoad(expert) * timePerToken(rank) <= limit) {
                placeReplica(expert, rank, holders);
            }
        }
        while (holders.size() < m_replicaCounts[expert]) {
            rank_number chosen = noRank;
            double leastLoad = std::numeric_limits<double>::max();
            for (rank_number rank = 0; rank < m_ranks; ++rank) {
                const double loadAfter = m_rankLoads[rank] + replicaLoad(expert) * timePerToken(rank);
                const bool mayGetReplicas = m_limits.excluded.empty() || !m_limits.excluded[rank];
                if (loadAfter < leastLoad && mayGetReplicas && fits(rank)) {
                    chosen = rank;
                    leastLoad = loadAfter;
                }
            }
            if (chosen == noRank) {
                return false;
            }
            placeReplica(expert, chosen, holders);
        }
        std::sort(holders.begin(), holders.end());
        return true;
    }
    /**
     * Permutes the ranks of the new placement to keep as many replicas as possible where they are. Only ranks with
     * equal time per token can exchange their sets of experts.
     */
    void permuteRanks(layer_map &packed) const
    {
        std::vector<std::size_t> commonReplicas(std::size_t { m_ranks } * m_ranks, 0);
        for (std::size_t expert = 0; expert < packed.replicas.size(); ++expert) {
            for (const auto from : packed.replicas[expert]) {
                for (const auto to : m_map.replicas[expert]) {
                    commonReplicas[std::size_t { from } * m_ranks + to]
                        += timePerToken(from) == timePerToken(to) ? 1 : 0;
                }
            }
        }
        std::vector<std::size_t> pairs;
        for (std::size_t pair = 0; pair < commonReplicas.size(); ++pair) {
            if (commonReplicas[pair] > 0) {
                pairs.push_back(pair);
            }
        }
        std::stable_sort(pairs.begin(), pairs.end(),
                         [&](auto a, auto b) { return commonReplicas[a] > commonReplicas[b]; });
        const auto newRanks = matchRanks(pairs);
        for (auto &holders : packed.replicas) {
            for (auto &rank : holders) {
                rank = newRanks[rank];
            }
            std::sort(holders.begin(), holders.end());
        }
    }
    /**
     * Assigns each rank of the new placement to a rank of the group: first by the pairs, in their order, whose two
     * ranks are still unassigned, then to any unassigned rank with equal time per token.
     *
     * @param pairs pairs of a new and a present rank, each encoded as new * ranks + present.
     */
    [[nodiscard]] std::vector<rank_number> matchRanks(const std::vector<std::size_t> &pairs) const
    {
        std::vector<rank_number> newRanks(m_ranks, noRank);
        std::vector<bool> taken(m_ranks, false);
        const auto assign = [&](rank_number from, rank_number to) {
            if (newRanks[from] == noRank && !taken[to] && timePerToken(from) == timePerToken(to)) {
                newRanks[from] = to;
                taken[to] = true;
            }
        };
        for (const auto pair : pairs) {
            assign(static_cast<rank_number>(pair / m_ranks), static_cast<rank_number>(pair % m_ranks));
        }
        for (rank_number from = 0; from < m_ranks; ++from) {
            for (rank_number to = 0; to < m_ranks && newRanks[from] == noRank; ++to) {
                assign(from, to);
            }
        }
        return newRanks;
    }
    void placeReplica(std::uint32_t expert, rank_number rank, std::vector<rank_number> &holders)
    {
        holders.push_back(rank);
        m_rankLoads[rank] += replicaLoad(expert) * timePerToken(rank);
        ++m_usedSlots[rank];
    }

    const std::vector<double> &m_tokensPerSecond;
    const layer_map &m_map;
    const plan_limits &m_limits;
    rank_number m_ranks;
    double m_tolerance;
    std::vector<std::size_t> m_replicaCounts;
    std::vector<double> m_replicaLoads;
    /** Load per replica of each expert after the removal of one replica; maximum of double for a single replica. */
    std::vector<double> m_replicaLoadsAfterRemoval;
    std::vector<double> m_rankLoads;
    std::vector<std::size_t> m_usedSlots;
};

/** A possible next placement of one layer: the first `changeCount` changes of a starting point, applied to its map. */
struct placement_option
{
    std::size_t startIndex = 0;
    std::size_t changeCount = 0;
    /** Replicas that the ranks have to load. */
    std::size_t replicas = 0;
    double gainSeconds = 0;
};

/** Placement that changes start from, which is the present or a repacked one, with the sequence of changes. */
struct starting_point
{
    layer_map map;
    std::vector<change> changes;
};

struct layer_plan
{
    std::vector<starting_point> startingPoints;
    std::vector<placement_option> options;
    /** Subset of the options with increasing replicas and decreasing marginal gain per replica. */
    std::vector<placement_option> hull;
    /** Index of the selected option on the hull; option 0 loads no replicas. */
    std::size_t selectedOption = 0;
};

/** Serving time in seconds saved by steps that are shorter by the fraction `stepShare`, until drift cancels the gain.
 */
double gainWhileUseful(double stepShare, double driftPerSecond, const plan_limits &limits)
{
    const double maxSeconds = std::chrono::duration<double>(limits.maxMapLifetime).count();
    // Drift reduces a gain g linearly, so g lasts g / drift seconds and averages g / 2 over this time.
    const double driftLimitedSeconds = driftPerSecond > 0 ? stepShare / (2 * driftPerSecond) : maxSeconds;
    return stepShare * std::min(maxSeconds, driftLimitedSeconds);
}

/** Returns the upper concave hull of the options, so that each further hull segment gains less per replica. */
std::vector<placement_option> upperConcaveHull(std::vector<placement_option> options)
{
    std::sort(options.begin(), options.end(), [](const placement_option &a, const placement_option &b) {
        return a.replicas != b.replicas ? a.replicas < b.replicas : a.gainSeconds > b.gainSeconds;
    });
    const auto slope = [](const placement_option &a, const placement_option &b) {
        return (b.gainSeconds - a.gainSeconds) / static_cast<double>(b.replicas - a.replicas);
    };
    std::vector<placement_option> hull;
    for (const auto &next : options) {
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

/** Sum over all layers of the load of the busiest rank; the expert part of the step time is proportional to it. */
double totalBusiestLoad(const std::vector<layer_load> &loads, const expert_map &map, const plan_limits &limits)
{
    double total = 0;
    for (std::size_t layer = 0; layer < loads.size(); ++layer) {
        const auto ranks = rankLoads(loads[layer], map.layers[layer], limits, map.ranks);
        total += *std::max_element(ranks.begin(), ranks.end());
    }
    return total;
}

/** Computes the serving time in seconds that is saved when the busiest rank of a layer gets a given, lower load. */
class layer_gain
{
public:
    layer_gain(double before, double total, const layer_load &load, const plan_limits &limits)
        : m_loadBefore(before)
        , m_noise(countingNoise(before, load.sampledSeconds))
        , m_stepSharePerLoad(limits.expertShare / total)
        , m_driftPerSecond(load.driftPerSecond * m_stepSharePerLoad * before)
        , m_limits(limits)
    {
    }
    [[nodiscard]] double operator()(double busiest) const
    {
        return gainWhileUseful(m_stepSharePerLoad * std::max(0.0, m_loadBefore - busiest - m_noise), m_driftPerSecond,
                               m_limits);
    }

private:
    /** Two standard deviations of the measured rate; a smaller reduction of load may be due to chance. */
    [[nodiscard]] static double countingNoise(double tokensPerSecond, double seconds)
    {
        return seconds > 0 ? 2 * std::sqrt(tokensPerSecond / seconds) : 0;
    }

    double m_loadBefore;
    double m_noise;
    double m_stepSharePerLoad;
    double m_driftPerSecond;
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

/** Checks that no rank has to load more experts of the layer than `loadsPerRank` for the switch. */
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

/**
 * Applies the best changes one after another to the placement `start` and adds an option for each intermediate
 * placement.
 *
 * @param replicasLoaded replicas that have to be loaded for `start` itself; 0 if `start` is the present placement.
 * @return load of the busiest rank after the last change.
 */
double addOptionsFrom(layer_plan &layerPlan, const layer_load &load, const layer_map &present, const layer_map &start,
                      std::size_t replicasLoaded, const layer_gain &gain, const plan_limits &limits, rank_number ranks)
{
    const std::size_t maxChanges = replicasLoaded == 0 ? limits.changesPerLayer : changesAfterRepack;
    layer_state state(load, present, start, limits, ranks);
    starting_point startingPoint { start, {} };
    placement_option option { layerPlan.startingPoints.size(), 0, replicasLoaded, gain(state.busiestLoad()) };
    layerPlan.options.push_back(option);
    while (startingPoint.changes.size() < maxChanges) {
        const auto next = state.findBestChange();
        if (!next) {
            break;
        }
        state.apply(*next);
        startingPoint.changes.push_back(*next);
        option.changeCount = startingPoint.changes.size();
        option.replicas += static_cast<std::size_t>(next->replicasToLoad());
        option.gainSeconds = gain(state.busiestLoad());
        layerPlan.options.push_back(option);
    }
    layerPlan.startingPoints.push_back(std::move(startingPoint));
    return state.busiestLoad();
}

layer_plan planLayer(const layer_load &load, const layer_map &map, const plan_limits &limits, rank_number ranks,
                     double total)
{
    layer_plan result;
    const auto before = rankLoads(load, map, limits, ranks);
    const layer_gain gain(*std::max_element(before.begin(), before.end()), total, load, limits);
    const double reachedLoad = addOptionsFrom(result, load, map, map, 0, gain, limits, ranks);
    const double mean = std::accumulate(load.tokensPerSecond.begin(), load.tokensPerSecond.end(), 0.0) / ranks;
    if (reachedLoad > mean * nearlyEvenSkew) {
        for (const double tolerance : { 0.0, repackTolerance }) {
            const auto packed = layer_repacker(load, map, limits, ranks, tolerance).run();
            if (!packed.replicas.empty() && loadsFit(map, packed, limits, ranks)) {
                addOptionsFrom(result, load, map, packed, addedReplicas(map, packed), gain, limits, ranks);
            }
        }
    }
    result.hull = upperConcaveHull(result.options);
    return result;
}

/** Step from one option on the hull of a layer to the next one. */
struct hull_segment
{
    std::size_t layer = 0;
    /** Index on the hull of the option that the segment leads to. */
    std::size_t endOption = 0;
    std::size_t replicas = 0;
    double gainSeconds = 0;
};

/** Returns the hull segments of all layers, in descending order of gain per replica. */
std::vector<hull_segment> hullSegments(const std::vector<layer_plan> &plans)
{
    std::vector<hull_segment> segments;
    for (std::size_t layer = 0; layer < plans.size(); ++layer) {
        const auto &hull = plans[layer].hull;
        for (std::size_t i = 1; i < hull.size(); ++i) {
            segments.push_back(
                { layer, i, hull[i].replicas - hull[i - 1].replicas, hull[i].gainSeconds - hull[i - 1].gainSeconds });
        }
    }
    std::stable_sort(segments.begin(), segments.end(), [](const hull_segment &a, const hull_segment &b) {
        return a.gainSeconds * static_cast<double>(b.replicas) > b.gainSeconds * static_cast<double>(a.replicas);
    });
    return segments;
}

/** Selects, in the given order, the segments that gain more than loading costs and fit into the byte budget. */
void selectSegments(const std::vector<hull_segment> &segments, const plan_limits &limits,
                    std::vector<layer_plan> &plans, plan_result &result)
{
    const double costPerReplica = limits.loadingSlowdown * limits.storeContentionFactor
        * static_cast<double>(limits.bytesPerExpert.count)
        / static_cast<double>(std::max<std::int64_t>(limits.storeBytesPerSecond.count, 1));
    for (const auto &next : segments) {
        const double cost = costPerReplica * static_cast<double>(next.replicas);
        const byte_count bytes { limits.bytesPerExpert.count * static_cast<std::int64_t>(next.replicas) };
        auto &layer = plans[next.layer];
        if (next.gainSeconds <= cost || layer.selectedOption + 1 != next.endOption
            || result.bytes + bytes > limits.byteBudget) {
            continue;
        }
        layer.selectedOption = next.endOption;
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
        const double replicaLoad = load.tokensPerSecond[expert] / static_cast<double>(holders.size());
        for (const auto rank : holders) {
            result[rank] += replicaLoad * (limits.timePerToken.empty() ? 1.0 : limits.timePerToken[rank]);
        }
    }
    return result;
}

plan_result plan(const std::vector<layer_load> &loads, const expert_map &map, const plan_limits &limits)
{
    plan_result result;
    const double total = totalBusiestLoad(loads, map, limits);
    if (total <= 0) {
        return result;
    }
    std::vector<layer_plan> plans;
    plans.reserve(loads.size());
    for (std::size_t layer = 0; layer < loads.size(); ++layer) {
        plans.push_back(planLayer(loads[layer], map.layers[layer], limits, map.ranks, total));
    }
    selectSegments(hullSegments(plans), limits, plans, result);
    if (result.bytes == byte_count {}) {
        return result;
    }
    expert_map next = map;
    for (std::size_t layer = 0; layer < loads.size(); ++layer) {
        const auto &chosen = plans[layer].hull[plans[layer].selectedOption];
        const auto &start = plans[layer].startingPoints[chosen.startIndex];
        layer_state state(loads[layer], map.layers[layer], start.map, limits, map.ranks);
        for (std::size_t i = 0; i < chosen.changeCount; ++i) {
            state.apply(start.changes[i]);
        }
        next.layers[layer].replicas = state.holders();
    }
    // Counted again from the final map: a replica that several changes of the plan add and move is loaded only once.
    const auto added = addedReplicasPerRank(map, next);
    result.replicasLoaded = std::accumulate(added.begin(), added.end(), std::size_t { 0 });
    result.bytes = { limits.bytesPerExpert.count * static_cast<std::int64_t>(result.replicasLoaded) };
    result.layers = std::move(next.layers);
    return result;
}

} // namespace figcleat::group
