#include "figcleat/request/fair-queue.h"

#include <catch2/catch.hpp>
#include <random>

using namespace figcleat;
using namespace figcleat::request;
using namespace std::chrono_literals;

namespace
{

struct fixture
{
    explicit fixture(std::size_t bound = 4096)
        : subject({ bound })
    {
    }
    std::vector<queue_action> add(const std::string &workspace, std::uint32_t weight = 1, duration within = 1h,
                                  double cost = 1)
    {
        ++lastId;
        owner[{ lastId }] = workspace;
        return subject.step(enqueue { { { lastId }, { workspace }, weight, cost, now + within, {} } }, now);
    }
    std::string serveOne()
    {
        const auto *front = subject.front();
        const auto actions = subject.step(serve {}, now);
        if (actions.empty()) {
            return "";
        }
        const auto id = std::get<release>(actions.front()).id;
        CHECK(front != nullptr);
        return owner.at(id);
    }
    std::map<std::string, int> serveMany(int times)
    {
        std::map<std::string, int> counts;
        for (int i = 0; i < times; ++i) {
            ++counts[serveOne()];
        }
        return counts;
    }

    fair_queue subject;
    std::map<exchange_id, std::string> owner;
    std::uint64_t lastId = 0;
    time_point now { 1h };
};

} // namespace

// Guards against a large workspace that starves the small ones.
TEST_CASE("service is shared by weight", "[fair-queue]")
{
    fixture f;
    for (int i = 0; i < 1000; ++i) {
        f.add("large", 3);
    }
    CHECK(f.serveMany(100).at("large") == 100);
    for (int i = 0; i < 20; ++i) {
        f.add("small", 1);
    }
    const auto counts = f.serveMany(40);
    CHECK(counts.at("small") >= 9);
    CHECK(counts.at("small") <= 11);
}

// Guards against a workspace that gets more than its share by sending few, but costly requests.
TEST_CASE("shares are counted in cost", "[fair-queue]")
{
    fixture f;
    for (int i = 0; i < 100; ++i) {
        f.add("costly", 1, 1h, 10);
        f.add("cheap", 1, 1h, 1);
    }
    const auto counts = f.serveMany(55);
    CHECK(counts.at("costly") <= 6);
}

// Guards against a workspace that saves up a claim on the service while it sends nothing.
TEST_CASE("an idle workspace does not save up its share", "[fair-queue]")
{
    fixture f;
    for (int i = 0; i < 200; ++i) {
        f.add("a");
    }
    f.serveMany(100);
    for (int i = 0; i < 100; ++i) {
        f.add("b");
    }
    CHECK(f.serveMany(20).at("a") >= 9);
}

// Guards against a workspace that is charged for requests that were never served.
TEST_CASE("withdrawn requests are not charged", "[fair-queue]")
{
    fixture f;
    for (int i = 0; i < 100; ++i) {
        f.add("patient");
    }
    for (int i = 0; i < 50; ++i) {
        f.add("hasty");
        f.subject.step(withdraw { { f.lastId } }, f.now);
    }
    f.add("hasty");
    CHECK(f.serveMany(2).contains("hasty"));
}

// Guards against a queue without bound, and against a large workspace that keeps the small ones out of it.
TEST_CASE("the queue is bounded and the largest gives way", "[fair-queue]")
{
    fixture f(10);
    for (int i = 0; i < 10; ++i) {
        CHECK(f.add("large").empty());
    }
    const auto own = f.add("large");
    CHECK(std::get<turn_away>(own.front()).id == exchange_id { f.lastId });
    CHECK(std::get<turn_away>(own.front()).code == result_code::queue_full);
    for (int i = 0; i < 5; ++i) {
        const auto other = f.add("small");
        CHECK(f.owner.at(std::get<turn_away>(other.front()).id) == "large");
        CHECK(f.subject.size() == 10);
    }
    const auto even = f.add("small");
    CHECK(std::get<turn_away>(even.front()).id == exchange_id { f.lastId });
}

// Guards against requests that wait although they cannot be answered in time.
TEST_CASE("a request that would wait past its deadline is turned away at once", "[fair-queue]")
{
    fixture f;
    for (int i = 0; i < 300; ++i) {
        f.add("large");
    }
    for (int i = 0; i < 200; ++i) {
        f.now += 10ms;
        f.serveOne();
    }
    CHECK(std::get<turn_away>(f.add("large", 1, 500ms).front()).code == result_code::deadline_too_near);
    CHECK(f.add("large", 1, 2s).empty());
    // Its own queue is empty, so that its share comes up at once.
    CHECK(f.add("small", 1, 500ms).empty());
    f.now += 600ms;
    const auto late = f.subject.step(queue_tick {}, f.now);
    REQUIRE(late.size() == 1);
    CHECK(f.owner.at(std::get<turn_away>(late.front()).id) == "small");
}

// Guards against an estimate that stays high after a stall and turns everything away for good.
TEST_CASE("a stall is noticed and forgotten", "[fair-queue]")
{
    fixture f;
    f.add("a");
    f.now += 10s;
    CHECK_FALSE(f.add("a", 1, 5s).empty());
    f.serveOne();
    CHECK(f.add("a", 1, 5s).empty());
}

// Guards against a request that is lost or released twice under any order of events.
TEST_CASE("every request leaves the queue once", "[fair-queue]")
{
    const auto seed = GENERATE(range(1, 21));
    INFO("seed " << seed);
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    fixture f(30);
    std::map<exchange_id, int> left;
    const auto note = [&](const std::vector<queue_action> &actions) {
        for (const auto &action : actions) {
            std::visit([&](const auto &which) { ++left[which.id]; }, action);
        }
    };
    for (int i = 0; i < 2000; ++i) {
        f.now += 1ms * (random() % 20);
        const auto kind = random() % 10;
        if (kind < 5) {
            note(f.add("w" + std::to_string(random() % 4), 1 + random() % 3, 1ms * (random() % 2000)));
        } else if (kind < 8) {
            note(f.subject.step(serve {}, f.now));
        } else if (kind < 9) {
            note(f.subject.step(queue_tick {}, f.now));
        } else {
            const exchange_id id { 1 + random() % (f.lastId + 1) };
            const auto before = f.subject.size();
            f.subject.step(withdraw { id }, f.now);
            left[id] += static_cast<int>(before - f.subject.size());
        }
        REQUIRE(f.subject.size() <= 30);
    }
    while (f.subject.front() != nullptr) {
        note(f.subject.step(serve {}, f.now));
    }
    for (std::uint64_t id = 1; id <= f.lastId; ++id) {
        REQUIRE(left[{ id }] == 1);
    }
}
