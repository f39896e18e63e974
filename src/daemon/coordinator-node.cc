#include "figcleat/daemon/coordinator-node.h"

#include "figcleat/core/log.h"
#include "figcleat/core/overloaded.h"
#include "figcleat/wire/codec.h"

#include <algorithm>

namespace figcleat
{

namespace
{

constexpr duration tickPeriod = std::chrono::milliseconds(50);
/** Coordinators exchange registrations this often; a target may report to another one each time. */
constexpr duration pollPeriod = std::chrono::milliseconds(300);
/** A node that has not polled for this long is not counted. */
constexpr duration subscriberSilence = std::chrono::seconds(3);
/** Without word of any other coordinator for this long, this one is taken to be cut off. */
constexpr duration isolationSilence = std::chrono::milliseconds(1200);
/** After its start, time in which a coordinator finds the others. */
constexpr duration startPeriod = std::chrono::seconds(2);
constexpr std::size_t maxSubscribers = 4096;
/** A new leader orders nothing until its predecessor has stepped down, which takes `consensus::quorumTimeout`. */
constexpr duration takeoverPeriod = std::chrono::seconds(2);
static_assert(takeoverPeriod > consensus::quorumTimeout);
/** After a longer pause between ticks this process may have been suspended, and its lease has to be checked. */
constexpr duration suspendedPause = 4 * tickPeriod;
constexpr std::size_t maxGroups = 256;
/** An engine answers within milliseconds, or has lost the answer. */
constexpr duration engineTimeout = std::chrono::milliseconds(120);
/** Reports come every 200 ms; one that is older says nothing of the engine now. */
constexpr duration reportSilence = std::chrono::milliseconds(1500);
/** Below it an engine is as good as the others. */
constexpr double slowPace = 1.25;
/** Fronts that share their load with each other; more would cost more messages than a node may send. */
constexpr std::size_t maxFrontsNamed = 64;
/** Versions of maps in one term; a later term begins above all versions of an earlier one. */
constexpr std::uint64_t versionsPerTerm = 1'000'000;

auto logger()
{
    return logFor(part::agreed);
}

} // namespace

expected<std::unique_ptr<coordinator_node>> coordinator_node::open(const forward::node_settings &settings,
                                                                   const forward::dialect &language, loop &eventLoop,
                                                                   const clock &time, std::uint64_t random)
{
    auto opened = std::unique_ptr<coordinator_node>(new coordinator_node(settings, language, eventLoop, time, random));
    if (const auto started = opened->start(random); !started) {
        return tl::unexpected<error>(started.error());
    }
    return opened;
}

coordinator_node::coordinator_node(forward::node_settings settings, const forward::dialect &language, loop &eventLoop,
                                   const clock &time, std::uint64_t random)
    : m_settings(std::move(settings))
    , m_dialect(&language)
    , m_loop(&eventLoop)
    , m_time(&time)
    , m_incarnation { random | 1U }
    , m_startedAt(time.now())
    , m_links(m_settings.seeds, { toString(socket_address { m_settings.ip, m_settings.mailboxPort }) }, time.now())
{
}

expected<void> coordinator_node::start(std::uint64_t random)
{
    const peer_address self { toString(socket_address { m_settings.ip, m_settings.mailboxPort }) };
    auto messages = messenger::open(*m_loop, *m_time, self, m_incarnation,
                                    [this](const envelope &received) { receive(received); });
    if (!messages) {
        return tl::unexpected<error>(messages.error());
    }
    m_messenger = std::move(*messages);
    control_settings own;
    own.dataFolder = m_settings.dataFolder;
    own.voters = m_settings.seeds;
    own.automaticSeats = 2 * std::size_t { m_settings.bounds.toleratedLosses } + 1;
    own.mayFound = m_settings.isFirstStart;
    control_node::parts wiring;
    wiring.eventLoop = m_loop;
    wiring.time = m_time;
    wiring.send
        = [this](const peer_address &to, const consensus::raft_message &message) { m_messenger->send(to, message); };
    wiring.onCommitted = [this](const agreed::configuration_in_force &committed) {
        logger()->info("event=configuration revision={} version={} data_centres_out={}", committed.revision.value,
                       committed.number, committed.dataCentresOut.size());
        applyRoutes();
        publish();
    };
    auto control = control_node::open(own, self, random, std::move(wiring));
    if (!control) {
        return tl::unexpected<error>(control.error());
    }
    m_control = std::move(*control);
    http_limits limits;
    limits.bodyBytes = maxMessageBytes;
    auto server = http_server::open(m_loop->base(), m_settings.listen.ip, m_settings.listen.port, limits, *this);
    if (!server) {
        return tl::unexpected<error>(server.error());
    }
    m_server = std::move(*server);
    m_loop->every(tickPeriod, [this] { tick(); });
    m_loop->every(pollPeriod, [this] { pollOthers(); });
    return {};
}

void coordinator_node::drain()
{
    logger()->info("event=stop calls={}", m_open.size());
    m_stopping = true;
    m_server->stopListening();
    m_server->closeAfterAnswers();
}

void coordinator_node::reload(const forward::node_settings &settings)
{
    m_settings.seeds = settings.seeds;
    m_links.setSeeds(settings.seeds, m_time->now());
    logger()->info("event=reload seeds={}", settings.seeds.size());
}

void coordinator_node::onRequest(exchange_id exchange, http_request request)
{
    auto call = m_dialect->decodeCall(request);
    m_open[exchange] = std::move(request);
    if (!call) {
        logger()->warn("event=call_refused path={} code={} reason={}", m_open[exchange].path,
                       describe(call.error().code).name, call.error().detail);
        answer(exchange, { .code = call.error().code, .detail = call.error().detail });
        return;
    }
    std::visit([&](const auto &what) { carryOut(exchange, what); }, *call);
}

void coordinator_node::onCallerGone(exchange_id exchange)
{
    m_open.erase(exchange);
}

void coordinator_node::onRejected(result_code code)
{
    logger()->warn("event=call_rejected code={}", describe(code).name);
}

void coordinator_node::answer(exchange_id exchange, const forward::coordinator_answer &what)
{
    const auto found = m_open.find(exchange);
    if (found == m_open.end()) {
        return;
    }
    const auto encoded = m_dialect->encodeAnswer(found->second, what);
    m_open.erase(found);
    m_server->reply(exchange, encoded.status, encoded.headers, encoded.body);
}

bool coordinator_node::isConnected() const
{
    const time_point now = m_time->now();
    return m_links.links().empty() || m_links.heardWithin(isolationSilence, now) > 0 || now - m_startedAt < startPeriod;
}

void coordinator_node::carryOut(exchange_id exchange, const forward::register_target &call)
{
    if (!isConnected()) {
        answer(exchange, { .code = result_code::agreement_unavailable, .detail = "no other coordinator is heard" });
        return;
    }
    const auto &what = call.what;
    if (m_directory.merge(what, m_time->now())) {
        logger()->info("event=target target={} service={} address={} state={} cold_ms={} order={}.{}",
                       what.target.value, what.service.value, what.address, static_cast<int>(what.state),
                       what.coldLeftMs, what.order.startedMs, what.order.sequence);
        publish();
    }
    answer(exchange, {});
}

void coordinator_node::carryOut(exchange_id exchange, const forward::deregister_target &call)
{
    if (!isConnected()) {
        answer(exchange, { .code = result_code::agreement_unavailable, .detail = "no other coordinator is heard" });
        return;
    }
    if (m_directory.leave(call.target, call.startedMs, m_time->now())) {
        logger()->info("event=target target={} state=gone started={}", call.target.value, call.startedMs);
        publish();
    }
    answer(exchange, {});
}

peer_address coordinator_node::leader() const
{
    const auto known = m_control->status().leader;
    if (known) {
        return *known;
    }
    return m_links.leader(isolationSilence, m_time->now());
}

bool coordinator_node::redirect(exchange_id exchange)
{
    const auto status = m_control->status();
    if (status.role == consensus::raft_role::leader) {
        return false;
    }
    const auto address = parseSocketAddress(leader().value);
    if (!address) {
        answer(exchange, { .code = result_code::not_leader, .detail = "no leader is known" });
    } else {
        answer(exchange,
               { .code = result_code::not_leader,
                 .detail = "another coordinator leads",
                 .askInstead = toString(socket_address { address->ip, m_settings.coordinatorPort }) });
    }
    return true;
}

void coordinator_node::carryOut(exchange_id exchange, const forward::put_configuration &call)
{
    const auto routes = m_dialect->decodeRoutes(call.content);
    const auto valid = routes ? forward::check(*routes) : tl::unexpected<error>(routes.error());
    if (!valid) {
        logger()->warn("event=configuration_refused version={} reason={}", call.version, valid.error().detail);
        answer(exchange, { .code = valid.error().code, .detail = valid.error().detail });
        return;
    }
    if (call.version <= m_control->state().configuration().number) {
        // What is in force has this version or a higher one, so the call changes nothing.
        answer(exchange, {});
        return;
    }
    if (!redirect(exchange)) {
        propose(exchange, agreed::submit_configuration { call.version, call.content, {} });
    }
}

void coordinator_node::carryOut(exchange_id exchange, const forward::set_data_centre_service &call)
{
    const auto &known = m_settings.dataCentres;
    if (std::find(known.begin(), known.end(), call.dataCentre) == known.end()) {
        answer(exchange, { .code = result_code::unknown_data_centre, .detail = call.dataCentre.value });
        return;
    }
    if (!redirect(exchange)) {
        propose(exchange, agreed::set_data_centre { call.dataCentre, call.inService });
    }
}

void coordinator_node::propose(exchange_id exchange, agreed::command command)
{
    m_control->propose(std::move(command), [this, exchange](result_code code, const agreed::outcome &result) {
        const bool isOvertaken = result.code == result_code::configuration_number_too_low
            || result.code == result_code::configuration_number_taken;
        const result_code decided = code != result_code::ok ? code : (isOvertaken ? result_code::ok : result.code);
        logger()->info("event=command code={} revision={} overtaken={} detail={}", describe(decided).name,
                       result.revision.value, isOvertaken, result.detail);
        answer(exchange, { .code = decided, .detail = result.detail });
    });
}

void coordinator_node::carryOut(exchange_id exchange, const forward::get_configuration & /*call*/)
{
    if (redirect(exchange)) {
        return;
    }
    m_control->read([this, exchange](result_code code) {
        const auto &held = m_control->state().configuration();
        if (code == result_code::ok && held.revision.value == 0) {
            answer(exchange, { .code = result_code::not_configured });
            return;
        }
        answer(exchange, { .code = code, .content = held.content });
    });
}

void coordinator_node::receive(const envelope &received)
{
    std::visit(overloaded {
                   [&](const consensus::raft_message &message) { m_control->receive(received.from, message); },
                   [&](const forward::node_poll &poll) { onPoll(received, poll); },
                   [&](const forward::node_update &update) { onUpdate(received, update); },
                   [&](const forward::rank_report &report) { onRankReport(received, report); },
                   [&](const forward::rank_result &result) { onRankResult(result); },
                   [](const auto &) {},
               },
               received.message);
}

void coordinator_node::onPoll(const envelope &received, const forward::node_poll &poll)
{
    if (m_subscribers.size() >= maxSubscribers && !m_subscribers.contains(received.from)) {
        logger()->warn("event=subscriber_refused vm={} subscribers={}", poll.vm.value, m_subscribers.size());
        return;
    }
    if (poll.role == forward::node_role::coordinator) {
        m_links.onCoordinatorPoll(received.from, m_time->now());
    }
    auto &who = m_subscribers[received.from];
    who = { received.incarnation, poll.role, m_time->now(),
            poll.coordinator == m_incarnation ? poll.directoryVersion : 0, poll.revision };
    update(received.from, who);
}

void coordinator_node::update(const peer_address &to, subscriber &who)
{
    const auto filter = who.role == forward::node_role::coordinator ? forward::change_filter::touched
                                                                    : forward::change_filter::changed;
    forward::node_update message;
    message.directoryVersion = m_directory.version();
    message.since = who.directoryVersion;
    if (who.role != forward::node_role::agent) {
        message.changes = m_directory.changesAfter(who.directoryVersion, filter, m_time->now());
    }
    const auto &held = m_control->state().configuration();
    if (who.role == forward::node_role::front && held.revision > who.revision) {
        message.configuration.push_back(held);
    }
    message.coordinators = m_links.addresses();
    message.knowsEngines = who.role == forward::node_role::front && mayOrder();
    if (message.knowsEngines) {
        message.engines = m_engines;
    }
    const auto log = m_control->status();
    message.leader = log.leader.value_or(peer_address {});
    message.term = log.term.value;
    for (const auto &[address, one] : m_subscribers) {
        const bool counts = one.role == forward::node_role::front && m_time->now() - one.heard < subscriberSilence;
        message.fronts += counts ? 1 : 0;
        if (counts && who.role == forward::node_role::front && message.frontAddresses.size() < maxFrontsNamed) {
            message.frontAddresses.push_back(address);
        }
    }
    who.directoryVersion = message.directoryVersion;
    who.revision = std::max(who.revision, held.revision);
    m_messenger->send(to, std::move(message));
}

void coordinator_node::applyRoutes()
{
    const auto routes = m_dialect->decodeRoutes(m_control->state().configuration().content);
    if (!routes) {
        logger()->error("event=configuration_unreadable reason={}", routes.error().detail);
        return;
    }
    std::map<service_id, group::group_model> models;
    for (const auto &one : routes->services) {
        if (one.groups) {
            models.emplace(one.name, *one.groups);
        }
    }
    if (models != m_models) {
        m_models = std::move(models);
        m_groups.clear();
    }
}

bool coordinator_node::mayOrder() const
{
    return m_leadsSince && m_time->now() - *m_leadsSince >= takeoverPeriod;
}

void coordinator_node::onRankReport(const envelope &received, const forward::rank_report &report)
{
    if (m_time->now() - m_lastTick > suspendedPause) {
        tick();
    }
    const auto model = m_models.find(report.status.service);
    const bool isKnown = m_groups.contains(report.status.group) || m_groups.size() < maxGroups;
    if (!mayOrder() || model == m_models.end() || !isKnown) {
        return;
    }
    auto &record = m_groups[report.status.group];
    if (!record.controller) {
        record.controller = std::make_unique<group::map_controller>(
            group::map_controller_settings { model->second, m_control->status().term.value * versionsPerTerm + 1 });
    }
    record.agents[report.status.rank] = received.from;
    stepMaps(report.status.group, group::rank_reported { report.status });
}

void coordinator_node::onRankResult(const forward::rank_result &result)
{
    if (mayOrder()) {
        stepMaps(result.group, group::order_answered { result.rank, result.answer });
    }
}

void coordinator_node::stepMaps(const group_id &group, const group::map_event &event)
{
    const auto found = m_groups.find(group);
    if (found == m_groups.end()) {
        return;
    }
    auto &record = found->second;
    const std::uint64_t term = m_control->status().term.value;
    for (auto &action : record.controller->step(event, m_time->now())) {
        std::visit(
            overloaded {
                [&](group::send_order &what) {
                    if (what.directly) {
                        orderDirectly(group, what);
                        return;
                    }
                    m_messenger->send(record.agents[what.rank], forward::rank_command { term, std::move(what.order) });
                },
                [&](const group::map_note &what) {
                    logFor(part::group)->info("event=map group={} term={} {}", group.value, term, what.what);
                },
            },
            action);
    }
}

void coordinator_node::orderDirectly(const group_id &group, const group::send_order &what)
{
    const auto reports = m_groups.at(group).controller->reports(duration::max(), m_time->now());
    const auto rank = std::find_if(reports.begin(), reports.end(),
                                   [&what](const auto &status) { return status.rank == what.rank; });
    const auto address = rank == reports.end() ? std::nullopt : parseSocketAddress(rank->address);
    if (!address) {
        logFor(part::group)->error("event=direct_order group={} rank={} reason=no_address", group.value, what.rank);
        return;
    }
    auto &client = m_engineClients[rank->address];
    if (!client) {
        const http_client_settings settings { .connectTimeout = engineTimeout,
                                              .firstByteTimeout = engineTimeout,
                                              .progressTimeout = engineTimeout,
                                              .endOfConnectionIsEnd = false,
                                              .keepHost = false,
                                              .keepAlive = false };
        client = std::make_unique<http_client>(m_loop->base(), address->ip, address->port, settings, *this);
    }
    logFor(part::group)
        ->warn("event=direct_order group={} rank={} op={} version={} step={}", group.value, what.rank,
               static_cast<int>(what.order.operation), what.order.version.value, what.order.step.value);
    m_lastDirectOrder = m_lastDirectOrder.next();
    const attempt_id attempt { m_incarnation, m_lastDirectOrder };
    m_directOrders[attempt] = { group, what.rank, what.order.id, group::order_result::unknown };
    client->start(attempt, m_dialect->orderCall(what.order));
}

void coordinator_node::onAnswerStart(attempt_id attempt, int status, const http_headers & /*headers*/)
{
    m_directOrders[attempt].result = m_dialect->decodeOrderResult(status);
}

void coordinator_node::onBytes(attempt_id /*attempt*/, std::string_view /*bytes*/)
{
}

void coordinator_node::onAnswerEnd(attempt_id attempt)
{
    endDirectOrder(attempt, m_directOrders[attempt].result);
}

void coordinator_node::onFailure(attempt_id attempt, bool /*notSent*/)
{
    endDirectOrder(attempt, group::order_result::unknown);
}

void coordinator_node::endDirectOrder(attempt_id attempt, group::order_result result)
{
    const auto found = m_directOrders.find(attempt);
    if (found == m_directOrders.end()) {
        return;
    }
    const auto done = std::move(found->second);
    m_directOrders.erase(found);
    onRankResult({ done.group, done.rank, { done.order, result } });
}

void coordinator_node::reviewEngines()
{
    std::vector<forward::engine_condition> engines;
    for (const auto &[id, record] : m_groups) {
        const auto reports = record.controller->reports(reportSilence, m_time->now());
        const bool isOpen = std::all_of(reports.begin(), reports.end(), [](const auto &one) { return one.isOpen; });
        for (const auto &one : reports) {
            if (!isOpen || one.pace >= slowPace) {
                engines.push_back({ one.address, isOpen, one.pace });
            }
        }
    }
    if (engines != m_engines) {
        m_engines = std::move(engines);
        logFor(part::group)
            ->warn("event=engines_impaired count={} first={} open={} pace={:.1f}", m_engines.size(),
                   m_engines.empty() ? "" : m_engines.front().address, m_engines.empty() || m_engines.front().isOpen,
                   m_engines.empty() ? 1.0 : m_engines.front().pace);
        publish();
    }
}

void coordinator_node::publish()
{
    for (auto &[address, who] : m_subscribers) {
        if (who.role != forward::node_role::agent && m_time->now() - who.heard < subscriberSilence) {
            update(address, who);
        }
    }
}

void coordinator_node::onUpdate(const envelope &received, const forward::node_update &update)
{
    const time_point now = m_time->now();
    m_links.onUpdate(received.from, received.incarnation, update, now);
    bool isNews = false;
    for (const auto &one : update.changes) {
        isNews = m_directory.merge(one, now) || isNews;
    }
    if (isNews) {
        publish();
    }
}

void coordinator_node::pollOthers()
{
    const time_point now = m_time->now();
    m_links.forgetSilent(now);
    std::erase_if(m_subscribers,
                  [now](const auto &entry) { return now - entry.second.heard >= coordinator_links::forgetAfter; });
    m_control->learnContacts(m_links.addresses());
    for (const auto &[address, link] : m_links.links()) {
        m_messenger->send(address,
                          forward::node_poll { m_settings.vm, forward::node_role::coordinator, link.incarnation,
                                               link.directoryVersion, m_control->state().configuration().revision });
    }
    if (m_directory.expire(now)) {
        logger()->warn("event=target_expired targets={}", m_directory.entries().size());
        publish();
    }
    const bool hasLeader = m_control->status().leader.has_value();
    if (hasLeader != m_hasLeader) {
        m_hasLeader = hasLeader;
        logger()->warn("event=leader_{} leader={} term={}", hasLeader ? "regained" : "lost", leader().value,
                       m_control->status().term.value);
    }
}

void coordinator_node::tick()
{
    m_lastTick = m_time->now();
    m_messenger->tick();
    m_control->tick();
    const bool leads = m_control->status().role == consensus::raft_role::leader;
    if (leads != m_leadsSince.has_value()) {
        m_leadsSince = leads ? std::optional(m_lastTick) : std::nullopt;
        m_groups.clear();
    }
    if (mayOrder()) {
        for (const auto &entry : m_groups) {
            stepMaps(entry.first, group::map_tick {});
        }
        reviewEngines();
    }
    if (m_stopping && m_open.empty() && !m_server->hasUnsentBytes()) {
        m_loop->stop();
    }
}

} // namespace figcleat
