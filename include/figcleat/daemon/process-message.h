#pragma once

#include "figcleat/agreed/commands.h"
#include "figcleat/consensus/messages.h"
#include "figcleat/distribution/messages.h"
#include "figcleat/forward/node-messages.h"
#include "figcleat/forward/quarantine-messages.h"
#include "figcleat/report/service-level.h"
#include "figcleat/target/messages.h"
#include "figcleat/wire/codec.h"

#include <variant>

/** The messages between the processes of figcleat and their envelope. */
namespace figcleat
{

/** Heartbeat of an entry, to other entries and to the targets that announce themselves to it. */
struct peer_state
{
    vm_id vm;
    data_centre_id dataCentre;
    bool isVoter = false;
    /** Mailbox of the leader that this voter knows; empty if none. */
    peer_address leader;
    /** Configuration in force there; for the status table only. */
    revision_number revision;
    /** Requests in progress, for the status table. */
    std::uint32_t requestsInProgress = 0;

    MSGPACK_DEFINE(vm, dataCentre, isVoter, leader, revision, requestsInProgress)
};

/** Asks a voter to put a command into the log. */
struct proposal
{
    std::uint64_t id = 0;
    agreed::command command;

    MSGPACK_DEFINE(id, command)
};

struct proposal_answer
{
    std::uint64_t id = 0;
    result_code code = result_code::ok;
    agreed::outcome result;
    /** Where to ask instead, with code not_leader. */
    peer_address leader;

    MSGPACK_DEFINE(id, code, result, leader)
};

/** Asks a voter for the usage totals, as of now. */
struct usage_query
{
    std::uint64_t id = 0;

    MSGPACK_DEFINE(id)
};

struct usage_answer
{
    std::uint64_t id = 0;
    result_code code = result_code::ok;
    std::vector<agreed::usage_row> rows;

    MSGPACK_DEFINE(id, code, rows)
};

/** Asks the leader to change the set of voters; answered by proposal_answer. */
struct membership_request
{
    std::uint64_t id = 0;
    bool add = true;
    peer_address address;

    MSGPACK_DEFINE(id, add, address)
};

/** Asks an entry for every service-level summary that it holds. */
struct summary_query
{
    std::uint64_t id = 0;

    MSGPACK_DEFINE(id)
};

/** One summary; `id` is 0 for a copy that the receiver is to keep. */
struct summary_answer
{
    std::uint64_t id = 0;
    report::service_level_summary summary;

    MSGPACK_DEFINE(id, summary)
};

using process_message
    = std::variant<announce, dispatch, attempt_refused, answer_piece, attempt_finished, attempt_cancel, close_attempt,
                   attempt_closed, peer_state, proposal, proposal_answer, usage_query, usage_answer, membership_request,
                   summary_query, summary_answer, distribution::heartbeat, distribution::fetch_configuration,
                   distribution::fetch_declined, distribution::configuration_copy, consensus::raft_message,
                   forward::node_poll, forward::node_update, forward::node_load, forward::control_renewal,
                   group::control_invitation, group::control_grant, group::control_announcement, group::rank_report,
                   group::rank_result, group::group_report, group::rank_command, group::multi_rank_command,
                   forward::quarantine_update>;

struct envelope
{
    peer_address from;
    incarnation_id incarnation;
    process_message message;

    MSGPACK_DEFINE(from, incarnation, message)
};

} // namespace figcleat
