#pragma once

#include "figcleat/forward/event-splitter.h"
#include "figcleat/forward/pace-controller.h"
#include "figcleat/forward/target-pool.h"
#include "figcleat/http/server.h"
#include "figcleat/request/retry-budget.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

/** Forwarding of callers' requests straight to targets: one request may use several attempts. */
namespace figcleat::forward
{

/** A caller's request as far as forwarding needs to understand it. */
struct caller_request
{
    request_id id;
    std::string method;
    /** Path and query as sent. */
    std::string path;
    std::string host;
    /** Headers that are passed on unchanged. */
    http_headers headers;
    std::string body;
    std::optional<std::string> key;
    /** Time that the caller still waits. */
    std::optional<milliseconds> deadline;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxAnswerTokens = 0;
    /** Event after which the caller resumes a stream. */
    std::string lastEventId;
};

/** What a caller is told when its request is not passed on or has failed. */
struct refusal
{
    result_code code = result_code::ok;
    /** False promises that no target has run the request or ever will. */
    bool mayHaveRun = false;
    std::optional<milliseconds> retryAfter {};
};

/** Start of a target's answer. */
struct answer_head
{
    int status = 0;
    /** Headers for the caller. */
    http_headers headers;
    /** The target says that it did not run the request. */
    bool notRun = false;
    /** Another target has the address. */
    bool isOtherTarget = false;
    /** These are not the bytes of the target's answer to this request. */
    bool isSpoiled = false;
    bool isEventStream = false;
    std::optional<target_load> load;
    /** Only from an answer to this request of the target that was asked. */
    std::vector<target_notice> notices;
};

/** One attempt to run a request at a target. */
struct outgoing_call
{
    std::shared_ptr<const caller_request> request;
    target_id target;
    std::string address;
    workspace_id workspace;
    /** Time that the target has. */
    milliseconds timeLeft { 0 };
    /** Event after which a stream goes on; empty for the whole stream. */
    std::string lastEventId;
    std::uint32_t priority = 0;
};

// Events.

struct request_arrived
{
    exchange_id exchange;
    caller_request request;
};

struct caller_left
{
    exchange_id exchange;
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

struct attempt_broken
{
    attempt_number attempt;
    /** No byte of the request reached the target. */
    bool notSent = false;
};

struct forward_tick
{
};

using forward_event = std::variant<request_arrived, caller_left, answer_started, answer_bytes, answer_ended,
                                   attempt_broken, forward_tick>;

// Actions.

struct start_attempt
{
    attempt_number attempt;
    outgoing_call call;
};

struct cancel_attempt
{
    attempt_number attempt;
};

struct refuse_request
{
    exchange_id exchange;
    refusal why;
};

/** A target's whole answer. */
struct pass_answer
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

/** Closes the caller's connection in mid-answer, so that the caller cannot take it for complete. */
struct break_answer
{
    exchange_id exchange;
};

/** A request has ended; for logs, metrics and the service-level report. */
struct forward_ended
{
    request_id id;
    /** As received from the caller. */
    std::shared_ptr<const caller_request> request;
    route_id route;
    workspace_id workspace;
    service_id service;
    /** Last target that was tried. */
    target_id target;
    result_code code = result_code::ok;
    int status = 0;
    std::uint32_t attempts = 0;
    duration queued {};
    /** From the start of the last attempt to the start of its answer, the connection included. */
    duration headers {};
    duration firstByte {};
    duration whole {};
    /** Longest pause between two events of a stream. */
    duration longestPause {};
    /** The answer began after its objective, or a pause was longer than the route allows. */
    bool isLate = false;
    std::uint64_t configuration = 0;
};

/** A decision about an attempt that did not end with an answer; for logs. */
struct attempt_note
{
    request_id id;
    target_id target;
    std::string outcome;
    std::string next;
};

/** A target said something new of itself that changes where requests go; for logs. */
struct target_noted
{
    /** Request whose answer said it. */
    request_id id;
    target_incarnation life;
    target_notice notice;
};

using forward_action
    = std::variant<start_attempt, cancel_attempt, refuse_request, pass_answer, start_event_stream, send_events,
                   end_event_stream, break_answer, forward_ended, attempt_note, target_noted>;

/** Load of a service as this node sees it. */
struct service_load
{
    service_id service;
    /** Requests that may be at one target. */
    double level = 0;
    /** Most requests at one target. */
    double busiest = 0;
    std::uint32_t slots = 0;
    load_spread spread {};
    /** Pauses in streams as a part of the longest allowed one. */
    double pause = 0;
    std::size_t waiting = 0;
    /** Repeats since the start of this node, and those that the budget still allows. */
    std::uint64_t repeats = 0;
    std::uint64_t repeatsLeft = 0;
};

struct forwarder_settings
{
    pool_settings pool;
    /** Repeats allowed in a window for each request of the service, over all nodes. */
    double repeatShare = 0.2;
    /** Further repeats allowed in a window, over all nodes. */
    std::uint32_t repeatSlack = 0;
    duration repeatWindow = std::chrono::seconds(10);
    std::uint64_t seed = 1;
};

/**
 * Decides for each request where it runs, whether it runs again, and what its caller gets.
 *
 * It knows no socket and no clock: `(event, time) -> actions`.
 */
class forwarder
{
public:
    /** Bytes of an answer that is no stream. */
    static constexpr std::size_t maxAnswerBytes = std::size_t { 8 } * 1024 * 1024;
    /** Bytes of all answers and events that wait to be whole: a fifth of the 160 MB of a front. */
    static constexpr std::size_t maxHeldBytes = std::size_t { 32 } * 1024 * 1024;
    static constexpr std::size_t maxRequests = 4096;

    explicit forwarder(forwarder_settings settings);

    [[nodiscard]] std::vector<forward_action> step(const forward_event &event, time_point now);

    void setRoutes(std::shared_ptr<const route_index> routes);
    void setNodeCount(std::uint32_t nodes);
    [[nodiscard]] target_pool &pool();
    [[nodiscard]] std::size_t requestsInProgress() const;
    [[nodiscard]] bool hasRoutes() const;
    [[nodiscard]] std::uint32_t nodeCount() const;
    /** State of the services that got requests, for logs and metrics. */
    [[nodiscard]] std::vector<service_load> loadSummary(time_point now) const;

private:
    struct attempt_state
    {
        exchange_id exchange;
        /** With the target as it was registered then. */
        started_attempt started;
        time_point lastProgress {};
        std::optional<answer_head> head;
        std::string body;
        /** The target has not sent the first event of a stream. */
        bool readsPrompt = false;
    };

    struct request_state
    {
        std::shared_ptr<const caller_request> request;
        std::shared_ptr<const route_index> routes;
        const route *where = nullptr;
        service_id service;
        workspace_id workspace;
        std::uint32_t priority = 0;
        time_point arrived {};
        /** The caller gets its final answer by then. */
        time_point deadline {};
        /** Latest time to wait for room at a target. */
        time_point waitUntil {};
        std::optional<time_point> firstSent;
        duration headers {};
        std::optional<time_point> firstByte;
        time_point lastEvent {};
        duration longestPause {};
        attempt_number current;
        std::set<target_id> tried;
        std::uint32_t sends = 0;
        /** Targets that ran the request or may have. */
        std::uint32_t runs = 0;
        target_id lastTarget;
        /** Answer of a target that failed, to be passed on if there is no better one. */
        std::optional<pass_answer> fallback;
        result_code lastFailure = result_code::no_target;
        bool streaming = false;
        /** Is in the queue for room at a target. */
        bool isWaiting = false;
        event_splitter events;
        /** Bytes of this request's part in `m_heldBytes`. */
        std::size_t heldBytes = 0;
    };

    void handle(const request_arrived &event);
    void handle(const caller_left &event);
    void handle(const answer_started &event);
    void handle(const answer_bytes &event);
    void handle(const answer_ended &event);
    void handle(const attempt_broken &event);
    void handle(const forward_tick &event);

    /** Acts on the answer as far as it concerns the request. */
    void judgeAnswer(const answer_started &event, attempt_state &attempt);
    [[nodiscard]] std::optional<refusal> admit(request_state &state, const caller_request &request);
    [[nodiscard]] service_id pickService(const route &where);
    /** Starts an attempt, or leaves the request waiting, or refuses it. */
    void place(exchange_id exchange, request_state &state);
    void startAttempt(exchange_id exchange, request_state &state, const directory_entry &target);
    void placeWaiting();
    void checkDeadline(exchange_id exchange, request_state &state);
    void checkSilence(exchange_id exchange, request_state &state);
    /** Leaves the current target for another one; the budget of repeats allowed it. */
    void move(exchange_id exchange, request_state &state, std::string why);
    /** More requests wait than can be placed before they have waited too long. */
    [[nodiscard]] bool isQueueFull(const request_state &state) const;
    void noteStart(const service_id &service);
    void pace();
    [[nodiscard]] choice_limits limitsFor(const request_state &state) const;
    [[nodiscard]] bool mayRunAgain(const request_state &state) const;
    [[nodiscard]] bool isIdempotent(const request_state &state) const;
    [[nodiscard]] bool takeRepeat(const service_id &service);
    /** Ends the current attempt and goes on elsewhere if that is allowed, else ends the request. */
    void retryOrFail(exchange_id exchange, request_state &state, bool mayHaveRun, result_code code);
    void endAttempt(request_state &state, attempt_result result);
    /** Call after each change of what the request holds of its answers. */
    void countHeld(request_state &state);
    void passEvents(exchange_id exchange, request_state &state, std::string_view bytes);
    void finishAnswer(exchange_id exchange, request_state &state, answer_head head, std::string body);
    void giveUp(exchange_id exchange, request_state &state, result_code code);
    void refuse(exchange_id exchange, const request_state &state, const refusal &why);
    void finish(exchange_id exchange, const request_state &state, result_code code, int status);
    [[nodiscard]] milliseconds returnTime(const request_state &state);
    void note(const request_state &state, std::string outcome, std::string next);

    forwarder_settings m_settings;
    target_pool m_pool;
    std::shared_ptr<const route_index> m_routes;
    std::uint32_t m_nodes;
    time_point m_now {};
    std::mt19937_64 m_random;
    attempt_number m_lastAttempt;
    std::map<exchange_id, request_state> m_requests;
    std::unordered_map<attempt_number, attempt_state> m_attempts;
    std::deque<exchange_id> m_waiting;
    std::size_t m_heldBytes = 0;
    /** Smoothed rate of attempts started, a second. */
    struct start_rate
    {
        double perSecond = 0;
        time_point at {};
    };
    std::map<service_id, start_rate> m_starts;
    std::map<service_id, request::retry_budget> m_budgets;
    std::map<service_id, std::uint64_t> m_repeats;
    /** Of services that answer with streams. */
    std::map<service_id, pace_controller> m_paces;
    std::vector<forward_action> m_actions;
};

} // namespace figcleat::forward
