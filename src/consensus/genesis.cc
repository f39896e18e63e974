#include "raft-core.h"

#include "figcleat/core/invariant.h"
#include "figcleat/wire/codec.h"

#include <algorithm>

namespace figcleat::consensus
{

namespace
{

peer_address founderOf(const std::vector<peer_address> &voters)
{
    return voters.empty() ? peer_address {} : *std::min_element(voters.begin(), voters.end());
}

} // namespace

void raft_core::tickJoining()
{
    // The entry that made this a learner may have been lost with its leader, so a learner without one asks again.
    // With automatic seats, a voter that no leader contacts may have lost its seat without hearing of it.
    const bool hearsLeader = m_leader && m_now - m_leaderContact < electionTimeoutMax;
    const bool keepsSeat = isSelfVoter() && (m_settings.automaticSeats == 0 || m_role == raft_role::leader);
    if (keepsSeat || hearsLeader || m_now < m_nextJoin) {
        return;
    }
    m_nextJoin = m_now + joinInterval;
    for (const auto &one : contacts()) {
        sendTo(one, join_request { headerTo({}) });
    }
    const bool mayFound = m_settings.mayFound && founderOf(m_settings.voters) == m_settings.self;
    if (!mayFound || !m_log.members().members.empty()) {
        return;
    }
    const bool hasPromised = m_syncedState == m_state && m_state.cluster.value == m_self.value;
    if (hasPromised || m_state.cluster.value == 0) {
        askGenesis(hasPromised);
    }
}

void raft_core::askGenesis(bool promise)
{
    for (const auto &one : m_settings.voters) {
        if (one != m_settings.self) {
            sendTo(one, genesis_request { headerTo({}), promise });
        }
    }
    foundCluster();
}

void raft_core::onGenesis(const peer_address &from, const genesis_request &message)
{
    const bool isEmpty = m_log.members().members.empty() && m_log.last().value == 0;
    // A founder that lost its folder before any voter had a log may ask again under its new identity: a cluster commits
    // only with a majority that holds its log, and a voter with a log never changes clusters.
    // One that has voted in a later term keeps to its cluster, as that vote must not be forgotten.
    const bool isFree = m_state.term.value <= 1;
    const bool granted = isEmpty && isFree && from == founderOf(m_settings.voters);
    if (granted && message.promise && m_state.cluster.value != message.header.sender.value) {
        m_state = { { 1 }, message.header.sender, { message.header.sender.value } };
        m_leader.reset();
        saveState();
    }
    sendWhenSynced(from, genesis_answer { headerTo(message.header.sender), message.promise, granted });
}

void raft_core::onGenesis(const peer_address &from, const genesis_answer &message)
{
    const auto &voters = m_settings.voters;
    const bool isListed = std::find(voters.begin(), voters.end(), from) != voters.end();
    if (message.header.receiver != m_self || !isListed || !m_log.members().members.empty()) {
        return;
    }
    auto &answers = message.promise ? m_promised : m_empty;
    if (message.granted) {
        answers[from] = message.header.sender;
    } else {
        answers.erase(from);
    }
    foundCluster();
}

void raft_core::foundCluster()
{
    const auto hasAll = [this](const std::map<peer_address, voter_identity> &answers) {
        return std::all_of(m_settings.voters.begin(), m_settings.voters.end(), [&](const peer_address &one) {
            return one == m_settings.self || answers.find(one) != answers.end();
        });
    };
    if (m_state.cluster.value == 0 && hasAll(m_empty)) {
        m_state = { { 1 }, m_self, { m_self.value } };
        saveState();
        m_nextJoin = m_now;
        return;
    }
    const hard_state promised { { 1 }, m_self, { m_self.value } };
    if (m_syncedState != m_state || m_state != promised || !hasAll(m_promised)) {
        return;
    }
    membership members;
    for (const auto &one : m_settings.voters) {
        members.members.push_back({ one, one == m_settings.self ? m_self : m_promised[one], member_role::voter });
    }
    const log_entry entry { { 1 }, m_state.term, entry_kind::membership, encode(members) };
    m_log.append(entry);
    persist action;
    action.entries.push_back(entry);
    m_foundingSequence = save(std::move(action));
    m_founding = true;
}

/** No other voter sees the first entry before it is durable here, so a crash cannot leave two of them in term 1. */
void raft_core::finishGenesis()
{
    if (!m_founding || m_syncedSequence < m_foundingSequence) {
        return;
    }
    m_founding = false;
    if (m_role == raft_role::follower && m_state.term.value == 1) {
        becomeLeader();
    }
}

} // namespace figcleat::consensus
