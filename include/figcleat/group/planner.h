#pragma once

#include "figcleat/core/clock.h"
#include "figcleat/core/units.h"
#include "figcleat/group/expert-map.h"

#include <vector>

namespace figcleat::group
{

/** Measured or estimated token rates of the experts of one layer. */
struct layer_load
{
    /** Tokens per second that the router sends to each expert, by expert number. */
    std::vector<double> tokensPerSecond;
    /**
     * Rate at which the distribution of tokens over experts changes: total variation distance per second. The distance
     * is half the sum of the absolute changes of the experts' shares.
     */
    double driftPerSecond = 0;
    /** Seconds over which the tokens were counted; 0 if the rates carry no sampling error. */
    double sampledSeconds = 0;
};

/** Capacities and cost parameters of a plan. */
struct plan_limits
{
    /** Largest number of experts that a rank can hold in each layer. */
    std::size_t slotsPerRank = 2;
    /** Largest number of experts of each layer that a rank can load for one map switch; 0 for no limit. */
    std::size_t loadsPerRank = 0;
    /** Size of the weights of one expert in one layer. */
    byte_count bytesPerExpert { 44'000'000 };
    /** Rate at which this group can load from the weight store at present, as allocated to the group. */
    byte_count storeBytesPerSecond { 1'000'000'000 };
    /** Bytes that all ranks of the group together may load until the next plan. */
    byte_count byteBudget { 60'000'000'000 };
    /** Fraction of the step time that the whole group loses while any rank loads, as ranks run in lock-step. */
    double loadingSlowdown = 0.1;
    /**
     * Factor on the serving time that loading costs. A factor above 1 accounts for other clients of the weight store,
     * which wait while this group loads. docs/rebalancing.md has the curve of this factor.
     */
    double storeContentionFactor = 3;
    /** Fraction of the step time that is proportional to the load of the busiest rank. */
    double expertShare = 0.6;
    /** Longest time for which the gain of a new map is counted. */
    duration maxMapLifetime = std::chrono::hours(1);
    /** Time per token of each rank, relative to a rank at normal speed; empty if all ranks run at normal speed. */
    std::vector<double> timePerToken;
    /** True for each rank that must not get new replicas; empty if every rank may get them. */
    std::vector<bool> excluded;
    /** Largest number of successive changes tried in one layer; bounds the computing time of a plan. */
    std::size_t changesPerLayer = 64;
};

struct plan_result
{
    /** New placement of every layer; empty if the present map stays. */
    std::vector<layer_map> layers;
    /** Replicas that the ranks have to load, over all layers. */
    std::size_t replicasLoaded = 0;
    /** Bytes of the replicas to load. */
    byte_count bytes;
    /** Serving time in seconds that the new map is expected to save while its gain lasts. */
    double gainSeconds = 0;
    /** Serving time in seconds that loading costs, multiplied by `storeContentionFactor`. */
    double costSeconds = 0;
};

/**
 * Decides whether and how to change the expert map of a group.
 *
 * For each layer, the planner searches a sequence of changes that lower the load of the busiest rank. Each change is
 * the one with the largest reduction per loaded replica: adding a replica of a hot expert, moving a replica, or
 * exchanging two replicas. From all layers, the planner then selects the changes that save more serving time than their
 * loading costs, in descending order of gain per replica, as far as they fit into the byte budget. This comparison of
 * gain and cost is the only criterion; no minimum skew is required.
 *
 * The gain of a change is assumed to last until the drift of popularity has cancelled it, but at most for
 * `maxMapLifetime`.
 *
 * @param loads one entry per layer of the map, with one rate per expert.
 */
[[nodiscard]] plan_result plan(const std::vector<layer_load> &loads, const expert_map &map, const plan_limits &limits);

/**
 * Returns the load of each rank in one layer: tokens per second, multiplied by the rank's relative time per token. The
 * tokens of an expert are divided evenly among its replicas.
 */
[[nodiscard]] std::vector<double> rankLoads(const layer_load &load, const layer_map &map, const plan_limits &limits,
                                            rank_number ranks);

} // namespace figcleat::group
