#pragma once

#include "figcleat/group/messages.h"

#include <optional>

namespace figcleat::group
{

enum class record_outcome : std::uint8_t {
    recorded,
    /** The log has a higher fencing number for this group. */
    refused,
    /** The leader changed or no quorum answered; the decision may be in the log or get there later. */
    unknown,
};

/** What the replicated log keeps for one group. Deterministic: its changes are applied in the order of the log. */
class decision_register
{
public:
    /** A controller takes over; its fencing number is the index of this entry in the log. */
    void issue(fence_number fence);
    /**
     * Records a decision of the latest controller. A repeated record of an earlier decision of the same controller
     * changes nothing: it would hide the later one from the next controller.
     */
    [[nodiscard]] record_outcome record(const decision &result);

    [[nodiscard]] fence_number fence() const;
    [[nodiscard]] const std::optional<decision> &last() const;

private:
    fence_number m_fence;
    std::optional<decision> m_last;
};

} // namespace figcleat::group
