#include "figcleat/target/gate.h"

#include "figcleat/core/invariant.h"

#include <algorithm>

namespace figcleat::target
{

namespace
{

/** Fixed share of the time to first piece, in prompt tokens. */
constexpr double basePromptTokens = 256;
/** Without a piece for this long no gap is overdue, however short the gaps were. */
constexpr duration minOverdueGap = std::chrono::seconds(1);

double unitsOf(const work_cost &cost)
{
    return 1.0 + static_cast<double>(cost.promptTokens.count) / basePromptTokens;
}

/** A dispatch takes at least one request and nothing negative, whatever the message says. */
work_cost checkedCost(const work_cost &cost)
{
    return { { std::max<std::int64_t>(cost.requests.count, 1) },
             { std::max<std::int64_t>(cost.promptTokens.count, 0) },
             { std::max<std::int64_t>(cost.generatedTokens.count, 0) } };
}

/** True if more work of this cost fits; it does not overflow. */
bool fits(const work_cost &inProgress, const work_cost &cost, const work_cost &limit)
{
    return cost.requests.count <= limit.requests.count - inProgress.requests.count
        && cost.promptTokens.count <= limit.promptTokens.count - inProgress.promptTokens.count
        && cost.generatedTokens.count <= limit.generatedTokens.count - inProgress.generatedTokens.count;
}

work_cost spareOf(const work_cost &limit, const work_cost &inProgress)
{
    return { std::max(limit.requests - inProgress.requests, request_count {}),
             std::max(limit.promptTokens - inProgress.promptTokens, token_count {}),
             std::max(limit.generatedTokens - inProgress.generatedTokens, token_count {}) };
}

/** True if the reason of a refusal may pass in this incarnation; the others refuse every later copy as well. */
bool mayPass(result_code code)
{
    return code == result_code::data_centre_out || code == result_code::deadline_too_near
        || code == result_code::target_at_limit || code == result_code::attempt_table_full;
}

std::uint64_t micros(duration time)
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(time).count());
}

} // namespace

gate::gate(gate_settings settings)
    : m_settings(std::move(settings))
    , m_level(m_settings.limits)
    , m_firstPiece(m_settings.firstPiece)
    , m_pieceGap(m_settings.pieceGap)
    , m_attempts(m_settings.attempts)
    , m_inService(m_settings.dataCentreInService)
    , m_engine(m_settings.identity.engineIncarnation)
{
    m_firstPiece.expect(m_settings.expectedFirstPiece);
}

std::vector<gate_action> gate::step(const gate_event &event, time_point now)
{
    m_now = now;
    m_actions.clear();
    std::visit([this](const auto &which) { on(which); }, event);
    return std::exchange(m_actions, {});
}

work_cost gate::limit() const
{
    return m_level.limit();
}

work_cost gate::inProgress() const
{
    return m_inProgress;
}

target_state gate::state() const
{
    if (m_draining) {
        return target_state::leaving;
    }
    return m_level.isFull() ? target_state::warm : target_state::cold;
}

const attempt_table &gate::attempts() const
{
    return m_attempts;
}

void gate::on(const dispatch_received &event)
{
    const auto cost = checkedCost(event.message.cost);
    const auto code = judge(event.message, cost);
    if (code == result_code::ok) {
        start(event, cost);
    } else {
        refuseDispatch(event, code);
    }
}

result_code gate::judgeIdentity(const dispatch &message) const
{
    if (message.targetIncarnation != m_settings.identity.incarnation) {
        return result_code::stale_incarnation;
    }
    if (const auto *known = m_attempts.find(message.attempt)) {
        return known->state == attempt_state::never_started ? result_code::attempt_closed
                                                            : result_code::duplicate_attempt;
    }
    const bool claimed = message.claim.fence.value != 0;
    if (claimed && message.claim.fence <= m_attempts.fenceFloor()) {
        return result_code::stale_fence;
    }
    if (m_attempts.isBelowEntryFloor(message.attempt)) {
        return result_code::attempt_closed;
    }
    if (claimed && m_attempts.isKeyStarted(message.claim.key, m_now)) {
        return result_code::duplicate_attempt;
    }
    return result_code::ok;
}

result_code gate::judge(const dispatch &message, const work_cost &cost)
{
    if (const auto code = judgeIdentity(message); code != result_code::ok) {
        return code;
    }
    if (m_draining) {
        return result_code::target_leaving;
    }
    if (!m_inService) {
        return result_code::data_centre_out;
    }
    // The configured expectation bounds the history: a history of a stalled engine would refuse all work, and
    // without work it would never be corrected.
    const auto needed = m_firstPiece.samples() == 0
        ? duration(0)
        : std::min(m_firstPiece.expected(unitsOf(cost)),
                   duration(static_cast<std::int64_t>(m_settings.expectedFirstPiece.count() * unitsOf(cost))));
    if (std::chrono::milliseconds(std::min<std::uint64_t>(message.remainingMs, 1U << 31U)) <= needed) {
        return result_code::deadline_too_near;
    }
    if (!fits(m_inProgress, cost, m_level.limit())) {
        return result_code::target_at_limit;
    }
    return m_attempts.hasRoom(m_now) ? result_code::ok : result_code::attempt_table_full;
}

void gate::start(const dispatch_received &event, const work_cost &cost)
{
    const auto &message = event.message;
    ensure(!m_draining, result_code::invariant_target_leaving, "start while the target is leaving");
    ensure(m_inService, result_code::invariant_data_centre_out, "start while the data centre is out");
    m_attempts.start(message.attempt, message.claim, m_now);
    m_inProgress += cost;
    ensure(m_inProgress.fitsIn(m_level.limit()), result_code::invariant_cold_limit, "work above the limit");

    const auto longest = std::chrono::duration_cast<std::chrono::milliseconds>(m_settings.attempts.keepFor);
    const auto left = std::min<std::uint64_t>(message.remainingMs, static_cast<std::uint64_t>(longest.count()));
    slot work;
    work.from = event.from;
    work.cost = cost;
    work.claimed = message.claim.fence.value != 0;
    work.startedAt = m_now;
    work.lastPieceAt = m_now;
    work.deadline = m_now + std::chrono::milliseconds(left);
    work.epoch = m_level.epoch();
    work.busy = m_level.isBusy(m_inProgress);
    m_actions.emplace_back(run { message.attempt, message.priority, work.deadline, message.call });
    m_slots.emplace(message.attempt, std::move(work));
}

void gate::refuseDispatch(const dispatch_received &event, result_code code)
{
    // A copy of a refused dispatch may arrive when there is room again. It must not run after "not run".
    if (mayPass(code)) {
        m_attempts.bar(event.message.attempt, event.message.claim, m_now);
    }
    m_actions.emplace_back(refuse { event.from, { event.message.attempt, code, m_settings.identity.incarnation } });
}

void gate::on(const cancel_received &event)
{
    const auto found = m_slots.find(event.message.attempt);
    if (found == m_slots.end()) {
        m_attempts.bar(event.message.attempt, {}, m_now);
        return;
    }
    // A claimed call runs to its end, so that its outcome is known.
    if (!found->second.claimed) {
        stop(found, result_code::caller_gone);
    }
}

void gate::on(const close_received &event)
{
    const auto &message = event.message;
    attempt_closed answer { message.attempt, attempt_state::finished, result_code::outcome_unknown, 0, {}, {} };
    if (message.targetIncarnation == m_settings.identity.incarnation && !mayBeForgotten(message)) {
        m_attempts.bar(message.attempt, { message.fence, {} }, m_now);
        answer = describeAttempt(message.attempt);
    }
    answer.targetIncarnation = m_settings.identity.incarnation;
    m_actions.emplace_back(answer_close { event.from, std::move(answer) });
}

bool gate::mayBeForgotten(const close_attempt &message) const
{
    if (message.fence.value == 0 || message.fence > m_attempts.fenceFloor()) {
        return false;
    }
    const auto *known = m_attempts.find(message.attempt);
    return known == nullptr || known->claim.fence != message.fence;
}

attempt_closed gate::describeAttempt(const attempt_id &attempt) const
{
    const auto *record = m_attempts.find(attempt);
    if (record == nullptr) {
        return { attempt, attempt_state::never_started, result_code::ok, 0, {}, {} };
    }
    return { attempt, record->state, record->code, record->httpStatus, record->answer, {} };
}

void gate::on(const entry_lost &event)
{
    for (auto found = m_slots.begin(); found != m_slots.end(); ++found) {
        if (found->second.from == event.address && !found->second.claimed) {
            stop(found, result_code::stream_broken);
        }
    }
}

void gate::on(const engine_piece &event)
{
    const auto found = m_slots.find(event.attempt);
    if (found == m_slots.end() || found->second.stopped) {
        return;
    }
    auto &work = found->second;
    learnFromPiece(work);
    if (work.pieces == 0) {
        work.httpStatus = event.httpStatus;
    }
    if (work.claimed && work.answer.size() <= m_settings.attempts.maxAnswerBytes) {
        work.answer += event.bytes;
    }
    m_actions.emplace_back(
        forward_piece { work.from, { event.attempt, work.pieces, event.httpStatus, event.headers, event.bytes } });
    ++work.pieces;
}

void gate::on(const engine_finished &event)
{
    const auto found = m_slots.find(event.attempt);
    if (found == m_slots.end()) {
        return;
    }
    auto &work = found->second;
    const bool whole = event.complete && work.pieces > 0 && !work.stopped;
    const auto code = work.stopped.value_or(whole ? result_code::ok : result_code::stream_broken);
    if (!work.stopped) {
        m_actions.emplace_back(
            forward_finish { work.from, { event.attempt, code, work.pieces, event.generatedTokens } });
    }
    const bool evidence = whole && work.busy && !work.slow;
    const auto epoch = work.epoch;
    m_attempts.finish(event.attempt, code, work.httpStatus, whole ? std::move(work.answer) : std::string(), m_now);
    release(found);
    if (evidence && m_level.finishedNormally(epoch)) {
        announceNow();
    }
}

void gate::on(const engine_failed &event)
{
    const auto found = m_slots.find(event.attempt);
    if (found == m_slots.end()) {
        return;
    }
    const auto &work = found->second;
    if (!event.provedNotStarted || work.pieces > 0) {
        stop(found, result_code::engine_failed);
        return;
    }
    m_attempts.revoke(event.attempt, m_now);
    if (!work.stopped) {
        m_actions.emplace_back(
            refuse { work.from, { event.attempt, result_code::target_at_limit, m_settings.identity.incarnation } });
    }
    release(found);
    fall();
}

void gate::on(const engine_restarted &event)
{
    if (event.incarnation == m_engine) {
        return;
    }
    m_engine = event.incarnation;
    std::vector<attempt_id> lost;
    for (const auto &[attempt, work] : m_slots) {
        if (std::ranges::find(event.maySurvive, attempt) == event.maySurvive.end()) {
            lost.push_back(attempt);
        }
    }
    std::ranges::sort(lost);
    for (const auto &attempt : lost) {
        const auto found = m_slots.find(attempt);
        auto &work = found->second;
        const auto code = work.stopped.value_or(result_code::engine_failed);
        if (!work.stopped) {
            m_actions.emplace_back(forward_finish { work.from, { attempt, code, work.pieces, {} } });
        }
        m_attempts.finish(attempt, code, work.httpStatus, {}, m_now);
        release(found);
    }
    m_level.fall();
    announceNow();
}

void gate::on(const limits_changed &event)
{
    m_level.setLimits(event.limits);
    announceNow();
}

void gate::on(const data_centre_service &event)
{
    if (event.inService && !m_inService) {
        m_level.fall();
    }
    m_inService = event.inService;
    announceNow();
}

void gate::on(const drain & /*event*/)
{
    m_draining = true;
    announceNow();
    checkDrained();
}

void gate::on(const tick & /*event*/)
{
    for (auto found = m_slots.begin(); found != m_slots.end(); ++found) {
        auto &work = found->second;
        if (work.stopped) {
            continue;
        }
        checkOverdue(work);
        if (m_now >= work.deadline && !work.claimed) {
            stop(found, result_code::deadline_exceeded);
        }
    }
    if (m_now >= m_nextAnnounce) {
        announceNow();
    }
}

void gate::stop(slot_map::iterator found, result_code code)
{
    auto &work = found->second;
    if (work.stopped) {
        return;
    }
    work.stopped = code;
    m_actions.emplace_back(forward_finish { work.from, { found->first, code, work.pieces, {} } });
    m_actions.emplace_back(cancel_engine { found->first });
}

void gate::release(slot_map::iterator found)
{
    m_inProgress -= found->second.cost;
    m_slots.erase(found);
    ensure(work_cost {}.fitsIn(m_inProgress), result_code::invariant_internal, "slot released twice");
    checkDrained();
}

void gate::learnFromPiece(slot &work)
{
    const auto waited = m_now - std::exchange(work.lastPieceAt, m_now);
    const bool recovering = !m_level.isFull();
    const bool counted = std::exchange(work.overdue, 0) > 0;
    if (work.pieces == 0) {
        const auto value = m_firstPiece.observe(waited, unitsOf(work.cost), recovering);
        work.slow = work.slow || value != reading::normal;
        if (value == reading::alarm && !counted) {
            takeAlarm(work);
        }
        return;
    }
    const bool isLong = m_pieceGap.observe(waited, 1, recovering) == reading::alarm;
    work.longGaps = isLong ? work.longGaps + 1 : 0;
    if (work.longGaps >= m_settings.longGaps) {
        takeAlarm(work);
    }
}

void gate::takeAlarm(slot &work)
{
    work.slow = true;
    // Work from before the last fall says nothing new.
    if (work.epoch >= m_level.fallEpoch()) {
        fall();
    }
}

void gate::checkOverdue(slot &work)
{
    // A wait counts again at each multiple of the threshold, so that a single stalled attempt is enough.
    const auto waited = (m_now - work.lastPieceAt) / (work.overdue + 1);
    if (work.pieces > 0) {
        if (work.overdue == 0 && waited >= minOverdueGap && m_pieceGap.isOver(waited / m_settings.longGaps, 1)) {
            work.overdue = 1;
            takeAlarm(work);
        }
    } else if (m_firstPiece.isOver(waited, unitsOf(work.cost))) {
        ++work.overdue;
        if (m_firstPiece.countOverdue()) {
            takeAlarm(work);
        }
    }
}

void gate::fall()
{
    if (m_level.fall()) {
        announceNow();
    }
}

void gate::announceNow()
{
    announce message = m_settings.identity;
    message.engineIncarnation = m_engine;
    message.state = state();
    message.limit = m_level.limit();
    message.spare = m_draining || !m_inService ? work_cost {} : spareOf(message.limit, m_inProgress);
    message.firstPieceMicros = micros(m_firstPiece.expected(1));
    message.pieceGapMicros = micros(m_pieceGap.expected(1));
    message.sequence = ++m_sequence;
    m_nextAnnounce = m_now + m_settings.announceEvery;
    m_actions.emplace_back(announce_state { std::move(message) });
}

void gate::checkDrained()
{
    if (!m_draining || m_drained || !m_slots.empty()) {
        return;
    }
    m_drained = true;
    m_actions.emplace_back(drained {});
}

} // namespace figcleat::target
