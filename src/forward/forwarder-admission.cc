#include "figcleat/forward/forwarder.h"

#include "forwarder-limits.h"

#include <algorithm>

namespace figcleat::forward
{

namespace
{

/** Share of its objective that a request may wait for a target; after a longer wait the answer would be late. */
constexpr double maxWaitShare = 0.4;
/** Share of all requests in progress that may be for one service, so that targets which do not answer block others
 * only for callers of their own service. */
constexpr double maxServiceShare = 0.75;
/** Another front serves the caller at once; the spread keeps callers of one front from returning all together. */
constexpr milliseconds minOtherFrontDelay { 10 };
constexpr milliseconds maxOtherFrontDelay { 100 };
/** From the end of a planned stop until the next process is ready. */
constexpr milliseconds restartTime { 1000 };

} // namespace

std::optional<refusal> forwarder::admit(request_state &state, const caller_request &request)
{
    if (!m_routes) {
        return refusal { result_code::not_configured, false, defaultRetryDelay };
    }
    if (m_requests.size() > m_settings.maxRequests) {
        return refusal { result_code::queue_full, false, defaultRetryDelay };
    }
    state.routes = m_routes;
    state.matchedRoute = m_routes->match(request.host, request.path);
    if (state.matchedRoute == nullptr) {
        return refusal { result_code::not_found };
    }
    const workspace_keys *keyOwner = request.key ? m_routes->workspaceOf(*request.key) : nullptr;
    if (keyOwner == nullptr && m_routes->hasWorkspaces() && !state.matchedRoute->isPublic) {
        return refusal { result_code::wrong_credential };
    }
    const milliseconds timeout
        = std::min(state.matchedRoute->timeout, request.deadline.value_or(state.matchedRoute->timeout));
    if (comesTooLate(timeout)) {
        return refusal { result_code::entry_stopping, false, stopRetryDelay() };
    }
    state.priority = state.matchedRoute->priority;
    if (keyOwner != nullptr) {
        state.workspace = keyOwner->name;
        state.priority = keyOwner->priority.value_or(state.priority);
    }
    setDeadline(state, m_now + timeout);
    const auto wait = maxWaitShare * std::chrono::duration<double>(std::min(timeout, state.matchedRoute->objective));
    state.waitUntil = m_now + std::chrono::duration_cast<duration>(wait);
    return std::nullopt;
}

void forwarder::stop(time_point acceptAllUntil, time_point lastAnswer, time_point now)
{
    m_now = now;
    m_stop = { acceptAllUntil, lastAnswer };
    for (auto &[exchange, state] : m_requests) {
        setDeadline(state, state.deadline);
    }
}

void forwarder::setDeadline(request_state &state, time_point deadline) const
{
    state.isCutByStop = m_stop && deadline > m_stop->lastAnswer;
    state.deadline = state.isCutByStop ? m_stop->lastAnswer : deadline;
}

bool forwarder::comesTooLate(milliseconds timeout) const
{
    return m_stop && m_now > m_stop->acceptAllUntil && m_now + timeout > m_stop->lastAnswer;
}

milliseconds forwarder::stopRetryDelay()
{
    if (m_nodes > 1) {
        std::uniform_int_distribution<milliseconds::rep> delay(minOtherFrontDelay.count(), maxOtherFrontDelay.count());
        return milliseconds(delay(m_random));
    }
    const auto left = std::chrono::ceil<milliseconds>(std::max(duration {}, m_stop->lastAnswer - m_now));
    return left + restartTime;
}

bool forwarder::isServiceFull(const service_id &service) const
{
    const auto count = m_requestCounts.find(service);
    return count != m_requestCounts.end()
        && static_cast<double>(count->second) >= maxServiceShare * static_cast<double>(m_settings.maxRequests);
}

service_id forwarder::pickService(const route &matchedRoute)
{
    std::uint64_t total = 0;
    for (const auto &entry : matchedRoute.split) {
        total += entry.weight;
    }
    auto draw = std::uniform_int_distribution<std::uint64_t>(0, total - 1)(m_random);
    for (const auto &entry : matchedRoute.split) {
        if (draw < entry.weight) {
            return entry.service;
        }
        draw -= entry.weight;
    }
    return matchedRoute.split.back().service;
}

} // namespace figcleat::forward
