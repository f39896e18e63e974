#include "figcleat/core/log.h"

#include "figcleat/core/line-sink.h"
#include "figcleat/core/log-output.h"

#include <array>
#include <spdlog/sinks/stdout_sinks.h>
#include <unistd.h>

namespace figcleat
{

namespace
{

constexpr std::array<const char *, 12> names { "daemon", "settings", "mailbox", "http",  "request", "target",
                                               "raft",   "agreed",   "config",  "group", "report",  "invariant" };

using logger_table = std::array<std::shared_ptr<spdlog::logger>, names.size()>;

logger_table makeLoggers()
{
    const auto sink = std::make_shared<spdlog::sinks::stderr_sink_st>();
    logger_table table;
    for (std::size_t i = 0; i < names.size(); ++i) {
        table[i] = std::make_shared<spdlog::logger>(names[i], sink);
        table[i]->set_level(spdlog::level::warn);
        table[i]->set_pattern("%Y-%m-%dT%H:%M:%S.%e %-8l [%n] %v", spdlog::pattern_time_type::utc);
    }
    return table;
}

logger_table &loggers()
{
    static logger_table table = makeLoggers();
    return table;
}

} // namespace

std::shared_ptr<spdlog::logger> logFor(part which)
{
    return loggers()[static_cast<std::size_t>(which)];
}

void logToStandardOutput(const clock &time)
{
    const auto sink = std::make_shared<line_sink>(STDOUT_FILENO, time);
    for (const auto &logger : loggers()) {
        logger->sinks() = { sink };
    }
}

void startLog(const std::string &level, const std::string &vm)
{
    for (const auto &logger : loggers()) {
        logger->set_level(spdlog::level::from_str(level));
        logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e %-8l " + vm + " [%n] %v", spdlog::pattern_time_type::utc);
        logger->flush_on(spdlog::level::info);
    }
}

} // namespace figcleat
