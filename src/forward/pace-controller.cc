#include "figcleat/forward/pace-controller.h"

#include <algorithm>

namespace figcleat::forward
{

namespace
{

/** Pauses are judged together for about two steps of a group. */
constexpr duration judgedPeriod = std::chrono::milliseconds(150);
/**
 * Pauses that are too long for less than this come from a map that does not fit yet, which fewer requests hardly
 * shorten: the callers that are refused meanwhile would have got late answers instead of none.
 */
constexpr duration sustainedPeriod = std::chrono::seconds(2);
/** A cut shows its effect once some of the running streams have ended. */
constexpr duration cutPeriod = std::chrono::milliseconds(400);
/** Parts of the longest allowed pause beyond which the level falls, and below which it may rise. */
constexpr double cutAbove = 0.85;
constexpr double raiseBelow = 0.7;
constexpr double cutFactor = 0.85;
/** Requests by which the level rises in each judged period. */
constexpr double raiseStep = 0.3;
/** Share of the pauses that lie below the judged one; a single slow connection decides nothing. */
constexpr double judgedQuantile = 0.75;
/** Even a slow group gets some requests, whose pauses show when it is fast again. */
constexpr double minLevel = 2;
constexpr std::size_t maxPauses = 4096;
/**
 * A longer pause cannot be brought below its limit by fewer requests, as most of a step's time does not depend on
 * their number: with the platform's figures, 2 requests take 0.65 of the time of 12. Late answers are then worth more
 * to callers than refusals.
 */
constexpr double hopelessAbove = 1.6;
/** The same holds for any pause over the limit at this share of the slots. */
constexpr double lowLevelShare = 0.35;
/** After this time a lower level is tried again. */
constexpr duration fullPeriod = std::chrono::seconds(2);

} // namespace

void pace_controller::onPause(duration pause, duration limit, time_point /*now*/)
{
    if (limit > duration {} && m_pauses.size() < maxPauses) {
        m_pauses.push_back(static_cast<double>(pause.count()) / static_cast<double>(limit.count()));
    }
}

void pace_controller::tick(std::uint32_t slots, double busiest, time_point now)
{
    if (slots != m_slots) {
        m_requestLimit = m_slots == 0 ? slots : std::min<double>(m_requestLimit, slots);
        m_inTimeAt = m_slots == 0 ? now : m_inTimeAt;
        m_slots = slots;
    }
    if (now - m_lastTick < judgedPeriod) {
        return;
    }
    m_lastTick = now;
    if (m_pauses.empty()) {
        m_inTimeAt = now;
        m_requestLimit = std::min<double>(m_requestLimit + raiseStep, m_slots);
        return;
    }
    const auto at = static_cast<std::ptrdiff_t>(judgedQuantile * static_cast<double>(m_pauses.size() - 1));
    std::nth_element(m_pauses.begin(), m_pauses.begin() + at, m_pauses.end());
    const double judged = m_pauses[static_cast<std::size_t>(at)];
    m_pauses.clear();
    m_lastPauseRatio = judged;
    if (judged <= cutAbove) {
        m_inTimeAt = now;
    }
    if (judged > hopelessAbove || (judged > 1 && m_requestLimit <= lowLevelShare * m_slots)) {
        m_fullUntil = now + fullPeriod;
    }
    if (now < m_fullUntil) {
        m_requestLimit = m_slots;
        return;
    }
    const bool isSustained = now - m_inTimeAt >= sustainedPeriod;
    if (judged > cutAbove && isSustained && now - m_lastCut >= cutPeriod) {
        m_lastCut = now;
        m_requestLimit = std::max(minLevel, cutFactor * std::min(m_requestLimit, std::max(busiest, minLevel)));
    } else if (judged < raiseBelow && busiest + 1 >= m_requestLimit) {
        m_requestLimit = std::min<double>(m_requestLimit + raiseStep, m_slots);
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
