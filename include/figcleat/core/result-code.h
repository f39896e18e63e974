#pragma once

#include <array>
#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace figcleat
{

/** Numbered results; the table for operators is docs/result-codes.md. */
enum class result_code : std::uint16_t {
    ok = 0,

    malformed_request = 100,
    header_too_large = 101,
    body_too_large = 102,
    malformed_json = 103,
    wrong_credential = 104,
    unknown_service = 105,
    idempotency_key_required = 106,
    idempotency_key_invalid = 107,
    deadline_invalid = 108,
    sender_too_slow = 109,
    idempotency_key_reused = 110,

    workspace_limit = 200,
    queue_full = 201,
    deadline_too_near = 202,
    no_target = 203,
    retry_budget_spent = 204,
    target_at_limit = 205,
    target_leaving = 206,
    data_centre_out = 207,
    entry_stopping = 208,
    not_configured = 209,
    agreement_unavailable = 210,
    claims_full = 211,
    prompt_quarantined = 212,
    memory_full = 213,

    stale_incarnation = 300,
    stale_fence = 301,
    attempt_closed = 302,
    duplicate_attempt = 303,
    attempt_table_full = 304,

    deadline_exceeded = 400,
    target_lost = 401,
    engine_failed = 402,
    stream_broken = 403,
    caller_gone = 404,
    still_running = 405,
    outcome_unknown = 406,
    answer_not_kept = 407,
    buffer_full = 408,

    settings_unreadable = 500,
    settings_syntax = 501,
    settings_unknown_key = 502,
    settings_wrong_type = 503,
    settings_bad_unit = 504,
    settings_missing_value = 505,
    settings_out_of_range = 506,
    configuration_invalid = 510,
    configuration_number_taken = 511,
    configuration_number_too_low = 512,
    operator_credential_wrong = 513,
    not_found = 514,
    unknown_data_centre = 515,
    usage_error = 516,
    entry_unreachable = 517,
    command_uncertain = 518,

    log_damaged = 600,
    log_tail_torn = 601,
    disk_full = 602,
    sync_failed = 603,
    identity_mismatch = 604,
    not_leader = 605,
    leadership_lost = 606,
    no_quorum = 607,
    proposal_queue_full = 608,
    unsupported_version = 609,

    message_malformed = 700,
    message_too_large = 701,
    peer_silent = 702,
    mailbox_full = 703,
    address_unusable = 704,

    map_stale = 800,
    rank_not_ready = 801,
    map_digest_mismatch = 802,

    invariant_one_map = 901,
    invariant_cold_limit = 902,
    invariant_data_centre_out = 903,
    invariant_whole_answer = 904,
    invariant_not_run = 905,
    invariant_at_most_once = 906,
    invariant_target_leaving = 907,
    invariant_graceful_stop = 908,
    invariant_configuration_order = 909,
    invariant_one_leader = 910,
    invariant_committed_entry = 911,
    invariant_fence_unique = 912,
    invariant_synced_first = 913,
    invariant_internal = 914,
};

/** What a result says about the request that it answers. */
enum class execution : std::uint8_t {
    not_run,
    ran,
    unknown,
    /** The code does not answer a request to a service. */
    not_applicable,
};

struct result_info
{
    result_code code;
    std::string_view name;
    execution ran;
    /** HTTP status sent with this code. */
    int httpStatus;
    /** Exit status of the command-line tool and the daemon. */
    int exitStatus;
    std::string_view meaning;
};

/** Row of the result code table. */
[[nodiscard]] const result_info &describe(result_code code);
/** Every row, in ascending order of code. */
[[nodiscard]] const std::array<result_info, 88> &resultTable();
[[nodiscard]] std::string_view toString(execution ran);

struct error
{
    result_code code = result_code::ok;
    std::string detail;
};

template<typename T>
using expected = tl::expected<T, error>;

[[nodiscard]] inline tl::unexpected<error> fail(result_code code, std::string detail)
{
    return tl::unexpected<error>(error { code, std::move(detail) });
}

} // namespace figcleat

MSGPACK_ADD_ENUM(figcleat::result_code)
