#include "figcleat/forward/crash-evidence.h"

#include "figcleat/core/digest.h"

#include <algorithm>

namespace figcleat::forward
{

namespace
{

/** Share of the sound parts that is forgotten, the oldest first, when there is no room for another one. */
constexpr std::size_t forgottenShare = 4;

std::int64_t toMs(duration age)
{
    return std::chrono::duration_cast<milliseconds>(age).count();
}

bool contains(const std::vector<prompt_part_id> &parts, const prompt_part_id &part)
{
    return std::find(parts.begin(), parts.end(), part) != parts.end();
}

} // namespace

crash_evidence::crash_evidence(peer_address self, incarnation_id incarnation)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
{
}

void crash_evidence::recordFailure(const attempt_failure &failure, time_point now)
{
    const auto &parts = failure.parts;
    if (parts.empty() || (failure.stalled > maxStall && !failure.isAtStart)) {
        return;
    }
    stored_report stored;
    stored.report.reporter = m_self;
    stored.report.incarnation = m_incarnation;
    stored.report.number = ++m_lastReport;
    stored.report.target = failure.target;
    stored.report.parts.assign(parts.begin(), parts.begin() + std::min(parts.size(), maxPartsPerReport));
    stored.report.stalledMs = toMs(failure.stalled);
    stored.report.isAtStart = failure.isAtStart;
    stored.at = now;
    stored.soundCount = m_soundCount;
    add(std::move(stored));
    onChanged();
}

void crash_evidence::add(stored_report added)
{
    if (m_reports.size() >= maxReports) {
        const auto order
            = [](const auto &entry) { return std::pair(!entry.second.report.parts.empty(), entry.second.at); };
        const auto oldest = std::min_element(m_reports.begin(), m_reports.end(),
                                             [&order](const auto &a, const auto &b) { return order(a) < order(b); });
        m_reports.erase(oldest);
    }
    const std::pair key(added.report.incarnation, added.report.number);
    m_reports.insert_or_assign(key, std::move(added));
}

void crash_evidence::recordDown(const target_incarnation &target, time_point now)
{
    bool hasChanged = false;
    for (auto &[key, stored] : m_reports) {
        if (stored.report.target == target && !stored.isConfirmed && now - stored.at <= confirmationPeriod) {
            stored.isConfirmed = true;
            hasChanged = true;
        }
    }
    const bool isKnown = std::any_of(m_reports.begin(), m_reports.end(), [&target](const auto &entry) {
        return entry.second.isConfirmed && entry.second.report.target == target;
    });
    if (!isKnown) {
        // A crash without a suspect. All fronts that see it give it the same key.
        stored_report stored;
        stored.report.target = target;
        stored.report.number = checksum(target.target.value + '\n' + std::to_string(target.startedMs));
        stored.at = now;
        stored.isConfirmed = true;
        add(std::move(stored));
        onChanged();
    }
    if (hasChanged) {
        m_hasNews = true;
        onChanged();
    }
}

void crash_evidence::recordUp(const target_incarnation &target)
{
    const auto removed = std::erase_if(m_reports, [&target](const auto &entry) {
        return entry.second.report.target == target && !entry.second.isConfirmed;
    });
    if (removed > 0) {
        onChanged();
    }
}

void crash_evidence::recordSound(const std::vector<prompt_part_id> &parts, time_point now)
{
    ++m_soundCount;
    bool endsSuspicion = false;
    for (const auto &part : parts) {
        const auto crashes = m_crashes.find(part);
        endsSuspicion = endsSuspicion || (crashes != m_crashes.end() && crashes->second.reports > 0);
        addSound(part, now);
    }
    if (endsSuspicion) {
        m_hasNews = true;
        onChanged();
    }
}

void crash_evidence::addSound(const prompt_part_id &part, time_point at)
{
    const auto known = m_sound.find(part);
    if (known != m_sound.end()) {
        known->second = std::max(known->second, at);
        return;
    }
    if (m_sound.size() >= maxSoundParts) {
        forgetOldSoundParts();
    }
    m_sound.emplace(part, at);
}

void crash_evidence::forgetOldSoundParts()
{
    std::vector<time_point> times;
    times.reserve(m_sound.size());
    for (const auto &entry : m_sound) {
        times.push_back(entry.second);
    }
    const auto limit = times.begin() + static_cast<std::ptrdiff_t>(times.size() / forgottenShare);
    std::nth_element(times.begin(), limit, times.end());
    std::erase_if(m_sound, [latest = *limit](const auto &entry) { return entry.second <= latest; });
}

void crash_evidence::merge(const std::vector<crash_report> &reports, const std::vector<sound_part> &sound,
                           time_point now)
{
    bool hasChanged = false;
    std::set<prompt_part_id> reported;
    for (const auto &one : reports) {
        const duration age = milliseconds(std::max<std::int64_t>(0, one.ageMs));
        if (one.parts.size() > maxPartsPerReport || age > reportLifetime) {
            continue;
        }
        const auto known = m_reports.find({ one.incarnation, one.number });
        if (known == m_reports.end()) {
            add({ one, now - age, true, m_soundCount });
            reported.insert(one.parts.begin(), one.parts.end());
            hasChanged = true;
        }
    }
    for (const auto &one : sound) {
        reported.erase(one.part);
        const duration age = milliseconds(std::max<std::int64_t>(0, one.ageMs));
        const auto known = m_sound.find(one.part);
        // Each hop of a message adds its delay, which is no later request.
        const bool isLater = known == m_sound.end() || known->second + sameCauseWindow < now - age;
        if (age <= soundLifetime && isLater) {
            addSound(one.part, now - age);
            hasChanged = true;
        }
    }
    if (hasChanged) {
        m_hasNews = m_hasNews || std::any_of(reported.begin(), reported.end(), [this](const auto &part) {
                        return m_sound.contains(part);
                    });
        onChanged();
    }
}

std::vector<crash_report> crash_evidence::reports(time_point now) const
{
    std::vector<crash_report> all;
    for (const auto &[key, stored] : m_reports) {
        if (stored.isConfirmed) {
            all.push_back(stored.report);
            all.back().ageMs = toMs(now - stored.at);
        }
    }
    return all;
}

std::vector<sound_part> crash_evidence::soundParts(time_point now) const
{
    std::vector<sound_part> all;
    for (const auto &[part, crashes] : m_crashes) {
        if (const auto known = m_sound.find(part); known != m_sound.end()) {
            all.push_back({ part, toMs(now - known->second) });
        }
    }
    return all;
}

void crash_evidence::tick(time_point now)
{
    const auto removed = std::erase_if(m_reports, [now](const auto &entry) {
        const duration lifetime = entry.second.isConfirmed ? reportLifetime : confirmationPeriod;
        return now - entry.second.at > lifetime;
    });
    if (removed > 0) {
        onChanged();
    }
}

void crash_evidence::onChanged()
{
    m_hasChanged = true;
    m_crashes.clear();
    for (const auto &[key, stored] : m_reports) {
        count(stored);
    }
    crashes_by_target all;
    for (const auto &[key, stored] : m_reports) {
        if (stored.isConfirmed) {
            addEarliest(all, stored);
        }
    }
    m_allSeparate = countSeparate(all);
    m_hasSuspects = false;
    for (auto &[part, crashes] : m_crashes) {
        crashes.separate = countSeparate(crashes.byTarget);
        m_hasSuspects = m_hasSuspects || isSuspect(part);
    }
}

void crash_evidence::addEarliest(crashes_by_target &crashes, const stored_report &stored)
{
    const auto &target = stored.report.target;
    auto &first = crashes.try_emplace({ target.target, target.startedMs }, &stored).first->second;
    first = stored.at < first->at ? &stored : first;
}

std::size_t crash_evidence::countSeparate(const crashes_by_target &crashes)
{
    std::vector<const stored_report *> inOrder;
    for (const auto &entry : crashes) {
        inOrder.push_back(entry.second);
    }
    std::sort(inOrder.begin(), inOrder.end(), [](const auto *a, const auto *b) { return a->at < b->at; });
    std::size_t separate = 0;
    time_point last {};
    for (const auto *one : inOrder) {
        const duration gap = one->at - last;
        // Without any answer in between, the first crash has stopped the group of the second target.
        const bool hadAnswers = milliseconds(one->report.stalledMs) < gap;
        if (separate == 0 || gap > stallWindow || (gap > sameCauseWindow && hadAnswers)) {
            ++separate;
            last = one->at;
        }
    }
    return separate;
}

void crash_evidence::count(const stored_report &stored)
{
    for (const auto &part : stored.report.parts) {
        auto &crashes = m_crashes[part];
        const auto sound = m_sound.find(part);
        crashes.wasSound = sound != m_sound.end();
        if (crashes.wasSound && sound->second >= stored.at) {
            continue;
        }
        ++crashes.reports;
        if (!stored.isConfirmed) {
            continue;
        }
        crashes.hasCrashAtStart = crashes.hasCrashAtStart || stored.report.isAtStart;
        crashes.soundCount
            = crashes.byTarget.empty() ? stored.soundCount : std::min(crashes.soundCount, stored.soundCount);
        addEarliest(crashes.byTarget, stored);
    }
}

bool crash_evidence::isSuspect(const prompt_part_id &part) const
{
    const auto crashes = m_crashes.find(part);
    return crashes != m_crashes.end() && crashes->second.reports > 0 && !crashes->second.wasSound;
}

bool crash_evidence::hasSuspects() const
{
    return m_hasSuspects;
}

bool crash_evidence::isConvicted(const part_crashes &crashes) const
{
    if (!crashes.wasSound) {
        const bool isMost = 2 * crashes.separate >= m_allSeparate || crashes.separate >= crashesToConvictAnyway;
        return crashes.hasCrashAtStart || (crashes.separate >= crashesToConvict && isMost);
    }
    return crashes.separate >= crashesToConvictAnyway && m_soundCount - crashes.soundCount >= soundToConvictKnown;
}

bool crash_evidence::isIn(const prompt_part_id &part, const part_crashes &crashes)
{
    return std::all_of(crashes.byTarget.begin(), crashes.byTarget.end(),
                       [&part](const auto &entry) { return contains(entry.second->report.parts, part); });
}

std::vector<crash_cause> crash_evidence::causes() const
{
    std::vector<crash_cause> all;
    std::set<std::set<prompt_part_id>> known;
    for (const auto &[part, crashes] : m_crashes) {
        if (!isConvicted(crashes)) {
            continue;
        }
        // Another part that is in all of these crashes, and in further ones, explains them.
        bool isExplained = false;
        crash_cause cause;
        for (const auto &[other, otherCrashes] : m_crashes) {
            if (!isConvicted(otherCrashes) || !isIn(other, crashes)) {
                continue;
            }
            isExplained = isExplained || otherCrashes.separate > crashes.separate;
            cause.parts.insert(other);
        }
        if (isExplained || !known.insert(cause.parts).second) {
            continue;
        }
        for (const auto &entry : crashes.byTarget) {
            cause.witnesses.push_back({ entry.second->report.target, entry.second->report.reporter });
        }
        all.push_back(std::move(cause));
    }
    return all;
}

bool crash_evidence::takeChanged()
{
    return std::exchange(m_hasChanged, false);
}

bool crash_evidence::isPending(const target_incarnation &target) const
{
    return std::any_of(m_reports.begin(), m_reports.end(), [&target](const auto &entry) {
        return !entry.second.isConfirmed && entry.second.report.target == target;
    });
}

bool crash_evidence::hasChanged() const
{
    return m_hasChanged;
}

bool crash_evidence::takeNews()
{
    return std::exchange(m_hasNews, false);
}

std::size_t crash_evidence::crashCount() const
{
    std::set<std::pair<target_id, std::int64_t>> crashed;
    for (const auto &[key, stored] : m_reports) {
        if (stored.isConfirmed) {
            crashed.insert({ stored.report.target.target, stored.report.target.startedMs });
        }
    }
    return crashed.size();
}

} // namespace figcleat::forward
