#include "figcleat/forward/forwarder.h"

#include "forwarder-limits.h"

#include <algorithm>

namespace figcleat::forward
{

namespace
{

/**
 * Bounds all attempts at a request, also those that the target did not run, for example because it was full. The
 * route's `attempts` bounds those that may have run.
 */
constexpr std::uint32_t maxStartedAttempts = 4;
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
/** A request may wait at least this long for another target after a failed attempt. */
constexpr milliseconds minRetryWait { 100 };
/** A broken stream may wait at least this long for another target; callers abandon it after a pause of two seconds. */
constexpr milliseconds minResumeWait { 500 };

} // namespace

bool forwarder::isIdempotent(const request_state &state) const
{
    return state.matchedRoute->kind == route_kind::safe
        || (state.matchedRoute->kind == route_kind::stream && state.matchedRoute->resumable);
}

bool forwarder::mayRunAgain(const request_state &state) const
{
    return isIdempotent(state) && state.executionCount < state.matchedRoute->attempts;
}

bool forwarder::takeRetry(const service_id &service)
{
    const auto budget = m_budgets.find(service);
    if (budget == m_budgets.end() || !budget->second.takeRetry(m_now)) {
        return false;
    }
    ++m_retries[service];
    return true;
}

void forwarder::retryOrFail(exchange_id exchange, request_state &state, bool mayHaveRun, result_code code)
{
    state.lastFailure = code;
    const bool isAllowed = !mayHaveRun || mayRunAgain(state);
    const bool hasTime = state.deadline - m_now >= minTimeLeft;
    const std::string failure(describe(code).name);
    const bool mayRetry = isAllowed && hasTime && state.attemptCount < maxStartedAttempts;
    if (mayRetry && state.retryHeldUntil) {
        recordFailedAttempt(state, failure, "held");
        state.waitUntil = std::max(state.waitUntil, *state.retryHeldUntil + minRetryWait);
        wait(exchange, state);
        return;
    }
    if (mayRetry && takeRetry(state.service)) {
        recordFailedAttempt(state, failure, "retry");
        state.waitUntil = std::max(state.waitUntil, m_now + (state.isStreaming ? minResumeWait : minRetryWait));
        assignTarget(exchange, state);
        return;
    }
    recordFailedAttempt(state, failure, "end");
    failRequest(exchange, state, code);
}

/**
 * Retries a request elsewhere if its target is slow, or silent while others are active.
 *
 * A silent request stays if fewer than two targets are active: another target would probably not answer sooner. Any
 * request stays while no other target has room for it: its own target may go on, for example once its group does.
 */
void forwarder::checkStalledTarget(exchange_id exchange, request_state &state)
{
    const auto found = m_attempts.find(state.currentAttempt);
    // The current attempt counts as an execution.
    if (found == m_attempts.end() || !isIdempotent(state) || state.executionCount + 1 >= state.matchedRoute->attempts) {
        return;
    }
    if (state.trialPart || m_quarantine.isSuspect(state.request->sharedParts)) {
        // A request that crashes targets is silent before it does.
        return;
    }
    if (m_pool.hasNoUsableTarget(state.service, { found->second.started.incarnation.target }, m_now)) {
        return;
    }
    const bool isSlow = state.isStreaming && m_pool.isSlow(found->second.started.incarnation.target, m_now);
    const milliseconds limit = std::max(minSilence, state.matchedRoute->objective * silenceFactor);
    const bool isSilent
        = m_now - found->second.lastProgress >= limit && m_pool.countActive(state.service, activeWindow, m_now) >= 2;
    if ((isSlow || isSilent) && hasOtherTarget(state) && takeRetry(state.service)) {
        switchTarget(exchange, state, isSlow ? "slow" : "silent");
    }
}

bool forwarder::hasOtherTarget(request_state &state)
{
    const bool isTooSoon = state.otherTargetSoughtAt && m_now - *state.otherTargetSoughtAt < otherTargetPeriod;
    if (isTooSoon || state.deadline - m_now < minTimeLeft) {
        return false;
    }
    state.otherTargetSoughtAt = m_now;
    return chooseTarget(state, admit_request {}).has_value();
}

void forwarder::switchTarget(exchange_id exchange, request_state &state, std::string reason)
{
    m_actions.emplace_back(cancel_attempt { state.currentAttempt });
    state.events.dropPartialEvent();
    state.executionCount += 1;
    state.hasLeftTarget = true;
    state.waitUntil = std::max(state.waitUntil, m_now + (state.isStreaming ? minResumeWait : minRetryWait));
    endAttempt(state, attempt_result::failed);
    recordFailedAttempt(state, std::move(reason), "retry");
    assignTarget(exchange, state);
}

} // namespace figcleat::forward
