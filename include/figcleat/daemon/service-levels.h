#pragma once

#include "figcleat/report/burn.h"
#include "figcleat/report/latency-histogram.h"
#include "figcleat/report/merge.h"
#include "figcleat/report/metrics-text.h"
#include "figcleat/report/service-level.h"
#include "figcleat/request/events.h"

#include <map>
#include <string>
#include <vector>

namespace figcleat
{

/** Each entry keeps copies for this many others, so that the loss of an entry loses no record. */
inline constexpr std::size_t summaryCopies = 2;
/** A summary of 125 KB (20 pairs over three days) in this period to two entries takes 4 KB a second. */
inline constexpr duration summaryPeriod = std::chrono::seconds(60);

/** An entry's part in the service-level report: its own record and copies of other entries' records. */
class service_levels
{
public:
    service_levels(const vm_id &entry, incarnation_id incarnation);

    void record(const request::request_ended &ended, const configuration &config, time_point now);
    [[nodiscard]] report::service_level_summary summarise(time_point now);
    /** Keeps a copy for another entry; an older copy of the same incarnation is ignored. */
    void keep(report::service_level_summary summary, time_point now);
    /** The own record and all copies. */
    [[nodiscard]] std::vector<report::service_level_summary> held(time_point now);
    /** Latency of all requests that ended. */
    void writeMetrics(report::metrics_text &page) const;

private:
    struct copy
    {
        report::service_level_summary summary;
        time_point received;
    };

    report::service_level_recorder m_recorder;
    std::map<incarnation_id, copy> m_copies;
    report::latency_histogram m_latency;
    report::latency_histogram m_firstByte;
};

} // namespace figcleat
