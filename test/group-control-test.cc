#include "figcleat/daemon/group-control.h"
#include "manual-clock.h"

#include <catch2/catch.hpp>

using namespace figcleat;
using namespace std::chrono_literals;

namespace
{

/** The control of a group of two ranks, and what it sends. */
struct control_fixture
{
    manual_clock time;
    std::vector<std::pair<peer_address, process_message>> sent;
    std::vector<forward::control_renewal> renewals;
    group::group_membership own { { "models" }, { "g" }, 0, 2, "10.0.0.0:80" };
    group_control subject { wiring() };

    group_control::parts wiring()
    {
        group_control::parts parts;
        parts.time = &time;
        parts.self = { "10.0.1.0:7000" };
        parts.send = [this](const peer_address &to, process_message what) { sent.emplace_back(to, std::move(what)); };
        parts.sendToLeader = [this](const process_message &what, bool /*toAll*/) {
            renewals.push_back(std::get<forward::control_renewal>(what));
        };
        return parts;
    }

    void grant(std::uint64_t fence, std::uint64_t contactsVersion = 1, bool isWhole = true)
    {
        group::control_grant given;
        given.group = own.group;
        given.fence = { fence };
        given.sentAt = time.now().time_since_epoch().count();
        given.milliseconds = 2000;
        given.model.sets = 1;
        given.model.experts = 2;
        given.model.slotsPerRank = 1;
        given.contactsVersion = contactsVersion;
        given.contacts = { { 0, { "10.0.1.0:7000" }, { "dc" }, "10.0.0.0:80" } };
        if (isWhole) {
            given.contacts.push_back({ 1, { "10.0.1.1:7000" }, { "dc" }, "10.0.0.1:80" });
        }
        subject.onGrant(own, given);
    }

    void report(group::rank_number rank, bool isOpen, std::uint64_t fence = 5)
    {
        group::rank_report one;
        one.fence = { fence };
        one.status.service = own.service;
        one.status.address = "10.0.0." + std::to_string(rank) + ":80";
        one.status.group = own.group;
        one.status.epoch = { 1 };
        one.status.rank = rank;
        one.status.ranks = 2;
        one.status.isOpen = isOpen;
        subject.receive({ own.group, { fence }, { one }, {} });
    }
};

} // namespace

TEST_CASE("ranks that a cut hides are down with their group", "[map]")
{
    // Guards against fronts that try the targets of a data centre that is cut off, 250 ms a caller, for as long as the
    // cut lasts.
    control_fixture f;
    f.grant(5);
    f.report(0, true);
    f.report(1, true);
    f.subject.tick();
    CHECK(f.subject.engines().empty());
    f.time.advance(1900ms);
    f.report(0, false);
    f.subject.tick();
    CHECK(f.subject.engines().size() == 2);
    // The leader learns of it at once, and passes it on to the fronts.
    REQUIRE_FALSE(f.renewals.empty());
    CHECK(f.renewals.back().engines.size() == 2);
    // Silence alone says nothing of an engine: its agent may be lost.
    f.grant(5);
    f.report(0, true);
    f.time.advance(1600ms);
    f.report(0, true);
    f.subject.tick();
    CHECK(f.subject.engines().empty());
}

TEST_CASE("a rank that never reported is down with its group too", "[map]")
{
    // Guards against the same after a change of the controller within a cut.
    control_fixture f;
    f.grant(5);
    f.report(0, false);
    f.subject.tick();
    CHECK(f.subject.engines().size() == 2);
}

TEST_CASE("ranks that a new leader does not know are down with their group", "[map]")
{
    // Guards against the same when the leader that knew all ranks was cut off with some of them.
    control_fixture f;
    f.grant(5);
    f.report(0, true);
    f.report(1, true);
    f.grant(5, 2, false);
    f.report(0, false);
    f.subject.tick();
    CHECK(f.subject.engines().size() == 2);
}

TEST_CASE("a controller stops when its control is not prolonged", "[map]")
{
    control_fixture f;
    f.grant(5);
    f.time.advance(1999ms);
    f.subject.tick();
    CHECK(f.subject.isActive());
    f.time.advance(2ms);
    f.subject.tick();
    CHECK_FALSE(f.subject.isActive());
}

TEST_CASE("a grant that an earlier life of the agent asked for is not taken", "[map]")
{
    // Guards against a second controller with the fence and the order ids of the first: an answer to an order of the
    // first one would confirm another order of the second.
    control_fixture f;
    const auto before = f.time.now();
    f.time.advance(100ms);
    group_control restarted(f.wiring());
    f.time.advance(100ms);
    group::control_grant given;
    given.group = f.own.group;
    given.fence = { 5 };
    given.sentAt = before.time_since_epoch().count();
    given.milliseconds = 2000;
    restarted.onGrant(f.own, given);
    CHECK_FALSE(restarted.isActive());
    // A clock that began anew with its VM.
    given.sentAt = (f.time.now() + 1h).time_since_epoch().count();
    restarted.onGrant(f.own, given);
    CHECK_FALSE(restarted.isActive());
    given.sentAt = f.time.now().time_since_epoch().count();
    restarted.onGrant(f.own, given);
    CHECK(restarted.isActive());
}

TEST_CASE("a controller stops when its own agent follows another one", "[map]")
{
    // Guards against two controllers that order at the same time.
    control_fixture f;
    f.grant(5);
    f.subject.onFence({ 5 });
    CHECK(f.subject.isActive());
    f.subject.onFence({ 6 });
    CHECK_FALSE(f.subject.isActive());
    f.report(0, true);
    f.subject.tick();
    CHECK_FALSE(f.subject.isActive());
}

TEST_CASE("a grant that arrives after its time does not start a controller", "[map]")
{
    control_fixture f;
    group::control_grant late;
    late.group = f.own.group;
    late.fence = { 7 };
    late.sentAt = f.time.now().time_since_epoch().count();
    late.milliseconds = 2000;
    f.time.advance(2s);
    f.subject.onGrant(f.own, late);
    CHECK_FALSE(f.subject.isActive());
}

TEST_CASE("reports under another fence are not heard", "[map]")
{
    // Guards against orders to ranks that have not promised to ignore the earlier controller.
    control_fixture f;
    f.grant(5);
    f.report(0, false, 4);
    f.subject.tick();
    CHECK(f.subject.engines().empty());
}

TEST_CASE("every agent is told of a new controller, and silent ones again", "[map]")
{
    control_fixture f;
    f.grant(5);
    CHECK(f.sent.size() == 2);
    f.sent.clear();
    for (int i = 0; i < 16; ++i) {
        f.time.advance(50ms);
        f.report(0, true);
        f.subject.tick();
    }
    CHECK_FALSE(f.sent.empty());
    for (const auto &[to, what] : f.sent) {
        CHECK(to == peer_address { "10.0.1.1:7000" });
    }
}

TEST_CASE("a control that has ended does not begin again under the same fence", "[map]")
{
    // Guards against a second controller of the same process with the fence, versions and order ids of the first.
    control_fixture f;
    f.grant(5);
    f.time.advance(1000ms);
    const auto renewed = f.time.now();
    f.time.advance(1001ms);
    f.subject.tick();
    REQUIRE_FALSE(f.subject.isActive());
    // The answer to a renewal arrives after the end of the lease, for example after a cut.
    group::control_grant given;
    given.group = f.own.group;
    given.fence = { 5 };
    given.sentAt = renewed.time_since_epoch().count();
    given.milliseconds = 2000;
    f.subject.onGrant(f.own, given);
    CHECK_FALSE(f.subject.isActive());
}
