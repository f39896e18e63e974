#pragma once

#include "figcleat/core/clock.h"

#include <optional>

namespace figcleat::forward
{

/**
 * Estimates how much longer a service stays without any usable target.
 *
 * The length of an outage is not known in advance. Among outages of widely different lengths, one that has lasted for
 * some time lasts about as long again, so the estimate grows with the time that has passed.
 */
class outage_estimate
{
public:
    /** A target does not become usable sooner after the fault that took it away. */
    static constexpr duration minRemaining = std::chrono::milliseconds(500);
    /** Longer outages are too rare to wait for them. */
    static constexpr duration maxRemaining = std::chrono::seconds(4);

    /** @param isInterrupted no target of the service is usable */
    void update(bool isInterrupted, time_point now);
    [[nodiscard]] bool isInterrupted() const;
    /** Returns the expected time until a target is usable again; zero unless the service is interrupted. */
    [[nodiscard]] duration remaining(time_point now) const;

private:
    std::optional<time_point> m_since;
};

} // namespace figcleat::forward
