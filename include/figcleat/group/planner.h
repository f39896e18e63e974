#pragma once

#include "figcleat/core/clock.h"
#include "figcleat/core/units.h"
#include "figcleat/group/expert-map.h"

#include <vector>

namespace figcleat::group
{

/** Popularity of the experts of one layer. */
struct layer_load
{
    /** Tokens per second for each expert. */
    std::vector<double> tokensPerSecond;
    /** Speed at which the distribution over experts changes: half the sum of absolute changes of shares, per second. */
    double driftPerSecond = 0;
    /** Time over which the tokens were counted; 0 if the rates are exact. */
    double sampledSeconds = 0;
};

struct plan_limits
{
    /** Experts that a rank can hold in each layer. */
    std::size_t slotsPerRank = 2;
    /** Experts of a layer that a rank can load in one switch; 0 for no such limit. */
    std::size_t loadsPerRank = 0;
    byte_count bytesPerExpert { 44'000'000 };
    /** Rate of the weight store that this group has at present, as the scheduler of the store grants it. */
    byte_count storeBytesPerSecond { 1'000'000'000 };
    /** Bytes that the group may load before the next plan. */
    byte_count byteBudget { 60'000'000'000 };
    /** Share of the step time that is lost while any rank loads; the ranks advance in lock-step. */
    double loadingSlowdown = 0.1;
    /**
     * Factor on the serving time that loading takes, for the others who wait for the same store meanwhile. Chosen on
     * the curve in docs/rebalancing.md.
     */
    double storeContentionFactor = 3;
    /** Share of the step time that is proportional to the load of the busiest rank. */
    double expertShare = 0.6;
    /** Longest time for which a map is taken to be of use. */
    duration maxMapLifetime = std::chrono::hours(1);
    /** Time per token of each rank relative to a sound one; empty if all are sound. */
    std::vector<double> timePerToken;
    /** Ranks that get no new replicas; empty if all do. */
    std::vector<bool> excluded;
    /** Bound on the changes in one layer, so that the time for a plan is bounded. */
    std::size_t changesPerLayer = 64;
};

struct plan_result
{
    /** Empty if the present map stays. */
    std::vector<layer_map> layers;
    std::size_t replicasLoaded = 0;
    byte_count bytes;
    /** Serving time that the new map saves over its life, in seconds. */
    double gainSeconds = 0;
    /** Serving time that loading takes, in seconds, at the price of the store. */
    double costSeconds = 0;
};

/**
 * Decides whether to change the map of a group and how.
 *
 * For each layer it finds a sequence of changes that lower the load of the busiest rank, each at the least bytes: a
 * further replica of a hot expert, a move, or an exchange. Of all layers it then takes the changes that save more
 * serving time than loading them costs, best first, up to the byte budget. The cost alone decides when to act: there
 * is no threshold of skew.
 *
 * A gain is taken to last until the drift of popularity has used it up, at most for `maxMapLifetime`.
 */
[[nodiscard]] plan_result plan(const std::vector<layer_load> &loads, const expert_map &map, const plan_limits &limits);

/** Load of each rank in one layer, times its time per token. Replicas of an expert share its tokens evenly. */
[[nodiscard]] std::vector<double> rankLoads(const layer_load &load, const layer_map &map, const plan_limits &limits,
                                            rank_number ranks);

} // namespace figcleat::group
