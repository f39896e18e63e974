#include "figcleat/forward/forwarder.h"

#include <catch2/catch.hpp>
#include <functional>
#include <map>
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
    result.attempts = 2;
    result.resumable = kind == route_kind::stream;
    result.split = { { { std::move(service) }, 1 } };
    return result;
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
    registration result;
    result.target = { target };
    result.order = { 1000, 1 };
    result.service = { service };
    result.address = "10.0.0." + target.substr(1) + ":80";
    result.dataCentre = { "north" };
    result.slots = 4;
    return result;
}

/** A forwarder with two targets for each of two services, and a simulated clock. */
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
                                       std::optional<std::string> key = "key-1",
                                       std::optional<milliseconds> deadline = std::nullopt)
    {
        caller_request request;
        request.id = { "r" + std::to_string(exchange) };
        request.method = "POST";
        request.path = path;
        request.host = "desk.example";
        request.key = std::move(key);
        request.deadline = deadline;
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
        answer_head result;
        result.status = status;
        return result;
    }

    forwarder &instance()
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
        chosen.retrySlack = 20;
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

TEST_CASE("an answered request releases its slot at the target", "[forward]")
{
    // Guards against leaked slots, which would leave targets full for ever: 100 requests in turn, two targets of 4
    // slots.
    fixture f;
    for (std::uint64_t i = 1; i <= 100; ++i) {
        const auto attempt = startedIn(f.arrive(i, bookingPath));
        const auto actions = f.answer(attempt, 200, "booked");
        const auto *passed = find<send_answer>(actions);
        REQUIRE(passed != nullptr);
        CHECK(passed->body == "booked");
    }
    CHECK(f.instance().pool().totalLoad({ "desk" }, f.now()).running == 0);
}

TEST_CASE("an unsafe request that may have run is not retried", "[forward]")
{
    fixture f;
    const auto attempt = startedIn(f.arrive(1, bookingPath));
    const auto actions = f.step(attempt_failed { attempt, false });
    CHECK(find<start_attempt>(actions) == nullptr);
    const auto *refused = find<refuse_request>(actions);
    REQUIRE(refused != nullptr);
    CHECK(refused->details.mayHaveRun);
    CHECK_FALSE(refused->details.retryAfter.has_value());
}

TEST_CASE("an unsafe request that its target did not run is retried at another target", "[forward]")
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

TEST_CASE("a safe request is retried after a corrupt answer, which the caller does not get", "[forward]")
{
    fixture f;
    auto corrupt = fixture::head(200);
    corrupt.isCorrupt = true;
    const auto next = f.step(answer_started { startedIn(f.arrive(1, statusPath)), corrupt });
    const auto passed = f.answer(startedIn(next), 200, "on its way");
    REQUIRE(find<send_answer>(passed) != nullptr);
    CHECK(find<send_answer>(passed)->body == "on its way");
}

TEST_CASE("a target's error answer is sent to the caller when no retry is left", "[forward]")
{
    fixture f;
    const auto next = f.answer(startedIn(f.arrive(1, statusPath)), 500, "first");
    const auto last = f.answer(startedIn(next), 500, "second");
    REQUIRE(find<send_answer>(last) != nullptr);
    CHECK(find<send_answer>(last)->head.status == 500);
}

TEST_CASE("a broken stream is resumed after its last complete event", "[forward]")
{
    fixture f;
    const auto attempt = startedIn(f.arrive(1, streamPath));
    CHECK(find<start_event_stream>(f.startStream(attempt)) != nullptr);
    const auto sent = f.step(answer_bytes { attempt, "id: 1\ndata: a\n\nid: 2\nda" });
    REQUIRE(find<send_events>(sent) != nullptr);
    CHECK(find<send_events>(sent)->bytes == "id: 1\ndata: a\n\n");
    const auto next = f.step(attempt_failed { attempt, false });
    REQUIRE(find<start_attempt>(next) != nullptr);
    CHECK(find<start_attempt>(next)->call.lastEventId == "1");
    const auto second = startedIn(next);
    CHECK(find<start_event_stream>(f.startStream(second)) == nullptr);
    CHECK(find<send_events>(f.step(answer_bytes { second, "id: 2\ndata: b\n\n" })) != nullptr);
    CHECK(find<end_event_stream>(f.step(answer_ended { second })) != nullptr);
}

TEST_CASE("an error answer to a resumed stream does not reach the caller", "[forward]")
{
    // Guards against the text of an error answer within a caller's stream, and against a stream that ends with this
    // text as if the stream were complete.
    for (const int status : { 500, 404, 301 }) {
        for (const bool isEventStream : { true, false }) {
            INFO(status << " as event stream: " << isEventStream);
            fixture f;
            const auto attempt = startedIn(f.arrive(1, streamPath));
            f.startStream(attempt);
            f.step(answer_bytes { attempt, "id: 1\ndata: a\n\n" });
            const auto second = startedIn(f.step(attempt_failed { attempt, false }));
            auto head = fixture::head(status);
            head.isEventStream = isEventStream;
            auto all = f.step(answer_started { second, head });
            for (const auto &part :
                 { f.step(answer_bytes { second, "data: out of memory\n\n" }), f.step(answer_ended { second }) }) {
                all.insert(all.end(), part.begin(), part.end());
            }
            CHECK(find<send_events>(all) == nullptr);
            CHECK(find<end_event_stream>(all) == nullptr);
            CHECK(find<send_answer>(all) == nullptr);
            CHECK(find<abort_answer>(all) != nullptr);
        }
    }
}

TEST_CASE("a stream resumed at a target that does not stream does not end as complete", "[forward]")
{
    // Guards against a successful answer that is no event stream within a caller's stream, or as its end.
    fixture f;
    const auto attempt = startedIn(f.arrive(1, streamPath));
    f.startStream(attempt);
    f.step(answer_bytes { attempt, "id: 1\ndata: a\n\n" });
    const auto second = startedIn(f.step(attempt_failed { attempt, false }));
    const auto all = f.answer(second, 200, "done");
    CHECK(find<send_events>(all) == nullptr);
    CHECK(find<end_event_stream>(all) == nullptr);
    CHECK(find<abort_answer>(all) != nullptr);
}

TEST_CASE("a stream that ends within an event does not look complete", "[forward]")
{
    fixture f;
    auto attempt = startedIn(f.arrive(1, streamPath));
    (void)f.startStream(attempt);
    (void)f.step(answer_bytes { attempt, "id: 1\ndata: a\n\nid: 2\nda" });
    auto actions = f.step(answer_ended { attempt });
    CHECK(find<end_event_stream>(actions) == nullptr);
    actions = f.step(attempt_failed { startedIn(actions), false });
    CHECK(find<end_event_stream>(actions) == nullptr);
    CHECK(find<abort_answer>(actions) != nullptr);
}

TEST_CASE("a caller's disconnect cancels the attempt at the target", "[forward]")
{
    fixture f;
    const auto attempt = startedIn(f.arrive(1, streamPath));
    const auto actions = f.step(caller_disconnected { { 1 } });
    REQUIRE(find<cancel_attempt>(actions) != nullptr);
    CHECK(find<cancel_attempt>(actions)->attempt == attempt);
    CHECK(f.instance().requestsInProgress() == 0);
}

TEST_CASE("a request gets its final answer at its deadline", "[forward]")
{
    fixture f;
    const auto attempt = startedIn(f.arrive(1, bookingPath));
    f.advance(1500ms);
    const auto actions = f.step(forward_tick {});
    REQUIRE(find<cancel_attempt>(actions) != nullptr);
    CHECK(find<cancel_attempt>(actions)->attempt == attempt);
    REQUIRE(find<refuse_request>(actions) != nullptr);
    CHECK(find<refuse_request>(actions)->details.code == result_code::deadline_exceeded);
    CHECK(find<refuse_request>(actions)->details.mayHaveRun);
}

TEST_CASE("a target in an evacuated data centre gets no request", "[forward]")
{
    fixture f;
    f.instance().pool().setEvacuated({ { "north" } });
    const auto actions = f.arrive(1, bookingPath);
    CHECK(find<start_attempt>(actions) == nullptr);
    REQUIRE(find<refuse_request>(actions) != nullptr);
    CHECK_FALSE(find<refuse_request>(actions)->details.mayHaveRun);
    CHECK(find<refuse_request>(actions)->details.retryAfter.has_value());
}

TEST_CASE("a request without a known key or route is refused", "[forward]")
{
    fixture f;
    const auto noKey = f.arrive(1, bookingPath, std::nullopt);
    REQUIRE(find<refuse_request>(noKey) != nullptr);
    CHECK(find<refuse_request>(noKey)->details.code == result_code::wrong_credential);
    const auto noRoute = f.arrive(2, "/nowhere/1");
    REQUIRE(find<refuse_request>(noRoute) != nullptr);
    CHECK(find<refuse_request>(noRoute)->details.code == result_code::not_found);
}

TEST_CASE("a cold target gets requests at no more than this node's share of the rate", "[forward]")
{
    fixture f;
    f.instance().setNodeCount(8);
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
    // For each of two targets: 2 s at this node's eighth of 36 requests per second, and one request at the start.
    CHECK(started <= 2 * (2 * 36 / 8 + 1));
    CHECK(started >= 8);
}

TEST_CASE("a request for a broken group is refused at once", "[forward]")
{
    fixture f;
    f.instance().pool().setEngines({ { "10.0.0.3:80", false, 1.0 }, { "10.0.0.4:80", false, 1.0 } }, f.now());
    const auto actions = f.arrive(1, streamPath);
    REQUIRE(find<refuse_request>(actions) != nullptr);
    CHECK_FALSE(find<refuse_request>(actions)->details.mayHaveRun);
    // Callers honour a delay of up to a third of their 1500 ms; retries are spread over the later part of that range.
    CHECK(*find<refuse_request>(actions)->details.retryAfter <= 500ms);
    CHECK(*find<refuse_request>(actions)->details.retryAfter >= 250ms);
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
    CHECK(refused->details.code == result_code::no_target);
    CHECK(refused->details.retryAfter.has_value());
}

TEST_CASE("failures at a broken group do not count once the group works again", "[forward]")
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
    f.instance().pool().setEngines({ { "10.0.0.3:80", false, 1.0 }, { "10.0.0.4:80", false, 1.0 } }, f.now());
    f.instance().pool().setEngines({}, f.now());
    CHECK(find<start_attempt>(f.arrive(9, streamPath)) != nullptr);
}

TEST_CASE("a stream at a slow target is resumed at another target", "[forward]")
{
    fixture f;
    const auto actions = f.arrive(1, streamPath);
    const auto first = find<start_attempt>(actions)->call;
    const auto attempt = startedIn(actions);
    (void)f.startStream(attempt);
    (void)f.step(answer_bytes { attempt, "id: 1\ndata: a\n\n" });
    f.instance().pool().setEngines({ { first.address, true, 12.0 } }, f.now());
    const auto moved = f.step(forward_tick {});
    REQUIRE(find<start_attempt>(moved) != nullptr);
    CHECK(find<start_attempt>(moved)->call.target != first.target);
    CHECK(find<start_attempt>(moved)->call.lastEventId == "1");
    CHECK(find<cancel_attempt>(moved) == nullptr);
    const auto second = startedIn(moved);
    CHECK(find<cancel_attempt>(f.startStream(second)) == nullptr);
    const auto taken = f.step(answer_bytes { second, "id: 2\ndata: b\n\n" });
    REQUIRE(find<cancel_attempt>(taken) != nullptr);
    CHECK(find<cancel_attempt>(taken)->attempt == attempt);
    REQUIRE(find<send_events>(taken) != nullptr);
    CHECK(find<send_events>(taken)->bytes == "id: 2\ndata: b\n\n");
}

TEST_CASE("a silent or slow target is left only for one with room", "[forward]")
{
    // Guards against a stream that is cut although its target would have gone on after a pause of its group.
    for (const bool isSlow : { false, true }) {
        INFO(isSlow);
        fixture f;
        std::vector<start_attempt> streams;
        for (std::uint64_t i = 1; streams.size() < 8 && i < 20; ++i) {
            const auto actions = f.arrive(i, streamPath);
            if (const auto *started = find<start_attempt>(actions); started != nullptr) {
                streams.push_back(*started);
                (void)f.startStream(started->attempt);
                (void)f.step(answer_bytes { started->attempt, "id: 1\ndata: a\n\n" });
            }
        }
        REQUIRE(streams.size() == 8);
        if (isSlow) {
            f.instance().pool().setEngines({ { streams.front().call.address, true, 12.0 } }, f.now());
        } else {
            f.advance(790ms);
            for (std::size_t i = 1; i < streams.size(); ++i) {
                (void)f.step(answer_bytes { streams[i].attempt, "id: 2\ndata: b\n\n" });
            }
            f.advance(20ms);
        }
        const auto kept = f.step(forward_tick {});
        CHECK(find<cancel_attempt>(kept) == nullptr);
        CHECK(find<abort_answer>(kept) == nullptr);
        (void)f.step(answer_bytes { streams.front().attempt, "id: 2\ndata: b\n\n" });
        CHECK(find<end_event_stream>(f.step(answer_ended { streams.front().attempt })) != nullptr);
    }
}

TEST_CASE("requests of other nodes affect the choice of a target", "[forward]")
{
    fixture f;
    f.instance().pool().setPeerLoads(std::vector<target_use> { { { "t1" }, 3, 0 } }, false);
    for (std::uint64_t i = 1; i <= 3; ++i) {
        CHECK(find<start_attempt>(f.arrive(i, bookingPath))->call.target == target_id { "t2" });
    }
}

TEST_CASE("nodes that see loads with a delay do not all choose the same target", "[forward]")
{
    // Guards against a thundering herd: 40 nodes that all see t1 with one request less than t2 would all choose t1
    // until they receive newer loads.
    fixture f;
    std::map<std::string, int> counts;
    for (std::uint64_t i = 1; i <= 100; ++i) {
        f.instance().pool().setPeerLoads(std::vector<target_use> { { { "t1" }, 1, 0 }, { { "t2" }, 2, 0 } }, true);
        const auto actions = f.arrive(i, bookingPath);
        ++counts[find<start_attempt>(actions)->call.target.value];
        (void)f.answer(startedIn(actions), 200, "booked");
    }
    CHECK(counts["t1"] > 25);
    CHECK(counts["t2"] > 25);
    // A difference of two requests still decides.
    f.instance().pool().setPeerLoads(std::vector<target_use> { { { "t1" }, 1, 0 }, { { "t2" }, 3, 0 } }, true);
    CHECK(find<start_attempt>(f.arrive(200, bookingPath))->call.target == target_id { "t1" });
}

TEST_CASE("a target reads one prompt at a time", "[forward]")
{
    // Guards against several prompts in one step of the engine, which delay every stream of the group.
    fixture f;
    const auto first = startedIn(f.arrive(1, streamPath));
    (void)startedIn(f.arrive(2, streamPath));
    CHECK(find<start_attempt>(f.arrive(3, streamPath)) == nullptr);
    (void)f.startStream(first);
    (void)f.step(answer_bytes { first, "id: 1\ndata: a\n\n" });
    CHECK(find<start_attempt>(f.step(forward_tick {})) != nullptr);
}

TEST_CASE("endless answers of many targets do not exhaust a node's memory", "[forward][endless-answer]")
{
    // Guards against a node that exceeds its 160 MB: each answer may have 8 MiB, and there may be 4,096 requests.
    constexpr std::size_t mib = std::size_t { 1024 } * 1024;
    constexpr std::size_t maxBuffered = 32 * mib;
    constexpr std::uint64_t requests = 8;
    const std::string chunk(64 * std::size_t { 1024 }, 'a');
    fixture f;
    std::map<attempt_number, std::size_t> bufferedBytes;
    for (std::uint64_t i = 1; i <= requests; ++i) {
        const auto attempt = startedIn(f.arrive(i, bookingPath));
        f.step(answer_started { attempt, fixture::head(200) });
        bufferedBytes[attempt] = 0;
    }
    std::size_t peakBytes = 0;
    std::size_t refused = 0;
    for (std::size_t sent = 0; sent < 7 * mib; sent += chunk.size()) {
        for (auto one = bufferedBytes.begin(); one != bufferedBytes.end();) {
            const auto actions = f.step(answer_bytes { one->first, chunk });
            one->second += chunk.size();
            if (const auto *failed = find<refuse_request>(actions); failed != nullptr) {
                CHECK(failed->details.code == result_code::buffer_full);
                CHECK(find<cancel_attempt>(actions) != nullptr);
                ++refused;
                one = bufferedBytes.erase(one);
            } else {
                ++one;
            }
            std::size_t sum = 0;
            for (const auto &[attempt, bytes] : bufferedBytes) {
                sum += bytes;
            }
            peakBytes = std::max(peakBytes, sum);
        }
    }
    CHECK(peakBytes <= maxBuffered);
    CHECK(refused > 0);
    // Requests that ended have released their share of the buffer.
    for (const auto &[attempt, bytes] : bufferedBytes) {
        CHECK(find<send_answer>(f.step(answer_ended { attempt })) != nullptr);
    }
    for (std::uint64_t i = requests + 1; i <= requests + 4; ++i) {
        const auto attempt = startedIn(f.arrive(i, bookingPath));
        const auto actions = f.answer(attempt, 200, std::string(7 * mib, 'a'));
        CHECK(find<send_answer>(actions) != nullptr);
    }
}

TEST_CASE("a request that comes too late before a planned stop is refused as not run", "[forward]")
{
    // Guards against requests that are passed on because earlier answers were short, and cut at the end of the stop.
    const auto expectRefusal = [](const std::vector<forward_action> &late) {
        CHECK(find<start_attempt>(late) == nullptr);
        const auto *refused = find<refuse_request>(late);
        REQUIRE(refused != nullptr);
        CHECK(refused->details.code == result_code::entry_stopping);
        CHECK_FALSE(refused->details.mayHaveRun);
        CHECK(refused->details.retryAfter.has_value());
    };
    for (const bool hasHistory : { false, true }) {
        INFO(hasHistory);
        fixture f;
        const auto attempt = startedIn(f.arrive(1, bookingPath));
        f.advance(10ms);
        if (hasHistory) {
            REQUIRE(find<send_answer>(f.answer(attempt, 200, "booked")) != nullptr);
        }
        f.instance().stop(f.now() + 300ms, f.now() + 1000ms, f.now());
        f.advance(300ms);
        CHECK(find<start_attempt>(f.arrive(2, bookingPath)) != nullptr);
        f.advance(1ms);
        expectRefusal(f.arrive(3, bookingPath));
        expectRefusal(f.arrive(4, streamPath));
        // These can be held to their own deadline.
        CHECK(find<start_attempt>(f.arrive(5, bookingPath, "key-1", 699ms)) != nullptr);
        CHECK(find<start_attempt>(f.arrive(6, streamPath, "key-1", 699ms)) != nullptr);
        expectRefusal(f.arrive(7, bookingPath, "key-1", 700ms));
    }
}

TEST_CASE("a caller that is refused by a planned stop may try another front at once", "[forward]")
{
    // Guards against a delay that keeps the caller from a front that would serve it, and against one to no front at
    // all.
    fixture f;
    f.instance().stop(f.now() - 1ms, f.now() + 1000ms, f.now());
    const auto refusedAlone = f.arrive(1, bookingPath);
    REQUIRE(find<refuse_request>(refusedAlone) != nullptr);
    CHECK(find<refuse_request>(refusedAlone)->details.retryAfter >= 1000ms);
    f.instance().setNodeCount(8);
    const auto refused = f.arrive(2, bookingPath);
    REQUIRE(find<refuse_request>(refused) != nullptr);
    CHECK(find<refuse_request>(refused)->details.retryAfter <= 100ms);
}

TEST_CASE("a configuration that comes in a planned stop does not let late requests in", "[forward]")
{
    // Guards against a stop that is forgotten with what was known of the routes.
    fixture f;
    (void)startedIn(f.arrive(1, bookingPath));
    f.instance().stop(f.now(), f.now() + 1000ms, f.now());
    f.instance().setRoutes(std::make_shared<const route_index>(makeTable()));
    f.advance(1ms);
    CHECK(find<start_attempt>(f.arrive(2, bookingPath)) == nullptr);
    f.advance(999ms);
    CHECK(find<refuse_request>(f.step(forward_tick {})) != nullptr);
    CHECK(f.instance().requestsInProgress() == 0);
}

TEST_CASE("a request that is running at the end of a planned stop gets an answer", "[forward]")
{
    // Guards against a connection that ends without an answer.
    fixture f;
    (void)startedIn(f.arrive(1, bookingPath));
    f.instance().stop(f.now(), f.now() + 400ms, f.now());
    f.advance(400ms);
    const auto ended = f.step(forward_tick {});
    const auto *refused = find<refuse_request>(ended);
    REQUIRE(refused != nullptr);
    CHECK(refused->details.mayHaveRun);
    CHECK(refused->details.code == result_code::entry_stopping);
}

TEST_CASE("many nodes together keep to the rate of a target that turns cold", "[forward]")
{
    // Guards against a request of each node at the moment at which the target registers.
    constexpr std::uint32_t nodes = 99;
    constexpr double coldRate = 14;
    time_point now { 10s };
    target_directory directory;
    route_table table = makeTable();
    table.services = { { { "models" }, 1000, coldRate } };
    const auto routes = std::make_shared<const route_index>(std::move(table));
    std::vector<std::unique_ptr<target_pool>> pools;
    for (std::uint32_t i = 0; i < nodes; ++i) {
        pools.push_back(std::make_unique<target_pool>(pool_settings { .dataCentre = { "north" }, .seed = i + 1 }));
        pools.back()->setDirectory(&directory);
        pools.back()->setRoutes(routes);
        pools.back()->setNodeCount(nodes);
    }
    for (int phase = 1; phase <= 3; ++phase) {
        auto cold = makeRegistration("t3", "models");
        cold.slots = 1000;
        cold.coldLeftMs = 3000;
        cold.order = { 1000, static_cast<std::uint64_t>(phase) };
        directory.merge(cold, now);
        int sent = 0;
        for (const auto end = now + 1s; now < end; now += 10ms) {
            for (const auto &pool : pools) {
                if (const auto target = pool->choose({ "models" }, {}, {}, now); target) {
                    pool->onStarted(target->latest.incarnation(), false);
                    ++sent;
                }
            }
        }
        CHECK(sent <= coldRate * 1.5 + 5);
        now += 20s;
    }
}

TEST_CASE("the end of a cut stream tells its cause, its status and its open pause", "[forward]")
{
    // Guards against cuts that look alike in the log, whoever caused them.
    fixture f;
    const auto attempt = startedIn(f.arrive(1, streamPath));
    (void)f.startStream(attempt);
    (void)f.step(answer_bytes { attempt, "id: 1\ndata: a\n\n" });
    f.advance(900ms);
    SECTION("deadline")
    {
        f.advance(600ms);
        const auto all = f.step(forward_tick {});
        const auto *ended = find<request_finished>(all);
        REQUIRE(ended != nullptr);
        CHECK(ended->cut == cut_cause::deadline);
        CHECK(ended->status == 200);
        CHECK(ended->longestPause == 1500ms);
    }
    SECTION("planned stop")
    {
        f.instance().stop(f.now(), f.now() + 10ms, f.now());
        f.advance(10ms);
        const auto all = f.step(forward_tick {});
        REQUIRE(find<request_finished>(all) != nullptr);
        CHECK(find<request_finished>(all)->cut == cut_cause::planned_stop);
    }
    SECTION("slow caller")
    {
        const auto all = f.step(caller_disconnected { { 1 }, true });
        REQUIRE(find<request_finished>(all) != nullptr);
        CHECK(find<request_finished>(all)->cut == cut_cause::slow_caller);
    }
    SECTION("lost target")
    {
        const auto second = startedIn(f.step(attempt_failed { attempt, false }));
        const auto all = f.step(attempt_failed { second, false });
        REQUIRE(find<request_finished>(all) != nullptr);
        CHECK(find<request_finished>(all)->cut == cut_cause::target_lost);
        CHECK(find<request_finished>(all)->longestPause == 900ms);
    }
}

TEST_CASE("a node reports that it stood still", "[forward]")
{
    // Guards against pauses of this process that look like those of targets.
    fixture f;
    (void)f.step(forward_tick {});
    f.advance(250ms);
    CHECK(find<node_stalled>(f.step(forward_tick {})) == nullptr);
    f.advance(251ms);
    const auto all = f.step(forward_tick {});
    REQUIRE(find<node_stalled>(all) != nullptr);
    CHECK(find<node_stalled>(all)->time == 251ms);
}

namespace
{

/** A stream that has begun at one target and is being moved to the other one. */
class moving_stream : public fixture
{
public:
    explicit moving_stream(bool isSlow)
    {
        const auto actions = arrive(1, streamPath);
        m_left = startedIn(actions);
        const auto address = find<start_attempt>(actions)->call.address;
        (void)startStream(m_left);
        (void)step(answer_bytes { m_left, "id: 1\ndata: a\n\nid: 2\n" });
        if (isSlow) {
            instance().pool().setEngines({ { address, true, 12.0 } }, now());
        } else {
            keepOthersActive();
        }
        const auto moved = step(forward_tick {});
        CHECK(find<cancel_attempt>(moved) == nullptr);
        REQUIRE(find<failed_attempt>(moved) != nullptr);
        CHECK(find<failed_attempt>(moved)->outcome == (isSlow ? "slow" : "silent"));
        CHECK(find<failed_attempt>(moved)->next == "move");
        m_taking = startedIn(moved);
    }

    /** The attempt that the move has left, and the one that is to take over. */
    attempt_number left() const
    {
        return m_left;
    }

    attempt_number taking() const
    {
        return m_taking;
    }

    /** Checks that the stream ends whole at the target that the move has left. */
    void expectWholeAtLeft()
    {
        const auto sent = step(answer_bytes { m_left, "data: b\n\n" });
        REQUIRE(find<send_events>(sent) != nullptr);
        CHECK(find<send_events>(sent)->bytes == "id: 2\ndata: b\n\n");
        CHECK(find<end_event_stream>(step(answer_ended { m_left })) != nullptr);
        CHECK(instance().requestsInProgress() == 0);
    }

private:
    /** Lets the first stream be silent for 800 ms while both targets write to others. */
    void keepOthersActive()
    {
        std::vector<attempt_number> others;
        for (std::uint64_t i = 2; others.size() < 2; ++i) {
            others.push_back(startedIn(arrive(i, streamPath)));
            (void)startStream(others.back());
            (void)step(answer_bytes { others.back(), "id: 1\ndata: a\n\n" });
        }
        advance(800ms);
        for (const auto other : others) {
            (void)step(answer_bytes { other, "id: 2\ndata: b\n\n" });
            (void)step(answer_ended { other });
        }
    }

    attempt_number m_left;
    attempt_number m_taking;
};

} // namespace

TEST_CASE("a moved stream goes on at its target if the other one does not take it", "[forward]")
{
    // Guards against a stream that is cut because a target with room refused, broke off or failed meanwhile.
    for (const bool isSlow : { false, true }) {
        INFO("slow: " << isSlow);
        const auto refuseMove = [&](const std::function<std::vector<forward_action>(moving_stream &)> &fail) {
            moving_stream f(isSlow);
            const auto all = fail(f);
            CHECK(find<abort_answer>(all) == nullptr);
            CHECK(find<start_attempt>(all) == nullptr);
            REQUIRE(find<failed_attempt>(all) != nullptr);
            CHECK(find<failed_attempt>(all)->next == "return");
            f.expectWholeAtLeft();
        };
        refuseMove([](auto &f) {
            auto refusing = fixture::head(503);
            refusing.notRun = true;
            return f.step(answer_started { f.taking(), refusing });
        });
        refuseMove([](auto &f) { return f.step(attempt_failed { f.taking(), true }); });
        refuseMove([](auto &f) { return f.step(attempt_failed { f.taking(), false }); });
        refuseMove([](auto &f) { return f.step(answer_started { f.taking(), fixture::head(500) }); });
        refuseMove([](auto &f) {
            (void)f.startStream(f.taking());
            return f.step(attempt_failed { f.taking(), false });
        });
    }
}

TEST_CASE("a moved stream stays at its silent target if that one writes first", "[forward]")
{
    // Guards against a stream that is moved for good although its target goes on, and against events of two runs.
    moving_stream f(false);
    (void)f.startStream(f.taking());
    const auto sent = f.step(answer_bytes { f.left(), "data" });
    REQUIRE(find<cancel_attempt>(sent) != nullptr);
    CHECK(find<cancel_attempt>(sent)->attempt == f.taking());
    REQUIRE(find<failed_attempt>(sent) != nullptr);
    CHECK(find<failed_attempt>(sent)->outcome == "overtaken");
    CHECK(f.step(answer_bytes { f.taking(), "id: 2\ndata: c\n\n" }).empty());
    CHECK(find<send_events>(f.step(answer_bytes { f.left(), ": b\n\n" }))->bytes == "id: 2\ndata: b\n\n");
    CHECK(find<end_event_stream>(f.step(answer_ended { f.left() })) != nullptr);
}

TEST_CASE("events of a slow target are held back while its stream is moved", "[forward]")
{
    // Guards against events that a caller gets twice, once from each run, and against events that are lost.
    SECTION("the other target takes over")
    {
        moving_stream f(true);
        CHECK(find<send_events>(f.step(answer_bytes { f.left(), "data: b\n\n" })) == nullptr);
        (void)f.startStream(f.taking());
        const auto sent = f.step(answer_bytes { f.taking(), "id: 2\ndata: b\n\n" });
        REQUIRE(find<send_events>(sent) != nullptr);
        CHECK(find<send_events>(sent)->bytes == "id: 2\ndata: b\n\n");
    }
    SECTION("the other target writes too late")
    {
        moving_stream f(true);
        CHECK(find<send_events>(f.step(answer_bytes { f.left(), "data: b\n\n" })) == nullptr);
        f.advance(690ms);
        CHECK(find<send_events>(f.step(forward_tick {})) == nullptr);
        f.advance(10ms);
        const auto sent = f.step(forward_tick {});
        REQUIRE(find<send_events>(sent) != nullptr);
        CHECK(find<send_events>(sent)->bytes == "id: 2\ndata: b\n\n");
        CHECK(find<cancel_attempt>(sent)->attempt == f.taking());
        CHECK(find<end_event_stream>(f.step(answer_ended { f.left() })) != nullptr);
    }
    SECTION("the slow target ends")
    {
        moving_stream f(true);
        (void)f.step(answer_bytes { f.left(), "data: b\n\n" });
        const auto ended = f.step(answer_ended { f.left() });
        REQUIRE(find<send_events>(ended) != nullptr);
        CHECK(find<send_events>(ended)->bytes == "id: 2\ndata: b\n\n");
        CHECK(find<end_event_stream>(ended) != nullptr);
        CHECK(find<cancel_attempt>(ended)->attempt == f.taking());
        CHECK(f.instance().requestsInProgress() == 0);
    }
}

TEST_CASE("a moved stream goes on at the other target if its own breaks off", "[forward]")
{
    moving_stream f(false);
    const auto broken = f.step(attempt_failed { f.left(), false });
    CHECK(find<abort_answer>(broken) == nullptr);
    CHECK(find<start_attempt>(broken) == nullptr);
    (void)f.startStream(f.taking());
    const auto sent = f.step(answer_bytes { f.taking(), "id: 2\ndata: b\n\n" });
    REQUIRE(find<send_events>(sent) != nullptr);
    CHECK(find<send_events>(sent)->bytes == "id: 2\ndata: b\n\n");
    CHECK(find<end_event_stream>(f.step(answer_ended { f.taking() })) != nullptr);
}

TEST_CASE("both attempts of a move end with their request", "[forward]")
{
    // Guards against a run at a target that nobody reads any more, and against slots that stay taken.
    for (const bool isCallerGone : { false, true }) {
        moving_stream f(false);
        if (!isCallerGone) {
            f.advance(700ms);
        }
        const auto all = isCallerGone ? f.step(caller_disconnected { { 1 } }) : f.step(forward_tick {});
        std::set<attempt_number> cancelled;
        for (const auto &one : all) {
            if (const auto *what = std::get_if<cancel_attempt>(&one); what != nullptr) {
                cancelled.insert(what->attempt);
            }
        }
        CHECK(cancelled == std::set<attempt_number> { f.left(), f.taking() });
        CHECK(f.instance().pool().totalLoad({ "models" }, f.now()).running == 0);
    }
}

TEST_CASE("a safe request is answered by whichever target answers first", "[forward]")
{
    // Guards against a request that is refused although its silent target would have answered.
    for (const bool isOldFirst : { false, true }) {
        INFO(isOldFirst);
        fixture f;
        const auto left = startedIn(f.arrive(1, statusPath));
        f.advance(790ms);
        std::vector<attempt_number> others;
        for (std::uint64_t i = 2; i <= 4; ++i) {
            others.push_back(startedIn(f.arrive(i, statusPath)));
        }
        for (const auto other : others) {
            (void)f.answer(other, 200, "other");
        }
        f.advance(10ms);
        const auto moved = f.step(forward_tick {});
        CHECK(find<cancel_attempt>(moved) == nullptr);
        const auto taking = startedIn(moved);
        if (isOldFirst) {
            auto refusing = fixture::head(503);
            refusing.notRun = true;
            CHECK(find<refuse_request>(f.step(answer_started { taking, refusing })) == nullptr);
        }
        const auto all = f.answer(isOldFirst ? left : taking, 200, "whole");
        REQUIRE(find<send_answer>(all) != nullptr);
        CHECK(find<send_answer>(all)->body == "whole");
        CHECK((find<cancel_attempt>(all) != nullptr) == !isOldFirst);
        CHECK(f.instance().pool().totalLoad({ "desk" }, f.now()).running == 0);
    }
}

TEST_CASE("a target gets one move at a time", "[forward]")
{
    // Guards against all requests of a silent target at the one free slot of another, which refuses all but one.
    fixture f;
    std::vector<attempt_number> safe;
    for (std::uint64_t i = 1; i <= 4; ++i) {
        safe.push_back(startedIn(f.arrive(i, statusPath)));
    }
    f.advance(790ms);
    for (std::uint64_t i = 5; i <= 6; ++i) {
        (void)f.answer(startedIn(f.arrive(i, statusPath)), 200, "other");
    }
    f.advance(10ms);
    const auto countMoves = [&] {
        const auto all = f.step(forward_tick {});
        return std::count_if(all.begin(), all.end(),
                             [](const auto &one) { return std::holds_alternative<start_attempt>(one); });
    };
    CHECK(countMoves() == 2);
    f.advance(50ms);
    CHECK(countMoves() == 0);
}

TEST_CASE("a target is not silent while this node stands still", "[forward]")
{
    // Guards against streams that leave their targets because their own front was suspended or had no processor time.
    fixture f;
    std::vector<attempt_number> streams;
    for (std::uint64_t i = 1; i <= 3; ++i) {
        streams.push_back(startedIn(f.arrive(i, streamPath)));
        (void)f.startStream(streams.back());
        (void)f.step(answer_bytes { streams.back(), "id: 1\ndata: a\n\n" });
    }
    (void)f.step(forward_tick {});
    f.advance(1s);
    // The bytes of the other streams are read first.
    for (std::size_t i = 1; i < streams.size(); ++i) {
        (void)f.step(answer_bytes { streams[i], "id: 2\ndata: b\n\n" });
    }
    CHECK(find<start_attempt>(f.step(forward_tick {})) == nullptr);
    (void)f.step(answer_bytes { streams.front(), "id: 2\ndata: b\n\n" });
    CHECK(find<end_event_stream>(f.step(answer_ended { streams.front() })) != nullptr);
}
