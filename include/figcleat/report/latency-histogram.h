#pragma once

#include "figcleat/core/clock.h"

#include <array>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <tuple>
#include <vector>

namespace figcleat::report
{

/** Seconds on a logarithmic scale, 1 ms to 300 s, with a bin below and a bin above. A bin is 1.48 times as wide
 * as the one before. */
using latency_axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log,
                                                     boost::histogram::axis::null_type>;
using latency_histogram = boost::histogram::histogram<std::tuple<latency_axis>,
                                                      boost::histogram::storage_adaptor<std::vector<std::uint64_t>>>;

inline constexpr int latencyBins = 32;
/** Bins with the ones below and above the axis. */
inline constexpr int allLatencyBins = latencyBins + 2;
inline constexpr duration latencyAxisEnd = std::chrono::seconds(300);

[[nodiscard]] latency_histogram makeLatencyHistogram();
/** Number of the bin of a latency, from 0 (below the axis) to `allLatencyBins` - 1 (above it). */
[[nodiscard]] std::uint8_t latencyBin(duration latency);
/** Adds to the bin with a number as `latencyBin` gives it. */
void addToBin(latency_histogram &histogram, std::uint8_t bin, std::uint64_t count);
[[nodiscard]] std::uint64_t countInBin(const latency_histogram &histogram, int bin);
/** Upper end of a bin; the end of the axis for the bin above it. */
[[nodiscard]] duration upperEnd(int bin);

/**
 * Latency that the given share of samples does not exceed, interpolated within its bin; nothing without samples.
 * A quantile outside the axis gives the end of the axis.
 */
[[nodiscard]] std::optional<duration> quantile(const latency_histogram &histogram, double share);

/** Count of one bin as it travels between processes. */
struct bin_count
{
    std::uint8_t bin = 0;
    std::uint64_t count = 0;

    bool operator==(const bin_count &) const = default;
    MSGPACK_DEFINE(bin, count)
};

} // namespace figcleat::report
