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

/** Choices of some ranks since the last event of this kind; reports may carry those of their rank instead. */
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
    /** The agent has not answered in time and the group waits: send the order to the engine itself. */
    bool directly = false;
};

/** One order for several ranks, sent for the first time. */
struct spread_order
{
    rank_order order;
    /** Without addresses of agents. */
    std::vector<order_address> to;
};

/** For logs. */
struct map_note
{
    std::string what;
};

using map_action = std::variant<send_order, spread_order, map_note>;

struct map_controller_settings
{
    group_model model;
    /** First version that this controller uses; higher than those of every earlier controller. */
    std::uint64_t firstVersion = 1;
    /** Shared by the controllers of one service; a controller without gets one of its own. */
    std::shared_ptr<demand_estimate> demand {};
};

/**
 * Keeps the expert map of one group in step with what is in demand, for engines that load and switch maps on orders.
 *
 * Every rank prepares the new map. Then one rank holds a step S, so that the group cannot begin it; all ranks are armed
 * for S; the hold is released when every rank has confirmed. Until then no rank switches, and afterwards all do, as the
 * same step begins. An order that is carried out late has no effect: its step has begun, its version is no longer the
 * one prepared, or, where the engine counts such orders, the count that it names has passed.
 *
 * Only one controller may act at a time. Orders of its predecessor may still be carried out, so it holds only steps
 * that those cannot name. One that finds armed ranks and a hold of its predecessor arms all ranks and releases it.
 * If a rank refuses that, it disarms all and lets every rank prepare the present map, which makes earlier orders void,
 * before the release. Armed ranks without a hold are about to switch and are left alone.
 *
 * A map that is being loaded when demand shifts is given up for one that serves the new demand.
 */
class map_controller
{
public:
    enum class phase : std::uint8_t {
        /** Nothing is under way. */
        idle,
        /** Ranks load the experts of the next map. */
        preparing,
        /** One rank is asked to hold the step. */
        holding,
        arming,
        releasing,
        /** The hold is released; the ranks switch as the step begins. */
        switching,
        /** What an earlier controller or switch left behind is undone. */
        disarming,
        voiding,
    };

    explicit map_controller(map_controller_settings settings);

    [[nodiscard]] std::vector<map_action> step(const map_event &event, time_point now);
    [[nodiscard]] phase currentPhase() const;
    /** Latest reports, by rank, that are not older than `window`. */
    [[nodiscard]] std::vector<engine_rank_status> reports(duration window, time_point now) const;
    /** Load of the busiest rank over the mean with the present map, as of the latest counts; 0 if not known. */
    [[nodiscard]] double skew() const;
    [[nodiscard]] std::uint64_t switches() const;
    /** Highest version that a rank reported to use. */
    [[nodiscard]] map_version mapInUse() const;

private:
    struct rank_state
    {
        engine_rank_status status;
        time_point heard {};
        /** Order of the present phase without an answer. */
        order_id pending;
        /** First order of the present phase and step; 0 if none was sent. */
        order_id firstOrder;
        time_point sentAt {};
        /** When the first order was sent to which the agent has not answered. */
        time_point askedAt {};
        /** The latest order went to the engine itself. */
        bool isDirect = false;
        /** Orders of the present phase that were sent. */
        std::uint32_t sends = 0;
        /** The rank has confirmed the present phase. */
        bool confirmed = false;
        /** The agent left an order without an answer and has not reported since. */
        bool agentSilent = false;
        /** The rank refused the last order; the next report tells why. */
        bool refused = false;
        /** Orders of the present phase that were refused. */
        std::uint32_t refusals = 0;
        /** Step of a hold that was given up; it is released until the rank answers. */
        step_number strayHold {};
        order_id strayRelease {};
        time_point strayReleasedAt {};
    };

    void handle(const rank_reported &event);
    void handle(const choices_counted &event);
    void handle(const order_answered &event);
    void handle(const map_tick &event);
    void learnStepTime(step_number step);
    [[nodiscard]] std::uint64_t unansweredStepMargin() const;
    void restart(const engine_rank_status &status);
    [[nodiscard]] bool isComplete() const;
    [[nodiscard]] bool areFresh(duration window) const;
    [[nodiscard]] bool isClean() const;
    [[nodiscard]] bool isHeld() const;
    [[nodiscard]] bool canArm() const;
    void recover();
    void undoOrComplete();
    void voidSwitch();
    void releaseHold();
    void reconsider(rank_state &rank);
    [[nodiscard]] bool isSettled(const rank_state &rank) const;
    void enter(phase next);
    void advance();
    void leavePhase();
    void checkTimeouts();
    void advanceIdle();
    void planNext();
    /** Plans at once if the map in use, or the one being loaded, does not serve recent demand. */
    void watchDemand();
    /** A shift was seen just now, and what is known of the new demand is still mixed with the old one. */
    [[nodiscard]] bool isSettling() const;
    /** Recent demand makes the busiest rank with this map much busier than was expected of it. */
    [[nodiscard]] bool isOutdated(const expert_map &map) const;
    void sendToUnsettled();
    /** Ends holds that were given up, also those that are carried out late; they would stop the group. */
    void releaseStrayHolds();
    /** The agent of the holding rank is silent: gives the hold up and asks another rank to hold a later step. */
    void holdElsewhere();
    void send(rank_number rank, rank_state &to, rank_order order);
    /** Time after which an order of the present phase is sent again. */
    [[nodiscard]] duration answerTimeout() const;
    /** The same order to all these ranks. */
    void spread(const std::vector<rank_number> &to);
    [[nodiscard]] rank_order orderFor(const rank_state &to) const;
    [[nodiscard]] bool takesPart(rank_number rank) const;
    [[nodiscard]] expert_map presentMap() const;
    [[nodiscard]] std::size_t loadsPerSwitch() const;
    [[nodiscard]] plan_limits planLimits() const;
    /** Load of the busiest rank over the mean; 0 without load. */
    [[nodiscard]] double skewOf(const expert_demand &demand, const expert_map &map, const plan_limits &limits) const;
    [[nodiscard]] std::vector<expert_lists> inOrderForm(const std::vector<layer_map> &layers) const;
    /** Latest step that a rank reported. */
    [[nodiscard]] step_number furthestStep() const;
    void chooseStep();
    void note(std::string what);

    map_controller_settings m_settings;
    time_point m_now {};
    std::vector<map_action> m_actions;
    phase m_phase = phase::idle;
    time_point m_since {};
    epoch_number m_epoch;
    std::map<rank_number, rank_state> m_ranks;
    rank_number m_size = 0;
    order_id m_lastOrder;
    map_version m_nextVersion;
    map_version m_version;
    std::vector<layer_map> m_layers;
    step_number m_step;
    /** Latest step that was chosen for a switch of this controller. */
    step_number m_chosen;
    /** Beyond each step that an earlier controller can have named; set once all ranks have reported. */
    std::optional<step_number> m_firstStep;
    /** The ranks are armed for a switch that an earlier controller began. */
    bool m_recovers = false;
    /** Rank that holds the step. */
    rank_number m_holder = 0;
    std::uint64_t m_stepMargin = 0;
    step_number m_furthestStep;
    time_point m_furthestAt {};
    /** Smoothed time of a step; 0 if not known. */
    double m_stepSeconds = 0;
    /** Orders of the switch under way that got no answer. */
    std::uint64_t m_unanswered = 0;
    time_point m_nextPlan {};
    time_point m_demandWatched {};
    std::optional<time_point> m_shiftSeen;
    double m_skew = 0;
    /** Skew of the map in use, or of the one being loaded, with the demand that it was planned for. */
    double m_expectedSkew = 0;
    std::uint64_t m_switches = 0;
};

} // namespace figcleat::group
