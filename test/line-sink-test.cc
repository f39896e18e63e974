#include "figcleat/core/line-sink.h"
#include "manual-clock.h"

#include <catch2/catch.hpp>
#include <fcntl.h>
#include <spdlog/logger.h>
#include <unistd.h>

using namespace figcleat;
using namespace std::chrono_literals;

namespace
{

/** A logger whose lines go into a pipe that is read only on request. */
class piped_logger
{
public:
    piped_logger()
    {
        REQUIRE(pipe(m_ends.data()) == 0);
        fcntl(m_ends[0], F_SETFL, O_NONBLOCK);
        m_sink = std::make_shared<line_sink>(m_ends[1], m_time);
        m_logger = std::make_unique<spdlog::logger>("test", m_sink);
        m_logger->set_pattern("%v");
    }

    ~piped_logger()
    {
        close(m_ends[0]);
        close(m_ends[1]);
    }

    void log(int lines, std::size_t length = 0)
    {
        for (int i = 0; i < lines; ++i) {
            m_logger->info("line {}", std::string(length, 'x'));
        }
    }

    std::string read()
    {
        std::string all;
        std::array<char, 65536> buffer {};
        ssize_t count = 0;
        while ((count = ::read(m_ends[0], buffer.data(), buffer.size())) > 0) {
            all.append(buffer.data(), static_cast<std::size_t>(count));
        }
        return all;
    }

    manual_clock &time()
    {
        return m_time;
    }

    line_sink &sink()
    {
        return *m_sink;
    }

private:
    manual_clock m_time;
    std::array<int, 2> m_ends {};
    std::shared_ptr<line_sink> m_sink;
    std::unique_ptr<spdlog::logger> m_logger;
};

std::size_t countOf(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++count;
    }
    return count;
}

} // namespace

TEST_CASE("a log that nobody reads does not stop the process", "[log]")
{
    // Guards against a process that waits for ever in a write to a full pipe.
    piped_logger logger;
    logger.log(900, 1000);
    const auto lost = logger.sink().suppressed();
    CHECK(lost > 0);
    CHECK(countOf(logger.read(), "line ") == 900 - lost);
    logger.log(1);
    CHECK(logger.read().starts_with("event=log_suppressed lines=" + std::to_string(lost) + "\nline "));
    CHECK(logger.sink().suppressed() == 0);
}

TEST_CASE("lines a second are bounded and the others counted", "[log]")
{
    piped_logger logger;
    for (int i = 0; i < 3000; ++i) {
        logger.log(1);
    }
    CHECK(countOf(logger.read(), "line ") == static_cast<std::size_t>(line_sink::burstLines));
    CHECK(logger.sink().suppressed() == 2000);
    logger.time().advance(1s);
    logger.log(1);
    CHECK(countOf(logger.read(), "event=log_suppressed lines=2000") == 1);
}

TEST_CASE("a line longer than a pipe takes at once is cut", "[log]")
{
    piped_logger logger;
    logger.log(1, 10'000);
    logger.log(1);
    const auto text = logger.read();
    CHECK(countOf(text, "\n") == 2);
    CHECK(text.size() < 5000);
}
