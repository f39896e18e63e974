#pragma once

#include "figcleat/forward/forwarder.h"
#include "figcleat/forward/route-table.h"
#include "figcleat/forward/target-directory.h"
#include "figcleat/group/engine-rank.h"
#include "figcleat/http/server.h"
#include "figcleat/target/messages.h"

#include <string>
#include <variant>

/** Translation between the wire formats of a deployment's platform and the types of this library. */
namespace figcleat::forward
{

// Calls to a coordinator.

struct register_target
{
    registration what;
};

struct deregister_target
{
    target_id target;
    /** Start of the ended incarnation of the target, in Unix milliseconds; 0 if the call does not contain it. */
    std::int64_t startedMs = 0;
};

struct put_configuration
{
    std::uint64_t version = 0;
    /** The configuration as stored in the replicated log. */
    std::string content;
};

struct get_configuration
{
};

/** Takes a data centre out of service or puts it back into service. */
struct set_data_centre_service
{
    data_centre_id dataCentre;
    bool inService = true;
};

using coordinator_call
    = std::variant<register_target, deregister_target, put_configuration, get_configuration, set_data_centre_service>;

/** Answer to a call to a coordinator, before it is encoded as HTTP. */
struct coordinator_answer
{
    result_code code = result_code::ok;
    std::string detail {};
    /** Answer body of a successful read. */
    std::string content {};
    /** "IP:port" of the coordinator to which the client is redirected; empty for no redirect. */
    std::string redirectAddress {};
};

struct http_answer
{
    int status = 0;
    http_headers headers;
    std::string body;
};

/** Encodes and decodes a platform's messages. A dialect defines names and formats only and makes no decisions. */
class dialect
{
public:
    virtual ~dialect() = default;

    [[nodiscard]] virtual caller_request decodeRequest(http_request request) const = 0;
    [[nodiscard]] virtual service_call encodeCall(const outgoing_call &call) const = 0;
    /**
     * Decodes the status and headers of a target's answer.
     *
     * @param request the request that was sent; an answer that does not match it is marked as corrupt
     */
    [[nodiscard]] virtual answer_head decodeHead(const caller_request &request, int status,
                                                 const http_headers &headers) const = 0;
    [[nodiscard]] virtual http_answer encodeRefusal(const refusal &why) const = 0;
    [[nodiscard]] virtual bool isReadinessCheck(const http_request &request) const = 0;

    /** Errors: `configuration_invalid` for a configuration that cannot be read, `not_found` for an unknown call. */
    [[nodiscard]] virtual expected<coordinator_call> decodeCall(const http_request &request) const = 0;
    [[nodiscard]] virtual http_answer encodeAnswer(const http_request &request,
                                                   const coordinator_answer &answer) const = 0;

    // Calls of an agent to the engine on its host.

    /** Returns the call that asks an engine for its state. */
    [[nodiscard]] virtual service_call statusCall() const = 0;
    /** Asks how often requests chose each expert or, with `lists`, which experts the rank holds. */
    [[nodiscard]] virtual service_call expertsCall(bool lists) const = 0;
    [[nodiscard]] virtual service_call orderCall(const group::rank_order &order) const = 0;
    /** Fills in the state of the rank; the error is `not_found` if the engine belongs to no group. */
    [[nodiscard]] virtual expected<void> decodeStatus(const std::string &body,
                                                      group::engine_rank_status &status) const = 0;
    /** Fills in how often each expert was chosen; a flat list of counts is split into `sets` equal parts. */
    [[nodiscard]] virtual expected<void> decodeExpertChoices(const std::string &body, std::size_t sets,
                                                             group::engine_rank_status &status) const = 0;
    /** Fills in the experts that the rank holds. */
    [[nodiscard]] virtual expected<void> decodeExpertLists(const std::string &body,
                                                           group::engine_rank_status &status) const = 0;
    [[nodiscard]] virtual group::order_result decodeOrderResult(int status) const = 0;

    /** Decodes a configuration; the error is `configuration_invalid` if any part of it cannot be read. */
    [[nodiscard]] virtual expected<route_table> decodeRoutes(const std::string &content) const = 0;
};

} // namespace figcleat::forward
