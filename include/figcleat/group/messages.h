#pragma once

#include "figcleat/core/digest.h"
#include "figcleat/core/ids.h"
#include "figcleat/group/expert-map.h"

#include <cstdint>
#include <optional>
#include <variant>

/** Messages between the controller of a group and its ranks, and between ranks. */
namespace figcleat::group
{

/** Asks a rank for its status; an older controller is refused from then on. */
struct inquire
{
    fence_number fence;

    MSGPACK_DEFINE(fence)
};

/** Asks a rank to load what a map needs beside the one in effect, which must be `from`. */
struct prepare
{
    fence_number fence;
    switch_id from;
    expert_map map;

    MSGPACK_DEFINE(fence, from, map)
};

/** Asks a rank that is ready not to pass `step` before it knows the decision. */
struct hold
{
    fence_number fence;
    switch_id id;
    step_number step;

    MSGPACK_DEFINE(fence, id, step)
};

/** Result of a switch: all ranks use the map from `step` on, or none ever does. */
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
    /** The rank knows that the switch is decided and waits for its step. */
    scheduled,
};

/** A switch that a rank knows of and has not finished. */
struct pending_status
{
    switch_phase phase = switch_phase::none;
    switch_id id;
    digest content;
    step_number step;

    MSGPACK_DEFINE(phase, id, content, step)
};

/** A map that a rank holds. `id` is all zero if there is none. */
struct map_status
{
    switch_id id;
    digest content;

    bool operator==(const map_status &) const = default;
    MSGPACK_DEFINE(id, content)
};

/** All that a controller needs to know of a rank. */
struct rank_status
{
    rank_number rank = 0;
    incarnation_id incarnation;
    incarnation_id engine;
    /** Rises with each status of this incarnation. */
    std::uint64_t sequence = 0;
    /** Highest fencing number seen; the rank refuses lower ones. */
    fence_number floor;
    /** False until the rank has learnt from all other ranks what the group does. */
    bool joined = false;
    /** Checksum over the incarnations of all ranks as this rank knows them. */
    std::uint64_t view = 0;
    map_status current;
    pending_status pending;
    /** The engine has loaded the pending map. */
    bool ready = false;
    /** Highest switch that was abandoned here. */
    switch_id abandoned;
    step_number lastPermitted;

    MSGPACK_DEFINE(rank, incarnation, engine, sequence, floor, joined, view, current, pending, ready, abandoned,
                   lastPermitted)
};

/** A rank that starts asks every other rank what the group does. */
struct join_request
{
    /** Nonce of the challenge that it answers, 0 at first. */
    std::uint64_t answer = 0;
    /** Asks for the content of the maps too. */
    bool withMaps = false;

    MSGPACK_DEFINE(answer, withMaps)
};

/** Asks a rank of an unknown incarnation to prove that this is its present life. */
struct join_challenge
{
    incarnation_id to;
    std::uint64_t nonce = 0;

    MSGPACK_DEFINE(to, nonce)
};

struct join_reply
{
    incarnation_id to;
    fence_number floor;
    map_status current;
    map_status previous;
    /** First step that uses `current`; earlier ones use `previous`. */
    step_number currentFrom;
    pending_status pending;
    switch_id abandoned;
    std::vector<expert_map> maps;

    MSGPACK_DEFINE(to, floor, current, previous, currentFrom, pending, abandoned, maps)
};

/**
 * The sender waits at the switch step without news of the decision and will not take it from a controller any
 * more. When all ranks have said so, none can use the new map, and the group goes on with the old one.
 */
struct cancel_vote
{
    switch_id id;

    MSGPACK_DEFINE(id)
};

/** Answer to a vote by a rank that knows the result. */
struct peer_decision
{
    switch_id id;
    bool commit = false;

    MSGPACK_DEFINE(id, commit)
};

using peer_message = std::variant<join_request, join_challenge, join_reply, cancel_vote, peer_decision>;

} // namespace figcleat::group

MSGPACK_ADD_ENUM(figcleat::group::switch_phase)
