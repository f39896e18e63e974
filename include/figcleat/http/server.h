#pragma once

#include "figcleat/core/clock.h"
#include "figcleat/core/ids.h"
#include "figcleat/core/result-code.h"
#include "figcleat/http/connection-budget.h"

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

struct event_base;

namespace figcleat
{

using http_headers = std::vector<std::pair<std::string, std::string>>;

/** A request as it came from a caller or an operator. */
struct http_request
{
    std::string method;
    /** Path and query as sent. */
    std::string path;
    http_headers headers;
    std::string body;
};

/** Value of the first header with this name, in any case; empty if there is none. */
[[nodiscard]] std::string_view findHeader(const http_headers &headers, std::string_view name);

/** Receives what happens on the server's connections. */
class http_handler
{
public:
    virtual ~http_handler() = default;
    virtual void onRequest(exchange_id exchange, http_request request) = 0;
    /** The caller closed its connection before its answer was whole; the exchange no longer exists. */
    virtual void onCallerGone(exchange_id exchange) = 0;
    /**
     * The adapter refused a request by itself, for example body_too_large, or closed a connection whose caller does not
     * take its answers (buffer_full).
     */
    virtual void onRejected(result_code code) = 0;
};

struct http_limits
{
    std::size_t headerBytes = std::size_t { 16 } * 1024;
    std::size_t bodyBytes = std::size_t { 1024 } * 1024;
    /** A caller that is slower to send its request, or to read its answer, is cut off. */
    duration ioTimeout = std::chrono::seconds(10);
    std::size_t bufferedAnswerBytes = std::size_t { 1024 } * 1024;
    std::size_t connections = 8192;
    /** Bytes of all connections together: requests, their copies for targets, and answers that are not taken yet. */
    std::size_t heldBytes = std::size_t { 256 } * 1024 * 1024;
};

/**
 * HTTP server over libevent; Boost.Beast parses what callers send.
 *
 * Every request becomes an exchange that is answered once: by `reply`, or by `startStream`, any number of
 * `sendPiece`, and `endStream`. `breakStream` closes the connection in mid-answer, so that the caller cannot
 * take what it has for the whole.
 */
class http_server
{
public:
    [[nodiscard]] static expected<std::unique_ptr<http_server>>
    open(event_base *loop, const std::string &ip, std::uint16_t port, http_limits limits, http_handler &handler);
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    void reply(exchange_id exchange, int status, const http_headers &headers, std::string body);
    void startStream(exchange_id exchange, int status, const http_headers &headers);
    /** False if the caller reads so slowly that its buffer is full. */
    [[nodiscard]] bool sendPiece(exchange_id exchange, std::string_view bytes);
    void endStream(exchange_id exchange);
    void breakStream(exchange_id exchange);
    /** Stops listening; exchanges in progress go on. */
    void stopListening();
    /**
     * Begins a planned stop: every further answer closes its connection, unless another request has already been
     * received on it. Requests that arrive behind the announcement of the close are refused as not run.
     */
    void closeAfterAnswers();
    /** Closes connections without a request or answer; a new one has a second for its first request. */
    void closeUnused();
    /** Refuses, as not run, requests that have been received in part, and closes their connections. */
    void rejectUnfinished(result_code code);
    /** True while a connection receives a request, waits for an answer or sends one, or is new. */
    [[nodiscard]] bool isInUse() const;
    /** Sets the limit for bodies of requests that begin from now on. */
    void setBodyLimit(std::size_t bytes);
    [[nodiscard]] const connection_budget &budget() const;

private:
    struct state;
    explicit http_server(std::unique_ptr<state> initial);
    std::unique_ptr<state> m_state;
};

} // namespace figcleat
