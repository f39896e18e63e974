#include "figcleat/daemon/map-operator.h"

#include "figcleat/consensus/raft.h"
#include "figcleat/core/log.h"
#include "figcleat/core/overloaded.h"

#include <algorithm>
#include <fmt/format.h>

namespace figcleat
{

namespace
{

/**
 * A leader that a voter has not answered yet waits for as long as its predecessor may still take itself for the leader:
 * `consensus::quorumTimeout`, and as long again as a coordinator may be late to notice.
 */
constexpr duration takeoverPeriod = std::chrono::milliseconds(1400);
static_assert(takeoverPeriod > consensus::quorumTimeout);
constexpr std::size_t maxGroups = 256;
/** An engine answers within milliseconds, or has lost the answer. */
constexpr duration engineTimeout = std::chrono::milliseconds(120);
/** Reports come every 400 ms or sooner; one that is older says nothing of the engine now. */
constexpr duration reportSilence = std::chrono::milliseconds(1500);
/** Below it an engine is as good as the others. */
constexpr double slowPace = 1.25;
/** Versions of maps in one term; a later term begins above all versions of an earlier one. */
constexpr std::uint64_t versionsPerTerm = 1'000'000;

/** Only the status of an answer to an order counts. */
constexpr std::uint64_t maxOrderAnswerBytes = std::uint64_t { 64 } * 1024;

constexpr http_client_settings orderSettings { .connectTimeout = engineTimeout,
                                               .firstByteTimeout = engineTimeout,
                                               .progressTimeout = engineTimeout,
                                               .endOfConnectionIsEnd = false,
                                               .keepHost = false,
                                               .keepAlive = false,
                                               .maxBodyBytes = maxOrderAnswerBytes };

auto logger()
{
    return logFor(part::group);
}

} // namespace

map_operator::map_operator(parts wiring)
    : m_parts(std::move(wiring))
    , m_clients(m_parts.eventLoop, orderSettings, *this)
{
}

void map_operator::setModels(std::map<service_id, group::group_model> models)
{
    if (models != m_models) {
        m_models = std::move(models);
        m_groups.clear();
        m_demands.clear();
    }
}

void map_operator::setTerm(std::optional<std::uint64_t> term, bool votersFollow)
{
    if (term != m_term) {
        m_term = term;
        m_leadsSince = m_parts.time->now();
        m_votersFollow = false;
        m_groups.clear();
    }
    m_votersFollow = m_votersFollow || votersFollow;
}

bool map_operator::mayOrder() const
{
    return m_term && (m_votersFollow || m_parts.time->now() - m_leadsSince >= takeoverPeriod);
}

void map_operator::receive(const peer_address &from, const forward::rank_report &report)
{
    const auto model = m_models.find(report.status.service);
    const bool isKnown = m_groups.contains(report.status.group) || m_groups.size() < maxGroups;
    if (!mayOrder() || model == m_models.end() || !isKnown) {
        return;
    }
    auto &record = m_groups[report.status.group];
    if (!record.controller) {
        auto &demand = m_demands[report.status.service];
        if (!demand) {
            demand = std::make_shared<group::demand_estimate>(model->second.sets, model->second.experts);
        }
        record.controller = std::make_unique<group::map_controller>(
            group::map_controller_settings { model->second, *m_term * versionsPerTerm + 1, demand });
    }
    record.agents[report.status.rank] = from;
    step(report.status.group, group::rank_reported { report.status });
}

void map_operator::receive(const forward::rank_result &result)
{
    if (mayOrder()) {
        step(result.group, group::order_answered { result.rank, result.answer });
    }
}

void map_operator::tick()
{
    if (!mayOrder()) {
        return;
    }
    for (const auto &entry : m_groups) {
        step(entry.first, group::map_tick {});
    }
    reviewEngines();
}

const std::vector<forward::engine_condition> &map_operator::engines() const
{
    return m_engines;
}

void map_operator::writeMetrics(report::metrics_text &page) const
{
    for (const auto &[id, record] : m_groups) {
        const std::string group = fmt::format("group=\"{}\"", id.value);
        const auto &controller = *record.controller;
        page.counter("figcleat_map_switches_total", "Switches of expert maps since this coordinator leads.", group,
                     controller.switches());
        page.gauge("figcleat_map_skew", "Load of the busiest rank over the mean.", group, controller.skew());
        page.gauge("figcleat_map_version", "Highest version of the map that a rank uses.", group,
                   static_cast<double>(controller.mapInUse().value));
    }
    page.gauge("figcleat_engines_impaired", "Engines that are slow or whose group is broken.", {},
               static_cast<double>(m_engines.size()));
}

void map_operator::step(const group_id &group, const group::map_event &event)
{
    const auto found = m_groups.find(group);
    if (found == m_groups.end()) {
        return;
    }
    for (auto &action : found->second.controller->step(event, m_parts.time->now())) {
        std::visit(overloaded {
                       [&](group::send_order &order) { carryOut(group, order); },
                       [&](const group::map_note &note) {
                           logger()->info("event=map group={} term={} {}", group.value, m_term.value_or(0), note.what);
                       },
                   },
                   action);
    }
}

void map_operator::carryOut(const group_id &group, group::send_order &order)
{
    if (order.directly) {
        orderDirectly(group, order);
    } else {
        m_parts.send(m_groups.at(group).agents[order.rank],
                     forward::rank_command { m_term.value_or(0), std::move(order.order) });
    }
}

void map_operator::orderDirectly(const group_id &group, const group::send_order &order)
{
    const auto reports = m_groups.at(group).controller->reports(duration::max(), m_parts.time->now());
    const auto rank = std::find_if(reports.begin(), reports.end(),
                                   [&order](const auto &status) { return status.rank == order.rank; });
    http_client *client = rank == reports.end() ? nullptr : m_clients.at(rank->address);
    if (client == nullptr) {
        logger()->error("event=direct_order group={} rank={} reason=no_address", group.value, order.rank);
        return;
    }
    const auto &what = order.order;
    logger()->warn("event=direct_order group={} rank={} op={} version={} step={}", group.value, order.rank,
                   static_cast<int>(what.operation), what.version.value, what.step.value);
    m_lastDirectOrder = m_lastDirectOrder.next();
    const attempt_id attempt { m_parts.incarnation, m_lastDirectOrder };
    m_directOrders[attempt] = { group, order.rank, what.id, group::order_result::unknown };
    client->start(attempt, m_parts.language->orderCall(what));
}

void map_operator::onAnswerStart(attempt_id attempt, int status, const http_headers & /*headers*/)
{
    m_directOrders[attempt].result = m_parts.language->decodeOrderResult(status);
}

void map_operator::onBytes(attempt_id /*attempt*/, std::string_view /*bytes*/)
{
}

void map_operator::onAnswerEnd(attempt_id attempt)
{
    endDirectOrder(attempt, m_directOrders[attempt].result);
}

void map_operator::onFailure(attempt_id attempt, bool /*notSent*/)
{
    endDirectOrder(attempt, group::order_result::unknown);
}

void map_operator::endDirectOrder(attempt_id attempt, group::order_result result)
{
    const auto found = m_directOrders.find(attempt);
    if (found == m_directOrders.end()) {
        return;
    }
    const auto done = std::move(found->second);
    m_directOrders.erase(found);
    receive(forward::rank_result { done.group, done.rank, { done.order, result } });
}

void map_operator::reviewEngines()
{
    std::vector<forward::engine_condition> engines;
    for (const auto &[id, record] : m_groups) {
        const auto reports = record.controller->reports(reportSilence, m_parts.time->now());
        const bool isOpen = std::all_of(reports.begin(), reports.end(), [](const auto &one) { return one.isOpen; });
        // Ranks that a cut hides are down with their group.
        const auto concerned = isOpen ? reports : record.controller->reports(duration::max(), m_parts.time->now());
        for (const auto &one : concerned) {
            if (!isOpen || one.pace >= slowPace) {
                engines.push_back({ one.address, isOpen, one.pace });
            }
        }
    }
    if (engines == m_engines) {
        return;
    }
    m_engines = std::move(engines);
    const bool isAny = !m_engines.empty();
    logger()->warn("event=engines_impaired count={} first={} open={} pace={:.1f}", m_engines.size(),
                   isAny ? m_engines.front().address : "", !isAny || m_engines.front().isOpen,
                   isAny ? m_engines.front().pace : 1.0);
    m_parts.onEnginesChanged();
}

} // namespace figcleat
