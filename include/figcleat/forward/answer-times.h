#pragma once

#include "figcleat/core/clock.h"
#include "figcleat/forward/route-table.h"

#include <map>
#include <optional>

namespace figcleat::forward
{

/** How long complete answers have taken lately, by route. */
class answer_times
{
public:
    /**
     * @param total from the arrival of the request to the end of its answer
     * @param running from the start of its first attempt to the end of its answer
     */
    void record(const route_id &route, duration total, duration running);
    void clear();
    /** Longest recent total time; decays with each shorter one. */
    [[nodiscard]] std::optional<duration> longest(const route_id &route) const;
    /** Smoothed running time. */
    [[nodiscard]] std::optional<duration> usual(const route_id &route) const;

private:
    struct route_times
    {
        duration longest {};
        duration usual {};
    };

    std::map<route_id, route_times> m_routes;
};

} // namespace figcleat::forward
