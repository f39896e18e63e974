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
    if (m_phase != phase::deposed || std::holds_alternative<took_over>(event)) {
        std::visit([this](const auto &held) { on(held); }, event);
    }
    return std::move(m_actions);
}

switch_controller::phase switch_controller::currentPhase() const
{
    return m_phase;
}

void switch_controller::on(const took_over &event)
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
    const result_code why = m_phase == phase::idle ? whyNotNow() : result_code::rank_not_ready;
    if (why != result_code::ok) {
        m_actions.emplace_back(proposal_refused { why });
        if (m_phase == phase::idle) {
            // The reason may be gone: between switches a status can be seconds old.
            sendAll(inquire { m_fence });
        }
        return;
    }
    m_highestVersion = m_highestVersion.next();
    m_from = m_ranks.front().status->current.id;
    m_map = { { m_fence, m_highestVersion }, m_settings.ranks, event.layers };
    m_decision = { m_map.id, contentDigest(m_map), {}, true };
    m_phase = phase::preparing;
    m_deadline = m_now + m_settings.prepareTimeout;
    m_holdAttempts = 0;
    for (auto &rank : m_ranks) {
        rank.readyIncarnation = rank.status->incarnation;
        rank.readyEngine = rank.status->engine;
        // From here on the rank has to answer at the pace of a switch.
        rank.heardAt = m_now;
    }
    sendAll(prepare { m_fence, m_from, m_map });
}

/** A switch starts from ranks that all answered this controller, hold the same map and wait for no decision. */
result_code switch_controller::whyNotNow() const
{
    if (anyLost()) {
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

bool switch_controller::anyLost() const
{
    return std::any_of(m_ranks.begin(), m_ranks.end(),
                       [this](const rank_record &rank) { return !rank.status || m_now > rank.heardAt + silence(); });
}

duration switch_controller::silence() const
{
    return m_phase == phase::idle ? m_settings.idleSilentAfter : m_settings.silentAfter;
}

void switch_controller::on(const status_received &event)
{
    const rank_status &status = event.status;
    if (status.rank >= m_ranks.size()) {
        return;
    }
    if (status.floor > m_fence) {
        m_phase = phase::deposed;
        m_actions.emplace_back(deposed { status.floor });
        return;
    }
    auto &rank = m_ranks[status.rank];
    const bool older
        = rank.status && rank.status->incarnation == status.incarnation && rank.status->sequence >= status.sequence;
    // Only a status from after this controller's first message excludes a later order of an earlier one.
    if (older || status.floor < m_fence) {
        return;
    }
    rank.status = status;
    rank.heardAt = m_now;
    m_highestVersion = std::max(
        { m_highestVersion, status.current.id.version, status.pending.id.version, status.abandoned.version });
    settleForeign(status);
    advance();
}

/** Finishes or abandons a switch that an earlier controller, or this one, left with the rank. */
void switch_controller::settleForeign(const rank_status &status)
{
    const bool waits = status.pending.phase == switch_phase::prepared || status.pending.phase == switch_phase::held;
    const bool ours = m_phase != phase::idle && status.pending.id == m_decision.id;
    if (!waits || ours) {
        return;
    }
    // A rank that is only prepared in this life agreed to nothing; then no rank that did is left.
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
    case phase::spreading:
        return advanceSpreading();
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
    return rank.status->incarnation != rank.readyIncarnation || rank.status->engine != rank.readyEngine
        || rank.status->abandoned >= m_decision.id;
}

bool switch_controller::isReady(const rank_record &rank) const
{
    return isPending(rank) && rank.status->ready;
}

bool switch_controller::isHeld(const rank_record &rank) const
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
        // A group without a map runs no step, so its first map is for every step.
        const bool first = m_from == switch_id {};
        startHolding({ first ? 1 : furthestStep().value + m_settings.stepMargin });
    }
}

step_number switch_controller::furthestStep() const
{
    step_number furthest;
    for (const auto &rank : m_ranks) {
        furthest = std::max(furthest, rank.status->lastPermitted);
    }
    return furthest;
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
    if (std::all_of(m_ranks.begin(), m_ranks.end(), [this](const auto &rank) { return isHeld(rank); })
        && viewsAgree()) {
        return record();
    }
    const auto passed = std::any_of(m_ranks.begin(), m_ranks.end(), [this](const auto &rank) {
        return !isHeld(rank) && rank.status->lastPermitted >= m_decision.step;
    });
    if (passed) {
        if (++m_holdAttempts >= m_settings.holdAttempts) {
            return abandon(result_code::rank_not_ready);
        }
        startHolding({ furthestStep().value + m_settings.stepMargin * (m_holdAttempts + 1) });
    }
}

/**
 * A rank may have restarted after it agreed to hold. Then some other rank knows of its new life, and the views of
 * the ranks differ from the incarnations that agreed.
 */
bool switch_controller::viewsAgree() const
{
    std::vector<incarnation_id> incarnations;
    for (const auto &rank : m_ranks) {
        incarnations.push_back(rank.status->incarnation);
    }
    const std::uint64_t view = checksum(encode(incarnations));
    return std::all_of(m_ranks.begin(), m_ranks.end(),
                       [view](const rank_record &rank) { return rank.status->view == view; });
}

void switch_controller::record()
{
    m_phase = phase::recording;
    m_recordedAt = m_now;
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
        m_phase = phase::spreading;
        m_lastDecision = m_decision;
        sendAll(decide { m_fence, m_decision });
    }
    // With an unknown outcome the ranks stay held; the record is asked for again with the next tick that is due.
}

void switch_controller::advanceSpreading()
{
    const auto uses = [this](const rank_record &rank) { return rank.status->current.id == m_decision.id; };
    const auto cancelled = [this](const rank_record &rank) { return rank.status->abandoned >= m_decision.id; };
    const auto forgot = [&](const rank_record &rank) {
        return rank.status->joined && !uses(rank)
            && !(isPending(rank) && rank.status->pending.phase >= switch_phase::held);
    };
    if (std::all_of(m_ranks.begin(), m_ranks.end(), uses)) {
        m_phase = phase::idle;
        m_actions.emplace_back(switch_completed { m_decision.id });
    } else if (std::any_of(m_ranks.begin(), m_ranks.end(), cancelled)
               || std::all_of(m_ranks.begin(), m_ranks.end(), forgot)) {
        // All ranks agreed among themselves that they did not hear of the decision in time, or all have restarted.
        m_phase = phase::idle;
        m_actions.emplace_back(switch_abandoned { m_decision.id, result_code::deadline_exceeded });
    }
}

void switch_controller::abandon(result_code why)
{
    m_phase = phase::idle;
    sendAll(decide { m_fence, { m_decision.id, m_decision.content, {}, false } });
    m_actions.emplace_back(switch_abandoned { m_decision.id, why });
}

void switch_controller::on(const controller_tick & /*event*/)
{
    if (m_phase == phase::preparing || m_phase == phase::holding) {
        if (anyLost() || m_now > m_deadline) {
            abandon(result_code::rank_not_ready);
        }
    }
    if (m_phase == phase::recording && m_now > m_recordedAt + m_settings.resendEvery) {
        record();
    }
    resend();
}

void switch_controller::resend()
{
    for (std::size_t i = 0; i < m_ranks.size(); ++i) {
        auto &rank = m_ranks[i];
        if (m_now < rank.sentAt + m_settings.resendEvery) {
            continue;
        }
        if (auto message = messageFor(rank)) {
            send(static_cast<rank_number>(i), std::move(*message));
        }
    }
}

std::optional<controller_message> switch_controller::messageFor(const rank_record &rank) const
{
    if (!rank.status || m_now > rank.heardAt + silence() * 2 / 3) {
        return inquire { m_fence };
    }
    if (m_phase == phase::preparing && !isPending(rank)) {
        return prepare { m_fence, m_from, m_map };
    }
    if (m_phase == phase::holding && !isHeld(rank)) {
        return hold { m_fence, m_decision.id, m_decision.step };
    }
    if (m_phase == phase::spreading && isPending(rank) && rank.status->pending.phase == switch_phase::held) {
        return decide { m_fence, m_decision };
    }
    return std::nullopt;
}

void switch_controller::send(rank_number to, controller_message message)
{
    m_ranks[to].sentAt = m_now;
    m_actions.emplace_back(send_rank { to, std::move(message) });
}

void switch_controller::sendAll(const controller_message &message)
{
    for (std::size_t i = 0; i < m_ranks.size(); ++i) {
        send(static_cast<rank_number>(i), message);
    }
}

} // namespace figcleat::group
