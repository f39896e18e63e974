#pragma once

#include "figcleat/core/clock.h"

#include <algorithm>
#include <cmath>

namespace figcleat::forward
{

/** Exponentially smoothed rate of events. */
class event_rate
{
public:
    /** @param window time constant of the smoothing */
    explicit event_rate(duration window = std::chrono::seconds(1))
        : m_seconds(std::chrono::duration<double>(window).count())
    {
    }

    void record(time_point now)
    {
        m_perSecond = perSecond(now) + 1 / m_seconds;
        m_updatedAt = now;
    }

    [[nodiscard]] double perSecond(time_point now) const
    {
        const double age = std::chrono::duration<double>(now - m_updatedAt).count();
        return m_perSecond * std::exp(-std::max(0.0, age) / m_seconds);
    }

    /** Rate as of the last event, however long ago that was. */
    [[nodiscard]] double lastPerSecond() const
    {
        return m_perSecond;
    }

private:
    double m_seconds;
    double m_perSecond = 0;
    time_point m_updatedAt {};
};

} // namespace figcleat::forward
