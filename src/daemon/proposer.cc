#include "figcleat/daemon/proposer.h"

namespace figcleat
{

namespace
{

// A voter that knows no leader is asked again after about an election.
constexpr duration retryPause = std::chrono::milliseconds(100);

bool mayBeRetried(result_code code)
{
    return code == result_code::not_leader || code == result_code::leadership_lost || code == result_code::no_quorum
        || code == result_code::proposal_queue_full;
}

} // namespace

proposer::proposer(std::vector<peer_address> voters)
    : m_voters(voters.begin(), voters.end())
{
}

std::vector<proposer_action> proposer::submit(std::uint64_t id, agreed::command command, time_point now)
{
    std::vector<proposer_action> actions;
    if (m_pending.size() >= maxProposalsInProgress) {
        actions.emplace_back(decided { id, result_code::proposal_queue_full, {} });
        return actions;
    }
    auto &open = m_pending[id];
    open.command = std::move(command);
    open.deadline = now + proposalTimeout;
    ask(id, open, now, actions);
    return actions;
}

peer_address proposer::next(const peer_address &after) const
{
    if (m_voters.empty()) {
        return {};
    }
    const auto found = m_voters.upper_bound(after);
    return found == m_voters.end() ? *m_voters.begin() : *found;
}

void proposer::ask(std::uint64_t id, pending &open, time_point now, std::vector<proposer_action> &actions)
{
    open.asked = m_leader && *m_leader != open.asked ? *m_leader : next(open.asked);
    open.askedAt = now;
    if (!open.asked.empty()) {
        actions.emplace_back(send_proposal { open.asked, id, open.command });
    }
}

std::vector<proposer_action> proposer::onAnswer(const peer_address &from, std::uint64_t id, result_code code,
                                                const agreed::outcome &result, const peer_address &leader,
                                                time_point now)
{
    std::vector<proposer_action> actions;
    const auto found = m_pending.find(id);
    if (found == m_pending.end()) {
        return actions;
    }
    if (code == result_code::ok) {
        m_leader = from;
    } else if (mayBeRetried(code) && now < found->second.deadline) {
        if (code == result_code::not_leader) {
            m_leader = leader.empty() ? std::nullopt : std::optional(leader);
        }
        const bool otherLeaderKnown = m_leader && *m_leader != from;
        if (otherLeaderKnown) {
            ask(id, found->second, now, actions);
        } else {
            found->second.askedAt = now - voterTimeout + retryPause;
        }
        return actions;
    }
    m_pending.erase(found);
    actions.emplace_back(decided { id, code, result });
    return actions;
}

std::vector<proposer_action> proposer::tick(time_point now)
{
    std::vector<proposer_action> actions;
    for (auto it = m_pending.begin(); it != m_pending.end();) {
        if (now >= it->second.deadline) {
            actions.emplace_back(decided { it->first, result_code::agreement_unavailable, {} });
            it = m_pending.erase(it);
            continue;
        }
        if (now - it->second.askedAt >= voterTimeout) {
            if (m_leader == it->second.asked) {
                m_leader.reset();
            }
            ask(it->first, it->second, now, actions);
        }
        ++it;
    }
    return actions;
}

void proposer::onVoter(const peer_address &voter, const peer_address &leader)
{
    m_voters.insert(voter);
    if (!leader.empty()) {
        m_leader = leader;
    }
}

void proposer::onSilent(const peer_address &voter)
{
    if (m_leader == voter) {
        m_leader.reset();
    }
}

std::optional<peer_address> proposer::leader() const
{
    return m_leader;
}

} // namespace figcleat
