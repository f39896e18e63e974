#include "figcleat/core/log.h"
#include "figcleat/request/pipeline.h"
#include "figcleat/request/replies.h"

/** Filter `dispatch`: hands an attempt to one target and decides what follows its loss or refusal. */
namespace figcleat::request
{

namespace
{

// The last pieces of an attempt that has finished arrive within this time, or they are lost.
constexpr duration finishGrace = std::chrono::milliseconds(200);

} // namespace

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
    request.wakeAt = m_now + progressTimeout;
    request.missedPiece = request.finishAsked = false;
    if (!request.call.streaming) {
        // The caller has nothing of an earlier run, so that this one need not repeat it.
        request.stream = {};
        request.body.clear();
    }
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
    if (event.code == result_code::duplicate_attempt && event.targetIncarnation == request->target.incarnation) {
        // Says only that this copy of the dispatch started nothing; the attempt goes on.
        return;
    }
    const bool provesNotStarted
        = describe(event.code).ran == execution::not_run && event.targetIncarnation == request->target.incarnation;
    if (!provesNotStarted) {
        // Another incarnation than the one addressed cannot say what became of an earlier copy of the dispatch.
        onAttemptLost(*request, result_code::target_lost);
        return;
    }
    if (event.code == result_code::target_at_limit) {
        m_sharesUntil = m_now + sharingPeriod;
    }
    m_targets.refused(request->target.name, request->target.incarnation);
    request->refusedBy.insert(request->target.name);
    onNotStarted(*request, event.code);
}

void pipeline::onNotStarted(request_in_progress &request, result_code code)
{
    forgetAttempt(request);
    ++request.attempts.provedNotStarted;
    request.lastRefusal = code;
    if (request.call.key) {
        giveBackClaim(request);
        return;
    }
    backOff(request, code);
}

void pipeline::askForProgress(request_in_progress &request)
{
    request.wakeAt = m_now + progressTimeout;
    if (request.missedPiece && request.call.repeatable) {
        // A piece has been missing for a whole period, while later ones wait for it.
        onAttemptLost(request, result_code::stream_broken);
        return;
    }
    request.missedPiece = request.stream.hasGap();
    emit(send_to_target { request.target.address,
                          close_attempt { request.attempt, request.fence, request.target.incarnation } });
}

void pipeline::onProgress(request_in_progress &request, const attempt_closed &closed)
{
    if (closed.targetIncarnation != request.target.incarnation) {
        onAttemptLost(request, result_code::target_lost);
        return;
    }
    switch (closed.state) {
    case attempt_state::never_started:
        // The dispatch was lost, or its refusal; the target now bars it.
        onNotStarted(request, result_code::no_target);
        return;
    case attempt_state::running:
        return;
    case attempt_state::finished:
        break;
    }
    if (!request.finishAsked) {
        // Its last messages may have been overtaken by this one.
        request.finishAsked = true;
        request.wakeAt = m_now + finishGrace;
        return;
    }
    if (closed.code == result_code::ok && request.call.key) {
        request.attempts.ran = true;
        request.status = static_cast<int>(closed.httpStatus);
        request.headers = answerHeaders(request.call.id, {});
        request.body = closed.answer;
        finishWhole(request);
        return;
    }
    onAttemptLost(request, closed.code == result_code::ok ? result_code::stream_broken : closed.code);
}

void pipeline::onAttemptLost(request_in_progress &request, result_code code)
{
    // A frozen engine would hold the next attempt as well.
    request.refusedBy.insert(request.target.name);
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
    if (request.other.fence != fence_number {} && verdictOf(request.attempts) == execution::not_run
        && (request.now == phase::resolving || request.now == phase::settling)) {
        // Another attempt holds the key, and it may have run.
        end(request, result_code::outcome_unknown);
        return;
    }
    const bool neverStarted = verdictOf(request.attempts) == execution::not_run;
    end(request, neverStarted ? request.lastRefusal : result_code::deadline_exceeded);
}

} // namespace figcleat::request
