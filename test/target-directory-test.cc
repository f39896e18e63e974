#include "figcleat/forward/target-directory.h"

#include <catch2/catch.hpp>

using namespace figcleat;
using namespace figcleat::forward;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start { 100s };

registration makeRegistration(std::int64_t started, std::uint64_t sequence,
                              registration_state state = registration_state::ready)
{
    registration one;
    one.target = { "t1" };
    one.order = { started, sequence };
    one.state = state;
    one.service = { "desk" };
    one.address = "10.0.0.1:80";
    one.dataCentre = { "north" };
    return one;
}

registration_state stateOf(const target_directory &directory, const std::string &target = "t1")
{
    const auto *entry = directory.find({ target });
    REQUIRE(entry != nullptr);
    return entry->latest.state;
}

bool isUsed(const target_directory &directory, const std::string &target = "t1")
{
    const auto *entry = directory.find({ target });
    return entry != nullptr && entry->isUsable();
}

registration claimOf(const std::string &target, std::int64_t started, std::uint64_t sequence)
{
    auto one = makeRegistration(started, sequence);
    one.target = { target };
    return one;
}

/** The registration as `from` passes it on. */
registration relayed(const target_directory &from, time_point now, const std::string &target = "t1")
{
    const auto found = from.registrationsOf({ { target } }, now);
    REQUIRE(found.size() == 1);
    return found.front();
}

} // namespace

TEST_CASE("a late registration does not make a draining target ready again", "[forward]")
{
    target_directory directory;
    CHECK(directory.merge(makeRegistration(1, 1), start));
    CHECK(directory.merge(makeRegistration(1, 2, registration_state::draining), start));
    CHECK_FALSE(directory.merge(makeRegistration(1, 3), start));
    CHECK(stateOf(directory) == registration_state::draining);
}

TEST_CASE("a target that left is gone regardless of the order in which its calls arrive", "[forward]")
{
    // One coordinator received the leave call, the other a later registration.
    target_directory one;
    target_directory other;
    one.merge(makeRegistration(1, 1), start);
    CHECK(one.leave({ "t1" }, 1, start));
    other.merge(makeRegistration(1, 9), start);
    for (const auto &change : one.changesAfter(0, change_filter::changed, start)) {
        CHECK(other.merge(change, start));
    }
    CHECK(stateOf(other) == registration_state::gone);
    CHECK_FALSE(other.merge(makeRegistration(1, 10), start));
    CHECK(stateOf(other) == registration_state::gone);
}

TEST_CASE("a target that restarts under its id becomes ready again", "[forward]")
{
    target_directory directory;
    directory.merge(makeRegistration(1, 50), start);
    directory.leave({ "t1" }, 1, start);
    CHECK(directory.merge(makeRegistration(2, 1), start));
    CHECK(stateOf(directory) == registration_state::ready);
    CHECK_FALSE(directory.leave({ "t1" }, 1, start));
}

TEST_CASE("a late registration of an earlier target does not take the address", "[forward]")
{
    target_directory directory;
    directory.merge(claimOf("t2", 2, 1), start);
    // A registration of the earlier target, delayed by a network partition until after its sender crashed.
    CHECK_FALSE(directory.merge(makeRegistration(1, 7), start));
    directory.merge(claimOf("t2", 2, 2), start + 2s);
    CHECK_FALSE(directory.merge(makeRegistration(1, 7), start + 4s));
    CHECK_FALSE(isUsed(directory));
    CHECK(isUsed(directory, "t2"));
}

TEST_CASE("a target that another one replaced at its address is superseded", "[forward]")
{
    // Guards against requests that go to a crashed target until it counts as silent.
    target_directory directory;
    directory.merge(makeRegistration(1, 7), start);
    directory.merge(claimOf("t2", 2, 1), start + 2s);
    CHECK(isUsed(directory, "t2"));
    CHECK(directory.merge(claimOf("t2", 2, 2), start + 3200ms));
    CHECK_FALSE(isUsed(directory));
    CHECK(directory.find({ "t1" })->latest.presence == registration_presence::superseded);
    CHECK(directory.find({ "t1" })->latest.reporter == "t2");
}

TEST_CASE("a claim of another writer never ends a target that goes on registering", "[forward]")
{
    // Guards against the loss of every target after one registration each with a foreign id, the target's address and
    // any start or state.
    const auto foreignStart = GENERATE(std::int64_t { 0 }, 1, 5, 9);
    const auto state = GENERATE(registration_state::ready, registration_state::draining, registration_state::gone);
    const bool goesOn = GENERATE(true, false);
    target_directory directory;
    auto foreign = claimOf("legacy-1", foreignStart, 1);
    foreign.state = state;
    foreign.service = { "legacy-desk" };
    std::uint64_t sequence = 0;
    for (time_point now = start; now < start + 40s; now += 1200ms) {
        directory.merge(makeRegistration(5, ++sequence), now);
        if (now >= start + 5s && (goesOn || foreign.order.sequence == 1)) {
            directory.merge(foreign, now + 100ms);
            ++foreign.order.sequence;
        }
        directory.expire(now + 200ms);
        CHECK(isUsed(directory));
    }
    CHECK((goesOn || !isUsed(directory, "legacy-1")));
}

TEST_CASE("a target that missed renewals beside a foreign claim is used once it goes on registering", "[forward]")
{
    target_directory directory;
    auto foreign = claimOf("legacy-1", 9, 1);
    std::uint64_t sequence = 0;
    const auto play = [&](time_point from, duration time, bool registers) {
        for (time_point now = from; now < from + time; now += 1200ms) {
            if (registers) {
                directory.merge(makeRegistration(5, ++sequence), now);
            }
            ++foreign.order.sequence;
            directory.merge(foreign, now + 100ms);
            directory.expire(now + 200ms);
        }
    };
    play(start, 6s, true);
    play(start + 6s, 25s, false);
    CHECK_FALSE(isUsed(directory));
    play(start + 31s, 6s, true);
    CHECK(isUsed(directory));
}

TEST_CASE("a foreign registration under the id of a target does not replace it", "[forward]")
{
    // Guards against a corrupted or foreign start or sequence that makes all later registrations seem outdated.
    const auto foreign = GENERATE(registration_order { 9, 1 }, registration_order { 5, 5000 });
    target_directory directory;
    auto claim = makeRegistration(foreign.startedMs, foreign.sequence);
    claim.address = "10.0.0.9:80";
    directory.merge(makeRegistration(5, 1), start);
    directory.merge(claim, start + 1s);
    std::uint64_t sequence = 1;
    for (time_point now = start + 1200ms; now < start + 8s; now += 1200ms) {
        directory.merge(makeRegistration(5, ++sequence), now);
    }
    CHECK(isUsed(directory));
    CHECK(directory.find({ "t1" })->latest.address == "10.0.0.1:80");
}

TEST_CASE("an earlier start does not return after the sign-off of a later one", "[forward]")
{
    target_directory directory;
    directory.merge(makeRegistration(9, 1), start);
    directory.leave({ "t1" }, 9, start + 1s);
    for (int i = 2; i < 8; ++i) {
        directory.merge(makeRegistration(5, static_cast<std::uint64_t>(i)), start + i * 2s);
    }
    CHECK_FALSE(isUsed(directory));
}

TEST_CASE("a registration with a corrupted id does not replace the target", "[forward]")
{
    // Guards against the loss of a healthy target after a copy of its registration arrived with one corrupted character
    // in the id.
    target_directory directory;
    auto corrupted = makeRegistration(1, 2);
    corrupted.target = { "t:1" };
    directory.merge(makeRegistration(1, 1), start);
    CHECK_FALSE(directory.merge(corrupted, start + 1s));
    CHECK(directory.find({ "t:1" }) == nullptr);
    CHECK(stateOf(directory) == registration_state::ready);
    // The count shows operators whether corrupted ids still arrive, so outdated registrations are not counted.
    CHECK(directory.refusedClaims() == 1);
    CHECK_FALSE(directory.merge(makeRegistration(1, 1), start + 1s));
    CHECK(directory.refusedClaims() == 1);
}

TEST_CASE("a target replaces a registration with a corrupted id that arrived first", "[forward]")
{
    target_directory directory;
    auto corrupted = makeRegistration(1, 2);
    corrupted.target = { "t:1" };
    directory.merge(corrupted, start);
    CHECK_FALSE(directory.merge(makeRegistration(1, 3), start + 1s));
    CHECK(directory.merge(makeRegistration(1, 6), start + target_directory::claimPeriod));
    CHECK(isUsed(directory));
    CHECK_FALSE(isUsed(directory, "t:1"));
}

TEST_CASE("a target is admitted beside a corrupted id that goes on registering", "[forward]")
{
    target_directory directory;
    std::uint64_t sequence = 0;
    for (time_point now = start; now < start + 6s; now += 1200ms) {
        directory.merge(claimOf("t:1", 1, ++sequence), now);
        directory.merge(makeRegistration(1, ++sequence), now + 500ms);
    }
    CHECK(isUsed(directory));
}

TEST_CASE("changes are reported once, renewals only with the filter for renewals", "[forward]")
{
    target_directory directory;
    directory.merge(makeRegistration(1, 1), start);
    const auto version = directory.version();
    CHECK_FALSE(directory.merge(makeRegistration(1, 2), start + 1s));
    CHECK(directory.changesAfter(version, change_filter::changed, start + 1s).empty());
    CHECK(directory.changesAfter(version, change_filter::renewed, start + 1s).size() == 1);
}

TEST_CASE("a target that stops registering is not used until it registers again", "[forward]")
{
    target_directory directory;
    directory.merge(makeRegistration(1, 1), start);
    CHECK_FALSE(directory.expire(start + 5s));
    CHECK(directory.expire(start + target_directory::expireAfter));
    CHECK_FALSE(isUsed(directory));
    CHECK(directory.find({ "t1" })->latest.presence == registration_presence::silent);
    // Guards against a silent target that no front uses any more although it registers again.
    CHECK(directory.merge(makeRegistration(1, 2), start + 25s));
    CHECK(isUsed(directory));
}

TEST_CASE("a process that was suspended does not take its own silence for that of targets", "[forward]")
{
    // Guards against a coordinator that ends every target when it goes on after more than `expireAfter`.
    target_directory directory;
    directory.merge(makeRegistration(1, 1), start);
    directory.resumeListening(start + 22s);
    CHECK_FALSE(directory.expire(start + 22s));
    CHECK_FALSE(directory.expire(start + 41s));
    CHECK(isUsed(directory));
    CHECK(directory.expire(start + 42s));
}

TEST_CASE("a peer's report of silence gives way to a later registration", "[forward]")
{
    target_directory coordinator("c1");
    target_directory deaf("c2");
    target_directory front;
    coordinator.merge(makeRegistration(1, 1), start);
    deaf.adopt(relayed(coordinator, start), start);
    front.adopt(relayed(coordinator, start), start);
    // The front is not told of renewals, so that it takes the report for later than what it has.
    coordinator.merge(makeRegistration(1, 20), start + 19s);
    deaf.expire(start + 20s);
    CHECK_FALSE(front.adopt(relayed(deaf, start + 20s), start + 20s));
    CHECK(isUsed(front));
    REQUIRE(front.doubted().size() == 1);
    front.adopt(relayed(coordinator, start + 20200ms), start + 20200ms);
    CHECK(front.doubted().empty());
    CHECK_FALSE(front.settle(start + 25s));
    CHECK(isUsed(front));
    CHECK(deaf.adopt(relayed(coordinator, start + 21s), start + 21s));
    CHECK(isUsed(deaf));
}

TEST_CASE("a peer's report of silence applies if nothing refutes it", "[forward]")
{
    target_directory coordinator("c1");
    target_directory front;
    coordinator.merge(makeRegistration(1, 1), start);
    front.adopt(relayed(coordinator, start), start);
    coordinator.expire(start + 20s);
    front.adopt(relayed(coordinator, start + 20s), start + 20s);
    // Guards against a report that never applies because the answers to its own queries repeat it.
    front.adopt(relayed(coordinator, start + 20400ms), start + 20400ms);
    front.adopt(relayed(coordinator, start + 21200ms), start + 21200ms);
    CHECK(front.settle(start + 20s + target_directory::confirmPeriod));
    CHECK_FALSE(isUsed(front));
    CHECK(front.find({ "t1" })->latest.reporter == "c1");
    CHECK(front.takeNewlyUnused().size() == 1);
    coordinator.merge(makeRegistration(1, 2), start + 30s);
    CHECK(front.adopt(relayed(coordinator, start + 30s), start + 30s));
    CHECK(isUsed(front));
}

TEST_CASE("an old registration of a peer that was cut off makes no unknown target usable", "[forward]")
{
    // Guards against a target that signed off and was forgotten while a coordinator that holds it was cut off.
    target_directory cutOff;
    target_directory front;
    cutOff.merge(makeRegistration(1, 1), start);
    front.adopt(relayed(cutOff, start + 3600s), start + 3600s);
    CHECK_FALSE(isUsed(front));
}

TEST_CASE("ids that come and go do not crowd out targets that register", "[forward][directory]")
{
    // Guards against a node that learns no target any more once it has known as many ids as its table holds.
    target_directory coordinator;
    target_directory front;
    std::uint64_t sequence = 0;
    std::uint64_t version = 0;
    time_point now = start;
    const auto copyToFront = [&] {
        for (const auto &one : coordinator.changesAfter(version, change_filter::changed, now)) {
            front.adopt(one, now);
        }
        version = coordinator.version();
    };
    for (int i = 0; i < 9000; ++i) {
        now += 10ms;
        if (i % 120 == 0) {
            coordinator.merge(makeRegistration(1, ++sequence), now);
        }
        if (i % 30 == 0) {
            coordinator.expire(now);
            copyToFront();
            front.settle(now);
        }
        auto passing = claimOf("x" + std::to_string(i), 1, 1);
        passing.address = "10.1.0.1:" + std::to_string(i);
        coordinator.merge(passing, now);
        if (i % 2 == 0) {
            copyToFront();
            coordinator.leave(passing.target, 1, now);
        }
        CHECK(isUsed(coordinator));
    }
    CHECK(coordinator.entries().size() <= target_directory::maxTargets + target_directory::maxUnused);
    CHECK(front.entries().size() <= target_directory::maxTargets + target_directory::maxUnused);
    coordinator.merge(claimOf("t2", 2, 1), now);
    copyToFront();
    CHECK(isUsed(front));
    CHECK(isUsed(front, "t2"));
}

TEST_CASE("a table that is full of targets that missed their renewals has room for a new one", "[forward][directory]")
{
    target_directory directory;
    for (std::size_t i = 0; i < target_directory::maxTargets; ++i) {
        auto one = claimOf("x" + std::to_string(i), 1, 1);
        one.address = "10.1.0.1:" + std::to_string(i);
        REQUIRE(directory.merge(one, start));
    }
    CHECK_FALSE(directory.merge(makeRegistration(1, 1), start + 1s));
    CHECK(directory.merge(makeRegistration(1, 2), start + 4s));
    CHECK(isUsed(directory));
    CHECK(directory.usableCount() == target_directory::maxTargets);
}

TEST_CASE("the remaining cold time is passed on as a duration, independent of clocks", "[forward]")
{
    target_directory directory;
    auto cold = makeRegistration(1, 1);
    cold.coldLeftMs = 3000;
    directory.merge(cold, start);
    const auto changes = directory.changesAfter(0, change_filter::changed, start + 1s);
    REQUIRE(changes.size() == 1);
    CHECK(changes.front().coldLeftMs == 2000);
}
