#pragma once

#include "figcleat/report/latency-histogram.h"

#include <string>
#include <string_view>

namespace figcleat::report
{

/** A page of metrics in the text format of Prometheus, version 0.0.4. */
class metrics_text
{
public:
    /** @param labels as in `code="200",route="a"`; empty for none */
    void counter(std::string_view name, std::string_view help, std::string_view labels, std::uint64_t value);
    void gauge(std::string_view name, std::string_view help, std::string_view labels, double value);
    /** Buckets in seconds. */
    void histogram(std::string_view name, std::string_view help, const latency_histogram &values);

    [[nodiscard]] const std::string &text() const;

private:
    /** Describes a family before its first sample. */
    void describe(std::string_view name, std::string_view help, std::string_view type);
    void sample(std::string_view name, std::string_view labels, const std::string &value);

    std::string m_text;
    std::string m_family;
};

/** Content type of the page. */
inline constexpr const char *metricsContentType = "text/plain; version=0.0.4";

} // namespace figcleat::report
