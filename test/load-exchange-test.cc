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

/** Fronts in three data centres that exchange their load; messages take one tick. */
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
            for (auto &[from, message] : std::exchange(m_onTheWay, {})) {
                if (auto &to = m_fronts.at(message.to); to.runs) {
                    to.exchange.receive(from, message.load, m_now);
                    ++m_received[message.to];
                }
            }
            for (auto &[address, one] : m_fronts) {
                if (one.runs) {
                    for (auto &message : one.exchange.takeDueMessages(one.own, m_now)) {
                        m_onTheWay.emplace_back(address, std::move(message));
                    }
                }
            }
        }
    }

    /** Requests at target t1 that a front takes the others to have; -1 if it has no view. */
    int seenBy(std::size_t index)
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
        at(index).runs = false;
    }

    void start(std::size_t index)
    {
        at(index).runs = true;
    }

    bool isRelay(std::size_t index)
    {
        return at(index).exchange.isRelay(m_now);
    }

    std::size_t mostReceived() const
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
        bool runs = true;
    };

    front &at(std::size_t index)
    {
        return m_fronts.at(m_contacts[index].address);
    }

    std::vector<front_contact> m_contacts;
    std::map<peer_address, front> m_fronts;
    std::deque<std::pair<peer_address, load_message>> m_onTheWay;
    std::map<peer_address, std::size_t> m_received;
    time_point m_now { 100s };
};

} // namespace

TEST_CASE("each front learns what all others have at a target", "[forward]")
{
    for (const std::size_t size : { 2, 10 }) {
        fleet f(size);
        f.run(2);
        for (std::size_t i = 0; i < 3 * size; ++i) {
            f.setOwn(i, 1);
        }
        f.run(10);
        for (std::size_t i = 0; i < 3 * size; ++i) {
            CHECK(f.seenBy(i) == static_cast<int>(3 * size) - 1);
        }
    }
}

TEST_CASE("a front that hears no other one has no view of them", "[forward]")
{
    fleet f(1);
    f.run(1);
    CHECK(f.seenBy(0) == -1);
    f.run(2);
    CHECK(f.seenBy(0) == 0);
    f.stop(1);
    f.stop(2);
    f.run(60);
    CHECK(f.seenBy(0) == -1);
}

TEST_CASE("the next front relays when the relay is silent", "[forward]")
{
    // Guards against a data centre whose fronts know nothing of the others until coordinators drop a lost front.
    fleet f(10);
    for (std::size_t i = 0; i < 30; ++i) {
        f.setOwn(i, 1);
    }
    f.run(20);
    CHECK(f.isRelay(0));
    f.stop(0);
    f.run(60);
    CHECK(f.isRelay(1));
    CHECK(f.seenBy(5) == 28);
    CHECK(f.seenBy(15) == 28);
    f.start(0);
    f.run(60);
    CHECK(f.isRelay(0));
    CHECK_FALSE(f.isRelay(1));
    CHECK(f.seenBy(5) == 29);
    CHECK(f.seenBy(25) == 29);
}

TEST_CASE("many fronts send no more messages than a node may bear", "[forward]")
{
    // Guards against messages by the square of the fronts: directly, 60 fronts would receive 2,360 a second each.
    fleet f(20);
    for (int second = 0; second < 5; ++second) {
        for (int i = 0; i < 40; ++i) {
            for (std::size_t front = 0; front < 60; ++front) {
                f.setOwn(front, static_cast<std::uint32_t>(i % 2 + 1));
            }
            f.run(1);
        }
    }
    CHECK(f.mostReceived() <= 5 * static_cast<std::size_t>(load_exchange::relayRate));
}
