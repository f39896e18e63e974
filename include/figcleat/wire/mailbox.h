#pragma once

#include "figcleat/core/ids.h"
#include "figcleat/core/result-code.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct event_base;

namespace figcleat
{

/** Bytes and messages since the process started, for metrics and for the idle cost report. */
struct mailbox_counters
{
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t messagesSent = 0;
    std::uint64_t messagesReceived = 0;
    std::uint64_t messagesDropped = 0;
};

/** Sends messages to other processes; an interface, so that tests can pass a fake. */
class message_sender
{
public:
    virtual ~message_sender() = default;
    /**
     * Queues a message; never blocks.
     *
     * @return mailbox_full if the queue to the peer is full, address_unusable if the address is no address.
     */
    virtual expected<void> send(const peer_address &to, std::string_view bytes) = 0;
    /** Drops the connection and the queue to a peer that has gone silent; the next send dials anew. */
    virtual void reconnect(const peer_address &to) = 0;
};

/**
 * Mailbox of this process: one listener for all peers and one outgoing connection a peer, over nng.
 *
 * Messages to one peer keep their order on one connection. Loss is possible whenever a connection ends.
 */
class mailbox : public message_sender
{
public:
    using handler = std::function<void(std::string_view bytes)>;

    /** Listens on `address`; `onMessage` runs on the loop's thread. */
    [[nodiscard]] static expected<std::unique_ptr<mailbox>> open(event_base *loop, const peer_address &address,
                                                                 handler onMessage);
    ~mailbox() override;
    mailbox(const mailbox &) = delete;
    mailbox &operator=(const mailbox &) = delete;

    expected<void> send(const peer_address &to, std::string_view bytes) override;
    void reconnect(const peer_address &to) override;
    [[nodiscard]] const mailbox_counters &counters() const;

private:
    struct state;
    explicit mailbox(std::unique_ptr<state> initial);
    std::unique_ptr<state> m_state;
};

} // namespace figcleat
