#include "figcleat/request/retry-budget.h"

#include <catch2/catch.hpp>
#include <set>

using namespace figcleat;
using namespace figcleat::request;
using namespace std::chrono_literals;

// Guards against retries that multiply the load on targets that are already overloaded.
TEST_CASE("retries stay within a share of first attempts", "[retry]")
{
    retry_budget budget;
    time_point now { 1h };
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        now += 1ms;
        budget.firstAttempt(now);
        for (int tries = 0; tries < 3; ++tries) {
            retries += budget.takeRetry(now) ? 1 : 0;
        }
    }
    CHECK(retries >= 190);
    CHECK(retries <= 200);
}

// Guards against a quiet entry that may not retry, and against a budget that is saved up over a quiet time.
TEST_CASE("the budget has a minimum and forgets", "[retry]")
{
    retry_budget budget;
    time_point now { 1h };
    const auto takeAll = [&] {
        int taken = 0;
        while (budget.takeRetry(now)) {
            ++taken;
        }
        return taken;
    };
    CHECK(takeAll() == 3);
    for (int i = 0; i < 100; ++i) {
        budget.firstAttempt(now);
    }
    CHECK(takeAll() == 17);
    now += 9s;
    CHECK(takeAll() == 0);
    now += 1500ms;
    CHECK(takeAll() == 3);
}

// Guards against retries of many requests that arrive at the same moment.
TEST_CASE("the backoff grows, is bounded and is spread", "[retry]")
{
    retry_backoff backoff(1);
    retry_backoff same(1);
    duration longest {};
    for (std::uint32_t retry = 0; retry < 100; ++retry) {
        std::set<duration> waits;
        for (int i = 0; i < 50; ++i) {
            const auto wait = backoff.next(retry);
            CHECK(wait == same.next(retry));
            CHECK(wait <= std::min<duration>(500ms, 5ms * (1 << std::min(retry, 10U))));
            waits.insert(wait);
            longest = std::max(longest, wait);
        }
        CHECK(waits.size() > 40);
    }
    CHECK(longest > 400ms);
}
