#pragma once

#include "figcleat/core/clock.h"
#include "figcleat/group/control-messages.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace figcleat::group
{

/**
 * Collects the reports of the agents of several ranks into few messages for their controller, and sums the expert
 * choices in these reports.
 *
 * Reports and results are passed on with the next message, within milliseconds. The sum of the choices is passed on
 * once every rank that reports here has sent choices, or `maxCollectionTime` after the first choices arrived. After a
 * shift of demand all ranks report within one reading, and at other times a delay does no harm.
 */
class report_relay
{
public:
    static constexpr duration maxCollectionTime = std::chrono::milliseconds(300);

    void add(rank_report report, time_point now);
    void add(const rank_result &result);
    /**
     * Returns and removes the reports and results that were collected; those with a fencing number other than `fence`
     * are dropped. Includes the sum of the choices if it is due.
     */
    [[nodiscard]] group_report take(const group_id &group, fence_number fence, time_point now);
    /** Latest time at which the collected choices have to be passed on; empty if there are none. */
    [[nodiscard]] std::optional<time_point> choicesDue() const;

private:
    [[nodiscard]] bool areChoicesDue(time_point now) const;

    std::vector<std::variant<rank_report, rank_result>> m_messages;
    fence_number m_fence;
    expert_lists m_choiceSum;
    time_point m_sumStartedAt {};
    /** Ranks whose choice counts are included in the sum. */
    std::set<rank_number> m_ranksInSum;
    /** For each rank that reports to this relay, the time of its latest report with choices. */
    std::map<rank_number, time_point> m_lastChoicesAt;
};

/** Agent to which each rank reports. */
using relay_plan = std::map<rank_number, peer_address>;

/**
 * Assigns the ranks of a group to relays. In a group of n ranks each relay serves at most sqrt(n) ranks, rounded up, so
 * that there are about as many relays as ranks per relay. All ranks of a relay are in one data centre, so that each sum
 * crosses between data centres only once.
 *
 * @param isSilent true for ranks without recent reports; these report to the controller directly and are no relays
 */
[[nodiscard]] relay_plan planRelays(const std::vector<rank_contact> &contacts, const peer_address &controller,
                                    const std::map<rank_number, bool> &isSilent);

/** Adds `counts` to `sums`; if the number of sets differs, `counts` replaces the sums. */
void addCounts(expert_lists &sums, const expert_lists &counts);

} // namespace figcleat::group
