#pragma once

#include "figcleat/core/clock.h"
#include "figcleat/core/ids.h"
#include "figcleat/http/server.h"
#include "figcleat/target/messages.h"

#include <memory>
#include <string>

struct event_base;

namespace figcleat
{

/** Receives the answers of an engine or service. */
class http_client_handler
{
public:
    virtual ~http_client_handler() = default;
    /** First piece of the answer; bytes follow by `onBytes`. */
    virtual void onAnswerStart(attempt_id attempt, int status, const http_headers &headers) = 0;
    virtual void onBytes(attempt_id attempt, std::string_view bytes) = 0;
    /** The answer ended as HTTP says that it is whole. */
    virtual void onAnswerEnd(attempt_id attempt) = 0;
    /** @param notSent true only if no byte of the call reached the engine. */
    virtual void onFailure(attempt_id attempt, bool notSent) = 0;
};

struct http_client_settings
{
    /** A call that has not reached its target by then has failed without being sent; 0 for no such limit. */
    duration connectTimeout { 0 };
    /** A call without any byte of its answer for so long has failed. */
    duration firstByteTimeout {};
    /** A call has failed that is silent for so long after the first byte. */
    duration progressTimeout {};
    /** An answer without a length is whole if its connection ends without a reset. */
    bool endOfConnectionIsEnd = false;
    /** The Host header of the call goes before the address. */
    bool keepHost = false;
    /** Connections are used again, for a peer on the same VM that is called often. */
    bool keepAlive = false;
    /** An answer with a longer body has failed; 0 if the handler has its own limit. */
    std::uint64_t maxBodyBytes = 0;
};

/**
 * HTTP client on libevent with the parser of Boost.Beast: one connection for each call at a time, so that a silent
 * connection holds back one call only.
 *
 * Interim answers are skipped. A head above 16 KiB or 128 lines, interim answers included, a malformed answer or one
 * with a status outside 100 to 599 or with 101 fails the call at once; bytes of a body are handed on as they come.
 *
 * It never sends a call twice.
 */
class http_client
{
public:
    http_client(event_base *loop, std::string ip, std::uint16_t port, http_client_settings settings,
                http_client_handler &handler);
    ~http_client();
    http_client(const http_client &) = delete;
    http_client &operator=(const http_client &) = delete;

    void start(attempt_id attempt, const service_call &call);
    /** Closes the call's connection, which engines take as a cancel. No further event follows. */
    void cancel(attempt_id attempt);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace figcleat
