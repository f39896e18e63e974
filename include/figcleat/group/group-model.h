#pragma once

#include "figcleat/core/units.h"

#include <cstddef>
#include <msgpack.hpp>

namespace figcleat::group
{

/** Properties of the model that the groups of a service run, from the operators' configuration. */
struct group_model
{
    /** Number of expert sets; the experts of each set are placed independently. */
    std::size_t sets = 0;
    /** Experts in each set. */
    std::size_t experts = 0;
    /** Largest number of experts that a rank holds in each set. */
    std::size_t slotsPerRank = 0;
    /** Experts that a rank can load in each set in addition to the experts in use. */
    std::size_t spareSlotsPerRank = 0;
    /** Size of the weights of one expert in one set. */
    byte_count bytesPerExpert {};
    /** Rate at which each rank loads weights. */
    byte_count rankLoadBytesPerSecond {};
    /** Fraction of the step time that is proportional to the load of the busiest rank. */
    double expertShare = 0;

    bool operator==(const group_model &) const = default;
    MSGPACK_DEFINE(sets, experts, slotsPerRank, spareSlotsPerRank, bytesPerExpert, rankLoadBytesPerSecond, expertShare)
};

} // namespace figcleat::group
