#pragma once

#include "figcleat/core/digest.h"
#include "figcleat/core/ids.h"
#include "figcleat/core/result-code.h"
#include "figcleat/core/units.h"
#include "figcleat/target/messages.h"

#include <string>
#include <variant>
#include <vector>

/** Commands of the replicated log and their outcomes. Times are the leader's wall clock in milliseconds. */
namespace figcleat::agreed
{

/** An operator's file under its number. */
struct submit_configuration
{
    std::uint64_t number = 0;
    std::string content {};
    /** Every data centre that the file names, filled in by the entry that checked it; ends their overrides. */
    std::vector<data_centre_id> dataCentres {};

    MSGPACK_DEFINE(number, content, dataCentres)
};

/** Takes a data centre out of service or brings it back, without a file. */
struct set_data_centre
{
    data_centre_id dataCentre {};
    bool inService = true;

    MSGPACK_DEFINE(dataCentre, inService)
};

/** Claims an idempotency key for one attempt at one incarnation of one target. */
struct claim_key
{
    /** SHA-256 over workspace, service and key. */
    digest key {};
    /** SHA-256 of the call's method, path and body, to refuse the key for another call. */
    digest call {};
    workspace_id workspace {};
    service_id service {};
    target_id target {};
    incarnation_id targetIncarnation {};
    attempt_id attempt {};
    std::int64_t nowMs = 0;

    MSGPACK_DEFINE(key, call, workspace, service, target, targetIncarnation, attempt, nowMs)
};

/** Records the outcome of a claimed call. */
struct settle_claim
{
    digest key {};
    fence_number fence {};
    /** ok if the call ran and its answer is known, else outcome_unknown. */
    result_code code = result_code::ok;
    std::uint32_t httpStatus = 0;
    std::string answer {};
    digest answerDigest {};

    MSGPACK_DEFINE(key, fence, code, httpStatus, answer, answerDigest)
};

/** Gives a claim back after its target closed the attempt as never started. */
struct release_claim
{
    digest key {};
    fence_number fence {};

    MSGPACK_DEFINE(key, fence)
};

/** Hands out a fencing number for a subject, for example "group/assistant-1". */
struct issue_fence
{
    std::string subject {};
    std::string holder {};

    MSGPACK_DEFINE(subject, holder)
};

/** Use of one workspace at one service. */
struct usage_row
{
    workspace_id workspace {};
    service_id service {};
    request_count requests {};
    token_count promptTokens {};
    token_count generatedTokens {};

    MSGPACK_DEFINE(workspace, service, requests, promptTokens, generatedTokens)
};

/** A batch of use; a batch of one entry incarnation with a sequence already recorded counts once. */
struct record_usage
{
    incarnation_id entry {};
    std::uint64_t sequence = 0;
    std::vector<usage_row> rows {};

    MSGPACK_DEFINE(entry, sequence, rows)
};

/** Drops claims that are older than their life, oldest first and at most 20,000 at once. */
struct expire_claims
{
    std::int64_t nowMs = 0;

    MSGPACK_DEFINE(nowMs)
};

/** A target has said that it leaves, or has left; final for this start of the target. */
struct record_sign_off
{
    target_id target {};
    /** Start time of the target in Unix milliseconds; 0 if unknown. */
    std::int64_t startedMs = 0;

    MSGPACK_DEFINE(target, startedMs)
};

using command = std::variant<submit_configuration, set_data_centre, claim_key, settle_claim, release_claim, issue_fence,
                             record_usage, expire_claims, record_sign_off>;

/** What became of a claim; also the answer to a claim that another attempt holds. */
enum class claim_status : std::uint8_t {
    granted,
    /** Held by the attempt in the outcome, which is the claimant's own if its command was proposed twice. */
    held,
    settled,
    /** Not granted, and no record is given. */
    refused,
};

/** The record of a key as the log holds it. */
struct claim_record
{
    digest call {};
    workspace_id workspace {};
    service_id service {};
    target_id target {};
    incarnation_id targetIncarnation {};
    attempt_id attempt {};
    fence_number fence {};
    std::int64_t claimedMs = 0;
    bool settled = false;
    result_code code = result_code::ok;
    std::uint32_t httpStatus = 0;
    std::string answer {};
    digest answerDigest {};
    /** False once settled if `answer` is missing: too large, sent as a digest only, or dropped for newer ones. */
    bool answerKept = false;

    bool operator==(const claim_record &) const = default;
    MSGPACK_DEFINE(call, workspace, service, target, targetIncarnation, attempt, fence, claimedMs, settled, code,
                   httpStatus, answer, answerDigest, answerKept)
};

/**
 * Outcome of a command that has been applied.
 *
 * For claim_key only `status == granted` permits a run. The code is then ok; for a held key it is still_running, for
 * a settled one the recorded code or answer_not_kept, else idempotency_key_reused, claims_full or malformed_request.
 */
struct outcome
{
    result_code code = result_code::ok;
    std::string detail {};
    /** For submit_configuration the revision of the accepted file, for set_data_centre the one in force. */
    revision_number revision {};
    fence_number fence {};
    claim_status status = claim_status::refused;
    /** For claim_key whose key is held or settled: the record that holds it. */
    claim_record record {};

    bool operator==(const outcome &) const = default;
    MSGPACK_DEFINE(code, detail, revision, fence, status, record)
};

/** A command of operators that brought a data centre back, whatever the file says. */
struct data_centre_back
{
    data_centre_id dataCentre {};
    revision_number since {};

    bool operator==(const data_centre_back &) const = default;
    MSGPACK_DEFINE(dataCentre, since)
};

/** Configuration in force as it is distributed to every process. */
struct configuration_in_force
{
    revision_number revision {};
    std::uint64_t number = 0;
    std::string content {};
    /** Data centres that operators took out with a command since, sorted. */
    std::vector<data_centre_id> dataCentresOut {};
    /** Data centres that operators brought back with a command since, sorted. */
    std::vector<data_centre_back> dataCentresIn {};

    bool operator==(const configuration_in_force &) const = default;
    MSGPACK_DEFINE(revision, number, content, dataCentresOut, dataCentresIn)
};

} // namespace figcleat::agreed

MSGPACK_ADD_ENUM(figcleat::agreed::claim_status)
