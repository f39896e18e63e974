#include "figcleat/http/connection-budget.h"

#include <catch2/catch.hpp>

using namespace figcleat;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t megabyte = 1'000'000;
constexpr std::size_t limit = 20 * megabyte;
constexpr time_point start { 10s };

} // namespace

TEST_CASE("connections that send slowly are closed before one that has just sent as much", "[http]")
{
    // Load: 19 clients that never finish 1 MB each, and an upload of an ordinary client beside them.
    connection_budget budget(limit);
    for (std::uint64_t slow = 1; slow <= 19; ++slow) {
        budget.update(slow, { .receiving = megabyte }, start);
    }
    constexpr std::uint64_t ordinary = 100;
    budget.update(ordinary, { .receiving = 1000 }, start + 2s);
    CHECK_FALSE(budget.excess(start + 2s).has_value());
    budget.update(ordinary, { .receiving = 2 * megabyte }, start + 2s + 100ms);
    const auto closed = budget.excess(start + 2s + 100ms);
    REQUIRE(closed.has_value());
    CHECK(*closed != ordinary);
    budget.remove(*closed);
    CHECK_FALSE(budget.excess(start + 2s + 100ms).has_value());
}

TEST_CASE("a request in progress is never chosen to be closed", "[http]")
{
    connection_budget budget(limit);
    budget.update(1, { .inProgress = 2 * limit }, start);
    CHECK(budget.isExceeded());
    CHECK_FALSE(budget.excess(start + 60s).has_value());
    budget.update(2, { .inProgress = megabyte, .unsent = 1 }, start);
    CHECK(budget.excess(start + 60s) == std::optional<std::uint64_t>(2));
}

TEST_CASE("large requests leave room for small ones", "[http]")
{
    // Guards against uploads at a target that reads nothing, which would keep all other callers out.
    connection_budget budget(limit);
    std::uint64_t accepted = 0;
    while (budget.mayAccept(500, megabyte)) {
        budget.update(++accepted, { .inProgress = connection_budget::progressBytes(500, megabyte) }, start);
    }
    CHECK(accepted == 7);
    CHECK(budget.mayAccept(500, 10'000));
    budget.remove(1);
    CHECK(budget.mayAccept(500, megabyte));
}

TEST_CASE("the total follows what connections hold", "[http]")
{
    connection_budget budget(limit);
    budget.update(1, { 100, 200, 300 }, start);
    budget.update(2, { 1, 2, 3 }, start);
    budget.update(1, { 10, 20, 30 }, start);
    CHECK(budget.totalBytes() == 66);
    budget.remove(1);
    budget.remove(7);
    CHECK(budget.totalBytes() == 6);
    budget.remove(2);
    CHECK(budget.totalBytes() == 0);
}
