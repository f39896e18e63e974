#include "../src/consensus/memory-log.h"
#include "figcleat/core/log.h"
#include "raft-harness.h"

#include <catch2/catch.hpp>

using namespace figcleat;
using namespace figcleat::consensus;
using namespace figcleat::consensus::harness;
using namespace std::chrono_literals;

namespace
{

run_options calm(std::uint64_t seed, std::size_t voters = 5)
{
    run_options options;
    options.seed = seed;
    options.voters = voters;
    options.faults = false;
    return options;
}

template<typename T>
std::vector<T> only(const std::vector<raft_action> &actions)
{
    std::vector<T> found;
    for (const auto &one : actions) {
        if (const auto *match = std::get_if<T>(&one)) {
            found.push_back(*match);
        }
    }
    return found;
}

template<typename T>
std::size_t countSent(const std::vector<raft_action> &actions)
{
    std::size_t count = 0;
    for (const auto &one : only<consensus::send>(actions)) {
        count += std::holds_alternative<T>(one.message) ? 1 : 0;
    }
    return count;
}

const member one { { "a" }, { 1 }, member_role::voter };
const member two { { "b" }, { 2 }, member_role::voter };
const member three { { "c" }, { 3 }, member_role::voter };
constexpr time_point start { 1000s };

/** Voter "a" of three with a first entry. */
raft makeVoter(term_number term = { 1 })
{
    restored_state state;
    state.identity = { 1 };
    state.state = { term, {}, { 9 } };
    state.entries = { { { 1 }, { 1 }, entry_kind::membership, encode(membership { { one, two, three } }) } };
    return { { { "a" }, { { "a" }, { "b" }, { "c" } }, 1 }, state, start };
}

message_header fromTwo(term_number term)
{
    return { { 9 }, { 2 }, { 1 }, term };
}

append_request entryFromTwo(term_number term, log_index index, term_number previousTerm, const std::string &bytes)
{
    return {
        fromTwo(term), { index.value - 1 }, previousTerm, {}, {}, { { index, term, entry_kind::command, bytes } }
    };
}

void makeStandingKnown(raft &voter)
{
    (void)voter.step(receive { { "b" }, standing_answer { fromTwo({ 1 }), {}, {} } }, start);
}

/** Voter "a" of three, just elected in term 2 by "b"; its no-op at index 2 is not synced. */
raft makeLeader(std::uint64_t &unsynced)
{
    auto voter = makeVoter();
    makeStandingKnown(voter);
    (void)voter.step(tick {}, start + 2s);
    const auto votes = voter.step(receive { { "b" }, vote_answer { fromTwo({ 1 }), { 2 }, true, true } }, start + 2s);
    (void)voter.step(synced { only<persist>(votes).back().sequence }, start + 2s);
    const auto won = voter.step(receive { { "b" }, vote_answer { fromTwo({ 2 }), { 2 }, false, true } }, start + 2s);
    REQUIRE(only<became_leader>(won).size() == 1);
    unsynced = only<persist>(won).back().sequence;
    return voter;
}

std::uint64_t commitOne(simulation &cluster)
{
    const auto who = cluster.leader();
    REQUIRE(who.has_value());
    const auto id = cluster.proposeAt(*who);
    cluster.runFor(100ms);
    REQUIRE(cluster.answerTo(id) == result_code::ok);
    return id;
}

} // namespace

// Guards against an acknowledgement that a crash right after it would make untrue.
TEST_CASE("an append is acknowledged only once it is synced", "[raft]")
{
    auto voter = makeVoter();
    const auto actions = voter.step(receive { { "b" }, entryFromTwo({ 2 }, { 2 }, { 1 }, "x") }, start);
    const auto writes = only<persist>(actions);
    REQUIRE(writes.size() == 2);
    CHECK(countSent<append_answer>(actions) == 0);
    CHECK(countSent<append_answer>(voter.step(synced { writes[0].sequence }, start)) == 0);
    CHECK(countSent<append_answer>(voter.step(synced { writes[1].sequence }, start)) == 1);
}

// Guards against two votes in a term after a crash.
TEST_CASE("a vote leaves only once it is synced, and only one per term", "[raft]")
{
    auto voter = makeVoter();
    makeStandingKnown(voter);
    const vote_request asked { fromTwo({ 1 }), { 2 }, false, { 1 }, { 1 } };
    const auto actions = voter.step(receive { { "b" }, asked }, start);
    const auto writes = only<persist>(actions);
    REQUIRE(writes.size() == 2);
    CHECK(writes[1].state->votedFor == voter_identity { 2 });
    CHECK(countSent<vote_answer>(actions) == 0);
    const auto answered = only<consensus::send>(voter.step(synced { writes[1].sequence }, start));
    REQUIRE(answered.size() == 1);
    CHECK(std::get<vote_answer>(answered[0].message).granted);
    const vote_request other { { { 9 }, { 3 }, { 1 }, { 1 } }, { 2 }, false, { 5 }, { 1 } };
    const auto second = only<consensus::send>(voter.step(receive { { "c" }, other }, start));
    REQUIRE(second.size() == 1);
    CHECK_FALSE(std::get<vote_answer>(second[0].message).granted);
}

// Guards against votes and acknowledgements of another cluster or of the folder that was here before.
TEST_CASE("messages to another identity or of another cluster are dropped", "[raft]")
{
    auto voter = makeVoter();
    auto message = entryFromTwo({ 2 }, { 2 }, { 1 }, "x");
    message.header.receiver = { 7 };
    CHECK(voter.step(receive { { "b" }, message }, start).empty());
    message.header.receiver = { 1 };
    message.header.cluster = { 8 };
    CHECK(voter.step(receive { { "b" }, message }, start).empty());
}

// Guards against votes and acknowledgements of processes that hold no seat.
TEST_CASE("answers of an unknown identity are not counted", "[raft]")
{
    const message_header unknown { { 9 }, { 8 }, { 1 }, { 1 } };
    auto voter = makeVoter();
    makeStandingKnown(voter);
    (void)voter.step(tick {}, start + 2s);
    CHECK(voter.step(receive { { "b" }, vote_answer { unknown, { 2 }, true, true } }, start + 2s).empty());
    std::uint64_t unsynced = 0;
    auto leader = makeLeader(unsynced);
    const message_header late { { 9 }, { 8 }, { 1 }, { 2 } };
    (void)leader.step(receive { { "b" }, append_answer { late, true, { 2 }, {} } }, start + 2s);
    (void)leader.step(synced { unsynced }, start + 2s);
    CHECK(leader.status().commit == log_index {});
}

// Guards against a voter that goes on with a log that contradicts what was committed.
TEST_CASE("replacing a committed entry and a second leader in a term are violations", "[raft]")
{
    logFor(part::invariant)->set_level(spdlog::level::off);
    auto voter = makeVoter();
    auto first = entryFromTwo({ 2 }, { 2 }, { 1 }, "x");
    first.commit = { 2 };
    (void)voter.step(receive { { "b" }, first }, start);
    auto other = entryFromTwo({ 2 }, { 2 }, { 1 }, "y");
    other.header.sender = { 3 };
    CHECK_THROWS_AS(voter.step(receive { { "c" }, other }, start), invariant_violation);
    CHECK_THROWS_AS(voter.step(receive { { "b" }, entryFromTwo({ 3 }, { 2 }, { 1 }, "y") }, start),
                    invariant_violation);
    logFor(part::invariant)->set_level(spdlog::level::warn);
}

// Guards against an older copy of a folder that votes again or drops what it acknowledged.
TEST_CASE("a voter whose folder is older than what it acknowledged halts", "[raft]")
{
    logFor(part::consensus)->set_level(spdlog::level::off);
    auto told = makeVoter();
    auto message = entryFromTwo({ 2 }, { 2 }, { 1 }, "x");
    message.acknowledged = { 3 };
    CHECK(only<halted>(told.step(receive { { "b" }, message }, start)).size() == 1);
    CHECK(told.status().role == raft_role::halted);

    auto asking = makeVoter();
    const vote_request asked { fromTwo({ 1 }), { 2 }, false, { 1 }, { 1 } };
    CHECK(countSent<vote_answer>(asking.step(receive { { "b" }, asked }, start)) == 0);
    CHECK(countSent<standing_query>(asking.step(tick {}, start)) == 2);
    const auto actions = asking.step(receive { { "b" }, standing_answer { fromTwo({ 1 }), { 4 }, {} } }, start);
    REQUIRE(only<halted>(actions).size() == 1);
    CHECK(only<halted>(actions)[0].code == result_code::identity_mismatch);
    logFor(part::consensus)->set_level(spdlog::level::warn);
}

// Guards against the same where a new leader has brought the voter only as far as its own, late, commit index.
TEST_CASE("a restarted voter votes once a leader has committed in its own term", "[raft]")
{
    auto voter = makeVoter();
    const vote_request asked { { { 9 }, { 3 }, { 1 }, { 2 } }, { 3 }, true, { 9 }, { 2 } };
    const auto wouldVote = [&](time_point now) {
        const auto actions = voter.step(receive { { "c" }, asked }, now);
        const auto sent = only<consensus::send>(actions);
        return std::any_of(sent.begin(), sent.end(), [](const auto &each) {
            const auto *answer = std::get_if<vote_answer>(&each.message);
            return answer != nullptr && answer->granted;
        });
    };
    auto message = entryFromTwo({ 2 }, { 2 }, { 1 }, "x");
    message.commit = { 1 };
    (void)voter.step(receive { { "b" }, message }, start);
    CHECK_FALSE(wouldVote(start + 1s));
    message.commit = { 2 };
    (void)voter.step(receive { { "b" }, message }, start + 2s);
    CHECK(wouldVote(start + 3s));
}

// Guards against a voter that never votes again because the members that it knows are gone.
TEST_CASE("a restarted voter asks a candidate that it does not know", "[raft]")
{
    auto voter = makeVoter();
    const message_header unknown { { 9 }, { 8 }, { 1 }, { 1 } };
    const vote_request asked { unknown, { 2 }, true, { 9 }, { 1 } };
    CHECK(countSent<standing_query>(voter.step(receive { { "d" }, asked }, start)) == 1);
    (void)voter.step(receive { { "d" }, standing_answer { unknown, {}, {} } }, start);
    const auto sent = only<consensus::send>(voter.step(receive { { "d" }, asked }, start));
    REQUIRE(sent.size() == 1);
    CHECK(std::get<vote_answer>(sent[0].message).granted);
}

// Guards against the same through the whole path: a copy of the folder is put back while the cluster goes on.
TEST_CASE("an older copy of a folder takes no part", "[raft]")
{
    logFor(part::consensus)->set_level(spdlog::level::off);
    simulation cluster(calm(11, 3));
    cluster.expectMismatch = true;
    cluster.runFor(3s);
    const auto follower = (*cluster.leader() + 1) % 3;
    auto copy = std::make_shared<memory_disk>(cluster.at(follower).disk->copy());
    commitOne(cluster);
    cluster.kill(follower);
    cluster.at(follower).disk = copy;
    cluster.start(follower);
    cluster.runFor(1s);
    REQUIRE(cluster.lastHalt.has_value());
    CHECK(cluster.lastHalt->code == result_code::identity_mismatch);
    commitOne(cluster);
    logFor(part::consensus)->set_level(spdlog::level::warn);
}

// Guards against a cluster that forms while a listed voter, who may hold another log, is not there.
TEST_CASE("a first start needs every listed voter", "[raft]")
{
    simulation cluster(calm(1));
    cluster.kill(4);
    cluster.runFor(30s);
    CHECK_FALSE(cluster.leader().has_value());
    cluster.start(4);
    cluster.runFor(3s);
    commitOne(cluster);
}

// Guards against a cluster that never forms after its founder lost its folder between the promises and the first entry.
TEST_CASE("a founder that loses its folder may ask again", "[raft]")
{
    simulation cluster(calm(2));
    bool promised = false;
    cluster.onSend = [&](std::size_t, const consensus::send &sent) {
        const auto *answer = std::get_if<genesis_answer>(&sent.message);
        promised = promised || (answer != nullptr && answer->promise);
    };
    while (!promised) {
        cluster.runFor(1ms);
    }
    cluster.loseDisk(0);
    cluster.start(0);
    cluster.runFor(5s);
    commitOne(cluster);
}

// Guards against a failover above 2 s.
TEST_CASE("a new leader commits within 2 s of the loss of the old one", "[raft]")
{
    duration worst {};
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        simulation cluster(calm(seed, seed % 2 == 0 ? 3 : 5));
        cluster.runFor(3s);
        commitOne(cluster);
        cluster.kill(*cluster.leader());
        const auto lost = cluster.now();
        bool isBack = false;
        while (!isBack && cluster.now() - lost < 5s) {
            cluster.runFor(10ms);
            const auto who = cluster.leader();
            const auto status = who ? std::optional(cluster.at(*who).log->status()) : std::nullopt;
            isBack = status && status->commit == status->last;
        }
        worst = std::max(worst, cluster.now() - lost);
    }
    CHECK(worst < 2s);
}

// Guards against a leader that a silent partition leaves in its belief, and against answers that come late or promise
// too much: what was appended may be committed, what came later may be tried again.
TEST_CASE("a leader without a quorum steps down and answers every call within its deadline", "[raft]")
{
    simulation cluster(calm(3));
    cluster.runFor(3s);
    commitOne(cluster);
    const auto old = *cluster.leader();
    cluster.isolate(old, 1h);
    const auto appended = cluster.proposeAt(old);
    cluster.runFor(600ms);
    const auto waiting = cluster.proposeAt(old);
    const auto asked = cluster.readAt(old);
    cluster.runFor(700ms);
    CHECK(cluster.at(old).log->status().role != raft_role::leader);
    CHECK(cluster.answerTo(appended) == result_code::leadership_lost);
    CHECK(cluster.answerTo(waiting) == result_code::no_quorum);
    CHECK(cluster.answerTo(asked) == result_code::no_quorum);
    const auto later = cluster.proposeAt(old);
    cluster.runFor(3100ms);
    CHECK(cluster.answerTo(later) == result_code::no_quorum);
    commitOne(cluster);
    const auto term = cluster.at(*cluster.leader()).log->status().term;
    cluster.runFor(1h);
    cluster.runFor(2s);
    CHECK(cluster.at(*cluster.leader()).log->status().term == term);
    CHECK(cluster.at(old).log->status().commit == cluster.at(*cluster.leader()).log->status().commit);
}

// Guards against a voter that hears nobody and deposes a good leader again and again.
TEST_CASE("a voter with a bad connection does not depose the leader", "[raft]")
{
    simulation cluster(calm(4));
    cluster.runFor(3s);
    const auto leader = *cluster.leader();
    const auto term = cluster.at(leader).log->status().term;
    for (std::size_t other = 0; other < 5; ++other) {
        cluster.cut(other, (leader + 1) % 5, 10min);
    }
    cluster.runFor(10min);
    cluster.runFor(2s);
    CHECK(cluster.leader() == leader);
    CHECK(cluster.at(leader).log->status().term == term);
}

// Guards against a commit of an older term's entry that another leader may still replace.
TEST_CASE("a leader commits older entries only with one of its own term", "[raft]")
{
    std::uint64_t unsynced = 0;
    auto leader = makeLeader(unsynced);
    (void)leader.step(receive { { "b" }, append_answer { fromTwo({ 2 }), true, { 1 }, {} } }, start + 2s);
    CHECK(leader.status().commit == log_index {});
    (void)leader.step(receive { { "b" }, append_answer { fromTwo({ 2 }), true, { 2 }, {} } }, start + 2s);
    CHECK(leader.status().commit == log_index {});
    (void)leader.step(synced { unsynced }, start + 2s);
    CHECK(leader.status().commit == log_index { 2 });
}

// Guards against a read that is answered before this voter has applied what it must see.
TEST_CASE("a read waits for the round and for the entries before it", "[raft]")
{
    std::uint64_t unsynced = 0;
    auto voter = makeLeader(unsynced);
    const auto later = start + 2s;
    (void)voter.step(consensus::read { 7 }, later);
    const auto committed = voter.step(receive { { "b" }, append_answer { fromTwo({ 2 }), true, { 2 }, {} } }, later);
    CHECK(countSent<read_round>(committed) == 0);
    // The other two commit the entry, but this voter has not synced it, so it is not applied here.
    const append_answer fromThree { { { 9 }, { 3 }, { 1 }, { 2 } }, true, { 2 }, {} };
    CHECK(countSent<read_round>(voter.step(receive { { "c" }, fromThree }, later)) == 2);
    const auto answered = voter.step(receive { { "b" }, read_round_answer { fromTwo({ 2 }), 1 } }, later);
    CHECK(only<reply_read>(answered).empty());
    const auto done = only<reply_read>(voter.step(synced { unsynced }, later));
    REQUIRE(done.size() == 1);
    CHECK(done[0].code == result_code::ok);
    CHECK(done[0].index == log_index { 2 });
}

// Guards against memory that grows without a bound while the disk or a quorum is slow.
TEST_CASE("the queue of proposals is bounded", "[raft]")
{
    auto voter = makeVoter();
    std::size_t full = 0;
    for (std::uint64_t id = 0; id < maxPendingProposals + 5; ++id) {
        full += only<reply_propose>(voter.step(consensus::propose { id, "x" }, start)).size();
    }
    CHECK(full == 5);
    const auto large = only<reply_propose>(voter.step(propose { 0, std::string(maxProposalBytes + 1, 'x') }, start));
    REQUIRE(large.size() == 1);
    CHECK(large[0].code == result_code::message_too_large);
}

// Guards against the same where a quorum answers heartbeats but commits nothing.
TEST_CASE("uncommitted entries are bounded", "[raft]")
{
    std::uint64_t sequence = 0;
    auto leader = makeLeader(sequence);
    const std::uint64_t fitting = maxUncommittedBytes / maxProposalBytes;
    for (std::uint64_t id = 0; id < 2 * fitting; ++id) {
        (void)leader.step(synced { sequence }, start + 2s);
        const auto written
            = only<persist>(leader.step(consensus::propose { id, std::string(maxProposalBytes, 'x') }, start + 2s));
        sequence = written.empty() ? sequence : written.back().sequence;
    }
    CHECK(leader.status().last.value <= 2 + fitting + 1);
}

// Guards against the same through answers that wait for a slow disk, and through entries kept for slow followers.
TEST_CASE("held answers and trailing entries are bounded", "[raft]")
{
    auto voter = makeVoter();
    std::uint64_t sequence = 0;
    for (std::size_t i = 0; i < 2 * maxHeldSends; ++i) {
        const auto actions = voter.step(receive { { "b" }, entryFromTwo({ 2 }, { 2 }, { 1 }, "x") }, start);
        sequence = only<persist>(actions).empty() ? sequence : only<persist>(actions).back().sequence;
    }
    CHECK(countSent<append_answer>(voter.step(synced { sequence }, start)) == maxHeldSends);

    memory_log log({}, {});
    for (std::uint64_t index = 1; index <= 20; ++index) {
        log.append({ { index }, { 1 }, entry_kind::command, std::string(100, 'x') });
    }
    log.compact(std::make_shared<const snapshot>(snapshot { { 20 }, { 1 }, {}, {} }), 1000, 450);
    CHECK(log.first() == log_index { 17 });
}

// Guards against one sync and one message per proposal under load.
TEST_CASE("proposals that arrive during a sync share the next one", "[raft]")
{
    simulation cluster(calm(5));
    cluster.runFor(3s);
    const auto leader = *cluster.leader();
    const auto before = cluster.at(leader).disk->syncs;
    std::size_t appends = 0;
    cluster.onSend = [&appends](std::size_t, const consensus::send &sent) {
        const auto *request = std::get_if<append_request>(&sent.message);
        appends += request != nullptr && !request->entries.empty() ? 1 : 0;
    };
    for (int i = 0; i < 500; ++i) {
        cluster.proposeAt(leader);
    }
    cluster.runFor(200ms);
    CHECK(cluster.report().acknowledged == 500);
    CHECK(cluster.at(leader).disk->syncs - before <= 6);
    CHECK(appends <= 16);
}

// Guards against a lost folder that votes under its old identity or never gets its seat back.
TEST_CASE("a lost folder takes its seat under a new identity", "[raft]")
{
    simulation cluster(calm(6, 3));
    cluster.runFor(3s);
    const auto leader = *cluster.leader();
    const auto lost = (leader + 1) % 3;
    const auto old = cluster.at(lost).identity;
    for (int i = 0; i < 300; ++i) {
        commitOne(cluster);
    }
    cluster.loseDisk(lost);
    cluster.start(lost);
    cluster.runFor(5s);
    const auto members = cluster.at(leader).log->status().members;
    CHECK(members.size() == 3);
    CHECK(std::none_of(members.begin(), members.end(), [&](const auto &each) { return each.who.identity == old; }));
    CHECK(cluster.report().snapshotsInstalled > 0);
    cluster.kill((leader + 2) % 3);
    commitOne(cluster);
}

// Guards against a new folder that waits for ever because the entry with its seat was lost with the leader.
TEST_CASE("a learner whose seat was lost asks again", "[raft]")
{
    simulation cluster(calm(9));
    cluster.runFor(3s);
    const auto leader = *cluster.leader();
    const auto lost = (leader + 1) % 5;
    cluster.loseDisk(lost);
    cluster.runFor(100ms);
    for (std::size_t other = 0; other < 5; ++other) {
        if (other != lost) {
            cluster.cut(leader, other, 1h);
        }
    }
    cluster.start(lost);
    cluster.runFor(300ms);
    REQUIRE(cluster.at(lost).log->status().role == raft_role::learner);
    cluster.kill(leader);
    cluster.runFor(6s);
    CHECK(cluster.at(lost).log->status().role == raft_role::follower);
    commitOne(cluster);
}

// Guards against a membership change that stops the log.
TEST_CASE("a voter is added and the leader removed", "[raft]")
{
    auto options = calm(7, 3);
    options.spares = 1;
    simulation cluster(options);
    cluster.runFor(3s);
    const auto leader = *cluster.leader();
    cluster.changeMembers(leader, membership_change::add, 3);
    cluster.runFor(3s);
    CHECK(cluster.at(3).log->status().role == raft_role::follower);
    const auto id = cluster.changeMembers(leader, membership_change::remove, leader);
    cluster.runFor(100ms);
    CHECK(cluster.answerTo(id) == result_code::ok);
    cluster.kill(leader);
    cluster.runFor(3s);
    commitOne(cluster);
}

// Guards against a voter with a full disk that acknowledges or stops the others.
TEST_CASE("a voter with a full disk halts and the others go on", "[raft]")
{
    logFor(part::consensus)->set_level(spdlog::level::off);
    simulation cluster(calm(8));
    cluster.runFor(3s);
    const auto leader = *cluster.leader();
    cluster.at(leader).disk->space = 10;
    cluster.proposeAt(leader);
    CHECK(cluster.at(leader).log->status().role == raft_role::halted);
    REQUIRE(cluster.lastHalt.has_value());
    CHECK(cluster.lastHalt->code == result_code::disk_full);
    cluster.expectMismatch = true;
    cluster.runFor(2s);
    commitOne(cluster);
    logFor(part::consensus)->set_level(spdlog::level::warn);
}
