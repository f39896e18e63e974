#pragma once

#include "figcleat/core/clock.h"
#include "figcleat/core/units.h"

#include <map>
#include <string>

namespace figcleat::group
{

/**
 * Divides the rate of the weight store evenly among those that want to load: the rebalancing of each group and the
 * orders to engines.
 *
 * Nobody gets more than it wants, and what one does not want the others share. Grants are kept until they are spent.
 */
class store_bandwidth_allocator
{
public:
    store_bandwidth_allocator(byte_count bytesPerSecond, time_point now);

    /** Sets what the claimant wants beyond what it has been granted; 0 removes the wish. */
    void setRequestedBytes(const std::string &claimant, byte_count bytes);
    /** Divides what the store could deliver since the last call, at most one second's worth. */
    void advance(time_point now);
    [[nodiscard]] byte_count grantedBytes(const std::string &claimant) const;
    /** Takes granted bytes; false, and nothing is taken, if too few are granted. */
    [[nodiscard]] bool consumeGrant(const std::string &claimant, byte_count bytes);

private:
    struct account
    {
        std::int64_t wanted = 0;
        std::int64_t granted = 0;
    };

    byte_count m_rate;
    time_point m_divided;
    std::map<std::string, account> m_accounts;
};

} // namespace figcleat::group
