#include "figcleat/agreed/fence-table.h"

#include "figcleat/core/invariant.h"

namespace figcleat::agreed
{

outcome fence_table::issue(const issue_fence &request, fence_number fence)
{
    fence_holder &held = m_holders[request.subject];
    ensure(held.fence < fence, result_code::invariant_fence_unique, "a fence is not above the one before");
    m_subjectByFence.erase(held.fence.value);
    held = { request.holder, fence };
    m_subjectByFence.emplace(fence.value, request.subject);
    if (m_holders.size() > maxSubjects) {
        m_holders.erase(m_subjectByFence.begin()->second);
        m_subjectByFence.erase(m_subjectByFence.begin());
    }
    return { .fence = fence };
}

std::optional<fence_holder> fence_table::find(const std::string &subject) const
{
    const auto known = m_holders.find(subject);
    return known == m_holders.end() ? std::nullopt : std::optional(known->second);
}

std::size_t fence_table::size() const
{
    return m_holders.size();
}

void fence_table::write(snapshot_writer &out) const
{
    out.put(m_holders);
}

void fence_table::read(snapshot_reader &in)
{
    m_holders = in.take<std::map<std::string, fence_holder>>();
    in.require(m_holders.size() <= maxSubjects);
    for (const auto &[subject, held] : m_holders) {
        in.require(m_subjectByFence.emplace(held.fence.value, subject).second);
    }
}

} // namespace figcleat::agreed
