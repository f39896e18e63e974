#include "figcleat/forward/forwarder.h"

#include "figcleat/core/overloaded.h"
#include "forwarder-limits.h"

#include <algorithm>

namespace figcleat::forward
{

namespace
{

/** Loads of other nodes come through two relays, each of which collects them for up to 40 ms. */
constexpr duration peerLoadAge = std::chrono::milliseconds(100);
/** Waiting requests look for a target this often if loads are delayed; more often would find the same loads. */
constexpr duration redrawPeriod = std::chrono::milliseconds(20);
/** Short, so that other nodes learn of a burst while it begins. */
constexpr duration demandWindow = std::chrono::milliseconds(300);
/** Queue length that is always allowed, so that a node with few requests can queue at all. */
constexpr double minQueueLength = 1;
/** A group does not open sooner after the fault that broke it. */
constexpr duration minOutageRemaining = std::chrono::milliseconds(500);

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
    // Requests that may have caused the outage do not wait for its end.
    if (m_settings.sharesScarceRoom && std::holds_alternative<admit_request>(verdict) && mayAwaitOutageEnd(state)) {
        wait(exchange, state);
        return;
    }
    const bool cannotWait = !canAwaitBackoffEnd
        && (m_pool.hasNoUsableTarget(state.service, {}, m_now) || (!state.isWaiting && isQueueFull(state)));
    if (m_now >= state.waitUntil || cannotWait) {
        failRequest(exchange, state, target.error().code);
        return;
    }
    wait(exchange, state);
}

void forwarder::wait(exchange_id exchange, request_state &state)
{
    state.isWaiting = true;
    m_waiting.add({ exchange, state.service, queueUrgency(state), state.awaitsOutageEnd });
}

std::uint32_t forwarder::queueUrgency(const request_state &state) const
{
    return m_settings.sharesScarceRoom ? state.priority : 0;
}

bool forwarder::mayAwaitOutageEnd(request_state &state)
{
    const bool isUntouched = state.executionCount == 0 && !state.isStreaming && !state.fallbackAnswer;
    const auto usual = m_answerTimes.usual(state.matchedRoute->name);
    if (!isUntouched || !usual || m_now + minOutageRemaining + *usual > state.deadline
        || !m_pool.isInterrupted(state.service, m_now)) {
        return false;
    }
    const std::size_t places = m_pool.totalLoad(state.service, m_now).slots / m_nodes;
    if (!state.isWaiting && m_waiting.size(state.service) >= places) {
        const auto last = m_waiting.last(state.service);
        if (!last || !last->awaitsOutageEnd || last->urgency <= state.priority) {
            return false;
        }
        failRequest(last->exchange, m_requests.at(last->exchange), result_code::no_target);
    }
    state.waitUntil = std::max(state.waitUntil, state.deadline - *usual);
    state.awaitsOutageEnd = true;
    return true;
}

expected<directory_entry> forwarder::chooseTarget(request_state &state, const quarantine_verdict &verdict,
                                                  const std::set<target_id> &busy)
{
    const auto limits = limitsFor(state);
    state.lastDrawAt = m_now;
    if (m_settings.sharesScarceRoom) {
        m_demand.try_emplace({ state.service, state.priority }, demandWindow).first->second.record(m_now);
    }
    const auto confined = [&](const prompt_part_id &part) {
        return m_pool.chooseConfined(state.service, part, state.triedTargets, limits, m_now);
    };
    const auto anyBut = [&](std::set<target_id> excluded) {
        excluded.insert(busy.begin(), busy.end());
        return m_pool.choose(state.service, excluded, limits, m_now);
    };
    const auto any = [&] {
        auto target = anyBut(state.triedTargets);
        if (!target && target.error().code == result_code::no_target && !state.triedTargets.empty()
            && isIdempotent(state)) {
            // No untried target is usable. One that failed earlier is better than none, so only the last one stays
            // excluded.
            target = anyBut({ state.lastTarget });
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
    m_waiting.remove(exchange);
    m_startRates[state.service].record(m_now);
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

bool forwarder::isQueueFull(const request_state &state) const
{
    const auto waiting = static_cast<double>(m_waiting.countAhead(state.service, queueUrgency(state)));
    const auto rate = m_startRates.find(state.service);
    // A service that stands still for a moment goes on at the rate that it had.
    const double perSecond = rate == m_startRates.end() ? 0 : rate->second.lastPerSecond();
    const double remainingSeconds = std::chrono::duration<double>(state.waitUntil - m_now).count();
    return waiting >= std::max(minQueueLength, perSecond * remainingSeconds);
}

choice_limits forwarder::limitsFor(const request_state &state) const
{
    const auto competition = m_pool.drawsTargets() ? competitionFor(state) : competing_requests {};
    if (state.matchedRoute->kind != route_kind::stream) {
        return { .competition = competition };
    }
    const auto pace = m_paceControllers.find(state.service);
    return { pace == m_paceControllers.end() ? 0 : pace->second.requestLimit(), true, competition };
}

competing_requests forwarder::competitionFor(const request_state &state) const
{
    const double seconds = std::chrono::duration<double>(peerLoadAge).count();
    competing_requests all;
    for (const auto &one : m_peerDemand) {
        if (one.service != state.service) {
            continue;
        }
        const double count = one.perSecond * seconds;
        (one.urgency < state.priority ? all.moreUrgent
                                      : (one.urgency == state.priority ? all.equallyUrgent : all.lessUrgent))
            += count;
    }
    if (const auto rate = m_startRates.find(state.service); rate != m_startRates.end()) {
        all.placedByPeers = rate->second.perSecond(m_now) * (m_nodes - 1) * seconds;
    }
    return all;
}

bool forwarder::sharesScarceRoom() const
{
    return m_settings.sharesScarceRoom;
}

void forwarder::setPeerDemand(std::vector<placement_demand> demand)
{
    m_peerDemand = std::move(demand);
}

std::vector<placement_demand> forwarder::ownDemand(time_point now) const
{
    std::vector<placement_demand> all;
    for (const auto &[key, rate] : m_demand) {
        all.push_back({ key.first, key.second, static_cast<float>(rate.perSecond(now)) });
    }
    return all;
}

std::vector<service_load> forwarder::loadSummary(time_point now) const
{
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
        load.spread = m_pool.loadSpread(service, { .requestLimit = load.requestLimit, .readsPrompt = true }, now);
        load.waiting = m_waiting.size(service);
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
    for (const exchange_id exchange : m_waiting.inOrder()) {
        const auto found = m_requests.find(exchange);
        if (found == m_requests.end() || found->second.currentAttempt != attempt_number {}) {
            continue;
        }
        const bool mayDraw = !m_pool.drawsTargets() || m_now - found->second.lastDrawAt >= redrawPeriod;
        if (mayDraw || m_now >= found->second.waitUntil) {
            assignTarget(exchange, found->second);
        }
    }
}

} // namespace figcleat::forward
