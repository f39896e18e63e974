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

/**
 * HTTP client over evhttp: one connection for each call, so that a silent connection holds back one call only.
 *
 * It never sends a call twice.
 */
class http_client
{
public:
    /**
     * @param firstByteTimeout a call without any byte of its answer for so long has failed.
     * @param progressTimeout a call has failed that is silent for so long after the first byte.
     */
    http_client(event_base *loop, std::string ip, std::uint16_t port, duration firstByteTimeout,
                duration progressTimeout, http_client_handler &handler);
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
