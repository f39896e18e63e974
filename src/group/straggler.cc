#include "figcleat/group/straggler.h"

#include <algorithm>
#include <cmath>

namespace figcleat::group
{

namespace
{

constexpr std::uint32_t maxRelapses = 6;
/** A smaller change of the planned time per token does not justify a new plan. */
constexpr double minPlannedChange = 0.1;

double median(std::vector<double> values)
{
    if (values.empty()) {
        return 0;
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

struct time_model
{
    double fixed = 0;
    double perToken = 0;
};

/** Theil-Sen estimator: the slope is the median of the slopes between all pairs of ranks. */
time_model fitModel(const std::vector<rank_work> &ranks)
{
    std::vector<double> slopes;
    std::vector<double> times;
    std::vector<double> tokens;
    for (std::size_t i = 0; i < ranks.size(); ++i) {
        if (ranks[i].seconds <= 0) {
            continue;
        }
        times.push_back(ranks[i].seconds);
        tokens.push_back(ranks[i].tokens);
        for (std::size_t j = 0; j < i; ++j) {
            // The slope between ranks with nearly equal loads is dominated by noise.
            const double tokenDifference = ranks[i].tokens - ranks[j].tokens;
            if (ranks[j].seconds > 0 && std::abs(tokenDifference) > 0.1 * std::max(ranks[i].tokens, ranks[j].tokens)) {
                slopes.push_back((ranks[i].seconds - ranks[j].seconds) / tokenDifference);
            }
        }
    }
    const double medianTime = median(times);
    const double medianTokens = std::max(median(tokens), 1.0);
    // Without enough pairs of different loads the model assumes that time is proportional to tokens.
    const bool hasEnoughPairs = slopes.size() > 2 * ranks.size();
    const double perToken
        = hasEnoughPairs ? std::clamp(median(slopes), 0.0, medianTime / medianTokens) : medianTime / medianTokens;
    return { medianTime - perToken * medianTokens, perToken };
}

} // namespace

std::vector<double> slownessRatios(const std::vector<rank_work> &ranks)
{
    const auto model = fitModel(ranks);
    std::vector<double> ratios;
    for (const auto &rank : ranks) {
        const double expected = model.fixed + model.perToken * rank.tokens;
        ratios.push_back(rank.seconds > 0 && expected > 0 ? rank.seconds / expected : 0);
    }
    return ratios;
}

straggler_detector::straggler_detector(const straggler_settings &settings)
    : m_settings(settings)
    , m_ranks(settings.ranks)
    , m_spares(settings.spares)
    , m_windowsSinceReplacement(settings.replaceIntervalWindows)
{
}

std::vector<straggler_action> straggler_detector::step(const straggler_event &event, time_point /*now*/)
{
    m_actions.clear();
    std::visit([this](const auto &alternative) { on(alternative); }, event);
    return std::move(m_actions);
}

bool straggler_detector::isSlow(rank_number rank) const
{
    return m_ranks[rank].slow;
}

std::vector<double> straggler_detector::timePerToken() const
{
    std::vector<double> result;
    for (const auto &rank : m_ranks) {
        result.push_back(rank.plannedTimePerToken);
    }
    return result;
}

void straggler_detector::on(const work_window &event)
{
    if (event.ranks.size() != m_ranks.size()) {
        return;
    }
    const auto ratios = slownessRatios(event.ranks);
    m_windowsSinceReplacement = std::min(m_windowsSinceReplacement + 1, m_settings.replaceIntervalWindows);
    for (rank_number rank = 0; rank < m_ranks.size(); ++rank) {
        if (ratios[rank] > 0) {
            m_ranks[rank].ratio += m_settings.smoothing * (ratios[rank] - m_ranks[rank].ratio);
            evaluateRank(rank);
        }
    }
    updateReplacements();
    updatePlacement();
}

void straggler_detector::on(const rank_replaced &event)
{
    if (event.rank < m_ranks.size()) {
        m_ranks[event.rank] = {};
        setPlannedTimePerToken(event.rank, m_settings.initialTimePerToken);
    }
}

void straggler_detector::on(const spares_changed &event)
{
    m_spares = event.spares;
}

void straggler_detector::evaluateRank(rank_number rank)
{
    if (m_ranks[rank].slow) {
        evaluateSlowRank(rank);
    } else {
        evaluateHealthyRank(rank);
    }
}

void straggler_detector::evaluateHealthyRank(rank_number rank)
{
    auto &state = m_ranks[rank];
    state.consecutiveWindows = state.ratio >= m_settings.slowThreshold ? state.consecutiveWindows + 1 : 0;
    if (state.consecutiveWindows >= m_settings.confirmWindows) {
        state.slow = true;
        state.consecutiveWindows = 0;
        state.slowWindows = 0;
        state.healthyWindows = 0;
        setPlannedTimePerToken(rank, std::max(state.ratio, state.plannedTimePerToken));
        return;
    }
    if (++state.healthyWindows >= m_settings.replaceAfterWindows && state.relapses > 0) {
        --state.relapses;
        state.healthyWindows = 0;
    }
    if (state.plannedTimePerToken > 1 && state.ratio < m_settings.slowThreshold) {
        const double excess = (state.plannedTimePerToken - 1) / 2;
        setPlannedTimePerToken(rank, excess < minPlannedChange ? 1 : 1 + excess);
    }
}

void straggler_detector::evaluateSlowRank(rank_number rank)
{
    auto &state = m_ranks[rank];
    ++state.slowWindows;
    state.consecutiveWindows = state.ratio < m_settings.healthyThreshold ? state.consecutiveWindows + 1 : 0;
    if (state.consecutiveWindows >= m_settings.confirmWindows << state.relapses) {
        state.slow = false;
        state.consecutiveWindows = 0;
        state.relapses = std::min(state.relapses + 1, maxRelapses);
        setPlannedTimePerToken(rank, std::max(m_settings.initialTimePerToken, state.plannedTimePerToken));
        return;
    }
    // Only an increase is adopted: while load is shifted away, a lower ratio proves nothing until the rank counts as
    // healthy again.
    if (state.ratio > state.plannedTimePerToken + minPlannedChange) {
        setPlannedTimePerToken(rank, state.ratio);
    }
}

void straggler_detector::setPlannedTimePerToken(rank_number rank, double timePerToken)
{
    m_ranks[rank].plannedTimePerToken = timePerToken;
    m_actions.emplace_back(shift_load { rank, timePerToken });
}

void straggler_detector::updateReplacements()
{
    for (rank_number rank = 0; rank < m_ranks.size(); ++rank) {
        auto &state = m_ranks[rank];
        const bool needsReplacement = state.slow
            && (state.ratio >= m_settings.replaceThreshold || state.slowWindows >= m_settings.replaceAfterWindows);
        if (needsReplacement && !state.replacementRequested && m_spares > 0
            && m_windowsSinceReplacement >= m_settings.replaceIntervalWindows) {
            state.replacementRequested = true;
            --m_spares;
            m_windowsSinceReplacement = 0;
            m_actions.emplace_back(replace_rank { rank });
        }
    }
}

/** Makes the entries use other groups while a rank delays this one so much that shifting load does not help. */
void straggler_detector::updatePlacement()
{
    const bool isDelayed = std::any_of(m_ranks.begin(), m_ranks.end(), [this](const rank_state &state) {
        return state.slow
            && (state.ratio >= m_settings.replaceThreshold
                || (m_placementStopped && state.ratio >= m_settings.slowThreshold));
    });
    if (isDelayed != m_placementStopped) {
        m_placementStopped = isDelayed;
        if (isDelayed) {
            m_actions.emplace_back(stop_placement {});
        } else {
            m_actions.emplace_back(resume_with_slow_start {});
        }
    }
}

} // namespace figcleat::group
