#include "figcleat/group/store-share.h"

#include <algorithm>
#include <vector>

namespace figcleat::group
{

store_bandwidth_allocator::store_bandwidth_allocator(byte_count bytesPerSecond, time_point now)
    : m_bytesPerSecond(bytesPerSecond)
    , m_lastAdvance(now)
{
}

void store_bandwidth_allocator::setRequestedBytes(const std::string &claimant, byte_count bytes)
{
    auto &account = m_accounts[claimant];
    account.requestedBytes = std::max<std::int64_t>(bytes.count, 0);
    if (account.requestedBytes == 0 && account.grantedBytes == 0) {
        m_accounts.erase(claimant);
    }
}

void store_bandwidth_allocator::advance(time_point now)
{
    // Unused bandwidth is dropped and the elapsed time is capped: a large grant after a pause would cause a burst.
    const duration elapsed = std::min<duration>(now - m_lastAdvance, std::chrono::seconds(1));
    m_lastAdvance = now;
    auto availableBytes = static_cast<std::int64_t>(static_cast<double>(m_bytesPerSecond.count)
                                                    * std::chrono::duration<double>(elapsed).count());
    std::vector<account *> requesters;
    for (auto &[claimant, account] : m_accounts) {
        if (account.requestedBytes > 0) {
            requesters.push_back(&account);
        }
    }
    // Small requests are granted first, so that the unused part of their shares goes to the larger requests.
    std::sort(requesters.begin(), requesters.end(),
              [](const auto *a, const auto *b) { return a->requestedBytes < b->requestedBytes; });
    for (std::size_t i = 0; i < requesters.size(); ++i) {
        const auto share = std::min(requesters[i]->requestedBytes,
                                    availableBytes / static_cast<std::int64_t>(requesters.size() - i));
        requesters[i]->requestedBytes -= share;
        requesters[i]->grantedBytes += share;
        availableBytes -= share;
    }
}

byte_count store_bandwidth_allocator::grantedBytes(const std::string &claimant) const
{
    const auto found = m_accounts.find(claimant);
    return { found == m_accounts.end() ? 0 : found->second.grantedBytes };
}

bool store_bandwidth_allocator::consumeGrant(const std::string &claimant, byte_count bytes)
{
    const auto found = m_accounts.find(claimant);
    const std::int64_t available = found == m_accounts.end() ? 0 : found->second.grantedBytes;
    if (available < bytes.count) {
        return false;
    }
    if (found != m_accounts.end()) {
        found->second.grantedBytes -= bytes.count;
    }
    return true;
}

} // namespace figcleat::group
