#pragma once

#include "figcleat/core/clock.h"

#include <vector>

namespace figcleat::forward
{

/**
 * Bounds the requests at each target of a service so that the pauses within streams stay below their limit.
 *
 * Engines take more time for a step the more requests run, and the ranks of a group advance together, so the pauses
 * that one node sees in its own streams tell of all targets of the service. Additive increase, multiplicative decrease.
 */
class pace_controller
{
public:
    /** A pause between two events of one stream; `limit` is the longest that is still in time. */
    void onPause(duration pause, duration limit, time_point now);
    /** To be called on a period; `busiest` is the highest number of requests at one target. */
    void tick(std::uint32_t slots, double busiest, time_point now);

    /** Requests that may be at one target. */
    [[nodiscard]] double requestLimit() const;
    /** The pause judged last, as a part of its limit. */
    [[nodiscard]] double lastPauseRatio() const;

private:
    double m_requestLimit = 0;
    double m_lastPauseRatio = 0;
    /** Until then no level keeps the pauses below their limit, and all slots are used. */
    time_point m_fullUntil {};
    std::uint32_t m_slots = 0;
    /** Pauses since the last tick, as parts of their limits. */
    std::vector<double> m_pauses;
    /** Pauses were last short enough, or there were none. */
    time_point m_inTimeAt {};
    time_point m_lastCut {};
    time_point m_lastTick {};
};

} // namespace figcleat::forward
