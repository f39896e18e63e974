#include "figcleat/core/result-code.h"

#include <algorithm>

namespace figcleat
{

namespace
{

using enum result_code;
using enum execution;

constexpr std::array<result_info, 88> table { {
    { ok, "ok", ran, 200, 0, "The request ran and its whole answer was delivered." },
    { malformed_request, "malformed_request", not_run, 400, 10, "The HTTP request cannot be parsed." },
    { header_too_large, "header_too_large", not_run, 431, 10, "The headers exceed 16 KiB." },
    { body_too_large, "body_too_large", not_run, 413, 10, "The body exceeds the limit." },
    { malformed_json, "malformed_json", not_run, 400, 10, "The body is not a valid completion request." },
    { wrong_credential, "wrong_credential", not_run, 401, 10, "No workspace has this credential." },
    { unknown_service, "unknown_service", not_run, 404, 10, "The configuration has no such service or model." },
    { idempotency_key_required, "idempotency_key_required", not_run, 400, 10,
      "This call may not be repeated and has no Idempotency-Key." },
    { idempotency_key_invalid, "idempotency_key_invalid", not_run, 400, 10,
      "The Idempotency-Key is empty or over 128 bytes." },
    { deadline_invalid, "deadline_invalid", not_run, 400, 10, "The deadline header is not a number of milliseconds." },
    { sender_too_slow, "sender_too_slow", not_run, 408, 10, "The caller did not send its request in time." },
    { idempotency_key_reused, "idempotency_key_reused", not_run, 422, 10,
      "The key was used for a call with other content." },
    { workspace_limit, "workspace_limit", not_run, 429, 11,
      "The workspace has its full number of requests in progress." },
    { queue_full, "queue_full", not_run, 503, 11, "The entry holds its full number of requests." },
    { deadline_too_near, "deadline_too_near", not_run, 503, 11, "The answer cannot come before the deadline." },
    { no_target, "no_target", not_run, 503, 11, "No target can take the request now." },
    { retry_budget_spent, "retry_budget_spent", not_run, 503, 11, "The entry has no retry left in its budget." },
    { target_at_limit, "target_at_limit", not_run, 503, 11, "The target is at the limit of its present state." },
    { target_leaving, "target_leaving", not_run, 503, 11, "The target is draining." },
    { data_centre_out, "data_centre_out", not_run, 503, 11, "The data centre is out of service." },
    { entry_stopping, "entry_stopping", not_run, 503, 11, "The entry is stopping." },
    { not_configured, "not_configured", not_run, 503, 11, "The process holds no configuration yet." },
    { agreement_unavailable, "agreement_unavailable", not_run, 503, 11, "No quorum of voters can be reached." },
    { claims_full, "claims_full", not_run, 503, 11, "The table of idempotency keys is full." },
    { prompt_quarantined, "prompt_quarantined", not_run, 503, 11,
      "Requests with a part of this prompt have crashed targets." },
    { memory_full, "memory_full", not_run, 503, 11, "Connections hold as many bytes as this process may use." },
    { stale_incarnation, "stale_incarnation", not_run, 503, 11,
      "The dispatch names an earlier incarnation of the target." },
    { stale_fence, "stale_fence", not_run, 503, 11, "The dispatch or order carries an old fencing number." },
    { attempt_closed, "attempt_closed", not_run, 503, 11, "The attempt was closed before it started." },
    { duplicate_attempt, "duplicate_attempt", unknown, 409, 12, "The target has already seen this attempt." },
    { attempt_table_full, "attempt_table_full", not_run, 503, 11, "The target cannot record another attempt." },
    { deadline_exceeded, "deadline_exceeded", unknown, 504, 12,
      "The deadline passed while the request was in progress." },
    { target_lost, "target_lost", unknown, 502, 12, "The target was lost while the request was in progress." },
    { engine_failed, "engine_failed", unknown, 502, 12,
      "The engine or service failed while the request was in progress." },
    { stream_broken, "stream_broken", unknown, 502, 12, "The stream ended before its last piece." },
    { caller_gone, "caller_gone", unknown, 499, 12, "The caller closed its connection." },
    { still_running, "still_running", unknown, 409, 12, "A call with this key is still running." },
    { outcome_unknown, "outcome_unknown", unknown, 502, 12, "A call with this key may have run; its outcome is lost." },
    { answer_not_kept, "answer_not_kept", ran, 410, 12, "The call ran; its answer was too large to be kept." },
    { buffer_full, "buffer_full", unknown, 502, 12, "The caller reads too slowly and its buffer is full." },
    { settings_unreadable, "settings_unreadable", not_applicable, 500, 20, "The file cannot be read." },
    { settings_syntax, "settings_syntax", not_applicable, 400, 21, "The file is not valid TOML." },
    { settings_unknown_key, "settings_unknown_key", not_applicable, 400, 22,
      "The file has a key that figcleat does not know." },
    { settings_wrong_type, "settings_wrong_type", not_applicable, 400, 23, "A value has the wrong type." },
    { settings_bad_unit, "settings_bad_unit", not_applicable, 400, 24, "A value has a missing or unknown unit." },
    { settings_missing_value, "settings_missing_value", not_applicable, 400, 25, "A required value is missing." },
    { settings_out_of_range, "settings_out_of_range", not_applicable, 400, 26, "A value is outside its range." },
    { configuration_invalid, "configuration_invalid", not_applicable, 400, 30,
      "The configuration is refused entirely; every error is listed." },
    { configuration_number_taken, "configuration_number_taken", not_applicable, 409, 31,
      "The number belongs to a file with other content." },
    { configuration_number_too_low, "configuration_number_too_low", not_applicable, 409, 32,
      "A file with a higher number is in force." },
    { operator_credential_wrong, "operator_credential_wrong", not_applicable, 401, 33,
      "The operator credential is wrong." },
    { not_found, "not_found", not_applicable, 404, 34, "There is nothing at this path." },
    { unknown_data_centre, "unknown_data_centre", not_applicable, 404, 35,
      "The configuration has no such data centre." },
    { usage_error, "usage_error", not_applicable, 400, 2, "The command line is wrong." },
    { entry_unreachable, "entry_unreachable", not_applicable, 503, 36, "The entry does not answer." },
    { command_uncertain, "command_uncertain", not_applicable, 503, 37,
      "No quorum answered in time; the command may still take effect." },
    { log_damaged, "log_damaged", not_applicable, 500, 40, "A record in the middle of the log is damaged." },
    { log_tail_torn, "log_tail_torn", not_applicable, 500, 41, "The last record was torn and has been cut." },
    { disk_full, "disk_full", not_applicable, 507, 42, "The disk of the data folder is full." },
    { sync_failed, "sync_failed", not_applicable, 500, 43, "A write could not be synced." },
    { identity_mismatch, "identity_mismatch", not_applicable, 500, 44,
      "The data folder belongs to another voter or is empty." },
    { not_leader, "not_leader", not_applicable, 503, 45, "This voter is not the leader." },
    { leadership_lost, "leadership_lost", not_applicable, 503, 46,
      "The leader changed while the command was in progress; it may still commit." },
    { no_quorum, "no_quorum", not_applicable, 503, 47, "The leader cannot reach a quorum." },
    { proposal_queue_full, "proposal_queue_full", not_applicable, 503, 48,
      "The leader holds its full number of commands." },
    { unsupported_version, "unsupported_version", not_applicable, 500, 49,
      "A record or message has a version that this program does not know." },
    { message_malformed, "message_malformed", not_applicable, 400, 50, "A message cannot be decoded." },
    { message_too_large, "message_too_large", not_applicable, 413, 51, "A message exceeds 4 MiB." },
    { peer_silent, "peer_silent", not_applicable, 503, 52, "A peer sent no heartbeat for 1.5 s." },
    { mailbox_full, "mailbox_full", not_applicable, 503, 53, "The queue to a peer is full." },
    { address_unusable, "address_unusable", not_applicable, 500, 54, "An address cannot be bound or dialled." },
    { map_stale, "map_stale", not_applicable, 409, 60, "The expert map is older than the one in force." },
    { rank_not_ready, "rank_not_ready", not_applicable, 409, 61,
      "A rank did not get ready for the expert map in time." },
    { map_digest_mismatch, "map_digest_mismatch", not_applicable, 409, 62,
      "A rank holds a map with other content under the same version." },
    { invariant_one_map, "invariant_one_map", not_applicable, 500, 70,
      "Ranks of a group used different expert maps in one step." },
    { invariant_cold_limit, "invariant_cold_limit", not_applicable, 500, 70,
      "A target was given more work than its state bears." },
    { invariant_data_centre_out, "invariant_data_centre_out", not_applicable, 500, 70,
      "A data centre received new work after it was taken out." },
    { invariant_whole_answer, "invariant_whole_answer", not_applicable, 500, 70,
      "An answer was mixed, cut or marked whole by mistake." },
    { invariant_not_run, "invariant_not_run", not_applicable, 500, 70, "A request reported as not run was run." },
    { invariant_at_most_once, "invariant_at_most_once", not_applicable, 500, 70,
      "A call that may not be repeated was started twice." },
    { invariant_target_leaving, "invariant_target_leaving", not_applicable, 500, 70,
      "A leaving target was given new work." },
    { invariant_graceful_stop, "invariant_graceful_stop", not_applicable, 500, 70,
      "A planned stop cut off a request." },
    { invariant_configuration_order, "invariant_configuration_order", not_applicable, 500, 70,
      "A configuration reverted to an older one." },
    { invariant_one_leader, "invariant_one_leader", not_applicable, 500, 70, "Two leaders acted in one term." },
    { invariant_committed_entry, "invariant_committed_entry", not_applicable, 500, 70, "A committed entry changed." },
    { invariant_fence_unique, "invariant_fence_unique", not_applicable, 500, 70,
      "A fencing number was handed out twice." },
    { invariant_synced_first, "invariant_synced_first", not_applicable, 500, 70,
      "A vote or acknowledgement was sent before its sync." },
    { invariant_internal, "invariant_internal", not_applicable, 500, 70, "An internal assumption does not hold." },
} };

} // namespace

const result_info &describe(result_code code)
{
    const auto row = std::lower_bound(table.begin(), table.end(), code,
                                      [](const result_info &info, result_code wanted) { return info.code < wanted; });
    return row != table.end() && row->code == code ? *row : table.back();
}

const std::array<result_info, 88> &resultTable()
{
    return table;
}

std::string_view toString(execution ran)
{
    switch (ran) {
    case not_run:
        return "not_run";
    case execution::ran:
        return "ran";
    case unknown:
        return "unknown";
    case not_applicable:
        return "not_applicable";
    }
    return "unknown";
}

} // namespace figcleat
