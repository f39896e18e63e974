#include "figcleat/forward/configuration-feed.h"

#include <catch2/catch.hpp>
#include <set>
#include <vector>

using namespace figcleat;
using namespace figcleat::forward;
using namespace std::chrono_literals;

namespace
{

constexpr auto pollPeriod = 400ms;

/** Fronts and coordinators over some data centres; copies are counted. */
struct fleet
{
    std::size_t fronts;
    std::size_t coordinators;
    std::size_t dataCentres;
    std::set<std::size_t> lost {};
    std::vector<std::vector<configuration_feed>> feeds { coordinators, std::vector<configuration_feed>(fronts) };
    std::vector<revision_number> has = std::vector<revision_number>(fronts);
    revision_number newest {};
    time_point now { 10s };
    std::size_t copies = 0;
    std::size_t copiesBetween = 0;

    void send(std::size_t coordinator, std::size_t front)
    {
        const bool isNear = coordinator % dataCentres == front % dataCentres;
        if (!lost.contains(coordinator) && feeds[coordinator][front].takeDue(isNear, newest, now)) {
            has[front] = newest;
            ++copies;
            copiesBetween += isNear ? 0 : 1;
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
    void forEachPair(F what)
    {
        for (std::size_t coordinator = 0; coordinator < coordinators; ++coordinator) {
            for (std::size_t front = 0; front < fronts; ++front) {
                what(coordinator, front);
            }
        }
    }
};

} // namespace

TEST_CASE("a configuration does not cross between data centres for each front", "[configuration-feed][size]")
{
    // Guards against 0.6 MB from each of six coordinators to each of 40 fronts with every change: copies are counted.
    for (const std::size_t fronts : { 30, 90, 300 }) {
        fleet f { fronts, 6, 3 };
        f.run(2s);
        for (int i = 0; i < 20; ++i) {
            f.change();
            CHECK(f.isCurrent());
            f.run(300ms);
        }
        CHECK(f.copiesBetween == 0);
        CHECK(f.copies <= 20 * fronts * 2);
    }
}

TEST_CASE("a front whose own coordinators are lost gets the configuration from others", "[configuration-feed]")
{
    // Guards against a configuration that is not in force within 2 s, also while changes come in quick succession.
    fleet f { 30, 6, 3 };
    f.run(2s);
    f.lost = { 0, 3 };
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
