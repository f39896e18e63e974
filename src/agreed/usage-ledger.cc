#include "figcleat/agreed/usage-ledger.h"

#include <algorithm>

namespace figcleat::agreed
{

namespace
{

bool inRange(std::int64_t count)
{
    return count >= 0 && count <= usage_ledger::maxCount;
}

bool isValid(const usage_row &row)
{
    return inRange(row.requests.count) && inRange(row.promptTokens.count) && inRange(row.generatedTokens.count);
}

} // namespace

outcome usage_ledger::record(const record_usage &batch, log_index index)
{
    if (batch.rows.size() > maxRows || !std::ranges::all_of(batch.rows, isValid)) {
        return { .code = result_code::malformed_request, .detail = "a usage batch is too large or has a wrong count" };
    }
    if (m_retiredIds.contains(batch.entry)) {
        return { .code = result_code::stale_incarnation, .detail = "this incarnation no longer records use" };
    }
    if (const auto known = m_windows.find(batch.entry); known != m_windows.end()) {
        if (batch.sequence < known->second.floor || known->second.above.contains(batch.sequence)) {
            return { .detail = "already counted" };
        }
    }
    if (!hasRoomFor(batch.rows)) {
        return { .code = result_code::queue_full, .detail = "there are too many pairs of workspace and service" };
    }
    mark(batch, index);
    for (const usage_row &row : batch.rows) {
        total &sum = m_totals[{ row.workspace, row.service }];
        sum.requests += row.requests;
        sum.promptTokens += row.promptTokens;
        sum.generatedTokens += row.generatedTokens;
    }
    return {};
}

bool usage_ledger::hasRoomFor(const std::vector<usage_row> &rows) const
{
    if (m_totals.size() + rows.size() <= maxTotals) {
        return true;
    }
    std::set<total_key> added;
    for (const usage_row &row : rows) {
        if (const total_key key { row.workspace, row.service }; !m_totals.contains(key)) {
            added.insert(key);
        }
    }
    return m_totals.size() + added.size() <= maxTotals;
}

void usage_ledger::mark(const record_usage &batch, log_index index)
{
    window &seen = m_windows[batch.entry];
    m_byLastUse.erase(seen.last.value);
    seen.last = index;
    m_byLastUse.emplace(index.value, batch.entry);
    seen.above.insert(batch.sequence);
    if (seen.above.size() > windowSize) {
        seen.floor = *seen.above.begin();
    }
    while (!seen.above.empty() && *seen.above.begin() == seen.floor) {
        seen.above.erase(seen.above.begin());
        ++seen.floor;
    }
    if (m_windows.size() > maxIncarnations) {
        retireOldest();
    }
}

void usage_ledger::retireOldest()
{
    const incarnation_id oldest = m_byLastUse.begin()->second;
    m_byLastUse.erase(m_byLastUse.begin());
    m_windows.erase(oldest);
    rememberRetired(oldest);
}

void usage_ledger::rememberRetired(incarnation_id entry)
{
    m_retired.emplace(++m_retirements, entry);
    m_retiredIds.insert(entry);
    if (m_retired.size() > maxRetired) {
        m_retiredIds.erase(m_retired.begin()->second);
        m_retired.erase(m_retired.begin());
    }
}

std::vector<usage_row> usage_ledger::totals() const
{
    std::vector<usage_row> rows;
    rows.reserve(m_totals.size());
    for (const auto &[key, sum] : m_totals) {
        rows.push_back({ key.first, key.second, sum.requests, sum.promptTokens, sum.generatedTokens });
    }
    return rows;
}

std::size_t usage_ledger::incarnations() const
{
    return m_windows.size();
}

void usage_ledger::write(snapshot_writer &out) const
{
    out.put(m_windows);
    out.put(m_retired);
    out.put(m_retirements);
    out.put(m_totals);
}

void usage_ledger::read(snapshot_reader &in)
{
    m_windows = in.take<std::map<incarnation_id, window>>();
    m_retired = in.take<std::map<std::uint64_t, incarnation_id>>();
    m_retirements = in.take<std::uint64_t>();
    m_totals = in.take<std::map<total_key, total>>();
    in.require(m_windows.size() <= maxIncarnations && m_retired.size() <= maxRetired && m_totals.size() <= maxTotals);
    for (const auto &[entry, seen] : m_windows) {
        in.require(seen.above.size() <= windowSize && m_byLastUse.emplace(seen.last.value, entry).second);
    }
    for (const auto &[order, entry] : m_retired) {
        in.require(order <= m_retirements && m_retiredIds.insert(entry).second);
    }
}

} // namespace figcleat::agreed
