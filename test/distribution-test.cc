#include "figcleat/core/invariant.h"
#include "figcleat/core/overloaded.h"
#include "figcleat/distribution/replica.h"

#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <set>

using namespace figcleat;
using namespace figcleat::distribution;

namespace
{

constexpr time_point start { std::chrono::hours(1) };

agreed::configuration_in_force fileOf(std::uint64_t revision, std::uint64_t number, std::size_t size = 46'000)
{
    return { { revision }, number, std::string(size, static_cast<char>('a' + number % 26)), {}, {} };
}

replica_settings settingsOf(const std::string &self = "n1", const std::string &dataCentre = "north")
{
    return { .self = { self },
             .dataCentre = { dataCentre },
             .entries = { { { "n1" }, { "north" } },
                          { { "n2" }, { "north" } },
                          { { "n3" }, { "north" } },
                          { { "s1" }, { "south" } },
                          { { "s2" }, { "south" } },
                          { { "s3" }, { "south" } } },
             .seed = 7,
             .fileTakesOut = [](const std::string &content) { return content == "north is out"; } };
}

template<typename Action>
std::vector<Action> only(const std::vector<replica_action> &actions)
{
    std::vector<Action> found;
    for (const replica_action &action : actions) {
        if (const auto *held = std::get_if<Action>(&action)) {
            found.push_back(*held);
        }
    }
    return found;
}

void feed(replica &process, const replica_event &event)
{
    static_cast<void>(process.step(event, start));
}

heartbeat_received heartbeatOf(const std::string &from, std::uint64_t revision)
{
    return { { from }, { { revision }, { from[0] == 'n' ? "north" : "south" }, {} } };
}

/** Processes n1 to n3 and s1 to s3 with messages that arrive one tick of 50 ms later, unless a side is cut off. */
struct network
{
    std::map<std::string, replica> processes;
    std::deque<std::pair<std::string, replica_event>> mail;
    bool northIsCut = false;
    time_point now = start;

    network()
    {
        for (const std::string name : { "n1", "n2", "n3", "s1", "s2", "s3" }) {
            replica_settings settings = settingsOf(name, name[0] == 'n' ? "north" : "south");
            settings.seed = std::hash<std::string> {}(name);
            processes.emplace(name, replica(settings, fileOf(1, 1)));
        }
    }
    void step(const std::string &name, const replica_event &event)
    {
        for (const replica_action &action : processes.at(name).step(event, now)) {
            std::visit(overloaded { [&](const send_heartbeat &m) { post<heartbeat_received>(name, m); },
                                    [&](const send_fetch &m) { post<fetch_received>(name, m); },
                                    [&](const send_decline &m) { post<decline_received>(name, m); },
                                    [&](const send_configuration &m) { post<configuration_received>(name, m); },
                                    [](const in_force & /*m*/) {} },
                       action);
        }
    }
    template<typename Event, typename Sent>
    void post(const std::string &from, const Sent &sent)
    {
        if (!northIsCut || from[0] == sent.to.value[0]) {
            mail.emplace_back(sent.to.value, Event { { from }, sent.message });
        }
    }
    void run(duration length)
    {
        for (const time_point end = now + length; now < end; now += std::chrono::milliseconds(50)) {
            for (auto count = mail.size(); count > 0; --count) {
                const auto [to, event] = mail.front();
                mail.pop_front();
                step(to, event);
            }
            for (const auto &[name, held] : processes) {
                step(name, tick {});
            }
        }
    }
    [[nodiscard]] std::size_t countAt(std::uint64_t revision) const
    {
        return std::ranges::count_if(
            processes, [&](const auto &item) { return item.second.configuration().revision.value == revision; });
    }
    [[nodiscard]] std::size_t countOut() const
    {
        return std::ranges::count_if(processes, [](const auto &item) { return item.second.isOutLocally(); });
    }
};

} // namespace

// Guards against a late or repeated message that puts an older configuration in force (I9).
TEST_CASE("a process never goes back", "[distribution]")
{
    replica process(settingsOf(), fileOf(5, 5));
    for (const std::uint64_t revision : { 4, 5, 1 }) {
        const auto actions = process.step(configuration_received { { "n2" }, { fileOf(revision, revision) } }, start);
        CHECK(only<in_force>(actions).empty());
        CHECK(only<in_force>(process.step(committed { fileOf(revision, revision) }, start)).empty());
        CHECK(only<send_fetch>(process.step(heartbeatOf("n2", revision), start)).empty());
    }
    CHECK(process.configuration() == fileOf(5, 5));
    CHECK(only<in_force>(process.step(committed { fileOf(6, 6) }, start)).size() == 1);
    CHECK_THROWS_AS(process.step(committed { fileOf(6, 7) }, start), invariant_violation);
    CHECK_THROWS_AS(process.step(committed { fileOf(7, 2) }, start), invariant_violation);
}

// Guards against a mix of late, lost and repeated events that lowers the revision or applies one without saying so.
TEST_CASE("random events never lower the revision", "[distribution]")
{
    std::mt19937_64 random(11);
    const auto below = [&](std::uint64_t bound) { return random() % bound; };
    replica process(settingsOf());
    time_point now = start;
    for (int i = 0; i < 5000; ++i) {
        const std::uint64_t revision = below(4) + static_cast<std::uint64_t>(i) / 100 + 1;
        const std::string from = std::string(below(2) == 0 ? "n" : "s") + std::to_string(below(3) + 1);
        const std::vector<replica_event> events { tick {},
                                                  heartbeatOf(from, revision),
                                                  decline_received { { from }, {} },
                                                  fetch_received { { from }, { { revision }, revision } },
                                                  configuration_received { { from },
                                                                           { fileOf(revision, revision, 9) } },
                                                  committed { fileOf(revision, revision, 9) } };
        const std::uint64_t before = process.configuration().revision.value;
        now += std::chrono::milliseconds(below(100));
        const auto actions = process.step(events[below(events.size())], now);
        REQUIRE(process.configuration().revision.value >= before);
        REQUIRE(only<in_force>(actions).size() == (process.configuration().revision.value > before ? 1 : 0));
        REQUIRE(only<send_fetch>(actions).size() <= 1);
    }
}

// Guards against a process that stays behind although it greets others that are ahead, and against a change that
// waits for the next period before anyone hears of it.
TEST_CASE("a change is announced at once and to whoever is behind", "[distribution]")
{
    replica process(settingsOf(), fileOf(5, 5));
    const auto answer = only<send_heartbeat>(process.step(heartbeatOf("s2", 4), start));
    REQUIRE(answer.size() == 1);
    CHECK(answer[0].to.value == "s2");
    CHECK(answer[0].message.revision.value == 5);
    CHECK(process.step(heartbeatOf("s2", 5), start).empty());
    const auto announced = only<send_heartbeat>(process.step(committed { fileOf(6, 6) }, start));
    REQUIRE(announced.size() == 3);
    CHECK(announced[0].message.revision.value == 6);
}

// Guards against a process that serves callers or passes on nothing as a configuration before it has one.
TEST_CASE("a process without a configuration serves nothing until it has fetched one", "[distribution]")
{
    replica process(settingsOf());
    CHECK_FALSE(process.isConfigured());
    CHECK(only<in_force>(process.step(override_requested { true }, start)).empty());
    const auto asked = only<send_heartbeat>(process.step(tick {}, start));
    REQUIRE(asked.size() >= 3);
    CHECK(asked[0].message.revision.value == 0);
    CHECK(only<send_decline>(process.step(fetch_received { { "n2" }, {} }, start)).size() == 1);
    CHECK(only<send_fetch>(process.step(heartbeatOf("n2", 3), start)).size() == 1);
    const auto applied = only<in_force>(process.step(configuration_received { { "n2" }, { fileOf(3, 3) } }, start));
    REQUIRE(applied.size() == 1);
    CHECK(applied[0].outLocally);
    CHECK(process.isConfigured());
    CHECK(replica(settingsOf(), fileOf(3, 3)).isConfigured());
}

// Guards against waiting for ever for a source that is frozen, and against asking everyone at once.
TEST_CASE("a fetch goes to another holder after a timeout or a refusal", "[distribution]")
{
    replica process(settingsOf(), fileOf(1, 1));
    const auto first = only<send_fetch>(process.step(heartbeatOf("n2", 2), start));
    REQUIRE(first.size() == 1);
    CHECK(first[0].to.value == "n2");
    CHECK(only<send_fetch>(process.step(heartbeatOf("s1", 2), start)).empty());
    CHECK(only<send_fetch>(process.step(heartbeatOf("s2", 2), start)).empty());
    CHECK(only<send_fetch>(process.step(tick {}, start + std::chrono::milliseconds(249))).empty());
    const auto second = only<send_fetch>(process.step(tick {}, start + std::chrono::milliseconds(250)));
    REQUIRE(second.size() == 1);
    CHECK(second[0].to.value != "n2");
    const time_point later = start + std::chrono::milliseconds(260);
    CHECK(only<send_fetch>(process.step(decline_received { { "n2" }, {} }, later)).empty());
    const auto third = only<send_fetch>(process.step(decline_received { second[0].to, {} }, later));
    REQUIRE(third.size() == 1);
    CHECK(third[0].to != second[0].to);
}

// Guards against targets that stay behind because the last entry of their data centre has no bandwidth left.
TEST_CASE("a target that is refused nearby asks any entry", "[distribution]")
{
    replica_settings settings = settingsOf("t1");
    settings.role = replica_role::target;
    replica target(settings, fileOf(1, 1));
    feed(target, tick {});
    std::set<char> asked;
    time_point now = start;
    for (int i = 0; i < 40; ++i) {
        now += std::chrono::milliseconds(50);
        static_cast<void>(target.step(heartbeatOf("n1", 2), now));
        static_cast<void>(target.step(decline_received { { "n1" }, {} }, now));
        for (const send_heartbeat &sent : only<send_heartbeat>(target.step(tick {}, now))) {
            asked.insert(sent.to.value[0]);
        }
    }
    CHECK(asked.contains('s'));
}

// Guards against one node that sends copies to everybody (the design allows it 23 KB/s).
TEST_CASE("copies are bounded in bandwidth", "[distribution]")
{
    replica process(settingsOf(), fileOf(9, 9));
    std::size_t copies = 0;
    for (int second = 0; second < 200; ++second) {
        for (int i = 0; i < 10; ++i) {
            const auto actions
                = process.step(fetch_received { { "n2" }, { { 1 }, 1 } }, start + std::chrono::seconds(second));
            copies += only<send_configuration>(actions).size();
            CHECK(only<send_configuration>(actions).size() + only<send_decline>(actions).size() == 1);
        }
        if (second == 0) {
            CHECK(copies == 5);
        }
    }
    CHECK(copies * 46'000 > 200 * 22'000);
    CHECK(copies * 46'000 <= 200 * 23'000 + 240'000);
}

// Guards against sending the whole file to a process that already holds it, against a copy without its file, and
// against a data centre that stays in because a node has no bandwidth left to say so.
TEST_CASE("a file that the fetcher holds is not sent again", "[distribution]")
{
    agreed::configuration_in_force changed = fileOf(8, 5);
    changed.dataCentresOut = { { "south" } };
    replica_settings settings = settingsOf("n2");
    settings.burstBytes = 46'256;
    replica source(settings, changed);
    const auto sent = only<send_configuration>(source.step(fetch_received { { "n1" }, { { 5 }, 5 } }, start));
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].message.configuration.content.empty());
    CHECK(only<send_configuration>(source.step(fetch_received { { "n1" }, { { 1 }, 1 } }, start)).size() == 1);
    CHECK(only<send_configuration>(source.step(fetch_received { { "n1" }, { { 1 }, 1 } }, start)).empty());
    CHECK(only<send_configuration>(source.step(fetch_received { { "n1" }, { { 5 }, 5 } }, start)).size() == 1);
    replica process(settingsOf(), fileOf(5, 5));
    feed(process, configuration_received { { "n2" }, sent[0].message });
    CHECK(process.configuration() == changed);
    replica other(settingsOf(), fileOf(4, 4));
    feed(other, heartbeatOf("n2", 8));
    const auto again = other.step(configuration_received { { "n2" }, sent[0].message }, start);
    CHECK(only<send_fetch>(again).size() == 1);
    CHECK(other.configuration() == fileOf(4, 4));
}

// Guards against processes of a data centre that stay behind after a partition, and against going back in it.
TEST_CASE("a data centre that was cut off catches up", "[distribution]")
{
    network net;
    net.northIsCut = true;
    net.step("s1", committed { fileOf(2, 2) });
    net.run(std::chrono::seconds(4));
    CHECK(net.countAt(2) == 3);
    CHECK(net.countAt(1) == 3);
    net.northIsCut = false;
    net.run(std::chrono::seconds(4));
    CHECK(net.countAt(2) == 6);
}

// Guards against a drained data centre that goes on, or that stays out after agreed commands brought it back.
TEST_CASE("a local override holds inside until the agreed state decides", "[distribution]")
{
    network net;
    net.northIsCut = true;
    net.step("n2", override_requested { true });
    net.run(std::chrono::seconds(1));
    CHECK(net.countOut() == 3);
    net.northIsCut = false;
    net.step("s1", committed { fileOf(2, 2) });
    net.run(std::chrono::seconds(4));
    CHECK(net.countAt(2) == 6);
    CHECK(net.countOut() == 3);

    SECTION("a command takes it out")
    {
        agreed::configuration_in_force out = fileOf(3, 2);
        out.dataCentresOut = { { "north" } };
        net.step("s1", committed { out });
    }
    SECTION("a file takes it out")
    {
        agreed::configuration_in_force out = fileOf(3, 3);
        out.content = "north is out";
        net.step("s1", committed { out });
    }
    SECTION("commands took it out and back, of which only the last is seen")
    {
        agreed::configuration_in_force back = fileOf(3, 2);
        back.dataCentresIn = { { { "north" }, { 3 } } };
        net.step("s1", committed { back });
    }
    SECTION("operators inside end it")
    {
        net.step("s1", committed { fileOf(3, 3) });
        net.step("n3", override_requested { false });
    }
    net.run(std::chrono::seconds(4));
    CHECK(net.countAt(3) == 6);
    CHECK(net.countOut() == 0);
}

// Guards against an earlier decision to bring the data centre back that ends a later local override.
TEST_CASE("a local override outlasts earlier decisions and late heartbeats", "[distribution]")
{
    agreed::configuration_in_force held = fileOf(4, 2);
    held.dataCentresIn = { { { "north" }, { 4 } } };
    replica process(settingsOf(), held);
    feed(process, override_requested { true });
    agreed::configuration_in_force next = held;
    next.revision = { 6 };
    feed(process, committed { next });
    CHECK(process.isOutLocally());
    next.revision = { 7 };
    next.dataCentresIn = {};
    next.dataCentresOut = { { "north" } };
    feed(process, committed { next });
    CHECK_FALSE(process.isOutLocally());
    const auto answer
        = process.step(heartbeat_received { { "n2" }, { { 4 }, { "north" }, { 1, { 4 }, true } } }, start);
    CHECK_FALSE(process.isOutLocally());
    CHECK(only<send_heartbeat>(answer).size() == 1);
    feed(process, heartbeat_received { { "s1" }, { { 4 }, { "south" }, { 9, { 4 }, true } } });
    CHECK_FALSE(process.isOutLocally());
}

// Guards against gossip that reaches the process itself, the same peer twice or, from a target, far entries.
TEST_CASE("partners are different, seeded and fit the role", "[distribution]")
{
    partners choice(3, { "n1" }, { "north" }, settingsOf().entries);
    partners same(3, { "n1" }, { "north" }, settingsOf().entries);
    std::set<peer_address> seen;
    for (int i = 0; i < 100; ++i) {
        const auto chosen = choice.anywhere(3);
        CHECK(chosen == same.anywhere(3));
        const std::set<peer_address> different(chosen.begin(), chosen.end());
        CHECK(different.size() == 3);
        seen.insert(chosen.begin(), chosen.end());
    }
    CHECK(seen.size() == 5);
    CHECK_FALSE(seen.contains({ "n1" }));

    replica_settings settings = settingsOf("t1");
    settings.role = replica_role::target;
    replica target(settings);
    for (int period = 0; period < 20; ++period) {
        const auto sent = only<send_heartbeat>(target.step(tick {}, start + period * settings.period));
        CHECK(sent.size() == 2);
        CHECK(std::ranges::all_of(sent, [](const send_heartbeat &one) { return one.to.value[0] == 'n'; }));
    }
}
