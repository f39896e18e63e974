#include "figcleat/core/overloaded.h"
#include "figcleat/request/pipeline.h"

/** Filter `place`: chooses a target from hints and waits where there is none with room. */
namespace figcleat::request
{

namespace
{

constexpr duration firstBackoff = std::chrono::milliseconds(10);
constexpr duration longestBackoff = std::chrono::milliseconds(500);

/** Full jitter: retries of many requests spread over the whole interval. */
duration backoff(std::uint32_t retries, std::mt19937_64 &random)
{
    const duration ceiling = std::min(firstBackoff * (1U << std::min(retries, 8U)), longestBackoff);
    return duration(std::uniform_int_distribution<std::int64_t>(1, ceiling.count())(random));
}

} // namespace

void pipeline::place(request_in_progress &request)
{
    placement::placement_request wanted;
    wanted.service = request.call.service;
    wanted.model = request.call.model;
    wanted.cost = request.call.cost;
    wanted.prefixHash = request.call.prefix;
    wanted.excluded = request.refusedBy;
    wanted.maySpill = false;
    const auto chosen = placement::choose(m_targets, wanted, m_policy, m_random, m_now);
    const auto *target = chosen ? std::get_if<placement::target_choice>(&*chosen) : nullptr;
    if (target == nullptr) {
        request.refusedBy.clear();
        wait(request, result_code::no_target);
        return;
    }
    request.target = { target->target, target->address, target->incarnation };
    request.attempt = { m_options.entry, { ++m_lastAttempt } };
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

void pipeline::wait(request_in_progress &request, result_code why)
{
    request.now = phase::waiting;
    request.fence = {};
    if (describe(why).ran == execution::not_run) {
        request.lastRefusal = why;
    }
    request.wakeAt = m_now + backoff(request.retries++, m_random);
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
}

} // namespace figcleat::request
