#include "figcleat/request/pipeline.h"

#include "figcleat/core/invariant.h"
#include "figcleat/core/log.h"
#include "figcleat/request/replies.h"

#include <fmt/format.h>
#include <utility>

namespace figcleat::request
{

pipeline::pipeline(options chosen)
    : m_options(std::move(chosen))
    , m_targets(placement::table_settings { m_options.dataCentre })
    , m_policy(m_options.policy)
    , m_usage(m_options.entry)
    , m_backoff(m_options.seed)
    , m_random(m_options.seed)
{
}

std::vector<pipeline_action> pipeline::step(const pipeline_event &event, time_point now)
{
    m_now = now;
    std::visit([this](const auto &happened) { on(happened); }, event);
    if (std::exchange(m_roomFreed, false)) {
        serveAllQueues();
    }
    eraseEnded();
    return std::exchange(m_actions, {});
}

std::size_t pipeline::requestsInProgress() const
{
    return m_requests.size();
}

const placement::table &pipeline::targets() const
{
    return m_targets;
}

void pipeline::emit(pipeline_action action)
{
    m_actions.push_back(std::move(action));
}

void pipeline::on(const call_arrived &event)
{
    const request_id fallback { fmt::format("{:016x}-{}", m_options.entry.value, ++m_lastRequest) };
    if (m_stopping) {
        refuse(event.exchange, fallback, { result_code::entry_stopping, "the entry is stopping" });
        return;
    }
    if (!m_config) {
        refuse(event.exchange, fallback, { result_code::not_configured, "no configuration is in force yet" });
        return;
    }
    auto call = identify(event.received, *m_config, fallback, m_now);
    if (!call) {
        refuse(event.exchange, fallback, call.error());
        return;
    }
    if (const result_code code = admit(*call); code != result_code::ok) {
        refuse(event.exchange, call->id, { code, call->workspace.value });
        return;
    }
    auto &request = m_requests[m_lastRequest];
    request.number = m_lastRequest;
    request.exchange = event.exchange;
    request.call = std::move(*call);
    request.arrived = m_now;
    m_byExchange.emplace(event.exchange, m_lastRequest);
    ++m_perWorkspace[request.call.workspace];
    m_retryBudget.firstAttempt(m_now);
    enqueue(request);
}

void pipeline::on(const caller_gone &event)
{
    const auto found = m_byExchange.find(event.exchange);
    if (found == m_byExchange.end()) {
        return;
    }
    auto &request = m_requests.at(found->second);
    m_byExchange.erase(found);
    request.exchange = {};
    // A claimed call goes on, so that a resend of its key finds the outcome.
    if (request.call.repeatable) {
        cancelAttempt(request);
        end(request, result_code::caller_gone);
    }
}

void pipeline::on(const caller_too_slow &event)
{
    const auto found = m_byExchange.find(event.exchange);
    if (found == m_byExchange.end()) {
        return;
    }
    auto &request = m_requests.at(found->second);
    cancelAttempt(request);
    end(request, result_code::buffer_full);
}

void pipeline::on(const configuration_changed &event)
{
    m_config = event.config;
    std::set<data_centre_id> out(event.dataCentresOut.begin(), event.dataCentresOut.end());
    for (const auto &known : event.config->dataCentres) {
        if (!known.inService) {
            out.insert(known.name);
        }
    }
    m_targets.setDataCentresOut(std::move(out));
    serveAllQueues();
}

void pipeline::on(const stop_requested & /*event*/)
{
    m_stopping = true;
}

void pipeline::on(const tick & /*event*/)
{
    if (m_now - std::exchange(m_lastTick, m_now) >= suspendedPause) {
        m_targets.resumeListening(m_now);
    }
    for (const auto &lost : m_targets.expire(m_now)) {
        onTargetLost(lost);
    }
    for (auto &[id, request] : m_requests) {
        if (request.ended) {
            continue;
        }
        if (m_now >= request.call.deadline + deadlineGrace) {
            onDeadline(request);
        } else if (m_now >= request.wakeAt) {
            onPhaseTimeout(request);
        }
    }
    for (auto &[key, queue] : m_queues) {
        carryOut(queue.step(queue_tick {}, m_now));
    }
    serveAllQueues();
    if (auto batch = m_usage.due(m_now)) {
        m_usageSequence = batch->sequence;
        m_usageProposal = ++m_lastProposal;
        emit(propose { m_usageProposal, std::move(*batch) });
    }
    eraseEnded();
    if (m_stopping && m_requests.empty() && !m_drained) {
        m_flushDeadline = m_flushDeadline.value_or(m_now + usageFlushTimeout);
        // Without a quorum the last use cannot be recorded, and that must not keep the entry from stopping.
        m_drained = m_usage.empty() || m_now >= *m_flushDeadline;
        if (m_drained) {
            emit(drained { !m_usage.empty() });
        }
    }
}

void pipeline::onPhaseTimeout(request_in_progress &request)
{
    switch (request.now) {
    case phase::backing_off:
        retry(request);
        return;
    case phase::claiming:
    case phase::releasing:
        end(request, result_code::agreement_unavailable);
        return;
    case phase::resolving:
        end(request, result_code::outcome_unknown);
        return;
    case phase::settling:
        onSettleDecided(request);
        return;
    case phase::dispatched:
        askForProgress(request);
        return;
    case phase::queued:
        return;
    }
}

request_in_progress *pipeline::findAttempt(attempt_id attempt)
{
    const auto found = m_byAttempt.find(attempt);
    return found == m_byAttempt.end() ? nullptr : &m_requests.at(found->second);
}

void pipeline::refuse(exchange_id exchange, const request_id &id, const error &why)
{
    logFor(part::request)->debug("Request {} is refused: {} ({}).", id.value, describe(why.code).name, why.detail);
    emit(errorReply(exchange, id, why.code, why.detail));
    request_ended ended;
    ended.id = id;
    ended.code = why.code;
    emit(std::move(ended));
}

void pipeline::end(request_in_progress &request, result_code code)
{
    const result_code told = codeFor(code, request.attempts);
    if (describe(told).ran == execution::not_run) {
        ensure(verdictOf(request.attempts) == execution::not_run && !request.stream.hasStarted(),
               result_code::invariant_not_run, request.call.id.value);
    }
    logFor(part::request)
        ->debug("Request {} of {} ends with {}.", request.call.id.value, request.call.workspace.value,
                describe(told).name);
    if (request.exchange != exchange_id {} && told != result_code::ok) {
        if (request.stream.hasStarted() && request.call.streaming) {
            emit(break_stream { request.exchange });
        } else {
            emit(errorReply(request.exchange, request.call.id, told, describe(told).meaning));
        }
    }
    if (verdictOf(request.attempts) != execution::not_run) {
        m_usage.add({ request.call.workspace,
                      request.call.service,
                      { 1 },
                      request.call.cost.promptTokens,
                      request.generatedTokens });
    }
    emit(request_ended { request.call.id, request.call.workspace, request.call.service, told, m_now - request.arrived,
                         request.firstByte, request.attempts.handedOver });
    if (request.now == phase::queued) {
        m_queues[{ request.call.service, request.call.model }].step(withdraw { { request.number } }, m_now);
    }
    forgetAttempt(request);
    m_byExchange.erase(request.exchange);
    m_byProposal.erase(request.proposal);
    if (--m_perWorkspace[request.call.workspace] == 0) {
        m_perWorkspace.erase(request.call.workspace);
    }
    request.ended = true;
}

void pipeline::eraseEnded()
{
    // Requests end inside loops over all of them, so they are erased afterwards.
    std::erase_if(m_requests, [](const auto &entry) { return entry.second.ended; });
}

} // namespace figcleat::request
