#pragma once

#include "figcleat/core/digest.h"
#include "figcleat/core/ids.h"
#include "figcleat/core/result-code.h"

#include <cstdint>
#include <vector>

namespace figcleat::group
{

/** Rises with every map that is proposed for a group, also with those that are abandoned. */
using map_version = number_id<struct map_version_tag>;
/** Counter of the lock-step steps of a group. */
using step_number = number_id<struct step_tag>;
using rank_number = std::uint16_t;

/** Placement of the experts of one layer: `replicas[expert]` lists the ranks that hold it, ascending. */
struct layer_map
{
    std::vector<std::vector<rank_number>> replicas;

    bool operator==(const layer_map &) const = default;
    MSGPACK_DEFINE(replicas)
};

/** A proposed map and the switch to it have one name: who proposed it and which version it is. */
struct switch_id
{
    fence_number fence;
    map_version version;

    auto operator<=>(const switch_id &) const = default;
    MSGPACK_DEFINE(fence, version)
};

/** Which ranks of a group hold which experts. */
struct expert_map
{
    switch_id id;
    rank_number ranks = 0;
    std::vector<layer_map> layers;

    bool operator==(const expert_map &) const = default;
    MSGPACK_DEFINE(id, ranks, layers)
};

/** SHA-256 of the placement alone, so that equal placements have equal digests whatever their version. */
[[nodiscard]] digest contentDigest(const expert_map &map);

/**
 * Checks that every expert has a replica, that replicas name distinct ranks of the group in ascending order and
 * that no rank holds more than `slotsPerRank` experts of a layer. Returns ok or `map_digest_mismatch`.
 */
[[nodiscard]] expected<void> validate(const expert_map &map, std::size_t slotsPerRank);

/** Replicas that are in `to` and not in `from`, per rank. A rank loads these beside what it has. */
[[nodiscard]] std::vector<std::size_t> addedReplicasPerRank(const expert_map &from, const expert_map &to);

/** Spreads `experts` experts evenly over the ranks without spare replicas. */
[[nodiscard]] expert_map evenlySpreadMap(rank_number ranks, std::size_t experts, std::size_t layers);

} // namespace figcleat::group
