#include "figcleat/wire/mailbox.h"

#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <event2/event.h>
#include <poll.h>
#include <random>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace figcleat;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t peers = 48;
constexpr auto testLength = 4s;

int listenOnLoopback(std::uint16_t &port)
{
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    REQUIRE(listener >= 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof address;
    REQUIRE(bind(listener, reinterpret_cast<sockaddr *>(&address), length) == 0);
    REQUIRE(listen(listener, 16) == 0);
    REQUIRE(getsockname(listener, reinterpret_cast<sockaddr *>(&address), &length) == 0);
    port = ntohs(address.sin_port);
    return listener;
}

/** A process that accepts messages and closes its connections after a few of them, as one that is restarted does. */
class closing_peer
{
public:
    explicit closing_peer(std::uint64_t seed)
        : m_random(seed)
        , m_listener(listenOnLoopback(m_port))
        , m_thread([this] { run(); })
    {
    }
    ~closing_peer()
    {
        m_stops = true;
        m_thread.join();
        close(m_listener);
    }
    closing_peer(const closing_peer &) = delete;
    closing_peer &operator=(const closing_peer &) = delete;

    [[nodiscard]] peer_address address() const
    {
        return { "127.0.0.1:" + std::to_string(m_port) };
    }
    /** Connections on which messages arrived; all of them were closed. */
    [[nodiscard]] std::size_t served() const
    {
        return m_served;
    }

private:
    void run()
    {
        while (!m_stops) {
            pollfd ready { m_listener, POLLIN, 0 };
            if (poll(&ready, 1, 20) <= 0) {
                continue;
            }
            if (const int connection = accept(m_listener, nullptr, nullptr); connection >= 0) {
                m_served += serve(connection) ? 1 : 0;
                close(connection);
            }
        }
    }

    /** True if a message arrived. */
    bool serve(int connection)
    {
        // Greeting of the pull side of nng's pipeline protocol over TCP.
        constexpr std::array<unsigned char, 8> greeting { 0, 'S', 'P', 0, 0, 0x51, 0, 0 };
        if (write(connection, greeting.data(), greeting.size()) != static_cast<ssize_t>(greeting.size())) {
            return false;
        }
        std::array<char, 4096> bytes {};
        std::size_t received = 0;
        const auto reads = std::uniform_int_distribution<int>(1, 6)(m_random);
        for (int i = 0; i < reads && !m_stops; ++i) {
            pollfd ready { connection, POLLIN, 0 };
            const auto count = poll(&ready, 1, 20) <= 0 ? 0 : read(connection, bytes.data(), bytes.size());
            if (count <= 0) {
                break;
            }
            received += static_cast<std::size_t>(count);
        }
        return received > greeting.size();
    }

    std::mt19937_64 m_random;
    std::uint16_t m_port = 0;
    int m_listener;
    std::atomic<bool> m_stops = false;
    std::atomic<std::size_t> m_served = 0;
    std::thread m_thread;
};

} // namespace

TEST_CASE("a peer that closes its connection during a send does not end the process", "[mailbox]")
{
    // Guards against a send on a connection that nng has freed: it stays in the push socket's list of ready ones.
    const std::unique_ptr<event_base, void (*)(event_base *)> loop(event_base_new(), event_base_free);
    auto box = mailbox::open(loop.get(), { "127.0.0.1:0" }, [](std::string_view) {});
    REQUIRE(box);
    std::vector<std::unique_ptr<closing_peer>> others;
    for (std::size_t i = 0; i < peers; ++i) {
        others.push_back(std::make_unique<closing_peer>(i + 1));
    }
    const std::string message(200, 'x');
    const auto end = std::chrono::steady_clock::now() + testLength;
    while (std::chrono::steady_clock::now() < end) {
        for (const auto &one : others) {
            // A full queue is no failure here.
            static_cast<void>((*box)->send(one->address(), message));
        }
        event_base_loop(loop.get(), EVLOOP_NONBLOCK);
    }
    for (const auto &one : others) {
        // The mailbox connects anew after each of these.
        CHECK(one->served() > 1);
    }
}
