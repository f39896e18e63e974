#include "figcleat/forward/target-directory.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace figcleat::forward
{

namespace
{

/** A renewal after such a gap is told like a change: receivers may have taken the registration before it for outdated.
 */
constexpr duration longGap = target_directory::expireAfter / 2;
/** Changes of `directory_entry::coldUntil` up to this size are due to message delays and are ignored. */
constexpr duration coldTolerance = std::chrono::milliseconds(300);

auto orderOf(const registration &item)
{
    return std::tuple(item.state, item.order.sequence, item.presence);
}

bool differs(const directory_entry &old, const registration &incoming, time_point coldUntil, time_point now)
{
    const bool isCold = coldUntil > now || old.coldUntil > now;
    const bool coldChanged = isCold && std::chrono::abs(coldUntil - old.coldUntil) > coldTolerance;
    return coldChanged || old.latest.state != incoming.state || old.latest.presence != incoming.presence
        || old.latest.order.startedMs != incoming.order.startedMs || old.latest.address != incoming.address
        || old.latest.service != incoming.service || old.latest.slots != incoming.slots
        || old.latest.dataCentre != incoming.dataCentre;
}

bool isRenewalOf(const std::optional<registration_order> &refused, const registration_order &incoming)
{
    return refused && refused->startedMs == incoming.startedMs && refused->sequence < incoming.sequence;
}

} // namespace

std::string_view usabilityName(registration_state state, registration_presence presence)
{
    switch (state) {
    case registration_state::draining:
        return "draining";
    case registration_state::gone:
        return "gone";
    case registration_state::ready:
        break;
    }
    switch (presence) {
    case registration_presence::superseded:
        return "superseded";
    case registration_presence::silent:
        return "silent";
    case registration_presence::heard:
        break;
    }
    return "usable";
}

target_directory::target_directory(std::string self)
    : m_self(std::move(self))
{
}

bool target_directory::takesPrecedence(const registration &incoming, time_point heardAt, const directory_entry &known,
                                       bool isRenewed)
{
    const auto &held = known.latest;
    const bool bothReady = incoming.state == registration_state::ready && held.state == registration_state::ready;
    // Starts and sequences may come from another writer or be corrupted, so that the higher one is not always the
    // later.
    const bool isOverdue = bothReady && heardAt - known.heardAt >= claimPeriod && isRenewed;
    const bool isOutlived = bothReady && incoming.isUsable() && known.heardAt - heardAt >= claimPeriod;
    if (incoming.order.startedMs != held.order.startedMs) {
        return incoming.order.startedMs > held.order.startedMs ? !isOutlived : isOverdue;
    }
    return orderOf(incoming) > orderOf(held) ? !isOutlived
                                             : isOverdue && incoming.order.sequence != held.order.sequence;
}

bool target_directory::merge(const registration &incoming, time_point now)
{
    const bool isReady = incoming.state == registration_state::ready;
    if (isReady && hasSignedOff(incoming.incarnation())) {
        return false;
    }
    const auto known = m_entries.find(incoming.target);
    const bool isFirst = known == m_entries.end();
    if (!isFirst
        && !takesPrecedence(incoming, now, known->second, isRenewalOf(known->second.refused, incoming.order))) {
        known->second.refused = incoming.order;
        return false;
    }
    const bool isClaim = isReady
        && (isFirst || !known->second.isUsable() || known->second.latest.address != incoming.address)
        && isContested(incoming, now);
    if (isClaim && !renewClaim(incoming, now)) {
        ++m_refusedClaims;
        return false;
    }
    if (isReady && isFirst && !makeRoom(now)) {
        return false;
    }
    m_claims.erase(incoming.target);
    auto heard = incoming;
    heard.reporter = isReady ? std::string() : m_self;
    const bool isChange = store(heard, now, now);
    return (m_sharedAddresses.contains(incoming.address) && supersede(incoming.address, now)) || isChange;
}

bool target_directory::adopt(const registration &incoming, time_point now)
{
    if (incoming.state == registration_state::ready && hasSignedOff(incoming.incarnation())) {
        return false;
    }
    const duration age = milliseconds(std::max<std::int64_t>(0, incoming.ageMs));
    const bool isStale = incoming.isUsable() && age >= expireAfter;
    const auto known = m_entries.find(incoming.target);
    const bool isFirst = known == m_entries.end();
    if (!isFirst && !takesPrecedence(incoming, now - age, known->second, true)) {
        return false;
    }
    const bool isAbsent = incoming.state == registration_state::ready && (isStale || !incoming.isUsable());
    if (!isFirst && isAbsent && known->second.isUsable()) {
        // A peer that only has an old registration may itself have missed the later ones.
        if (!isStale) {
            auto &absence = known->second.absence;
            // Peers repeat the report as long as this node asks.
            const time_point reportedAt = absence ? absence->reportedAt : now;
            absence = absence_report { incoming.presence, incoming.order, incoming.reporter, reportedAt };
        }
        return false;
    }
    if (isFirst && incoming.isUsable() && m_entries.size() >= maxTargets && usableCount() >= maxTargets) {
        return false;
    }
    auto heard = incoming;
    heard.presence = isStale ? registration_presence::silent : incoming.presence;
    return store(heard, now - age, now);
}

bool target_directory::store(const registration &incoming, time_point heardAt, time_point now)
{
    const time_point coldUntil = now + milliseconds(incoming.coldLeftMs);
    const auto known = m_entries.find(incoming.target);
    const bool isFirst = known == m_entries.end();
    if (isFirst && m_entries.size() >= maxTargets + maxUnused) {
        forgetLongestUnused();
    }
    const bool isChange
        = isFirst || differs(known->second, incoming, coldUntil, now) || heardAt - known->second.heardAt >= longGap;
    const bool hasMoved = isFirst || known->second.latest.address != incoming.address;
    const bool wasUsable = !isFirst && known->second.isUsable();
    auto &entry = m_entries[incoming.target];
    const bool isSameRun = entry.latest.order.startedMs == incoming.order.startedMs;
    entry.latest = incoming;
    entry.heardAt = isSameRun ? std::max(entry.heardAt, heardAt) : heardAt;
    entry.refused.reset();
    if (!entry.isUsable() && wasUsable) {
        noteUnused(entry, now);
    } else if (isFirst) {
        entry.outSince = now;
    }
    if (entry.absence && (!isSameRun || incoming.order.sequence > entry.absence->order.sequence || !entry.isUsable())) {
        entry.absence.reset();
    }
    entry.renewedVersion = ++m_version;
    if (isChange) {
        entry.coldUntil = coldUntil;
        entry.changedVersion = m_version;
    }
    if (hasMoved || (!wasUsable && entry.isUsable())) {
        noteSharedAddress(incoming);
    }
    if (incoming.state != registration_state::ready) {
        recordSignOff(incoming.incarnation());
    }
    return isChange;
}

time_point target_directory::lastHeard(const directory_entry &entry) const
{
    return std::max(entry.heardAt, m_listeningSince);
}

bool target_directory::isContested(const registration &incoming, time_point now) const
{
    return incoming.order.startedMs != 0 && std::any_of(m_entries.begin(), m_entries.end(), [&](const auto &item) {
               const auto &[id, other] = item;
               return id != incoming.target && other.isUsable() && other.latest.address == incoming.address
                   && other.latest.order.startedMs >= incoming.order.startedMs && now - lastHeard(other) < claimPeriod;
           });
}

bool target_directory::renewClaim(const registration &incoming, time_point now)
{
    const auto known = m_claims.find(incoming.target);
    const bool isRenewal = known != m_claims.end() && isRenewalOf(known->second.order, incoming.order)
        && now - known->second.heardAt < expireAfter;
    if (isRenewal) {
        known->second.order = incoming.order;
        known->second.heardAt = now;
        return now - known->second.firstHeardAt >= claimPeriod;
    }
    if (known == m_claims.end() && m_claims.size() >= maxClaims) {
        m_claims.erase(std::min_element(m_claims.begin(), m_claims.end(), [](const auto &a, const auto &b) {
            return a.second.heardAt < b.second.heardAt;
        }));
    }
    if (known == m_claims.end() || known->second.order != incoming.order) {
        m_claims[incoming.target] = { incoming.order, now, now };
    }
    return false;
}

void target_directory::noteSharedAddress(const registration &incoming)
{
    const bool isShared = std::any_of(m_entries.begin(), m_entries.end(), [&](const auto &item) {
        return item.first != incoming.target && item.second.latest.address == incoming.address;
    });
    if (isShared && !incoming.address.empty()) {
        m_sharedAddresses.insert(incoming.address);
    }
}

/** Marks the targets with this address that have fallen behind the one that registered last. */
bool target_directory::supersede(const std::string &address, time_point now)
{
    std::vector<directory_entry *> claimants;
    for (auto &[id, entry] : m_entries) {
        if (entry.latest.address == address) {
            claimants.push_back(&entry);
        }
    }
    if (claimants.empty()) {
        m_sharedAddresses.erase(address);
        return false;
    }
    const auto *last = *std::max_element(claimants.begin(), claimants.end(),
                                         [](const auto *a, const auto *b) { return a->heardAt < b->heardAt; });
    bool isChange = false;
    for (auto *entry : claimants) {
        if (entry->isUsable() && last->heardAt - lastHeard(*entry) >= claimPeriod) {
            markOut(*entry, registration_presence::superseded, last->latest.target.value, now);
            isChange = true;
        }
    }
    const bool isSettled = std::all_of(claimants.begin(), claimants.end(),
                                       [last](const auto *entry) { return entry == last || !entry->isUsable(); });
    if (isSettled) {
        m_sharedAddresses.erase(address);
    }
    return isChange;
}

void target_directory::markChanged(directory_entry &entry)
{
    entry.changedVersion = ++m_version;
    entry.renewedVersion = m_version;
}

void target_directory::markOut(directory_entry &entry, registration_presence presence, const std::string &reporter,
                               time_point now)
{
    entry.latest.presence = presence;
    entry.latest.reporter = reporter;
    entry.absence.reset();
    noteUnused(entry, now);
    markChanged(entry);
}

void target_directory::noteUnused(directory_entry &entry, time_point now)
{
    entry.outSince = now;
    if (m_newlyUnused.size() < maxUnused) {
        m_newlyUnused.push_back(entry.latest.target);
    }
}

std::vector<target_id> target_directory::takeNewlyUnused()
{
    return std::exchange(m_newlyUnused, {});
}

bool target_directory::leave(const target_id &target, std::int64_t startedMs, time_point now)
{
    const auto known = m_entries.find(target);
    if (known == m_entries.end()) {
        registration departed { .target = target, .order = { startedMs, 0 }, .state = registration_state::gone };
        departed.reporter = m_self;
        return store(departed, now, now);
    }
    auto &entry = known->second;
    const auto heldStart = entry.latest.order.startedMs;
    recordSignOff({ target, startedMs == 0 ? heldStart : startedMs });
    const bool isEarlierIncarnation = startedMs != 0 && startedMs < heldStart;
    if (isEarlierIncarnation || (entry.latest.state == registration_state::gone && startedMs <= heldStart)) {
        return false;
    }
    if (entry.isUsable()) {
        noteUnused(entry, now);
    }
    entry.latest.order.startedMs = std::max(heldStart, startedMs);
    entry.latest.state = registration_state::gone;
    entry.latest.reporter = m_self;
    entry.heardAt = now;
    entry.absence.reset();
    markChanged(entry);
    return true;
}

void target_directory::recordSignOff(const target_incarnation &incarnation)
{
    if (incarnation.startedMs == 0) {
        // Without its start, a later run of the target could not be told from the one that left.
        return;
    }
    const auto known = m_signOffs.find(incarnation.target);
    if (known != m_signOffs.end()) {
        known->second.startedMs = std::max(known->second.startedMs, incarnation.startedMs);
        return;
    }
    if (m_signOffs.size() >= maxSignOffs) {
        m_signOffs.erase(m_signOffOrder.begin()->second);
        m_signOffOrder.erase(m_signOffOrder.begin());
    }
    m_signOffs.emplace(incarnation.target, sign_off { incarnation.startedMs, ++m_signOffCount });
    m_signOffOrder.emplace(m_signOffCount, incarnation.target);
}

bool target_directory::hasSignedOff(const target_incarnation &incarnation) const
{
    const auto known = m_signOffs.find(incarnation.target);
    return known != m_signOffs.end() && incarnation.startedMs <= known->second.startedMs;
}

void target_directory::resumeListening(time_point now)
{
    m_listeningSince = now;
    for (auto &[id, entry] : m_entries) {
        if (entry.absence) {
            entry.absence->reportedAt = now;
        }
    }
}

bool target_directory::expire(time_point now)
{
    bool isChange = expireSilent(now);
    const auto shared = m_sharedAddresses;
    for (const auto &address : shared) {
        isChange = supersede(address, now) || isChange;
    }
    return settle(now) || isChange;
}

bool target_directory::expireSilent(time_point now)
{
    bool isChange = false;
    for (auto &[id, entry] : m_entries) {
        if (entry.isUsable() && now - lastHeard(entry) >= expireAfter) {
            markOut(entry, registration_presence::silent, m_self, now);
            isChange = true;
        }
    }
    std::erase_if(m_claims, [now](const auto &item) { return now - item.second.heardAt >= expireAfter; });
    return isChange;
}

bool target_directory::settle(time_point now)
{
    bool isChange = false;
    for (auto &[id, entry] : m_entries) {
        if (entry.absence && now - entry.absence->reportedAt >= confirmPeriod) {
            const auto report = *entry.absence;
            entry.latest.order.sequence = std::max(entry.latest.order.sequence, report.order.sequence);
            markOut(entry, report.presence, report.reporter, now);
            isChange = true;
        }
    }
    forgetUnused(now);
    return isChange;
}

void target_directory::forgetUnused(time_point now)
{
    std::erase_if(m_entries, [now](const auto &item) {
        return !item.second.isUsable() && now - item.second.outSince >= forgetAfter;
    });
    for (auto unused = m_entries.size() - usableCount(); unused > maxUnused; --unused) {
        forgetLongestUnused();
    }
}

void target_directory::forgetLongestUnused()
{
    auto longest = m_entries.end();
    for (auto item = m_entries.begin(); item != m_entries.end(); ++item) {
        const bool isLonger = longest == m_entries.end() || item->second.outSince < longest->second.outSince;
        if (!item->second.isUsable() && isLonger) {
            longest = item;
        }
    }
    if (longest != m_entries.end()) {
        m_entries.erase(longest);
    }
}

bool target_directory::makeRoom(time_point now)
{
    if (m_entries.size() < maxTargets || usableCount() < maxTargets) {
        return true;
    }
    directory_entry *oldest = nullptr;
    for (auto &[id, entry] : m_entries) {
        if (entry.isUsable() && (oldest == nullptr || entry.heardAt < oldest->heardAt)) {
            oldest = &entry;
        }
    }
    if (oldest == nullptr || now - lastHeard(*oldest) < claimPeriod) {
        return false;
    }
    markOut(*oldest, registration_presence::silent, m_self, now);
    return true;
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

std::size_t target_directory::usableCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_entries.begin(), m_entries.end(), [](const auto &item) { return item.second.isUsable(); }));
}

std::uint64_t target_directory::version() const
{
    return m_version;
}

std::uint64_t target_directory::refusedClaims() const
{
    return m_refusedClaims;
}

std::vector<target_id> target_directory::doubted() const
{
    std::vector<target_id> targets;
    for (const auto &[id, entry] : m_entries) {
        if (entry.absence && targets.size() < maxDoubted) {
            targets.push_back(id);
        }
    }
    return targets;
}

registration target_directory::current(const directory_entry &entry, time_point now)
{
    const auto whole = [](duration time) {
        return std::max<std::int64_t>(0, std::chrono::duration_cast<milliseconds>(time).count());
    };
    registration copy = entry.latest;
    copy.coldLeftMs = whole(entry.coldUntil - now);
    copy.ageMs = whole(now - entry.heardAt);
    return copy;
}

std::vector<registration> target_directory::changesAfter(std::uint64_t version, change_filter filter,
                                                         time_point now) const
{
    std::vector<registration> changes;
    for (const auto &[id, entry] : m_entries) {
        if ((filter == change_filter::changed ? entry.changedVersion : entry.renewedVersion) > version) {
            changes.push_back(current(entry, now));
        }
    }
    return changes;
}

std::vector<registration> target_directory::registrationsOf(const std::vector<target_id> &targets, time_point now) const
{
    std::vector<registration> found;
    for (const auto &target : targets) {
        if (const auto *entry = find(target); entry != nullptr) {
            found.push_back(current(*entry, now));
        }
    }
    return found;
}

} // namespace figcleat::forward
