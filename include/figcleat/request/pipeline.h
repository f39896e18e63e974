#pragma once

#include "figcleat/placement/choose.h"
#include "figcleat/request/account.h"
#include "figcleat/request/answer-stream.h"
#include "figcleat/request/events.h"
#include "figcleat/request/fair-queue.h"
#include "figcleat/request/identify.h"
#include "figcleat/request/retry-budget.h"
#include "figcleat/request/verdict.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

namespace figcleat::request
{

/** Time an entry waits for an agreement before it answers without it. */
inline constexpr duration settleTimeout = std::chrono::seconds(1);
inline constexpr duration usageFlushTimeout = std::chrono::seconds(5);
inline constexpr duration resolveTimeout = std::chrono::seconds(1);
/** An attempt without progress for this long is asked about; a dispatch or an answer may have been lost. */
/** After a longer pause between ticks this process may have been suspended and may have missed announcements. */
inline constexpr duration suspendedPause = std::chrono::milliseconds(500);
inline constexpr duration progressTimeout = std::chrono::seconds(2);
/** After a refusal at a target's limit an entry takes only its share of reported room for this long. */
inline constexpr duration sharingPeriod = std::chrono::seconds(2);
/** Time after which the deadline passes at the entry once the target's copy of it has passed. */
inline constexpr duration deadlineGrace = std::chrono::milliseconds(100);

enum class phase : std::uint8_t {
    /** In the queue of its service until a target has room. */
    queued,
    /** Waits before it is queued again. */
    backing_off,
    /** Waits for the log to grant the claim on its key. */
    claiming,
    /** At a target. */
    dispatched,
    /** Waits for the target that holds the key to tell what became of the other attempt. */
    resolving,
    /** Waits for the log to give the claim back. */
    releasing,
    /** Waits for the log to record the outcome. */
    settling,
};

struct placed_target
{
    target_id name;
    peer_address address;
    incarnation_id incarnation;
};

struct request_in_progress
{
    /** Key of this request in the pipeline. */
    std::uint64_t number = 0;
    /** 0 once the caller is gone. */
    exchange_id exchange;
    identified_call call;
    phase now = phase::queued;
    time_point arrived;
    /** When the request is queued again, or its phase times out. */
    time_point wakeAt;
    /** Times that it was placed again. */
    std::uint32_t retries = 0;
    std::set<target_id> refusedBy;
    placed_target target;
    attempt_id attempt;
    attempt_record attempts;
    answer_stream stream;
    bool firstByteSeen = false;
    duration firstByte { -1 };
    fence_number fence;
    std::uint64_t proposal = 0;
    /** The claim of another attempt that holds the key. */
    agreed::claim_record other;
    /** Answer of a call that is answered in one piece. */
    int status = 0;
    http_headers headers;
    std::string body;
    token_count generatedTokens;
    /** A piece was missing when the target was last asked about this attempt. */
    bool missedPiece = false;
    /** The target has said before that this attempt has finished. */
    bool finishAsked = false;
    /** Code of the last refusal, to tell the caller why there was no room. */
    result_code lastRefusal = result_code::no_target;
    /** Erased when the step is over. */
    bool ended = false;
};

/**
 * The path of a request through an entry: identify, limit, place, dispatch, stream, account.
 *
 * A pure state machine: it reads no clock and no socket.
 *
 *     for (auto &action : pipeline.step(call_arrived{exchange, request}, clock.now())) { ... }
 */
class pipeline
{
public:
    struct options
    {
        incarnation_id entry;
        data_centre_id dataCentre;
        std::uint32_t maxRequestsInProgress = 4096;
        std::uint64_t seed = 1;
        placement::policy policy = placement::two_choices_by_spare {};
        /** False puts all workspaces into one lane of each queue, as a baseline to compare with. */
        bool fairQueue = true;
    };

    explicit pipeline(options chosen);

    [[nodiscard]] std::vector<pipeline_action> step(const pipeline_event &event, time_point now);

    [[nodiscard]] std::size_t requestsInProgress() const;
    [[nodiscard]] const placement::table &targets() const;

private:
    /** Requests that the same targets can serve wait in one queue. */
    using queue_key = std::pair<service_id, model_id>;
    using request_map = std::unordered_map<std::uint64_t, request_in_progress>;

    void on(const call_arrived &event);
    void on(const caller_gone &event);
    void on(const caller_too_slow &event);
    void on(const target_announced &event);
    void on(const attempt_refused &event);
    void on(const answer_piece &event);
    void on(const attempt_finished &event);
    void on(const attempt_closed &event);
    void on(const proposal_decided &event);
    void on(const configuration_changed &event);
    void on(const stop_requested &event);
    void on(const tick &event);

    // limit
    [[nodiscard]] const workspace *findWorkspace(const workspace_id &name) const;
    [[nodiscard]] result_code admit(const identified_call &call) const;
    void enqueue(request_in_progress &request);
    void serveQueue(const queue_key &key);
    void serveAllQueues();
    void carryOut(const std::vector<queue_action> &actions);
    void backOff(request_in_progress &request, result_code why);
    void retry(request_in_progress &request);
    // place
    [[nodiscard]] std::optional<placement::target_choice> choose(request_in_progress &request);
    [[nodiscard]] placement::placement_request placementOf(const request_in_progress &request) const;
    [[nodiscard]] bool isTargetUsable(const request_in_progress &request) const;
    [[nodiscard]] bool exceedsEveryLimit(const request_in_progress &request) const;
    [[nodiscard]] bool isShareTaken(const target_id &target) const;
    void startAttempt(request_in_progress &request, const placement::target_choice &chosen);
    void onTargetLost(const placement::lost_target &lost);
    // dispatch
    void sendDispatch(request_in_progress &request);
    void onAttemptLost(request_in_progress &request, result_code code);
    void onNotStarted(request_in_progress &request, result_code code);
    void askForProgress(request_in_progress &request);
    void onProgress(request_in_progress &request, const attempt_closed &closed);
    void onDeadline(request_in_progress &request);
    void cancelAttempt(request_in_progress &request);
    // claim
    void proposeFor(request_in_progress &request, phase next, agreed::command command, duration timeout);
    void onClaimDecided(request_in_progress &request, const proposal_decided &event);
    void onSettleDecided(request_in_progress &request);
    void giveBackClaim(request_in_progress &request);
    void resolve(request_in_progress &request, const agreed::claim_record &other);
    void settleOther(request_in_progress &request, const attempt_closed &closed);
    void replyRecorded(request_in_progress &request, const agreed::claim_record &record);
    // stream
    void forward(request_in_progress &request, const stream_progress &progress);
    void finishWhole(request_in_progress &request);
    void replyWhole(request_in_progress &request);
    // account and end
    void end(request_in_progress &request, result_code code);
    void refuse(exchange_id exchange, const request_id &id, const error &why);
    void emit(pipeline_action action);
    [[nodiscard]] request_in_progress *findAttempt(attempt_id attempt);
    void forgetAttempt(request_in_progress &request);
    void onPhaseTimeout(request_in_progress &request);
    void eraseEnded();

    options m_options;
    std::shared_ptr<const configuration> m_config;
    placement::table m_targets;
    placement::policy m_policy;
    usage_account m_usage;
    std::map<queue_key, fair_queue> m_queues;
    retry_budget m_retryBudget;
    retry_backoff m_backoff;
    std::mt19937_64 m_random;
    request_map m_requests;
    std::unordered_map<attempt_id, std::uint64_t> m_byAttempt;
    std::unordered_map<exchange_id, std::uint64_t> m_byExchange;
    std::unordered_map<std::uint64_t, std::uint64_t> m_byProposal;
    std::unordered_map<workspace_id, std::uint32_t> m_perWorkspace;
    std::uint64_t m_lastRequest = 0;
    std::uint64_t m_lastAttempt = 0;
    std::uint64_t m_lastProposal = 0;
    std::uint64_t m_usageProposal = 0;
    std::uint64_t m_usageSequence = 0;
    /** An attempt ended in this step, so a queued request may find room. */
    bool m_roomFreed = false;
    /** Until then this entry takes only its share of the room that a target reports. */
    time_point m_sharesUntil;
    bool m_stopping = false;
    bool m_drained = false;
    /** Until when a stopping entry tries to record its last use. */
    std::optional<time_point> m_flushDeadline;
    time_point m_now;
    time_point m_lastTick {};
    std::vector<pipeline_action> m_actions;
};

} // namespace figcleat::request
