#pragma once

#include "figcleat/core/digest.h"
#include "figcleat/core/ids.h"
#include "figcleat/group/expert-map.h"

#include <cstdint>
#include <optional>
#include <variant>

/** Messages between the controller of a group and its ranks, and among the ranks. */
namespace figcleat::group
{

/** Asks a rank for its status. From then on the rank refuses controllers with a lower fencing number. */
struct inquire
{
    fence_number fence;

    MSGPACK_DEFINE(fence)
};

/** Asks a rank to load the experts of `map` in addition to those of its current map, which has to be `from`. */
struct prepare
{
    fence_number fence;
    switch_id from;
    expert_map map;

    MSGPACK_DEFINE(fence, from, map)
};

/** Asks a rank that has loaded the map not to begin `step` before the rank knows the decision. */
struct hold
{
    fence_number fence;
    switch_id id;
    step_number step;

    MSGPACK_DEFINE(fence, id, step)
};

/** Result of a switch: with `commit` all ranks use the map from `step` on, otherwise no rank ever uses it. */
struct decision
{
    switch_id id;
    digest content;
    step_number step;
    bool commit = false;

    bool operator==(const decision &) const = default;
    MSGPACK_DEFINE(id, content, step, commit)
};

struct decide
{
    fence_number fence;
    decision result;

    MSGPACK_DEFINE(fence, result)
};

using controller_message = std::variant<inquire, prepare, hold, decide>;

enum class switch_phase : std::uint8_t {
    none,
    prepared,
    held,
    /** The rank knows that the switch is committed; the map takes effect at the switch step. */
    scheduled,
};

/** A switch that a rank knows of and has neither completed nor abandoned. */
struct pending_status
{
    switch_phase phase = switch_phase::none;
    switch_id id;
    digest content;
    step_number step;

    MSGPACK_DEFINE(phase, id, content, step)
};

/** Identifies a map of a rank; `id` is all zero if the rank has none. */
struct map_status
{
    switch_id id;
    digest content;

    bool operator==(const map_status &) const = default;
    MSGPACK_DEFINE(id, content)
};

/** State of a rank as reported to the controllers. */
struct rank_status
{
    rank_number rank = 0;
    incarnation_id incarnation;
    incarnation_id engine;
    /** Increases with each status of this incarnation. */
    std::uint64_t sequence = 0;
    /** Highest fencing number that the rank has seen; messages with a lower one are refused. */
    fence_number fenceFloor;
    /** False until the rank has learnt the state of the group from all other ranks. */
    bool joined = false;
    /** Checksum over the incarnations of all ranks that this rank knows. */
    std::uint64_t incarnationChecksum = 0;
    map_status current;
    pending_status pending;
    /** The engine has loaded the pending map. */
    bool ready = false;
    /** Highest id of a switch that the rank has abandoned. */
    switch_id abandoned;
    step_number lastPermitted;

    MSGPACK_DEFINE(rank, incarnation, engine, sequence, fenceFloor, joined, incarnationChecksum, current, pending,
                   ready, abandoned, lastPermitted)
};

/** Sent by a starting rank to every other rank to ask for the state of the group. */
struct join_request
{
    /** Nonce of the challenge that this request answers; 0 if it answers none. */
    std::uint64_t nonce = 0;
    /** Asks for the maps themselves too, not only for their ids and digests. */
    bool withMaps = false;

    MSGPACK_DEFINE(nonce, withMaps)
};

/** Asks a rank with an unknown incarnation to prove that the incarnation is its current one. */
struct join_challenge
{
    incarnation_id to;
    std::uint64_t nonce = 0;

    MSGPACK_DEFINE(to, nonce)
};

/** Answer to a `join_request`: the state of the group as the sender knows it. */
struct join_reply
{
    incarnation_id to;
    fence_number fenceFloor;
    map_status current;
    map_status previous;
    /** First step that uses `current`; earlier ones use `previous`. */
    step_number currentFrom;
    pending_status pending;
    switch_id abandoned;
    std::vector<expert_map> maps;

    MSGPACK_DEFINE(to, fenceFloor, current, previous, currentFrom, pending, abandoned, maps)
};

/**
 * Vote to cancel a switch, sent by a rank that waits at the switch step and has not learnt the decision. The sender
 * no longer accepts the decision from a controller. Once all ranks have voted, no rank can use the new map, and the
 * group continues with the old one.
 */
struct cancel_vote
{
    switch_id id;

    MSGPACK_DEFINE(id)
};

/** Answer to a `cancel_vote` by a rank that knows the result of the switch. */
struct peer_decision
{
    switch_id id;
    bool commit = false;

    MSGPACK_DEFINE(id, commit)
};

using peer_message = std::variant<join_request, join_challenge, join_reply, cancel_vote, peer_decision>;

} // namespace figcleat::group

MSGPACK_ADD_ENUM(figcleat::group::switch_phase)
