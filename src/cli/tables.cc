#include "figcleat/cli/tables.h"

#include <algorithm>
#include <fmt/format.h>
#include <vector>

namespace figcleat::cli
{

namespace
{

using row = std::vector<std::string>;

std::string toText(const nlohmann::json &value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

/** Columns padded to their widest cell; the first row is the header. */
std::string renderRows(const std::vector<row> &rows)
{
    std::vector<std::size_t> widths(rows.front().size());
    for (const auto &cells : rows) {
        for (std::size_t i = 0; i < cells.size(); ++i) {
            widths[i] = std::max(widths[i], cells[i].size());
        }
    }
    std::string text;
    for (const auto &cells : rows) {
        std::string line;
        for (std::size_t i = 0; i < cells.size(); ++i) {
            line += fmt::format("{:<{}}  ", cells[i], widths[i]);
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    }
    return text;
}

std::string renderList(const nlohmann::json &list, const row &columns)
{
    std::vector<row> rows { columns };
    for (const auto &item : list) {
        row cells;
        for (const auto &column : columns) {
            cells.push_back(toText(item.value(column, nlohmann::json(""))));
        }
        rows.push_back(std::move(cells));
    }
    return renderRows(rows);
}

} // namespace

std::string renderStatus(const nlohmann::json &status)
{
    const auto control = status.value("control", nlohmann::json::object());
    std::string text
        = fmt::format("Entry {} in {}: configuration number {}, revision {}, {} requests in progress\n",
                      toText(status.at("vm")), toText(status.at("data_centre")), toText(status.at("number")),
                      toText(status.at("revision")), toText(status.at("requests_in_progress")));
    text += fmt::format("Data centres out by command: {}{}\n", status.at("data_centres_out").dump(),
                        status.value("out_locally", false) ? "; this data centre is out locally" : "");
    text += fmt::format("Replicated log: {} here, leader {}\n", toText(control.value("role", nlohmann::json("none"))),
                        toText(control.value("leader", nlohmann::json(""))));
    if (control.contains("members")) {
        text += "\n" + renderList(control.at("members"), { "address", "role", "match", "reachable" });
    }
    text += "\n"
        + renderList(status.at("entries"),
                     { "vm", "data_centre", "address", "voter", "revision", "requests_in_progress", "age_ms" });
    text += "\n"
        + renderList(status.at("targets"),
                     { "target", "service", "data_centre", "group", "rank", "state", "limit", "in_progress", "revision",
                       "age_ms" });
    return text;
}

std::string renderUsage(const nlohmann::json &usage)
{
    return renderList(usage.at("usage"), { "workspace", "service", "requests", "prompt_tokens", "generated_tokens" });
}

} // namespace figcleat::cli
