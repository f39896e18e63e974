#include "figcleat/report/render.h"

#include <algorithm>
#include <cmath>
#include <spdlog/fmt/fmt.h>

namespace figcleat::report
{

namespace
{

constexpr double plotWidth = 640;
constexpr double plotHeight = 160;
// The policy keeps a browser from loading anything, even if a name got past the escaping.
constexpr std::string_view head = R"(<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta http-equiv="Content-Security-Policy" content="default-src 'none'; style-src 'unsafe-inline'">
<title>figcleat service levels</title>
<style>
body { font: 14px sans-serif; margin: 2em; max-width: 80em; }
table { border-collapse: collapse; margin: 1em 0; }
td, th { border-bottom: 1px solid #ccc; padding: 0.2em 0.8em; text-align: right; }
td:nth-child(-n+2), th:nth-child(-n+2) { text-align: left; }
.alert { color: #b00020; font-weight: bold; }
svg { background: #f6f6f6; display: block; margin: 0.5em 0; }
svg text { font: 11px sans-serif; }
polyline { fill: none; stroke: #1f5fa8; stroke-width: 1.5; }
.limit { stroke: #b00020; stroke-dasharray: 4 3; }
rect { fill: #1f5fa8; }
</style>
</head>
<body>
)";

std::string plotStart(std::string_view title)
{
    return fmt::format("<svg role=\"img\" width=\"{0}\" height=\"{1}\" viewBox=\"0 0 {0} {1}\"><title>{2}</title>\n",
                       plotWidth, plotHeight, title);
}

/** The square root keeps both alert rates visible when every request fails. */
double rateHeight(double rate, double most)
{
    return plotHeight - plotHeight * std::sqrt(rate / most);
}

std::string limitLine(double rate, double most)
{
    const double y = rateHeight(rate, most);
    return fmt::format("<line class=\"limit\" x1=\"0\" x2=\"{0}\" y1=\"{1:.1f}\" y2=\"{1:.1f}\"/>"
                       "<text x=\"4\" y=\"{2:.1f}\">{3}</text>\n",
                       plotWidth, y, y - 3, rate);
}

std::string ratePlot(const signal_plot &plot)
{
    const double most = std::max(fastBurnRate * 1.25,
                                 plot.rates.empty() ? 0 : *std::max_element(plot.rates.begin(), plot.rates.end()));
    std::string points;
    const double step = plotWidth / static_cast<double>(std::max<std::size_t>(plot.rates.size() - 1, 1));
    for (std::size_t i = 0; i < plot.rates.size(); ++i) {
        points += fmt::format("{:.1f},{:.1f} ", static_cast<double>(i) * step, rateHeight(plot.rates[i], most));
    }
    return plotStart("Burn rate over 6 h") + limitLine(fastBurnRate, most) + limitLine(slowBurnRate, most)
        + "<polyline points=\"" + points + "\"/>\n</svg>\n";
}

std::string promiseLine(duration promise)
{
    const double seconds = std::chrono::duration<double>(promise).count();
    const double end = std::chrono::duration<double>(latencyAxisEnd).count();
    const double place = 1 + latencyBins * std::log(seconds / 0.001) / std::log(end / 0.001);
    const double x = plotWidth * place / allLatencyBins;
    return fmt::format("<line class=\"limit\" x1=\"{0:.1f}\" x2=\"{0:.1f}\" y1=\"0\" y2=\"{1}\"/>"
                       "<text x=\"{2:.1f}\" y=\"12\">{3}</text>\n",
                       x, plotHeight, x + 3, detail::formatLatency(promise));
}

std::string histogramPlot(const signal_plot &plot, duration promise)
{
    const auto most
        = std::max<std::uint64_t>(1, plot.bins.empty() ? 0 : *std::max_element(plot.bins.begin(), plot.bins.end()));
    const double width = plotWidth / allLatencyBins;
    std::string bars;
    for (std::size_t i = 0; i < plot.bins.size(); ++i) {
        const double height = plotHeight * static_cast<double>(plot.bins[i]) / static_cast<double>(most);
        bars += fmt::format("<rect x=\"{:.1f}\" y=\"{:.1f}\" width=\"{:.1f}\" height=\"{:.1f}\">"
                            "<title>to {}: {}</title></rect>\n",
                            static_cast<double>(i) * width, plotHeight - height, width - 1, height,
                            detail::escapeHtml(detail::formatLatency(upperEnd(static_cast<int>(i)))), plot.bins[i]);
    }
    return plotStart("Latency over 3 days") + bars + promiseLine(promise) + "</svg>\n";
}

std::string signalRow(std::string_view workspace, const signal_burn &signal)
{
    std::string row = fmt::format("<tr><td>{}</td><td>{}</td><td>{}</td>", detail::escapeHtml(workspace),
                                  toString(signal.kind), signal.windows.back().requests);
    for (const auto &window : signal.windows) {
        row += fmt::format("<td>{:.2f}</td>", window.rate);
    }
    row += fmt::format("<td>{:.1f}%</td>", signal.windows.back().budgetShare * 100);
    for (const auto &latency : { signal.recent.p50, signal.recent.p95, signal.recent.p99 }) {
        row += fmt::format("<td>{}</td>", detail::escapeHtml(detail::formatLatency(latency)));
    }
    return row + fmt::format("<td class=\"alert\">{}</td></tr>\n", detail::alertText(signal));
}

std::string serviceTable(const service_burn &service)
{
    std::string text = "<table>\n<tr><th>workspace</th><th>signal</th><th>requests 3 d</th><th>burn 5 min</th>"
                       "<th>1 h</th><th>6 h</th><th>3 d</th><th>budget 3 d</th><th>p50 1 h</th><th>p95 1 h</th>"
                       "<th>p99 1 h</th><th>alert</th></tr>\n";
    for (const auto &signal : service.signals) {
        text += signalRow("(all)", signal);
    }
    for (const auto &workspace : service.workspaces) {
        for (const auto &signal : workspace.signals) {
            text += signalRow(workspace.workspace.value, signal);
        }
    }
    return text + "</table>\n";
}

std::string serviceSection(const service_burn &service)
{
    std::string text = fmt::format("<h2>{}</h2>\n<p>Objective {}, whole answer within {}.</p>\n",
                                   detail::escapeHtml(service.service.value), service.level.objective,
                                   detail::escapeHtml(detail::formatLatency(service.level.answerWithin)));
    text += serviceTable(service);
    for (const auto &plot : service.plots) {
        const bool isAnswer = plot.kind == signal_kind::answer;
        const auto promise = isAnswer ? service.level.answerWithin : service.level.firstTokenWithin;
        text += fmt::format("<h3>{}: burn rate over 6 h, square-root scale</h3>\n", toString(plot.kind))
            + ratePlot(plot) + fmt::format("<h3>{}: latency over 3 days, 1 ms to 300 s</h3>\n", toString(plot.kind))
            + histogramPlot(plot, promise);
    }
    return text;
}

} // namespace

namespace detail
{

std::string escapeHtml(std::string_view text)
{
    std::string result;
    for (const char c : printable(text)) {
        switch (c) {
        case '<':
            result += "&lt;";
            break;
        case '>':
            result += "&gt;";
            break;
        case '&':
            result += "&amp;";
            break;
        case '"':
            result += "&quot;";
            break;
        case '\'':
            result += "&#39;";
            break;
        default:
            result += c;
        }
    }
    return result;
}

} // namespace detail

std::string renderHtml(const burn_report &report)
{
    std::string text(head);
    text += fmt::format("<h1>Service levels</h1>\n<p>At {} from {} entries. Not covered: {} samples of further pairs, "
                        "{} late samples, {} histogram entries, {} pairs.</p>\n",
                        detail::formatTime(report.time), report.summaries, report.losses.overflowedSamples,
                        report.losses.lateSamples, report.losses.refusedCells, report.losses.omittedPairs);
    for (const auto &service : report.services) {
        text += serviceSection(service);
    }
    return text + "</body>\n</html>\n";
}

} // namespace figcleat::report
