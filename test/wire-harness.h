#pragma once

#include "figcleat/http/client.h"
#include "figcleat/http/server.h"

#include <arpa/inet.h>
#include <array>
#include <chrono>
#include <cstring>
#include <event2/event.h>
#include <fcntl.h>
#include <functional>
#include <map>
#include <memory>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

/** Raw sockets before and behind the HTTP server and client, all on one event loop. */
namespace figcleat::wire_test
{

using namespace std::chrono_literals;

constexpr auto loopback = "127.0.0.1";

class event_loop
{
public:
    event_loop()
        : m_base(event_base_new())
    {
    }
    ~event_loop()
    {
        event_base_free(m_base);
    }
    event_loop(const event_loop &) = delete;
    event_loop &operator=(const event_loop &) = delete;

    [[nodiscard]] event_base *base() const
    {
        return m_base;
    }

    void runFor(duration time) const
    {
        runUntil([] { return false; }, time);
    }

    /** False if the limit passed first. */
    bool runUntil(const std::function<bool()> &isDone, duration limit = 2s) const
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (!isDone()) {
            event_base_loop(m_base, EVLOOP_NONBLOCK);
            if (std::chrono::steady_clock::now() >= end) {
                return isDone();
            }
            std::this_thread::sleep_for(100us);
        }
        return true;
    }

private:
    event_base *m_base;
};

/** A connected socket that never blocks. */
class raw_socket
{
public:
    explicit raw_socket(int descriptor)
        : m_descriptor(descriptor)
    {
        const int on = 1;
        setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        fcntl(m_descriptor, F_SETFL, O_NONBLOCK);
    }
    ~raw_socket()
    {
        close(m_descriptor);
    }
    raw_socket(const raw_socket &) = delete;
    raw_socket &operator=(const raw_socket &) = delete;

    /** Number of bytes that the other side's buffers took. */
    std::size_t write(std::string_view bytes) const
    {
        const auto sent = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        return sent < 0 ? 0 : static_cast<std::size_t>(sent);
    }

    /** The other side reads the end of the connection; it can still write. */
    void finishWriting() const
    {
        ::shutdown(m_descriptor, SHUT_WR);
    }

    /** The other side reads a reset when this one is destroyed. */
    void resetOnClose() const
    {
        const linger reset { .l_onoff = 1, .l_linger = 0 };
        setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    }

    /** Everything received so far. */
    const std::string &received()
    {
        std::array<char, 65536> buffer {};
        while (!m_isClosed) {
            const auto count = ::recv(m_descriptor, buffer.data(), buffer.size(), 0);
            if (count < 0 && errno == EAGAIN) {
                break;
            }
            m_isClosed = count <= 0;
            m_received.append(buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
        }
        return m_received;
    }

    bool isClosed()
    {
        received();
        return m_isClosed;
    }

private:
    int m_descriptor;
    bool m_isClosed = false;
    std::string m_received;
};

inline sockaddr_in loopbackAddress(std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, loopback, &address.sin_addr);
    return address;
}

class raw_listener
{
public:
    raw_listener()
        : m_descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
    {
        const auto any = loopbackAddress(0);
        bind(m_descriptor, reinterpret_cast<const sockaddr *>(&any), sizeof(any));
        listen(m_descriptor, SOMAXCONN);
        sockaddr_in bound {};
        socklen_t size = sizeof(bound);
        getsockname(m_descriptor, reinterpret_cast<sockaddr *>(&bound), &size);
        m_port = ntohs(bound.sin_port);
    }
    ~raw_listener()
    {
        close(m_descriptor);
    }
    raw_listener(const raw_listener &) = delete;
    raw_listener &operator=(const raw_listener &) = delete;

    [[nodiscard]] std::uint16_t port() const
    {
        return m_port;
    }

    /** Null while no connection waits. */
    [[nodiscard]] std::unique_ptr<raw_socket> accept() const
    {
        const int accepted = ::accept(m_descriptor, nullptr, nullptr);
        return accepted < 0 ? nullptr : std::make_unique<raw_socket>(accepted);
    }

private:
    int m_descriptor;
    std::uint16_t m_port = 0;
};

inline std::uint16_t freePort()
{
    return raw_listener().port();
}

inline std::unique_ptr<raw_socket> connectTo(std::uint16_t port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    const auto address = loopbackAddress(port);
    connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
    return std::make_unique<raw_socket>(descriptor);
}

inline std::size_t countOf(std::string_view text, std::string_view what)
{
    std::size_t count = 0;
    for (auto at = text.find(what); at != std::string_view::npos; at = text.find(what, at + what.size())) {
        ++count;
    }
    return count;
}

} // namespace figcleat::wire_test
