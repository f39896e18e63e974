#include "figcleat/forward/stop-schedule.h"

#include <algorithm>

namespace figcleat::forward
{

namespace
{

using std::chrono::milliseconds;

/** A part of the grace period, at most `most`: the phases of a short period are shorter in proportion. */
struct phase_length
{
    milliseconds most;
    int numerator;
    int denominator;

    [[nodiscard]] duration of(duration grace) const
    {
        return std::min<duration>(most, grace * numerator / denominator);
    }
};

/** The platform asks once a second and goes by two answers; their way takes the rest. */
constexpr phase_length unusedConnections { milliseconds(2100), 2, 5 };
/** A cut is excused for requests of the first 3 s; the rest covers a signal that is handled late. */
constexpr phase_length allRequests { milliseconds(2500), 1, 2 };
/** Answers have to be cut in the last sixth of the period at the earliest, and to reach their callers before its end.
 */
constexpr phase_length lastAnswerMargin { milliseconds(700), 1, 8 };
/** A process that has not ended by itself by then is killed in mid-answer. */
constexpr phase_length endMargin { milliseconds(500), 1, 12 };

/** A cut is excused from then on, counted from the signal. */
duration lastSixthOf(duration grace)
{
    return grace - grace / 6;
}

} // namespace

stop_schedule stopScheduleFor(duration grace, duration late)
{
    // The signal came at most `late` ago: requests are accepted as if it came first, and cut as if it came last.
    const duration lastAnswer = std::max(grace - late - lastAnswerMargin.of(grace), lastSixthOf(grace));
    return { .closeUnused = std::max(duration {}, unusedConnections.of(grace) - late),
             .acceptAll = std::max(duration {}, allRequests.of(grace) - late),
             .lastAnswer = lastAnswer,
             .end = lastAnswer + lastAnswerMargin.of(grace) - endMargin.of(grace) };
}

} // namespace figcleat::forward
