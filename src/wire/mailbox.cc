#include "figcleat/wire/mailbox.h"

#include "figcleat/core/log.h"
#include "figcleat/wire/codec.h"

#include <event2/event.h>
#include <mutex>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>
#include <unordered_map>

namespace figcleat
{

namespace
{

// Messages that wait for one peer.
constexpr int sendQueueMessages = 256;
constexpr nng_duration reconnectMinMs = 50;
constexpr nng_duration reconnectMaxMs = 500;
// Messages handled in a row before other events of the loop get their turn.
constexpr int messagesPerTurn = 64;

std::string url(const peer_address &address)
{
    return "tcp://" + address.value;
}

/**
 * Sends on one connection to one peer.
 *
 * nng 1.5.2 may keep a connection that ends during a send in the socket's list of ready ones after it has freed it, so
 * that a later send crashes. A socket whose connection has ended is therefore never used again. nng frees a connection
 * only once it has returned from `onConnectionEnded`, which waits for a send under way.
 */
class push_socket
{
public:
    explicit push_socket(nng_socket socket)
        : m_socket(socket)
    {
        nng_pipe_notify(m_socket, NNG_PIPE_EV_ADD_PRE, &push_socket::onConnection, this);
        nng_pipe_notify(m_socket, NNG_PIPE_EV_REM_POST, &push_socket::onConnectionEnded, this);
    }
    ~push_socket()
    {
        nng_close(m_socket);
    }
    push_socket(const push_socket &) = delete;
    push_socket &operator=(const push_socket &) = delete;
    [[nodiscard]] bool hasEnded() const
    {
        const std::lock_guard lock(m_mutex);
        return m_hasEnded;
    }
    [[nodiscard]] int send(std::string_view bytes) const
    {
        nng_msg *message = nullptr;
        if (const int failed = nng_msg_alloc(&message, bytes.size()); failed != 0) {
            return failed;
        }
        std::copy(bytes.begin(), bytes.end(), static_cast<char *>(nng_msg_body(message)));
        const std::lock_guard lock(m_mutex);
        const int failed = m_hasEnded ? NNG_ECLOSED : nng_sendmsg(m_socket, message, NNG_FLAG_NONBLOCK);
        if (failed != 0) {
            nng_msg_free(message);
        }
        return failed;
    }

private:
    // Both run on threads of nng.
    static void onConnection(nng_pipe connection, nng_pipe_ev /*event*/, void *context)
    {
        auto *self = static_cast<push_socket *>(context);
        const std::lock_guard lock(self->m_mutex);
        if (std::exchange(self->m_hasConnected, true)) {
            // The dialer of nng connects again by itself; that connection would join the same list.
            nng_pipe_close(connection);
        }
    }
    static void onConnectionEnded(nng_pipe /*connection*/, nng_pipe_ev /*event*/, void *context)
    {
        auto *self = static_cast<push_socket *>(context);
        const std::lock_guard lock(self->m_mutex);
        self->m_hasEnded = true;
    }

    nng_socket m_socket;
    mutable std::mutex m_mutex;
    bool m_hasConnected = false;
    bool m_hasEnded = false;
};

expected<std::unique_ptr<push_socket>> dial(const peer_address &to)
{
    nng_socket socket;
    if (const int failed = nng_push0_open(&socket); failed != 0) {
        return fail(result_code::address_unusable, nng_strerror(failed));
    }
    auto owned = std::make_unique<push_socket>(socket);
    nng_socket_set_int(socket, NNG_OPT_SENDBUF, sendQueueMessages);
    nng_socket_set_ms(socket, NNG_OPT_RECONNMINT, reconnectMinMs);
    nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, reconnectMaxMs);
    nng_socket_set_bool(socket, NNG_OPT_TCP_NODELAY, true);
    if (const int failed = nng_dial(socket, url(to).c_str(), nullptr, NNG_FLAG_NONBLOCK); failed != 0) {
        return fail(result_code::address_unusable, to.value + ": " + nng_strerror(failed));
    }
    return owned;
}

} // namespace

struct mailbox::state
{
    nng_socket listener = NNG_SOCKET_INITIALIZER;
    event *readable = nullptr;
    handler onMessage;
    std::unordered_map<peer_address, std::unique_ptr<push_socket>> peers;
    mailbox_counters counters;

    ~state()
    {
        if (readable != nullptr) {
            event_free(readable);
        }
        if (nng_socket_id(listener) > 0) {
            nng_close(listener);
        }
    }

    void receiveAll()
    {
        for (int i = 0; i < messagesPerTurn; ++i) {
            nng_msg *message = nullptr;
            if (nng_recvmsg(listener, &message, NNG_FLAG_NONBLOCK) != 0) {
                return;
            }
            const std::unique_ptr<nng_msg, void (*)(nng_msg *)> owned(message, nng_msg_free);
            const std::string_view bytes(static_cast<const char *>(nng_msg_body(message)), nng_msg_len(message));
            counters.messagesReceived += 1;
            counters.bytesReceived += bytes.size();
            onMessage(bytes);
        }
    }
};

mailbox::mailbox(std::unique_ptr<state> initial)
    : m_state(std::move(initial))
{
}

mailbox::~mailbox() = default;

expected<std::unique_ptr<mailbox>> mailbox::open(event_base *loop, const peer_address &address, handler onMessage)
{
    auto opened = std::make_unique<state>();
    opened->onMessage = std::move(onMessage);
    int descriptor = -1;
    int failed = nng_pull0_open(&opened->listener);
    if (failed == 0) {
        failed = nng_socket_set_size(opened->listener, NNG_OPT_RECVMAXSZ, maxMessageBytes);
    }
    if (failed == 0) {
        failed = nng_listen(opened->listener, url(address).c_str(), nullptr, 0);
    }
    if (failed == 0) {
        failed = nng_socket_get_int(opened->listener, NNG_OPT_RECVFD, &descriptor);
    }
    if (failed != 0) {
        return fail(result_code::address_unusable, address.value + ": " + nng_strerror(failed));
    }
    opened->readable = event_new(
        loop, descriptor, EV_READ | EV_PERSIST,
        [](evutil_socket_t, short, void *context) { static_cast<state *>(context)->receiveAll(); }, opened.get());
    event_add(opened->readable, nullptr);
    return std::unique_ptr<mailbox>(new mailbox(std::move(opened)));
}

expected<void> mailbox::send(const peer_address &to, std::string_view bytes)
{
    auto found = m_state->peers.find(to);
    if (found != m_state->peers.end() && found->second->hasEnded()) {
        m_state->peers.erase(found);
        found = m_state->peers.end();
    }
    if (found == m_state->peers.end()) {
        auto dialled = dial(to);
        if (!dialled) {
            return tl::unexpected<error>(dialled.error());
        }
        found = m_state->peers.emplace(to, std::move(*dialled)).first;
    }
    if (const int failed = found->second->send(bytes); failed != 0) {
        m_state->counters.messagesDropped += 1;
        return fail(result_code::mailbox_full, to.value);
    }
    m_state->counters.messagesSent += 1;
    m_state->counters.bytesSent += bytes.size();
    return {};
}

void mailbox::reconnect(const peer_address &to)
{
    if (m_state->peers.erase(to) > 0) {
        logFor(part::mailbox)->debug("Peer {} is silent; its connection is closed.", to.value);
    }
}

const mailbox_counters &mailbox::counters() const
{
    return m_state->counters;
}

} // namespace figcleat
