#pragma once

#include "figcleat/agreed/commands.h"
#include "figcleat/core/clock.h"
#include "figcleat/http/server.h"
#include "figcleat/settings/configuration.h"
#include "figcleat/target/messages.h"

#include <memory>
#include <variant>

/** Events and actions of the request pipeline of an entry. */
namespace figcleat::request
{

struct call_arrived
{
    exchange_id exchange;
    http_request received;
};

struct caller_gone
{
    exchange_id exchange;
};

/** The caller reads so slowly that its buffer is full. */
struct caller_too_slow
{
    exchange_id exchange;
};

struct target_announced
{
    peer_address from;
    announce announced;
};

/** The log decided a proposal, or it could not be decided in time. */
struct proposal_decided
{
    std::uint64_t proposal = 0;
    /** ok if `result` is the outcome of the applied command. */
    result_code code = result_code::ok;
    agreed::outcome result;
};

struct configuration_changed
{
    std::shared_ptr<const configuration> config;
    std::vector<data_centre_id> dataCentresOut;
    revision_number revision;
};

/** Planned stop: refuse new calls, finish those in progress. */
struct stop_requested
{
};

struct tick
{
};

using pipeline_event
    = std::variant<call_arrived, caller_gone, caller_too_slow, target_announced, attempt_refused, answer_piece,
                   attempt_finished, attempt_closed, proposal_decided, configuration_changed, stop_requested, tick>;

struct reply
{
    exchange_id exchange;
    int status = 0;
    http_headers headers;
    std::string body;
};

struct start_stream
{
    exchange_id exchange;
    int status = 0;
    http_headers headers;
};

struct send_piece
{
    exchange_id exchange;
    std::string bytes;
};

struct end_stream
{
    exchange_id exchange;
};

/** Closes the connection in mid-answer, so that the caller cannot take it for complete. */
struct break_stream
{
    exchange_id exchange;
};

using target_message = std::variant<dispatch, attempt_cancel, close_attempt>;

struct send_to_target
{
    peer_address to;
    target_message message;
};

struct propose
{
    std::uint64_t proposal = 0;
    agreed::command command;
};

/** A request has ended; feeds metrics and the service-level report. */
struct request_ended
{
    request_id id;
    workspace_id workspace;
    service_id service;
    result_code code = result_code::ok;
    duration total {};
    /** Until the first byte of the answer; negative if there was none. */
    duration firstByte { -1 };
    /** Attempts that were handed to a target. */
    std::uint32_t attempts = 0;
};

/** All requests have ended after stop_requested. */
struct drained
{
    /** Use of the last seconds could not be recorded. */
    bool usageLost = false;
};

using pipeline_action = std::variant<reply, start_stream, send_piece, end_stream, break_stream, send_to_target, propose,
                                     request_ended, drained>;

} // namespace figcleat::request
