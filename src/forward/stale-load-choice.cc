#include "figcleat/forward/stale-load-choice.h"

#include <algorithm>

namespace figcleat::forward
{

namespace
{

/** Steps of the bisection; they find the common load to a millionth of the range. */
constexpr int bisectionSteps = 20;

double total(const competing_requests &requests)
{
    return requests.moreUrgent + requests.equallyUrgent + requests.lessUrgent;
}

/** Requests that the target needs to reach the load `ratio` for its capacity. */
double wanted(const reported_load &target, double ratio)
{
    return std::clamp(ratio * target.capacity - target.load, 0.0, std::max(0.0, target.room));
}

double totalWanted(const std::vector<reported_load> &loads, double ratio)
{
    double sum = 0;
    for (const auto &target : loads) {
        sum += wanted(target, ratio);
    }
    return sum;
}

/** Load for capacity that all targets reach with the requests; the one that fills them if their room is less. */
double commonRatio(const std::vector<reported_load> &loads, double requests)
{
    double high = 0;
    for (const auto &target : loads) {
        high = std::max(high, (target.load + std::max(0.0, target.room)) / target.capacity);
    }
    if (totalWanted(loads, high) <= requests) {
        return high;
    }
    double low = 0;
    for (int i = 0; i < bisectionSteps; ++i) {
        const double middle = (low + high) / 2;
        (totalWanted(loads, middle) < requests ? low : high) = middle;
    }
    return high;
}

} // namespace

double admissionProbability(const competing_requests &requests, double room)
{
    const double all = total(requests);
    if (room >= all) {
        return 1;
    }
    const double left = (room - requests.moreUrgent) / requests.equallyUrgent;
    return std::clamp(std::max(left, leastUrgentShare * room / all), 0.0, 1.0);
}

std::optional<std::size_t> drawTarget(const std::vector<reported_load> &loads, const competing_requests &requests,
                                      std::mt19937_64 &random)
{
    double room = 0;
    for (const auto &target : loads) {
        room += std::max(0.0, target.room);
    }
    std::uniform_real_distribution<double> share(0, 1);
    if (room <= 0 || share(random) >= admissionProbability(requests, room)) {
        return std::nullopt;
    }
    const double ratio = commonRatio(loads, total(requests));
    double draw = share(random) * totalWanted(loads, ratio);
    std::optional<std::size_t> chosen;
    for (std::size_t i = 0; i < loads.size() && draw >= 0; ++i) {
        const double needed = wanted(loads[i], ratio);
        draw -= needed;
        chosen = needed > 0 ? i : chosen;
    }
    return chosen;
}

} // namespace figcleat::forward
