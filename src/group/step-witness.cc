#include "figcleat/group/step-witness.h"

#include "figcleat/core/invariant.h"

namespace figcleat::group
{

step_consistency_checker::step_consistency_checker(rank_number ranks)
    : m_ranks(ranks)
{
}

void step_consistency_checker::recordPermit(rank_number rank, const permit_step &permit)
{
    for (const auto &[otherRank, otherPermit] : m_permits) {
        const bool same
            = otherPermit.step == permit.step && otherPermit.id == permit.id && otherPermit.content == permit.content;
        ensure(otherRank == rank || same, result_code::invariant_one_map,
               "step " + std::to_string(permit.step.value) + ": rank " + std::to_string(rank) + " uses map version "
                   + std::to_string(permit.id.version.value) + ", rank " + std::to_string(otherRank) + " version "
                   + std::to_string(otherPermit.id.version.value) + " in step "
                   + std::to_string(otherPermit.step.value));
    }
    m_permits[rank] = permit;
}

void step_consistency_checker::removePermit(rank_number rank)
{
    m_permits.erase(rank);
}

bool step_consistency_checker::isComplete() const
{
    return m_permits.size() == m_ranks;
}

void step_consistency_checker::startNextStep()
{
    m_permits.clear();
}

} // namespace figcleat::group
