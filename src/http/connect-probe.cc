#include "figcleat/http/connect-probe.h"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unordered_map>
#include <utility>

namespace figcleat
{

struct connect_probe::state
{
    struct probe
    {
        state *owner = nullptr;
        result_function onResult;
    };

    event_base *loop = nullptr;
    std::unordered_map<bufferevent *, std::unique_ptr<probe>> running;

    ~state()
    {
        for (const auto &entry : running) {
            bufferevent_free(entry.first);
        }
    }

    void end(bufferevent *connection, bool isListening)
    {
        const auto found = running.find(connection);
        const auto ended = std::move(found->second);
        running.erase(found);
        bufferevent_free(connection);
        ended->onResult(isListening);
    }
};

connect_probe::connect_probe(event_base *loop)
    : m_state(std::make_unique<state>())
{
    m_state->loop = loop;
}

connect_probe::~connect_probe() = default;

void connect_probe::start(const std::string &address, duration timeout, result_function onResult)
{
    sockaddr_storage parsed {};
    int bytes = sizeof(parsed);
    // Deferred, so that the result never comes inside this call.
    auto *connection = bufferevent_socket_new(m_state->loop, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    if (connection == nullptr
        || evutil_parse_sockaddr_port(address.c_str(), reinterpret_cast<sockaddr *>(&parsed), &bytes) != 0) {
        if (connection != nullptr) {
            bufferevent_free(connection);
        }
        onResult(false);
        return;
    }
    auto owned = std::make_unique<state::probe>(state::probe { m_state.get(), std::move(onResult) });
    bufferevent_setcb(
        connection, nullptr, nullptr,
        [](bufferevent *of, short events, void *context) {
            static_cast<state::probe *>(context)->owner->end(of, (events & BEV_EVENT_CONNECTED) != 0);
        },
        owned.get());
    m_state->running.emplace(connection, std::move(owned));
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(timeout).count();
    const timeval limit { micros / 1'000'000, static_cast<suseconds_t>(micros % 1'000'000) };
    // The timeout for writing covers the connection attempt.
    bufferevent_set_timeouts(connection, nullptr, &limit);
    bufferevent_enable(connection, EV_WRITE);
    if (bufferevent_socket_connect(connection, reinterpret_cast<const sockaddr *>(&parsed), bytes) != 0
        && m_state->running.contains(connection)) {
        m_state->end(connection, false);
    }
}

} // namespace figcleat
