#pragma once

#include "figcleat/core/clock.h"

#include <cstdint>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>

namespace figcleat
{

/**
 * Writes log lines to a descriptor without ever waiting for its reader, and no more than a number of lines a second.
 *
 * Lines that are not written are counted; the next line is preceded by one that says how many. A line that is longer
 * than a pipe takes at once is cut.
 */
class line_sink : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
    /** Twice the lines of a front on the heaviest day that was measured, all of whose requests failed. */
    static constexpr double linesPerSecond = 500;
    static constexpr double burstLines = 1000;

    line_sink(int descriptor, const clock &time);

    /** Lines that were not written and of which no line has told yet. */
    [[nodiscard]] std::uint64_t suppressed() const;

protected:
    void sink_it_(const spdlog::details::log_msg &message) override;
    void flush_() override;

private:
    [[nodiscard]] bool takeLine();
    [[nodiscard]] bool isWritable() const;
    /** False if the descriptor took nothing. */
    bool write(const spdlog::details::log_msg &message);

    int m_descriptor;
    const clock *m_time;
    double m_allowed = burstLines;
    time_point m_filledAt;
    std::uint64_t m_suppressed = 0;
};

} // namespace figcleat
