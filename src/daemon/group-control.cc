#include "figcleat/daemon/group-control.h"

#include "figcleat/core/log.h"
#include "figcleat/core/overloaded.h"

#include <algorithm>
#include <fmt/format.h>

namespace figcleat
{

namespace
{

/** Several renewals fit the time after which the leader replaces a controller. */
constexpr duration renewalPeriod = std::chrono::milliseconds(250);
/** Without a grant for this long the leader may have changed, and every coordinator is asked. */
constexpr duration leaderSilence = std::chrono::milliseconds(450);
/** Ranks report every 400 ms or sooner. */
constexpr duration rankSilence = std::chrono::milliseconds(600);
/** A silent rank is told again whom to report to after this time. */
constexpr duration announcementPeriod = std::chrono::milliseconds(300);
/** An engine answers within milliseconds, or has lost the answer. */
constexpr duration engineTimeout = std::chrono::milliseconds(120);
/** A report that is older says nothing of the engine now. */
constexpr duration reportSilence = std::chrono::milliseconds(1500);
/** Below it an engine is as good as the others. */
constexpr double slowPace = 1.25;
/** Versions of maps under one fence; a later controller begins above all versions of an earlier one. */
constexpr std::uint64_t versionsPerFence = 100'000;

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

group_control::group_control(parts wiring)
    : m_parts(std::move(wiring))
    , m_startedAt(m_parts.time->now())
    , m_clients(m_parts.eventLoop, orderSettings, *this)
{
}

bool group_control::isActive() const
{
    return m_tenure.has_value();
}

void group_control::onInvitation(const group::group_membership &own, const group::control_invitation &invitation)
{
    if (own.group != invitation.group || m_tenure) {
        return;
    }
    m_parts.sendToLeader(
        forward::control_renewal { { own, {}, m_parts.time->now().time_since_epoch().count(), 0 }, {} }, false);
}

void group_control::onGrant(const group::group_membership &own, const group::control_grant &grant)
{
    const auto now = m_parts.time->now();
    const time_point askedAt { duration(grant.sentAt) };
    const time_point until = askedAt + std::chrono::milliseconds(grant.milliseconds);
    const bool isOlder = m_tenure && grant.fence < m_tenure->fence;
    if (grant.fence == fence_number {} || own.group != grant.group || until <= now || isOlder) {
        return;
    }
    if (!m_tenure && grant.fence <= m_endedFence) {
        // A later control under the same fence would use its versions and order ids again.
        return;
    }
    if (askedAt < m_startedAt || askedAt > now) {
        // An earlier life of this agent asked; it may have given orders with this fence.
        logger()->warn("event=grant_refused group={} fence={} reason=earlier_life", grant.group.value,
                       grant.fence.value);
        return;
    }
    if (!m_tenure || grant.fence > m_tenure->fence) {
        begin(own, grant);
    }
    m_tenure->grantedAt = now;
    m_tenure->until = std::max(m_tenure->until, until);
    if (grant.contactsVersion != m_tenure->contactsVersion && !grant.contacts.empty()) {
        m_tenure->contactsVersion = grant.contactsVersion;
        setContacts(grant.contacts);
    }
}

void group_control::begin(const group::group_membership &own, const group::control_grant &grant)
{
    ++m_appointments;
    m_engines.clear();
    m_directOrders.clear();
    m_tenure.emplace();
    m_tenure->seat = own;
    m_tenure->fence = grant.fence;
    m_tenure->requestedAt = m_parts.time->now();
    m_tenure->controller = std::make_unique<group::map_controller>(
        group::map_controller_settings { grant.model, grant.fence.value * versionsPerFence + 1 });
    logger()->warn("event=control group={} fence={} state=taken ranks={}", own.group.value, grant.fence.value,
                   own.ranks);
}

void group_control::end(std::string_view reason)
{
    logger()->warn("event=control group={} fence={} state=ended reason={}", m_tenure->seat.group.value,
                   m_tenure->fence.value, reason);
    m_endedFence = m_tenure->fence;
    m_tenure.reset();
    m_engines.clear();
    m_directOrders.clear();
}

void group_control::setContacts(const std::vector<group::rank_contact> &contacts)
{
    auto &ranks = m_tenure->ranks;
    std::erase_if(ranks, [this](const auto &entry) { return entry.first >= m_tenure->seat.ranks; });
    for (const auto &one : contacts) {
        auto &link = ranks[one.rank];
        // A new leader does not know the ranks that it cannot hear; what is known of those stays.
        if (link.contact != one) {
            link = {};
            link.contact = one;
        }
    }
    announceRelays();
}

void group_control::onFence(fence_number fence)
{
    if (m_tenure && fence > m_tenure->fence) {
        end("other_controller");
    }
}

void group_control::request()
{
    const auto now = m_parts.time->now();
    m_tenure->requestedAt = now;
    m_parts.sendToLeader(
        forward::control_renewal {
            { m_tenure->seat, m_tenure->fence, now.time_since_epoch().count(), m_tenure->contactsVersion }, m_engines },
        now - m_tenure->grantedAt >= leaderSilence);
}

void group_control::tick()
{
    if (!m_tenure) {
        return;
    }
    const auto now = m_parts.time->now();
    if (now >= m_tenure->until) {
        end("not_prolonged");
        return;
    }
    if (now - m_tenure->requestedAt >= renewalPeriod) {
        request();
    }
    announceRelays();
    step(group::map_tick {});
    reviewEngines();
}

void group_control::announceRelays()
{
    const auto now = m_parts.time->now();
    std::vector<group::rank_contact> contacts;
    std::map<group::rank_number, bool> isSilent;
    for (const auto &[rank, link] : m_tenure->ranks) {
        contacts.push_back(link.contact);
        const bool isAnnounced = link.firstAnnounced != time_point {};
        isSilent[rank] = isAnnounced && now - std::max(link.heard, link.firstAnnounced) >= rankSilence;
    }
    for (const auto &[rank, relay] : group::planRelays(contacts, m_parts.self, isSilent)) {
        auto &link = m_tenure->ranks.at(rank);
        if (relay == link.relay && !(isSilent[rank] && now - link.announced >= announcementPeriod)) {
            continue;
        }
        link.relay = relay;
        link.announced = now;
        link.firstAnnounced = link.firstAnnounced == time_point {} ? now : link.firstAnnounced;
        m_parts.send(link.contact.agent,
                     group::control_announcement { m_tenure->seat.group, m_tenure->fence, m_parts.self, relay });
    }
}

void group_control::receive(const group::group_report &report)
{
    if (!m_tenure || report.fence != m_tenure->fence || report.group != m_tenure->seat.group) {
        return;
    }
    ++m_reports;
    for (const auto &one : report.messages) {
        std::visit(overloaded {
                       [this](const group::rank_report &what) {
                           const auto link = m_tenure->ranks.find(what.status.rank);
                           if (link != m_tenure->ranks.end()) {
                               link->second.heard = m_parts.time->now();
                           }
                           step(group::rank_reported { what.status });
                       },
                       [this](const group::rank_result &what) {
                           step(group::order_answered { what.rank, what.answer });
                       },
                   },
                   one);
    }
    if (report.chosen.sets > 0) {
        step(group::choices_counted { group::unpackCounts(report.chosen) });
    }
}

const std::vector<forward::engine_condition> &group_control::engines() const
{
    return m_engines;
}

void group_control::writeMetrics(report::metrics_text &page) const
{
    page.counter("figcleat_control_appointments_total", "Times that this agent got the control of its group.", {},
                 m_appointments);
    page.counter("figcleat_group_reports_total", "Messages of relays to this agent as controller.", {}, m_reports);
    page.gauge("figcleat_controls_group", "1 while this agent controls its group.", {}, m_tenure ? 1 : 0);
    if (!m_tenure) {
        return;
    }
    const std::string group = fmt::format("group=\"{}\"", m_tenure->seat.group.value);
    const auto &controller = *m_tenure->controller;
    page.gauge("figcleat_control_fence", "Fence of the control of the group.", group,
               static_cast<double>(m_tenure->fence.value));
    page.counter("figcleat_map_switches_total", "Switches of expert maps under this controller.", group,
                 controller.switchCount());
    page.gauge("figcleat_map_skew", "Load of the busiest rank over the mean.", group, controller.skew());
    page.gauge("figcleat_engines_impaired", "Engines that are slow or whose group is broken.", group,
               static_cast<double>(m_engines.size()));
}

void group_control::step(const group::map_event &event)
{
    for (auto &action : m_tenure->controller->step(event, m_parts.time->now())) {
        std::visit(overloaded {
                       [this](group::send_order &order) { carryOut(order); },
                       [this](const group::multi_rank_order &order) { carryOut(order); },
                       [this](const group::map_log_line &note) {
                           logger()->info("event=map group={} term={} {}", m_tenure->seat.group.value,
                                          m_tenure->fence.value, note.text);
                       },
                   },
                   action);
    }
}

void group_control::carryOut(group::send_order &order)
{
    if (order.directly) {
        orderDirectly(order);
        return;
    }
    const auto link = m_tenure->ranks.find(order.rank);
    if (link != m_tenure->ranks.end()) {
        m_parts.send(link->second.contact.agent, group::rank_command { m_tenure->fence, std::move(order.order) });
    }
}

void group_control::carryOut(const group::multi_rank_order &order)
{
    std::map<peer_address, std::vector<group::order_recipient>> byRelay;
    for (auto to : order.to) {
        const auto link = m_tenure->ranks.find(to.rank);
        if (link != m_tenure->ranks.end()) {
            to.agent = link->second.contact.agent;
            byRelay[link->second.relay].push_back(std::move(to));
        }
    }
    for (auto &[relay, to] : byRelay) {
        m_parts.send(relay, group::multi_rank_command { m_tenure->fence, order.order, std::move(to) });
    }
}

void group_control::orderDirectly(const group::send_order &order)
{
    const auto link = m_tenure->ranks.find(order.rank);
    http_client *client = link == m_tenure->ranks.end() ? nullptr : m_clients.at(link->second.contact.engine);
    if (client == nullptr) {
        logger()->error("event=direct_order group={} rank={} reason=no_address", m_tenure->seat.group.value,
                        order.rank);
        return;
    }
    const auto &what = order.order;
    logger()->warn("event=direct_order group={} rank={} op={} version={} step={}", m_tenure->seat.group.value,
                   order.rank, static_cast<int>(what.operation), what.version.value, what.step.value);
    m_lastDirectOrder = m_lastDirectOrder.next();
    const attempt_id attempt { m_parts.incarnation, m_lastDirectOrder };
    m_directOrders[attempt] = { order.rank, what.id, group::order_result::unknown };
    client->start(attempt, m_parts.language->orderCall(what));
}

void group_control::onAnswerStart(attempt_id attempt, int status, const http_headers & /*headers*/)
{
    if (const auto found = m_directOrders.find(attempt); found != m_directOrders.end()) {
        found->second.result = m_parts.language->decodeOrderResult(status);
    }
}

void group_control::onBytes(attempt_id /*attempt*/, std::string_view /*bytes*/)
{
}

void group_control::onAnswerEnd(attempt_id attempt)
{
    if (const auto found = m_directOrders.find(attempt); found != m_directOrders.end()) {
        endDirectOrder(attempt, found->second.result);
    }
}

void group_control::onFailure(attempt_id attempt, bool /*notSent*/)
{
    endDirectOrder(attempt, group::order_result::unknown);
}

void group_control::endDirectOrder(attempt_id attempt, group::order_result result)
{
    const auto found = m_directOrders.find(attempt);
    if (found == m_directOrders.end()) {
        return;
    }
    const auto done = found->second;
    m_directOrders.erase(found);
    // Orders of an earlier control were dropped with it.
    step(group::order_answered { done.rank, { done.order, result } });
}

void group_control::reviewEngines()
{
    const auto reports = m_tenure->controller->reports(reportSilence, m_parts.time->now());
    const bool isOpen = std::all_of(reports.begin(), reports.end(), [](const auto &one) { return one.isOpen; });
    std::vector<forward::engine_condition> engines;
    if (isOpen) {
        for (const auto &one : reports) {
            if (one.pace >= slowPace) {
                engines.push_back({ one.address, true, one.pace });
            }
        }
    } else {
        // Ranks that a cut hides are down with their group.
        for (const auto &[rank, link] : m_tenure->ranks) {
            engines.push_back({ link.contact.engine, false, 1 });
        }
    }
    if (engines == m_engines) {
        return;
    }
    m_engines = std::move(engines);
    const bool isAny = !m_engines.empty();
    logger()->warn("event=engines_impaired group={} count={} first={} open={} pace={:.1f}", m_tenure->seat.group.value,
                   m_engines.size(), isAny ? m_engines.front().address : "", !isAny || m_engines.front().isOpen,
                   isAny ? m_engines.front().pace : 1.0);
    request();
}

} // namespace figcleat
