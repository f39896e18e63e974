#pragma once

#include "figcleat/report/merge.h"
#include "figcleat/settings/configuration.h"

#include <array>
#include <string_view>
#include <vector>

namespace figcleat::report
{

/** What a service level promises about a request. */
enum class signal_kind : std::uint8_t {
    /** The whole answer in time. */
    answer,
    /** The first token in time; of model services only. */
    first_token,
};

[[nodiscard]] std::string_view toString(signal_kind kind);

/** Error budgets are for 30 days: a burn rate of 1 spends all of it in that time. */
inline constexpr duration budgetPeriod = std::chrono::hours(30 * 24);
/** Both windows of an alert have to exceed its rate: the long one shows that it matters, the short one that it
 * still goes on. The rates spend 2% of the budget in 1 h and 10% in 3 days. An objective of 0.93 or less cannot
 * reach the fast rate. */
inline constexpr double fastBurnRate = 14.4;
inline constexpr double slowBurnRate = 1.0;

struct burn_window
{
    duration span {};
    std::uint64_t requests = 0;
    std::uint64_t missed = 0;
    /** Share of missed requests over the share that the objective allows. */
    double rate = 0;
    /** Share of the budget of `budgetPeriod` that was spent in this window. */
    double budgetShare = 0;
};

/** Spans of the windows in `signal_burn`: 5 min, 1 h, 6 h, 3 days. The unfinished window counts as a whole one. */
inline constexpr std::array<duration, 4> burnSpans { std::chrono::minutes(5), std::chrono::hours(1),
                                                     std::chrono::hours(6), std::chrono::hours(72) };

struct latency_quantiles
{
    std::optional<duration> p50;
    std::optional<duration> p95;
    std::optional<duration> p99;
};

struct signal_burn
{
    signal_kind kind = signal_kind::answer;
    std::array<burn_window, burnSpans.size()> windows;
    bool fastAlert = false;
    bool slowAlert = false;
    /** Over the last hour. */
    latency_quantiles recent;
    /** Over the last three days. */
    latency_quantiles whole;
};

/** What a page plots for a signal of a service. */
struct signal_plot
{
    signal_kind kind = signal_kind::answer;
    /** Burn rate of each 5 min of the last 6 h, oldest first. */
    std::vector<double> rates;
    /** Histogram of the last three days, with the bins below and above the axis. */
    std::vector<std::uint64_t> bins;
};

struct workspace_burn
{
    workspace_id workspace;
    std::vector<signal_burn> signals;
};

struct service_burn
{
    service_id service;
    service_level level;
    /** Over all workspaces. */
    std::vector<signal_burn> signals;
    std::vector<signal_plot> plots;
    /** In the order of their names. */
    std::vector<workspace_burn> workspaces;
};

struct burn_report
{
    wall_time time;
    std::vector<service_burn> services;
    recorder_losses losses;
    /** Lives of entries that reported. */
    std::size_t summaries = 0;
    /** Pairs of services that the configuration does not have. */
    std::size_t pairsOfUnknownServices = 0;
};

[[nodiscard]] double burnRate(std::uint64_t requests, std::uint64_t missed, double objective);

/** Burn of every service of the configuration, with or without requests. */
[[nodiscard]] burn_report burn(const merged_levels &levels, const configuration &config, wall_time time);

} // namespace figcleat::report
