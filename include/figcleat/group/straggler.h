#pragma once

#include "figcleat/core/clock.h"
#include "figcleat/group/expert-map.h"

#include <variant>
#include <vector>

namespace figcleat::group
{

/** Tokens that the experts of one rank processed in one measurement window, and the computing time for them. */
struct rank_work
{
    double tokens = 0;
    double seconds = 0;
};

/** Work of all ranks in one window, indexed by rank; `seconds` is 0 if the report of the rank did not arrive. */
struct work_window
{
    std::vector<rank_work> ranks;
};

/** A spare has replaced the rank. */
struct rank_replaced
{
    rank_number rank = 0;
};

struct spares_changed
{
    std::size_t spares = 0;
};

using straggler_event = std::variant<work_window, rank_replaced, spares_changed>;

/**
 * Sets the time per token that the planner assumes for a rank, relative to a healthy rank. A rank that recovered or was
 * replaced starts above its true value.
 */
struct shift_load
{
    rank_number rank = 0;
    double timePerToken = 1;
};

/** Asks for the replacement of a rank by a spare. */
struct replace_rank
{
    rank_number rank = 0;
};

/** Tells the entries to place no new work on the group while a slow rank that no spare has replaced delays all ranks.
 */
struct stop_placement
{
};

/** Tells the entries to place work on the group again, with a slow start from the limit for a cold group. */
struct resume_with_slow_start
{
};

using straggler_action = std::variant<shift_load, replace_rank, stop_placement, resume_with_slow_start>;

struct straggler_settings
{
    rank_number ranks = 1;
    std::size_t spares = 0;
    /** Weight of the newest window in the exponentially smoothed slowness ratio, from 0 to 1. */
    double smoothing = 0.3;
    /**
     * A rank becomes slow at `slowThreshold` and healthy again below `healthyThreshold`; the gap between the two ratios
     * provides hysteresis.
     */
    double slowThreshold = 1.2;
    double healthyThreshold = 1.08;
    /** Number of consecutive windows that confirm a change between healthy and slow. */
    std::uint32_t confirmWindows = 3;
    /** Shifting load does not help from this ratio on: even the smallest load of the rank delays the group. */
    double replaceThreshold = 2.0;
    /** A rank that is still slow after this number of windows, although load was shifted away, is replaced too. */
    std::uint32_t replaceAfterWindows = 60;
    /** Number of windows between two replacements, so that a measurement fault cannot use up the spares. */
    std::uint32_t replaceIntervalWindows = 30;
    /**
     * Relative time per token that the planner assumes for a rank that recovered or was replaced; the excess over 1
     * halves with each healthy window.
     */
    double initialTimePerToken = 2.0;
};

/**
 * Detects ranks that compute slowly and distinguishes them from ranks that have more load.
 *
 * A rank with more load processes more tokens, but needs no more time per token. The computing time in a window is
 * modelled over all ranks as `fixed + perToken * tokens`. The model is fitted with medians, which tolerate up to a
 * quarter of slow ranks. The slowness ratio of a rank is its measured time divided by the time that the model predicts
 * for its tokens.
 *
 * Each relapse doubles the number of windows for which a rank has to be healthy before its load returns, up to a factor
 * of 64, so that an intermittently slow rank does not make load move back and forth. One relapse is discarded after
 * `replaceAfterWindows` healthy windows.
 */
class straggler_detector
{
public:
    explicit straggler_detector(const straggler_settings &settings);

    [[nodiscard]] std::vector<straggler_action> step(const straggler_event &event, time_point now);
    [[nodiscard]] bool isSlow(rank_number rank) const;
    /** Relative time per token of each rank, for `plan_limits::timePerToken`. */
    [[nodiscard]] std::vector<double> timePerToken() const;

private:
    struct rank_state
    {
        double ratio = 1;
        bool slow = false;
        std::uint32_t consecutiveWindows = 0;
        std::uint32_t slowWindows = 0;
        std::uint32_t healthyWindows = 0;
        std::uint32_t relapses = 0;
        double plannedTimePerToken = 1;
        bool replacementRequested = false;
    };

    void on(const work_window &event);
    void on(const rank_replaced &event);
    void on(const spares_changed &event);
    void evaluateRank(rank_number rank);
    void evaluateHealthyRank(rank_number rank);
    void evaluateSlowRank(rank_number rank);
    void setPlannedTimePerToken(rank_number rank, double timePerToken);
    void updateReplacements();
    void updatePlacement();

    straggler_settings m_settings;
    std::vector<rank_state> m_ranks;
    std::size_t m_spares;
    std::uint32_t m_windowsSinceReplacement;
    bool m_placementStopped = false;
    std::vector<straggler_action> m_actions;
};

/**
 * Returns the slowness ratio of each rank: its computing time divided by the time that the model fitted over all ranks
 * predicts for the same number of tokens; 0 for a rank without a report.
 */
[[nodiscard]] std::vector<double> slownessRatios(const std::vector<rank_work> &ranks);

} // namespace figcleat::group
