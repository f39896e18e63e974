#include "figcleat/forward/load-exchange.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>

using namespace figcleat;
using namespace figcleat::forward;
using namespace std::chrono_literals;

namespace
{

constexpr duration tick = 25ms;

/** Simulates fronts in three data centres that exchange their load; messages take one tick. */
class fleet
{
public:
    explicit fleet(std::size_t frontsPerDataCentre)
    {
        for (const auto *dataCentre : { "north", "south", "west" }) {
            for (std::size_t i = 0; i < frontsPerDataCentre; ++i) {
                const auto number = m_contacts.size() + 100;
                m_contacts.push_back({ { "10.0.0." + std::to_string(number) + ":7000" }, { dataCentre } });
            }
        }
        for (const auto &one : m_contacts) {
            m_fronts.emplace(one.address, front { load_exchange(one.address, one.dataCentre), {}, true });
            m_fronts.at(one.address).exchange.setFronts(m_contacts);
        }
    }

    void run(int ticks)
    {
        for (int i = 0; i < ticks; ++i) {
            m_now += tick;
            for (auto &[from, message] : std::exchange(m_inTransit, {})) {
                if (auto &to = m_fronts.at(message.to); to.isRunning) {
                    to.exchange.receive(from, message.load, m_now);
                    ++m_received[message.to];
                }
            }
            for (auto &[address, one] : m_fronts) {
                if (one.isRunning) {
                    for (auto &message : one.exchange.takeDueMessages(one.own, m_now)) {
                        m_inTransit.emplace_back(address, std::move(message));
                    }
                }
            }
        }
    }

    /** Requests of the other fronts at target t1 as known to a front; -1 if the front knows no load of others. */
    int peerRequestsSeenBy(std::size_t index)
    {
        const auto others = at(index).exchange.peerLoads(m_now);
        if (!others) {
            return -1;
        }
        const auto found = std::find_if(others->begin(), others->end(),
                                        [](const auto &use) { return use.target == target_id { "t1" }; });
        return found == others->end() ? 0 : static_cast<int>(found->requests);
    }

    void setOwn(std::size_t index, std::uint32_t requests)
    {
        at(index).own = { { { "t1" }, requests, 0 } };
    }

    void stop(std::size_t index)
    {
        at(index).isRunning = false;
    }

    void start(std::size_t index)
    {
        at(index).isRunning = true;
    }

    bool isRelay(std::size_t index)
    {
        return at(index).exchange.isRelay(m_now);
    }

    std::size_t maxReceived() const
    {
        std::size_t most = 0;
        for (const auto &[address, count] : m_received) {
            most = std::max(most, count);
        }
        return most;
    }

private:
    struct front
    {
        load_exchange exchange;
        std::vector<target_use> own;
        bool isRunning = true;
    };

    front &at(std::size_t index)
    {
        return m_fronts.at(m_contacts[index].address);
    }

    std::vector<front_contact> m_contacts;
    std::map<peer_address, front> m_fronts;
    std::deque<std::pair<peer_address, load_message>> m_inTransit;
    std::map<peer_address, std::size_t> m_received;
    time_point m_now { 100s };
};

} // namespace

TEST_CASE("each front receives the load of all other fronts at a target", "[forward]")
{
    for (const std::size_t size : { 2, 10 }) {
        fleet f(size);
        f.run(2);
        for (std::size_t i = 0; i < 3 * size; ++i) {
            f.setOwn(i, 1);
        }
        f.run(10);
        for (std::size_t i = 0; i < 3 * size; ++i) {
            CHECK(f.peerRequestsSeenBy(i) == static_cast<int>(3 * size) - 1);
        }
    }
}

TEST_CASE("a front that receives no messages has no view of the load of others", "[forward]")
{
    fleet f(1);
    f.run(1);
    CHECK(f.peerRequestsSeenBy(0) == -1);
    f.run(2);
    CHECK(f.peerRequestsSeenBy(0) == 0);
    f.stop(1);
    f.stop(2);
    f.run(60);
    CHECK(f.peerRequestsSeenBy(0) == -1);
}

TEST_CASE("the next front becomes the relay when the relay is silent", "[forward]")
{
    // Guards against fronts of a data centre having no load of others until coordinators remove the failed relay.
    fleet f(10);
    for (std::size_t i = 0; i < 30; ++i) {
        f.setOwn(i, 1);
    }
    f.run(20);
    CHECK(f.isRelay(0));
    f.stop(0);
    f.run(60);
    CHECK(f.isRelay(1));
    CHECK(f.peerRequestsSeenBy(5) == 28);
    CHECK(f.peerRequestsSeenBy(15) == 28);
    f.start(0);
    f.run(60);
    CHECK(f.isRelay(0));
    CHECK_FALSE(f.isRelay(1));
    CHECK(f.peerRequestsSeenBy(5) == 29);
    CHECK(f.peerRequestsSeenBy(25) == 29);
}

TEST_CASE("many fronts keep the messages to one node within the relay rate", "[forward]")
{
    // Guards against a number of messages that grows with the square of the fronts: without relays each of 60 fronts
    // would receive 2,360 messages per second.
    fleet f(20);
    for (int second = 0; second < 5; ++second) {
        for (int i = 0; i < 40; ++i) {
            for (std::size_t front = 0; front < 60; ++front) {
                f.setOwn(front, static_cast<std::uint32_t>(i % 2 + 1));
            }
            f.run(1);
        }
    }
    CHECK(f.maxReceived() <= 5 * static_cast<std::size_t>(load_exchange::maxRelayMessagesPerSecond));
}
