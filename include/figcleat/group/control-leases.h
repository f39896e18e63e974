#pragma once

#include "figcleat/core/clock.h"
#include "figcleat/group/control-messages.h"

#include <map>
#include <optional>
#include <vector>

namespace figcleat::group
{

/**
 * Appoints the controller of each group; a part of the leader of the replicated log.
 *
 * One agent of a group is invited, requests the control and prolongs it now and then; the work does not grow with what
 * the controllers do. Appointments are kept in memory alone: their fences rise with the term of the log, a new leader
 * learns of a controller when it prolongs its control, and agents follow the highest fence.
 */
class control_leases
{
public:
    /**
     * A controller stops by itself when its control has not been prolonged for this long. The promises of the agents
     * exclude a second controller, so a group keeps its controller while most of the core is away.
     */
    static constexpr duration leaseTime = std::chrono::seconds(20);
    /** A controller that has not prolonged its control for this long is replaced. */
    static constexpr duration replaceAfter = std::chrono::milliseconds(1000);

    struct invitation
    {
        peer_address to;
        control_invitation what;
    };

    /** What an operator sees of a group. */
    struct group_status
    {
        group_id group;
        fence_number fence;
        peer_address controller;
        bool isControlled = false;
    };

    /** Term in which this coordinator leads; nothing while another one does. */
    void setTerm(std::optional<std::uint64_t> term, time_point now);
    /** Models of the services whose engines form groups. */
    void setModels(std::map<service_id, group_model> models);
    void onSeat(const peer_address &agent, const data_centre_id &dataCentre, const group_seat &seat, time_point now);
    [[nodiscard]] control_grant onRequest(const peer_address &from, const control_request &request, time_point now);
    [[nodiscard]] std::vector<invitation> tick(time_point now);
    [[nodiscard]] std::vector<group_status> groups(time_point now) const;

private:
    struct member
    {
        rank_contact contact;
        time_point heard {};
    };

    struct group_record
    {
        service_id service;
        std::map<rank_number, member> members;
        std::uint64_t contactsVersion = 0;
        fence_number fence;
        peer_address controller;
        time_point prolongedAt {};
        peer_address invited;
        rank_number invitedRank = 0;
        time_point invitedAt {};
    };

    [[nodiscard]] bool isControlled(const group_record &record, time_point now) const;
    [[nodiscard]] bool mayProlong(const group_record &record, const peer_address &from, fence_number fence,
                                  time_point now) const;
    [[nodiscard]] fence_number nextFence();
    /** Next member after the one invited last that was heard lately. */
    [[nodiscard]] const member *nextCandidate(const group_record &record, time_point now) const;

    std::optional<std::uint64_t> m_term;
    time_point m_leadsSince {};
    std::uint64_t m_appointments = 0;
    std::map<service_id, group_model> m_models;
    std::map<group_id, group_record> m_groups;
};

} // namespace figcleat::group
