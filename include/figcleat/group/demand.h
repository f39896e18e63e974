#pragma once

#include "figcleat/core/clock.h"
#include "figcleat/group/engine-rank.h"

#include <vector>

namespace figcleat::group
{

/** Weighted number of choices of each expert, as `[set][expert]`. */
using expert_demand = std::vector<std::vector<double>>;

/**
 * Estimates the demand for the experts of one service from the expert choices that its ranks report.
 *
 * Requests of a service are distributed over all of its groups alike. The reports of the ranks of every group therefore
 * sample the same demand and are added up here.
 */
class demand_estimate
{
public:
    demand_estimate(std::size_t sets, std::size_t experts);

    /**
     * Adds the choices that one rank counted since its last report, as `[set][expert]`. Choices with a different number
     * of sets or experts are ignored.
     */
    void observe(const expert_lists &chosen, time_point now);
    /** Demand averaged over some tenths of a second; empty before the first choices. */
    [[nodiscard]] const expert_demand &steady() const;
    /** Demand averaged over about the time in which every rank reports once, which shows a shift of demand early. */
    [[nodiscard]] const expert_demand &recent() const;
    /** Replaces the steady demand with the recent one, which drops the choices from before a shift of demand. */
    void resetSteadyToRecent();

private:
    std::size_t m_sets;
    std::size_t m_experts;
    expert_demand m_steady;
    expert_demand m_recent;
    time_point m_observedAt {};
};

} // namespace figcleat::group
