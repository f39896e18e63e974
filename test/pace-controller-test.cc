#include "figcleat/forward/pace-controller.h"

#include <catch2/catch.hpp>

using namespace figcleat;
using namespace figcleat::forward;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t slots = 12;
/** Longest pause that the route allows. */
constexpr duration pauseLimit = 120ms;

/**
 * Pause between two events of a stream according to the platform's description of its engines.
 *
 * Most of a step's time does not depend on the number of requests; `skew` scales the whole step.
 */
duration pauseFor(double requests, double skew)
{
    return std::chrono::duration_cast<duration>(skew
                                                * (50ms + 5.0 * std::chrono::duration<double, std::milli>(requests)));
}

struct run_result
{
    double requestLimit = 0;
    double inTimeShare = 0;
};

/** Simulates 20 s in which the targets are always at their request limit; evaluates the last 10 s. */
run_result simulateOverload(double skew)
{
    pace_controller pace;
    time_point now { 1s };
    std::size_t inTimeSteps = 0;
    std::size_t evaluatedSteps = 0;
    pace.tick(slots, 0, now);
    for (int i = 0; i < 200; ++i) {
        now += 100ms;
        const double requests = std::floor(pace.requestLimit());
        const auto pause = pauseFor(requests, skew);
        for (int stream = 0; stream < 20; ++stream) {
            pace.onPause(pause, pauseLimit, now);
        }
        if (i >= 100) {
            ++evaluatedSteps;
            inTimeSteps += pause <= pauseLimit ? 1 : 0;
        }
        pace.tick(slots, requests, now);
    }
    return { pace.requestLimit(), static_cast<double>(inTimeSteps) / static_cast<double>(evaluatedSteps) };
}

} // namespace

TEST_CASE("the request limit settles where pauses are in time under overload", "[forward]")
{
    const auto result = simulateOverload(1.4);
    CHECK(result.requestLimit < slots);
    CHECK(result.requestLimit >= 4);
    CHECK(result.inTimeShare > 0.9);
}

TEST_CASE("a fast group uses all its slots", "[forward]")
{
    CHECK(simulateOverload(0.7).requestLimit == slots);
}

TEST_CASE("all slots are used if no request limit makes the pauses short enough", "[forward]")
{
    // Guards against refusals because of pauses that a lower request limit would not shorten enough.
    CHECK(simulateOverload(4).requestLimit == slots);
}

TEST_CASE("one slow connection does not lower the request limit", "[forward]")
{
    pace_controller pace;
    time_point now { 1s };
    pace.tick(slots, 0, now);
    for (int i = 0; i < 20; ++i) {
        now += 200ms;
        for (int stream = 0; stream < 9; ++stream) {
            pace.onPause(50ms, pauseLimit, now);
        }
        pace.onPause(2s, pauseLimit, now);
        pace.tick(slots, slots, now);
    }
    CHECK(pace.requestLimit() == slots);
}

TEST_CASE("long pauses that end when the next expert map is loaded do not lower the request limit", "[forward]")
{
    // Guards against refusals for seconds after each shift of demand, until an expert map for the new demand is loaded.
    pace_controller pace;
    time_point now { 1s };
    pace.tick(slots, 0, now);
    for (int i = 0; i < 200; ++i) {
        now += 100ms;
        const bool isAfterShift = i % 31 < 15;
        for (int stream = 0; stream < 20; ++stream) {
            pace.onPause(isAfterShift ? 130ms : 70ms, pauseLimit, now);
        }
        pace.tick(slots, slots, now);
        CHECK(pace.requestLimit() == slots);
    }
}
