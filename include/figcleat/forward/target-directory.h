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

/** Order of the registrations of one target. */
struct registration_order
{
    /** Start time of the target in Unix milliseconds; 0 if unknown. */
    std::int64_t startedMs = 0;
    /** Sequence number of a call; increases with each registration call that an incarnation of the target sends. */
    std::uint64_t sequence = 0;

    bool operator==(const registration_order &) const = default;
    MSGPACK_DEFINE(startedMs, sequence)
};

/** One run of a target: each restart, under the same id or another, begins a new incarnation. */
struct target_incarnation
{
    target_id target {};
    /** Start time of the target in Unix milliseconds; 0 if unknown. */
    std::int64_t startedMs = 0;

    bool operator==(const target_incarnation &) const = default;
    MSGPACK_DEFINE(target, startedMs)
};

/** The state and properties that a target reports when it registers. */
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
    /** Remaining cold time in milliseconds when the registration was sent. */
    std::int64_t coldLeftMs = 0;

    [[nodiscard]] target_incarnation incarnation() const
    {
        return { target, order.startedMs };
    }

    MSGPACK_DEFINE(target, order, state, service, address, dataCentre, slots, coldLeftMs)
};

/** A target in the directory. */
struct directory_entry
{
    /** The accepted registration with the highest order. */
    registration latest;
    time_point coldUntil {};
    /** When a registration or leave call of this target was last accepted. */
    time_point receivedAt {};
    /** Version of the directory in which this entry last changed other than by a mere renewal. */
    std::uint64_t changedVersion = 0;
    /** Version of the directory in which this entry was last renewed or changed. */
    std::uint64_t renewedVersion = 0;
};

enum class change_filter : std::uint8_t {
    /** Entries with a change; sufficient for nodes that only send requests. */
    changed,
    /** Entries that were renewed or changed, for nodes that detect silent targets. */
    renewed,
};

/**
 * Directory of registered targets, merged from any number of sources in any order.
 *
 * Within one incarnation the state of a target advances from ready to draining to gone and never goes back, in whatever
 * order its registrations arrive.
 * A gone entry is kept for `forgetAfter`, so that a late registration cannot make the target ready again.
 */
class target_directory
{
public:
    static constexpr duration forgetAfter = std::chrono::seconds(60);
    /** A target that sends no registration for this time becomes gone; targets renew theirs about every 1.2 s. */
    static constexpr duration expireAfter = std::chrono::seconds(20);
    /**
     * For this time after a target's latest registration, a new id with the same start time and address is refused: two
     * targets cannot share an address, so one of the two ids was corrupted. Covers two renewals.
     */
    static constexpr duration claimPeriod = std::chrono::seconds(3);
    static constexpr std::size_t maxTargets = 4096;

    /** Merges a registration; true if it changes an entry or adds one. */
    bool merge(const registration &incoming, time_point now);
    /**
     * Marks the target as gone; true if it was not gone before.
     *
     * @param startedMs start time of the incarnation that left; 0 if unknown
     */
    bool leave(const target_id &target, std::int64_t startedMs, time_point now);
    /** Marks silent targets as gone and removes entries after `forgetAfter`; true if a target became gone. */
    bool expire(time_point now);

    [[nodiscard]] const directory_entry *find(const target_id &target) const;
    [[nodiscard]] const std::map<target_id, directory_entry> &entries() const;
    [[nodiscard]] std::uint64_t version() const;
    /** Counts registrations refused because another target with the same start time holds the address. */
    [[nodiscard]] std::uint64_t refusedClaims() const;
    /** Returns entries newer than `version` that pass `filter`, with their remaining cold time at `now`. */
    [[nodiscard]] std::vector<registration> changesAfter(std::uint64_t version, change_filter filter,
                                                         time_point now) const;

private:
    void markGone(directory_entry &entry);
    void supersedeSameAddress(const registration &incoming);
    [[nodiscard]] bool isClaimedByOther(const registration &incoming, time_point now) const;

    std::map<target_id, directory_entry> m_entries;
    std::uint64_t m_version = 0;
    std::uint64_t m_refusedClaims = 0;
};

} // namespace figcleat::forward

MSGPACK_ADD_ENUM(figcleat::forward::registration_state)
