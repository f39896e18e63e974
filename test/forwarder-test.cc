#include "figcleat/forward/forwarder.h"

#include <catch2/catch.hpp>
#include <map>

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
    one.attempts = 2;
    one.resumable = kind == route_kind::stream;
    one.split = { { { std::move(service) }, 1 } };
    return one;
}

route_table makeTable()
{
    route_table table;
    table.version = 3;
    table.routes = { makeRoute("/book/", route_kind::unsafe, "desk"), makeRoute("/status/", route_kind::safe, "desk"),
                     makeRoute("/draft/", route_kind::stream, "models") };
    table.services = { { { "desk" }, 100, 0 }, { { "models" }, 100, 36 } };
    table.workspaces = { { { "clinics" }, { "key-1" }, std::nullopt } };
    return table;
}

registration makeRegistration(const std::string &target, const std::string &service)
{
    registration one;
    one.target = { target };
    one.order = { 1000, 1 };
    one.service = { service };
    one.address = "10.0.0." + target.substr(1) + ":80";
    one.dataCentre = { "north" };
    one.slots = 4;
    return one;
}

/** Drives a forwarder with two targets of each service. */
class fixture
{
public:
    fixture()
        : m_forwarder(settings())
    {
        for (const auto *target : { "t1", "t2" }) {
            m_directory.merge(makeRegistration(target, "desk"), m_now);
        }
        for (const auto *target : { "t3", "t4" }) {
            m_directory.merge(makeRegistration(target, "models"), m_now);
        }
        m_forwarder.pool().setDirectory(&m_directory);
        m_forwarder.setNodeCount(1);
        m_forwarder.setRoutes(std::make_shared<const route_index>(makeTable()));
    }

    std::vector<forward_action> arrive(std::uint64_t exchange, const std::string &path,
                                       std::optional<std::string> key = "key-1")
    {
        caller_request request;
        request.id = { "r" + std::to_string(exchange) };
        request.method = "POST";
        request.path = path;
        request.host = "desk.example";
        request.key = std::move(key);
        return step(request_arrived { { exchange }, std::move(request) });
    }

    std::vector<forward_action> answer(attempt_number attempt, int status, const std::string &body)
    {
        auto all = step(answer_started { attempt, head(status) });
        for (auto &part : { step(answer_bytes { attempt, body }), step(answer_ended { attempt }) }) {
            all.insert(all.end(), part.begin(), part.end());
        }
        return all;
    }

    std::vector<forward_action> startStream(attempt_number attempt)
    {
        auto streamHead = head(200);
        streamHead.isEventStream = true;
        return step(answer_started { attempt, streamHead });
    }

    std::vector<forward_action> step(const forward_event &event)
    {
        return m_forwarder.step(event, m_now);
    }

    void advance(duration by)
    {
        m_now += by;
    }

    static answer_head head(int status)
    {
        answer_head one;
        one.status = status;
        return one;
    }

    forwarder &subject()
    {
        return m_forwarder;
    }

    target_directory &directory()
    {
        return m_directory;
    }

    time_point now() const
    {
        return m_now;
    }

private:
    static forwarder_settings settings()
    {
        forwarder_settings chosen;
        chosen.pool.dataCentre = { "north" };
        chosen.repeatSlack = 20;
        return chosen;
    }

    time_point m_now { 10s };
    target_directory m_directory;
    forwarder m_forwarder;
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

attempt_number startedIn(const std::vector<forward_action> &actions)
{
    const auto *started = find<start_attempt>(actions);
    REQUIRE(started != nullptr);
    return started->attempt;
}

} // namespace

TEST_CASE("an answered request gives its place at the target back", "[forward]")
{
    // Guards against a target that stays full for ever: 8 places, 100 requests one after another.
    fixture f;
    for (std::uint64_t i = 1; i <= 100; ++i) {
        const auto attempt = startedIn(f.arrive(i, bookingPath));
        const auto actions = f.answer(attempt, 200, "booked");
        const auto *passed = find<pass_answer>(actions);
        REQUIRE(passed != nullptr);
        CHECK(passed->body == "booked");
    }
    CHECK(f.subject().pool().totalLoad({ "desk" }, f.now()).running == 0);
}

TEST_CASE("an unsafe request that may have run is not sent again", "[forward]")
{
    fixture f;
    const auto attempt = startedIn(f.arrive(1, bookingPath));
    const auto actions = f.step(attempt_broken { attempt, false });
    CHECK(find<start_attempt>(actions) == nullptr);
    const auto *refused = find<refuse_request>(actions);
    REQUIRE(refused != nullptr);
    CHECK(refused->why.mayHaveRun);
    CHECK_FALSE(refused->why.retryAfter.has_value());
}

TEST_CASE("an unsafe request that no target ran goes to another one", "[forward]")
{
    fixture f;
    const auto actions = f.arrive(1, bookingPath);
    const auto first = find<start_attempt>(actions)->call.target;
    auto refusing = fixture::head(503);
    refusing.notRun = true;
    const auto next = f.step(answer_started { startedIn(actions), refusing });
    REQUIRE(find<start_attempt>(next) != nullptr);
    CHECK(find<start_attempt>(next)->call.target != first);
}

TEST_CASE("a spoiled answer of a safe request is fetched again and never passed on", "[forward]")
{
    fixture f;
    auto spoiled = fixture::head(200);
    spoiled.isSpoiled = true;
    const auto next = f.step(answer_started { startedIn(f.arrive(1, statusPath)), spoiled });
    const auto passed = f.answer(startedIn(next), 200, "on its way");
    REQUIRE(find<pass_answer>(passed) != nullptr);
    CHECK(find<pass_answer>(passed)->body == "on its way");
}

TEST_CASE("a failure of the target is passed on when no repeat is left", "[forward]")
{
    fixture f;
    const auto next = f.answer(startedIn(f.arrive(1, statusPath)), 500, "first");
    const auto last = f.answer(startedIn(next), 500, "second");
    REQUIRE(find<pass_answer>(last) != nullptr);
    CHECK(find<pass_answer>(last)->head.status == 500);
}

TEST_CASE("a broken stream goes on after its last whole event", "[forward]")
{
    fixture f;
    const auto attempt = startedIn(f.arrive(1, streamPath));
    CHECK(find<start_event_stream>(f.startStream(attempt)) != nullptr);
    const auto sent = f.step(answer_bytes { attempt, "id: 1\ndata: a\n\nid: 2\nda" });
    REQUIRE(find<send_events>(sent) != nullptr);
    CHECK(find<send_events>(sent)->bytes == "id: 1\ndata: a\n\n");
    const auto next = f.step(attempt_broken { attempt, false });
    REQUIRE(find<start_attempt>(next) != nullptr);
    CHECK(find<start_attempt>(next)->call.lastEventId == "1");
    const auto second = startedIn(next);
    CHECK(find<start_event_stream>(f.startStream(second)) == nullptr);
    CHECK(find<send_events>(f.step(answer_bytes { second, "id: 2\ndata: b\n\n" })) != nullptr);
    CHECK(find<end_event_stream>(f.step(answer_ended { second })) != nullptr);
}

TEST_CASE("an error of the target that a broken stream goes on at does not reach the caller", "[forward]")
{
    // Guards against the text of an error in the middle of a caller's stream, and against a stream that ends with it as
    // if it were complete.
    for (const int status : { 500, 404, 301 }) {
        for (const bool isEventStream : { true, false }) {
            INFO(status << " as event stream: " << isEventStream);
            fixture f;
            const auto attempt = startedIn(f.arrive(1, streamPath));
            f.startStream(attempt);
            f.step(answer_bytes { attempt, "id: 1\ndata: a\n\n" });
            const auto second = startedIn(f.step(attempt_broken { attempt, false }));
            auto head = fixture::head(status);
            head.isEventStream = isEventStream;
            auto all = f.step(answer_started { second, head });
            for (const auto &part :
                 { f.step(answer_bytes { second, "data: out of memory\n\n" }), f.step(answer_ended { second }) }) {
                all.insert(all.end(), part.begin(), part.end());
            }
            CHECK(find<send_events>(all) == nullptr);
            CHECK(find<end_event_stream>(all) == nullptr);
            CHECK(find<pass_answer>(all) == nullptr);
            CHECK(find<break_answer>(all) != nullptr);
        }
    }
}

TEST_CASE("a stream that goes on at a target that does not stream is not ended as whole", "[forward]")
{
    // Guards against the same with a success that is no event stream.
    fixture f;
    const auto attempt = startedIn(f.arrive(1, streamPath));
    f.startStream(attempt);
    f.step(answer_bytes { attempt, "id: 1\ndata: a\n\n" });
    const auto second = startedIn(f.step(attempt_broken { attempt, false }));
    const auto all = f.answer(second, 200, "done");
    CHECK(find<send_events>(all) == nullptr);
    CHECK(find<end_event_stream>(all) == nullptr);
    CHECK(find<break_answer>(all) != nullptr);
}

TEST_CASE("a stream that ends within an event does not look complete", "[forward]")
{
    fixture f;
    auto attempt = startedIn(f.arrive(1, streamPath));
    (void)f.startStream(attempt);
    (void)f.step(answer_bytes { attempt, "id: 1\ndata: a\n\nid: 2\nda" });
    auto actions = f.step(answer_ended { attempt });
    CHECK(find<end_event_stream>(actions) == nullptr);
    actions = f.step(attempt_broken { startedIn(actions), false });
    CHECK(find<end_event_stream>(actions) == nullptr);
    CHECK(find<break_answer>(actions) != nullptr);
}

TEST_CASE("a caller that leaves ends the work at the target", "[forward]")
{
    fixture f;
    const auto attempt = startedIn(f.arrive(1, streamPath));
    const auto actions = f.step(caller_left { { 1 } });
    REQUIRE(find<cancel_attempt>(actions) != nullptr);
    CHECK(find<cancel_attempt>(actions)->attempt == attempt);
    CHECK(f.subject().requestsInProgress() == 0);
}

TEST_CASE("a request has its final answer when its time is over", "[forward]")
{
    fixture f;
    const auto attempt = startedIn(f.arrive(1, bookingPath));
    f.advance(1500ms);
    const auto actions = f.step(forward_tick {});
    REQUIRE(find<cancel_attempt>(actions) != nullptr);
    CHECK(find<cancel_attempt>(actions)->attempt == attempt);
    REQUIRE(find<refuse_request>(actions) != nullptr);
    CHECK(find<refuse_request>(actions)->why.code == result_code::deadline_exceeded);
    CHECK(find<refuse_request>(actions)->why.mayHaveRun);
}

TEST_CASE("an evacuated data centre gets no request", "[forward]")
{
    fixture f;
    f.subject().pool().setEvacuated({ { "north" } });
    const auto actions = f.arrive(1, bookingPath);
    CHECK(find<start_attempt>(actions) == nullptr);
    REQUIRE(find<refuse_request>(actions) != nullptr);
    CHECK_FALSE(find<refuse_request>(actions)->why.mayHaveRun);
    CHECK(find<refuse_request>(actions)->why.retryAfter.has_value());
}

TEST_CASE("a request without a known key or route is refused", "[forward]")
{
    fixture f;
    const auto noKey = f.arrive(1, bookingPath, std::nullopt);
    REQUIRE(find<refuse_request>(noKey) != nullptr);
    CHECK(find<refuse_request>(noKey)->why.code == result_code::wrong_credential);
    const auto noRoute = f.arrive(2, "/nowhere/1");
    REQUIRE(find<refuse_request>(noRoute) != nullptr);
    CHECK(find<refuse_request>(noRoute)->why.code == result_code::not_found);
}

TEST_CASE("a cold target gets no more than this node's share", "[forward]")
{
    fixture f;
    f.subject().setNodeCount(8);
    for (const auto *target : { "t3", "t4" }) {
        auto cold = makeRegistration(target, "models");
        cold.order = { 2000, 1 };
        cold.coldLeftMs = 60000;
        f.directory().merge(cold, f.now());
    }
    std::size_t started = 0;
    const auto answerStarted = [&](const std::vector<forward_action> &actions) {
        if (const auto *start = find<start_attempt>(actions); start != nullptr) {
            ++started;
            (void)f.answer(start->attempt, 200, "done");
        }
    };
    for (std::uint64_t i = 1; i <= 200; ++i) {
        answerStarted(f.arrive(i, streamPath));
        f.advance(10ms);
        answerStarted(f.step(forward_tick {}));
    }
    // Two targets, 2 s, 36 a second each, an eighth of it, and the first request at once.
    CHECK(started <= 2 * (2 * 36 / 8 + 1));
    CHECK(started >= 8);
}

TEST_CASE("a request for a broken group is refused at once", "[forward]")
{
    fixture f;
    f.subject().pool().setEngines({ { "10.0.0.3:80", false, 1.0 }, { "10.0.0.4:80", false, 1.0 } }, f.now());
    const auto actions = f.arrive(1, streamPath);
    REQUIRE(find<refuse_request>(actions) != nullptr);
    CHECK_FALSE(find<refuse_request>(actions)->why.mayHaveRun);
    // Callers honour a third of their time; they come back in the later part of it.
    CHECK(*find<refuse_request>(actions)->why.retryAfter <= 500ms);
    CHECK(*find<refuse_request>(actions)->why.retryAfter >= 250ms);
}

TEST_CASE("a request for a service without targets is refused at once", "[forward]")
{
    fixture f;
    for (const auto *target : { "t1", "t2" }) {
        f.directory().leave({ target }, 0, f.now());
    }
    const auto actions = f.arrive(1, statusPath);
    const auto *refused = find<refuse_request>(actions);
    REQUIRE(refused != nullptr);
    CHECK(refused->why.code == result_code::no_target);
    CHECK(refused->why.retryAfter.has_value());
}

TEST_CASE("failures of a broken group are forgotten when it is open again", "[forward]")
{
    fixture f;
    auto refusing = fixture::head(503);
    refusing.notRun = true;
    for (std::uint64_t i = 1; i <= 6; ++i) {
        auto actions = f.arrive(i, streamPath);
        while (const auto *start = find<start_attempt>(actions)) {
            actions = f.step(answer_started { start->attempt, refusing });
        }
    }
    f.subject().pool().setEngines({ { "10.0.0.3:80", false, 1.0 }, { "10.0.0.4:80", false, 1.0 } }, f.now());
    f.subject().pool().setEngines({}, f.now());
    CHECK(find<start_attempt>(f.arrive(9, streamPath)) != nullptr);
}

TEST_CASE("a stream at a slow rank goes on at another one", "[forward]")
{
    fixture f;
    const auto actions = f.arrive(1, streamPath);
    const auto first = find<start_attempt>(actions)->call;
    const auto attempt = startedIn(actions);
    (void)f.startStream(attempt);
    (void)f.step(answer_bytes { attempt, "id: 1\ndata: a\n\n" });
    f.subject().pool().setEngines({ { first.address, true, 12.0 } }, f.now());
    const auto moved = f.step(forward_tick {});
    REQUIRE(find<start_attempt>(moved) != nullptr);
    CHECK(find<start_attempt>(moved)->call.target != first.target);
    CHECK(find<start_attempt>(moved)->call.lastEventId == "1");
    CHECK(find<cancel_attempt>(moved)->attempt == attempt);
}

TEST_CASE("requests of other nodes count for the choice of a target", "[forward]")
{
    fixture f;
    f.subject().pool().setPeerLoads(std::vector<target_use> { { { "t1" }, 3, 0 } }, false);
    for (std::uint64_t i = 1; i <= 3; ++i) {
        CHECK(find<start_attempt>(f.arrive(i, bookingPath))->call.target == target_id { "t2" });
    }
}

TEST_CASE("nodes that see loads with a delay do not all choose the same target", "[forward]")
{
    // Guards against a herd: 40 nodes that see t1 one request below t2 would all send there until they hear of it.
    fixture f;
    std::map<std::string, int> counts;
    for (std::uint64_t i = 1; i <= 100; ++i) {
        f.subject().pool().setPeerLoads(std::vector<target_use> { { { "t1" }, 1, 0 }, { { "t2" }, 2, 0 } }, true);
        const auto actions = f.arrive(i, bookingPath);
        ++counts[find<start_attempt>(actions)->call.target.value];
        (void)f.answer(startedIn(actions), 200, "booked");
    }
    CHECK(counts["t1"] > 25);
    CHECK(counts["t2"] > 25);
    // A target with two requests less is still preferred.
    f.subject().pool().setPeerLoads(std::vector<target_use> { { { "t1" }, 1, 0 }, { { "t2" }, 3, 0 } }, true);
    CHECK(find<start_attempt>(f.arrive(200, bookingPath))->call.target == target_id { "t1" });
}

TEST_CASE("one prompt at a time is read at a target", "[forward]")
{
    // Guards against bursts of prompts in one step, which delay every stream of a group.
    fixture f;
    const auto first = startedIn(f.arrive(1, streamPath));
    (void)startedIn(f.arrive(2, streamPath));
    CHECK(find<start_attempt>(f.arrive(3, streamPath)) == nullptr);
    (void)f.startStream(first);
    (void)f.step(answer_bytes { first, "id: 1\ndata: a\n\n" });
    CHECK(find<start_attempt>(f.step(forward_tick {})) != nullptr);
}

TEST_CASE("answers without end at many targets do not take a node's memory", "[forward][endless-answer]")
{
    // Guards against a node that runs out of its 160 MB: each answer may have 8 MiB, and there are 4,096 requests.
    constexpr std::size_t mib = std::size_t { 1024 } * 1024;
    constexpr std::size_t bound = 32 * mib;
    constexpr std::uint64_t calls = 8;
    const std::string piece(64 * std::size_t { 1024 }, 'a');
    fixture f;
    std::map<attempt_number, std::size_t> held;
    for (std::uint64_t i = 1; i <= calls; ++i) {
        const auto attempt = startedIn(f.arrive(i, bookingPath));
        f.step(answer_started { attempt, fixture::head(200) });
        held[attempt] = 0;
    }
    std::size_t most = 0;
    std::size_t refused = 0;
    for (std::size_t sent = 0; sent < 7 * mib; sent += piece.size()) {
        for (auto one = held.begin(); one != held.end();) {
            const auto actions = f.step(answer_bytes { one->first, piece });
            one->second += piece.size();
            if (const auto *failed = find<refuse_request>(actions); failed != nullptr) {
                CHECK(failed->why.code == result_code::buffer_full);
                CHECK(find<cancel_attempt>(actions) != nullptr);
                ++refused;
                one = held.erase(one);
            } else {
                ++one;
            }
            std::size_t sum = 0;
            for (const auto &[attempt, bytes] : held) {
                sum += bytes;
            }
            most = std::max(most, sum);
        }
    }
    CHECK(most <= bound);
    CHECK(refused > 0);
    // What ended has given its share back.
    for (const auto &[attempt, bytes] : held) {
        CHECK(find<pass_answer>(f.step(answer_ended { attempt })) != nullptr);
    }
    for (std::uint64_t i = calls + 1; i <= calls + 4; ++i) {
        const auto attempt = startedIn(f.arrive(i, bookingPath));
        const auto actions = f.answer(attempt, 200, std::string(7 * mib, 'a'));
        CHECK(find<pass_answer>(actions) != nullptr);
    }
}
