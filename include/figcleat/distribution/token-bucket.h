#pragma once

#include "figcleat/core/clock.h"

#include <cstdint>

namespace figcleat::distribution
{

/** Bounds bytes to a rate on average and to a burst. */
class token_bucket
{
public:
    token_bucket(std::int64_t bytesPerSecond, std::int64_t burstBytes);

    /**
     * Takes the bytes if the bucket holds them, or is full and the message exceeds a full bucket: it then owes the
     * rest, so that large messages pass at the same rate on average.
     */
    [[nodiscard]] bool take(std::int64_t bytes, time_point now);

private:
    void fill(time_point now);

    std::int64_t m_bytesPerSecond;
    std::int64_t m_burstBytes;
    std::int64_t m_bytes;
    time_point m_filled {};
};

} // namespace figcleat::distribution
