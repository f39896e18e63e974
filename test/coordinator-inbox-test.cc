#include "figcleat/daemon/coordinator-inbox.h"

#include <catch2/catch.hpp>
#include <string>

using namespace figcleat;

namespace
{

envelope from(const std::string &who, process_message message)
{
    return { { who }, { 1 }, std::move(message) };
}

envelope poll(forward::node_role role, const std::string &who, std::uint64_t directoryVersion = 0)
{
    forward::node_poll what;
    what.role = role;
    what.directoryVersion = directoryVersion;
    return from(who, what);
}

envelope update(const std::string &who)
{
    return from(who, forward::node_update {});
}

envelope renewal(const std::string &who)
{
    return from(who, forward::control_renewal {});
}

/** Who is served next; empty if nobody waits. */
std::string takeSender(coordinator_inbox &inbox)
{
    const auto next = inbox.take();
    return next ? next->from.value : std::string {};
}

/**
 * A coordinator that handles one message in `cost`, while fronts, agents and controllers of groups send on their
 * periods. Time is counted in milliseconds.
 */
struct busy_coordinator
{
    int fronts = 0;
    int agents = 0;
    int groups = 0;
    int cost = 0;
    coordinator_inbox inbox {};
    int longestRenewalWait = 0;
    std::size_t mostWaiting = 0;
    std::map<std::string, int> renewalSince {};

    void run(int milliseconds)
    {
        int busyUntil = 0;
        std::size_t waiting = 0;
        for (int now = 0; now < milliseconds; ++now) {
            const auto shed = inbox.shed();
            std::size_t added = send(now);
            waiting += added - static_cast<std::size_t>(inbox.shed() - shed);
            mostWaiting = std::max(mostWaiting, waiting);
            if (now < busyUntil || inbox.empty()) {
                continue;
            }
            const auto next = inbox.take();
            --waiting;
            busyUntil = now + cost;
            if (const auto since = renewalSince.extract(next->from.value); !since.empty()) {
                longestRenewalWait = std::max(longestRenewalWait, now - since.mapped());
            }
        }
    }

    std::size_t send(int now)
    {
        std::size_t added = 0;
        const auto every = [&](int count, int period, auto make) {
            for (int i = 0; i < count; ++i) {
                if (now % period == i * 7 % period) {
                    inbox.add(make(i));
                    ++added;
                }
            }
        };
        every(fronts, 400, [](int i) { return poll(forward::node_role::front, "front-" + std::to_string(i)); });
        every(agents, 1000, [](int i) { return poll(forward::node_role::agent, "agent-" + std::to_string(i)); });
        every(groups, 250, [&](int i) {
            const std::string who = "controller-" + std::to_string(i);
            renewalSince.try_emplace(who, now);
            return renewal(who);
        });
        return added;
    }
};

} // namespace

TEST_CASE("a coordinator serves renewals before updates before polls", "[coordinator-inbox]")
{
    // Guards against controllers of groups that are replaced because their renewals wait behind polls of fronts.
    coordinator_inbox inbox;
    inbox.add(poll(forward::node_role::agent, "agent"));
    inbox.add(poll(forward::node_role::front, "front"));
    inbox.add(poll(forward::node_role::coordinator, "coordinator"));
    inbox.add(update("other"));
    inbox.add(renewal("controller"));
    CHECK(takeSender(inbox) == "controller");
    CHECK(takeSender(inbox) == "other");
    CHECK(takeSender(inbox) == "coordinator");
    CHECK(takeSender(inbox) == "front");
    CHECK(takeSender(inbox) == "agent");
    CHECK(inbox.empty());
}

TEST_CASE("a later poll replaces the one that waits", "[coordinator-inbox]")
{
    // Guards against a coordinator that answers polls which are out of date, and falls further behind.
    coordinator_inbox inbox;
    inbox.add(poll(forward::node_role::front, "a", 1));
    inbox.add(poll(forward::node_role::front, "b", 1));
    inbox.add(poll(forward::node_role::front, "a", 2));
    const auto first = inbox.take();
    REQUIRE(first);
    CHECK(first->from.value == "a");
    CHECK(std::get<forward::node_poll>(first->message).directoryVersion == 2);
    CHECK(takeSender(inbox) == "b");
    CHECK(inbox.empty());
    CHECK(inbox.shed() == 1);
}

TEST_CASE("what waits at a coordinator has a bound", "[coordinator-inbox]")
{
    // Guards against a coordinator that grows beyond its memory while it cannot keep up.
    coordinator_inbox inbox;
    for (std::size_t i = 0; i < coordinator_inbox::maxUpdates + 10; ++i) {
        inbox.add(update("other"));
    }
    for (std::size_t i = 0; i < coordinator_inbox::maxSenders + 10; ++i) {
        inbox.add(poll(forward::node_role::front, "front-" + std::to_string(i)));
    }
    CHECK(inbox.shed() == 20);
    std::size_t taken = 0;
    while (inbox.take()) {
        ++taken;
    }
    CHECK(taken == coordinator_inbox::maxUpdates + coordinator_inbox::maxSenders);
}

TEST_CASE("an unknown role and messages for other processes are ignored", "[coordinator-inbox]")
{
    coordinator_inbox inbox;
    inbox.add(poll(static_cast<forward::node_role>(9), "front"));
    inbox.add(from("front", forward::node_load {}));
    CHECK(inbox.empty());
}

TEST_CASE("controls of groups are prolonged while a coordinator of 300 machines cannot keep up", "[coordinator-inbox]")
{
    // Guards against groups that lose their controllers when polls take more time than there is. 99 fronts and 192
    // agents send 440 messages a second; with 10 ms for one, a coordinator handles 100.
    busy_coordinator coordinator { .fronts = 99, .agents = 192, .groups = 3, .cost = 10 };
    coordinator.run(20'000);
    CHECK(coordinator.longestRenewalWait <= 100);
    CHECK(coordinator.mostWaiting <= 99 + 192 + 3);
    CHECK(coordinator.inbox.shed() > 0);
}
