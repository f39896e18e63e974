#pragma once

#include <algorithm>
#include <ctime>
#include <limits>

namespace figcleat::processor_time
{

/** Least processor time of this thread, in seconds, over some runs of `work`. */
template<typename Work>
double leastSeconds(const Work &work)
{
    constexpr int runs = 5;
    constexpr double perNanosecond = 1e-9;
    const auto now = [] {
        timespec time {};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
        return static_cast<double>(time.tv_sec) + perNanosecond * static_cast<double>(time.tv_nsec);
    };
    double least = std::numeric_limits<double>::max();
    for (int run = 0; run < runs; ++run) {
        const double start = now();
        work();
        least = std::min(least, now() - start);
    }
    return least;
}

/**
 * Processor time of `work(factor * size)` divided by that of `work(size)`: about `factor` if it grows in proportion to
 * the size, its square if it compares everything with everything.
 */
template<typename Work>
double growth(const Work &work, std::size_t size, std::size_t factor)
{
    const double small = leastSeconds([&] { work(size); });
    return leastSeconds([&] { work(factor * size); }) / small;
}

} // namespace figcleat::processor_time
