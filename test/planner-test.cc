#include "figcleat/group/planner.h"
#include "figcleat/group/popularity.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <numeric>
#include <random>

using namespace figcleat;
using namespace figcleat::group;

namespace
{

layer_load randomLoad(std::mt19937_64 &rng, std::size_t experts)
{
    std::lognormal_distribution<double> weight(3, 0.8);
    layer_load load;
    for (std::size_t expert = 0; expert < experts; ++expert) {
        load.tokensPerSecond.push_back(weight(rng));
    }
    return load;
}

double skewOf(const layer_load &load, const layer_map &map, const plan_limits &limits, rank_number ranks)
{
    const auto loads = rankLoads(load, map, limits, ranks);
    return *std::max_element(loads.begin(), loads.end()) * ranks / std::accumulate(loads.begin(), loads.end(), 0.0);
}

plan_limits limitsOf(std::size_t slots)
{
    plan_limits limits;
    limits.slotsPerRank = slots;
    return limits;
}

load_window windowOf(std::uint64_t window, std::vector<std::uint32_t> tokens)
{
    return { 0, window, std::move(tokens) };
}

} // namespace

// Guards against plans that exceed the slots or the byte budget, leave an expert without a replica, report a wrong
// number of replicas or increase the skew.
TEST_CASE("a plan respects all limits and does not increase the skew", "[group]")
{
    std::mt19937_64 rng(7);
    for (int round = 0; round < 60; ++round) {
        INFO("seed 7, round " << round);
        const auto ranks = static_cast<rank_number>(2 + rng() % 15);
        const std::size_t experts = ranks * (1 + rng() % 8);
        auto limits = limitsOf(experts / ranks + 1 + rng() % 2);
        limits.byteBudget = { static_cast<std::int64_t>(limits.bytesPerExpert.count * static_cast<int>(rng() % 60)) };
        expert_map map = evenlySpreadMap(ranks, experts, 2);
        for (int planCount = 0; planCount < 3; ++planCount) {
            const std::vector<layer_load> loads { randomLoad(rng, experts), randomLoad(rng, experts) };
            const auto result = plan(loads, map, limits);
            CHECK(result.bytes <= limits.byteBudget);
            if (result.layers.empty()) {
                continue;
            }
            const expert_map next { {}, ranks, result.layers };
            REQUIRE(validate(next, limits.slotsPerRank).has_value());
            const auto added = addedReplicasPerRank(map, next);
            CHECK(std::accumulate(added.begin(), added.end(), std::size_t { 0 }) == result.replicasLoaded);
            CHECK(result.gainSeconds > result.costSeconds);
            for (std::size_t layer = 0; layer < 2; ++layer) {
                CHECK(skewOf(loads[layer], next.layers[layer], limits, ranks)
                      <= skewOf(loads[layer], map.layers[layer], limits, ranks) + 1e-9);
            }
            map = next;
        }
    }
}

// Guards against oscillation between maps: a second plan for the same token rates must load almost nothing.
TEST_CASE("a second plan for an unchanged load makes almost no changes", "[group]")
{
    std::mt19937_64 rng(3);
    const std::vector<layer_load> loads { randomLoad(rng, 128) };
    auto limits = limitsOf(12);
    expert_map map = evenlySpreadMap(12, 128, 1);
    map.layers = plan(loads, map, limits).layers;
    REQUIRE_FALSE(map.layers.empty());
    CHECK(skewOf(loads[0], map.layers[0], limits, 12) < 1.05);
    // The remaining gains are near the smallest gain that the planner accepts, so at most two replicas may change.
    const auto second = plan(loads, map, limits);
    CHECK(second.replicasLoaded <= 2);
}

// Guards against loading weights when the loading costs more than the gain, or when drift ends the gain before the cost
// is recovered.
TEST_CASE("a plan weighs the gain against the loading time and the drift of popularity", "[group]")
{
    std::mt19937_64 rng(5);
    std::vector<layer_load> loads { randomLoad(rng, 128) };
    const expert_map map = evenlySpreadMap(12, 128, 1);
    auto limits = limitsOf(12);
    const auto baseline = plan(loads, map, limits);
    REQUIRE(baseline.replicasLoaded > 0);
    limits.storeBytesPerSecond = { 1'000'000 };
    CHECK(plan(loads, map, limits).replicasLoaded < baseline.replicasLoaded);
    limits.storeBytesPerSecond = { 1'000 };
    CHECK(plan(loads, map, limits).layers.empty());
    limits.storeBytesPerSecond = { 1'000'000 };
    loads[0].driftPerSecond = 1;
    CHECK(plan(loads, map, limits).layers.empty());
    // Counts of a few tokens are too noisy to justify a change.
    loads[0].driftPerSecond = 0;
    loads[0].sampledSeconds = 0.001;
    limits.storeBytesPerSecond = { 1'000'000'000 };
    CHECK(plan(loads, map, limits).layers.empty());
}

// Guards against new replicas on an excluded rank, which is to be emptied, and against giving a slow rank as many
// tokens as the others.
TEST_CASE("a plan shifts load from a slow rank and places nothing on an excluded one", "[group]")
{
    std::mt19937_64 rng(11);
    const std::vector<layer_load> loads { randomLoad(rng, 48) };
    const expert_map map = evenlySpreadMap(4, 48, 1);
    auto limits = limitsOf(14);
    limits.timePerToken = { 1, 2, 1, 1 };
    limits.excluded = { false, false, true, false };
    const auto result = plan(loads, map, limits);
    REQUIRE_FALSE(result.layers.empty());
    const expert_map next { {}, 4, result.layers };
    CHECK(addedReplicasPerRank(map, next)[2] == 0);
    CHECK(skewOf(loads[0], next.layers[0], limits, 4) < skewOf(loads[0], map.layers[0], limits, 4));
}

// Guards against weighting counts by their arrival time, counting a window twice, and treating missing windows as zero
// tokens.
TEST_CASE("late, missing and repeated counts do not distort the popularity estimate", "[group]")
{
    popularity_settings settings;
    settings.experts = 2;
    popularity_estimator inOrder(settings);
    popularity_estimator outOfOrder(settings);
    const auto tokens = [](std::uint64_t window) {
        return std::vector<std::uint32_t> { static_cast<std::uint32_t>(3000 + 20 * window), 1000 };
    };
    // Windows 4, 5, 7 and 9 are missing in both sequences; the second estimator gets the other windows out of order.
    for (const std::uint64_t window : { 1, 2, 3, 6, 8, 10 }) {
        CHECK(inOrder.observe(windowOf(window, tokens(window))) == result_code::ok);
    }
    for (const std::uint64_t window : { 1, 3, 2, 6, 10, 8 }) {
        CHECK(outOfOrder.observe(windowOf(window, tokens(window))) == result_code::ok);
    }
    CHECK(outOfOrder.observe(windowOf(8, { 3000, 1000 })) == result_code::map_stale);
    CHECK(outOfOrder.observe(windowOf(11, { 1 })) == result_code::message_malformed);
    const auto a = inOrder.estimate()[0].tokensPerSecond;
    const auto b = outOfOrder.estimate()[0].tokensPerSecond;
    CHECK(a[0] > 3020.0 / 60);
    CHECK(a[0] < 3200.0 / 60);
    CHECK(b[0] == Approx(a[0]).epsilon(1e-9));
    CHECK(b[1] == Approx(a[1]).epsilon(1e-9));
}

// Guards against an estimate that still includes the counts from before a jump, and against a single outlier window
// that discards the history.
TEST_CASE("a jump is adopted after two windows and a single outlier window is not", "[group]")
{
    popularity_settings settings;
    settings.experts = 2;
    popularity_estimator estimator(settings);
    for (std::uint64_t window = 1; window <= 20; ++window) {
        (void)estimator.observe(windowOf(window, { 3000, 1000 }));
    }
    (void)estimator.observe(windowOf(21, { 1000, 3000 }));
    (void)estimator.observe(windowOf(22, { 3000, 1000 }));
    CHECK(estimator.jumpCount() == 0);
    (void)estimator.observe(windowOf(23, { 500, 9000 }));
    (void)estimator.observe(windowOf(24, { 500, 9000 }));
    CHECK(estimator.jumpCount() == 1);
    CHECK(estimator.estimate()[0].tokensPerSecond[0] == Approx(500.0 / 60));
}
