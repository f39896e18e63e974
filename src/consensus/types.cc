#include "figcleat/consensus/types.h"

#include <algorithm>

namespace figcleat::consensus
{

const member *membership::find(const peer_address &address, voter_identity identity) const
{
    const auto found = std::find_if(members.begin(), members.end(), [&](const member &one) {
        return one.address == address && one.identity == identity;
    });
    return found == members.end() ? nullptr : &*found;
}

bool membership::isVoter(voter_identity identity) const
{
    return std::any_of(members.begin(), members.end(), [identity](const member &one) {
        return one.role == member_role::voter && one.identity == identity;
    });
}

std::size_t membership::voterCount() const
{
    return static_cast<std::size_t>(std::count_if(members.begin(), members.end(),
                                                  [](const member &one) { return one.role == member_role::voter; }));
}

std::size_t membership::quorum() const
{
    return voterCount() / 2 + 1;
}

} // namespace figcleat::consensus
