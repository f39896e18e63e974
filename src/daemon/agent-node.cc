#include "figcleat/daemon/agent-node.h"

#include "figcleat/core/log.h"
#include "figcleat/core/overloaded.h"

#include <algorithm>
#include <fmt/format.h>

namespace figcleat
{

namespace
{

/** Coordinators are asked who leads. */
constexpr duration pollPeriod = std::chrono::milliseconds(1000);
/** Period of reports; a leader needs them fresh for a switch of maps. */
constexpr duration watchPeriod = std::chrono::milliseconds(200);
/** Counts that are read with each report on average; a count takes 1 to 2 bytes on the way to the leader. */
constexpr std::size_t countsPerReport = 500;
constexpr std::uint64_t maxWatchesPerReading = 10;
/** While the rank loads experts, the leader waits for the end. */
constexpr duration loadingWatchPeriod = std::chrono::milliseconds(50);
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
    // Agents start together; their readings should not come together.
    , m_watches(m_random % maxWatchesPerReading)
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
    m_loop->every(loadingWatchPeriod, [this] {
        if (m_loading != group::map_version {}) {
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
        if (order.operation == group::rank_operation::prepare && result == group::order_result::accepted) {
            m_loading = order.version;
        }
        readStatus();
    });
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
    m_choicesDue = m_watches % watchesPerReading() == 0;
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
    m_status = std::move(next);
    if (m_loading != group::map_version {}) {
        const bool isLoading = m_status->prepared < m_loading && m_status->isOpen;
        if (isLoading && m_time->now() - m_reportedAt < watchPeriod) {
            return;
        }
        m_loading = isLoading ? m_loading : group::map_version {};
    }
    if (m_status->experts.empty()) {
        readLists();
    } else if (std::exchange(m_choicesDue, false)) {
        readChosen();
    } else {
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
            auto since = group::chosenSince(m_status->chosen, m_lastChosen);
            m_lastChosen = std::exchange(m_status->chosen, std::move(since));
        }
        report();
        m_status->chosen.clear();
    });
}

std::uint64_t agent_node::watchesPerReading() const
{
    std::size_t counts = 0;
    for (const auto &set : m_lastChosen) {
        counts += set.size();
    }
    return std::clamp<std::uint64_t>(counts / countsPerReport, 1, maxWatchesPerReading);
}

void agent_node::report()
{
    m_reportedAt = m_time->now();
    ++m_reports;
    const auto leader = m_links.leader(coordinatorSilence, m_reportedAt);
    if (!leader.empty()) {
        m_messenger->send(leader, forward::rank_report { *m_status });
    }
}

} // namespace figcleat
