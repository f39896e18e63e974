#pragma once

#include <cstddef>
#include <optional>
#include <random>
#include <vector>

/** Choice of a target by many nodes that see each other's loads late. */
namespace figcleat::forward
{

/** What is known of a target whose load was reported some time ago. */
struct reported_load
{
    /** Expected load, in requests, with penalties that make the target less desirable. */
    double load = 0;
    /** Load that the target takes well; above 0. */
    double capacity = 1;
    /** Further requests that the target may get. */
    double room = 0;
};

/** Requests for which all nodes together look for a target before they see each other's loads. */
struct competing_requests
{
    double moreUrgent = 0;
    /** Those of the same urgency, the own request included; 1 or more. */
    double equallyUrgent = 1;
    double lessUrgent = 0;
    /** Requests that other nodes have sent to targets since their loads were reported. */
    double placedByPeers = 0;
};

/** Part of its share of scarce room that a request gets however many more urgent ones there are. */
inline constexpr double leastUrgentShare = 0.25;

/**
 * Returns the probability with which a request gets a target.
 *
 * It is 1 while there is room for all. Otherwise room goes to the more urgent requests first, and those of one urgency
 * share what is left; no request gets less than `leastUrgentShare` of an equal share.
 */
[[nodiscard]] double admissionProbability(const competing_requests &requests, double room);

/**
 * Draws the target of the next request from loads that are out of date.
 *
 * Nodes that all choose the least loaded target of the same reports overload it until the next reports arrive. Here
 * each target is drawn with the share of the competing requests that it needs for all targets to reach the same load
 * for their capacity, as far as their room allows, so that many nodes that draw from the same reports fill the gaps
 * evenly. (M. Dahlin, "Interpreting Stale Load Information", IEEE Transactions on Parallel and Distributed Systems
 * 11(10), 2000.)
 *
 * @return index into `loads`; `nullopt` if the request has to wait
 */
[[nodiscard]] std::optional<std::size_t> drawTarget(const std::vector<reported_load> &loads,
                                                    const competing_requests &requests, std::mt19937_64 &random);

} // namespace figcleat::forward
