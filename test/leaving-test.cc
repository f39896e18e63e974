#include "figcleat/forward/forwarder.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <map>
#include <random>
#include <set>

using namespace figcleat;
using namespace figcleat::forward;
using namespace std::chrono_literals;

namespace
{

constexpr auto bookingPath = "/book/1";
constexpr auto statusPath = "/status/1";
constexpr auto streamPath = "/draft/1";

route makeRoute(std::string prefix, route_kind kind, std::string service)
{
    route one;
    one.name = { prefix };
    one.host = "desk.example";
    one.pathPrefix = std::move(prefix);
    one.kind = kind;
    one.timeout = 1500ms;
    one.objective = 400ms;
    one.attempts = 3;
    one.resumable = kind == route_kind::stream;
    one.split = { { { std::move(service) }, 1 } };
    return one;
}

route_table makeTable()
{
    route_table table;
    table.version = 3;
    table.routes = { makeRoute("/book/", route_kind::unsafe, "desk"), makeRoute("/status/", route_kind::safe, "desk"),
                     makeRoute("/draft/", route_kind::stream, "desk") };
    table.services = { { { "desk" }, 100, 0 } };
    return table;
}

registration makeRegistration(const std::string &target, std::int64_t startedMs = 1000)
{
    registration one;
    one.target = { target };
    one.order = { startedMs, 1 };
    one.service = { "desk" };
    one.address = "10.0.0." + target.substr(1) + ":80";
    one.dataCentre = { "north" };
    one.slots = 4;
    return one;
}

answer_head makeHead(int status, std::vector<target_notice> notices = {})
{
    answer_head one;
    one.status = status;
    one.notRun = status == 503;
    one.isEventStream = status == 200;
    one.notices = std::move(notices);
    return one;
}

const target_notice leaves = leaving_notice {};

/** A refusal of a target that wants no request for `left`. */
answer_head makeRefusal(duration left)
{
    return makeHead(503, { backoff_notice { left } });
}

/** A forwarder and the targets of one service. */
class fleet
{
public:
    explicit fleet(std::uint32_t targets, std::uint64_t seed = 1)
        : m_forwarder(settings(seed))
    {
        for (std::uint32_t i = 1; i <= targets; ++i) {
            enter(makeRegistration(fmt::format("t{}", i)));
        }
        m_forwarder.pool().setDirectory(&m_directory);
        m_forwarder.setNodeCount(1);
        reload();
    }

    void enter(const registration &what)
    {
        m_directory.merge(what, m_now);
    }

    void reload()
    {
        m_forwarder.setRoutes(std::make_shared<const route_index>(makeTable()));
    }

    std::vector<forward_action> arrive(const std::string &path)
    {
        caller_request request;
        request.id = { fmt::format("r{}", ++m_arrivals) };
        request.method = "POST";
        request.path = path;
        request.host = "desk.example";
        return step(request_arrived { { m_arrivals }, std::move(request) });
    }

    std::vector<forward_action> begin(attempt_number attempt, const answer_head &head)
    {
        return step(answer_started { attempt, head });
    }

    std::vector<forward_action> answer(attempt_number attempt, const answer_head &head)
    {
        auto all = begin(attempt, head);
        for (const auto &part : { step(answer_bytes { attempt, "data: a\n\n" }), step(answer_ended { attempt }) }) {
            all.insert(all.end(), part.begin(), part.end());
        }
        return all;
    }

    std::vector<forward_action> step(const forward_event &event)
    {
        return m_forwarder.step(event, m_now);
    }

    std::vector<forward_action> tickAfter(duration wait)
    {
        m_now += wait;
        return step(forward_tick {});
    }

    [[nodiscard]] const target_directory &directory() const
    {
        return m_directory;
    }

    [[nodiscard]] time_point now() const
    {
        return m_now;
    }

private:
    static forwarder_settings settings(std::uint64_t seed)
    {
        forwarder_settings chosen;
        chosen.pool.dataCentre = { "north" };
        chosen.pool.promptsPerTarget = 100;
        chosen.pool.seed = seed;
        chosen.repeatSlack = 100'000;
        chosen.seed = seed;
        return chosen;
    }

    time_point m_now { 10s };
    target_directory m_directory;
    forwarder m_forwarder;
    std::uint64_t m_arrivals = 0;
};

template<typename Action>
const Action *find(const std::vector<forward_action> &actions)
{
    for (const auto &one : actions) {
        if (const auto *found = std::get_if<Action>(&one)) {
            return found;
        }
    }
    return nullptr;
}

start_attempt startedIn(const std::vector<forward_action> &actions)
{
    const auto *started = find<start_attempt>(actions);
    REQUIRE(started != nullptr);
    return *started;
}

std::string targetOf(const std::vector<forward_action> &actions)
{
    const auto *started = find<start_attempt>(actions);
    return started == nullptr ? std::string() : started->call.target.value;
}

} // namespace

TEST_CASE("a target that says it leaves gets no further request", "[forward][leaving]")
{
    // Guards against requests that a target in shutdown cuts off, whatever its answer was and whether or not a
    // coordinator knows.
    for (const int status : { 200, 404, 500, 503 }) {
        INFO(status);
        fleet f(2);
        const auto first = startedIn(f.arrive(statusPath));
        f.answer(first.attempt, makeHead(status, { leaves }));
        f.reload();
        for (int i = 0; i < 20; ++i) {
            const auto actions = f.arrive(i % 2 == 0 ? bookingPath : streamPath);
            if (const auto *next = find<start_attempt>(actions); next != nullptr) {
                CHECK(next->call.target != first.call.target);
                f.answer(next->attempt, makeHead(200));
            }
        }
    }
}

TEST_CASE("what a target says is reported once", "[forward][leaving][rest]")
{
    // Guards against a line in the log for each answer of a target that leaves.
    fleet f(1);
    const auto first = startedIn(f.arrive(statusPath));
    const auto second = startedIn(f.arrive(statusPath));
    const auto actions = f.begin(first.attempt, makeHead(200, { leaves }));
    const auto *noted = find<target_noted>(actions);
    REQUIRE(noted != nullptr);
    CHECK(noted->id == first.call.request->id);
    CHECK(noted->life == target_incarnation { { "t1" }, 1000 });
    CHECK(noted->notice == leaves);
    CHECK(find<target_noted>(f.begin(second.attempt, makeHead(200, { leaves }))) == nullptr);
}

TEST_CASE("what runs at a target that leaves runs to its end", "[forward][leaving]")
{
    // Guards against a silent stream that is broken off for a target that is no longer there to go on with it.
    fleet f(3);
    const auto stream = startedIn(f.arrive(streamPath));
    const std::array others { startedIn(f.arrive(bookingPath)), startedIn(f.arrive(bookingPath)) };
    f.begin(stream.attempt, makeHead(200, { leaves }));
    f.step(answer_bytes { stream.attempt, "id: 1\ndata: a\n\n" });
    for (const auto &one : others) {
        REQUIRE(one.call.target != stream.call.target);
        f.begin(one.attempt, makeHead(200, { leaves }));
    }
    f.tickAfter(900ms);
    for (const auto &one : others) {
        f.step(answer_bytes { one.attempt, "booked" });
    }
    CHECK(find<cancel_attempt>(f.tickAfter(10ms)) == nullptr);
    for (const auto &one : others) {
        CHECK(find<pass_answer>(f.step(answer_ended { one.attempt })) != nullptr);
    }
    CHECK(find<end_event_stream>(f.step(answer_ended { stream.attempt })) != nullptr);
}

TEST_CASE("requests are refused at once when all targets leave", "[forward][leaving]")
{
    fleet f(2);
    std::vector<start_attempt> running;
    std::vector<forward_action> waiting;
    for (int i = 0; i < 11; ++i) {
        waiting = f.arrive(bookingPath);
        if (const auto *start = find<start_attempt>(waiting); start != nullptr) {
            running.push_back(*start);
        }
    }
    REQUIRE(running.size() == 10);
    REQUIRE(waiting.empty());
    const auto other = std::find_if(running.begin(), running.end(),
                                    [&](const auto &one) { return one.call.target != running.front().call.target; });
    REQUIRE(other != running.end());
    f.begin(running.front().attempt, makeHead(200, { leaves }));
    // The request in the queue has no target to wait for.
    const auto *refused = find<refuse_request>(f.begin(other->attempt, makeHead(200, { leaves })));
    CHECK(refused != nullptr);
    const auto actions = f.arrive(bookingPath);
    refused = find<refuse_request>(actions);
    REQUIRE(refused != nullptr);
    CHECK(refused->why.code == result_code::no_target);
    CHECK_FALSE(refused->why.mayHaveRun);
    CHECK(refused->why.retryAfter.has_value());
}

TEST_CASE("a stream is not resumed at a target that leaves", "[forward][leaving]")
{
    fleet f(2);
    const auto stream = startedIn(f.arrive(streamPath));
    f.begin(stream.attempt, makeHead(200, { leaves }));
    f.step(answer_bytes { stream.attempt, "id: 1\ndata: a\n\n" });
    const auto second = startedIn(f.step(attempt_broken { stream.attempt, false }));
    CHECK(second.call.target != stream.call.target);
    // The second target fails as well; the first one is no way back.
    CHECK(find<start_attempt>(f.step(attempt_broken { second.attempt, false })) == nullptr);
    CHECK(find<start_attempt>(f.tickAfter(100ms)) == nullptr);
}

TEST_CASE("a target that starts again is used at once, whatever its earlier life said", "[forward][leaving]")
{
    // Guards against a service without targets after a restart in which ids or addresses stay.
    fleet f(1);
    const auto early = startedIn(f.arrive(statusPath));
    const auto late = startedIn(f.arrive(statusPath));
    f.answer(early.attempt, makeHead(200, { leaves }));
    CHECK(targetOf(f.arrive(statusPath)).empty());
    f.enter(makeRegistration("t1", 2000));
    CHECK(targetOf(f.arrive(statusPath)) == "t1");
    // An answer of the earlier life says nothing about the present one.
    f.answer(late.attempt, makeHead(200, { leaves }));
    CHECK(targetOf(f.arrive(statusPath)) == "t1");
}

TEST_CASE("another target at the address of one that leaves is used at once", "[forward][leaving]")
{
    fleet f(1);
    f.answer(startedIn(f.arrive(statusPath)).attempt, makeHead(200, { leaves }));
    auto successor = makeRegistration("t1", 2000);
    successor.target = { "u1" };
    f.enter(successor);
    CHECK(targetOf(f.arrive(statusPath)) == "u1");
}

TEST_CASE("a target that asks for rest gets nothing until its end", "[forward][rest]")
{
    // Guards against requests, second tries and resumed streams that a full target has to refuse one by one.
    fleet f(2);
    const auto first = startedIn(f.arrive(statusPath));
    const auto stream = startedIn(f.arrive(streamPath));
    REQUIRE(stream.call.target != first.call.target);
    const auto second = startedIn(f.begin(first.attempt, makeRefusal(2s)));
    CHECK(second.call.target == stream.call.target);
    f.answer(second.attempt, makeHead(200));
    f.begin(stream.attempt, makeHead(200));
    f.step(answer_bytes { stream.attempt, "id: 1\ndata: a\n\n" });
    CHECK(find<start_attempt>(f.step(attempt_broken { stream.attempt, false })) == nullptr);
    f.reload();
    for (int i = 0; i < 39; ++i) {
        f.tickAfter(50ms);
        const auto actions = f.arrive(i % 2 == 0 ? bookingPath : streamPath);
        if (const auto *next = find<start_attempt>(actions); next != nullptr) {
            CHECK(next->call.target == stream.call.target);
            f.answer(next->attempt, makeHead(200));
        }
    }
}

TEST_CASE("a target gets one request at a time after its rest until one is answered well", "[forward][rest]")
{
    // Guards against a burst at the moment at which the rest is over.
    fleet f(1);
    const auto early = startedIn(f.arrive(streamPath));
    f.begin(startedIn(f.arrive(bookingPath)).attempt, makeRefusal(1s));
    f.begin(early.attempt, makeHead(200));
    f.tickAfter(1100ms);
    const auto probe = startedIn(f.arrive(bookingPath));
    // The end of what had begun before the rest does not show that the target has room.
    f.step(answer_ended { early.attempt });
    CHECK(targetOf(f.arrive(bookingPath)).empty());
    f.begin(probe.attempt, makeHead(200));
    CHECK(targetOf(f.arrive(bookingPath)) == "t1");
    CHECK(targetOf(f.arrive(bookingPath)) == "t1");
}

TEST_CASE("a refused probe begins the next rest", "[forward][rest]")
{
    fleet f(1);
    f.begin(startedIn(f.arrive(bookingPath)).attempt, makeRefusal(1s));
    for (int i = 0; i < 5; ++i) {
        f.tickAfter(1100ms);
        f.begin(startedIn(f.arrive(bookingPath)).attempt, makeRefusal(1s));
        CHECK(targetOf(f.arrive(bookingPath)).empty());
    }
}

TEST_CASE("a shorter rest does not end a longer one", "[forward][rest]")
{
    fleet f(1);
    const auto other = startedIn(f.arrive(bookingPath));
    const auto last = startedIn(f.arrive(bookingPath));
    f.begin(other.attempt, makeRefusal(2s));
    f.begin(last.attempt, makeRefusal(100ms));
    f.tickAfter(1s);
    CHECK(targetOf(f.arrive(bookingPath)).empty());
}

TEST_CASE("callers return after the rest when all targets rest", "[forward][rest]")
{
    fleet f(2);
    for (int i = 0; i < 2; ++i) {
        f.begin(startedIn(f.arrive(bookingPath)).attempt, makeRefusal(200ms));
    }
    std::set<std::int64_t> returns;
    for (int i = 0; i < 50; ++i) {
        const auto actions = f.arrive(bookingPath);
        const auto *refused = find<refuse_request>(actions);
        REQUIRE(refused != nullptr);
        CHECK_FALSE(refused->why.mayHaveRun);
        REQUIRE(refused->why.retryAfter.has_value());
        // Callers honour a third of their time.
        CHECK(*refused->why.retryAfter >= 200ms);
        CHECK(*refused->why.retryAfter <= 500ms);
        returns.insert(refused->why.retryAfter->count());
    }
    CHECK(returns.size() > 20);
    // A rest that is longer than callers honour.
    fleet g(1);
    g.begin(startedIn(g.arrive(bookingPath)).attempt, makeRefusal(30s));
    const auto actions = g.arrive(bookingPath);
    const auto *refused = find<refuse_request>(actions);
    REQUIRE(refused != nullptr);
    CHECK(*refused->why.retryAfter >= 300ms);
    CHECK(*refused->why.retryAfter <= 500ms);
}

TEST_CASE("a broken stream waits for a rest that is over soon", "[forward][rest]")
{
    // Guards against streams that break for good where all targets refuse for a moment.
    fleet f(2);
    const auto stream = startedIn(f.arrive(streamPath));
    f.begin(stream.attempt, makeHead(200));
    f.step(answer_bytes { stream.attempt, "id: 1\ndata: a\n\n" });
    const auto booking = startedIn(f.arrive(bookingPath));
    f.begin(startedIn(f.begin(booking.attempt, makeRefusal(200ms))).attempt, makeRefusal(200ms));
    CHECK(find<break_answer>(f.step(attempt_broken { stream.attempt, false })) == nullptr);
    CHECK(targetOf(f.tickAfter(100ms)).empty());
    CHECK(targetOf(f.tickAfter(150ms)) == booking.call.target.value);
}

TEST_CASE("a rest belongs to one life of a target", "[forward][rest]")
{
    fleet f(1);
    const auto early = startedIn(f.arrive(bookingPath));
    const auto late = startedIn(f.arrive(bookingPath));
    f.begin(early.attempt, makeRefusal(30s));
    CHECK(targetOf(f.arrive(bookingPath)).empty());
    f.enter(makeRegistration("t1", 2000));
    CHECK(targetOf(f.arrive(bookingPath)) == "t1");
    f.begin(late.attempt, makeRefusal(30s));
    CHECK(targetOf(f.arrive(bookingPath)) == "t1");
    auto successor = makeRegistration("t1", 3000);
    successor.target = { "u1" };
    f.enter(successor);
    CHECK(targetOf(f.arrive(bookingPath)) == "u1");
}

namespace
{

/**
 * Random requests, answers, restarts and reloads at many targets.
 *
 * Each target says nothing, or from some moment on in every answer that it leaves, and asks for rest in some of its
 * refusals. Checks each attempt that is started against what the life of its target has said.
 */
class random_run
{
public:
    explicit random_run(std::uint64_t seed)
        : m_random(seed)
        , m_fleet(targets, seed)
    {
        for (std::uint32_t i = 1; i <= targets; ++i) {
            m_started[fmt::format("t{}", i)] = 1000;
        }
    }

    void run()
    {
        constexpr int steps = 1500;
        for (int i = 0; i < steps; ++i) {
            step();
        }
    }

    /** Attempts at a target whose life had said before that it leaves. */
    [[nodiscard]] std::size_t leftBefore() const
    {
        return m_leftBefore;
    }

    /** Attempts at a target that rests. */
    [[nodiscard]] std::size_t duringRest() const
    {
        return m_duringRest;
    }

    /** Attempts beside another one at a target that has not answered well since its rest. */
    [[nodiscard]] std::size_t besideProbe() const
    {
        return m_besideProbe;
    }

    [[nodiscard]] std::size_t attempts() const
    {
        return m_attempts;
    }

private:
    static constexpr std::uint32_t targets = 12;

    using life_key = std::pair<std::string, std::int64_t>;

    /** A rest that a life of a target asked for. */
    struct rest
    {
        time_point end {};
        bool isReturning = false;
        /** Attempts in flight that started after the rest. */
        std::set<std::uint64_t> probes;
    };

    struct running_attempt
    {
        attempt_number number;
        target_incarnation life;
        bool isStream = false;
        bool hasBegun = false;
    };

    std::uint64_t draw(std::uint64_t below)
    {
        return std::uniform_int_distribution<std::uint64_t>(0, below - 1)(m_random);
    }

    void step()
    {
        switch (draw(12)) {
        case 0:
            enterAgain();
            break;
        case 1:
            m_fleet.reload();
            break;
        case 2:
            see(m_fleet.tickAfter(std::chrono::milliseconds(draw(80))));
            break;
        case 3:
        case 4:
        case 5:
        case 6:
        case 7: {
            static constexpr std::array paths { bookingPath, statusPath, streamPath };
            see(m_fleet.arrive(paths.at(draw(paths.size()))));
            break;
        }
        default:
            goOn();
        }
    }

    /** A target starts again, with its id or a new one at its address. */
    void enterAgain()
    {
        auto one = std::next(m_started.begin(), static_cast<std::ptrdiff_t>(draw(m_started.size())));
        const auto entry = m_fleet.directory().find({ one->first });
        auto what = entry->latest;
        what.order.startedMs = ++m_lastStart;
        if (draw(2) == 0) {
            what.target = { fmt::format("u{}", m_lastStart) };
            m_started.erase(one);
        }
        m_started[what.target.value] = m_lastStart;
        m_fleet.enter(what);
    }

    /** One of the attempts, early or late, gets an answer or a part of one. */
    void goOn()
    {
        if (m_running.empty()) {
            return;
        }
        const auto at = std::next(m_running.begin(), static_cast<std::ptrdiff_t>(draw(m_running.size())));
        auto &attempt = at->second;
        const auto number = attempt.number;
        if (!attempt.hasBegun) {
            const auto life = attempt.life;
            const bool isPresent
                = m_started.contains(life.target.value) && m_started.at(life.target.value) == life.startedMs;
            const bool isLeaving = m_leaving.contains(key(life)) || draw(8) == 0;
            const bool refuses = draw(6) == 0;
            attempt.hasBegun = true;
            std::vector<target_notice> notices;
            if (isLeaving) {
                notices.push_back(leaves);
                m_leaving.insert(key(life));
                m_lateNotices += isPresent ? 0 : 1;
            }
            auto &one = m_rests[key(life)];
            if (refuses && draw(2) == 0) {
                const milliseconds left(50 + draw(2000));
                notices.emplace_back(backoff_notice { left });
                if (m_fleet.now() + left > one.end) {
                    one = { m_fleet.now() + left, true, {} };
                }
            }
            if (refuses) {
                one.probes.erase(number.value);
            } else if (one.probes.contains(number.value)) {
                one = { one.end, false, {} };
            }
            const int status = refuses ? 503 : 200;
            see(m_fleet.begin(number, makeHead(status, notices)));
            return;
        }
        if (draw(4) == 0) {
            forget(at);
            see(m_fleet.step(attempt_broken { number, false }));
        } else if (draw(3) == 0) {
            see(m_fleet.step(answer_bytes { number, "id: 1\ndata: a\n\n" }));
        } else {
            forget(at);
            see(m_fleet.step(answer_ended { number }));
        }
    }

    void forget(std::map<std::uint64_t, running_attempt>::iterator at)
    {
        m_rests[key(at->second.life)].probes.erase(at->first);
        m_running.erase(at);
    }

    void see(const std::vector<forward_action> &actions)
    {
        for (const auto &one : actions) {
            if (const auto *start = std::get_if<start_attempt>(&one)) {
                ++m_attempts;
                const auto &target = start->call.target;
                const target_incarnation life { target, m_fleet.directory().find(target)->latest.order.startedMs };
                m_leftBefore += m_leaving.contains(key(life)) ? 1 : 0;
                m_running[start->attempt.value] = { start->attempt, life };
                auto &one = m_rests[key(life)];
                m_duringRest += m_fleet.now() < one.end ? 1 : 0;
                if (one.isReturning) {
                    m_besideProbe += one.probes.empty() ? 0 : 1;
                    one.probes.insert(start->attempt.value);
                }
            } else if (const auto *cancel = std::get_if<cancel_attempt>(&one)) {
                if (const auto at = m_running.find(cancel->attempt.value); at != m_running.end()) {
                    forget(at);
                }
            }
        }
    }

    static life_key key(const target_incarnation &life)
    {
        return { life.target.value, life.startedMs };
    }

    std::mt19937_64 m_random;
    fleet m_fleet;
    /** Start of the present life of each target. */
    std::map<std::string, std::int64_t> m_started;
    std::int64_t m_lastStart = 1000;
    std::map<std::uint64_t, running_attempt> m_running;
    /** Lives that have said that they leave. */
    std::set<life_key> m_leaving;
    std::map<life_key, rest> m_rests;
    std::size_t m_duringRest = 0;
    std::size_t m_besideProbe = 0;
    std::size_t m_leftBefore = 0;
    std::size_t m_lateNotices = 0;
    std::size_t m_attempts = 0;
};

} // namespace

TEST_CASE("attempts keep to what each life of a target has said of itself", "[forward][leaving][rest][random]")
{
    constexpr std::uint64_t seeds = 40;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        INFO("seed " << seed);
        random_run one(seed);
        one.run();
        CHECK(one.leftBefore() == 0);
        CHECK(one.duringRest() == 0);
        CHECK(one.besideProbe() == 0);
        // Restarts bring targets back, so that requests still run.
        CHECK(one.attempts() > 100);
    }
}
