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
 * This process became controller. `fence` was issued by the replicated log for this group, and `last` was read from
 * the log after that, so that no earlier controller can record a decision any more.
 */
struct took_over
{
    fence_number fence;
    std::optional<decision> last;
};

/** Switch to this placement. */
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

using controller_event = std::variant<took_over, propose_map, status_received, record_result, controller_tick>;

struct send_rank
{
    rank_number to = 0;
    controller_message message;
};

/** Record the decision in the replicated log, under the rules of `decision_register`. */
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
    result_code why = result_code::ok;
};

struct proposal_refused
{
    result_code why = result_code::ok;
};

/** A later controller exists; this one orders nothing any more. */
struct deposed
{
    fence_number by;
};

using controller_action
    = std::variant<send_rank, record_decision, switch_completed, switch_abandoned, proposal_refused, deposed>;

struct controller_settings
{
    rank_number ranks = 1;
    /** A rank silent for this long during a switch is taken for lost. */
    duration silentAfter = std::chrono::milliseconds(1500);
    /** The same between switches, when ranks report every 5 s. */
    duration idleSilentAfter = std::chrono::seconds(15);
    duration resendEvery = std::chrono::milliseconds(500);
    /** Longest time for loading; a switch that needs longer is abandoned. */
    duration prepareTimeout = std::chrono::minutes(5);
    duration holdTimeout = std::chrono::seconds(2);
    /**
     * Steps between the furthest rank and the switch. Four steps of 45 ms cover the two round trips and the sync of
     * the record; a rank that gets further meanwhile refuses to hold, and a later step is tried.
     */
    std::uint64_t stepMargin = 4;
    std::uint32_t holdAttempts = 5;
};

/**
 * Switches a group from one expert map to the next.
 *
 * Every rank loads the new map beside the old one and then agrees not to pass a step. Only then is the switch
 * decided, by a record in the replicated log. A rank that is lost, restarted or late before that ends the switch and
 * the old map stays. `controller_tick` is due every 100 ms.
 */
class switch_controller
{
public:
    enum class phase : std::uint8_t {
        idle,
        preparing,
        holding,
        recording,
        spreading,
        deposed,
    };

    explicit switch_controller(const controller_settings &settings);

    [[nodiscard]] std::vector<controller_action> step(const controller_event &event, time_point now);
    [[nodiscard]] phase currentPhase() const;

private:
    struct rank_record
    {
        std::optional<rank_status> status;
        time_point heardAt {};
        time_point sentAt {};
        /** Life of the process and of the engine that reported ready. */
        incarnation_id readyIncarnation;
        incarnation_id readyEngine;
    };

    void on(const took_over &event);
    void on(const propose_map &event);
    void on(const status_received &event);
    void on(const record_result &event);
    void on(const controller_tick &event);

    void settleForeign(const rank_status &status);
    void advance();
    void advancePreparing();
    void advanceHolding();
    void advanceSpreading();
    void startHolding(step_number step);
    void record();
    void abandon(result_code why);
    void resend();
    [[nodiscard]] std::optional<controller_message> messageFor(const rank_record &rank) const;
    [[nodiscard]] bool isPending(const rank_record &rank) const;
    [[nodiscard]] bool hasRestarted(const rank_record &rank) const;
    [[nodiscard]] bool isReady(const rank_record &rank) const;
    [[nodiscard]] bool isHeld(const rank_record &rank) const;
    [[nodiscard]] bool viewsAgree() const;
    [[nodiscard]] bool anyLost() const;
    [[nodiscard]] duration silence() const;
    [[nodiscard]] step_number furthestStep() const;
    [[nodiscard]] result_code whyNotNow() const;
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

    expert_map m_map;
    switch_id m_from;
    decision m_decision;
    std::uint32_t m_holdAttempts = 0;
    time_point m_recordedAt {};
};

} // namespace figcleat::group
