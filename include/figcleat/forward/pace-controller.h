#pragma once

#include "figcleat/core/clock.h"

#include <vector>

namespace figcleat::forward
{

/**
 * Limits the concurrent requests at each target of a service so that the pauses between events of a stream stay short.
 *
 * An engine's step takes longer the more requests run, and the ranks of a group step together. The pauses that one node
 * measures in its own streams are therefore representative of all targets of the service. The request limit follows
 * additive increase, multiplicative decrease (AIMD).
 */
class pace_controller
{
public:
    /**
     * Records a pause between two events of one stream.
     *
     * @param limit longest pause that the route allows; the pause is ignored if this is zero
     */
    void onPause(duration pause, duration limit, time_point now);
    /**
     * Adjusts the request limit; to be called periodically.
     *
     * @param slots slots of one target
     * @param maxTargetRequests requests at the target that has most of them
     */
    void tick(std::uint32_t slots, double maxTargetRequests, time_point now);

    /** Most concurrent requests allowed at one target. */
    [[nodiscard]] double requestLimit() const;
    /** Latest evaluated pause, divided by the longest allowed one. */
    [[nodiscard]] double lastPauseRatio() const;

private:
    double m_requestLimit = 0;
    double m_lastPauseRatio = 0;
    /** Until this time all slots are used, as no request limit would keep the pauses short enough. */
    time_point m_allSlotsUntil {};
    std::uint32_t m_slots = 0;
    /** Pauses since the last evaluation, each divided by the longest allowed one. */
    std::vector<double> m_pauseRatios;
    /** Latest evaluation at which the pauses were short enough or there were none. */
    time_point m_lastInTime {};
    time_point m_lastDecrease {};
    time_point m_lastEvaluation {};
};

} // namespace figcleat::forward
