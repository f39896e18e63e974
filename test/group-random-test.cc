#include "group-harness.h"

#include <catch2/catch.hpp>

using namespace figcleat;
using namespace figcleat::group;

namespace
{

harness::run_result runSeed(std::uint64_t seed, harness::protocol kind)
{
    harness::run_settings settings;
    settings.seed = seed;
    settings.ranks = static_cast<rank_number>(2 + seed % 5);
    settings.kind = kind;
    return harness::group_run(settings).run();
}

} // namespace

// Guards against ranks that use different maps in one step under any mix of faults, and against a group that makes no
// progress after the faults have ended.
TEST_CASE("all ranks use the same map in every step under random faults", "[group]")
{
    std::uint64_t completed = 0;
    std::uint64_t abandoned = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        INFO("seed " << seed);
        const auto result = runSeed(seed, harness::protocol::two_phase);
        CHECK(result.violation.empty());
        CHECK(result.recovered);
        completed += result.completed;
        abandoned += result.abandoned;
    }
    CHECK(completed > 0);
    CHECK(abandoned > 0);
}

// Guards against random runs whose faults are too mild to reveal an error: a controller that only broadcasts the map,
// without a two-phase switch, has to be caught.
TEST_CASE("the random run catches a controller that broadcasts the map without a two-phase switch", "[group]")
{
    spdlog::level::level_enum before = logFor(part::invariant)->level();
    logFor(part::invariant)->set_level(spdlog::level::off);
    int caught = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        caught += runSeed(seed, harness::protocol::broadcast).violation.empty() ? 0 : 1;
    }
    logFor(part::invariant)->set_level(before);
    CHECK(caught == 20);
}
