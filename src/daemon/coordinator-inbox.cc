#include "figcleat/daemon/coordinator-inbox.h"

#include "figcleat/core/overloaded.h"

#include <algorithm>

namespace figcleat
{

namespace
{

constexpr std::array pollOrder { forward::node_role::coordinator, forward::node_role::front,
                                 forward::node_role::agent };

std::size_t indexOf(forward::node_role role)
{
    return static_cast<std::size_t>(role);
}

} // namespace

void coordinator_inbox::add(const envelope &message)
{
    std::visit(overloaded {
                   [&](const forward::control_renewal & /*renewal*/) { addLatest(m_renewals, message); },
                   [&](const forward::node_update & /*update*/) {
                       if (m_updates.size() < maxUpdates) {
                           m_updates.push_back(message);
                       } else {
                           ++m_shed;
                       }
                   },
                   [&](const forward::node_poll &poll) {
                       if (indexOf(poll.role) < m_polls.size()) {
                           addLatest(m_polls[indexOf(poll.role)], message);
                       }
                   },
                   [](const auto &) {},
               },
               message.message);
}

void coordinator_inbox::addLatest(latest_messages &lane, const envelope &message)
{
    const auto found = lane.bySender.find(message.from);
    if (found != lane.bySender.end()) {
        ++m_shed;
        found->second = message;
    } else if (lane.bySender.size() >= maxSenders) {
        ++m_shed;
    } else {
        lane.bySender.emplace(message.from, message);
        lane.order.push_back(message.from);
    }
}

std::optional<envelope> coordinator_inbox::take()
{
    if (!m_renewals.order.empty()) {
        return takeFirst(m_renewals);
    }
    if (!m_updates.empty()) {
        envelope first = std::move(m_updates.front());
        m_updates.pop_front();
        return first;
    }
    for (const auto role : pollOrder) {
        if (!m_polls[indexOf(role)].order.empty()) {
            return takeFirst(m_polls[indexOf(role)]);
        }
    }
    return std::nullopt;
}

std::optional<envelope> coordinator_inbox::takeFirst(latest_messages &lane)
{
    auto taken = lane.bySender.extract(lane.order.front());
    lane.order.pop_front();
    return std::move(taken.mapped());
}

bool coordinator_inbox::empty() const
{
    return m_renewals.order.empty() && m_updates.empty()
        && std::all_of(m_polls.begin(), m_polls.end(), [](const auto &lane) { return lane.order.empty(); });
}

std::uint64_t coordinator_inbox::shed() const
{
    return m_shed;
}

} // namespace figcleat
