#pragma once

#include "figcleat/core/clock.h"
#include "figcleat/core/units.h"

#include <map>
#include <string>

namespace figcleat::group
{

/**
 * Divides the bandwidth of the weight store evenly among the claimants with outstanding requests: the rebalancing of
 * each group and the queue of orders to engines.
 *
 * No claimant is granted more than it requests; the unused part of its share goes to the other claimants. Granted bytes
 * do not expire.
 */
class store_bandwidth_allocator
{
public:
    store_bandwidth_allocator(byte_count bytesPerSecond, time_point now);

    /** Sets the bytes that the claimant requests in addition to its granted bytes; 0 or less cancels the request. */
    void setRequestedBytes(const std::string &claimant, byte_count bytes);
    /** Divides the bytes that the store could deliver since the last call, limited to those of one second. */
    void advance(time_point now);
    /** Granted bytes that the claimant has not consumed yet. */
    [[nodiscard]] byte_count grantedBytes(const std::string &claimant) const;
    /** Deducts bytes from the grant of the claimant; returns false and deducts nothing if the grant is too small. */
    [[nodiscard]] bool consumeGrant(const std::string &claimant, byte_count bytes);

private:
    struct account
    {
        std::int64_t requestedBytes = 0;
        std::int64_t grantedBytes = 0;
    };

    byte_count m_bytesPerSecond;
    time_point m_lastAdvance;
    std::map<std::string, account> m_accounts;
};

} // namespace figcleat::group
