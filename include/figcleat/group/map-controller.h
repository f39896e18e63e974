#pragma once

#include "figcleat/core/clock.h"
#include "figcleat/group/control-messages.h"
#include "figcleat/group/demand.h"
#include "figcleat/group/group-model.h"
#include "figcleat/group/planner.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace figcleat::group
{

// Events.

struct rank_reported
{
    engine_rank_status status;
};

/**
 * Expert choices of several ranks, counted since the previous event of this kind. A rank_reported event may carry the
 * choices of its rank instead.
 */
struct choices_counted
{
    expert_lists chosen;
};

struct order_answered
{
    rank_number rank = 0;
    rank_order_answer answer;
};

struct map_tick
{
};

using map_event = std::variant<rank_reported, choices_counted, order_answered, map_tick>;

// Actions.

struct send_order
{
    rank_number rank = 0;
    rank_order order;
    /** True to bypass the agent, which has not answered in time while the group may be waiting. */
    bool directly = false;
};

/**
 * An order that is sent to several ranks at once: the first time in a phase or, if it carries a map, each time.
 * Separate copies of a map would saturate the controller's link.
 */
struct multi_rank_order
{
    rank_order order;
    /** Recipients; the addresses of their agents are left empty. */
    std::vector<order_recipient> to;
};

/** A line for the log. */
struct map_log_line
{
    std::string text;
};

using map_action = std::variant<send_order, multi_rank_order, map_log_line>;

struct map_controller_settings
{
    group_model model;
    /** Version of the first map that this controller makes; higher than all versions of earlier controllers. */
    std::uint64_t firstVersion = 1;
    /** Demand estimate that the controllers of one service share. If null, the controller creates its own. */
    std::shared_ptr<demand_estimate> demand {};
};

/**
 * Adapts the expert map of one group to demand, for engines that load and switch maps on orders.
 *
 * All ranks first prepare the new map. One rank then holds a step S, so that the group cannot begin S, and all ranks
 * are armed, which means that they switch when S begins. The hold is released once every rank has confirmed that it is
 * armed. No rank switches before the release, and all ranks switch as S begins. An order that is executed late has no
 * effect, because its step has begun, because its version is no longer the prepared one, or, where the engine counts
 * such orders, because the count that the order expects has passed.
 *
 * Only one controller may act at a time. Orders of the previous controller may still be executed, so a controller holds
 * only steps to which none of those orders can refer. A controller that finds armed ranks and a hold of the previous
 * controller arms all ranks and releases the hold. If a rank refuses to be armed, the controller disarms all ranks and
 * has every rank prepare the current map, which makes earlier orders void, before it releases the hold. Armed ranks
 * without a hold are about to switch and get no orders.
 *
 * If demand shifts while a map is being loaded, that map is abandoned for one that serves the new demand.
 */
class map_controller
{
public:
    enum class phase : std::uint8_t {
        /** No switch is in progress. */
        idle,
        /** Ranks load the experts of the next map. */
        preparing,
        /** One rank is asked to hold the step of the switch. */
        holding,
        /** All ranks are asked to switch as the held step begins. */
        arming,
        /** The holding rank is asked to release the held step. */
        releasing,
        /** The hold is released; the ranks switch as the step begins. */
        switching,
        /** Ranks that an earlier controller or an abandoned switch left armed are disarmed. */
        disarming,
        /** Ranks prepare the current map under a new version, so that earlier orders to arm have no effect. */
        voiding,
    };

    explicit map_controller(map_controller_settings settings);

    [[nodiscard]] std::vector<map_action> step(const map_event &event, time_point now);
    [[nodiscard]] phase currentPhase() const;
    /** Latest report of each rank, in the order of ranks, without reports older than `window`. */
    [[nodiscard]] std::vector<engine_rank_status> reports(duration window, time_point now) const;
    /** Ratio of the highest rank load to the mean rank load with the current map, as of the last plan; 0 if unknown. */
    [[nodiscard]] double skew() const;
    [[nodiscard]] std::uint64_t switchCount() const;
    /** Highest map version that any rank reports as in use. */
    [[nodiscard]] map_version mapInUse() const;

private:
    struct rank_state
    {
        engine_rank_status status;
        time_point lastReportAt {};
        /** Latest order of the current phase, until it is answered. */
        order_id pendingOrder;
        /** First order of the current phase and step; 0 if none was sent. */
        order_id firstOrder;
        time_point sentAt {};
        /** Time of the first order that the agent has not answered. */
        time_point unansweredSince {};
        /** The latest order was sent to the engine itself, not to the agent. */
        bool isDirect = false;
        /** Number of orders sent in the current phase. */
        std::uint32_t sentCount = 0;
        /** The rank has accepted an order of the current phase. */
        bool confirmed = false;
        /** The agent has not answered an order in time and has not reported since. */
        bool isAgentSilent = false;
        /** The rank refused the latest order; its next report shows the reason. */
        bool refused = false;
        /** Number of orders of the current phase that the rank refused. */
        std::uint32_t refusalCount = 0;
        /** Step of an abandoned hold; release orders are repeated until the rank answers one of them. */
        step_number abandonedHold {};
        order_id abandonedHoldReleaseOrder {};
        time_point abandonedHoldReleasedAt {};
    };

    void handle(const rank_reported &event);
    void handle(const choices_counted &event);
    void handle(const order_answered &event);
    void handle(const map_tick &event);
    void updateStepTime(step_number step);
    [[nodiscard]] std::uint64_t stepMarginForUnansweredOrders() const;
    void resetForEpoch(const engine_rank_status &status);
    [[nodiscard]] bool haveAllRanksReported() const;
    [[nodiscard]] bool areReportsFresh(duration window) const;
    [[nodiscard]] bool isConsistent() const;
    [[nodiscard]] bool isAnyStepHeld() const;
    [[nodiscard]] bool canArm() const;
    void recoverSwitch();
    void undoOrComplete();
    void voidSwitch();
    void releaseHold();
    void handleRefusal(rank_state &rank);
    [[nodiscard]] bool hasCompletedPhase(const rank_state &rank) const;
    void enter(phase next);
    void advance();
    void completePhase();
    void checkTimeouts();
    void advanceIdle();
    void planNextMap();
    /** Makes a new plan due at once if the map in use, or the map being loaded, does not serve recent demand. */
    void checkDemand();
    /** True shortly after a shift of demand was detected, while the estimate still mixes old and new demand. */
    [[nodiscard]] bool isDemandSettling() const;
    /** True if, with recent demand, the skew of this map is much higher than planned. */
    [[nodiscard]] bool isOutdated(const expert_map &map) const;
    void sendDueOrders();
    /** Releases abandoned holds, including those that are executed late, as each of them would stop the group. */
    void releaseAbandonedHolds();
    /**
     * Abandons the hold because the agent of the holding rank is silent, and asks another rank to hold a later step.
     */
    void moveHold();
    void send(rank_number rank, rank_state &to, rank_order order);
    /** Time without an answer after which an order of the current phase is sent again. */
    [[nodiscard]] duration answerTimeout() const;
    /** Sends one order to all these ranks in a single action. */
    void sendToRanks(const std::vector<rank_number> &to);
    [[nodiscard]] rank_order orderFor(const rank_state &to) const;
    [[nodiscard]] bool takesPartInPhase(rank_number rank) const;
    [[nodiscard]] expert_map currentMap() const;
    /** Number of new experts per rank and set in one switch. */
    [[nodiscard]] std::size_t loadsPerSwitch() const;
    [[nodiscard]] plan_limits planLimits() const;
    /** Ratio of the highest rank load to the mean rank load; 0 if there is no load. */
    [[nodiscard]] double skewOf(const expert_demand &demand, const expert_map &map, const plan_limits &limits) const;
    [[nodiscard]] std::vector<expert_lists> toOrderFormat(const std::vector<layer_map> &layers) const;
    /** Highest step that any rank reported. */
    [[nodiscard]] step_number furthestStep() const;
    void chooseStep();
    void logMessage(std::string text);

    map_controller_settings m_settings;
    time_point m_now {};
    std::vector<map_action> m_actions;
    phase m_phase = phase::idle;
    time_point m_phaseSince {};
    epoch_number m_epoch;
    std::map<rank_number, rank_state> m_ranks;
    rank_number m_rankCount = 0;
    order_id m_lastOrder;
    map_version m_nextVersion;
    /** Map version of the current switch; 0 once the switch has been made void. */
    map_version m_version;
    std::vector<layer_map> m_layers;
    step_number m_step;
    /** Step chosen most recently for a switch of this controller. */
    step_number m_lastChosenStep;
    /**
     * First step that this controller may hold, later than every step to which an order of an earlier controller can
     * refer. Set once all ranks have reported.
     */
    std::optional<step_number> m_firstStep;
    /** The ranks are being armed to complete a switch that an earlier controller began. */
    bool m_isRecovering = false;
    /** Rank that holds the step. */
    rank_number m_holder = 0;
    /** Distance from the latest reported step to the next step that is held, in steps. */
    std::uint64_t m_stepMargin = 0;
    step_number m_furthestStep;
    time_point m_furthestStepAt {};
    /** Smoothed duration of a step in seconds; 0 if unknown. */
    double m_stepSeconds = 0;
    /** Number of orders of the current switch that got no answer. */
    std::uint64_t m_unansweredOrders = 0;
    time_point m_nextPlanAt {};
    time_point m_demandCheckedAt {};
    std::optional<time_point> m_shiftDetectedAt;
    double m_skew = 0;
    /** Skew of the map in use, or of the map being loaded, with the demand for which it was planned. */
    double m_expectedSkew = 0;
    std::uint64_t m_switchCount = 0;
};

} // namespace figcleat::group
