#include "figcleat/consensus/raft.h"
#include "figcleat/daemon/map-operator.h"
#include "manual-clock.h"

#include <catch2/catch.hpp>

using namespace figcleat;
using namespace std::chrono_literals;

TEST_CASE("a new leader orders at once when every voter follows it", "[map]")
{
    // Guards against streams that are late for seconds after each crash of a leader, and against two that order.
    manual_clock time;
    map_operator::parts wiring;
    wiring.time = &time;
    map_operator subject(wiring);
    CHECK_FALSE(subject.mayOrder());
    subject.setTerm(3, false);
    CHECK_FALSE(subject.mayOrder());
    subject.setTerm(3, true);
    CHECK(subject.mayOrder());
    // A voter that joins later has never led.
    subject.setTerm(3, false);
    CHECK(subject.mayOrder());
    subject.setTerm(std::nullopt, false);
    CHECK_FALSE(subject.mayOrder());
}

TEST_CASE("a new leader that a voter has not answered waits until its predecessor has stepped down", "[map]")
{
    manual_clock time;
    map_operator::parts wiring;
    wiring.time = &time;
    map_operator subject(wiring);
    subject.setTerm(4, false);
    time.advance(consensus::quorumTimeout);
    CHECK_FALSE(subject.mayOrder());
    time.advance(200ms);
    CHECK(subject.mayOrder());
}

TEST_CASE("ranks that a cut hides are down with their group", "[map]")
{
    // Guards against fronts that try the targets of a data centre that is cut off, 250 ms a caller, for as long as the
    // cut lasts.
    manual_clock time;
    map_operator::parts wiring;
    wiring.time = &time;
    wiring.onEnginesChanged = [] {};
    map_operator subject(wiring);
    group::group_model model;
    model.sets = 1;
    model.experts = 2;
    model.placements = 1;
    subject.setModels({ { { "models" }, model } });
    subject.setTerm(1, true);
    const auto report = [&](group::rank_number rank, bool isOpen) {
        forward::rank_report one;
        one.status.service = { "models" };
        one.status.address = "10.0.0." + std::to_string(rank) + ":80";
        one.status.group = { "g" };
        one.status.epoch = { 1 };
        one.status.rank = rank;
        one.status.ranks = 2;
        one.status.isOpen = isOpen;
        subject.receive({ "10.0.1.1:7000" }, one);
    };
    report(0, true);
    report(1, true);
    subject.tick();
    CHECK(subject.engines().empty());
    time.advance(3s);
    report(0, false);
    subject.tick();
    CHECK(subject.engines().size() == 2);
    // Silence alone says nothing of an engine: its agent may be lost.
    report(0, true);
    time.advance(3s);
    report(0, true);
    subject.tick();
    CHECK(subject.engines().empty());
}
