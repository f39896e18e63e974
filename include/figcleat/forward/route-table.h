#pragma once

#include "figcleat/core/clock.h"
#include "figcleat/core/ids.h"
#include "figcleat/core/result-code.h"
#include "figcleat/group/group-model.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/** Routing of requests to services by host and path; callers do not name a service. */
namespace figcleat::forward
{

using milliseconds = std::chrono::milliseconds;
using route_id = text_id<struct route_tag>;

/** Whether a request may be repeated if it is unknown whether its first attempt ran. */
enum class route_kind : std::uint8_t {
    /** The request may run more than once. */
    safe,
    /** The request runs at most once. */
    unsafe,
    /** The answer is a stream of events; the request runs at most once unless the route is resumable. */
    stream,
};

struct weighted_service
{
    service_id service;
    std::uint32_t weight = 1;
};

struct route
{
    route_id name;
    std::string host;
    /** Begins and ends with a slash. */
    std::string pathPrefix;
    route_kind kind = route_kind::unsafe;
    /** Maximum time that a caller is kept waiting. */
    milliseconds timeout { 0 };
    /** Time to the complete answer, or to the first event of a stream, up to which a request earns full credit. */
    milliseconds objective { 0 };
    /** Maximum time between two events of a stream. */
    milliseconds maxGap { 0 };
    /** 0 is the highest priority. */
    std::uint32_t priority = 0;
    /** Services among which requests are divided in proportion to their weights. */
    std::vector<weighted_service> split;
    /** Maximum number of targets that may run one request. */
    std::uint32_t attempts = 1;
    /** Callers need no workspace key. */
    bool isPublic = false;
    /** A broken stream may be resumed at another target after its last event. */
    bool resumable = false;
};

/** Limits of a service over all nodes together. */
struct service_limits
{
    service_id name;
    /** Maximum concurrent requests at a target; 0 for no limit. */
    std::uint32_t maxConnections = 0;
    /** Maximum requests per second to a cold target; 0 for no limit. */
    double coldPerSecond = 0;
    /** Set for model engines whose ranks share experts. */
    std::optional<group::group_model> groups {};
};

struct workspace_keys
{
    workspace_id name;
    std::vector<std::string> keys;
    /** Overrides the priority of the route. */
    std::optional<std::uint32_t> priority;
};

struct route_table
{
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service_limits> services;
    std::vector<workspace_keys> workspaces;
    /** Longest body of a request, in bytes. */
    std::size_t maxBodyBytes = std::size_t { 4 } * 1024 * 1024;
};

/** Fails with `configuration_invalid` and a description of the first problem found. */
[[nodiscard]] expected<void> check(const route_table &table);

/** Lookup index over a table that `check` has accepted. */
class route_index
{
public:
    explicit route_index(route_table table);

    /** Returns the route of `host` with the longest prefix of `path` (query ignored); null if none matches. */
    [[nodiscard]] const route *match(std::string_view host, std::string_view path) const;
    [[nodiscard]] const workspace_keys *workspaceOf(const std::string &key) const;
    [[nodiscard]] const service_limits *limitsOf(const service_id &service) const;
    [[nodiscard]] bool hasWorkspaces() const;
    [[nodiscard]] std::uint64_t version() const;
    [[nodiscard]] std::size_t maxBodyBytes() const;

private:
    route_table m_table;
    /** Routes by host, then by path prefix. */
    std::unordered_map<std::string, std::map<std::string, const route *, std::less<>>> m_hosts;
    std::unordered_map<std::string, const workspace_keys *> m_keys;
};

} // namespace figcleat::forward
