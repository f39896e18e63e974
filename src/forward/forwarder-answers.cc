#include "figcleat/forward/forwarder.h"

#include "forwarder-limits.h"

#include <algorithm>
#include <utility>

namespace figcleat::forward
{

attempt_stage forwarder::stageOf(const attempt_state &attempt, attempt_result result)
{
    if (result == attempt_result::unreachable) {
        return attempt_stage::unsent;
    }
    if (!attempt.head) {
        return attempt_stage::no_answer;
    }
    return attempt.firstBodyAt ? attempt_stage::writing : attempt_stage::head_only;
}

forwarder::ended_attempt forwarder::describeAttempt(const attempt_state &attempt, attempt_result result) const
{
    return { attempt.started.incarnation, stageOf(attempt, result), m_now - attempt.started.startedAt,
             attempt.head ? attempt.head->targetAtFault : target_id {} };
}

void forwarder::endAttempt(request_state &state, attempt_result result)
{
    if (isMoving(state)) {
        m_moveTargets.erase(state.lastTarget);
    }
    closeAttempt(state, std::exchange(state.currentAttempt, {}), result);
}

void forwarder::closeAttempt(request_state &state, attempt_number number, attempt_result result)
{
    const auto found = m_attempts.find(number);
    if (found != m_attempts.end()) {
        const auto &attempt = found->second;
        state.lastAttempt = describeAttempt(attempt, result);
        m_pool.onEnded(attempt.started, result, attempt.readsPrompt, m_now);
        m_attempts.erase(found);
    }
    updateBufferedBytes(state);
}

void forwarder::updateBufferedBytes(request_state &state)
{
    std::size_t buffered = 0;
    for (const attempt_number number : { state.currentAttempt, state.previousAttempt }) {
        const auto attempt = m_attempts.find(number);
        buffered += attempt == m_attempts.end() ? 0 : attempt->second.body.size();
    }
    buffered += state.fallbackAnswer ? state.fallbackAnswer->body.size() : 0;
    buffered += state.events.partialBytes();
    m_bufferedBytes = m_bufferedBytes - state.bufferedBytes + buffered;
    state.bufferedBytes = buffered;
}

void forwarder::handle(const answer_started &event)
{
    const auto found = m_attempts.find(event.attempt);
    if (found == m_attempts.end()) {
        return;
    }
    // The notices come first, as evaluating the answer may already assign requests to targets.
    for (const auto &notice : event.head.notices) {
        const auto &incarnation = found->second.started.incarnation;
        if (m_pool.onNotice(incarnation, notice, m_now)) {
            m_actions.emplace_back(
                notice_applied { m_requests.at(found->second.exchange).request->id, incarnation, notice });
        }
    }
    evaluateAnswer(event, found->second);
    if (!event.head.notices.empty()) {
        // Reassesses the waiting requests: those left without a usable target by the notices are refused.
        assignWaitingRequests();
    }
}

void forwarder::evaluateAnswer(const answer_started &event, attempt_state &attempt)
{
    attempt.lastProgress = m_now;
    attempt.headAt = m_now;
    attempt.head = event.head;
    const exchange_id exchange = attempt.exchange;
    auto &state = m_requests.at(exchange);
    state.headerTime = m_now - attempt.started.startedAt;
    if (event.head.load) {
        m_pool.onLoad(attempt.started.incarnation.target, *event.head.load, m_now);
    }
    if (event.attempt == state.previousAttempt && !evaluatePreviousHead(exchange, state, event.head)) {
        return;
    }
    if (event.head.isCorrupt) {
        m_actions.emplace_back(cancel_attempt { event.attempt });
        state.executionCount += 1;
        endAttempt(state, attempt_result::failed);
        retryOrFail(exchange, state, true, result_code::engine_failed);
        return;
    }
    if (event.head.notRun) {
        m_actions.emplace_back(cancel_attempt { event.attempt });
        // A fault of another member of the group says nothing about the address.
        const bool isMisdirected = event.head.isOtherTarget && event.head.targetAtFault.value.empty();
        endAttempt(state, isMisdirected ? attempt_result::misdirected : attempt_result::shed);
        retryOrFail(exchange, state, false,
                    event.head.isOtherTarget ? result_code::target_lost : result_code::target_at_limit);
        return;
    }
    m_pool.onProgress(attempt.started.incarnation.target, m_now);
    if (event.head.status < firstErrorStatus) {
        m_pool.onAccepted(attempt.started);
    }
    const bool isStream
        = state.matchedRoute->kind == route_kind::stream && event.head.isEventStream && isSuccess(event.head.status);
    if (event.attempt == state.currentAttempt && !state.isStreaming && event.head.status < firstErrorStatus) {
        completeMove(state);
    }
    if (isStream && !state.isStreaming) {
        state.isStreaming = true;
        state.streamStatus = event.head.status;
        m_actions.emplace_back(start_event_stream { exchange, event.head });
    } else if (state.isStreaming && !isStream) {
        // The caller has received part of an event stream; no other kind of body may follow.
        m_actions.emplace_back(cancel_attempt { event.attempt });
        state.executionCount += 1;
        endAttempt(state, attempt_result::failed);
        retryOrFail(exchange, state, true, result_code::engine_failed);
        assignWaitingRequests();
    }
}

void forwarder::handle(const answer_bytes &event)
{
    const auto found = m_attempts.find(event.attempt);
    if (found == m_attempts.end()) {
        return;
    }
    auto &attempt = found->second;
    const duration pause = m_now - std::exchange(attempt.lastProgress, m_now);
    m_pool.onProgress(attempt.started.incarnation.target, m_now);
    const exchange_id exchange = attempt.exchange;
    auto &state = m_requests.at(exchange);
    recordProgress(state, attempt);
    if (state.isStreaming) {
        recordPause(state, attempt, pause);
    }
    if (event.attempt == state.previousAttempt) {
        if (holdBack(state, attempt, event.bytes)) {
            return;
        }
        cancelMove(exchange, state, "overtaken");
        if (!m_requests.contains(exchange)) {
            return;
        }
    } else if (attempt.head && attempt.head->status < firstErrorStatus) {
        completeMove(state);
    }
    if (state.isStreaming) {
        forwardEvents(exchange, state, event.bytes);
        return;
    }
    attempt.body += event.bytes;
    updateBufferedBytes(state);
    if (attempt.body.size() > maxAnswerBytes || m_bufferedBytes > m_settings.maxBufferedBytes) {
        m_actions.emplace_back(cancel_attempt { event.attempt });
        state.executionCount += 1;
        endAttempt(state, attempt_result::failed);
        retryOrFail(exchange, state, true, result_code::buffer_full);
    }
}

void forwarder::recordPause(const request_state &state, attempt_state &attempt, duration pause)
{
    auto &pace = m_paceControllers[state.service];
    if (std::exchange(attempt.readsPrompt, false)) {
        m_pool.onPromptRead(attempt.started.incarnation.target);
    } else {
        pace.onPause(pause, state.matchedRoute->maxGap, m_now);
    }
}

void forwarder::forwardEvents(exchange_id exchange, request_state &state, std::string_view bytes)
{
    std::string completeEvents = state.events.push(bytes);
    updateBufferedBytes(state);
    if (!completeEvents.empty()) {
        if (state.firstByteAt) {
            state.longestPause = std::max(state.longestPause, m_now - state.lastEventAt);
        }
        state.lastEventAt = m_now;
        state.firstByteAt = state.firstByteAt.value_or(m_now);
        m_actions.emplace_back(send_events { exchange, std::move(completeEvents) });
    }
    if (state.events.isTooLong() || m_bufferedBytes > m_settings.maxBufferedBytes) {
        m_actions.emplace_back(cancel_attempt { state.currentAttempt });
        state.executionCount += 1;
        endAttempt(state, attempt_result::failed);
        failRequest(exchange, state, result_code::buffer_full);
    }
}

void forwarder::handle(const answer_ended &event)
{
    const auto found = m_attempts.find(event.attempt);
    if (found == m_attempts.end()) {
        return;
    }
    auto &attempt = found->second;
    const exchange_id exchange = attempt.exchange;
    auto &state = m_requests.at(exchange);
    if (event.attempt == state.previousAttempt) {
        cancelMove(exchange, state, "overtaken");
        if (!m_requests.contains(exchange)) {
            return;
        }
    } else if (attempt.head && attempt.head->status < firstErrorStatus) {
        completeMove(state);
    }
    state.executionCount += 1;
    if (state.isStreaming && state.events.hasPartialEvent()) {
        recordFailureEvidence(state, attempt);
    } else if (!attempt.isSound && attempt.firstBodyAt && isSuccess(attempt.head->status)) {
        m_quarantine.onSound(state.request->sharedParts, m_now);
    }
    finishAnswer(exchange, state, std::move(*attempt.head), std::move(attempt.body));
    assignWaitingRequests();
}

void forwarder::finishAnswer(exchange_id exchange, request_state &state, answer_head head, std::string body)
{
    if (state.isStreaming) {
        const bool isComplete = !state.events.hasPartialEvent();
        state.events.dropPartialEvent();
        endAttempt(state, isComplete ? attempt_result::answered : attempt_result::failed);
        if (!isComplete) {
            retryOrFail(exchange, state, true, result_code::stream_broken);
            return;
        }
        m_actions.emplace_back(end_event_stream { exchange });
        finish(exchange, state, result_code::ok, head.status);
        return;
    }
    if (head.status >= firstErrorStatus) {
        state.fallbackAnswer = send_answer { exchange, std::move(head), std::move(body) };
        endAttempt(state, attempt_result::failed);
        retryOrFail(exchange, state, true, result_code::engine_failed);
        return;
    }
    endAttempt(state, attempt_result::answered);
    state.firstByteAt = state.firstByteAt.value_or(m_now);
    const int status = head.status;
    m_actions.emplace_back(send_answer { exchange, std::move(head), std::move(body) });
    finish(exchange, state, result_code::ok, status);
}

void forwarder::handle(const attempt_failed &event)
{
    const auto found = m_attempts.find(event.attempt);
    if (found == m_attempts.end()) {
        return;
    }
    const exchange_id exchange = found->second.exchange;
    auto &state = m_requests.at(exchange);
    const bool isPrevious = event.attempt == state.previousAttempt;
    if (isPrevious || !isMoving(state)) {
        state.events.dropPartialEvent();
    }
    state.executionCount += event.notSent ? 0 : 1;
    if (event.notSent) {
        m_quarantine.onTargetDown(found->second.started.incarnation, m_now);
    } else {
        recordFailureEvidence(state, found->second);
    }
    const auto result = event.notSent ? attempt_result::unreachable : attempt_result::failed;
    if (isPrevious) {
        endPrevious(state, result, std::string(describe(result_code::target_lost).name));
    } else {
        endAttempt(state, result);
        retryOrFail(exchange, state, !event.notSent, result_code::target_lost);
    }
    assignWaitingRequests();
}

} // namespace figcleat::forward
