#include "figcleat/agreed/claim-table.h"
#include "figcleat/core/invariant.h"
#include "figcleat/request/pipeline.h"
#include "figcleat/request/replies.h"

/** Filter `stream`: passes the pieces of an answer to the caller, in order and from one attempt only. */
namespace figcleat::request
{

namespace
{

// A whole answer that is not streamed is held until its end is known.
constexpr std::size_t maxHeldAnswerBytes = std::size_t { 1024 } * 1024;

} // namespace

void pipeline::on(const answer_piece &event)
{
    request_in_progress *request = findAttempt(event.attempt);
    if (request == nullptr || request->now != phase::dispatched) {
        return;
    }
    request->attempts.ran = true;
    if (!request->stream.hasGap()) {
        request->wakeAt = m_now + progressTimeout;
    }
    forward(*request, request->stream.onPiece(event));
}

void pipeline::on(const attempt_finished &event)
{
    request_in_progress *request = findAttempt(event.attempt);
    if (request == nullptr || request->now != phase::dispatched) {
        return;
    }
    request->generatedTokens = event.generatedTokens;
    if (event.code != result_code::ok) {
        onAttemptLost(*request, event.code);
        return;
    }
    request->attempts.ran = true;
    forward(*request, request->stream.onFinished(event));
}

void pipeline::forward(request_in_progress &request, const stream_progress &progress)
{
    if (progress.code != result_code::ok) {
        cancelAttempt(request);
        end(request, progress.code);
        return;
    }
    if (progress.starts) {
        request.status = progress.httpStatus;
        request.headers = answerHeaders(request.call.id, progress.headers);
        if (request.call.streaming) {
            emit(start_stream { request.exchange, request.status, request.headers });
        }
    }
    if (!progress.bytes.empty() && request.firstByte < duration::zero()) {
        request.firstByte = m_now - request.arrived;
    }
    if (request.call.streaming) {
        if (!progress.bytes.empty()) {
            emit(send_piece { request.exchange, progress.bytes });
        }
    } else {
        request.body += progress.bytes;
    }
    if (request.body.size() > maxHeldAnswerBytes) {
        cancelAttempt(request);
        end(request, result_code::buffer_full);
    } else if (progress.whole) {
        finishWhole(request);
    }
}

void pipeline::finishWhole(request_in_progress &request)
{
    forgetAttempt(request);
    if (!request.call.key) {
        replyWhole(request);
        return;
    }
    agreed::settle_claim settled;
    settled.key = *request.call.key;
    settled.fence = request.fence;
    settled.httpStatus = static_cast<std::uint32_t>(request.status);
    settled.answerDigest = sha256(request.body);
    if (request.body.size() <= agreed::claim_table::maxAnswerBytes) {
        settled.answer = request.body;
    }
    proposeFor(request, phase::settling, std::move(settled), settleTimeout);
}

void pipeline::replyWhole(request_in_progress &request)
{
    ensure(request.status != 0, result_code::invariant_whole_answer, request.call.id.value);
    if (request.call.streaming) {
        emit(end_stream { request.exchange });
    } else {
        emit(reply { request.exchange, request.status, request.headers, request.body });
    }
    end(request, result_code::ok);
}

} // namespace figcleat::request
