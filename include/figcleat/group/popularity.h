#pragma once

#include "figcleat/core/clock.h"
#include "figcleat/core/result-code.h"
#include "figcleat/group/planner.h"

#include <cstdint>
#include <deque>
#include <vector>

namespace figcleat::group
{

/** Token counts of the experts of one layer in one time window. */
struct load_window
{
    std::uint32_t layer = 0;
    /** Sequence number of the window since the group started; all windows have the same length. */
    std::uint64_t window = 0;
    /** Tokens that each expert received, by expert number. */
    std::vector<std::uint32_t> tokens;

    MSGPACK_DEFINE(layer, window, tokens)
};

struct popularity_settings
{
    std::size_t layers = 1;
    /** Experts in each layer. */
    std::size_t experts = 1;
    duration windowLength = std::chrono::minutes(1);
    /** Age, in windows, at which the weight of a window has halved. */
    double halfLifeWindows = 3;
    /** Windows whose numbers are kept to reject duplicates; counts that are older by this many windows are rejected. */
    std::size_t windowsKept = 64;
    /**
     * A window is a suspected jump if its total variation distance to the estimate exceeds both `jumpNoiseFactor` times
     * the sampling noise of its counts and `minJumpDistance`. Slow drift stays below `minJumpDistance`.
     */
    double jumpNoiseFactor = 4;
    double minJumpDistance = 0.15;
};

/**
 * Estimates the popularity of experts from token counts that can arrive late, repeatedly or not at all.
 *
 * Each window is weighted by its own age, not by its arrival time. Late counts therefore have the same effect as counts
 * that arrive in time, and a missing window leaves the estimated rates unchanged. If two successive windows show a jump
 * to a similar distribution, the estimator drops all earlier counts of the layer.
 */
class popularity_estimator
{
public:
    explicit popularity_estimator(const popularity_settings &settings);

    /**
     * Adds the counts of one window. Returns `message_malformed` for an unknown layer or a wrong number of experts, and
     * `map_stale` for a window that was already counted or is too old.
     */
    [[nodiscard]] result_code observe(const load_window &counts);
    /** Returns one entry per layer; all rates of a layer are 0 before its first window. */
    [[nodiscard]] std::vector<layer_load> estimate() const;
    /** Number of confirmed jumps, over all layers. */
    [[nodiscard]] std::uint64_t jumpCount() const;

private:
    struct layer_history
    {
        /** Sum of the counts of each expert, weighted by the age of their window. */
        std::vector<double> tokens;
        /** Sum of the weights of the counted windows. */
        double weight = 0;
        std::uint64_t newestWindow = 0;
        /** Numbers of the counted windows, in order of arrival. */
        std::deque<std::uint64_t> seenWindows;
        double driftPerSecond = 0;
        /** Counts of a suspected jump, kept until the next window confirms or refutes the jump; empty if none. */
        std::vector<double> suspectedJump;
        std::uint64_t suspectedJumpWindow = 0;
    };

    void addNewestWindow(layer_history &layer, const load_window &counts);
    [[nodiscard]] bool isSuspectedJump(const layer_history &layer, const load_window &counts) const;
    /** Reduces the weight of all counts of a layer as if the given number of windows had passed. */
    void decay(layer_history &layer, std::uint64_t windows) const;

    popularity_settings m_settings;
    std::vector<layer_history> m_layers;
    std::uint64_t m_jumpCount = 0;
};

/**
 * Normalises both vectors and returns half the sum of the absolute differences: 0 for equal and 1 for disjoint
 * distributions. Returns 0 if either vector has no counts.
 */
[[nodiscard]] double totalVariationDistance(const std::vector<double> &a, const std::vector<double> &b);
/**
 * Expected total variation distance between the distribution of these counts and the distribution that they are sampled
 * from; 1 without counts.
 */
[[nodiscard]] double samplingNoise(const std::vector<double> &counts);

} // namespace figcleat::group
