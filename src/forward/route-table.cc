#include "figcleat/forward/route-table.h"

#include <algorithm>
#include <cctype>
#include <set>

namespace figcleat::forward
{

namespace
{

tl::unexpected<error> invalid(std::string detail)
{
    return fail(result_code::configuration_invalid, std::move(detail));
}

bool isPathPrefix(const std::string &text)
{
    return !text.empty() && text.front() == '/' && text.back() == '/';
}

expected<void> checkRoute(const route &candidate, const std::set<service_id> &services)
{
    if (!isPathPrefix(candidate.pathPrefix)) {
        return invalid("the prefix of route " + candidate.name.value + " does not begin and end with a slash");
    }
    if (candidate.timeout.count() <= 0) {
        return invalid("route " + candidate.name.value + " has no timeout");
    }
    std::uint64_t weights = 0;
    for (const auto &item : candidate.split) {
        if (!services.contains(item.service)) {
            return invalid("route " + candidate.name.value + " names the unknown service " + item.service.value);
        }
        weights += item.weight;
    }
    if (weights == 0) {
        return invalid("the weights of route " + candidate.name.value + " add up to 0");
    }
    return {};
}

/** Returns the value of a Host header without its port, in lower case as hosts in configurations are. */
std::string normalizedHost(std::string_view host)
{
    const auto port = host.find(':', host.rfind(']') == std::string_view::npos ? 0 : host.rfind(']'));
    std::string normalized(host.substr(0, port));
    std::transform(normalized.begin(), normalized.end(), normalized.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return normalized;
}

} // namespace

expected<void> check(const route_table &table)
{
    std::set<service_id> services;
    for (const auto &one : table.services) {
        if (one.name.empty() || !services.insert(one.name).second) {
            return invalid("service " + one.name.value + " has no name or is listed twice");
        }
    }
    std::set<std::pair<std::string, std::string>> hostPrefixes;
    for (const auto &one : table.routes) {
        if (const auto checked = checkRoute(one, services); !checked) {
            return checked;
        }
        if (!hostPrefixes.insert({ one.host, one.pathPrefix }).second) {
            return invalid("route " + one.name.value + " has the host and prefix of another route");
        }
    }
    std::set<std::string> keys;
    for (const auto &one : table.workspaces) {
        for (const auto &key : one.keys) {
            if (!keys.insert(key).second) {
                return invalid("workspace " + one.name.value + " has a key that is listed twice");
            }
        }
    }
    return {};
}

route_index::route_index(route_table table)
    : m_table(std::move(table))
{
    for (const auto &one : m_table.routes) {
        m_hosts[one.host][one.pathPrefix] = &one;
    }
    for (const auto &one : m_table.workspaces) {
        for (const auto &key : one.keys) {
            m_keys[key] = &one;
        }
    }
}

const route *route_index::match(std::string_view host, std::string_view path) const
{
    auto found = m_hosts.find(std::string(host));
    found = found == m_hosts.end() ? m_hosts.find(normalizedHost(host)) : found;
    if (found == m_hosts.end()) {
        return nullptr;
    }
    std::string_view prefix = path.substr(0, path.find('?'));
    while (!prefix.empty()) {
        const auto slash = prefix.rfind('/');
        if (slash == std::string_view::npos) {
            return nullptr;
        }
        prefix = prefix.substr(0, slash + 1);
        if (const auto one = found->second.find(prefix); one != found->second.end()) {
            return one->second;
        }
        prefix.remove_suffix(1);
    }
    return nullptr;
}

const workspace_keys *route_index::workspaceOf(const std::string &key) const
{
    const auto found = m_keys.find(key);
    return found == m_keys.end() ? nullptr : found->second;
}

const service_limits *route_index::limitsOf(const service_id &service) const
{
    const auto found = std::find_if(m_table.services.begin(), m_table.services.end(),
                                    [&service](const service_limits &one) { return one.name == service; });
    return found == m_table.services.end() ? nullptr : &*found;
}

bool route_index::hasWorkspaces() const
{
    return !m_table.workspaces.empty();
}

std::size_t route_index::maxBodyBytes() const
{
    return m_table.maxBodyBytes;
}

std::uint64_t route_index::version() const
{
    return m_table.version;
}

} // namespace figcleat::forward
