#include "figcleat/group/store-share.h"

#include <algorithm>
#include <vector>

namespace figcleat::group
{

store_bandwidth_allocator::store_bandwidth_allocator(byte_count bytesPerSecond, time_point now)
    : m_rate(bytesPerSecond)
    , m_divided(now)
{
}

void store_bandwidth_allocator::setRequestedBytes(const std::string &claimant, byte_count bytes)
{
    auto &account = m_accounts[claimant];
    account.wanted = std::max<std::int64_t>(bytes.count, 0);
    if (account.wanted == 0 && account.granted == 0) {
        m_accounts.erase(claimant);
    }
}

void store_bandwidth_allocator::advance(time_point now)
{
    // What the store could have delivered while nobody asked is lost; a pause must not cause a burst.
    const duration elapsed = std::min<duration>(now - m_divided, std::chrono::seconds(1));
    m_divided = now;
    auto left
        = static_cast<std::int64_t>(static_cast<double>(m_rate.count) * std::chrono::duration<double>(elapsed).count());
    std::vector<account *> wanting;
    for (auto &[claimant, account] : m_accounts) {
        if (account.wanted > 0) {
            wanting.push_back(&account);
        }
    }
    // Those that want least are served first, so that what they leave goes to the others.
    std::sort(wanting.begin(), wanting.end(), [](const auto *a, const auto *b) { return a->wanted < b->wanted; });
    for (std::size_t i = 0; i < wanting.size(); ++i) {
        const auto share = std::min(wanting[i]->wanted, left / static_cast<std::int64_t>(wanting.size() - i));
        wanting[i]->wanted -= share;
        wanting[i]->granted += share;
        left -= share;
    }
}

byte_count store_bandwidth_allocator::grantedBytes(const std::string &claimant) const
{
    const auto found = m_accounts.find(claimant);
    return { found == m_accounts.end() ? 0 : found->second.granted };
}

bool store_bandwidth_allocator::consumeGrant(const std::string &claimant, byte_count bytes)
{
    const auto found = m_accounts.find(claimant);
    const std::int64_t have = found == m_accounts.end() ? 0 : found->second.granted;
    if (have < bytes.count) {
        return false;
    }
    if (found != m_accounts.end()) {
        found->second.granted -= bytes.count;
    }
    return true;
}

} // namespace figcleat::group
