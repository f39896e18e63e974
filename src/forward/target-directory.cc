#include "figcleat/forward/target-directory.h"

#include <algorithm>
#include <tuple>

namespace figcleat::forward
{

namespace
{

/** Changes of `directory_entry::coldUntil` up to this size are due to message delays and are ignored. */
constexpr duration coldTolerance = std::chrono::milliseconds(300);

auto orderOf(const registration &item)
{
    return std::tuple(item.order.startedMs, item.state, item.order.sequence);
}

bool differs(const directory_entry &old, const registration &incoming, time_point coldUntil, time_point now)
{
    const bool isCold = coldUntil > now || old.coldUntil > now;
    const bool coldChanged = isCold && std::chrono::abs(coldUntil - old.coldUntil) > coldTolerance;
    return coldChanged || old.latest.state != incoming.state || old.latest.order.startedMs != incoming.order.startedMs
        || old.latest.address != incoming.address || old.latest.service != incoming.service
        || old.latest.slots != incoming.slots || old.latest.dataCentre != incoming.dataCentre;
}

} // namespace

bool target_directory::merge(const registration &incoming, time_point now)
{
    const auto known = m_entries.find(incoming.target);
    const bool isFirst = known == m_entries.end();
    if (isFirst ? m_entries.size() >= maxTargets : orderOf(incoming) <= orderOf(known->second.latest)) {
        return false;
    }
    if (isFirst && isClaimedByOther(incoming, now)) {
        ++m_refusedClaims;
        return false;
    }
    const time_point coldUntil = now + milliseconds(incoming.coldLeftMs);
    const bool isChange = isFirst || differs(known->second, incoming, coldUntil, now);
    auto &entry = m_entries[incoming.target];
    entry.latest = incoming;
    entry.receivedAt = now;
    entry.renewedVersion = ++m_version;
    if (isChange) {
        entry.coldUntil = coldUntil;
        entry.changedVersion = m_version;
        supersedeSameAddress(incoming);
    }
    return isChange;
}

void target_directory::markGone(directory_entry &entry)
{
    entry.latest.state = registration_state::gone;
    entry.changedVersion = ++m_version;
    entry.renewedVersion = m_version;
}

/** Of targets that share an address, marks the one that started earlier as gone: an address has only one target. */
void target_directory::supersedeSameAddress(const registration &incoming)
{
    for (auto &[id, other] : m_entries) {
        const bool sharesAddress = id != incoming.target && other.latest.address == incoming.address
            && other.latest.state != registration_state::gone && incoming.state != registration_state::gone;
        if (sharesAddress) {
            const bool otherIsLater = other.latest.order.startedMs > incoming.order.startedMs;
            markGone(otherIsLater ? m_entries[incoming.target] : other);
        }
    }
}

bool target_directory::isClaimedByOther(const registration &incoming, time_point now) const
{
    return std::any_of(m_entries.begin(), m_entries.end(), [&](const auto &entry) {
        const auto &other = entry.second;
        return other.latest.address == incoming.address && other.latest.state != registration_state::gone
            && other.latest.order.startedMs == incoming.order.startedMs && incoming.order.startedMs != 0
            && now - other.receivedAt < claimPeriod;
    });
}

bool target_directory::leave(const target_id &target, std::int64_t startedMs, time_point now)
{
    const auto known = m_entries.find(target);
    if (known == m_entries.end()) {
        if (m_entries.size() >= maxTargets) {
            return false;
        }
        auto &entry = m_entries[target];
        entry.latest = { .target = target, .order = { startedMs, 0 } };
        entry.receivedAt = now;
        markGone(entry);
        return true;
    }
    auto &entry = known->second;
    const bool isEarlierIncarnation = startedMs != 0 && startedMs < entry.latest.order.startedMs;
    if (isEarlierIncarnation || entry.latest.state == registration_state::gone) {
        return false;
    }
    entry.latest.order.startedMs = std::max(entry.latest.order.startedMs, startedMs);
    entry.receivedAt = now;
    markGone(entry);
    return true;
}

bool target_directory::expire(time_point now)
{
    bool anyGone = false;
    for (auto &[id, entry] : m_entries) {
        if (entry.latest.state != registration_state::gone && now - entry.receivedAt >= expireAfter) {
            markGone(entry);
            anyGone = true;
        }
    }
    std::erase_if(m_entries, [now](const auto &entry) { return now - entry.second.receivedAt >= forgetAfter; });
    return anyGone;
}

const directory_entry *target_directory::find(const target_id &target) const
{
    const auto found = m_entries.find(target);
    return found == m_entries.end() ? nullptr : &found->second;
}

const std::map<target_id, directory_entry> &target_directory::entries() const
{
    return m_entries;
}

std::uint64_t target_directory::version() const
{
    return m_version;
}

std::uint64_t target_directory::refusedClaims() const
{
    return m_refusedClaims;
}

std::vector<registration> target_directory::changesAfter(std::uint64_t version, change_filter filter,
                                                         time_point now) const
{
    std::vector<registration> changes;
    for (const auto &[id, entry] : m_entries) {
        if ((filter == change_filter::changed ? entry.changedVersion : entry.renewedVersion) <= version) {
            continue;
        }
        changes.push_back(entry.latest);
        const auto remaining = std::chrono::duration_cast<milliseconds>(entry.coldUntil - now);
        changes.back().coldLeftMs = std::max<std::int64_t>(0, remaining.count());
    }
    return changes;
}

} // namespace figcleat::forward
