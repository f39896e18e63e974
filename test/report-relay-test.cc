#include "figcleat/group/report-relay.h"

#include <catch2/catch.hpp>
#include <set>

using namespace figcleat;
using namespace figcleat::group;
using namespace std::chrono_literals;

namespace
{

rank_report reportOf(rank_number rank, std::uint32_t count)
{
    rank_report report;
    report.fence = { 5 };
    report.status.rank = rank;
    report.chosen = packCounts({ { count, 0 }, { 1, count } });
    return report;
}

std::vector<rank_contact> contactsOf(rank_number ranks, rank_number dataCentres)
{
    std::vector<rank_contact> contacts;
    for (rank_number rank = 0; rank < ranks; ++rank) {
        contacts.push_back(
            { rank, { "a" + std::to_string(rank) }, { "dc" + std::to_string(rank % dataCentres) }, "e" });
    }
    return contacts;
}

} // namespace

TEST_CASE("packed counts keep the shares of the experts", "[control]")
{
    const expert_lists counts { { 100'000, 50'000, 0 }, { 400, 399, 10 } };
    const auto restored = unpackCounts(packCounts(counts));
    CHECK(restored[0][0] == Approx(100'000).epsilon(0.01));
    CHECK(restored[0][1] == Approx(50'000).epsilon(0.01));
    CHECK(restored[0][2] == 0);
    CHECK(unpackCounts(packCounts({ { 255, 3 } })) == expert_lists { { 255, 3 } });
    CHECK(unpackCounts({ 1, 2, { 1, 2, 3 } }).empty());
    CHECK(unpackCounts({ 1, 0, { 1 } }).empty());
}

TEST_CASE("a relay sends reports at once and choices once all of its ranks have reported some", "[control]")
{
    report_relay relay;
    time_point now { 10s };
    for (rank_number rank = 0; rank < 3; ++rank) {
        relay.add(reportOf(rank, 10), now);
    }
    CHECK(relay.take({ "g" }, { 5 }, now).messages.size() == 3);
    now += 400ms;
    relay.add(reportOf(0, 10), now);
    const auto first = relay.take({ "g" }, { 5 }, now);
    CHECK(first.messages.size() == 1);
    CHECK(first.chosen.sets == 0);
    relay.add(reportOf(1, 10), now);
    relay.add(reportOf(2, 10), now);
    const auto second = relay.take({ "g" }, { 5 }, now);
    CHECK(unpackCounts(second.chosen) == expert_lists { { 30, 0 }, { 3, 30 } });
    CHECK_FALSE(relay.choicesDue());
}

TEST_CASE("a lost rank delays the choices of the others by a bounded time", "[control]")
{
    report_relay relay;
    time_point now { 10s };
    for (rank_number rank = 0; rank < 3; ++rank) {
        relay.add(reportOf(rank, 10), now);
    }
    (void)relay.take({ "g" }, { 5 }, now);
    now += 400ms;
    relay.add(reportOf(0, 10), now);
    REQUIRE(relay.choicesDue());
    CHECK(*relay.choicesDue() <= now + report_relay::maxCollectionTime);
    CHECK(relay.take({ "g" }, { 5 }, now + 290ms).chosen.sets == 0);
    CHECK(relay.take({ "g" }, { 5 }, now + 300ms).chosen.sets == 2);
}

TEST_CASE("reports and results with another fencing number are not passed on", "[control]")
{
    report_relay relay;
    const time_point now { 10s };
    relay.add(reportOf(0, 10), now);
    relay.add(rank_result { { 4 }, 1, {} });
    const auto sent = relay.take({ "g" }, { 6 }, now);
    CHECK(sent.messages.empty());
    CHECK(sent.chosen.sets == 0);
}

TEST_CASE("a controller and a relay receive reports of about sqrt(ranks) ranks each", "[control][size]")
{
    // Guards against a process that receives the reports of all ranks of a group, by counting the ranks that report to
    // each agent.
    for (const rank_number ranks : { 12, 24, 64, 72, 128 }) {
        INFO(ranks);
        const auto plan = planRelays(contactsOf(ranks, 3), { "a0" }, {});
        REQUIRE(plan.size() == ranks);
        std::map<peer_address, int> load;
        for (const auto &[rank, relay] : plan) {
            ++load[relay];
        }
        const auto root = static_cast<int>(std::ceil(std::sqrt(ranks)));
        for (const auto &[relay, members] : load) {
            CHECK(members <= root);
        }
        CHECK(static_cast<int>(load.size()) <= root + 3);
    }
}

TEST_CASE("ranks of a lost relay report to the controller until another relay is chosen", "[control]")
{
    const auto contacts = contactsOf(16, 1);
    auto plan = planRelays(contacts, { "a0" }, {});
    CHECK(plan.at(5) == peer_address { "a4" });
    plan = planRelays(contacts, { "a0" }, { { 4, true }, { 5, true }, { 6, true }, { 7, true } });
    CHECK(plan.at(5) == peer_address { "a0" });
    plan = planRelays(contacts, { "a0" }, { { 4, true } });
    CHECK(plan.at(4) == peer_address { "a0" });
    CHECK(plan.at(6) == peer_address { "a5" });
}

TEST_CASE("a relay serves only ranks of its own data centre", "[control]")
{
    const auto contacts = contactsOf(24, 3);
    for (const auto &[rank, relay] : planRelays(contacts, { "none" }, {})) {
        const auto relayContact = std::find_if(
            contacts.begin(), contacts.end(), [&relay = relay](const auto &contact) { return contact.agent == relay; });
        REQUIRE(relayContact != contacts.end());
        CHECK(relayContact->dataCentre == contacts[rank].dataCentre);
    }
}
