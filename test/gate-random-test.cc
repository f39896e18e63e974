#include "request-harness.h"

#include <catch2/catch.hpp>

using namespace figcleat;
using namespace figcleat::harness;

namespace
{

totals runSeed(std::uint64_t seed, const switches &off)
{
    scenario plan;
    plan.seed = seed;
    plan.off = off;
    return runOnce(plan);
}

/** True if one of the seeds shows this violation. */
bool finds(const switches &off, std::uint64_t totals::*violation)
{
    constexpr std::uint64_t seeds = 200;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        if (runSeed(seed, off).*violation > 0) {
            return true;
        }
    }
    return false;
}

} // namespace

// Guards against a broken guarantee under any mix of faults of links, entries, targets and engines.
TEST_CASE("guarantees hold under random faults", "[gate][random]")
{
    totals sum;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        sum.add(runSeed(seed, {}));
    }
    CHECK(sum.executions > 1000);
    CHECK(sum.claimedKeysRun > 300);
    CHECK(sum.keysRunTwice == 0);
    CHECK(sum.notRunButRan == 0);
    CHECK(sum.overLimit == 0);
    CHECK(sum.coldOverLimit == 0);
    CHECK(sum.wrongAnswers == 0);
    CHECK(sum.withoutOutcome == 0);
    CHECK(sum.invariants == 0);
}

// Guards against a randomised run that cannot find the violations that it is there for.
TEST_CASE("random faults find each missing mechanism", "[gate][random]")
{
    SECTION("unproven slots are reused")
    {
        CHECK(finds({ .reuseUnprovenSlots = true }, &totals::overLimit));
    }
    SECTION("attempts are forgotten")
    {
        CHECK(finds({ .forgetAttempts = true }, &totals::keysRunTwice));
    }
    SECTION("refusals are forgotten")
    {
        CHECK(finds({ .forgetRefusals = true }, &totals::notRunButRan));
    }
    SECTION("a close does not bar")
    {
        CHECK(finds({ .closeWithoutBar = true }, &totals::keysRunTwice));
    }
    SECTION("incarnations are ignored")
    {
        CHECK(finds({ .ignoreIncarnation = true }, &totals::keysRunTwice));
    }
    SECTION("a refusal by another incarnation is trusted")
    {
        CHECK(finds({ .trustAnyRefusal = true }, &totals::notRunButRan));
    }
    SECTION("a restart of the engine frees all slots")
    {
        CHECK(finds({ .restartFreesAllSlots = true }, &totals::overLimit));
    }
    SECTION("slowness is ignored")
    {
        CHECK(finds({ .ignoreSlowness = true }, &totals::coldOverLimit));
    }
}
