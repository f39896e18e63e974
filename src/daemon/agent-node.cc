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
/** Reports are this far apart while nothing changes: each costs the leader processor time, and it hears every rank. */
constexpr duration reportPeriod = std::chrono::milliseconds(400);
/** While the rank loads experts or is about to switch, the leader waits for the end. */
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
{
}

expected<void> agent_node::start()
{
    if (auto opened = openMailbox().and_then([this] { return openMetrics(); }); !opened) {
        return opened;
    }
    const http_client_settings client { .connectTimeout = engineTimeout,
                                        .firstByteTimeout = engineTimeout,
                                        .progressTimeout = engineTimeout,
                                        .endOfConnectionIsEnd = false,
                                        .keepHost = false,
                                        .keepAlive = true,
                                        .maxBodyBytes = maxAnswerBytes };
    m_engine
        = std::make_unique<http_client>(m_loop->base(), m_settings.engine->ip, m_settings.engine->port, client, *this);
    m_loop->every(pollPeriod, [this] { poll(); });
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
    page.counter("figcleat_rank_reports_total", "Reports of the rank's state to the leader.", {}, m_reports);
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

void agent_node::call(const service_call &what, answer_function onAnswer)
{
    m_lastCall = m_lastCall.next();
    const attempt_id attempt { m_incarnation, m_lastCall };
    m_calls[attempt].onAnswer = std::move(onAnswer);
    m_engine->start(attempt, what);
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
                       m_term = std::max(m_term, update.term);
                   },
                   [&](const forward::rank_command &command) { onCommand(command); },
                   [](const auto &) {},
               },
               received.message);
}

void agent_node::onCommand(const forward::rank_command &command)
{
    if (command.term < m_term || !m_status) {
        logger()->warn("event=order_refused order={} term={} known_term={}", command.order.id.value, command.term,
                       m_term);
        return;
    }
    m_term = command.term;
    const auto order = command.order;
    call(m_dialect->orderCall(order), [this, order](int status, const std::string &body) {
        const auto result = status == 0 ? group::order_result::unknown : m_dialect->decodeOrderResult(status);
        ++m_orders[result];
        logger()->info("event=order op={} version={} step={} expected={} status={} answer={}",
                       static_cast<int>(order.operation), order.version.value, order.step.value, order.expectedOrders,
                       status, result == group::order_result::refused ? body : "");
        m_messenger->send(m_links.leader(coordinatorSilence, m_time->now()),
                          forward::rank_result { m_status->group, m_status->rank, { order.id, result } });
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
    pollCoordinators({});
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
    call(m_dialect->statusCall(), [this](int status, const std::string &body) { onStatus(status, body); });
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
    call(m_dialect->expertsCall(true), [this](int /*status*/, const std::string &body) {
        m_readsLists = false;
        if (const auto decoded = m_dialect->decodeLists(body, *m_status); !decoded) {
            logger()->warn("event=lists_unreadable reason={}", decoded.error().detail);
            return;
        }
        report();
    });
}

void agent_node::readChosen()
{
    call(m_dialect->expertsCall(false), [this](int /*status*/, const std::string &body) {
        if (const auto decoded = m_dialect->decodeChosen(body, m_status->experts.size(), *m_status); !decoded) {
            logger()->warn("event=choices_unreadable reason={}", decoded.error().detail);
        } else {
            const auto since = group::chosenSince(m_status->chosen, m_lastChosen);
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
    const auto leader = m_links.leader(coordinatorSilence, m_reportedAt);
    if (!leader.empty()) {
        m_messenger->send(leader, forward::rank_report { *m_status });
    }
}

} // namespace figcleat
