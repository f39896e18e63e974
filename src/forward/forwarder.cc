#include "figcleat/forward/forwarder.h"

#include "figcleat/core/overloaded.h"

#include <algorithm>
#include <cmath>

namespace figcleat::forward
{

namespace
{

/** Node count assumed until a coordinator reports the actual one. */
constexpr std::uint32_t assumedNodes = 16;
/** Share of the fleet-wide retry budget that the nodes use together; the remainder covers outdated node counts. */
constexpr double usableBudgetShare = 0.7;
/** Share of its objective that a request may wait for a target; after a longer wait the answer would be late. */
constexpr double maxWaitShare = 0.4;
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
/** A request may wait at least this long for another target after a failed attempt. */
constexpr milliseconds minRetryWait { 100 };
/** A broken stream may wait at least this long for another target; callers abandon it after a pause of two seconds. */
constexpr milliseconds minResumeWait { 500 };
/** No attempt is started with less time left until the deadline, as its answer would come too late. */
constexpr milliseconds minTimeLeft { 30 };
/** Callers honour a retry delay of up to their remaining time divided by this number. */
constexpr int retryDelayDivisor = 3;
/** Shortest retry delay as a share of the longest: a lack of capacity or of targets lasts a while. */
constexpr double minRetryDelayShare = 0.6;
/** Share of all requests in progress that may be for one service, so that targets which do not answer block others
 * only for callers of their own service. */
constexpr double maxServiceShare = 0.75;
/** Retry delay for requests that are refused before their deadline is known. */
constexpr milliseconds defaultRetryDelay { 1000 };
/** The decay of the longest recent answer with each shorter one. */
constexpr double longestAnswerDecay = 0.98;
/** Expected time of an answer on a route without any yet, as a share of the route's timeout. */
constexpr double unknownAnswerShare = 0.25;
constexpr int firstErrorStatus = 500;
constexpr int firstSuccessStatus = 200;
constexpr int firstRedirectStatus = 300;
/** Time constant, in seconds, of the smoothed rate of attempts. */
constexpr double rateTimeConstant = 1.0;
/** Queue length that is always allowed, so that a node with few requests can queue at all. */
constexpr double minQueueLength = 1;
/** Other fronts tell within this time whether they know the parts of a request to be sound. */
constexpr duration crashReviewTime = std::chrono::milliseconds(200);
/** Below this mean the head of an answer comes together with the first bytes of its body. */
constexpr duration togetherGap = std::chrono::milliseconds(1);
/** Answers after which that mean is known; it is smoothed over about as many. */
constexpr std::uint32_t headGapAnswers = 5;
/** Requests with a suspected part share one target, so they may wait this long for it. */
constexpr duration confinedWait = std::chrono::milliseconds(600);

bool isSuccess(int status)
{
    return status >= firstSuccessStatus && status < firstRedirectStatus;
}

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
    m_longestAnswers.clear();
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

std::optional<refusal> forwarder::admit(request_state &state, const caller_request &request)
{
    if (!m_routes) {
        return refusal { result_code::not_configured, false, defaultRetryDelay };
    }
    if (m_requests.size() > m_settings.maxRequests) {
        return refusal { result_code::queue_full, false, defaultRetryDelay };
    }
    state.routes = m_routes;
    state.matchedRoute = m_routes->match(request.host, request.path);
    if (state.matchedRoute == nullptr) {
        return refusal { result_code::not_found };
    }
    const workspace_keys *keyOwner = request.key ? m_routes->workspaceOf(*request.key) : nullptr;
    if (keyOwner == nullptr && m_routes->hasWorkspaces() && !state.matchedRoute->isPublic) {
        return refusal { result_code::wrong_credential };
    }
    if (comesTooLate(*state.matchedRoute)) {
        return refusal { result_code::entry_stopping, false, defaultRetryDelay };
    }
    state.priority = state.matchedRoute->priority;
    if (keyOwner != nullptr) {
        state.workspace = keyOwner->name;
        state.priority = keyOwner->priority.value_or(state.priority);
    }
    const milliseconds timeout
        = std::min(state.matchedRoute->timeout, request.deadline.value_or(state.matchedRoute->timeout));
    state.deadline = std::min(m_now + timeout, m_stopBy.value_or(time_point::max()));
    const auto wait = maxWaitShare * std::chrono::duration<double>(std::min(timeout, state.matchedRoute->objective));
    state.waitUntil = m_now + std::chrono::duration_cast<duration>(wait);
    return std::nullopt;
}

void forwarder::stopBy(time_point end, time_point now)
{
    m_now = now;
    m_stopBy = end;
    for (auto &[exchange, state] : m_requests) {
        state.deadline = std::min(state.deadline, end);
    }
}

bool forwarder::comesTooLate(const route &matchedRoute) const
{
    if (!m_stopBy) {
        return false;
    }
    const auto longest = m_longestAnswers.find(matchedRoute.name);
    const duration expected = longest == m_longestAnswers.end()
        ? std::chrono::duration_cast<duration>(unknownAnswerShare * matchedRoute.timeout)
        : longest->second;
    return *m_stopBy - m_now < expected;
}

void forwarder::recordAnswerTime(const route &matchedRoute, duration time)
{
    auto &longest = m_longestAnswers[matchedRoute.name];
    longest = std::max(time, std::chrono::duration_cast<duration>(longestAnswerDecay * longest));
}

bool forwarder::isServiceFull(const service_id &service) const
{
    const auto count = m_requestCounts.find(service);
    return count != m_requestCounts.end()
        && static_cast<double>(count->second) >= maxServiceShare * static_cast<double>(m_settings.maxRequests);
}

service_id forwarder::pickService(const route &matchedRoute)
{
    std::uint64_t total = 0;
    for (const auto &entry : matchedRoute.split) {
        total += entry.weight;
    }
    auto draw = std::uniform_int_distribution<std::uint64_t>(0, total - 1)(m_random);
    for (const auto &entry : matchedRoute.split) {
        if (draw < entry.weight) {
            return entry.service;
        }
        draw -= entry.weight;
    }
    return matchedRoute.split.back().service;
}

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
        state.isWaiting = true;
        m_waiting.push_back(exchange);
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

void forwarder::endAttempt(request_state &state, attempt_result result)
{
    const auto found = m_attempts.find(std::exchange(state.currentAttempt, {}));
    if (found != m_attempts.end()) {
        const auto &attempt = found->second;
        state.lastAttempt = { attempt.started.incarnation, stageOf(attempt, result), m_now - attempt.started.startedAt,
                              attempt.head ? attempt.head->targetAtFault : target_id {} };
        m_pool.onEnded(attempt.started, result, attempt.readsPrompt, m_now);
        m_attempts.erase(found);
    }
    updateBufferedBytes(state);
}

void forwarder::updateBufferedBytes(request_state &state)
{
    const auto attempt = m_attempts.find(state.currentAttempt);
    std::size_t buffered = attempt == m_attempts.end() ? 0 : attempt->second.body.size();
    buffered += state.fallbackAnswer ? state.fallbackAnswer->body.size() : 0;
    buffered += state.events.partialBytes();
    m_bufferedBytes = m_bufferedBytes - state.bufferedBytes + buffered;
    state.bufferedBytes = buffered;
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
        state.isWaiting = true;
        m_waiting.push_back(exchange);
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
    finish(event.exchange, state, result_code::caller_gone, 0);
    assignWaitingRequests();
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
    if (isStream && !state.isStreaming) {
        state.isStreaming = true;
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
        auto &pace = m_paceControllers[state.service];
        if (std::exchange(attempt.readsPrompt, false)) {
            m_pool.onPromptRead(attempt.started.incarnation.target);
        } else {
            pace.onPause(pause, state.matchedRoute->maxGap, m_now);
        }
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
    state.events.dropPartialEvent();
    state.executionCount += event.notSent ? 0 : 1;
    if (event.notSent) {
        m_quarantine.onTargetDown(found->second.started.incarnation, m_now);
    } else {
        recordFailureEvidence(state, found->second);
    }
    endAttempt(state, event.notSent ? attempt_result::unreachable : attempt_result::failed);
    retryOrFail(exchange, state, !event.notSent, result_code::target_lost);
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

void forwarder::handle(const forward_tick & /*event*/)
{
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
    failRequest(exchange, state, result_code::deadline_exceeded);
}

/**
 * Retries a request elsewhere if its target is slow, or silent while others are active.
 *
 * A silent request stays if fewer than two targets are active: another target would probably not answer sooner.
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
    if (state.isStreaming && m_pool.isSlow(found->second.started.incarnation.target, m_now)
        && takeRetry(state.service)) {
        switchTarget(exchange, state, "slow");
        return;
    }
    const milliseconds limit = std::max(minSilence, state.matchedRoute->objective * silenceFactor);
    if (m_now - found->second.lastProgress < limit || m_pool.countActive(state.service, activeWindow, m_now) < 2) {
        return;
    }
    if (takeRetry(state.service)) {
        switchTarget(exchange, state, "silent");
    }
}

void forwarder::switchTarget(exchange_id exchange, request_state &state, std::string reason)
{
    m_actions.emplace_back(cancel_attempt { state.currentAttempt });
    state.events.dropPartialEvent();
    state.executionCount += 1;
    state.waitUntil = std::max(state.waitUntil, m_now + (state.isStreaming ? minResumeWait : minRetryWait));
    endAttempt(state, attempt_result::failed);
    recordFailedAttempt(state, std::move(reason), "retry");
    assignTarget(exchange, state);
}

void forwarder::failRequest(exchange_id exchange, request_state &state, result_code code)
{
    if (state.isStreaming) {
        m_actions.emplace_back(abort_answer { exchange });
        finish(exchange, state, code, 0);
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

void forwarder::refuse(exchange_id exchange, const request_state &state, const refusal &details)
{
    m_actions.emplace_back(refuse_request { exchange, details });
    finish(exchange, state, details.code, 0);
}

void forwarder::finish(exchange_id exchange, const request_state &state, result_code code, int status)
{
    request_finished ended;
    ended.id = state.request->id;
    ended.request = state.request;
    ended.route = state.matchedRoute == nullptr ? route_id {} : state.matchedRoute->name;
    ended.workspace = state.workspace;
    ended.service = state.service;
    ended.target = state.lastTarget;
    ended.code = code;
    ended.status = status;
    ended.attempts = state.attemptCount;
    ended.queueTime = state.firstAttemptAt.value_or(m_now) - state.arrivedAt;
    ended.headerTime = state.headerTime;
    ended.firstByteTime = state.firstByteAt.value_or(m_now) - state.arrivedAt;
    ended.totalTime = m_now - state.arrivedAt;
    ended.longestPause = state.longestPause;
    ended.isLate = state.matchedRoute != nullptr
        && (ended.firstByteTime > state.matchedRoute->objective
            || (state.isStreaming && state.matchedRoute->maxGap.count() > 0
                && ended.longestPause > state.matchedRoute->maxGap));
    if (code == result_code::ok) {
        recordAnswerTime(*state.matchedRoute, ended.totalTime);
    }
    ended.configurationVersion = state.routes ? state.routes->version() : 0;
    m_actions.emplace_back(std::move(ended));
    m_bufferedBytes -= state.bufferedBytes;
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
