#include "figcleat/report/metrics-text.h"

#include <fmt/format.h>

namespace figcleat::report
{

void metrics_text::describe(std::string_view name, std::string_view help, std::string_view type)
{
    if (m_family != name) {
        m_family = name;
        m_text += fmt::format("# HELP {0} {1}\n# TYPE {0} {2}\n", name, help, type);
    }
}

void metrics_text::sample(std::string_view name, std::string_view labels, const std::string &value)
{
    m_text += labels.empty() ? fmt::format("{} {}\n", name, value) : fmt::format("{}{{{}}} {}\n", name, labels, value);
}

void metrics_text::counter(std::string_view name, std::string_view help, std::string_view labels, std::uint64_t value)
{
    describe(name, help, "counter");
    sample(name, labels, std::to_string(value));
}

void metrics_text::gauge(std::string_view name, std::string_view help, std::string_view labels, double value)
{
    describe(name, help, "gauge");
    sample(name, labels, fmt::format("{:g}", value));
}

void metrics_text::histogram(std::string_view name, std::string_view help, const latency_histogram &values)
{
    describe(name, help, "histogram");
    const std::string bucket = fmt::format("{}_bucket", name);
    std::uint64_t total = 0;
    for (int bin = 0; bin < allLatencyBins; ++bin) {
        total += countInBin(values, bin);
        const bool isLast = bin == allLatencyBins - 1;
        const double end = std::chrono::duration<double>(upperEnd(bin)).count();
        sample(bucket, isLast ? std::string("le=\"+Inf\"") : fmt::format("le=\"{:.4g}\"", end), std::to_string(total));
    }
    sample(fmt::format("{}_count", name), {}, std::to_string(total));
}

const std::string &metrics_text::text() const
{
    return m_text;
}

} // namespace figcleat::report
