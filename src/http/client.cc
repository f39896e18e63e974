#include "figcleat/http/client.h"

#include "request-head.h"
#include "response-reader.h"

#include <cerrno>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>
#include <limits>
#include <netinet/in.h>
#include <optional>
#include <sys/socket.h>
#include <unordered_map>
#include <utility>
#include <vector>

namespace figcleat
{

namespace
{

/** Connections that wait for their next call. */
constexpr std::size_t maxIdle = 4;

/** Closed, or with bytes that belong to no call. */
bool isSpoiled(bufferevent *connection)
{
    char next = 0;
    const auto got = ::recv(bufferevent_getfd(connection), &next, sizeof(next), MSG_PEEK | MSG_DONTWAIT);
    return evbuffer_get_length(bufferevent_get_input(connection)) > 0 || got >= 0
        || (errno != EAGAIN && errno != EWOULDBLOCK);
}

} // namespace

struct http_client::state
{
    struct call
    {
        call(state &of, attempt_id number, const service_call &what)
            : client(&of)
            , attempt(number)
            , reader(what.method == "HEAD", of.bodyLimit())
        {
        }
        ~call()
        {
            event_free(timer);
            if (connection != nullptr) {
                bufferevent_free(connection);
            }
        }
        call(const call &) = delete;
        call &operator=(const call &) = delete;

        /** Some bytes of the call have left. */
        [[nodiscard]] bool isSent() const
        {
            return connection != nullptr && evbuffer_get_length(bufferevent_get_output(connection)) < requestBytes;
        }

        state *client;
        attempt_id attempt;
        response_reader reader;
        bufferevent *connection = nullptr;
        event *timer = nullptr;
        std::size_t requestBytes = 0;
        bool started = false;
        /** The timer runs for the answer, not for the connection. */
        bool timesAnswer = false;
        /** The target takes no more of the call; it may have answered all the same. */
        bool isCut = false;
        bool hasEnded = false;
    };

    event_base *loop = nullptr;
    std::string address;
    /** Absent if the address cannot be used. */
    std::optional<sockaddr_storage> socketAddress;
    int socketAddressBytes = 0;
    http_client_settings settings;
    http_client_handler *handler = nullptr;
    std::unordered_map<attempt_id, std::unique_ptr<call>> calls;
    /** Ended calls; freed by an event of their own, since libevent may still be using the connection. */
    std::vector<std::unique_ptr<call>> ended;
    event *reaper = nullptr;
    std::vector<bufferevent *> idle;

    ~state()
    {
        calls.clear();
        ended.clear();
        for (auto *connection : idle) {
            bufferevent_free(connection);
        }
        event_free(reaper);
    }

    [[nodiscard]] std::uint64_t bodyLimit() const
    {
        return settings.maxBodyBytes > 0 ? settings.maxBodyBytes : std::numeric_limits<std::uint64_t>::max();
    }

    void begin(call &running, const service_call &what);
    [[nodiscard]] bufferevent *takeConnection();
    [[nodiscard]] bool connect(bufferevent *connection) const;
    void watch(call &running) const;
    void restartTimer(call &running) const;
    void read(call &running);
    void startAnswer(call &running);
    void onEvent(call &running, short events);
    void onTimeout(call &running);
    void finish(call &running);
    void fail(call &running);
    void keep(call &done);
    void drop(bufferevent *unused);
    void retire(attempt_id attempt);
};

void http_client::state::retire(attempt_id attempt)
{
    const auto found = calls.find(attempt);
    if (found == calls.end()) {
        return;
    }
    auto &done = *found->second;
    done.hasEnded = true;
    evtimer_del(done.timer);
    if (done.connection != nullptr) {
        bufferevent_setcb(done.connection, nullptr, nullptr, nullptr, nullptr);
        bufferevent_disable(done.connection, EV_READ | EV_WRITE);
    }
    ended.push_back(std::move(found->second));
    calls.erase(found);
    event_active(reaper, EV_TIMEOUT, 0);
}

void http_client::state::keep(call &done)
{
    const bool isUnused = evbuffer_get_length(bufferevent_get_input(done.connection)) == 0
        && evbuffer_get_length(bufferevent_get_output(done.connection)) == 0 && !done.isCut;
    if (!settings.keepAlive || !isUnused || !done.reader.keepsAlive() || idle.size() >= maxIdle) {
        return;
    }
    auto *connection = std::exchange(done.connection, nullptr);
    // Whatever happens to it before its next call, it is of no use any more.
    bufferevent_setcb(
        connection, [](bufferevent *unused, void *context) { static_cast<state *>(context)->drop(unused); }, nullptr,
        [](bufferevent *unused, short, void *context) { static_cast<state *>(context)->drop(unused); }, this);
    idle.push_back(connection);
}

void http_client::state::drop(bufferevent *unused)
{
    std::erase(idle, unused);
    bufferevent_free(unused);
}

bufferevent *http_client::state::takeConnection()
{
    while (!idle.empty()) {
        auto *connection = idle.back();
        idle.pop_back();
        if (!isSpoiled(connection)) {
            return connection;
        }
        bufferevent_free(connection);
    }
    auto *connection = bufferevent_socket_new(loop, -1, BEV_OPT_CLOSE_ON_FREE);
    if (connection != nullptr && !connect(connection)) {
        bufferevent_free(connection);
        return nullptr;
    }
    return connection;
}

bool http_client::state::connect(bufferevent *connection) const
{
    return socketAddress
        && bufferevent_socket_connect(connection, reinterpret_cast<const sockaddr *>(&*socketAddress),
                                      socketAddressBytes)
        == 0;
}

void http_client::state::watch(call &running) const
{
    bufferevent_setcb(
        running.connection,
        [](bufferevent *, void *context) {
            auto &reading = *static_cast<call *>(context);
            reading.client->read(reading);
        },
        nullptr,
        [](bufferevent *, short events, void *context) {
            auto &of = *static_cast<call *>(context);
            of.client->onEvent(of, events);
        },
        &running);
}

void http_client::state::restartTimer(call &running) const
{
    const bool isConnecting = !running.isSent() && settings.connectTimeout > duration {};
    const duration answerLimit = running.started ? settings.progressTimeout : settings.firstByteTimeout;
    const duration limit = isConnecting ? settings.connectTimeout : answerLimit;
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(limit).count();
    const timeval timeout { micros / 1'000'000, static_cast<suseconds_t>(micros % 1'000'000) };
    evtimer_add(running.timer, &timeout);
}

void http_client::state::fail(call &running)
{
    const attempt_id attempt = running.attempt;
    const bool notSent = !running.isSent();
    retire(attempt);
    handler->onFailure(attempt, notSent);
}

void http_client::state::finish(call &running)
{
    const attempt_id attempt = running.attempt;
    keep(running);
    retire(attempt);
    handler->onAnswerEnd(attempt);
}

void http_client::state::onTimeout(call &running)
{
    // The timer of the connection ran while the call was sent; from then on the answer has its own limit.
    if (settings.connectTimeout > duration {} && running.isSent() && !running.timesAnswer) {
        running.timesAnswer = true;
        restartTimer(running);
        return;
    }
    fail(running);
}

void http_client::state::read(call &running)
{
    if (!running.isSent()) {
        // Bytes from before the call cannot be its answer.
        fail(running);
        return;
    }
    bool progressed = false;
    while (!running.hasEnded) {
        switch (running.reader.read(bufferevent_get_input(running.connection))) {
        case response_part::incomplete:
            return;
        case response_part::head:
            startAnswer(running);
            break;
        case response_part::bytes:
            if (!std::exchange(progressed, true)) {
                restartTimer(running);
            }
            handler->onBytes(running.attempt, running.reader.bytes());
            break;
        case response_part::end:
            finish(running);
            return;
        case response_part::unusable:
            fail(running);
            return;
        }
    }
}

void http_client::state::startAnswer(call &running)
{
    running.started = true;
    running.timesAnswer = true;
    restartTimer(running);
    handler->onAnswerStart(running.attempt, running.reader.status(),
                           withoutConnectionHeaders(running.reader.headers()));
}

void http_client::state::onEvent(call &running, short events)
{
    if ((events & BEV_EVENT_CONNECTED) != 0) {
        bufferevent_enable(running.connection, EV_READ);
        return;
    }
    if ((events & BEV_EVENT_WRITING) != 0 && running.isSent()) {
        // The target may have answered before it had read the whole call.
        running.isCut = true;
        return;
    }
    const bool isEnd = (events & BEV_EVENT_EOF) != 0 && !running.isCut && settings.endOfConnectionIsEnd;
    if (isEnd && running.reader.endsWithConnection()) {
        finish(running);
        return;
    }
    fail(running);
}

void http_client::state::begin(call &running, const service_call &what)
{
    running.timer = evtimer_new(
        loop,
        [](evutil_socket_t, short, void *context) {
            auto &of = *static_cast<call *>(context);
            of.client->onTimeout(of);
        },
        &running);
    const auto head = requestHead(what, address, settings);
    running.connection = head ? takeConnection() : nullptr;
    if (running.connection == nullptr) {
        // Fails from the loop, so that a handler is never called inside `start`.
        const timeval now { 0, 0 };
        evtimer_add(running.timer, &now);
        return;
    }
    watch(running);
    running.requestBytes = head->size() + what.body.size();
    evbuffer *output = bufferevent_get_output(running.connection);
    evbuffer_add(output, head->data(), head->size());
    evbuffer_add(output, what.body.data(), what.body.size());
    restartTimer(running);
}

http_client::http_client(event_base *loop, std::string ip, std::uint16_t port, http_client_settings settings,
                         http_client_handler &handler)
    : m_state(std::make_unique<state>())
{
    m_state->loop = loop;
    m_state->address = ip + ":" + std::to_string(port);
    m_state->settings = settings;
    m_state->handler = &handler;
    sockaddr_storage parsed {};
    int bytes = sizeof(parsed);
    if (evutil_parse_sockaddr_port(m_state->address.c_str(), reinterpret_cast<sockaddr *>(&parsed), &bytes) == 0) {
        m_state->socketAddress = parsed;
        m_state->socketAddressBytes = bytes;
    }
    m_state->reaper = event_new(
        loop, -1, 0, [](evutil_socket_t, short, void *context) { static_cast<state *>(context)->ended.clear(); },
        m_state.get());
}

http_client::~http_client() = default;

void http_client::start(attempt_id attempt, const service_call &what)
{
    auto owned = std::make_unique<state::call>(*m_state, attempt, what);
    auto &running = *owned;
    m_state->calls.emplace(attempt, std::move(owned));
    m_state->begin(running, what);
}

void http_client::cancel(attempt_id attempt)
{
    m_state->retire(attempt);
}

} // namespace figcleat
