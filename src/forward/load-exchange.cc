#include "figcleat/forward/load-exchange.h"

#include <algorithm>

namespace figcleat::forward
{

namespace
{

/** Less demand than this does not change any decision. */
constexpr double minDemandPerSecond = 0.5;

void add(load_sums &sums, const node_load &load)
{
    for (const auto &use : load.uses) {
        auto &sum = sums.uses[use.target];
        sum.target = use.target;
        sum.requests += use.requests;
        sum.prompts += use.prompts;
    }
    for (const auto &one : load.demand) {
        sums.demand[{ one.service, one.urgency }] += one.perSecond;
    }
}

void subtract(load_sums &sums, const node_load &load)
{
    for (const auto &use : load.uses) {
        auto &sum = sums.uses[use.target];
        sum.requests -= std::min(sum.requests, use.requests);
        sum.prompts -= std::min(sum.prompts, use.prompts);
    }
    for (const auto &one : load.demand) {
        sums.demand[{ one.service, one.urgency }] -= one.perSecond;
    }
}

node_load toLoad(load_scope scope, const load_sums &sums)
{
    node_load load { scope, {} };
    for (const auto &[target, use] : sums.uses) {
        if (use.requests > 0) {
            load.uses.push_back(use);
        }
    }
    for (const auto &[key, perSecond] : sums.demand) {
        if (perSecond >= minDemandPerSecond) {
            load.demand.push_back({ key.first, key.second, static_cast<float>(perSecond) });
        }
    }
    return load;
}

} // namespace

load_exchange::load_exchange(peer_address self, data_centre_id dataCentre)
    : m_self(std::move(self))
    , m_dataCentre(std::move(dataCentre))
{
}

void load_exchange::setFronts(const std::vector<front_contact> &fronts)
{
    if (fronts == m_knownFronts) {
        return;
    }
    m_knownFronts = fronts;
    m_frontsByDataCentre.clear();
    for (const auto &front : fronts) {
        m_frontsByDataCentre[front.dataCentre].push_back(front.address);
    }
    for (auto &[dataCentre, members] : m_frontsByDataCentre) {
        std::sort(members.begin(), members.end());
    }
    std::erase_if(m_contacts, [&fronts](const auto &entry) {
        return std::none_of(fronts.begin(), fronts.end(),
                            [&entry](const auto &front) { return front.address == entry.first; });
    });
}

bool load_exchange::isDirect() const
{
    return m_knownFronts.size() <= maxDirectFronts;
}

bool load_exchange::isSilent(const peer_address &front, time_point now) const
{
    const auto found = m_contacts.find(front);
    return found != m_contacts.end() && found->second.firstUnansweredAt
        && now - *found->second.firstUnansweredAt >= relayTimeout;
}

peer_address load_exchange::relayOf(const data_centre_id &dataCentre, time_point now) const
{
    const auto members = m_frontsByDataCentre.find(dataCentre);
    if (members != m_frontsByDataCentre.end()) {
        const auto first = std::find_if(members->second.begin(), members->second.end(),
                                        [&](const auto &front) { return front == m_self || !isSilent(front, now); });
        if (first != members->second.end()) {
            return *first;
        }
    }
    return dataCentre == m_dataCentre ? m_self : peer_address {};
}

bool load_exchange::isRelay(time_point now) const
{
    return !isDirect() && relayOf(m_dataCentre, now) == m_self;
}

duration load_exchange::period() const
{
    const auto members = m_frontsByDataCentre.find(m_dataCentre);
    const auto count = static_cast<std::int64_t>(members == m_frontsByDataCentre.end() ? 1 : members->second.size());
    // In each period the relay receives one message from every front of the data centre and sends one to it.
    return std::max(minPeriod, duration(std::chrono::seconds(1)) * 2 * count / maxRelayMessagesPerSecond);
}

data_centre_id load_exchange::dataCentreOf(const peer_address &front) const
{
    const auto found
        = std::find_if(m_frontsByDataCentre.begin(), m_frontsByDataCentre.end(), [&front](const auto &entry) {
              return std::binary_search(entry.second.begin(), entry.second.end(), front);
          });
    return found == m_frontsByDataCentre.end() ? data_centre_id {} : found->first;
}

void load_exchange::receive(const peer_address &from, const node_load &load, time_point now)
{
    if (load.scope == load_scope::data_centre) {
        // Drops the sums of a former relay of the same data centre: that data centre's requests would count twice.
        std::erase_if(m_received, [&, dataCentre = dataCentreOf(from)](const auto &entry) {
            return entry.second.load.scope == load_scope::data_centre && dataCentreOf(entry.first) == dataCentre;
        });
    }
    m_received[from] = { load, now };
    m_contacts[from] = { now, std::nullopt };
    m_peerLoadsChanged = true;
    m_hasUnsentLoad = true;
}

void load_exchange::removeExpired(time_point now)
{
    const auto removed
        = std::erase_if(m_received, [now](const auto &entry) { return now - entry.second.receivedAt > loadExpiry; });
    m_peerLoadsChanged = m_peerLoadsChanged || removed > 0;
}

std::vector<load_message> load_exchange::takeDueMessages(const std::vector<target_use> &own, time_point now,
                                                         const std::vector<placement_demand> &demand)
{
    removeExpired(now);
    const duration sinceLast = now - m_lastSentAt;
    const bool hasChanged = own != m_lastSentLoad || (m_hasUnsentLoad && isRelay(now));
    const bool isDue = sinceLast >= repeatPeriod || (hasChanged && (isDirect() || sinceLast >= period()));
    if (!isDue) {
        return {};
    }
    std::vector<load_message> messages;
    const node_load load { load_scope::node, own, demand };
    if (isDirect()) {
        messages = directMessages(load);
    } else if (isRelay(now)) {
        messages = relayMessages(load, now);
    } else {
        messages.push_back({ relayOf(m_dataCentre, now), load });
    }
    for (const auto &message : messages) {
        auto &contact = m_contacts[message.to];
        contact.firstUnansweredAt = contact.firstUnansweredAt.value_or(now);
    }
    m_lastSentLoad = own;
    m_lastSentAt = now;
    m_hasUnsentLoad = false;
    return messages;
}

std::vector<load_message> load_exchange::directMessages(const node_load &own) const
{
    std::vector<load_message> messages;
    for (const auto &[dataCentre, members] : m_frontsByDataCentre) {
        for (const auto &front : members) {
            if (front != m_self) {
                messages.push_back({ front, own });
            }
        }
    }
    return messages;
}

std::vector<load_message> load_exchange::relayMessages(const node_load &own, time_point now) const
{
    std::vector<load_message> messages;
    load_sums all;
    addReceived(all, load_scope::node);
    add(all, own);
    const auto dataCentreLoad = toLoad(load_scope::data_centre, all);
    for (const auto &front : relaysOfOthers(now)) {
        messages.push_back({ front, dataCentreLoad });
    }
    addReceived(all, load_scope::data_centre);
    const auto members = m_frontsByDataCentre.find(m_dataCentre);
    if (members == m_frontsByDataCentre.end()) {
        return messages;
    }
    for (const auto &front : members->second) {
        if (front == m_self) {
            continue;
        }
        load_sums others = all;
        const auto received = m_received.find(front);
        if (received != m_received.end() && received->second.load.scope == load_scope::node) {
            subtract(others, received->second.load);
        }
        messages.push_back({ front, toLoad(load_scope::others, others) });
    }
    return messages;
}

std::set<peer_address> load_exchange::relaysOfOthers(time_point now) const
{
    std::set<peer_address> relays;
    for (const auto &[dataCentre, members] : m_frontsByDataCentre) {
        if (dataCentre != m_dataCentre) {
            // After a process was suspended, this relay and the relays of other data centres consider each other
            // silent. The first front of each data centre therefore receives the sums as well: one message in either
            // direction clears that state.
            relays.insert({ members.front(), relayOf(dataCentre, now) });
        }
    }
    relays.erase(peer_address {});
    return relays;
}

std::set<peer_address> load_exchange::neighbours(time_point now) const
{
    if (!isDirect() && !isRelay(now)) {
        return { relayOf(m_dataCentre, now) };
    }
    auto all = isDirect() ? std::set<peer_address> {} : relaysOfOthers(now);
    for (const auto &front : m_knownFronts) {
        if (isDirect() || front.dataCentre == m_dataCentre) {
            all.insert(front.address);
        }
    }
    all.erase(m_self);
    return all;
}

void load_exchange::addReceived(load_sums &sums, load_scope scope) const
{
    for (const auto &[from, received] : m_received) {
        if (received.load.scope == scope) {
            add(sums, received.load);
        }
    }
}

std::optional<node_load> load_exchange::peers(time_point now) const
{
    if (isDirect() || isRelay(now)) {
        load_sums sums;
        addReceived(sums, load_scope::node);
        if (!isDirect()) {
            addReceived(sums, load_scope::data_centre);
        }
        return m_received.empty() ? std::nullopt : std::optional(toLoad(load_scope::others, sums));
    }
    const received_load *latest = nullptr;
    for (const auto &[from, received] : m_received) {
        if (received.load.scope == load_scope::others
            && (latest == nullptr || received.receivedAt > latest->receivedAt)) {
            latest = &received;
        }
    }
    return latest == nullptr ? std::nullopt : std::optional(latest->load);
}

std::optional<std::vector<target_use>> load_exchange::peerLoads(time_point now) const
{
    auto load = peers(now);
    return load ? std::optional(std::move(load->uses)) : std::nullopt;
}

std::vector<placement_demand> load_exchange::peerDemand(time_point now) const
{
    auto load = peers(now);
    return load ? std::move(load->demand) : std::vector<placement_demand> {};
}

bool load_exchange::takePeerLoadsChanged(time_point now)
{
    removeExpired(now);
    return std::exchange(m_peerLoadsChanged, false);
}

} // namespace figcleat::forward
