#include "figcleat/daemon/coordinator-node.h"

#include "figcleat/core/digest.h"
#include "figcleat/core/log.h"
#include "figcleat/core/overloaded.h"
#include "figcleat/daemon/target-status.h"
#include "figcleat/forward/stop-schedule.h"
#include "figcleat/wire/codec.h"

#include <algorithm>
#include <fmt/format.h>

namespace figcleat
{

namespace
{

constexpr duration tickPeriod = std::chrono::milliseconds(50);
/** Coordinators exchange registrations this often; a target may report to another one each time. */
constexpr duration pollPeriod = std::chrono::milliseconds(300);
/** A node that has not polled for this long is not counted. */
constexpr duration subscriberSilence = std::chrono::seconds(3);
/** A leader named by another coordinator is believed for this long. */
constexpr duration leaderHintPeriod = std::chrono::milliseconds(1200);
/** After a longer pause between polls this process may have been suspended and may have missed registrations. */
constexpr duration listeningPause = std::chrono::seconds(1);
constexpr std::size_t maxSubscribers = 4096;
/** Callers ask another coordinator after a second without an answer. */
constexpr duration signOffTimeout = std::chrono::milliseconds(900);
/** After a longer pause between ticks this process may have been suspended, and its lease has to be checked. */
constexpr duration suspendedPause = 4 * tickPeriod;
/** A loop that is this late has more messages to handle than its processor share allows. */
constexpr duration notableDelay = 2 * tickPeriod;
constexpr duration delayWindow = std::chrono::seconds(1);
/** A leader that has not heard the controllers of all groups for this long tells the fronts what it has. */
constexpr duration longestUnknown = std::chrono::seconds(2);
/** Models change seldom, and a configuration of many routes takes 0.1 s of a coordinator's share to read. */
constexpr duration modelsPeriod = std::chrono::seconds(1);
/** Messages of nodes that are handled before the log and callers get their turn; about 10 ms of a coordinator's share.
 */
constexpr int messagesPerTurn = 8;
/** Changes that come within this time are told in one message to each node: a hundred targets start or leave at once.
 */
constexpr duration publicationDelay = std::chrono::milliseconds(10);
/** Fronts that are named to fronts, about 35 bytes each. */
constexpr std::size_t maxFrontsNamed = 1024;
/** Calls take half of the descriptors; the rest is for messages between nodes and for the log. */
constexpr std::size_t descriptorsPerCall = 2;
constexpr std::size_t minCalls = 16;
/** Share of the VM's memory for calls and their answers. */
constexpr double callMemoryShare = 0.3;

auto logger()
{
    return logFor(part::agreed);
}

} // namespace

coordinator_node::coordinator_node(node_context context)
    : node_base(std::move(context))
    , m_directory(m_self.value)
    , m_proposer(m_settings.seeds)
{
    m_directory.resumeListening(m_startedAt);
}

expected<void> coordinator_node::openLog()
{
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
        m_configurations.add(committed);
        publishSoon();
    };
    wiring.onSignedOff = [this](const agreed::record_sign_off &signOff) { onSignedOff(signOff); };
    auto control = control_node::open(own, m_self, m_random, std::move(wiring));
    if (!control) {
        return tl::unexpected<error>(control.error());
    }
    m_control = std::move(*control);
    return {};
}

expected<void> coordinator_node::start()
{
    // Opening the log may already publish a configuration.
    m_publicationDue = m_loop->deferred([this] {
        m_isPublicationScheduled = false;
        publish();
    });
    m_waitingDue = m_loop->deferred([this] { handleWaiting(); });
    auto opened = openMailbox().and_then([this] { return openMetrics(); }).and_then([this] { return openLog(); });
    if (!opened) {
        return opened;
    }
    http_limits limits;
    limits.bodyBytes = maxMessageBytes;
    limits.connections = std::max<std::size_t>(minCalls, m_settings.limits.descriptors / descriptorsPerCall);
    limits.heldBytes = static_cast<std::size_t>(callMemoryShare * static_cast<double>(m_settings.limits.memoryBytes));
    auto server = http_server::open(m_loop->base(), m_settings.listen.ip, m_settings.listen.port, limits, *this);
    if (!server) {
        return tl::unexpected<error>(server.error());
    }
    m_server = std::move(*server);
    collectContacts();
    m_loop->every(tickPeriod, [this] { tick(); });
    m_loop->every(pollPeriod, [this] { pollOthers(); });
    return {};
}

void coordinator_node::writeMetrics(report::metrics_text &page) const
{
    const auto log = m_control->status();
    page.gauge("figcleat_log_term", "Term of the replicated log.", {}, static_cast<double>(log.term.value));
    page.gauge("figcleat_log_leads", "1 if this coordinator leads the replicated log.", {},
               log.role == consensus::raft_role::leader ? 1 : 0);
    page.gauge("figcleat_log_has_leader", "1 if a leader of the replicated log is known.", {}, log.leader ? 1 : 0);
    const auto &held = m_control->state().configuration();
    page.gauge("figcleat_configuration_version", "Version of the configuration in force.", {},
               static_cast<double>(held.number));
    page.gauge("figcleat_configuration_revision", "Revision of the agreed state.", {},
               static_cast<double>(held.revision.value));
    writeTargets(page, m_directory);
    page.counter("figcleat_registrations_refused_total",
                 "Registrations refused because another target that goes on registering has their address.", {},
                 m_directory.refusedClaims());
    page.gauge("figcleat_subscribers", "Nodes that poll this coordinator.", {},
               static_cast<double>(m_subscribers.size()));
    page.counter("figcleat_messages_shed_total",
                 "Messages of nodes that a later one replaced or that found no place while this coordinator was busy.",
                 {}, m_inbox.shed());
    for (const auto &[code, count] : m_commands) {
        page.counter("figcleat_commands_total", "Operators' commands that were decided here.",
                     fmt::format("code=\"{}\",name=\"{}\"", static_cast<int>(code), describe(code).name), count);
    }
    page.gauge("figcleat_loop_delay_seconds", "Longest delay of the event loop in the last second.", {},
               std::chrono::duration<double>(m_lastWindowDelay).count());
    for (const auto &one : m_leases.groups(now())) {
        const std::string group = fmt::format("controller=\"{}\",group=\"{}\"", one.controller.value, one.group.value);
        page.gauge("figcleat_group_controlled", "1 while a controller of the group prolongs its control.", group,
                   one.isControlled ? 1 : 0);
        page.gauge("figcleat_group_fence", "Fence of the control of the group.", group,
                   static_cast<double>(one.fence.value));
    }
}

std::optional<forward::http_answer> coordinator_node::answerOperator(const http_request &request)
{
    return answerTargetStatus(request, m_directory, now());
}

void coordinator_node::drain()
{
    if (m_stopStarted) {
        return;
    }
    logger()->info("event=stop calls={}", m_open.size());
    m_stopStarted = now();
    m_server->stopListening();
    m_server->closeAfterAnswers();
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

bool coordinator_node::isKnown(const data_centre_id &dataCentre) const
{
    const auto &known = m_settings.dataCentres;
    return std::find(known.begin(), known.end(), dataCentre) != known.end();
}

void coordinator_node::carryOut(exchange_id exchange, const forward::register_target &call)
{
    const auto &what = call.what;
    if (!isKnown(what.dataCentre)) {
        logger()->warn("event=registration_refused reason=unknown_data_centre target={} data_centre={}",
                       what.target.value, what.dataCentre.value);
        answer(exchange, { .code = result_code::malformed_request, .detail = "unknown data centre" });
        return;
    }
    if (merge(what, m_time->now())) {
        logger()->info("event=target target={} service={} address={} state={} cold_ms={} order={}.{}",
                       what.target.value, what.service.value, what.address, static_cast<int>(what.state),
                       what.coldLeftMs, what.order.startedMs, what.order.sequence);
        logUnusedTargets();
        publishSoon();
    }
    if (what.state != forward::registration_state::ready) {
        signOff(exchange, what.target, what.order.startedMs);
        return;
    }
    answer(exchange, {});
}

bool coordinator_node::merge(const forward::registration &what, time_point now)
{
    const auto refused = m_directory.refusedClaims();
    const bool isNews = m_directory.merge(what, now);
    if (m_directory.refusedClaims() != refused) {
        logger()->warn("event=registration_refused reason=address_claimed target={} address={} order={}.{}",
                       what.target.value, what.address, what.order.startedMs, what.order.sequence);
    }
    return isNews;
}

void coordinator_node::carryOut(exchange_id exchange, const forward::deregister_target &call)
{
    const auto *known = m_directory.find(call.target);
    const std::int64_t startedMs
        = call.startedMs == 0 && known != nullptr ? known->latest.order.startedMs : call.startedMs;
    // Fronts learn it even if the log cannot decide.
    if (m_directory.leave(call.target, startedMs, m_time->now())) {
        logger()->info("event=target target={} state=gone started={}", call.target.value, startedMs);
        logUnusedTargets();
        publishSoon();
    }
    signOff(exchange, call.target, startedMs);
}

void coordinator_node::signOff(exchange_id exchange, const target_id &target, std::int64_t startedMs)
{
    if (m_control->state().signOffs().contains(target, startedMs)) {
        answer(exchange, {});
        return;
    }
    const std::uint64_t id = ++m_lastProposal;
    m_signOffCalls.emplace(id, sign_off_call { exchange, now() + signOffTimeout });
    if (const auto leader = m_control->status().leader; leader) {
        m_proposer.onVoter(*leader, *leader);
    }
    perform(m_proposer.submit(id, agreed::record_sign_off { target, startedMs }, now()));
}

void coordinator_node::perform(std::vector<proposer_action> actions)
{
    for (auto &action : actions) {
        std::visit(overloaded {
                       [this](send_proposal &what) {
                           if (what.to != m_self) {
                               m_messenger->send(what.to, proposal { what.id, std::move(what.command) });
                               return;
                           }
                           m_control->propose(std::move(what.command),
                                              [this, id = what.id](result_code code, const agreed::outcome &result) {
                                                  perform(m_proposer.onAnswer(m_self, id, code, result, {}, now()));
                                              });
                       },
                       [this](const decided &what) {
                           const auto call = m_signOffCalls.extract(what.id);
                           const auto code = what.code != result_code::ok ? what.code : what.result.code;
                           ++m_commands[code];
                           if (!call.empty()) {
                               answer(call.mapped().exchange, { .code = code, .detail = what.result.detail });
                           }
                       },
                   },
                   action);
    }
}

void coordinator_node::refuseOverdueSignOffs()
{
    std::erase_if(m_signOffCalls, [this](const auto &item) {
        const bool isOverdue = now() >= item.second.deadline;
        if (isOverdue) {
            answer(item.second.exchange,
                   { .code = result_code::agreement_unavailable, .detail = "the log has not decided in time" });
        }
        return isOverdue;
    });
}

bool coordinator_node::receiveProposal(const envelope &received)
{
    if (const auto *answered = std::get_if<proposal_answer>(&received.message); answered != nullptr) {
        perform(m_proposer.onAnswer(received.from, answered->id, answered->code, answered->result, answered->leader,
                                    now()));
        return true;
    }
    const auto *asked = std::get_if<proposal>(&received.message);
    if (asked == nullptr) {
        return false;
    }
    if (!std::holds_alternative<agreed::record_sign_off>(asked->command)) {
        logger()->warn("event=proposal_refused from={}", received.from.value);
        return true;
    }
    m_control->propose(asked->command,
                       [this, to = received.from, id = asked->id](result_code code, const agreed::outcome &result) {
                           m_messenger->send(to, proposal_answer { id, code, result, leader() });
                       });
    return true;
}

void coordinator_node::onSignedOff(const agreed::record_sign_off &signOff)
{
    if (m_directory.hasSignedOff({ signOff.target, signOff.startedMs })
        || !m_directory.leave(signOff.target, signOff.startedMs, now())) {
        return;
    }
    logger()->info("event=target target={} state=gone started={} from=log", signOff.target.value, signOff.startedMs);
    logUnusedTargets();
    publishSoon();
}

void coordinator_node::logUnusedTargets()
{
    logUnused(m_directory, *logger(), now());
}

peer_address coordinator_node::leader() const
{
    const auto known = m_control->status().leader;
    if (known) {
        return *known;
    }
    return m_links.leader(leaderHintPeriod, m_time->now());
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
                 .redirectAddress = toString(socket_address { address->ip, m_settings.coordinatorPort }) });
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
    if (!isKnown(call.dataCentre)) {
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
        ++m_commands[decided];
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
    ++m_messages;
    if (const auto *message = std::get_if<consensus::raft_message>(&received.message)) {
        m_control->receive(received.from, *message);
        return;
    }
    if (receiveProposal(received)) {
        return;
    }
    m_inbox.add(received);
    if (!std::exchange(m_isWaitingScheduled, true)) {
        loop::triggerAfter(m_waitingDue, {});
    }
}

void coordinator_node::handleWaiting()
{
    for (int i = 0; i < messagesPerTurn; ++i) {
        const auto next = m_inbox.take();
        if (!next) {
            break;
        }
        handle(*next);
    }
    m_isWaitingScheduled = !m_inbox.empty();
    if (m_isWaitingScheduled) {
        loop::triggerAfter(m_waitingDue, {});
    }
}

void coordinator_node::handle(const envelope &received)
{
    std::visit(overloaded {
                   [&](const forward::node_poll &poll) { onPoll(received, poll); },
                   [&](const forward::node_update &update) { onUpdate(received, update); },
                   [&](const forward::control_renewal &renewal) { onRenewal(received, renewal); },
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
    const bool isSameLife = poll.coordinator == m_incarnation;
    const bool isNew = !m_subscribers.contains(received.from);
    auto &who = m_subscribers[received.from];
    who.role = poll.role;
    who.dataCentre = poll.dataCentre;
    who.heard = m_time->now();
    who.directoryVersion = isSameLife ? poll.directoryVersion : 0;
    who.contactsChecksum = isSameLife ? poll.contactsChecksum : 0;
    if (std::exchange(who.incarnation, received.incarnation) != received.incarnation) {
        who.configuration = {};
    }
    who.doubted = poll.doubted;
    who.takesDeltas = poll.takesDeltas;
    who.configuration.onPoll(poll.revision, m_control->state().configuration().revision, who.heard);
    if (isNew) {
        collectContacts();
    }
    for (const auto &seat : poll.seat) {
        m_leases.onMembership(received.from, poll.dataCentre, seat, now());
    }
    update(received.from, who);
}

void coordinator_node::onRenewal(const envelope &received, const forward::control_renewal &renewal)
{
    if (now() - m_lastTick > suspendedPause) {
        tick();
    }
    const auto &request = renewal.request;
    const auto grant = m_leases.onRequest(received.from, request, now());
    if (!m_leadsInTerm || grant.fence == fence_number {}) {
        return;
    }
    if (request.fence == fence_number {}) {
        logger()->info("event=control group={} fence={} controller={}", grant.group.value, grant.fence.value,
                       received.from.value);
    }
    m_messenger->send(received.from, grant);
    const bool knewEngines = knowsEngines();
    const auto known = m_engines.find(grant.group);
    if (request.fence != fence_number {} && (known == m_engines.end() || known->second != renewal.engines)) {
        m_engines[grant.group] = renewal.engines;
        publishSoon();
    } else if (knewEngines != knowsEngines()) {
        publishSoon();
    }
}

bool coordinator_node::knowsEngines() const
{
    if (!m_leadsInTerm) {
        return false;
    }
    const auto groups = m_leases.groups(now());
    return now() - m_leadsSince >= longestUnknown
        || std::all_of(groups.begin(), groups.end(), [this](const auto &one) { return m_engines.contains(one.group); });
}

void coordinator_node::controlGroups()
{
    const auto log = m_control->status();
    const bool leads = log.role == consensus::raft_role::leader;
    const auto term = leads ? std::optional(log.term.value) : std::nullopt;
    if (term != m_leadsInTerm) {
        m_leadsInTerm = term;
        m_leadsSince = now();
        m_engines.clear();
    }
    m_leases.setTerm(term, now());
    if (leads) {
        readModels();
    }
    for (const auto &one : m_leases.tick(now())) {
        logger()->info("event=control_offered group={} to={}", one.message.group.value, one.to.value);
        m_messenger->send(one.to, one.message);
    }
}

void coordinator_node::update(const peer_address &to, subscriber &who)
{
    const auto filter = who.role == forward::node_role::coordinator ? forward::change_filter::renewed
                                                                    : forward::change_filter::changed;
    const bool isFront = who.role == forward::node_role::front;
    forward::node_update message;
    message.directoryVersion = m_directory.version();
    message.since = who.directoryVersion;
    if (who.role != forward::node_role::agent) {
        message.changes = m_directory.changesAfter(who.directoryVersion, filter, m_time->now());
        const auto asked = m_directory.registrationsOf(std::exchange(who.doubted, {}), m_time->now());
        message.changes.insert(message.changes.end(), asked.begin(), asked.end());
    }
    if (isFront) {
        addConfiguration(message, who);
    }
    const auto &known = isFront ? m_frontContacts : m_otherContacts;
    message.contactsChecksum = known.checksum;
    if (who.contactsChecksum != known.checksum) {
        message.contacts.push_back(known.contacts);
    }
    message.knowsEngines = isFront && knowsEngines();
    for (const auto &entry : message.knowsEngines ? m_engines : decltype(m_engines) {}) {
        message.engines.insert(message.engines.end(), entry.second.begin(), entry.second.end());
    }
    const auto log = m_control->status();
    message.leader = log.leader.value_or(peer_address {});
    message.term = log.term.value;
    who.directoryVersion = message.directoryVersion;
    who.contactsChecksum = known.checksum;
    m_messenger->send(to, std::move(message));
}

void coordinator_node::addConfiguration(forward::node_update &message, subscriber &who)
{
    const auto &held = m_control->state().configuration();
    const bool isNear = who.dataCentre == m_settings.dataCentre;
    const auto delta = who.takesDeltas ? m_configurations.deltaFrom(who.configuration.base()) : nullptr;
    const bool isDelta = delta && delta->result.revision == held.revision;
    const std::size_t bytes = isDelta ? m_configurations.sizeFrom(who.configuration.base()) : held.content.size();
    if (!who.configuration.takeDue(isNear, held.revision, now(), bytes)) {
        return;
    }
    if (isDelta) {
        message.configurationDelta.push_back(*delta);
    } else {
        message.configuration.push_back(held);
    }
}

void coordinator_node::collectContacts()
{
    forward::node_contacts all;
    all.coordinators = m_links.addresses();
    all.coordinators.push_back(m_self);
    m_otherContacts = { all, checksum(encode(all)) };
    for (const auto &[address, one] : m_subscribers) {
        const bool counts = one.role == forward::node_role::front && now() - one.heard < subscriberSilence;
        if (counts && all.fronts.size() < maxFrontsNamed) {
            all.fronts.push_back({ address, one.dataCentre });
        }
    }
    m_frontContacts = { all, checksum(encode(all)) };
}

void coordinator_node::readModels()
{
    const auto &held = m_control->state().configuration();
    const bool isDue = now() - m_modelsReadAt >= modelsPeriod || m_modelsRevision == revision_number {};
    if (held.revision == m_modelsRevision || !isDue) {
        return;
    }
    m_modelsRevision = held.revision;
    m_modelsReadAt = now();
    const auto routes = m_dialect->decodeRoutes(held.content);
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
    m_leases.setModels(std::move(models));
}

void coordinator_node::publishSoon()
{
    if (!std::exchange(m_isPublicationScheduled, true)) {
        loop::triggerAfter(m_publicationDue, publicationDelay);
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
    m_proposer.onVoter(received.from, update.leader);
    for (const auto &one : update.changes) {
        isNews = m_directory.adopt(one, now) || isNews;
    }
    if (isNews) {
        logUnusedTargets();
        publishSoon();
    }
}

void coordinator_node::pollOthers()
{
    const time_point now = m_time->now();
    std::erase_if(m_subscribers,
                  [now](const auto &entry) { return now - entry.second.heard >= coordinator_links::forgetAfter; });
    m_control->learnContacts(m_links.addresses());
    collectContacts();
    checkListening();
    if (m_directory.expire(now)) {
        logUnusedTargets();
        publishSoon();
    }
    pollCoordinators(m_control->state().configuration().revision, {}, m_directory.doubted());
    const bool hasLeader = m_control->status().leader.has_value();
    if (hasLeader != m_hasLeader) {
        m_hasLeader = hasLeader;
        logger()->warn("event=leader_{} leader={} term={}", hasLeader ? "regained" : "lost", leader().value,
                       m_control->status().term.value);
    }
}

void coordinator_node::checkListening()
{
    const time_point last = std::exchange(m_lastPollAt, m_time->now());
    if (m_lastPollAt - last >= listeningPause || !m_control->status().leader) {
        m_directory.resumeListening(m_lastPollAt);
    }
}

void coordinator_node::measureDelay()
{
    const time_point now = m_time->now();
    if (m_lastTick != time_point {}) {
        m_longestDelay = std::max(m_longestDelay, now - m_lastTick - tickPeriod);
    }
    if (now - m_delayWindowStart < delayWindow) {
        return;
    }
    if (m_longestDelay >= notableDelay) {
        logger()->warn("event=loop_late longest_ms={} messages={} shed={}",
                       std::chrono::duration_cast<std::chrono::milliseconds>(m_longestDelay).count(),
                       m_messages - m_messagesAtWindowStart, m_inbox.shed() - m_shedAtWindowStart);
    }
    m_shedAtWindowStart = m_inbox.shed();
    m_lastWindowDelay = std::exchange(m_longestDelay, {});
    m_messagesAtWindowStart = m_messages;
    m_delayWindowStart = now;
}

void coordinator_node::tick()
{
    measureDelay();
    m_lastTick = m_time->now();
    m_messenger->tick();
    m_control->tick();
    controlGroups();
    perform(m_proposer.tick(now()));
    refuseOverdueSignOffs();
    stopIfDone();
}

void coordinator_node::stopIfDone()
{
    if (!m_stopStarted) {
        return;
    }
    const duration since = now() - *m_stopStarted;
    const auto schedule = forward::stopScheduleFor(m_settings.bounds.grace);
    m_server->closeUnused();
    if (since >= schedule.lastAnswer) {
        m_server->rejectUnfinished(result_code::entry_stopping);
        while (!m_open.empty()) {
            answer(m_open.begin()->first,
                   { .code = result_code::agreement_unavailable, .detail = "the log has not decided in time" });
        }
    }
    if ((m_open.empty() && !m_server->isInUse()) || since >= schedule.end) {
        m_loop->stop();
    }
}

} // namespace figcleat
