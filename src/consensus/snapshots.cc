#include "raft-core.h"

#include "figcleat/core/invariant.h"

#include <algorithm>

namespace figcleat::consensus
{

void raft_core::maybeTakeSnapshot()
{
    const auto base = m_log.base()->index;
    const bool isDue = m_applied.value >= base.value + m_settings.snapshotEntries
        || (m_log.bytesSinceSnapshot() >= m_settings.snapshotBytes && m_applied > base);
    if (isDue && m_snapshotAsked <= base) {
        m_snapshotAsked = m_applied;
        m_actions.emplace_back(take_snapshot { m_applied });
    }
}

void raft_core::handle(const snapshot_taken &event)
{
    if (m_role == raft_role::halted || event.index <= m_log.base()->index) {
        return;
    }
    ensure(event.index <= m_applied, result_code::invariant_committed_entry, "snapshot beyond the applied entries");
    auto base = std::make_shared<const snapshot>(
        snapshot { event.index, m_log.termAt(event.index), m_log.membersAt(event.index), event.bytes });
    persist action;
    action.base = base;
    save(std::move(action));
    m_log.compact(std::move(base), m_settings.trailingEntries, maxTrailingBytes);
}

void raft_core::sendChunk(voter_identity who, follower_progress &peer)
{
    const auto &base = *peer.sending;
    peer.lastProgress = m_now;
    sendTo(peer.address,
           snapshot_chunk { headerTo(who), base.index, base.term, base.members, peer.sendOffset, base.bytes.size(),
                            base.bytes.substr(peer.sendOffset, snapshotChunkBytes) });
}

void raft_core::on(const peer_address &from, const snapshot_answer &message)
{
    const auto found = m_peers.find(message.header.sender);
    if (m_role != raft_role::leader || found == m_peers.end() || found->second.address != from) {
        return;
    }
    auto &peer = found->second;
    const bool isCurrent = peer.sending && peer.sending->index == message.index;
    if (!isCurrent || message.nextOffset == peer.sendOffset || message.nextOffset > peer.sending->bytes.size()) {
        return;
    }
    peer.sendOffset = message.nextOffset;
    sendChunk(message.header.sender, peer);
}

void raft_core::on(const peer_address &from, const snapshot_chunk &message)
{
    const auto &header = message.header;
    if (header.term < m_state.term || message.totalBytes > maxSnapshotBytes) {
        return;
    }
    ensure(m_role != raft_role::leader, result_code::invariant_one_leader, "another leader acts in this voter's term");
    followLeader(from, header);
    if (message.index <= m_commit || m_log.holds(message.index, message.indexTerm)) {
        m_commit = std::max(m_commit, message.index);
        acknowledge(from, header.sender, message.index, false);
        return;
    }
    if (m_receivedIndex != message.index || m_receivedTerm != message.indexTerm || m_receivedFrom != header.sender) {
        m_received.clear();
        m_receivedIndex = message.index;
        m_receivedTerm = message.indexTerm;
        m_receivedFrom = header.sender;
    }
    if (message.offset == m_received.size() && m_received.size() + message.bytes.size() <= message.totalBytes) {
        m_received += message.bytes;
    }
    if (m_received.size() == message.totalBytes) {
        installReceived(from, message);
        return;
    }
    sendTo(from, snapshot_answer { headerTo(header.sender), message.index, m_received.size() });
}

void raft_core::installReceived(const peer_address &from, const snapshot_chunk &last)
{
    auto base = std::make_shared<const snapshot>(
        snapshot { last.index, last.indexTerm, last.members, std::move(m_received) });
    m_received.clear();
    m_receivedIndex = {};
    ensure(last.index > m_applied, result_code::invariant_committed_entry, "snapshot would lower the applied index");
    m_synced = std::min(m_synced, m_commit);
    for (auto &one : m_unsynced) {
        one.last = std::min(one.last, m_commit);
    }
    m_log.reset(base);
    m_commit = last.index;
    m_applied = last.index;
    persist action;
    action.base = base;
    action.discardLog = true;
    save(std::move(action));
    m_actions.emplace_back(install_snapshot { std::move(base) });
    acknowledge(from, last.header.sender, last.index, false);
}

} // namespace figcleat::consensus
