#include "figcleat/forward/pace-controller.h"

#include <catch2/catch.hpp>

using namespace figcleat;
using namespace figcleat::forward;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t slots = 12;
constexpr duration limit = 120ms;

/** Pauses of a group as the platform describes its engines: most of a step does not depend on the requests. */
duration pauseOf(double requests, double skew)
{
    return std::chrono::duration_cast<duration>(skew
                                                * (50ms + 5.0 * std::chrono::duration<double, std::milli>(requests)));
}

struct run_result
{
    double level = 0;
    double inTimeShare = 0;
};

/** Offers more than fits for 20 s; the second half counts. */
run_result offer(double skew)
{
    pace_controller pace;
    time_point now { 1s };
    std::size_t inTime = 0;
    std::size_t counted = 0;
    pace.tick(slots, 0, now);
    for (int i = 0; i < 200; ++i) {
        now += 100ms;
        const double requests = std::floor(pace.requestLimit());
        const auto pause = pauseOf(requests, skew);
        for (int stream = 0; stream < 20; ++stream) {
            pace.onPause(pause, limit, now);
        }
        if (i >= 100) {
            ++counted;
            inTime += pause <= limit ? 1 : 0;
        }
        pace.tick(slots, requests, now);
    }
    return { pace.requestLimit(), static_cast<double>(inTime) / static_cast<double>(counted) };
}

} // namespace

TEST_CASE("under overload the level settles where pauses are in time", "[forward]")
{
    const auto result = offer(1.4);
    CHECK(result.level < slots);
    CHECK(result.level >= 4);
    CHECK(result.inTimeShare > 0.9);
}

TEST_CASE("a fast group uses all its slots", "[forward]")
{
    CHECK(offer(0.7).level == slots);
}

TEST_CASE("where no level helps, all slots are used", "[forward]")
{
    // Guards against refusing callers for pauses that fewer requests would not shorten enough.
    CHECK(offer(4).level == slots);
}

TEST_CASE("one slow connection does not lower the level", "[forward]")
{
    pace_controller pace;
    time_point now { 1s };
    pace.tick(slots, 0, now);
    for (int i = 0; i < 20; ++i) {
        now += 200ms;
        for (int stream = 0; stream < 9; ++stream) {
            pace.onPause(50ms, limit, now);
        }
        pace.onPause(2s, limit, now);
        pace.tick(slots, slots, now);
    }
    CHECK(pace.requestLimit() == slots);
}

TEST_CASE("long pauses that end with the next map do not lower the level", "[forward]")
{
    // Guards against refusing callers for seconds after each shift of demand, while a new map is loaded.
    pace_controller pace;
    time_point now { 1s };
    pace.tick(slots, 0, now);
    for (int i = 0; i < 200; ++i) {
        now += 100ms;
        const bool isAfterShift = i % 31 < 15;
        for (int stream = 0; stream < 20; ++stream) {
            pace.onPause(isAfterShift ? 130ms : 70ms, limit, now);
        }
        pace.tick(slots, slots, now);
        CHECK(pace.requestLimit() == slots);
    }
}
