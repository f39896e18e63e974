#pragma once

#include "figcleat/core/clock.h"
#include "figcleat/group/engine-rank.h"

#include <vector>

namespace figcleat::group
{

/** Weight of each expert, by set. */
using expert_demand = std::vector<std::vector<double>>;

/**
 * Demand for the experts of one service, from the choices that its ranks report.
 *
 * Requests of one service go to all of its groups alike, so the ranks of every group tell of the same demand.
 */
class demand_estimate
{
public:
    demand_estimate(std::size_t sets, std::size_t experts);

    /** Adds the choices of one rank since its last report; choices of another shape are ignored. */
    void observe(const expert_lists &chosen, time_point now);
    /** Over some tenths of a second; empty before the first choices. */
    [[nodiscard]] const expert_demand &steady() const;
    /** Over the time that it takes to hear every rank, which shows soon that demand has shifted. */
    [[nodiscard]] const expert_demand &recent() const;
    /** Forgets the demand before a shift. */
    void resetSteadyToRecent();

private:
    std::size_t m_sets;
    std::size_t m_experts;
    expert_demand m_steady;
    expert_demand m_recent;
    time_point m_observedAt {};
};

} // namespace figcleat::group
