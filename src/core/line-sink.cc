#include "figcleat/core/line-sink.h"

#include <algorithm>
#include <climits>
#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

namespace figcleat
{

line_sink::line_sink(int descriptor, const clock &time)
    : m_descriptor(descriptor)
    , m_time(&time)
    , m_filledAt(time.now())
{
}

std::uint64_t line_sink::suppressed() const
{
    return m_suppressed;
}

bool line_sink::takeLine()
{
    const time_point now = m_time->now();
    const double age = std::chrono::duration<double>(now - std::exchange(m_filledAt, now)).count();
    m_allowed = std::min(burstLines, m_allowed + age * linesPerSecond);
    if (m_allowed < 1) {
        return false;
    }
    m_allowed -= 1;
    return true;
}

/** A pipe that polls as writable takes `PIPE_BUF` bytes at once. */
bool line_sink::isWritable() const
{
    pollfd descriptor { m_descriptor, POLLOUT, 0 };
    return poll(&descriptor, 1, 0) == 1 && (descriptor.revents & POLLOUT) != 0;
}

bool line_sink::write(const spdlog::details::log_msg &message)
{
    if (!isWritable()) {
        return false;
    }
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    if (line.size() > PIPE_BUF) {
        line.resize(PIPE_BUF);
        line[PIPE_BUF - 1] = '\n';
    }
    return ::write(m_descriptor, line.data(), line.size()) == static_cast<ssize_t>(line.size());
}

void line_sink::sink_it_(const spdlog::details::log_msg &message)
{
    if (!takeLine()) {
        ++m_suppressed;
        return;
    }
    if (m_suppressed > 0) {
        const auto text = fmt::format("event=log_suppressed lines={}", m_suppressed);
        const spdlog::details::log_msg notice(message.time, {}, message.logger_name, spdlog::level::warn, text);
        if (write(notice)) {
            m_suppressed = 0;
        }
    }
    if (!write(message)) {
        ++m_suppressed;
    }
}

void line_sink::flush_()
{
}

} // namespace figcleat
