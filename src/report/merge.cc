#include "figcleat/report/merge.h"

#include <algorithm>

namespace figcleat::report
{

namespace
{

constexpr std::size_t maxPairs = recorder_limits {}.pairs;
// About 14 KB each.
constexpr std::size_t maxMergedPairs = 2 * maxPairs;
constexpr std::size_t maxNameLength = 64;
constexpr duration recentSpan = std::chrono::hours(1);
constexpr duration wholeSpan = halfHourRing.width * halfHourRing.windows;

bool isValid(const window_summary &window, ring_shape shape)
{
    return window.age < shape.windows && window.answersInTime <= window.requests
        && window.firstTokensInTime <= window.requests;
}

bool areValid(const std::vector<window_summary> &windows, ring_shape shape)
{
    return windows.size() <= shape.windows
        && std::all_of(windows.begin(), windows.end(), [&](const auto &each) { return isValid(each, shape); });
}

bool areValid(const std::vector<bin_count> &bins)
{
    return bins.size() <= allLatencyBins
        && std::all_of(bins.begin(), bins.end(), [](const bin_count &each) { return each.bin < allLatencyBins; });
}

bool isValid(const histogram_summary &histograms)
{
    return areValid(histograms.latency) && areValid(histograms.firstToken);
}

bool isValid(const pair_summary &pair)
{
    return pair.service.value.size() <= maxNameLength && pair.workspace.value.size() <= maxNameLength
        && areValid(pair.minutes, minuteRing) && areValid(pair.halfHours, halfHourRing) && isValid(pair.recent)
        && isValid(pair.whole);
}

bool isValid(const service_level_summary &summary)
{
    return summary.entry.value.size() <= maxNameLength && summary.pairs.size() <= maxPairs
        && std::all_of(summary.pairs.begin(), summary.pairs.end(),
                       [](const pair_summary &each) { return isValid(each); });
}

void addWindows(std::vector<merged_counts> &sum, const std::vector<window_summary> &windows, std::uint64_t shift)
{
    for (const auto &each : windows) {
        if (each.age + shift < sum.size()) {
            sum[each.age + shift] += { each.requests, each.answersInTime, each.firstTokensInTime };
        }
    }
}

void addBins(latency_histogram &sum, const std::vector<bin_count> &bins)
{
    for (const auto &each : bins) {
        addToBin(sum, each.bin, each.count);
    }
}

void addHistograms(merged_histograms &sum, const histogram_summary &added)
{
    addBins(sum.latency, added.latency);
    addBins(sum.firstToken, added.firstToken);
}

void addPair(merged_history &sum, const pair_summary &pair, duration age)
{
    addWindows(sum.minutes, pair.minutes, static_cast<std::uint64_t>(age / minuteRing.width));
    addWindows(sum.halfHours, pair.halfHours, static_cast<std::uint64_t>(age / halfHourRing.width));
    // Histograms cover a span as a whole, so they count until that span is over.
    if (age < recentSpan) {
        addHistograms(sum.recent, pair.recent);
    }
    if (age < wholeSpan) {
        addHistograms(sum.whole, pair.whole);
    }
}

void addEach(std::vector<merged_counts> &sum, const std::vector<merged_counts> &added)
{
    for (std::size_t i = 0; i < sum.size(); ++i) {
        sum[i] += added[i];
    }
}

} // namespace

merged_counts &merged_counts::operator+=(const merged_counts &other)
{
    requests += other.requests;
    answersInTime += other.answersInTime;
    firstTokensInTime += other.firstTokensInTime;
    return *this;
}

merged_histograms &merged_histograms::operator+=(const merged_histograms &other)
{
    latency += other.latency;
    firstToken += other.firstToken;
    return *this;
}

merged_history &merged_history::operator+=(const merged_history &other)
{
    addEach(minutes, other.minutes);
    addEach(halfHours, other.halfHours);
    recent += other.recent;
    whole += other.whole;
    return *this;
}

summary_merger::summary_merger(std::size_t maxSummaries)
    : m_maxSummaries(maxSummaries)
{
}

expected<bool> summary_merger::accept(service_level_summary summary, time_point now)
{
    if (!isValid(summary)) {
        return fail(result_code::message_malformed, "service level summary");
    }
    const auto found = m_held.find(summary.incarnation);
    if (found != m_held.end() && found->second.summary.sequence >= summary.sequence) {
        return false;
    }
    if (found == m_held.end()) {
        makeRoom(now);
    }
    const auto incarnation = summary.incarnation;
    m_held.insert_or_assign(incarnation, held_summary { std::move(summary), now });
    return true;
}

void summary_merger::makeRoom(time_point now)
{
    std::erase_if(m_held, [&](const auto &each) { return now - each.second.received >= wholeSpan; });
    if (m_held.size() >= m_maxSummaries) {
        m_held.erase(std::min_element(m_held.begin(), m_held.end(), [](const auto &a, const auto &b) {
            return a.second.received < b.second.received;
        }));
    }
}

merged_levels summary_merger::merged(time_point now) const
{
    merged_levels result;
    for (const auto &[incarnation, held] : m_held) {
        const duration age = std::max(now - held.received, duration::zero());
        if (age >= wholeSpan) {
            continue;
        }
        result.losses += held.summary.losses;
        for (const auto &pair : held.summary.pairs) {
            const level_key key { pair.service, pair.workspace };
            if (result.pairs.size() < maxMergedPairs || result.pairs.contains(key)) {
                addPair(result.pairs[key], pair, age);
            } else {
                ++result.losses.omittedPairs;
            }
        }
        ++result.summaries;
    }
    return result;
}

} // namespace figcleat::report
