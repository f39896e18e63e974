#include "figcleat/target/admission-level.h"

#include <algorithm>

namespace figcleat::target
{

namespace
{

constexpr std::int64_t maxMultiple = 1 << 20;

template<typename Quantity>
Quantity scaled(Quantity cold, Quantity full, std::int64_t multiple)
{
    // A kind with a cold limit of 0 still grows once the other kinds have shown that the engine is warm.
    const auto base = multiple > 1 ? std::max<std::int64_t>(cold.count, 1) : cold.count;
    const bool overflows = base > full.count / multiple;
    return { overflows ? full.count : std::min(full.count, base * multiple) };
}

} // namespace

admission_level::admission_level(target_limits limits)
    : m_limits(limits)
{
}

work_cost admission_level::limit() const
{
    return { scaled(m_limits.cold.requests, m_limits.full.requests, m_multiple),
             scaled(m_limits.cold.promptTokens, m_limits.full.promptTokens, m_multiple),
             scaled(m_limits.cold.generatedTokens, m_limits.full.generatedTokens, m_multiple) };
}

bool admission_level::isFull() const
{
    return limit() == m_limits.full;
}

std::uint64_t admission_level::epoch() const
{
    return m_epoch;
}

std::uint64_t admission_level::fallEpoch() const
{
    return m_fallEpoch;
}

bool admission_level::isBusy(const work_cost &inProgress) const
{
    const auto most = limit();
    return 2 * inProgress.requests.count >= most.requests.count
        || 2 * inProgress.promptTokens.count >= std::max<std::int64_t>(most.promptTokens.count, 1)
        || 2 * inProgress.generatedTokens.count >= std::max<std::int64_t>(most.generatedTokens.count, 1);
}

void admission_level::setLimits(target_limits limits)
{
    if (limits == m_limits) {
        return;
    }
    m_limits = limits;
    m_finished = 0;
    ++m_epoch;
}

bool admission_level::fall()
{
    const bool above = m_multiple > 1;
    m_multiple = 1;
    m_finished = 0;
    m_fallEpoch = ++m_epoch;
    return above;
}

bool admission_level::finishedNormally(std::uint64_t epoch)
{
    if (epoch != m_epoch || isFull()) {
        return false;
    }
    ++m_finished;
    if (2 * m_finished < limit().requests.count) {
        return false;
    }
    m_multiple = std::min(m_multiple * 2, maxMultiple);
    m_finished = 0;
    ++m_epoch;
    return true;
}

} // namespace figcleat::target
