#pragma once

#include "figcleat/core/clock.h"
#include "figcleat/group/messages.h"

#include <map>
#include <set>
#include <vector>

namespace figcleat::group
{

/** The engine process started with the map `content` loaded, which need not be the map of the group. */
struct engine_started
{
    incarnation_id engine;
    digest content;
};

struct engine_lost
{
};

/** The engine has loaded the experts of a map in addition to those it had. */
struct engine_loaded
{
    digest content;
};

/** The engine asks for permission to begin a step. */
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

/** Tells the engine to load the experts of a map and to keep those of the maps that it has already loaded. */
struct load_map
{
    expert_map map;
    digest content;
};

/** Tells the engine to release the experts that only this map uses among the loaded maps. */
struct release_map
{
    digest content;
};

/** Permits the engine to run a step with exactly this map. */
struct permit_step
{
    step_number step;
    switch_id id;
    digest content;
};

/** Reports that the gate refused a message of a controller. */
struct refused_message
{
    result_code code = result_code::ok;
    /** Lowest fencing number that the rank accepts. */
    fence_number fenceFloor;
};

using gate_action = std::variant<report_status, send_peer, load_map, release_map, permit_step, refused_message>;

struct gate_settings
{
    rank_number rank = 0;
    rank_number ranks = 1;
    incarnation_id incarnation;
    /** Interval of status reports during a switch and until the rank has a map, and of repeated votes to cancel. */
    duration statusInterval = std::chrono::milliseconds(500);
    /**
     * Interval of status reports at all other times. The reports of 128 ranks have to stay far below 23 KB/s at the
     * controller.
     */
    duration idleStatusInterval = std::chrono::seconds(5);
    /** Time that a rank waits at the switch step for the decision before it votes to cancel the switch. */
    duration holdTimeout = std::chrono::seconds(2);
    /** Time after which an unanswered `load_map` is repeated. */
    duration loadRetryInterval = std::chrono::seconds(10);
};

namespace detail
{

struct versioned_map
{
    map_status status;
    expert_map map;
};

struct issued_challenge
{
    incarnation_id incarnation;
    std::uint64_t nonce = 0;
};

struct pending_switch
{
    pending_status status;
    expert_map map;
    bool hasVoted = false;
    std::set<rank_number> votes;
    /** Time at which the engine requested the switch step while the decision was unknown; starts the hold timeout. */
    std::optional<time_point> blockedSince;
    std::optional<time_point> lastVoteAt;
};

} // namespace detail

/**
 * State machine that decides when the engine of one rank may run a step, and with which expert map.
 *
 * The gate permits a step only with the map that the whole group uses for that step, even if a controller or the engine
 * assumes another one. Messages of controllers with an outdated fencing number are refused. Nothing is stored on disk:
 * after a restart the gate asks all other ranks for the state of the group before it permits a step. The gate reads no
 * clock; the caller passes the time and has to feed `gate_tick` every 100 ms.
 */
class rank_gate
{
public:
    explicit rank_gate(const gate_settings &settings);

    [[nodiscard]] std::vector<gate_action> step(const gate_event &event, time_point now);
    [[nodiscard]] rank_status status() const;

private:
    using versioned_map = detail::versioned_map;
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

    [[nodiscard]] bool checkFence(fence_number fence);
    [[nodiscard]] bool hasMap() const;
    [[nodiscard]] bool isResolved(switch_id id) const;
    [[nodiscard]] std::uint64_t incarnationChecksum() const;
    [[nodiscard]] bool verifyIncarnation(const from_peer &from, const join_request &message);
    void learnIncarnation(rank_number rank, incarnation_id incarnation);
    void adoptIfComplete();
    void adoptGroupState(const join_reply &latest, const pending_status &pending);
    [[nodiscard]] pending_status findPeerHold(switch_id resolved) const;
    [[nodiscard]] std::vector<expert_map> knownMaps() const;
    void resolvePending(bool commit);
    void activatePending();
    void releasePreviousMapIfUnused(step_number step);
    void permitIfPossible();
    [[nodiscard]] const versioned_map *mapForRequestedStep();
    void voteToCancelIfOverdue();
    void requestLoads();
    void requestLoad(const versioned_map &wanted);
    void requestJoin();
    void release(const digest &content);
    void reportStatus();
    void sendToPeer(rank_number to, peer_message message);
    void sendToPeers(const peer_message &message);

    gate_settings m_settings;
    time_point m_now {};
    std::vector<gate_action> m_actions;

    incarnation_id m_engineIncarnation;
    std::set<digest> m_loaded;
    std::map<digest, time_point> m_loadRequestedAt;

    fence_number m_fenceFloor;
    std::vector<incarnation_id> m_knownIncarnations;
    std::map<rank_number, detail::issued_challenge> m_challenges;
    std::uint64_t m_challengesIssued = 0;
    std::map<rank_number, join_reply> m_joinReplies;
    /** Maps received from other ranks, by digest, until this rank adopts the state of the group. */
    std::map<digest, expert_map> m_receivedMaps;
    bool m_joined = false;

    versioned_map m_current;
    std::optional<versioned_map> m_previous;
    step_number m_currentFirstStep;
    std::optional<pending_switch> m_pending;
    switch_id m_highestAbandoned;

    step_number m_lastPermitted;
    std::optional<step_number> m_requestedStep;
    std::uint64_t m_sequence = 0;
    time_point m_lastReport {};
    std::uint64_t m_tickCount = 0;
};

} // namespace figcleat::group
