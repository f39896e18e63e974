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
