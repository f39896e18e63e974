#include "figcleat/daemon/node-links.h"

#include <catch2/catch.hpp>

using namespace figcleat;
using namespace std::chrono_literals;

namespace
{

const peer_address first { "10.0.0.1:7000" };
const peer_address second { "10.0.0.2:7000" };
constexpr time_point start { 10s };

forward::node_update makeUpdate(std::uint64_t since, std::uint64_t version)
{
    forward::node_update update;
    update.since = since;
    update.directoryVersion = version;
    return update;
}

} // namespace

TEST_CASE("changes after a lost update are asked for again", "[forward]")
{
    coordinator_links links({ first }, {}, start);
    links.onUpdate(first, { 7 }, makeUpdate(0, 5), start);
    // The update from 5 to 8 is lost.
    links.onUpdate(first, { 7 }, makeUpdate(8, 9), start);
    CHECK(links.links().at(first).directoryVersion == 5);
}

TEST_CASE("a coordinator that starts again is asked for everything", "[forward]")
{
    coordinator_links links({ first }, {}, start);
    links.onUpdate(first, { 7 }, makeUpdate(0, 50), start);
    links.onUpdate(first, { 8 }, makeUpdate(40, 41), start);
    CHECK(links.links().at(first).directoryVersion == 0);
    CHECK(links.links().at(first).incarnation == incarnation_id { 8 });
}

TEST_CASE("coordinators are found when all seeds are replaced", "[forward]")
{
    coordinator_links links({ first }, {}, start);
    auto update = makeUpdate(0, 1);
    update.contacts = { { { first, second }, {} } };
    update.contactsChecksum = 5;
    links.onUpdate(first, { 7 }, update, start);
    links.setSeeds({ { "10.0.0.9:7000" } }, start);
    CHECK(links.links().contains(second));
    links.forgetSilent(start + coordinator_links::forgetAfter);
    CHECK(links.addresses() == std::vector<peer_address> { { "10.0.0.9:7000" } });
}

TEST_CASE("a coordinator that is no seed is found when it polls", "[forward]")
{
    // Guards against registrations that stay at a coordinator which the seeds never name to fronts.
    coordinator_links links({ first }, {}, start);
    links.onCoordinatorPoll(second, start);
    CHECK(links.links().contains(second));
    CHECK(links.addresses() == std::vector<peer_address> { first, second });
}

TEST_CASE("forgotten coordinators are asked for again", "[forward]")
{
    // Guards against a node that was cut off for long and knows only its seeds from then on, as contacts that have not
    // changed are not sent again.
    coordinator_links links({ first }, {}, start);
    auto update = makeUpdate(0, 1);
    update.contacts = { { { first, second }, {} } };
    update.contactsChecksum = 5;
    links.onUpdate(first, { 7 }, update, start);
    CHECK(links.links().at(first).contactsChecksum == 5);
    links.forgetSilent(start + coordinator_links::forgetAfter);
    CHECK_FALSE(links.links().contains(second));
    CHECK(links.links().at(first).contactsChecksum == 0);
}

TEST_CASE("the fronts of all coordinators that are heard count", "[forward]")
{
    const forward::front_contact one { { "10.0.1.1:7000" }, { "north" } };
    const forward::front_contact other { { "10.0.2.1:7000" }, { "south" } };
    coordinator_links links({ first, second }, {}, start);
    auto update = makeUpdate(0, 1);
    update.contacts = { { {}, { one } } };
    links.onUpdate(first, { 7 }, update, start);
    update.contacts = { { {}, { one, other } } };
    links.onUpdate(second, { 8 }, update, start + 2s);
    CHECK(links.fronts(1s, start + 2s) == std::vector { one, other });
    CHECK(links.fronts(1s, start + 4s).empty());
}

TEST_CASE("the leader of the highest term is the one to report to", "[forward]")
{
    coordinator_links links({ first, second }, {}, start);
    auto update = makeUpdate(0, 1);
    update.leader = first;
    update.term = 3;
    links.onUpdate(first, { 7 }, update, start);
    update.leader = second;
    update.term = 4;
    links.onUpdate(second, { 8 }, update, start);
    CHECK(links.leader(1s, start) == second);
    CHECK(links.leader(1s, start + 2s).empty());
}
