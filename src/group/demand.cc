#include "figcleat/group/demand.h"

#include <algorithm>
#include <cmath>

namespace figcleat::group
{

namespace
{

/** Half-life of the weight of choices in the steady demand; short, because demand shifts every few seconds. */
constexpr double steadyHalfLifeSeconds = 0.35;
/** Half-life in the recent demand; after a shift, all ranks report within two reading periods of 120 ms each. */
constexpr double recentHalfLifeSeconds = 0.06;

/** Multiplies the sums by `decayFactor`, then adds the counts. */
void addDecayed(expert_demand &sums, const expert_lists &counts, double decayFactor)
{
    sums.resize(counts.size());
    for (std::size_t set = 0; set < counts.size(); ++set) {
        sums[set].resize(counts[set].size(), 0);
        for (std::size_t expert = 0; expert < counts[set].size(); ++expert) {
            sums[set][expert] = sums[set][expert] * decayFactor + counts[set][expert];
        }
    }
}

} // namespace

demand_estimate::demand_estimate(std::size_t sets, std::size_t experts)
    : m_sets(sets)
    , m_experts(experts)
{
}

void demand_estimate::observe(const expert_lists &chosen, time_point now)
{
    const bool shapeMatches = chosen.size() == m_sets
        && std::all_of(chosen.begin(), chosen.end(), [this](const auto &set) { return set.size() == m_experts; });
    if (!shapeMatches) {
        return;
    }
    const double elapsedSeconds = std::max(0.0, std::chrono::duration<double>(now - m_observedAt).count());
    m_observedAt = now;
    addDecayed(m_steady, chosen, std::exp2(-elapsedSeconds / steadyHalfLifeSeconds));
    addDecayed(m_recent, chosen, std::exp2(-elapsedSeconds / recentHalfLifeSeconds));
}

const expert_demand &demand_estimate::steady() const
{
    return m_steady;
}

const expert_demand &demand_estimate::recent() const
{
    return m_recent;
}

void demand_estimate::resetSteadyToRecent()
{
    m_steady = m_recent;
}

} // namespace figcleat::group
