#pragma once

#include "figcleat/forward/answer-times.h"
#include "figcleat/forward/event-rate.h"
#include "figcleat/forward/event-splitter.h"
#include "figcleat/forward/pace-controller.h"
#include "figcleat/forward/part-quarantine.h"
#include "figcleat/forward/target-pool.h"
#include "figcleat/forward/waiting-queue.h"
#include "figcleat/http/server.h"
#include "figcleat/request/retry-budget.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

/** Forwards callers' requests to targets. A request may take several attempts, each at one target. */
namespace figcleat::forward
{

/** The parts of a caller's request that forwarding reads or passes on. */
struct caller_request
{
    request_id id;
    std::string method;
    /** Path and query, exactly as the caller sent them. */
    std::string path;
    std::string host;
    /** Headers that are passed to the target unchanged. */
    http_headers headers;
    std::string body;
    /** API key that identifies the caller's workspace. */
    std::optional<std::string> key;
    /** Time from the arrival of the request until the caller stops waiting. */
    std::optional<milliseconds> deadline;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxAnswerTokens = 0;
    /** Parts of the prompt that other requests share, in order; the part that belongs to this request is left out. */
    std::vector<prompt_part_id> sharedParts;
    /** Id of the event after which the caller resumes a stream; empty if the caller starts a new one. */
    std::string lastEventId;
};

/** Error answer to a caller whose request was not forwarded or has failed. */
struct refusal
{
    result_code code = result_code::ok;
    /** If false, no target has run the request and none will. */
    bool mayHaveRun = false;
    /** Delay after which the caller may retry. */
    std::optional<milliseconds> retryAfter {};
};

/** Status and headers of a target's answer. */
struct answer_head
{
    int status = 0;
    /** Headers that are passed to the caller. */
    http_headers headers;
    /** The target states that it did not run the request. */
    bool notRun = false;
    /** The address now belongs to a target other than the requested one. */
    bool isOtherTarget = false;
    /** The answer may have been altered on the way or may belong to another request. */
    bool isCorrupt = false;
    bool isEventStream = false;
    /** Target that a refusal names as the cause, such as a lost rank of the group; empty if none is named. */
    target_id targetAtFault {};
    std::optional<target_load> load;
    /** Empty unless the requested target itself answered this request. */
    std::vector<target_notice> notices;
};

/** One attempt to run a request at a target. */
struct outgoing_call
{
    std::shared_ptr<const caller_request> request;
    target_id target;
    std::string address;
    workspace_id workspace;
    /** Time until the deadline of the request, measured at the start of the attempt. */
    milliseconds timeLeft { 0 };
    /** Id of the event after which the target resumes the stream; empty for the whole stream. */
    std::string lastEventId;
    std::uint32_t priority = 0;
};

// Inputs of `forwarder::step`.

struct request_arrived
{
    exchange_id exchange;
    caller_request request;
};

struct caller_disconnected
{
    exchange_id exchange;
    /** This node has closed the connection because the caller does not take its answer. */
    bool isTooSlow = false;
};

struct answer_started
{
    attempt_number attempt;
    answer_head head;
};

struct answer_bytes
{
    attempt_number attempt;
    std::string_view bytes;
};

struct answer_ended
{
    attempt_number attempt;
};

struct attempt_failed
{
    attempt_number attempt;
    /** No byte of the request was sent to the target. */
    bool notSent = false;
};

/** Result of `probe_target`. */
struct target_probed
{
    target_incarnation incarnation;
    /** Nothing accepted the connection. */
    bool isDown = false;
};

/** Another front sent what it knows of prompts that crash targets. */
struct quarantine_received
{
    quarantine_update update;
};

struct forward_tick
{
};

using forward_event = std::variant<request_arrived, caller_disconnected, answer_started, answer_bytes, answer_ended,
                                   attempt_failed, target_probed, quarantine_received, forward_tick>;

// Outputs of `forwarder::step`, which the caller of `step` carries out.

struct start_attempt
{
    attempt_number attempt;
    outgoing_call call;
};

struct cancel_attempt
{
    attempt_number attempt;
};

/** Opens a connection to the target and closes it, to see whether the target is down. */
struct probe_target
{
    target_incarnation incarnation;
    std::string address;
};

struct refuse_request
{
    exchange_id exchange;
    refusal details;
};

/** Sends a target's complete answer to the caller. */
struct send_answer
{
    exchange_id exchange;
    answer_head head;
    std::string body;
};

struct start_event_stream
{
    exchange_id exchange;
    answer_head head;
};

struct send_events
{
    exchange_id exchange;
    std::string bytes;
};

struct end_event_stream
{
    exchange_id exchange;
};

/** Closes the caller's connection within the answer, so that the caller cannot take the answer for complete. */
struct abort_answer
{
    exchange_id exchange;
};

/** Why a stream was broken towards its caller. */
enum class cut_cause : std::uint8_t {
    /** The deadline of the request has passed, or too little time was left for another attempt. */
    deadline,
    /** The last answers of a planned stop were due. */
    planned_stop,
    /** The target that took the stream over from a slow or silent one has failed. */
    left_target,
    /** The target broke off or sent an unusable answer, and no other target took the stream over. */
    target_lost,
    /** A part of the prompt is in quarantine. */
    quarantine,
    /** An event or all buffered answers together were too long. */
    buffer_full,
    /** The caller does not take the answer. */
    slow_caller,
};

[[nodiscard]] std::string_view toString(cut_cause cause);

/** Result of a request that has ended, for logs, metrics and the service-level report. */
struct request_finished
{
    request_id id;
    /** The request as received from the caller. */
    std::shared_ptr<const caller_request> request;
    route_id route;
    workspace_id workspace;
    service_id service;
    /** Target of the last attempt. */
    target_id target;
    result_code code = result_code::ok;
    /** Status that the caller got from a target; 0 if it got none. */
    int status = 0;
    /** Set if a stream was broken towards its caller. */
    std::optional<cut_cause> cut;
    std::uint32_t attempts = 0;
    /** From the arrival of the request to the start of its first attempt, or to the end if there was none. */
    duration queueTime {};
    /** Time from the start of the last answered attempt, connection setup included, to the headers of the answer. */
    duration headerTime {};
    /** Time from the arrival of the request to the first byte for the caller, or to the end if there was none. */
    duration firstByteTime {};
    /** From the arrival of the request to its end. */
    duration totalTime {};
    /** Longest pause between two events of a stream; of an incomplete stream also from its last event to its end. */
    duration longestPause {};
    /** The answer began later than the route's objective, or a pause exceeded the route's limit. */
    bool isLate = false;
    std::uint64_t configurationVersion = 0;
};

/** How far an attempt had come when it ended. */
enum class attempt_stage : std::uint8_t {
    /** No byte of the request was sent. */
    unsent,
    /** The target has not begun its answer. */
    no_answer,
    /** The head of the answer has arrived, but no byte of its body. */
    head_only,
    /** The target has begun to write the body of its answer. */
    writing,
};

[[nodiscard]] std::string_view toString(attempt_stage stage);

/** Failure of an attempt and the decision that followed, for logs and metrics. */
struct failed_attempt
{
    request_id id;
    target_incarnation incarnation;
    /**
     * Name of the result code, "slow" or "silent" for the target that a move leaves, or "overtaken" for a move whose
     * previous target went on first.
     */
    std::string outcome;
    /** "retry", "held", "end", "move" (the attempt goes on beside another one) or "return" (to that attempt). */
    std::string next;
    attempt_stage stage = attempt_stage::unsent;
    /** From the start of the attempt to its end. */
    duration age {};
    /** Target that a refusal names as the cause; empty if none is named. */
    target_id targetAtFault;
    /** The request of the attempt. */
    std::shared_ptr<const caller_request> request;
};

/** A target's notice changed which requests the target gets; for logs and metrics. */
struct notice_applied
{
    /** Request whose answer contained the notice. */
    request_id id;
    target_incarnation incarnation;
    target_notice notice;
};

/** The quarantine of a prompt part began, was tried or ended. */
struct quarantine_changed
{
    quarantine_note note;
};

/** This node did nothing for a while: its process was suspended or got no processor time. */
struct node_stalled
{
    /** Between two ticks. */
    duration time {};
};

using forward_action = std::variant<start_attempt, cancel_attempt, probe_target, refuse_request, send_answer,
                                    start_event_stream, send_events, end_event_stream, abort_answer, request_finished,
                                    failed_attempt, notice_applied, quarantine_changed, node_stalled>;

/** Load of a service as measured by this node. */
struct service_load
{
    service_id service;
    /** Most concurrent requests allowed at one target by the pace controller; 0 if the service has none. */
    double requestLimit = 0;
    /** Requests at the target that has most of them. */
    double maxTargetRequests = 0;
    /** Slots of one target. */
    std::uint32_t slots = 0;
    load_spread spread {};
    /** Latest evaluated pause between events of a stream, divided by the longest one that the route allows. */
    double pauseRatio = 0;
    /** Requests that wait for a target with capacity. */
    std::size_t waiting = 0;
    /** Retries since the start of this node. */
    std::uint64_t retries = 0;
    /** Retries that the budget allows at present. */
    std::uint64_t retriesLeft = 0;
};

struct forwarder_settings
{
    pool_settings pool;
    /** Retries allowed per request of a service within the window, over all nodes. */
    double retryShare = 0.2;
    /** Retries allowed within the window in addition to that share, over all nodes. */
    std::uint32_t retrySlack = 0;
    duration retryWindow = std::chrono::seconds(10);
    /** Bytes of all buffered answers and events together. */
    std::size_t maxBufferedBytes = std::size_t { 32 } * 1024 * 1024;
    /** Requests in progress; those of one service leave a part of them to others. */
    std::size_t maxRequests = 4096;
    /** Scarce room goes to urgent requests first, over all nodes, and some requests wait for the end of an outage. */
    bool sharesScarceRoom = false;
    std::uint64_t seed = 1;
    /** This front, as other fronts know it. */
    peer_address self {};
    incarnation_id incarnation {};
};

/**
 * Chooses the target of each request, decides on retries, and produces the caller's answer.
 *
 * The class does no I/O and reads no clock: `step` maps an event and the current time to actions.
 */
class forwarder
{
public:
    /** Longest body of an answer that is not streamed, in bytes. */
    static constexpr std::size_t maxAnswerBytes = std::size_t { 8 } * 1024 * 1024;
    /** After a longer gap between two ticks this node has stood still; ticks are due each 25 ms. */
    static constexpr duration maxTickGap = std::chrono::milliseconds(250);

    explicit forwarder(forwarder_settings settings);

    [[nodiscard]] std::vector<forward_action> step(const forward_event &event, time_point now);

    void setRoutes(std::shared_ptr<const route_index> routes);
    void setNodeCount(std::uint32_t nodes);
    [[nodiscard]] bool sharesScarceRoom() const;
    /** Sets what all other nodes together look for; used if scarce room is shared. */
    void setPeerDemand(std::vector<placement_demand> demand);
    /** Returns what this node looks for, to be told to the others. */
    [[nodiscard]] std::vector<placement_demand> ownDemand(time_point now) const;
    /**
     * Begins a planned stop: every request gets its final answer by `lastAnswer`. A request that arrives later than
     * `acceptAllUntil` is refused as not run unless its own deadline passes by then.
     */
    void stop(time_point acceptAllUntil, time_point lastAnswer, time_point now);
    [[nodiscard]] target_pool &pool();
    [[nodiscard]] part_quarantine &quarantine();
    [[nodiscard]] const part_quarantine &quarantine() const;
    [[nodiscard]] std::size_t requestsInProgress() const;
    [[nodiscard]] bool hasRoutes() const;
    [[nodiscard]] std::uint32_t nodeCount() const;
    /** Load of each service that has received requests, for logs and metrics. */
    [[nodiscard]] std::vector<service_load> loadSummary(time_point now) const;

private:
    struct attempt_state
    {
        exchange_id exchange;
        /** Start of the attempt, with the target's incarnation at that time. */
        started_attempt started;
        std::string address;
        time_point lastProgress {};
        std::optional<answer_head> head;
        std::string body;
        /** The target has not yet sent the first bytes of a stream, so it is still reading the prompt. */
        bool readsPrompt = false;
        time_point headAt {};
        /** Arrival of the first byte of the answer's body. */
        std::optional<time_point> firstBodyAt;
        /** The target has written the answer for long enough to show that the request does not crash it. */
        bool isSound = false;
    };

    /** How the last attempt at a request ended. */
    struct ended_attempt
    {
        target_incarnation incarnation;
        attempt_stage stage = attempt_stage::unsent;
        duration age {};
        target_id targetAtFault;
    };

    struct request_state
    {
        std::shared_ptr<const caller_request> request;
        std::shared_ptr<const route_index> routes;
        const route *matchedRoute = nullptr;
        service_id service;
        workspace_id workspace;
        std::uint32_t priority = 0;
        time_point arrivedAt {};
        /** Time by which the caller gets its final answer. */
        time_point deadline {};
        /** A planned stop ends before the request's own deadline. */
        bool isCutByStop = false;
        /** Time until which the request may wait for a target with capacity. */
        time_point waitUntil {};
        std::optional<time_point> firstAttemptAt;
        duration headerTime {};
        std::optional<time_point> firstByteAt;
        time_point lastEventAt {};
        duration longestPause {};
        /** Zero if no attempt is in progress. */
        attempt_number currentAttempt;
        /** The attempt that a move has left and keeps until the current one goes on; zero without a move. */
        attempt_number previousAttempt;
        /** The move has left a slow target: events of the previous attempt are held back. */
        bool holdsPrevious = false;
        /** Arrival of the first event that is held back. */
        std::optional<time_point> heldSince;
        /** Moves that ended at the target that they had left. */
        std::uint32_t returnedMoves = 0;
        std::set<target_id> triedTargets;
        /** All attempts that were started. */
        std::uint32_t attemptCount = 0;
        /** Attempts in which a target ran the request or may have run it. */
        std::uint32_t executionCount = 0;
        target_id lastTarget;
        ended_attempt lastAttempt;
        /** Error answer of a target, which the caller gets if every further attempt fails. */
        std::optional<send_answer> fallbackAnswer;
        result_code lastFailure = result_code::no_target;
        bool isStreaming = false;
        /** Status with which the caller's stream began. */
        int streamStatus = 0;
        /** Another target has taken the request over from a slow or silent one. */
        bool hasLeftTarget = false;
        /** The request is queued until a target has capacity. */
        bool isWaiting = false;
        /** The request waits, or has waited, for the end of an outage of its service. */
        bool awaitsOutageEnd = false;
        /** Last time that a target was drawn for the request. */
        time_point lastDrawAt {};
        /** Last time that a target with room was sought for the request while its own was slow or silent. */
        std::optional<time_point> otherTargetSoughtAt;
        /** The last target may have crashed because of this request; a retry waits for evidence of other fronts. */
        std::optional<time_point> retryHeldUntil;
        /** Set if the request is the trial of a quarantine: a part in quarantine. */
        std::optional<prompt_part_id> trialPart;
        event_splitter events;
        /** Share of this request in `m_bufferedBytes`. */
        std::size_t bufferedBytes = 0;
    };

    void handle(const request_arrived &event);
    void handle(const caller_disconnected &event);
    void handle(const answer_started &event);
    void handle(const answer_bytes &event);
    void handle(const answer_ended &event);
    void handle(const attempt_failed &event);
    void handle(const target_probed &event);
    void handle(const quarantine_received &event);
    void handle(const forward_tick &event);
    /** Reports that this node has done nothing since the last tick, if that is so, and notes when it went on. */
    void checkStall();

    /** Accepts the answer, or ends the attempt if the answer cannot be passed to the caller. */
    void evaluateAnswer(const answer_started &event, attempt_state &attempt);
    [[nodiscard]] std::optional<refusal> admit(request_state &state, const caller_request &request);
    /** True if a planned stop could end the request, arriving now, before its own deadline does. */
    [[nodiscard]] bool comesTooLate(milliseconds timeout) const;
    /** Sets the request's deadline, which is the end of a planned stop at the latest. */
    void setDeadline(request_state &state, time_point deadline) const;
    /** Retry delay for a request that this front refuses because it stops. */
    [[nodiscard]] milliseconds stopRetryDelay();
    [[nodiscard]] service_id pickService(const route &matchedRoute);
    /** True if the service has so many requests in progress that another one would leave too little to others. */
    [[nodiscard]] bool isServiceFull(const service_id &service) const;
    /** Ends the request, or keeps it queued, while its retry is held; false if it may be assigned to a target. */
    [[nodiscard]] bool isRetryHeld(exchange_id exchange, request_state &state);
    /** Starts an attempt if a target has capacity; otherwise queues the request or ends it with an error. */
    void assignTarget(exchange_id exchange, request_state &state);
    void startAttempt(exchange_id exchange, request_state &state, const directory_entry &target);
    void assignWaitingRequests();
    void wait(exchange_id exchange, request_state &state);
    /**
     * True if the request may wait for the end of an outage of its service: it can still be served then, and targets
     * will have room for it beside the requests of this node that come before it. Ends the least urgent request that
     * waits for this if the request takes its place.
     */
    [[nodiscard]] bool mayAwaitOutageEnd(request_state &state);
    /** Urgency in the queue: 0 for all unless scarce room is shared. */
    [[nodiscard]] std::uint32_t queueUrgency(const request_state &state) const;
    [[nodiscard]] competing_requests competitionFor(const request_state &state) const;
    [[nodiscard]] quarantine_verdict reviewPrompt(request_state &state);
    /** @param busy targets that are left out, beside those that the request has tried */
    [[nodiscard]] expected<directory_entry> chooseTarget(request_state &state, const quarantine_verdict &verdict,
                                                         const std::set<target_id> &busy = {});
    void rejectQuarantined(exchange_id exchange, request_state &state, const reject_request &rejection);
    /** Checks each request for its deadline, a stalled target and the quarantine. */
    void checkRequests();
    /** Ends requests that are in quarantine and whose targets have not begun their answers. */
    void checkQuarantine(exchange_id exchange, request_state &state);
    /** Records that the attempt ended, as evidence about the prompt's parts. */
    void recordFailureEvidence(request_state &state, const attempt_state &attempt);
    /** True if targets of the service send the head of an answer together with the first bytes of its body. */
    [[nodiscard]] bool sendsHeadWithBody(const service_id &service) const;
    /** Records that the request is sound once its target has written for long enough. */
    void recordProgress(const request_state &state, attempt_state &attempt);
    void recordHeadGap(const service_id &service, duration gap);
    /** Returns how long requests have been waiting at targets of the service without any answer beginning. */
    [[nodiscard]] duration stalledFor(const service_id &service) const;
    void reportQuarantineChanges();
    /** Ends the request if its deadline has passed. */
    void checkDeadline(exchange_id exchange, request_state &state);
    void checkStalledTarget(exchange_id exchange, request_state &state);
    /** Returns a target with room other than those tried, if there is one; none if that was looked up just before. */
    [[nodiscard]] std::optional<directory_entry> findOtherTarget(request_state &state);
    /** Starts a second attempt, at `target`, beside the current one. Call after `takeRetry` has returned true. */
    void startMove(exchange_id exchange, request_state &state, const directory_entry &target, std::string reason);
    /** Ends the attempt that the move has left, as the current one goes on; does nothing without a move. */
    void completeMove(request_state &state);
    /** Goes on with the attempt that the move has left. Call after the current one has ended. May end the request. */
    void returnToPrevious(exchange_id exchange, request_state &state);
    /** Cancels the current attempt and returns to the previous one. May end the request. */
    void cancelMove(exchange_id exchange, request_state &state, std::string reason);
    /** Returns to a slow target whose events have been held back for too long. May end the request. */
    void checkHeldEvents(exchange_id exchange, request_state &state);
    /** Handles an answer's head at the attempt that the move has left; false if that attempt has ended with it. */
    [[nodiscard]] bool evaluatePreviousHead(exchange_id exchange, request_state &state, const answer_head &head);
    /** Handles the end of the attempt that the move has left. The current one goes on. */
    void endPrevious(request_state &state, attempt_result result, std::string reason);
    /** Keeps bytes of a slow target for later; false if the move is not from a slow one or they are too many. */
    [[nodiscard]] bool holdBack(request_state &state, attempt_state &previous, std::string_view bytes);
    [[nodiscard]] static bool isMoving(const request_state &state);
    /** True if a further request would probably reach its `waitUntil` before a target has capacity for it. */
    [[nodiscard]] bool isQueueFull(const request_state &state) const;
    void updatePaceControllers();
    [[nodiscard]] choice_limits limitsFor(const request_state &state) const;
    [[nodiscard]] bool mayRunAgain(const request_state &state) const;
    [[nodiscard]] bool isIdempotent(const request_state &state) const;
    [[nodiscard]] bool takeRetry(const service_id &service);
    /** Retries a request whose attempt has ended, if retries are allowed; otherwise ends the request. */
    void retryOrFail(exchange_id exchange, request_state &state, bool mayHaveRun, result_code code);
    [[nodiscard]] static attempt_stage stageOf(const attempt_state &attempt, attempt_result result);
    void endAttempt(request_state &state, attempt_result result);
    /** Ends an attempt of the request that is no longer its current or previous one. */
    void closeAttempt(request_state &state, attempt_number number, attempt_result result);
    [[nodiscard]] ended_attempt describeAttempt(const attempt_state &attempt, attempt_result result) const;
    /** Recalculates the request's buffered bytes. Call after each change of its answer, fallback or events. */
    void updateBufferedBytes(request_state &state);
    /** Records the pause before bytes of a stream, for the limit of requests at one target. */
    void recordPause(const request_state &state, attempt_state &attempt, duration pause);
    void forwardEvents(exchange_id exchange, request_state &state, std::string_view bytes);
    void finishAnswer(exchange_id exchange, request_state &state, answer_head head, std::string body);
    /** Ends the request with the target's error answer if there is one, else with a refusal or an aborted stream. */
    void failRequest(exchange_id exchange, request_state &state, result_code code);
    [[nodiscard]] static cut_cause cutCauseOf(const request_state &state, result_code code);
    void refuse(exchange_id exchange, request_state &state, const refusal &details);
    void finish(exchange_id exchange, request_state &state, result_code code, int status,
                std::optional<cut_cause> cut = std::nullopt);
    [[nodiscard]] milliseconds retryDelay(const request_state &state);
    void recordFailedAttempt(const request_state &state, std::string outcome, std::string next);

    forwarder_settings m_settings;
    target_pool m_pool;
    part_quarantine m_quarantine;
    std::shared_ptr<const route_index> m_routes;
    std::uint32_t m_nodes;
    time_point m_now {};
    std::optional<time_point> m_lastTickAt;
    /** When this node went on after it had last stood still; what targets sent before may still be unread then. */
    time_point m_resumedAt {};
    std::mt19937_64 m_random;
    attempt_number m_lastAttempt;
    std::map<exchange_id, request_state> m_requests;
    std::unordered_map<attempt_number, attempt_state> m_attempts;
    waiting_queue m_waiting;
    /** Targets with an attempt of a move that they have not begun to answer; each gets one at a time. */
    std::set<target_id> m_moveTargets;
    /** Requests in progress of each service. */
    std::map<service_id, std::size_t> m_requestCounts;
    std::size_t m_bufferedBytes = 0;
    struct planned_stop
    {
        time_point acceptAllUntil;
        time_point lastAnswer;
    };
    std::optional<planned_stop> m_stop;
    answer_times m_answerTimes;
    std::map<service_id, event_rate> m_startRates;
    /** Searches for a target, by service and urgency. */
    std::map<std::pair<service_id, std::uint32_t>, event_rate> m_demand;
    std::vector<placement_demand> m_peerDemand;
    /** Exponentially smoothed time from the head of an answer to its body, over the last answers. */
    struct head_gap
    {
        duration mean {};
        std::uint32_t answers = 0;
        /** When the body of an answer began last. */
        time_point lastBegunAt {};
    };
    std::map<service_id, head_gap> m_headGaps;
    std::map<service_id, request::retry_budget> m_budgets;
    std::map<service_id, std::uint64_t> m_retries;
    /** Controllers of the services that answer with streams. */
    std::map<service_id, pace_controller> m_paceControllers;
    std::vector<forward_action> m_actions;
};

} // namespace figcleat::forward
