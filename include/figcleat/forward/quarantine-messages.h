#pragma once

#include "figcleat/forward/target-directory.h"

#include <vector>

/** Messages in which fronts share the evidence about prompts that crash targets, and the parts that they refuse. */
namespace figcleat::forward
{

/** A target crashed when it was about to answer a request, or had just begun to; the request may be the cause. */
struct crash_report
{
    target_incarnation target {};
    /** Front at which the attempt ended. */
    peer_address reporter {};
    /** Incarnation of the reporter; identifies the report together with `number`. */
    incarnation_id incarnation {};
    std::uint64_t number = 0;
    /** Shared parts of the request's prompt. */
    std::vector<prompt_part_id> parts {};
    /** Time since the crash. */
    std::int64_t ageMs = 0;
    /** Time for which the request, or others at the reporter, had waited before the crash while no answer began. */
    std::int64_t stalledMs = 0;
    /**
     * The target crashed between the head and the body of its answer, though targets of the service send them together.
     */
    bool isAtStart = false;

    MSGPACK_DEFINE(target, reporter, incarnation, number, parts, ageMs, stalledMs, isAtStart)
};

/** A part of a report that is known from sound requests too. */
struct sound_part
{
    prompt_part_id part {};
    /** Time since the last sound request with this part. */
    std::int64_t ageMs = 0;

    MSGPACK_DEFINE(part, ageMs)
};

/** A crash and the front that reported it. */
struct crash_witness
{
    target_incarnation target {};
    peer_address reporter {};

    bool operator==(const crash_witness &) const = default;
    MSGPACK_DEFINE(target, reporter)
};

enum class quarantine_origin : std::uint8_t {
    /** Requests with the parts crashed targets. */
    crashes,
    operator_order,
};

/** Requests whose prompts have all of these parts are refused. The entry with the higher version replaces the other. */
struct quarantine_record
{
    /** Sorted. */
    std::vector<prompt_part_id> parts {};
    /** Increases with each change of state, trials included. */
    std::uint64_t version = 0;
    bool isActive = true;
    quarantine_origin origin = quarantine_origin::crashes;
    /** Time since requests were first refused, or since the release. */
    std::int64_t sinceMs = 0;
    /** Time since the latest change. */
    std::int64_t changedMs = 0;
    /** Time until one request may be tried; negative if a trial is overdue. */
    std::int64_t nextTrialMs = 0;
    std::uint32_t trials = 0;
    /** Front that will run the next trial or has run the last one. */
    peer_address trialFront {};
    std::vector<crash_witness> witnesses {};

    MSGPACK_DEFINE(parts, version, isActive, origin, sinceMs, changedMs, nextTrialMs, trials, trialFront, witnesses)
};

/** All that the sender knows. Merging is idempotent, so a lost or repeated message does no harm. */
struct quarantine_update
{
    /** The sender has just started and asks for the state of the receiver. */
    bool isQuery = false;
    std::vector<crash_report> reports {};
    std::vector<sound_part> sound {};
    std::vector<quarantine_record> records {};

    MSGPACK_DEFINE(isQuery, reports, sound, records)
};

} // namespace figcleat::forward

MSGPACK_ADD_ENUM(figcleat::forward::quarantine_origin)
