#include "figcleat/report/service-level.h"

#include "figcleat/wire/codec.h"

#include <algorithm>

namespace figcleat::report
{

namespace
{

constexpr std::uint32_t recentMinutes = 60;
// Names and counters beside the pairs.
constexpr std::size_t summaryHeaderBytes = 512;

window_sample toWindowSample(const sample &finished)
{
    window_sample result;
    result.counts.requests = 1;
    if (finished.whole) {
        result.counts.answersInTime = finished.latency <= finished.level.answerWithin ? 1 : 0;
        // The time until a failure is no latency of an answer.
        result.latencyBin = latencyBin(finished.latency);
    }
    if (finished.firstToken) {
        result.counts.firstTokensInTime = *finished.firstToken <= finished.level.firstTokenWithin ? 1 : 0;
        result.firstTokenBin = latencyBin(*finished.firstToken);
    }
    return result;
}

std::vector<window_summary> summariseWindows(const window_ring &ring, ring_shape shape, time_point now)
{
    std::vector<window_summary> result;
    ring.forEach(shape, now, [&](std::uint32_t age, const level_counts &counts) {
        result.push_back({ age, counts.requests, counts.answersInTime, counts.firstTokensInTime });
    });
    return result;
}

std::vector<bin_count> occupiedBins(const both_histograms &counts, std::size_t first)
{
    std::vector<bin_count> result;
    for (std::size_t bin = 0; bin < allLatencyBins; ++bin) {
        if (counts[first + bin] != 0) {
            result.push_back({ static_cast<std::uint8_t>(bin), counts[first + bin] });
        }
    }
    return result;
}

histogram_summary summariseHistograms(const both_histograms &counts)
{
    return { occupiedBins(counts, 0), occupiedBins(counts, allLatencyBins) };
}

std::uint64_t requestsOf(const pair_summary &pair)
{
    std::uint64_t sum = 0;
    for (const auto &each : pair.halfHours) {
        sum += each.requests;
    }
    return sum;
}

/** Keeps as many pairs from the front as fit; returns how many it dropped. */
std::size_t cutToBytes(std::vector<pair_summary> &pairs, std::size_t maxBytes)
{
    std::size_t bytes = summaryHeaderBytes;
    std::size_t kept = 0;
    while (kept < pairs.size()) {
        bytes += encode(pairs[kept]).size();
        if (bytes > maxBytes) {
            break;
        }
        ++kept;
    }
    const std::size_t dropped = pairs.size() - kept;
    pairs.resize(kept);
    return dropped;
}

} // namespace

recorder_losses &recorder_losses::operator+=(const recorder_losses &other)
{
    overflowedSamples += other.overflowedSamples;
    lateSamples += other.lateSamples;
    refusedCells += other.refusedCells;
    omittedPairs += other.omittedPairs;
    return *this;
}

service_level_recorder::service_level_recorder(vm_id entry, incarnation_id incarnation, recorder_limits limits)
    : m_entry(std::move(entry))
    , m_incarnation(incarnation)
    , m_limits(limits)
    , m_budget { limits.cells, 0 }
{
}

void service_level_recorder::record(time_point now, const sample &finished)
{
    history *found = find(now, finished);
    if (found == nullptr) {
        ++m_losses.overflowedSamples;
        return;
    }
    const auto added = toWindowSample(finished);
    const bool inMinutes = found->minutes.add(minuteRing, now, added, m_budget);
    const bool inHalfHours = found->halfHours.add(halfHourRing, now, added, m_budget);
    if (!inMinutes || !inHalfHours) {
        ++m_losses.lateSamples;
    }
}

service_level_recorder::history *service_level_recorder::find(time_point now, const sample &finished)
{
    level_key key { finished.service, finished.workspace };
    const auto found = m_pairs.find(key);
    if (found != m_pairs.end()) {
        return &found->second;
    }
    // Looking for expired pairs takes a pass over all of them, so it happens once a minute at most.
    if (m_pairs.size() >= m_limits.pairs && m_releasedAt != windowAt(minuteRing, now)) {
        releaseExpired(now);
    }
    if (m_pairs.size() >= m_limits.pairs) {
        return nullptr;
    }
    return &m_pairs[std::move(key)];
}

void service_level_recorder::releaseExpired(time_point now)
{
    m_releasedAt = windowAt(minuteRing, now);
    for (auto each = m_pairs.begin(); each != m_pairs.end();) {
        each->second.minutes.expire(minuteRing, now, m_budget);
        each->second.halfHours.expire(halfHourRing, now, m_budget);
        const bool expired = each->second.minutes.empty() && each->second.halfHours.empty();
        each = expired ? m_pairs.erase(each) : std::next(each);
    }
}

std::vector<pair_summary> service_level_recorder::summarisePairs(time_point now) const
{
    std::vector<pair_summary> result;
    for (const auto &[key, held] : m_pairs) {
        result.push_back({ key.service, key.workspace, summariseWindows(held.minutes, minuteRing, now),
                           summariseWindows(held.halfHours, halfHourRing, now),
                           summariseHistograms(held.minutes.histograms(minuteRing, now, recentMinutes)),
                           summariseHistograms(held.halfHours.histograms(halfHourRing, now, halfHourRing.windows)) });
    }
    std::stable_sort(result.begin(), result.end(),
                     [](const pair_summary &a, const pair_summary &b) { return requestsOf(a) > requestsOf(b); });
    return result;
}

service_level_summary service_level_recorder::summarise(time_point now, std::size_t maxBytes)
{
    releaseExpired(now);
    service_level_summary result { m_entry, m_incarnation, ++m_sequence, {}, summarisePairs(now) };
    result.losses = losses();
    result.losses.omittedPairs = cutToBytes(result.pairs, maxBytes);
    return result;
}

std::size_t service_level_recorder::pairCount() const
{
    return m_pairs.size();
}

std::size_t service_level_recorder::memoryBytes() const
{
    // Tree node, key and names take up to 512 bytes.
    std::size_t sum = 0;
    for (const auto &[key, held] : m_pairs) {
        sum += 512 + held.minutes.memoryBytes() + held.halfHours.memoryBytes();
    }
    return sum;
}

recorder_losses service_level_recorder::losses() const
{
    auto result = m_losses;
    result.refusedCells = m_budget.refused;
    return result;
}

} // namespace figcleat::report
