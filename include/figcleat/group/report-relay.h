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
 * Collects what the agents of some ranks say, so that their controller gets few messages and the sum of the choices.
 *
 * News are passed on within milliseconds. Choices wait until every rank that reports here has told of them, at most for
 * `longestCollection`: after a shift of demand all ranks report within one reading, and otherwise there is no hurry.
 */
class report_relay
{
public:
    static constexpr duration longestCollection = std::chrono::milliseconds(300);

    void add(rank_report report, time_point now);
    void add(const rank_result &result);
    /** What was collected under `fence`; what came under another one is dropped. */
    [[nodiscard]] group_report take(const group_id &group, fence_number fence, time_point now);
    /** When collected choices have to be passed on at the latest; nothing if there are none. */
    [[nodiscard]] std::optional<time_point> choicesDue() const;

private:
    [[nodiscard]] bool areChoicesDue(time_point now) const;

    std::vector<std::variant<rank_report, rank_result>> m_news;
    fence_number m_fence;
    expert_lists m_chosen;
    time_point m_collectedSince {};
    /** Ranks whose choices are in the sum. */
    std::set<rank_number> m_counted;
    /** When each rank that reports here told of its choices last. */
    std::map<rank_number, time_point> m_reporters;
};

/** The agent to which each rank reports. */
using relay_plan = std::map<rank_number, peer_address>;

/**
 * Shares the ranks of a group out among relays: about as many as each relay has ranks, of one data centre each, so that
 * sums cross between data centres once.
 *
 * @param isSilent ranks that have not been heard lately report to the controller itself and relay for nobody
 */
[[nodiscard]] relay_plan planRelays(const std::vector<rank_contact> &contacts, const peer_address &controller,
                                    const std::map<rank_number, bool> &isSilent);

/** Adds counts of the same shape; counts of another shape replace the sums. */
void addCounts(expert_lists &sums, const expert_lists &counts);

} // namespace figcleat::group
