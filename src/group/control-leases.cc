#include "figcleat/group/control-leases.h"

#include <algorithm>

namespace figcleat::group
{

namespace
{

constexpr std::size_t maxGroups = 256;
/** Agents poll every second; an agent that has missed two polls may be lost. */
constexpr duration memberTimeout = std::chrono::milliseconds(2500);
/** Time until the next member is invited; an agent answers an invitation within one round trip. */
constexpr duration invitationTimeout = std::chrono::milliseconds(200);
constexpr std::uint64_t maxAppointmentsPerTerm = 10'000;

} // namespace

void control_leases::setTerm(std::optional<std::uint64_t> term, time_point now)
{
    if (term != m_term) {
        m_term = term;
        m_leaderSince = now;
        m_appointmentCount = 0;
        m_groups.clear();
    }
}

void control_leases::setModels(std::map<service_id, group_model> models)
{
    m_models = std::move(models);
}

void control_leases::onMembership(const peer_address &agent, const data_centre_id &dataCentre,
                                  const group_membership &membership, time_point now)
{
    const bool isKnown = m_groups.contains(membership.group) || m_groups.size() < maxGroups;
    if (!m_term || !isKnown || membership.rank >= membership.ranks) {
        return;
    }
    auto &record = m_groups[membership.group];
    record.service = membership.service;
    const auto removed
        = std::erase_if(record.members, [&membership](const auto &entry) { return entry.first >= membership.ranks; });
    auto &member = record.members[membership.rank];
    const rank_contact contact { membership.rank, agent, dataCentre, membership.engine };
    if (removed > 0 || member.contact != contact) {
        member.contact = contact;
        ++record.contactsVersion;
    }
    member.lastHeardAt = now;
}

bool control_leases::isControlled(const group_record &record, time_point now) const
{
    // A controller that an earlier leader appointed gets time to contact this leader.
    return now - std::max(record.renewedAt, m_leaderSince) < replacementTimeout;
}

bool control_leases::mayRenew(const group_record &record, const peer_address &from, fence_number fence,
                              time_point now) const
{
    if (fence == fence_number {} || fence < record.fence) {
        return false;
    }
    // A higher fencing number shows that control was granted without the knowledge of this leader; the holder keeps it.
    return record.controller == from || fence > record.fence || !isControlled(record, now);
}

fence_number control_leases::nextFence()
{
    m_appointmentCount = std::min(m_appointmentCount + 1, maxAppointmentsPerTerm - 1);
    return { *m_term * maxAppointmentsPerTerm + m_appointmentCount };
}

control_grant control_leases::onRequest(const peer_address &from, const control_request &request, time_point now)
{
    control_grant answer;
    answer.group = request.membership.group;
    answer.sentAt = request.sentAt;
    const auto found = m_groups.find(request.membership.group);
    const auto model = m_models.find(request.membership.service);
    if (!m_term || found == m_groups.end() || model == m_models.end()) {
        return answer;
    }
    auto &record = found->second;
    const bool isAppointed
        = request.fence == fence_number {} && record.invitedAgent == from && !isControlled(record, now);
    if (isAppointed) {
        record.fence = std::max(nextFence(), record.fence.next());
    } else if (mayRenew(record, from, request.fence, now)) {
        record.fence = request.fence;
    } else {
        return answer;
    }
    record.invitedAgent = {};
    record.controller = from;
    record.renewedAt = now;
    answer.fence = record.fence;
    answer.milliseconds
        = static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(leaseTime).count());
    answer.model = model->second;
    // Contacts may differ between leaders, so the versions must differ too.
    answer.contactsVersion = (*m_term << 32U) + record.contactsVersion;
    if (answer.contactsVersion != request.contactsVersion) {
        for (const auto &[rank, member] : record.members) {
            answer.contacts.push_back(member.contact);
        }
    }
    return answer;
}

const control_leases::member *control_leases::nextCandidate(const group_record &record, time_point now) const
{
    const auto isHeardRecently = [now](const auto &entry) { return now - entry.second.lastHeardAt < memberTimeout; };
    auto found = std::find_if(record.members.upper_bound(record.invitedRank), record.members.end(), isHeardRecently);
    if (found == record.members.end()) {
        found = std::find_if(record.members.begin(), record.members.end(), isHeardRecently);
    }
    return found == record.members.end() ? nullptr : &found->second;
}

std::vector<control_leases::invitation> control_leases::tick(time_point now)
{
    std::vector<invitation> sent;
    if (!m_term) {
        return sent;
    }
    for (auto &[group, record] : m_groups) {
        const bool isDue = now - record.invitedAt >= invitationTimeout && m_models.contains(record.service);
        const auto *candidate = isControlled(record, now) || !isDue ? nullptr : nextCandidate(record, now);
        if (candidate == nullptr) {
            continue;
        }
        record.invitedAgent = candidate->contact.agent;
        record.invitedRank = candidate->contact.rank;
        record.invitedAt = now;
        sent.push_back({ record.invitedAgent, { group } });
    }
    return sent;
}

std::vector<control_leases::group_status> control_leases::groups(time_point now) const
{
    std::vector<group_status> all;
    for (const auto &[group, record] : m_groups) {
        const bool controlled = record.controller != peer_address {} && isControlled(record, now);
        all.push_back({ group, record.fence, record.controller, controlled });
    }
    return all;
}

} // namespace figcleat::group
