#pragma once

#include "figcleat/core/ids.h"
#include "figcleat/group/expert-map.h"

#include <cstdint>
#include <vector>

/** Messages about one rank of a group whose engine switches maps itself: it takes orders and reports its state. */
namespace figcleat::group
{

using epoch_number = number_id<struct epoch_tag>;
/** Identifies an order until its result is known. */
using order_id = number_id<struct order_tag>;
/** Experts by set. */
using expert_lists = std::vector<std::vector<std::uint32_t>>;

/** State of a rank as its engine reports it. */
struct engine_rank_status
{
    service_id service {};
    /** "IP:port" of the engine. */
    std::string address {};
    group_id group {};
    /** Rises when the group forms again; the group then uses its first map, and nothing is prepared or armed. */
    epoch_number epoch {};
    rank_number rank = 0;
    /** Size of the group. */
    rank_number ranks = 0;
    /** False while the group is broken. */
    bool isOpen = false;
    /** Time that the rank takes for its work relative to a sound one. */
    double pace = 1;
    /** Rises with each order that begins something. */
    std::uint64_t orders = 0;
    /** Last step that was begun. */
    step_number step {};
    map_version map {};
    /** Map whose experts are all loaded; 0 for none. */
    map_version prepared {};
    /** Map to which the rank will switch; 0 for none. */
    map_version armed {};
    /** Step at which it will; 0 if not told. */
    step_number armedStep {};
    /** Step that the group does not begin; 0 for none. */
    step_number held {};
    /** Experts of this rank under `map`. */
    expert_lists experts {};
    /** How often each expert was chosen by this rank's requests since the last report with choices; empty if not read.
     * Messages carry it apart. */
    expert_lists chosen {};

    MSGPACK_DEFINE(service, address, group, epoch, rank, ranks, isOpen, pace, orders, step, map, prepared, armed,
                   armedStep, held, experts)
};

/** Choices between two readings of counts that only grow; 0 for a count that fell, as after a restart. */
[[nodiscard]] expert_lists chosenSince(const expert_lists &latest, const expert_lists &earlier);

enum class rank_operation : std::uint8_t {
    /** Load the experts of a map that the rank lacks. */
    prepare,
    /** Switch to a prepared map as a step begins. */
    arm,
    disarm,
    /** Do not begin a step. */
    hold,
    /** Begin the step that was held. */
    go,
};

struct rank_order
{
    order_id id {};
    rank_operation operation = rank_operation::prepare;
    epoch_number epoch {};
    map_version version {};
    step_number step {};
    /** For `prepare`: experts by set and rank. */
    std::vector<expert_lists> map {};
    /** `orders` of the rank that this order expects, so that an order that is carried out late has no effect. */
    std::uint64_t expectedOrders = 0;

    MSGPACK_DEFINE(id, operation, epoch, version, step, map, expectedOrders)
};

enum class order_result : std::uint8_t {
    /** Begun, done, or the state already holds. */
    accepted,
    /** It does not fit the state of the rank; it has no effect. */
    refused,
    /** No answer; it may be carried out, also later. */
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
