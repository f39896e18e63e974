#include "figcleat/group/choice-watch.h"

#include <catch2/catch.hpp>
#include <numeric>
#include <random>

using namespace figcleat::group;

namespace
{

constexpr std::size_t sets = 4;
constexpr std::size_t experts = 32;

/** Random choices of one reading, `count` per set; `topic` determines which experts are popular. */
expert_lists choices(std::mt19937_64 &random, std::size_t topic, int count)
{
    std::vector<double> weights(experts);
    for (std::size_t i = 0; i < experts; ++i) {
        weights[(i * 7 + topic * 11) % experts] = 1.0 / static_cast<double>(i + 1);
    }
    std::discrete_distribution<std::size_t> draw(weights.begin(), weights.end());
    expert_lists chosen(sets, std::vector<std::uint32_t>(experts, 0));
    for (auto &set : chosen) {
        for (int i = 0; i < count; ++i) {
            ++set[draw(random)];
        }
    }
    return chosen;
}

} // namespace

TEST_CASE("a rank reports a shift of demand with its next reading", "[group]")
{
    // Guards against reporting a shift only with the next periodic report.
    std::mt19937_64 random(3);
    choice_watch watch;
    CHECK_FALSE(watch.add(choices(random, 0, 500)));
    static_cast<void>(watch.take());
    CHECK_FALSE(watch.add(choices(random, 0, 500)));
    CHECK(watch.add(choices(random, 1, 500)));
    // Choices from before the shift show the old demand, so they are not reported.
    const auto reported = watch.take();
    CHECK(std::accumulate(reported.front().begin(), reported.front().end(), 0U) == 500);
    // The first reading after the shift may mix choices of both demands.
    CHECK(watch.add(choices(random, 1, 500)));
    static_cast<void>(watch.take());
    CHECK_FALSE(watch.add(choices(random, 1, 500)));
}

TEST_CASE("random variation is not taken for a shift of demand", "[group]")
{
    // Guards against reporting with every reading while a rank has few requests.
    std::mt19937_64 random(4);
    for (const int count : { 10, 50, 500 }) {
        INFO("choices in each set: " << count);
        choice_watch watch;
        static_cast<void>(watch.add(choices(random, 0, count)));
        static_cast<void>(watch.take());
        int shifts = 0;
        for (int i = 0; i < 100; ++i) {
            shifts += watch.add(choices(random, 0, count)) ? 1 : 0;
        }
        CHECK(shifts == 0);
    }
}

TEST_CASE("a report contains the choices of all readings since the last report", "[group]")
{
    choice_watch watch;
    static_cast<void>(watch.add({ { 1, 0 } }));
    static_cast<void>(watch.add({ { 2, 3 } }));
    CHECK(watch.take() == expert_lists { { 3, 3 } });
    static_cast<void>(watch.add({ { 5, 5 } }));
    CHECK(watch.take() == expert_lists { { 5, 5 } });
}
