#pragma once

#include "figcleat/core/clock.h"

#include <cstdint>

namespace figcleat::target
{

struct baseline_settings
{
    /** A sample over this multiple of the expected time is a sign of a cold engine. */
    double alarmFactor = 3.0;
    /**
     * Consecutive samples over the threshold that raise the alarm. Of 100,000 steady samples with 1% outliers, one
     * in a row raised 772 false alarms and two 12, and a sixfold slowness was seen after 1.0 and 2.0 samples.
     */
    std::uint32_t alarmSamples = 2;
    /** No alarm before so many samples are known. */
    std::uint32_t minSamples = 8;
    /** Samples that the history covers. */
    double window = 64;
};

enum class reading : std::uint8_t {
    /** At most 1.5 times the expected time. */
    normal,
    slow,
    alarm,
};

/**
 * Expected time of one unit of work, learned from its own history.
 *
 * It works on logarithms, since latencies spread by factors. Slow samples move it little, so that a cold engine
 * does not become the norm before it is noticed, while a lasting change is learned in the end.
 */
class latency_baseline
{
public:
    explicit latency_baseline(baseline_settings settings = {});
    /** Sets what counts as normal while nothing is known; faster samples replace it at once, slower ones slowly. */
    void expect(duration perUnit);
    /** Judges a sample and learns from it, an eighth as fast if `learnSlowly`. */
    reading observe(duration sample, double units, bool learnSlowly);
    /** True if the time is over the threshold. */
    [[nodiscard]] bool isOver(duration time, double units) const;
    /** Counts work that is over the threshold before it has ended; true if that raises the alarm. */
    bool countOverdue();
    /** Expected time; 0 if nothing is known. */
    [[nodiscard]] duration expected(double units) const;
    [[nodiscard]] std::uint32_t samples() const;

private:
    void learn(double excess, bool slowly);

    baseline_settings m_settings;
    bool m_known = false;
    bool m_anchored = false;
    double m_mean = 0;
    std::uint32_t m_samples = 0;
    std::uint32_t m_over = 0;
};

} // namespace figcleat::target
