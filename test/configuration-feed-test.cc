#include "figcleat/forward/configuration-feed.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <set>
#include <vector>

using namespace figcleat;
using namespace figcleat::forward;
using namespace std::chrono_literals;

namespace
{

constexpr auto pollPeriod = 400ms;

/** Simulates fronts and coordinators in several data centres and counts the configurations sent. */
struct fleet
{
    std::size_t fronts;
    std::size_t coordinators;
    std::size_t dataCentres;
    std::set<std::size_t> lostCoordinators {};
    std::vector<std::vector<configuration_feed>> feeds { coordinators, std::vector<configuration_feed>(fronts) };
    std::vector<revision_number> has = std::vector<revision_number>(fronts);
    revision_number newest {};
    time_point now { 10s };
    std::size_t copies = 0;
    std::size_t copiesBetweenDataCentres = 0;

    void send(std::size_t coordinator, std::size_t front)
    {
        const bool isInOwnDataCentre = coordinator % dataCentres == front % dataCentres;
        if (!lostCoordinators.contains(coordinator)
            && feeds[coordinator][front].takeDue(isInOwnDataCentre, newest, now)) {
            has[front] = newest;
            ++copies;
            copiesBetweenDataCentres += isInOwnDataCentre ? 0 : 1;
        }
    }

    void change()
    {
        newest = newest.next();
        forEachPair([this](auto coordinator, auto front) { send(coordinator, front); });
    }

    void run(duration time)
    {
        for (const auto end = now + time; now < end; now += 50ms) {
            if ((now.time_since_epoch() % pollPeriod).count() == 0) {
                forEachPair([this](auto coordinator, auto front) {
                    feeds[coordinator][front].onPoll(has[front], newest, now);
                    send(coordinator, front);
                });
            }
        }
    }

    [[nodiscard]] bool isCurrent() const
    {
        return std::all_of(has.begin(), has.end(), [this](auto one) { return one == newest; });
    }

private:
    template<typename F>
    void forEachPair(F action)
    {
        for (std::size_t coordinator = 0; coordinator < coordinators; ++coordinator) {
            for (std::size_t front = 0; front < fronts; ++front) {
                action(coordinator, front);
            }
        }
    }
};

} // namespace

TEST_CASE("a configuration is not sent between data centres once per front", "[configuration-feed][size]")
{
    // Guards against each of six coordinators sending 0.6 MB to each of 40 fronts with every change.
    for (const std::size_t fronts : { 30, 90, 300 }) {
        fleet f { fronts, 6, 3 };
        f.run(2s);
        for (int i = 0; i < 20; ++i) {
            f.change();
            CHECK(f.isCurrent());
            f.run(300ms);
        }
        CHECK(f.copiesBetweenDataCentres == 0);
        CHECK(f.copies <= 20 * fronts * 2);
    }
}

TEST_CASE("a front without reachable local coordinators receives the configuration from others", "[configuration-feed]")
{
    // Guards against a configuration that takes more than 2 s to come into force, also during frequent changes.
    fleet f { 30, 6, 3 };
    f.run(2s);
    f.lostCoordinators = { 0, 3 };
    for (int i = 0; i < 10; ++i) {
        f.change();
        f.run(500ms);
    }
    const auto before = f.now;
    f.change();
    while (!f.isCurrent()) {
        f.run(50ms);
    }
    CHECK(f.now - before <= 2000ms - 500ms);
}

namespace
{

/** Simulates a coordinator that sends copies to the fronts of its data centre over one link. */
struct slow_link
{
    static constexpr std::size_t copyBytes = 600'000;
    static constexpr std::size_t bytesPerMs = 21'000;

    struct copy
    {
        std::size_t front = 0;
        revision_number revision;
        std::size_t bytesLeft = copyBytes;
    };

    std::vector<configuration_feed> feeds = std::vector<configuration_feed>(20);
    std::vector<revision_number> has = std::vector<revision_number>(20);
    std::deque<copy> queue {};
    revision_number newest {};
    time_point now { 10s };
    std::size_t longestQueue = 0;

    void send(std::size_t front)
    {
        if (feeds[front].takeDue(true, newest, now, copyBytes)) {
            queue.push_back({ front, newest });
            longestQueue = std::max(longestQueue, queue.size());
        }
    }

    void poll(std::size_t front)
    {
        feeds[front].onPoll(has[front], newest, now);
        send(front);
    }

    void change()
    {
        newest = newest.next();
        for (std::size_t front = 0; front < feeds.size(); ++front) {
            send(front);
        }
    }

    void run(duration time)
    {
        for (const auto end = now + time; now < end; now += 10ms) {
            for (std::size_t budget = 10 * bytesPerMs; budget > 0 && !queue.empty();) {
                auto &first = queue.front();
                const auto sent = std::min(budget, first.bytesLeft);
                first.bytesLeft -= sent;
                budget -= sent;
                if (first.bytesLeft == 0) {
                    const auto [front, revision, left] = first;
                    queue.pop_front();
                    has[front] = std::max(has[front], revision);
                    poll(front);
                }
            }
            for (std::size_t front = 0; front < feeds.size(); ++front) {
                if ((now.time_since_epoch() + front * 20ms) % pollPeriod == 0ms) {
                    poll(front);
                }
            }
        }
    }
};

} // namespace

TEST_CASE("configurations that follow each other do not pile up on a slow link", "[configuration-feed]")
{
    // Guards against an acknowledged configuration that is not in force after seconds: copies were repeated with each
    // poll while the first one still waited on the link of the coordinator, which kept the link full.
    slow_link link;
    link.run(1s);
    for (int i = 0; i < 40; ++i) {
        link.change();
        link.run(300ms);
    }
    CHECK(link.longestQueue <= link.feeds.size());
    link.change();
    link.run(1500ms);
    CHECK(std::all_of(link.has.begin(), link.has.end(), [&](auto one) { return one == link.newest; }));
}

TEST_CASE("a front that reads slowly skips configurations that were overtaken", "[configuration-feed]")
{
    // Guards against a front that falls behind during a series of small changes, as it reads each one in full.
    configuration_feed feed;
    time_point now { 10s };
    int sent = 0;
    for (std::uint64_t revision = 1; revision <= 20; ++revision) {
        sent += feed.takeDue(true, { revision }, now, 100) ? 1 : 0;
        now += 10ms;
    }
    CHECK(sent == 2);
    feed.onPoll({ 1 }, { 20 }, now);
    CHECK(feed.takeDue(true, { 20 }, now, 100));
    CHECK(feed.base() == revision_number { 20 });
}

TEST_CASE("a configuration that was lost on the way is sent again", "[configuration-feed]")
{
    configuration_feed feed;
    const time_point start { 10s };
    feed.onPoll({ 1 }, { 1 }, start);
    REQUIRE(feed.takeDue(true, { 2 }, start, 600'000));
    feed.onPoll({ 1 }, { 2 }, start + 400ms);
    CHECK_FALSE(feed.takeDue(true, { 2 }, start + 400ms, 600'000));
    feed.onPoll({ 1 }, { 2 }, start + 1s);
    CHECK(feed.takeDue(true, { 2 }, start + 1s, 600'000));
    // A front that has lost everything reports an earlier revision.
    feed.onPoll({ 0 }, { 2 }, start + 1100ms);
    CHECK(feed.takeDue(true, { 2 }, start + 1100ms, 600'000));
}
