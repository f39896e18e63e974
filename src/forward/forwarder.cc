#include "figcleat/forward/forwarder.h"

#include "forwarder-limits.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace figcleat::forward
{

namespace
{

/** Node count assumed until a coordinator reports the actual one. */
constexpr std::uint32_t assumedNodes = 16;
/** Share of the fleet-wide retry budget that the nodes use together; the remainder covers outdated node counts. */
constexpr double usableBudgetShare = 0.7;
/** Callers honour a retry delay of up to their remaining time divided by this number. */
constexpr int retryDelayDivisor = 3;
/** Shortest retry delay as a share of the longest: a lack of capacity or of targets lasts a while. */
constexpr double minRetryDelayShare = 0.6;

} // namespace

std::string_view toString(attempt_stage stage)
{
    switch (stage) {
    case attempt_stage::unsent:
        return "unsent";
    case attempt_stage::no_answer:
        return "no_answer";
    case attempt_stage::head_only:
        return "head_only";
    case attempt_stage::writing:
        return "writing";
    }
    return "";
}

std::string_view toString(cut_cause cause)
{
    switch (cause) {
    case cut_cause::deadline:
        return "deadline";
    case cut_cause::planned_stop:
        return "planned_stop";
    case cut_cause::left_target:
        return "left_target";
    case cut_cause::target_lost:
        return "target_lost";
    case cut_cause::quarantine:
        return "quarantine";
    case cut_cause::buffer_full:
        return "buffer_full";
    case cut_cause::slow_caller:
        return "slow_caller";
    }
    return "";
}

forwarder::forwarder(forwarder_settings settings)
    : m_settings(std::move(settings))
    , m_pool(m_settings.pool)
    , m_quarantine(m_settings.self, m_settings.incarnation)
    , m_nodes(assumedNodes)
    , m_random(m_settings.seed)
{
}

void forwarder::setRoutes(std::shared_ptr<const route_index> routes)
{
    m_routes = std::move(routes);
    m_pool.setRoutes(m_routes);
    m_answerTimes.clear();
}

void forwarder::setNodeCount(std::uint32_t nodes)
{
    if (nodes != m_nodes) {
        m_nodes = std::max<std::uint32_t>(1, nodes);
        m_pool.setNodeCount(m_nodes);
        m_budgets.clear();
    }
}

target_pool &forwarder::pool()
{
    return m_pool;
}

part_quarantine &forwarder::quarantine()
{
    return m_quarantine;
}

const part_quarantine &forwarder::quarantine() const
{
    return m_quarantine;
}

std::size_t forwarder::requestsInProgress() const
{
    return m_requests.size();
}

std::uint32_t forwarder::nodeCount() const
{
    return m_nodes;
}

bool forwarder::hasRoutes() const
{
    return m_routes != nullptr;
}

std::vector<forward_action> forwarder::step(const forward_event &event, time_point now)
{
    m_now = now;
    std::visit([this](const auto &received) { handle(received); }, event);
    reportQuarantineChanges();
    return std::exchange(m_actions, {});
}

void forwarder::handle(const request_arrived &event)
{
    auto &state = m_requests[event.exchange];
    state.request = std::make_shared<const caller_request>(event.request);
    state.arrivedAt = m_now;
    if (const auto refused = admit(state, event.request); refused) {
        refuse(event.exchange, state, *refused);
        return;
    }
    const auto service = pickService(*state.matchedRoute);
    if (isServiceFull(service)) {
        refuse(event.exchange, state, { result_code::queue_full, false, defaultRetryDelay });
        return;
    }
    state.service = service;
    ++m_requestCounts[service];
    auto &budget = m_budgets
                       .try_emplace(state.service,
                                    request::retry_budget_settings {
                                        usableBudgetShare * m_settings.retryShare,
                                        static_cast<std::uint64_t>(usableBudgetShare * m_settings.retrySlack / m_nodes),
                                        m_settings.retryWindow })
                       .first->second;
    budget.firstAttempt(m_now);
    assignTarget(event.exchange, state);
}

void forwarder::handle(const caller_disconnected &event)
{
    const auto found = m_requests.find(event.exchange);
    if (found == m_requests.end()) {
        return;
    }
    auto &state = found->second;
    if (state.currentAttempt != attempt_number {}) {
        m_actions.emplace_back(cancel_attempt { state.currentAttempt });
        endAttempt(state, attempt_result::abandoned);
    }
    finish(event.exchange, state, result_code::caller_gone, state.streamStatus,
           event.isTooSlow ? std::optional(cut_cause::slow_caller) : std::nullopt);
    assignWaitingRequests();
}

void forwarder::handle(const target_probed &event)
{
    if (event.isDown) {
        m_quarantine.onTargetDown(event.incarnation, m_now);
    } else {
        m_quarantine.onTargetUp(event.incarnation, m_now);
    }
    assignWaitingRequests();
}

void forwarder::handle(const quarantine_received &event)
{
    m_quarantine.merge(event.update, m_now);
    checkRequests();
}

void forwarder::checkStall()
{
    const time_point last = std::exchange(m_lastTickAt, m_now).value_or(m_now);
    if (m_now - last > maxTickGap) {
        m_actions.emplace_back(node_stalled { m_now - last });
        m_resumedAt = m_now;
    }
}

void forwarder::handle(const forward_tick & /*event*/)
{
    checkStall();
    m_quarantine.tick(m_now);
    updatePaceControllers();
    checkRequests();
    m_pool.removeUnknownTargets();
}

void forwarder::checkRequests()
{
    assignWaitingRequests();
    std::vector<exchange_id> exchanges;
    exchanges.reserve(m_requests.size());
    for (const auto &entry : m_requests) {
        exchanges.push_back(entry.first);
    }
    for (const exchange_id exchange : exchanges) {
        if (const auto found = m_requests.find(exchange); found != m_requests.end()) {
            checkDeadline(exchange, found->second);
        }
        if (const auto found = m_requests.find(exchange); found != m_requests.end()) {
            checkHeldEvents(exchange, found->second);
        }
        if (const auto found = m_requests.find(exchange); found != m_requests.end()) {
            checkStalledTarget(exchange, found->second);
        }
        if (const auto found = m_requests.find(exchange); found != m_requests.end()) {
            checkQuarantine(exchange, found->second);
        }
    }
}

void forwarder::checkDeadline(exchange_id exchange, request_state &state)
{
    if (m_now < state.deadline) {
        return;
    }
    if (state.currentAttempt != attempt_number {}) {
        m_actions.emplace_back(cancel_attempt { state.currentAttempt });
        state.executionCount += 1;
        endAttempt(state, attempt_result::abandoned);
    }
    failRequest(exchange, state, state.isCutByStop ? result_code::entry_stopping : result_code::deadline_exceeded);
}

void forwarder::failRequest(exchange_id exchange, request_state &state, result_code code)
{
    if (state.isStreaming) {
        m_actions.emplace_back(abort_answer { exchange });
        finish(exchange, state, code, state.streamStatus, cutCauseOf(state, code));
        return;
    }
    if (state.fallbackAnswer) {
        m_actions.emplace_back(*state.fallbackAnswer);
        finish(exchange, state, code, state.fallbackAnswer->head.status);
        return;
    }
    refusal details { code, state.executionCount > 0, std::nullopt };
    if (!details.mayHaveRun) {
        details.retryAfter = retryDelay(state);
    }
    refuse(exchange, state, details);
}

cut_cause forwarder::cutCauseOf(const request_state &state, result_code code)
{
    switch (code) {
    case result_code::entry_stopping:
        return cut_cause::planned_stop;
    case result_code::deadline_exceeded:
    case result_code::deadline_too_near:
        return state.isCutByStop ? cut_cause::planned_stop : cut_cause::deadline;
    case result_code::prompt_quarantined:
        return cut_cause::quarantine;
    case result_code::buffer_full:
        return cut_cause::buffer_full;
    default:
        return state.hasLeftTarget ? cut_cause::left_target : cut_cause::target_lost;
    }
}

/**
 * Draws a random retry delay from the later part of the range that callers honour, so that callers do not all retry
 * at once.
 *
 * If all targets are in backoff, the range starts at the end of the earliest backoff, unless that exceeds the longest
 * delay that callers honour.
 */
milliseconds forwarder::retryDelay(const request_state &state)
{
    const auto remainingMs = std::chrono::duration<double, std::milli>(state.deadline - m_now).count();
    const double longestMs = std::max(0.0, remainingMs) / retryDelayDivisor;
    double shortestMs = minRetryDelayShare * longestMs;
    if (const auto backoffEnd = m_pool.earliestBackoffEnd(state.service, m_now); backoffEnd) {
        const double backoffMs = std::ceil(std::chrono::duration<double, std::milli>(*backoffEnd - m_now).count());
        shortestMs = backoffMs < longestMs ? backoffMs : shortestMs;
    }
    std::uniform_real_distribution<double> delay(
        shortestMs, std::min(longestMs, shortestMs + (1 - minRetryDelayShare) * longestMs));
    return milliseconds(static_cast<std::int64_t>(delay(m_random)));
}

void forwarder::refuse(exchange_id exchange, request_state &state, const refusal &details)
{
    m_actions.emplace_back(refuse_request { exchange, details });
    finish(exchange, state, details.code, 0);
}

void forwarder::finish(exchange_id exchange, request_state &state, result_code code, int status,
                       std::optional<cut_cause> cut)
{
    if (isMoving(state)) {
        m_actions.emplace_back(cancel_attempt { state.previousAttempt });
        closeAttempt(state, std::exchange(state.previousAttempt, {}), attempt_result::abandoned);
    }
    request_finished ended;
    ended.id = state.request->id;
    ended.request = state.request;
    ended.route = state.matchedRoute == nullptr ? route_id {} : state.matchedRoute->name;
    ended.workspace = state.workspace;
    ended.service = state.service;
    ended.target = state.lastTarget;
    ended.code = code;
    ended.status = status;
    ended.cut = cut;
    ended.attempts = state.attemptCount;
    ended.queueTime = state.firstAttemptAt.value_or(m_now) - state.arrivedAt;
    ended.headerTime = state.headerTime;
    ended.firstByteTime = state.firstByteAt.value_or(m_now) - state.arrivedAt;
    ended.totalTime = m_now - state.arrivedAt;
    ended.longestPause = state.longestPause;
    if (code != result_code::ok && state.isStreaming && state.firstByteAt) {
        ended.longestPause = std::max(ended.longestPause, m_now - state.lastEventAt);
    }
    ended.isLate = state.matchedRoute != nullptr
        && (ended.firstByteTime > state.matchedRoute->objective
            || (state.isStreaming && state.matchedRoute->maxGap.count() > 0
                && ended.longestPause > state.matchedRoute->maxGap));
    if (code == result_code::ok) {
        m_answerTimes.record(state.matchedRoute->name, ended.totalTime - ended.queueTime);
    }
    ended.configurationVersion = state.routes ? state.routes->version() : 0;
    m_actions.emplace_back(std::move(ended));
    m_bufferedBytes -= state.bufferedBytes;
    m_waiting.remove(exchange);
    if (const auto count = m_requestCounts.find(state.service); count != m_requestCounts.end()) {
        count->second -= std::min<std::size_t>(1, count->second);
    }
    m_requests.erase(exchange);
}

void forwarder::recordFailedAttempt(const request_state &state, std::string outcome, std::string next)
{
    const auto &ended = state.lastAttempt;
    m_actions.emplace_back(failed_attempt { state.request->id, ended.incarnation, std::move(outcome), std::move(next),
                                            ended.stage, ended.age, ended.targetAtFault, state.request });
}

} // namespace figcleat::forward
