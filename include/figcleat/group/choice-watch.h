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
    /** Adds the choices of one reading; true if they differ so much from the last report that the leader needs them.
     * The reading in which demand shifts tells of both demands, so the one after it is needed too. */
    [[nodiscard]] bool add(const expert_lists &chosen);
    /** Choices to report: all since the last report, after a shift those of the latest reading alone. */
    [[nodiscard]] expert_lists take();

private:
    [[nodiscard]] bool hasShifted() const;

    expert_lists m_latest;
    expert_lists m_collected;
    expert_lists m_reported;
    /** The last report may tell of two demands. */
    bool m_isMixed = false;
};

} // namespace figcleat::group
