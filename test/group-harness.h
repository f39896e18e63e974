#pragma once

#include "figcleat/core/invariant.h"
#include "figcleat/core/log.h"
#include "figcleat/group/step-witness.h"
#include "figcleat/group/switch-controller.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>

/** Simulates the rank gates of one group and its controllers in virtual time, with random faults drawn from a seed. */
namespace figcleat::group::harness
{

enum class protocol : std::uint8_t {
    two_phase,
    /** The controller sends the map to all ranks, and each rank uses the map as soon as its engine has loaded it. */
    broadcast,
};

struct run_settings
{
    std::uint64_t seed = 1;
    rank_number ranks = 4;
    protocol kind = protocol::two_phase;
    bool faults = true;
    duration faultDuration = std::chrono::seconds(20);
    /** Time without faults at the end, in which the group has to run steps and complete a switch. */
    duration faultFreeDuration = std::chrono::seconds(12);
    duration stepTime = std::chrono::milliseconds(20);
    duration proposeEvery = std::chrono::seconds(1);
    std::size_t experts = 8;
};

struct run_result
{
    std::map<std::string, std::uint64_t> faults;
    std::uint64_t steps = 0;
    std::uint64_t completed = 0;
    std::uint64_t abandoned = 0;
    std::uint64_t messages = 0;
    /** Steps that a rank began more than one step time after it requested them, while waiting for a decision. */
    std::uint64_t stalledSteps = 0;
    /** The group ran steps and completed a switch after the faults had ended. */
    bool recovered = false;
    /** Text of the invariant violation that ended the run; empty if there was none. */
    std::string violation;
};

class group_run
{
public:
    explicit group_run(const run_settings &settings)
        : m_settings(settings)
        , m_rng(settings.seed)
        , m_nodes(settings.ranks)
        , m_stepChecker(settings.ranks)
    {
    }

    run_result run()
    {
        try {
            for (rank_number rank = 0; rank < m_settings.ranks; ++rank) {
                startNode(rank);
            }
            newController();
            schedule(tickEvery, [this] { tick(); });
            const time_point faultsEndAt = m_now + (m_settings.faults ? m_settings.faultDuration : duration {});
            runUntil(faultsEndAt);
            endFaults();
            const auto steps = m_result.steps;
            const auto completed = m_result.completed;
            runUntil(faultsEndAt + m_settings.faultFreeDuration);
            m_result.recovered = m_result.steps > steps + 50 && m_result.completed > completed;
        } catch (const invariant_violation &problem) {
            m_result.violation = problem.what();
        }
        return m_result;
    }

private:
    static constexpr duration tickEvery = std::chrono::milliseconds(100);
    static constexpr int logNode = 10000;
    static constexpr int controllerNode = 20000;

    struct node
    {
        std::unique_ptr<rank_gate> gate;
        incarnation_id incarnation;
        incarnation_id engine;
        std::set<digest> loaded;
        time_point frozenUntil {};
        std::deque<gate_event> inbox;
        bool stepRequested = false;
        time_point stepRequestedAt {};
        map_status broadcastMap;
    };
    struct controller
    {
        int id = 0;
        switch_controller machine;
        bool alive = true;
        time_point frozenUntil {};
        time_point proposedAt {};
        std::uint64_t version = 0;
    };
    struct event
    {
        time_point at;
        std::uint64_t order = 0;
        std::function<void()> run;
        bool operator<(const event &other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    // Virtual time and random numbers.

    void schedule(duration after, std::function<void()> run)
    {
        m_events.push({ m_now + after, ++m_eventCount, std::move(run) });
    }
    void runUntil(time_point end)
    {
        while (!m_events.empty() && m_events.top().at <= end) {
            const event next = m_events.top();
            m_events.pop();
            m_now = next.at;
            next.run();
        }
        m_now = end;
    }
    std::uint64_t draw(std::uint64_t bound)
    {
        return m_rng() % bound;
    }
    bool chance(std::uint64_t perTenThousand)
    {
        return m_faultsOn && draw(10000) < perTenThousand;
    }
    duration randomDelay(std::uint64_t low, std::uint64_t high)
    {
        return std::chrono::microseconds(low * 1000 + draw((high - low) * 1000 + 1));
    }
    void count(const char *fault)
    {
        ++m_result.faults[fault];
    }

    // Network.

    void transmit(int from, int to, const std::function<void()> &deliver)
    {
        ++m_result.messages;
        if (m_partitionedUntil > m_now && m_partitionSide[from] != m_partitionSide[to]) {
            count("messages dropped by a partition");
            return;
        }
        if (chance(m_lossRate)) {
            count("messages lost");
            return;
        }
        if (chance(300)) {
            count("messages duplicated");
            schedule(randomDelay(1, 400), deliver);
        }
        if (chance(300)) {
            count("messages delayed and reordered");
            schedule(randomDelay(5, 3000), deliver);
            return;
        }
        schedule(randomDelay(1, 3), deliver);
    }
    void sendToRank(int from, rank_number rank, const gate_event &message)
    {
        transmit(from, rank, [this, rank, message] { feed(rank, message); });
    }

    // Ranks.

    void startNode(rank_number rank)
    {
        auto &self = m_nodes[rank];
        self.incarnation = { m_rng() | 1U };
        self.inbox.clear();
        gate_settings settings;
        settings.rank = rank;
        settings.ranks = m_settings.ranks;
        settings.incarnation = self.incarnation;
        self.gate = std::make_unique<rank_gate>(settings);
        self.frozenUntil = m_now;
        startEngine(rank);
    }
    /** Starts an engine with the default map or, in half of the cases, with a map proposed earlier, as if built with
     * it. */
    void startEngine(rank_number rank)
    {
        auto &self = m_nodes[rank];
        self.engine = { m_rng() | 1U };
        const bool useOldMap = !m_contents.empty() && draw(2) == 0;
        const digest start = useOldMap ? m_contents[draw(m_contents.size())] : sha256("default map");
        self.loaded = { start };
        self.stepRequested = false;
        m_stepChecker.removePermit(rank);
        if (m_settings.kind == protocol::broadcast) {
            self.broadcastMap = { {}, start };
        }
        feed(rank, engine_started { self.engine, start });
    }
    void feed(rank_number rank, const gate_event &input)
    {
        auto &self = m_nodes[rank];
        self.inbox.push_back(input);
        drain(rank);
    }
    /** Handles queued events in the order of arrival, unless the process is stalled. */
    void drain(rank_number rank)
    {
        auto &self = m_nodes[rank];
        while (!self.inbox.empty() && m_now >= self.frozenUntil) {
            const gate_event input = self.inbox.front();
            self.inbox.pop_front();
            handle(rank, input);
        }
    }
    void handle(rank_number rank, const gate_event &input)
    {
        auto &self = m_nodes[rank];
        for (const auto &action : self.gate->step(input, m_now)) {
            std::visit([this, rank](const auto &alternative) { execute(rank, alternative); }, action);
        }
    }
    void execute(rank_number rank, const report_status &action)
    {
        for (const auto &known : m_controllers) {
            transmit(rank, known->id,
                     [this, id = known->id, action] { feedController(id, status_received { action.status }); });
        }
    }
    void execute(rank_number rank, const send_peer &action)
    {
        sendToRank(rank, action.to, from_peer { rank, m_nodes[rank].incarnation, action.message });
    }
    void execute(rank_number rank, const load_map &action)
    {
        const auto engine = m_nodes[rank].engine;
        schedule(randomDelay(50, 500), [this, rank, engine, content = action.content] {
            if (m_nodes[rank].engine == engine) {
                m_nodes[rank].loaded.insert(content);
                feed(rank, engine_loaded { content });
            }
        });
    }
    void execute(rank_number rank, const release_map &action)
    {
        m_nodes[rank].loaded.erase(action.content);
    }
    void execute(rank_number rank, const permit_step &action)
    {
        if (m_settings.kind == protocol::two_phase && m_nodes[rank].gate->status().engine != m_nodes[rank].engine) {
            // The engine that requested the step was replaced, and the stalled gate has not processed that event yet.
            return;
        }
        ensure(m_nodes[rank].loaded.contains(action.content), result_code::invariant_one_map,
               "the engine has not loaded the map that the permit names");
        ensure(action.step.value == m_step, result_code::invariant_one_map,
               "permit for a step other than the current one");
        m_stepChecker.recordPermit(rank, action);
        if (m_now - m_nodes[rank].stepRequestedAt > m_settings.stepTime && !m_stepStalled) {
            m_stepStalled = true;
            ++m_result.stalledSteps;
        }
        if (m_stepChecker.isComplete()) {
            schedule(m_settings.stepTime, [this, step = m_step] { finishStep(step); });
        }
    }
    void execute(rank_number /*rank*/, const refused_message & /*action*/)
    {
        count("messages with an old fencing number refused");
    }
    void finishStep(std::uint64_t step)
    {
        // If a rank restarted during the step, all ranks repeat the step.
        if (step != m_step || !m_stepChecker.isComplete()) {
            return;
        }
        ++m_result.steps;
        ++m_step;
        m_stepStalled = false;
        m_stepChecker.startNextStep();
        for (rank_number rank = 0; rank < m_settings.ranks; ++rank) {
            m_nodes[rank].stepRequested = false;
            schedule(randomDelay(0, 2), [this, rank] { requestStep(rank); });
        }
    }
    void requestStep(rank_number rank)
    {
        auto &self = m_nodes[rank];
        if (self.stepRequested || self.engine == incarnation_id {}) {
            return;
        }
        self.stepRequested = true;
        self.stepRequestedAt = m_now;
        if (m_settings.kind == protocol::broadcast) {
            execute(rank, permit_step { { m_step }, self.broadcastMap.id, self.broadcastMap.content });
            return;
        }
        feed(rank, step_requested { { m_step } });
    }

    // Controllers and the replicated log.

    void newController()
    {
        m_controllers.push_back(std::make_shared<controller>(controller {
            controllerNode + static_cast<int>(m_controllers.size()), switch_controller(controllerSettings()) }));
        if (m_controllers.size() > 3) {
            m_controllers.erase(m_controllers.begin());
        }
        auto &created = *m_controllers.back();
        created.id = controllerNode + m_controllersMade++;
        m_partitionSide[created.id] = m_partitionSide[0];
        created.proposedAt = m_now - m_settings.proposeEvery + std::chrono::seconds(1);
        m_log.issue(m_log.fence().next());
        feedController(created.id, control_acquired { m_log.fence(), m_log.last() });
    }
    controller_settings controllerSettings() const
    {
        controller_settings settings;
        settings.ranks = m_settings.ranks;
        settings.prepareTimeout = std::chrono::seconds(3);
        return settings;
    }
    std::shared_ptr<controller> findController(int id)
    {
        for (const auto &known : m_controllers) {
            if (known->id == id) {
                return known;
            }
        }
        return nullptr;
    }
    void feedController(int id, const controller_event &input)
    {
        const auto self = findController(id);
        if (!self || !self->alive) {
            return;
        }
        if (m_now < self->frozenUntil) {
            schedule(self->frozenUntil - m_now, [this, id, input] { feedController(id, input); });
            return;
        }
        const auto before = self->machine.currentPhase();
        auto actions = self->machine.step(input, m_now);
        const auto after = self->machine.currentPhase();
        // The controller may be killed at every change of phase, with only some of its actions executed.
        if (before != after && chance(400)) {
            static const char *const names[]
                = { "idle", "preparing", "holding", "recording", "distributing", "deposed" };
            count((std::string("controllers killed on entering ") + names[static_cast<int>(after)]).c_str());
            actions.resize(draw(actions.size() + 1));
            self->alive = false;
        }
        for (const auto &action : actions) {
            std::visit([this, id](const auto &alternative) { execute(id, alternative); }, action);
        }
    }
    void execute(int id, const send_rank &action)
    {
        sendToRank(id, action.to, from_controller { action.message });
    }
    void execute(int id, const record_decision &action)
    {
        transmit(id, logNode, [this, id, action] {
            record_outcome outcome = m_log.record(action.result);
            if (chance(500)) {
                count("records with an unknown outcome");
                outcome = record_outcome::unknown;
            }
            transmit(logNode, id, [this, id, action, outcome] {
                feedController(id, record_result { action.result.id, outcome });
            });
        });
    }
    void execute(int /*id*/, const switch_completed & /*action*/)
    {
        ++m_result.completed;
    }
    void execute(int /*id*/, const switch_abandoned & /*action*/)
    {
        ++m_result.abandoned;
    }
    void execute(int /*id*/, const proposal_refused & /*action*/)
    {
    }
    void execute(int /*id*/, const deposed & /*action*/)
    {
    }
    void propose(controller &self)
    {
        expert_map map { {}, m_settings.ranks, {} };
        layer_map layer;
        for (std::size_t expert = 0; expert < m_settings.experts; ++expert) {
            layer.replicas.push_back({ static_cast<rank_number>(draw(m_settings.ranks)) });
        }
        map.layers = { layer };
        m_contents.push_back(contentDigest(map));
        if (m_settings.kind == protocol::broadcast) {
            return proposeByBroadcast(self, contentDigest(map));
        }
        feedController(self.id, propose_map { map.layers });
    }
    void proposeByBroadcast(controller &self, const digest &content)
    {
        const switch_id id { m_log.fence(), { ++self.version } };
        ++m_result.completed;
        for (rank_number rank = 0; rank < m_settings.ranks; ++rank) {
            transmit(self.id, rank, [this, rank, id, content] {
                schedule(randomDelay(50, 500), [this, rank, id, content] {
                    m_nodes[rank].loaded.insert(content);
                    m_nodes[rank].broadcastMap = std::max(m_nodes[rank].broadcastMap, map_status { id, content },
                                                          [](const auto &a, const auto &b) { return a.id < b.id; });
                });
            });
        }
    }

    // Periodic work and faults.

    void tick()
    {
        for (rank_number rank = 0; rank < m_settings.ranks; ++rank) {
            feed(rank, gate_tick {});
            requestStep(rank);
        }
        const auto controllers = m_controllers;
        for (const auto &known : controllers) {
            feedController(known->id, controller_tick {});
            if (known->alive && m_now >= known->frozenUntil && m_now >= known->proposedAt + m_settings.proposeEvery) {
                known->proposedAt = m_now;
                propose(*known);
            }
        }
        if (!m_controllers.back()->alive && draw(10) == 0) {
            newController();
        }
        injectFaults();
        schedule(tickEvery, [this] { tick(); });
    }
    void injectFaults()
    {
        const auto rank = static_cast<rank_number>(draw(m_settings.ranks));
        if (chance(80)) {
            count("ranks killed");
            killNode(rank);
        }
        if (chance(15)) {
            count("whole groups killed");
            for (rank_number each = 0; each < m_settings.ranks; ++each) {
                killNode(each);
            }
        }
        if (chance(80)) {
            count("engines restarted with a default or old map");
            startEngine(rank);
        }
        if (chance(100)) {
            count("ranks stalled");
            m_nodes[rank].frozenUntil = std::max(m_nodes[rank].frozenUntil, m_now + randomDelay(50, 4000));
        }
        injectControllerFaults();
        injectNetworkFaults();
    }
    void injectControllerFaults()
    {
        auto &latest = *m_controllers.back();
        if (chance(60)) {
            count("controllers frozen and replaced");
            latest.frozenUntil = m_now + randomDelay(200, 6000);
            newController();
        }
        if (chance(40)) {
            count("second controllers started while one was running");
            newController();
        }
        if (chance(20)) {
            count("controllers killed at any time");
            m_controllers.back()->alive = false;
        }
    }
    void injectNetworkFaults()
    {
        if (m_partitionedUntil <= m_now && chance(100)) {
            count("network partitions");
            m_partitionedUntil = m_now + randomDelay(200, 6000);
            // The log may be on either side, so a partition can also separate the whole group from the quorum.
            const bool keepGroupTogether = draw(3) == 0;
            for (rank_number each = 0; each < m_settings.ranks; ++each) {
                m_partitionSide[each] = keepGroupTogether ? 0 : static_cast<int>(draw(2));
            }
            for (const auto &known : m_controllers) {
                m_partitionSide[known->id] = static_cast<int>(draw(2));
            }
            m_partitionSide[logNode] = static_cast<int>(draw(2));
        }
        if (chance(100)) {
            count("periods of heavy loss");
            m_lossRate = 2500;
            schedule(randomDelay(200, 3000), [this] { m_lossRate = 200; });
        }
    }
    void killNode(rank_number rank)
    {
        startNode(rank);
        m_nodes[rank].frozenUntil = m_now + randomDelay(50, 1500);
    }
    void endFaults()
    {
        m_faultsOn = false;
        m_partitionedUntil = m_now;
    }

    run_settings m_settings;
    std::mt19937_64 m_rng;
    run_result m_result;
    time_point m_now { std::chrono::hours(1) };
    std::priority_queue<event> m_events;
    std::uint64_t m_eventCount = 0;
    std::vector<node> m_nodes;
    step_consistency_checker m_stepChecker;
    std::uint64_t m_step = 1;
    bool m_stepStalled = false;
    std::vector<std::shared_ptr<controller>> m_controllers;
    int m_controllersMade = 0;
    decision_register m_log;
    std::vector<digest> m_contents;
    std::map<int, int> m_partitionSide;
    time_point m_partitionedUntil {};
    std::uint64_t m_lossRate = 200;
    bool m_faultsOn = m_settings.faults;
};

} // namespace figcleat::group::harness
