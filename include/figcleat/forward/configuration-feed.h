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
 *
 * What was sent and not reported yet counts as on its way: it may wait behind other messages on a slow link, and
 * repeating it would only make the link slower.
 */
class configuration_feed
{
public:
    /** A front that reports the same outdated revision for this time is served by coordinators of any data centre. */
    static constexpr duration progressTimeout = std::chrono::milliseconds(600);
    /** A configuration that was not reported for this time is sent again; doubled for each repetition. */
    static constexpr duration resendTimeout = std::chrono::milliseconds(1000);
    static constexpr duration maxResendTimeout = std::chrono::seconds(8);
    /** Bytes of configurations on their way to one front, unless the first one alone is larger. */
    static constexpr std::size_t maxBytesOnTheWay = std::size_t { 64 } * 1024;
    /** Configurations on their way to one front: it reads each in full, and later ones make earlier ones pointless. */
    static constexpr std::size_t maxOnTheWay = 2;

    /** Records the revision that the front reports in a poll. */
    void onPoll(revision_number reported, revision_number newest, time_point now);
    /** Revision that the front has once everything on its way has arrived. */
    [[nodiscard]] revision_number base() const;
    /**
     * True if the newest configuration is to be sent to the front now; it is then on its way.
     *
     * @param isInOwnDataCentre the front is in the data centre of the coordinator
     * @param bytes size of what would be sent
     */
    [[nodiscard]] bool takeDue(bool isInOwnDataCentre, revision_number newest, time_point now, std::size_t bytes = 0);

private:
    /** Last revision sent to the front since its latest report; the reported revision if none was sent. */
    revision_number m_assumedRevision;
    /** Revision in the latest poll of the front. */
    revision_number m_reportedRevision;
    /** When the front first reported its outdated revision; unset if the revision is current. */
    std::optional<time_point> m_outdatedSince;
    std::size_t m_onTheWay = 0;
    std::size_t m_bytesOnTheWay = 0;
    /** When a configuration was sent or reported last. */
    time_point m_progressAt {};
    duration m_resendTimeout = resendTimeout;
};

} // namespace figcleat::forward
