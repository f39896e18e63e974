#include "figcleat/daemon/front-metrics.h"

#include "figcleat/core/overloaded.h"

#include <fmt/format.h>

namespace figcleat
{

front_metrics::front_metrics()
    : m_queued(report::makeLatencyHistogram())
    , m_headers(report::makeLatencyHistogram())
    , m_firstByte(report::makeLatencyHistogram())
    , m_whole(report::makeLatencyHistogram())
{
}

void front_metrics::record(const forward::request_finished &ended)
{
    ++m_requests[{ ended.code, ended.isLate }];
    if (ended.cut) {
        ++m_cuts[*ended.cut];
    }
    if (ended.attempts == 0) {
        return;
    }
    report::addToBin(m_queued, report::latencyBin(ended.queueTime), 1);
    if (ended.code == result_code::ok) {
        report::addToBin(m_headers, report::latencyBin(ended.headerTime), 1);
        report::addToBin(m_firstByte, report::latencyBin(ended.firstByteTime), 1);
        report::addToBin(m_whole, report::latencyBin(ended.totalTime), 1);
    }
}

void front_metrics::record(const forward::failed_attempt &note)
{
    ++m_attempts[{ note.outcome, note.next, note.stage }];
}

void front_metrics::record(const forward::notice_applied &noted)
{
    std::visit(overloaded { [this](const forward::leaving_notice &) { ++m_leaving; },
                            [this](const forward::backoff_notice &) { ++m_rests; } },
               noted.notice);
}

void front_metrics::record(const forward::quarantine_changed &changed)
{
    ++m_quarantineChanges[changed.note.change];
}

void front_metrics::record(const forward::node_stalled &stalled)
{
    ++m_stalls;
    m_stalledTime += stalled.time;
}

void front_metrics::write(report::metrics_text &page) const
{
    for (const auto &[what, count] : m_requests) {
        page.counter("figcleat_requests_total", "Requests that ended, by result code.",
                     fmt::format("code=\"{}\",name=\"{}\",late=\"{}\"", static_cast<int>(what.code),
                                 describe(what.code).name, what.isLate),
                     count);
    }
    for (const auto &[what, count] : m_attempts) {
        page.counter("figcleat_attempts_failed_total", "Attempts that did not end with an answer.",
                     fmt::format("outcome=\"{}\",next=\"{}\",stage=\"{}\"", what.outcome, what.next,
                                 forward::toString(what.stage)),
                     count);
    }
    using forward::cut_cause;
    for (const auto cause :
         { cut_cause::deadline, cut_cause::planned_stop, cut_cause::left_target, cut_cause::target_lost,
           cut_cause::quarantine, cut_cause::buffer_full, cut_cause::slow_caller }) {
        const auto count = m_cuts.find(cause);
        page.counter("figcleat_streams_cut_total", "Streams that this front broke towards their callers.",
                     fmt::format("cause=\"{}\"", forward::toString(cause)), count == m_cuts.end() ? 0 : count->second);
    }
    page.counter("figcleat_stalls_total", "Times that this process stood still.", {}, m_stalls);
    const auto stalledMs = std::chrono::duration_cast<std::chrono::milliseconds>(m_stalledTime).count();
    page.counter("figcleat_stalled_milliseconds_total", "Time that this process stood still.", {},
                 static_cast<std::uint64_t>(stalledMs));
    using forward::quarantine_change;
    for (const auto &[change, state] :
         { std::pair(quarantine_change::started, "started"), std::pair(quarantine_change::trial, "trial"),
           std::pair(quarantine_change::released, "released") }) {
        const auto count = m_quarantineChanges.find(change);
        page.counter("figcleat_quarantine_changes_total", "Quarantines that began, were tried or ended here.",
                     fmt::format("state=\"{}\"", state), count == m_quarantineChanges.end() ? 0 : count->second);
    }
    constexpr auto notices = "figcleat_target_notices_total";
    constexpr auto noticesHelp = "Lives of targets that said they leave, and rests that targets asked for.";
    page.counter(notices, noticesHelp, "says=\"leaving\"", m_leaving);
    page.counter(notices, noticesHelp, "says=\"rest\"", m_rests);
    page.histogram("figcleat_queue_seconds", "Time until the first attempt.", m_queued);
    page.histogram("figcleat_target_headers_seconds",
                   "Time from the last attempt to the target's headers, connection included.", m_headers);
    page.histogram("figcleat_first_byte_seconds", "Time until the first byte for the caller.", m_firstByte);
    page.histogram("figcleat_request_seconds", "Time until the end of an answered request.", m_whole);
}

} // namespace figcleat
