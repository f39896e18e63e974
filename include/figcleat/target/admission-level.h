#pragma once

#include "figcleat/target/messages.h"

namespace figcleat::target
{

/**
 * The limit in force, between the cold and the full limit.
 *
 * It starts at the cold limit and doubles after enough work that was admitted at the present level, while the
 * target was at least half busy, has finished in its normal time. Time alone never raises it.
 */
class admission_level
{
public:
    explicit admission_level(target_limits limits);

    [[nodiscard]] work_cost limit() const;
    [[nodiscard]] bool isFull() const;
    /** Changes each time the level does; work is evidence only for the level that admitted it. */
    [[nodiscard]] std::uint64_t epoch() const;
    /** Epoch of the last fall; what started before it says nothing new. */
    [[nodiscard]] std::uint64_t fallEpoch() const;
    /** True if the work in progress is evidence for what the target bears at this level. */
    [[nodiscard]] bool isBusy(const work_cost &inProgress) const;

    void setLimits(target_limits limits);
    /** Back to the cold limit; true if the limit was above it. */
    bool fall();
    /** Work of this epoch finished in its normal time; true if the level rose. */
    bool finishedNormally(std::uint64_t epoch);

private:
    target_limits m_limits;
    std::int64_t m_multiple = 1;
    std::int64_t m_finished = 0;
    std::uint64_t m_epoch = 1;
    std::uint64_t m_fallEpoch = 1;
};

} // namespace figcleat::target
