#include "figcleat/report/latency-histogram.h"

#include <algorithm>

namespace figcleat::report
{

namespace
{

const latency_axis &sharedAxis()
{
    static const latency_axis axis(boost::histogram::axis::transform::log {}, latencyBins, 0.001, 300.0);
    return axis;
}

duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

std::uint64_t total(const latency_histogram &histogram)
{
    std::uint64_t sum = 0;
    for (int bin = 0; bin < allLatencyBins; ++bin) {
        sum += countInBin(histogram, bin);
    }
    return sum;
}

duration interpolate(int bin, double fraction)
{
    if (bin == 0) {
        return upperEnd(0);
    }
    // The axis interpolates between the edges of a bin on its own scale.
    return bin > latencyBins ? latencyAxisEnd : fromSeconds(sharedAxis().value(bin - 1 + fraction));
}

} // namespace

latency_histogram makeLatencyHistogram()
{
    return latency_histogram(std::make_tuple(sharedAxis()));
}

std::uint8_t latencyBin(duration latency)
{
    // The logarithm of a negative number is no number, which the axis would put into the bin above it.
    const auto seconds = std::chrono::duration<double>(std::max(latency, duration::zero())).count();
    return static_cast<std::uint8_t>(sharedAxis().index(seconds) + 1);
}

void addToBin(latency_histogram &histogram, std::uint8_t bin, std::uint64_t count)
{
    histogram.at(static_cast<int>(bin) - 1) += count;
}

std::uint64_t countInBin(const latency_histogram &histogram, int bin)
{
    return histogram.at(bin - 1);
}

duration upperEnd(int bin)
{
    return bin > latencyBins ? latencyAxisEnd : fromSeconds(sharedAxis().value(bin));
}

std::optional<duration> quantile(const latency_histogram &histogram, double share)
{
    const double wanted = share * static_cast<double>(total(histogram));
    double below = 0;
    std::optional<duration> last;
    for (int bin = 0; bin < allLatencyBins; ++bin) {
        const auto here = static_cast<double>(countInBin(histogram, bin));
        if (here == 0) {
            continue;
        }
        if (below + here >= wanted) {
            return interpolate(bin, (wanted - below) / here);
        }
        below += here;
        last = upperEnd(bin);
    }
    return last;
}

} // namespace figcleat::report
