#include "figcleat/placement/choose.h"

#include "figcleat/core/digest.h"
#include "figcleat/core/overloaded.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>

namespace figcleat::placement
{

namespace
{

using candidate_list = std::vector<const candidate *>;

std::uint64_t mix(std::uint64_t value)
{
    value ^= value >> 33U;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33U;
    value *= 0xc4ceb9fe1a85ec53ULL;
    return value ^ (value >> 33U);
}

const candidate &pickRandom(const candidate_list &from, std::mt19937_64 &random)
{
    return *from[std::uniform_int_distribution<std::size_t>(0, from.size() - 1)(random)];
}

/** The better one of two different random candidates. */
template<typename Score>
const candidate &pickOfTwo(const candidate_list &from, std::mt19937_64 &random, const Score &score)
{
    const auto first = std::uniform_int_distribution<std::size_t>(0, from.size() - 1)(random);
    if (from.size() == 1) {
        return *from[first];
    }
    auto second = std::uniform_int_distribution<std::size_t>(0, from.size() - 2)(random);
    second += second >= first ? 1 : 0;
    return score(*from[first]) >= score(*from[second]) ? *from[first] : *from[second];
}

const candidate &pickLeastOutstanding(const candidate_list &from, std::mt19937_64 &random)
{
    candidate_list least;
    for (const auto *one : from) {
        if (!least.empty() && one->outstanding.requests > least.front()->outstanding.requests) {
            continue;
        }
        if (!least.empty() && one->outstanding.requests < least.front()->outstanding.requests) {
            least.clear();
        }
        least.push_back(one);
    }
    return pickRandom(least, random);
}

std::uint64_t smallestGap(const candidate_list &from)
{
    std::uint64_t smallest = 0;
    for (const auto *one : from) {
        if (one->pieceGapMicros != 0 && (smallest == 0 || one->pieceGapMicros < smallest)) {
            smallest = one->pieceGapMicros;
        }
    }
    return smallest;
}

/**
 * Spare capacity now, if the others have changed their work since the report as this entry has.
 *
 * Without this, entries that share a lagging report all send to the same targets.
 */
double predictedHeadroom(const candidate &one, const work_cost &cost)
{
    constexpr double mostEntries = 16;
    const auto own = one.outstandingAtReport.requests.count;
    const double entries = own <= 0
        ? 1.0
        : std::clamp(static_cast<double>(one.reported.requests.count) / static_cast<double>(own), 1.0, mostEntries);
    const auto change = static_cast<double>(one.outstanding.requests.count - one.outstandingAtReport.requests.count);
    return headroom(one.spare, cost) - (entries - 1) * change;
}

const candidate &pickBySpare(const candidate_list &from, const work_cost &cost, duration halfLife,
                             std::mt19937_64 &random)
{
    const auto gap = smallestGap(from);
    return pickOfTwo(from, random, [&](const candidate &one) {
        const double halvings = static_cast<double>(one.age.count()) / static_cast<double>(halfLife.count());
        const double slowness = gap == 0 || one.pieceGapMicros == 0
            ? 1.0
            : static_cast<double>(one.pieceGapMicros) / static_cast<double>(gap);
        return predictedHeadroom(one, cost) * std::exp2(-halvings) / slowness;
    });
}

double loadShare(const candidate &one)
{
    const auto limit = std::max<std::int64_t>(one.limit.requests.count, 1);
    return 1.0 - static_cast<double>(one.spare.requests.count) / static_cast<double>(limit);
}

const candidate &pickByPrefix(const candidate_list &from, std::uint64_t prefix, double bound)
{
    std::vector<std::pair<std::uint64_t, const candidate *>> order;
    double total = 0;
    for (const auto *one : from) {
        order.emplace_back(mix(prefix ^ checksum(one->target.value)), one);
        total += loadShare(*one);
    }
    std::ranges::sort(order, std::greater {}, &decltype(order)::value_type::first);
    // Without a minimum an idle service would spread every prefix over all targets.
    const double most = std::max(0.25, bound * total / static_cast<double>(from.size()));
    for (const auto &[rank, one] : order) {
        if (loadShare(*one) <= most) {
            return *one;
        }
    }
    return *order.front().second;
}

const candidate &pick(const candidate_list &from, const placement_request &request, policy &how,
                      std::mt19937_64 &random)
{
    return std::visit(
        overloaded {
            [&](round_robin &turn) -> const candidate & { return *from[turn.next++ % from.size()]; },
            [&](least_outstanding & /*policy*/) -> const candidate & { return pickLeastOutstanding(from, random); },
            [&](two_choices_by_load & /*policy*/) -> const candidate & {
                return pickOfTwo(from, random, [](const candidate &one) { return -one.reported.requests.count; });
            },
            [&](two_choices_by_spare &spare) -> const candidate & {
                return pickBySpare(from, request.cost, spare.halfLife, random);
            },
            [&](prefix_affinity &affinity) -> const candidate & {
                return pickByPrefix(from, request.prefixHash, affinity.bound);
            },
        },
        how);
}

template<typename Accept>
candidate_list select(const std::vector<candidate> &all, const Accept &accept)
{
    candidate_list result;
    for (const auto &one : all) {
        if (accept(one)) {
            result.push_back(&one);
        }
    }
    return result;
}

/** Those that are predicted to have room; all of them if none is, since a prediction is no reason to spill. */
candidate_list withPredictedRoom(const candidate_list &from, const work_cost &cost)
{
    candidate_list result;
    std::ranges::copy_if(from, std::back_inserter(result),
                         [&](const candidate *one) { return predictedHeadroom(*one, cost) >= 1.0; });
    return result.empty() ? from : result;
}

choice choiceOf(const candidate &one, bool hasRoom)
{
    return target_choice { one.target, one.address, one.incarnation, hasRoom };
}

} // namespace

expected<choice> choose(const table &targets, const placement_request &request, policy &how, std::mt19937_64 &random,
                        time_point now)
{
    const auto all = targets.candidates(request, now);
    const auto hasRoom = [&](const candidate &one) { return headroom(one.spare, request.cost) >= 1.0; };

    const auto local = select(all, [&](const candidate &one) { return one.local && hasRoom(one); });
    if (!local.empty()) {
        return choiceOf(pick(withPredictedRoom(local, request.cost), request, how, random), true);
    }
    const auto remote
        = select(all, [&](const candidate &one) { return !one.local && request.maySpill && hasRoom(one); });
    if (!remote.empty()) {
        return choiceOf(pick(withPredictedRoom(remote, request.cost), request, how, random), true);
    }
    const auto entries = request.maySpill ? targets.spillEntries(now) : std::vector<spill_entry> {};
    if (!entries.empty()) {
        return entries[std::uniform_int_distribution<std::size_t>(0, entries.size() - 1)(random)];
    }
    const auto full = select(all, [&](const candidate &one) { return one.local || request.maySpill; });
    if (!full.empty()) {
        return choiceOf(pick(full, request, how, random), false);
    }
    return fail(result_code::no_target, "no target of " + request.service.value);
}

} // namespace figcleat::placement
