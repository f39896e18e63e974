#include "figcleat/forward/target-directory.h"

#include <algorithm>
#include <tuple>

namespace figcleat::forward
{

namespace
{

/** Smaller changes of the end of the cold time are delays of the messages. */
constexpr duration coldTolerance = std::chrono::milliseconds(300);

auto rankOf(const registration &what)
{
    return std::tuple(what.order.startedMs, what.state, what.order.sequence);
}

bool differs(const directory_entry &old, const registration &what, time_point coldUntil, time_point now)
{
    const bool isCold = coldUntil > now || old.coldUntil > now;
    const bool coldChanged = isCold && std::chrono::abs(coldUntil - old.coldUntil) > coldTolerance;
    return coldChanged || old.what.state != what.state || old.what.order.startedMs != what.order.startedMs
        || old.what.address != what.address || old.what.service != what.service || old.what.slots != what.slots
        || old.what.dataCentre != what.dataCentre;
}

} // namespace

bool target_directory::merge(const registration &what, time_point now)
{
    const auto known = m_entries.find(what.target);
    const bool isFirst = known == m_entries.end();
    if (isFirst ? m_entries.size() >= maxTargets : rankOf(what) <= rankOf(known->second.what)) {
        return false;
    }
    if (isFirst && isClaimedByOther(what, now)) {
        ++m_refusedClaims;
        return false;
    }
    const time_point coldUntil = now + milliseconds(what.coldLeftMs);
    const bool isNews = isFirst || differs(known->second, what, coldUntil, now);
    auto &entry = m_entries[what.target];
    entry.what = what;
    entry.heard = now;
    entry.touched = ++m_version;
    if (isNews) {
        entry.coldUntil = coldUntil;
        entry.changed = m_version;
        supersede(what);
    }
    return isNews;
}

void target_directory::markGone(directory_entry &entry)
{
    entry.what.state = registration_state::gone;
    entry.changed = ++m_version;
    entry.touched = m_version;
}

/** Two targets cannot have one address: of those that share it, the one that started last is there. */
void target_directory::supersede(const registration &what)
{
    for (auto &[id, other] : m_entries) {
        const bool sharesAddress = id != what.target && other.what.address == what.address
            && other.what.state != registration_state::gone && what.state != registration_state::gone;
        if (sharesAddress) {
            const bool otherIsLater = other.what.order.startedMs > what.order.startedMs;
            markGone(otherIsLater ? m_entries[what.target] : other);
        }
    }
}

bool target_directory::isClaimedByOther(const registration &what, time_point now) const
{
    return std::any_of(m_entries.begin(), m_entries.end(), [&](const auto &entry) {
        const auto &other = entry.second;
        return other.what.address == what.address && other.what.state != registration_state::gone
            && other.what.order.startedMs == what.order.startedMs && what.order.startedMs != 0
            && now - other.heard < claimPeriod;
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
        entry.what = { .target = target, .order = { startedMs, 0 } };
        entry.heard = now;
        markGone(entry);
        return true;
    }
    auto &entry = known->second;
    const bool isOtherLife = startedMs != 0 && startedMs < entry.what.order.startedMs;
    if (isOtherLife || entry.what.state == registration_state::gone) {
        return false;
    }
    entry.what.order.startedMs = std::max(entry.what.order.startedMs, startedMs);
    entry.heard = now;
    markGone(entry);
    return true;
}

bool target_directory::expire(time_point now)
{
    bool anyGone = false;
    for (auto &[id, entry] : m_entries) {
        if (entry.what.state != registration_state::gone && now - entry.heard >= expireAfter) {
            markGone(entry);
            anyGone = true;
        }
    }
    std::erase_if(m_entries, [now](const auto &entry) { return now - entry.second.heard >= forgetAfter; });
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
        if ((filter == change_filter::changed ? entry.changed : entry.touched) <= version) {
            continue;
        }
        changes.push_back(entry.what);
        const auto left = std::chrono::duration_cast<milliseconds>(entry.coldUntil - now);
        changes.back().coldLeftMs = std::max<std::int64_t>(0, left.count());
    }
    return changes;
}

} // namespace figcleat::forward
