#include "figcleat/forward/pace-controller.h"

#include <algorithm>

namespace figcleat::forward
{

namespace
{

/** Pauses are evaluated together over about two steps of a group. */
constexpr duration evaluationPeriod = std::chrono::milliseconds(150);
/**
 * Pauses that are too long for a shorter time than this come from an expert map that does not fit the demand yet. Fewer
 * requests hardly shorten them, so that a lower limit would only turn late answers into refusals.
 */
constexpr duration sustainedPeriod = std::chrono::seconds(2);
/** Least time between two decreases: the first one takes effect only as running streams end. */
constexpr duration minDecreaseInterval = std::chrono::milliseconds(400);
/** The request limit falls above the first of these pause ratios and may rise below the second. */
constexpr double decreaseAbove = 0.85;
constexpr double increaseBelow = 0.7;
constexpr double decreaseFactor = 0.85;
/** Requests by which the limit rises in each evaluation period. */
constexpr double increaseStep = 0.3;
/** Quantile of the pauses that is evaluated; a single slow connection does not affect this quantile. */
constexpr double evaluatedQuantile = 0.75;
/** A slow group still gets some requests, as their pauses show when the group has become fast again. */
constexpr double minRequestLimit = 2;
constexpr std::size_t maxPauses = 4096;
/**
 * Above this pause ratio, lowering the request limit cannot make the pauses short enough, as most of the time of a
 * decode step does not depend on the number of requests: on the platform, a step with 2 requests takes 0.65 of the time
 * of a step with 12. Late answers then serve callers better than refusals.
 */
constexpr double unattainableAbove = 1.6;
/** A request limit of at most this share of the slots cannot be lowered enough to end pauses over their limit. */
constexpr double lowLimitShare = 0.35;
/** All slots are used for this time before a lower limit is tried again. */
constexpr duration allSlotsPeriod = std::chrono::seconds(2);

} // namespace

void pace_controller::onPause(duration pause, duration limit, time_point /*now*/)
{
    if (limit > duration {} && m_pauseRatios.size() < maxPauses) {
        m_pauseRatios.push_back(static_cast<double>(pause.count()) / static_cast<double>(limit.count()));
    }
}

void pace_controller::tick(std::uint32_t slots, double maxTargetRequests, time_point now)
{
    if (slots != m_slots) {
        m_requestLimit = m_slots == 0 ? slots : std::min<double>(m_requestLimit, slots);
        m_lastInTime = m_slots == 0 ? now : m_lastInTime;
        m_slots = slots;
    }
    if (now - m_lastEvaluation < evaluationPeriod) {
        return;
    }
    m_lastEvaluation = now;
    if (m_pauseRatios.empty()) {
        m_lastInTime = now;
        m_requestLimit = std::min<double>(m_requestLimit + increaseStep, m_slots);
        return;
    }
    const auto index = static_cast<std::ptrdiff_t>(evaluatedQuantile * static_cast<double>(m_pauseRatios.size() - 1));
    std::nth_element(m_pauseRatios.begin(), m_pauseRatios.begin() + index, m_pauseRatios.end());
    const double pauseRatio = m_pauseRatios[static_cast<std::size_t>(index)];
    m_pauseRatios.clear();
    m_lastPauseRatio = pauseRatio;
    if (pauseRatio <= decreaseAbove) {
        m_lastInTime = now;
    }
    if (pauseRatio > unattainableAbove || (pauseRatio > 1 && m_requestLimit <= lowLimitShare * m_slots)) {
        m_allSlotsUntil = now + allSlotsPeriod;
    }
    if (now < m_allSlotsUntil) {
        m_requestLimit = m_slots;
        return;
    }
    const bool isSustained = now - m_lastInTime >= sustainedPeriod;
    if (pauseRatio > decreaseAbove && isSustained && now - m_lastDecrease >= minDecreaseInterval) {
        m_lastDecrease = now;
        m_requestLimit = std::max(
            minRequestLimit, decreaseFactor * std::min(m_requestLimit, std::max(maxTargetRequests, minRequestLimit)));
    } else if (pauseRatio < increaseBelow && maxTargetRequests + 1 >= m_requestLimit) {
        m_requestLimit = std::min<double>(m_requestLimit + increaseStep, m_slots);
    }
}

double pace_controller::lastPauseRatio() const
{
    return m_lastPauseRatio;
}

double pace_controller::requestLimit() const
{
    return m_requestLimit;
}

} // namespace figcleat::forward
