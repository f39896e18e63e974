#pragma once

#include "figcleat/core/clock.h"

namespace figcleat::forward
{

/** Phases of a planned stop of a front, as times since it noticed its signal; each ends no later than the next. */
struct stop_schedule
{
    /** From then on unused connections are closed: the platform has noticed that this front is not ready, so that their
     * callers connect to others. */
    duration closeUnused {};
    /**
     * Until then every request is accepted; later ones only if their own deadline passes before `lastAnswer`.
     *
     * From then on there are no new connections either: a caller that cannot connect tries the next front at once, one
     * that is refused counts a failed try. The front ends as soon as nothing is in progress any more.
     */
    duration acceptAll {};
    /** Requests without their final answer get it. */
    duration lastAnswer {};
    /** The front ends, whatever is in progress. */
    duration end {};
};

/**
 * @param grace from the signal until the platform kills the process
 * @param late how long the signal may have waited for this process, which stood still
 */
[[nodiscard]] stop_schedule stopScheduleFor(duration grace, duration late = {});

} // namespace figcleat::forward
