#include "raft-core.h"

#include "figcleat/core/invariant.h"

#include <algorithm>

namespace figcleat::consensus
{

namespace
{

/** Identities of which a peer remembers what it was told; more than members and their replacements need. */
constexpr std::size_t maxKnownStandings = 64;

} // namespace

void raft_core::tickElection()
{
    if (m_now < m_electionDeadline) {
        return;
    }
    m_leader.reset();
    resetElectionTimer();
    if (isSelfVoter() && !m_standingUnknown && !m_founding) {
        startPreVote();
    }
}

void raft_core::startPreVote()
{
    m_role = raft_role::follower;
    m_preVoting = true;
    m_votes = { m_self };
    const vote_request request { {}, m_state.term.next(), true, m_log.last(), m_log.lastTerm() };
    for (const auto &one : m_log.members().members) {
        if (one.role == member_role::voter && one.identity != m_self) {
            auto message = request;
            message.header = headerTo(one.identity);
            sendTo(one.address, std::move(message));
        }
    }
    countVotes();
}

void raft_core::startElection()
{
    m_role = raft_role::candidate;
    m_preVoting = false;
    m_votes.clear();
    m_state.term = m_state.term.next();
    m_state.votedFor = m_self;
    saveState();
    resetElectionTimer();
    for (const auto &one : m_log.members().members) {
        if (one.role == member_role::voter && one.identity != m_self) {
            sendWhenSynced(
                one.address,
                vote_request { headerTo(one.identity), m_state.term, false, m_log.last(), m_log.lastTerm() });
        }
    }
}

void raft_core::countVotes()
{
    if (m_role == raft_role::candidate && m_syncedState == m_state) {
        m_votes.insert(m_self);
    }
    const auto &members = m_log.members();
    const auto count = static_cast<std::size_t>(
        std::count_if(m_votes.begin(), m_votes.end(), [&members](voter_identity who) { return members.isVoter(who); }));
    if (count < members.quorum()) {
        return;
    }
    if (m_preVoting) {
        startElection();
    } else if (m_role == raft_role::candidate) {
        becomeLeader();
    }
}

void raft_core::becomeLeader()
{
    ensure(m_syncedState == m_state && m_state.votedFor == m_self, result_code::invariant_one_leader,
           "leadership without an own synced vote");
    ensure(m_leaderTerm != m_state.term || m_leaderIdentity == m_self, result_code::invariant_one_leader,
           "term has another leader");
    m_role = raft_role::leader;
    m_preVoting = false;
    m_leader = m_settings.self;
    m_leaderIdentity = m_self;
    m_leaderTerm = m_state.term;
    m_confirmedRound = m_round;
    m_nextHeartbeat = m_now;
    m_peers.clear();
    syncProgress();
    m_actions.emplace_back(became_leader { m_state.term });
    appendEntry(entry_kind::no_op, {});
}

/** A vote also needs that it was not given to another candidate of the term. */
bool raft_core::wouldVote(const vote_request &message) const
{
    const bool upToDate = message.lastTerm > m_log.lastTerm()
        || (message.lastTerm == m_log.lastTerm() && message.lastIndex >= m_log.last());
    return upToDate && message.candidateTerm > m_state.term;
}

void raft_core::on(const peer_address &from, const vote_request &message)
{
    // A voter that hears the leader ignores candidates, so that one with a bad connection cannot depose it.
    const bool hearsLeader = m_leader && m_now - m_leaderContact < electionTimeoutMin;
    if (m_standingUnknown) {
        // The candidate may have joined after the last membership that this voter knows.
        sendTo(from, standing_query { headerTo(message.header.sender) });
    }
    const bool refuses = m_role == raft_role::leader || hearsLeader || m_standingUnknown || m_founding;
    if (message.preVote) {
        sendTo(from,
               vote_answer { headerTo(message.header.sender), message.candidateTerm, true,
                             !refuses && wouldVote(message) });
        return;
    }
    if (refuses || message.candidateTerm < m_state.term) {
        return;
    }
    if (message.candidateTerm > m_state.term) {
        const bool vote = wouldVote(message);
        becomeFollower(message.candidateTerm);
        if (vote) {
            m_state.votedFor = message.header.sender;
            saveState();
            resetElectionTimer();
        }
    }
    const bool granted = m_state.votedFor == message.header.sender;
    sendWhenSynced(from, vote_answer { headerTo(message.header.sender), message.candidateTerm, false, granted });
}

void raft_core::on(const peer_address &from, const vote_answer &message)
{
    const bool isCurrent = message.preVote ? m_preVoting && message.candidateTerm == m_state.term.next()
                                           : m_role == raft_role::candidate && message.candidateTerm == m_state.term;
    if (!isCurrent || !message.granted || m_log.members().find(from, message.header.sender) == nullptr) {
        return;
    }
    m_votes.insert(message.header.sender);
    if (!message.preVote) {
        recordStanding(message.header.sender, {});
    }
    countVotes();
}

void raft_core::recordStanding(voter_identity who, log_index index)
{
    if (m_known.size() >= maxKnownStandings && m_known.find(who) == m_known.end()) {
        m_known.erase(m_known.begin());
    }
    auto &known = m_known[who];
    if (known.term < m_state.term) {
        known = { m_state.term, {} };
    }
    known.index = std::max(known.index, index);
}

void raft_core::tickStanding()
{
    if (!m_standingUnknown || m_now < m_nextStandingQuery) {
        return;
    }
    m_nextStandingQuery = m_now + heartbeatInterval;
    for (const auto &one : m_log.members().members) {
        if (one.identity.value != 0 && one.identity != m_self) {
            sendTo(one.address, standing_query { headerTo(one.identity) });
        }
    }
}

void raft_core::on(const peer_address &from, const standing_query &message)
{
    const auto known = m_known.find(message.header.sender);
    const auto standing = known == m_known.end() ? known_standing {} : known->second;
    sendTo(from, standing_answer { headerTo(message.header.sender), standing.term, standing.index });
}

/** Learners count as well: what matters is who might have heard from this voter. */
void raft_core::on(const peer_address & /*from*/, const standing_answer &message)
{
    if (message.knownTerm > m_state.term || (message.knownTerm == m_state.term && message.knownIndex > m_log.last())) {
        halt(result_code::identity_mismatch, "the data folder is older than what this voter acknowledged");
        return;
    }
    if (!m_standingUnknown || m_standingAnswers.size() >= maxKnownStandings) {
        return;
    }
    m_standingAnswers.insert(message.header.sender);
    if (m_standingAnswers.size() + 1 >= m_log.members().quorum()) {
        m_standingUnknown = false;
        resetElectionTimer();
    }
}

} // namespace figcleat::consensus
