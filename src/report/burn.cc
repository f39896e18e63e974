#include "figcleat/report/burn.h"

#include <numeric>

namespace figcleat::report
{

namespace
{

constexpr std::size_t plotMinutes = 5;

std::uint64_t inTime(const merged_counts &counts, signal_kind kind)
{
    return kind == signal_kind::answer ? counts.answersInTime : counts.firstTokensInTime;
}

merged_counts sum(const std::vector<merged_counts> &windows, std::size_t first, std::size_t count)
{
    merged_counts result;
    for (std::size_t i = first; i < first + count; ++i) {
        result += windows[i];
    }
    return result;
}

/** Minutes are exact to a minute, so they serve every span that they cover. */
merged_counts sumOver(const merged_history &history, duration span)
{
    const bool fits = span <= minuteRing.width * minuteRing.windows;
    return fits ? sum(history.minutes, 0, static_cast<std::size_t>(span / minuteRing.width))
                : sum(history.halfHours, 0, static_cast<std::size_t>(span / halfHourRing.width));
}

burn_window makeWindow(const merged_history &history, signal_kind kind, double objective, duration span)
{
    const auto counts = sumOver(history, span);
    const auto missed = counts.requests - inTime(counts, kind);
    const auto rate = burnRate(counts.requests, missed, objective);
    return { span, counts.requests, missed, rate,
             rate * static_cast<double>(span.count()) / static_cast<double>(budgetPeriod.count()) };
}

latency_quantiles makeQuantiles(const merged_histograms &histograms, signal_kind kind)
{
    const auto &source = kind == signal_kind::answer ? histograms.latency : histograms.firstToken;
    return { quantile(source, 0.5), quantile(source, 0.95), quantile(source, 0.99) };
}

signal_burn makeSignal(const merged_history &history, signal_kind kind, double objective)
{
    signal_burn result;
    result.kind = kind;
    for (std::size_t i = 0; i < burnSpans.size(); ++i) {
        result.windows[i] = makeWindow(history, kind, objective, burnSpans[i]);
    }
    const auto &[fiveMinutes, hour, sixHours, threeDays] = result.windows;
    result.fastAlert = fiveMinutes.rate > fastBurnRate && hour.rate > fastBurnRate;
    result.slowAlert = sixHours.rate > slowBurnRate && threeDays.rate > slowBurnRate;
    result.recent = makeQuantiles(history.recent, kind);
    result.whole = makeQuantiles(history.whole, kind);
    return result;
}

signal_plot makePlot(const merged_history &history, signal_kind kind, double objective)
{
    signal_plot result { kind, {}, {} };
    for (std::size_t i = history.minutes.size(); i >= plotMinutes; i -= plotMinutes) {
        const auto counts = sum(history.minutes, i - plotMinutes, plotMinutes);
        result.rates.push_back(burnRate(counts.requests, counts.requests - inTime(counts, kind), objective));
    }
    const auto &source = kind == signal_kind::answer ? history.whole.latency : history.whole.firstToken;
    for (int bin = 0; bin < allLatencyBins; ++bin) {
        result.bins.push_back(countInBin(source, bin));
    }
    return result;
}

std::vector<signal_kind> signalsOf(const service &promised)
{
    if (promised.kind == service_kind::plain) {
        return { signal_kind::answer };
    }
    return { signal_kind::answer, signal_kind::first_token };
}

std::vector<signal_burn> makeSignals(const merged_history &history, const service &promised)
{
    std::vector<signal_burn> result;
    for (const auto kind : signalsOf(promised)) {
        result.push_back(makeSignal(history, kind, promised.level.objective));
    }
    return result;
}

service_burn makeService(const merged_levels &levels, const service &promised)
{
    service_burn result { promised.name, promised.level, {}, {}, {} };
    merged_history all;
    const level_key first { promised.name, {} };
    for (auto each = levels.pairs.lower_bound(first);
         each != levels.pairs.end() && each->first.service == promised.name; ++each) {
        all += each->second;
        result.workspaces.push_back({ each->first.workspace, makeSignals(each->second, promised) });
    }
    result.signals = makeSignals(all, promised);
    for (const auto kind : signalsOf(promised)) {
        result.plots.push_back(makePlot(all, kind, promised.level.objective));
    }
    return result;
}

} // namespace

std::string_view toString(signal_kind kind)
{
    return kind == signal_kind::answer ? "answer" : "first_token";
}

double burnRate(std::uint64_t requests, std::uint64_t missed, double objective)
{
    if (requests == 0) {
        return 0;
    }
    return static_cast<double>(missed) / static_cast<double>(requests) / (1.0 - objective);
}

burn_report burn(const merged_levels &levels, const configuration &config, wall_time time)
{
    burn_report result { time, {}, levels.losses, levels.summaries, levels.pairs.size() };
    for (const auto &promised : config.services) {
        result.services.push_back(makeService(levels, promised));
        result.pairsOfUnknownServices -= result.services.back().workspaces.size();
    }
    return result;
}

} // namespace figcleat::report
