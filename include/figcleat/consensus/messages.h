#pragma once

#include "figcleat/consensus/types.h"

#include <variant>

/** Messages between voters. */
namespace figcleat::consensus
{

/** Start of every message. A receiver drops messages of another cluster or to another identity. */
struct message_header
{
    cluster_id cluster;
    voter_identity sender;
    voter_identity receiver;
    term_number term;

    MSGPACK_DEFINE(cluster, sender, receiver, term)
};

/** First start: asks a voter whether its folder is empty and, if `promise`, to join the sender's cluster for good. */
struct genesis_request
{
    message_header header;
    bool promise = false;

    MSGPACK_DEFINE(header, promise)
};

struct genesis_answer
{
    message_header header;
    bool promise = false;
    bool granted = false;

    MSGPACK_DEFINE(header, promise, granted)
};

/** A process with a new folder asks for its address's seat. */
struct join_request
{
    message_header header;

    MSGPACK_DEFINE(header)
};

/** Asks for a vote in `candidateTerm`, or with `preVote` whether a vote would be given. */
struct vote_request
{
    message_header header;
    term_number candidateTerm;
    bool preVote = false;
    log_index lastIndex;
    term_number lastTerm;

    MSGPACK_DEFINE(header, candidateTerm, preVote, lastIndex, lastTerm)
};

struct vote_answer
{
    message_header header;
    term_number candidateTerm;
    bool preVote = false;
    bool granted = false;

    MSGPACK_DEFINE(header, candidateTerm, preVote, granted)
};

/** Entries after `previousIndex`; without entries a heartbeat. */
struct append_request
{
    message_header header;
    log_index previousIndex;
    term_number previousTerm;
    log_index commit;
    /** What the receiver has acknowledged in this term. A folder that holds less is older than its word. */
    log_index acknowledged;
    std::vector<log_entry> entries;

    MSGPACK_DEFINE(header, previousIndex, previousTerm, commit, acknowledged, entries)
};

/** `match`: synced and equal to the leader's log up to here; if not accepted, where the leader may try next. */
struct append_answer
{
    message_header header;
    bool accepted = false;
    log_index match;
    /** `previousIndex` of the request, so that the leader can tell a late refusal from one of its last attempt. */
    log_index previousIndex;

    MSGPACK_DEFINE(header, accepted, match, previousIndex)
};

struct snapshot_chunk
{
    message_header header;
    log_index index;
    term_number indexTerm;
    membership members;
    std::uint64_t offset = 0;
    std::uint64_t totalBytes = 0;
    std::string bytes;

    MSGPACK_DEFINE(header, index, indexTerm, members, offset, totalBytes, bytes)
};

/** Next offset that the receiver needs. The whole snapshot is acknowledged with an append_answer. */
struct snapshot_answer
{
    message_header header;
    log_index index;
    std::uint64_t nextOffset = 0;

    MSGPACK_DEFINE(header, index, nextOffset)
};

/** Read-index round: the leader asks whether it still leads. */
struct read_round
{
    message_header header;
    std::uint64_t round = 0;

    MSGPACK_DEFINE(header, round)
};

struct read_round_answer
{
    message_header header;
    std::uint64_t round = 0;

    MSGPACK_DEFINE(header, round)
};

/** A restarted voter asks what the others have heard from it, to find that its folder is an older copy. */
struct standing_query
{
    message_header header;

    MSGPACK_DEFINE(header)
};

/** The highest term in which the asker voted for or acknowledged to the sender, and how far in that term. */
struct standing_answer
{
    message_header header;
    term_number knownTerm;
    log_index knownIndex;

    MSGPACK_DEFINE(header, knownTerm, knownIndex)
};

using raft_message = std::variant<genesis_request, genesis_answer, join_request, vote_request, vote_answer,
                                  append_request, append_answer, snapshot_chunk, snapshot_answer, read_round,
                                  read_round_answer, standing_query, standing_answer>;

} // namespace figcleat::consensus
