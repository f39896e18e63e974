#include "figcleat/group/rank-gate.h"

#include "figcleat/core/invariant.h"
#include "figcleat/wire/codec.h"

#include <algorithm>
#include <tuple>

namespace figcleat::group
{

rank_gate::rank_gate(const gate_settings &settings)
    : m_settings(settings)
    , m_view(settings.ranks)
{
    m_view[settings.rank] = settings.incarnation;
    m_joined = settings.ranks == 1;
}

std::vector<gate_action> rank_gate::step(const gate_event &event, time_point now)
{
    m_now = now;
    m_actions.clear();
    std::visit([this](const auto &held) { on(held); }, event);
    permitIfPossible();
    return std::move(m_actions);
}

rank_status rank_gate::status() const
{
    rank_status result { m_settings.rank, m_settings.incarnation, m_engine, m_sequence, m_floor,     m_joined,
                         view(),          m_current.id,           {},       false,      m_abandoned, m_lastPermitted };
    if (m_pending) {
        result.pending = m_pending->status;
        result.ready = m_loaded.contains(m_pending->status.content);
    }
    return result;
}

bool rank_gate::holdsMap() const
{
    return m_current.id.id != switch_id {};
}

/** Checksum, so that a status stays small in a group of 128 ranks. */
std::uint64_t rank_gate::view() const
{
    return checksum(encode(m_view));
}

// Engine.

void rank_gate::on(const engine_started &event)
{
    m_engine = event.engine;
    m_loaded = { event.content };
    m_loadOrdered.clear();
    m_waiting.reset();
    orderLoads();
    report();
}

void rank_gate::on(const engine_lost & /*event*/)
{
    m_engine = {};
    m_loaded.clear();
    m_loadOrdered.clear();
    m_waiting.reset();
    report();
}

void rank_gate::on(const engine_loaded &event)
{
    m_loaded.insert(event.content);
    m_loadOrdered.erase(event.content);
    report();
}

void rank_gate::on(const step_requested &event)
{
    m_waiting = event.step;
}

void rank_gate::permitIfPossible()
{
    if (!m_waiting || (!holdsMap() && !m_pending)) {
        return;
    }
    const held_map *map = mapForWaitingStep();
    if (map == nullptr || !m_loaded.contains(map->id.content)) {
        return;
    }
    m_actions.emplace_back(permit_step { *m_waiting, map->id.id, map->id.content });
    m_lastPermitted = std::max(m_lastPermitted, *m_waiting);
    releasePreviousBefore(*m_waiting);
    m_waiting.reset();
}

const rank_gate::held_map *rank_gate::mapForWaitingStep()
{
    if (m_pending && m_pending->status.phase >= switch_phase::held && *m_waiting >= m_pending->status.step) {
        if (m_pending->status.phase == switch_phase::held) {
            m_pending->blockedSince = m_pending->blockedSince.value_or(m_now);
            return nullptr;
        }
        if (!m_loaded.contains(m_pending->status.content)) {
            return nullptr;
        }
        activatePending();
    }
    if (*m_waiting < m_currentFrom) {
        return m_previous ? &*m_previous : nullptr;
    }
    return &m_current;
}

void rank_gate::activatePending()
{
    if (holdsMap()) {
        m_previous = m_current;
    }
    m_current = { { m_pending->status.id, m_pending->status.content }, m_pending->map };
    m_currentFrom = m_pending->status.step;
    m_pending.reset();
    report();
}

/** A rank asks for a step after the first one with the new map only when all ranks have finished that one. */
void rank_gate::releasePreviousBefore(step_number step)
{
    if (m_previous && step > m_currentFrom) {
        const digest content = m_previous->id.content;
        m_previous.reset();
        release(content);
    }
}

void rank_gate::release(const digest &content)
{
    const bool needed = content == m_current.id.content || (m_previous && m_previous->id.content == content)
        || (m_pending && m_pending->status.content == content);
    m_loadOrdered.erase(content);
    if (!needed && m_loaded.erase(content) > 0) {
        m_actions.emplace_back(release_map { content });
    }
}

void rank_gate::orderLoads()
{
    if (m_engine == incarnation_id {}) {
        return;
    }
    orderLoad(m_current);
    if (m_previous) {
        orderLoad(*m_previous);
    }
    if (m_pending) {
        orderLoad({ { m_pending->status.id, m_pending->status.content }, m_pending->map });
    }
}

void rank_gate::orderLoad(const held_map &wanted)
{
    if (wanted.map.layers.empty() || m_loaded.contains(wanted.id.content)) {
        return;
    }
    const auto ordered = m_loadOrdered.find(wanted.id.content);
    if (ordered != m_loadOrdered.end() && m_now < ordered->second + m_settings.loadRetry) {
        return;
    }
    m_loadOrdered[wanted.id.content] = m_now;
    m_actions.emplace_back(load_map { wanted.map, wanted.id.content });
}

// Controllers.

void rank_gate::on(const from_controller &event)
{
    std::visit(
        [this](const auto &message) {
            if (fenceAllows(message.fence)) {
                onController(message);
            }
        },
        event.message);
}

bool rank_gate::fenceAllows(fence_number fence)
{
    if (fence < m_floor) {
        m_actions.emplace_back(refused_message { result_code::stale_fence, m_floor });
        report();
        return false;
    }
    m_floor = fence;
    return true;
}

void rank_gate::onController(const inquire & /*message*/)
{
    report();
}

void rank_gate::onController(const prepare &message)
{
    const bool busy
        = m_pending && (m_pending->status.phase != switch_phase::prepared || m_pending->status.id >= message.map.id);
    if (!m_joined || busy || isResolved(message.map.id) || message.from != m_current.id.id
        || message.map.ranks != m_settings.ranks) {
        report();
        return;
    }
    if (m_pending) {
        resolvePending(false);
    }
    const digest content = contentDigest(message.map);
    m_pending.emplace();
    m_pending->status = { switch_phase::prepared, message.map.id, content, {} };
    m_pending->map = message.map;
    orderLoads();
    report();
}

void rank_gate::onController(const hold &message)
{
    if (m_pending && m_pending->status.id == message.id && m_pending->status.phase <= switch_phase::held
        && !m_pending->voted && m_loaded.contains(m_pending->status.content) && m_lastPermitted < message.step
        && m_pending->status.step < message.step) {
        m_pending->status.phase = switch_phase::held;
        m_pending->status.step = message.step;
        m_pending->blockedSince.reset();
    }
    report();
}

void rank_gate::onController(const decide &message)
{
    const decision &result = message.result;
    if (!m_pending || m_pending->status.id != result.id) {
        // Bars a prepare for this switch that is still under way.
        if (!result.commit && result.id != m_current.id.id) {
            m_abandoned = std::max(m_abandoned, result.id);
        }
    } else if (!result.commit) {
        ensure(m_pending->status.phase != switch_phase::scheduled, result_code::invariant_one_map,
               "a decided switch is abandoned");
        resolvePending(false);
    } else if (m_pending->status.phase == switch_phase::held && !m_pending->voted) {
        ensure(m_pending->status.step == result.step && m_pending->status.content == result.content,
               result_code::invariant_one_map, "a switch is decided for another step or map than the one held");
        resolvePending(true);
    }
    report();
}

bool rank_gate::isResolved(switch_id id) const
{
    return id <= m_abandoned || id <= m_current.id.id;
}

void rank_gate::resolvePending(bool commit)
{
    if (commit) {
        m_pending->status.phase = switch_phase::scheduled;
        return;
    }
    m_abandoned = std::max(m_abandoned, m_pending->status.id);
    const digest content = m_pending->status.content;
    m_pending.reset();
    release(content);
}

// Other ranks.

void rank_gate::on(const from_peer &event)
{
    if (event.rank >= m_settings.ranks || event.rank == m_settings.rank) {
        return;
    }
    std::visit([&](const auto &message) { onPeer(event, message); }, event.message);
}

void rank_gate::onPeer(const from_peer &from, const join_request &message)
{
    if (m_view[from.rank] != from.incarnation && !answersChallenge(from, message)) {
        return;
    }
    learnIncarnation(from.rank, from.incarnation);
    join_reply reply { from.incarnation, m_floor, m_current.id, {}, m_currentFrom, {}, m_abandoned, {} };
    if (m_previous) {
        reply.previous = m_previous->id;
    }
    if (m_pending) {
        reply.pending = m_pending->status;
    }
    if (message.withMaps) {
        reply.maps = heldMaps();
    }
    sendPeer(from.rank, std::move(reply));
}

std::vector<expert_map> rank_gate::heldMaps() const
{
    std::vector<expert_map> maps;
    if (holdsMap()) {
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
 * Incarnations have no order, so a delayed request of an earlier life looks like one of a new life. Only the present
 * life can answer a challenge that was made after this rank last learnt an incarnation.
 */
bool rank_gate::answersChallenge(const from_peer &from, const join_request &message)
{
    auto &made = m_challenges[from.rank];
    if (made.incarnation == from.incarnation && made.nonce == message.answer) {
        return true;
    }
    if (message.answer != 0) {
        return false;
    }
    if (made.incarnation != from.incarnation) {
        made = { from.incarnation, m_settings.incarnation.value + ++m_challengesMade };
    }
    sendPeer(from.rank, join_challenge { from.incarnation, made.nonce });
    return false;
}

void rank_gate::onPeer(const from_peer &from, const join_challenge &message)
{
    if (message.to == m_settings.incarnation) {
        sendPeer(from.rank, join_request { message.nonce, false });
    }
}

/**
 * A vote of an earlier life does not count: the rank may have forgotten it and take the decision from a controller.
 */
void rank_gate::learnIncarnation(rank_number rank, incarnation_id incarnation)
{
    if (m_view[rank] == incarnation) {
        return;
    }
    m_view[rank] = incarnation;
    m_challenges.erase(rank);
    m_replies.erase(rank);
    if (m_pending) {
        m_pending->votes.erase(rank);
    }
    report();
}

void rank_gate::onPeer(const from_peer &from, const join_reply &message)
{
    if (message.to != m_settings.incarnation || holdsMap()) {
        return;
    }
    if (m_view[from.rank] == incarnation_id {}) {
        learnIncarnation(from.rank, from.incarnation);
    }
    if (m_view[from.rank] != from.incarnation) {
        return;
    }
    for (const auto &map : message.maps) {
        m_offered[contentDigest(map)] = map;
    }
    m_replies[from.rank] = message;
    m_replies[from.rank].maps.clear();
    adoptIfComplete();
}

/**
 * Takes over what the others do, once all have answered and the content of their maps is here: a rank that knew only
 * the name of a map could not pass it on, and the map would be lost with the last rank that holds it.
 */
void rank_gate::adoptIfComplete()
{
    if (m_replies.size() + 1 < m_settings.ranks || (m_pending && m_pending->status.phase >= switch_phase::held)) {
        return;
    }
    switch_id abandoned = m_abandoned;
    const join_reply *latest = &m_replies.begin()->second;
    for (const auto &[rank, reply] : m_replies) {
        m_floor = std::max(m_floor, reply.floor);
        abandoned = std::max(abandoned, reply.abandoned);
        latest = reply.current.id > latest->current.id ? &reply : latest;
    }
    const pending_status pending = heldElsewhere(std::max(abandoned, latest->current.id));
    for (const auto *wanted : { &latest->current.content, &latest->previous.content, &pending.content }) {
        if (*wanted != digest {} && !m_offered.contains(*wanted)) {
            return;
        }
    }
    m_abandoned = abandoned;
    adopt(*latest, pending);
    m_joined = true;
    report();
}

void rank_gate::adopt(const join_reply &latest, const pending_status &pending)
{
    if (latest.current.id != switch_id {}) {
        if (m_pending) {
            resolvePending(false);
        }
        m_current = { latest.current, m_offered[latest.current.content] };
        m_currentFrom = latest.currentFrom;
        if (latest.previous.id != switch_id {}) {
            m_previous = held_map { latest.previous, m_offered[latest.previous.content] };
        }
    }
    if (pending.phase != switch_phase::none) {
        m_pending.emplace();
        m_pending->status = pending;
        m_pending->map = m_offered[pending.content];
    }
    if (holdsMap()) {
        m_offered.clear();
    }
    orderLoads();
}

/** A hold of any rank counts for this one, since this rank may have agreed to it before it restarted. */
pending_status rank_gate::heldElsewhere(switch_id resolved) const
{
    pending_status found;
    const auto order = [](const pending_status &status) { return std::tie(status.id, status.phase, status.step); };
    for (const auto &[rank, reply] : m_replies) {
        const auto &theirs = reply.pending;
        if (theirs.phase >= switch_phase::held && theirs.id > resolved && order(found) < order(theirs)) {
            found = theirs;
        }
    }
    return found;
}

void rank_gate::onPeer(const from_peer &from, const cancel_vote &message)
{
    if (!holdsMap() || m_view[from.rank] != from.incarnation) {
        return;
    }
    const bool pendingIsMeant = m_pending && m_pending->status.id == message.id;
    if (message.id == m_current.id.id || (pendingIsMeant && m_pending->status.phase == switch_phase::scheduled)) {
        sendPeer(from.rank, peer_decision { message.id, true });
        return;
    }
    if (pendingIsMeant && m_pending->status.phase == switch_phase::held) {
        m_pending->votes.insert(from.rank);
        vote();
        return;
    }
    // This rank has not agreed to hold, so no controller can have decided the switch.
    if (pendingIsMeant) {
        resolvePending(false);
    }
    m_abandoned = std::max(m_abandoned, message.id);
    sendPeer(from.rank, peer_decision { message.id, false });
}

void rank_gate::onPeer(const from_peer &from, const peer_decision &message)
{
    if (!m_pending || m_pending->status.id != message.id || m_pending->status.phase != switch_phase::held
        || m_view[from.rank] != from.incarnation) {
        return;
    }
    resolvePending(message.commit);
    report();
}

void rank_gate::vote()
{
    // Without a map there is nothing to go on with, so such a rank waits for the decision.
    if (!holdsMap() || !m_pending || !m_pending->blockedSince
        || m_now < *m_pending->blockedSince + m_settings.holdTimeout) {
        return;
    }
    m_pending->voted = true;
    if (!m_pending->votedAt || m_now >= *m_pending->votedAt + m_settings.statusEvery) {
        m_pending->votedAt = m_now;
        sendPeers(cancel_vote { m_pending->status.id });
    }
    if (m_pending->votes.size() + 1 >= m_settings.ranks) {
        resolvePending(false);
        report();
    }
}

// Periodic work.

void rank_gate::on(const gate_tick & /*event*/)
{
    ++m_ticks;
    if (!holdsMap()) {
        requestJoin();
    }
    if (m_pending && m_pending->status.phase == switch_phase::held) {
        vote();
    }
    orderLoads();
    const bool busy = m_pending || !holdsMap();
    if (m_now >= m_lastReport + (busy ? m_settings.statusEvery : m_settings.idleStatusEvery)) {
        report();
    }
}

/**
 * A rank that found no map anywhere goes on asking, since another rank may have learnt of one since. It asks one rank
 * after another for the content of maps, since that is tens of kilobytes in a large group.
 */
void rank_gate::requestJoin()
{
    constexpr std::uint64_t slowTicks = 5;
    const bool complete = m_replies.size() + 1 >= m_settings.ranks;
    const auto giver = static_cast<rank_number>(m_ticks % m_settings.ranks);
    for (rank_number rank = 0; rank < m_settings.ranks; ++rank) {
        const bool again = complete && (rank == giver || (m_joined && m_ticks % slowTicks == 0));
        if (rank != m_settings.rank && (!m_replies.contains(rank) || again)) {
            sendPeer(rank, join_request { 0, complete && rank == giver });
        }
    }
}

void rank_gate::report()
{
    ++m_sequence;
    m_lastReport = m_now;
    m_actions.emplace_back(report_status { status() });
}

void rank_gate::sendPeer(rank_number to, peer_message message)
{
    m_actions.emplace_back(send_peer { to, std::move(message) });
}

void rank_gate::sendPeers(const peer_message &message)
{
    for (rank_number rank = 0; rank < m_settings.ranks; ++rank) {
        if (rank != m_settings.rank) {
            sendPeer(rank, message);
        }
    }
}

} // namespace figcleat::group
