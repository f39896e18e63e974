#include "figcleat/core/log.h"
#include "raft-harness.h"

#include <catch2/catch.hpp>

using namespace figcleat;
using namespace figcleat::consensus;
using namespace figcleat::consensus::harness;

namespace
{

/** Keeps the expected faults out of the test's output. */
struct quiet_log
{
    quiet_log()
    {
        set(spdlog::level::off);
    }
    ~quiet_log()
    {
        set(spdlog::level::warn);
    }
    static void set(spdlog::level::level_enum level)
    {
        logFor(part::consensus)->set_level(level);
        logFor(part::invariant)->set_level(level);
    }
};

run_options optionsFor(std::uint64_t seed, sabotage without)
{
    run_options options;
    options.seed = seed;
    options.voters = seed % 2 == 0 ? 3 : 5;
    options.without = without;
    return options;
}

/** First violation in a number of runs whose text starts with `expected`. */
bool finds(sabotage without, const std::string &expected)
{
    const quiet_log quiet;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        if (simulation(optionsFor(seed, without)).run().violation.starts_with(expected)) {
            return true;
        }
    }
    return false;
}

} // namespace

// Guards against a lost or changed committed entry, a stale read, two leaders of a term and a log that stays stuck,
// under every fault of the harness.
TEST_CASE("random faults break no promise of the log", "[raft]")
{
    const quiet_log quiet;
    run_report all;
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        const auto report = simulation(optionsFor(seed, sabotage::none)).run();
        INFO("seed " << seed << ": " << report.violation);
        REQUIRE(report.violation.empty());
        all.add(report);
    }
    for (const auto count : { all.late, all.lost, all.duplicated, all.reordered, all.cuts, all.isolations, all.freezes,
                              all.killsBeforeSync, all.tornWrites, all.replacements, all.fullDisks,
                              all.snapshotsInstalled, all.acknowledged, all.reads }) {
        CHECK(count > 0);
    }
}

// Guards against a harness that would not notice a vote or an acknowledgement before the sync.
TEST_CASE("an acknowledgement before the sync is found", "[raft]")
{
    CHECK(finds(sabotage::sync_reported_early, "a leader lacks acknowledged entry"));
}

// Guards against a harness that would not notice a lost folder that votes under its old identity.
TEST_CASE("a lost folder that keeps its identity is found", "[raft]")
{
    CHECK(finds(sabotage::lost_disk_keeps_identity, "a leader lacks acknowledged entry"));
}

// Guards against a harness that would not notice a deposed leader that answers reads.
TEST_CASE("a read without a round is found", "[raft]")
{
    CHECK(finds(sabotage::read_round_skipped, "a read misses an acknowledged write"));
}
