#include "figcleat/daemon/node-links.h"

#include <algorithm>

namespace figcleat
{

coordinator_links::coordinator_links(const std::vector<peer_address> &seeds, peer_address self, time_point now)
    : m_self(std::move(self))
{
    setSeeds(seeds, now);
}

void coordinator_links::add(const peer_address &address, bool isSeed, time_point now)
{
    if (address == m_self || address.empty() || m_links.size() >= maxCoordinators) {
        return;
    }
    auto &one = m_links.try_emplace(address, link { .heard = now }).first->second;
    one.isSeed = one.isSeed || isSeed;
}

void coordinator_links::setSeeds(const std::vector<peer_address> &seeds, time_point now)
{
    for (auto &[address, one] : m_links) {
        one.isSeed = false;
    }
    for (const auto &address : seeds) {
        add(address, true, now);
    }
}

void coordinator_links::onUpdate(const peer_address &from, incarnation_id incarnation,
                                 const forward::node_update &update, time_point now)
{
    add(from, false, now);
    const auto found = m_links.find(from);
    if (found == m_links.end()) {
        return;
    }
    auto &one = found->second;
    if (one.incarnation != incarnation) {
        one.incarnation = incarnation;
        one.directoryVersion = 0;
        one.contactsChecksum = 0;
    }
    one.heard = now;
    one.leader = update.leader;
    one.term = update.term;
    // An update before this one may have been lost; then the next poll asks for its changes again.
    if (update.since <= one.directoryVersion) {
        one.directoryVersion = std::max(one.directoryVersion, update.directoryVersion);
    }
    for (const auto &contacts : update.contacts) {
        one.contactsChecksum = update.contactsChecksum;
        one.fronts = contacts.fronts;
        for (const auto &address : contacts.coordinators) {
            add(address, false, now);
        }
    }
}

void coordinator_links::onCoordinatorPoll(const peer_address &from, time_point now)
{
    add(from, false, now);
}

void coordinator_links::forgetSilent(time_point now)
{
    const auto forgotten = std::erase_if(
        m_links, [now](const auto &entry) { return !entry.second.isSeed && now - entry.second.heard >= forgetAfter; });
    if (forgotten > 0) {
        // This node may have been the one that was cut off; what it forgot is named again.
        for (auto &[address, one] : m_links) {
            one.contactsChecksum = 0;
        }
    }
}

const std::map<peer_address, coordinator_links::link> &coordinator_links::links() const
{
    return m_links;
}

std::vector<peer_address> coordinator_links::addresses() const
{
    std::vector<peer_address> all;
    for (const auto &entry : m_links) {
        all.push_back(entry.first);
    }
    return all;
}

std::size_t coordinator_links::heardWithin(duration window, time_point now) const
{
    return static_cast<std::size_t>(std::count_if(m_links.begin(), m_links.end(), [&](const auto &entry) {
        return entry.second.incarnation != incarnation_id {} && now - entry.second.heard <= window;
    }));
}

std::optional<time_point> coordinator_links::lastHeard() const
{
    std::optional<time_point> latest;
    for (const auto &[address, one] : m_links) {
        if (one.incarnation != incarnation_id {}) {
            latest = std::max(latest.value_or(one.heard), one.heard);
        }
    }
    return latest;
}

peer_address coordinator_links::leader(duration window, time_point now) const
{
    std::uint64_t term = 0;
    peer_address leader;
    for (const auto &[address, one] : m_links) {
        if (!one.leader.empty() && now - one.heard <= window && one.term >= term) {
            term = one.term;
            leader = one.leader;
        }
    }
    return leader;
}

std::vector<forward::front_contact> coordinator_links::fronts(duration window, time_point now) const
{
    std::set<forward::front_contact> known;
    for (const auto &[address, one] : m_links) {
        if (now - one.heard <= window) {
            known.insert(one.fronts.begin(), one.fronts.end());
        }
    }
    return { known.begin(), known.end() };
}

} // namespace figcleat
