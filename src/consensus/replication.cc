#include "raft-core.h"

#include "figcleat/core/invariant.h"

#include <algorithm>

namespace figcleat::consensus
{

namespace
{

/** Largest value that at least `quorum` of the values reach. */
template<typename T>
T reachedBy(std::vector<T> values, std::size_t quorum)
{
    if (quorum == 0 || values.size() < quorum) {
        return {};
    }
    std::sort(values.begin(), values.end(), std::greater<> {});
    return values[quorum - 1];
}

bool isConsecutive(const append_request &message)
{
    auto expected = message.previousIndex;
    return std::all_of(message.entries.begin(), message.entries.end(), [&expected](const log_entry &entry) {
        expected = expected.next();
        return entry.index == expected;
    });
}

} // namespace

void raft_core::tickLeader()
{
    if (!quorumHeardWithin(quorumTimeout)) {
        stepDown(result_code::no_quorum, "no quorum heard for an election timeout");
        return;
    }
    if (m_now < m_nextHeartbeat) {
        return;
    }
    m_nextHeartbeat = m_now + heartbeatInterval;
    for (auto &[who, peer] : m_peers) {
        if (peer.sending && m_now - peer.lastProgress >= 2 * heartbeatInterval) {
            sendChunk(who, peer);
        }
        sendAppend(who, peer, {});
        if (m_confirmedRound < m_round) {
            sendTo(peer.address, read_round { headerTo(who), m_round });
        }
    }
}

bool raft_core::quorumHeardWithin(duration age) const
{
    const auto &members = m_log.members();
    std::size_t heard = isSelfVoter() ? 1 : 0;
    for (const auto &[who, peer] : m_peers) {
        heard += members.isVoter(who) && m_now - peer.lastContact < age ? 1 : 0;
    }
    return heard >= members.quorum();
}

void raft_core::appendEntry(entry_kind kind, std::string bytes)
{
    persist action;
    action.entries.push_back({ m_log.last().next(), m_state.term, kind, std::move(bytes) });
    m_log.append(action.entries.back());
    save(std::move(action));
}

void raft_core::replicate()
{
    for (auto &[who, peer] : m_peers) {
        sendAppends(who, peer);
    }
}

void raft_core::sendAppends(voter_identity who, follower_progress &peer)
{
    if (peer.sending) {
        return;
    }
    if (peer.next < m_log.first()) {
        peer.sending = m_log.base();
        peer.sendOffset = 0;
        sendChunk(who, peer);
        return;
    }
    const std::size_t window = peer.probing ? 1 : maxAppendsInFlight;
    auto next = peer.next;
    while (peer.inFlight.size() < window && next <= m_log.last()) {
        auto entries = m_log.slice(next, maxAppendEntries, maxAppendBytes);
        const auto last = entries.back().index;
        sendAppend(who, peer, std::move(entries));
        peer.inFlight.push_back(last);
        next = last.next();
        if (!peer.probing) {
            peer.next = next;
        }
    }
}

void raft_core::sendAppend(voter_identity who, follower_progress &peer, std::vector<log_entry> entries)
{
    // While a snapshot is on its way, index 0, which every log holds, makes a heartbeat that is accepted.
    const bool known = !peer.sending && peer.next >= m_log.first();
    const log_index previous { known ? peer.next.value - 1 : 0 };
    sendTo(peer.address,
           append_request { headerTo(who), previous, known ? m_log.termAt(previous) : term_number {}, m_commit,
                            peer.match, std::move(entries) });
}

void raft_core::advanceCommit()
{
    const auto &members = m_log.members();
    std::vector<log_index> matches;
    for (const auto &one : members.members) {
        if (one.role != member_role::voter) {
            continue;
        }
        const auto peer = m_peers.find(one.identity);
        matches.push_back(one.identity == m_self ? m_synced
                                                 : (peer == m_peers.end() ? log_index {} : peer->second.match));
    }
    const auto reached = reachedBy(matches, members.quorum());
    if (reached > m_commit && m_log.termAt(reached) == m_state.term) {
        m_commit = reached;
    }
}

bool raft_core::committedInTerm() const
{
    return m_log.termAt(m_commit) == m_state.term;
}

void raft_core::applyCommitted()
{
    const auto limit = std::min(m_commit, m_synced);
    while (m_applied < limit) {
        const auto index = m_applied.next();
        const auto &entry = m_log.at(index);
        ensure(entry.index == index, result_code::invariant_committed_entry, "applied index would not rise by one");
        m_applied = index;
        if (entry.kind == entry_kind::command) {
            m_actions.emplace_back(apply { index, entry.bytes });
        }
        answerApplied(index);
    }
    leaveIfRemoved();
}

void raft_core::followLeader(const peer_address &from, const message_header &header)
{
    becomeFollower(header.term);
    ensure(m_leaderTerm != header.term || m_leaderIdentity == header.sender, result_code::invariant_one_leader,
           "two leaders act in term " + std::to_string(header.term.value));
    m_leader = from;
    m_leaderTerm = header.term;
    m_leaderIdentity = header.sender;
    m_leaderContact = m_now;
    resetElectionTimer();
}

void raft_core::on(const peer_address &from, const append_request &message)
{
    const auto &header = message.header;
    if (header.term < m_state.term) {
        sendWhenSynced(from, append_answer { headerTo(header.sender), false, m_log.last(), message.previousIndex });
        return;
    }
    if (message.acknowledged > m_log.last()) {
        halt(result_code::identity_mismatch, "the data folder is older than what this voter acknowledged");
        return;
    }
    if (!isConsecutive(message)) {
        return;
    }
    ensure(m_role != raft_role::leader, result_code::invariant_one_leader, "another leader acts in this voter's term");
    followLeader(from, header);
    if (message.previousIndex > m_commit && !m_log.holds(message.previousIndex, message.previousTerm)) {
        auto hint = std::min(m_log.last(), log_index { message.previousIndex.value - 1 });
        const auto conflict = m_log.termAt(message.previousIndex);
        while (hint > m_commit && conflict.value != 0 && m_log.termAt(hint) == conflict) {
            hint = { hint.value - 1 };
        }
        sendTo(from, append_answer { headerTo(header.sender), false, hint, message.previousIndex });
        return;
    }
    const auto match = storeEntries(message);
    m_commit = std::max(m_commit, std::min(message.commit, match));
    // A leader's commit index covers all that was ever committed only once it has committed in its own term.
    if (match >= message.commit && m_log.termAt(message.commit) == header.term) {
        m_standingUnknown = false;
    }
    acknowledge(from, header.sender, match, message.entries.empty());
}

/** Adds what the log lacks and returns the last index known to equal the leader's. */
log_index raft_core::storeEntries(const append_request &message)
{
    persist action;
    for (const auto &entry : message.entries) {
        if (entry.index < m_log.first() || m_log.holds(entry.index, entry.term)) {
            continue;
        }
        if (entry.index <= m_log.last()) {
            ensure(entry.index > m_commit, result_code::invariant_committed_entry,
                   "committed entry " + std::to_string(entry.index.value) + " would be replaced");
            m_log.truncate(entry.index);
            action.truncateFrom = entry.index;
            const log_index kept { entry.index.value - 1 };
            m_synced = std::min(m_synced, kept);
            for (auto &one : m_unsynced) {
                one.last = std::min(one.last, kept);
            }
        }
        m_log.append(entry);
        action.entries.push_back(entry);
    }
    if (!action.entries.empty()) {
        save(std::move(action));
    }
    return { message.previousIndex.value + message.entries.size() };
}

/** A heartbeat is answered with what is synced already, so that a slow disk does not look like a lost follower. */
void raft_core::acknowledge(const peer_address &from, voter_identity leader, log_index match, bool isHeartbeat)
{
    const auto now = isHeartbeat ? std::min(match, m_synced) : match;
    const append_answer answer { headerTo(leader), true, now, {} };
    if (now <= m_synced && m_syncedState.term == m_state.term) {
        sendTo(from, answer);
    } else {
        sendWhenSynced(from, answer);
    }
}

void raft_core::on(const peer_address &from, const append_answer &message)
{
    const auto found = m_peers.find(message.header.sender);
    if (m_role != raft_role::leader || found == m_peers.end() || found->second.address != from) {
        return;
    }
    auto &peer = found->second;
    if (!message.accepted) {
        if (peer.sending || (peer.probing && message.previousIndex.next() != peer.next)
            || message.previousIndex <= peer.match) {
            return;
        }
        peer.next = std::max(peer.match, std::min(message.match, m_log.last())).next();
        peer.inFlight.clear();
        peer.probing = true;
        return;
    }
    ensure(message.match <= m_log.last(), result_code::invariant_internal, "more acknowledged than was sent");
    recordStanding(message.header.sender, message.match);
    peer.match = std::max(peer.match, message.match);
    if (peer.sending && peer.match >= peer.sending->index) {
        peer.sending.reset();
        peer.next = peer.match.next();
    }
    if (peer.sending) {
        return;
    }
    if (peer.probing) {
        peer.probing = false;
        peer.inFlight.clear();
    }
    while (!peer.inFlight.empty() && peer.inFlight.front() <= peer.match) {
        peer.inFlight.pop_front();
    }
    peer.next = std::max(peer.next, peer.match.next());
}

} // namespace figcleat::consensus
