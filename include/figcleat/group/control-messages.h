#pragma once

#include "figcleat/group/engine-rank.h"
#include "figcleat/group/group-model.h"
#include "figcleat/wire/codec.h"

#include <variant>
#include <vector>

/**
 * Messages for controlling a group. The controller of a group runs beside one of its ranks. Messages go between agents
 * and the leader of the replicated log, which appoints controllers, and between the agents of a group.
 */
namespace figcleat::group
{

/** Service, group and rank number of the engine beside an agent. */
struct group_membership
{
    service_id service {};
    group_id group {};
    rank_number rank = 0;
    /** Number of ranks in the group. */
    rank_number ranks = 0;
    /** "IP:port" of the engine. */
    std::string engine {};

    bool operator==(const group_membership &) const = default;
    MSGPACK_DEFINE(service, group, rank, ranks, engine)
};

/** Addresses of the agent and the engine of a rank. */
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

/** Sent by the leader to ask an agent to request the control of its group. */
struct control_invitation
{
    group_id group;

    MSGPACK_DEFINE(group)
};

/** Sent to the leader to request or to renew the control of a group. */
struct control_request
{
    group_membership membership {};
    /** Fencing number of the control to renew; 0 to request an appointment. */
    fence_number fence {};
    /** Time of sending by the clock of the sender, in nanoseconds; returned unchanged in the grant. */
    std::int64_t sentAt = 0;
    /** Version of the contacts that the sender holds. */
    std::uint64_t contactsVersion = 0;

    MSGPACK_DEFINE(membership, fence, sentAt, contactsVersion)
};

/** Answer to a control request. The control lasts for `milliseconds` from the time at which the request was sent. */
struct control_grant
{
    group_id group {};
    /**
     * Fencing number of the granted control; 0 if the request was not granted. A later appointment has a higher number,
     * across all terms of the log.
     */
    fence_number fence {};
    std::int64_t sentAt = 0;
    std::uint32_t milliseconds = 0;
    group_model model {};
    std::uint64_t contactsVersion = 0;
    /** All contacts of the group; empty if the controller already has this version. */
    std::vector<rank_contact> contacts {};

    MSGPACK_DEFINE(group, fence, sentAt, milliseconds, model, contactsVersion, contacts)
};

/**
 * Informs an agent of the controller of its group and of the agent to report to. From then on the agent accepts no
 * order with a lower fencing number; its reports with the new number promise this.
 */
struct control_announcement
{
    group_id group {};
    fence_number fence {};
    peer_address controller {};
    /** Agent that collects the reports of this rank for the controller, or the controller itself. */
    peer_address relay {};

    MSGPACK_DEFINE(group, fence, controller, relay)
};

/** Tracks the controller that an agent follows. */
class followed_control
{
public:
    /**
     * Follows the announced controller. Returns false and changes nothing if a controller with a higher fencing number
     * is already followed.
     */
    [[nodiscard]] bool follow(const control_announcement &announcement)
    {
        if (announcement.fence < m_latest.fence) {
            return false;
        }
        m_latest = announcement;
        return true;
    }
    /**
     * Returns whether orders with this fencing number are accepted. Orders with any other number come from a controller
     * that has been replaced, or that this agent does not know yet.
     */
    [[nodiscard]] bool acceptsOrders(fence_number fence) const
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
 * Counts of expert choices in one byte each. All counts are divided by `unit`, so that the largest fits. The counts of
 * a group with 12 sets of 256 experts take 3 KB instead of 9 KB, and decoding them allocates memory only once.
 */
struct packed_counts
{
    std::uint32_t unit = 1;
    std::uint32_t sets = 0;
    std::vector<std::uint8_t> counts {};

    MSGPACK_DEFINE(unit, sets, counts)
};

[[nodiscard]] packed_counts packCounts(const expert_lists &lists);
/** Returns the counts multiplied by `unit`; empty if the number of counts is not a multiple of the number of sets. */
[[nodiscard]] expert_lists unpackCounts(const packed_counts &packed);

/** State of the rank beside an agent, sent to the relay of the rank. */
struct rank_report
{
    fence_number fence {};
    /** State of the rank; its choices are in `chosen` instead. */
    engine_rank_status status {};
    packed_counts chosen {};

    MSGPACK_DEFINE(fence, status, chosen)
};

/** Result of an order, sent to the agent that passed the order on. */
struct rank_result
{
    fence_number fence {};
    rank_number rank = 0;
    rank_order_answer answer {};

    MSGPACK_DEFINE(fence, rank, answer)
};

/** Reports and results that a relay received since its last message, sent to the controller. */
struct group_report
{
    group_id group {};
    fence_number fence {};
    /** Reports, without choices, and results, in order of arrival. */
    std::vector<std::variant<rank_report, rank_result>> messages {};
    /** Sum of the choices of several reports; empty while the relay still collects choices. */
    packed_counts chosen {};

    MSGPACK_DEFINE(group, fence, messages, chosen)
};

/** An order for the rank beside the receiving agent. */
struct rank_command
{
    fence_number fence {};
    rank_order order {};

    MSGPACK_DEFINE(fence, order)
};

/** Recipient of an order for several ranks, with the fields of the order that differ between recipients. */
struct order_recipient
{
    rank_number rank = 0;
    peer_address agent {};
    order_id id {};
    std::uint64_t expectedOrders = 0;

    MSGPACK_DEFINE(rank, agent, id, expectedOrders)
};

/** One order for several ranks; a relay passes it on to each of the ranks. */
struct multi_rank_command
{
    fence_number fence {};
    rank_order order {};
    std::vector<order_recipient> to {};

    MSGPACK_DEFINE(fence, order, to)
};

} // namespace figcleat::group
