#include "figcleat/request/account.h"

namespace figcleat::request
{

usage_account::usage_account(incarnation_id entry)
    : m_entry(entry)
{
}

void usage_account::add(const agreed::usage_row &row)
{
    auto &sum = m_open[{ row.workspace, row.service }];
    sum.workspace = row.workspace;
    sum.service = row.service;
    sum.requests += row.requests;
    sum.promptTokens += row.promptTokens;
    sum.generatedTokens += row.generatedTokens;
}

std::optional<agreed::record_usage> usage_account::due(time_point now)
{
    if (now < m_nextAt || empty()) {
        return std::nullopt;
    }
    if (m_pending) {
        m_nextAt = now + usageRetryPeriod;
        return m_pending;
    }
    m_nextAt = now + usageBatchPeriod;
    m_pending.emplace();
    m_pending->entry = m_entry;
    m_pending->sequence = ++m_sequence;
    for (const auto &[key, row] : m_open) {
        m_pending->rows.push_back(row);
    }
    m_open.clear();
    return m_pending;
}

void usage_account::onRecorded(std::uint64_t sequence)
{
    if (m_pending && m_pending->sequence == sequence) {
        m_pending.reset();
    }
}

bool usage_account::empty() const
{
    return m_open.empty() && !m_pending;
}

} // namespace figcleat::request
