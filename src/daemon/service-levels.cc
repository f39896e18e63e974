#include "figcleat/daemon/service-levels.h"

#include <algorithm>

namespace figcleat
{

namespace
{

// Copies of entries that send to this one, with room for their restarts.
constexpr std::size_t maxCopies = 16;

bool countsForLevel(const request::request_ended &ended)
{
    constexpr int firstServerCode = 200;
    // A malformed request says nothing about the service, and a caller that goes away has no answer to wait for.
    const bool malformed = ended.code != result_code::ok && static_cast<int>(ended.code) < firstServerCode;
    return !ended.service.empty() && !malformed && ended.code != result_code::caller_gone;
}

} // namespace

service_levels::service_levels(const vm_id &entry, incarnation_id incarnation)
    : m_recorder(entry, incarnation)
    , m_latency(report::makeLatencyHistogram())
    , m_firstByte(report::makeLatencyHistogram())
{
}

void service_levels::record(const request::request_ended &ended, const configuration &config, time_point now)
{
    if (!countsForLevel(ended)) {
        return;
    }
    const service *known = findService(config, ended.service);
    if (known == nullptr) {
        return;
    }
    report::sample finished;
    finished.service = ended.service;
    finished.workspace = ended.workspace;
    finished.latency = ended.total;
    finished.whole = describe(ended.code).ran == execution::ran;
    finished.level = known->level;
    report::addToBin(m_latency, report::latencyBin(ended.total), 1);
    if (ended.firstByte >= duration::zero()) {
        finished.firstToken = ended.firstByte;
        report::addToBin(m_firstByte, report::latencyBin(ended.firstByte), 1);
    }
    m_recorder.record(now, finished);
}

report::service_level_summary service_levels::summarise(time_point now)
{
    return m_recorder.summarise(now);
}

void service_levels::keep(report::service_level_summary summary, time_point now)
{
    auto &held = m_copies[summary.incarnation];
    if (held.summary.sequence < summary.sequence) {
        held = { std::move(summary), now };
    }
    if (m_copies.size() > maxCopies) {
        const auto oldest = std::min_element(m_copies.begin(), m_copies.end(), [](const auto &a, const auto &b) {
            return a.second.received < b.second.received;
        });
        m_copies.erase(oldest);
    }
}

std::vector<report::service_level_summary> service_levels::held(time_point now)
{
    std::vector<report::service_level_summary> all { summarise(now) };
    for (const auto &[incarnation, held] : m_copies) {
        all.push_back(held.summary);
    }
    return all;
}

void service_levels::writeMetrics(report::metrics_text &page) const
{
    page.histogram("figcleat_request_seconds", "Time until the end of a request.", m_latency);
    page.histogram("figcleat_first_byte_seconds", "Time until the first byte of an answer.", m_firstByte);
}

} // namespace figcleat
