#include "engine-group.h"
#include "figcleat/group/map-controller.h"

#include <catch2/catch.hpp>
#include <optional>
#include <random>

using namespace figcleat;
using namespace figcleat::group;
using namespace figcleat::group::testing;
using namespace std::chrono_literals;

namespace
{

/** Simulates a group with successive controllers. A share of the orders gets no answer in time and is executed late. */
class group_simulation
{
public:
    group_simulation(std::uint64_t seed, double lateShare)
        : m_group(seed)
        , m_lateShare(lateShare)
    {
        startController();
    }

    /** Replaces the controller by one whose map versions are higher than those of its predecessors. */
    void startController()
    {
        m_firstVersion += 1'000'000;
        m_controller.emplace(map_controller_settings { makeModel(), m_firstVersion });
        m_answers.clear();
        m_timeouts.clear();
    }

    void run(int ticks)
    {
        for (int i = 0; i < ticks; ++i) {
            m_now += 10ms;
            deliverLate();
            for (auto &member : m_group.members()) {
                member.load();
            }
            if (i % m_stepTicks == 0) {
                const auto before = m_group.currentStep();
                m_group.beginStep();
                m_currentHoldTime = m_group.currentStep() == before ? m_currentHoldTime + 10ms * m_stepTicks : 0ms;
                m_totalHoldTime += m_currentHoldTime > 0ms ? 10ms * m_stepTicks : 0ms;
            }
            for (auto &answer : std::exchange(m_answers, {})) {
                act(m_controller->step(answer, m_now));
            }
            while (!m_timeouts.empty() && m_timeouts.begin()->first <= m_now) {
                const auto answer = m_timeouts.extract(m_timeouts.begin()).mapped();
                act(m_controller->step(answer, m_now));
            }
            if (i % 10 == 0) {
                for (auto &member : m_group.members()) {
                    if (m_frozenAgent == member.status.rank) {
                        continue;
                    }
                    const auto report = member.status;
                    member.status.chosen = expert_lists(sets, std::vector<std::uint32_t>(experts, 0));
                    act(m_controller->step(rank_reported { report }, m_now));
                }
            }
            act(m_controller->step(map_tick {}, m_now));
        }
    }

    /**
     * Waits up to 3 s for the end of a hold, as a switch in progress may hold a step for a moment. Returns true if no
     * step is held in the end.
     */
    bool awaitRelease()
    {
        for (int i = 0; i < 300 && m_group.isHeld(); ++i) {
            run(1);
        }
        return !m_group.isHeld();
    }

    void setLoadingTicks(int ticks)
    {
        for (auto &member : m_group.members()) {
            member.loadingTicks = ticks;
        }
    }

    /** Runs for up to 3 s until the controller is in the phase `wanted`; returns whether it is. */
    [[nodiscard]] bool runUntil(map_controller::phase wanted)
    {
        for (int i = 0; i < 300 && m_controller->currentPhase() != wanted; ++i) {
            run(1);
        }
        return m_controller->currentPhase() == wanted;
    }

    /** Number of 10 ms ticks until the skew of the group is at most `skew`; 1000 if that takes longer. */
    [[nodiscard]] int ticksUntilBelow(double skew)
    {
        int ticks = 0;
        for (; ticks < 1000 && m_group.skew() > skew; ++ticks) {
            run(1);
        }
        return ticks;
    }

    void freezeAgent(std::optional<rank_number> rank)
    {
        m_frozenAgent = rank;
    }

    void setStepTicks(int ticks)
    {
        m_stepTicks = ticks;
    }

    /** Mean distance, over all hold orders sent, from the current step of the group to the step to hold. */
    double meanHoldDistance() const
    {
        return static_cast<double>(m_holdDistance) / static_cast<double>(std::max<std::uint64_t>(1, m_holds));
    }

    /**
     * Sets the time after which an unanswered call to an engine fails, for calls by the agent and by the controller.
     */
    void setTimeouts(duration ofAgent, duration direct)
    {
        m_agentTimeout = ofAgent;
        m_directTimeout = direct;
    }

    /** Total time in which holds kept the group from beginning steps. */
    [[nodiscard]] duration totalHoldTime() const
    {
        return m_totalHoldTime;
    }

    /** Drops orders to hold that are sent through the agent of this rank, without an answer. */
    void dropHolds(rank_number rank)
    {
        m_dropsHoldsOf = rank;
    }

    fake_group &group()
    {
        return m_group;
    }

    map_controller &controller()
    {
        return *m_controller;
    }

private:
    struct delayed_order
    {
        rank_number rank = 0;
        rank_order order;
        time_point due {};
    };

    void act(const std::vector<map_action> &actions)
    {
        for (const auto &action : actions) {
            if (const auto *sent = std::get_if<send_order>(&action)) {
                pass(*sent);
            } else if (const auto *spread = std::get_if<multi_rank_order>(&action)) {
                for (const auto &to : spread->to) {
                    send_order single { to.rank, spread->order, false };
                    single.order.id = to.id;
                    single.order.expectedOrders = to.expectedOrders;
                    pass(single);
                }
            }
        }
    }

    void pass(const send_order &sent)
    {
        if (m_frozenAgent == sent.rank && !sent.directly) {
            return;
        }
        const bool isHold = sent.order.operation == rank_operation::hold;
        if (isHold) {
            ++m_holds;
            m_holdDistance += sent.order.step.value - m_group.currentStep().value;
        }
        if (isHold && m_dropsHoldsOf == sent.rank && !sent.directly) {
            return;
        }
        auto &rank = m_group.members()[sent.rank];
        if (std::uniform_real_distribution<double>(0, 1)(m_group.random()) < m_lateShare) {
            const auto delay = std::chrono::milliseconds(m_group.random()() % 4000);
            m_lateOrders.push_back({ sent.rank, sent.order, m_now + delay });
            m_timeouts.emplace(m_now + (sent.directly ? m_directTimeout : m_agentTimeout),
                               order_answered { sent.rank, { sent.order.id, order_result::unknown } });
            return;
        }
        const auto result = rank.carryOut(sent.order, m_group.currentStep());
        m_answers.push_back(order_answered { sent.rank, { sent.order.id, result } });
    }

    void deliverLate()
    {
        std::erase_if(m_lateOrders, [this](const delayed_order &late) {
            if (late.due > m_now) {
                return false;
            }
            (void)m_group.members()[late.rank].carryOut(late.order, m_group.currentStep());
            return true;
        });
    }

    fake_group m_group;
    double m_lateShare;
    time_point m_now { 100s };
    std::uint64_t m_firstVersion = 0;
    std::optional<map_controller> m_controller;
    std::vector<map_event> m_answers;
    std::multimap<time_point, map_event> m_timeouts;
    duration m_agentTimeout {};
    duration m_directTimeout {};
    duration m_currentHoldTime {};
    duration m_totalHoldTime {};
    std::vector<delayed_order> m_lateOrders;
    std::optional<rank_number> m_frozenAgent;
    std::optional<rank_number> m_dropsHoldsOf;
    int m_stepTicks = 5;
    std::uint64_t m_holds = 0;
    std::uint64_t m_holdDistance = 0;
};

std::size_t maxNewExperts(const std::vector<expert_lists> &map, fake_group &group)
{
    std::size_t most = 0;
    for (std::size_t set = 0; set < map.size(); ++set) {
        for (const auto &member : group.members()) {
            const auto &present = member.status.experts[set];
            const auto &next = map[set][member.status.rank];
            most = std::max(most, static_cast<std::size_t>(std::count_if(next.begin(), next.end(), [&](auto expert) {
                                return std::find(present.begin(), present.end(), expert) == present.end();
                            })));
        }
    }
    return most;
}

/**
 * Largest number of new experts per rank and set in the first map for a group in which one rank has both experts in
 * demand.
 */
std::size_t maxLoadsOfFirstMap(const group_model &model)
{
    fake_group group(1);
    map_controller controller({ model, 1 });
    time_point now { 100s };
    for (int i = 0; i < 100; ++i) {
        now += 10ms;
        for (const auto &member : group.members()) {
            auto report = member.status;
            for (auto &set : report.chosen) {
                set[0] = 1000;
                set[ranks] = 200;
            }
            for (const auto &action : controller.step(rank_reported { report }, now)) {
                const auto *sent = std::get_if<multi_rank_order>(&action);
                if (sent != nullptr && sent->order.operation == rank_operation::prepare) {
                    return maxNewExperts(sent->order.map, group);
                }
            }
        }
    }
    return 0;
}

/** Simulates a group with one controller. Orders are executed one at a time and at once. */
class order_script
{
public:
    order_script(fake_group &group, std::uint64_t firstVersion)
        : m_group(group)
        , m_controller({ makeModel(), firstVersion })
    {
    }

    /**
     * Runs for up to 3 s until the controller sends an order with the operation `wanted`, and returns this order
     * without executing it. Orders with the operation `lost` are not executed either.
     */
    std::optional<send_order> runUntilOrder(rank_operation wanted, std::optional<rank_operation> lost = {})
    {
        for (int i = 0; i < 300; ++i) {
            m_now += 10ms;
            if (m_beginsSteps && i % 5 == 0) {
                m_group.beginStep();
            }
            report({});
            for (auto pending = std::exchange(m_pendingOrders, {}); const auto &sent : pending) {
                if (sent.order.operation == wanted) {
                    return sent;
                }
                if (sent.order.operation != lost) {
                    carryOut(sent);
                }
            }
        }
        return std::nullopt;
    }

    /** Sets whether the group begins steps; a group without requests begins none. */
    void setBeginsSteps(bool begins)
    {
        m_beginsSteps = begins;
    }

    /**
     * Executes the next `orders` orders of the controller, while the reports of the rank `stale` show it as not armed,
     * and as not loaded either unless `isLoadedThere`.
     */
    void runWithStaleRank(rank_number stale, bool isLoadedThere, std::size_t orders)
    {
        for (int i = 0; i < 100 && orders > 0; ++i) {
            m_now += 10ms;
            report(stale, isLoadedThere);
            for (auto pending = std::exchange(m_pendingOrders, {}); const auto &sent : pending) {
                if (orders > 0) {
                    --orders;
                    carryOut(sent);
                }
            }
        }
    }

    /**
     * Advances the time and delivers the reports of all ranks except `silentRank`. Returns the orders without executing
     * them.
     */
    std::vector<send_order> tick(duration time = 10ms, std::optional<rank_number> silentRank = {})
    {
        m_now += time;
        for (const auto &member : m_group.members()) {
            if (member.status.rank != silentRank) {
                auto status = member.status;
                for (auto &set : status.chosen) {
                    set[0] = 100;
                    set[1] = 10;
                }
                deliverReport(status);
            }
        }
        return std::exchange(m_pendingOrders, {});
    }

    std::vector<send_order> deliverReport(const engine_rank_status &status)
    {
        collect(m_controller.step(rank_reported { status }, m_now));
        return m_pendingOrders;
    }

    void answer(const send_order &sent, order_result result)
    {
        collect(m_controller.step(order_answered { sent.rank, { sent.order.id, result } }, m_now));
    }

    [[nodiscard]] map_controller::phase phase() const
    {
        return m_controller.currentPhase();
    }

    std::vector<send_order> takePending()
    {
        return std::exchange(m_pendingOrders, {});
    }

private:
    void report(std::optional<rank_number> stale, bool isLoadedThere = true)
    {
        for (const auto &member : m_group.members()) {
            auto status = member.status;
            for (auto &set : status.chosen) {
                set[0] = 100;
                set[1] = 10;
            }
            if (status.rank == stale) {
                status.prepared = isLoadedThere ? status.prepared : map_version {};
                status.armed = {};
                status.armedStep = {};
            }
            collect(m_controller.step(rank_reported { status }, m_now));
        }
    }

    void carryOut(const send_order &sent)
    {
        const auto result = m_group.members()[sent.rank].carryOut(sent.order, m_group.currentStep());
        collect(m_controller.step(order_answered { sent.rank, { sent.order.id, result } }, m_now));
    }

    void collect(const std::vector<map_action> &actions)
    {
        for (const auto &action : actions) {
            if (const auto *sent = std::get_if<send_order>(&action)) {
                m_pendingOrders.push_back(*sent);
            } else if (const auto *spread = std::get_if<multi_rank_order>(&action)) {
                for (const auto &to : spread->to) {
                    m_pendingOrders.push_back({ to.rank, spread->order, false });
                    m_pendingOrders.back().order.id = to.id;
                    m_pendingOrders.back().order.expectedOrders = to.expectedOrders;
                }
            }
        }
    }

    fake_group &m_group;
    map_controller m_controller;
    time_point m_now { 100s };
    bool m_beginsSteps = false;
    std::vector<send_order> m_pendingOrders;
};

} // namespace

TEST_CASE("a report counts the choices since the previous report", "[group][map]")
{
    const expert_lists earlier { { 5, 7 }, { 1, 1 } };
    CHECK(choicesSince({ { 6, 7 }, { 4, 1 } }, earlier) == expert_lists { { 1, 0 }, { 3, 0 } });
    // Guards against counting the choices since an earlier start as a burst of demand, after an agent or its rank
    // restarts.
    CHECK(choicesSince({ { 600, 7 }, { 4, 1 } }, {}) == expert_lists { { 0, 0 }, { 0, 0 } });
    CHECK(choicesSince({ { 2, 8 }, { 4, 1 } }, earlier) == expert_lists { { 0, 1 }, { 3, 0 } });
}

TEST_CASE("a skewed group gets a map that spreads the load", "[group][map]")
{
    group_simulation w(1, 0);
    w.run(500);
    CHECK(w.controller().switchCount() > 0);
    CHECK(w.controller().skew() < 2.0);
    CHECK(w.awaitRelease());
}

TEST_CASE("no step begins with two maps when orders are executed late", "[group][map]")
{
    // `fake_group::beginStep` checks the maps of every step.
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        INFO("seed " << seed);
        group_simulation w(seed, 0.4);
        for (int round = 0; round < 6; ++round) {
            w.run(200);
            w.group().shiftDemand();
        }
        CHECK(w.controller().switchCount() > 0);
        w.run(600);
        CHECK(w.awaitRelease());
    }
}

TEST_CASE("a switch pauses its group for less than one step on average while half of the orders get no answer",
          "[group][map]")
{
    // Guards against holding the group for several rounds of orders, each as long as the timeout of a call.
    duration totalHoldTime {};
    std::uint64_t switches = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        group_simulation w(seed, 0.5);
        w.setTimeouts(50ms, 120ms);
        for (int round = 0; round < 10; ++round) {
            w.run(250);
            w.group().shiftDemand();
        }
        totalHoldTime += w.totalHoldTime();
        switches += w.controller().switchCount();
    }
    REQUIRE(switches > 0);
    INFO("held for " << std::chrono::duration<double>(totalHoldTime).count() << " s, switches " << switches);
    CHECK(totalHoldTime / static_cast<duration::rep>(switches) < 50ms);
}

TEST_CASE("a new controller completes or undoes the switch of its predecessor", "[group][map]")
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        INFO("seed " << seed);
        group_simulation w(seed, seed % 2 == 0 ? 0.3 : 0.0);
        for (int round = 0; round < 8; ++round) {
            // The controller is replaced at an arbitrary point of a switch.
            w.run(static_cast<int>(40 + w.group().random()() % 97));
            w.group().shiftDemand();
            w.startController();
        }
        w.run(800);
        CHECK(w.awaitRelease());
        CHECK(w.controller().switchCount() > 0);
    }
}

TEST_CASE("a successor holds no step that its predecessor released", "[group][map]")
{
    // Guards against a release that is executed late, while the successor arms ranks for the same step.
    fake_group group(1);
    order_script predecessor(group, 1);
    predecessor.setBeginsSteps(true);
    REQUIRE(predecessor.runUntilOrder(rank_operation::hold));
    // From here on the group has no requests, so its step does not advance.
    predecessor.setBeginsSteps(false);
    const auto released = predecessor.runUntilOrder(rank_operation::go, rank_operation::hold);
    REQUIRE(released);
    order_script successor(group, 100'001);
    const auto held = successor.runUntilOrder(rank_operation::hold);
    CHECK_FALSE((held && held->rank == released->rank && held->order.step == released->order.step));
    successor.setBeginsSteps(true);
    const auto later = successor.runUntilOrder(rank_operation::hold);
    REQUIRE(later);
    CHECK(later->order.step > released->order.step);
}

TEST_CASE("a successor completes a switch that its predecessor was about to release", "[group][map]")
{
    // Guards against disarming ranks one by one while the release is executed, because the report of one rank is
    // outdated.
    for (std::size_t run = 0; run < 24; ++run) {
        const std::size_t orders = run / 2;
        const bool isLoadedThere = run % 2 == 0;
        INFO("orders of the successor before the release: " << orders << ", old report says loaded: " << isLoadedThere);
        fake_group group(1);
        order_script predecessor(group, 1);
        predecessor.setBeginsSteps(true);
        const auto release = predecessor.runUntilOrder(rank_operation::go);
        REQUIRE(release);
        order_script successor(group, 100'001);
        successor.runWithStaleRank(ranks - 1, isLoadedThere, orders);
        (void)group.members()[release->rank].carryOut(release->order, group.currentStep());
        for (int i = 0; i < 4; ++i) {
            group.beginStep();
        }
    }
}

TEST_CASE("an order to disarm that is executed late affects no rank of a completed switch", "[group][map]")
{
    // Guards against a step with two maps: the second controller disarms a rank that was armed late, the third
    // controller completes the switch, and the order to disarm is executed before the held step begins.
    fake_group group(1);
    order_script first(group, 1);
    first.setBeginsSteps(true);
    const auto arm = first.runUntilOrder(rank_operation::arm);
    REQUIRE(arm);
    order_script second(group, 100'001);
    (void)second.tick();
    // The order of the first controller is executed after the report to the second controller.
    REQUIRE(group.members()[arm->rank].carryOut(arm->order, group.currentStep()) == order_result::accepted);
    const auto disarm = second.runUntilOrder(rank_operation::disarm);
    if (!disarm) {
        return;
    }
    order_script third(group, 200'001);
    const auto release = third.runUntilOrder(rank_operation::go);
    REQUIRE(release);
    (void)group.members()[disarm->rank].carryOut(disarm->order, group.currentStep());
    (void)group.members()[release->rank].carryOut(release->order, group.currentStep());
    for (int i = 0; i < 40; ++i) {
        group.beginStep();
    }
}

TEST_CASE("a successor completes a released switch although every first report predates the arming", "[group][map]")
{
    // Guards against disarming ranks one by one while the release is executed. An agent that learns of a new controller
    // may send it an earlier reading, from before its rank was armed.
    for (std::size_t orders = 0; orders < 12; ++orders) {
        INFO("orders of the successor before the release: " << orders);
        fake_group group(1);
        for (auto &member : group.members()) {
            member.countsOrders = false;
        }
        order_script predecessor(group, 1);
        predecessor.setBeginsSteps(true);
        const auto release = predecessor.runUntilOrder(rank_operation::go);
        REQUIRE(release);
        order_script successor(group, 100'001);
        for (const auto &member : group.members()) {
            auto status = member.status;
            status.armed = {};
            status.armedStep = {};
            successor.deliverReport(status);
        }
        successor.runWithStaleRank(ranks, true, orders);
        (void)group.members()[release->rank].carryOut(release->order, group.currentStep());
        for (int i = 0; i < 40; ++i) {
            group.beginStep();
        }
    }
}

TEST_CASE("a controller that was frozen releases no step that it never held", "[group][map]")
{
    // Guards against releasing a step beyond the limit that a successor relies on, while the successor arms ranks.
    fake_group group(1);
    order_script first(group, 1);
    for (int i = 0; i < 100; ++i) {
        for (const auto &sent : first.tick()) {
            first.answer(sent, group.members()[sent.rank].carryOut(sent.order, group.currentStep()));
        }
    }
    REQUIRE(first.phase() == map_controller::phase::holding);
    // The controller is frozen for as long as it takes to replace a controller.
    std::optional<send_order> release;
    for (const auto &sent : first.tick(1200ms)) {
        if (sent.order.operation == rank_operation::go) {
            release = sent;
        }
    }
    CHECK_FALSE(release);
    if (!release) {
        return;
    }
    order_script second(group, 100'001);
    (void)second.tick();
    // Requests arrive again, so the group begins steps.
    second.setBeginsSteps(true);
    const auto arm = second.runUntilOrder(rank_operation::arm);
    REQUIRE(arm);
    INFO("released " << release->rank << ":" << release->order.step.value << " armed for " << arm->order.step.value);
    (void)group.members()[arm->rank].carryOut(arm->order, group.currentStep());
    (void)group.members()[release->rank].carryOut(release->order, group.currentStep());
    for (int i = 0; i < 40; ++i) {
        group.beginStep();
    }
}

TEST_CASE("an answer to a hold confirms no other step", "[group][map]")
{
    // Guards against arming ranks for a step that no rank holds, while the step before it is released.
    fake_group group(1);
    order_script script(group, 100'001);
    script.setBeginsSteps(true);
    const auto hold = script.runUntilOrder(rank_operation::hold);
    REQUIRE(hold);
    auto &holder = group.members()[hold->rank];
    // A hold of an earlier controller is executed late.
    const auto earlier = group.currentStep().next();
    holder.status.held = earlier;
    script.answer(*hold, holder.carryOut(hold->order, group.currentStep()));
    std::vector<send_order> again;
    for (int i = 0; i < 12 && again.empty(); ++i) {
        again = script.tick(10ms, hold->rank);
    }
    REQUIRE(again.size() == 1);
    REQUIRE(again.front().order.operation == rank_operation::hold);
    // The release of the earlier controller is executed. The rank is read at this moment, and the report arrives after
    // the next hold.
    holder.status.held = {};
    const auto between = holder.status;
    const auto result = holder.carryOut(again.front().order, group.currentStep());
    REQUIRE(result == order_result::accepted);
    script.deliverReport(between);
    script.answer(again.front(), result);
    std::optional<send_order> arm;
    std::optional<send_order> release;
    auto orders = script.takePending();
    for (int i = 0; i < 2; ++i) {
        for (const auto &sent : orders) {
            const bool isArm = sent.order.operation == rank_operation::arm;
            if (isArm && !arm) {
                arm = sent;
                (void)group.members()[sent.rank].carryOut(sent.order, group.currentStep());
            } else if (sent.order.operation == rank_operation::go) {
                release = sent;
                (void)group.members()[sent.rank].carryOut(sent.order, group.currentStep());
            }
        }
        orders = script.tick();
    }
    if (arm) {
        INFO("held " << again.front().order.step.value << " armed for " << arm->order.step.value << " released "
                     << (release ? release->order.step.value : 0));
        CHECK(arm->order.step == again.front().order.step);
        for (int i = 0; i < 40; ++i) {
            group.beginStep();
        }
    }
}

TEST_CASE("a map adds as many experts per set as can be loaded in time", "[group][map]")
{
    // Guards against several switches for one shift of demand although one switch could load all experts in time.
    auto model = makeModel();
    CHECK(maxLoadsOfFirstMap(model) == 2);
    // Loading one expert takes 0.425 s for both sets.
    model.bytesPerExpert = { 21'250 };
    CHECK(maxLoadsOfFirstMap(model) == 1);
    // An expert that takes longer than the limit is still loaded.
    model.bytesPerExpert = { 40'000 };
    CHECK(maxLoadsOfFirstMap(model) == 1);
}

TEST_CASE("a map that is being loaded when demand shifts is abandoned", "[group][map]")
{
    // Guards against detecting a shift only after the switch to a map for the old demand has ended.
    for (int moment = 0; moment < 20; ++moment) {
        INFO("moment " << moment);
        group_simulation w(6, 0);
        w.setLoadingTicks(120);
        REQUIRE(w.runUntil(map_controller::phase::preparing));
        w.run(10 + moment);
        w.group().shiftDemand();
        // Ranks report every 100 ms, loading takes 1.2 s, and holding, arming and releasing take a few steps of 50 ms.
        CHECK(w.ticksUntilBelow(2.0) <= 20 + 120 + 30);
    }
}

TEST_CASE("a loaded map is kept when the agent of the holding rank is silent", "[group][map]")
{
    // Guards against loading a map again, a second later, because one answer was lost after every rank had loaded the
    // map.
    group_simulation w(7, 0);
    w.setLoadingTicks(30);
    w.dropHolds(0);
    REQUIRE(w.runUntil(map_controller::phase::holding));
    // A hold is abandoned after 130 ms; another hold, arming and releasing take a few steps of 50 ms.
    CHECK(w.ticksUntilBelow(2.0) <= 13 + 30);
    CHECK(w.awaitRelease());
}

TEST_CASE("after lost answers long steps are held fewer steps ahead than short steps", "[group][map]")
{
    // Guards against a switch that waits for ten steps of 100 ms, half the time for which demand stays the same,
    // because answers were lost.
    group_simulation w(8, 0.2);
    w.setStepTicks(10);
    for (int round = 0; round < 20; ++round) {
        w.run(300);
        w.group().shiftDemand();
    }
    // Retries after a lost answer take 0.45 s. Reports are up to two steps old, and a refused hold is sent again later.
    CHECK(w.meanHoldDistance() <= 7);
    CHECK(w.controller().switchCount() >= 15);
}

TEST_CASE("a group that re-forms starts over", "[group][map]")
{
    group_simulation w(3, 0);
    w.run(300);
    for (auto &member : w.group().members()) {
        member.status.epoch = { 2 };
        member.status.map = {};
        member.status.prepared = {};
        member.status.armed = {};
        member.status.armedStep = {};
        member.status.held = {};
        member.highestVersion = 0;
        member.status.experts.assign(sets,
                                     { member.status.rank, static_cast<std::uint32_t>(member.status.rank + ranks) });
    }
    const auto before = w.controller().switchCount();
    w.group().shiftDemand();
    w.run(400);
    CHECK(w.controller().switchCount() > before);
}

TEST_CASE("a frozen agent does not stop its group", "[group][map]")
{
    for (int moment = 0; moment < 60; ++moment) {
        INFO("moment " << moment);
        group_simulation w(5, 0);
        w.run(100 + moment);
        w.group().shiftDemand();
        w.freezeAgent(0);
        // An unanswered hold is abandoned after 130 ms; a step takes 50 ms in this test.
        w.run(60);
        const auto before = w.group().currentStep();
        w.run(100);
        CHECK(w.group().currentStep().value >= before.value + 15);
        w.freezeAgent(std::nullopt);
        w.run(600);
        CHECK(w.awaitRelease());
        CHECK(w.controller().switchCount() > 0);
    }
}
