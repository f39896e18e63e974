#include "figcleat/daemon/entry-node.h"

#include "figcleat/core/invariant.h"
#include "figcleat/core/log.h"
#include "figcleat/core/overloaded.h"
#include "figcleat/daemon/replica-messages.h"

namespace figcleat
{

namespace
{

constexpr duration tickPeriod = std::chrono::milliseconds(20);

request::pipeline::options pipelineOptions(const daemon_settings &settings, std::uint64_t random)
{
    request::pipeline::options chosen;
    chosen.entry = incarnation_id { random | 1U };
    chosen.dataCentre = settings.dataCentre;
    chosen.maxRequestsInProgress = settings.entry->maxRequestsInProgress;
    chosen.seed = random;
    return chosen;
}

std::vector<peer_address> votersOf(const daemon_settings &settings)
{
    return settings.control ? settings.control->voters : std::vector<peer_address> {};
}

} // namespace

expected<std::unique_ptr<entry_node>> entry_node::open(const daemon_settings &settings, loop &eventLoop,
                                                       const clock &time, std::uint64_t random)
{
    auto opened = std::unique_ptr<entry_node>(new entry_node(settings, eventLoop, time, random));
    if (const auto started = opened->start(random); !started) {
        return tl::unexpected<error>(started.error());
    }
    return opened;
}

entry_node::entry_node(daemon_settings settings, loop &eventLoop, const clock &time, std::uint64_t random)
    : m_settings(std::move(settings))
    , m_loop(&eventLoop)
    , m_time(&time)
    , m_startedAt(time.now())
    , m_pipeline(pipelineOptions(m_settings, random))
    , m_replica(replicaSettings(m_settings, distribution::replica_role::entry, random))
    , m_proposer(votersOf(m_settings))
    , m_levels(m_settings.vm, incarnation_id { random | 1U })
{
}

expected<void> entry_node::start(std::uint64_t random)
{
    const peer_address self { toString(m_settings.mailbox.address) };
    auto messages = messenger::open(*m_loop, *m_time, self, incarnation_id { random | 1U },
                                    [this](const envelope &received) { receive(received); });
    if (!messages) {
        return tl::unexpected<error>(messages.error());
    }
    m_messenger = std::move(*messages);
    if (m_settings.control) {
        control_node::parts wiring;
        wiring.eventLoop = m_loop;
        wiring.time = m_time;
        wiring.send = [this](const peer_address &to, const consensus::raft_message &message) {
            m_messenger->send(to, message);
        };
        wiring.onCommitted = [this](const agreed::configuration_in_force &committed) {
            step(distribution::replica_event { distribution::committed { committed } });
        };
        auto control = control_node::open(*m_settings.control, self, random, std::move(wiring));
        if (!control) {
            return tl::unexpected<error>(control.error());
        }
        m_control = std::move(*control);
    }
    const auto &own = *m_settings.entry;
    auto callers = http_server::open(m_loop->base(), own.callerAddress.ip, own.callerAddress.port, {}, *this);
    if (!callers) {
        return tl::unexpected<error>(callers.error());
    }
    m_callers = std::move(*callers);
    auto operators = operator_api::open(*m_loop, own, *this);
    if (!operators) {
        return tl::unexpected<error>(operators.error());
    }
    m_operators = std::move(*operators);
    m_loop->every(tickPeriod, [this] { tick(); });
    m_loop->every(heartbeatPeriod, [this] { heartbeat(); });
    return {};
}

void entry_node::drain()
{
    if (m_drainDeadline) {
        return;
    }
    logFor(part::request)->info("Stops: {} requests are in progress.", m_pipeline.requestsInProgress());
    m_drainDeadline = m_time->now() + m_settings.entry->drainDeadline;
    m_callers->stopListening();
    m_callers->closeAfterAnswers();
    m_operators->closeAfterAnswers();
    step(request::stop_requested {});
}

void entry_node::onRequest(exchange_id exchange, http_request request)
{
    step(request::call_arrived { exchange, std::move(request) });
}

void entry_node::onCallerGone(exchange_id exchange)
{
    step(request::caller_gone { exchange });
}

void entry_node::onRejected(result_code code)
{
    ++m_ended[code];
}

void entry_node::receive(const envelope &received)
{
    std::visit([&](const auto &message) { on(received.from, message); }, received.message);
}

template<typename Message>
void entry_node::on(const peer_address &from, const Message &message)
{
    constexpr bool isPipelineEvent
        = std::is_same_v<
              Message,
              attempt_refused> || std::is_same_v<Message, answer_piece> || std::is_same_v<Message, attempt_finished> || std::is_same_v<Message, attempt_closed>;
    if constexpr (isPipelineEvent) {
        step(request::pipeline_event { message });
    } else if (const auto event = replicaEvent(from, message)) {
        step(*event);
    }
}

void entry_node::on(const peer_address &from, const announce &message)
{
    m_targets[from] = message.target;
    step(request::target_announced { from, message });
}

void entry_node::on(const peer_address &from, const peer_state &message)
{
    m_peers[from] = message;
    if (message.isVoter) {
        m_proposer.onVoter(from, message.leader);
    }
}

void entry_node::on(const peer_address &from, const proposal &message)
{
    if (!m_control) {
        answerProposal(from, message.id, result_code::not_leader, {});
        return;
    }
    m_control->propose(message.command, [this, from, id = message.id](result_code code, const agreed::outcome &result) {
        answerProposal(from, id, code, result);
    });
}

void entry_node::answerProposal(const peer_address &to, std::uint64_t id, result_code code,
                                const agreed::outcome &result)
{
    m_messenger->send(to, proposal_answer { id, code, result, leaderHint() });
}

void entry_node::on(const peer_address &from, const proposal_answer &message)
{
    carryOutAll(m_proposer.onAnswer(from, message.id, message.code, message.result, message.leader, m_time->now()));
    if (const auto found = m_membershipChanges.find(message.id); found != m_membershipChanges.end()) {
        const auto decide = std::move(found->second.answer);
        m_membershipChanges.erase(found);
        decide(message.code, message.result);
    }
}

void entry_node::on(const peer_address &from, const usage_query &message)
{
    if (!m_control) {
        return;
    }
    m_control->read([this, from, id = message.id](result_code code) {
        m_messenger->send(from, usage_answer { id, code, m_control->state().usageTotals() });
    });
}

void entry_node::on(const peer_address & /*from*/, const usage_answer &message)
{
    if (const auto found = m_usageReads.find(message.id); found != m_usageReads.end()) {
        const auto answer = std::move(found->second.answer);
        m_usageReads.erase(found);
        answer(message.code, message.rows);
    }
}

void entry_node::on(const peer_address &from, const membership_request &message)
{
    if (!m_control) {
        answerProposal(from, message.id, result_code::not_leader, {});
        return;
    }
    m_control->changeMembership(message.add ? consensus::membership_change::add : consensus::membership_change::remove,
                                message.address,
                                [this, from, id = message.id](result_code code, const agreed::outcome &result) {
                                    answerProposal(from, id, code, result);
                                });
}

void entry_node::on(const peer_address &from, const consensus::raft_message &message)
{
    if (m_control) {
        m_control->receive(from, message);
    }
}

peer_address entry_node::ownLeader() const
{
    return m_control ? m_control->status().leader.value_or(peer_address {}) : peer_address {};
}

peer_address entry_node::leaderHint() const
{
    // A voter that waits for its seat follows no leader, but it hears of one from others.
    const peer_address own = ownLeader();
    return own.empty() ? m_proposer.leader().value_or(peer_address {}) : own;
}

void entry_node::heartbeat()
{
    m_messenger->tick();
    peer_state state;
    state.vm = m_settings.vm;
    state.dataCentre = m_settings.dataCentre;
    state.isVoter = m_control != nullptr;
    state.leader = ownLeader();
    state.revision = m_replica.configuration().revision;
    state.requestsInProgress = static_cast<std::uint32_t>(m_pipeline.requestsInProgress());
    for (const auto &peer : m_settings.mailbox.peers) {
        m_messenger->send(peer, state);
    }
    for (const auto &[address, name] : m_targets) {
        m_messenger->send(address, state);
    }
    if (m_control) {
        m_proposer.onVoter(m_messenger->self(), ownLeader());
    }
}

void entry_node::tick()
{
    if (m_control) {
        m_control->tick();
    }
    for (const auto &silent : m_messenger->newlySilent(peerSilence)) {
        logFor(part::mailbox)->warn("Peer {} is silent.", silent.value);
        m_proposer.onSilent(silent);
        m_targets.erase(silent);
    }
    carryOutAll(m_proposer.tick(m_time->now()));
    finishGathering();
    giveUpQuestions();
    sendSummaryCopies();
    step(distribution::replica_event { distribution::tick {} });
    step(request::pipeline_event { request::tick {} });
    if (m_drainDeadline) {
        stopIfDrained(m_time->now() >= *m_drainDeadline);
    }
}

void entry_node::stopIfDrained(bool deadlinePassed)
{
    ensure(!deadlinePassed || m_pipeline.requestsInProgress() == 0, result_code::invariant_graceful_stop,
           "the drain deadline has passed with requests in progress");
    m_callers->closeUnused();
    m_operators->closeUnused();
    const bool isInUse = m_callers->isInUse() || m_operators->isInUse();
    // A caller that does not read its answer holds up the stop until the deadline and no longer.
    if (m_isDrained && (deadlinePassed || !isInUse)) {
        m_loop->stop();
    }
}

void entry_node::step(const request::pipeline_event &event)
{
    for (auto &action : m_pipeline.step(event, m_time->now())) {
        std::visit([this](auto &what) { carryOut(what); }, action);
    }
}

void entry_node::step(const distribution::replica_event &event)
{
    for (auto &action : m_replica.step(event, m_time->now())) {
        std::visit(overloaded {
                       [this](distribution::in_force &what) { carryOut(what); },
                       [this](auto &what) { m_messenger->send(what.to, std::move(what.message)); },
                   },
                   action);
    }
}

void entry_node::carryOutAll(const std::vector<proposer_action> &actions)
{
    for (const auto &action : actions) {
        carryOut(action);
    }
}

void entry_node::carryOut(const proposer_action &action)
{
    std::visit(overloaded {
                   [this](const send_proposal &what) {
                       m_messenger->send(what.to, proposal { what.id, what.command });
                   },
                   [this](const decided &what) {
                       const auto found = m_decisions.find(what.id);
                       if (found != m_decisions.end()) {
                           const auto decide = std::move(found->second);
                           m_decisions.erase(found);
                           decide(what.code, what.result);
                       }
                   },
               },
               action);
}

void entry_node::submit(agreed::command command, decision_function decide)
{
    const std::uint64_t id = ++m_lastId;
    m_decisions.emplace(id, std::move(decide));
    carryOutAll(m_proposer.submit(id, std::move(command), m_time->now()));
}

void entry_node::carryOut(request::reply &action)
{
    m_callers->reply(action.exchange, action.status, action.headers, action.body);
}

void entry_node::carryOut(request::start_stream &action)
{
    m_callers->startStream(action.exchange, action.status, action.headers);
}

void entry_node::carryOut(request::send_piece &action)
{
    if (!m_callers->sendPiece(action.exchange, action.bytes)) {
        step(request::caller_too_slow { action.exchange });
    }
}

void entry_node::carryOut(request::end_stream &action)
{
    m_callers->endStream(action.exchange);
}

void entry_node::carryOut(request::break_stream &action)
{
    m_callers->breakStream(action.exchange);
}

void entry_node::carryOut(request::send_to_target &action)
{
    std::visit([&](auto &message) { m_messenger->send(action.to, std::move(message)); }, action.message);
}

void entry_node::carryOut(request::propose &action)
{
    submit(std::move(action.command),
           [this, proposal = action.proposal](result_code code, const agreed::outcome &result) {
               step(request::proposal_decided { proposal, code, result });
           });
}

void entry_node::carryOut(request::request_ended &action)
{
    ++m_ended[action.code];
    if (m_config) {
        m_levels.record(action, *m_config, m_time->now());
    }
    logFor(part::request)
        ->info("Request {} of {} at {} ended with {} ({}) after {} ms and {} attempts.", action.id.value,
               action.workspace.value, action.service.value, static_cast<int>(action.code), describe(action.code).name,
               std::chrono::duration_cast<std::chrono::milliseconds>(action.total).count(), action.attempts);
}

void entry_node::carryOut(request::drained &action)
{
    if (action.usageLost) {
        logFor(part::request)->warn("The use of the last seconds could not be recorded.");
    }
    logFor(part::request)->info("All requests have ended.");
    m_isDrained = true;
}

void entry_node::carryOut(const distribution::in_force &action)
{
    const auto &held = action.configuration;
    auto config = parseConfiguration(held.content, "configuration in force");
    if (!config) {
        logFor(part::distribution)->error("Revision {} cannot be read.", held.revision.value);
        return;
    }
    logFor(part::distribution)->info("Revision {} (number {}) is in force.", held.revision.value, held.number);
    m_config = std::make_shared<const configuration>(std::move(*config));
    auto out = held.dataCentresOut;
    if (action.outLocally) {
        out.push_back(m_settings.dataCentre);
    }
    step(request::configuration_changed { m_config, std::move(out), held.revision });
}

} // namespace figcleat
