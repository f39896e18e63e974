#include "figcleat/http/server.h"

#include "case-insensitive.h"
#include "figcleat/core/log.h"
#include "request-reader.h"

#include <algorithm>
#include <arpa/inet.h>
#include <boost/beast/http/status.hpp>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <fmt/format.h>
#include <functional>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <random>
#include <sys/socket.h>
#include <unordered_map>

namespace figcleat
{

namespace
{

constexpr int listenBacklog = 1024;
constexpr duration idleTimeout = std::chrono::seconds(60);
/** Bytes that wait for the parser; above the limit for a head, which is read in one piece. */
constexpr std::size_t maxUnreadBytes = std::size_t { 64 } * 1024;
/** Bytes that wait while a request is in progress. */
constexpr std::size_t maxPipelinedBytes = std::size_t { 8 } * 1024;
/** The rest of a rejected request is thrown away up to this many times the limit for a body, so that the caller can
 * read the answer before the connection closes. */
constexpr std::size_t discardFactor = 2;
/** Larger bodies of answers are handed to libevent without a copy. */
constexpr std::size_t maxCopiedBytes = std::size_t { 4 } * 1024;
struct retry_delay
{
    double minSeconds;
    double maxSeconds;
};
/** Delays are spread, so that refused callers do not return all at once. */
constexpr retry_delay memoryDelay { 0.5, 1.5 };
/** For a planned stop, as another process serves the caller at once. */
constexpr retry_delay stopDelay { 0.01, 0.1 };
/** A caller sends the first request as soon as its connection stands, also if a packet was lost. */
constexpr duration newConnectionTime = std::chrono::seconds(1);
/** A caller that has its final answer gets this long to close. */
constexpr duration lingerTimeout = std::chrono::seconds(2);
/** Without a free descriptor, accepting fails at once each time it is tried. */
constexpr duration acceptPause = std::chrono::milliseconds(100);

timeval toTimeval(duration time)
{
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(time).count();
    return { micros / 1'000'000, static_cast<suseconds_t>(micros % 1'000'000) };
}

/** An answer with this status ends with its head. */
bool hasNoBody(int status)
{
    constexpr int firstFinal = 200;
    constexpr int noContent = 204;
    constexpr int notModified = 304;
    return status < firstFinal || status == noContent || status == notModified;
}

std::string headOf(int status, const http_headers &headers)
{
    const auto reason = boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
    std::string head = fmt::format("HTTP/1.1 {} {}\r\n", status, std::string_view(reason.data(), reason.size()));
    for (const auto &[name, value] : headers) {
        head += name + ": " + value + "\r\n";
    }
    return head;
}

void append(bufferevent *to, std::string_view bytes)
{
    evbuffer_add(bufferevent_get_output(to), bytes.data(), bytes.size());
}

void appendBody(bufferevent *to, std::string body)
{
    if (body.size() <= maxCopiedBytes) {
        append(to, body);
        return;
    }
    auto kept = std::make_unique<std::string>(std::move(body));
    const std::string &bytes = *kept;
    evbuffer_add_reference(
        bufferevent_get_output(to), bytes.data(), bytes.size(),
        [](const void *, std::size_t, void *owner) {
            const std::unique_ptr<std::string> ended(static_cast<std::string *>(owner));
        },
        kept.release());
}

std::size_t unsentBytes(bufferevent *from)
{
    return evbuffer_get_length(bufferevent_get_output(from));
}

} // namespace

std::string_view findHeader(const http_headers &headers, std::string_view name)
{
    const auto found = std::find_if(headers.begin(), headers.end(),
                                    [name](const auto &header) { return equalsIgnoringCase(header.first, name); });
    return found == headers.end() ? std::string_view() : std::string_view(found->second);
}

struct http_server::state
{
    enum class phase {
        /** Reads a request or waits for one. */
        reading,
        /** A request waits for its answer. */
        answering,
        /** The last answer is being sent. */
        closing,
        /** The last answer is sent; what still arrives is thrown away. */
        lingering,
        /** Waits to be freed: libevent may still be using the connection. */
        ended,
    };

    struct connection
    {
        explicit connection(const http_limits &limits)
            : reader(limits)
        {
        }
        ~connection()
        {
            evbuffer_remove_cb_entry(bufferevent_get_output(handle), outputWatch);
            event_free(timer);
            bufferevent_free(handle);
        }
        connection(const connection &) = delete;
        connection &operator=(const connection &) = delete;

        state *server = nullptr;
        connection_budget::connection_key key = 0;
        bufferevent *handle = nullptr;
        /** Accounts for the bytes of answers as they are added and sent. */
        evbuffer_cb_entry *outputWatch = nullptr;
        /** Runs while a request is being received, and while the connection lingers. */
        event *timer = nullptr;
        request_reader reader;
        phase now = phase::reading;
        exchange_id current;
        /** Of the current request. */
        bool keepAlive = true;
        bool takesChunks = true;
        /** The head of the current stream says that the connection is closed after it. */
        bool announcesClose = false;
        /** A planned stop has announced the close; requests behind the announcement are refused. */
        bool refusesRequests = false;
        /** False for an answer that ends with its head. */
        bool hasBody = true;
        /** The caller sends nothing more; its last answer is still due. */
        bool isHalfClosed = false;
        time_point openedAt {};
        bool hasHadRequest = false;
        /** Grows with each use of any connection. */
        std::uint64_t lastUse = 0;
        /** Value of `lastUse` with which the request began that is being received. */
        std::uint64_t receivingSince = 0;
        /** Bytes of the request in progress. */
        std::size_t progressBytes = 0;
        /** Unread bytes of a request that was rejected. */
        std::size_t discarded = 0;
    };

    event_base *loop = nullptr;
    evconnlistener *listener = nullptr;
    event *acceptAgain = nullptr;
    event *reaper = nullptr;
    bool isStopping = false;
    std::uint64_t uses = 0;
    http_limits limits;
    http_handler *handler = nullptr;
    const system_clock time {};
    std::minstd_rand random;
    connection_budget budget { 0 };
    /** Closes connections while they hold too much; runs by itself, never inside a call of the handler. */
    event *relief = nullptr;
    connection_budget::connection_key lastKey = 0;
    std::unordered_map<connection_budget::connection_key, connection *> connectionsByKey;
    std::unordered_map<connection *, std::unique_ptr<connection>> connections;
    std::vector<std::unique_ptr<connection>> ended;
    std::unordered_map<exchange_id, connection *> exchanges;
    exchange_id last;

    ~state();
    [[nodiscard]] bool listen(const std::string &ip, std::uint16_t port);
    void accept(evutil_socket_t socket);
    [[nodiscard]] bool makeRoom();
    [[nodiscard]] static bool isUnused(const connection &what);
    /** The first request may be on its way. */
    [[nodiscard]] bool isNew(const connection &what) const;
    /** Updates the budget; to be called after each change of the bytes that the connection holds. */
    void account(connection &of);
    void relieve();
    void read(connection &from);
    void awaitRest(connection &from) const;
    void receive(connection &from);
    void sendRefusal(connection &to, result_code code);
    void reject(connection &from, result_code code);
    void discard(connection &from);
    void onSent(connection &to);
    void onTimer(connection &of);
    void onEvent(connection &of, short events);
    void end(connection &what);
    /** Connections for which `matches` holds. */
    [[nodiscard]] std::vector<connection *> select(const std::function<bool(const connection &)> &matches) const;
    [[nodiscard]] connection *find(exchange_id exchange) const;
    [[nodiscard]] connection *finish(exchange_id exchange);
    [[nodiscard]] bool keepsAlive(const connection &what) const;
    void sendHead(connection &to, std::string head) const;
    /** Goes on with the next request, or closes once all is sent. */
    void finishAnswer(connection &to, bool keepAlive);
    void awaitNext(connection &on);
    void closeWhenSent(connection &what);
};

http_server::state::~state()
{
    handler = nullptr;
    connections.clear();
    ended.clear();
    if (listener != nullptr) {
        evconnlistener_free(listener);
    }
    event_free(acceptAgain);
    event_free(reaper);
    event_free(relief);
}

bool http_server::state::listen(const std::string &ip, std::uint16_t port)
{
    acceptAgain = evtimer_new(
        loop,
        [](evutil_socket_t, short, void *context) {
            auto *server = static_cast<state *>(context);
            if (server->listener != nullptr) {
                evconnlistener_enable(server->listener);
            }
        },
        this);
    reaper = event_new(
        loop, -1, 0, [](evutil_socket_t, short, void *context) { static_cast<state *>(context)->ended.clear(); }, this);
    relief = event_new(
        loop, -1, 0, [](evutil_socket_t, short, void *context) { static_cast<state *>(context)->relieve(); }, this);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    if (inet_pton(AF_INET, ip.c_str(), &address.sin_addr) != 1) {
        return false;
    }
    listener = evconnlistener_new_bind(
        loop,
        [](evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *context) {
            static_cast<state *>(context)->accept(socket);
        },
        this, LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, listenBacklog,
        reinterpret_cast<const sockaddr *>(&address), sizeof(address));
    if (listener == nullptr) {
        return false;
    }
    evconnlistener_set_error_cb(listener, [](evconnlistener *failed, void *context) {
        logFor(part::http)
            ->warn("Cannot accept a connection: {}", evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()));
        const timeval pause = toTimeval(acceptPause);
        evconnlistener_disable(failed);
        evtimer_add(static_cast<state *>(context)->acceptAgain, &pause);
    });
    return true;
}

bool http_server::state::isUnused(const connection &what)
{
    return what.now == phase::reading && what.reader.isIdle() && unsentBytes(what.handle) == 0
        && evbuffer_get_length(bufferevent_get_input(what.handle)) == 0;
}

bool http_server::state::isNew(const connection &what) const
{
    return !what.hasHadRequest && time.now() - what.openedAt < newConnectionTime;
}

/**
 * Ends the connection that was unused for longest or, if all are in use, the one that has been sending its request for
 * longest; false if all of them wait for answers.
 */
bool http_server::state::makeRoom()
{
    connection *unused = nullptr;
    connection *slowest = nullptr;
    for (const auto &[one, owned] : connections) {
        if (isUnused(*one) || one->now == phase::lingering) {
            unused = unused == nullptr || one->lastUse < unused->lastUse ? one : unused;
        } else if (one->now == phase::reading && unsentBytes(one->handle) == 0) {
            slowest = slowest == nullptr || one->receivingSince < slowest->receivingSince ? one : slowest;
        }
    }
    connection *chosen = unused != nullptr ? unused : slowest;
    if (chosen == nullptr) {
        return false;
    }
    end(*chosen);
    return true;
}

void http_server::state::account(connection &of)
{
    if (of.now == phase::ended) {
        return;
    }
    const std::size_t unread = evbuffer_get_length(bufferevent_get_input(of.handle));
    const std::size_t receiving = of.now == phase::reading ? unread + of.reader.heldBytes() : 0;
    const std::size_t inProgress = of.now == phase::answering ? unread + of.progressBytes : 0;
    budget.update(of.key, { receiving, inProgress, unsentBytes(of.handle) }, time.now());
    if (budget.isExceeded()) {
        event_active(relief, EV_TIMEOUT, 0);
    }
}

void http_server::state::relieve()
{
    while (const auto key = budget.excess(time.now())) {
        auto &holder = *connectionsByKey.at(*key);
        if (holder.now == phase::reading && unsentBytes(holder.handle) == 0) {
            reject(holder, result_code::memory_full);
        } else {
            handler->onRejected(result_code::buffer_full);
            end(holder);
        }
    }
}

void http_server::state::accept(evutil_socket_t socket)
{
    if (connections.size() >= limits.connections && !makeRoom()) {
        logFor(part::http)->warn("Refuses a connection: {} are open.", limits.connections);
        evutil_closesocket(socket);
        return;
    }
    // Small pieces of a stream would wait for the caller's delayed acknowledgement, about 40 ms.
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    auto owned = std::make_unique<connection>(limits);
    auto &made = *owned;
    made.server = this;
    made.key = ++lastKey;
    connectionsByKey.emplace(made.key, &made);
    made.openedAt = time.now();
    made.lastUse = ++uses;
    made.handle = bufferevent_socket_new(loop, socket, BEV_OPT_CLOSE_ON_FREE);
    made.timer = evtimer_new(
        loop,
        [](evutil_socket_t, short, void *context) {
            auto &of = *static_cast<connection *>(context);
            of.server->onTimer(of);
        },
        &made);
    bufferevent_setcb(
        made.handle,
        [](bufferevent *, void *context) {
            auto &from = *static_cast<connection *>(context);
            from.server->read(from);
        },
        [](bufferevent *, void *context) {
            auto &to = *static_cast<connection *>(context);
            to.server->onSent(to);
        },
        [](bufferevent *, short events, void *context) {
            auto &of = *static_cast<connection *>(context);
            of.server->onEvent(of, events);
        },
        &made);
    made.outputWatch = evbuffer_add_cb(
        bufferevent_get_output(made.handle),
        [](evbuffer *, const evbuffer_cb_info *, void *context) {
            auto &of = *static_cast<connection *>(context);
            of.server->account(of);
        },
        &made);
    bufferevent_setwatermark(made.handle, EV_READ, 0, maxUnreadBytes);
    const timeval idle = toTimeval(idleTimeout);
    const timeval write = toTimeval(limits.ioTimeout);
    bufferevent_set_timeouts(made.handle, &idle, &write);
    connections.emplace(&made, std::move(owned));
    bufferevent_enable(made.handle, EV_READ | EV_WRITE);
}

void http_server::state::read(connection &from)
{
    if (from.now == phase::closing || from.now == phase::lingering) {
        discard(from);
        return;
    }
    while (from.now == phase::reading) {
        from.receivingSince = from.reader.isIdle() ? ++uses : from.receivingSince;
        auto code = from.reader.read(bufferevent_get_input(from.handle));
        if (code == result_code::ok && !budget.mayAccept(from.reader.headBytes(), from.reader.bodyBytes())) {
            code = result_code::memory_full;
        }
        if (code != result_code::ok) {
            reject(from, code);
            return;
        }
        if (!from.reader.isWhole()) {
            account(from);
            awaitRest(from);
            return;
        }
        receive(from);
    }
}

void http_server::state::awaitRest(connection &from) const
{
    if (from.reader.takeContinue()) {
        append(from.handle, "HTTP/1.1 100 Continue\r\n\r\n");
    }
    // One deadline for the whole request: a timeout between bytes would let a caller send one byte at a time.
    if (!from.reader.isIdle() && evtimer_pending(from.timer, nullptr) == 0) {
        const timeval timeout = toTimeval(limits.ioTimeout);
        evtimer_add(from.timer, &timeout);
    }
}

void http_server::state::receive(connection &from)
{
    evtimer_del(from.timer);
    from.progressBytes = connection_budget::progressBytes(from.reader.headBytes(), from.reader.bodyBytes());
    auto received = from.reader.take();
    from.hasHadRequest = true;
    from.announcesClose = false;
    from.now = phase::answering;
    bufferevent_setwatermark(from.handle, EV_READ, 0, maxPipelinedBytes);
    account(from);
    from.keepAlive = received.keepAlive;
    from.takesChunks = received.takesChunks;
    from.hasBody = received.request.method != "HEAD";
    if (from.refusesRequests) {
        handler->onRejected(result_code::entry_stopping);
        sendRefusal(from, result_code::entry_stopping);
        finishAnswer(from, false);
        return;
    }
    last = last.next();
    from.current = last;
    exchanges.emplace(last, &from);
    handler->onRequest(last, std::move(received.request));
}

void http_server::state::sendRefusal(connection &to, result_code code)
{
    const auto &info = describe(code);
    const auto number = static_cast<int>(code);
    const std::string body = fmt::format("{{\"error\":{{\"code\":{},\"name\":\"{}\"}}}}\n", number, info.name);
    http_headers headers { { "Content-Type", "application/json" },
                           { "X-Figcleat-Code", std::to_string(number) },
                           { "X-Figcleat-Request", std::string(toString(info.ran)) },
                           { "Connection", "close" },
                           { "Content-Length", std::to_string(body.size()) } };
    if (code == result_code::memory_full || code == result_code::entry_stopping) {
        const auto &range = code == result_code::memory_full ? memoryDelay : stopDelay;
        std::uniform_real_distribution<double> delay(range.minSeconds, range.maxSeconds);
        headers.emplace_back("Retry-After", fmt::format("{:.3f}", delay(random)));
    }
    sendHead(to, headOf(info.httpStatus, headers));
    if (to.hasBody) {
        append(to.handle, body);
    }
}

void http_server::state::reject(connection &from, result_code code)
{
    handler->onRejected(code);
    from.reader.abandon();
    from.hasBody = true;
    sendRefusal(from, code);
    closeWhenSent(from);
    discard(from);
}

void http_server::state::discard(connection &from)
{
    evbuffer *input = bufferevent_get_input(from.handle);
    from.discarded += evbuffer_get_length(input);
    evbuffer_drain(input, evbuffer_get_length(input));
    account(from);
    if (from.discarded > limits.bodyBytes * discardFactor) {
        end(from);
    }
}

void http_server::state::onSent(connection &to)
{
    if (to.now != phase::closing) {
        return;
    }
    if (to.isHalfClosed) {
        end(to);
        return;
    }
    // A close with unread bytes resets the connection, and with it the answer that the caller has not read yet.
    to.now = phase::lingering;
    ::shutdown(bufferevent_getfd(to.handle), SHUT_WR);
    const timeval timeout = toTimeval(lingerTimeout);
    evtimer_add(to.timer, &timeout);
}

void http_server::state::onTimer(connection &of)
{
    if (of.now == phase::reading) {
        reject(of, result_code::sender_too_slow);
    } else if (of.now == phase::lingering) {
        end(of);
    }
}

void http_server::state::onEvent(connection &of, short events)
{
    const bool isIdleTimeout = (events & BEV_EVENT_TIMEOUT) != 0 && (events & BEV_EVENT_READING) != 0;
    const bool isIdle = of.now == phase::reading && of.reader.isIdle();
    if (isIdleTimeout && !isIdle) {
        // Sending nothing while it waits for its answer is what a caller should do.
        bufferevent_enable(of.handle, EV_READ);
        return;
    }
    const bool isBeingAnswered = of.now == phase::closing || (of.now == phase::reading && unsentBytes(of.handle) > 0);
    if ((events & BEV_EVENT_EOF) != 0 && isBeingAnswered) {
        evtimer_del(of.timer);
        of.now = phase::closing;
        of.isHalfClosed = true;
        return;
    }
    end(of);
}

void http_server::state::end(connection &what)
{
    if (std::exchange(what.now, phase::ended) == phase::ended) {
        return;
    }
    budget.remove(what.key);
    connectionsByKey.erase(what.key);
    evtimer_del(what.timer);
    bufferevent_setcb(what.handle, nullptr, nullptr, nullptr, nullptr);
    bufferevent_disable(what.handle, EV_READ | EV_WRITE);
    const auto found = connections.find(&what);
    ended.push_back(std::move(found->second));
    connections.erase(found);
    event_active(reaper, EV_TIMEOUT, 0);
    const exchange_id open = std::exchange(what.current, {});
    if (exchanges.erase(open) > 0 && handler != nullptr) {
        handler->onCallerGone(open);
    }
}

std::vector<http_server::state::connection *>
http_server::state::select(const std::function<bool(const connection &)> &matches) const
{
    std::vector<connection *> selected;
    for (const auto &[one, owned] : connections) {
        if (matches(*one)) {
            selected.push_back(one);
        }
    }
    return selected;
}

http_server::state::connection *http_server::state::find(exchange_id exchange) const
{
    const auto found = exchanges.find(exchange);
    return found == exchanges.end() ? nullptr : found->second;
}

http_server::state::connection *http_server::state::finish(exchange_id exchange)
{
    connection *found = find(exchange);
    if (found != nullptr) {
        exchanges.erase(exchange);
        found->current = {};
        found->progressBytes = 0;
    }
    return found;
}

bool http_server::state::keepsAlive(const connection &what) const
{
    const bool hasNext = evbuffer_get_length(bufferevent_get_input(what.handle)) > 0;
    return what.keepAlive && !what.refusesRequests && (!isStopping || hasNext);
}

void http_server::state::sendHead(connection &to, std::string head) const
{
    head += "\r\n";
    append(to.handle, head);
}

void http_server::state::finishAnswer(connection &to, bool keepAlive)
{
    const bool hasNext = evbuffer_get_length(bufferevent_get_input(to.handle)) > 0;
    if (!keepAlive && isStopping && to.keepAlive && to.takesChunks && hasNext) {
        // Sent before the caller could read the announcement, and read here: it must not be left without an answer.
        to.refusesRequests = true;
        awaitNext(to);
    } else if (keepAlive) {
        awaitNext(to);
    } else {
        closeWhenSent(to);
    }
}

void http_server::state::awaitNext(connection &on)
{
    evtimer_del(on.timer);
    on.now = phase::reading;
    on.lastUse = ++uses;
    bufferevent_setwatermark(on.handle, EV_READ, 0, maxUnreadBytes);
    account(on);
    if (evbuffer_get_length(bufferevent_get_input(on.handle)) > 0) {
        bufferevent_trigger(on.handle, EV_READ, BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
    }
}

void http_server::state::closeWhenSent(connection &what)
{
    evtimer_del(what.timer);
    what.now = phase::closing;
    if (unsentBytes(what.handle) == 0) {
        onSent(what);
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
    opened->budget = connection_budget(limits.heldBytes);
    opened->handler = &handler;
    if (!opened->listen(ip, port)) {
        return fail(result_code::address_unusable, ip + ":" + std::to_string(port));
    }
    return std::unique_ptr<http_server>(new http_server(std::move(opened)));
}

void http_server::reply(exchange_id exchange, int status, const http_headers &headers, std::string body)
{
    auto *to = m_state->finish(exchange);
    if (to == nullptr) {
        return;
    }
    const bool keepAlive = m_state->keepsAlive(*to);
    to->hasBody = to->hasBody && !hasNoBody(status);
    std::string head = headOf(status, headers);
    if (to->hasBody) {
        head += fmt::format("Content-Length: {}\r\n", body.size());
    }
    if (!keepAlive || !to->takesChunks) {
        head += keepAlive ? "Connection: keep-alive\r\n" : "Connection: close\r\n";
    }
    m_state->sendHead(*to, std::move(head));
    if (to->hasBody) {
        appendBody(to->handle, std::move(body));
    }
    m_state->finishAnswer(*to, keepAlive);
}

void http_server::startStream(exchange_id exchange, int status, const http_headers &headers)
{
    if (auto *to = m_state->find(exchange); to != nullptr) {
        // Without chunks the end of the connection is the end of the answer.
        to->announcesClose = !m_state->keepsAlive(*to) || !to->takesChunks;
        to->hasBody = to->hasBody && !hasNoBody(status);
        std::string head = headOf(status, headers);
        head += to->takesChunks && to->hasBody ? "Transfer-Encoding: chunked\r\n" : "";
        head += to->announcesClose ? "Connection: close\r\n" : "";
        m_state->sendHead(*to, std::move(head));
    }
}

bool http_server::sendPiece(exchange_id exchange, std::string_view bytes)
{
    auto *to = m_state->find(exchange);
    if (to == nullptr || !to->hasBody || bytes.empty()) {
        return true;
    }
    if (unsentBytes(to->handle) + bytes.size() > m_state->limits.bufferedAnswerBytes) {
        return false;
    }
    if (to->takesChunks) {
        append(to->handle, fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes));
    } else {
        append(to->handle, bytes);
    }
    return true;
}

void http_server::endStream(exchange_id exchange)
{
    if (auto *to = m_state->finish(exchange); to != nullptr) {
        if (to->takesChunks && to->hasBody) {
            append(to->handle, "0\r\n\r\n");
        }
        m_state->finishAnswer(*to, !to->announcesClose);
    }
}

void http_server::breakStream(exchange_id exchange)
{
    if (auto *to = m_state->finish(exchange); to != nullptr) {
        if (!to->takesChunks) {
            // A reset is the only sign of an incomplete answer without chunks or a length.
            const linger reset { .l_onoff = 1, .l_linger = 0 };
            setsockopt(bufferevent_getfd(to->handle), SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        }
        m_state->end(*to);
    }
}

void http_server::stopListening()
{
    if (auto *listener = std::exchange(m_state->listener, nullptr); listener != nullptr) {
        evconnlistener_free(listener);
    }
}

void http_server::setBodyLimit(std::size_t bytes)
{
    m_state->limits.bodyBytes = bytes;
}

const connection_budget &http_server::budget() const
{
    return m_state->budget;
}

void http_server::closeAfterAnswers()
{
    m_state->isStopping = true;
}

void http_server::closeUnused()
{
    for (auto *one :
         m_state->select([this](const auto &what) { return state::isUnused(what) && !m_state->isNew(what); })) {
        m_state->end(*one);
    }
}

void http_server::rejectUnfinished(result_code code)
{
    for (auto *one :
         m_state->select([](const auto &what) { return what.now == state::phase::reading && !what.reader.isIdle(); })) {
        m_state->reject(*one, code);
    }
}

bool http_server::isInUse() const
{
    const auto &open = m_state->connections;
    return std::any_of(open.begin(), open.end(), [this](const auto &entry) {
        return !state::isUnused(*entry.first) || m_state->isNew(*entry.first);
    });
}

} // namespace figcleat
