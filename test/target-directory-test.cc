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

} // namespace

TEST_CASE("a late registration does not bring a draining target back", "[forward]")
{
    target_directory directory;
    CHECK(directory.merge(makeRegistration(1, 1), start));
    CHECK(directory.merge(makeRegistration(1, 2, registration_state::draining), start));
    CHECK_FALSE(directory.merge(makeRegistration(1, 3), start));
    CHECK(stateOf(directory) == registration_state::draining);
}

TEST_CASE("a target that left is gone in whatever order its calls arrive", "[forward]")
{
    // Two coordinators: one heard a later registration, the other the end.
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

TEST_CASE("a target that starts again under its id is known again", "[forward]")
{
    target_directory directory;
    directory.merge(makeRegistration(1, 50), start);
    directory.leave({ "t1" }, 1, start);
    CHECK(directory.merge(makeRegistration(2, 1), start));
    CHECK(stateOf(directory) == registration_state::ready);
    CHECK_FALSE(directory.leave({ "t1" }, 1, start));
}

TEST_CASE("of two targets at one address the one that started last is there", "[forward]")
{
    target_directory directory;
    auto newer = makeRegistration(2, 1);
    newer.target = { "t2" };
    directory.merge(newer, start);
    // Delayed by a partition until after its sender crashed.
    directory.merge(makeRegistration(1, 7), start);
    CHECK(stateOf(directory) == registration_state::gone);
    CHECK(stateOf(directory, "t2") == registration_state::ready);
}

TEST_CASE("a registration with a spoiled id does not take the place of a target", "[forward]")
{
    // Guards against the loss of a sound target: a copy of its registration came with one letter of the id changed.
    target_directory directory;
    auto spoiled = makeRegistration(1, 2);
    spoiled.target = { "t:1" };
    directory.merge(makeRegistration(1, 1), start);
    CHECK_FALSE(directory.merge(spoiled, start + 1s));
    CHECK(directory.find({ "t:1" }) == nullptr);
    CHECK(stateOf(directory) == registration_state::ready);
    // Operators see from the count whether such ids still come; registrations that are merely old do not count.
    CHECK(directory.refusedClaims() == 1);
    CHECK_FALSE(directory.merge(makeRegistration(1, 1), start + 1s));
    CHECK(directory.refusedClaims() == 1);
}

TEST_CASE("a spoiled registration that came first gives way to the target", "[forward]")
{
    target_directory directory;
    auto spoiled = makeRegistration(1, 2);
    spoiled.target = { "t:1" };
    directory.merge(spoiled, start);
    CHECK_FALSE(directory.merge(makeRegistration(1, 3), start + 1s));
    CHECK(directory.merge(makeRegistration(1, 6), start + target_directory::claimPeriod));
    CHECK(stateOf(directory) == registration_state::ready);
    CHECK(stateOf(directory, "t:1") == registration_state::gone);
}

TEST_CASE("changes are handed on once, beats only to those that ask for them", "[forward]")
{
    target_directory directory;
    directory.merge(makeRegistration(1, 1), start);
    const auto version = directory.version();
    CHECK_FALSE(directory.merge(makeRegistration(1, 2), start + 1s));
    CHECK(directory.changesAfter(version, change_filter::changed, start + 1s).empty());
    CHECK(directory.changesAfter(version, change_filter::renewed, start + 1s).size() == 1);
}

TEST_CASE("a silent target is taken for gone", "[forward]")
{
    target_directory directory;
    directory.merge(makeRegistration(1, 1), start);
    CHECK_FALSE(directory.expire(start + 5s));
    CHECK(directory.expire(start + target_directory::expireAfter));
    CHECK(stateOf(directory) == registration_state::gone);
}

TEST_CASE("the remaining cold time travels, whatever the clocks say", "[forward]")
{
    target_directory directory;
    auto cold = makeRegistration(1, 1);
    cold.coldLeftMs = 3000;
    directory.merge(cold, start);
    const auto changes = directory.changesAfter(0, change_filter::changed, start + 1s);
    REQUIRE(changes.size() == 1);
    CHECK(changes.front().coldLeftMs == 2000);
}
