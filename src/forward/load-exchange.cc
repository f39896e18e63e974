#include "figcleat/forward/load-exchange.h"

#include <algorithm>
#include <set>

namespace figcleat::forward
{

namespace
{

void add(use_sums &sums, const std::vector<target_use> &uses)
{
    for (const auto &one : uses) {
        auto &sum = sums[one.target];
        sum.target = one.target;
        sum.requests += one.requests;
        sum.prompts += one.prompts;
    }
}

void subtract(use_sums &sums, const std::vector<target_use> &uses)
{
    for (const auto &one : uses) {
        auto &sum = sums[one.target];
        sum.requests -= std::min(sum.requests, one.requests);
        sum.prompts -= std::min(sum.prompts, one.prompts);
    }
}

std::vector<target_use> listOf(const use_sums &sums)
{
    std::vector<target_use> uses;
    for (const auto &[target, one] : sums) {
        if (one.requests > 0) {
            uses.push_back(one);
        }
    }
    return uses;
}

} // namespace

load_exchange::load_exchange(peer_address self, data_centre_id dataCentre)
    : m_self(std::move(self))
    , m_dataCentre(std::move(dataCentre))
{
}

void load_exchange::setFronts(const std::vector<front_contact> &fronts)
{
    if (fronts == m_known) {
        return;
    }
    m_known = fronts;
    m_fronts.clear();
    for (const auto &one : fronts) {
        m_fronts[one.dataCentre].push_back(one.address);
    }
    for (auto &[dataCentre, members] : m_fronts) {
        std::sort(members.begin(), members.end());
    }
    std::erase_if(m_contacts, [&fronts](const auto &entry) {
        return std::none_of(fronts.begin(), fronts.end(),
                            [&entry](const auto &one) { return one.address == entry.first; });
    });
}

bool load_exchange::isDirect() const
{
    return m_known.size() <= maxDirectFronts;
}

bool load_exchange::isSilent(const peer_address &front, time_point now) const
{
    const auto found = m_contacts.find(front);
    return found != m_contacts.end() && found->second.told && now - *found->second.told >= relaySilence;
}

peer_address load_exchange::relayOf(const data_centre_id &dataCentre, time_point now) const
{
    const auto members = m_fronts.find(dataCentre);
    if (members != m_fronts.end()) {
        const auto first = std::find_if(members->second.begin(), members->second.end(),
                                        [&](const auto &one) { return one == m_self || !isSilent(one, now); });
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
    const auto members = m_fronts.find(m_dataCentre);
    const auto count = static_cast<std::int64_t>(members == m_fronts.end() ? 1 : members->second.size());
    return std::max(minPeriod, duration(std::chrono::seconds(1)) * 2 * count / relayRate);
}

data_centre_id load_exchange::dataCentreOf(const peer_address &front) const
{
    const auto found = std::find_if(m_fronts.begin(), m_fronts.end(), [&front](const auto &entry) {
        return std::binary_search(entry.second.begin(), entry.second.end(), front);
    });
    return found == m_fronts.end() ? data_centre_id {} : found->first;
}

void load_exchange::receive(const peer_address &from, const node_load &load, time_point now)
{
    if (load.scope == load_scope::data_centre) {
        // Of a former relay of the same data centre; it would count twice.
        std::erase_if(m_heard, [&, dataCentre = dataCentreOf(from)](const auto &entry) {
            return entry.second.load.scope == load_scope::data_centre && dataCentreOf(entry.first) == dataCentre;
        });
    }
    m_heard[from] = { load, now };
    m_contacts[from] = { now, std::nullopt };
    m_changed = true;
    m_hasNews = true;
}

void load_exchange::forgetSilent(time_point now)
{
    const auto silent = std::erase_if(m_heard, [now](const auto &entry) { return now - entry.second.heard > silence; });
    m_changed = m_changed || silent > 0;
}

std::vector<load_message> load_exchange::takeDueMessages(const std::vector<target_use> &own, time_point now)
{
    forgetSilent(now);
    const duration since = now - m_lastShared;
    const bool isNews = own != m_lastOwn || (m_hasNews && isRelay(now));
    const bool isDue = since >= repeatPeriod || (isNews && (isDirect() || since >= period()));
    if (!isDue) {
        return {};
    }
    std::vector<load_message> messages;
    if (isDirect()) {
        messages = shareDirectly(own);
    } else if (isRelay(now)) {
        messages = relay(own, now);
    } else {
        messages.push_back({ relayOf(m_dataCentre, now), { load_scope::node, own } });
    }
    for (const auto &one : messages) {
        auto &contact = m_contacts[one.to];
        contact.told = contact.told.value_or(now);
    }
    m_lastOwn = own;
    m_lastShared = now;
    m_hasNews = false;
    return messages;
}

std::vector<load_message> load_exchange::shareDirectly(const std::vector<target_use> &own) const
{
    std::vector<load_message> messages;
    for (const auto &[dataCentre, members] : m_fronts) {
        for (const auto &one : members) {
            if (one != m_self) {
                messages.push_back({ one, { load_scope::node, own } });
            }
        }
    }
    return messages;
}

std::vector<load_message> load_exchange::relay(const std::vector<target_use> &own, time_point now) const
{
    std::vector<load_message> messages;
    use_sums all;
    addHeard(all, load_scope::node);
    add(all, own);
    const auto here = listOf(all);
    for (const auto &[dataCentre, members] : m_fronts) {
        if (dataCentre == m_dataCentre) {
            continue;
        }
        // A relay that was suspended takes the others for silent and they it, until one of them is told something.
        const std::set<peer_address> recipients { members.front(), relayOf(dataCentre, now) };
        for (const auto &one : recipients) {
            if (!one.empty()) {
                messages.push_back({ one, { load_scope::data_centre, here } });
            }
        }
    }
    addHeard(all, load_scope::data_centre);
    const auto members = m_fronts.find(m_dataCentre);
    if (members == m_fronts.end()) {
        return messages;
    }
    for (const auto &one : members->second) {
        if (one == m_self) {
            continue;
        }
        use_sums others = all;
        const auto told = m_heard.find(one);
        if (told != m_heard.end() && told->second.load.scope == load_scope::node) {
            subtract(others, told->second.load.uses);
        }
        messages.push_back({ one, { load_scope::others, listOf(others) } });
    }
    return messages;
}

void load_exchange::addHeard(use_sums &sums, load_scope scope) const
{
    for (const auto &[from, one] : m_heard) {
        if (one.load.scope == scope) {
            add(sums, one.load.uses);
        }
    }
}

std::optional<std::vector<target_use>> load_exchange::peerLoads(time_point now) const
{
    if (isDirect() || isRelay(now)) {
        use_sums sums;
        addHeard(sums, load_scope::node);
        if (!isDirect()) {
            addHeard(sums, load_scope::data_centre);
        }
        return m_heard.empty() ? std::nullopt : std::optional(listOf(sums));
    }
    const heard_load *latest = nullptr;
    for (const auto &[from, one] : m_heard) {
        if (one.load.scope == load_scope::others && (latest == nullptr || one.heard > latest->heard)) {
            latest = &one;
        }
    }
    return latest == nullptr ? std::nullopt : std::optional(latest->load.uses);
}

bool load_exchange::takeChanged(time_point now)
{
    forgetSilent(now);
    return std::exchange(m_changed, false);
}

} // namespace figcleat::forward
