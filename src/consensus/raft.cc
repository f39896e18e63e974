#include "figcleat/consensus/raft.h"

#include "raft-core.h"

namespace figcleat::consensus
{

std::string_view toString(raft_role role)
{
    switch (role) {
    case raft_role::joining:
        return "joining";
    case raft_role::learner:
        return "learner";
    case raft_role::follower:
        return "follower";
    case raft_role::candidate:
        return "candidate";
    case raft_role::leader:
        return "leader";
    case raft_role::halted:
        return "halted";
    }
    return "unknown";
}

raft::raft(raft_settings settings, restored_state state, time_point now)
    : m_core(std::make_unique<raft_core>(std::move(settings), std::move(state), now))
{
}

raft::~raft() = default;
raft::raft(raft &&other) noexcept = default;
raft &raft::operator=(raft &&other) noexcept = default;

std::vector<raft_action> raft::step(const raft_event &event, time_point now)
{
    return m_core->step(event, now);
}

raft_status raft::status() const
{
    return m_core->status();
}

std::vector<log_entry> raft::entries() const
{
    const auto &log = m_core->log();
    return log.slice(log.first(), SIZE_MAX, SIZE_MAX);
}

} // namespace figcleat::consensus
