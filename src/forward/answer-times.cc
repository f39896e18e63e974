#include "figcleat/forward/answer-times.h"

#include <algorithm>

namespace figcleat::forward
{

namespace
{

/** The decay of the longest time with each shorter one. */
constexpr double longestDecay = 0.98;
/** Weight of the latest answer in the smoothed time. */
constexpr double usualWeight = 0.1;

} // namespace

void answer_times::record(const route_id &route, duration total, duration running)
{
    const auto [found, isFirst] = m_routes.try_emplace(route, route_times { total, running });
    if (isFirst) {
        return;
    }
    auto &times = found->second;
    times.longest = std::max(total, std::chrono::duration_cast<duration>(longestDecay * times.longest));
    times.usual += std::chrono::duration_cast<duration>(usualWeight * (running - times.usual));
}

void answer_times::clear()
{
    m_routes.clear();
}

std::optional<duration> answer_times::longest(const route_id &route) const
{
    const auto found = m_routes.find(route);
    return found == m_routes.end() ? std::nullopt : std::optional(found->second.longest);
}

std::optional<duration> answer_times::usual(const route_id &route) const
{
    const auto found = m_routes.find(route);
    return found == m_routes.end() ? std::nullopt : std::optional(found->second.usual);
}

} // namespace figcleat::forward
