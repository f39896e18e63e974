#include "bench-main.h"

#include "figcleat/core/overloaded.h"
#include "figcleat/daemon/process-message.h"
#include "figcleat/group/map-controller.h"
#include "figcleat/group/report-relay.h"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <deque>
#include <random>

using namespace figcleat;
using namespace figcleat::group;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t sets = 12;
constexpr std::size_t experts = 256;
constexpr std::size_t placements = 13;
constexpr std::size_t dataCentres = 5;
constexpr fence_number fence { 10'001 };
/** Ranks report every 400 ms while nothing changes. */
constexpr int ticksPerReport = 20;

struct traffic
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;

    void add(std::size_t size)
    {
        ++messages;
        bytes += size;
    }
};

double processMs()
{
    return 1000.0 * static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

/**
 * One switch of a group whose agents relay for its controller, without sockets: messages are encoded, counted, and
 * delivered at once. Agent 0 is the controller.
 */
class switch_run
{
public:
    switch_run(rank_number ranks, std::uint64_t seed)
        : m_statuses(ranks)
        , m_next(ranks)
        , m_relays(ranks)
        , m_sent(ranks)
        , m_received(ranks)
        , m_controller({ model(), 1 })
        , m_random(seed)
    {
        std::vector<rank_contact> contacts;
        for (rank_number rank = 0; rank < ranks; ++rank) {
            contacts.push_back({ rank, agent(rank), { "dc-" + std::to_string(rank * dataCentres / ranks) }, "" });
            start(rank, ranks);
        }
        m_plan = planRelays(contacts, agent(0), {});
    }

    void run()
    {
        for (int i = 0; i < 400 && m_controller.switchCount() == 0; ++i) {
            m_now += 20ms;
            for (rank_number rank = 0; i % ticksPerReport == 0 && rank < m_statuses.size(); ++rank) {
                report(rank, true);
            }
            step(map_tick {});
            deliverAll();
            beginStep();
        }
    }

    [[nodiscard]] bool isDone() const
    {
        return m_controller.switchCount() > 0;
    }

    void print() const
    {
        rank_number relay = 1;
        rank_number leaf = 1;
        for (rank_number rank = 1; rank < m_statuses.size(); ++rank) {
            relay = m_sent[rank].bytes > m_sent[relay].bytes ? rank : relay;
            leaf = m_sent[rank].bytes < m_sent[leaf].bytes ? rank : leaf;
        }
        std::printf("  %5zu %9llu %9.1f %9llu %9.1f %9.1f %9.1f %9.1f %9.1f\n", m_statuses.size(),
                    static_cast<unsigned long long>(m_sent[0].messages), kilobytes(m_sent[0]),
                    static_cast<unsigned long long>(m_received[0].messages), kilobytes(m_received[0]),
                    kilobytes(m_sent[relay]), kilobytes(m_received[leaf]), m_controlMs, m_codecMs);
    }

private:
    static group_model model()
    {
        group_model what;
        what.sets = sets;
        what.experts = experts;
        what.slotsPerRank = placements;
        what.spareSlotsPerRank = 2;
        what.bytesPerExpert = { 73'000'000 };
        what.rankLoadBytesPerSecond = { 5'500'000'000 };
        what.expertShare = 0.85;
        return what;
    }

    static peer_address agent(rank_number rank)
    {
        return { "10.1.0." + std::to_string(rank) + ":7340" };
    }

    static rank_number rankOf(const peer_address &who)
    {
        return static_cast<rank_number>(std::stoi(who.value.substr(7)));
    }

    static double kilobytes(const traffic &what)
    {
        return static_cast<double>(what.bytes) / 1000;
    }

    /** A few experts of each set get most of the choices. */
    void start(rank_number rank, rank_number ranks)
    {
        auto &status = m_statuses[rank];
        status.group = { "g" };
        status.epoch = { 1 };
        status.rank = rank;
        status.ranks = ranks;
        status.isOpen = true;
        status.step = { 1 };
        for (std::size_t set = 0; set < sets; ++set) {
            status.experts.emplace_back();
            status.chosen.emplace_back(experts, 0U);
            for (std::uint32_t expert = rank % experts; expert < experts; expert += ranks) {
                status.experts[set].push_back(expert);
            }
            for (std::uint32_t expert = 0; expert < experts; ++expert) {
                status.chosen[set][expert] = 20 + (expert < 8 ? 2000 : 0) + static_cast<std::uint32_t>(m_random() % 10);
            }
        }
    }

    void send(rank_number from, const peer_address &to, process_message message)
    {
        const double begun = processMs();
        const auto bytes = encode(envelope { agent(from), { 1 }, message });
        auto received = decode<envelope>(bytes);
        const auto receiver = rankOf(to);
        m_codecMs += from == 0 || receiver == 0 ? processMs() - begun : 0;
        if (receiver != from) {
            m_sent[from].add(bytes.size());
            m_received[receiver].add(bytes.size());
        }
        m_queue.emplace_back(receiver, std::move(*received));
    }

    void deliverAll()
    {
        while (!m_queue.empty() || relayAll()) {
            auto next = std::move(m_queue.front());
            m_queue.pop_front();
            receive(next.first, next.second);
        }
    }

    /** False if no relay has news. */
    bool relayAll()
    {
        m_now += 10ms;
        for (rank_number rank = 0; rank < m_relays.size(); ++rank) {
            auto collected = m_relays[rank].take({ "g" }, fence, m_now);
            if (!collected.messages.empty() || collected.chosen.sets > 0) {
                send(rank, agent(0), std::move(collected));
            }
        }
        return !m_queue.empty();
    }

    void receive(rank_number rank, const envelope &what)
    {
        std::visit(overloaded {
                       [&](const rank_report &one) { m_relays[rank].add(one, m_now); },
                       [&](const rank_result &one) { m_relays[rank].add(one); },
                       [&](const group_report &one) { learn(one); },
                       [&](const rank_command &one) { carryOut(rank, what.from, one.order); },
                       [&](const multi_rank_command &one) {
                           rank_command single { one.fence, one.order };
                           for (const auto &to : one.to) {
                               single.order.id = to.id;
                               send(rank, to.agent, single);
                           }
                       },
                       [](const auto &) {},
                   },
                   what.message);
    }

    void learn(const group_report &what)
    {
        for (const auto &one : what.messages) {
            std::visit(overloaded {
                           [&](const rank_report &heard) { step(rank_reported { heard.status }); },
                           [&](const rank_result &heard) {
                               step(order_answered { heard.rank, heard.answer });
                           },
                       },
                       one);
        }
        if (what.chosen.sets > 0) {
            step(choices_counted { unpackCounts(what.chosen) });
        }
    }

    void step(const map_event &event)
    {
        const double begun = processMs();
        auto actions = m_controller.step(event, m_now);
        m_controlMs += processMs() - begun;
        for (auto &action : actions) {
            std::visit(overloaded {
                           [&](send_order &one) {
                               send(0, agent(one.rank), rank_command { fence, std::move(one.order) });
                           },
                           [&](const multi_rank_order &one) { spread(one); },
                           [](const map_log_line &) {},
                       },
                       action);
        }
    }

    void spread(const multi_rank_order &order)
    {
        std::map<peer_address, std::vector<order_recipient>> byRelay;
        for (auto to : order.to) {
            to.agent = agent(to.rank);
            byRelay[m_plan.at(to.rank)].push_back(std::move(to));
        }
        for (auto &[relay, to] : byRelay) {
            send(0, relay, multi_rank_command { fence, order.order, std::move(to) });
        }
    }

    void carryOut(rank_number rank, const peer_address &from, const rank_order &order)
    {
        auto &status = m_statuses[rank];
        switch (order.operation) {
        case rank_operation::prepare:
            status.prepared = order.version;
            m_next[rank].clear();
            for (const auto &set : order.map) {
                m_next[rank].push_back(set[rank]);
            }
            break;
        case rank_operation::hold:
            status.held = order.step;
            break;
        case rank_operation::arm:
            status.armed = order.version;
            break;
        case rank_operation::go:
            status.held = {};
            break;
        case rank_operation::disarm:
            status.armed = {};
            break;
        }
        send(rank, from, rank_result { fence, rank, { order.id, order_result::accepted } });
        if (order.operation == rank_operation::prepare || order.operation == rank_operation::go) {
            report(rank, false);
        }
    }

    /** All ranks switch once they are armed and no step is held. */
    void beginStep()
    {
        const bool isSwitch = std::all_of(m_statuses.begin(), m_statuses.end(), [](const auto &one) {
            return one.armed != map_version {} && one.held == step_number {};
        });
        for (rank_number rank = 0; isSwitch && rank < m_statuses.size(); ++rank) {
            auto &status = m_statuses[rank];
            status.map = std::exchange(status.armed, {});
            status.prepared = {};
            status.experts = m_next[rank];
            report(rank, false);
        }
    }

    void report(rank_number rank, bool hasChoices)
    {
        rank_report what { fence, m_statuses[rank], {} };
        what.status.chosen.clear();
        if (hasChoices) {
            what.chosen = packCounts(m_statuses[rank].chosen);
        }
        send(rank, m_plan.at(rank), std::move(what));
    }

    std::vector<engine_rank_status> m_statuses;
    std::vector<expert_lists> m_next;
    std::vector<report_relay> m_relays;
    std::vector<traffic> m_sent;
    std::vector<traffic> m_received;
    map_controller m_controller;
    std::mt19937_64 m_random;
    relay_plan m_plan;
    time_point m_now { 100s };
    std::deque<std::pair<rank_number, envelope>> m_queue;
    double m_controlMs = 0;
    double m_codecMs = 0;
};

int measure(std::uint64_t seed)
{
    std::printf("one switch of a group in %zu data centres, %zu sets of %zu experts, seed %llu; KB on the network,\n"
                "from the reports of choices to the report of the switch; processor time of the controller\n"
                "  %5s %9s %9s %9s %9s %9s %9s %9s %9s\n",
                dataCentres, sets, experts, static_cast<unsigned long long>(seed), "ranks", "sent", "sent KB",
                "received", "rec. KB", "relay KB", "leaf KB", "plan ms", "codec ms");
    for (const rank_number ranks :
         { rank_number { 24 }, rank_number { 64 }, rank_number { 72 }, rank_number { 128 } }) {
        switch_run one(ranks, seed);
        one.run();
        if (!one.isDone()) {
            std::printf("  %5u no switch\n", ranks);
            return 1;
        }
        one.print();
    }
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    return bench::run(argc, argv, "control-bench",
                      { { "measure", [](const bench::arguments &given) { return measure(given.seed); } } });
}
