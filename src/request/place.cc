#include "figcleat/request/pipeline.h"

#include <algorithm>

/** Filter `place`: chooses a target from hints. */
namespace figcleat::request
{

namespace
{

/** Evenly spread between 0 and 1, the same for one report at one entry; decides on fractions of a request. */
double lotOf(std::uint64_t sequence, incarnation_id entry)
{
    std::uint64_t value = (sequence + 1) * 0x9e3779b97f4a7c15ULL ^ entry.value * 0xff51afd7ed558ccdULL;
    value ^= value >> 33U;
    value *= 0xc4ceb9fe1a85ec53ULL;
    constexpr double scale = 1.0 / (1U << 24U);
    return static_cast<double>(value >> 40U) * scale;
}

} // namespace

placement::placement_request pipeline::placementOf(const request_in_progress &request) const
{
    placement::placement_request wanted;
    wanted.service = request.call.service;
    wanted.model = request.call.model;
    wanted.cost = request.call.cost;
    wanted.prefixHash = request.call.prefix;
    return wanted;
}

bool pipeline::isTargetUsable(const request_in_progress &request) const
{
    const auto all = m_targets.candidates(placementOf(request), m_now);
    return std::ranges::any_of(all, [&request](const placement::candidate &one) {
        return one.target == request.target.name && one.incarnation == request.target.incarnation;
    });
}

std::optional<placement::target_choice> pipeline::choose(request_in_progress &request)
{
    auto wanted = placementOf(request);
    wanted.excluded = request.refusedBy;
    while (true) {
        const auto chosen = placement::choose(m_targets, wanted, m_policy, m_random, m_now);
        const auto *target = chosen ? std::get_if<placement::target_choice>(&*chosen) : nullptr;
        if (target == nullptr || !target->hasRoom) {
            if (target == nullptr) {
                // Each target may be asked again once all have refused.
                request.refusedBy.clear();
            }
            return std::nullopt;
        }
        if (!isShareTaken(target->target)) {
            return *target;
        }
        wanted.excluded.insert(target->target);
    }
}

bool pipeline::exceedsEveryLimit(const request_in_progress &request) const
{
    const auto all = m_targets.candidates(placementOf(request), m_now);
    return !all.empty() && std::ranges::none_of(all, [&request](const placement::candidate &one) {
        return placement::headroom(one.limit, request.call.cost) >= 1.0;
    });
}

bool pipeline::isShareTaken(const target_id &target) const
{
    const auto *known = m_targets.find(target);
    if (known == nullptr || m_now >= m_sharesUntil) {
        return false;
    }
    // Every entry reads the same report, so that together they would fill the reported room several times.
    const std::int64_t spare = known->report.spare.requests.count;
    const std::int64_t all = known->report.limit.requests.count - spare;
    const std::int64_t own = known->outstandingAtReport.requests.count;
    // Without work there an entry counts as half a request, so that it is not shut out.
    const double share = static_cast<double>(spare) * (static_cast<double>(own) + 0.5)
        / static_cast<double>(std::max<std::int64_t>(all, 1));
    const double begun = static_cast<double>(known->outstanding.requests.count - own);
    return begun + lotOf(known->report.sequence, m_options.entry) >= share;
}

void pipeline::startAttempt(request_in_progress &request, const placement::target_choice &chosen)
{
    request.target = { chosen.target, chosen.address, chosen.incarnation };
    request.attempt = { m_options.entry, { ++m_lastAttempt } };
    m_byAttempt.emplace(request.attempt, request.number);
    m_targets.began(request.target.name, request.target.incarnation, request.call.cost);
    if (!request.call.key) {
        sendDispatch(request);
        return;
    }
    agreed::claim_key claim;
    claim.key = *request.call.key;
    claim.call = request.call.content;
    claim.workspace = request.call.workspace;
    claim.service = request.call.service;
    claim.target = request.target.name;
    claim.targetIncarnation = request.target.incarnation;
    claim.attempt = request.attempt;
    proposeFor(request, phase::claiming, std::move(claim), request.call.deadline - m_now);
}

void pipeline::onTargetLost(const placement::lost_target &lost)
{
    for (auto &[number, request] : m_requests) {
        const bool wasThere = !request.ended && request.now == phase::dispatched && request.target.name == lost.target
            && request.target.incarnation == lost.incarnation;
        if (wasThere) {
            onAttemptLost(request, result_code::target_lost);
        }
    }
}

void pipeline::on(const target_announced &event)
{
    if (const auto lost = m_targets.heard(event.announced, event.from, m_now)) {
        onTargetLost(*lost);
    }
    serveAllQueues();
}

} // namespace figcleat::request
