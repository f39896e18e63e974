#pragma once

#include "figcleat/core/clock.h"
#include "figcleat/core/ids.h"
#include "figcleat/report/window-ring.h"
#include "figcleat/settings/configuration.h"

#include <compare>
#include <map>
#include <optional>
#include <vector>

/** Record of how well each service answers each workspace. */
namespace figcleat::report
{

/** A finished request that was not refused as malformed. */
struct sample
{
    service_id service;
    workspace_id workspace;
    /** Time until the answer ended or failed. */
    duration latency {};
    /** Absent if the caller got no token at all. */
    std::optional<duration> firstToken;
    /** The caller got its whole answer. */
    bool whole = false;
    /** The service level in effect. */
    service_level level;
};

struct level_key
{
    service_id service;
    workspace_id workspace;

    auto operator<=>(const level_key &) const = default;
};

struct recorder_limits
{
    std::size_t pairs = 2'000;
    /** Histogram cells of all pairs, 4 bytes each. At the limit the counts go on without histograms. */
    std::size_t cells = std::size_t { 2 } * 1024 * 1024;
};

/** Bytes of one pair at most: every window in use and every bin of it occupied. */
inline constexpr std::size_t maxBytesPerPair = 512
    + (minuteRing.windows + halfHourRing.windows)
        * (window_ring::bytesPerWindow + both_histograms {}.size() * window_ring::bytesPerCell);
/** Bytes of one pair at most, without its histogram cells, which have a limit of their own for all pairs. */
inline constexpr std::size_t maxCountBytesPerPair
    = 512 + (minuteRing.windows + halfHourRing.windows) * window_ring::bytesPerWindow;

/** What the record lacks because a bound was reached. */
struct recorder_losses
{
    /** Samples of pairs beyond the limit. */
    std::uint64_t overflowedSamples = 0;
    /** Samples older than the newest window. */
    std::uint64_t lateSamples = 0;
    /** Histogram entries beyond the limit of cells. */
    std::uint64_t refusedCells = 0;
    /** Pairs that did not fit in the summary. */
    std::uint64_t omittedPairs = 0;

    bool operator==(const recorder_losses &) const = default;
    recorder_losses &operator+=(const recorder_losses &other);
    MSGPACK_DEFINE(overflowedSamples, lateSamples, refusedCells, omittedPairs)
};

/** Counts of a window; `age` is in windows before the unfinished one. */
struct window_summary
{
    std::uint32_t age = 0;
    std::uint32_t requests = 0;
    std::uint32_t answersInTime = 0;
    std::uint32_t firstTokensInTime = 0;

    bool operator==(const window_summary &) const = default;
    MSGPACK_DEFINE(age, requests, answersInTime, firstTokensInTime)
};

struct histogram_summary
{
    std::vector<bin_count> latency;
    std::vector<bin_count> firstToken;

    bool operator==(const histogram_summary &) const = default;
    MSGPACK_DEFINE(latency, firstToken)
};

struct pair_summary
{
    service_id service;
    workspace_id workspace;
    std::vector<window_summary> minutes;
    std::vector<window_summary> halfHours;
    /** The last hour. */
    histogram_summary recent;
    /** The last three days. */
    histogram_summary whole;

    bool operator==(const pair_summary &) const = default;
    MSGPACK_DEFINE(service, workspace, minutes, halfHours, recent, whole)
};

/** All that one life of an entry recorded; it replaces any summary of that life with a lower sequence. */
struct service_level_summary
{
    vm_id entry;
    incarnation_id incarnation;
    std::uint64_t sequence = 0;
    recorder_losses losses;
    std::vector<pair_summary> pairs;

    bool operator==(const service_level_summary &) const = default;
    MSGPACK_DEFINE(entry, incarnation, sequence, losses, pairs)
};

/** Leaves a quarter of the largest message for the envelope and other content. */
inline constexpr std::size_t maxSummaryBytes = std::size_t { 3 } * 1024 * 1024;

/**
 * Counts the requests of one entry in windows of a minute for 6 h and of 30 min for 3 days.
 *
 * Memory: `maxBytesPerPair` (147,680 bytes) for a pair at most, and for all pairs together at most
 * `limits.pairs * maxCountBytesPerPair + limits.cells * 4` bytes, 29.6 MB with the default limits.
 */
class service_level_recorder
{
public:
    service_level_recorder(vm_id entry, incarnation_id incarnation, recorder_limits limits = {});

    void record(time_point now, const sample &finished);
    /** Takes the pairs with the most requests first if not all fit in `maxBytes`. */
    [[nodiscard]] service_level_summary summarise(time_point now, std::size_t maxBytes = maxSummaryBytes);

    [[nodiscard]] std::size_t pairCount() const;
    [[nodiscard]] std::size_t memoryBytes() const;
    [[nodiscard]] recorder_losses losses() const;

private:
    struct history
    {
        window_ring minutes;
        window_ring halfHours;
    };

    history *find(time_point now, const sample &finished);
    void releaseExpired(time_point now);
    [[nodiscard]] std::vector<pair_summary> summarisePairs(time_point now) const;

    vm_id m_entry;
    incarnation_id m_incarnation;
    recorder_limits m_limits;
    cell_budget m_budget;
    std::map<level_key, history> m_pairs;
    recorder_losses m_losses;
    std::uint64_t m_sequence = 0;
    std::optional<std::uint32_t> m_releasedAt;
};

} // namespace figcleat::report
