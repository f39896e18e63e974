#include "raft-core.h"

#include "figcleat/core/invariant.h"
#include "figcleat/wire/codec.h"

#include <algorithm>

namespace figcleat::consensus
{

namespace
{

bool hasAddress(const membership &members, const peer_address &address)
{
    return std::any_of(members.members.begin(), members.members.end(),
                       [&address](const member &one) { return one.address == address; });
}

membership without(membership members, const member &gone)
{
    std::erase(members.members, gone);
    return members;
}

membership withLearner(membership members, const peer_address &address, voter_identity identity)
{
    std::erase_if(members.members,
                  [&address](const member &one) { return one.address == address && one.role == member_role::learner; });
    members.members.push_back({ address, identity, member_role::learner });
    return members;
}

membership promoted(membership members, const member &learner)
{
    std::replace(members.members.begin(), members.members.end(), learner,
                 member { learner.address, learner.identity, member_role::voter });
    return members;
}

} // namespace

void raft_core::onJoin(const peer_address &from, const join_request &message)
{
    // Only a known address may come back with a new identity; operators open seats for other addresses.
    const bool isKnown = hasAddress(m_log.members(), from) || m_settings.automaticSeats > 0;
    if (m_role == raft_role::leader && isKnown) {
        m_joiners[from] = { message.header.sender, m_now };
    }
}

void raft_core::handle(const learn_contacts &event)
{
    constexpr std::size_t maxContacts = 64;
    for (const auto &one : event.addresses) {
        if (m_contacts.size() < maxContacts) {
            m_contacts.insert(one);
        }
    }
}

/** Every address at which a leader may be. */
std::vector<peer_address> raft_core::contacts() const
{
    std::set<peer_address> all = m_contacts;
    all.insert(m_settings.voters.begin(), m_settings.voters.end());
    for (const auto &one : m_log.members().members) {
        all.insert(one.address);
    }
    all.erase(m_settings.self);
    return { all.begin(), all.end() };
}

bool raft_core::mayTakeIn(const peer_address &address) const
{
    const auto &members = m_log.members();
    return hasAddress(members, address) || (m_settings.automaticSeats > 0 && members.members.size() < maxVoters);
}

duration raft_core::silenceOf(const member &one) const
{
    const auto peer = m_peers.find(one.identity);
    return peer == m_peers.end() ? duration {} : m_now - peer->second.lastContact;
}

const member *raft_core::silentVoter() const
{
    for (const auto &one : m_log.members().members) {
        if (one.role == member_role::voter && one.identity != m_self && silenceOf(one) >= seatSilence) {
            return &one;
        }
    }
    return nullptr;
}

/** One change at a time, and none before this term has committed an entry: else two majorities could miss each other.
 */
bool raft_core::canChangeMembership() const
{
    return m_role == raft_role::leader && committedInTerm() && m_log.membersIndex() <= m_commit;
}

void raft_core::appendMembership(membership members)
{
    ensure(canChangeMembership(), result_code::invariant_one_leader, "two membership changes at a time");
    appendEntry(entry_kind::membership, encode(members));
    syncProgress();
}

/** Makes the table of followers match the latest membership. */
void raft_core::syncProgress()
{
    const auto &members = m_log.members();
    std::erase_if(m_peers,
                  [&members](const auto &peer) { return members.find(peer.second.address, peer.first) == nullptr; });
    for (const auto &one : members.members) {
        if (one.identity == m_self || one.identity.value == 0 || m_peers.contains(one.identity)) {
            continue;
        }
        follower_progress fresh;
        fresh.address = one.address;
        fresh.next = m_log.last().next();
        fresh.lastContact = m_now;
        m_peers.emplace(one.identity, std::move(fresh));
    }
}

void raft_core::tickSeats()
{
    if (!canChangeMembership() || !quorumHeardWithin(quorumFreshness)) {
        return;
    }
    if (auto next = nextSeatChange()) {
        appendMembership(*std::move(next));
    }
}

/** Steps of a replacement: new identity as learner, old identity out, learner becomes voter. */
std::optional<membership> raft_core::nextSeatChange() const
{
    const auto &members = m_log.members();
    for (const auto &[address, joiner] : m_joiners) {
        const bool isWaiting = m_now - joiner.askedAt < joinerSilence;
        if (isWaiting && mayTakeIn(address) && members.find(address, joiner.identity) == nullptr) {
            return withLearner(members, address, joiner.identity);
        }
    }
    const bool isAutomatic = m_settings.automaticSeats > 0;
    for (const auto &one : members.members) {
        if (one.role != member_role::learner) {
            continue;
        }
        if (isAutomatic && one.identity.value != 0 && silenceOf(one) >= learnerSilence) {
            return without(members, one);
        }
        if (!caughtUp(one)) {
            continue;
        }
        if (const auto *old = silentPredecessor(one)) {
            return without(members, *old);
        }
        if (isAutomatic && members.voterCount() >= m_settings.automaticSeats) {
            if (const auto *silent = silentVoter()) {
                return without(members, *silent);
            }
            continue;
        }
        const bool isSeatTaken
            = std::any_of(members.members.begin(), members.members.end(), [&one](const member &other) {
                  return other.role == member_role::voter && other.address == one.address;
              });
        if (!isSeatTaken && members.voterCount() < maxVoters) {
            return promoted(members, one);
        }
    }
    return std::nullopt;
}

bool raft_core::caughtUp(const member &learner) const
{
    const auto peer = m_peers.find(learner.identity);
    return peer != m_peers.end() && peer->second.match.value > 0
        && peer->second.match.value + learnerLagEntries >= m_log.last().value
        && m_now - peer->second.lastContact < quorumFreshness;
}

/** Voter at the learner's address with the identity of a lost folder. */
const member *raft_core::silentPredecessor(const member &learner) const
{
    for (const auto &one : m_log.members().members) {
        const auto peer = m_peers.find(one.identity);
        if (one.role == member_role::voter && one.address == learner.address && peer != m_peers.end()
            && m_now - peer->second.lastContact >= quorumTimeout) {
            return &one;
        }
    }
    return nullptr;
}

void raft_core::handle(const change_membership &event)
{
    if (m_role != raft_role::leader) {
        m_actions.emplace_back(reply_propose { event.id, result_code::not_leader, {} });
        return;
    }
    const auto &members = m_log.members();
    const bool isMember = hasAddress(members, event.address);
    if (isMember == (event.change == membership_change::add)) {
        m_actions.emplace_back(reply_propose { event.id, result_code::ok, m_log.membersIndex() });
        return;
    }
    if (!canChangeMembership() || !quorumHeardWithin(quorumFreshness)) {
        m_actions.emplace_back(reply_propose { event.id, result_code::no_quorum, {} });
        return;
    }
    auto next = members;
    if (event.change == membership_change::add) {
        next = withLearner(std::move(next), event.address, {});
    } else {
        std::erase_if(next.members, [&event](const member &one) { return one.address == event.address; });
    }
    const bool isSizeAllowed = next.voterCount() >= 1 && next.members.size() <= maxVoters;
    const bool isOneStep = next.voterCount() + 1 >= members.voterCount();
    if (!isSizeAllowed || !isOneStep) {
        m_actions.emplace_back(reply_propose { event.id, result_code::proposal_queue_full, {} });
        return;
    }
    appendMembership(std::move(next));
    m_appended[m_log.last()] = { event.id, m_now + proposalDeadline };
}

void raft_core::leaveIfRemoved()
{
    if (m_role == raft_role::leader && !isSelfVoter() && m_log.membersIndex() <= m_commit) {
        stepDown(result_code::leadership_lost, "this voter was removed");
    }
}

} // namespace figcleat::consensus
