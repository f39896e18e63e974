#include "figcleat/daemon/front-node.h"

#include "figcleat/core/digest.h"
#include "figcleat/core/log.h"
#include "figcleat/core/overloaded.h"
#include "figcleat/daemon/target-status.h"
#include "figcleat/forward/configuration-history.h"

#include <algorithm>
#include <cctype>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace figcleat
{

namespace
{

/** A lost update is made good after this time; a third of the time within which a drain has to be in force. */
constexpr duration pollPeriod = std::chrono::milliseconds(400);
/** After a longer pause between polls this process may have been suspended and may have missed updates. */
constexpr duration listeningPause = std::chrono::seconds(1);
/** Deadlines are kept to this precision; each wake-up costs processor time. */
constexpr duration tickPeriod = std::chrono::milliseconds(25);
/** A network round trip takes a few milliseconds; a lost opening packet is sent again after a second at the earliest.
 */
constexpr duration connectTimeout = std::chrono::milliseconds(250);
constexpr std::size_t maxCallers = 1800;
constexpr std::size_t minCallers = 16;
/** Descriptors for files, messages between nodes, metrics and probes of targets. */
constexpr std::size_t ownDescriptors = 200;
/** Each caller needs a descriptor, and a second one for its target. */
constexpr std::size_t descriptorsPerCaller = 2;
/** Shares of the VM's memory for requests and answers of callers, and for answers that targets have not completed. */
constexpr double callerMemoryShare = 0.3;
constexpr double answerMemoryShare = 0.2;
/** A request of the largest size leaves room for others of its kind. */
constexpr std::size_t largestRequestsHeld = 4;
/** The forwarder ends silent attempts; this is above the longest route timeout. */
constexpr duration answerTimeout = std::chrono::minutes(10);
/** One in so many answers in time is logged, by request id, so that a request has all of its lines or none. */
constexpr std::uint64_t uneventfulPerLine = 64;
/** A longer path is cut off in the log, so that callers cannot fill it. */
constexpr std::size_t loggedPathBytes = 200;
constexpr std::size_t loggedPartsBytes = 200;
/** A lost message about quarantines is replaced after this time. */
constexpr duration quarantineRepeatPeriod = std::chrono::seconds(2);
/** News of several requests within this time go into one message. */
constexpr duration quarantineMinPeriod = std::chrono::milliseconds(10);
/** A front that has just started asks the others this often, each time it polls, what is in quarantine. */
constexpr int maxQuarantineQueries = 8;
constexpr std::string_view quarantinePath = "/quarantine";

constexpr http_client_settings callSettings { .connectTimeout = connectTimeout,
                                              .firstByteTimeout = answerTimeout,
                                              .progressTimeout = answerTimeout,
                                              .endOfConnectionIsEnd = true,
                                              .keepHost = true,
                                              .keepAlive = false };

auto logger()
{
    return logFor(part::request);
}

std::size_t shareOf(const forward::vm_limits &vm, double share)
{
    return static_cast<std::size_t>(share * static_cast<double>(vm.memoryBytes));
}

http_limits callerLimits(const forward::vm_limits &vm)
{
    const std::size_t forCallers = vm.descriptors - std::min<std::size_t>(vm.descriptors, ownDescriptors);
    http_limits limits;
    limits.connections = std::clamp(forCallers / descriptorsPerCaller, minCallers, maxCallers);
    limits.heldBytes = shareOf(vm, callerMemoryShare);
    return limits;
}

forward::forwarder_settings forwarderSettings(const forward::node_settings &settings, std::uint64_t random,
                                              const peer_address &self, incarnation_id incarnation)
{
    forward::forwarder_settings chosen;
    chosen.pool.dataCentre = settings.dataCentre;
    chosen.pool.seed = random;
    chosen.retryShare = settings.bounds.retryShare;
    chosen.retrySlack = settings.bounds.retrySlack;
    chosen.retryWindow = settings.bounds.retryWindow;
    chosen.seed = random;
    chosen.self = self;
    chosen.incarnation = incarnation;
    chosen.maxBufferedBytes = shareOf(settings.limits, answerMemoryShare);
    chosen.maxRequests = callerLimits(settings.limits).connections;
    return chosen;
}

void writeServiceLoad(report::metrics_text &page, const forward::service_load &load)
{
    const std::string service = fmt::format("service=\"{}\"", load.service.value);
    page.gauge("figcleat_requests_waiting", "Requests that wait for room at a target.", service,
               static_cast<double>(load.waiting));
    page.gauge("figcleat_target_level", "Requests that may be at one target.", service, load.requestLimit);
    page.gauge("figcleat_target_busiest", "Most requests at one target.", service, load.maxTargetRequests);
    page.gauge("figcleat_targets_below_level", "Targets in use with fewer requests than the level.", service,
               static_cast<double>(load.spread.belowRequestLimit));
    page.gauge("figcleat_targets_reading", "Targets in use that read as many prompts as they may.", service,
               static_cast<double>(load.spread.atPromptLimit));
    page.gauge("figcleat_targets_with_room", "Targets in use that would get one more stream.", service,
               static_cast<double>(load.spread.withRoom));
    page.gauge("figcleat_stream_pause_share", "Pauses in streams as a part of the longest allowed one.", service,
               load.pauseRatio);
    page.counter("figcleat_repeats_total", "Attempts that drew on the shared budget of repeats.", service,
                 load.retries);
    page.gauge("figcleat_repeats_left", "Repeats that the budget still allows in this window.", service,
               static_cast<double>(load.retriesLeft));
}

/** The shared parts of the prompt, separated by commas. */
std::string loggedParts(const forward::caller_request &request)
{
    std::string list;
    for (const auto &one : request.sharedParts) {
        if (list.size() + one.value.size() >= loggedPartsBytes) {
            break;
        }
        list += (list.empty() ? "" : ",") + one.value;
    }
    return list;
}

std::int64_t wholeMs(duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

std::string joined(const std::vector<prompt_part_id> &parts)
{
    std::string list;
    for (const auto &one : parts) {
        list += (list.empty() ? "" : ",") + one.value;
    }
    return list;
}

/** Crashed targets and the fronts that reported them, `TARGET@FRONT`. */
std::string witnesses(const forward::quarantine_record &record)
{
    std::string list;
    for (const auto &one : record.witnesses) {
        list += (list.empty() ? "" : ",") + one.target.target.value + "@" + one.reporter.value;
    }
    return list;
}

std::string_view toString(forward::quarantine_origin origin)
{
    return origin == forward::quarantine_origin::crashes ? "crashes" : "operator";
}

std::string_view toString(forward::quarantine_change change)
{
    switch (change) {
    case forward::quarantine_change::started:
        return "started";
    case forward::quarantine_change::trial:
        return "trial";
    case forward::quarantine_change::released:
        return "released";
    }
    return "";
}

/** JSON for operators: what is refused, why, since when, and on whose evidence. */
std::string quarantineTable(const std::vector<forward::quarantine_status> &all)
{
    auto table = nlohmann::json::array();
    for (const auto &one : all) {
        const auto &record = one.record;
        auto evidence = nlohmann::json::array();
        for (const auto &witness : record.witnesses) {
            evidence.push_back({ { "target", witness.target.target.value },
                                 { "started", witness.target.startedMs },
                                 { "reporter", witness.reporter.value } });
        }
        const bool hasTrial = record.origin == forward::quarantine_origin::crashes;
        table.push_back({ { "parts", joined(record.parts) },
                          { "reason", toString(record.origin) },
                          { "since_ms", record.sinceMs },
                          { "evidence", std::move(evidence) },
                          { "trials", record.trials },
                          { "next_trial_ms", hasTrial ? nlohmann::json(record.nextTrialMs) : nlohmann::json() },
                          { "rejected_here", one.rejected } });
    }
    return table.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

void writeQuarantine(report::metrics_text &page, const forward::part_quarantine &quarantine, time_point now)
{
    const auto all = quarantine.status(now);
    page.gauge("figcleat_quarantines", "Sets of prompt parts whose requests are refused.", {},
               static_cast<double>(all.size()));
    page.gauge("figcleat_target_crashes", "Recent crashes of targets at the start of an answer, of all fronts.", {},
               static_cast<double>(quarantine.evidence().crashCount()));
    for (const auto &one : all) {
        constexpr double perSecond = 1000.0;
        page.gauge("figcleat_quarantine_age_seconds", "Time since requests with these parts are refused.",
                   fmt::format("parts=\"{}\",reason=\"{}\"", joined(one.record.parts), toString(one.record.origin)),
                   static_cast<double>(one.record.sinceMs) / perSecond);
    }
}

} // namespace

front_node::front_node(node_context context)
    : node_base(std::move(context))
    , m_directory(m_self.value)
    , m_forwarder(forwarderSettings(m_settings, m_random, m_self, m_incarnation))
    , m_clients(m_loop, callSettings, *this)
    , m_probes(m_loop->base())
    , m_loads(m_self, m_settings.dataCentre)
    , m_stopSchedule(forward::stopScheduleFor(m_settings.bounds.grace))
{
    m_forwarder.pool().setDirectory(&m_directory);
}

expected<void> front_node::start()
{
    if (auto opened = openMailbox().and_then([this] { return openMetrics(); }); !opened) {
        return opened;
    }
    auto callers = http_server::open(m_loop->base(), m_settings.listen.ip, m_settings.listen.port,
                                     callerLimits(m_settings.limits), *this);
    if (!callers) {
        return tl::unexpected<error>(callers.error());
    }
    m_callers = std::move(*callers);
    if (auto readiness = openReadiness(); !readiness) {
        return readiness;
    }
    m_shareLater = m_loop->deferred([this] {
        shareLoad();
        shareQuarantine();
    });
    m_tickAt = m_tickBeforeAt = m_time->now();
    m_loop->every(tickPeriod, [this] { tick(); });
    m_loop->every(pollPeriod, [this] { poll(); });
    poll();
    return {};
}

expected<void> front_node::openReadiness()
{
    if (!m_settings.readiness) {
        return {};
    }
    constexpr int okStatus = 200;
    constexpr int unavailableStatus = 503;
    constexpr int notFoundStatus = 404;
    auto server = reply_server::open(
        m_loop->base(), *m_settings.readiness, part::request, "readiness", [this](const http_request &request) {
            const bool isKnown = m_dialect->isReadinessCheck(request);
            return forward::http_answer { !isKnown ? notFoundStatus : (isReady() ? okStatus : unavailableStatus),
                                          {},
                                          {} };
        });
    if (!server) {
        return tl::unexpected<error>(server.error());
    }
    m_readiness = std::move(*server);
    return {};
}

void front_node::drain()
{
    if (m_drainStarted) {
        return;
    }
    const duration late = signalDelay();
    logger()->info("event=stop requests={} late_ms={}", m_forwarder.requestsInProgress(), wholeMs(late));
    const time_point start = m_time->now();
    m_drainStarted = start;
    m_stopSchedule = forward::stopScheduleFor(m_settings.bounds.grace, late);
    m_callers->closeAfterAnswers();
    m_forwarder.stop(start + m_stopSchedule.acceptAll, start + m_stopSchedule.lastAnswer, start);
}

duration front_node::signalDelay() const
{
    const time_point now = m_time->now();
    if (now - m_tickAt > forward::forwarder::maxTickGap) {
        return now - m_tickAt;
    }
    // After a pause a tick may be handled before the signal.
    return m_tickAt - m_tickBeforeAt > forward::forwarder::maxTickGap ? now - m_tickBeforeAt : duration {};
}

bool front_node::isReady() const
{
    return !m_drainStarted && m_forwarder.hasRoutes() && !m_directory.entries().empty();
}

void front_node::writeMetrics(report::metrics_text &page) const
{
    m_counts.write(page);
    page.gauge("figcleat_requests_in_progress", "Requests without their final answer.", {},
               static_cast<double>(m_forwarder.requestsInProgress()));
    page.gauge("figcleat_caller_bytes", "Bytes of callers' requests and answers that connections hold.", {},
               static_cast<double>(m_callers->budget().totalBytes()));
    page.gauge("figcleat_caller_bytes_limit", "Bytes above which connections are closed.", {},
               static_cast<double>(m_callers->budget().maxBytes()));
    page.counter("figcleat_callers_rejected_total", "Requests and connections that the HTTP server refused by itself.",
                 {}, m_callersRejected);
    for (const auto &one : m_forwarder.loadSummary(now())) {
        writeServiceLoad(page, one);
    }
    page.gauge("figcleat_fronts", "Fronts among which limits are shared, this one included.", {},
               m_forwarder.nodeCount());
    writeQuarantine(page, m_forwarder.quarantine(), now());
    page.gauge("figcleat_configuration_version", "Version of the configuration in force.", {},
               static_cast<double>(m_version));
    writeTargets(page, m_directory);
}

std::optional<forward::http_answer> front_node::answerOperator(const http_request &request)
{
    if (!std::string_view(request.path).starts_with(quarantinePath)) {
        return answerTargetStatus(request, m_directory, now());
    }
    return answerQuarantine(request);
}

forward::http_answer front_node::answerQuarantine(const http_request &request)
{
    constexpr int okStatus = 200;
    constexpr int methodNotAllowed = 405;
    constexpr int badRequest = 400;
    auto &quarantine = m_forwarder.quarantine();
    std::string_view part(request.path);
    part.remove_prefix(std::min(part.size(), quarantinePath.size() + 1));
    const bool isPart = std::all_of(part.begin(), part.end(), [](unsigned char c) { return std::isalnum(c) != 0; });
    if (!isPart || part.size() > loggedPathBytes) {
        return { badRequest, {}, {} };
    }
    expected<void> done;
    if (request.method == "PUT" && !part.empty()) {
        done = quarantine.quarantine({ std::string(part) }, now());
    } else if (request.method == "DELETE" && !part.empty()) {
        done = quarantine.release({ std::string(part) }, now());
    } else if (request.method != "GET") {
        return { methodNotAllowed, {}, {} };
    }
    step(forward::forward_tick {});
    const http_headers headers { { "Content-Type", "application/json" } };
    if (!done) {
        const auto &info = describe(done.error().code);
        return { info.httpStatus, headers, nlohmann::json { { "error", info.name } }.dump() + "\n" };
    }
    return { okStatus, headers, quarantineTable(quarantine.status(now())) };
}

void front_node::onRequest(exchange_id exchange, http_request request)
{
    step(forward::request_arrived { exchange, m_dialect->decodeRequest(std::move(request)) });
}

void front_node::onCallerGone(exchange_id exchange)
{
    step(forward::caller_disconnected { exchange });
}

void front_node::onRejected(result_code code)
{
    ++m_callersRejected;
    logger()->warn("event=request_rejected code={} held_bytes={} limit={}", describe(code).name,
                   m_callers->budget().totalBytes(), m_callers->budget().maxBytes());
}

void front_node::onAnswerStart(attempt_id attempt, int status, const http_headers &headers)
{
    const auto found = m_attempts.find(attempt.number);
    if (found != m_attempts.end()) {
        step(
            forward::answer_started { attempt.number, m_dialect->decodeHead(*found->second.request, status, headers) });
    }
}

void front_node::onBytes(attempt_id attempt, std::string_view bytes)
{
    step(forward::answer_bytes { attempt.number, bytes });
}

void front_node::onAnswerEnd(attempt_id attempt)
{
    m_attempts.erase(attempt.number);
    step(forward::answer_ended { attempt.number });
}

void front_node::onFailure(attempt_id attempt, bool notSent)
{
    m_attempts.erase(attempt.number);
    step(forward::attempt_failed { attempt.number, notSent });
}

void front_node::receive(const envelope &received)
{
    std::visit(overloaded {
                   [&](const forward::node_update &update) { onUpdate(received, update); },
                   [&](const forward::node_load &load) { m_loads.receive(received.from, load, now()); },
                   [&](const forward::quarantine_update &update) { onQuarantineUpdate(received, update); },
                   [](const auto &) {},
               },
               received.message);
}

void front_node::onUpdate(const envelope &received, const forward::node_update &update)
{
    const time_point now = m_time->now();
    m_links.onUpdate(received.from, received.incarnation, update, now);
    for (const auto &one : update.changes) {
        if (m_directory.adopt(one, now)) {
            logger()->info("event=target target={} service={} address={} state={} cold_ms={} order={}.{} from={}",
                           one.target.value, one.service.value, one.address, static_cast<int>(one.state),
                           one.coldLeftMs, one.order.startedMs, one.order.sequence, received.from.value);
        }
    }
    logUnused(m_directory, *logger(), now);
    const auto revision = m_revision;
    for (const auto &one : update.configuration) {
        apply(one);
    }
    for (const auto &delta : update.configurationDelta) {
        if (const auto result = forward::applyConfigurationDelta(delta, m_revision, m_configuration); result) {
            apply(*result);
        } else if (delta.result.revision > m_revision) {
            logger()->warn("event=configuration_change_unusable revision={} base={} held={}",
                           delta.result.revision.value, delta.base.value, m_revision.value);
        }
    }
    if (m_revision != revision) {
        // Coordinators send the next configuration once this one is reported.
        pollCoordinators(m_revision, {}, m_directory.doubted());
    }
    if (update.knowsEngines) {
        m_forwarder.pool().setEngines(update.engines, now);
    }
    if (!update.contacts.empty()) {
        knowFronts();
    }
}

void front_node::knowFronts()
{
    const auto fronts = m_links.fronts(coordinatorSilence, now());
    // A front that hears no coordinator keeps its share of the limits.
    if (!fronts.empty()) {
        m_forwarder.setNodeCount(static_cast<std::uint32_t>(fronts.size()));
        m_loads.setFronts(fronts);
        queryQuarantine();
    }
}

void front_node::apply(const agreed::configuration_in_force &configuration)
{
    if (configuration.revision <= m_revision) {
        return;
    }
    auto routes = m_dialect->decodeRoutes(configuration.content);
    if (!routes) {
        logger()->error("event=configuration_unreadable revision={} reason={}", configuration.revision.value,
                        routes.error().detail);
        return;
    }
    m_revision = configuration.revision;
    m_version = configuration.number;
    m_configuration = configuration.content;
    m_callers->setBodyLimit(std::min(routes->maxBodyBytes, m_callers->budget().maxBytes() / largestRequestsHeld));
    m_forwarder.setRoutes(std::make_shared<const forward::route_index>(std::move(*routes)));
    m_forwarder.pool().setEvacuated({ configuration.dataCentresOut.begin(), configuration.dataCentresOut.end() });
    logger()->info("event=configuration revision={} version={} data_centres_out={}", m_revision.value, m_version,
                   configuration.dataCentresOut.size());
}

void front_node::poll()
{
    const time_point now = m_time->now();
    settleTargets();
    pollCoordinators(m_revision, {}, m_directory.doubted());
    knowFronts();
    for (const auto &one : m_forwarder.loadSummary(now)) {
        if (one.requestLimit == 0) {
            // Only services that answer with streams have a level that changes.
            continue;
        }
        logger()->info("event=load service={} level={:.1f} busiest={:.1f} slots={} pause={:.2f} waiting={} targets={} "
                       "requests={:.0f} target={} below_level={} reading={} with_room={}",
                       one.service.value, one.requestLimit, one.maxTargetRequests, one.slots, one.pauseRatio,
                       one.waiting, one.spread.targets, one.spread.requests, one.spread.busiest.value,
                       one.spread.belowRequestLimit, one.spread.atPromptLimit, one.spread.withRoom);
    }
    const bool hears = m_links.heardWithin(coordinatorSilence, now) > 0;
    if (hears != m_heardCoordinator) {
        m_heardCoordinator = hears;
        logger()->warn("event=coordinators_{} version={}", hears ? "regained" : "lost", m_version);
    }
}

void front_node::settleTargets()
{
    const time_point last = std::exchange(m_lastPollAt, now());
    if (m_lastPollAt - last >= listeningPause) {
        m_directory.resumeListening(m_lastPollAt);
    }
    if (m_directory.settle(m_lastPollAt)) {
        logUnused(m_directory, *logger(), m_lastPollAt);
        step(forward::forward_tick {});
    }
}

void front_node::shareLoad()
{
    for (auto &message : m_loads.takeDueMessages(m_forwarder.pool().ownLoads(), now(), m_forwarder.ownDemand(now()))) {
        m_messenger->send(message.to, std::move(message.load));
    }
}

void front_node::onQuarantineUpdate(const envelope &received, const forward::quarantine_update &update)
{
    if (update.isQuery) {
        m_messenger->send(received.from, m_forwarder.quarantine().update(now()));
        return;
    }
    m_hasQuarantineUpdate = true;
    step(forward::quarantine_received { update });
}

void front_node::shareQuarantine()
{
    auto &quarantine = m_forwarder.quarantine();
    const time_point at = now();
    const duration since = at - m_quarantineSharedAt;
    const bool isRepeat = !quarantine.isEmpty() && since >= quarantineRepeatPeriod;
    if (since < quarantineMinPeriod || (!quarantine.takeNews(m_loads.isRelay(at)) && !isRepeat)) {
        return;
    }
    m_quarantineSharedAt = at;
    const auto update = quarantine.update(at);
    for (const auto &front : m_loads.neighbours(at)) {
        m_messenger->send(front, update);
    }
}

void front_node::queryQuarantine()
{
    if (m_hasQuarantineUpdate || m_quarantineQueries >= maxQuarantineQueries) {
        return;
    }
    const auto fronts = m_loads.neighbours(now());
    m_quarantineQueries += fronts.empty() ? 0 : 1;
    for (const auto &front : fronts) {
        m_messenger->send(front, forward::quarantine_update { .isQuery = true });
    }
}

void front_node::tick()
{
    m_tickBeforeAt = std::exchange(m_tickAt, m_time->now());
    m_messenger->tick();
    step(forward::forward_tick {});
    shareLoad();
    shareQuarantine();
    stopIfDone();
}

void front_node::stopIfDone()
{
    if (!m_drainStarted) {
        return;
    }
    const duration since = m_time->now() - *m_drainStarted;
    if (since >= m_stopSchedule.closeUnused) {
        m_callers->closeUnused();
    }
    const bool isListening = since < m_stopSchedule.acceptAll;
    if (!isListening) {
        m_callers->stopListening();
    }
    if (since >= m_stopSchedule.lastAnswer) {
        m_callers->rejectUnfinished(result_code::entry_stopping);
    }
    const bool isDone = !isListening && m_forwarder.requestsInProgress() == 0 && !m_callers->isInUse();
    if (isDone || since >= m_stopSchedule.end) {
        logger()->info("event=stop_done after_ms={} requests={}", wholeMs(since), m_forwarder.requestsInProgress());
        m_loop->stop();
    }
}

void front_node::step(const forward::forward_event &event)
{
    if (m_loads.takePeerLoadsChanged(now())) {
        m_forwarder.pool().setPeerLoads(m_loads.peerLoads(now()), !m_loads.isDirect());
        if (m_forwarder.sharesScarceRoom()) {
            m_forwarder.setPeerDemand(m_loads.peerDemand(now()));
        }
    }
    for (auto &action : m_forwarder.step(event, now())) {
        std::visit([this](auto &what) { carryOut(what); }, action);
    }
    loop::trigger(m_shareLater);
}

void front_node::carryOut(forward::start_attempt &action)
{
    http_client *client = m_clients.at(action.call.address);
    if (client == nullptr) {
        logger()->error("event=address_unusable target={} address={}", action.call.target.value, action.call.address);
        step(forward::attempt_failed { action.attempt, true });
        return;
    }
    m_attempts[action.attempt] = { action.call.request, action.call.address };
    client->start({ m_incarnation, action.attempt }, m_dialect->encodeCall(action.call));
}

void front_node::carryOut(const forward::cancel_attempt &action)
{
    const auto found = m_attempts.find(action.attempt);
    if (found != m_attempts.end()) {
        m_clients.at(found->second.address)->cancel({ m_incarnation, action.attempt });
        m_attempts.erase(found);
    }
}

void front_node::carryOut(const forward::probe_target &action)
{
    m_probes.start(action.address, connectTimeout, [this, incarnation = action.incarnation](bool isListening) {
        step(forward::target_probed { incarnation, !isListening });
    });
}

void front_node::carryOut(const forward::refuse_request &action)
{
    const auto answer = m_dialect->encodeRefusal(action.details);
    m_callers->reply(action.exchange, answer.status, answer.headers, answer.body);
}

void front_node::carryOut(forward::send_answer &action)
{
    m_callers->reply(action.exchange, action.head.status, action.head.headers, std::move(action.body));
}

void front_node::carryOut(const forward::start_event_stream &action)
{
    m_callers->startStream(action.exchange, action.head.status, action.head.headers);
}

void front_node::carryOut(const forward::send_events &action)
{
    if (!m_callers->sendPiece(action.exchange, action.bytes)) {
        m_callers->breakStream(action.exchange);
        step(forward::caller_disconnected { action.exchange, true });
    }
}

void front_node::carryOut(const forward::end_event_stream &action)
{
    m_callers->endStream(action.exchange);
}

void front_node::carryOut(const forward::abort_answer &action)
{
    m_callers->breakStream(action.exchange);
}

void front_node::carryOut(const forward::request_finished &action)
{
    m_counts.record(action);
    if (action.cut) {
        logger()->warn("event=stream_cut id={} cause={} code={} target={} attempts={} pause_ms={} whole_ms={}",
                       action.id.value, forward::toString(*action.cut), describe(action.code).name, action.target.value,
                       action.attempts, wholeMs(action.longestPause), wholeMs(action.totalTime));
    }
    // Answers in time are the rule; of these a sample shows what is usual.
    const bool isUneventful
        = action.code == result_code::ok && !action.isLate && checksum(action.id.value) % uneventfulPerLine != 0;
    const auto level = isUneventful ? spdlog::level::debug : spdlog::level::info;
    if (!logger()->should_log(level)) {
        return;
    }
    logger()->log(level,
                  "event=request id={} route={} workspace={} service={} target={} code={} status={} attempts={} "
                  "queued_ms={} first_ms={} pause_ms={} whole_ms={} late={} version={} parts={} method={} path={}",
                  action.id.value, action.route.value, action.workspace.value, action.service.value,
                  action.target.value, describe(action.code).name, action.status, action.attempts,
                  wholeMs(action.queueTime), wholeMs(action.firstByteTime), wholeMs(action.longestPause),
                  wholeMs(action.totalTime), action.isLate, action.configurationVersion, loggedParts(*action.request),
                  action.request->method, std::string_view(action.request->path).substr(0, loggedPathBytes));
}

void front_node::carryOut(const forward::failed_attempt &action)
{
    m_counts.record(action);
    logger()->info(
        "event=attempt id={} target={} started={} outcome={} next={} stage={} age_ms={} at_fault={} parts={}",
        action.id.value, action.incarnation.target.value, action.incarnation.startedMs, action.outcome, action.next,
        toString(action.stage), wholeMs(action.age), action.targetAtFault.value, loggedParts(*action.request));
}

void front_node::carryOut(const forward::notice_applied &action)
{
    m_counts.record(action);
    const auto write = [&action](std::string_view what, forward::milliseconds left) {
        logger()->info("event=target_notice target={} started={} says={} rest_ms={} id={}",
                       action.incarnation.target.value, action.incarnation.startedMs, what, left.count(),
                       action.id.value);
    };
    std::visit(overloaded {
                   [&](const forward::leaving_notice &) { write("leaving", {}); },
                   [&](const forward::backoff_notice &said) {
                       write("rest", std::chrono::duration_cast<forward::milliseconds>(said.left));
                   },
               },
               action.notice);
}

void front_node::carryOut(const forward::quarantine_changed &action)
{
    m_counts.record(action);
    const auto &record = action.note.record;
    logger()->warn("event=quarantine state={} parts={} reason={} since_ms={} trials={} next_trial_ms={} evidence={}",
                   toString(action.note.change), joined(record.parts), toString(record.origin), record.sinceMs,
                   record.trials, record.nextTrialMs, witnesses(record));
}

void front_node::carryOut(const forward::node_stalled &action)
{
    m_counts.record(action);
    logger()->warn("event=loop_late delay_ms={}", wholeMs(action.time));
}

} // namespace figcleat
