#pragma once

#include "figcleat/core/clock.h"
#include "figcleat/group/messages.h"

#include <map>
#include <set>
#include <vector>

namespace figcleat::group
{

/** The engine started, with whatever map it starts with. */
struct engine_started
{
    incarnation_id engine;
    digest content;
};

struct engine_lost
{
};

/** The engine holds all that a map needs, beside what it held before. */
struct engine_loaded
{
    digest content;
};

/** The engine asks to begin a step. */
struct step_requested
{
    step_number step;
};

struct from_controller
{
    controller_message message;
};

struct from_peer
{
    rank_number rank = 0;
    incarnation_id incarnation;
    peer_message message;
};

struct gate_tick
{
};

using gate_event
    = std::variant<engine_started, engine_lost, engine_loaded, step_requested, from_controller, from_peer, gate_tick>;

struct report_status
{
    rank_status status;
};

struct send_peer
{
    rank_number to = 0;
    peer_message message;
};

/** Load what the map needs; the engine keeps everything else that it holds. */
struct load_map
{
    expert_map map;
    digest content;
};

/** Release what only this map needs. */
struct release_map
{
    digest content;
};

/** The engine may run the step, with exactly this map. */
struct permit_step
{
    step_number step;
    switch_id id;
    digest content;
};

/** The message was refused. */
struct refused_message
{
    result_code code = result_code::ok;
    fence_number floor;
};

using gate_action = std::variant<report_status, send_peer, load_map, release_map, permit_step, refused_message>;

struct gate_settings
{
    rank_number rank = 0;
    rank_number ranks = 1;
    incarnation_id incarnation;
    /** Status period during a switch and until the rank has a map. */
    duration statusEvery = std::chrono::milliseconds(500);
    /** Status period otherwise: the statuses of 128 ranks have to stay far below 23 KB/s at the controller. */
    duration idleStatusEvery = std::chrono::seconds(5);
    /** Wait at the switch step after which the rank votes to cancel the switch. */
    duration holdTimeout = std::chrono::seconds(2);
    /** Time after which an order to load that has not been carried out is repeated. */
    duration loadRetry = std::chrono::seconds(10);
};

namespace detail
{

struct held_map
{
    map_status id;
    expert_map map;
};

struct challenge
{
    incarnation_id incarnation;
    std::uint64_t nonce = 0;
};

struct pending_switch
{
    pending_status status;
    expert_map map;
    bool voted = false;
    std::set<rank_number> votes;
    std::optional<time_point> blockedSince;
    std::optional<time_point> votedAt;
};

} // namespace detail

/**
 * Stands in front of the engine of one rank and permits its steps.
 *
 * It permits a step only with the map that the group uses for it, whatever controllers or the engine believe. It
 * refuses controllers with an old fencing number. It keeps nothing on disk: after a restart it learns what the group
 * does from all other ranks before it permits a step. It reads no clock; `gate_tick` is due every 100 ms.
 */
class rank_gate
{
public:
    explicit rank_gate(const gate_settings &settings);

    [[nodiscard]] std::vector<gate_action> step(const gate_event &event, time_point now);
    [[nodiscard]] rank_status status() const;

private:
    using held_map = detail::held_map;
    using pending_switch = detail::pending_switch;

    void on(const engine_started &event);
    void on(const engine_lost &event);
    void on(const engine_loaded &event);
    void on(const step_requested &event);
    void on(const from_controller &event);
    void on(const from_peer &event);
    void on(const gate_tick &event);

    void onController(const inquire &message);
    void onController(const prepare &message);
    void onController(const hold &message);
    void onController(const decide &message);

    void onPeer(const from_peer &from, const join_request &message);
    void onPeer(const from_peer &from, const join_challenge &message);
    void onPeer(const from_peer &from, const join_reply &message);
    void onPeer(const from_peer &from, const cancel_vote &message);
    void onPeer(const from_peer &from, const peer_decision &message);

    [[nodiscard]] bool fenceAllows(fence_number fence);
    [[nodiscard]] bool holdsMap() const;
    [[nodiscard]] bool isResolved(switch_id id) const;
    [[nodiscard]] std::uint64_t view() const;
    [[nodiscard]] bool answersChallenge(const from_peer &from, const join_request &message);
    void learnIncarnation(rank_number rank, incarnation_id incarnation);
    void adoptIfComplete();
    void adopt(const join_reply &latest, const pending_status &pending);
    [[nodiscard]] pending_status heldElsewhere(switch_id resolved) const;
    [[nodiscard]] std::vector<expert_map> heldMaps() const;
    void resolvePending(bool commit);
    void activatePending();
    void releasePreviousBefore(step_number step);
    void permitIfPossible();
    [[nodiscard]] const held_map *mapForWaitingStep();
    void vote();
    void orderLoads();
    void orderLoad(const held_map &wanted);
    void requestJoin();
    void release(const digest &content);
    void report();
    void sendPeer(rank_number to, peer_message message);
    void sendPeers(const peer_message &message);

    gate_settings m_settings;
    time_point m_now {};
    std::vector<gate_action> m_actions;

    incarnation_id m_engine;
    std::set<digest> m_loaded;
    std::map<digest, time_point> m_loadOrdered;

    fence_number m_floor;
    std::vector<incarnation_id> m_view;
    std::map<rank_number, detail::challenge> m_challenges;
    std::uint64_t m_challengesMade = 0;
    std::map<rank_number, join_reply> m_replies;
    /** Content of maps that other ranks sent, until this rank takes them over. */
    std::map<digest, expert_map> m_offered;
    bool m_joined = false;

    held_map m_current;
    std::optional<held_map> m_previous;
    step_number m_currentFrom;
    std::optional<pending_switch> m_pending;
    switch_id m_abandoned;

    step_number m_lastPermitted;
    std::optional<step_number> m_waiting;
    std::uint64_t m_sequence = 0;
    time_point m_lastReport {};
    std::uint64_t m_ticks = 0;
};

} // namespace figcleat::group
