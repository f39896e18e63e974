#include "figcleat/group/straggler.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <random>

using namespace figcleat;
using namespace figcleat::group;

namespace
{

constexpr std::uint64_t seed = 17;

/**
 * Feeds windows of a simulated group to the detector. Each rank takes 5 ms plus 10 us for each token, with 3% noise;
 * one report in 20 is missing.
 */
struct simulated_group
{
    std::mt19937_64 rng { seed };
    straggler_detector detector;
    std::vector<double> loads;
    std::vector<straggler_action> actions;

    explicit simulated_group(const straggler_settings &settings)
        : detector(settings)
        , loads(settings.ranks, 1000)
    {
    }
    void run(int windows, const std::function<double(std::size_t rank, int window)> &slowness)
    {
        std::normal_distribution<double> noise(1, 0.03);
        for (int window = 0; window < windows; ++window) {
            work_window work;
            for (std::size_t rank = 0; rank < loads.size(); ++rank) {
                const double seconds = (0.005 + 1e-5 * loads[rank]) * slowness(rank, window) * noise(rng);
                work.ranks.push_back({ loads[rank], rng() % 20 == 0 ? 0 : seconds });
            }
            for (auto &action : detector.step(work, {})) {
                actions.push_back(action);
            }
        }
    }
    template<typename T>
    [[nodiscard]] std::size_t count() const
    {
        return static_cast<std::size_t>(std::count_if(
            actions.begin(), actions.end(), [](const auto &action) { return std::holds_alternative<T>(action); }));
    }
};

straggler_settings settingsFor(rank_number ranks, std::size_t spares)
{
    straggler_settings settings;
    settings.ranks = ranks;
    settings.spares = spares;
    return settings;
}

double slownessOfRank3(std::size_t rank, double slowness)
{
    return rank == 3 ? slowness : 1.0;
}

} // namespace

// Guards against classifying a rank with hot experts as slow, which would move load away from a healthy rank.
TEST_CASE("a rank with high load is not classified as slow", "[group]")
{
    simulated_group group(settingsFor(12, 1));
    for (std::size_t rank = 0; rank < 12; ++rank) {
        group.loads[rank] = 500 + 100 * static_cast<double>(rank);
    }
    group.loads[3] = 4000;
    group.run(200, [](std::size_t, int) { return 1.0; });
    CHECK(group.actions.empty());
}

// Guards against a slow rank that keeps its full share of load because it processes few tokens.
TEST_CASE("a slow rank is detected at any load", "[group]")
{
    for (const double load : { 300.0, 1000.0, 3000.0 }) {
        simulated_group group(settingsFor(12, 0));
        for (std::size_t rank = 0; rank < 12; ++rank) {
            group.loads[rank] = 500 + 100 * static_cast<double>(rank);
        }
        group.loads[3] = load;
        group.run(20, [](std::size_t rank, int) { return slownessOfRank3(rank, 1.4); });
        CHECK(group.detector.isSlow(3));
        CHECK(group.detector.timePerToken()[3] > 1.2);
        CHECK(group.count<shift_load>() <= 3);
        CHECK(group.count<replace_rank>() == 0);
    }
}

// Guards against a group that takes new work while one rank delays all others, and against a second replacement of the
// same rank, which would waste a spare.
TEST_CASE("a very slow rank is replaced once, and its replacement starts with a reduced load", "[group]")
{
    simulated_group group(settingsFor(12, 2));
    group.run(40, [](std::size_t rank, int) { return slownessOfRank3(rank, 4); });
    CHECK(group.count<replace_rank>() == 1);
    CHECK(group.count<stop_placement>() == 1);
    CHECK(group.count<resume_with_slow_start>() == 0);
    (void)group.detector.step(rank_replaced { 3 }, {});
    CHECK(group.detector.timePerToken()[3] == 2.0);
    group.run(40, [](std::size_t, int) { return 1.0; });
    CHECK(group.count<resume_with_slow_start>() == 1);
    CHECK(group.detector.timePerToken()[3] == 1.0);
    CHECK(group.count<replace_rank>() == 1);
}

// Guards against load that moves back and forth because a rank is slow intermittently.
TEST_CASE("an intermittently slow rank causes few load shifts", "[group]")
{
    simulated_group group(settingsFor(12, 0));
    group.run(2000,
              [](std::size_t rank, int window) { return slownessOfRank3(rank, window / 20 % 2 == 0 ? 1.5 : 1.0); });
    std::size_t rises = 0;
    double last = 1;
    for (const auto &action : group.actions) {
        const auto &shift = std::get<shift_load>(action);
        rises += last == 1 && shift.timePerToken > 1 ? 1 : 0;
        last = shift.timePerToken;
    }
    // There are 50 slow periods. If the required healthy time did not grow, each period would shift the load.
    CHECK(rises <= 5);
}

// Guards against a detector that never returns load to a rank that has recovered.
TEST_CASE("load returns to a recovered rank step by step", "[group]")
{
    simulated_group group(settingsFor(12, 0));
    group.run(20, [](std::size_t rank, int) { return slownessOfRank3(rank, 1.5); });
    REQUIRE(group.detector.isSlow(3));
    group.actions.clear();
    group.run(40, [](std::size_t, int) { return 1.0; });
    CHECK_FALSE(group.detector.isSlow(3));
    REQUIRE(group.actions.size() >= 3);
    CHECK(std::get<shift_load>(group.actions.front()).timePerToken == 2.0);
    CHECK(group.detector.timePerToken()[3] == 1.0);
}
