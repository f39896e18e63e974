#pragma once

#include "figcleat/forward/forwarder.h"
#include "figcleat/report/metrics-text.h"

#include <map>
#include <string>

namespace figcleat
{

/** Counts how requests and attempts ended, for the metrics of a front. */
class front_metrics
{
public:
    front_metrics();

    void record(const forward::request_finished &ended);
    void record(const forward::failed_attempt &note);
    void record(const forward::notice_applied &noted);
    void record(const forward::quarantine_changed &changed);
    void record(const forward::node_stalled &stalled);
    void write(report::metrics_text &page) const;

private:
    struct outcome
    {
        result_code code = result_code::ok;
        bool isLate = false;

        auto operator<=>(const outcome &) const = default;
    };

    struct attempt_failure
    {
        std::string outcome;
        std::string next;
        forward::attempt_stage stage = forward::attempt_stage::unsent;

        auto operator<=>(const attempt_failure &) const = default;
    };

    std::map<outcome, std::uint64_t> m_requests;
    std::map<attempt_failure, std::uint64_t> m_attempts;
    std::map<forward::cut_cause, std::uint64_t> m_cuts;
    std::uint64_t m_stalls = 0;
    duration m_stalledTime {};
    std::map<forward::quarantine_change, std::uint64_t> m_quarantineChanges;
    std::uint64_t m_leaving = 0;
    std::uint64_t m_rests = 0;
    report::latency_histogram m_queued;
    report::latency_histogram m_headers;
    report::latency_histogram m_firstByte;
    report::latency_histogram m_whole;
};

} // namespace figcleat
