#pragma once

#include "figcleat/core/clock.h"
#include "figcleat/core/ids.h"
#include "figcleat/core/result-code.h"

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace figcleat::forward
{

using milliseconds = std::chrono::milliseconds;

enum class registration_state : std::uint8_t {
    ready,
    draining,
    gone,
};

/** Orders the registrations of one target. */
struct registration_order
{
    /** Start of the target in Unix milliseconds; 0 if it did not say. */
    std::int64_t startedMs = 0;
    /** Rises with each call in the life of the target. */
    std::uint64_t sequence = 0;

    bool operator==(const registration_order &) const = default;
    MSGPACK_DEFINE(startedMs, sequence)
};

/** One life of a target: a target that starts again, with its id or another one, begins a new life. */
struct target_incarnation
{
    target_id target {};
    /** Start of the target in Unix milliseconds; 0 if it did not say. */
    std::int64_t startedMs = 0;

    bool operator==(const target_incarnation &) const = default;
};

/** What a target said of itself in its latest registration. */
struct registration
{
    target_id target {};
    registration_order order {};
    registration_state state = registration_state::ready;
    service_id service {};
    /** "IP:port". */
    std::string address {};
    data_centre_id dataCentre {};
    std::uint32_t slots = 1;
    /** How much longer the target stays cold, as of when this was sent. */
    std::int64_t coldLeftMs = 0;

    [[nodiscard]] target_incarnation incarnation() const
    {
        return { target, order.startedMs };
    }

    MSGPACK_DEFINE(target, order, state, service, address, dataCentre, slots, coldLeftMs)
};

/** A registration as a directory holds it. */
struct directory_entry
{
    registration latest;
    time_point coldUntil {};
    /** When a registration of this target was last received. */
    time_point receivedAt {};
    /** Version of the directory in which this entry last said something new. */
    std::uint64_t changedVersion = 0;
    /** Version of the directory in which a registration was last received. */
    std::uint64_t renewedVersion = 0;
};

enum class change_filter : std::uint8_t {
    /** Entries that say something new; enough for a node that only sends requests. */
    changed,
    /** Every entry with a registration since, for nodes that watch for silent targets. */
    renewed,
};

/**
 * The targets that have registered, merged from any number of sources in any order.
 *
 * In one life a target goes from ready to draining to gone and never back, whatever order its registrations arrive in.
 * An entry says `gone` for `forgetAfter`, so that a late registration cannot bring the target back.
 */
class target_directory
{
public:
    static constexpr duration forgetAfter = std::chrono::seconds(60);
    /** A silent target is dropped after this time; a target beats about every 1.2 s. */
    static constexpr duration expireAfter = std::chrono::seconds(20);
    /**
     * For this time after its latest registration no other target of the same start can claim its address: two targets
     * cannot have one address, so that one of the two ids is spoiled. Covers two beats.
     */
    static constexpr duration claimPeriod = std::chrono::seconds(3);
    static constexpr std::size_t maxTargets = 4096;

    /** True if the registration says something new. */
    bool merge(const registration &what, time_point now);
    /** Records that the target left; `startedMs` is 0 if it did not say which of its lives. True if that is new. */
    bool leave(const target_id &target, std::int64_t startedMs, time_point now);
    /** Marks silent targets as gone and forgets those that are long gone. True if a target became gone. */
    bool expire(time_point now);

    [[nodiscard]] const directory_entry *find(const target_id &target) const;
    [[nodiscard]] const std::map<target_id, directory_entry> &entries() const;
    [[nodiscard]] std::uint64_t version() const;
    /** Registrations that were refused since another target of the same start has their address. */
    [[nodiscard]] std::uint64_t refusedClaims() const;
    /** Entries after `version`, with their remaining cold time as of `now`. */
    [[nodiscard]] std::vector<registration> changesAfter(std::uint64_t version, change_filter filter,
                                                         time_point now) const;

private:
    void markGone(directory_entry &entry);
    void supersede(const registration &what);
    [[nodiscard]] bool isClaimedByOther(const registration &what, time_point now) const;

    std::map<target_id, directory_entry> m_entries;
    std::uint64_t m_version = 0;
    std::uint64_t m_refusedClaims = 0;
};

} // namespace figcleat::forward

MSGPACK_ADD_ENUM(figcleat::forward::registration_state)
