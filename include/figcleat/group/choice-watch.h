#pragma once

#include "figcleat/group/engine-rank.h"

namespace figcleat::group
{

/**
 * Collects what the requests of one rank chose, and tells when that differs from what was reported last.
 *
 * A leader hears many ranks, so they report seldom while demand stays as it is, and at once when it has shifted.
 */
class choice_watch
{
public:
    /** Adds the choices of one reading; true if they differ so much from the last report that the leader needs them. */
    [[nodiscard]] bool add(const expert_lists &chosen);
    /** Choices to report: all since the last report, after a shift those of the latest reading alone. */
    [[nodiscard]] expert_lists take();

private:
    [[nodiscard]] bool hasShifted() const;

    expert_lists m_latest;
    expert_lists m_collected;
    expert_lists m_reported;
};

} // namespace figcleat::group
