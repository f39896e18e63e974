#include "figcleat/http/client.h"

#include <algorithm>
#include <array>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/util.h>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace figcleat
{

namespace
{

// Headers that concern one connection only, and the length, which the client sets itself.
constexpr std::array<std::string_view, 5> connectionHeaders { "connection", "content-length", "host",
                                                              "transfer-encoding", "expect" };

bool isConnectionHeader(const std::string &name)
{
    return std::any_of(connectionHeaders.begin(), connectionHeaders.end(), [&name](std::string_view known) {
        return known.size() == name.size() && evutil_ascii_strncasecmp(known.data(), name.data(), name.size()) == 0;
    });
}

std::optional<evhttp_cmd_type> commandOf(const std::string &method)
{
    static const std::unordered_map<std::string, evhttp_cmd_type> commands {
        { "GET", EVHTTP_REQ_GET },        { "POST", EVHTTP_REQ_POST },     { "HEAD", EVHTTP_REQ_HEAD },
        { "PUT", EVHTTP_REQ_PUT },        { "DELETE", EVHTTP_REQ_DELETE }, { "PATCH", EVHTTP_REQ_PATCH },
        { "OPTIONS", EVHTTP_REQ_OPTIONS }
    };
    const auto found = commands.find(method);
    return found == commands.end() ? std::nullopt : std::optional(found->second);
}

http_headers headersOf(evhttp_request *request)
{
    http_headers headers;
    const evkeyvalq *list = evhttp_request_get_input_headers(request);
    for (const evkeyval *header = list->tqh_first; header != nullptr; header = header->next.tqe_next) {
        headers.emplace_back(header->key, header->value);
    }
    return headers;
}

/** Without a length or chunks, the end of the connection cannot be told from a cut. */
bool endIsMarked(int status, const http_headers &headers, bool isHead)
{
    constexpr int noContent = 204;
    constexpr int notModified = 304;
    return isHead || status == noContent || status == notModified || !findHeader(headers, "Content-Length").empty()
        || !findHeader(headers, "Transfer-Encoding").empty();
}

} // namespace

struct http_client::state
{
    struct call
    {
        state *client = nullptr;
        attempt_id attempt;
        evhttp_connection *connection = nullptr;
        event *progressTimer = nullptr;
        bool isHead = false;
        bool started = false;
        bool endMarked = false;
        bool sentBytes = false;
        /** The timer runs for the answer, not for the connection. */
        bool timesAnswer = false;

        evbuffer_cb_entry *sentWatch = nullptr;

        ~call()
        {
            event_free(progressTimer);
            if (connection != nullptr) {
                evhttp_connection_free(connection);
            }
        }
    };

    event_base *loop = nullptr;
    std::string ip;
    std::uint16_t port = 0;
    http_client_settings settings;
    http_client_handler *handler = nullptr;
    std::unordered_map<attempt_id, std::unique_ptr<call>> calls;
    /** Ended calls; freed by an event of their own, since libevent may still be using the connection. */
    std::vector<std::unique_ptr<call>> ended;
    event *reaper = nullptr;
    /** Connections that wait for their next call. */
    std::vector<evhttp_connection *> idle;

    ~state()
    {
        calls.clear();
        ended.clear();
        for (auto *connection : idle) {
            evhttp_connection_free(connection);
        }
        event_free(reaper);
    }

    void retire(attempt_id attempt);
    void keep(call &done);
    evhttp_connection *takeConnection();
    void restartTimer(call &running) const;
    void fail(call &running);
    void onTimeout(call &running);
    void begin(call &running, const service_call &what, evhttp_cmd_type command);

    static int onHeaders(evhttp_request *request, void *context);
    static void onChunk(evhttp_request *request, void *context);
    static void onComplete(evhttp_request *request, void *context);
};

void http_client::state::retire(attempt_id attempt)
{
    const auto found = calls.find(attempt);
    if (found == calls.end()) {
        return;
    }
    evtimer_del(found->second->progressTimer);
    ended.push_back(std::move(found->second));
    calls.erase(found);
    event_active(reaper, EV_TIMEOUT, 0);
}

void http_client::state::keep(call &done)
{
    constexpr std::size_t maxIdle = 4;
    if (!settings.keepAlive || idle.size() >= maxIdle) {
        return;
    }
    evbuffer_remove_cb_entry(bufferevent_get_output(evhttp_connection_get_bufferevent(done.connection)),
                             done.sentWatch);
    idle.push_back(std::exchange(done.connection, nullptr));
}

evhttp_connection *http_client::state::takeConnection()
{
    if (!idle.empty()) {
        auto *connection = idle.back();
        idle.pop_back();
        return connection;
    }
    auto *connection = evhttp_connection_base_new(loop, nullptr, ip.c_str(), port);
    evhttp_connection_set_retries(connection, 0);
    return connection;
}

void http_client::state::restartTimer(call &running) const
{
    const bool isConnecting = !running.sentBytes && settings.connectTimeout > duration {};
    const duration answerLimit = running.started ? settings.progressTimeout : settings.firstByteTimeout;
    const duration limit = isConnecting ? settings.connectTimeout : answerLimit;
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(limit).count();
    const timeval timeout { micros / 1'000'000, static_cast<suseconds_t>(micros % 1'000'000) };
    evtimer_add(running.progressTimer, &timeout);
}

void http_client::state::fail(call &running)
{
    const attempt_id attempt = running.attempt;
    const bool notSent = !running.sentBytes;
    retire(attempt);
    handler->onFailure(attempt, notSent);
}

void http_client::state::onTimeout(call &running)
{
    // The timer of the connection ran while the call was sent; from then on the answer has its own limit.
    if (settings.connectTimeout > duration {} && running.sentBytes && !running.timesAnswer) {
        running.timesAnswer = true;
        restartTimer(running);
        return;
    }
    fail(running);
}

int http_client::state::onHeaders(evhttp_request *request, void *context)
{
    auto &running = *static_cast<call *>(context);
    const int status = evhttp_request_get_response_code(request);
    http_headers headers = headersOf(request);
    running.started = true;
    running.timesAnswer = true;
    running.endMarked = running.client->settings.endOfConnectionIsEnd || endIsMarked(status, headers, running.isHead);
    running.client->restartTimer(running);
    std::erase_if(headers, [](const auto &header) { return isConnectionHeader(header.first); });
    running.client->handler->onAnswerStart(running.attempt, status, headers);
    return 0;
}

void http_client::state::onChunk(evhttp_request *request, void *context)
{
    auto &running = *static_cast<call *>(context);
    state &client = *running.client;
    if (!client.calls.contains(running.attempt)) {
        return;
    }
    evbuffer *input = evhttp_request_get_input_buffer(request);
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    client.restartTimer(running);
    client.handler->onBytes(running.attempt, bytes);
}

void http_client::state::onComplete(evhttp_request *request, void *context)
{
    auto &running = *static_cast<call *>(context);
    state &client = *running.client;
    if (!client.calls.contains(running.attempt)) {
        return;
    }
    const bool answered = request != nullptr && evhttp_request_get_response_code(request) != 0;
    if (!answered || !running.started || !running.endMarked) {
        client.fail(running);
        return;
    }
    const attempt_id attempt = running.attempt;
    client.keep(running);
    client.retire(attempt);
    client.handler->onAnswerEnd(attempt);
}

http_client::http_client(event_base *loop, std::string ip, std::uint16_t port, http_client_settings settings,
                         http_client_handler &handler)
    : m_state(std::make_unique<state>())
{
    m_state->loop = loop;
    m_state->ip = std::move(ip);
    m_state->port = port;
    m_state->settings = settings;
    m_state->handler = &handler;
    m_state->reaper = event_new(
        loop, -1, 0, [](evutil_socket_t, short, void *context) { static_cast<state *>(context)->ended.clear(); },
        m_state.get());
}

http_client::~http_client() = default;

void http_client::state::begin(call &running, const service_call &what, evhttp_cmd_type command)
{
    running.connection = takeConnection();
    running.progressTimer = evtimer_new(
        loop,
        [](evutil_socket_t, short, void *context) {
            static_cast<call *>(context)->client->onTimeout(*static_cast<call *>(context));
        },
        &running);
    running.isHead = command == EVHTTP_REQ_HEAD;
    running.sentWatch = evbuffer_add_cb(
        bufferevent_get_output(evhttp_connection_get_bufferevent(running.connection)),
        [](evbuffer *, const evbuffer_cb_info *info, void *context) {
            static_cast<call *>(context)->sentBytes |= info->n_deleted > 0;
        },
        &running);
    evhttp_request *request = evhttp_request_new(onComplete, &running);
    evhttp_request_set_header_cb(request, onHeaders);
    evhttp_request_set_chunked_cb(request, onChunk);
    evkeyvalq *headers = evhttp_request_get_output_headers(request);
    for (const auto &[name, value] : what.headers) {
        if (!isConnectionHeader(name)) {
            evhttp_add_header(headers, name.c_str(), value.c_str());
        }
    }
    const std::string_view host = settings.keepHost ? findHeader(what.headers, "Host") : std::string_view();
    const std::string address = ip + ":" + std::to_string(port);
    evhttp_add_header(headers, "Host", host.empty() ? address.c_str() : host.data());
    evhttp_add_header(headers, "Connection", settings.keepAlive ? "keep-alive" : "close");
    if (!what.body.empty()) {
        // evhttp sets a length for POST and PUT only; without one the target takes the body for the next request.
        evhttp_add_header(headers, "Content-Length", std::to_string(what.body.size()).c_str());
    }
    evbuffer_add(evhttp_request_get_output_buffer(request), what.body.data(), what.body.size());
    restartTimer(running);
    if (evhttp_make_request(running.connection, request, command, what.path.c_str()) != 0) {
        // Fails from the loop, so that a handler is never called inside `start`.
        const timeval now { 0, 0 };
        evtimer_add(running.progressTimer, &now);
    }
}

void http_client::start(attempt_id attempt, const service_call &what)
{
    const auto command = commandOf(what.method);
    if (!command) {
        m_state->handler->onFailure(attempt, true);
        return;
    }
    auto owned = std::make_unique<state::call>();
    auto &running = *owned;
    running.client = m_state.get();
    running.attempt = attempt;
    m_state->calls.emplace(attempt, std::move(owned));
    m_state->begin(running, what, *command);
}

void http_client::cancel(attempt_id attempt)
{
    m_state->retire(attempt);
}

} // namespace figcleat
