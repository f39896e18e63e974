#include "figcleat/forward/outage-estimate.h"

#include <algorithm>

namespace figcleat::forward
{

void outage_estimate::update(bool isInterrupted, time_point now)
{
    if (!isInterrupted) {
        m_since.reset();
    } else if (!m_since) {
        m_since = now;
    }
}

bool outage_estimate::isInterrupted() const
{
    return m_since.has_value();
}

duration outage_estimate::remaining(time_point now) const
{
    return m_since ? std::clamp(now - *m_since, minRemaining, maxRemaining) : duration {};
}

} // namespace figcleat::forward
