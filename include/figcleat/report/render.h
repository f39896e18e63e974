#pragma once

#include "figcleat/report/burn.h"

#include <string>
#include <string_view>

namespace figcleat::report
{

/** Table for a terminal; bytes of names that are no printable ASCII are shown as '?'. */
[[nodiscard]] std::string renderTable(const burn_report &report);

/**
 * One JSON object:
 *
 *     {"time": "2026-01-31T08:00:00Z", "entries": 8, "losses": {...}, "rows": [
 *       {"service": "chat", "workspace": null, "signal": "answer", "objective": 0.99,
 *        "windows": [{"seconds": 300, "requests": 10, "missed": 0, "burn_rate": 0.0, "budget_share": 0.0}, ...],
 *        "fast_alert": false, "slow_alert": false,
 *        "latency_ms_1h": {"p50": 12.5, "p95": 40.0, "p99": null}, "latency_ms_3d": {...}}]}
 *
 * `workspace` is null in the rows that cover all workspaces of a service.
 */
[[nodiscard]] std::string renderJson(const burn_report &report);

/** One page that needs nothing from elsewhere: its style and its plots are part of it, and it has no script. */
[[nodiscard]] std::string renderHtml(const burn_report &report);

namespace detail
{

[[nodiscard]] std::string printable(std::string_view text);
[[nodiscard]] std::string escapeHtml(std::string_view text);
[[nodiscard]] std::string formatTime(wall_time time);
[[nodiscard]] std::string formatLatency(const std::optional<duration> &latency);
/** "fast", "slow", "fast, slow" or nothing. */
[[nodiscard]] std::string alertText(const signal_burn &signal);

} // namespace detail

} // namespace figcleat::report
