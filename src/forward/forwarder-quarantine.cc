#include "figcleat/forward/forwarder.h"

#include "forwarder-limits.h"

#include <algorithm>

namespace figcleat::forward
{

namespace
{

/** Other fronts tell within this time whether they know the parts of a request to be sound. */
constexpr duration crashReviewTime = std::chrono::milliseconds(200);
/** Below this mean the head of an answer comes together with the first bytes of its body. */
constexpr duration togetherGap = std::chrono::milliseconds(1);
/** Answers after which that mean is known; it is smoothed over about as many. */
constexpr std::uint32_t headGapAnswers = 5;
/** Requests with a suspected part share one target, so they may wait this long for it. */
constexpr duration confinedWait = std::chrono::milliseconds(600);

} // namespace

quarantine_verdict forwarder::reviewPrompt(request_state &state)
{
    const auto &parts = state.request->sharedParts;
    if (parts.empty()) {
        return admit_request {};
    }
    if (state.trialPart) {
        return try_request { *state.trialPart };
    }
    auto verdict = m_quarantine.review(parts, m_now);
    if (const auto *trial = std::get_if<try_request>(&verdict); trial != nullptr) {
        state.trialPart = trial->part;
    }
    if (!std::holds_alternative<admit_request>(verdict)) {
        state.waitUntil = std::max(state.waitUntil, state.arrivedAt + confinedWait);
    }
    return verdict;
}

void forwarder::rejectQuarantined(exchange_id exchange, request_state &state, const reject_request &rejection)
{
    const bool isUntouched = state.executionCount == 0 && !state.isStreaming && !state.fallbackAnswer;
    if (isUntouched) {
        refuse(exchange, state, { result_code::prompt_quarantined, false, rejection.retryAfter });
    } else {
        failRequest(exchange, state, result_code::prompt_quarantined);
    }
}

bool forwarder::isRetryHeld(exchange_id exchange, request_state &state)
{
    if (!state.retryHeldUntil) {
        return false;
    }
    const auto &parts = state.request->sharedParts;
    const bool isSuspect = m_quarantine.isSuspect(parts);
    if (isSuspect && !m_quarantine.isRejected(parts) && m_now < *state.retryHeldUntil) {
        wait(exchange, state);
        return true;
    }
    state.retryHeldUntil.reset();
    if (isSuspect || !takeRetry(state.service)) {
        failRequest(exchange, state, result_code::target_lost);
        return true;
    }
    return false;
}

void forwarder::recordFailureEvidence(request_state &state, const attempt_state &attempt)
{
    const auto &parts = state.request->sharedParts;
    if (attempt.isSound || parts.empty()) {
        return;
    }
    const bool isAtStart
        = attempt.head && isSuccess(attempt.head->status) && !attempt.firstBodyAt && sendsHeadWithBody(state.service);
    const duration stalled = std::max(stalledFor(state.service), m_now - attempt.started.startedAt);
    m_quarantine.onFailure({ attempt.started.incarnation, parts, isAtStart, stalled }, m_now);
    m_actions.emplace_back(probe_target { attempt.started.incarnation, attempt.address });
    if (m_quarantine.isSuspect(parts)) {
        state.retryHeldUntil = m_now + crashReviewTime;
    }
}

void forwarder::recordProgress(const request_state &state, attempt_state &attempt)
{
    if (!attempt.firstBodyAt) {
        attempt.firstBodyAt = m_now;
        recordHeadGap(state.service, m_now - attempt.headAt);
    }
    if (!attempt.isSound && m_now - *attempt.firstBodyAt >= crash_evidence::proofTime) {
        attempt.isSound = true;
        m_quarantine.onSound(state.request->sharedParts, m_now);
    }
}

bool forwarder::sendsHeadWithBody(const service_id &service) const
{
    const auto gap = m_headGaps.find(service);
    return gap != m_headGaps.end() && gap->second.answers >= headGapAnswers && gap->second.mean < togetherGap;
}

duration forwarder::stalledFor(const service_id &service) const
{
    time_point oldest = m_now;
    for (const auto &[number, attempt] : m_attempts) {
        if (!attempt.head && m_requests.at(attempt.exchange).service == service) {
            oldest = std::min(oldest, attempt.started.startedAt);
        }
    }
    const auto begun = m_headGaps.find(service);
    return m_now - (begun == m_headGaps.end() ? oldest : std::max(oldest, begun->second.lastBegunAt));
}

void forwarder::recordHeadGap(const service_id &service, duration gap)
{
    auto &known = m_headGaps[service];
    known.answers = std::min(known.answers + 1, headGapAnswers);
    known.mean += (gap - known.mean) / known.answers;
    known.lastBegunAt = m_now;
}

void forwarder::checkQuarantine(exchange_id exchange, request_state &state)
{
    const auto found = m_attempts.find(state.currentAttempt);
    if (found == m_attempts.end() || found->second.firstBodyAt || state.trialPart
        || !m_quarantine.isRejected(state.request->sharedParts)) {
        return;
    }
    // The target has not begun its answer, so closing the connection may save it.
    if (isMoving(state)) {
        cancelMove(exchange, state, std::string(describe(result_code::prompt_quarantined).name));
        return;
    }
    m_actions.emplace_back(cancel_attempt { state.currentAttempt });
    state.executionCount += 1;
    endAttempt(state, attempt_result::abandoned);
    recordFailedAttempt(state, std::string(describe(result_code::prompt_quarantined).name), "end");
    failRequest(exchange, state, result_code::prompt_quarantined);
}

void forwarder::reportQuarantineChanges()
{
    for (auto &note : m_quarantine.takeNotes()) {
        m_actions.emplace_back(quarantine_changed { std::move(note) });
    }
}

} // namespace figcleat::forward
