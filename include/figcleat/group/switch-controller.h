#pragma once

#include "figcleat/core/clock.h"
#include "figcleat/group/decision-register.h"
#include "figcleat/group/messages.h"

#include <map>
#include <optional>
#include <vector>

namespace figcleat::group
{

/**
 * This process became the controller of the group. The replicated log issued `fence` for the group, and `last` was read
 * from the log afterwards, so no earlier controller can record a decision after `last`.
 */
struct control_acquired
{
    fence_number fence;
    std::optional<decision> last;
};

/** Asks for a switch to a map with these layers. */
struct propose_map
{
    std::vector<layer_map> layers;
};

struct status_received
{
    rank_status status;
};

struct record_result
{
    switch_id id;
    record_outcome outcome = record_outcome::unknown;
};

struct controller_tick
{
};

using controller_event = std::variant<control_acquired, propose_map, status_received, record_result, controller_tick>;

struct send_rank
{
    rank_number to = 0;
    controller_message message;
};

/** Asks the caller to record the decision in the replicated log, under the rules of `decision_register`. */
struct record_decision
{
    decision result;
};

struct switch_completed
{
    switch_id id;
};

struct switch_abandoned
{
    switch_id id;
    result_code reason = result_code::ok;
};

struct proposal_refused
{
    result_code reason = result_code::ok;
};

/** A controller with a higher fencing number exists, so this controller sends no further messages. */
struct deposed
{
    /** Fencing number of the newer controller; 0 if it is unknown because the log refused a record. */
    fence_number newerFence;
};

using controller_action
    = std::variant<send_rank, record_decision, switch_completed, switch_abandoned, proposal_refused, deposed>;

struct controller_settings
{
    rank_number ranks = 1;
    /** During a switch a rank counts as lost if no status arrives for this long. */
    duration rankTimeout = std::chrono::milliseconds(1500);
    /** Between switches, ranks report every 5 s, and a rank counts as lost if no status arrives for this long. */
    duration idleRankTimeout = std::chrono::seconds(15);
    duration resendInterval = std::chrono::milliseconds(500);
    /** Time limit for loading the new map on all ranks; a switch that exceeds the limit is abandoned. */
    duration prepareTimeout = std::chrono::minutes(5);
    /** Time limit for all ranks to agree to hold at the switch step. */
    duration holdTimeout = std::chrono::seconds(2);
    /**
     * Distance in steps from the highest permitted step of any rank to the switch step. Four steps of 45 ms cover the
     * two round trips and the sync of the log record. A rank that has already passed the switch step refuses to hold,
     * and the controller tries a later step.
     */
    std::uint64_t stepMargin = 4;
    /** Number of switch steps that ranks may pass too early before the switch is abandoned. */
    std::uint32_t holdAttempts = 5;
};

/**
 * State machine that switches a group from one expert map to the next in two phases.
 *
 * Every rank first loads the new map in addition to the old one and then agrees not to begin the switch step. Only when
 * all ranks have agreed is the decision recorded in the replicated log. If a rank is lost, restarts or exceeds a time
 * limit before that, the switch is abandoned and the old map stays in use. The caller has to feed `controller_tick`
 * every 100 ms.
 */
class switch_controller
{
public:
    enum class phase : std::uint8_t {
        idle,
        preparing,
        holding,
        recording,
        distributing,
        deposed,
    };

    explicit switch_controller(const controller_settings &settings);

    [[nodiscard]] std::vector<controller_action> step(const controller_event &event, time_point now);
    [[nodiscard]] phase currentPhase() const;

private:
    struct rank_record
    {
        std::optional<rank_status> status;
        time_point lastStatusAt {};
        time_point lastSentAt {};
        /** Incarnations of the rank process and of its engine when the switch began; a change means a restart. */
        incarnation_id incarnationAtStart;
        incarnation_id engineAtStart;
    };

    void on(const control_acquired &event);
    void on(const propose_map &event);
    void on(const status_received &event);
    void on(const record_result &event);
    void on(const controller_tick &event);

    void resolveForeignSwitch(const rank_status &status);
    void advance();
    void advancePreparing();
    void advanceHolding();
    void advanceDistributing();
    void startHolding(step_number step);
    void recordDecision();
    void abandon(result_code reason);
    void resend();
    [[nodiscard]] std::optional<controller_message> messageFor(const rank_record &rank) const;
    [[nodiscard]] bool isPending(const rank_record &rank) const;
    [[nodiscard]] bool hasRestarted(const rank_record &rank) const;
    [[nodiscard]] bool isReady(const rank_record &rank) const;
    [[nodiscard]] bool hasAgreedToHold(const rank_record &rank) const;
    [[nodiscard]] bool incarnationsAgree() const;
    [[nodiscard]] bool anyRankLost() const;
    [[nodiscard]] duration currentRankTimeout() const;
    [[nodiscard]] step_number highestPermittedStep() const;
    [[nodiscard]] result_code checkRanksReady() const;
    void send(rank_number to, controller_message message);
    void sendAll(const controller_message &message);

    controller_settings m_settings;
    phase m_phase = phase::deposed;
    time_point m_now {};
    time_point m_deadline {};
    std::vector<controller_action> m_actions;

    fence_number m_fence;
    map_version m_highestVersion;
    std::optional<decision> m_lastDecision;
    std::vector<rank_record> m_ranks;

    expert_map m_newMap;
    switch_id m_fromId;
    decision m_decision;
    std::uint32_t m_holdAttempts = 0;
    time_point m_recordRequestedAt {};
};

} // namespace figcleat::group
