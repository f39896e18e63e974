#include "figcleat/target/gate.h"

#include "figcleat/core/invariant.h"

#include <catch2/catch.hpp>

using namespace figcleat;
using namespace figcleat::target;
using namespace std::chrono_literals;

namespace
{

constexpr incarnation_id ownIncarnation { 7 };
const peer_address entryA { "10.0.0.1:1" };
const peer_address entryB { "10.0.0.2:1" };

gate_settings smallGate(std::int64_t cold = 4, std::int64_t full = 16)
{
    gate_settings settings;
    settings.identity.incarnation = ownIncarnation;
    settings.identity.engineIncarnation = { 1 };
    settings.limits
        = { { { full }, { full * 1000 }, { full * 1000 } }, { { cold }, { cold * 1000 }, { cold * 1000 } } };
    return settings;
}

/** A gate with a clock that the test moves. */
struct driver
{
    explicit driver(gate_settings settings = smallGate())
        : subject(std::move(settings))
    {
    }
    std::vector<gate_action> step(const gate_event &event)
    {
        return subject.step(event, now);
    }
    /** Code of the refusal, or ok if the attempt was started. */
    result_code send(std::uint64_t number, fence_number fence = {}, const std::string &key = "",
                     work_cost cost = { { 1 }, { 100 }, { 100 } }, incarnation_id incarnation = ownIncarnation,
                     std::uint64_t remainingMs = 60'000)
    {
        dispatch message { id(number), {}, {}, incarnation, cost, 0, remainingMs, { fence, sha256(key) }, {} };
        for (const auto &action : step(dispatch_received { entryA, message })) {
            if (const auto *refusal = std::get_if<refuse>(&action)) {
                return refusal->message.code;
            }
            CHECK(std::holds_alternative<run>(action));
        }
        return result_code::ok;
    }
    /** The first piece after `wait`, then the end. */
    std::vector<gate_action> answer(std::uint64_t number, duration wait = 100ms, const std::string &bytes = "x")
    {
        now += wait;
        step(engine_piece { id(number), 200, {}, bytes });
        return step(engine_finished { id(number), true, { 1 } });
    }
    attempt_closed close(std::uint64_t number, fence_number fence = {}, incarnation_id incarnation = ownIncarnation)
    {
        return find<answer_close>(step(close_received { entryB, { id(number), fence, incarnation } }))->message;
    }
    /** One request after the other until the limit is the full one. */
    void warmUp()
    {
        while (subject.state() != target_state::warm) {
            const auto first = next;
            while (send(next) == result_code::ok) {
                ++next;
            }
            for (auto number = first; number < next; ++number) {
                answer(number, number == first ? 100ms : 0ms);
            }
            ++next;
        }
        now += 1s;
    }
    static attempt_id id(std::uint64_t number)
    {
        return { { 3 }, { number } };
    }
    template<typename Action>
    static std::optional<Action> find(const std::vector<gate_action> &actions)
    {
        for (const auto &action : actions) {
            if (const auto *found = std::get_if<Action>(&action)) {
                return *found;
            }
        }
        return std::nullopt;
    }

    gate subject;
    time_point now { 1h };
    std::uint64_t next = 1'000'000;
};

} // namespace

// Guards against a target that is given more of one kind of work because another kind is still free.
TEST_CASE("each kind of cost is limited", "[gate]")
{
    const work_cost tooLong { { 1 }, { 4001 }, { 1 } };
    const work_cost tooMuch { { 1 }, { 1 }, { 4001 } };
    driver gate;
    CHECK(gate.send(1, {}, "", tooLong) == result_code::target_at_limit);
    CHECK(gate.send(2, {}, "", tooMuch) == result_code::target_at_limit);
    CHECK(gate.send(3, {}, "", { { -5 }, { -5 }, { INT64_MIN } }) == result_code::ok);
    CHECK(gate.subject.inProgress() == work_cost { { 1 }, { 0 }, { 0 } });
    CHECK(gate.send(4, {}, "", { { INT64_MAX }, { 0 }, { 0 } }) == result_code::target_at_limit);
    for (std::uint64_t number = 10; number < 13; ++number) {
        CHECK(gate.send(number) == result_code::ok);
    }
    CHECK(gate.send(13) == result_code::target_at_limit);
    gate.answer(10);
    CHECK(gate.send(14) == result_code::ok);
}

// Guards against a late copy of a refused dispatch that runs after the caller was told "not run".
TEST_CASE("a refused attempt never starts", "[gate]")
{
    driver gate(smallGate(1));
    gate.send(1);
    CHECK(gate.send(2) == result_code::target_at_limit);
    gate.answer(1);
    CHECK(gate.send(2) == result_code::attempt_closed);
    CHECK(gate.send(3) == result_code::ok);
}

// Guards against new work in a slot whose former work may still run at the engine.
TEST_CASE("a slot in doubt is not reused", "[gate]")
{
    const auto event = GENERATE(gate_event(cancel_received { { driver::id(1) } }), gate_event(entry_lost { entryA }),
                                gate_event(engine_failed { driver::id(1), false }), gate_event(tick {}));
    driver gate(smallGate(1));
    gate.send(1);
    gate.now += 61s;
    const auto actions = gate.step(event);
    CHECK(driver::find<cancel_engine>(actions).has_value());
    CHECK(driver::find<forward_finish>(actions)->message.code != result_code::ok);
    gate.now += 1h;
    gate.step(tick {});
    CHECK(gate.send(2) == result_code::target_at_limit);
    SECTION("proof of the end")
    {
        CHECK_FALSE(driver::find<forward_finish>(gate.step(engine_finished { driver::id(1), true, {} })));
    }
    SECTION("new engine incarnation")
    {
        gate.step(engine_restarted { { 2 } });
    }
    CHECK(gate.send(3) == result_code::ok);
}

// Guards against a call that is interrupted or loses its outcome because its entry failed.
TEST_CASE("a claimed call outlives its entry", "[gate]")
{
    driver gate;
    gate.send(1, { 5 }, "k");
    CHECK(gate.step(entry_lost { entryA }).empty());
    CHECK(gate.step(cancel_received { { driver::id(1) } }).empty());
    gate.answer(1, 100ms, "booked");
    const auto closed = gate.close(1, { 5 });
    CHECK(closed.state == attempt_state::finished);
    CHECK(closed.code == result_code::ok);
    CHECK(closed.answer == "booked");
    CHECK(closed.httpStatus == 200);
}

// Guards against a second start by a copy of a dispatch or by a second claim on the same key.
TEST_CASE("no attempt and no key starts twice", "[gate]")
{
    driver gate;
    CHECK(gate.send(1, { 5 }, "k") == result_code::ok);
    CHECK(gate.send(1, { 5 }, "k") == result_code::duplicate_attempt);
    CHECK(gate.send(2, { 6 }, "k") == result_code::duplicate_attempt);
    gate.answer(1);
    CHECK(gate.send(1, { 5 }, "k") == result_code::duplicate_attempt);
    CHECK(gate.send(3, { 7 }, "k") == result_code::duplicate_attempt);
    CHECK(gate.send(4, { 8 }, "l", { { 1 }, {}, {} }, { 6 }) == result_code::stale_incarnation);
    gate.now += 24h;
    CHECK(gate.send(5, { 9 }, "k") == result_code::ok);
}

// Guards against an entry that resumes late and starts a call whose claim was given back.
TEST_CASE("closing an attempt bars it", "[gate]")
{
    driver gate;
    CHECK(gate.close(1, { 5 }).state == attempt_state::never_started);
    CHECK(gate.send(1, { 5 }, "k") == result_code::attempt_closed);
    gate.step(cancel_received { { driver::id(2) } });
    CHECK(gate.send(2) == result_code::attempt_closed);
    CHECK(gate.send(3, { 6 }, "k") == result_code::ok);
    CHECK(gate.close(3, { 6 }).state == attempt_state::running);
    gate.step(engine_failed { driver::id(3), false });
    CHECK(gate.close(3, { 6 }).state == attempt_state::running);
    gate.step(engine_restarted { { 2 } });
    CHECK(gate.close(3, { 6 }).state == attempt_state::finished);
    CHECK(gate.close(3, { 6 }).code == result_code::engine_failed);
    const auto other = gate.close(4, { 7 }, { 6 });
    CHECK(other.state == attempt_state::finished);
    CHECK(other.code == result_code::outcome_unknown);
    CHECK(other.targetIncarnation == ownIncarnation);
}

// Guards against a claim that stays lost though the engine never started its call.
TEST_CASE("a call that the engine refused may be claimed again", "[gate]")
{
    driver gate;
    gate.send(1, { 5 }, "k");
    const auto refusal = driver::find<refuse>(gate.step(engine_failed { driver::id(1), true }));
    CHECK(describe(refusal->message.code).ran == execution::not_run);
    CHECK(gate.close(1, { 5 }).state == attempt_state::never_started);
    CHECK(gate.send(1, { 5 }, "k") == result_code::attempt_closed);
    CHECK(gate.send(2, { 6 }, "k") == result_code::ok);
}

// Guards against a second run of a call that was forgotten, and against forgetting what may still be resent.
TEST_CASE("the attempt table is bounded and forgets safely", "[gate]")
{
    auto settings = smallGate();
    settings.attempts.maxAttempts = 4;
    driver gate(settings);
    gate.send(1, { 5 }, "k");
    gate.answer(1);
    for (std::uint64_t number = 2; number < 5; ++number) {
        CHECK(gate.send(number) == result_code::ok);
        gate.answer(number);
    }
    CHECK(gate.send(5) == result_code::attempt_table_full);
    gate.now += 301s;
    CHECK(gate.send(5) == result_code::attempt_closed);
    CHECK(gate.send(6) == result_code::ok);
    CHECK(gate.subject.attempts().fenceFloor() == fence_number { 5 });
    CHECK(gate.send(1, { 5 }, "k") == result_code::stale_fence);
    CHECK(gate.close(1, { 5 }).code == result_code::outcome_unknown);
}

// Guards against a storm of refusals that fills the table and stops the target for five minutes.
TEST_CASE("refusals do not use up the attempt table", "[gate]")
{
    auto settings = smallGate(1);
    settings.attempts.maxAttempts = 8;
    driver gate(settings);
    gate.send(1);
    for (std::uint64_t number = 2; number < 100; ++number) {
        CHECK(gate.send(number) == result_code::target_at_limit);
    }
    gate.answer(1);
    CHECK(gate.send(50) == result_code::attempt_closed);
    CHECK(gate.send(100) == result_code::ok);
    CHECK(gate.subject.attempts().size() <= 8);
}

// Guards against answers that use up memory, and against a cut answer that is passed off as whole.
TEST_CASE("kept answers are bounded in bytes", "[gate]")
{
    auto settings = smallGate();
    settings.attempts.maxAnswersBytes = 16'000;
    driver gate(settings);
    gate.send(1, { 5 }, "a");
    gate.answer(1, 100ms, std::string(8193, 'x'));
    CHECK(gate.close(1, { 5 }).code == result_code::answer_not_kept);
    CHECK(gate.close(1, { 5 }).answer.empty());
    for (std::uint64_t number = 2; number < 4; ++number) {
        gate.send(number, { number + 10 }, std::to_string(number));
        gate.answer(number, 100ms, std::string(8192, 'x'));
    }
    CHECK(gate.close(2, { 12 }).code == result_code::answer_not_kept);
    CHECK(gate.close(3, { 13 }).answer.size() == 8192);
    CHECK(gate.subject.attempts().answerBytes() == 8192);
}

// Guards against an answer that is mixed, cut, or marked whole without the engine's end mark.
TEST_CASE("pieces are numbered and only a marked end is ok", "[gate]")
{
    const bool complete = GENERATE(true, false);
    driver gate;
    gate.send(1);
    for (std::uint64_t position = 0; position < 3; ++position) {
        const auto piece = driver::find<forward_piece>(gate.step(engine_piece { driver::id(1), 200, {}, "p" }));
        CHECK(piece->message.position == position);
        CHECK(piece->message.attempt == driver::id(1));
        CHECK(piece->to == entryA);
    }
    const auto finish = driver::find<forward_finish>(gate.step(engine_finished { driver::id(1), complete, { 3 } }));
    CHECK(finish->message.pieces == 3);
    CHECK(finish->message.code == (complete ? result_code::ok : result_code::stream_broken));
    CHECK(gate.step(engine_piece { driver::id(1), 200, {}, "late" }).empty());
}

// Guards against a cold engine that is given the full load because some time has passed or idle work finished.
TEST_CASE("only finished work raises the level", "[gate]")
{
    driver gate;
    CHECK(gate.subject.limit().requests.count == 4);
    gate.now += 24h;
    gate.step(tick {});
    for (std::uint64_t number = 1; number < 50; ++number) {
        gate.send(number);
        gate.answer(number);
    }
    CHECK(gate.subject.limit().requests.count == 4);
    gate.warmUp();
    CHECK(gate.subject.limit().requests.count == 16);
}

// Guards against a target that loses most of its capacity because one answer was late.
TEST_CASE("a single late answer does not lower the level", "[gate]")
{
    driver gate;
    gate.warmUp();
    for (std::uint64_t number = 1; number < 100; ++number) {
        gate.send(number);
        gate.answer(number, number % 2 == 0 ? 500ms : 100ms);
        CHECK(gate.subject.state() == target_state::warm);
    }
}

// Guards against full load on an engine that became cold without warning.
TEST_CASE("the first sign of a cold engine lowers the level", "[gate]")
{
    driver gate;
    gate.warmUp();
    gate.send(1);
    SECTION("engine restart")
    {
        CHECK(driver::find<announce_state>(gate.step(engine_restarted { { 2 } }))->message.state == target_state::cold);
    }
    SECTION("work refused by the engine")
    {
        gate.step(engine_failed { driver::id(1), true });
    }
    SECTION("slow first pieces")
    {
        gate.send(2);
        gate.now += 400ms;
        gate.step(engine_piece { driver::id(1), 200, {}, "x" });
        CHECK(gate.subject.state() == target_state::warm);
        gate.step(engine_piece { driver::id(2), 200, {}, "x" });
    }
    SECTION("two first pieces overdue")
    {
        gate.send(2);
        gate.now += 400ms;
        gate.step(tick {});
    }
    SECTION("one first piece overdue for long")
    {
        for (int i = 0; i < 7; ++i) {
            gate.now += 100ms;
            gate.step(tick {});
            CHECK((i >= 6) == (gate.subject.state() == target_state::cold));
        }
    }
    SECTION("slow pieces")
    {
        for (int piece = 0; piece < 100; ++piece) {
            gate.now += piece < 96 ? 40ms : 200ms;
            gate.step(engine_piece { driver::id(1), 200, {}, "x" });
        }
    }
    SECTION("data centre back in service")
    {
        gate.step(data_centre_service { false });
        gate.step(data_centre_service { true });
    }
    CHECK(gate.subject.limit().requests.count == 4);
    CHECK(gate.subject.state() == target_state::cold);
}

// Guards against new work on a leaving target, and against a stop that cuts off work in progress.
TEST_CASE("a draining target finishes its work and takes no more", "[gate]")
{
    driver gate;
    gate.send(1);
    gate.send(2);
    const auto actions = gate.step(drain {});
    CHECK(driver::find<announce_state>(actions)->message.state == target_state::leaving);
    CHECK_FALSE(driver::find<drained>(actions));
    CHECK(gate.send(3) == result_code::target_leaving);
    gate.step(cancel_received { { driver::id(1) } });
    CHECK_FALSE(driver::find<drained>(gate.answer(2)));
    CHECK(driver::find<drained>(gate.step(engine_finished { driver::id(1), false, {} })));
    CHECK_FALSE(driver::find<drained>(gate.step(drain {})));
}

// Guards against work in a data centre that is out, and against work that cannot be answered in time.
TEST_CASE("work that cannot be done is refused early", "[gate]")
{
    driver gate;
    gate.step(data_centre_service { false });
    CHECK(gate.send(1) == result_code::data_centre_out);
    gate.step(data_centre_service { true });
    CHECK(gate.send(1) == result_code::attempt_closed);
    CHECK(gate.send(2, {}, "", { { 1 }, {}, {} }, ownIncarnation, 0) == result_code::deadline_too_near);
    gate.warmUp();
    CHECK(gate.send(3, {}, "", { { 1 }, {}, {} }, ownIncarnation, 20) == result_code::deadline_too_near);
    CHECK(gate.send(4, {}, "", { { 1 }, {}, {} }, ownIncarnation, 1000) == result_code::ok);
}
