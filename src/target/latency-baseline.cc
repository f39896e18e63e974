#include "figcleat/target/latency-baseline.h"

#include <algorithm>
#include <cmath>

namespace figcleat::target
{

namespace
{

const double normalExcess = std::log(1.5);

double logOf(duration time, double units)
{
    const auto nanos = std::max<double>(1.0, static_cast<double>(time.count()));
    return std::log(nanos / std::max(units, 1.0));
}

} // namespace

latency_baseline::latency_baseline(baseline_settings settings)
    : m_settings(settings)
{
}

void latency_baseline::expect(duration perUnit)
{
    if (m_known) {
        return;
    }
    m_known = true;
    m_anchored = true;
    m_mean = logOf(perUnit, 1.0);
}

reading latency_baseline::observe(duration sample, double units, bool learnSlowly)
{
    const double value = logOf(sample, units);
    if (!m_known) {
        m_known = true;
        m_mean = value;
    }
    const double excess = value - m_mean;
    const bool over = isOver(sample, units);
    m_over = over ? m_over + 1 : 0;
    learn(excess, learnSlowly);
    if (over && m_over >= m_settings.alarmSamples) {
        return reading::alarm;
    }
    return excess <= normalExcess ? reading::normal : reading::slow;
}

bool latency_baseline::isOver(duration time, double units) const
{
    return m_samples >= m_settings.minSamples && logOf(time, units) - m_mean > std::log(m_settings.alarmFactor);
}

bool latency_baseline::countOverdue()
{
    return ++m_over >= m_settings.alarmSamples;
}

duration latency_baseline::expected(double units) const
{
    return m_known ? duration(static_cast<std::int64_t>(std::exp(m_mean) * std::max(units, 1.0))) : duration(0);
}

std::uint32_t latency_baseline::samples() const
{
    return m_samples;
}

void latency_baseline::learn(double excess, bool slowly)
{
    // A configured expectation gives way at once to what is faster only: the first samples of an engine in a cold
    // start must not become the norm.
    if (m_anchored && excess < 0) {
        m_anchored = false;
        m_samples = 0;
    }
    const double steady = 1.0 / m_settings.window;
    double weight = slowly ? steady / 8 : steady;
    ++m_samples;
    if (m_samples <= m_settings.minSamples && !m_anchored) {
        weight = 1.0 / m_samples;
        m_mean += weight * excess;
    } else {
        m_mean += weight * std::min(excess, normalExcess);
    }
}

} // namespace figcleat::target
