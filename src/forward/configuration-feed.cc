#include "figcleat/forward/configuration-feed.h"

#include <algorithm>

namespace figcleat::forward
{

void configuration_feed::onPoll(revision_number reported, revision_number newest, time_point now)
{
    const bool hasProgress = reported != m_reportedRevision;
    if (hasProgress || reported >= newest) {
        m_outdatedSince.reset();
    }
    const bool hasRestarted = reported < m_reportedRevision;
    m_reportedRevision = reported;
    if (reported < newest && !m_outdatedSince) {
        m_outdatedSince = now;
    }
    if (hasProgress) {
        m_progressAt = now;
        m_resendTimeout = resendTimeout;
        m_onTheWay = std::min<std::size_t>(m_onTheWay, 1);
    }
    const bool isLost = now - m_progressAt >= m_resendTimeout;
    if (isLost && m_assumedRevision > reported) {
        m_resendTimeout = std::min(2 * m_resendTimeout, maxResendTimeout);
    }
    if (isLost || hasRestarted || reported >= m_assumedRevision) {
        m_assumedRevision = reported;
        m_onTheWay = 0;
        m_bytesOnTheWay = 0;
    }
}

revision_number configuration_feed::base() const
{
    return m_assumedRevision;
}

bool configuration_feed::takeDue(bool isInOwnDataCentre, revision_number newest, time_point now, std::size_t bytes)
{
    const bool isOverdue = m_outdatedSince && now - *m_outdatedSince >= progressTimeout;
    const bool hasRoom = m_onTheWay == 0 || (m_onTheWay < maxOnTheWay && m_bytesOnTheWay + bytes <= maxBytesOnTheWay);
    if (m_assumedRevision >= newest || !hasRoom || !(isInOwnDataCentre || isOverdue)) {
        return false;
    }
    m_assumedRevision = newest;
    ++m_onTheWay;
    m_bytesOnTheWay += bytes;
    m_progressAt = now;
    return true;
}

} // namespace figcleat::forward
