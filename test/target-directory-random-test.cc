#include "figcleat/forward/target-directory.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <memory>
#include <random>
#include <sstream>

using namespace figcleat;
using namespace figcleat::forward;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t coordinatorCount = 3;
constexpr std::size_t nodeCount = 5;
constexpr std::size_t targetCount = 6;
constexpr duration stepTime = 100ms;

/** A coordinator, or a front that copies what coordinators tell. */
struct node
{
    std::unique_ptr<target_directory> directory = std::make_unique<target_directory>("node");
    std::uint64_t incarnation = 1;
    /** By coordinator: the incarnation and the version of its directory that this node has. */
    std::array<std::pair<std::uint64_t, std::uint64_t>, coordinatorCount> held {};
    std::size_t signOffsRead = 0;
    time_point suspendedUntil {};
    time_point lastPollAt {};
    /** Nodes on one side of a cut reach each other. */
    int side = 0;
};

struct update
{
    time_point arrival;
    std::size_t from = 0;
    std::size_t to = 0;
    std::uint64_t incarnation = 0;
    std::uint64_t since = 0;
    std::uint64_t version = 0;
    std::vector<registration> changes;
};

/** A call that a target or another writer sends to a coordinator. */
struct call
{
    time_point arrival;
    std::size_t to = 0;
    registration what;
};

struct target
{
    registration next;
    time_point registersAt {};
    time_point silentUntil {};
    bool hasLeft = false;
};

/** Plays nodes with their messages, and checks what each one uses. */
class directory_simulation
{
public:
    explicit directory_simulation(std::uint64_t seed)
        : m_random(seed)
        , m_nodes(nodeCount)
        , m_targets(targetCount)
    {
        for (std::size_t i = 0; i < targetCount; ++i) {
            begin(i, "t" + std::to_string(i), "10.0.0." + std::to_string(i) + ":80");
        }
    }

    void run(duration time)
    {
        for (const time_point end = m_now + time; m_now < end; m_now += stepTime) {
            registerTargets();
            deliverCalls();
            deliverUpdates();
            for (std::size_t i = 0; i < nodeCount; ++i) {
                poll(i);
            }
            checkSignOffs();
        }
    }

    void injectFault()
    {
        auto &target = m_targets[pick(targetCount)];
        switch (pick(9)) {
        case 0:
            m_nodes[pick(nodeCount)].suspendedUntil = m_now + stepTime * pick(400);
            break;
        case 1:
            for (auto &one : m_nodes) {
                one.side = static_cast<int>(pick(2));
            }
            break;
        case 2:
            heal();
            break;
        case 3:
            restart(pick(nodeCount));
            break;
        case 4:
            target.silentUntil = m_now + stepTime * pick(300);
            break;
        case 5:
            leave(target);
            break;
        case 6:
            restartTarget(target);
            break;
        default:
            claimAddress(target);
            break;
        }
    }

    void heal()
    {
        for (auto &one : m_nodes) {
            one.side = 0;
        }
    }

    /** Ends all faults; the targets that are left register, and other writers stay away. */
    void calm()
    {
        heal();
        for (auto &one : m_nodes) {
            one.suspendedUntil = {};
        }
        for (auto &one : m_targets) {
            one.silentUntil = {};
        }
    }

    /** Every target that registers is used by every node. */
    void checkUsed() const
    {
        for (std::size_t i = 0; i < nodeCount; ++i) {
            for (const auto &one : m_targets) {
                INFO("node " << i << ", target " << one.next.target.value << ", start " << one.next.order.startedMs
                             << ": " << describe(i, one.next.target));
                const auto *entry = m_nodes[i].directory->find(one.next.target);
                const bool isUsed = entry != nullptr && entry->isUsable()
                    && entry->latest.order.startedMs == one.next.order.startedMs
                    && entry->latest.address == one.next.address;
                CHECK(isUsed == !one.hasLeft);
            }
        }
    }

    void checkBounds() const
    {
        for (const auto &one : m_nodes) {
            CHECK(one.directory->entries().size() < 200);
        }
    }

private:
    [[nodiscard]] std::size_t pick(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
    }

    [[nodiscard]] std::string describe(std::size_t node, const target_id &target) const
    {
        const auto *entry = m_nodes[node].directory->find(target);
        if (entry == nullptr) {
            return "unknown";
        }
        const auto &held = entry->latest;
        std::ostringstream text;
        text << usabilityName(held.state, held.presence) << " order=" << held.order.startedMs << '.'
             << held.order.sequence << " address=" << held.address << " reporter=" << held.reporter << " heard "
             << (m_now - entry->heardAt).count() << " ago, out " << (m_now - entry->outSince).count() << " ago";
        return text.str();
    }

    [[nodiscard]] bool runs(std::size_t node) const
    {
        return m_nodes[node].suspendedUntil <= m_now;
    }

    [[nodiscard]] bool hasQuorum(std::size_t node) const
    {
        const auto reached = std::count_if(m_nodes.begin(), m_nodes.begin() + coordinatorCount, [&](const auto &other) {
            return other.side == m_nodes[node].side && other.suspendedUntil <= m_now;
        });
        return 2 * static_cast<std::size_t>(reached) > coordinatorCount;
    }

    void begin(std::size_t index, const std::string &id, const std::string &address)
    {
        auto &one = m_targets[index];
        one = {};
        one.next.target = { id };
        one.next.order = { ++m_starts, 0 };
        one.next.service = { "desk" };
        one.next.address = address;
        one.registersAt = m_now;
    }

    void registerTargets()
    {
        for (auto &one : m_targets) {
            if (one.hasLeft || m_now < one.registersAt || m_now < one.silentUntil) {
                continue;
            }
            one.registersAt = m_now + 1200ms;
            ++one.next.order.sequence;
            for (std::size_t tries = 0; tries < 4; ++tries) {
                const std::size_t to = pick(coordinatorCount);
                if (runs(to)) {
                    send(to, one.next);
                    break;
                }
            }
        }
    }

    /** Some calls arrive late or twice. */
    void send(std::size_t to, const registration &what)
    {
        m_calls.push_back({ m_now + (pick(20) == 0 ? stepTime * pick(40) : 0ms), to, what });
        if (pick(10) == 0) {
            m_calls.push_back({ m_now + stepTime * pick(30), pick(coordinatorCount), what });
        }
    }

    void deliverCalls()
    {
        std::erase_if(m_calls, [this](const call &one) {
            if (one.arrival > m_now || !runs(one.to)) {
                return false;
            }
            m_nodes[one.to].directory->merge(one.what, m_now);
            return true;
        });
    }

    void deliverUpdates()
    {
        std::erase_if(m_updates, [this](const update &one) {
            if (one.arrival > m_now || !runs(one.to)) {
                return false;
            }
            auto &receiver = m_nodes[one.to];
            auto &[incarnation, version] = receiver.held[one.from];
            if (incarnation != one.incarnation) {
                incarnation = one.incarnation;
                version = 0;
            }
            version = one.since <= version ? std::max(version, one.version) : version;
            for (const auto &change : one.changes) {
                receiver.directory->adopt(change, m_now);
            }
            return true;
        });
    }

    void poll(std::size_t index)
    {
        auto &self = m_nodes[index];
        if (!runs(index) || m_now - self.lastPollAt < 300ms) {
            return;
        }
        const bool wasSuspended = m_now - self.lastPollAt >= 1s;
        self.lastPollAt = m_now;
        const bool isCoordinator = index < coordinatorCount;
        if (wasSuspended || (isCoordinator && !hasQuorum(index))) {
            self.directory->resumeListening(m_now);
        }
        if (isCoordinator) {
            readSignOffs(index);
            self.directory->expire(m_now);
        } else {
            self.directory->settle(m_now);
        }
        for (std::size_t other = 0; other < coordinatorCount; ++other) {
            if (other != index && runs(other) && m_nodes[other].side == self.side && pick(20) != 0) {
                ask(other, index, isCoordinator ? change_filter::renewed : change_filter::changed);
            }
        }
    }

    void ask(std::size_t from, std::size_t to, change_filter filter)
    {
        const auto &source = m_nodes[from];
        const auto [incarnation, version] = m_nodes[to].held[from];
        update sent { m_now + stepTime * pick(4), from, to, source.incarnation, 0, source.directory->version(), {} };
        sent.since = incarnation == source.incarnation ? version : 0;
        sent.changes = source.directory->changesAfter(sent.since, filter, m_now);
        const auto asked = source.directory->registrationsOf(m_nodes[to].directory->doubted(), m_now);
        sent.changes.insert(sent.changes.end(), asked.begin(), asked.end());
        m_updates.push_back(std::move(sent));
    }

    void readSignOffs(std::size_t index)
    {
        auto &self = m_nodes[index];
        for (; hasQuorum(index) && self.signOffsRead < m_signOffs.size(); ++self.signOffsRead) {
            const auto &signOff = m_signOffs[self.signOffsRead];
            if (!self.directory->hasSignedOff(signOff)) {
                self.directory->leave(signOff.target, signOff.startedMs, m_now);
            }
        }
    }

    void restart(std::size_t index)
    {
        auto &self = m_nodes[index];
        const auto side = self.side;
        const auto incarnation = self.incarnation + 1;
        self = {};
        self.side = side;
        self.incarnation = incarnation;
        self.directory->resumeListening(m_now);
        self.lastPollAt = m_now;
        m_inTouchSince[index] = m_now;
    }

    /** The sign-off is acknowledged, so the log holds it. */
    void leave(target &one)
    {
        if (!one.hasLeft) {
            one.hasLeft = true;
            one.silentUntil = {};
            m_signOffs.push_back(one.next.incarnation());
            m_signedOffAt.push_back(m_now);
        }
    }

    /** Under its id or a new one, at its address. */
    void restartTarget(target &one)
    {
        const auto index = static_cast<std::size_t>(&one - m_targets.data());
        const auto id
            = pick(2) == 0 ? one.next.target.value : "t" + std::to_string(index) + "-" + std::to_string(m_starts);
        begin(index, id, one.next.address);
        one.registersAt = m_now + 2s;
    }

    /** Another writer claims the address of a target once, with a start before, at or after that of the target. */
    void claimAddress(const target &one)
    {
        registration foreign = one.next;
        foreign.target = { "legacy" + std::to_string(++m_foreign) };
        foreign.order = { one.next.order.startedMs + static_cast<std::int64_t>(pick(3)) - 1, 1 };
        foreign.service = { pick(2) == 0 ? "desk" : "legacy" };
        foreign.state = pick(3) == 0 ? registration_state::draining : registration_state::ready;
        send(pick(coordinatorCount), foreign);
    }

    /** Nodes that hear a coordinator with a quorum for a while do not use a start that has signed off. */
    void checkSignOffs()
    {
        for (std::size_t i = 0; i < nodeCount; ++i) {
            const bool isInTouch = runs(i) && hasQuorum(i);
            m_inTouchSince[i] = isInTouch ? m_inTouchSince[i] : m_now;
        }
        for (std::size_t one = 0; one < m_signOffs.size(); ++one) {
            for (std::size_t i = 0; i < nodeCount; ++i) {
                const auto *entry = m_nodes[i].directory->find(m_signOffs[one].target);
                const bool isUsed = entry != nullptr && entry->isUsable()
                    && entry->latest.order.startedMs == m_signOffs[one].startedMs;
                const bool isDue = m_now - m_signedOffAt[one] >= 3s && m_now - m_inTouchSince[i] >= 3s;
                if (isUsed && isDue) {
                    FAIL("node " << i << " uses " << m_signOffs[one].target.value
                                 << " after its sign-off: " << describe(i, m_signOffs[one].target));
                }
            }
        }
    }

    std::mt19937_64 m_random;
    time_point m_now { 1000s };
    std::vector<node> m_nodes;
    std::vector<target> m_targets;
    std::vector<call> m_calls;
    std::vector<update> m_updates;
    std::vector<target_incarnation> m_signOffs;
    std::vector<time_point> m_signedOffAt;
    std::array<time_point, nodeCount> m_inTouchSince {};
    std::int64_t m_starts = 100;
    int m_foreign = 0;
};

void play(std::uint64_t seed)
{
    INFO("seed " << seed);
    directory_simulation world(seed);
    world.run(5s);
    for (int round = 0; round < 25; ++round) {
        world.injectFault();
        world.run(stepTime * static_cast<int>(1 + (seed * 7 + static_cast<std::uint64_t>(round) * 13) % 60));
    }
    world.calm();
    world.run(15s);
    world.checkUsed();
    world.checkBounds();
}

} // namespace

TEST_CASE("random runs use what registers and nothing that signed off", "[forward][directory]")
{
    for (std::uint64_t seed = 1; seed <= 150; ++seed) {
        play(seed);
    }
}

TEST_CASE("many random runs of the directory", "[.directory-long]")
{
    play(GENERATE(range<std::uint64_t>(1000, 6000)));
}
