#pragma once

#include "figcleat/core/clock.h"
#include "figcleat/report/latency-histogram.h"

#include <cstdint>
#include <msgpack.hpp>
#include <vector>

namespace figcleat::report
{

/** Length and number of the windows of a ring. */
struct ring_shape
{
    duration width;
    std::uint32_t windows;
};

inline constexpr ring_shape minuteRing { std::chrono::minutes(1), 360 };
inline constexpr ring_shape halfHourRing { std::chrono::minutes(30), 144 };

/** Number of the window that holds `now`. */
[[nodiscard]] inline std::uint32_t windowAt(ring_shape shape, time_point now)
{
    return static_cast<std::uint32_t>(now.time_since_epoch() / shape.width);
}

/** Requests of one window, and how many of them met the service level. */
struct level_counts
{
    std::uint32_t requests = 0;
    std::uint32_t answersInTime = 0;
    std::uint32_t firstTokensInTime = 0;

    bool operator==(const level_counts &) const = default;
    level_counts &operator+=(const level_counts &other);
};

/** What one request adds to a window: its counts and its bins in the two histograms. */
struct window_sample
{
    level_counts counts;
    std::optional<std::uint8_t> latencyBin;
    std::optional<std::uint8_t> firstTokenBin;
};

/** Counts of the bins of both histograms: latency first, then first token. */
using both_histograms = std::array<std::uint64_t, 2 * std::size_t { allLatencyBins }>;

/** Remaining number of cells that the rings of a recorder may allocate, and how many were refused. */
struct cell_budget
{
    std::size_t left = 0;
    std::uint64_t refused = 0;
};

/**
 * The windows of one pair of service and workspace that had any request, oldest first.
 *
 * Histograms are kept as one list of occupied bins for all windows, since at the design size most windows hold
 * only a few requests: a dense histogram in each would take about ten times as much memory.
 */
class window_ring
{
public:
    /** Returns false for a sample that is older than the newest window. */
    [[nodiscard]] bool add(ring_shape shape, time_point now, const window_sample &added, cell_budget &budget);
    /** Drops the windows that have left the ring. */
    void expire(ring_shape shape, time_point now, cell_budget &budget);

    [[nodiscard]] bool empty() const;
    [[nodiscard]] std::size_t memoryBytes() const;

    /** Calls `visit(age, counts)` for each window since the last `expire`; the age of the unfinished one is 0. */
    template<typename Visit>
    void forEach(ring_shape shape, time_point now, Visit visit) const
    {
        const auto current = windowAt(shape, now);
        for (const auto &each : m_windows) {
            visit(each.age(current), each.counts);
        }
    }
    /** Histograms of the windows with an age below `maxAge`. */
    [[nodiscard]] both_histograms histograms(ring_shape shape, time_point now, std::uint32_t maxAge) const;

private:
    struct window
    {
        std::uint32_t number = 0;
        level_counts counts;
        std::uint32_t cells = 0;

        [[nodiscard]] std::uint32_t age(std::uint32_t current) const
        {
            return current > number ? current - number : 0;
        }
    };
    /** Place in `both_histograms` and count; the count stops at its maximum, 9,300 requests/s for half an hour. */
    struct cell
    {
        std::uint32_t place : 8;
        std::uint32_t count : 24;
    };

    void count(ring_shape shape, std::size_t place, cell_budget &budget);
    [[nodiscard]] bool makeRoom(ring_shape shape, cell_budget &budget);
    void shrink(cell_budget &budget);

    std::vector<window> m_windows;
    std::vector<cell> m_cells;

public:
    static constexpr std::size_t bytesPerWindow = sizeof(window);
    static constexpr std::size_t bytesPerCell = sizeof(cell);
};

} // namespace figcleat::report
