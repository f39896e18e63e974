#pragma once

#include "figcleat/agreed/commands.h"

/** Messages by which a configuration reaches every process. */
namespace figcleat::distribution
{

/**
 * Operators inside a data centre took it out (or back) while no quorum could be reached.
 *
 * Among two, the higher version holds; at equal versions one that is over, then the one with the higher base.
 */
struct local_override
{
    /** 0 means that there never was one. */
    std::uint64_t version = 0;
    /** Revision that the process held when its operators decided; only a later agreed decision ends it. */
    revision_number base {};
    bool out = false;

    bool operator==(const local_override &) const = default;
    MSGPACK_DEFINE(version, base, out)
};

/** What a process holds; part of every heartbeat. */
struct heartbeat
{
    revision_number revision {};
    data_centre_id dataCentre {};
    /** Of the sender's data centre. */
    local_override local {};

    MSGPACK_DEFINE(revision, dataCentre, local)
};

/** Asks for a configuration above the one held. */
struct fetch_configuration
{
    revision_number revision {};
    /** Number of the file held, 0 without one. */
    std::uint64_t number = 0;

    MSGPACK_DEFINE(revision, number)
};

/** The sender has nothing higher, or has no bandwidth left for now. */
struct fetch_declined
{
    revision_number revision {};

    MSGPACK_DEFINE(revision)
};

/** Answer to a fetch. Without content if the file's number is the one held: a number has one content. */
struct configuration_copy
{
    agreed::configuration_in_force configuration {};

    MSGPACK_DEFINE(configuration)
};

} // namespace figcleat::distribution
