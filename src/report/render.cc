#include "figcleat/report/render.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <spdlog/fmt/chrono.h>
#include <spdlog/fmt/fmt.h>

namespace figcleat::report
{

namespace
{

using table_row = std::vector<std::string>;

table_row makeRow(const service_id &service, std::string_view workspace, const signal_burn &signal)
{
    table_row row { detail::printable(service.value), std::string(workspace), std::string(toString(signal.kind)),
                    std::to_string(signal.windows.back().requests) };
    for (const auto &window : signal.windows) {
        row.push_back(fmt::format("{:.2f}", window.rate));
    }
    row.push_back(fmt::format("{:.1f}%", signal.windows.back().budgetShare * 100));
    row.push_back(detail::formatLatency(signal.recent.p95));
    row.push_back(detail::alertText(signal));
    return row;
}

std::vector<table_row> makeRows(const burn_report &report)
{
    std::vector<table_row> rows { { "SERVICE", "WORKSPACE", "SIGNAL", "REQUESTS 3D", "BURN 5M", "1H", "6H", "3D",
                                    "BUDGET 3D", "P95 1H", "ALERT" } };
    for (const auto &service : report.services) {
        for (const auto &signal : service.signals) {
            rows.push_back(makeRow(service.service, "(all)", signal));
        }
        for (const auto &workspace : service.workspaces) {
            for (const auto &signal : workspace.signals) {
                rows.push_back(makeRow(service.service, detail::printable(workspace.workspace.value), signal));
            }
        }
    }
    return rows;
}

std::vector<std::size_t> columnWidths(const std::vector<table_row> &rows)
{
    std::vector<std::size_t> widths(rows.front().size());
    for (const auto &row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    return widths;
}

nlohmann::json toJson(const burn_window &window)
{
    return { { "seconds", std::chrono::duration_cast<std::chrono::seconds>(window.span).count() },
             { "requests", window.requests },
             { "missed", window.missed },
             { "burn_rate", window.rate },
             { "budget_share", window.budgetShare } };
}

nlohmann::json toJson(const std::optional<duration> &latency)
{
    return latency ? nlohmann::json(std::chrono::duration<double, std::milli>(*latency).count()) : nlohmann::json();
}

nlohmann::json toJson(const latency_quantiles &quantiles)
{
    return { { "p50", toJson(quantiles.p50) }, { "p95", toJson(quantiles.p95) }, { "p99", toJson(quantiles.p99) } };
}

nlohmann::json toJson(const service_burn &service, nlohmann::json workspace, const signal_burn &signal)
{
    nlohmann::json windows = nlohmann::json::array();
    for (const auto &window : signal.windows) {
        windows.push_back(toJson(window));
    }
    return { { "service", service.service.value },     { "workspace", std::move(workspace) },
             { "signal", toString(signal.kind) },      { "objective", service.level.objective },
             { "windows", std::move(windows) },        { "fast_alert", signal.fastAlert },
             { "slow_alert", signal.slowAlert },       { "latency_ms_1h", toJson(signal.recent) },
             { "latency_ms_3d", toJson(signal.whole) } };
}

nlohmann::json toJson(const burn_report &report)
{
    return { { "overflowed_samples", report.losses.overflowedSamples },
             { "late_samples", report.losses.lateSamples },
             { "refused_cells", report.losses.refusedCells },
             { "omitted_pairs", report.losses.omittedPairs },
             { "pairs_of_unknown_services", report.pairsOfUnknownServices } };
}

} // namespace

namespace detail
{

std::string printable(std::string_view text)
{
    std::string result(text);
    std::replace_if(
        result.begin(), result.end(), [](char c) { return c < 0x20 || c > 0x7e; }, '?');
    return result;
}

std::string formatTime(wall_time time)
{
    return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}", fmt::gmtime(std::chrono::system_clock::to_time_t(time)));
}

std::string formatLatency(const std::optional<duration> &latency)
{
    if (!latency) {
        return "-";
    }
    if (*latency >= latencyAxisEnd) {
        return ">=300s";
    }
    const double seconds = std::chrono::duration<double>(*latency).count();
    return seconds < 1 ? fmt::format("{:.0f}ms", seconds * 1000) : fmt::format("{:.1f}s", seconds);
}

std::string alertText(const signal_burn &signal)
{
    if (signal.fastAlert && signal.slowAlert) {
        return "fast, slow";
    }
    return signal.fastAlert ? "fast" : signal.slowAlert ? "slow" : "";
}

} // namespace detail

std::string renderTable(const burn_report &report)
{
    std::string text
        = fmt::format("Service levels at {} from {} entries\n", detail::formatTime(report.time), report.summaries);
    const auto rows = makeRows(report);
    const auto widths = columnWidths(rows);
    for (const auto &row : rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i) {
            line += fmt::format("{:<{}}  ", row[i], widths[i]);
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    }
    const recorder_losses none;
    if (report.losses != none) {
        text += fmt::format(
            "Not covered: {} samples of further pairs, {} late samples, {} histogram entries, {} pairs\n",
            report.losses.overflowedSamples, report.losses.lateSamples, report.losses.refusedCells,
            report.losses.omittedPairs);
    }
    return text;
}

std::string renderJson(const burn_report &report)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const auto &service : report.services) {
        for (const auto &signal : service.signals) {
            rows.push_back(toJson(service, nullptr, signal));
        }
        for (const auto &workspace : service.workspaces) {
            for (const auto &signal : workspace.signals) {
                rows.push_back(toJson(service, workspace.workspace.value, signal));
            }
        }
    }
    const nlohmann::json whole { { "time", detail::formatTime(report.time) },
                                 { "entries", report.summaries },
                                 { "losses", toJson(report) },
                                 { "rows", std::move(rows) } };
    // Names from other processes may hold bytes that are no UTF-8.
    return whole.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

} // namespace figcleat::report
