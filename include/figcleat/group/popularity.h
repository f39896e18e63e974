#pragma once

#include "figcleat/core/clock.h"
#include "figcleat/core/result-code.h"
#include "figcleat/group/planner.h"

#include <cstdint>
#include <deque>
#include <vector>

namespace figcleat::group
{

/** Tokens that each expert of one layer received in one window of time. */
struct load_window
{
    std::uint32_t layer = 0;
    /** Number of the window since the start of the group; all windows have the same length. */
    std::uint64_t window = 0;
    std::vector<std::uint32_t> tokens;

    MSGPACK_DEFINE(layer, window, tokens)
};

struct popularity_settings
{
    std::size_t layers = 1;
    std::size_t experts = 1;
    duration windowLength = std::chrono::minutes(1);
    /** Age at which a window counts half. */
    double halfLifeWindows = 3;
    /** Windows that are remembered to ignore duplicates; older ones come too late to count. */
    std::size_t windowsKept = 64;
    /**
     * A window is taken as a jump if it differs from the estimate by this many times what the noise of its counts
     * explains, and by more than `jumpFloor` of all tokens. The shape of a slow drift stays below the floor.
     */
    double jumpNoise = 4;
    double jumpFloor = 0.15;
};

/**
 * Estimates the popularity of experts from counts that come late, twice or never.
 *
 * Windows are weighted by their own age and not by their arrival, so a late one counts as if it had been in time, and
 * a gap leaves the estimate as it was. After a jump in two windows in a row the history before it is dropped.
 */
class popularity_estimator
{
public:
    explicit popularity_estimator(const popularity_settings &settings);

    /** Refuses windows of another shape, duplicates and those that are too old. */
    [[nodiscard]] result_code observe(const load_window &counts);
    /** One entry per layer; all zero before the first window. */
    [[nodiscard]] std::vector<layer_load> estimate() const;
    [[nodiscard]] std::uint64_t jumpCount() const;

private:
    struct layer_history
    {
        std::vector<double> tokens;
        double weight = 0;
        std::uint64_t newest = 0;
        std::deque<std::uint64_t> seen;
        double drift = 0;
        /** Window in a row that looks like a jump, kept until the next one confirms or refutes it. */
        std::vector<double> suspect;
        std::uint64_t suspectWindow = 0;
    };

    void addInTime(layer_history &layer, const load_window &counts);
    [[nodiscard]] bool looksLikeJump(const layer_history &layer, const load_window &counts) const;
    void age(layer_history &layer, std::uint64_t windows) const;

    popularity_settings m_settings;
    std::vector<layer_history> m_layers;
    std::uint64_t m_jumps = 0;
};

/** Half the sum of absolute differences of the shares, 0 for equal and 1 for disjoint distributions. */
[[nodiscard]] double totalVariationDistance(const std::vector<double> &a, const std::vector<double> &b);
/** Distance to the true distribution that counts of this size have from chance alone; 1 without counts. */
[[nodiscard]] double samplingNoise(const std::vector<double> &counts);

} // namespace figcleat::group
