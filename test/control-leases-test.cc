#include "figcleat/group/control-leases.h"

#include <catch2/catch.hpp>

using namespace figcleat;
using namespace figcleat::group;
using namespace std::chrono_literals;

namespace
{

const group_id groupName { "g" };

group_membership makeMembership(rank_number rank)
{
    return { { "s" }, groupName, rank, 4, "10.0.0.9:80" };
}

control_request makeRequest(rank_number rank, fence_number fence)
{
    return { makeMembership(rank), fence, 7, 0 };
}

peer_address agent(rank_number rank)
{
    return { "10.0.0." + std::to_string(rank) + ":7000" };
}

/** A leader to which four agents of one group have reported. */
struct leader
{
    control_leases leases;
    time_point now { 100s };

    explicit leader(std::uint64_t term)
    {
        leases.setModels({ { { "s" }, group_model {} } });
        leases.setTerm(term, now);
        reportMembers({ 0, 1, 2, 3 });
    }

    void reportMembers(const std::vector<rank_number> &ranks)
    {
        for (const auto rank : ranks) {
            leases.onMembership(agent(rank), { "dc" }, makeMembership(rank), now);
        }
    }

    /**
     * Lets the leader invite agents until an agent is invited; returns the rank and fencing number of the control that
     * this agent gets.
     */
    std::pair<rank_number, fence_number> appoint()
    {
        for (int i = 0; i < 100; ++i) {
            now += 50ms;
            for (const auto &invitation : leases.tick(now)) {
                for (rank_number rank = 0; rank < 4; ++rank) {
                    if (agent(rank) == invitation.to) {
                        return { rank, leases.onRequest(invitation.to, makeRequest(rank, {}), now).fence };
                    }
                }
            }
        }
        return {};
    }
};

} // namespace

TEST_CASE("a controller that renews its control keeps it", "[control]")
{
    leader l(1);
    const auto [rank, fence] = l.appoint();
    REQUIRE(fence.value > 0);
    for (int i = 0; i < 40; ++i) {
        l.now += 250ms;
        l.reportMembers({ 0, 1, 2, 3 });
        CHECK(l.leases.onRequest(agent(rank), makeRequest(rank, fence), l.now).fence == fence);
        CHECK(l.leases.tick(l.now).empty());
        // No other agent gets the control, invited or not.
        CHECK(l.leases.onRequest(agent(3), makeRequest(3, {}), l.now).fence.value == 0);
    }
}

TEST_CASE("a silent controller is replaced by another rank with a higher fence", "[control]")
{
    // Guards against a group that has no controller for longer than an election takes.
    leader l(1);
    const auto [first, fence] = l.appoint();
    const auto start = l.now;
    l.reportMembers({ 0, 1, 2, 3 });
    const auto [second, higher] = l.appoint();
    CHECK(second != first);
    CHECK(higher > fence);
    CHECK(l.now - start <= control_leases::replacementTimeout + 100ms);
    CHECK(l.leases.onRequest(agent(first), makeRequest(first, fence), l.now).fence.value == 0);
}

TEST_CASE("a new leader keeps the controller that its predecessor appointed", "[control]")
{
    // Guards against replacing the controller, which loses a map that is being loaded, with each change of the leader.
    leader l(3);
    const auto [rank, fence] = l.appoint();
    l.leases.setTerm(4, l.now);
    l.reportMembers({ 0, 1, 2, 3 });
    l.now += 900ms;
    CHECK(l.leases.tick(l.now).empty());
    CHECK(l.leases.onRequest(agent(rank), makeRequest(rank, fence), l.now).fence == fence);
    l.now += 200ms;
    CHECK(l.leases.tick(l.now).empty());
    l.now += 1s;
    l.reportMembers({ 0, 1, 2, 3 });
    const auto [next, higher] = l.appoint();
    CHECK(higher > fence);
}

TEST_CASE("a coordinator that does not lead appoints no controller", "[control]")
{
    leader l(1);
    l.leases.setTerm(std::nullopt, l.now);
    l.reportMembers({ 0, 1, 2, 3 });
    l.now += 5s;
    CHECK(l.leases.tick(l.now).empty());
    CHECK(l.leases.onRequest(agent(0), makeRequest(0, { 9 }), l.now).fence.value == 0);
}

TEST_CASE("only agents that were heard from recently are invited", "[control]")
{
    leader l(1);
    l.now += 2600ms;
    l.reportMembers({ 2 });
    const auto invitations = l.leases.tick(l.now);
    REQUIRE(invitations.size() == 1);
    CHECK(invitations.front().to == agent(2));
}

TEST_CASE("the work of a leader for a group does not grow with its ranks", "[control][size]")
{
    // Guards against a leader that loses its leadership because controlling large groups takes too much work, by
    // counting messages.
    const auto messages = [](rank_number ranks) {
        control_leases leases;
        time_point now { 100s };
        leases.setModels({ { { "s" }, group_model {} } });
        leases.setTerm(1, now);
        fence_number fence;
        peer_address controller;
        std::size_t count = 0;
        std::size_t contacts = 0;
        for (int tick = 0; tick < 200; ++tick) {
            now += 50ms;
            if (tick % 20 == 0) {
                for (rank_number rank = 0; rank < ranks; ++rank) {
                    leases.onMembership(agent(rank), { "dc" }, { { "s" }, groupName, rank, ranks, "e" }, now);
                }
            }
            for (const auto &invitation : leases.tick(now)) {
                controller = invitation.to;
                ++count;
            }
            if (!controller.empty() && tick % 5 == 0) {
                const auto grant
                    = leases.onRequest(controller, { { { "s" }, groupName, 0, ranks, "e" }, fence, 0, 0 }, now);
                fence = grant.fence;
                contacts += grant.contacts.size();
                ++count;
            }
        }
        CHECK(contacts >= ranks);
        return count;
    };
    CHECK(messages(128) == messages(24));
}
