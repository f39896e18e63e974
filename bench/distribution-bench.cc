#include "bench-main.h"
#include "figcleat/core/overloaded.h"
#include "figcleat/distribution/replica.h"
#include "figcleat/wire/codec.h"

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <memory>
#include <queue>

using namespace figcleat;
using namespace figcleat::distribution;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr std::size_t fileBytes = 46'000;
/** Envelope of the mailbox with nng, TCP and IP headers. */
constexpr std::size_t headerBytes = 128;
constexpr duration tickPeriod = milliseconds(50);
constexpr duration changePeriod = milliseconds(std::chrono::hours(24)) / 760;
constexpr duration repairTimeout = milliseconds(250);
constexpr duration beatPeriod = milliseconds(500);

using index_t = std::size_t;
using file = std::shared_ptr<const agreed::configuration_in_force>;

/** Entries come first, in turn from each data centre, so that the first five are voters in different ones. */
struct layout
{
    std::string name;
    std::size_t entries = 0;
    std::size_t targets = 0;
    std::size_t dataCentres = 0;

    [[nodiscard]] std::size_t size() const
    {
        return entries + targets;
    }
    [[nodiscard]] std::size_t dataCentreOf(index_t node) const
    {
        return (node < entries ? node : node - entries) % dataCentres;
    }
};

std::size_t bytesOf(const replica_action &action)
{
    return headerBytes
        + std::visit(overloaded { [](const in_force & /*held*/) { return std::size_t { 0 }; },
                                  [](const auto &held) { return encode(held.message).size(); } },
                     action);
}

/** Runs the real replica of one process. */
class gossip_node
{
public:
    using message = replica_event;
    struct sent
    {
        index_t to;
        message what;
        std::size_t bytes;
    };

    gossip_node(const layout &plan, index_t self, std::uint64_t seed, const file &first)
        : m_self { std::to_string(self) }
        , m_replica(settingsOf(plan, self, seed), *first)
    {
    }
    [[nodiscard]] std::vector<sent> commit(const file &next, time_point now)
    {
        return translate(m_replica.step(committed { *next }, now));
    }
    [[nodiscard]] std::vector<sent> onTick(time_point now)
    {
        return translate(m_replica.step(tick {}, now));
    }
    [[nodiscard]] std::vector<sent> receive(index_t /*from*/, const message &what, time_point now)
    {
        return translate(m_replica.step(what, now));
    }
    [[nodiscard]] std::uint64_t revision() const
    {
        return m_replica.configuration().revision.value;
    }

private:
    static replica_settings settingsOf(const layout &plan, index_t self, std::uint64_t seed)
    {
        replica_settings settings;
        settings.self = { std::to_string(self) };
        settings.dataCentre = { std::to_string(plan.dataCentreOf(self)) };
        settings.role = self < plan.entries ? replica_role::entry : replica_role::target;
        settings.seed = seed * 7919 + self;
        for (index_t entry = 0; entry < plan.entries; ++entry) {
            settings.entries.push_back({ { std::to_string(entry) }, { std::to_string(plan.dataCentreOf(entry)) } });
        }
        return settings;
    }
    std::vector<sent> translate(std::vector<replica_action> actions)
    {
        std::vector<sent> out;
        const auto add = [&](const auto &held, const replica_action &action, auto event) {
            event.from = m_self;
            event.message = held.message;
            out.push_back({ std::stoul(held.to.value), std::move(event), bytesOf(action) });
        };
        for (const replica_action &action : actions) {
            std::visit(
                overloaded { [&](const send_heartbeat &held) { add(held, action, heartbeat_received {}); },
                             [&](const send_fetch &held) { add(held, action, fetch_received {}); },
                             [&](const send_decline &held) { add(held, action, decline_received {}); },
                             [&](const send_configuration &held) { add(held, action, configuration_received {}); },
                             [](const in_force & /*held*/) {} },
                action);
        }
        return out;
    }

    peer_address m_self;
    replica m_replica;
};

/**
 * Baseline: entry 0 pushes to the head of each data centre, a head to a tree of degree 4 inside. A push that is not
 * acknowledged is repeated, and after two it also goes to the children of the silent process. Processes send their
 * revision to their parent every 500 ms, so that a late one is found.
 */
class push_node
{
public:
    struct push
    {
        file what;
    };
    /** Also the acknowledgement. */
    struct beat
    {
        std::uint64_t revision = 0;
    };
    using message = std::variant<push, beat>;
    struct sent
    {
        index_t to;
        message what;
        std::size_t bytes;
    };

    push_node(const layout &plan, index_t self, std::uint64_t /*seed*/, const file &first)
        : m_plan(plan)
        , m_self(self)
        , m_parent(parentOf(self))
        , m_held(first)
    {
    }
    [[nodiscard]] std::vector<sent> commit(const file &next, time_point now)
    {
        std::vector<sent> out;
        if (m_self == 0) {
            take(next, now, out);
        }
        return out;
    }
    [[nodiscard]] std::vector<sent> onTick(time_point now)
    {
        std::vector<sent> out;
        for (child &one : m_children) {
            if (one.pushes != 0 && now >= one.nextPush) {
                pushTo(one, now, out);
                adoptChildrenOf(one, out);
            }
        }
        if (m_self != 0 && now >= m_nextBeat) {
            m_nextBeat = now + beatPeriod;
            out.push_back(beatTo(m_parent));
        }
        return out;
    }
    [[nodiscard]] std::vector<sent> receive(index_t from, const message &what, time_point now)
    {
        std::vector<sent> out;
        if (const auto *pushed = std::get_if<push>(&what)) {
            take(pushed->what, now, out);
            out.push_back(beatTo(from));
            return out;
        }
        for (child &one : m_children) {
            if (one.node != from) {
                continue;
            }
            if (std::get<beat>(what).revision >= revision()) {
                one.pushes = 0;
            } else if (one.pushes == 0) {
                pushTo(one, now, out);
            }
        }
        return out;
    }
    [[nodiscard]] std::uint64_t revision() const
    {
        return m_held->revision.value;
    }

private:
    struct child
    {
        index_t node;
        int pushes = 0;
        time_point nextPush {};
    };

    /** Place of a process among those of its data centre, and back. */
    [[nodiscard]] index_t parentOf(index_t node) const
    {
        const std::size_t place = placeOf(node);
        return place == 0 ? 0 : nodeAt(m_plan.dataCentreOf(node), (place - 1) / 4);
    }
    [[nodiscard]] std::size_t entriesOf(std::size_t dataCentre) const
    {
        return (m_plan.entries - dataCentre + m_plan.dataCentres - 1) / m_plan.dataCentres;
    }
    [[nodiscard]] std::size_t placeOf(index_t node) const
    {
        return node < m_plan.entries
            ? node / m_plan.dataCentres
            : entriesOf(m_plan.dataCentreOf(node)) + (node - m_plan.entries) / m_plan.dataCentres;
    }
    [[nodiscard]] index_t nodeAt(std::size_t dataCentre, std::size_t place) const
    {
        const std::size_t entries = entriesOf(dataCentre);
        return place < entries ? dataCentre + place * m_plan.dataCentres
                               : m_plan.entries + dataCentre + (place - entries) * m_plan.dataCentres;
    }
    [[nodiscard]] std::vector<index_t> childrenOf(index_t node) const
    {
        std::vector<index_t> found;
        for (std::size_t other = 0; node == 0 && other < m_plan.dataCentres; ++other) {
            if (other != 0) {
                found.push_back(other);
            }
        }
        for (std::size_t place = placeOf(node) * 4 + 1; place <= placeOf(node) * 4 + 4; ++place) {
            if (const index_t at = nodeAt(m_plan.dataCentreOf(node), place); at < m_plan.size()) {
                found.push_back(at);
            }
        }
        return found;
    }
    void take(const file &next, time_point now, std::vector<sent> &out)
    {
        if (next->revision.value <= revision()) {
            return;
        }
        m_held = next;
        m_children.clear();
        for (const index_t node : childrenOf(m_self)) {
            m_children.push_back({ node });
            pushTo(m_children.back(), now, out);
        }
    }
    void pushTo(child &one, time_point now, std::vector<sent> &out)
    {
        ++one.pushes;
        one.nextPush = now + repairTimeout * std::min(one.pushes, 8);
        out.push_back({ one.node, push { m_held }, fileBytes + headerBytes });
    }
    void adoptChildrenOf(const child &silent, std::vector<sent> &out)
    {
        if (silent.pushes != 3) {
            return;
        }
        for (const index_t node : childrenOf(silent.node)) {
            out.push_back({ node, push { m_held }, fileBytes + headerBytes });
        }
    }
    [[nodiscard]] sent beatTo(index_t to) const
    {
        return { to, beat { revision() }, headerBytes + encode(heartbeat {}).size() };
    }

    layout m_plan;
    index_t m_self;
    index_t m_parent;
    file m_held;
    std::vector<child> m_children;
    time_point m_nextBeat {};
};

/** Delivers each message after 1.5 ms, loses 1% of them, and counts bytes. */
template<typename Node>
class network
{
public:
    network(const layout &plan, std::uint64_t seed)
        : plan(plan)
        , m_random(seed)
        , m_held(std::make_shared<agreed::configuration_in_force>(
              agreed::configuration_in_force { { 1 }, 1, std::string(fileBytes, 'f'), {}, {} }))
        , m_bytes(plan.size())
        , m_depth(plan.size())
        , reachedAt(plan.size())
    {
        for (index_t node = 0; node < plan.size(); ++node) {
            m_nodes.emplace_back(plan, node, seed, m_held);
            m_events.push({ now + below(tickPeriod), m_order++, node, node, nullptr });
        }
    }

    /** Three of the voters 0 to 4, a quorum, apply the next file; they are in at most two data centres of three. */
    void change()
    {
        auto next = std::make_shared<agreed::configuration_in_force>(*m_held);
        next->revision.value += 1;
        next->number += 1;
        m_held = next;
        for (const index_t voter : { 0, 1, 3 }) {
            const std::uint64_t before = m_nodes[voter].revision();
            post(voter, m_nodes[voter].commit(next, now));
            note(voter, voter, before);
        }
    }
    void run(duration length)
    {
        const time_point end = now + length;
        while (!m_events.empty() && m_events.top().at < end) {
            const event next = m_events.top();
            m_events.pop();
            now = next.at;
            handle(next);
        }
        now = end;
    }
    void clearBytes()
    {
        std::ranges::fill(m_bytes, 0);
    }
    /** Mean and maximum over the processes of bytes sent and received each second. */
    [[nodiscard]] std::pair<double, double> bytesPerSecond(duration length) const
    {
        const double time = std::chrono::duration<double>(length).count();
        double sum = 0;
        for (const std::size_t bytes : m_bytes) {
            sum += static_cast<double>(bytes);
        }
        return { sum / time / static_cast<double>(m_bytes.size()),
                 static_cast<double>(*std::ranges::max_element(m_bytes)) / time };
    }
    [[nodiscard]] bool isCurrent(index_t node) const
    {
        return m_nodes[node].revision() == m_held->revision.value;
    }
    [[nodiscard]] int maxDepth() const
    {
        return *std::ranges::max_element(m_depth);
    }

    layout plan;
    std::optional<index_t> frozen;
    std::optional<std::size_t> cut;
    time_point now { std::chrono::hours(1) };

private:
    struct event
    {
        time_point at;
        std::uint64_t order;
        index_t from;
        index_t to;
        /** Null for a tick. */
        std::shared_ptr<const typename Node::message> what;
        bool operator<(const event &other) const
        {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };

    duration below(duration bound)
    {
        return duration(std::uniform_int_distribution<std::int64_t>(0, bound.count() - 1)(m_random));
    }
    void handle(const event &next)
    {
        if (!next.what) {
            m_events.push({ next.at + tickPeriod, m_order++, next.to, next.to, nullptr });
        }
        if (frozen == next.to) {
            // Messages to a process that is paused are read when it resumes.
            if (next.what) {
                m_events.push({ next.at + tickPeriod, m_order++, next.from, next.to, next.what });
            }
            return;
        }
        const std::uint64_t before = m_nodes[next.to].revision();
        post(next.to, next.what ? m_nodes[next.to].receive(next.from, *next.what, now) : m_nodes[next.to].onTick(now));
        note(next.from, next.to, before);
    }
    void post(index_t from, const std::vector<typename Node::sent> &messages)
    {
        for (const auto &one : messages) {
            m_bytes[from] += one.bytes;
            const bool isCut = cut && (plan.dataCentreOf(from) == *cut) != (plan.dataCentreOf(one.to) == *cut);
            if (isCut || m_random() % 100 == 0) {
                continue;
            }
            m_bytes[one.to] += one.bytes;
            m_events.push({ now + std::chrono::microseconds(1500), m_order++, from, one.to,
                            std::make_shared<const typename Node::message>(one.what) });
        }
    }
    void note(index_t from, index_t node, std::uint64_t before)
    {
        if (m_nodes[node].revision() != before) {
            reachedAt[node] = now;
            m_depth[node] = from == node ? 0 : m_depth[from] + 1;
        }
    }

    std::mt19937_64 m_random;
    file m_held;
    std::vector<Node> m_nodes;
    std::vector<std::size_t> m_bytes;
    std::vector<int> m_depth;
    std::priority_queue<event> m_events;
    std::uint64_t m_order = 0;

public:
    std::vector<time_point> reachedAt;
};

/** Times from `start` until 50, 95 and 100 in 100 of the processes that count have the file. */
template<typename Node, typename Counts>
void printSpread(const char *what, const network<Node> &net, time_point start, Counts counts)
{
    std::vector<double> times;
    std::size_t missing = 0;
    for (index_t node = 0; node < net.plan.size(); ++node) {
        if (!counts(node)) {
            continue;
        }
        if (net.isCurrent(node)) {
            times.push_back(std::chrono::duration<double, std::milli>(net.reachedAt[node] - start).count());
        } else {
            ++missing;
        }
    }
    if (times.empty()) {
        std::printf("    %-34s reached none, missing %zu\n", what, missing);
        return;
    }
    std::ranges::sort(times);
    const auto at = [&](std::size_t percent) { return times[(times.size() - 1) * percent / 100]; };
    std::printf("    %-34s 50%% %7.1f ms  95%% %7.1f ms  100%% %7.1f ms  %4.1f rounds  depth %2d  missing %zu  %s\n",
                what, at(50), at(95), at(100), at(100) / 500, net.maxDepth(), missing,
                missing == 0 && at(100) <= 4000 ? "within 4 s" : "ABOVE 4 s");
}

template<typename Node>
void printBytes(const char *what, const network<Node> &net, duration length)
{
    const auto [mean, most] = net.bytesPerSecond(length);
    std::printf("    %-34s mean %7.0f  maximum %7.0f bytes/s a node%s\n", what, mean, most,
                length < seconds(60) ? ""
                    : most <= 23'000 ? "  within 23 KB/s"
                                     : "  ABOVE 23 KB/s");
}

template<typename Node>
void measure(const char *name, const layout &plan, std::uint64_t seed)
{
    std::printf("  %s, %s\n", plan.name.c_str(), name);
    network<Node> net(plan, seed);
    const auto everyone = [](index_t /*node*/) { return true; };
    net.run(seconds(5));
    net.clearBytes();
    net.run(seconds(60));
    printBytes("idle", net, seconds(60));

    net.clearBytes();
    time_point start = net.now;
    net.change();
    net.run(seconds(10));
    printSpread("change", net, start, everyone);
    printBytes("the 10 s after a change", net, seconds(10));
    net.run(changePeriod - seconds(10));
    printBytes("760 changes a day", net, changePeriod);

    // Node 1 is the head of a data centre in the tree, and a voter that freezes just after it announces the change.
    // Node 5 is no voter; with 8 data centres it is the head of one.
    for (const index_t frozen : { 1, 5 }) {
        start = net.now;
        net.change();
        net.frozen = frozen;
        net.run(seconds(10));
        printSpread(frozen == 1 ? "change, node 1 frozen" : "change, node 5 frozen", net, start,
                    [&](index_t node) { return node != frozen; });
        net.frozen.reset();
        start = net.now;
        net.run(changePeriod - seconds(10));
    }
    printSpread("node 5 resumes", net, start, [](index_t node) { return node == 5; });

    const std::size_t away = plan.dataCentres - 1;
    net.cut = away;
    net.run(seconds(5));
    start = net.now;
    net.change();
    net.run(seconds(30));
    printSpread("change, one data centre cut off", net, start,
                [&](index_t node) { return plan.dataCentreOf(node) != away; });
    net.cut.reset();
    start = net.now;
    net.run(seconds(10));
    printSpread("the data centre returns", net, start, [&](index_t node) { return plan.dataCentreOf(node) == away; });
}

int measureAll(const bench::arguments &given)
{
    std::printf(
        "distribution measure, seed %llu: file of %zu bytes, 1.5 ms one way, 1%% loss; bytes sent and received\n",
        static_cast<unsigned long long>(given.seed), fileBytes);
    for (const layout &plan : { layout { "8 entries and 15 targets in 3 data centres", 8, 15, 3 },
                                layout { "360 entries and 600 targets in 8 data centres", 360, 600, 8 } }) {
        measure<gossip_node>("gossip with pull", plan, given.seed);
        measure<push_node>("push tree", plan, given.seed);
    }
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    return bench::run(argc, argv, "distribution-bench", { { "measure", measureAll } });
}
