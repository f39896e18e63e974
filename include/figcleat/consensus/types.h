#pragma once

#include "figcleat/core/ids.h"

#include <cstdint>
#include <string>
#include <vector>

/** What the replicated log consists of. */
namespace figcleat::consensus
{

/** Belongs to a data folder; a folder that was lost or emptied gets a new one. Random, never 0. */
using voter_identity = number_id<struct voter_identity_tag>;
/** Identity of the voter that founded the cluster; 0 in a folder that has joined none. */
using cluster_id = number_id<struct cluster_tag>;
using term_number = number_id<struct term_tag>;

enum class entry_kind : std::uint8_t {
    /** First entry of a leader; has no content. */
    no_op,
    command,
    /** Content is an encoded `membership`. */
    membership,
};

struct log_entry
{
    log_index index;
    term_number term;
    entry_kind kind = entry_kind::no_op;
    std::string bytes;

    bool operator==(const log_entry &) const = default;
    MSGPACK_DEFINE(index, term, kind, bytes)
};

enum class member_role : std::uint8_t {
    voter,
    /** Receives the log but does not count towards a quorum. */
    learner,
};

struct member
{
    peer_address address;
    /** 0 for a learner seat that no process has taken yet. */
    voter_identity identity;
    member_role role = member_role::voter;

    bool operator==(const member &) const = default;
    MSGPACK_DEFINE(address, identity, role)
};

struct membership
{
    std::vector<member> members;

    bool operator==(const membership &) const = default;
    [[nodiscard]] const member *find(const peer_address &address, voter_identity identity) const;
    [[nodiscard]] bool isVoter(voter_identity identity) const;
    [[nodiscard]] std::size_t voterCount() const;
    /** Votes needed for a majority of the voters. */
    [[nodiscard]] std::size_t quorum() const;
    MSGPACK_DEFINE(members)
};

/** What a voter must not forget, besides the log. */
struct hard_state
{
    term_number term;
    /** Voter that got this one's vote in `term`; 0 for none. */
    voter_identity votedFor;
    cluster_id cluster;

    bool operator==(const hard_state &) const = default;
    MSGPACK_DEFINE(term, votedFor, cluster)
};

/** State up to and including an index, in place of the entries. */
struct snapshot
{
    log_index index;
    term_number term;
    membership members;
    std::string bytes;
};

/** Content of a data folder. */
struct restored_state
{
    voter_identity identity;
    hard_state state;
    /** Index 0 if there is none. */
    snapshot base;
    /** Consecutive, first one directly after the snapshot. */
    std::vector<log_entry> entries;
};

} // namespace figcleat::consensus

MSGPACK_ADD_ENUM(figcleat::consensus::entry_kind)
MSGPACK_ADD_ENUM(figcleat::consensus::member_role)
