#include "figcleat/request/retry-budget.h"

#include <algorithm>

namespace figcleat::request
{

retry_budget::retry_budget(retry_budget_settings settings)
    : m_settings(settings)
{
}

void retry_budget::firstAttempt(time_point now)
{
    ++current(now).first;
}

bool retry_budget::takeRetry(time_point now)
{
    if (left(now) == 0) {
        return false;
    }
    ++current(now).retries;
    return true;
}

std::uint64_t retry_budget::left(time_point now) const
{
    const auto newest = sliceNumber(now);
    std::uint64_t first = 0;
    std::uint64_t retries = 0;
    for (const auto &one : m_slices) {
        if (one.number > newest - static_cast<std::int64_t>(slices)) {
            first += one.first;
            retries += one.retries;
        }
    }
    const auto allowed
        = std::max(m_settings.minimum, static_cast<std::uint64_t>(m_settings.share * static_cast<double>(first)));
    return allowed - std::min(allowed, retries);
}

retry_budget::slice &retry_budget::current(time_point now)
{
    const auto number = sliceNumber(now);
    auto &one = m_slices[static_cast<std::size_t>(number) % slices];
    if (one.number != number) {
        one = { number, 0, 0 };
    }
    return one;
}

std::int64_t retry_budget::sliceNumber(time_point now) const
{
    return now.time_since_epoch() / (m_settings.window / static_cast<std::int64_t>(slices));
}

retry_backoff::retry_backoff(std::uint64_t seed, duration base, duration most)
    : m_random(seed)
    , m_base(base)
    , m_most(most)
{
}

duration retry_backoff::next(std::uint32_t retry)
{
    constexpr std::uint32_t maxDoublings = 20;
    const auto longest = std::min(m_most, m_base * (1U << std::min(retry, maxDoublings)));
    return duration(std::uniform_int_distribution<std::int64_t>(0, longest.count())(m_random));
}

} // namespace figcleat::request
