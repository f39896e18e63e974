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

TEST_CASE("the target that started last holds a shared address", "[forward]")
{
    target_directory directory;
    auto newer = makeRegistration(2, 1);
    newer.target = { "t2" };
    directory.merge(newer, start);
    // A registration of the earlier target, delayed by a network partition until after its sender crashed.
    directory.merge(makeRegistration(1, 7), start);
    CHECK(stateOf(directory) == registration_state::gone);
    CHECK(stateOf(directory, "t2") == registration_state::ready);
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
    CHECK(stateOf(directory) == registration_state::ready);
    CHECK(stateOf(directory, "t:1") == registration_state::gone);
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

TEST_CASE("a target that stops registering becomes gone", "[forward]")
{
    target_directory directory;
    directory.merge(makeRegistration(1, 1), start);
    CHECK_FALSE(directory.expire(start + 5s));
    CHECK(directory.expire(start + target_directory::expireAfter));
    CHECK(stateOf(directory) == registration_state::gone);
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
