#pragma once

#include "figcleat/core/clock.h"
#include "figcleat/group/control-messages.h"

#include <map>
#include <optional>
#include <vector>

namespace figcleat::group
{

/**
 * Appoints the controller of each group; runs in the leader of the replicated log.
 *
 * The leader invites one agent of a group, which requests the control of the group and then renews it periodically. The
 * work of the leader does not grow with the work of the controllers. Appointments are kept in memory only: fencing
 * numbers rise with the term of the log, a new leader learns of a controller when that controller renews its control,
 * and agents follow the controller with the highest fencing number.
 */
class control_leases
{
public:
    /**
     * A controller stops by itself when it could not renew its control for this long. The promises of the agents to
     * accept no lower fencing number rule out a second acting controller, so the lease can be long enough for a group
     * to keep its controller while most of the core is down.
     */
    static constexpr duration leaseTime = std::chrono::seconds(20);
    /** A controller that has not renewed its control for this long is replaced. */
    static constexpr duration replacementTimeout = std::chrono::milliseconds(1000);

    struct invitation
    {
        peer_address to;
        control_invitation message;
    };

    /** State of a group as shown to operators. */
    struct group_status
    {
        group_id group;
        fence_number fence;
        peer_address controller;
        bool isControlled = false;
    };

    /**
     * Sets the term in which this coordinator leads; empty while another coordinator leads. A change discards all known
     * groups.
     */
    void setTerm(std::optional<std::uint64_t> term, time_point now);
    /** Sets the models of the services whose engines form groups. */
    void setModels(std::map<service_id, group_model> models);
    void onMembership(const peer_address &agent, const data_centre_id &dataCentre, const group_membership &membership,
                      time_point now);
    [[nodiscard]] control_grant onRequest(const peer_address &from, const control_request &request, time_point now);
    [[nodiscard]] std::vector<invitation> tick(time_point now);
    [[nodiscard]] std::vector<group_status> groups(time_point now) const;

private:
    struct member
    {
        rank_contact contact;
        time_point lastHeardAt {};
    };

    struct group_record
    {
        service_id service;
        std::map<rank_number, member> members;
        std::uint64_t contactsVersion = 0;
        fence_number fence;
        peer_address controller;
        time_point renewedAt {};
        peer_address invitedAgent;
        rank_number invitedRank = 0;
        time_point invitedAt {};
    };

    [[nodiscard]] bool isControlled(const group_record &record, time_point now) const;
    [[nodiscard]] bool mayRenew(const group_record &record, const peer_address &from, fence_number fence,
                                time_point now) const;
    [[nodiscard]] fence_number nextFence();
    /**
     * Returns the next member that was heard from recently, in rank order after the most recent invitation and wrapping
     * around; null if no member was heard from recently.
     */
    [[nodiscard]] const member *nextCandidate(const group_record &record, time_point now) const;

    std::optional<std::uint64_t> m_term;
    time_point m_leaderSince {};
    std::uint64_t m_appointmentCount = 0;
    std::map<service_id, group_model> m_models;
    std::map<group_id, group_record> m_groups;
};

} // namespace figcleat::group
