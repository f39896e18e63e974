#include "figcleat/forward/forwarder.h"

#include "forwarder-limits.h"

#include <algorithm>
#include <utility>

namespace figcleat::forward
{

namespace
{

/**
 * An idempotent request moves to another target when no byte has arrived for this multiple of the route's objective,
 * either before the answer or within a stream.
 */
constexpr int silenceFactor = 2;
constexpr milliseconds minSilence { 700 };
/** A target counts as active if it sent bytes within this time. */
constexpr duration activeWindow = std::chrono::milliseconds(300);
/** Pause between two searches for another target, each of which looks at all targets of the service. */
constexpr milliseconds otherTargetPeriod { 50 };
/** Events of a slow target wait at most this long for the target that is to take over. */
constexpr duration maxHold = minSilence;
/** A request stays at its target after so many moves that were refused or overtaken. */
constexpr std::uint32_t maxReturnedMoves = 3;

} // namespace

bool forwarder::isMoving(const request_state &state)
{
    return state.previousAttempt != attempt_number {};
}

/**
 * Moves a request elsewhere if its target is slow, or silent while others are active.
 *
 * A silent request stays if fewer than two targets are active: another target would probably not answer sooner. Any
 * request stays while no other target has room for it: its own target may go on, for example once its group does.
 */
void forwarder::checkStalledTarget(exchange_id exchange, request_state &state)
{
    const auto found = m_attempts.find(state.currentAttempt);
    // The current attempt counts as an execution.
    if (found == m_attempts.end() || isMoving(state) || state.returnedMoves >= maxReturnedMoves || !isIdempotent(state)
        || state.executionCount + 1 >= state.matchedRoute->attempts) {
        return;
    }
    const auto &parts = state.request->sharedParts;
    if (state.trialPart || m_quarantine.isSuspect(parts) || m_quarantine.isRejected(parts)) {
        // A request that crashes targets is silent before it does.
        return;
    }
    if (m_pool.hasNoUsableTarget(state.service, { found->second.started.incarnation.target }, m_now)) {
        return;
    }
    const bool isSlow = state.isStreaming && m_pool.isSlow(found->second.started.incarnation.target, m_now);
    const milliseconds limit = std::max(minSilence, state.matchedRoute->objective * silenceFactor);
    const bool isSilent = m_now - std::max(found->second.lastProgress, m_resumedAt) >= limit
        && m_pool.countActive(state.service, activeWindow, m_now) >= 2;
    if (!isSlow && !isSilent) {
        return;
    }
    if (const auto target = findOtherTarget(state); target && takeRetry(state.service)) {
        startMove(exchange, state, *target, isSlow ? "slow" : "silent");
    }
}

std::optional<directory_entry> forwarder::findOtherTarget(request_state &state)
{
    const bool isTooSoon = state.otherTargetSoughtAt && m_now - *state.otherTargetSoughtAt < otherTargetPeriod;
    if (isTooSoon || state.deadline - m_now < minTimeLeft) {
        return std::nullopt;
    }
    state.otherTargetSoughtAt = m_now;
    const auto target = chooseTarget(state, admit_request {}, m_moveTargets);
    return target ? std::optional(*target) : std::nullopt;
}

void forwarder::startMove(exchange_id exchange, request_state &state, const directory_entry &target, std::string reason)
{
    state.lastAttempt = describeAttempt(m_attempts.at(state.currentAttempt), attempt_result::failed);
    state.holdsPrevious = reason == "slow";
    recordFailedAttempt(state, std::move(reason), "move");
    state.previousAttempt = state.currentAttempt;
    m_moveTargets.insert(target.latest.target);
    startAttempt(exchange, state, target);
}

void forwarder::completeMove(request_state &state)
{
    if (!isMoving(state)) {
        return;
    }
    m_actions.emplace_back(cancel_attempt { state.previousAttempt });
    state.executionCount += 1;
    state.hasLeftTarget = true;
    state.events.dropPartialEvent();
    state.heldSince.reset();
    m_moveTargets.erase(state.lastTarget);
    closeAttempt(state, std::exchange(state.previousAttempt, {}), attempt_result::failed);
}

void forwarder::returnToPrevious(exchange_id exchange, request_state &state)
{
    state.currentAttempt = std::exchange(state.previousAttempt, {});
    state.returnedMoves += 1;
    state.heldSince.reset();
    auto &attempt = m_attempts.at(state.currentAttempt);
    state.lastTarget = attempt.started.incarnation.target;
    if (state.isStreaming && !attempt.body.empty()) {
        const std::string held = std::exchange(attempt.body, {});
        updateBufferedBytes(state);
        forwardEvents(exchange, state, held);
    }
}

void forwarder::cancelMove(exchange_id exchange, request_state &state, std::string reason)
{
    m_actions.emplace_back(cancel_attempt { state.currentAttempt });
    state.executionCount += 1;
    endAttempt(state, attempt_result::abandoned);
    recordFailedAttempt(state, std::move(reason), "return");
    returnToPrevious(exchange, state);
}

void forwarder::checkHeldEvents(exchange_id exchange, request_state &state)
{
    if (state.heldSince && m_now - *state.heldSince >= maxHold) {
        cancelMove(exchange, state, "overtaken");
    }
}

bool forwarder::evaluatePreviousHead(exchange_id exchange, request_state &state, const answer_head &head)
{
    const bool isUnusable = head.isCorrupt || head.notRun || head.status >= firstErrorStatus
        || (state.isStreaming && !(head.isEventStream && isSuccess(head.status)));
    if (isUnusable) {
        m_actions.emplace_back(cancel_attempt { state.previousAttempt });
        state.executionCount += head.notRun ? 0 : 1;
        const auto code = head.notRun ? result_code::target_at_limit : result_code::engine_failed;
        endPrevious(state, head.notRun ? attempt_result::shed : attempt_result::failed,
                    std::string(describe(code).name));
        return false;
    }
    if (!state.holdsPrevious) {
        cancelMove(exchange, state, "overtaken");
    }
    return true;
}

void forwarder::endPrevious(request_state &state, attempt_result result, std::string reason)
{
    state.heldSince.reset();
    m_moveTargets.erase(state.lastTarget);
    closeAttempt(state, std::exchange(state.previousAttempt, {}), result);
    recordFailedAttempt(state, std::move(reason), "move");
}

bool forwarder::holdBack(request_state &state, attempt_state &previous, std::string_view bytes)
{
    if (!state.holdsPrevious || previous.body.size() + bytes.size() > event_splitter::maxEventBytes
        || m_bufferedBytes + bytes.size() > m_settings.maxBufferedBytes) {
        return false;
    }
    previous.body += bytes;
    state.heldSince = state.heldSince.value_or(m_now);
    updateBufferedBytes(state);
    return true;
}

} // namespace figcleat::forward
