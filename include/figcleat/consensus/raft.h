#pragma once

#include "figcleat/consensus/messages.h"
#include "figcleat/core/clock.h"
#include "figcleat/core/result-code.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace figcleat::consensus
{

inline constexpr duration electionTimeoutMin = std::chrono::milliseconds(600);
inline constexpr duration electionTimeoutMax = std::chrono::milliseconds(1200);
inline constexpr duration heartbeatInterval = std::chrono::milliseconds(150);
/** A leader that has heard from no quorum for this long steps down. */
inline constexpr duration quorumTimeout = electionTimeoutMax;
/** Without contact with a quorum for this long, a leader appends no further proposals, so that they stay retryable. */
inline constexpr duration quorumFreshness = 3 * heartbeatInterval;
/** Longest wait for the answer to a proposal or read. */
inline constexpr duration proposalDeadline = std::chrono::seconds(3);
inline constexpr duration joinInterval = std::chrono::milliseconds(500);
/** A process that asked to join and has been silent for this long is not waiting any more. */
inline constexpr duration joinerSilence = 4 * joinInterval;
/** With automatic seats, a silent voter loses its seat to a process that has caught up. */
inline constexpr duration seatSilence = std::chrono::milliseconds(1500);
/** With automatic seats, a silent learner makes room for others. */
inline constexpr duration learnerSilence = std::chrono::seconds(8);

/** Proposals without an answer. */
inline constexpr std::size_t maxPendingProposals = 4096;
/** Bytes of proposals not yet appended. */
inline constexpr std::size_t maxWaitingBytes = std::size_t { 16 } * 1024 * 1024;
/** Bytes of entries that a leader has appended but that are not committed; more proposals wait. */
inline constexpr std::size_t maxUncommittedBytes = std::size_t { 16 } * 1024 * 1024;
/** Bytes of entries kept in memory before the snapshot. */
inline constexpr std::size_t maxTrailingBytes = std::size_t { 8 } * 1024 * 1024;
/** Answers that wait for a sync; the oldest is dropped beyond it, like a message that the network loses. */
inline constexpr std::size_t maxHeldSends = 1024;
inline constexpr std::size_t maxPendingReads = 4096;
/** Bytes of one proposal; an append message with it stays under `maxMessageBytes`. */
inline constexpr std::size_t maxProposalBytes = std::size_t { 2 } * 1024 * 1024;
/** Bytes of entries in one append message, unless the first entry alone is larger. */
inline constexpr std::size_t maxAppendBytes = std::size_t { 256 } * 1024;
inline constexpr std::size_t maxAppendEntries = 512;
/** Append messages to one follower without an answer. */
inline constexpr std::size_t maxAppendsInFlight = 8;
inline constexpr std::size_t snapshotChunkBytes = std::size_t { 256 } * 1024;
inline constexpr std::size_t maxSnapshotBytes = std::size_t { 1024 } * 1024 * 1024;
inline constexpr std::size_t maxVoters = 7;
/** A learner that lacks at most this many entries may become a voter. */
inline constexpr std::uint64_t learnerLagEntries = 64;

struct raft_settings
{
    peer_address self;
    /** Voters of the first configuration, this one among them; peers to ask for a seat later. */
    std::vector<peer_address> voters;
    /** For election timeouts. */
    std::uint64_t seed = 1;
    /** A snapshot is taken after this many entries or bytes since the last one. */
    std::uint64_t snapshotEntries = 4096;
    std::uint64_t snapshotBytes = std::uint64_t { 16 } * 1024 * 1024;
    /** Entries kept in memory before the snapshot, up to `maxTrailingBytes`, for followers that are a little behind. */
    std::uint64_t trailingEntries = 512;
    /**
     * Voters that the leader aims at, from processes that ask to join: it fills empty seats, and gives the seat of a
     * silent voter to a process that has caught up. 0 if only operators change the set of addresses.
     */
    std::size_t automaticSeats = 0;
    /** False if this voter may only join a cluster that exists. */
    bool mayFound = true;
};

// Events.

/** Time has passed; to be given at least every 50 ms. */
struct tick
{
};

struct receive
{
    peer_address from;
    raft_message message;
};

struct propose
{
    std::uint64_t id = 0;
    std::string bytes;
};

/** Every `persist` up to this sequence is durable. */
struct synced
{
    std::uint64_t sequence = 0;
};

/** The disk refused a `persist`. The voter stops; to go on, build a new `raft` from the reopened store. */
struct persist_failed
{
    result_code code = result_code::disk_full;
};

/** Asks for the index that a linearizable read has to see. */
struct read
{
    std::uint64_t id = 0;
};

enum class membership_change : std::uint8_t {
    /** Opens a learner seat; the process at the address takes it, catches up and becomes a voter. */
    add,
    remove,
};

/** Further addresses at which this process may ask for a seat. */
struct learn_contacts
{
    std::vector<peer_address> addresses;
};

struct change_membership
{
    std::uint64_t id = 0;
    membership_change change = membership_change::add;
    peer_address address;
};

/** Answer to `take_snapshot`: the state after the entry at `index` was applied. */
struct snapshot_taken
{
    log_index index;
    std::string bytes;
};

using raft_event = std::variant<tick, receive, propose, synced, persist_failed, read, change_membership, snapshot_taken,
                                learn_contacts>;

// Actions, to be carried out in order.

struct send
{
    peer_address to;
    raft_message message;
};

/** To be written in order and synced; then `synced{sequence}`. Several may share one sync. */
struct persist
{
    std::uint64_t sequence = 0;
    std::optional<hard_state> state;
    /** Entries from here on are dropped before `entries` are added; 0 for none. */
    log_index truncateFrom;
    std::vector<log_entry> entries;
    /** Makes entries up to its index superfluous. */
    std::shared_ptr<const snapshot> base;
    /** The whole log before `base` was received is dropped, later entries too. */
    bool discardLog = false;
};

/** A committed command; indexes rise, with gaps where the log holds entries of its own. */
struct apply
{
    log_index index;
    std::string bytes;
};

/**
 * After the `apply` of the proposal if `code` is ok. Else, `leadership_lost`: it may or may not be committed;
 * `not_leader`, `no_quorum`, `proposal_queue_full`, `message_too_large`: it was never appended and may be tried again.
 */
struct reply_propose
{
    std::uint64_t id = 0;
    result_code code = result_code::ok;
    log_index index;
};

/** If `code` is ok, the state after `index`, already applied, may be read. */
struct reply_read
{
    std::uint64_t id = 0;
    result_code code = result_code::ok;
    log_index index;
};

struct became_leader
{
    term_number term;
};

struct stepped_down
{
    result_code reason = result_code::leadership_lost;
    std::string detail;
};

/** The state machine has to answer with `snapshot_taken` for `index`, the last one applied. */
struct take_snapshot
{
    log_index index;
};

/** The state machine replaces its state. */
struct install_snapshot
{
    std::shared_ptr<const snapshot> base;
};

/**
 * This voter takes no further part. `identity_mismatch`: its folder is an older copy, so it has to start with a new
 * folder and identity; otherwise the code of the disk.
 */
struct halted
{
    result_code code = result_code::identity_mismatch;
    std::string detail;
};

using raft_action = std::variant<send, persist, apply, reply_propose, reply_read, became_leader, stepped_down,
                                 take_snapshot, install_snapshot, halted>;

enum class raft_role : std::uint8_t {
    /** Belongs to no cluster yet. */
    joining,
    learner,
    follower,
    candidate,
    leader,
    halted,
};

[[nodiscard]] std::string_view toString(raft_role role);

struct follower_status
{
    member who;
    /** 0 unless this voter leads. */
    log_index match;
    bool reachable = false;
};

struct raft_status
{
    raft_role role = raft_role::joining;
    term_number term;
    cluster_id cluster;
    voter_identity identity;
    std::optional<peer_address> leader;
    log_index commit;
    log_index applied;
    log_index last;
    log_index snapshotIndex;
    std::vector<follower_status> members;
    std::size_t pendingProposals = 0;
};

class raft_core;

/**
 * Replicated log of one voter, without sockets, files or clocks.
 *
 * First start: the voter with the lowest address asks all listed voters whether their folders are empty; when all
 * say so, it asks each for a durable promise to belong to its cluster. With every promise it writes the first
 * membership, which names each address with its identity, and leads term 1. A voter without a membership votes only
 * for candidates of the cluster that it promised to join, and one with a log never changes clusters.
 *
 * A lost folder comes back with a new identity. The leader adds it as a learner, removes the old identity when the
 * learner has caught up and the old one is silent, and then makes the learner a voter: three changes, each of one
 * voter at most.
 *
 * A restarted voter neither votes nor campaigns until a leader has brought it up to date or enough members for a
 * quorum have said that they know of no later vote or acknowledgement. That finds an older copy of a folder as long as
 * a process that heard from the newer one is among them.
 *
 *     raft log(settings, store.takeRestored(), clock.now());
 *     for (const auto &action : log.step(propose { 1, bytes }, clock.now())) { ... }
 */
class raft
{
public:
    raft(raft_settings settings, restored_state state, time_point now);
    ~raft();
    raft(raft &&other) noexcept;
    raft &operator=(raft &&other) noexcept;

    /** Throws `invariant_violation` if the protocol was broken. */
    [[nodiscard]] std::vector<raft_action> step(const raft_event &event, time_point now);
    [[nodiscard]] raft_status status() const;
    /** Entries in memory from the first after the snapshot or its trailing entries; for tests and tools. */
    [[nodiscard]] std::vector<log_entry> entries() const;

private:
    std::unique_ptr<raft_core> m_core;
};

} // namespace figcleat::consensus
