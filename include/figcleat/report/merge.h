#pragma once

#include "figcleat/core/result-code.h"
#include "figcleat/report/service-level.h"

#include <map>
#include <vector>

namespace figcleat::report
{

/** Counts of one window over all entries. */
struct merged_counts
{
    std::uint64_t requests = 0;
    std::uint64_t answersInTime = 0;
    std::uint64_t firstTokensInTime = 0;

    bool operator==(const merged_counts &) const = default;
    merged_counts &operator+=(const merged_counts &other);
};

struct merged_histograms
{
    latency_histogram latency = makeLatencyHistogram();
    latency_histogram firstToken = makeLatencyHistogram();

    merged_histograms &operator+=(const merged_histograms &other);
};

/** Windows of one pair, or of a service, over all entries; the index is the age. */
struct merged_history
{
    std::vector<merged_counts> minutes = std::vector<merged_counts>(minuteRing.windows);
    std::vector<merged_counts> halfHours = std::vector<merged_counts>(halfHourRing.windows);
    /** The last hour. */
    merged_histograms recent;
    /** The last three days. */
    merged_histograms whole;

    merged_history &operator+=(const merged_history &other);
};

struct merged_levels
{
    std::map<level_key, merged_history> pairs;
    recorder_losses losses;
    /** Lives of entries that have a part in this. */
    std::size_t summaries = 0;
};

/**
 * Merges the summaries of all entries.
 *
 * It holds the newest summary of each life of an entry, so a repeated or late summary changes nothing. Requests
 * of an earlier life of an entry still count until their windows are over. Steady clocks of different VMs do not
 * compare, so windows are aligned by age: a summary ages from the moment it was received.
 */
class summary_merger
{
public:
    /** Lives of entries at the design size: 360 entries and the restarts of three days. */
    explicit summary_merger(std::size_t maxSummaries = 1024);

    /** True if the summary is newer than what was held; `message_malformed` for one that breaks a bound. */
    [[nodiscard]] expected<bool> accept(service_level_summary summary, time_point now);
    [[nodiscard]] merged_levels merged(time_point now) const;

private:
    struct held_summary
    {
        service_level_summary summary;
        time_point received;
    };

    void makeRoom(time_point now);

    std::size_t m_maxSummaries;
    std::map<incarnation_id, held_summary> m_held;
};

} // namespace figcleat::report
