#include "figcleat/forward/answer-times.h"

namespace figcleat::forward
{

namespace
{

/** Weight of the latest answer in the smoothed time. */
constexpr double usualWeight = 0.1;

} // namespace

void answer_times::record(const route_id &route, duration running)
{
    const auto [found, isFirst] = m_routes.try_emplace(route, running);
    if (!isFirst) {
        found->second += std::chrono::duration_cast<duration>(usualWeight * (running - found->second));
    }
}

void answer_times::clear()
{
    m_routes.clear();
}

std::optional<duration> answer_times::usual(const route_id &route) const
{
    const auto found = m_routes.find(route);
    return found == m_routes.end() ? std::nullopt : std::optional(found->second);
}

} // namespace figcleat::forward
