#include "figcleat/core/overloaded.h"
#include "figcleat/request/pipeline.h"

#include <algorithm>

/** Filter `limit`: bounds the requests of an entry, shares the targets among workspaces and paces retries. */
namespace figcleat::request
{

namespace
{

// A request is looked at again after this time if the retry budget is spent.
constexpr duration budgetPause = std::chrono::milliseconds(100);
// A request that exceeds the present limit of every target is looked at again after this time.
constexpr duration limitPause = std::chrono::milliseconds(250);
// Generated tokens take most of a target's time, prompt tokens are read in batches.
constexpr double promptTokenShare = 0.05;

double queueCost(const work_cost &cost)
{
    return 1.0 + static_cast<double>(cost.generatedTokens.count)
        + promptTokenShare * static_cast<double>(cost.promptTokens.count);
}

} // namespace

const workspace *pipeline::findWorkspace(const workspace_id &name) const
{
    const auto found = std::find_if(m_config->workspaces.begin(), m_config->workspaces.end(),
                                    [&name](const workspace &candidate) { return candidate.name == name; });
    return found == m_config->workspaces.end() ? nullptr : &*found;
}

result_code pipeline::admit(const identified_call &call) const
{
    if (m_requests.size() >= m_options.maxRequestsInProgress) {
        return result_code::queue_full;
    }
    const workspace *sender = findWorkspace(call.workspace);
    const auto found = m_perWorkspace.find(call.workspace);
    const std::uint32_t inProgress = found == m_perWorkspace.end() ? 0 : found->second;
    const bool atLimit = sender != nullptr && inProgress >= sender->maxRequestsInProgress;
    return atLimit ? result_code::workspace_limit : result_code::ok;
}

void pipeline::enqueue(request_in_progress &request)
{
    const workspace *sender = findWorkspace(request.call.workspace);
    queued_request waiting;
    waiting.id = { request.number };
    if (m_options.fairQueue) {
        waiting.workspace = request.call.workspace;
        waiting.weight = sender == nullptr ? 1 : sender->weight;
    }
    waiting.cost = queueCost(request.call.cost);
    waiting.deadline = request.call.deadline;
    request.now = phase::queued;
    const queue_key key { request.call.service, request.call.model };
    carryOut(m_queues[key].step(figcleat::request::enqueue { std::move(waiting) }, m_now));
    serveQueue(key);
}

void pipeline::serveQueue(const queue_key &key)
{
    auto &queue = m_queues[key];
    while (const queued_request *next = queue.front()) {
        auto &request = m_requests.at(next->id.value);
        const auto target = choose(request);
        if (!target && !exceedsEveryLimit(request)) {
            return;
        }
        if (!target) {
            // It waits aside for a target to get warm, and does not hold up the requests behind it.
            queue.step(withdraw { next->id }, m_now);
            request.now = phase::backing_off;
            request.lastRefusal = result_code::target_at_limit;
            request.wakeAt = m_now + limitPause;
            continue;
        }
        carryOut(queue.step(serve {}, m_now));
        startAttempt(request, *target);
    }
}

void pipeline::serveAllQueues()
{
    for (const auto &[key, queue] : m_queues) {
        if (queue.size() > 0) {
            serveQueue(key);
        }
    }
}

void pipeline::carryOut(const std::vector<queue_action> &actions)
{
    for (const auto &action : actions) {
        std::visit(overloaded {
                       [](const release &) {},
                       [this](const turn_away &what) {
                           auto &request = m_requests.at(what.id.value);
                           // It has left the queue, and `end` must not withdraw it once more.
                           request.now = phase::backing_off;
                           end(request, what.code);
                       },
                   },
                   action);
    }
}

void pipeline::backOff(request_in_progress &request, result_code why)
{
    request.now = phase::backing_off;
    request.fence = {};
    request.other = {};
    if (describe(why).ran == execution::not_run) {
        request.lastRefusal = why;
    }
    request.wakeAt = m_now + m_backoff.next(request.retries);
    ++request.retries;
}

void pipeline::retry(request_in_progress &request)
{
    // A spent budget delays retries and does not refuse them: the request may still be in time. A request that was
    // handed to no target yet, for example since its key was held by an attempt that never started, costs none.
    if (request.attempts.handedOver > 0 && !m_retryBudget.takeRetry(m_now)) {
        request.wakeAt = m_now + budgetPause;
        return;
    }
    enqueue(request);
}

} // namespace figcleat::request
