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

/** Routing by host and path, for callers that name no service. */
namespace figcleat::forward
{

using milliseconds = std::chrono::milliseconds;
using route_id = text_id<struct route_tag>;

/** What may be done with a request whose first run has an unknown end. */
enum class route_kind : std::uint8_t {
    /** May run more than once. */
    safe,
    /** Runs at most once. */
    unsafe,
    /** Answers with a stream of events; runs at most once unless the route is resumable. */
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
    /** Longest time that a caller is kept waiting. */
    milliseconds timeout { 0 };
    /** Time to the whole answer, or to the first event of a stream, that earns full credit. */
    milliseconds objective { 0 };
    /** Longest pause between two events of a stream. */
    milliseconds maxGap { 0 };
    /** 0 is the most urgent. */
    std::uint32_t priority = 0;
    std::vector<weighted_service> split;
    /** Most targets that may run one request. */
    std::uint32_t attempts = 1;
    /** Needs no key. */
    bool isPublic = false;
    /** A broken stream may go on at another target after its last event. */
    bool resumable = false;
};

/** Limits of a service that hold over all nodes together. */
struct service_limits
{
    service_id name;
    std::uint32_t maxConnections = 0;
    /** Requests a second that a cold target bears. */
    double coldPerSecond = 0;
    /** For model engines whose ranks share experts. */
    std::optional<group::group_model> groups {};
};

struct workspace_keys
{
    workspace_id name;
    std::vector<std::string> keys;
    /** Goes before the priority of the route. */
    std::optional<std::uint32_t> priority;
};

struct route_table
{
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service_limits> services;
    std::vector<workspace_keys> workspaces;
};

/** `configuration_invalid` with the first problem found. */
[[nodiscard]] expected<void> check(const route_table &table);

/** A checked table, arranged for lookup. */
class route_index
{
public:
    explicit route_index(route_table table);

    /** The route with the longest prefix of `path` (without its query) for `host`; null if there is none. */
    [[nodiscard]] const route *match(std::string_view host, std::string_view path) const;
    [[nodiscard]] const workspace_keys *workspaceOf(const std::string &key) const;
    [[nodiscard]] const service_limits *limitsOf(const service_id &service) const;
    [[nodiscard]] bool hasWorkspaces() const;
    [[nodiscard]] std::uint64_t version() const;

private:
    route_table m_table;
    /** Routes of each host by prefix. */
    std::unordered_map<std::string, std::map<std::string, const route *, std::less<>>> m_hosts;
    std::unordered_map<std::string, const workspace_keys *> m_keys;
};

} // namespace figcleat::forward
