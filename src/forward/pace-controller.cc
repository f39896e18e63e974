#include "figcleat/forward/pace-controller.h"

#include <algorithm>

namespace figcleat::forward
{

namespace
{

/** Pauses are judged together for about two steps of a group. */
constexpr duration judgedPeriod = std::chrono::milliseconds(150);
/** A cut shows its effect once some of the running streams have ended. */
constexpr duration cutPeriod = std::chrono::milliseconds(400);
/** Parts of the longest allowed pause beyond which the level falls, and below which it may rise. */
constexpr double cutAbove = 0.85;
constexpr double raiseBelow = 0.7;
constexpr double cutFactor = 0.85;
/** Requests by which the level rises in each judged period. */
constexpr double raiseStep = 0.3;
/** Share of the streams whose longest pause lies below the judged one; a single slow connection decides nothing. */
constexpr double judgedQuantile = 0.75;
/** Even a slow group gets some requests, whose pauses show when it is fast again. */
constexpr double minLevel = 2;
constexpr std::size_t maxPauses = 4096;
/**
 * A longer usual pause cannot be brought below its limit by fewer requests, as most of a step's time does not depend on
 * their number: with the platform's figures, 2 requests take 0.65 of the time of 12. Late answers are then worth more
 * to callers than refusals. A single long pause, such as that of a switch of maps, says nothing of this.
 */
constexpr double hopelessAbove = 1.6;
/**
 * The level does not fall below this share of the slots: there a target does half of the work of a full one, and a late
 * answer is worth half of one in time. The same as above holds for usual pauses over the limit there.
 */
constexpr double lowLevelShare = 0.4;
/** After this time a lower level is tried again. */
constexpr duration fullPeriod = std::chrono::seconds(2);

/** The judged value of at least one. */
double quantile(std::vector<double> &values)
{
    const auto at = static_cast<std::ptrdiff_t>(judgedQuantile * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + at, values.end());
    return values[static_cast<std::size_t>(at)];
}

} // namespace

void recent_pauses::add(duration pause)
{
    m_pauses[m_count % m_pauses.size()] = pause;
    ++m_count;
}

duration recent_pauses::longest() const
{
    return *std::max_element(m_pauses.begin(), m_pauses.end());
}

duration recent_pauses::median() const
{
    const auto count = static_cast<std::ptrdiff_t>(std::min(m_count, m_pauses.size()));
    std::vector<duration> pauses(m_pauses.begin(), std::next(m_pauses.begin(), count));
    const auto middle = std::next(pauses.begin(), count / 2);
    std::nth_element(pauses.begin(), middle, pauses.end());
    return *middle;
}

void pace_controller::onPause(duration pause, duration limit, time_point /*now*/)
{
    recent_pauses only;
    only.add(pause);
    onPauses(only, limit);
}

void pace_controller::onPauses(const recent_pauses &pauses, duration limit)
{
    if (limit > duration {} && m_longest.size() < maxPauses) {
        m_medians.push_back(static_cast<double>(pauses.median().count()) / static_cast<double>(limit.count()));
        m_longest.push_back(static_cast<double>(pauses.longest().count()) / static_cast<double>(limit.count()));
    }
}

void pace_controller::tick(std::uint32_t slots, double busiest, time_point now)
{
    if (slots != m_slots) {
        m_level = m_slots == 0 ? slots : std::min<double>(m_level, slots);
        m_slots = slots;
    }
    if (now - m_lastTick < judgedPeriod) {
        return;
    }
    m_lastTick = now;
    if (m_longest.empty()) {
        m_level = std::min<double>(m_level + raiseStep, m_slots);
        return;
    }
    const double usual = quantile(m_medians);
    const double judged = quantile(m_longest);
    m_medians.clear();
    m_longest.clear();
    m_lastPause = judged;
    const double lowLevel = std::max(minLevel, lowLevelShare * m_slots);
    if (usual > hopelessAbove || (usual > 1 && m_level <= lowLevel)) {
        m_fullUntil = now + fullPeriod;
    }
    if (now < m_fullUntil) {
        m_level = m_slots;
        return;
    }
    if (judged > cutAbove && now - m_lastCut >= cutPeriod) {
        m_lastCut = now;
        m_level = std::max(lowLevel, cutFactor * std::min(m_level, std::max(busiest, minLevel)));
    } else if (judged < raiseBelow && busiest + 1 >= m_level) {
        m_level = std::min<double>(m_level + raiseStep, m_slots);
    }
}

double pace_controller::lastPause() const
{
    return m_lastPause;
}

double pace_controller::level() const
{
    return m_level;
}

} // namespace figcleat::forward
