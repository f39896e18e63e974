#pragma once

#include "figcleat/forward/forwarder.h"
#include "figcleat/forward/route-table.h"
#include "figcleat/forward/target-directory.h"
#include "figcleat/group/engine-rank.h"
#include "figcleat/http/server.h"
#include "figcleat/target/messages.h"

#include <string>
#include <variant>

/** What a deployment's platform says on the wire, in the terms of this project. */
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
    /** Which life of the target has ended; 0 if it did not say. */
    std::int64_t startedMs = 0;
};

struct put_configuration
{
    std::uint64_t version = 0;
    /** As it is kept in the replicated log. */
    std::string content;
};

struct get_configuration
{
};

/** Takes a data centre out of service or brings it back. */
struct set_data_centre_service
{
    data_centre_id dataCentre;
    bool inService = true;
};

using coordinator_call
    = std::variant<register_target, deregister_target, put_configuration, get_configuration, set_data_centre_service>;

/** Answer to a call to a coordinator, before it is put into HTTP. */
struct coordinator_answer
{
    result_code code = result_code::ok;
    std::string detail {};
    /** Body of a successful read. */
    std::string content {};
    /** "IP:port" of the coordinator to ask instead; empty for none. */
    std::string redirectAddress {};
};

struct http_answer
{
    int status = 0;
    http_headers headers;
    std::string body;
};

/** Translates between a platform's wire and this project's types; it holds names and formats and decides nothing. */
class dialect
{
public:
    virtual ~dialect() = default;

    [[nodiscard]] virtual caller_request decodeRequest(http_request request) const = 0;
    [[nodiscard]] virtual service_call encodeCall(const outgoing_call &call) const = 0;
    /** `request` is the one that the answer should belong to. */
    [[nodiscard]] virtual answer_head decodeHead(const caller_request &request, int status,
                                                 const http_headers &headers) const = 0;
    [[nodiscard]] virtual http_answer encodeRefusal(const refusal &why) const = 0;
    [[nodiscard]] virtual bool isReadinessCheck(const http_request &request) const = 0;

    /** The error of a configuration is `configuration_invalid`; an unknown call is `not_found`. */
    [[nodiscard]] virtual expected<coordinator_call> decodeCall(const http_request &request) const = 0;
    [[nodiscard]] virtual http_answer encodeAnswer(const http_request &request,
                                                   const coordinator_answer &answer) const = 0;
    // Calls of an agent to the engine beside it.
    [[nodiscard]] virtual service_call statusCall() const = 0;
    /** Reads the choices of the rank's requests, or with `lists` the experts that it holds. */
    [[nodiscard]] virtual service_call expertsCall(bool lists) const = 0;
    [[nodiscard]] virtual service_call orderCall(const group::rank_order &order) const = 0;
    /** Fills in the state of the rank; `not_found` if the engine belongs to no group. */
    [[nodiscard]] virtual expected<void> decodeStatus(const std::string &body,
                                                      group::engine_rank_status &status) const = 0;
    [[nodiscard]] virtual expected<void> decodeExpertChoices(const std::string &body, std::size_t sets,
                                                             group::engine_rank_status &status) const = 0;
    [[nodiscard]] virtual expected<void> decodeExpertLists(const std::string &body,
                                                           group::engine_rank_status &status) const = 0;
    [[nodiscard]] virtual group::order_result decodeOrderResult(int status) const = 0;

    /** Reads the content of a configuration; `configuration_invalid` if it cannot be read in full. */
    [[nodiscard]] virtual expected<route_table> decodeRoutes(const std::string &content) const = 0;
};

} // namespace figcleat::forward
