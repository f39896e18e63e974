#pragma once

#include "figcleat/group/engine-rank.h"

namespace figcleat::group
{

/**
 * Collects the experts that the requests of one rank chose, and detects when the choices differ from those last
 * reported.
 *
 * To limit the load of the controller, which receives the reports of many ranks, a rank reports its choices rarely
 * while demand stays the same, and at once when demand has shifted.
 */
class choice_watch
{
public:
    /**
     * Adds the choices of one reading. Returns true if choices have to be reported at once: if this reading differs
     * much from the last report, or if the last report covered the reading in which demand shifted and so may mix old
     * and new demand.
     */
    [[nodiscard]] bool add(const expert_lists &chosen);
    /**
     * Returns the choices to report and starts a new collection: all choices since the last report, or, after a shift,
     * those of the latest reading alone.
     */
    [[nodiscard]] expert_lists take();

private:
    [[nodiscard]] bool hasShifted() const;

    expert_lists m_latest;
    expert_lists m_collected;
    expert_lists m_reported;
    /** The last report may mix the choices of old and new demand. */
    bool m_reportMayMixDemands = false;
};

} // namespace figcleat::group
