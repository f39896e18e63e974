#include "figcleat/distribution/token-bucket.h"

#include <algorithm>

namespace figcleat::distribution
{

token_bucket::token_bucket(std::int64_t bytesPerSecond, std::int64_t burstBytes)
    : m_bytesPerSecond(bytesPerSecond)
    , m_burstBytes(burstBytes)
    , m_bytes(burstBytes)
{
}

bool token_bucket::take(std::int64_t bytes, time_point now)
{
    fill(now);
    if (m_bytes < std::min(bytes, m_burstBytes)) {
        return false;
    }
    m_bytes -= bytes;
    return true;
}

void token_bucket::fill(time_point now)
{
    // Whole milliseconds, so that frequent calls do not lose fractions of a byte each.
    const auto passed = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_filled);
    if (passed.count() <= 0) {
        return;
    }
    m_filled += passed;
    const std::int64_t untilFull = (m_burstBytes - m_bytes) * 1000 / m_bytesPerSecond + 1;
    m_bytes = std::min(m_burstBytes, m_bytes + m_bytesPerSecond * std::min(passed.count(), untilFull) / 1000);
}

} // namespace figcleat::distribution
