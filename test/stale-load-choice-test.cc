#include "figcleat/forward/stale-load-choice.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

using namespace figcleat::forward;

namespace
{

constexpr int draws = 20'000;

/** How many of `draws` requests each target gets, and at -1 how many none. */
std::map<int, int> drawMany(const std::vector<reported_load> &loads, const competing_requests &requests)
{
    std::mt19937_64 random(7);
    std::map<int, int> counts;
    for (int i = 0; i < draws; ++i) {
        const auto drawn = drawTarget(loads, requests, random);
        ++counts[drawn ? static_cast<int>(*drawn) : -1];
    }
    return counts;
}

} // namespace

TEST_CASE("a request that no other node competes with goes to the least loaded target", "[forward]")
{
    const auto counts = drawMany({ { 3, 10, 7 }, { 1, 10, 9 }, { 2.5, 10, 7 } }, {});
    CHECK(counts == std::map<int, int> { { 1, draws } });
}

TEST_CASE("requests that nodes send without seeing each other fill targets evenly", "[forward]")
{
    // Load: 460 requests a second at 41 nodes that see loads 100 ms late, 72 targets of 10 slots at 9 in the mean. The
    // least loaded target of the reports got all of them before.
    std::vector<reported_load> loads;
    double sum = 0;
    for (int i = 0; i < 72; ++i) {
        const double load = 8.0 + 2.0 * (i % 10) / 9.0;
        loads.push_back({ load, 10, 11 - load });
        sum += load;
    }
    constexpr double unseen = 46;
    const double level = (sum + unseen) / 72;
    for (const auto &[target, count] : drawMany(loads, { .equallyUrgent = unseen })) {
        REQUIRE(target >= 0);
        const double after = loads[static_cast<std::size_t>(target)].load + unseen * count / draws;
        CHECK(after < level + 0.5);
    }
}

TEST_CASE("a request waits with the probability that targets have too little room", "[forward]")
{
    const auto counts = drawMany({ { 10, 10, 1 }, { 9, 10, 2 }, { 11, 10, 0 } }, { .equallyUrgent = 6 });
    CHECK(counts.at(-1) == Approx(draws / 2).epsilon(0.05));
    CHECK(counts.at(0) == Approx(draws / 6).epsilon(0.1));
    CHECK(counts.at(1) == Approx(draws / 3).epsilon(0.05));
    CHECK(counts.count(2) == 0);
    CHECK(drawMany({ { 10, 10, -3 } }, {}).at(-1) == draws);
    CHECK(drawMany({}, {}).at(-1) == draws);
}

TEST_CASE("targets get requests by their capacity", "[forward]")
{
    const auto counts = drawMany({ { 0, 10, 100 }, { 0, 5, 100 } }, { .equallyUrgent = 15 });
    CHECK(counts.at(0) == Approx(2.0 * draws / 3).epsilon(0.05));
}

TEST_CASE("scarce room goes to urgent requests first, and some of it to all", "[forward]")
{
    // Load: a burst of the least urgent kind, 60 requests of three kinds for room of 30.
    constexpr double room = 30;
    const competing_requests urgent { .equallyUrgent = 20, .lessUrgent = 40 };
    const competing_requests middle { .moreUrgent = 20, .equallyUrgent = 8, .lessUrgent = 32 };
    const competing_requests last { .moreUrgent = 28, .equallyUrgent = 32 };
    CHECK(admissionProbability(urgent, room) == 1);
    CHECK(admissionProbability(middle, room) == 1);
    CHECK(admissionProbability(last, room) == Approx(leastUrgentShare * room / 60));
    CHECK(admissionProbability(last, 60) == 1);
    CHECK(admissionProbability(last, 0) == 0);
    CHECK(admissionProbability({ .moreUrgent = 1000, .equallyUrgent = 1 }, room) > 0);
}
