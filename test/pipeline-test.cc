#include "figcleat/request/pipeline.h"

#include <catch2/catch.hpp>

using namespace figcleat;
using namespace figcleat::request;

namespace
{

constexpr auto configurationText = R"(
number = 1
[[workspace]]
name = "clinics"
credential_sha256 = ["%CREDENTIAL%"]
max_requests_in_progress = 3
[[data_centre]]
name = "north"
region = "khomas"
[[service]]
name = "models"
kind = "model"
models = ["m"]
[[service]]
name = "desk"
kind = "plain"
)";

std::shared_ptr<const configuration> makeConfiguration()
{
    std::string text = configurationText;
    const std::string mark = "%CREDENTIAL%";
    text.replace(text.find(mark), mark.size(), toHex(sha256("secret")));
    auto parsed = parseConfiguration(text, "test");
    REQUIRE(parsed.has_value());
    return std::make_shared<const configuration>(std::move(*parsed));
}

/** An entry's pipeline with a clock that the test moves. */
struct bench
{
    pipeline entry { pipeline::options { { 7 }, { "north" }, 16, 1 } };
    time_point now = time_point {} + std::chrono::hours(1);
    std::uint64_t lastExchange = 0;
    std::uint64_t sequence = 0;

    bench()
    {
        step(configuration_changed { makeConfiguration(), {}, { 1 } });
    }

    std::vector<pipeline_action> step(const pipeline_event &event)
    {
        return entry.step(event, now);
    }

    std::vector<pipeline_action> wait(duration time)
    {
        std::vector<pipeline_action> all;
        const time_point end = now + time;
        while (now < end) {
            now += std::chrono::milliseconds(20);
            for (auto &action : step(tick {})) {
                all.push_back(std::move(action));
            }
        }
        return all;
    }

    void announceTarget(const std::string &name, const std::string &serviceName, std::uint64_t incarnation = 1,
                        std::int64_t room = 4)
    {
        announce report;
        report.target = { name };
        report.service = { serviceName };
        report.dataCentre = { "north" };
        report.model = { serviceName == "models" ? "m" : "" };
        report.incarnation = { incarnation };
        report.state = target_state::warm;
        report.limit = { { room }, { 100000 }, { 100000 } };
        report.spare = report.limit;
        report.sequence = ++sequence;
        step(target_announced { { name }, report });
    }

    std::vector<pipeline_action> completion(bool streaming = true)
    {
        http_request request { "POST", "/v1/chat/completions", { { "Authorization", "Bearer secret" } }, {} };
        request.body = std::string(R"({"model":"m","messages":[{"role":"user","content":"hi"}],"stream":)")
            + (streaming ? "true}" : "false}");
        return step(call_arrived { { ++lastExchange }, std::move(request) });
    }

    std::vector<pipeline_action> booking(const std::string &key)
    {
        http_request request { "POST", "/services/desk/pickups", { { "Authorization", "Bearer secret" } }, "{}" };
        if (!key.empty()) {
            request.headers.emplace_back("Idempotency-Key", key);
        }
        return step(call_arrived { { ++lastExchange }, std::move(request) });
    }
};

template<typename T>
std::optional<T> find(const std::vector<pipeline_action> &actions)
{
    for (const auto &action : actions) {
        if (const auto *found = std::get_if<T>(&action)) {
            return *found;
        }
    }
    return std::nullopt;
}

template<typename T>
std::optional<T> findMessage(const std::vector<pipeline_action> &actions)
{
    for (const auto &action : actions) {
        const auto *sent = std::get_if<send_to_target>(&action);
        if (sent != nullptr && std::holds_alternative<T>(sent->message)) {
            return std::get<T>(sent->message);
        }
    }
    return std::nullopt;
}

std::string headerOf(const reply &answer, const std::string &name)
{
    return std::string(findHeader(answer.headers, name));
}

std::string streamed(const std::vector<pipeline_action> &actions)
{
    std::string text;
    for (const auto &action : actions) {
        if (const auto *piece = std::get_if<send_piece>(&action)) {
            text += piece->bytes;
        }
    }
    return text;
}

answer_piece piece(attempt_id attempt, std::uint64_t position, const std::string &bytes)
{
    return { attempt, position, position == 0 ? 200U : 0U, {}, bytes };
}

} // namespace

// Guards against an answer that is mixed up when pieces arrive late, twice or in another order.
TEST_CASE("pieces reach the caller in order and once", "[request]")
{
    bench test;
    test.announceTarget("t1", "models");
    const auto sent = test.completion();
    const auto job = findMessage<dispatch>(sent);
    REQUIRE(job.has_value());
    std::string text = streamed(test.step(piece(job->attempt, 1, "b")));
    CHECK(text.empty());
    text += streamed(test.step(piece(job->attempt, 0, "a")));
    text += streamed(test.step(piece(job->attempt, 0, "a")));
    const auto early = test.step(attempt_finished { job->attempt, result_code::ok, 3, {} });
    CHECK_FALSE(find<end_stream>(early).has_value());
    const auto last = test.step(piece(job->attempt, 2, "c"));
    text += streamed(last);
    CHECK(text == "abc");
    CHECK(find<end_stream>(last).has_value());
    CHECK(test.entry.requestsInProgress() == 0);
}

// Guards against a second run that continues the first one's answer with other words.
TEST_CASE("a second run that differs breaks the stream visibly", "[request]")
{
    bench test;
    test.announceTarget("t1", "models");
    const auto first = *findMessage<dispatch>(test.completion());
    (void)test.step(piece(first.attempt, 0, "one two "));
    test.announceTarget("t1", "models", 2);
    const auto retried = test.wait(std::chrono::seconds(1));
    const auto second = findMessage<dispatch>(retried);
    REQUIRE(second.has_value());
    CHECK(streamed(test.step(piece(first.attempt, 1, "late"))).empty());

    SECTION("the same words are resumed")
    {
        CHECK(streamed(test.step(piece(second->attempt, 0, "one two three"))) == "three");
        CHECK(find<end_stream>(test.step(attempt_finished { second->attempt, result_code::ok, 1, {} })).has_value());
    }
    SECTION("other words end it")
    {
        const auto answer = test.step(piece(second->attempt, 0, "one six "));
        CHECK(find<break_stream>(answer).has_value());
        CHECK(find<request_ended>(answer)->code == result_code::stream_broken);
    }
    SECTION("fewer words end it")
    {
        (void)test.step(piece(second->attempt, 0, "one "));
        CHECK(find<break_stream>(test.step(attempt_finished { second->attempt, result_code::ok, 1, {} })).has_value());
    }
}

// Guards against "not run" for a request whose dispatch may still be in a queue.
TEST_CASE("a lost target gives unknown, a refusal gives not run", "[request]")
{
    bench test;
    test.announceTarget("t1", "models");
    const auto job = *findMessage<dispatch>(test.completion(false));

    SECTION("refused until the deadline")
    {
        (void)test.step(attempt_refused { job.attempt, result_code::target_leaving, { 1 } });
        const auto end = test.wait(std::chrono::seconds(31));
        REQUIRE(find<reply>(end).has_value());
        CHECK(headerOf(*find<reply>(end), "X-Figcleat-Request") == "not_run");
    }
    SECTION("lost")
    {
        const auto end = test.wait(std::chrono::seconds(31));
        REQUIRE(find<reply>(end).has_value());
        CHECK(headerOf(*find<reply>(end), "X-Figcleat-Request") == "unknown");
    }
    SECTION("refused by another incarnation than the one addressed")
    {
        (void)test.step(attempt_refused { job.attempt, result_code::stale_incarnation, { 2 } });
        const auto end = test.wait(std::chrono::seconds(31));
        REQUIRE(find<reply>(end).has_value());
        CHECK(headerOf(*find<reply>(end), "X-Figcleat-Request") == "unknown");
    }
}

// Guards against a booking that is dispatched before its key is claimed, or answered before it is settled.
TEST_CASE("a call that may not be repeated is claimed, run and settled in this order", "[request]")
{
    bench test;
    test.announceTarget("d1", "desk");
    const auto arrived = test.booking("k1");
    CHECK_FALSE(findMessage<dispatch>(arrived).has_value());
    const auto claim = find<propose>(arrived);
    REQUIRE(claim.has_value());
    agreed::outcome granted;
    granted.status = agreed::claim_status::granted;
    granted.fence = { 9 };
    const auto sent = test.step(proposal_decided { claim->proposal, result_code::ok, granted });
    const auto job = findMessage<dispatch>(sent);
    REQUIRE(job.has_value());
    CHECK(job->claim.fence == fence_number { 9 });
    (void)test.step(piece(job->attempt, 0, "booked"));
    const auto finished = test.step(attempt_finished { job->attempt, result_code::ok, 1, {} });
    CHECK_FALSE(find<reply>(finished).has_value());
    const auto settle = find<propose>(finished);
    REQUIRE(settle.has_value());
    CHECK(std::get<agreed::settle_claim>(settle->command).answer == "booked");
    const auto settled = test.step(proposal_decided { settle->proposal, result_code::ok, {} });
    CHECK(find<reply>(settled)->body == "booked");
}

// Guards against work that is sent to a target which left, or was taken out, while the log decided on the claim.
TEST_CASE("a claim for a target that is no longer usable is given back", "[request]")
{
    bench test;
    test.announceTarget("d1", "desk");
    const auto claim = find<propose>(test.booking("k1"));
    REQUIRE(claim.has_value());
    SECTION("its data centre is out")
    {
        test.step(configuration_changed { makeConfiguration(), { { "north" } }, { 2 } });
    }
    SECTION("it is silent")
    {
        (void)test.wait(std::chrono::seconds(2));
    }
    SECTION("it has a new incarnation")
    {
        test.announceTarget("d1", "desk", 2);
    }
    agreed::outcome granted;
    granted.status = agreed::claim_status::granted;
    granted.fence = { 9 };
    const auto answer = test.step(proposal_decided { claim->proposal, result_code::ok, granted });
    CHECK_FALSE(findMessage<dispatch>(answer).has_value());
    const auto released = find<propose>(answer);
    REQUIRE(released.has_value());
    CHECK(std::get<agreed::release_claim>(released->command).fence == fence_number { 9 });
    const auto end = test.step(proposal_decided { released->proposal, result_code::agreement_unavailable, {} });
    REQUIRE(find<reply>(end).has_value());
    CHECK(headerOf(*find<reply>(end), "X-Figcleat-Request") == "not_run");
}

// Guards against a second run when a key is sent again while, or after, its first call runs.
TEST_CASE("a resent key gets the outcome of the attempt that holds it", "[request]")
{
    bench test;
    test.announceTarget("d1", "desk");
    const auto claim = find<propose>(test.booking("k1"));
    REQUIRE(claim.has_value());
    agreed::outcome held;
    held.code = result_code::still_running;
    held.status = agreed::claim_status::held;
    held.record.attempt = { { 99 }, { 5 } };
    held.record.target = { "d1" };
    held.record.targetIncarnation = { 1 };
    held.record.fence = { 4 };
    const auto asked = test.step(proposal_decided { 1, result_code::ok, held });
    const auto question = findMessage<close_attempt>(asked);
    REQUIRE(question.has_value());
    attempt_closed closed { question->attempt, attempt_state::running, result_code::ok, 0, "", { 1 } };

    SECTION("running")
    {
        const auto answer = test.step(closed);
        CHECK(headerOf(*find<reply>(answer), "X-Figcleat-Code") == "405");
    }
    SECTION("finished")
    {
        closed.state = attempt_state::finished;
        closed.httpStatus = 201;
        closed.answer = "booked";
        const auto settle = find<propose>(test.step(closed));
        REQUIRE(settle.has_value());
        const auto answer = test.step(proposal_decided { settle->proposal, result_code::ok, {} });
        CHECK(find<reply>(answer)->status == 201);
        CHECK(find<reply>(answer)->body == "booked");
        CHECK(headerOf(*find<reply>(answer), "X-Figcleat-Recorded") == "true");
    }
    SECTION("the incarnation that may have run it is gone")
    {
        closed.targetIncarnation = { 2 };
        const auto settle = find<propose>(test.step(closed));
        REQUIRE(settle.has_value());
        CHECK(std::get<agreed::settle_claim>(settle->command).code == result_code::outcome_unknown);
        const auto answer = test.step(proposal_decided { settle->proposal, result_code::ok, {} });
        CHECK(headerOf(*find<reply>(answer), "X-Figcleat-Request") == "unknown");
    }
    SECTION("never started, so it is released and claimed anew")
    {
        closed.state = attempt_state::never_started;
        const auto released = find<propose>(test.step(closed));
        REQUIRE(released.has_value());
        CHECK(std::get<agreed::release_claim>(released->command).fence == fence_number { 4 });
        (void)test.step(proposal_decided { released->proposal, result_code::ok, {} });
        const auto again = test.wait(std::chrono::milliseconds(100));
        REQUIRE(find<propose>(again).has_value());
        CHECK(std::holds_alternative<agreed::claim_key>(find<propose>(again)->command));
        agreed::outcome granted;
        granted.status = agreed::claim_status::granted;
        granted.fence = { 6 };
        const auto sent = test.step(proposal_decided { find<propose>(again)->proposal, result_code::ok, granted });
        const auto job = findMessage<dispatch>(sent);
        REQUIRE(job.has_value());
        (void)test.step(piece(job->attempt, 0, "booked"));
        const auto settle = find<propose>(test.step(attempt_finished { job->attempt, result_code::ok, 1, {} }));
        REQUIRE(settle.has_value());
        const auto answer = test.step(proposal_decided { settle->proposal, result_code::ok, {} });
        CHECK(find<reply>(answer)->body == "booked");
    }
    SECTION("no answer from its target before the deadline")
    {
        // Its own attempt was not run, but the other one with this key may have been.
        test.now += std::chrono::seconds(31);
        const auto answer = test.step(tick {});
        REQUIRE(find<reply>(answer).has_value());
        CHECK(headerOf(*find<reply>(answer), "X-Figcleat-Request") == "unknown");
    }
}

// Guards against a request that waits for its deadline because one message was lost.
TEST_CASE("an attempt without progress is asked about", "[request]")
{
    bench test;
    test.announceTarget("t1", "models");
    const auto job = *findMessage<dispatch>(test.completion());
    const auto keepAlive = [&test](duration time) {
        std::vector<pipeline_action> all;
        for (duration passed {}; passed < time; passed += std::chrono::milliseconds(500)) {
            test.announceTarget("t1", "models");
            for (auto &action : test.wait(std::chrono::milliseconds(500))) {
                all.push_back(std::move(action));
            }
        }
        return all;
    };
    const auto asked = findMessage<close_attempt>(keepAlive(std::chrono::milliseconds(2500)));
    REQUIRE(asked.has_value());
    CHECK(asked->attempt == job.attempt);

    SECTION("never started, so it is placed again")
    {
        (void)test.step(attempt_closed { job.attempt, attempt_state::never_started, result_code::ok, 0, "", { 1 } });
        const auto again = findMessage<dispatch>(keepAlive(std::chrono::seconds(1)));
        REQUIRE(again.has_value());
        CHECK(again->attempt != job.attempt);
    }
    SECTION("running, so it goes on")
    {
        (void)test.step(attempt_closed { job.attempt, attempt_state::running, result_code::ok, 0, "", { 1 } });
        CHECK(streamed(test.step(piece(job.attempt, 0, "a"))) == "a");
    }
    SECTION("finished with its pieces lost, so it is run again")
    {
        const attempt_closed closed { job.attempt, attempt_state::finished, result_code::ok, 200, "", { 1 } };
        (void)test.step(closed);
        CHECK(findMessage<close_attempt>(keepAlive(std::chrono::milliseconds(500))).has_value());
        (void)test.step(closed);
        CHECK(findMessage<dispatch>(keepAlive(std::chrono::seconds(1))).has_value());
    }
}

// Guards against a booking whose outcome is reported as unknown because the message with its end was lost.
TEST_CASE("a claimed call that finished unnoticed is answered from its target's record", "[request]")
{
    bench test;
    test.announceTarget("d1", "desk");
    const auto claim = find<propose>(test.booking("k1"));
    agreed::outcome granted;
    granted.status = agreed::claim_status::granted;
    granted.fence = { 9 };
    const auto job = findMessage<dispatch>(test.step(proposal_decided { claim->proposal, result_code::ok, granted }));
    REQUIRE(job.has_value());
    const attempt_closed closed { job->attempt, attempt_state::finished, result_code::ok, 201, "booked", { 1 } };
    CHECK_FALSE(find<propose>(test.step(closed)).has_value());
    const auto settle = find<propose>(test.step(closed));
    REQUIRE(settle.has_value());
    CHECK(std::get<agreed::settle_claim>(settle->command).answer == "booked");
    const auto answer = test.step(proposal_decided { settle->proposal, result_code::ok, {} });
    CHECK(find<reply>(answer)->status == 201);
    CHECK(find<reply>(answer)->body == "booked");
}

// Guards against keys that wait for the retry budget although no target was asked yet.
TEST_CASE("claiming a key again after a release costs no retry", "[request]")
{
    bench test;
    test.announceTarget("d1", "desk");
    for (std::uint64_t i = 0; i < 3; ++i) {
        auto claim = find<propose>(test.booking("k" + std::to_string(i)));
        for (std::uint64_t round = 0; round < 5; ++round) {
            REQUIRE(claim.has_value());
            agreed::outcome held;
            held.code = result_code::still_running;
            held.status = agreed::claim_status::held;
            held.record.attempt = { { 99 }, { 10 * i + round } };
            held.record.target = { "d1" };
            held.record.targetIncarnation = { 1 };
            held.record.fence = { 10 * i + round + 1 };
            (void)test.step(proposal_decided { claim->proposal, result_code::ok, held });
            const auto released = find<propose>(test.step(
                attempt_closed { held.record.attempt, attempt_state::never_started, result_code::ok, 0, "", { 1 } }));
            REQUIRE(released.has_value());
            (void)test.step(proposal_decided { released->proposal, result_code::ok, {} });
            test.announceTarget("d1", "desk");
            claim = find<propose>(test.wait(std::chrono::milliseconds(200)));
        }
    }
}

// Guards against entries that all read the same report and together fill the reported room several times.
TEST_CASE("after a refusal an entry takes only its share of the reported room", "[request]")
{
    bench test;
    const auto announceLoaded = [&test](std::int64_t spare) {
        announce report;
        report.target = { "t1" };
        report.service = { "models" };
        report.model = { "m" };
        report.dataCentre = { "north" };
        report.incarnation = { 1 };
        report.limit = { { 40 }, { 100000 }, { 100000 } };
        report.spare = { { spare }, { 100000 }, { 100000 } };
        report.sequence = ++test.sequence;
        std::size_t sent = 0;
        for (const auto &action : test.step(target_announced { { "t1" }, report })) {
            const auto *message = std::get_if<send_to_target>(&action);
            sent += message != nullptr && std::holds_alternative<dispatch>(message->message) ? 1 : 0;
        }
        return sent;
    };
    CHECK(announceLoaded(40) == 0);
    const auto first = findMessage<dispatch>(test.completion());
    REQUIRE(first.has_value());
    (void)test.step(attempt_refused { first->attempt, result_code::target_at_limit, { 1 } });
    (void)test.completion();
    (void)test.completion();
    // All work there is that of other entries, so that a small room is not for this one.
    std::size_t sent = 0;
    for (int i = 0; i < 20; ++i) {
        sent += announceLoaded(1);
    }
    CHECK(sent <= 1);
    // Half a request of 20 in progress gives this entry half of the 20 free ones.
    sent = announceLoaded(20);
    CHECK(sent <= 1);
    test.now += sharingPeriod;
    CHECK(announceLoaded(20) + sent >= 1);
}

// Guards against one request that no target can take now and that holds up all others of its model.
TEST_CASE("a request that exceeds every limit does not hold up smaller ones", "[request]")
{
    bench test;
    announce report;
    report.target = { "t1" };
    report.service = { "models" };
    report.model = { "m" };
    report.dataCentre = { "north" };
    report.incarnation = { 1 };
    report.limit = report.spare = { { 4 }, { 1000 }, { 1000 } };
    report.sequence = 1;
    test.step(target_announced { { "t1" }, report });
    const auto ask = [&test](int tokens) {
        http_request request { "POST", "/v1/chat/completions", { { "Authorization", "Bearer secret" } }, {} };
        request.body = R"({"model":"m","messages":[{"role":"user","content":"hi"}],"max_tokens":)"
            + std::to_string(tokens) + "}";
        return test.step(call_arrived { { ++test.lastExchange }, std::move(request) });
    };
    const auto large = ask(5000);
    CHECK_FALSE(findMessage<dispatch>(large).has_value());
    CHECK_FALSE(find<reply>(large).has_value());
    CHECK(findMessage<dispatch>(ask(100)).has_value());

    // The limit is higher once the target is warm.
    report.limit = report.spare = { { 8 }, { 10000 }, { 10000 } };
    report.sequence = 2;
    (void)test.step(target_announced { { "t1" }, report });
    CHECK(findMessage<dispatch>(test.wait(std::chrono::seconds(1))).has_value());
}

// Guards against a second copy of a dispatch that ends the attempt which the first copy started.
TEST_CASE("a duplicate dispatch does not disturb its attempt", "[request]")
{
    bench test;
    test.announceTarget("t1", "models");
    const auto job = *findMessage<dispatch>(test.completion());
    (void)test.step(attempt_refused { job.attempt, result_code::duplicate_attempt, { 1 } });
    CHECK(streamed(test.step(piece(job.attempt, 0, "a"))) == "a");
}

// Guards against a refusal while targets of other data centres have room.
TEST_CASE("without a local target a request goes to another data centre", "[request]")
{
    bench test;
    announce report;
    report.target = { "far" };
    report.service = { "models" };
    report.model = { "m" };
    report.dataCentre = { "south" };
    report.incarnation = { 1 };
    report.limit = report.spare = { { 4 }, { 100000 }, { 100000 } };
    report.sequence = 1;
    test.step(target_announced { { "far" }, report });
    CHECK(findMessage<dispatch>(test.completion()).has_value());
}

// Guards against an answer in one piece that is lost because a second run uses other words.
TEST_CASE("a call that is not streamed starts afresh on a second run", "[request]")
{
    bench test;
    test.announceTarget("t1", "models");
    const auto first = *findMessage<dispatch>(test.completion(false));
    (void)test.step(piece(first.attempt, 0, "one two "));
    test.announceTarget("t1", "models", 2);
    const auto second = findMessage<dispatch>(test.wait(std::chrono::seconds(1)));
    REQUIRE(second.has_value());
    (void)test.step(piece(second->attempt, 0, "three"));
    const auto answer = test.step(attempt_finished { second->attempt, result_code::ok, 1, {} });
    REQUIRE(find<reply>(answer).has_value());
    CHECK(find<reply>(answer)->body == "three");
}

// Guards against work that can run twice because nothing agreed on it.
TEST_CASE("without agreement a call that may not be repeated is not run", "[request]")
{
    bench test;
    test.announceTarget("d1", "desk");
    CHECK(headerOf(*find<reply>(test.booking("")), "X-Figcleat-Code") == "106");
    const auto claim = find<propose>(test.booking("k1"));
    REQUIRE(claim.has_value());
    const auto answer = test.step(proposal_decided { claim->proposal, result_code::agreement_unavailable, {} });
    CHECK(headerOf(*find<reply>(answer), "X-Figcleat-Request") == "not_run");
    CHECK_FALSE(findMessage<dispatch>(answer).has_value());
}

// Guards against one workspace that takes every place of an entry.
TEST_CASE("a workspace at its limit is refused with not run", "[request]")
{
    bench test;
    for (int i = 0; i < 3; ++i) {
        CHECK_FALSE(find<reply>(test.completion()).has_value());
    }
    const auto refused = test.completion();
    REQUIRE(find<reply>(refused).has_value());
    CHECK(headerOf(*find<reply>(refused), "X-Figcleat-Code") == "200");
    CHECK(headerOf(*find<reply>(refused), "X-Figcleat-Request") == "not_run");
}

// Guards against a planned stop that cuts off a request or never ends.
TEST_CASE("a stopping entry finishes what is in progress and takes nothing new", "[request]")
{
    bench test;
    test.announceTarget("t1", "models");
    const auto job = *findMessage<dispatch>(test.completion());
    (void)test.step(stop_requested {});
    const auto refused = find<reply>(test.completion());
    REQUIRE(refused.has_value());
    CHECK(headerOf(*refused, "X-Figcleat-Code") == "208");
    CHECK(headerOf(*refused, "Retry-After") == "0");
    CHECK_FALSE(find<drained>(test.wait(std::chrono::milliseconds(100))).has_value());
    (void)test.step(piece(job.attempt, 0, "a"));
    CHECK(find<end_stream>(test.step(attempt_finished { job.attempt, result_code::ok, 1, {} })).has_value());
    const auto usage = test.wait(std::chrono::milliseconds(100));
    REQUIRE(find<propose>(usage).has_value());
    CHECK_FALSE(find<drained>(usage).has_value());
    (void)test.step(proposal_decided { find<propose>(usage)->proposal, result_code::ok, {} });
    CHECK(find<drained>(test.wait(std::chrono::milliseconds(100))).has_value());
}

// Guards against an entry that cannot stop while the voters have no quorum.
TEST_CASE("a stopping entry gives up its last usage batch after a while", "[request]")
{
    bench test;
    test.announceTarget("t1", "models");
    const auto job = *findMessage<dispatch>(test.completion());
    (void)test.step(piece(job.attempt, 0, "a"));
    (void)test.step(attempt_finished { job.attempt, result_code::ok, 1, {} });
    (void)test.step(stop_requested {});
    CHECK_FALSE(find<drained>(test.wait(std::chrono::seconds(4))).has_value());
    const auto end = find<drained>(test.wait(std::chrono::seconds(2)));
    REQUIRE(end.has_value());
    CHECK(end->usageLost);
}

// Guards against a request that waits for its deadline at an engine that has stopped answering.
TEST_CASE("a lost attempt is repeated at another target", "[request]")
{
    bench test;
    test.announceTarget("t1", "models", 1, 8);
    test.announceTarget("t2", "models", 1, 1);
    const auto first = find<send_to_target>(test.completion(false));
    REQUIRE(first.has_value());
    const auto attempt = std::get<dispatch>(first->message).attempt;
    (void)test.step(attempt_finished { attempt, result_code::engine_failed, 0, {} });
    std::string second;
    for (const auto &action : test.wait(std::chrono::seconds(1))) {
        const auto *sent = std::get_if<send_to_target>(&action);
        if (sent != nullptr && std::holds_alternative<dispatch>(sent->message)) {
            second = sent->to.value;
        }
    }
    REQUIRE_FALSE(second.empty());
    CHECK(second != first->to.value);
}
