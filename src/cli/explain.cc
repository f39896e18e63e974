#include "figcleat/cli/explain.h"

#include "figcleat/core/result-code.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <fmt/format.h>
#include <set>
#include <sstream>

namespace figcleat::cli
{

namespace
{

/** Events of a node that say what it believed, whichever request they came with. */
const std::set<std::string, std::less<>> stateEvents { "configuration",
                                                       "coordinators_lost",
                                                       "coordinators_regained",
                                                       "engines_impaired",
                                                       "quarantine",
                                                       "stop",
                                                       "start",
                                                       "log_suppressed",
                                                       "load" };
/** What was believed this long before the end of a request still explains it. */
constexpr double contextSeconds = 3;

double number(const log_line &line, std::string_view key)
{
    const auto text = line.field(key);
    double value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

/** Seconds of the day; the lines of one request lie within minutes. */
double secondOf(const log_line &line)
{
    const auto clockAt = line.time.find('T');
    int hours = 0;
    int minutes = 0;
    double seconds = 0;
    if (clockAt == std::string::npos
        || std::sscanf(line.time.c_str() + clockAt + 1, "%d:%d:%lf", &hours, &minutes, &seconds) != 3) {
        return 0;
    }
    return hours * 3600.0 + minutes * 60.0 + seconds;
}

const result_info *findCode(const std::string &name)
{
    const auto &table = resultTable();
    const auto found = std::find_if(table.begin(), table.end(), [&name](const auto &row) { return row.name == name; });
    return found == table.end() ? nullptr : &*found;
}

std::string causeOfLateAnswer(const log_line &end)
{
    const double queued = number(end, "queued_ms");
    const double first = number(end, "first_ms");
    const double pause = number(end, "pause_ms");
    if (queued * 2 > first) {
        return fmt::format("late: it waited {} ms for room at a target", queued);
    }
    if (pause > first) {
        return fmt::format("late: a pause of {} ms between two events; equal pauses at other fronts mean that the "
                           "group of engines stood still",
                           pause);
    }
    return fmt::format("late: the target began its answer {} ms after it got the request", first - queued);
}

std::string causeOf(const log_line &end)
{
    if (end.event != "request") {
        return "not known, the end of the request is not in these logs";
    }
    const auto code = end.field("code");
    if (code == "ok") {
        return end.field("late") == "true" ? causeOfLateAnswer(end) : "answered in time";
    }
    const auto *info = findCode(code);
    const std::string meaning = info == nullptr ? code : fmt::format("{}: {}", code, info->meaning);
    if (number(end, "attempts") == 0) {
        return fmt::format("refused, no target ran it ({}), after {} ms of waiting", meaning, end.field("queued_ms"));
    }
    return fmt::format("given up after {} attempts, last at {} ({})", end.field("attempts"), end.field("target"),
                       meaning);
}

struct request_path
{
    std::set<std::string> targets;
    std::set<std::string> vms;
    double begin = 0;
    double end = 0;
    const log_line *last = nullptr;
};

request_path pathOf(const std::vector<log_line> &log, const std::string &request)
{
    request_path path;
    for (const auto &line : log) {
        if (line.field("id") != request) {
            continue;
        }
        const double at = secondOf(line);
        path.begin = path.last == nullptr ? at : std::min(path.begin, at);
        path.end = std::max(path.end, at);
        path.vms.insert(line.vm);
        if (const auto target = line.field("target"); !target.empty()) {
            path.targets.insert(target);
        }
        if (line.event == "request" || path.last == nullptr) {
            path.last = &line;
        }
    }
    return path;
}

/** Belongs to the request, or says what its front believed of its targets meanwhile. */
bool concerns(const log_line &line, const std::string &request, const request_path &path)
{
    if (line.field("id") == request) {
        return true;
    }
    const double at = secondOf(line);
    if (at > path.end || at < path.begin - contextSeconds) {
        return line.event == "target" && at <= path.end && path.targets.contains(line.field("target"));
    }
    const bool isOfTarget = line.event == "target" && path.targets.contains(line.field("target"));
    return isOfTarget || line.event == "map" || (path.vms.contains(line.vm) && stateEvents.contains(line.event));
}

} // namespace

std::string log_line::field(std::string_view key) const
{
    const std::string wanted = fmt::format(" {}=", key);
    const std::string padded = " " + text;
    const auto at = padded.find(wanted);
    if (at == std::string::npos) {
        return {};
    }
    const auto begin = at + wanted.size();
    return padded.substr(begin, padded.find(' ', begin) - begin);
}

std::vector<log_line> readLog(std::istream &in)
{
    std::vector<log_line> lines;
    std::string raw;
    while (std::getline(in, raw)) {
        std::istringstream words(raw);
        log_line line;
        std::string level;
        std::string part;
        words >> line.time >> level >> line.vm >> part;
        const auto at = raw.find("event=");
        if (at == std::string::npos || line.time.find('T') == std::string::npos || part.empty()) {
            continue;
        }
        line.text = raw.substr(at);
        line.event = line.field("event");
        lines.push_back(std::move(line));
    }
    return lines;
}

std::string explain(const std::vector<log_line> &log, const std::string &request)
{
    const auto path = pathOf(log, request);
    if (path.last == nullptr) {
        return {};
    }
    std::vector<const log_line *> shown;
    for (const auto &line : log) {
        if (concerns(line, request, path)) {
            shown.push_back(&line);
        }
    }
    std::stable_sort(shown.begin(), shown.end(), [](const auto *a, const auto *b) { return a->time < b->time; });
    std::string text;
    for (const auto *line : shown) {
        text += fmt::format("{} {:20} {}\n", line->time, line->vm, line->text);
    }
    return text + fmt::format("cause: {}\n", causeOf(*path.last));
}

} // namespace figcleat::cli
