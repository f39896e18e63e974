#include "figcleat/daemon/agent-node.h"

#include "figcleat/core/log.h"
#include "figcleat/core/overloaded.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace figcleat
{

namespace
{

/** Coordinators are asked who leads. */
constexpr duration pollPeriod = std::chrono::milliseconds(1000);
/** Period of readings of the engine, which are free on its VM. */
constexpr duration watchPeriod = std::chrono::milliseconds(120);
/** Reports are this far apart while nothing changes: each costs the controller processor time. */
constexpr duration reportPeriod = std::chrono::milliseconds(400);
/** A relay waits this long for what other ranks say before it tells the controller. */
constexpr duration relayPeriod = std::chrono::milliseconds(10);
/** Period in which the control of a group is prolonged and its orders are sent again. */
constexpr duration controlPeriod = std::chrono::milliseconds(50);
/** While the rank loads experts or is about to switch, the controller waits for the end. */
constexpr duration awaitedWatchPeriod = std::chrono::milliseconds(40);
/** A load or a switch that takes longer has been given up. */
constexpr duration longestAwaited = std::chrono::seconds(4);
/** A smaller change of a rank's pace is told with the next report. */
constexpr double paceChange = 0.25;
/** The engine is on the same VM and answers within milliseconds, or has lost the answer. */
constexpr duration engineTimeout = std::chrono::milliseconds(50);
/** Lists of experts of all layers are the longest answers; an agent has 128 MB. */
constexpr std::uint64_t maxAnswerBytes = std::uint64_t { 4 } * 1024 * 1024;

auto logger()
{
    return logFor(part::group);
}

std::string_view nameOf(group::order_result result)
{
    switch (result) {
    case group::order_result::accepted:
        return "accepted";
    case group::order_result::refused:
        return "refused";
    case group::order_result::unknown:
        return "unanswered";
    }
    return "";
}

} // namespace

agent_node::agent_node(node_context context)
    : node_base(std::move(context))
    , m_groupControl(controlParts())
{
}

group_control::parts agent_node::controlParts()
{
    group_control::parts wiring;
    wiring.eventLoop = m_loop;
    wiring.time = m_time;
    wiring.language = m_dialect;
    wiring.incarnation = m_incarnation;
    wiring.self = m_self;
    wiring.send = [this](const peer_address &to, process_message message) { deliver(to, std::move(message)); };
    wiring.sendToLeader = [this](const process_message &message, bool toAll) {
        const auto leader = m_links.leader(coordinatorSilence, now());
        if (!toAll && !leader.empty()) {
            m_messenger->send(leader, message);
            return;
        }
        for (const auto &coordinator : m_links.addresses()) {
            m_messenger->send(coordinator, message);
        }
    };
    return wiring;
}

expected<void> agent_node::start()
{
    if (auto opened = openMailbox().and_then([this] { return openMetrics(); }); !opened) {
        return opened;
    }
    http_client_settings client { .connectTimeout = engineTimeout,
                                  .firstByteTimeout = engineTimeout,
                                  .progressTimeout = engineTimeout,
                                  .endOfConnectionIsEnd = false,
                                  .keepHost = false,
                                  .keepAlive = true,
                                  .maxBodyBytes = maxAnswerBytes };
    const auto &engine = *m_settings.engine;
    m_readings = std::make_unique<http_client>(m_loop->base(), engine.ip, engine.port, client, *this);
    client.keepAlive = false;
    m_orderCalls = std::make_unique<http_client>(m_loop->base(), engine.ip, engine.port, client, *this);
    m_relayDue = m_loop->deferred([this] { relayReports(); });
    m_loop->every(pollPeriod, [this] { poll(); });
    m_loop->every(controlPeriod, [this] { m_groupControl.tick(); });
    m_loop->every(watchPeriod, [this] { watch(); });
    m_loop->every(awaitedWatchPeriod, [this] {
        if (m_awaited && now() - m_awaited->since < longestAwaited) {
            readStatus();
        }
    });
    poll();
    return {};
}

void agent_node::drain()
{
    logger()->info("event=stop");
    m_loop->stop();
}

void agent_node::writeMetrics(report::metrics_text &page) const
{
    page.counter("figcleat_rank_reports_total", "Reports of the rank's state to its relay.", {}, m_reports);
    m_groupControl.writeMetrics(page);
    page.gauge("figcleat_followed_fence", "Fence of the controller that this agent follows.", {},
               static_cast<double>(m_control.latest().fence.value));
    page.counter("figcleat_engine_failures_total", "Calls to the engine without an answer.", {}, m_engineFailures);
    for (const auto &[result, count] : m_orders) {
        page.counter("figcleat_rank_orders_total", "Orders passed on to the engine.",
                     fmt::format("result=\"{}\"", nameOf(result)), count);
    }
    if (m_status) {
        page.gauge("figcleat_map_version", "Version of the expert map that the rank uses.", {},
                   static_cast<double>(m_status->map.value));
        page.gauge("figcleat_rank_pace", "Time that the rank takes for its work relative to a sound one.", {},
                   m_status->pace);
        page.gauge("figcleat_group_open", "1 while the group of the rank is open.", {}, m_status->isOpen ? 1 : 0);
    }
}

void agent_node::call(http_client &client, const service_call &what, answer_function onAnswer)
{
    m_lastCall = m_lastCall.next();
    const attempt_id attempt { m_incarnation, m_lastCall };
    m_calls[attempt].onAnswer = std::move(onAnswer);
    client.start(attempt, what);
}

void agent_node::onAnswerStart(attempt_id attempt, int status, const http_headers & /*headers*/)
{
    m_calls[attempt].status = status;
}

void agent_node::onBytes(attempt_id attempt, std::string_view bytes)
{
    m_calls[attempt].body += bytes;
}

void agent_node::onAnswerEnd(attempt_id attempt)
{
    finish(attempt, true);
}

void agent_node::onFailure(attempt_id attempt, bool /*notSent*/)
{
    finish(attempt, false);
}

void agent_node::finish(attempt_id attempt, bool isWhole)
{
    const auto found = m_calls.find(attempt);
    if (found == m_calls.end()) {
        return;
    }
    const auto done = std::move(found->second);
    m_calls.erase(found);
    m_engineFailures += isWhole ? 0 : 1;
    done.onAnswer(isWhole ? done.status : 0, done.body);
}

void agent_node::receive(const envelope &received)
{
    std::visit(overloaded {
                   [&](const forward::node_update &update) {
                       m_links.onUpdate(received.from, received.incarnation, update, m_time->now());
                   },
                   [&](const group::control_invitation &invitation) {
                       for (const auto &own : seat()) {
                           m_groupControl.onInvitation(own, invitation);
                       }
                   },
                   [&](const group::control_grant &grant) {
                       for (const auto &own : seat()) {
                           if (grant.fence >= m_control.latest().fence) {
                               m_groupControl.onGrant(own, grant);
                           }
                       }
                   },
                   [&](const group::control_announcement &announcement) { onAnnouncement(announcement); },
                   [&](const group::rank_report &report) {
                       m_relay.add(report, now());
                       scheduleRelay();
                   },
                   [&](const group::rank_result &result) {
                       m_relay.add(result);
                       scheduleRelay();
                   },
                   [&](const group::group_report &report) { m_groupControl.receive(report); },
                   [&](const group::rank_command &command) { onCommand(received.from, command); },
                   [&](const group::multi_rank_command &command) { spread(received.from, command); },
                   [](const auto &) {},
               },
               received.message);
}

std::vector<group::group_membership> agent_node::seat() const
{
    if (!m_status) {
        return {};
    }
    return { { m_status->service, m_status->group, m_status->rank, m_status->ranks, m_status->address } };
}

void agent_node::deliver(const peer_address &to, process_message message)
{
    if (to == m_self) {
        receive({ m_self, m_incarnation, std::move(message) });
    } else {
        m_messenger->send(to, std::move(message));
    }
}

void agent_node::onAnnouncement(const group::control_announcement &announcement)
{
    const bool isNew = announcement.fence > m_control.latest().fence;
    if (!m_status || announcement.group != m_status->group || !m_control.follow(announcement)) {
        return;
    }
    if (isNew) {
        logger()->info("event=controller group={} fence={} controller={}", announcement.group.value,
                       announcement.fence.value, announcement.controller.value);
    }
    m_groupControl.onFence(announcement.fence);
    // The report promises not to take orders of earlier controllers, so it has to be newer than their last order.
    m_reportDue = true;
    readStatus();
}

void agent_node::scheduleRelay()
{
    // Replaces the later time at which choices are due.
    if (!std::exchange(m_hasNews, true)) {
        loop::triggerAfter(m_relayDue, relayPeriod);
    }
}

void agent_node::relayReports()
{
    m_hasNews = false;
    auto report = m_relay.take(m_control.latest().group, m_control.latest().fence, now());
    if (!report.messages.empty() || report.chosen.sets > 0) {
        deliver(m_control.latest().controller, std::move(report));
    }
    if (const auto due = m_relay.choicesDue()) {
        loop::triggerAfter(m_relayDue, std::max(relayPeriod, *due - now()));
    }
}

void agent_node::refuse(const peer_address &from, const group::rank_order &order, fence_number fence)
{
    logger()->warn("event=order_refused order={} fence={} followed={}", order.id.value, fence.value,
                   m_control.latest().fence.value);
    if (fence < m_control.latest().fence) {
        // A controller that has been replaced stops as soon as it knows.
        deliver(from, m_control.latest());
    }
}

void agent_node::spread(const peer_address &from, const group::multi_rank_command &command)
{
    if (!m_control.acceptsOrders(command.fence)) {
        refuse(from, command.order, command.fence);
        return;
    }
    group::rank_command one { command.fence, command.order };
    for (const auto &to : command.to) {
        one.order.id = to.id;
        one.order.expectedOrders = to.expectedOrders;
        deliver(to.agent, one);
    }
}

void agent_node::onCommand(const peer_address &from, const group::rank_command &command)
{
    if (!m_control.acceptsOrders(command.fence) || !m_status) {
        refuse(from, command.order, command.fence);
        return;
    }
    // Of the map only the ranks' experts are needed later, and it is long.
    auto order = command.order;
    order.map.clear();
    call(*m_orderCalls, m_dialect->orderCall(command.order),
         [this, from, order, fence = command.fence](int status, const std::string &body) {
             const auto result = status == 0 ? group::order_result::unknown : m_dialect->decodeOrderResult(status);
             ++m_orders[result];
             logger()->info("event=order id={} fence={} op={} version={} step={} expected={} status={} answer={}",
                            order.id.value, fence.value, static_cast<int>(order.operation), order.version.value,
                            order.step.value, order.expectedOrders, status,
                            result == group::order_result::refused ? body : "");
             deliver(from, group::rank_result { fence, m_status->rank, { order.id, result } });
             afterOrder(order, result);
         });
}

void agent_node::afterOrder(const group::rank_order &order, group::order_result result)
{
    using group::rank_operation;
    const bool isAccepted = result == group::order_result::accepted;
    if (isAccepted && (order.operation == rank_operation::prepare || order.operation == rank_operation::arm)) {
        m_awaited = awaited_map { order.version, order.operation == rank_operation::arm, now() };
        return;
    }
    // The result says all of a hold; of a refusal the state tells why.
    if (!isAccepted || order.operation != rank_operation::hold) {
        m_reportDue = true;
        readStatus();
    }
}

bool agent_node::hasArrived(const awaited_map &what) const
{
    return !m_status->isOpen || (what.isInUse ? m_status->map : m_status->prepared) >= what.version;
}

void agent_node::poll()
{
    m_messenger->tick();
    // An agent needs neither targets nor configuration; coordinators send it contacts and the leader only.
    pollCoordinators({}, seat());
}

void agent_node::watch()
{
    ++m_watches;
    m_choicesDue = true;
    readStatus();
}

void agent_node::readStatus()
{
    if (std::exchange(m_readsStatus, true)) {
        return;
    }
    call(*m_readings, m_dialect->statusCall(), [this](int status, const std::string &body) { onStatus(status, body); });
}

void agent_node::onStatus(int status, const std::string &body)
{
    constexpr int okStatus = 200;
    m_readsStatus = false;
    if (status != okStatus) {
        return;
    }
    group::engine_rank_status next;
    next.service = m_settings.service;
    next.address = toString(*m_settings.engine);
    if (const auto decoded = m_dialect->decodeStatus(body, next); !decoded) {
        if (m_watches % 100 == 1) {
            logger()->info("event=no_group reason={}", decoded.error().detail);
        }
        return;
    }
    const bool isSameMap = m_status && m_status->epoch == next.epoch && m_status->map == next.map;
    if (isSameMap) {
        next.experts = m_status->experts;
    }
    const bool isAsBefore
        = isSameMap && m_status->isOpen == next.isOpen && std::abs(m_status->pace - next.pace) < paceChange;
    if (!isSameMap) {
        logger()->info("event=map_in_use group={} epoch={} rank={} version={} step={}", next.group.value,
                       next.epoch.value, next.rank, next.map.value, next.step.value);
    }
    m_status = std::move(next);
    m_reportDue = m_reportDue || !isAsBefore;
    if (m_awaited && hasArrived(*m_awaited)) {
        m_awaited.reset();
        m_reportDue = true;
    }
    if (m_status->experts.empty()) {
        readLists();
    } else if (std::exchange(m_choicesDue, false)) {
        readChosen();
    } else if (m_reportDue) {
        report();
    }
}

void agent_node::readLists()
{
    if (std::exchange(m_readsLists, true)) {
        return;
    }
    call(*m_readings, m_dialect->expertsCall(true), [this](int /*status*/, const std::string &body) {
        m_readsLists = false;
        if (const auto decoded = m_dialect->decodeExpertLists(body, *m_status); !decoded) {
            logger()->warn("event=lists_unreadable reason={}", decoded.error().detail);
            return;
        }
        report();
    });
}

void agent_node::readChosen()
{
    call(*m_readings, m_dialect->expertsCall(false), [this](int /*status*/, const std::string &body) {
        if (const auto decoded = m_dialect->decodeExpertChoices(body, m_status->experts.size(), *m_status); !decoded) {
            logger()->warn("event=choices_unreadable reason={}", decoded.error().detail);
        } else {
            const auto since = group::choicesSince(m_status->chosen, m_lastChosen);
            m_lastChosen = std::move(m_status->chosen);
            m_reportDue = m_choices.add(since) || m_reportDue;
        }
        m_status->chosen.clear();
        if (m_reportDue || now() - m_reportedAt >= reportPeriod) {
            m_status->chosen = m_choices.take();
            report();
            m_status->chosen.clear();
        }
    });
}

void agent_node::report()
{
    m_reportedAt = m_time->now();
    m_reportDue = false;
    ++m_reports;
    const auto &control = m_control.latest();
    if (!control.relay.empty()) {
        deliver(control.relay, group::rank_report { control.fence, *m_status, group::packCounts(m_status->chosen) });
    }
}

} // namespace figcleat
