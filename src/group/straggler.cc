#include "figcleat/group/straggler.h"

#include <algorithm>
#include <cmath>

namespace figcleat::group
{

namespace
{

constexpr std::uint32_t mostRelapses = 6;
/** A smaller change of the planned time per token is not worth a new plan. */
constexpr double plannedStep = 0.1;

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

/** Theil-Sen: the median of the slopes between all pairs of ranks. */
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
            // Ranks with nearly equal loads tell nothing of the slope.
            const double apart = ranks[i].tokens - ranks[j].tokens;
            if (ranks[j].seconds > 0 && std::abs(apart) > 0.1 * std::max(ranks[i].tokens, ranks[j].tokens)) {
                slopes.push_back((ranks[i].seconds - ranks[j].seconds) / apart);
            }
        }
    }
    const double middleTime = median(times);
    const double middleTokens = std::max(median(tokens), 1.0);
    // Without enough pairs of different loads all time is taken to be proportional to tokens.
    const bool enough = slopes.size() > 2 * ranks.size();
    const double perToken
        = enough ? std::clamp(median(slopes), 0.0, middleTime / middleTokens) : middleTime / middleTokens;
    return { middleTime - perToken * middleTokens, perToken };
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
    , m_sinceReplacement(settings.replaceEvery)
{
}

std::vector<straggler_action> straggler_detector::step(const straggler_event &event, time_point /*now*/)
{
    m_actions.clear();
    std::visit([this](const auto &held) { on(held); }, event);
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
        result.push_back(rank.planned);
    }
    return result;
}

void straggler_detector::on(const work_window &event)
{
    if (event.ranks.size() != m_ranks.size()) {
        return;
    }
    const auto ratios = slownessRatios(event.ranks);
    m_sinceReplacement = std::min(m_sinceReplacement + 1, m_settings.replaceEvery);
    for (rank_number rank = 0; rank < m_ranks.size(); ++rank) {
        if (ratios[rank] > 0) {
            m_ranks[rank].ratio += m_settings.smoothing * (ratios[rank] - m_ranks[rank].ratio);
            judge(rank);
        }
    }
    considerReplacing();
    considerPlacing();
}

void straggler_detector::on(const rank_replaced &event)
{
    if (event.rank < m_ranks.size()) {
        m_ranks[event.rank] = {};
        setPlanned(event.rank, m_settings.coldTimePerToken);
    }
}

void straggler_detector::on(const spares_changed &event)
{
    m_spares = event.spares;
}

void straggler_detector::judge(rank_number rank)
{
    if (m_ranks[rank].slow) {
        judgeSlow(rank);
    } else {
        judgeSound(rank);
    }
}

void straggler_detector::judgeSound(rank_number rank)
{
    auto &state = m_ranks[rank];
    state.evidence = state.ratio >= m_settings.slowFrom ? state.evidence + 1 : 0;
    if (state.evidence >= m_settings.confirm) {
        state.slow = true;
        state.evidence = 0;
        state.slowFor = 0;
        state.soundFor = 0;
        setPlanned(rank, std::max(state.ratio, state.planned));
        return;
    }
    if (++state.soundFor >= m_settings.replaceAfter && state.relapses > 0) {
        --state.relapses;
        state.soundFor = 0;
    }
    if (state.planned > 1 && state.ratio < m_settings.slowFrom) {
        const double excess = (state.planned - 1) / 2;
        setPlanned(rank, excess < plannedStep ? 1 : 1 + excess);
    }
}

void straggler_detector::judgeSlow(rank_number rank)
{
    auto &state = m_ranks[rank];
    ++state.slowFor;
    state.evidence = state.ratio < m_settings.soundBelow ? state.evidence + 1 : 0;
    if (state.evidence >= m_settings.confirm << state.relapses) {
        state.slow = false;
        state.evidence = 0;
        state.relapses = std::min(state.relapses + 1, mostRelapses);
        setPlanned(rank, std::max(m_settings.coldTimePerToken, state.planned));
        return;
    }
    // Only a rise is followed: while load is away, a lower ratio proves nothing until the rank is sound again.
    if (state.ratio > state.planned + plannedStep) {
        setPlanned(rank, state.ratio);
    }
}

void straggler_detector::setPlanned(rank_number rank, double timePerToken)
{
    m_ranks[rank].planned = timePerToken;
    m_actions.emplace_back(shift_load { rank, timePerToken });
}

void straggler_detector::considerReplacing()
{
    for (rank_number rank = 0; rank < m_ranks.size(); ++rank) {
        auto &state = m_ranks[rank];
        const bool hopeless
            = state.slow && (state.ratio >= m_settings.replaceFrom || state.slowFor >= m_settings.replaceAfter);
        if (hopeless && !state.replacing && m_spares > 0 && m_sinceReplacement >= m_settings.replaceEvery) {
            state.replacing = true;
            --m_spares;
            m_sinceReplacement = 0;
            m_actions.emplace_back(replace_rank { rank });
        }
    }
}

/** Entries use other groups while this one is held up and cannot help itself. */
void straggler_detector::considerPlacing()
{
    const bool heldUp = std::any_of(m_ranks.begin(), m_ranks.end(), [this](const rank_state &state) {
        return state.slow
            && (state.ratio >= m_settings.replaceFrom || (m_stopped && state.ratio >= m_settings.slowFrom));
    });
    if (heldUp != m_stopped) {
        m_stopped = heldUp;
        if (heldUp) {
            m_actions.emplace_back(stop_placing {});
        } else {
            m_actions.emplace_back(resume_cold {});
        }
    }
}

} // namespace figcleat::group
