#include "figcleat/forward/part-quarantine.h"

#include <algorithm>

namespace figcleat::forward
{

namespace
{

/** Refused callers are not asked to return sooner. */
constexpr milliseconds minRetryAfter { 1000 };

std::int64_t toMs(duration time)
{
    return std::chrono::duration_cast<milliseconds>(time).count();
}

bool hasAll(const std::vector<prompt_part_id> &parts, const std::set<prompt_part_id> &wanted)
{
    return std::all_of(wanted.begin(), wanted.end(), [&parts](const auto &part) {
        return std::find(parts.begin(), parts.end(), part) != parts.end();
    });
}

} // namespace

part_quarantine::part_quarantine(peer_address self, incarnation_id incarnation)
    : m_self(self)
    , m_evidence(std::move(self), incarnation)
{
}

std::vector<part_quarantine::entry *> part_quarantine::matching(const std::vector<prompt_part_id> &parts)
{
    std::vector<entry *> found;
    for (auto &[wanted, one] : m_entries) {
        if (one.record.isActive && hasAll(parts, wanted)) {
            found.push_back(&one);
        }
    }
    return found;
}

bool part_quarantine::isRejected(const std::vector<prompt_part_id> &parts) const
{
    return std::any_of(m_entries.begin(), m_entries.end(),
                       [&parts](const auto &item) { return item.second.record.isActive && hasAll(parts, item.first); });
}

bool part_quarantine::isSuspect(const std::vector<prompt_part_id> &parts) const
{
    return m_evidence.hasSuspects()
        && std::any_of(parts.begin(), parts.end(), [this](const auto &part) { return m_evidence.isSuspect(part); });
}

quarantine_verdict part_quarantine::review(const std::vector<prompt_part_id> &parts, time_point now)
{
    const auto entries = matching(parts);
    if (entries.empty()) {
        const auto suspect
            = std::find_if(parts.begin(), parts.end(), [this](const auto &part) { return m_evidence.isSuspect(part); });
        return suspect == parts.end() ? quarantine_verdict(admit_request {}) : confine_request { *suspect };
    }
    const bool isDue
        = std::all_of(entries.begin(), entries.end(), [now](const auto *one) { return isTrialDue(*one, now); });
    bool mayTry = isDue;
    for (auto *one : entries) {
        mayTry = isDue && claimTrial(*one, now) && mayTry;
    }
    if (mayTry) {
        for (auto *one : entries) {
            startTrial(*one, now);
        }
        return try_request { entries.front()->record.parts.front() };
    }
    time_point next {};
    for (auto *one : entries) {
        ++one->rejected;
        next = std::max(next, one->nextTrial);
    }
    return reject_request { std::max(minRetryAfter, std::chrono::ceil<milliseconds>(next - now)) };
}

bool part_quarantine::isTrialDue(const entry &one, time_point now)
{
    return one.record.origin == quarantine_origin::crashes && now >= one.nextTrial;
}

bool part_quarantine::claimTrial(entry &one, time_point now)
{
    const bool isClaimed = !one.record.trialFront.empty() && now - one.changedAt <= claimLifetime;
    if (isClaimed) {
        return one.record.trialFront == m_self && now - one.changedAt >= claimDelay;
    }
    one.record.trialFront = m_self;
    ++one.record.version;
    one.changedAt = now;
    m_hasNews = true;
    return false;
}

void part_quarantine::startTrial(entry &one, time_point now)
{
    const auto doublings = std::min<std::uint32_t>(++one.record.trials, std::numeric_limits<std::uint8_t>::digits);
    one.nextTrial = now + std::min(maxTrialDelay, firstTrialDelay * (1U << doublings));
    one.record.trialFront = {};
    ++one.record.version;
    one.changedAt = now;
    m_hasNews = true;
    note(quarantine_change::trial, one, now);
}

void part_quarantine::releaseEntry(entry &one, time_point now)
{
    one.record.isActive = false;
    one.record.trialFront = {};
    ++one.record.version;
    one.since = now;
    one.changedAt = now;
    m_hasNews = true;
    note(quarantine_change::released, one, now);
    // Crashes before the release are no evidence any more.
    m_evidence.recordSound(one.record.parts, now);
    releaseCovered({ one.record.parts.begin(), one.record.parts.end() }, now);
}

void part_quarantine::releaseCovered(const part_set &parts, time_point now)
{
    for (auto &[others, one] : m_entries) {
        if (one.record.isActive && one.record.origin == quarantine_origin::crashes && others.size() > parts.size()
            && std::includes(others.begin(), others.end(), parts.begin(), parts.end())) {
            releaseEntry(one, now);
        }
    }
}

void part_quarantine::onFailure(const attempt_failure &failure, time_point now)
{
    m_evidence.recordFailure(failure, now);
    applyEvidence(now);
}

void part_quarantine::onTargetDown(const target_incarnation &target, time_point now)
{
    m_evidence.recordDown(target, now);
    applyEvidence(now);
}

void part_quarantine::onTargetUp(const target_incarnation &target, time_point now)
{
    m_evidence.recordUp(target);
    applyEvidence(now);
}

void part_quarantine::onSound(const std::vector<prompt_part_id> &parts, time_point now)
{
    m_evidence.recordSound(parts, now);
    for (auto *one : matching(parts)) {
        if (one->record.origin == quarantine_origin::crashes) {
            releaseEntry(*one, now);
        }
    }
    applyEvidence(now);
}

void part_quarantine::tick(time_point now)
{
    m_evidence.tick(now);
    applyEvidence(now);
    std::erase_if(m_entries, [now](const auto &item) {
        const auto &one = item.second;
        const duration lifetime = one.record.isActive ? idleLifetime : releasedLifetime;
        const bool isPermanent = one.record.isActive && one.record.origin == quarantine_origin::operator_order;
        return !isPermanent && now - one.changedAt > lifetime;
    });
}

void part_quarantine::applyEvidence(time_point now)
{
    if (!m_evidence.takeChanged()) {
        return;
    }
    for (const auto &cause : m_evidence.causes()) {
        auto *one = entryFor(cause.parts);
        if (one == nullptr || one->record.isActive) {
            continue;
        }
        one->record.witnesses.assign(cause.witnesses.begin(),
                                     cause.witnesses.begin()
                                         + static_cast<std::ptrdiff_t>(std::min(maxWitnesses, cause.witnesses.size())));
        start(*one, quarantine_origin::crashes, now);
    }
}

part_quarantine::entry *part_quarantine::entryFor(const part_set &parts)
{
    const auto known = m_entries.find(parts);
    if (known != m_entries.end()) {
        return &known->second;
    }
    if (m_entries.size() >= maxRecords) {
        return nullptr;
    }
    auto &added = m_entries[parts];
    added.record.parts.assign(parts.begin(), parts.end());
    added.record.isActive = false;
    return &added;
}

void part_quarantine::start(entry &one, quarantine_origin origin, time_point now)
{
    one.record.isActive = true;
    one.record.origin = origin;
    one.record.trials = 0;
    one.record.trialFront = {};
    ++one.record.version;
    one.since = now;
    one.changedAt = now;
    one.nextTrial = now + firstTrialDelay;
    m_hasNews = true;
    note(quarantine_change::started, one, now);
}

expected<void> part_quarantine::quarantine(const prompt_part_id &part, time_point now)
{
    auto *one = entryFor({ part });
    if (one == nullptr) {
        return fail(result_code::queue_full, "too many quarantined parts");
    }
    start(*one, quarantine_origin::operator_order, now);
    return {};
}

expected<void> part_quarantine::release(const prompt_part_id &part, time_point now)
{
    bool isFound = false;
    for (auto &[parts, one] : m_entries) {
        if (one.record.isActive && parts.contains(part)) {
            releaseEntry(one, now);
            isFound = true;
        }
    }
    if (!isFound) {
        return fail(result_code::not_found, part.value);
    }
    applyEvidence(now);
    return {};
}

void part_quarantine::merge(const quarantine_update &update, time_point now)
{
    for (const auto &one : update.records) {
        mergeRecord(one, now);
    }
    m_evidence.merge(update.reports, update.sound, now);
    m_hasMerged = m_hasMerged || m_evidence.hasChanged();
    applyEvidence(now);
}

void part_quarantine::mergeRecord(const quarantine_record &incoming, time_point now)
{
    const part_set parts(incoming.parts.begin(), incoming.parts.end());
    const auto known = m_entries.find(parts);
    const bool isKnown = known != m_entries.end();
    if (parts.empty() || parts.size() > crash_evidence::maxPartsPerReport || incoming.witnesses.size() > maxWitnesses
        || (!isKnown && m_entries.size() >= maxRecords)) {
        return;
    }
    auto &one = m_entries[parts];
    if (isKnown && incoming.version < one.record.version) {
        m_hasNews = true;
        return;
    }
    if (isKnown && incoming.version == one.record.version) {
        // Two fronts have changed the same version. All fronts have to choose the same one of the two.
        const auto &own = one.record;
        const bool isBetter = incoming.isActive != own.isActive
            ? !incoming.isActive
            : !incoming.trialFront.empty() && incoming.trialFront < own.trialFront;
        if (!isBetter) {
            return;
        }
    }
    const bool wasActive = isKnown && one.record.isActive;
    one.record = incoming;
    one.since = now - milliseconds(incoming.sinceMs);
    one.changedAt = now - milliseconds(incoming.changedMs);
    one.nextTrial = now + milliseconds(incoming.nextTrialMs);
    m_hasMerged = true;
    if (!incoming.isActive) {
        m_evidence.recordSound(incoming.parts, one.since);
        releaseCovered(parts, now);
    }
    if (wasActive != incoming.isActive) {
        note(incoming.isActive ? quarantine_change::started : quarantine_change::released, one, now);
    }
}

quarantine_record part_quarantine::describe(const entry &one, time_point now)
{
    auto record = one.record;
    record.sinceMs = toMs(now - one.since);
    record.changedMs = toMs(now - one.changedAt);
    record.nextTrialMs = toMs(one.nextTrial - now);
    return record;
}

quarantine_update part_quarantine::update(time_point now) const
{
    quarantine_update all;
    all.reports = m_evidence.reports(now);
    all.sound = m_evidence.soundParts(now);
    for (const auto &[parts, one] : m_entries) {
        all.records.push_back(describe(one, now));
    }
    return all;
}

bool part_quarantine::takeNews(bool includeMerged)
{
    const bool hasOwn = std::exchange(m_hasNews, false);
    const bool hasEvidence = m_evidence.takeNews();
    const bool hasMerged = std::exchange(m_hasMerged, false);
    return hasOwn || hasEvidence || (includeMerged && hasMerged);
}

bool part_quarantine::isEmpty() const
{
    return m_entries.empty() && m_evidence.crashCount() == 0;
}

std::vector<quarantine_status> part_quarantine::status(time_point now) const
{
    std::vector<quarantine_status> all;
    for (const auto &[parts, one] : m_entries) {
        if (one.record.isActive && !isCovered(parts)) {
            all.push_back({ describe(one, now), one.rejected });
        }
    }
    return all;
}

bool part_quarantine::isCovered(const part_set &parts) const
{
    return std::any_of(m_entries.begin(), m_entries.end(), [&parts](const auto &item) {
        return item.second.record.isActive && item.first.size() < parts.size()
            && std::includes(parts.begin(), parts.end(), item.first.begin(), item.first.end());
    });
}

std::vector<quarantine_note> part_quarantine::takeNotes()
{
    return std::exchange(m_notes, {});
}

const crash_evidence &part_quarantine::evidence() const
{
    return m_evidence;
}

void part_quarantine::note(quarantine_change change, const entry &one, time_point now)
{
    m_notes.push_back({ change, describe(one, now) });
}

} // namespace figcleat::forward
