#include "figcleat/group/decision-register.h"

#include "figcleat/core/invariant.h"

namespace figcleat::group
{

void decision_register::issue(fence_number fence)
{
    ensure(fence > m_fence, result_code::invariant_fence_unique, "a fencing number of a group does not rise");
    m_fence = fence;
}

record_outcome decision_register::record(const decision &result)
{
    if (result.id.fence != m_fence) {
        return record_outcome::refused;
    }
    if (!m_last || m_last->id < result.id) {
        m_last = result;
    }
    return record_outcome::recorded;
}

fence_number decision_register::fence() const
{
    return m_fence;
}

const std::optional<decision> &decision_register::last() const
{
    return m_last;
}

} // namespace figcleat::group
