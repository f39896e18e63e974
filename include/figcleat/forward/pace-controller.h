#pragma once

#include "figcleat/core/clock.h"

#include <array>
#include <cstddef>
#include <vector>

namespace figcleat::forward
{

/** The most recent pauses of one stream. */
class recent_pauses
{
public:
    void add(duration pause);
    [[nodiscard]] duration longest() const;
    [[nodiscard]] duration median() const;

private:
    /** About the length of a switch of maps and the passes before it, and a third of a usual stream. */
    static constexpr std::size_t judgedEvents = 8;

    std::array<duration, judgedEvents> m_pauses {};
    std::size_t m_count = 0;
};

/**
 * Bounds the requests at each target of a service so that the pauses within streams stay below their limit.
 *
 * Engines take more time for a step the more requests run, and the ranks of a group advance together, so the pauses
 * that one node sees in its own streams tell of all targets of the service. Additive increase, multiplicative decrease.
 */
class pace_controller
{
public:
    /** A pause between two events of one stream, if it is the only one known; `limit` is the longest that is in time.
     */
    void onPause(duration pause, duration limit, time_point now);
    /** The pauses of one stream after each of its events; not empty. */
    void onPauses(const recent_pauses &pauses, duration limit);
    /** To be called on a period; `busiest` is the highest number of requests at one target. */
    void tick(std::uint32_t slots, double busiest, time_point now);

    /** Requests that may be at one target. */
    [[nodiscard]] double level() const;
    /** The pause judged last, as a part of its limit. */
    [[nodiscard]] double lastPause() const;

private:
    double m_level = 0;
    double m_lastPause = 0;
    /** Until then no level keeps the pauses below their limit, and all slots are used. */
    time_point m_fullUntil {};
    std::uint32_t m_slots = 0;
    /** Medians and longest pauses of streams since the last tick, as parts of their limits. */
    std::vector<double> m_medians;
    std::vector<double> m_longest;
    time_point m_lastCut {};
    time_point m_lastTick {};
};

} // namespace figcleat::forward
