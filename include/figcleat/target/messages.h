#pragma once

#include "figcleat/core/digest.h"
#include "figcleat/core/ids.h"
#include "figcleat/core/result-code.h"
#include "figcleat/core/units.h"

#include <string>
#include <utility>
#include <variant>
#include <vector>

/** Messages between an entry and a target. */
namespace figcleat
{

enum class target_state : std::uint8_t {
    cold,
    warm,
    leaving,
};

/** How much a target takes in each state. */
struct target_limits
{
    work_cost full;
    work_cost cold;

    bool operator==(const target_limits &) const = default;
    MSGPACK_DEFINE(full, cold)
};

/** What a target says of itself to every entry, on a period and on each change. */
struct announce
{
    target_id target;
    service_id service;
    data_centre_id dataCentre;
    vm_id vm;
    model_id model;
    std::string modelVersion;
    std::string role;
    group_id group;
    std::uint32_t rank = 0;
    incarnation_id incarnation;
    incarnation_id engineIncarnation;
    target_state state = target_state::cold;
    /** Limit in force now, between the cold and the full limit. */
    work_cost limit;
    /** Limit less work in progress. */
    work_cost spare;
    /** Time from start of an attempt to its first piece, smoothed, in microseconds. */
    std::uint64_t firstPieceMicros = 0;
    /** Time between two pieces of an answer, smoothed, in microseconds. */
    std::uint64_t pieceGapMicros = 0;
    bool engineChecksFences = false;
    /** Rises with each announcement of this incarnation; an older one is ignored. */
    std::uint64_t sequence = 0;
    revision_number revision;

    MSGPACK_DEFINE(target, service, dataCentre, vm, model, modelVersion, role, group, rank, incarnation,
                   engineIncarnation, state, limit, spare, firstPieceMicros, pieceGapMicros, engineChecksFences,
                   sequence, revision)
};

/** An HTTP call as it is passed on to the engine or service. */
struct service_call
{
    std::string method;
    std::string path;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    MSGPACK_DEFINE(method, path, headers, body)
};

/** Right to run a call that may not be repeated; `fence` is 0 for a call that may. */
struct claim_ticket
{
    fence_number fence;
    digest key;

    MSGPACK_DEFINE(fence, key)
};

/** Asks a target to run a call. */
struct dispatch
{
    attempt_id attempt;
    request_id request;
    workspace_id workspace;
    incarnation_id targetIncarnation;
    work_cost cost;
    std::uint32_t priority = 0;
    /** Time left until the caller's deadline when the entry sent this, in milliseconds. */
    std::uint64_t remainingMs = 0;
    claim_ticket claim;
    service_call call;

    MSGPACK_DEFINE(attempt, request, workspace, targetIncarnation, cost, priority, remainingMs, claim, call)
};

/**
 * The target did not run the attempt and never will, if `code` means "not run".
 *
 * Code duplicate_attempt says only that this copy of the dispatch did not start anything. A refusal speaks for
 * the incarnation that sent it: another one than the dispatch named may have received an earlier copy.
 */
struct attempt_refused
{
    attempt_id attempt;
    result_code code = result_code::ok;
    incarnation_id targetIncarnation;

    MSGPACK_DEFINE(attempt, code, targetIncarnation)
};

/** One piece of an answer. Piece 0 carries the HTTP status and headers, and maybe bytes. */
struct answer_piece
{
    attempt_id attempt;
    std::uint64_t position = 0;
    std::uint32_t httpStatus = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string bytes;

    MSGPACK_DEFINE(attempt, position, httpStatus, headers, bytes)
};

/** The attempt ended. `code` is ok only if the answer is whole and has `pieces` pieces. */
struct attempt_finished
{
    attempt_id attempt;
    result_code code = result_code::ok;
    std::uint64_t pieces = 0;
    token_count generatedTokens;

    MSGPACK_DEFINE(attempt, code, pieces, generatedTokens)
};

/** The caller has gone or the entry gave up; the target cancels at the engine. */
struct attempt_cancel
{
    attempt_id attempt;

    MSGPACK_DEFINE(attempt)
};

enum class attempt_state : std::uint8_t {
    never_started,
    running,
    finished,
};

/** Asks what became of an attempt, and bars it from starting later. */
struct close_attempt
{
    attempt_id attempt;
    fence_number fence;
    incarnation_id targetIncarnation;

    MSGPACK_DEFINE(attempt, fence, targetIncarnation)
};

/** Answer to close_attempt; the answer's content is there only in state finished. */
struct attempt_closed
{
    attempt_id attempt;
    attempt_state state = attempt_state::never_started;
    result_code code = result_code::ok;
    std::uint32_t httpStatus = 0;
    std::string answer;
    /** The target's own incarnation; another one than asked means that the outcome is lost. */
    incarnation_id targetIncarnation;

    MSGPACK_DEFINE(attempt, state, code, httpStatus, answer, targetIncarnation)
};

} // namespace figcleat

MSGPACK_ADD_ENUM(figcleat::target_state)
MSGPACK_ADD_ENUM(figcleat::attempt_state)
