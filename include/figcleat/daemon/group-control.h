#pragma once

#include "figcleat/daemon/http-client-pool.h"
#include "figcleat/daemon/process-message.h"
#include "figcleat/forward/dialect.h"
#include "figcleat/group/map-controller.h"
#include "figcleat/group/report-relay.h"
#include "figcleat/report/metrics-text.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace figcleat
{

/** Agent of a rank, as its controller knows it. */
struct rank_link
{
    group::rank_contact contact;
    /** Relay that was announced last; empty if none was. */
    peer_address relay;
    time_point firstAnnounced {};
    time_point announced {};
    time_point heard {};
};

/** The control of a group, from its grant to its end. */
struct control_tenure
{
    group::group_membership seat;
    fence_number fence;
    time_point until {};
    time_point grantedAt {};
    time_point requestedAt {};
    std::uint64_t contactsVersion = 0;
    std::map<group::rank_number, rank_link> ranks;
    std::unique_ptr<group::map_controller> controller;
};

/**
 * Controls the expert map of the group to which the rank beside this agent belongs, while the leader of the replicated
 * log has appointed this agent.
 *
 * Its orders go through relays, and the relays tell it what the ranks report. It orders only once every rank has
 * reported under its fence: the agents have then promised to take no order of an earlier controller.
 */
class group_control : public http_client_handler
{
public:
    struct parts
    {
        loop *eventLoop = nullptr;
        const clock *time = nullptr;
        const forward::dialect *language = nullptr;
        incarnation_id incarnation;
        peer_address self;
        /** Sends a message, also to this process itself. */
        std::function<void(const peer_address &, process_message)> send;
        /** Sends a message to the leader of the log as far as it is known, else to all coordinators. */
        std::function<void(const process_message &, bool toAll)> sendToLeader;
    };

    explicit group_control(parts wiring);

    /** The leader offers the control of the group of this seat. */
    void onInvitation(const group::group_membership &own, const group::control_invitation &invitation);
    void onGrant(const group::group_membership &own, const group::control_grant &grant);
    void receive(const group::group_report &report);
    /** The agent of the own rank follows a controller with this fence. */
    void onFence(fence_number fence);
    void tick();
    [[nodiscard]] bool isActive() const;
    /** Engines that are slow or whose group is broken. */
    [[nodiscard]] const std::vector<forward::engine_condition> &engines() const;
    void writeMetrics(report::metrics_text &page) const;

private:
    struct direct_order
    {
        group::rank_number rank = 0;
        group::order_id order;
        group::order_result result = group::order_result::unknown;
    };

    // http_client_handler, for orders to engines
    void onAnswerStart(attempt_id attempt, int status, const http_headers &headers) override;
    void onBytes(attempt_id attempt, std::string_view bytes) override;
    void onAnswerEnd(attempt_id attempt) override;
    void onFailure(attempt_id attempt, bool notSent) override;

    void begin(const group::group_membership &own, const group::control_grant &grant);
    void end(std::string_view reason);
    void setContacts(const std::vector<group::rank_contact> &contacts);
    void request();
    void announceRelays();
    void step(const group::map_event &event);
    void carryOut(group::send_order &order);
    void carryOut(const group::multi_rank_order &order);
    /** Calls an engine whose agent does not answer. */
    void orderDirectly(const group::send_order &order);
    void endDirectOrder(attempt_id attempt, group::order_result result);
    void reviewEngines();

    parts m_parts;
    time_point m_startedAt;
    /** Of the last control that ended. */
    fence_number m_endedFence;
    std::optional<control_tenure> m_tenure;
    std::vector<forward::engine_condition> m_engines;
    http_client_pool m_clients;
    std::map<attempt_id, direct_order> m_directOrders;
    attempt_number m_lastDirectOrder;
    std::uint64_t m_appointments = 0;
    std::uint64_t m_reports = 0;
};

} // namespace figcleat
