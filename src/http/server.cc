#include "figcleat/http/server.h"

#include "figcleat/core/log.h"

#include <algorithm>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <evhtp/evhtp.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <strings.h>
#include <sys/socket.h>
#include <unordered_map>

namespace figcleat
{

namespace
{

constexpr std::size_t maxConnections = 8192;
constexpr int listenBacklog = 1024;
constexpr duration idleTimeout = std::chrono::seconds(60);
// A body over its limit is read and thrown away up to this many times the limit, so that the caller can read
// the answer before the connection closes.
constexpr std::size_t discardFactor = 8;

timeval toTimeval(duration time)
{
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(time).count();
    return { micros / 1'000'000, static_cast<suseconds_t>(micros % 1'000'000) };
}

struct evbuffer_deleter
{
    void operator()(evbuffer *buffer) const
    {
        evbuffer_free(buffer);
    }
};
using evbuffer_ptr = std::unique_ptr<evbuffer, evbuffer_deleter>;

evbuffer_ptr makeBuffer(std::string_view bytes)
{
    evbuffer_ptr buffer(evbuffer_new());
    evbuffer_add(buffer.get(), bytes.data(), bytes.size());
    return buffer;
}

void addHeaders(evhtp_request_t *request, const http_headers &headers)
{
    for (const auto &[name, value] : headers) {
        evhtp_headers_add_header(request->headers_out, evhtp_header_new(name.c_str(), value.c_str(), 1, 1));
    }
}

} // namespace

std::string_view findHeader(const http_headers &headers, std::string_view name)
{
    const auto found = std::find_if(headers.begin(), headers.end(), [name](const auto &header) {
        return header.first.size() == name.size() && strncasecmp(header.first.data(), name.data(), name.size()) == 0;
    });
    return found == headers.end() ? std::string_view() : std::string_view(found->second);
}

struct http_server::state
{
    struct connection
    {
        state *server = nullptr;
        evhtp_connection_t *handle = nullptr;
        event *receiveTimer = nullptr;
        std::size_t headerBytes = 0;
        std::size_t bodyBytes = 0;
        result_code rejected = result_code::ok;
        /** 0 while no request of this connection waits for its answer. */
        exchange_id current;
    };

    event_base *loop = nullptr;
    evhtp_t *listener = nullptr;
    bool listening = false;
    bool closing = false;
    http_limits limits;
    http_handler *handler = nullptr;
    std::unordered_map<evhtp_connection_t *, std::unique_ptr<connection>> connections;
    std::unordered_map<exchange_id, evhtp_request_t *> exchanges;
    exchange_id last;

    ~state();
    void receive(evhtp_request_t *request);
    void leave(connection &from);
    void reject(evhtp_request_t *request, connection &from, result_code code);
    evhtp_request_t *finish(exchange_id exchange);
    evhtp_request_t *find(exchange_id exchange) const;
    void endKeepAlive(evhtp_request_t *request) const;

    static evhtp_res onAccept(evhtp_connection_t *handle, void *context);
    static evhtp_res onHeadersStart(evhtp_request_t *request, void *context);
    static evhtp_res onHeader(evhtp_request_t *request, evhtp_header_t *header, void *context);
    static evhtp_res onRead(evhtp_request_t *request, evbuffer *bytes, void *context);
    static evhtp_res onRequestEnd(evhtp_request_t *request, void *context);
    static evhtp_res onConnectionEnd(evhtp_connection_t *handle, void *context);
    static void onReceiveTimeout(evutil_socket_t socket, short events, void *context);
};

http_server::state::~state()
{
    // The listener's connections outlive evhtp_free, and their hooks must not reach a handler any more.
    handler = nullptr;
    while (!connections.empty()) {
        evhtp_connection_free(connections.begin()->first);
    }
    if (listener != nullptr) {
        if (listening) {
            evhtp_unbind_socket(listener);
        }
        evhtp_free(listener);
    }
}

evhtp_res http_server::state::onAccept(evhtp_connection_t *handle, void *context)
{
    auto *server = static_cast<state *>(context);
    if (server->connections.size() >= maxConnections) {
        logFor(part::http)->warn("Refuses a connection: {} are open.", maxConnections);
        return EVHTP_RES_ERROR;
    }
    // Small pieces of a stream would wait for the caller's delayed acknowledgement, about 40 ms.
    const int on = 1;
    setsockopt(handle->sock, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    auto owned = std::make_unique<connection>();
    owned->server = server;
    owned->handle = handle;
    owned->receiveTimer = evtimer_new(server->loop, onReceiveTimeout, owned.get());
    const auto hook = [&](evhtp_hook_type type, auto function) {
        evhtp_connection_set_hook(handle, type, reinterpret_cast<evhtp_hook>(reinterpret_cast<void (*)()>(function)),
                                  owned.get());
    };
    hook(evhtp_hook_on_headers_start, onHeadersStart);
    hook(evhtp_hook_on_header, onHeader);
    hook(evhtp_hook_on_read, onRead);
    hook(evhtp_hook_on_request_fini, onRequestEnd);
    hook(evhtp_hook_on_connection_fini, onConnectionEnd);
    server->connections.emplace(handle, std::move(owned));
    return EVHTP_RES_OK;
}

evhtp_res http_server::state::onHeadersStart(evhtp_request_t * /*request*/, void *context)
{
    auto &from = *static_cast<connection *>(context);
    from.headerBytes = 0;
    from.bodyBytes = 0;
    from.rejected = result_code::ok;
    const timeval timeout = toTimeval(from.server->limits.ioTimeout);
    // One deadline for the whole request: a timeout between bytes would let a caller send one byte at a time.
    evtimer_add(from.receiveTimer, &timeout);
    return EVHTP_RES_OK;
}

evhtp_res http_server::state::onHeader(evhtp_request_t * /*request*/, evhtp_header_t *header, void *context)
{
    auto &from = *static_cast<connection *>(context);
    from.headerBytes += header->klen + header->vlen;
    if (from.headerBytes > from.server->limits.headerBytes) {
        from.rejected = result_code::header_too_large;
    }
    return from.headerBytes > from.server->limits.headerBytes * discardFactor ? EVHTP_RES_FATAL : EVHTP_RES_OK;
}

evhtp_res http_server::state::onRead(evhtp_request_t * /*request*/, evbuffer *bytes, void *context)
{
    auto &from = *static_cast<connection *>(context);
    const std::size_t limit = from.server->limits.bodyBytes;
    from.bodyBytes += evbuffer_get_length(bytes);
    if (from.bodyBytes > limit && from.rejected == result_code::ok) {
        from.rejected = result_code::body_too_large;
    }
    if (from.rejected != result_code::ok) {
        evbuffer_drain(bytes, evbuffer_get_length(bytes));
    }
    return from.bodyBytes > limit * discardFactor ? EVHTP_RES_FATAL : EVHTP_RES_OK;
}

void http_server::state::leave(connection &from)
{
    evtimer_del(from.receiveTimer);
    const exchange_id ended = std::exchange(from.current, {});
    if (exchanges.erase(ended) > 0 && handler != nullptr) {
        handler->onCallerGone(ended);
    }
}

evhtp_res http_server::state::onRequestEnd(evhtp_request_t * /*request*/, void *context)
{
    auto &from = *static_cast<connection *>(context);
    from.server->leave(from);
    const timeval idle = toTimeval(idleTimeout);
    bufferevent_set_timeouts(from.handle->bev, &idle, nullptr);
    return EVHTP_RES_OK;
}

evhtp_res http_server::state::onConnectionEnd(evhtp_connection_t *handle, void *context)
{
    auto *from = static_cast<connection *>(context);
    // libevhtp ends the connection before its request, whose hook would still get this context.
    evhtp_connection_unset_hook(handle, evhtp_hook_on_request_fini);
    from->server->leave(*from);
    event_free(from->receiveTimer);
    from->server->connections.erase(handle);
    return EVHTP_RES_OK;
}

void http_server::state::onReceiveTimeout(evutil_socket_t /*socket*/, short /*events*/, void *context)
{
    auto &from = *static_cast<connection *>(context);
    if (from.handle->request != nullptr && from.current == exchange_id {}) {
        from.server->reject(from.handle->request, from, result_code::sender_too_slow);
    }
}

void http_server::state::reject(evhtp_request_t *request, connection &from, result_code code)
{
    from.rejected = code;
    handler->onRejected(code);
    const auto &info = describe(code);
    addHeaders(request,
               { { "Content-Type", "application/json" },
                 { "Connection", "close" },
                 { "X-Figcleat-Code", std::to_string(static_cast<int>(code)) },
                 { "X-Figcleat-Request", std::string(toString(info.ran)) } });
    evbuffer_add_printf(request->buffer_out, "{\"error\":{\"code\":%d,\"name\":\"%s\"}}\n", static_cast<int>(code),
                        std::string(info.name).c_str());
    evhtp_request_set_keepalive(request, 0);
    evhtp_send_reply(request, static_cast<evhtp_res>(info.httpStatus));
}

void http_server::state::receive(evhtp_request_t *request)
{
    const auto found = connections.find(request->conn);
    if (found == connections.end()) {
        return;
    }
    connection &from = *found->second;
    evtimer_del(from.receiveTimer);
    // Sending nothing while it waits for its answer is what a caller should do.
    bufferevent_set_timeouts(request->conn->bev, nullptr, nullptr);
    if (from.rejected != result_code::ok) {
        reject(request, from, from.rejected);
        return;
    }
    http_request received;
    received.method = htparser_get_methodstr_m(request->method);
    received.path = request->uri->path->full;
    if (request->uri->query_raw != nullptr && *request->uri->query_raw != '\0') {
        received.path += "?";
        received.path += reinterpret_cast<const char *>(request->uri->query_raw);
    }
    for (const evhtp_kv_t *header = request->headers_in->tqh_first; header != nullptr; header = header->next.tqe_next) {
        received.headers.emplace_back(std::string(header->key, header->klen), std::string(header->val, header->vlen));
    }
    received.body.resize(evbuffer_get_length(request->buffer_in));
    evbuffer_remove(request->buffer_in, received.body.data(), received.body.size());
    last = last.next();
    from.current = last;
    exchanges.emplace(last, request);
    handler->onRequest(last, std::move(received));
}

evhtp_request_t *http_server::state::find(exchange_id exchange) const
{
    const auto found = exchanges.find(exchange);
    return found == exchanges.end() ? nullptr : found->second;
}

evhtp_request_t *http_server::state::finish(exchange_id exchange)
{
    evhtp_request_t *request = find(exchange);
    exchanges.erase(exchange);
    return request;
}

void http_server::state::endKeepAlive(evhtp_request_t *request) const
{
    if (closing) {
        addHeaders(request, { { "Connection", "close" } });
        evhtp_request_set_keepalive(request, 0);
    }
}

http_server::http_server(std::unique_ptr<state> initial)
    : m_state(std::move(initial))
{
}

http_server::~http_server() = default;

expected<std::unique_ptr<http_server>> http_server::open(event_base *loop, const std::string &ip, std::uint16_t port,
                                                         http_limits limits, http_handler &handler)
{
    auto opened = std::make_unique<state>();
    opened->loop = loop;
    opened->limits = limits;
    opened->handler = &handler;
    opened->listener = evhtp_new(loop, nullptr);
    evhtp_set_post_accept_cb(opened->listener, state::onAccept, opened.get());
    evhtp_set_gencb(
        opened->listener,
        [](evhtp_request_t *request, void *context) { static_cast<state *>(context)->receive(request); }, opened.get());
    const timeval idle = toTimeval(idleTimeout);
    evhtp_set_timeouts(opened->listener, &idle, nullptr);
    if (evhtp_bind_socket(opened->listener, ip.c_str(), port, listenBacklog) != 0) {
        return fail(result_code::address_unusable, ip + ":" + std::to_string(port));
    }
    opened->listening = true;
    return std::unique_ptr<http_server>(new http_server(std::move(opened)));
}

void http_server::reply(exchange_id exchange, int status, const http_headers &headers, std::string_view body)
{
    evhtp_request_t *request = m_state->finish(exchange);
    if (request == nullptr) {
        return;
    }
    addHeaders(request, headers);
    m_state->endKeepAlive(request);
    evbuffer_add(request->buffer_out, body.data(), body.size());
    evhtp_send_reply(request, static_cast<evhtp_res>(status));
}

void http_server::startStream(exchange_id exchange, int status, const http_headers &headers)
{
    if (evhtp_request_t *request = m_state->find(exchange); request != nullptr) {
        addHeaders(request, headers);
        m_state->endKeepAlive(request);
        evhtp_send_reply_chunk_start(request, static_cast<evhtp_res>(status));
    }
}

bool http_server::sendPiece(exchange_id exchange, std::string_view bytes)
{
    evhtp_request_t *request = m_state->find(exchange);
    if (request == nullptr || bytes.empty()) {
        return true;
    }
    const std::size_t waiting = evbuffer_get_length(bufferevent_get_output(request->conn->bev));
    if (waiting + bytes.size() > m_state->limits.bufferedAnswerBytes) {
        return false;
    }
    evhtp_send_reply_chunk(request, makeBuffer(bytes).get());
    return true;
}

void http_server::endStream(exchange_id exchange)
{
    if (evhtp_request_t *request = m_state->finish(exchange); request != nullptr) {
        evhtp_send_reply_chunk_end(request);
    }
}

void http_server::breakStream(exchange_id exchange)
{
    if (evhtp_request_t *request = m_state->finish(exchange); request != nullptr) {
        evhtp_connection_free(request->conn);
    }
}

void http_server::stopListening()
{
    if (std::exchange(m_state->listening, false)) {
        evhtp_unbind_socket(m_state->listener);
    }
}

void http_server::closeAfterAnswers()
{
    m_state->closing = true;
}

void http_server::closeIdle()
{
    std::vector<evhtp_connection_t *> idle;
    for (const auto &[handle, from] : m_state->connections) {
        if (from->current == exchange_id {} && handle->request == nullptr
            && evbuffer_get_length(bufferevent_get_output(handle->bev)) == 0) {
            idle.push_back(handle);
        }
    }
    for (auto *handle : idle) {
        evhtp_connection_free(handle);
    }
}

bool http_server::hasUnsentBytes() const
{
    const auto &open = m_state->connections;
    return std::any_of(open.begin(), open.end(), [](const auto &entry) {
        return evbuffer_get_length(bufferevent_get_output(entry.first->bev)) > 0;
    });
}

} // namespace figcleat
