#include "figcleat/forward/configuration-feed.h"

namespace figcleat::forward
{

void configuration_feed::onPoll(revision_number reported, revision_number newest, time_point now)
{
    if (reported != m_reportedRevision || reported >= newest) {
        m_outdatedSince.reset();
    }
    m_reportedRevision = reported;
    m_assumedRevision = reported;
    if (reported < newest && !m_outdatedSince) {
        m_outdatedSince = now;
    }
}

bool configuration_feed::takeDue(bool isInOwnDataCentre, revision_number newest, time_point now)
{
    const bool isOverdue = m_outdatedSince && now - *m_outdatedSince >= progressTimeout;
    if (m_assumedRevision >= newest || !(isInOwnDataCentre || isOverdue)) {
        return false;
    }
    m_assumedRevision = newest;
    return true;
}

} // namespace figcleat::forward
