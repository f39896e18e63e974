#include "figcleat/group/rank-gate.h"

#include "figcleat/core/invariant.h"
#include "figcleat/wire/codec.h"

#include <algorithm>
#include <tuple>

namespace figcleat::group
{

rank_gate::rank_gate(const gate_settings &settings)
    : m_settings(settings)
    , m_knownIncarnations(settings.ranks)
{
    m_knownIncarnations[settings.rank] = settings.incarnation;
    m_joined = settings.ranks == 1;
}

std::vector<gate_action> rank_gate::step(const gate_event &event, time_point now)
{
    m_now = now;
    m_actions.clear();
    std::visit([this](const auto &alternative) { on(alternative); }, event);
    permitIfPossible();
    return std::move(m_actions);
}

rank_status rank_gate::status() const
{
    rank_status result { m_settings.rank,    m_settings.incarnation, m_engineIncarnation, m_sequence, m_fenceFloor,
                         m_joined,           incarnationChecksum(),  m_current.status,    {},         false,
                         m_highestAbandoned, m_lastPermitted };
    if (m_pending) {
        result.pending = m_pending->status;
        result.ready = m_loaded.contains(m_pending->status.content);
    }
    return result;
}

bool rank_gate::hasMap() const
{
    return m_current.status.id != switch_id {};
}

/** A status carries a checksum instead of all incarnations to stay small in a group of 128 ranks. */
std::uint64_t rank_gate::incarnationChecksum() const
{
    return checksum(encode(m_knownIncarnations));
}

// Events of the engine.

void rank_gate::on(const engine_started &event)
{
    m_engineIncarnation = event.engine;
    m_loaded = { event.content };
    m_loadRequestedAt.clear();
    m_requestedStep.reset();
    requestLoads();
    reportStatus();
}

void rank_gate::on(const engine_lost & /*event*/)
{
    m_engineIncarnation = {};
    m_loaded.clear();
    m_loadRequestedAt.clear();
    m_requestedStep.reset();
    reportStatus();
}

void rank_gate::on(const engine_loaded &event)
{
    m_loaded.insert(event.content);
    m_loadRequestedAt.erase(event.content);
    reportStatus();
}

void rank_gate::on(const step_requested &event)
{
    m_requestedStep = event.step;
}

void rank_gate::permitIfPossible()
{
    if (!m_requestedStep || (!hasMap() && !m_pending)) {
        return;
    }
    const versioned_map *map = mapForRequestedStep();
    if (map == nullptr || !m_loaded.contains(map->status.content)) {
        return;
    }
    m_actions.emplace_back(permit_step { *m_requestedStep, map->status.id, map->status.content });
    m_lastPermitted = std::max(m_lastPermitted, *m_requestedStep);
    releasePreviousMapIfUnused(*m_requestedStep);
    m_requestedStep.reset();
}

const rank_gate::versioned_map *rank_gate::mapForRequestedStep()
{
    if (m_pending && m_pending->status.phase >= switch_phase::held && *m_requestedStep >= m_pending->status.step) {
        if (m_pending->status.phase == switch_phase::held) {
            m_pending->blockedSince = m_pending->blockedSince.value_or(m_now);
            return nullptr;
        }
        if (!m_loaded.contains(m_pending->status.content)) {
            return nullptr;
        }
        activatePending();
    }
    if (*m_requestedStep < m_currentFirstStep) {
        return m_previous ? &*m_previous : nullptr;
    }
    return &m_current;
}

void rank_gate::activatePending()
{
    if (hasMap()) {
        m_previous = m_current;
    }
    m_current = { { m_pending->status.id, m_pending->status.content }, m_pending->map };
    m_currentFirstStep = m_pending->status.step;
    m_pending.reset();
    reportStatus();
}

/**
 * The previous map can be released once a rank requests the second step with the new map: a rank requests that step
 * only after all ranks have finished the first one.
 */
void rank_gate::releasePreviousMapIfUnused(step_number step)
{
    if (m_previous && step > m_currentFirstStep) {
        const digest content = m_previous->status.content;
        m_previous.reset();
        release(content);
    }
}

void rank_gate::release(const digest &content)
{
    const bool isNeeded = content == m_current.status.content || (m_previous && m_previous->status.content == content)
        || (m_pending && m_pending->status.content == content);
    m_loadRequestedAt.erase(content);
    if (!isNeeded && m_loaded.erase(content) > 0) {
        m_actions.emplace_back(release_map { content });
    }
}

void rank_gate::requestLoads()
{
    if (m_engineIncarnation == incarnation_id {}) {
        return;
    }
    requestLoad(m_current);
    if (m_previous) {
        requestLoad(*m_previous);
    }
    if (m_pending) {
        requestLoad({ { m_pending->status.id, m_pending->status.content }, m_pending->map });
    }
}

void rank_gate::requestLoad(const versioned_map &wanted)
{
    if (wanted.map.layers.empty() || m_loaded.contains(wanted.status.content)) {
        return;
    }
    const auto requested = m_loadRequestedAt.find(wanted.status.content);
    if (requested != m_loadRequestedAt.end() && m_now < requested->second + m_settings.loadRetryInterval) {
        return;
    }
    m_loadRequestedAt[wanted.status.content] = m_now;
    m_actions.emplace_back(load_map { wanted.map, wanted.status.content });
}

// Messages of controllers.

void rank_gate::on(const from_controller &event)
{
    std::visit(
        [this](const auto &message) {
            if (checkFence(message.fence)) {
                onController(message);
            }
        },
        event.message);
}

bool rank_gate::checkFence(fence_number fence)
{
    if (fence < m_fenceFloor) {
        m_actions.emplace_back(refused_message { result_code::stale_fence, m_fenceFloor });
        reportStatus();
        return false;
    }
    m_fenceFloor = fence;
    return true;
}

void rank_gate::onController(const inquire & /*message*/)
{
    reportStatus();
}

void rank_gate::onController(const prepare &message)
{
    const bool isBusy
        = m_pending && (m_pending->status.phase != switch_phase::prepared || m_pending->status.id >= message.map.id);
    if (!m_joined || isBusy || isResolved(message.map.id) || message.from != m_current.status.id
        || message.map.ranks != m_settings.ranks) {
        reportStatus();
        return;
    }
    if (m_pending) {
        resolvePending(false);
    }
    const digest content = contentDigest(message.map);
    m_pending.emplace();
    m_pending->status = { switch_phase::prepared, message.map.id, content, {} };
    m_pending->map = message.map;
    requestLoads();
    reportStatus();
}

void rank_gate::onController(const hold &message)
{
    if (m_pending && m_pending->status.id == message.id && m_pending->status.phase <= switch_phase::held
        && !m_pending->hasVoted && m_loaded.contains(m_pending->status.content) && m_lastPermitted < message.step
        && m_pending->status.step < message.step) {
        m_pending->status.phase = switch_phase::held;
        m_pending->status.step = message.step;
        m_pending->blockedSince.reset();
    }
    reportStatus();
}

void rank_gate::onController(const decide &message)
{
    const decision &result = message.result;
    if (!m_pending || m_pending->status.id != result.id) {
        // Record the abandoned switch, so that a delayed `prepare` message for it is refused.
        if (!result.commit && result.id != m_current.status.id) {
            m_highestAbandoned = std::max(m_highestAbandoned, result.id);
        }
    } else if (!result.commit) {
        ensure(m_pending->status.phase != switch_phase::scheduled, result_code::invariant_one_map,
               "decision abandons a switch that was already committed");
        resolvePending(false);
    } else if (m_pending->status.phase == switch_phase::held && !m_pending->hasVoted) {
        ensure(m_pending->status.step == result.step && m_pending->status.content == result.content,
               result_code::invariant_one_map,
               "decision commits another step or map than this rank agreed to hold for");
        resolvePending(true);
    }
    reportStatus();
}

bool rank_gate::isResolved(switch_id id) const
{
    return id <= m_highestAbandoned || id <= m_current.status.id;
}

void rank_gate::resolvePending(bool commit)
{
    if (commit) {
        m_pending->status.phase = switch_phase::scheduled;
        return;
    }
    m_highestAbandoned = std::max(m_highestAbandoned, m_pending->status.id);
    const digest content = m_pending->status.content;
    m_pending.reset();
    release(content);
}

// Messages of other ranks.

void rank_gate::on(const from_peer &event)
{
    if (event.rank >= m_settings.ranks || event.rank == m_settings.rank) {
        return;
    }
    std::visit([&](const auto &message) { onPeer(event, message); }, event.message);
}

void rank_gate::onPeer(const from_peer &from, const join_request &message)
{
    if (m_knownIncarnations[from.rank] != from.incarnation && !verifyIncarnation(from, message)) {
        return;
    }
    learnIncarnation(from.rank, from.incarnation);
    join_reply reply { from.incarnation,   m_fenceFloor, m_current.status,   {},
                       m_currentFirstStep, {},           m_highestAbandoned, {} };
    if (m_previous) {
        reply.previous = m_previous->status;
    }
    if (m_pending) {
        reply.pending = m_pending->status;
    }
    if (message.withMaps) {
        reply.maps = knownMaps();
    }
    sendToPeer(from.rank, std::move(reply));
}

std::vector<expert_map> rank_gate::knownMaps() const
{
    std::vector<expert_map> maps;
    if (hasMap()) {
        maps.push_back(m_current.map);
    }
    if (m_previous) {
        maps.push_back(m_previous->map);
    }
    if (m_pending) {
        maps.push_back(m_pending->map);
    }
    return maps;
}

/**
 * Checks that a join request comes from the current incarnation of its sender, and challenges the sender if its
 * current incarnation is unknown. Incarnations have no order, so a delayed request of an earlier incarnation looks like
 * a request of a new one. Only the current incarnation can answer a challenge issued after this rank last learnt an
 * incarnation of the sender.
 */
bool rank_gate::verifyIncarnation(const from_peer &from, const join_request &message)
{
    auto &issued = m_challenges[from.rank];
    if (issued.incarnation == from.incarnation && issued.nonce == message.nonce) {
        return true;
    }
    if (message.nonce != 0) {
        return false;
    }
    if (issued.incarnation != from.incarnation) {
        issued = { from.incarnation, m_settings.incarnation.value + ++m_challengesIssued };
    }
    sendToPeer(from.rank, join_challenge { from.incarnation, issued.nonce });
    return false;
}

void rank_gate::onPeer(const from_peer &from, const join_challenge &message)
{
    if (message.to == m_settings.incarnation) {
        sendToPeer(from.rank, join_request { message.nonce, false });
    }
}

/**
 * Records a new incarnation of a rank and discards the vote of the earlier one: a restarted rank may have
 * lost its vote and may then accept the decision from a controller.
 */
void rank_gate::learnIncarnation(rank_number rank, incarnation_id incarnation)
{
    if (m_knownIncarnations[rank] == incarnation) {
        return;
    }
    m_knownIncarnations[rank] = incarnation;
    m_challenges.erase(rank);
    m_joinReplies.erase(rank);
    if (m_pending) {
        m_pending->votes.erase(rank);
    }
    reportStatus();
}

void rank_gate::onPeer(const from_peer &from, const join_reply &message)
{
    if (message.to != m_settings.incarnation || hasMap()) {
        return;
    }
    if (m_knownIncarnations[from.rank] == incarnation_id {}) {
        learnIncarnation(from.rank, from.incarnation);
    }
    if (m_knownIncarnations[from.rank] != from.incarnation) {
        return;
    }
    for (const auto &map : message.maps) {
        m_receivedMaps[contentDigest(map)] = map;
    }
    m_joinReplies[from.rank] = message;
    m_joinReplies[from.rank].maps.clear();
    adoptIfComplete();
}

/**
 * Adopts the state of the group once all other ranks have answered and all their maps have been received. A rank with
 * only the id of a map cannot send the map to others, and the map would be lost with the last rank that has it.
 */
void rank_gate::adoptIfComplete()
{
    if (m_joinReplies.size() + 1 < m_settings.ranks || (m_pending && m_pending->status.phase >= switch_phase::held)) {
        return;
    }
    switch_id abandoned = m_highestAbandoned;
    const join_reply *latest = &m_joinReplies.begin()->second;
    for (const auto &[rank, reply] : m_joinReplies) {
        m_fenceFloor = std::max(m_fenceFloor, reply.fenceFloor);
        abandoned = std::max(abandoned, reply.abandoned);
        latest = reply.current.id > latest->current.id ? &reply : latest;
    }
    const pending_status pending = findPeerHold(std::max(abandoned, latest->current.id));
    for (const auto *wanted : { &latest->current.content, &latest->previous.content, &pending.content }) {
        if (*wanted != digest {} && !m_receivedMaps.contains(*wanted)) {
            return;
        }
    }
    m_highestAbandoned = abandoned;
    adoptGroupState(*latest, pending);
    m_joined = true;
    reportStatus();
}

void rank_gate::adoptGroupState(const join_reply &latest, const pending_status &pending)
{
    if (latest.current.id != switch_id {}) {
        if (m_pending) {
            resolvePending(false);
        }
        m_current = { latest.current, m_receivedMaps[latest.current.content] };
        m_currentFirstStep = latest.currentFrom;
        if (latest.previous.id != switch_id {}) {
            m_previous = versioned_map { latest.previous, m_receivedMaps[latest.previous.content] };
        }
    }
    if (pending.phase != switch_phase::none) {
        m_pending.emplace();
        m_pending->status = pending;
        m_pending->map = m_receivedMaps[pending.content];
    }
    if (hasMap()) {
        m_receivedMaps.clear();
    }
    requestLoads();
}

/**
 * Returns the latest unresolved hold that any other rank reported, or an empty status. The hold binds this rank too,
 * since this rank may have agreed to the hold before it restarted.
 */
pending_status rank_gate::findPeerHold(switch_id resolved) const
{
    pending_status found;
    const auto sortKey = [](const pending_status &status) { return std::tie(status.id, status.phase, status.step); };
    for (const auto &[rank, reply] : m_joinReplies) {
        const auto &peerPending = reply.pending;
        if (peerPending.phase >= switch_phase::held && peerPending.id > resolved
            && sortKey(found) < sortKey(peerPending)) {
            found = peerPending;
        }
    }
    return found;
}

void rank_gate::onPeer(const from_peer &from, const cancel_vote &message)
{
    if (!hasMap() || m_knownIncarnations[from.rank] != from.incarnation) {
        return;
    }
    const bool matchesPending = m_pending && m_pending->status.id == message.id;
    if (message.id == m_current.status.id || (matchesPending && m_pending->status.phase == switch_phase::scheduled)) {
        sendToPeer(from.rank, peer_decision { message.id, true });
        return;
    }
    if (matchesPending && m_pending->status.phase == switch_phase::held) {
        m_pending->votes.insert(from.rank);
        voteToCancelIfOverdue();
        return;
    }
    // This rank has not agreed to hold, so no controller can have committed the switch.
    if (matchesPending) {
        resolvePending(false);
    }
    m_highestAbandoned = std::max(m_highestAbandoned, message.id);
    sendToPeer(from.rank, peer_decision { message.id, false });
}

void rank_gate::onPeer(const from_peer &from, const peer_decision &message)
{
    if (!m_pending || m_pending->status.id != message.id || m_pending->status.phase != switch_phase::held
        || m_knownIncarnations[from.rank] != from.incarnation) {
        return;
    }
    resolvePending(message.commit);
    reportStatus();
}

void rank_gate::voteToCancelIfOverdue()
{
    // A rank without a map has no old map to continue with, so it waits for the decision.
    if (!hasMap() || !m_pending || !m_pending->blockedSince
        || m_now < *m_pending->blockedSince + m_settings.holdTimeout) {
        return;
    }
    m_pending->hasVoted = true;
    if (!m_pending->lastVoteAt || m_now >= *m_pending->lastVoteAt + m_settings.statusInterval) {
        m_pending->lastVoteAt = m_now;
        sendToPeers(cancel_vote { m_pending->status.id });
    }
    if (m_pending->votes.size() + 1 >= m_settings.ranks) {
        resolvePending(false);
        reportStatus();
    }
}

// Periodic work.

void rank_gate::on(const gate_tick & /*event*/)
{
    ++m_tickCount;
    if (!hasMap()) {
        requestJoin();
    }
    if (m_pending && m_pending->status.phase == switch_phase::held) {
        voteToCancelIfOverdue();
    }
    requestLoads();
    const bool isBusy = m_pending || !hasMap();
    if (m_now >= m_lastReport + (isBusy ? m_settings.statusInterval : m_settings.idleStatusInterval)) {
        reportStatus();
    }
}

/**
 * Asks the other ranks for the state of the group. A rank without a map repeats its requests even after all ranks have
 * answered, since another rank may have received a map in the meantime. The maps themselves are requested from one rank
 * at a time, because they take tens of kilobytes in a large group.
 */
void rank_gate::requestJoin()
{
    constexpr std::uint64_t joinedRepeatTicks = 5;
    const bool haveAllReplied = m_joinReplies.size() + 1 >= m_settings.ranks;
    const auto mapProvider = static_cast<rank_number>(m_tickCount % m_settings.ranks);
    for (rank_number rank = 0; rank < m_settings.ranks; ++rank) {
        const bool isRepeatDue
            = haveAllReplied && (rank == mapProvider || (m_joined && m_tickCount % joinedRepeatTicks == 0));
        if (rank != m_settings.rank && (!m_joinReplies.contains(rank) || isRepeatDue)) {
            sendToPeer(rank, join_request { 0, haveAllReplied && rank == mapProvider });
        }
    }
}

void rank_gate::reportStatus()
{
    ++m_sequence;
    m_lastReport = m_now;
    m_actions.emplace_back(report_status { status() });
}

void rank_gate::sendToPeer(rank_number to, peer_message message)
{
    m_actions.emplace_back(send_peer { to, std::move(message) });
}

void rank_gate::sendToPeers(const peer_message &message)
{
    for (rank_number rank = 0; rank < m_settings.ranks; ++rank) {
        if (rank != m_settings.rank) {
            sendToPeer(rank, message);
        }
    }
}

} // namespace figcleat::group
