#include "figcleat/forward/forwarder.h"

#include <algorithm>
#include <cmath>

namespace figcleat::forward
{

namespace
{

/** Nodes assumed until a coordinator has counted them. */
constexpr std::uint32_t assumedNodes = 16;
/** Part of the repeats over all nodes that the nodes use together; the rest covers counts that are out of date. */
constexpr double budgetUse = 0.7;
/** A request waits for room for this part of its objective; a later answer would hardly be in time. */
constexpr double waitShare = 0.4;
/** Attempts that no target ran, for example because it was full; the route's `attempts` bounds the others. */
constexpr std::uint32_t maxSends = 4;
/** Silence in a stream or before an answer after which an idempotent request goes elsewhere, in objectives. */
constexpr int silenceObjectives = 2;
constexpr milliseconds silenceMin { 700 };
/** A target counts as active if it sent something within this time. */
constexpr duration activeWindow = std::chrono::milliseconds(300);
/** Wait for room at another target after a failed attempt; callers leave a stream after a pause of two seconds. */
constexpr milliseconds retryWait { 100 };
constexpr milliseconds resumeWait { 500 };
/** With less time left a further attempt is of no use. */
constexpr milliseconds minTimeLeft { 30 };
/** Callers honour a return time up to this part of the time that they have left. */
constexpr int returnParts = 3;
/** Earliest return, as a share of the latest: what was refused for want of room or targets needs time to pass. */
constexpr double earliestReturn = 0.6;
constexpr milliseconds unknownReturn { 1000 };
constexpr int firstErrorStatus = 500;
constexpr int firstSuccessStatus = 200;
constexpr int firstRedirectStatus = 300;
/** Time over which the rate of attempts is smoothed. */
constexpr double rateSeconds = 1.0;
/** This many requests may wait in any case, so that a quiet node has a queue. */
constexpr double minWaiting = 1;

bool isSuccess(int status)
{
    return status >= firstSuccessStatus && status < firstRedirectStatus;
}

} // namespace

forwarder::forwarder(forwarder_settings settings)
    : m_settings(std::move(settings))
    , m_pool(m_settings.pool)
    , m_nodes(assumedNodes)
    , m_random(m_settings.seed)
{
}

void forwarder::setRoutes(std::shared_ptr<const route_index> routes)
{
    m_routes = std::move(routes);
    m_pool.setRoutes(m_routes);
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
    std::visit([this](const auto &what) { handle(what); }, event);
    return std::exchange(m_actions, {});
}

void forwarder::handle(const request_arrived &event)
{
    auto &state = m_requests[event.exchange];
    state.request = std::make_shared<const caller_request>(event.request);
    state.arrived = m_now;
    if (const auto refused = admit(state, event.request); refused) {
        refuse(event.exchange, state, *refused);
        return;
    }
    state.service = pickService(*state.where);
    auto &budget = m_budgets
                       .try_emplace(state.service,
                                    request::retry_budget_settings {
                                        budgetUse * m_settings.repeatShare,
                                        static_cast<std::uint64_t>(budgetUse * m_settings.repeatSlack / m_nodes),
                                        m_settings.repeatWindow })
                       .first->second;
    budget.firstAttempt(m_now);
    place(event.exchange, state);
}

std::optional<refusal> forwarder::admit(request_state &state, const caller_request &request)
{
    if (!m_routes) {
        return refusal { result_code::not_configured, false, unknownReturn };
    }
    if (m_requests.size() > maxRequests) {
        return refusal { result_code::queue_full, false, unknownReturn };
    }
    state.routes = m_routes;
    state.where = m_routes->match(request.host, request.path);
    if (state.where == nullptr) {
        return refusal { result_code::not_found };
    }
    const workspace_keys *holder = request.key ? m_routes->workspaceOf(*request.key) : nullptr;
    if (holder == nullptr && m_routes->hasWorkspaces() && !state.where->isPublic) {
        return refusal { result_code::wrong_credential };
    }
    state.priority = state.where->priority;
    if (holder != nullptr) {
        state.workspace = holder->name;
        state.priority = holder->priority.value_or(state.priority);
    }
    const milliseconds patience = std::min(state.where->timeout, request.deadline.value_or(state.where->timeout));
    state.deadline = m_now + patience;
    const auto wait = waitShare * std::chrono::duration<double>(std::min(patience, state.where->objective));
    state.waitUntil = m_now + std::chrono::duration_cast<duration>(wait);
    return std::nullopt;
}

service_id forwarder::pickService(const route &where)
{
    std::uint64_t total = 0;
    for (const auto &part : where.split) {
        total += part.weight;
    }
    auto drawn = std::uniform_int_distribution<std::uint64_t>(0, total - 1)(m_random);
    for (const auto &part : where.split) {
        if (drawn < part.weight) {
            return part.service;
        }
        drawn -= part.weight;
    }
    return where.split.back().service;
}

void forwarder::place(exchange_id exchange, request_state &state)
{
    if (state.deadline - m_now < minTimeLeft) {
        giveUp(exchange, state, result_code::deadline_too_near);
        return;
    }
    const auto limits = limitsFor(state);
    auto target = m_pool.choose(state.service, state.tried, limits, m_now);
    if (!target && target.error().code == result_code::no_target && !state.tried.empty() && isIdempotent(state)) {
        // All others are unusable; the one that failed is better than none.
        target = m_pool.choose(state.service, { state.lastTarget }, limits, m_now);
    }
    if (target) {
        startAttempt(exchange, state, *target);
        return;
    }
    // A stream in progress would break; its caller can wait for a rest that is over soon.
    const bool canWait = state.streaming
        && m_pool.earliestBackoffEnd(state.service, m_now).value_or(time_point::max()) < state.waitUntil;
    const bool isHopeless
        = !canWait && (m_pool.hasNoUsableTarget(state.service, {}, m_now) || (!state.isWaiting && isQueueFull(state)));
    if (m_now >= state.waitUntil || isHopeless) {
        giveUp(exchange, state, target.error().code);
        return;
    }
    state.isWaiting = true;
    m_waiting.push_back(exchange);
}

void forwarder::startAttempt(exchange_id exchange, request_state &state, const directory_entry &target)
{
    m_lastAttempt = m_lastAttempt.next();
    state.current = m_lastAttempt;
    state.lastTarget = target.latest.target;
    state.tried.insert(target.latest.target);
    state.sends += 1;
    state.isWaiting = false;
    noteStart(state.service);
    state.firstSent = state.firstSent.value_or(m_now);
    attempt_state attempt;
    attempt.exchange = exchange;
    attempt.started = { target.latest.incarnation(), m_now };
    attempt.lastProgress = m_now;
    attempt.readsPrompt = state.where->kind == route_kind::stream;
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

void forwarder::noteStart(const service_id &service)
{
    auto &rate = m_starts[service];
    const double age = std::chrono::duration<double>(m_now - rate.at).count() / rateSeconds;
    rate.perSecond = rate.perSecond * std::exp(-std::max(0.0, age)) + 1 / rateSeconds;
    rate.at = m_now;
}

bool forwarder::isQueueFull(const request_state &state) const
{
    const auto waiting
        = static_cast<double>(std::count_if(m_waiting.begin(), m_waiting.end(), [&](exchange_id exchange) {
              const auto other = m_requests.find(exchange);
              return other != m_requests.end() && other->second.service == state.service;
          }));
    const auto rate = m_starts.find(state.service);
    const double perSecond = rate == m_starts.end() ? 0 : rate->second.perSecond;
    const double left = std::chrono::duration<double>(state.waitUntil - m_now).count();
    return waiting >= std::max(minWaiting, perSecond * left);
}

choice_limits forwarder::limitsFor(const request_state &state) const
{
    if (state.where->kind != route_kind::stream) {
        return {};
    }
    const auto pace = m_paces.find(state.service);
    return { pace == m_paces.end() ? 0 : pace->second.level(), true };
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
        const auto [busiest, slots] = m_pool.maxLoadAndSlots(service, now);
        service_load one { .service = service, .level = 0, .busiest = busiest, .slots = slots };
        if (const auto pace = m_paces.find(service); pace != m_paces.end()) {
            one.level = pace->second.level();
            one.pause = pace->second.lastPause();
        }
        one.spread = m_pool.loadSpread(service, { one.level, true }, now);
        one.waiting = waiting[service];
        const auto repeats = m_repeats.find(service);
        one.repeats = repeats == m_repeats.end() ? 0 : repeats->second;
        one.repeatsLeft = budget.left(now);
        loads.push_back(std::move(one));
    }
    return loads;
}

void forwarder::pace()
{
    for (auto &[service, pace] : m_paces) {
        const auto [busiest, slots] = m_pool.maxLoadAndSlots(service, m_now);
        if (slots > 0) {
            pace.tick(slots, busiest, m_now);
        }
    }
}

void forwarder::placeWaiting()
{
    const std::size_t count = m_waiting.size();
    for (std::size_t i = 0; i < count; ++i) {
        const exchange_id exchange = m_waiting.front();
        m_waiting.pop_front();
        const auto found = m_requests.find(exchange);
        if (found != m_requests.end() && found->second.current == attempt_number {}) {
            place(exchange, found->second);
        }
    }
}

bool forwarder::isIdempotent(const request_state &state) const
{
    return state.where->kind == route_kind::safe || (state.where->kind == route_kind::stream && state.where->resumable);
}

bool forwarder::mayRunAgain(const request_state &state) const
{
    return isIdempotent(state) && state.runs < state.where->attempts;
}

bool forwarder::takeRepeat(const service_id &service)
{
    const auto budget = m_budgets.find(service);
    if (budget == m_budgets.end() || !budget->second.takeRetry(m_now)) {
        return false;
    }
    ++m_repeats[service];
    return true;
}

void forwarder::endAttempt(request_state &state, attempt_result result)
{
    const auto found = m_attempts.find(std::exchange(state.current, {}));
    if (found != m_attempts.end()) {
        m_pool.onEnded(found->second.started, result, found->second.readsPrompt, m_now);
        m_attempts.erase(found);
    }
    countHeld(state);
}

void forwarder::countHeld(request_state &state)
{
    const auto attempt = m_attempts.find(state.current);
    std::size_t held = attempt == m_attempts.end() ? 0 : attempt->second.body.size();
    held += state.fallback ? state.fallback->body.size() : 0;
    held += state.events.partialBytes();
    m_heldBytes = m_heldBytes - state.heldBytes + held;
    state.heldBytes = held;
}

void forwarder::retryOrFail(exchange_id exchange, request_state &state, bool mayHaveRun, result_code code)
{
    state.lastFailure = code;
    const bool isAllowed = !mayHaveRun || mayRunAgain(state);
    const bool hasTime = state.deadline - m_now >= minTimeLeft;
    const std::string failure(describe(code).name);
    if (isAllowed && hasTime && state.sends < maxSends && takeRepeat(state.service)) {
        note(state, failure, "retry");
        state.waitUntil = std::max(state.waitUntil, m_now + (state.streaming ? resumeWait : retryWait));
        place(exchange, state);
        return;
    }
    note(state, failure, "end");
    giveUp(exchange, state, code);
}

void forwarder::handle(const caller_left &event)
{
    const auto found = m_requests.find(event.exchange);
    if (found == m_requests.end()) {
        return;
    }
    auto &state = found->second;
    if (state.current != attempt_number {}) {
        m_actions.emplace_back(cancel_attempt { state.current });
        endAttempt(state, attempt_result::abandoned);
    }
    finish(event.exchange, state, result_code::caller_gone, 0);
    placeWaiting();
}

void forwarder::handle(const answer_started &event)
{
    const auto found = m_attempts.find(event.attempt);
    if (found == m_attempts.end()) {
        return;
    }
    // Before anything is placed because of this answer.
    for (const auto &notice : event.head.notices) {
        const auto &life = found->second.started.incarnation;
        if (m_pool.onNotice(life, notice, m_now)) {
            m_actions.emplace_back(target_noted { m_requests.at(found->second.exchange).request->id, life, notice });
        }
    }
    judgeAnswer(event, found->second);
    if (!event.head.notices.empty()) {
        // Refuses those that wait for a target that is out now.
        placeWaiting();
    }
}

void forwarder::judgeAnswer(const answer_started &event, attempt_state &attempt)
{
    attempt.lastProgress = m_now;
    attempt.head = event.head;
    const exchange_id exchange = attempt.exchange;
    auto &state = m_requests.at(exchange);
    state.headers = m_now - attempt.started.startedAt;
    if (event.head.load) {
        m_pool.onLoad(attempt.started.incarnation.target, *event.head.load, m_now);
    }
    if (event.head.isSpoiled) {
        m_actions.emplace_back(cancel_attempt { event.attempt });
        state.runs += 1;
        endAttempt(state, attempt_result::failed);
        retryOrFail(exchange, state, true, result_code::engine_failed);
        return;
    }
    if (event.head.notRun) {
        m_actions.emplace_back(cancel_attempt { event.attempt });
        endAttempt(state, attempt_result::shed);
        retryOrFail(exchange, state, false,
                    event.head.isOtherTarget ? result_code::target_lost : result_code::target_at_limit);
        return;
    }
    m_pool.onProgress(attempt.started.incarnation.target, m_now);
    if (event.head.status < firstErrorStatus) {
        m_pool.onAccepted(attempt.started);
    }
    const bool isStream
        = state.where->kind == route_kind::stream && event.head.isEventStream && isSuccess(event.head.status);
    if (isStream && !state.streaming) {
        state.streaming = true;
        m_actions.emplace_back(start_event_stream { exchange, event.head });
    } else if (state.streaming && !isStream) {
        // No part of another answer may reach a caller that is in the middle of a stream.
        m_actions.emplace_back(cancel_attempt { event.attempt });
        state.runs += 1;
        endAttempt(state, attempt_result::failed);
        retryOrFail(exchange, state, true, result_code::engine_failed);
        placeWaiting();
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
    if (state.streaming) {
        auto &pace = m_paces[state.service];
        if (std::exchange(attempt.readsPrompt, false)) {
            m_pool.onPromptRead(attempt.started.incarnation.target);
        } else {
            pace.onPause(pause, state.where->maxGap, m_now);
        }
        passEvents(exchange, state, event.bytes);
        return;
    }
    attempt.body += event.bytes;
    countHeld(state);
    if (attempt.body.size() > maxAnswerBytes || m_heldBytes > maxHeldBytes) {
        m_actions.emplace_back(cancel_attempt { event.attempt });
        state.runs += 1;
        endAttempt(state, attempt_result::failed);
        retryOrFail(exchange, state, true, result_code::buffer_full);
    }
}

void forwarder::passEvents(exchange_id exchange, request_state &state, std::string_view bytes)
{
    std::string whole = state.events.push(bytes);
    countHeld(state);
    if (!whole.empty()) {
        if (state.firstByte) {
            state.longestPause = std::max(state.longestPause, m_now - state.lastEvent);
        }
        state.lastEvent = m_now;
        state.firstByte = state.firstByte.value_or(m_now);
        m_actions.emplace_back(send_events { exchange, std::move(whole) });
    }
    if (state.events.isTooLong() || m_heldBytes > maxHeldBytes) {
        m_actions.emplace_back(cancel_attempt { state.current });
        state.runs += 1;
        endAttempt(state, attempt_result::failed);
        giveUp(exchange, state, result_code::buffer_full);
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
    state.runs += 1;
    finishAnswer(exchange, state, std::move(*attempt.head), std::move(attempt.body));
    placeWaiting();
}

void forwarder::finishAnswer(exchange_id exchange, request_state &state, answer_head head, std::string body)
{
    if (state.streaming) {
        const bool isWhole = !state.events.hasPartial();
        state.events.dropPartial();
        endAttempt(state, isWhole ? attempt_result::answered : attempt_result::failed);
        if (!isWhole) {
            retryOrFail(exchange, state, true, result_code::stream_broken);
            return;
        }
        m_actions.emplace_back(end_event_stream { exchange });
        finish(exchange, state, result_code::ok, head.status);
        return;
    }
    if (head.status >= firstErrorStatus) {
        state.fallback = pass_answer { exchange, std::move(head), std::move(body) };
        endAttempt(state, attempt_result::failed);
        retryOrFail(exchange, state, true, result_code::engine_failed);
        return;
    }
    endAttempt(state, attempt_result::answered);
    state.firstByte = state.firstByte.value_or(m_now);
    const int status = head.status;
    m_actions.emplace_back(pass_answer { exchange, std::move(head), std::move(body) });
    finish(exchange, state, result_code::ok, status);
}

void forwarder::handle(const attempt_broken &event)
{
    const auto found = m_attempts.find(event.attempt);
    if (found == m_attempts.end()) {
        return;
    }
    const exchange_id exchange = found->second.exchange;
    auto &state = m_requests.at(exchange);
    state.events.dropPartial();
    state.runs += event.notSent ? 0 : 1;
    endAttempt(state, event.notSent ? attempt_result::unreachable : attempt_result::failed);
    retryOrFail(exchange, state, !event.notSent, result_code::target_lost);
    placeWaiting();
}

void forwarder::handle(const forward_tick & /*event*/)
{
    pace();
    placeWaiting();
    std::vector<exchange_id> open;
    open.reserve(m_requests.size());
    for (const auto &entry : m_requests) {
        open.push_back(entry.first);
    }
    for (const exchange_id exchange : open) {
        if (const auto found = m_requests.find(exchange); found != m_requests.end()) {
            checkDeadline(exchange, found->second);
        }
        if (const auto found = m_requests.find(exchange); found != m_requests.end()) {
            checkSilence(exchange, found->second);
        }
    }
    m_pool.removeUnknownTargets();
}

void forwarder::checkDeadline(exchange_id exchange, request_state &state)
{
    if (m_now < state.deadline) {
        return;
    }
    if (state.current != attempt_number {}) {
        m_actions.emplace_back(cancel_attempt { state.current });
        state.runs += 1;
        endAttempt(state, attempt_result::abandoned);
    }
    giveUp(exchange, state, result_code::deadline_exceeded);
}

/** A silent target among active ones is left; where all are silent, another one would not answer sooner. */
void forwarder::checkSilence(exchange_id exchange, request_state &state)
{
    const auto found = m_attempts.find(state.current);
    if (found == m_attempts.end() || !isIdempotent(state) || state.runs + 1 >= state.where->attempts) {
        return;
    }
    if (m_pool.hasNoUsableTarget(state.service, { found->second.started.incarnation.target }, m_now)) {
        return;
    }
    if (state.streaming && m_pool.isSlow(found->second.started.incarnation.target, m_now)
        && takeRepeat(state.service)) {
        move(exchange, state, "slow");
        return;
    }
    const milliseconds limit = std::max(silenceMin, state.where->objective * silenceObjectives);
    if (m_now - found->second.lastProgress < limit || m_pool.countActive(state.service, activeWindow, m_now) < 2) {
        return;
    }
    if (takeRepeat(state.service)) {
        move(exchange, state, "silent");
    }
}

void forwarder::move(exchange_id exchange, request_state &state, std::string why)
{
    note(state, std::move(why), "retry");
    m_actions.emplace_back(cancel_attempt { state.current });
    state.events.dropPartial();
    state.runs += 1;
    state.waitUntil = std::max(state.waitUntil, m_now + (state.streaming ? resumeWait : retryWait));
    endAttempt(state, attempt_result::failed);
    place(exchange, state);
}

void forwarder::giveUp(exchange_id exchange, request_state &state, result_code code)
{
    if (state.streaming) {
        m_actions.emplace_back(break_answer { exchange });
        finish(exchange, state, code, 0);
        return;
    }
    if (state.fallback) {
        m_actions.emplace_back(*state.fallback);
        finish(exchange, state, code, state.fallback->head.status);
        return;
    }
    refusal why { code, state.runs > 0, std::nullopt };
    if (!why.mayHaveRun) {
        why.retryAfter = returnTime(state);
    }
    refuse(exchange, state, why);
}

/**
 * Spreads the return of callers over the later part of the time that they honour.
 *
 * Where all targets rest, callers return from the end of the first rest on, if they honour as much.
 */
milliseconds forwarder::returnTime(const request_state &state)
{
    const auto left = std::chrono::duration<double, std::milli>(state.deadline - m_now).count();
    const double latest = std::max(0.0, left) / returnParts;
    double earliest = earliestReturn * latest;
    if (const auto restEnd = m_pool.earliestBackoffEnd(state.service, m_now); restEnd) {
        const double rest = std::ceil(std::chrono::duration<double, std::milli>(*restEnd - m_now).count());
        earliest = rest < latest ? rest : earliest;
    }
    std::uniform_real_distribution<double> spread(earliest, std::min(latest, earliest + (1 - earliestReturn) * latest));
    return milliseconds(static_cast<std::int64_t>(spread(m_random)));
}

void forwarder::refuse(exchange_id exchange, const request_state &state, const refusal &why)
{
    m_actions.emplace_back(refuse_request { exchange, why });
    finish(exchange, state, why.code, 0);
}

void forwarder::finish(exchange_id exchange, const request_state &state, result_code code, int status)
{
    forward_ended ended;
    ended.id = state.request->id;
    ended.request = state.request;
    ended.route = state.where == nullptr ? route_id {} : state.where->name;
    ended.workspace = state.workspace;
    ended.service = state.service;
    ended.target = state.lastTarget;
    ended.code = code;
    ended.status = status;
    ended.attempts = state.sends;
    ended.queued = state.firstSent.value_or(m_now) - state.arrived;
    ended.headers = state.headers;
    ended.firstByte = state.firstByte.value_or(m_now) - state.arrived;
    ended.whole = m_now - state.arrived;
    ended.longestPause = state.longestPause;
    ended.isLate = state.where != nullptr
        && (ended.firstByte > state.where->objective
            || (state.streaming && state.where->maxGap.count() > 0 && ended.longestPause > state.where->maxGap));
    ended.configuration = state.routes ? state.routes->version() : 0;
    m_actions.emplace_back(std::move(ended));
    m_heldBytes -= state.heldBytes;
    m_requests.erase(exchange);
}

void forwarder::note(const request_state &state, std::string outcome, std::string next)
{
    m_actions.emplace_back(attempt_note { state.request->id, state.lastTarget, std::move(outcome), std::move(next) });
}

} // namespace figcleat::forward
