#include "figcleat/group/choice-watch.h"

#include "figcleat/group/popularity.h"
#include "figcleat/group/report-relay.h"

#include <numeric>

namespace figcleat::group
{

namespace
{

/**
 * Distance between the distributions of the reported and of the latest choices over the experts, in excess of what
 * chance explains, at which a map that fits one of the two hardly fits the other.
 */
constexpr double shiftDistance = 0.15;
/** Mean number of choices per expert below which no shift is detected, as chance then exceeds its estimate. */
constexpr double minChoicesPerExpert = 1;

} // namespace

bool choice_watch::add(const expert_lists &chosen)
{
    m_latest = chosen;
    addCounts(m_collected, chosen);
    return m_reportMayMixDemands || hasShifted();
}

expert_lists choice_watch::take()
{
    const bool isShift = hasShifted();
    m_reported = isShift || m_reportMayMixDemands ? m_latest : m_collected;
    m_reportMayMixDemands = isShift;
    m_collected.clear();
    return m_reported;
}

bool choice_watch::hasShifted() const
{
    if (m_reported.size() != m_latest.size()) {
        return false;
    }
    double excessDistance = 0;
    double choices = 0;
    for (std::size_t set = 0; set < m_latest.size(); ++set) {
        const std::vector<double> reported(m_reported[set].begin(), m_reported[set].end());
        const std::vector<double> latest(m_latest[set].begin(), m_latest[set].end());
        choices += std::accumulate(latest.begin(), latest.end(), 0.0) / static_cast<double>(latest.size());
        excessDistance += totalVariationDistance(reported, latest) - samplingNoise(latest) - samplingNoise(reported);
    }
    const auto sets = static_cast<double>(m_latest.size());
    return excessDistance > shiftDistance * sets && choices >= minChoicesPerExpert * sets;
}

} // namespace figcleat::group
