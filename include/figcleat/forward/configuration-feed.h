#pragma once

#include "figcleat/core/clock.h"
#include "figcleat/core/ids.h"

#include <optional>

namespace figcleat::forward
{

/**
 * Decides when a coordinator sends the configuration, which may be hundreds of kilobytes long, to one front.
 *
 * Every front polls every coordinator. Coordinators in the front's data centre send a new configuration immediately,
 * the others only if the front keeps reporting the same outdated revision. So a configuration crosses between data
 * centres once for each coordinator rather than once for each pair of front and coordinator.
 */
class configuration_feed
{
public:
    /** A front that reports the same outdated revision for this time is served by coordinators of any data centre. */
    static constexpr duration progressTimeout = std::chrono::milliseconds(600);

    /** Records the revision that the front reports in a poll. */
    void onPoll(revision_number reported, revision_number newest, time_point now);
    /**
     * True if the newest configuration is to be sent to the front now; the front then counts as having received it
     * until its next poll.
     *
     * @param isInOwnDataCentre the front is in the data centre of the coordinator
     */
    [[nodiscard]] bool takeDue(bool isInOwnDataCentre, revision_number newest, time_point now);

private:
    /** Last revision sent to the front since its latest report; the reported revision if none was sent. */
    revision_number m_assumedRevision;
    /** Revision in the latest poll of the front. */
    revision_number m_reportedRevision;
    /** When the front first reported its outdated revision; unset if the revision is current. */
    std::optional<time_point> m_outdatedSince;
};

} // namespace figcleat::forward
