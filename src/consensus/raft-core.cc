#include "raft-core.h"

#include "figcleat/core/invariant.h"
#include "figcleat/core/log.h"
#include "figcleat/core/overloaded.h"

#include <algorithm>

namespace figcleat::consensus
{

namespace
{

message_header headerOf(const raft_message &message)
{
    return std::visit([](const auto &one) { return one.header; }, message);
}

/** Messages that only a leader of a term sends, to an identity that its membership holds. */
bool isFromLeader(const raft_message &message)
{
    return std::holds_alternative<append_request>(message) || std::holds_alternative<snapshot_chunk>(message);
}

/** Pre-votes and standing queries are valid whatever the receiver's term. */
bool carriesTerm(const raft_message &message)
{
    const auto *vote = std::get_if<vote_answer>(&message);
    return (vote == nullptr || !vote->preVote || !vote->granted) && !std::holds_alternative<vote_request>(message)
        && !std::holds_alternative<standing_query>(message) && !std::holds_alternative<standing_answer>(message);
}

} // namespace

raft_core::raft_core(raft_settings settings, restored_state state, time_point now)
    : m_settings(std::move(settings))
    , m_self(state.identity)
    , m_state(state.state)
    , m_log(std::move(state.base), std::move(state.entries))
    , m_now(now)
    , m_random(m_settings.seed)
    , m_commit(m_log.base()->index)
    , m_applied(m_log.base()->index)
    , m_synced(m_log.last())
    , m_syncedState(m_state)
    , m_standingUnknown(m_log.members().voterCount() > 1)
    , m_nextStandingQuery(now)
    , m_nextJoin(now)
    , m_nextHeartbeat(now)
{
    resetElectionTimer();
}

std::vector<raft_action> raft_core::step(const raft_event &event, time_point now)
{
    m_now = std::max(m_now, now);
    m_actions.clear();
    if (!m_restoreAnnounced && m_log.base()->index.value > 0) {
        m_actions.emplace_back(install_snapshot { m_log.base() });
    }
    m_restoreAnnounced = true;
    std::visit([this](const auto &one) { handle(one); }, event);
    if (m_role == raft_role::leader) {
        flushProposals();
        advanceCommit();
        replicate();
        startReadRound();
    }
    if (m_role != raft_role::halted) {
        applyCommitted();
        finishReads();
        maybeTakeSnapshot();
    }
    return std::move(m_actions);
}

void raft_core::handle(const tick & /*event*/)
{
    if (m_role == raft_role::halted) {
        return;
    }
    tickJoining();
    tickStanding();
    if (m_role == raft_role::leader) {
        tickLeader();
        tickSeats();
    } else {
        tickElection();
    }
    tickClients();
}

void raft_core::handle(const receive &event)
{
    const auto header = headerOf(event.message);
    if (m_role == raft_role::halted || header.sender.value == 0 || header.sender == m_self) {
        return;
    }
    const auto from = event.from;
    const bool isJoining
        = std::visit(overloaded {
                         [&](const genesis_request &message) { return onGenesis(from, message), true; },
                         [&](const genesis_answer &message) { return onGenesis(from, message), true; },
                         [&](const join_request &message) { return onJoin(from, message), true; },
                         [](const auto &) { return false; },
                     },
                     event.message);
    if (!isJoining && admit(event, header)) {
        receiveMember(from, event.message, header);
    }
}

bool raft_core::admit(const receive &event, const message_header &header)
{
    if (header.receiver != m_self || header.cluster.value == 0) {
        return false;
    }
    const bool mayChange = m_state.cluster.value == 0 || (m_state.term.value <= 1 && m_log.last().value == 0);
    if (header.cluster != m_state.cluster && isFromLeader(event.message) && mayChange) {
        adoptCluster(header);
    }
    return header.cluster == m_state.cluster;
}

void raft_core::adoptCluster(const message_header &header)
{
    // Only a leader whose membership holds this identity addresses it, and nothing was acknowledged or voted elsewhere.
    m_state = { header.term, {}, header.cluster };
    saveState();
}

void raft_core::receiveMember(const peer_address &from, const raft_message &message, const message_header &header)
{
    if (carriesTerm(message)) {
        if (header.term > m_state.term) {
            becomeFollower(header.term);
        } else if (header.term < m_state.term && !isFromLeader(message)) {
            return;
        }
    }
    const auto peer = m_peers.find(header.sender);
    if (m_role == raft_role::leader && header.term == m_state.term && peer != m_peers.end()
        && peer->second.address == from) {
        peer->second.lastContact = m_now;
    }
    std::visit(overloaded {
                   [](const genesis_request &) {},
                   [](const genesis_answer &) {},
                   [](const join_request &) {},
                   [&](const auto &one) { on(from, one); },
               },
               message);
}

void raft_core::handle(const synced &event)
{
    if (m_role == raft_role::halted) {
        return;
    }
    ensure(event.sequence <= m_sequence, result_code::invariant_synced_first, "sync reported of what was not written");
    m_syncedSequence = std::max(m_syncedSequence, event.sequence);
    while (!m_unsynced.empty() && m_unsynced.front().sequence <= event.sequence) {
        const auto &done = m_unsynced.front();
        m_synced = std::max(m_synced, done.last);
        m_syncedState = done.state.value_or(m_syncedState);
        m_unsynced.pop_front();
    }
    while (!m_held.empty() && m_held.front().sequence <= event.sequence) {
        auto held = std::move(m_held.front());
        m_held.pop_front();
        if (headerOf(held.action.message).term == m_state.term) {
            sendTo(held.action.to, std::move(held.action.message));
        }
    }
    finishGenesis();
    if (m_role == raft_role::candidate) {
        countVotes();
    }
}

void raft_core::handle(const persist_failed &event)
{
    halt(event.code, "the disk refused a write");
}

void raft_core::halt(result_code code, std::string detail)
{
    if (m_role == raft_role::halted) {
        return;
    }
    if (m_role == raft_role::leader) {
        stepDown(code, detail);
    }
    dropClients(result_code::not_leader);
    m_role = raft_role::halted;
    m_held.clear();
    m_leader.reset();
    logFor(part::consensus)->error("Voter {} halts ({}): {}.", m_self.value, describe(code).name, detail);
    m_actions.emplace_back(halted { code, std::move(detail) });
}

message_header raft_core::headerTo(voter_identity receiver) const
{
    return { m_state.cluster, m_self, receiver, m_state.term };
}

void raft_core::sendTo(const peer_address &to, raft_message message)
{
    m_actions.emplace_back(send { to, std::move(message) });
    checkHeld(std::get<send>(m_actions.back()));
}

void raft_core::sendWhenSynced(const peer_address &to, raft_message message)
{
    if (m_unsynced.empty()) {
        sendTo(to, std::move(message));
        return;
    }
    m_held.push_back({ m_unsynced.back().sequence, { to, std::move(message) } });
    if (m_held.size() > maxHeldSends) {
        m_held.pop_front();
    }
}

/** No vote, promise or acknowledgement leaves before it is durable. */
void raft_core::checkHeld(const send &action) const
{
    const bool durable = std::visit(
        overloaded {
            [&](const vote_answer &one) {
                return one.preVote || !one.granted
                    || (m_syncedState.term == one.candidateTerm && m_syncedState.votedFor == one.header.receiver);
            },
            [&](const vote_request &one) {
                return one.preVote || (m_syncedState.term == one.candidateTerm && m_syncedState.votedFor == m_self);
            },
            [&](const genesis_answer &one) {
                return !one.promise || !one.granted || m_syncedState.cluster.value == one.header.receiver.value;
            },
            [&](const append_answer &one) {
                return !one.accepted || (one.match <= m_synced && m_syncedState.term == one.header.term);
            },
            [](const auto &) { return true; },
        },
        action.message);
    ensure(durable, result_code::invariant_synced_first, "a message would leave before its state is synced");
}

std::uint64_t raft_core::save(persist action)
{
    action.sequence = ++m_sequence;
    m_unsynced.push_back({ action.sequence, m_log.last(), action.state });
    m_actions.emplace_back(std::move(action));
    return m_sequence;
}

void raft_core::saveState()
{
    persist action;
    action.state = m_state;
    save(std::move(action));
}

void raft_core::becomeFollower(term_number term)
{
    ensure(term >= m_state.term, result_code::invariant_one_leader, "term would decrease");
    if (m_role == raft_role::leader) {
        stepDown(result_code::leadership_lost, "term " + std::to_string(term.value) + " has begun");
    }
    m_role = raft_role::follower;
    m_preVoting = false;
    m_votes.clear();
    if (term > m_state.term) {
        m_state.term = term;
        m_state.votedFor = {};
        m_leader.reset();
        saveState();
    }
}

void raft_core::stepDown(result_code reason, std::string detail)
{
    m_role = raft_role::follower;
    m_leader.reset();
    m_peers.clear();
    m_joiners.clear();
    dropClients(reason == result_code::no_quorum ? reason : result_code::not_leader);
    resetElectionTimer();
    m_actions.emplace_back(stepped_down { reason, std::move(detail) });
}

void raft_core::resetElectionTimer()
{
    std::uniform_int_distribution<std::int64_t> timeout(electionTimeoutMin.count(), electionTimeoutMax.count());
    m_electionDeadline = m_now + duration(timeout(m_random));
}

bool raft_core::isSelfVoter() const
{
    return m_log.members().isVoter(m_self);
}

const memory_log &raft_core::log() const
{
    return m_log;
}

raft_status raft_core::status() const
{
    raft_status result { m_role,
                         m_state.term,
                         m_state.cluster,
                         m_self,
                         m_leader,
                         m_commit,
                         m_applied,
                         m_log.last(),
                         m_log.base()->index,
                         {},
                         m_waiting.size() + m_appended.size() };
    if (m_role == raft_role::follower && !isSelfVoter()) {
        result.role = m_log.members().members.empty() ? raft_role::joining : raft_role::learner;
    }
    for (const auto &one : m_log.members().members) {
        const auto peer = m_peers.find(one.identity);
        const bool isSelf = one.identity == m_self;
        const bool isPeer = m_role == raft_role::leader && peer != m_peers.end();
        result.members.push_back({ one, isPeer ? peer->second.match : (isSelf ? m_synced : log_index {}),
                                   isSelf || (isPeer && m_now - peer->second.lastContact < quorumTimeout) });
    }
    return result;
}

} // namespace figcleat::consensus
