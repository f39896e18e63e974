#include "figcleat/agreed/state.h"
#include "figcleat/core/invariant.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

using namespace figcleat;
using namespace figcleat::agreed;

namespace
{

constexpr std::int64_t lifeMs = claim_table::lifeMs;

/** A state that counts log indexes by itself. */
struct fixture
{
    state copy;
    std::uint64_t index = 0;

    outcome apply(const command &what)
    {
        return copy.apply({ ++index }, what);
    }
    void restart()
    {
        auto restored = state::restore(copy.snapshot());
        REQUIRE(restored.has_value());
        REQUIRE(restored->snapshot() == copy.snapshot());
        copy = std::move(*restored);
    }
};

claim_key claimOf(const std::string &key, std::uint64_t attempt, std::int64_t nowMs = 0,
                  const std::string &call = "call")
{
    return { sha256(key),  sha256(call), { "clinics" },          { "returns-desk" },
             { "desk-1" }, { 5 },        { { 9 }, { attempt } }, nowMs };
}

settle_claim settleOf(const std::string &key, fence_number fence, const std::string &answer)
{
    return { sha256(key), fence, result_code::ok, 200, answer, sha256(answer) };
}

record_usage batchOf(std::uint64_t entry, std::uint64_t sequence, std::int64_t tokens = 10)
{
    return { { entry }, sequence, { { { "clinics" }, { "assistant-models" }, { 1 }, { 20 }, { tokens } } } };
}

} // namespace

// Guards against two contents under one number, and against a resend that gets another answer than the first.
TEST_CASE("a number belongs to the content that won it", "[agreed]")
{
    fixture f;
    CHECK(f.apply(submit_configuration { 5, "first" }).revision == revision_number { 1 });
    const outcome loser = f.apply(submit_configuration { 5, "second" });
    CHECK(loser.code == result_code::configuration_number_taken);
    CHECK(loser.detail == toHex(sha256("first")));
    CHECK(f.apply(submit_configuration { 4, "unused" }).code == result_code::configuration_number_too_low);
    CHECK(f.apply(submit_configuration { 0, "none" }).code == result_code::configuration_number_too_low);
    CHECK(f.apply(submit_configuration { 9, "later" }).revision == revision_number { 5 });
    f.restart();
    const outcome again = f.apply(submit_configuration { 5, "first" });
    CHECK(again.code == result_code::ok);
    CHECK(again.revision == revision_number { 1 });
    CHECK(f.copy.configuration().content == "later");
    CHECK(f.copy.configuration().revision == revision_number { 5 });
}

// Guards against a memory of numbers without a bound, and against accepting a number that nothing proves.
TEST_CASE("the oldest number is forgotten and then refused", "[agreed]")
{
    fixture f;
    for (std::uint64_t number = 1; number <= configurations::maxNumbers + 1; ++number) {
        REQUIRE(f.apply(submit_configuration { number, std::to_string(number) }).code == result_code::ok);
    }
    CHECK(f.apply(submit_configuration { 1, "1" }).code == result_code::configuration_number_too_low);
    CHECK(f.apply(submit_configuration { 2, "2" }).revision == revision_number { 2 });
}

// Guards against a revision that rises without a change, and an override that outlives the file that names it.
TEST_CASE("an override of a data centre lasts until a file names it", "[agreed]")
{
    fixture f;
    CHECK(f.apply(set_data_centre { { "okahandja" }, false }).code == result_code::not_configured);
    f.apply(submit_configuration { 1, "one" });
    CHECK(f.apply(set_data_centre { { "okahandja" }, false }).revision == revision_number { 3 });
    CHECK(f.apply(set_data_centre { { "okahandja" }, false }).revision == revision_number { 3 });
    CHECK(f.apply(set_data_centre { { "norte-a" }, true }).revision == revision_number { 5 });
    CHECK(f.copy.configuration().dataCentresOut == std::vector<data_centre_id> { { "okahandja" } });
    CHECK(f.copy.configuration().dataCentresIn == std::vector<data_centre_back> { { { "norte-a" }, { 5 } } });
    f.restart();
    f.apply(submit_configuration { 2, "two", { { "norte-a" } } });
    CHECK(f.copy.configuration().dataCentresOut.size() == 1);
    CHECK(f.copy.configuration().dataCentresIn.empty());
    f.apply(submit_configuration { 3, "three", { { "okahandja" } } });
    CHECK(f.copy.configuration().dataCentresOut.empty());
}

// Guards against a key that two attempts hold, or that is freed or settled by one that does not hold it.
TEST_CASE("a key is granted again only after a release under its own fence", "[agreed]")
{
    fixture f;
    const outcome first = f.apply(claimOf("pickup", 1));
    REQUIRE(first.status == claim_status::granted);
    const outcome second = f.apply(claimOf("pickup", 2));
    CHECK(second.status == claim_status::held);
    CHECK(second.code == result_code::still_running);
    CHECK(second.record.attempt.number == attempt_number { 1 });
    CHECK(f.apply(claimOf("pickup", 3, 0, "other")).code == result_code::idempotency_key_reused);
    CHECK(f.apply(release_claim { sha256("pickup"), { 77 } }).code == result_code::stale_fence);
    CHECK(f.apply(release_claim { sha256("van"), first.fence }).code == result_code::stale_fence);
    CHECK(f.apply(claimOf("pickup", 2)).status == claim_status::held);
    CHECK(f.apply(release_claim { sha256("pickup"), first.fence }).code == result_code::ok);
    f.restart();
    const outcome third = f.apply(claimOf("pickup", 2));
    CHECK(third.status == claim_status::granted);
    CHECK(third.fence > first.fence);
    CHECK(f.apply(settleOf("pickup", first.fence, "late")).code == result_code::stale_fence);
    CHECK_FALSE(f.copy.claim(sha256("pickup"))->settled);
}

// Guards against a second result for one call, and against running a settled call again.
TEST_CASE("the first result of a claim stays", "[agreed]")
{
    fixture f;
    const outcome granted = f.apply(claimOf("till", 1));
    CHECK(f.apply(settleOf("till", granted.fence, "paid")).code == result_code::ok);
    CHECK(f.apply(settleOf("till", granted.fence, "paid")).code == result_code::ok);
    CHECK(f.apply(settleOf("till", granted.fence, "twice")).code == result_code::attempt_closed);
    CHECK(f.apply(release_claim { sha256("till"), granted.fence }).code == result_code::attempt_closed);
    f.restart();
    const outcome resend = f.apply(claimOf("till", 2));
    CHECK(resend.status == claim_status::settled);
    CHECK(resend.code == result_code::ok);
    CHECK(resend.record.answer == "paid");
}

// Guards against an early second run when a leader's clock is behind, and against claims that never end.
TEST_CASE("a claim lives 24 hours of the highest time seen", "[agreed]")
{
    fixture f;
    f.apply(expire_claims { 10 * lifeMs });
    CHECK(f.apply(claimOf("pickup", 1, 0)).status == claim_status::granted);
    f.apply(expire_claims { 11 * lifeMs - 1 });
    CHECK(f.apply(claimOf("pickup", 2, 0)).status == claim_status::held);
    f.restart();
    CHECK(f.apply(claimOf("pickup", 2, 11 * lifeMs)).status == claim_status::granted);
    f.apply(expire_claims { 12 * lifeMs });
    CHECK(f.copy.claimCount() == 0);
}

// Guards against a table of claims without a bound, and against one command that takes long to drop all of them.
TEST_CASE("claims are refused at the bound until some expire", "[agreed]")
{
    fixture f;
    claim_key request = claimOf("pickup", 1);
    for (std::uint32_t i = 0; i < claim_table::maxClaims; ++i) {
        std::memcpy(request.key.bytes.data(), &i, sizeof(i));
        REQUIRE(f.apply(request).status == claim_status::granted);
    }
    const outcome full = f.apply(claimOf("another", 1));
    CHECK(full.code == result_code::claims_full);
    CHECK(full.status == claim_status::refused);
    CHECK(f.apply(claimOf("another", 1, lifeMs)).status == claim_status::granted);
    const std::size_t left = claim_table::maxClaims - claim_table::maxExpiredByClaim + 1;
    CHECK(f.copy.claimCount() == left);
    f.apply(expire_claims { lifeMs });
    CHECK(f.copy.claimCount() == left - claim_table::maxExpiredAtOnce);
}

// Guards against recorded answers without a bound, and against an answer that is cut instead of refused.
TEST_CASE("an answer above its bounds keeps only its digest", "[agreed]")
{
    fixture f;
    const std::string large(claim_table::maxAnswerBytes + 1, 'a');
    const outcome granted = f.apply(claimOf("large", 1));
    CHECK(f.apply(settleOf("large", granted.fence, large)).code == result_code::ok);
    CHECK(f.apply(settleOf("large", granted.fence, large)).code == result_code::ok);
    f.restart();
    const outcome resend = f.apply(claimOf("large", 2));
    CHECK(resend.code == result_code::answer_not_kept);
    CHECK(resend.record.answer.empty());
    CHECK(resend.record.answerDigest == sha256(large));

    const std::string fitting(claim_table::maxAnswerBytes, 'b');
    const std::size_t bound = claim_table::maxAllAnswerBytes / fitting.size();
    for (std::size_t i = 0; i <= bound; ++i) {
        const std::string key = std::to_string(i);
        f.apply(settleOf(key, f.apply(claimOf(key, 1)).fence, fitting));
    }
    CHECK(f.copy.answerBytes() == claim_table::maxAllAnswerBytes);
    CHECK(f.apply(claimOf("0", 2)).code == result_code::answer_not_kept);
    CHECK(f.apply(claimOf("1", 2)).record.answer == fitting);
}

// Guards against a fence that does not rise, and a memory of subjects without a bound.
TEST_CASE("fences rise and the oldest subject is forgotten", "[agreed]")
{
    fixture f;
    const fence_number first = f.apply(issue_fence { "group/a", "north" }).fence;
    const fence_number second = f.apply(issue_fence { "group/a", "south" }).fence;
    CHECK(second > first);
    CHECK(f.copy.fence("group/a") == fence_holder { "south", second });
    for (std::size_t i = 0; i < fence_table::maxSubjects; ++i) {
        f.apply(issue_fence { std::to_string(i), "north" });
    }
    f.restart();
    CHECK_FALSE(f.copy.fence("group/a").has_value());
    CHECK(f.copy.fence("0").has_value());
    CHECK(f.apply(issue_fence { "group/a", "south" }).fence > second);
}

// Guards against use that is counted twice when a batch is resent, reordered or older than what is remembered.
TEST_CASE("a batch of use counts once", "[agreed]")
{
    fixture f;
    for (const std::uint64_t sequence : { 0, 2, 1, 2, 0, 1 }) {
        f.apply(batchOf(1, sequence));
    }
    REQUIRE(f.copy.usageTotals().size() == 1);
    CHECK(f.copy.usageTotals()[0].generatedTokens == token_count { 30 });
    for (std::uint64_t i = 0; i <= usage_ledger::windowSize; ++i) {
        f.apply(batchOf(1, 100 + 2 * i));
    }
    f.restart();
    f.apply(batchOf(1, 100));
    f.apply(batchOf(1, 50));
    CHECK(f.copy.usageTotals()[0].requests == request_count { 3 + 65 });
    for (std::uint64_t entry = 2; entry <= usage_ledger::maxIncarnations + 1; ++entry) {
        f.apply(batchOf(entry, 0));
    }
    f.restart();
    CHECK(f.apply(batchOf(1, 100)).code == result_code::stale_incarnation);
    CHECK(f.apply(batchOf(2, 0)).detail == "already counted");
    CHECK(f.apply(batchOf(2, 1, -1)).code == result_code::malformed_request);
    CHECK(f.copy.usageTotals()[0].requests == request_count { 3 + 65 + 1024 });
}

// Guards against a copy that starts from a damaged snapshot, and against a log entry that is applied twice.
TEST_CASE("a damaged snapshot and a repeated log entry are refused", "[agreed]")
{
    fixture f;
    f.apply(submit_configuration { 1, "one" });
    f.apply(settleOf("till", f.apply(claimOf("till", 1)).fence, "paid"));
    f.apply(issue_fence { "group/a", "north" });
    f.apply(batchOf(1, 0));
    const std::string whole = f.copy.snapshot();
    for (std::size_t size = 0; size < whole.size(); ++size) {
        REQUIRE_FALSE(state::restore(std::string_view(whole).substr(0, size)).has_value());
    }
    for (std::size_t at = 0; at < whole.size(); ++at) {
        std::string flipped = whole;
        flipped[at] = static_cast<char>(~flipped[at]);
        CHECK_NOTHROW(static_cast<void>(state::restore(flipped)));
    }
    CHECK(state::restore(whole + '\0').error().code == result_code::log_damaged);
    CHECK(state::restore('\x7f' + whole.substr(1)).error().code == result_code::unsupported_version);
    CHECK_THROWS_AS(f.copy.apply({ f.index }, issue_fence { "group/a", "south" }), invariant_violation);
}

namespace
{

/** What the state machine should do, without bounds: plain maps over a few names. */
struct model
{
    struct claimed
    {
        int call = 0;
        std::uint64_t fence = 0;
        std::int64_t atMs = 0;
        std::optional<std::string> answer {};
    };
    std::uint64_t index = 0;
    std::int64_t nowMs = 0;
    std::uint64_t highest = 0;
    std::uint64_t revision = 0;
    std::map<std::uint64_t, std::pair<std::string, std::uint64_t>> files {};
    std::map<std::string, bool> overrides {};
    std::map<int, claimed> claims {};
    std::set<std::pair<std::uint64_t, std::uint64_t>> batches {};

    /** Fence of a key, 0 if it is free. */
    [[nodiscard]] std::uint64_t fenceOf(int key) const
    {
        const auto known = claims.find(key);
        return known == claims.end() ? 0 : known->second.fence;
    }
};

/** Numbers that the test draws; every kind of command reads those that it needs. */
struct draw
{
    int kind = 0;
    int key = 0;
    int variant = 0;
    std::uint64_t number = 0;
    bool right = true;
    std::int64_t laterMs = 0;
};

struct reply
{
    result_code code = result_code::ok;
    std::uint64_t revision = 0;
    std::uint64_t fence = 0;
};

reply expectSubmit(model &m, const draw &d)
{
    const std::string content = std::to_string(d.variant);
    if (const auto known = m.files.find(d.number); known != m.files.end()) {
        return known->second.first == content ? reply { result_code::ok, known->second.second }
                                              : reply { result_code::configuration_number_taken };
    }
    if (d.number <= m.highest) {
        return { result_code::configuration_number_too_low };
    }
    m.highest = d.number;
    m.revision = m.index;
    m.files[d.number] = { content, m.index };
    m.overrides.erase("a");
    return { result_code::ok, m.index };
}

reply expectSet(model &m, const draw &d)
{
    if (m.revision == 0) {
        return { result_code::not_configured };
    }
    const auto [at, isNew] = m.overrides.try_emplace(d.key % 2 == 0 ? "a" : "b", d.right);
    if (isNew || at->second != d.right) {
        at->second = d.right;
        m.revision = m.index;
    }
    return { result_code::ok, m.revision };
}

reply expectClaim(model &m, const draw &d)
{
    const auto known = m.claims.find(d.key);
    if (known == m.claims.end()) {
        m.claims[d.key] = { d.variant, m.index, m.nowMs };
        return { result_code::ok, 0, m.index };
    }
    if (known->second.call != d.variant) {
        return { result_code::idempotency_key_reused };
    }
    return { known->second.answer ? result_code::ok : result_code::still_running, 0, known->second.fence };
}

reply expectEnd(model &m, const draw &d, bool settles)
{
    const std::uint64_t fence = m.fenceOf(d.key);
    if (fence == 0 || !d.right) {
        return { result_code::stale_fence };
    }
    std::optional<std::string> &answer = m.claims[d.key].answer;
    const std::string offered = std::to_string(d.variant);
    if (answer && (!settles || *answer != offered)) {
        return { result_code::attempt_closed };
    }
    if (settles) {
        answer = offered;
    } else {
        m.claims.erase(d.key);
    }
    return { result_code::ok, 0, fence };
}

reply expectReply(model &m, const draw &d)
{
    ++m.index;
    if (d.kind == 2 || d.kind == 7) {
        m.nowMs = std::max(m.nowMs, m.nowMs + d.laterMs);
        std::erase_if(m.claims, [&](const auto &item) { return m.nowMs - item.second.atMs >= lifeMs; });
    }
    switch (d.kind) {
    case 0:
        return expectSubmit(m, d);
    case 1:
        return expectSet(m, d);
    case 2:
        return expectClaim(m, d);
    case 3:
    case 4:
        return expectEnd(m, d, d.kind == 3);
    case 5:
        return { result_code::ok, 0, m.index };
    case 6:
        m.batches.emplace(d.key, d.number);
        return {};
    default:
        return {};
    }
}

command commandOf(const model &m, const draw &d)
{
    const std::string key = std::to_string(d.key);
    const std::string text = std::to_string(d.variant);
    const fence_number fence { d.right ? m.fenceOf(d.key) : m.fenceOf(d.key) + 1 };
    switch (d.kind) {
    case 0:
        return submit_configuration { d.number, text, { { "a" } } };
    case 1:
        return set_data_centre { { d.key % 2 == 0 ? "a" : "b" }, d.right };
    case 2:
        return claimOf(key, m.index, m.nowMs + d.laterMs, text);
    case 3:
        return settleOf(key, fence, text);
    case 4:
        return release_claim { sha256(key), fence };
    case 5:
        return issue_fence { key, text };
    case 6:
        return batchOf(static_cast<std::uint64_t>(d.key), d.number, 1);
    default:
        return expire_claims { m.nowMs + d.laterMs };
    }
}

struct apply_command : rc::state::Command<model, state>
{
    draw d;

    explicit apply_command(const model & /*m*/)
        : d { *rc::gen::inRange(0, 8),
              *rc::gen::inRange(0, 4),
              *rc::gen::inRange(0, 2),
              *rc::gen::inRange<std::uint64_t>(0, 12),
              *rc::gen::weightedElement<bool>({ { 3, true }, { 1, false } }),
              *rc::gen::element<std::int64_t>(-lifeMs, 0, 1, lifeMs / 3, lifeMs) }
    {
    }
    void apply(model &m) const override
    {
        expectReply(m, d);
    }
    void run(const model &m, state &copy) const override
    {
        model after = m;
        const reply wanted = expectReply(after, d);
        const outcome got = copy.apply({ after.index }, commandOf(m, d));
        RC_ASSERT(got.code == wanted.code);
        RC_ASSERT(got.revision.value == wanted.revision);
        RC_ASSERT(got.fence.value == wanted.fence);
        RC_ASSERT(copy.configuration().revision.value == after.revision);
        RC_ASSERT(copy.claimCount() == after.claims.size());
        const auto totals = copy.usageTotals();
        RC_ASSERT((totals.empty() ? 0 : totals[0].requests.count) == static_cast<std::int64_t>(after.batches.size()));
        if (d.kind == 2) {
            const bool isNew = wanted.fence == after.index;
            RC_ASSERT((got.status == claim_status::granted) == isNew);
        }
    }
    void show(std::ostream &out) const override
    {
        out << "kind " << d.kind << " key " << d.key << " variant " << d.variant << " number " << d.number << " right "
            << d.right << " later " << d.laterMs;
    }
};

struct restart_copy : rc::state::Command<model, state>
{
    void run(const model & /*m*/, state &copy) const override
    {
        const std::string before = copy.snapshot();
        auto restored = state::restore(before);
        RC_ASSERT(restored.has_value());
        RC_ASSERT(restored->snapshot() == before);
        copy = std::move(*restored);
    }
    void show(std::ostream &out) const override
    {
        out << "restart";
    }
};

} // namespace

// Guards against an acknowledged sign-off that a restart undoes, and against a table without bound.
TEST_CASE("sign-offs are kept through restarts, the latest start of each target", "[agreed]")
{
    fixture f;
    CHECK(f.apply(record_sign_off { { "desk-1" }, 5 }).code == result_code::ok);
    CHECK(f.apply(record_sign_off { { "desk-1" }, 4 }).code == result_code::ok);
    f.restart();
    CHECK(f.copy.signOffs().contains({ "desk-1" }, 5));
    CHECK_FALSE(f.copy.signOffs().contains({ "desk-1" }, 6));
    CHECK_FALSE(f.copy.signOffs().contains({ "desk-2" }, 1));
    for (std::size_t i = 0; i < sign_off_table::maxTargets; ++i) {
        f.apply(record_sign_off { { "x" + std::to_string(i) }, 1 });
    }
    f.restart();
    CHECK_FALSE(f.copy.signOffs().contains({ "desk-1" }, 5));
    CHECK(f.copy.signOffs().all().size() == sign_off_table::maxTargets);
    CHECK(f.copy.signOffs().all().back().target.value == "x" + std::to_string(sign_off_table::maxTargets - 1));
    CHECK(f.apply(record_sign_off { { std::string(state::maxNameBytes + 1, 'x') }, 1 }).code
          == result_code::malformed_request);
}

// Guards against a data folder of an earlier version that a coordinator refuses.
TEST_CASE("a snapshot from before sign-offs were recorded is restored", "[agreed]")
{
    fixture f;
    f.apply(submit_configuration { 5, "first" });
    std::string earlier = f.copy.snapshot();
    earlier.front() = 1;
    earlier.pop_back();
    const auto restored = state::restore(earlier);
    REQUIRE(restored.has_value());
    CHECK(restored->configuration().number == 5);
    CHECK(restored->signOffs().all().empty());
}

// Guards against any order of commands and restarts that answers otherwise than the rules.
TEST_CASE("random commands agree with a simple model", "[agreed]")
{
    CHECK(rc::check("state agrees with the model", [] {
        state copy;
        rc::state::check(model {}, copy,
                         rc::state::gen::execOneOfWithArgs<apply_command, apply_command, apply_command, apply_command,
                                                           restart_copy>());
    }));
}
