#include "figcleat/core/log.h"
#include "figcleat/request/pipeline.h"

/** Filter `dispatch`: hands an attempt to one target and decides what follows its loss or refusal. */
namespace figcleat::request
{

void pipeline::sendDispatch(request_in_progress &request)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(request.call.deadline - m_now);
    dispatch message;
    message.attempt = request.attempt;
    message.request = request.call.id;
    message.workspace = request.call.workspace;
    message.targetIncarnation = request.target.incarnation;
    message.cost = request.call.cost;
    message.priority = request.call.priority;
    message.remainingMs = static_cast<std::uint64_t>(std::max<std::int64_t>(left.count(), 0));
    message.claim = { request.fence, request.call.key.value_or(digest {}) };
    message.call = request.call.call;
    request.now = phase::dispatched;
    request.stream.restart(request.attempt);
    ++request.attempts.handedOver;
    logFor(part::request)
        ->debug("Request {} goes to target {} as attempt {}.", request.call.id.value, request.target.name.value,
                request.attempt.number.value);
    emit(send_to_target { request.target.address, std::move(message) });
}

void pipeline::forgetAttempt(request_in_progress &request)
{
    if (m_byAttempt.erase(request.attempt) > 0) {
        m_targets.ended(request.target.name, request.target.incarnation, request.call.cost);
        m_roomFreed = true;
    }
}

void pipeline::cancelAttempt(request_in_progress &request)
{
    if (request.now == phase::dispatched) {
        emit(send_to_target { request.target.address, attempt_cancel { request.attempt } });
    }
}

void pipeline::on(const attempt_refused &event)
{
    request_in_progress *request = findAttempt(event.attempt);
    if (request == nullptr || request->now != phase::dispatched) {
        return;
    }
    const bool provesNotStarted
        = describe(event.code).ran == execution::not_run && event.targetIncarnation == request->target.incarnation;
    if (!provesNotStarted) {
        // Another incarnation than the one addressed cannot say what became of an earlier copy of the dispatch.
        onAttemptLost(*request, result_code::target_lost);
        return;
    }
    forgetAttempt(*request);
    ++request->attempts.provedNotStarted;
    m_targets.refused(request->target.name, request->target.incarnation);
    request->refusedBy.insert(request->target.name);
    request->lastRefusal = event.code;
    if (request->call.key) {
        proposeFor(*request, phase::releasing, agreed::release_claim { *request->call.key, request->fence },
                   request->call.deadline - m_now);
        return;
    }
    backOff(*request, event.code);
}

void pipeline::onAttemptLost(request_in_progress &request, result_code code)
{
    cancelAttempt(request);
    forgetAttempt(request);
    if (!request.call.repeatable || (request.stream.hasStarted() && !request.stream.canRestart())) {
        end(request, code);
        return;
    }
    backOff(request, code);
}

void pipeline::onDeadline(request_in_progress &request)
{
    cancelAttempt(request);
    const bool neverStarted = verdictOf(request.attempts) == execution::not_run;
    end(request, neverStarted ? request.lastRefusal : result_code::deadline_exceeded);
}

} // namespace figcleat::request
