#include "figcleat/group/engine-rank.h"

#include <algorithm>

namespace figcleat::group
{

expert_lists choicesSince(const expert_lists &latest, const expert_lists &earlier)
{
    expert_lists since = latest;
    for (std::size_t set = 0; set < latest.size(); ++set) {
        const bool hasEarlierCounts = set < earlier.size() && earlier[set].size() == latest[set].size();
        for (std::size_t expert = 0; expert < latest[set].size(); ++expert) {
            // Without an earlier reading the period that the counts cover is unknown, so the result is 0.
            const auto before = hasEarlierCounts ? earlier[set][expert] : latest[set][expert];
            since[set][expert] -= std::min(before, since[set][expert]);
        }
    }
    return since;
}

} // namespace figcleat::group
