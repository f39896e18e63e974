#include "pipeline-harness.h"

#include <catch2/catch.hpp>

using namespace figcleat;
using namespace figcleat::path_harness;

namespace
{

constexpr std::uint64_t firstSeed = 1;

/** True if some run without the mechanism shows a violation of this kind. */
bool isFound(const switched_off &off, violation_kind kind, std::uint64_t runs)
{
    for (std::uint64_t seed = firstSeed; seed < firstSeed + runs; ++seed) {
        const auto result = random_run(seed, off).run();
        const bool found = std::ranges::any_of(result.violations, [kind](const auto &one) { return one.kind == kind; });
        if (found) {
            return true;
        }
    }
    return false;
}

constexpr std::uint64_t manyRuns = 60;

/** Violations in a run in which no target reaches an entry for 1.8 s, while long answers are under way. */
std::ptrdiff_t countAfterSilence(const switched_off &off, violation_kind kind)
{
    world_settings chosen;
    chosen.off = off;
    chosen.wordsDependOnRun = true;
    chosen.pieceGap = milliseconds(200);
    world all(chosen);
    all.runFor(milliseconds(600));
    const auto setSilent = [&all](bool silent) {
        for (const auto &target : all.targets) {
            all.silence(target.address, all.entries[0].address, silent);
        }
    };
    for (int i = 0; i < 12; ++i) {
        all.send(0, 0, seconds(20));
    }
    setSilent(true);
    all.runFor(milliseconds(1800));
    setSilent(false);
    all.runFor(seconds(25));
    CHECK(all.counts.whole > 0);
    return std::ranges::count(all.violations, kind, &violation::kind);
}

} // namespace

// Guards against any mix of faults that breaks a guarantee of the request path; seeds 1 to 40.
TEST_CASE("random faults break no guarantee of the request path", "[path]")
{
    std::uint64_t whole = 0;
    std::uint64_t resent = 0;
    for (std::uint64_t seed = firstSeed; seed < firstSeed + 40; ++seed) {
        const auto result = random_run(seed, {}).run();
        for (const auto &one : result.violations) {
            FAIL_CHECK("violation " << static_cast<int>(one.kind) << ", " << one.detail);
        }
        whole += result.counts.whole;
        resent += result.counts.resent;
    }
    CHECK(whole > 0);
    CHECK(resent > 0);
}

// Guards against checks that pass because they look at nothing: each finds the fault that it is there for.
TEST_CASE("the harness finds what a missing mechanism causes", "[path]")
{
    switched_off off;
    SECTION("a dispatch before its claim is granted")
    {
        off.claimBeforeDispatch = true;
        CHECK(isFound(off, violation_kind::executed_twice, manyRuns));
    }
    SECTION("a verdict that says not run for a lost dispatch")
    {
        off.verdict = true;
        CHECK(isFound(off, violation_kind::ran_after_not_run, manyRuns));
    }
    SECTION("a stream that ignores the attempt")
    {
        // The earlier attempt has to go on for its pieces to arrive, so its cancel is dropped as well.
        off.cancelOfAttempts = true;
        CHECK(countAfterSilence(off, violation_kind::answer_not_whole) == 0);
        off.attemptOfPieces = true;
        CHECK(countAfterSilence(off, violation_kind::answer_not_whole) > 0);
    }
    SECTION("a gate that runs what it should refuse")
    {
        off.limitAtGate = true;
        CHECK(isFound(off, violation_kind::above_limit, manyRuns));
    }
    SECTION("an entry that ignores a data centre that is out")
    {
        off.dataCentreOut = true;
        CHECK(isFound(off, violation_kind::data_centre_out, manyRuns));
    }
    SECTION("a target that leaves without its gate")
    {
        off.drainAtGate = true;
        CHECK(isFound(off, violation_kind::draining, manyRuns));
    }
    SECTION("an entry that stops at once")
    {
        off.drainWaits = true;
        CHECK(isFound(off, violation_kind::cut_off, manyRuns));
    }
    SECTION("a held claim that nobody resolves")
    {
        off.heldClaims = true;
        CHECK(isFound(off, violation_kind::key_stuck, manyRuns));
    }
    SECTION("no deadlines")
    {
        off.deadlines = true;
        CHECK(isFound(off, violation_kind::late_end, manyRuns));
    }
    SECTION("no deadlines, seen as a leak")
    {
        off.deadlines = true;
        CHECK(isFound(off, violation_kind::leak, manyRuns));
    }
}
