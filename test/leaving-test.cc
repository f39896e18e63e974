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
    route result;
    result.name = { prefix };
    result.host = "desk.example";
    result.pathPrefix = std::move(prefix);
    result.kind = kind;
    result.timeout = 1500ms;
    result.objective = 400ms;
    result.attempts = 3;
    result.resumable = kind == route_kind::stream;
    result.split = { { { std::move(service) }, 1 } };
    return result;
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
    registration result;
    result.target = { target };
    result.order = { startedMs, 1 };
    result.service = { "desk" };
    result.address = "10.0.0." + target.substr(1) + ":80";
    result.dataCentre = { "north" };
    result.slots = 4;
    return result;
}

answer_head makeHead(int status, std::vector<target_notice> notices = {})
{
    answer_head head;
    head.status = status;
    head.notRun = status == 503;
    head.isEventStream = status == 200;
    head.notices = std::move(notices);
    return head;
}

const target_notice leavingNotice = leaving_notice {};

/** A refusal by a target that asks for a backoff of `left`. */
answer_head makeRefusal(duration left)
{
    return makeHead(503, { backoff_notice { left } });
}

/** A forwarder with the targets of one service and a simulated clock. */
class fleet
{
public:
    explicit fleet(std::uint32_t targets, std::uint64_t seed = 1)
        : m_forwarder(settings(seed))
    {
        for (std::uint32_t i = 1; i <= targets; ++i) {
            registerTarget(makeRegistration(fmt::format("t{}", i)));
        }
        m_forwarder.pool().setDirectory(&m_directory);
        m_forwarder.setNodeCount(1);
        reload();
    }

    void registerTarget(const registration &target)
    {
        m_directory.merge(target, m_now);
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

    std::vector<forward_action> startAnswer(attempt_number attempt, const answer_head &head)
    {
        return step(answer_started { attempt, head });
    }

    std::vector<forward_action> answer(attempt_number attempt, const answer_head &head)
    {
        auto all = startAnswer(attempt, head);
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
        chosen.pool.maxPrefillsPerTarget = 100;
        chosen.pool.seed = seed;
        chosen.retrySlack = 100'000;
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

TEST_CASE("a target that announces its shutdown gets no further request", "[forward][leaving]")
{
    // Guards against requests that a target in shutdown would cut off. The notice counts with every status of the
    // answer, and without any report from a coordinator.
    for (const int status : { 200, 404, 500, 503 }) {
        INFO(status);
        fleet f(2);
        const auto first = startedIn(f.arrive(statusPath));
        f.answer(first.attempt, makeHead(status, { leavingNotice }));
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

TEST_CASE("a target's notice is reported once", "[forward][leaving][rest]")
{
    // Guards against a log line for each answer of a target that shuts down.
    fleet f(1);
    const auto first = startedIn(f.arrive(statusPath));
    const auto second = startedIn(f.arrive(statusPath));
    const auto actions = f.startAnswer(first.attempt, makeHead(200, { leavingNotice }));
    const auto *noted = find<notice_applied>(actions);
    REQUIRE(noted != nullptr);
    CHECK(noted->id == first.call.request->id);
    CHECK(noted->incarnation == target_incarnation { { "t1" }, 1000 });
    CHECK(noted->notice == leavingNotice);
    CHECK(find<notice_applied>(f.startAnswer(second.attempt, makeHead(200, { leavingNotice }))) == nullptr);
}

TEST_CASE("requests in progress at a target that shuts down are completed", "[forward][leaving]")
{
    // Guards against cancelling a silent stream although no other target is left to resume the stream.
    fleet f(3);
    const auto stream = startedIn(f.arrive(streamPath));
    const std::array others { startedIn(f.arrive(bookingPath)), startedIn(f.arrive(bookingPath)) };
    f.startAnswer(stream.attempt, makeHead(200, { leavingNotice }));
    f.step(answer_bytes { stream.attempt, "id: 1\ndata: a\n\n" });
    for (const auto &one : others) {
        REQUIRE(one.call.target != stream.call.target);
        f.startAnswer(one.attempt, makeHead(200, { leavingNotice }));
    }
    f.tickAfter(900ms);
    for (const auto &one : others) {
        f.step(answer_bytes { one.attempt, "booked" });
    }
    CHECK(find<cancel_attempt>(f.tickAfter(10ms)) == nullptr);
    for (const auto &one : others) {
        CHECK(find<send_answer>(f.step(answer_ended { one.attempt })) != nullptr);
    }
    CHECK(find<end_event_stream>(f.step(answer_ended { stream.attempt })) != nullptr);
}

TEST_CASE("requests are refused at once when all targets shut down", "[forward][leaving]")
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
    f.startAnswer(running.front().attempt, makeHead(200, { leavingNotice }));
    // With the second notice no target is left for the queued request, which is refused at once.
    const auto *refused = find<refuse_request>(f.startAnswer(other->attempt, makeHead(200, { leavingNotice })));
    CHECK(refused != nullptr);
    const auto actions = f.arrive(bookingPath);
    refused = find<refuse_request>(actions);
    REQUIRE(refused != nullptr);
    CHECK(refused->details.code == result_code::no_target);
    CHECK_FALSE(refused->details.mayHaveRun);
    CHECK(refused->details.retryAfter.has_value());
}

TEST_CASE("a stream is not resumed at a target that shuts down", "[forward][leaving]")
{
    fleet f(2);
    const auto stream = startedIn(f.arrive(streamPath));
    f.startAnswer(stream.attempt, makeHead(200, { leavingNotice }));
    f.step(answer_bytes { stream.attempt, "id: 1\ndata: a\n\n" });
    const auto second = startedIn(f.step(attempt_failed { stream.attempt, false }));
    CHECK(second.call.target != stream.call.target);
    // The second target fails as well; the stream must not return to the first one.
    CHECK(find<start_attempt>(f.step(attempt_failed { second.attempt, false })) == nullptr);
    CHECK(find<start_attempt>(f.tickAfter(100ms)) == nullptr);
}

TEST_CASE("a restarted target is used at once, whatever its earlier incarnation announced", "[forward][leaving]")
{
    // Guards against a service without usable targets after a restart that keeps the targets' ids or addresses.
    fleet f(1);
    const auto early = startedIn(f.arrive(statusPath));
    const auto late = startedIn(f.arrive(statusPath));
    f.answer(early.attempt, makeHead(200, { leavingNotice }));
    CHECK(targetOf(f.arrive(statusPath)).empty());
    f.registerTarget(makeRegistration("t1", 2000));
    CHECK(targetOf(f.arrive(statusPath)) == "t1");
    // A late answer of the earlier incarnation does not affect the present one.
    f.answer(late.attempt, makeHead(200, { leavingNotice }));
    CHECK(targetOf(f.arrive(statusPath)) == "t1");
}

TEST_CASE("another target at the address of a target that shuts down is used at once", "[forward][leaving]")
{
    fleet f(1);
    f.answer(startedIn(f.arrive(statusPath)).attempt, makeHead(200, { leavingNotice }));
    auto successor = makeRegistration("t1", 2000);
    successor.target = { "u1" };
    f.registerTarget(successor);
    CHECK(targetOf(f.arrive(statusPath)) == "u1");
}

TEST_CASE("a target that asks for a backoff gets no request until the backoff ends", "[forward][rest]")
{
    // Guards against new requests, retries and resumed streams that a full target would have to refuse one by one.
    fleet f(2);
    const auto first = startedIn(f.arrive(statusPath));
    const auto stream = startedIn(f.arrive(streamPath));
    REQUIRE(stream.call.target != first.call.target);
    const auto second = startedIn(f.startAnswer(first.attempt, makeRefusal(2s)));
    CHECK(second.call.target == stream.call.target);
    f.answer(second.attempt, makeHead(200));
    f.startAnswer(stream.attempt, makeHead(200));
    f.step(answer_bytes { stream.attempt, "id: 1\ndata: a\n\n" });
    CHECK(find<start_attempt>(f.step(attempt_failed { stream.attempt, false })) == nullptr);
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

TEST_CASE("a target gets one request at a time after a backoff until it accepts a request", "[forward][rest]")
{
    // Guards against a burst of requests at the end of the backoff.
    fleet f(1);
    const auto early = startedIn(f.arrive(streamPath));
    f.startAnswer(startedIn(f.arrive(bookingPath)).attempt, makeRefusal(1s));
    f.startAnswer(early.attempt, makeHead(200));
    f.tickAfter(1100ms);
    const auto probe = startedIn(f.arrive(bookingPath));
    // The end of an answer that had begun before the backoff does not show that the target has capacity again.
    f.step(answer_ended { early.attempt });
    CHECK(targetOf(f.arrive(bookingPath)).empty());
    f.startAnswer(probe.attempt, makeHead(200));
    CHECK(targetOf(f.arrive(bookingPath)) == "t1");
    CHECK(targetOf(f.arrive(bookingPath)) == "t1");
}

TEST_CASE("a refused probe starts the next backoff", "[forward][rest]")
{
    fleet f(1);
    f.startAnswer(startedIn(f.arrive(bookingPath)).attempt, makeRefusal(1s));
    for (int i = 0; i < 5; ++i) {
        f.tickAfter(1100ms);
        f.startAnswer(startedIn(f.arrive(bookingPath)).attempt, makeRefusal(1s));
        CHECK(targetOf(f.arrive(bookingPath)).empty());
    }
}

TEST_CASE("a shorter backoff does not end a longer one", "[forward][rest]")
{
    fleet f(1);
    const auto other = startedIn(f.arrive(bookingPath));
    const auto last = startedIn(f.arrive(bookingPath));
    f.startAnswer(other.attempt, makeRefusal(2s));
    f.startAnswer(last.attempt, makeRefusal(100ms));
    f.tickAfter(1s);
    CHECK(targetOf(f.arrive(bookingPath)).empty());
}

TEST_CASE("callers are told to retry after the backoff when all targets are in backoff", "[forward][rest]")
{
    fleet f(2);
    for (int i = 0; i < 2; ++i) {
        f.startAnswer(startedIn(f.arrive(bookingPath)).attempt, makeRefusal(200ms));
    }
    std::set<std::int64_t> returns;
    for (int i = 0; i < 50; ++i) {
        const auto actions = f.arrive(bookingPath);
        const auto *refused = find<refuse_request>(actions);
        REQUIRE(refused != nullptr);
        CHECK_FALSE(refused->details.mayHaveRun);
        REQUIRE(refused->details.retryAfter.has_value());
        // Callers honour a delay of up to a third of their 1500 ms.
        CHECK(*refused->details.retryAfter >= 200ms);
        CHECK(*refused->details.retryAfter <= 500ms);
        returns.insert(refused->details.retryAfter->count());
    }
    CHECK(returns.size() > 20);
    // A backoff longer than the delay that callers honour does not change the usual range.
    fleet g(1);
    g.startAnswer(startedIn(g.arrive(bookingPath)).attempt, makeRefusal(30s));
    const auto actions = g.arrive(bookingPath);
    const auto *refused = find<refuse_request>(actions);
    REQUIRE(refused != nullptr);
    CHECK(*refused->details.retryAfter >= 300ms);
    CHECK(*refused->details.retryAfter <= 500ms);
}

TEST_CASE("a broken stream waits for a backoff that ends soon", "[forward][rest]")
{
    // Guards against streams that are aborted although all targets refuse requests only for a moment.
    fleet f(2);
    const auto stream = startedIn(f.arrive(streamPath));
    f.startAnswer(stream.attempt, makeHead(200));
    f.step(answer_bytes { stream.attempt, "id: 1\ndata: a\n\n" });
    const auto booking = startedIn(f.arrive(bookingPath));
    f.startAnswer(startedIn(f.startAnswer(booking.attempt, makeRefusal(200ms))).attempt, makeRefusal(200ms));
    CHECK(find<abort_answer>(f.step(attempt_failed { stream.attempt, false })) == nullptr);
    CHECK(targetOf(f.tickAfter(100ms)).empty());
    CHECK(targetOf(f.tickAfter(150ms)) == booking.call.target.value);
}

TEST_CASE("a backoff applies to one incarnation of a target", "[forward][rest]")
{
    fleet f(1);
    const auto early = startedIn(f.arrive(bookingPath));
    const auto late = startedIn(f.arrive(bookingPath));
    f.startAnswer(early.attempt, makeRefusal(30s));
    CHECK(targetOf(f.arrive(bookingPath)).empty());
    f.registerTarget(makeRegistration("t1", 2000));
    CHECK(targetOf(f.arrive(bookingPath)) == "t1");
    f.startAnswer(late.attempt, makeRefusal(30s));
    CHECK(targetOf(f.arrive(bookingPath)) == "t1");
    auto successor = makeRegistration("t1", 3000);
    successor.target = { "u1" };
    f.registerTarget(successor);
    CHECK(targetOf(f.arrive(bookingPath)) == "u1");
}

namespace
{

/**
 * Random requests, answers, target restarts and route reloads with many targets.
 *
 * Any incarnation of a target may announce its shutdown, from then on in every answer, and asks for a backoff in some
 * of its refusals. Counts the attempts that contradict the earlier notices of their target's incarnation.
 */
class random_run
{
public:
    explicit random_run(std::uint64_t seed)
        : m_random(seed)
        , m_fleet(targets, seed)
    {
        for (std::uint32_t i = 1; i <= targets; ++i) {
            m_startTimes[fmt::format("t{}", i)] = 1000;
        }
    }

    void run()
    {
        constexpr int steps = 1500;
        for (int i = 0; i < steps; ++i) {
            step();
        }
    }

    /** Attempts at an incarnation that had announced its shutdown. */
    [[nodiscard]] std::size_t attemptsAfterLeaving() const
    {
        return m_attemptsAfterLeaving;
    }

    /** Attempts at a target in backoff. */
    [[nodiscard]] std::size_t attemptsDuringBackoff() const
    {
        return m_attemptsDuringBackoff;
    }

    /** Attempts at a target that already had a probe and has accepted no request since its backoff. */
    [[nodiscard]] std::size_t attemptsBesideProbe() const
    {
        return m_attemptsBesideProbe;
    }

    [[nodiscard]] std::size_t attempts() const
    {
        return m_attempts;
    }

private:
    static constexpr std::uint32_t targets = 12;

    using incarnation_key = std::pair<std::string, std::int64_t>;

    /** Backoff that an incarnation of a target asked for. */
    struct backoff_state
    {
        time_point end {};
        bool isProbing = false;
        /** Attempts in flight that started after the backoff. */
        std::set<std::uint64_t> probes;
    };

    struct running_attempt
    {
        attempt_number number;
        target_incarnation incarnation;
        bool isStream = false;
        bool hasAnswerStarted = false;
    };

    std::uint64_t draw(std::uint64_t below)
    {
        return std::uniform_int_distribution<std::uint64_t>(0, below - 1)(m_random);
    }

    void step()
    {
        switch (draw(12)) {
        case 0:
            restartTarget();
            break;
        case 1:
            m_fleet.reload();
            break;
        case 2:
            process(m_fleet.tickAfter(std::chrono::milliseconds(draw(80))));
            break;
        case 3:
        case 4:
        case 5:
        case 6:
        case 7: {
            static constexpr std::array paths { bookingPath, statusPath, streamPath };
            process(m_fleet.arrive(paths.at(draw(paths.size()))));
            break;
        }
        default:
            advanceRandomAttempt();
        }
    }

    /** Restarts a random target at its address, with the same id or a new one. */
    void restartTarget()
    {
        auto one = std::next(m_startTimes.begin(), static_cast<std::ptrdiff_t>(draw(m_startTimes.size())));
        const auto entry = m_fleet.directory().find({ one->first });
        auto restarted = entry->latest;
        restarted.order.startedMs = ++m_lastStart;
        if (draw(2) == 0) {
            restarted.target = { fmt::format("u{}", m_lastStart) };
            m_startTimes.erase(one);
        }
        m_startTimes[restarted.target.value] = m_lastStart;
        m_fleet.registerTarget(restarted);
    }

    /** Gives a random running attempt the head of its answer or, if the answer has begun, more bytes or an end. */
    void advanceRandomAttempt()
    {
        if (m_running.empty()) {
            return;
        }
        const auto at = std::next(m_running.begin(), static_cast<std::ptrdiff_t>(draw(m_running.size())));
        auto &attempt = at->second;
        const auto number = attempt.number;
        if (!attempt.hasAnswerStarted) {
            const auto incarnation = attempt.incarnation;
            const bool isPresent = m_startTimes.contains(incarnation.target.value)
                && m_startTimes.at(incarnation.target.value) == incarnation.startedMs;
            const bool isLeaving = m_leaving.contains(key(incarnation)) || draw(8) == 0;
            const bool refuses = draw(6) == 0;
            attempt.hasAnswerStarted = true;
            std::vector<target_notice> notices;
            if (isLeaving) {
                notices.push_back(leavingNotice);
                m_leaving.insert(key(incarnation));
                m_noticesOfEarlierIncarnations += isPresent ? 0 : 1;
            }
            auto &backoff = m_backoffs[key(incarnation)];
            if (refuses && draw(2) == 0) {
                const milliseconds left(50 + draw(2000));
                notices.emplace_back(backoff_notice { left });
                if (m_fleet.now() + left > backoff.end) {
                    backoff = { m_fleet.now() + left, true, {} };
                }
            }
            if (refuses) {
                backoff.probes.erase(number.value);
            } else if (backoff.probes.contains(number.value)) {
                backoff = { backoff.end, false, {} };
            }
            const int status = refuses ? 503 : 200;
            process(m_fleet.startAnswer(number, makeHead(status, notices)));
            return;
        }
        if (draw(4) == 0) {
            removeAttempt(at);
            process(m_fleet.step(attempt_failed { number, false }));
        } else if (draw(3) == 0) {
            process(m_fleet.step(answer_bytes { number, "id: 1\ndata: a\n\n" }));
        } else {
            removeAttempt(at);
            process(m_fleet.step(answer_ended { number }));
        }
    }

    void removeAttempt(std::map<std::uint64_t, running_attempt>::iterator at)
    {
        m_backoffs[key(at->second.incarnation)].probes.erase(at->first);
        m_running.erase(at);
    }

    void process(const std::vector<forward_action> &actions)
    {
        for (const auto &action : actions) {
            if (const auto *start = std::get_if<start_attempt>(&action)) {
                ++m_attempts;
                const auto &target = start->call.target;
                const target_incarnation incarnation { target,
                                                       m_fleet.directory().find(target)->latest.order.startedMs };
                m_attemptsAfterLeaving += m_leaving.contains(key(incarnation)) ? 1 : 0;
                m_running[start->attempt.value] = { start->attempt, incarnation };
                auto &backoff = m_backoffs[key(incarnation)];
                m_attemptsDuringBackoff += m_fleet.now() < backoff.end ? 1 : 0;
                if (backoff.isProbing) {
                    m_attemptsBesideProbe += backoff.probes.empty() ? 0 : 1;
                    backoff.probes.insert(start->attempt.value);
                }
            } else if (const auto *cancel = std::get_if<cancel_attempt>(&action)) {
                if (const auto at = m_running.find(cancel->attempt.value); at != m_running.end()) {
                    removeAttempt(at);
                }
            }
        }
    }

    static incarnation_key key(const target_incarnation &incarnation)
    {
        return { incarnation.target.value, incarnation.startedMs };
    }

    std::mt19937_64 m_random;
    fleet m_fleet;
    /** Start of the present incarnation of each target, in Unix milliseconds. */
    std::map<std::string, std::int64_t> m_startTimes;
    std::int64_t m_lastStart = 1000;
    std::map<std::uint64_t, running_attempt> m_running;
    /** Incarnations that have announced their shutdown. */
    std::set<incarnation_key> m_leaving;
    std::map<incarnation_key, backoff_state> m_backoffs;
    std::size_t m_attemptsDuringBackoff = 0;
    std::size_t m_attemptsBesideProbe = 0;
    std::size_t m_attemptsAfterLeaving = 0;
    std::size_t m_noticesOfEarlierIncarnations = 0;
    std::size_t m_attempts = 0;
};

} // namespace

TEST_CASE("attempts respect the notices of each incarnation of a target", "[forward][leaving][rest][random]")
{
    constexpr std::uint64_t seeds = 40;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        INFO("seed " << seed);
        random_run one(seed);
        one.run();
        CHECK(one.attemptsAfterLeaving() == 0);
        CHECK(one.attemptsDuringBackoff() == 0);
        CHECK(one.attemptsBesideProbe() == 0);
        // Restarts make targets usable again, so that requests still run.
        CHECK(one.attempts() > 100);
    }
}
