#pragma once

#include "figcleat/group/rank-gate.h"

#include <map>

namespace figcleat::group
{

/** Checks that all ranks run a step with the same map version and content (invariant I1). */
class step_consistency_checker
{
public:
    explicit step_consistency_checker(rank_number ranks);

    /** Records the permit of a rank for the current step; throws invariant_violation if it differs from another rank's.
     */
    void recordPermit(rank_number rank, const permit_step &permit);
    /** Removes the permit of a rank that restarted, since the permitted step does not run there. */
    void removePermit(rank_number rank);
    /** Returns true if every rank has a permit, so that the step can run. */
    [[nodiscard]] bool isComplete() const;
    void startNextStep();

private:
    rank_number m_ranks;
    std::map<rank_number, permit_step> m_permits;
};

} // namespace figcleat::group
