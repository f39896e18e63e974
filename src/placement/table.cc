#include "figcleat/placement/table.h"

#include <algorithm>

namespace figcleat::placement
{

namespace
{

/** Former incarnations remembered per target; late copies of their announcements are ignored. */
constexpr std::size_t maxFormer = 8;

template<typename Quantity>
void lower(Quantity &value, Quantity other)
{
    value = std::min(value, other);
}

void lower(work_cost &value, const work_cost &other)
{
    lower(value.requests, other.requests);
    lower(value.promptTokens, other.promptTokens);
    lower(value.generatedTokens, other.generatedTokens);
}

work_cost difference(work_cost a, const work_cost &b)
{
    a -= b;
    return a;
}

double share(std::int64_t spare, std::int64_t cost)
{
    return cost <= 0 ? 1e9 : static_cast<double>(spare) / static_cast<double>(cost);
}

} // namespace

double headroom(const work_cost &spare, const work_cost &cost)
{
    return std::min({ share(spare.requests.count, std::max<std::int64_t>(cost.requests.count, 1)),
                      share(spare.promptTokens.count, cost.promptTokens.count),
                      share(spare.generatedTokens.count, cost.generatedTokens.count) });
}

table::table(table_settings settings)
    : m_settings(std::move(settings))
{
}

std::optional<lost_target> table::heard(const announce &report, const peer_address &from, time_point now)
{
    const auto found = m_targets.find(report.target);
    if (found == m_targets.end()) {
        if (m_targets.size() < m_settings.maxTargets) {
            m_targets.emplace(report.target, known_target { report, from, now, {}, {}, false, false });
            joinGroup(report);
        }
        return std::nullopt;
    }
    auto &known = found->second;
    const bool same = known.report.incarnation == report.incarnation;
    // A process with the same settings may have announced itself under this id; the one that goes on is used.
    const bool isOutdated = isFormerIncarnation(report) && silenceOf(known, now) < m_settings.silentAfter;
    if (same ? report.sequence <= known.report.sequence : isOutdated) {
        return std::nullopt;
    }
    std::optional<lost_target> lost;
    if (!same) {
        lost = lost_target { report.target, known.report.incarnation };
        auto &former = m_former[report.target];
        std::erase(former, report.incarnation);
        former.push_back(known.report.incarnation);
        if (former.size() > maxFormer) {
            former.pop_front();
        }
        known.outstanding = {};
    }
    leaveGroup(known.report);
    known = { report, from, now, known.outstanding, known.outstanding, false, false };
    joinGroup(report);
    return lost;
}

void table::heardEntry(const peer_address &from, const data_centre_id &dataCentre, time_point now)
{
    if (m_entries.contains(from) || m_entries.size() < m_settings.maxEntries) {
        m_entries[from] = { dataCentre, now };
    }
}

void table::setDataCentresOut(std::set<data_centre_id> out)
{
    m_out = std::move(out);
}

void table::resumeListening(time_point now)
{
    m_listeningSince = now;
}

duration table::silenceOf(const known_target &known, time_point now) const
{
    return now - std::max(known.heardAt, m_listeningSince);
}

std::vector<lost_target> table::expire(time_point now)
{
    std::vector<lost_target> lost;
    for (auto found = m_targets.begin(); found != m_targets.end();) {
        const auto current = found++;
        auto &known = current->second;
        const auto age = silenceOf(known, now);
        if (!known.silent && age >= m_settings.silentAfter) {
            known.silent = true;
            lost.push_back({ current->first, known.report.incarnation });
        }
        if (age >= m_settings.forgetAfter) {
            forget(current);
        }
    }
    std::erase_if(m_entries, [&](const auto &entry) { return now - entry.second.heardAt >= m_settings.forgetAfter; });
    return lost;
}

void table::began(const target_id &target, incarnation_id incarnation, const work_cost &cost)
{
    if (auto *known = findIncarnation(target, incarnation)) {
        known->outstanding += cost;
    }
}

void table::ended(const target_id &target, incarnation_id incarnation, const work_cost &cost)
{
    if (auto *known = findIncarnation(target, incarnation)) {
        known->outstanding -= cost;
    }
}

void table::refused(const target_id &target, incarnation_id incarnation)
{
    if (auto *known = findIncarnation(target, incarnation)) {
        known->refusedSinceReport = true;
    }
}

const known_target *table::find(const target_id &target) const
{
    const auto found = m_targets.find(target);
    return found == m_targets.end() ? nullptr : &found->second;
}

std::vector<candidate> table::candidates(const placement_request &request, time_point now) const
{
    std::vector<candidate> result;
    for (const auto &[id, known] : m_targets) {
        const auto &report = known.report;
        const bool serves
            = report.service == request.service && (request.model.empty() || report.model == request.model);
        if (!serves || request.excluded.contains(id) || (!report.group.empty() && report.rank != 0)) {
            continue;
        }
        if (auto one = candidateFrom(known, now)) {
            result.push_back(std::move(*one));
        }
    }
    return result;
}

std::vector<spill_entry> table::spillEntries(time_point now) const
{
    std::vector<spill_entry> result;
    for (const auto &[address, entry] : m_entries) {
        const bool usable = entry.dataCentre != m_settings.local && !m_out.contains(entry.dataCentre)
            && now - entry.heardAt < m_settings.silentAfter;
        if (usable) {
            result.push_back({ address, entry.dataCentre });
        }
    }
    return result;
}

bool table::isUsable(const known_target &known, time_point now) const
{
    return known.report.state != target_state::leaving && !m_out.contains(known.report.dataCentre)
        && silenceOf(known, now) < m_settings.silentAfter;
}

std::optional<candidate> table::candidateFrom(const known_target &known, time_point now) const
{
    if (!isUsable(known, now)) {
        return std::nullopt;
    }
    const auto &report = known.report;
    candidate result;
    result.target = report.target;
    result.address = known.address;
    result.incarnation = report.incarnation;
    result.local = report.dataCentre == m_settings.local;
    result.limit = report.limit;
    result.reported = difference(report.limit, report.spare);
    result.outstanding = known.outstanding;
    result.outstandingAtReport = known.outstandingAtReport;
    result.age = now - known.heardAt;
    result.pieceGapMicros = report.pieceGapMicros;
    if (!report.group.empty() && !takeGroupInto(result, known, now)) {
        return std::nullopt;
    }
    auto inProgress = result.reported;
    inProgress += difference(known.outstanding, known.outstandingAtReport);
    result.spare = known.refusedSinceReport ? work_cost {} : difference(result.limit, inProgress);
    return result;
}

bool table::takeGroupInto(candidate &result, const known_target &first, time_point now) const
{
    const auto members = m_groups.find({ first.report.service, first.report.group });
    if (members == m_groups.end()) {
        return true;
    }
    // Ranks advance in lock-step, so that the least able one decides for all of them.
    for (const auto &id : members->second) {
        const auto &rank = m_targets.at(id);
        if (!isUsable(rank, now)) {
            return false;
        }
        lower(result.limit, rank.report.limit);
        result.pieceGapMicros = std::max(result.pieceGapMicros, rank.report.pieceGapMicros);
        result.age = std::max(result.age, duration(now - rank.heardAt));
    }
    return true;
}

bool table::isFormerIncarnation(const announce &report) const
{
    const auto former = m_former.find(report.target);
    return former != m_former.end() && std::ranges::find(former->second, report.incarnation) != former->second.end();
}

known_target *table::findIncarnation(const target_id &target, incarnation_id incarnation)
{
    const auto found = m_targets.find(target);
    const bool matches = found != m_targets.end() && found->second.report.incarnation == incarnation;
    return matches ? &found->second : nullptr;
}

void table::forget(target_map::iterator found)
{
    leaveGroup(found->second.report);
    m_former.erase(found->first);
    m_targets.erase(found);
}

void table::joinGroup(const announce &report)
{
    if (!report.group.empty()) {
        m_groups[{ report.service, report.group }].insert(report.target);
    }
}

void table::leaveGroup(const announce &report)
{
    const auto members = m_groups.find({ report.service, report.group });
    if (members == m_groups.end()) {
        return;
    }
    members->second.erase(report.target);
    if (members->second.empty()) {
        m_groups.erase(members);
    }
}

const std::map<target_id, known_target> &table::all() const
{
    return m_targets;
}

} // namespace figcleat::placement
