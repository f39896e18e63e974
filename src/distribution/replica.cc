#include "figcleat/distribution/replica.h"

#include "figcleat/core/invariant.h"

#include <algorithm>

namespace figcleat::distribution
{

namespace
{

constexpr std::size_t entryPartners = 3;
constexpr std::size_t targetPartners = 2;
/** What a message costs besides the file: envelope, revision, names of data centres. */
constexpr std::int64_t overheadBytes = 256;

} // namespace

replica::replica(replica_settings settings, std::optional<agreed::configuration_in_force> saved)
    : m_settings(std::move(settings))
    , m_partners(m_settings.seed, m_settings.self, m_settings.dataCentre, m_settings.entries)
    , m_bandwidth(m_settings.bytesPerSecond, m_settings.burstBytes)
{
    if (saved) {
        m_held = std::move(*saved);
    }
}

std::vector<replica_action> replica::step(const replica_event &event, time_point now)
{
    m_actions.clear();
    std::visit([&](const auto &held) { handle(held, now); }, event);
    return std::move(m_actions);
}

bool replica::isConfigured() const
{
    return m_held.revision.value != 0;
}

const agreed::configuration_in_force &replica::configuration() const
{
    return m_held;
}

bool replica::isOutLocally() const
{
    return m_local.out;
}

void replica::handle(const tick & /*event*/, time_point now)
{
    if (m_fetch && now >= m_fetch->deadline) {
        forgetHolder(m_fetch->from);
        m_fetch.reset();
    }
    fetchIfNeeded(now);
    probeIfBehind(now);
    if (m_nextGossip && now < *m_nextGossip) {
        return;
    }
    // The first period is cut at random, so that processes that start together do not send together ever after.
    const auto percent = static_cast<std::int64_t>(m_nextGossip ? 100 : m_partners.below(100));
    m_nextGossip = now + m_settings.period * percent / 100;
    m_heard = {};
    gossip();
    if (m_local.out) {
        gossipNearby();
    }
}

void replica::handle(const heartbeat_received &event, time_point now)
{
    const heartbeat &message = event.message;
    const bool isNear = message.dataCentre == m_settings.dataCentre;
    if (isNear && merge(message.local)) {
        endOverrideIfAgreed();
        putInForce();
        gossipNearby();
    }
    if (message.revision > m_held.revision) {
        m_heard = std::max(m_heard, message.revision);
        rememberHolder(event.from, message.revision);
        fetchIfNeeded(now);
    } else if (message.revision < m_held.revision || (isNear && message.local != m_local)) {
        sendHeartbeat(event.from);
    }
}

void replica::handle(const fetch_received &event, time_point now)
{
    if (event.message.revision >= m_held.revision) {
        m_actions.emplace_back(send_decline { event.from, { m_held.revision } });
        return;
    }
    send_configuration answer { event.from, { m_held } };
    if (event.message.number == m_held.number) {
        answer.message.configuration.content.clear();
    }
    // An answer without the file is small and may take a data centre out, so it does not wait for bandwidth.
    const std::string &content = answer.message.configuration.content;
    if (content.empty() || m_bandwidth.take(static_cast<std::int64_t>(content.size()) + overheadBytes, now)) {
        m_actions.emplace_back(std::move(answer));
    } else {
        m_actions.emplace_back(send_decline { event.from, { m_held.revision } });
    }
}

void replica::handle(const decline_received &event, time_point now)
{
    if (!m_fetch || m_fetch->from != event.from) {
        return;
    }
    m_fetch.reset();
    forgetHolder(event.from);
    fetchIfNeeded(now);
}

void replica::handle(const configuration_received &event, time_point now)
{
    if (m_fetch && m_fetch->from == event.from) {
        m_fetch.reset();
    }
    agreed::configuration_in_force next = event.message.configuration;
    if (next.content.empty()) {
        if (next.number != m_held.number) {
            // The file changed since the fetch, so this answer cannot be completed.
            fetchIfNeeded(now);
            return;
        }
        next.content = m_held.content;
    }
    adopt(std::move(next));
    fetchIfNeeded(now);
}

void replica::handle(const committed &event, time_point now)
{
    adopt(event.configuration);
    fetchIfNeeded(now);
}

void replica::handle(const override_requested &event, time_point /*now*/)
{
    if (event.out == m_local.out) {
        return;
    }
    m_local = { m_local.version + 1, m_held.revision, event.out };
    putInForce();
    gossipNearby();
}

void replica::adopt(agreed::configuration_in_force next)
{
    if (next.revision == m_held.revision) {
        ensure(next == m_held, result_code::invariant_configuration_order, "one revision has two contents");
    }
    if (next.revision <= m_held.revision) {
        return;
    }
    ensure(next.number >= m_held.number, result_code::invariant_configuration_order,
           "a higher revision has a lower file number");
    m_held = std::move(next);
    std::erase_if(m_holders, [this](const holder &known) { return known.revision <= m_held.revision; });
    endOverrideIfAgreed();
    putInForce();
    if (m_settings.role == replica_role::entry) {
        gossip();
    }
}

bool replica::merge(const local_override &other)
{
    const bool wins = other.version > m_local.version
        || (other.version == m_local.version
            && ((m_local.out && !other.out) || (m_local.out == other.out && other.base > m_local.base)));
    if (wins) {
        m_local = other;
    }
    return wins;
}

void replica::endOverrideIfAgreed()
{
    if (!m_local.out || m_held.revision <= m_local.base) {
        return;
    }
    // A command that brought the data centre back after the override was made with the whole system in view. The
    // command that took it out before may have been skipped: a process receives only the newest configuration.
    const bool isBack = std::ranges::any_of(m_held.dataCentresIn, [this](const agreed::data_centre_back &back) {
        return back.dataCentre == m_settings.dataCentre && back.since > m_local.base;
    });
    if (isBack || saysOwnIsOut()) {
        m_local.out = false;
    }
}

bool replica::saysOwnIsOut() const
{
    if (std::ranges::find(m_held.dataCentresOut, m_settings.dataCentre) != m_held.dataCentresOut.end()) {
        return true;
    }
    const bool isBack = std::ranges::any_of(m_held.dataCentresIn, [this](const agreed::data_centre_back &back) {
        return back.dataCentre == m_settings.dataCentre;
    });
    return !isBack && m_settings.fileTakesOut && m_settings.fileTakesOut(m_held.content);
}

void replica::rememberHolder(const peer_address &from, revision_number revision)
{
    forgetHolder(from);
    if (m_holders.size() >= maxHolders) {
        m_holders.erase(std::ranges::min_element(m_holders, {}, &holder::revision));
    }
    m_holders.push_back({ from, revision });
}

void replica::forgetHolder(const peer_address &from)
{
    std::erase_if(m_holders, [&](const holder &known) { return known.address == from; });
}

void replica::fetchIfNeeded(time_point now)
{
    if (m_fetch || m_holders.empty()) {
        return;
    }
    const revision_number highest = std::ranges::max_element(m_holders, {}, &holder::revision)->revision;
    std::vector<peer_address> having;
    for (const holder &known : m_holders) {
        if (known.revision == highest) {
            having.push_back(known.address);
        }
    }
    const peer_address &from = having[m_partners.below(having.size())];
    m_fetch = pending_fetch { from, now + m_settings.fetchTimeout };
    m_actions.emplace_back(send_fetch { from, { m_held.revision, m_held.number } });
}

void replica::probeIfBehind(time_point now)
{
    if (m_fetch || m_heard <= m_held.revision || now < m_nextProbe) {
        return;
    }
    // Every holder that is known has refused or was silent. In a data centre with one entry left its bandwidth would
    // not do for all targets, so any entry is asked; its answer tells whether it has the revision.
    m_nextProbe = now + m_settings.probePeriod;
    for (const peer_address &to : m_partners.anywhere(1)) {
        sendHeartbeat(to);
    }
}

void replica::gossip()
{
    const bool isEntry = m_settings.role == replica_role::entry;
    for (const peer_address &to :
         isEntry ? m_partners.anywhere(entryPartners) : m_partners.nearbyFirst(targetPartners)) {
        sendHeartbeat(to);
    }
}

void replica::gossipNearby()
{
    if (m_settings.role != replica_role::entry) {
        return;
    }
    for (const peer_address &to : m_partners.nearby(entryPartners)) {
        sendHeartbeat(to);
    }
}

void replica::sendHeartbeat(const peer_address &to)
{
    m_actions.emplace_back(send_heartbeat { to, { m_held.revision, m_settings.dataCentre, m_local } });
}

void replica::putInForce()
{
    if (!isConfigured()) {
        return;
    }
    m_actions.emplace_back(in_force { m_held, m_local.out });
}

} // namespace figcleat::distribution
