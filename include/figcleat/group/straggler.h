#pragma once

#include "figcleat/core/clock.h"
#include "figcleat/group/expert-map.h"

#include <variant>
#include <vector>

namespace figcleat::group
{

/** What one rank did in one window: tokens of its experts, and the time that it computed for them. */
struct rank_work
{
    double tokens = 0;
    double seconds = 0;
};

/** Work of all ranks in one window; an entry without time is a report that did not arrive. */
struct work_window
{
    std::vector<rank_work> ranks;
};

/** A spare took the place of the rank. */
struct rank_replaced
{
    rank_number rank = 0;
};

struct spares_changed
{
    std::size_t spares = 0;
};

using straggler_event = std::variant<work_window, rank_replaced, spares_changed>;

/** Plan with this time per token, relative to a sound rank; a rank that comes back starts above its true value. */
struct shift_load
{
    rank_number rank = 0;
    double timePerToken = 1;
};

struct replace_rank
{
    rank_number rank = 0;
};

/** Entries place no new work on the group, as a slow rank holds all of it up and no spare is there. */
struct stop_placing
{
};

/** Entries place work again, from the cold limit upwards. */
struct resume_cold
{
};

using straggler_action = std::variant<shift_load, replace_rank, stop_placing, resume_cold>;

struct straggler_settings
{
    rank_number ranks = 1;
    std::size_t spares = 0;
    /** Weight of the newest window in the smoothed ratio. */
    double smoothing = 0.3;
    /** A rank is slow from this ratio on and sound again below the lower one; the gap is hysteresis. */
    double slowFrom = 1.2;
    double soundBelow = 1.08;
    /** Windows in a row that confirm a change. */
    std::uint32_t confirm = 3;
    /** Beyond this ratio shifting load does not help: even a rank's least load delays the group. */
    double replaceFrom = 2.0;
    /** A slow rank that shifting has not cured for so long is replaced too. */
    std::uint32_t replaceAfter = 60;
    /** Windows between two replacements, so that a fault of the measurement cannot use up the spares. */
    std::uint32_t replaceEvery = 30;
    /** Time per token that a rank is planned with when it comes back; the excess halves with each sound window. */
    double coldTimePerToken = 2.0;
};

/**
 * Tells slow ranks from loaded ones.
 *
 * A loaded rank has more tokens at the same time per token. The time of a window is modelled over all ranks as
 * `fixed + perToken * tokens`, estimated by medians, which up to a quarter of slow ranks do not disturb; a rank's ratio
 * is its time over what the model says for its tokens. Each relapse doubles the windows that a rank has to be sound
 * before it gets its load back, up to 64 times, so that a rank which is slow now and then causes no to and fro; a
 * relapse is forgotten after as many sound windows as lead to a replacement.
 */
class straggler_detector
{
public:
    explicit straggler_detector(const straggler_settings &settings);

    [[nodiscard]] std::vector<straggler_action> step(const straggler_event &event, time_point now);
    [[nodiscard]] bool isSlow(rank_number rank) const;
    /** For `plan_limits::timePerToken`. */
    [[nodiscard]] std::vector<double> timePerToken() const;

private:
    struct rank_state
    {
        double ratio = 1;
        bool slow = false;
        std::uint32_t evidence = 0;
        std::uint32_t slowFor = 0;
        std::uint32_t soundFor = 0;
        std::uint32_t relapses = 0;
        double planned = 1;
        bool replacing = false;
    };

    void on(const work_window &event);
    void on(const rank_replaced &event);
    void on(const spares_changed &event);
    void judge(rank_number rank);
    void judgeSound(rank_number rank);
    void judgeSlow(rank_number rank);
    void setPlanned(rank_number rank, double timePerToken);
    void considerReplacing();
    void considerPlacing();

    straggler_settings m_settings;
    std::vector<rank_state> m_ranks;
    std::size_t m_spares;
    std::uint32_t m_sinceReplacement;
    bool m_stopped = false;
    std::vector<straggler_action> m_actions;
};

/** Ratio of each rank's time to the time that the other ranks need for as many tokens; 0 without a report. */
[[nodiscard]] std::vector<double> slownessRatios(const std::vector<rank_work> &ranks);

} // namespace figcleat::group
