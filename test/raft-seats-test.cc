#include "figcleat/consensus/raft.h"

#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <set>

using namespace figcleat;
using namespace figcleat::consensus;
using namespace std::chrono_literals;

namespace
{

/** Voters on a network without loss, with disks that sync at once; some of them may be silent. */
class small_cluster
{
public:
    void add(const std::string &name, std::uint64_t identity, bool mayFound)
    {
        raft_settings settings;
        settings.self = { name };
        settings.voters = { { "a" }, { "b" }, { "c" } };
        settings.seed = identity;
        settings.automaticSeats = 3;
        settings.mayFound = mayFound;
        restored_state empty;
        empty.identity = { identity };
        m_members.erase(name);
        m_members.emplace(name, raft(settings, empty, m_now));
    }

    void silence(const std::string &name)
    {
        m_silent.insert(name);
    }

    void hear(const std::string &name)
    {
        m_silent.erase(name);
    }

    void run(duration time)
    {
        for (const auto end = m_now + time; m_now < end; m_now += 20ms) {
            for (auto &[name, one] : m_members) {
                if (!m_silent.contains(name)) {
                    act(name, one.step(tick {}, m_now));
                }
            }
            deliver();
        }
    }

    [[nodiscard]] std::string leader() const
    {
        for (const auto &[name, one] : m_members) {
            if (!m_silent.contains(name) && one.status().role == raft_role::leader) {
                return name;
            }
        }
        return {};
    }

    [[nodiscard]] std::set<std::string> voters() const
    {
        std::set<std::string> names;
        for (const auto &one : m_members.at(leader()).status().members) {
            if (one.who.role == member_role::voter) {
                names.insert(one.who.address.value);
            }
        }
        return names;
    }

private:
    void act(const std::string &from, std::vector<raft_action> actions)
    {
        for (auto &action : actions) {
            if (auto *sent = std::get_if<consensus::send>(&action)) {
                m_mail.push_back({ from, sent->to.value, std::move(sent->message) });
            } else if (const auto *written = std::get_if<consensus::persist>(&action)) {
                act(from, m_members.at(from).step(synced { written->sequence }, m_now));
            }
        }
    }

    void deliver()
    {
        while (!m_mail.empty()) {
            auto one = std::move(m_mail.front());
            m_mail.pop_front();
            const auto to = m_members.find(one.to);
            if (to != m_members.end() && !m_silent.contains(one.to) && !m_silent.contains(one.from)) {
                act(one.to, to->second.step(receive { { one.from }, std::move(one.message) }, m_now));
            }
        }
    }

    struct letter
    {
        std::string from;
        std::string to;
        raft_message message;
    };

    time_point m_now { 1s };
    std::map<std::string, raft> m_members;
    std::set<std::string> m_silent;
    std::deque<letter> m_mail;
};

small_cluster makeCluster()
{
    small_cluster cluster;
    cluster.add("a", 1, true);
    cluster.add("b", 2, true);
    cluster.add("c", 3, true);
    cluster.run(4s);
    REQUIRE_FALSE(cluster.leader().empty());
    REQUIRE(cluster.voters() == std::set<std::string> { "a", "b", "c" });
    return cluster;
}

} // namespace

TEST_CASE("a process at a new address takes the seat of a silent voter", "[raft][seats]")
{
    auto cluster = makeCluster();
    const std::string lost = cluster.leader() == "c" ? "b" : "c";
    cluster.silence(lost);
    cluster.add("d", 4, false);
    // The platform counts a loss as made good 4 s after the successor starts.
    cluster.run(4s);
    CHECK(cluster.voters().size() == 3);
    CHECK(cluster.voters().contains("d"));
    CHECK_FALSE(cluster.voters().contains(lost));
}

TEST_CASE("a newcomer takes no seat while all voters are heard", "[raft][seats]")
{
    auto cluster = makeCluster();
    cluster.add("d", 4, false);
    cluster.run(5s);
    CHECK(cluster.voters() == std::set<std::string> { "a", "b", "c" });
}

TEST_CASE("a voter that lost its seat while it was silent comes back", "[raft][seats]")
{
    auto cluster = makeCluster();
    const std::string lost = cluster.leader() == "c" ? "b" : "c";
    cluster.silence(lost);
    cluster.add("d", 4, false);
    cluster.run(4s);
    REQUIRE_FALSE(cluster.voters().contains(lost));
    cluster.hear(lost);
    cluster.silence("d");
    cluster.run(6s);
    CHECK(cluster.voters().contains(lost));
    CHECK(cluster.voters().size() == 3);
}

TEST_CASE("a process that may not found a cluster waits for one", "[raft][seats]")
{
    small_cluster cluster;
    cluster.add("a", 1, false);
    cluster.add("b", 2, false);
    cluster.add("c", 3, false);
    cluster.run(5s);
    CHECK(cluster.leader().empty());
}
