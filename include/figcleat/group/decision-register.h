#pragma once

#include "figcleat/group/messages.h"

#include <optional>

namespace figcleat::group
{

enum class record_outcome : std::uint8_t {
    recorded,
    /** The log holds a higher fencing number for this group. */
    refused,
    /** The leader changed or no quorum answered; the decision may be in the log already, or be added to it later. */
    unknown,
};

/**
 * State of one group in the replicated log. Its changes are applied in the order of the log, so every replica reaches
 * the same state.
 */
class decision_register
{
public:
    /** Registers a new controller, whose fencing number is the index of this entry in the log. */
    void issue(fence_number fence);
    /**
     * Records a decision of the latest controller. Recording an earlier decision of this controller again changes
     * nothing, as it would otherwise hide the later decision from the next controller.
     */
    [[nodiscard]] record_outcome record(const decision &result);

    [[nodiscard]] fence_number fence() const;
    [[nodiscard]] const std::optional<decision> &last() const;

private:
    fence_number m_fence;
    std::optional<decision> m_last;
};

} // namespace figcleat::group
