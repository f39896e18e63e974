#include "figcleat/daemon/target-status.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace figcleat
{

namespace
{

constexpr std::string_view statusPath = "/targets";

std::int64_t wholeMs(duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

std::string_view usability(const forward::directory_entry &entry)
{
    return forward::usabilityName(entry.latest.state, entry.latest.presence);
}

} // namespace

void writeTargets(report::metrics_text &page, const forward::target_directory &directory)
{
    page.gauge("figcleat_targets", "Registrations that are known.", {},
               static_cast<double>(directory.entries().size()));
    std::map<std::string_view, std::size_t> counts {
        { "usable", 0 }, { "draining", 0 }, { "gone", 0 }, { "superseded", 0 }, { "silent", 0 }
    };
    for (const auto &[id, entry] : directory.entries()) {
        ++counts[usability(entry)];
    }
    for (const auto &[name, count] : counts) {
        page.gauge("figcleat_targets_by_state", "Targets by state; only usable ones receive requests.",
                   fmt::format("state=\"{}\"", name), static_cast<double>(count));
    }
}

void logUnused(forward::target_directory &directory, spdlog::logger &log, time_point now)
{
    for (const auto &target : directory.takeNewlyUnused()) {
        const auto *entry = directory.find(target);
        if (entry == nullptr || entry->isUsable()) {
            continue;
        }
        log.warn("event=target_unused target={} started={} service={} address={} reason={} since_ms={} heard_ms={} "
                 "reporter={}",
                 target.value, entry->latest.order.startedMs, entry->latest.service.value, entry->latest.address,
                 usability(*entry), wholeMs(now - entry->outSince), wholeMs(now - entry->heardAt),
                 entry->latest.reporter);
    }
}

std::optional<forward::http_answer> answerTargetStatus(const http_request &request,
                                                       const forward::target_directory &directory, time_point now)
{
    constexpr int okStatus = 200;
    constexpr int methodNotAllowed = 405;
    if (request.path != statusPath) {
        return std::nullopt;
    }
    if (request.method != "GET") {
        return forward::http_answer { methodNotAllowed, {}, {} };
    }
    auto table = nlohmann::json::array();
    for (const auto &[id, entry] : directory.entries()) {
        nlohmann::json row { { "target", id.value },
                             { "started", entry.latest.order.startedMs },
                             { "service", entry.latest.service.value },
                             { "address", entry.latest.address },
                             { "data_centre", entry.latest.dataCentre.value },
                             { "state", usability(entry) },
                             { "heard_ms_ago", wholeMs(now - entry.heardAt) } };
        if (!entry.isUsable()) {
            row["since_ms_ago"] = wholeMs(now - entry.outSince);
            row["reporter"] = entry.latest.reporter;
        } else if (entry.absence) {
            row["doubted_by"] = entry.absence->reporter;
        }
        table.push_back(std::move(row));
    }
    return forward::http_answer { okStatus,
                                  { { "Content-Type", "application/json" } },
                                  table.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) + "\n" };
}

} // namespace figcleat
