#include "figcleat/forward/event-splitter.h"

#include "processor-time.h"

#include <catch2/catch.hpp>
#include <random>

using namespace figcleat;
using namespace figcleat::forward;

namespace
{

/** What a splitter gives for a stream in pieces of up to `most` bytes, and the id that it holds at the end. */
std::pair<std::string, std::string> split(const std::string &stream, std::size_t most, std::mt19937_64 &random)
{
    event_splitter splitter;
    std::string complete;
    std::uniform_int_distribution<std::size_t> sizes(1, most);
    for (std::size_t at = 0; at < stream.size();) {
        const std::string piece = stream.substr(at, sizes(random));
        at += piece.size();
        complete += splitter.push(piece);
        CHECK(complete.size() + splitter.partialBytes() == at);
    }
    return { complete, splitter.lastId() };
}

} // namespace

TEST_CASE("a stream is split into the same events in whatever pieces it arrives", "[forward]")
{
    // Guards against the end of an event that is missed where two pieces meet.
    const std::vector<std::string> lines { "id: 1\n", "id: 22\r\n",     "data: a\n", "data: b\r\n", "\n",
                                           "\r\n",    "event: x y z\n", "\r",        "\n\n",        "data: " };
    constexpr std::uint64_t seed = 57;
    constexpr int rounds = 500;
    constexpr std::size_t maxLines = 30;
    std::mt19937_64 random(seed);
    for (int round = 0; round < rounds; ++round) {
        std::string stream;
        for (std::size_t i = random() % maxLines; i > 0; --i) {
            stream += lines[random() % lines.size()];
        }
        INFO("seed " << seed << " round " << round);
        const auto whole = split(stream, 1, random);
        CHECK(split(stream, stream.size() + 1, random) == whole);
        CHECK(split(stream, 4, random) == whole);
    }
}

TEST_CASE("the time for an event grows with its bytes", "[forward]")
{
    // Guards against targets that send events without end in small pieces and keep a front from answering others.
    constexpr std::size_t pieces = 2000;
    constexpr std::size_t factor = 16;
    constexpr double mostGrowth = 4.0 * factor;
    const auto push = [](std::size_t count) {
        event_splitter splitter;
        for (std::size_t i = 0; i < count; ++i) {
            (void)splitter.push(i % 8 == 0 ? "data: piece\n" : "data: piece ");
        }
    };
    CHECK(processor_time::growth(push, pieces, factor) < mostGrowth);
}
