#include "figcleat/daemon/target-node.h"

#include "figcleat/core/invariant.h"
#include "figcleat/core/log.h"
#include "figcleat/core/overloaded.h"
#include "figcleat/daemon/replica-messages.h"

#include <algorithm>

namespace figcleat
{

namespace
{

constexpr duration tickPeriod = std::chrono::milliseconds(50);
constexpr duration probePeriod = std::chrono::milliseconds(500);

target::gate_settings gateSettings(const daemon_settings &settings, incarnation_id incarnation)
{
    const target_settings &own = *settings.target;
    target::gate_settings gate;
    gate.identity.target = own.name;
    gate.identity.service = own.service;
    gate.identity.dataCentre = settings.dataCentre;
    gate.identity.vm = settings.vm;
    gate.identity.model = own.model;
    gate.identity.modelVersion = own.modelVersion;
    gate.identity.role = own.role;
    gate.identity.group = own.group;
    gate.identity.rank = own.rank;
    gate.identity.incarnation = incarnation;
    gate.identity.engineChecksFences = own.engineChecksFences;
    gate.limits = own.limits;
    return gate;
}

work_cost narrower(const work_cost &a, const work_cost &b)
{
    return { std::min(a.requests, b.requests), std::min(a.promptTokens, b.promptTokens),
             std::min(a.generatedTokens, b.generatedTokens) };
}

} // namespace

expected<std::unique_ptr<target_node>> target_node::open(const daemon_settings &settings, loop &eventLoop,
                                                         const clock &time, std::uint64_t random)
{
    auto opened = std::unique_ptr<target_node>(new target_node(settings, eventLoop, time, random));
    auto *node = opened.get();
    auto messages = messenger::open(eventLoop, time, peer_address { toString(settings.mailbox.address) },
                                    incarnation_id { random | 1U },
                                    [node](const envelope &received) { node->receive(received); });
    if (!messages) {
        return tl::unexpected<error>(messages.error());
    }
    node->m_messenger = std::move(*messages);
    node->m_engine
        = std::make_unique<engine_client>(eventLoop, settings.target->engine, !settings.target->model.empty(),
                                          [node](const target::gate_event &event) { node->step(event); });
    eventLoop.every(tickPeriod, [node] { node->tick(); });
    eventLoop.every(probePeriod, [node] { node->m_engine->tick(); });
    eventLoop.every(heartbeatPeriod, [node] { node->heartbeat(); });
    node->m_engine->tick();
    return opened;
}

target_node::target_node(daemon_settings settings, loop &eventLoop, const clock &time, std::uint64_t random)
    : m_settings(std::move(settings))
    , m_loop(&eventLoop)
    , m_time(&time)
    , m_gate(gateSettings(m_settings, incarnation_id { random | 1U }))
    , m_replica(replicaSettings(m_settings, distribution::replica_role::target, random))
{
}

void target_node::receive(const envelope &received)
{
    std::visit(overloaded {
                   [&](const dispatch &message) {
                       m_dispatched = message.request;
                       step(target::dispatch_received { received.from, message });
                       m_dispatched = {};
                   },
                   [&](const attempt_cancel &message) { step(target::cancel_received { message }); },
                   [&](const close_attempt &message) {
                       step(target::close_received { received.from, message });
                   },
                   [&](const auto &message) {
                       if (const auto event = replicaEvent(received.from, message)) {
                           step(*event);
                       }
                   },
               },
               received.message);
}

void target_node::heartbeat()
{
    m_messenger->tick();
}

void target_node::tick()
{
    for (const auto &entry : m_messenger->newlySilent(entrySilence)) {
        logFor(part::target)->warn("Entry {} is silent; its work that may be repeated is cancelled.", entry.value);
        step(target::entry_lost { entry });
    }
    step(target::gate_event { target::tick {} });
    step(distribution::replica_event { distribution::tick {} });
    if (m_drainDeadline && m_time->now() >= *m_drainDeadline) {
        ensure(m_gate.inProgress() == work_cost {}, result_code::invariant_graceful_stop,
               "the drain deadline has passed with work in progress");
    }
}

void target_node::step(const target::gate_event &event)
{
    if (const auto *restarted = std::get_if<target::engine_restarted>(&event)) {
        m_engineSeen = restarted->incarnation != incarnation_id {};
    }
    for (auto &action : m_gate.step(event, m_time->now())) {
        std::visit([this](auto &what) { carryOut(what); }, action);
    }
}

void target_node::step(const distribution::replica_event &event)
{
    for (auto &action : m_replica.step(event, m_time->now())) {
        std::visit(overloaded {
                       [this](distribution::in_force &what) { carryOut(what); },
                       [this](auto &what) { m_messenger->send(what.to, std::move(what.message)); },
                   },
                   action);
    }
}

void target_node::carryOut(const target::run &action)
{
    logFor(part::target)
        ->debug("Request {} runs as attempt {}.", findHeader(action.call.headers, "X-Request-Id"),
                action.attempt.number.value);
    m_engine->run(action);
}

void target_node::carryOut(const target::refuse &action)
{
    logFor(part::target)
        ->debug("Request {} is refused as attempt {}: {}.", m_dispatched.empty() ? "-" : m_dispatched.value,
                action.message.attempt.number.value, describe(action.message.code).name);
    m_messenger->send(action.to, action.message);
}

void target_node::carryOut(target::forward_piece &action)
{
    m_messenger->send(action.to, std::move(action.message));
}

void target_node::carryOut(const target::forward_finish &action)
{
    m_messenger->send(action.to, action.message);
}

void target_node::carryOut(const target::answer_close &action)
{
    m_messenger->send(action.to, action.message);
}

void target_node::carryOut(const target::cancel_engine &action)
{
    m_engine->cancel(action.attempt);
}

void target_node::carryOut(const target::announce_state &action)
{
    if (!m_engineSeen) {
        return;
    }
    announce message = action.message;
    message.revision = m_replica.configuration().revision;
    for (const auto &entry : m_settings.mailbox.peers) {
        m_messenger->send(entry, message);
    }
}

void target_node::carryOut(const target::drained & /*action*/)
{
    logFor(part::target)->info("All work has ended; stops.");
    m_loop->stop();
}

void target_node::carryOut(const distribution::in_force &action)
{
    const auto config = parseConfiguration(action.configuration.content, "configuration in force");
    if (!config) {
        logFor(part::distribution)->error("Revision {} cannot be read.", action.configuration.revision.value);
        return;
    }
    logFor(part::distribution)->info("Revision {} is in force.", action.configuration.revision.value);
    applyRule(*config);
    const bool out = action.outLocally || isOut(*config, action.configuration.dataCentresOut, m_settings.dataCentre);
    step(target::gate_event { target::data_centre_service { !out } });
}

void target_node::applyRule(const configuration &config)
{
    const target_limits &own = m_settings.target->limits;
    target_limits limits = own;
    for (const auto &rule : config.rules) {
        if (rule.service == m_settings.target->service) {
            limits = { narrower(own.full, rule.limits.full), narrower(own.cold, rule.limits.cold) };
        }
    }
    step(target::gate_event { target::limits_changed { limits } });
}

void target_node::drain()
{
    if (m_drainDeadline) {
        return;
    }
    logFor(part::target)->info("Drains: new work is refused.");
    m_drainDeadline = m_time->now() + m_settings.target->drainDeadline;
    step(target::gate_event { target::drain {} });
}

} // namespace figcleat
