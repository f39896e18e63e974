#include "figcleat/core/log.h"
#include "figcleat/request/pipeline.h"
#include "figcleat/request/replies.h"

/** Calls that may run at most once: the claim on the key before the dispatch and the outcome after it. */
namespace figcleat::request
{

void pipeline::proposeFor(request_in_progress &request, phase next, agreed::command command, duration timeout)
{
    request.now = next;
    m_byProposal.erase(request.proposal);
    request.proposal = ++m_lastProposal;
    request.wakeAt = m_now + timeout;
    m_byProposal.emplace(request.proposal, request.number);
    emit(propose { request.proposal, std::move(command) });
}

void pipeline::on(const proposal_decided &event)
{
    if (event.proposal == m_usageProposal && event.code == result_code::ok) {
        m_usage.onRecorded(m_usageSequence);
        return;
    }
    const auto found = m_byProposal.find(event.proposal);
    if (found == m_byProposal.end()) {
        return;
    }
    auto &request = m_requests.at(found->second);
    m_byProposal.erase(found);
    switch (request.now) {
    case phase::claiming:
        onClaimDecided(request, event);
        return;
    case phase::releasing:
        // A release that was not agreed leaves a claim that no attempt can use any more; the next resend of
        // the key finds that its attempt was refused and releases it then.
        if (event.code != result_code::ok) {
            end(request, result_code::agreement_unavailable);
        } else {
            backOff(request, request.lastRefusal);
        }
        return;
    case phase::settling:
        onSettleDecided(request);
        return;
    case phase::queued:
    case phase::backing_off:
    case phase::dispatched:
    case phase::resolving:
        return;
    }
}

void pipeline::onClaimDecided(request_in_progress &request, const proposal_decided &event)
{
    if (event.code != result_code::ok) {
        // The claim may still be granted, but this attempt is never dispatched.
        end(request, result_code::agreement_unavailable);
        return;
    }
    // The code of a held or settled key tells of the attempt that has it, so that only the status decides here.
    const auto &result = event.result;
    if (result.status == agreed::claim_status::refused) {
        end(request, result.code == result_code::ok ? result_code::agreement_unavailable : result.code);
        return;
    }
    const bool heldByThisAttempt
        = result.status == agreed::claim_status::held && result.record.attempt == request.attempt;
    if (result.status == agreed::claim_status::granted || heldByThisAttempt) {
        request.fence = heldByThisAttempt ? result.record.fence : result.fence;
        if (!isTargetUsable(request)) {
            // The target left, was taken out or fell silent while the log decided; the call was not handed over.
            forgetAttempt(request);
            request.lastRefusal = result_code::no_target;
            giveBackClaim(request);
            return;
        }
        sendDispatch(request);
        return;
    }
    forgetAttempt(request);
    if (result.status == agreed::claim_status::settled) {
        replyRecorded(request, result.record);
        return;
    }
    resolve(request, result.record);
}

void pipeline::giveBackClaim(request_in_progress &request)
{
    proposeFor(request, phase::releasing, agreed::release_claim { *request.call.key, request.fence },
               request.call.deadline - m_now);
}

void pipeline::resolve(request_in_progress &request, const agreed::claim_record &other)
{
    request.other = other;
    const auto holder = m_targets.find(other.target);
    if (holder == nullptr) {
        end(request, result_code::outcome_unknown);
        return;
    }
    request.now = phase::resolving;
    request.wakeAt = m_now + resolveTimeout;
    emit(send_to_target { holder->address, close_attempt { other.attempt, other.fence, other.targetIncarnation } });
}

void pipeline::on(const attempt_closed &event)
{
    if (auto *own = findAttempt(event.attempt); own != nullptr && own->now == phase::dispatched) {
        onProgress(*own, event);
    }
    for (auto &[id, request] : m_requests) {
        if (!request.ended && request.now == phase::resolving && request.other.attempt == event.attempt) {
            settleOther(request, event);
        }
    }
}

void pipeline::settleOther(request_in_progress &request, const attempt_closed &closed)
{
    const digest key = request.call.key.value_or(digest {});
    if (closed.targetIncarnation != request.other.targetIncarnation) {
        // The incarnation that may have run the call is gone, and its record with it.
        agreed::settle_claim lost;
        lost.key = key;
        lost.fence = request.other.fence;
        lost.code = result_code::outcome_unknown;
        request.other.code = result_code::outcome_unknown;
        proposeFor(request, phase::settling, std::move(lost), settleTimeout);
        return;
    }
    switch (closed.state) {
    case attempt_state::never_started:
        proposeFor(request, phase::releasing, agreed::release_claim { key, request.other.fence },
                   request.call.deadline - m_now);
        return;
    case attempt_state::running:
        end(request, result_code::still_running);
        return;
    case attempt_state::finished:
        break;
    }
    agreed::settle_claim known;
    known.key = key;
    known.fence = request.other.fence;
    const bool ran = closed.code == result_code::ok || closed.code == result_code::answer_not_kept;
    known.code = ran ? result_code::ok : result_code::outcome_unknown;
    known.httpStatus = closed.httpStatus;
    known.answer = closed.answer;
    // A digest of zeros stands for an answer that the target no longer has.
    known.answerDigest = closed.code == result_code::ok ? sha256(closed.answer) : digest {};
    request.other.code = known.code;
    request.other.httpStatus = known.httpStatus;
    request.other.answer = known.answer;
    request.other.answerDigest = known.answerDigest;
    proposeFor(request, phase::settling, std::move(known), settleTimeout);
}

void pipeline::onSettleDecided(request_in_progress &request)
{
    if (request.other.fence != fence_number {}) {
        replyRecorded(request, request.other);
        return;
    }
    replyWhole(request);
}

void pipeline::replyRecorded(request_in_progress &request, const agreed::claim_record &record)
{
    if (record.code != result_code::ok) {
        end(request, record.code);
        return;
    }
    if (sha256(record.answer) != record.answerDigest) {
        end(request, result_code::answer_not_kept);
        return;
    }
    request.attempts.ran = true;
    emit(reply { request.exchange, static_cast<int>(record.httpStatus), recordedHeaders(request.call.id, record.answer),
                 record.answer });
    end(request, result_code::ok);
}

} // namespace figcleat::request
