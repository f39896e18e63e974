#include "figcleat/group/switch-controller.h"

#include "figcleat/wire/codec.h"

#include <algorithm>

namespace figcleat::group
{

switch_controller::switch_controller(const controller_settings &settings)
    : m_settings(settings)
    , m_ranks(settings.ranks)
{
}

std::vector<controller_action> switch_controller::step(const controller_event &event, time_point now)
{
    m_now = now;
    m_actions.clear();
    if (m_phase != phase::deposed || std::holds_alternative<control_acquired>(event)) {
        std::visit([this](const auto &alternative) { on(alternative); }, event);
    }
    return std::move(m_actions);
}

switch_controller::phase switch_controller::currentPhase() const
{
    return m_phase;
}

void switch_controller::on(const control_acquired &event)
{
    m_fence = event.fence;
    m_lastDecision = event.last;
    m_phase = phase::idle;
    m_ranks.assign(m_settings.ranks, {});
    if (event.last) {
        m_highestVersion = event.last->id.version;
    }
    sendAll(inquire { m_fence });
}

void switch_controller::on(const propose_map &event)
{
    const result_code reason = m_phase == phase::idle ? checkRanksReady() : result_code::rank_not_ready;
    if (reason != result_code::ok) {
        m_actions.emplace_back(proposal_refused { reason });
        if (m_phase == phase::idle) {
            // Between switches a status can be seconds old, so the reason may no longer apply. Asks for new statuses.
            sendAll(inquire { m_fence });
        }
        return;
    }
    m_highestVersion = m_highestVersion.next();
    m_fromId = m_ranks.front().status->current.id;
    m_newMap = { { m_fence, m_highestVersion }, m_settings.ranks, event.layers };
    m_decision = { m_newMap.id, contentDigest(m_newMap), {}, true };
    m_phase = phase::preparing;
    m_deadline = m_now + m_settings.prepareTimeout;
    m_holdAttempts = 0;
    for (auto &rank : m_ranks) {
        rank.incarnationAtStart = rank.status->incarnation;
        rank.engineAtStart = rank.status->engine;
        // Starts the shorter timeout that applies during a switch.
        rank.lastStatusAt = m_now;
    }
    sendAll(prepare { m_fence, m_fromId, m_newMap });
}

/** A switch can start if all ranks have answered this controller, use the same map and have no switch pending. */
result_code switch_controller::checkRanksReady() const
{
    if (anyRankLost()) {
        return result_code::rank_not_ready;
    }
    const auto &first = m_ranks.front().status->current;
    for (const auto &rank : m_ranks) {
        if (!rank.status->joined || rank.status->engine == incarnation_id {}
            || rank.status->pending.phase != switch_phase::none) {
            return result_code::rank_not_ready;
        }
        if (rank.status->current.id != first.id) {
            return result_code::map_stale;
        }
        if (rank.status->current.content != first.content) {
            return result_code::map_digest_mismatch;
        }
    }
    return result_code::ok;
}

bool switch_controller::anyRankLost() const
{
    return std::any_of(m_ranks.begin(), m_ranks.end(), [this](const rank_record &rank) {
        return !rank.status || m_now > rank.lastStatusAt + currentRankTimeout();
    });
}

duration switch_controller::currentRankTimeout() const
{
    return m_phase == phase::idle ? m_settings.idleRankTimeout : m_settings.rankTimeout;
}

void switch_controller::on(const status_received &event)
{
    const rank_status &status = event.status;
    if (status.rank >= m_ranks.size()) {
        return;
    }
    if (status.fenceFloor > m_fence) {
        m_phase = phase::deposed;
        m_actions.emplace_back(deposed { status.fenceFloor });
        return;
    }
    auto &rank = m_ranks[status.rank];
    const bool older
        = rank.status && rank.status->incarnation == status.incarnation && rank.status->sequence >= status.sequence;
    // A rank that has not yet seen the fencing number of this controller may still accept a delayed message of an
    // earlier controller, so its status is ignored.
    if (older || status.fenceFloor < m_fence) {
        return;
    }
    rank.status = status;
    rank.lastStatusAt = m_now;
    m_highestVersion = std::max(
        { m_highestVersion, status.current.id.version, status.pending.id.version, status.abandoned.version });
    resolveForeignSwitch(status);
    advance();
}

/** Commits or abandons a pending switch of the rank, left by an earlier controller or earlier by this one. */
void switch_controller::resolveForeignSwitch(const rank_status &status)
{
    const bool isUndecided
        = status.pending.phase == switch_phase::prepared || status.pending.phase == switch_phase::held;
    const bool isOwn = m_phase != phase::idle && status.pending.id == m_decision.id;
    if (!isUndecided || isOwn) {
        return;
    }
    // If the rank is only prepared, its current incarnation has not agreed to hold, and no rank that agreed is left.
    const bool held = status.pending.phase == switch_phase::held;
    if (held && m_lastDecision && m_lastDecision->id == status.pending.id) {
        send(status.rank, decide { m_fence, *m_lastDecision });
        return;
    }
    send(status.rank, decide { m_fence, { status.pending.id, status.pending.content, {}, false } });
}

void switch_controller::advance()
{
    switch (m_phase) {
    case phase::preparing:
        return advancePreparing();
    case phase::holding:
        return advanceHolding();
    case phase::distributing:
        return advanceDistributing();
    case phase::idle:
    case phase::recording:
    case phase::deposed:
        return;
    }
}

bool switch_controller::isPending(const rank_record &rank) const
{
    return rank.status->pending.phase != switch_phase::none && rank.status->pending.id == m_decision.id;
}

bool switch_controller::hasRestarted(const rank_record &rank) const
{
    return rank.status->incarnation != rank.incarnationAtStart || rank.status->engine != rank.engineAtStart
        || rank.status->abandoned >= m_decision.id;
}

bool switch_controller::isReady(const rank_record &rank) const
{
    return isPending(rank) && rank.status->ready;
}

bool switch_controller::hasAgreedToHold(const rank_record &rank) const
{
    return isReady(rank) && rank.status->pending.phase == switch_phase::held
        && rank.status->pending.step == m_decision.step;
}

void switch_controller::advancePreparing()
{
    if (std::any_of(m_ranks.begin(), m_ranks.end(), [this](const auto &rank) { return hasRestarted(rank); })) {
        return abandon(result_code::rank_not_ready);
    }
    if (std::all_of(m_ranks.begin(), m_ranks.end(), [this](const auto &rank) { return isReady(rank); })) {
        m_phase = phase::holding;
        // A group without a map runs no steps, so its first map applies from step 1.
        const bool first = m_fromId == switch_id {};
        startHolding({ first ? 1 : highestPermittedStep().value + m_settings.stepMargin });
    }
}

step_number switch_controller::highestPermittedStep() const
{
    step_number highest;
    for (const auto &rank : m_ranks) {
        highest = std::max(highest, rank.status->lastPermitted);
    }
    return highest;
}

void switch_controller::startHolding(step_number step)
{
    m_decision.step = step;
    m_deadline = m_now + m_settings.holdTimeout;
    sendAll(hold { m_fence, m_decision.id, step });
}

void switch_controller::advanceHolding()
{
    if (std::any_of(m_ranks.begin(), m_ranks.end(), [this](const auto &rank) { return hasRestarted(rank); })) {
        return abandon(result_code::rank_not_ready);
    }
    if (std::all_of(m_ranks.begin(), m_ranks.end(), [this](const auto &rank) { return hasAgreedToHold(rank); })
        && incarnationsAgree()) {
        return recordDecision();
    }
    const auto anyRankPassed = std::any_of(m_ranks.begin(), m_ranks.end(), [this](const auto &rank) {
        return !hasAgreedToHold(rank) && rank.status->lastPermitted >= m_decision.step;
    });
    if (anyRankPassed) {
        if (++m_holdAttempts >= m_settings.holdAttempts) {
            return abandon(result_code::rank_not_ready);
        }
        startHolding({ highestPermittedStep().value + m_settings.stepMargin * (m_holdAttempts + 1) });
    }
}

/**
 * Returns true if all ranks know exactly the incarnations that agreed to hold. If a rank restarted after it agreed,
 * some other rank knows its new incarnation, and the checksum of that rank differs.
 */
bool switch_controller::incarnationsAgree() const
{
    std::vector<incarnation_id> incarnations;
    for (const auto &rank : m_ranks) {
        incarnations.push_back(rank.status->incarnation);
    }
    const std::uint64_t incarnationChecksum = checksum(encode(incarnations));
    return std::all_of(m_ranks.begin(), m_ranks.end(), [incarnationChecksum](const rank_record &rank) {
        return rank.status->incarnationChecksum == incarnationChecksum;
    });
}

void switch_controller::recordDecision()
{
    m_phase = phase::recording;
    m_recordRequestedAt = m_now;
    m_actions.emplace_back(record_decision { m_decision });
}

void switch_controller::on(const record_result &event)
{
    if (m_phase != phase::recording || event.id != m_decision.id) {
        return;
    }
    if (event.outcome == record_outcome::refused) {
        m_phase = phase::deposed;
        m_actions.emplace_back(deposed {});
    } else if (event.outcome == record_outcome::recorded) {
        m_phase = phase::distributing;
        m_lastDecision = m_decision;
        sendAll(decide { m_fence, m_decision });
    }
    // If the outcome is unknown, the ranks keep holding, and a later tick requests the recording of the decision again.
}

void switch_controller::advanceDistributing()
{
    const auto uses = [this](const rank_record &rank) { return rank.status->current.id == m_decision.id; };
    const auto cancelled = [this](const rank_record &rank) { return rank.status->abandoned >= m_decision.id; };
    const auto lostHold = [&](const rank_record &rank) {
        return rank.status->joined && !uses(rank)
            && !(isPending(rank) && rank.status->pending.phase >= switch_phase::held);
    };
    if (std::all_of(m_ranks.begin(), m_ranks.end(), uses)) {
        m_phase = phase::idle;
        m_actions.emplace_back(switch_completed { m_decision.id });
    } else if (std::any_of(m_ranks.begin(), m_ranks.end(), cancelled)
               || std::all_of(m_ranks.begin(), m_ranks.end(), lostHold)) {
        // The ranks cancelled the switch by vote because the decision did not arrive in time, or all have restarted.
        m_phase = phase::idle;
        m_actions.emplace_back(switch_abandoned { m_decision.id, result_code::deadline_exceeded });
    }
}

void switch_controller::abandon(result_code reason)
{
    m_phase = phase::idle;
    sendAll(decide { m_fence, { m_decision.id, m_decision.content, {}, false } });
    m_actions.emplace_back(switch_abandoned { m_decision.id, reason });
}

void switch_controller::on(const controller_tick & /*event*/)
{
    if (m_phase == phase::preparing || m_phase == phase::holding) {
        if (anyRankLost() || m_now > m_deadline) {
            abandon(result_code::rank_not_ready);
        }
    }
    if (m_phase == phase::recording && m_now > m_recordRequestedAt + m_settings.resendInterval) {
        recordDecision();
    }
    resend();
}

void switch_controller::resend()
{
    for (std::size_t i = 0; i < m_ranks.size(); ++i) {
        auto &rank = m_ranks[i];
        if (m_now < rank.lastSentAt + m_settings.resendInterval) {
            continue;
        }
        if (auto message = messageFor(rank)) {
            send(static_cast<rank_number>(i), std::move(*message));
        }
    }
}

std::optional<controller_message> switch_controller::messageFor(const rank_record &rank) const
{
    if (!rank.status || m_now > rank.lastStatusAt + currentRankTimeout() * 2 / 3) {
        return inquire { m_fence };
    }
    if (m_phase == phase::preparing && !isPending(rank)) {
        return prepare { m_fence, m_fromId, m_newMap };
    }
    if (m_phase == phase::holding && !hasAgreedToHold(rank)) {
        return hold { m_fence, m_decision.id, m_decision.step };
    }
    if (m_phase == phase::distributing && isPending(rank) && rank.status->pending.phase == switch_phase::held) {
        return decide { m_fence, m_decision };
    }
    return std::nullopt;
}

void switch_controller::send(rank_number to, controller_message message)
{
    m_ranks[to].lastSentAt = m_now;
    m_actions.emplace_back(send_rank { to, std::move(message) });
}

void switch_controller::sendAll(const controller_message &message)
{
    for (std::size_t i = 0; i < m_ranks.size(); ++i) {
        send(static_cast<rank_number>(i), message);
    }
}

} // namespace figcleat::group
