#pragma once

#include "figcleat/core/clock.h"
#include "figcleat/core/ids.h"
#include "figcleat/core/result-code.h"

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace figcleat::forward
{

using milliseconds = std::chrono::milliseconds;

enum class registration_state : std::uint8_t {
    ready,
    draining,
    gone,
};

/**
 * Whether coordinators hear the registrations of a target.
 *
 * Unlike `registration_state`, which is the target's own word, this is an observation of coordinators. It holds for one
 * registration: a later registration of the same target ends it.
 */
enum class registration_presence : std::uint8_t {
    heard,
    /** Another target has registered with the same address for `target_directory::claimPeriod` and this one has not. */
    superseded,
    /** Nothing was heard of the target for `target_directory::expireAfter`. */
    silent,
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

/** Name of the reason why a target is not used; "usable" if it is. */
[[nodiscard]] std::string_view usabilityName(registration_state state, registration_presence presence);

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
    registration_presence presence = registration_presence::heard;
    /** Time in milliseconds since a coordinator received the registration from the target itself. */
    std::int64_t ageMs = 0;
    /** Who reported that the target is not to be used: a coordinator or, if superseded, the other target. */
    std::string reporter {};

    [[nodiscard]] bool isUsable() const
    {
        return state == registration_state::ready && presence == registration_presence::heard;
    }

    [[nodiscard]] target_incarnation incarnation() const
    {
        return { target, order.startedMs };
    }

    MSGPACK_DEFINE(target, order, state, service, address, dataCentre, slots, coldLeftMs, presence, ageMs, reporter)
};

/** A peer's report that a target is silent or superseded, kept until it is confirmed or refuted. */
struct absence_report
{
    registration_presence presence = registration_presence::heard;
    /** Order of the last registration that the peer had heard. */
    registration_order order {};
    std::string reporter {};
    time_point reportedAt {};
};

/** A target in the directory. */
struct directory_entry
{
    /** The accepted registration with the highest order. */
    registration latest;
    time_point coldUntil {};
    /** When a coordinator last received a registration or leave call from the target itself. */
    time_point heardAt {};
    /** Since when the target is not used; has no meaning for a usable target. */
    time_point outSince {};
    /** Order of the last registration that was refused as outdated. */
    std::optional<registration_order> refused {};
    std::optional<absence_report> absence {};
    /** Version of the directory in which this entry last changed other than by a mere renewal. */
    std::uint64_t changedVersion = 0;
    /** Version of the directory in which this entry was last renewed or changed. */
    std::uint64_t renewedVersion = 0;

    [[nodiscard]] bool isUsable() const
    {
        return latest.isUsable();
    }
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
 * - The state of an incarnation is its own word: it advances from ready to draining to gone and never goes back, in
 *   whatever order its registrations arrive.
 * - Silence is an observation, so it ends with the target's next registration. Time in which this process heard nothing
 *   itself (see `resumeListening`) is not counted. Silence reported by a peer applies after `confirmPeriod` unless a
 *   later registration arrives.
 * - An address may be claimed by several targets. A claim never ends another target: of targets with one address, those
 *   that go on registering are used, and those that fall behind by `claimPeriod` are superseded.
 *
 * Coordinators call `merge`, `leave` and `expire`; fronts learn everything from coordinators through `adopt`.
 */
class target_directory
{
public:
    /** Targets that are not used are forgotten after this time, so late registrations cannot make them usable again. */
    static constexpr duration forgetAfter = std::chrono::seconds(60);
    /** A target that sends no registration for this time is silent; targets renew theirs about every 1.2 s. */
    static constexpr duration expireAfter = std::chrono::seconds(20);
    /**
     * A target that falls behind another one with its address by this time is superseded. A new claim on the address of
     * a target that started at the same time or later has to be renewed for this time. Covers two renewals.
     */
    static constexpr duration claimPeriod = std::chrono::seconds(3);
    /** A peer's report of silence can be refuted for this time; covers three polls of the other coordinators. */
    static constexpr duration confirmPeriod = std::chrono::milliseconds(1300);
    /** Bound of usable targets. */
    static constexpr std::size_t maxTargets = 4096;
    /** Bound of targets that are known but not used; beyond it the one that is out for longest is forgotten. */
    static constexpr std::size_t maxUnused = 1024;
    /** Bound of incarnations whose sign-off is remembered after their entry is forgotten. */
    static constexpr std::size_t maxSignOffs = 4096;
    /** Bound of claims on the address of another target. */
    static constexpr std::size_t maxClaims = 1024;
    /** Bound of targets named by `doubted`. */
    static constexpr std::size_t maxDoubted = 256;

    /** @param self names this process as the reporter of what it observes */
    explicit target_directory(std::string self = {});

    /** Merges a registration that the target itself sent to this process; true if it changes an entry or adds one. */
    bool merge(const registration &incoming, time_point now);
    /** Merges a registration that a peer accepted; true if it changes an entry or adds one. */
    bool adopt(const registration &incoming, time_point now);
    /**
     * Marks the target as gone; true if it was not gone before.
     *
     * @param startedMs start time of the incarnation that left; 0 if unknown
     */
    bool leave(const target_id &target, std::int64_t startedMs, time_point now);
    /** True if this incarnation has said that it leaves or has left. */
    [[nodiscard]] bool hasSignedOff(const target_incarnation &incarnation) const;
    /**
     * This process heard nothing until `now`: it was suspended, cut off, or has just started. Silence and claims are
     * measured from here on.
     */
    void resumeListening(time_point now);
    /** Marks silent and superseded targets and forgets old ones; true if a target is no longer used. */
    bool expire(time_point now);
    /** Applies reports of silence that nothing refuted and forgets old targets; true if a target is no longer used. */
    bool settle(time_point now);

    [[nodiscard]] const directory_entry *find(const target_id &target) const;
    [[nodiscard]] const std::map<target_id, directory_entry> &entries() const;
    [[nodiscard]] std::size_t usableCount() const;
    [[nodiscard]] std::uint64_t version() const;
    /** Counts registrations refused because another target holds the address. */
    [[nodiscard]] std::uint64_t refusedClaims() const;
    /** Targets that were usable and are not any more since the last call, at most `maxUnused` of them. */
    [[nodiscard]] std::vector<target_id> takeNewlyUnused();
    /** Targets that a peer reported as absent and whose state other coordinators may know better. */
    [[nodiscard]] std::vector<target_id> doubted() const;
    /** Returns entries newer than `version` that pass `filter`, with their cold time and age at `now`. */
    [[nodiscard]] std::vector<registration> changesAfter(std::uint64_t version, change_filter filter,
                                                         time_point now) const;
    /** Returns the current registrations of those of `targets` that are known. */
    [[nodiscard]] std::vector<registration> registrationsOf(const std::vector<target_id> &targets,
                                                            time_point now) const;

private:
    struct claim
    {
        registration_order order;
        time_point firstHeardAt {};
        time_point heardAt {};
    };

    struct sign_off
    {
        std::int64_t startedMs = 0;
        std::uint64_t number = 0;
    };

    [[nodiscard]] static bool takesPrecedence(const registration &incoming, time_point heardAt,
                                              const directory_entry &known, bool isRenewed);
    /** When the target was heard last, at least `m_listeningSince`: what came before may have been missed. */
    [[nodiscard]] time_point lastHeard(const directory_entry &entry) const;
    /** True if the registration claims an address whose target goes on registering and is no earlier one. */
    [[nodiscard]] bool isContested(const registration &incoming, time_point now) const;
    /** Records the claim; true once it has been renewed for `claimPeriod`. */
    bool renewClaim(const registration &incoming, time_point now);
    bool store(const registration &incoming, time_point heardAt, time_point now);
    void noteSharedAddress(const registration &incoming);
    bool supersede(const std::string &address, time_point now);
    bool expireSilent(time_point now);
    void markOut(directory_entry &entry, registration_presence presence, const std::string &reporter, time_point now);
    void markChanged(directory_entry &entry);
    void noteUnused(directory_entry &entry, time_point now);
    void recordSignOff(const target_incarnation &incarnation);
    /** Makes room for one more usable target, if need be by giving up one that has missed its renewals. */
    [[nodiscard]] bool makeRoom(time_point now);
    void forgetUnused(time_point now);
    void forgetLongestUnused();
    [[nodiscard]] static registration current(const directory_entry &entry, time_point now);

    std::string m_self;
    std::map<target_id, directory_entry> m_entries;
    std::map<target_id, claim> m_claims;
    std::map<target_id, sign_off> m_signOffs;
    /** Targets of `m_signOffs` from the oldest sign-off to the latest. */
    std::map<std::uint64_t, target_id> m_signOffOrder;
    /** Addresses that more than one entry has. */
    std::set<std::string> m_sharedAddresses;
    time_point m_listeningSince {};
    std::vector<target_id> m_newlyUnused;
    std::uint64_t m_version = 0;
    std::uint64_t m_signOffCount = 0;
    std::uint64_t m_refusedClaims = 0;
};

} // namespace figcleat::forward

MSGPACK_ADD_ENUM(figcleat::forward::registration_state)
MSGPACK_ADD_ENUM(figcleat::forward::registration_presence)
