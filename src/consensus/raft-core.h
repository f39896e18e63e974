#pragma once

#include "figcleat/consensus/raft.h"
#include "memory-log.h"

#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>

namespace figcleat::consensus
{

/** What a leader knows of one other member. */
struct follower_progress
{
    peer_address address;
    /** Synced at the follower and equal to the leader's log. */
    log_index match;
    log_index next;
    /** Last index of each append without an answer; empty heartbeats are not counted. */
    std::deque<log_index> inFlight;
    /** One append at a time until the first one is accepted. */
    bool probing = true;
    time_point lastContact;
    time_point lastProgress;
    std::uint64_t round = 0;
    /** Snapshot on its way, or null. */
    std::shared_ptr<const snapshot> sending;
    std::uint64_t sendOffset = 0;
};

/** An answer that counts only once a `persist` is durable. */
struct held_send
{
    std::uint64_t sequence = 0;
    send action;
};

struct unsynced_persist
{
    std::uint64_t sequence = 0;
    log_index last;
    std::optional<hard_state> state;
};

struct waiting_proposal
{
    std::uint64_t id = 0;
    std::string bytes;
    entry_kind kind = entry_kind::command;
    time_point deadline;
};

struct appended_proposal
{
    std::uint64_t id = 0;
    time_point deadline;
};

struct pending_read
{
    std::uint64_t id = 0;
    time_point deadline;
    /** 0 until a round was started for it. */
    std::uint64_t round = 0;
    log_index index;
};

/** A process that asked for a seat. */
struct waiting_joiner
{
    voter_identity identity;
    time_point askedAt;
};

/** What a peer has been told by one identity, for its `standing_query`. */
struct known_standing
{
    term_number term;
    log_index index;
};

class raft_core
{
public:
    raft_core(raft_settings settings, restored_state state, time_point now);

    std::vector<raft_action> step(const raft_event &event, time_point now);
    [[nodiscard]] raft_status status() const;
    [[nodiscard]] const memory_log &log() const;

private:
    // raft-core.cc
    void handle(const tick &event);
    void handle(const receive &event);
    void handle(const synced &event);
    void handle(const persist_failed &event);
    void receiveMember(const peer_address &from, const raft_message &message, const message_header &header);
    [[nodiscard]] bool admit(const receive &event, const message_header &header);
    void adoptCluster(const message_header &header);
    void halt(result_code code, std::string detail);
    [[nodiscard]] message_header headerTo(voter_identity receiver) const;
    void sendTo(const peer_address &to, raft_message message);
    void sendWhenSynced(const peer_address &to, raft_message message);
    void checkHeld(const send &action) const;
    std::uint64_t save(persist action);
    void saveState();
    void becomeFollower(term_number term);
    void stepDown(result_code reason, std::string detail);
    void resetElectionTimer();
    [[nodiscard]] bool isSelfVoter() const;

    // election.cc
    void tickElection();
    void startPreVote();
    void startElection();
    void countVotes();
    void becomeLeader();
    void on(const peer_address &from, const vote_request &message);
    void on(const peer_address &from, const vote_answer &message);
    void on(const peer_address &from, const standing_query &message);
    void on(const peer_address &from, const standing_answer &message);
    [[nodiscard]] bool wouldVote(const vote_request &message) const;
    void tickStanding();
    void recordStanding(voter_identity who, log_index index);

    // genesis.cc
    void tickJoining();
    void askGenesis(bool promise);
    void onGenesis(const peer_address &from, const genesis_request &message);
    void onGenesis(const peer_address &from, const genesis_answer &message);
    void foundCluster();
    void finishGenesis();

    // replication.cc
    void tickLeader();
    void appendEntry(entry_kind kind, std::string bytes);
    void replicate();
    void sendAppends(voter_identity who, follower_progress &peer);
    void sendAppend(voter_identity who, follower_progress &peer, std::vector<log_entry> entries);
    void advanceCommit();
    void applyCommitted();
    [[nodiscard]] bool committedInTerm() const;
    void on(const peer_address &from, const append_request &message);
    void on(const peer_address &from, const append_answer &message);
    void followLeader(const peer_address &from, const message_header &header);
    log_index storeEntries(const append_request &message);
    void acknowledge(const peer_address &from, voter_identity leader, log_index match, bool isHeartbeat);
    [[nodiscard]] bool quorumHeardWithin(duration age) const;

    // snapshots.cc
    void maybeTakeSnapshot();
    void handle(const snapshot_taken &event);
    void sendChunk(voter_identity who, follower_progress &peer);
    void on(const peer_address &from, const snapshot_chunk &message);
    void on(const peer_address &from, const snapshot_answer &message);
    void installReceived(const peer_address &from, const snapshot_chunk &last);

    // clients.cc
    void handle(const propose &event);
    void handle(const read &event);
    void handle(const change_membership &event);
    void tickClients();
    void flushProposals();
    void answerApplied(log_index index);
    void dropClients(result_code reason);
    void startReadRound();
    void finishReads();
    void on(const peer_address &from, const read_round &message);
    void on(const peer_address &from, const read_round_answer &message);

    // seats.cc
    void onJoin(const peer_address &from, const join_request &message);
    void appendMembership(membership members);
    void syncProgress();
    void tickSeats();
    [[nodiscard]] std::optional<membership> nextSeatChange() const;
    [[nodiscard]] bool canChangeMembership() const;
    [[nodiscard]] bool caughtUp(const member &learner) const;
    [[nodiscard]] const member *silentPredecessor(const member &learner) const;
    void handle(const learn_contacts &event);
    [[nodiscard]] bool mayTakeIn(const peer_address &address) const;
    [[nodiscard]] std::vector<peer_address> contacts() const;
    [[nodiscard]] duration silenceOf(const member &one) const;
    [[nodiscard]] const member *silentVoter() const;
    void leaveIfRemoved();

    raft_settings m_settings;
    voter_identity m_self;
    hard_state m_state;
    memory_log m_log;
    raft_role m_role = raft_role::follower;
    time_point m_now;
    std::mt19937_64 m_random;
    std::vector<raft_action> m_actions;
    bool m_restoreAnnounced = false;

    log_index m_commit;
    log_index m_applied;
    log_index m_synced;
    hard_state m_syncedState;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_syncedSequence = 0;
    std::deque<unsynced_persist> m_unsynced;
    std::deque<held_send> m_held;

    // Follower and candidate.
    time_point m_electionDeadline;
    std::optional<peer_address> m_leader;
    voter_identity m_leaderIdentity;
    term_number m_leaderTerm;
    time_point m_leaderContact;
    bool m_preVoting = false;
    std::set<voter_identity> m_votes;
    /** Set after a restart until it is known that the folder is not an older copy. */
    bool m_standingUnknown = false;
    std::set<voter_identity> m_standingAnswers;
    time_point m_nextStandingQuery;
    std::map<voter_identity, known_standing> m_known;

    // Joining.
    time_point m_nextJoin;
    std::set<peer_address> m_contacts;
    std::map<peer_address, voter_identity> m_empty;
    std::map<peer_address, voter_identity> m_promised;
    bool m_founding = false;
    std::uint64_t m_foundingSequence = 0;

    // Leader.
    std::map<voter_identity, follower_progress> m_peers;
    time_point m_nextHeartbeat;
    std::map<peer_address, waiting_joiner> m_joiners;

    // Clients.
    std::deque<waiting_proposal> m_waiting;
    std::size_t m_waitingBytes = 0;
    std::map<log_index, appended_proposal> m_appended;
    std::deque<pending_read> m_reads;
    std::uint64_t m_round = 0;
    std::uint64_t m_confirmedRound = 0;

    // Snapshots.
    log_index m_snapshotAsked;
    std::string m_received;
    log_index m_receivedIndex;
    term_number m_receivedTerm;
    voter_identity m_receivedFrom;
};

} // namespace figcleat::consensus
