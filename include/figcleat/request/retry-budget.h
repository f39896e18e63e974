#pragma once

#include "figcleat/core/clock.h"

#include <array>
#include <cstdint>
#include <random>

namespace figcleat::request
{

struct retry_budget_settings
{
    /** Retries allowed for each first attempt. */
    double share = 0.2;
    /** Retries per window that are allowed in any case, so that a quiet entry can retry at all. */
    std::uint64_t minimum = 3;
    duration window = std::chrono::seconds(10);
};

/** Bounds retries to a share of the first attempts of a sliding window, so that they cannot multiply an overload. */
class retry_budget
{
public:
    explicit retry_budget(retry_budget_settings settings = {});

    void firstAttempt(time_point now);
    /** Takes one retry; false means retry_budget_spent. */
    [[nodiscard]] bool takeRetry(time_point now);
    /** Retries that are allowed now. */
    [[nodiscard]] std::uint64_t left(time_point now) const;

private:
    static constexpr std::size_t slices = 20;
    struct slice
    {
        std::int64_t number = -1;
        std::uint64_t first = 0;
        std::uint64_t retries = 0;
    };
    slice &current(time_point now);
    [[nodiscard]] std::int64_t sliceNumber(time_point now) const;

    retry_budget_settings m_settings;
    std::array<slice, slices> m_slices {};
};

/** Exponential backoff with full jitter: retry n waits a random time up to `base` times 2^n, at most `most`. */
class retry_backoff
{
public:
    explicit retry_backoff(std::uint64_t seed, duration base = std::chrono::milliseconds(5),
                           duration most = std::chrono::milliseconds(500));

    /** Wait before a retry; the first is number 0. */
    [[nodiscard]] duration next(std::uint32_t retry);

private:
    std::mt19937_64 m_random;
    duration m_base;
    duration m_most;
};

} // namespace figcleat::request
