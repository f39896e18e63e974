#include "figcleat/forward/configuration-feed.h"

namespace figcleat::forward
{

void configuration_feed::onPoll(revision_number has, revision_number newest, time_point now)
{
    if (has != m_polled || has >= newest) {
        m_outdatedSince.reset();
    }
    m_polled = has;
    m_has = has;
    if (has < newest && !m_outdatedSince) {
        m_outdatedSince = now;
    }
}

bool configuration_feed::takeDue(bool isNear, revision_number newest, time_point now)
{
    const bool isOverdue = m_outdatedSince && now - *m_outdatedSince >= patience;
    if (m_has >= newest || !(isNear || isOverdue)) {
        return false;
    }
    m_has = newest;
    return true;
}

} // namespace figcleat::forward
