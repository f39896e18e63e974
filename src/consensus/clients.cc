#include "raft-core.h"

#include <algorithm>

namespace figcleat::consensus
{

void raft_core::handle(const propose &event)
{
    if (event.bytes.size() > maxProposalBytes) {
        m_actions.emplace_back(reply_propose { event.id, result_code::message_too_large, {} });
        return;
    }
    const bool isFollowing = m_role != raft_role::leader && m_leader;
    if (m_role == raft_role::halted || isFollowing) {
        m_actions.emplace_back(reply_propose { event.id, result_code::not_leader, {} });
        return;
    }
    if (m_waiting.size() + m_appended.size() >= maxPendingProposals
        || m_waitingBytes + event.bytes.size() > maxWaitingBytes) {
        m_actions.emplace_back(reply_propose { event.id, result_code::proposal_queue_full, {} });
        return;
    }
    m_waitingBytes += event.bytes.size();
    m_waiting.push_back({ event.id, event.bytes, entry_kind::command, m_now + proposalDeadline });
}

/** Proposals that arrive while a batch is being synced form the next batch. */
void raft_core::flushProposals()
{
    if (m_waiting.empty() || !m_unsynced.empty() || !quorumHeardWithin(quorumFreshness)
        || m_log.exceeds(m_commit, maxPendingProposals, maxUncommittedBytes)) {
        return;
    }
    persist action;
    while (!m_waiting.empty()) {
        auto &one = m_waiting.front();
        m_waitingBytes -= one.bytes.size();
        action.entries.push_back({ m_log.last().next(), m_state.term, one.kind, std::move(one.bytes) });
        m_log.append(action.entries.back());
        m_appended[m_log.last()] = { one.id, one.deadline };
        m_waiting.pop_front();
    }
    save(std::move(action));
}

void raft_core::answerApplied(log_index index)
{
    const auto found = m_appended.find(index);
    if (found != m_appended.end()) {
        m_actions.emplace_back(reply_propose { found->second.id, result_code::ok, index });
        m_appended.erase(found);
    }
}

void raft_core::tickClients()
{
    if (m_role != raft_role::leader && m_leader) {
        dropClients(result_code::not_leader);
        return;
    }
    while (!m_waiting.empty() && m_waiting.front().deadline <= m_now) {
        m_actions.emplace_back(reply_propose { m_waiting.front().id, result_code::no_quorum, {} });
        m_waitingBytes -= m_waiting.front().bytes.size();
        m_waiting.pop_front();
    }
    while (!m_appended.empty() && m_appended.begin()->second.deadline <= m_now) {
        m_actions.emplace_back(reply_propose { m_appended.begin()->second.id, result_code::leadership_lost, {} });
        m_appended.erase(m_appended.begin());
    }
    while (!m_reads.empty() && m_reads.front().deadline <= m_now) {
        m_actions.emplace_back(reply_read { m_reads.front().id, result_code::no_quorum, {} });
        m_reads.pop_front();
    }
}

/** What was appended may yet be committed by the next leader; the rest may be tried again. */
void raft_core::dropClients(result_code reason)
{
    for (const auto &one : m_waiting) {
        m_actions.emplace_back(reply_propose { one.id, reason, {} });
    }
    for (const auto &[index, one] : m_appended) {
        m_actions.emplace_back(reply_propose { one.id, result_code::leadership_lost, index });
    }
    for (const auto &one : m_reads) {
        m_actions.emplace_back(reply_read { one.id, reason, {} });
    }
    m_waiting.clear();
    m_waitingBytes = 0;
    m_appended.clear();
    m_reads.clear();
}

void raft_core::handle(const read &event)
{
    if (m_role != raft_role::leader) {
        m_actions.emplace_back(reply_read { event.id, result_code::not_leader, {} });
        return;
    }
    if (m_reads.size() >= maxPendingReads) {
        m_actions.emplace_back(reply_read { event.id, result_code::proposal_queue_full, {} });
        return;
    }
    m_reads.push_back({ event.id, m_now + proposalDeadline, 0, {} });
}

/** One round at a time; reads that arrive meanwhile share the next one. */
void raft_core::startReadRound()
{
    const bool isWaiting = !m_reads.empty() && m_reads.back().round == 0;
    if (!isWaiting || m_confirmedRound < m_round || !committedInTerm()) {
        return;
    }
    ++m_round;
    for (auto &one : m_reads) {
        if (one.round == 0) {
            one.round = m_round;
            one.index = m_commit;
        }
    }
    for (const auto &[who, peer] : m_peers) {
        sendTo(peer.address, read_round { headerTo(who), m_round });
    }
}

void raft_core::finishReads()
{
    if (m_role != raft_role::leader) {
        return;
    }
    const auto &members = m_log.members();
    std::size_t confirmed = isSelfVoter() ? 1 : 0;
    for (const auto &[who, peer] : m_peers) {
        confirmed += members.isVoter(who) && peer.round == m_round ? 1 : 0;
    }
    if (confirmed >= members.quorum()) {
        m_confirmedRound = m_round;
    }
    while (!m_reads.empty() && m_reads.front().round != 0 && m_reads.front().round <= m_confirmedRound
           && m_reads.front().index <= m_applied) {
        m_actions.emplace_back(reply_read { m_reads.front().id, result_code::ok, m_applied });
        m_reads.pop_front();
    }
}

void raft_core::on(const peer_address &from, const read_round &message)
{
    if (message.header.term < m_state.term) {
        sendWhenSynced(from, append_answer { headerTo(message.header.sender), false, m_log.last(), {} });
        return;
    }
    followLeader(from, message.header);
    sendWhenSynced(from, read_round_answer { headerTo(message.header.sender), message.round });
}

void raft_core::on(const peer_address &from, const read_round_answer &message)
{
    const auto found = m_peers.find(message.header.sender);
    if (m_role == raft_role::leader && found != m_peers.end() && found->second.address == from) {
        found->second.round = std::max(found->second.round, message.round);
    }
}

} // namespace figcleat::consensus
