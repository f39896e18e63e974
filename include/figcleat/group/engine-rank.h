#pragma once

#include "figcleat/core/ids.h"
#include "figcleat/group/expert-map.h"

#include <cstdint>
#include <vector>

/** Messages to and from a rank of a group whose engine switches maps itself: orders, and reports of the rank state. */
namespace figcleat::group
{

using epoch_number = number_id<struct epoch_tag>;
/** Identifies an order until its result is known. */
using order_id = number_id<struct order_tag>;
/** Expert numbers or counts per expert; the outer index is the rank in `rank_order::map`, and the expert set elsewhere.
 */
using expert_lists = std::vector<std::vector<std::uint32_t>>;

/** State of a rank as its engine reports it. */
struct engine_rank_status
{
    service_id service {};
    /** "IP:port" of the engine. */
    std::string address {};
    group_id group {};
    /** Increases when the group forms again; the group then uses its first map, and no map is prepared or armed. */
    epoch_number epoch {};
    rank_number rank = 0;
    /** Number of ranks in the group. */
    rank_number ranks = 0;
    /** False while the group is broken and cannot run steps. */
    bool isOpen = false;
    /** Time that the rank needs for its work, relative to a healthy rank; above 1 is slower. */
    double pace = 1;
    /** Increases with each order that the rank begins to carry out. */
    std::uint64_t orders = 0;
    /** Last step that the rank has begun. */
    step_number step {};
    map_version map {};
    /** Map whose experts are all loaded; 0 for none. */
    map_version prepared {};
    /** Map to which the rank will switch; 0 for none. */
    map_version armed {};
    /** Step at which the rank switches to `armed`; 0 if the engine does not report one. */
    step_number armedStep {};
    /** Step that the group may not begin because of a hold; 0 for none. */
    step_number held {};
    /** Experts of this rank under `map`. */
    expert_lists experts {};
    /**
     * Number of times that each expert was chosen for requests of this rank since the last report with choices; empty
     * if the counts were not read. The counts are sent in separate messages and not packed with the status.
     */
    expert_lists chosen {};

    MSGPACK_DEFINE(service, address, group, epoch, rank, ranks, isOpen, pace, orders, step, map, prepared, armed,
                   armedStep, held, experts)
};

/**
 * Returns the choices made between two readings of cumulative counters; 0 for a counter that fell, as after a restart.
 */
[[nodiscard]] expert_lists choicesSince(const expert_lists &latest, const expert_lists &earlier);

enum class rank_operation : std::uint8_t {
    /** Load the experts of a map that the rank lacks. */
    prepare,
    /** Switch to a prepared map when a step begins. */
    arm,
    disarm,
    /** Do not begin a step. */
    hold,
    /** Release a hold, so that the held step begins. */
    go,
};

struct rank_order
{
    order_id id {};
    rank_operation operation = rank_operation::prepare;
    epoch_number epoch {};
    map_version version {};
    step_number step {};
    /** For `prepare`: expert numbers, indexed by set and then by rank. */
    std::vector<expert_lists> map {};
    /** Value of `engine_rank_status::orders` at which the order is valid, so that a delayed order has no effect. */
    std::uint64_t expectedOrders = 0;

    MSGPACK_DEFINE(id, operation, epoch, version, step, map, expectedOrders)
};

enum class order_result : std::uint8_t {
    /** The order has begun or is done, or the rank is already in the requested state. */
    accepted,
    /** The order does not match the state of the rank and has no effect. */
    refused,
    /** No answer arrived; the order may have been carried out or may still be. */
    unknown,
};

struct rank_order_answer
{
    order_id id {};
    order_result result = order_result::unknown;

    MSGPACK_DEFINE(id, result)
};

} // namespace figcleat::group

MSGPACK_ADD_ENUM(figcleat::group::rank_operation)
MSGPACK_ADD_ENUM(figcleat::group::order_result)
