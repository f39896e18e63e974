#include "figcleat/group/step-witness.h"

#include "figcleat/core/invariant.h"

namespace figcleat::group
{

step_witness::step_witness(rank_number ranks)
    : m_ranks(ranks)
{
}

void step_witness::permitted(rank_number rank, const permit_step &permit)
{
    for (const auto &[other, theirs] : m_permits) {
        const bool same = theirs.step == permit.step && theirs.id == permit.id && theirs.content == permit.content;
        ensure(other == rank || same, result_code::invariant_one_map,
               "step " + std::to_string(permit.step.value) + ": rank " + std::to_string(rank) + " uses map version "
                   + std::to_string(permit.id.version.value) + ", rank " + std::to_string(other) + " version "
                   + std::to_string(theirs.id.version.value) + " in step " + std::to_string(theirs.step.value));
    }
    m_permits[rank] = permit;
}

void step_witness::forget(rank_number rank)
{
    m_permits.erase(rank);
}

bool step_witness::isComplete() const
{
    return m_permits.size() == m_ranks;
}

void step_witness::nextStep()
{
    m_permits.clear();
}

} // namespace figcleat::group
