#include "figcleat/group/expert-map.h"

#include "figcleat/wire/codec.h"

#include <algorithm>

namespace figcleat::group
{

namespace
{

expected<void> validateLayer(const layer_map &layer, rank_number ranks, std::size_t slotsPerRank)
{
    std::vector<std::size_t> usedSlots(ranks, 0);
    for (const auto &holders : layer.replicas) {
        const bool ascending
            = std::adjacent_find(holders.begin(), holders.end(), std::greater_equal<> {}) == holders.end();
        if (holders.empty() || !ascending || holders.back() >= ranks) {
            return fail(
                result_code::map_digest_mismatch,
                "an expert has no replica, its ranks are not in ascending order, or a rank is outside the group");
        }
        for (const auto rank : holders) {
            if (++usedSlots[rank] > slotsPerRank) {
                return fail(result_code::map_digest_mismatch,
                            "rank " + std::to_string(rank) + " holds more experts of a layer than it has slots");
            }
        }
    }
    return {};
}

} // namespace

digest contentDigest(const expert_map &map)
{
    return sha256(encode(std::make_tuple(map.ranks, map.layers)));
}

expected<void> validate(const expert_map &map, std::size_t slotsPerRank)
{
    for (const auto &layer : map.layers) {
        if (auto result = validateLayer(layer, map.ranks, slotsPerRank); !result) {
            return result;
        }
    }
    return {};
}

std::vector<std::size_t> addedReplicasPerRank(const expert_map &from, const expert_map &to)
{
    std::vector<std::size_t> added(to.ranks, 0);
    for (std::size_t layer = 0; layer < to.layers.size(); ++layer) {
        for (std::size_t expert = 0; expert < to.layers[layer].replicas.size(); ++expert) {
            const auto &before = from.layers[layer].replicas[expert];
            for (const auto rank : to.layers[layer].replicas[expert]) {
                added[rank] += std::binary_search(before.begin(), before.end(), rank) ? 0 : 1;
            }
        }
    }
    return added;
}

expert_map evenlySpreadMap(rank_number ranks, std::size_t experts, std::size_t layers)
{
    layer_map layer;
    for (std::size_t expert = 0; expert < experts; ++expert) {
        layer.replicas.push_back({ static_cast<rank_number>(expert * ranks / experts) });
    }
    return { {}, ranks, std::vector<layer_map>(layers, layer) };
}

} // namespace figcleat::group
