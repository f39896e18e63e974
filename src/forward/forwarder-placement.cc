#include "figcleat/forward/forwarder.h"

#include "figcleat/core/overloaded.h"
#include "forwarder-limits.h"

#include <algorithm>
#include <cmath>

namespace figcleat::forward
{

namespace
{

/** Time constant, in seconds, of the smoothed rate of attempts. */
constexpr double rateTimeConstant = 1.0;
/** Queue length that is always allowed, so that a node with few requests can queue at all. */
constexpr double minQueueLength = 1;

} // namespace

void forwarder::assignTarget(exchange_id exchange, request_state &state)
{
    if (state.deadline - m_now < minTimeLeft) {
        failRequest(exchange, state, result_code::deadline_too_near);
        return;
    }
    if (isRetryHeld(exchange, state)) {
        return;
    }
    const auto verdict = reviewPrompt(state);
    if (const auto *rejection = std::get_if<reject_request>(&verdict); rejection != nullptr) {
        rejectQuarantined(exchange, state, *rejection);
        return;
    }
    const auto target = chooseTarget(state, verdict);
    if (target) {
        startAttempt(exchange, state, *target);
        return;
    }
    // Without a target the stream in progress breaks, so the request waits if a backoff ends soon enough.
    const bool canAwaitBackoffEnd = state.isStreaming
        && m_pool.earliestBackoffEnd(state.service, m_now).value_or(time_point::max()) < state.waitUntil;
    const bool cannotWait = !canAwaitBackoffEnd
        && (m_pool.hasNoUsableTarget(state.service, {}, m_now) || (!state.isWaiting && isQueueFull(state)));
    if (m_now >= state.waitUntil || cannotWait) {
        failRequest(exchange, state, target.error().code);
        return;
    }
    state.isWaiting = true;
    m_waiting.push_back(exchange);
}

expected<directory_entry> forwarder::chooseTarget(const request_state &state, const quarantine_verdict &verdict)
{
    const auto limits = limitsFor(state);
    const auto confined = [&](const prompt_part_id &part) {
        return m_pool.chooseConfined(state.service, part, state.triedTargets, limits, m_now);
    };
    const auto any = [&] {
        auto target = m_pool.choose(state.service, state.triedTargets, limits, m_now);
        if (!target && target.error().code == result_code::no_target && !state.triedTargets.empty()
            && isIdempotent(state)) {
            // No untried target is usable. One that failed earlier is better than none, so only the last one stays
            // excluded.
            target = m_pool.choose(state.service, { state.lastTarget }, limits, m_now);
        }
        return target;
    };
    return std::visit(overloaded { [&](const confine_request &what) { return confined(what.part); },
                                   [&](const try_request &what) { return confined(what.part); },
                                   [&](const auto &) { return any(); } },
                      verdict);
}

void forwarder::startAttempt(exchange_id exchange, request_state &state, const directory_entry &target)
{
    m_lastAttempt = m_lastAttempt.next();
    state.currentAttempt = m_lastAttempt;
    state.lastTarget = target.latest.target;
    state.triedTargets.insert(target.latest.target);
    state.attemptCount += 1;
    state.isWaiting = false;
    recordAttemptStart(state.service);
    state.firstAttemptAt = state.firstAttemptAt.value_or(m_now);
    attempt_state attempt;
    attempt.exchange = exchange;
    attempt.started = { target.latest.incarnation(), m_now };
    attempt.address = target.latest.address;
    attempt.lastProgress = m_now;
    attempt.readsPrompt = state.matchedRoute->kind == route_kind::stream;
    m_pool.onStarted(target.latest.incarnation(), attempt.readsPrompt);
    m_attempts.emplace(m_lastAttempt, std::move(attempt));
    outgoing_call call;
    call.request = state.request;
    call.target = target.latest.target;
    call.address = target.latest.address;
    call.workspace = state.workspace;
    call.timeLeft = std::chrono::duration_cast<milliseconds>(state.deadline - m_now);
    call.lastEventId = state.events.lastId().empty() ? state.request->lastEventId : state.events.lastId();
    call.priority = state.priority;
    m_actions.emplace_back(start_attempt { m_lastAttempt, std::move(call) });
}

void forwarder::recordAttemptStart(const service_id &service)
{
    auto &rate = m_startRates[service];
    const double age = std::chrono::duration<double>(m_now - rate.updatedAt).count() / rateTimeConstant;
    rate.perSecond = rate.perSecond * std::exp(-std::max(0.0, age)) + 1 / rateTimeConstant;
    rate.updatedAt = m_now;
}

bool forwarder::isQueueFull(const request_state &state) const
{
    const auto waiting
        = static_cast<double>(std::count_if(m_waiting.begin(), m_waiting.end(), [&](exchange_id exchange) {
              const auto other = m_requests.find(exchange);
              return other != m_requests.end() && other->second.service == state.service;
          }));
    const auto rate = m_startRates.find(state.service);
    const double perSecond = rate == m_startRates.end() ? 0 : rate->second.perSecond;
    const double remainingSeconds = std::chrono::duration<double>(state.waitUntil - m_now).count();
    return waiting >= std::max(minQueueLength, perSecond * remainingSeconds);
}

choice_limits forwarder::limitsFor(const request_state &state) const
{
    if (state.matchedRoute->kind != route_kind::stream) {
        return {};
    }
    const auto pace = m_paceControllers.find(state.service);
    return { pace == m_paceControllers.end() ? 0 : pace->second.requestLimit(), true };
}

std::vector<service_load> forwarder::loadSummary(time_point now) const
{
    std::map<service_id, std::size_t> waiting;
    for (const auto exchange : m_waiting) {
        if (const auto found = m_requests.find(exchange); found != m_requests.end()) {
            ++waiting[found->second.service];
        }
    }
    std::vector<service_load> loads;
    for (const auto &[service, budget] : m_budgets) {
        const auto [maxTargetRequests, slots] = m_pool.maxLoadAndSlots(service, now);
        service_load load {
            .service = service, .requestLimit = 0, .maxTargetRequests = maxTargetRequests, .slots = slots
        };
        if (const auto pace = m_paceControllers.find(service); pace != m_paceControllers.end()) {
            load.requestLimit = pace->second.requestLimit();
            load.pauseRatio = pace->second.lastPauseRatio();
        }
        load.spread = m_pool.loadSpread(service, { load.requestLimit, true }, now);
        load.waiting = waiting[service];
        const auto retries = m_retries.find(service);
        load.retries = retries == m_retries.end() ? 0 : retries->second;
        load.retriesLeft = budget.left(now);
        loads.push_back(std::move(load));
    }
    return loads;
}

void forwarder::updatePaceControllers()
{
    for (auto &[service, pace] : m_paceControllers) {
        const auto [maxTargetRequests, slots] = m_pool.maxLoadAndSlots(service, m_now);
        if (slots > 0) {
            pace.tick(slots, maxTargetRequests, m_now);
        }
    }
}

void forwarder::assignWaitingRequests()
{
    const std::size_t count = m_waiting.size();
    for (std::size_t i = 0; i < count; ++i) {
        const exchange_id exchange = m_waiting.front();
        m_waiting.pop_front();
        const auto found = m_requests.find(exchange);
        if (found != m_requests.end() && found->second.currentAttempt == attempt_number {}) {
            assignTarget(exchange, found->second);
        }
    }
}

} // namespace figcleat::forward
