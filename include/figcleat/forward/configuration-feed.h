#pragma once

#include "figcleat/core/clock.h"
#include "figcleat/core/ids.h"

#include <optional>

namespace figcleat::forward
{

/**
 * Decides when a coordinator sends a front the configuration, which may have hundreds of kilobytes.
 *
 * Every coordinator hears every front. Those of the front's own data centre send it at once; the others only if the
 * front makes no progress, so that a configuration crosses between data centres once for each coordinator and not once
 * for each front and coordinator.
 */
class configuration_feed
{
public:
    /** A front that has had an older configuration for this long without progress gets it from any coordinator. */
    static constexpr duration patience = std::chrono::milliseconds(600);

    /** The front says which revision it has. */
    void onPoll(revision_number has, revision_number newest, time_point now);
    /** True if the front is to be sent the newest configuration now; it is then taken to have it until it polls again.
     */
    [[nodiscard]] bool takeDue(bool isNear, revision_number newest, time_point now);

private:
    /** What the front has, as it said or as it was sent since. */
    revision_number m_has;
    revision_number m_polled;
    std::optional<time_point> m_outdatedSince;
};

} // namespace figcleat::forward
