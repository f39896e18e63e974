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
    const std::string failure(describe(code).name);
    if (isMoving(state)) {
        recordFailedAttempt(state, failure, "return");
        returnToPrevious(exchange, state);
        return;
    }
    state.lastFailure = code;
    const bool isAllowed = !mayHaveRun || mayRunAgain(state);
    const bool hasTime = state.deadline - m_now >= minTimeLeft;
    const bool mayRetry = isAllowed && hasTime && state.attemptCount < maxStartedAttempts + state.returnedMoves;
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

} // namespace figcleat::forward
