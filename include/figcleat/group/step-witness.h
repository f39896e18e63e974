#pragma once

#include "figcleat/group/rank-gate.h"

#include <map>

namespace figcleat::group
{

/** Asserts that all ranks run a step with the same map version and content (I1). */
class step_witness
{
public:
    explicit step_witness(rank_number ranks);

    /** Records the permit of a rank for the present step; throws invariant_violation if it differs from another. */
    void permitted(rank_number rank, const permit_step &permit);
    /** The rank restarted, so what it was permitted does not run. */
    void forget(rank_number rank);
    /** True if every rank has a permit, so that the step can run. */
    [[nodiscard]] bool isComplete() const;
    void nextStep();

private:
    rank_number m_ranks;
    std::map<rank_number, permit_step> m_permits;
};

} // namespace figcleat::group
