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
    /** @param running from the start of the request's first attempt to the end of its answer */
    void record(const route_id &route, duration running);
    void clear();
    /** Smoothed running time. */
    [[nodiscard]] std::optional<duration> usual(const route_id &route) const;

private:
    std::map<route_id, duration> m_routes;
};

} // namespace figcleat::forward
