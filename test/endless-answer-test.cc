#include "wire-harness.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <fstream>
#include <malloc.h>

#ifdef __SANITIZE_ADDRESS__
/** Of the sanitizer's interface; GCC installs no header for it. */
extern "C" std::size_t __sanitizer_get_current_allocated_bytes();
#endif

using namespace figcleat;
using namespace figcleat::wire_test;

namespace
{

/** A front has 160 MB for 4,096 calls in progress. */
constexpr std::size_t frontBytes = 160'000'000;
constexpr std::size_t frontCalls = 4096;
/** Of a single call, with room for pages that the allocator takes at once. */
constexpr std::size_t memoryBound = std::size_t { 4 } * 1024 * 1024;
/** Bytes that a target has sent when its answer is given up: far above any head, far below any time limit. */
constexpr std::size_t sentBound = std::size_t { 512 } * 1024;
/** The target stops by itself there, so that a fault does not take the memory of the machine. */
constexpr std::size_t sentMax = std::size_t { 16 } * 1024 * 1024;
constexpr std::size_t turnBytes = std::size_t { 32 } * 1024;
/** As of a front; the call must fail long before. */
constexpr http_client_settings settings { .firstByteTimeout = 2s, .progressTimeout = 2s };

struct endless_answer
{
    std::string name;
    std::string start;
    std::string piece;
};

std::string chunked(const std::string &rest)
{
    return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + rest;
}

/** Nothing of them can be passed on, so that a client that waits for their end holds all of it. */
std::vector<endless_answer> endlessFrames()
{
    return { { "header lines", "HTTP/1.1 200 OK\r\n", "X-Trace: 0123456789abcdef\r\n" },
             { "short header lines", "HTTP/1.1 200 OK\r\n", "a:b\r\n" },
             { "100 Continue", "", "HTTP/1.1 100 Continue\r\n\r\n" },
             { "102 Processing", "", "HTTP/1.1 102 Processing\r\nX-Step: 1\r\n\r\n" },
             { "one header line", "HTTP/1.1 200 OK\r\nX-Trace: ", "0123456789abcdef" },
             { "one status line", "HTTP/1.1 200 ", "0123456789abcdef" },
             { "junk without a line end", "", "0123456789abcdef" },
             { "junk lines", "", "0123456789abcdef\r\n" },
             { "lines that end with LF", "HTTP/1.1 200 OK\n", "X-Trace: 0123456789abcdef\n" },
             { "a chunk size", chunked(""), "0000000000000000" },
             { "a chunk extension", chunked("5;"), "0123456789abcdef" },
             { "trailers", chunked("2\r\nok\r\n0\r\n"), "X-Trace: 0123456789abcdef\r\n" },
             { "one trailer", chunked("2\r\nok\r\n0\r\nX-Trace: "), "0123456789abcdef" } };
}

std::vector<endless_answer> endlessBodies()
{
    return { { "one chunk", chunked("10000000000\r\n"), "0123456789abcdef" },
             { "chunks of one byte", chunked(""), "1\r\na\r\n" },
             { "no length", "HTTP/1.1 200 OK\r\n\r\n", "0123456789abcdef" },
             { "a length", "HTTP/1.1 200 OK\r\nContent-Length: 1099511627776\r\n\r\n", "0123456789abcdef" },
             { "an event", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: ", "0123456789abcdef" } };
}

/** Resident memory; where the address sanitizer keeps freed memory resident, what is allocated. */
std::size_t bytesTaken()
{
#ifdef __SANITIZE_ADDRESS__
    return __sanitizer_get_current_allocated_bytes();
#else
    std::ifstream file("/proc/self/statm");
    std::size_t all = 0;
    std::size_t resident = 0;
    file >> all >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
#endif
}

/** Without the pages that an earlier case left to the allocator: they would hide what the next one takes. */
std::size_t bytesTakenAfterTrim()
{
    malloc_trim(0);
    return bytesTaken();
}

/** Counts what the client says; cancels a call whose body grows above the limit, as the forwarder does. */
class call_counter : public http_client_handler
{
public:
    void onAnswerStart(attempt_id /*attempt*/, int /*status*/, const http_headers & /*headers*/) override
    {
        ++started;
    }
    void onBytes(attempt_id attempt, std::string_view given) override
    {
        eventsAfterCancel += isCancelled ? 1 : 0;
        bytes += given.size();
        if (bytes > bodyLimit && client != nullptr && !isCancelled) {
            isCancelled = true;
            client->cancel(attempt);
        }
    }
    void onAnswerEnd(attempt_id /*attempt*/) override
    {
        ++whole;
        eventsAfterCancel += isCancelled ? 1 : 0;
    }
    void onFailure(attempt_id /*attempt*/, bool notSent) override
    {
        ++failed;
        unsent += notSent ? 1 : 0;
        eventsAfterCancel += isCancelled ? 1 : 0;
    }

    static constexpr std::size_t bodyLimit = std::size_t { 1024 } * 1024;
    http_client *client = nullptr;
    int started = 0;
    std::size_t bytes = 0;
    int whole = 0;
    int failed = 0;
    int unsent = 0;
    bool isCancelled = false;
    int eventsAfterCancel = 0;
};

/** Answers each connection with the same bytes for ever, as fast as they are read. */
class endless_target
{
public:
    explicit endless_target(endless_answer answer, std::size_t most = sentMax)
        : m_answer(std::move(answer))
        , m_most(most)
    {
        while (m_block.size() < turnBytes) {
            m_block += m_answer.piece;
        }
    }

    [[nodiscard]] std::uint16_t port() const
    {
        return m_listener.port();
    }

    void serve()
    {
        while (auto accepted = m_listener.accept()) {
            m_connections.push_back({ std::move(accepted) });
        }
        for (auto &one : m_connections) {
            serve(one);
        }
    }

    [[nodiscard]] bool isClosedEverywhere()
    {
        return std::all_of(m_connections.begin(), m_connections.end(),
                           [](connection &one) { return one.socket->isClosed(); });
    }

    [[nodiscard]] std::size_t mostSent() const
    {
        std::size_t most = 0;
        for (const auto &one : m_connections) {
            most = std::max(most, one.sent);
        }
        return most;
    }

private:
    struct connection
    {
        std::unique_ptr<raw_socket> socket;
        std::size_t sent = 0;
        /** Bytes of the block that the last turn sent in part. */
        std::size_t offset = 0;
    };

    void serve(connection &one) const
    {
        if (one.socket->received().find("\r\n\r\n") == std::string::npos || one.socket->isClosed()) {
            return;
        }
        if (one.sent == 0 && !m_answer.start.empty()) {
            one.sent = one.socket->write(m_answer.start);
            return;
        }
        if (one.sent < m_most) {
            const auto taken = one.socket->write(std::string_view(m_block).substr(one.offset));
            one.sent += taken;
            one.offset = (one.offset + taken) % m_block.size();
        }
    }

    raw_listener m_listener;
    endless_answer m_answer;
    std::size_t m_most;
    std::string m_block;
    std::vector<connection> m_connections;
};

const service_call anyCall { "GET", "/a", {}, {} };

attempt_id attemptOf(std::uint64_t number)
{
    return { { 1 }, { number } };
}

} // namespace

TEST_CASE("an answer whose head or framing never ends fails at a bound of bytes", "[endless-answer]")
{
    // Guards against a front that runs out of memory, or holds a call until its time limit, for one faulty target.
    for (const auto &answer : endlessFrames()) {
        INFO(answer.name);
        event_loop loop;
        endless_target target(answer);
        call_counter log;
        http_client client(loop.base(), loopback, target.port(), settings, log);
        const auto before = bytesTakenAfterTrim();
        auto most = before;
        const auto begin = std::chrono::steady_clock::now();
        client.start(attemptOf(1), anyCall);
        loop.runUntil(
            [&] {
                target.serve();
                most = std::max(most, bytesTaken());
                return log.failed + log.whole > 0;
            },
            5s);
        const auto sent = target.mostSent();
        const auto millis
            = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - begin).count();
        INFO("failed after " << millis << " ms");
        CHECK(log.failed == 1);
        CHECK(log.whole == 0);
        CHECK(log.unsent == 0);
        CHECK(sent <= sentBound);
        CHECK(most - before <= memoryBound);
        CHECK(loop.runUntil([&] { return target.isClosedEverywhere(); }, 500ms));
    }
}

TEST_CASE("many answers whose head never ends keep a front within its memory", "[endless-answer]")
{
    constexpr std::uint64_t calls = 128;
    constexpr std::size_t bound = frontBytes / frontCalls * calls;
    for (const auto &answer : endlessFrames()) {
        INFO(answer.name);
        event_loop loop;
        endless_target target(answer, std::size_t { 512 } * 1024);
        call_counter log;
        http_client client(loop.base(), loopback, target.port(), settings, log);
        const auto before = bytesTakenAfterTrim();
        auto most = before;
        for (std::uint64_t i = 1; i <= calls; ++i) {
            client.start(attemptOf(i), anyCall);
        }
        loop.runUntil(
            [&] {
                target.serve();
                most = std::max(most, bytesTaken());
                return static_cast<std::uint64_t>(log.failed + log.whole) == calls;
            },
            5s);
        CHECK(static_cast<std::uint64_t>(log.failed) == calls);
        CHECK(most - before <= bound);
    }
}

TEST_CASE("a body without end is handed on as it comes and can be cancelled", "[endless-answer]")
{
    // Guards against a body that is collected before it is handed on, and against events after a cancel.
    for (const auto &answer : endlessBodies()) {
        INFO(answer.name);
        event_loop loop;
        endless_target target(answer);
        call_counter log;
        http_client client(loop.base(), loopback, target.port(), settings, log);
        log.client = &client;
        const auto before = bytesTakenAfterTrim();
        auto most = before;
        client.start(attemptOf(1), anyCall);
        loop.runUntil(
            [&] {
                target.serve();
                most = std::max(most, bytesTaken());
                return log.isCancelled || log.failed + log.whole > 0;
            },
            5s);
        CHECK(log.isCancelled);
        CHECK(most - before <= memoryBound);
        CHECK(loop.runUntil([&] { return target.isClosedEverywhere(); }, 500ms));
        loop.runFor(5ms);
        CHECK(log.eventsAfterCancel == 0);
    }
}
