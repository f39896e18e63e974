#pragma once

#include "figcleat/group/engine-rank.h"
#include "figcleat/group/group-model.h"
#include "figcleat/wire/codec.h"

#include <variant>
#include <vector>

/**
 * Messages about the control of a group, whose controller runs beside one of its ranks: between agents and the leader
 * of the replicated log, which appoints controllers, and among the agents of a group.
 */
namespace figcleat::group
{

/** Place of the rank beside an agent. */
struct group_seat
{
    service_id service {};
    group_id group {};
    rank_number rank = 0;
    /** Size of the group. */
    rank_number ranks = 0;
    /** "IP:port" of the engine. */
    std::string engine {};

    bool operator==(const group_seat &) const = default;
    MSGPACK_DEFINE(service, group, rank, ranks, engine)
};

/** Where a rank is reached. */
struct rank_contact
{
    rank_number rank = 0;
    peer_address agent {};
    data_centre_id dataCentre {};
    /** "IP:port" of the engine. */
    std::string engine {};

    bool operator==(const rank_contact &) const = default;
    MSGPACK_DEFINE(rank, agent, dataCentre, engine)
};

/** The leader asks an agent to request the control of its group. */
struct control_invitation
{
    group_id group;

    MSGPACK_DEFINE(group)
};

/** Asks the leader for the control of a group, or to prolong it. */
struct control_request
{
    group_seat seat {};
    /** Of the control that is to be prolonged; 0 to be appointed. */
    fence_number fence {};
    /** Clock of the sender in nanoseconds; returned in the grant. */
    std::int64_t sentAt = 0;
    /** Version of the contacts that the sender has. */
    std::uint64_t contactsVersion = 0;

    MSGPACK_DEFINE(seat, fence, sentAt, contactsVersion)
};

/** Answer to a request. The control lasts for `milliseconds` from the time at which the request was sent. */
struct control_grant
{
    group_id group {};
    /** 0 if another agent has the control. A later appointment has a higher number, in all terms of the log. */
    fence_number fence {};
    std::int64_t sentAt = 0;
    std::uint32_t milliseconds = 0;
    group_model model {};
    std::uint64_t contactsVersion = 0;
    /** Empty if the controller has this version. */
    std::vector<rank_contact> contacts {};

    MSGPACK_DEFINE(group, fence, sentAt, milliseconds, model, contactsVersion, contacts)
};

/**
 * Tells an agent who controls its group and to whom it reports. An agent that has seen it takes no order with a lower
 * fence, which its reports with that fence promise.
 */
struct control_announcement
{
    group_id group {};
    fence_number fence {};
    peer_address controller {};
    /** Agent that collects the reports of some ranks for the controller, or the controller itself. */
    peer_address relay {};

    MSGPACK_DEFINE(group, fence, controller, relay)
};

/** The controller that an agent follows. */
class followed_control
{
public:
    /** False if a controller with a higher fence is followed. */
    [[nodiscard]] bool follow(const control_announcement &announcement)
    {
        if (announcement.fence < m_latest.fence) {
            return false;
        }
        m_latest = announcement;
        return true;
    }
    /** Orders with another fence come from a controller that has been replaced, or that this agent does not know yet.
     */
    [[nodiscard]] bool takesOrders(fence_number fence) const
    {
        return fence == m_latest.fence;
    }
    [[nodiscard]] const control_announcement &latest() const
    {
        return m_latest;
    }

private:
    control_announcement m_latest;
};

/**
 * Counts of choices, one byte each: all are divided by `unit`, so that the largest fits. The lists of a group with 12
 * sets of 256 experts take 3 KB instead of 9, and decoding them allocates once.
 */
struct packed_counts
{
    std::uint32_t unit = 1;
    std::uint32_t sets = 0;
    std::vector<std::uint8_t> counts {};

    MSGPACK_DEFINE(unit, sets, counts)
};

[[nodiscard]] packed_counts packCounts(const expert_lists &lists);
/** Empty if the counts do not fill their sets. */
[[nodiscard]] expert_lists unpackCounts(const packed_counts &packed);

/** State of the rank beside an agent, for its relay. */
struct rank_report
{
    fence_number fence {};
    /** Without choices. */
    engine_rank_status status {};
    packed_counts chosen {};

    MSGPACK_DEFINE(fence, status, chosen)
};

/** What became of an order; to the agent that passed it on. */
struct rank_result
{
    fence_number fence {};
    rank_number rank = 0;
    rank_order_answer answer {};

    MSGPACK_DEFINE(fence, rank, answer)
};

/** What a relay has heard since its last message, for the controller. */
struct group_report
{
    group_id group {};
    fence_number fence {};
    /** In the order in which they came; without choices. */
    std::vector<std::variant<rank_report, rank_result>> news {};
    /** Sum of the choices of several reports; empty while it is collected. */
    packed_counts chosen {};

    MSGPACK_DEFINE(group, fence, news, chosen)
};

/** An order for the rank beside an agent. */
struct rank_command
{
    fence_number fence {};
    rank_order order {};

    MSGPACK_DEFINE(fence, order)
};

/** What an order that goes to many ranks has of its own at one of them. */
struct order_address
{
    rank_number rank = 0;
    peer_address agent {};
    order_id id {};
    std::uint64_t expectedOrders = 0;

    MSGPACK_DEFINE(rank, agent, id, expectedOrders)
};

/** One order for several ranks; a relay passes it on to each of them. */
struct spread_command
{
    fence_number fence {};
    rank_order order {};
    std::vector<order_address> to {};

    MSGPACK_DEFINE(fence, order, to)
};

} // namespace figcleat::group
