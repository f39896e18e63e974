#pragma once

#include "figcleat/core/units.h"

#include <cstddef>
#include <msgpack.hpp>

namespace figcleat::group
{

/** What the operators' configuration says of the groups of a service. */
struct group_model
{
    std::size_t sets = 0;
    std::size_t experts = 0;
    /** Experts that a rank holds in each set. */
    std::size_t slotsPerRank = 0;
    /** Experts that a rank can load in each set beside those in use. */
    std::size_t spareSlotsPerRank = 0;
    byte_count bytesPerExpert {};
    byte_count rankLoadBytesPerSecond {};
    /** Share of a step's time that depends on the experts. */
    double expertShare = 0;

    bool operator==(const group_model &) const = default;
    MSGPACK_DEFINE(sets, experts, slotsPerRank, spareSlotsPerRank, bytesPerExpert, rankLoadBytesPerSecond, expertShare)
};

} // namespace figcleat::group
