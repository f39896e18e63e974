#pragma once

#include "figcleat/core/digest.h"
#include "figcleat/core/ids.h"
#include "figcleat/core/result-code.h"

#include <cstdint>
#include <vector>

namespace figcleat::group
{

/** Version of a map of a group; increases with every proposed map, including maps that are abandoned later. */
using map_version = number_id<struct map_version_tag>;
/** Number of a step of a group; the ranks of a group run their steps in lock-step. */
using step_number = number_id<struct step_tag>;
using rank_number = std::uint16_t;

/** Placement of the experts of one layer: `replicas[expert]` lists, in ascending order, the ranks that hold it. */
struct layer_map
{
    std::vector<std::vector<rank_number>> replicas;

    bool operator==(const layer_map &) const = default;
    MSGPACK_DEFINE(replicas)
};

/** Identifies a proposed map and the switch to it by the fence of the proposing controller and the map version. */
struct switch_id
{
    fence_number fence;
    map_version version;

    auto operator<=>(const switch_id &) const = default;
    MSGPACK_DEFINE(fence, version)
};

/** Placement of the experts of all layers on the ranks of a group. */
struct expert_map
{
    switch_id id;
    /** Number of ranks of the group. */
    rank_number ranks = 0;
    std::vector<layer_map> layers;

    bool operator==(const expert_map &) const = default;
    MSGPACK_DEFINE(id, ranks, layers)
};

/** SHA-256 of the placement without the map's id, so that equal placements have equal digests in all versions. */
[[nodiscard]] digest contentDigest(const expert_map &map);

/**
 * Checks that every expert has a replica, that the ranks of its replicas are distinct, in ascending order and within
 * the group, and that no rank holds more than `slotsPerRank` experts of a layer. Fails with `map_digest_mismatch`.
 */
[[nodiscard]] expected<void> validate(const expert_map &map, std::size_t slotsPerRank);

/**
 * Counts, for each rank, the replicas of `to` that `from` does not have on this rank. A rank loads them while it keeps
 * its present replicas.
 */
[[nodiscard]] std::vector<std::size_t> addedReplicasPerRank(const expert_map &from, const expert_map &to);

/** Creates a map that spreads `experts` experts evenly over the ranks, with one replica of each expert. */
[[nodiscard]] expert_map evenlySpreadMap(rank_number ranks, std::size_t experts, std::size_t layers);

} // namespace figcleat::group
