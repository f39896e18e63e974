#include "wire-harness.h"

#include <catch2/catch.hpp>

using namespace figcleat;
using namespace figcleat::wire_test;

namespace
{

/** Collects what the client says about its calls. */
class call_log : public http_client_handler
{
public:
    void onAnswerStart(attempt_id attempt, int status, const http_headers &given) override
    {
        statuses.push_back(status);
        headers = given;
        then(attempt);
    }
    void onBytes(attempt_id attempt, std::string_view bytes) override
    {
        body += bytes;
        then(attempt);
    }
    void onAnswerEnd(attempt_id attempt) override
    {
        ++whole;
        then(attempt);
    }
    void onFailure(attempt_id attempt, bool notSent) override
    {
        ++failed;
        unsent += notSent ? 1 : 0;
        then(attempt);
    }

    [[nodiscard]] bool hasEnded() const
    {
        return whole + failed > 0;
    }

    std::vector<int> statuses;
    http_headers headers;
    std::string body;
    int whole = 0;
    int failed = 0;
    int unsent = 0;
    int events = 0;
    /** Called in each event, with its number. */
    std::function<void(attempt_id, int)> inEvent;

private:
    void then(attempt_id attempt)
    {
        ++events;
        if (inEvent) {
            inEvent(attempt, events);
        }
    }
};

/** What a raw target receives of one call that it answers once the head is there. */
std::string receivedOf(const service_call &call)
{
    event_loop loop;
    raw_listener target;
    call_log log;
    http_client client(loop.base(), loopback, target.port(), { .firstByteTimeout = 1s, .progressTimeout = 1s }, log);
    client.start({ { 1 }, { 1 } }, call);
    std::unique_ptr<raw_socket> connection;
    loop.runUntil([&] {
        connection = connection ? std::move(connection) : target.accept();
        return log.hasEnded() || (connection && connection->received().find("\r\n\r\n") != std::string::npos);
    });
    loop.runFor(2ms);
    return connection ? connection->received() : std::string();
}

attempt_id attemptOf(std::uint64_t number)
{
    return { { 1 }, { number } };
}

const service_call getCall { "GET", "/a", {}, {} };
constexpr auto okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/** A client before a raw target whose connections the test serves itself. */
struct fixture
{
    explicit fixture(http_client_settings settings = {})
        : client(loop.base(), loopback, target.port(), withTimeouts(settings), log)
    {
    }

    static http_client_settings withTimeouts(http_client_settings settings)
    {
        const auto byDefault = [](duration &limit) { limit = limit > duration {} ? limit : duration(1s); };
        byDefault(settings.firstByteTimeout);
        byDefault(settings.progressTimeout);
        return settings;
    }

    raw_socket &accept()
    {
        std::unique_ptr<raw_socket> made;
        loop.runUntil([&] { return (made = target.accept()) != nullptr; });
        REQUIRE(made != nullptr);
        accepted.push_back(std::move(made));
        return *accepted.back();
    }

    void awaitHead(raw_socket &at, std::size_t count = 1)
    {
        REQUIRE(loop.runUntil([&] { return countOf(at.received(), "\r\n\r\n") >= count; }));
    }

    /** Starts a call whose head has arrived at the target. */
    raw_socket &call(std::uint64_t number, const service_call &what = getCall)
    {
        client.start(attemptOf(number), what);
        auto &at = accept();
        awaitHead(at);
        return at;
    }

    /** Answers a call with these pieces, then closes. */
    void answer(const std::vector<std::string> &pieces, const service_call &what = getCall)
    {
        auto &at = call(1, what);
        for (const auto &piece : pieces) {
            at.write(piece);
            loop.runFor(500us);
        }
        accepted.clear();
        loop.runUntil([this] { return log.hasEnded(); });
    }

    event_loop loop;
    raw_listener target;
    call_log log;
    http_client client;
    std::vector<std::unique_ptr<raw_socket>> accepted;
};

std::vector<std::string> bytewise(const std::string &text)
{
    std::vector<std::string> pieces;
    for (const char one : text) {
        pieces.emplace_back(1, one);
    }
    return pieces;
}

} // namespace

TEST_CASE("a body is framed for the target whatever the method", "[http-client]")
{
    const std::string smuggled = "GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n";
    for (const std::string method : { "GET", "POST", "PUT", "DELETE", "PATCH", "OPTIONS" }) {
        INFO(method);
        const auto received = receivedOf({ method, "/a?", { { "X-Id", "7" } }, smuggled });
        CHECK(received.starts_with(method + " /a? HTTP/1.1\r\n"));
        CHECK(received.find("\r\nX-Id: 7\r\n") != std::string::npos);
        CHECK(countOf(received, "\r\nContent-Length: " + std::to_string(smuggled.size()) + "\r\n") == 1);
        CHECK(received.ends_with("\r\n\r\n" + smuggled));
    }
}

TEST_CASE("an answer is the same in whatever pieces it arrives", "[http-client]")
{
    // Guards against a reader that loses or adds bytes where two reads meet.
    const std::string chunks
        = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: 7\r\nTransfer-Encoding: chunked\r\n"
          "\r\n3;a=b\r\nab\n\r\nA\r\n0123456789\r\n0\r\nX-End: 1\r\n\r\n";
    for (const auto &pieces : { std::vector { chunks }, bytewise(chunks) }) {
        fixture f;
        f.answer(pieces);
        CHECK(f.log.statuses == std::vector { 200 });
        CHECK(f.log.headers == http_headers { { "X-Id", "7" } });
        CHECK(f.log.body == "ab\n0123456789");
        CHECK(f.log.whole == 1);
    }
    for (const auto &pieces : { std::vector<std::string> { okAnswer }, bytewise(okAnswer) }) {
        fixture f;
        f.answer(pieces);
        CHECK(f.log.body == "ok");
        CHECK(f.log.whole == 1);
    }
}

TEST_CASE("a call fails at once on a status that no answer has", "[http-client]")
{
    // Guards against a call that waits for its timeout, and against a connection that is used again with the rest.
    for (const std::string line : { "HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 101 Switching Protocols",
                                    "HTTP/1.1 600 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 abc OK" }) {
        for (const std::string before : { "", "HTTP/1.1 102 Processing\r\n\r\n" }) {
            INFO(before << line);
            fixture f({ .keepAlive = true });
            auto &at = f.call(1);
            at.write(before + line + "\r\n\r\n" + okAnswer);
            CHECK(f.loop.runUntil([&] { return f.log.hasEnded(); }, 500ms));
            CHECK(f.log.failed == 1);
            CHECK(f.log.unsent == 0);
            CHECK(f.log.statuses.empty());
            CHECK(f.log.body.empty());
            CHECK(f.loop.runUntil([&] { return at.isClosed(); }, 500ms));
            f.call(2).write(okAnswer);
            CHECK(f.loop.runUntil([&] { return f.log.whole == 1; }, 500ms));
            CHECK(f.log.statuses == std::vector { 200 });
        }
    }
}

TEST_CASE("bytes of a chunk are handed on before the chunk is whole", "[http-client]")
{
    fixture f;
    auto &at = f.call(1);
    at.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nff\r\ndata: 1");
    CHECK(f.loop.runUntil([&] { return f.log.body == "data: 1"; }, 500ms));
}

TEST_CASE("only an answer that HTTP calls whole is whole", "[http-client]")
{
    // Guards against a cut answer that is passed on as whole, and against a whole one that is sent for again.
    struct wire_case
    {
        std::string answer;
        bool isWhole;
        bool endOfConnectionIsEnd;
        std::string method = "GET";
    };
    const std::vector<wire_case> cases {
        { "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", false, true },
        { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", false, true },
        { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", false, true },
        { "HTTP/1.1 200 OK\r\n\r\nok", true, true },
        { "HTTP/1.1 200 OK\r\n\r\nok", false, false },
        { "HTTP/1.0 200 OK\r\n\r\nok", true, true },
        { "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok", true, false },
        { "HTTP/1.1 204 No Content\r\n\r\n", true, false },
        { "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", true, false },
        { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", true, false, "HEAD" },
        { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok+junk", true, false },
        { "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", false, true },
        { "HTTP/1.1 200 OK\r\nContent-Le", false, true },
        { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false, true },
        { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", false, true },
        { "ok\n", false, true },
        { "", false, true },
    };
    for (const auto &one : cases) {
        INFO(one.answer);
        fixture f({ .endOfConnectionIsEnd = one.endOfConnectionIsEnd });
        f.answer({ one.answer }, { one.method, "/a", {}, {} });
        CHECK(f.log.whole == (one.isWhole ? 1 : 0));
        CHECK(f.log.failed == (one.isWhole ? 0 : 1));
        CHECK(f.log.unsent == 0);
    }
}

TEST_CASE("an answer that ends in the middle of its head is not passed on", "[http-client]")
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Seal: a\r\n\r\n";
    for (std::size_t bytes = 0; bytes < head.size(); ++bytes) {
        INFO(bytes << " bytes of the head");
        fixture f({ .endOfConnectionIsEnd = true });
        f.answer({ head.substr(0, bytes) });
        CHECK(f.log.statuses.empty());
        CHECK(f.log.whole == 0);
        CHECK(f.log.failed == 1);
    }
}

TEST_CASE("a reset is not the end of an answer without a length", "[http-client]")
{
    fixture f({ .endOfConnectionIsEnd = true });
    auto &at = f.call(1);
    at.write("HTTP/1.1 200 OK\r\n\r\nok");
    f.loop.runUntil([&] { return f.log.body == "ok"; });
    at.resetOnClose();
    f.accepted.clear();
    f.loop.runUntil([&] { return f.log.hasEnded(); });
    CHECK(f.log.whole == 0);
    CHECK(f.log.failed == 1);
}

TEST_CASE("headers for the connection alone are not handed on", "[http-client]")
{
    fixture f;
    f.answer({ "HTTP/1.1 200 OK\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\nX-Id: 7\r\nContent-Length: 0\r\n\r\n" });
    CHECK(f.log.headers == http_headers { { "X-Id", "7" } });
}

TEST_CASE("a call that cannot be written as HTTP fails from the loop", "[http-client]")
{
    // Guards against a path or header that makes two requests of one, and against events inside start.
    for (const service_call &call :
         { service_call { "GET", "/a b", {}, {} }, service_call { "GET", "/a\r\nX: y", {}, {} },
           service_call { "G T", "/", {}, {} }, service_call { "", "/", {}, {} } }) {
        fixture f;
        f.client.start(attemptOf(1), call);
        CHECK(f.log.events == 0);
        f.loop.runUntil([&] { return f.log.hasEnded(); });
        CHECK(f.log.unsent == 1);
    }
    const auto received = receivedOf({ "PURGE", "/a", { { "X-A", "1\r\nX-B: 2" }, { "X-C", "3" } }, {} });
    CHECK(received.starts_with("PURGE /a HTTP/1.1\r\nX-C: 3\r\n"));
    CHECK(received.find("X-B") == std::string::npos);
    CHECK(receivedOf({ "POST", "/a", {}, {} }).find("\r\nContent-Length: 0\r\n") != std::string::npos);
}

TEST_CASE("a call that reached no target was not sent", "[http-client]")
{
    event_loop loop;
    call_log log;
    http_client client(loop.base(), loopback, freePort(), { .firstByteTimeout = 1s, .progressTimeout = 1s }, log);
    client.start(attemptOf(1), getCall);
    CHECK(log.events == 0);
    loop.runUntil([&] { return log.hasEnded(); });
    CHECK(log.unsent == 1);
}

TEST_CASE("a silent target fails the call at the limits for the first byte and for progress", "[http-client]")
{
    fixture f({ .connectTimeout = 10ms, .firstByteTimeout = 60ms, .progressTimeout = 120ms });
    f.call(1);
    f.loop.runUntil([&] { return f.log.hasEnded(); });
    CHECK(f.log.failed == 1);
    CHECK(f.log.unsent == 0);
    auto &at = f.call(2);
    at.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok");
    f.loop.runFor(70ms);
    CHECK(f.log.failed == 1);
    f.loop.runUntil([&] { return f.log.failed == 2; }, 500ms);
    CHECK(f.log.failed == 2);
}

TEST_CASE("an answer that comes before the whole call has left is handed on", "[http-client]")
{
    // Guards against the loss of an early answer: the target closes without reading the body.
    for (const bool readsRest : { true, false }) {
        fixture f({ .keepAlive = true });
        f.client.start(attemptOf(1), { "POST", "/a", {}, std::string(std::size_t { 16 } * 1024 * 1024, 'a') });
        auto &at = f.accept();
        f.loop.runFor(10ms);
        at.write("HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno");
        if (!readsRest) {
            f.loop.runFor(5ms);
            at.resetOnClose();
            f.accepted.clear();
        }
        f.loop.runUntil([&] { return f.log.hasEnded(); });
        CHECK(f.log.statuses == std::vector { 413 });
        CHECK(f.log.body == "no");
        CHECK(f.log.whole == 1);
        // The rest of the call would be the next request's beginning.
        CHECK((!readsRest || f.loop.runUntil([&] { return at.isClosed(); }, 500ms)));
    }
}

TEST_CASE("a kept connection serves the next call unless something happened to it", "[http-client]")
{
    // Guards against a stray answer that is taken for the next call's.
    enum class incident {
        none,
        bytes_with_answer,
        bytes_while_idle,
        bytes_unread,
        closed_unread,
        close_header
    };
    for (const auto what : { incident::none, incident::bytes_with_answer, incident::bytes_while_idle,
                             incident::bytes_unread, incident::closed_unread, incident::close_header }) {
        INFO(static_cast<int>(what));
        fixture f({ .keepAlive = true });
        auto &first = f.call(1);
        const std::string stray = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray";
        first.write(what == incident::bytes_with_answer ? okAnswer + stray
                        : what == incident::close_header
                        ? "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"
                        : okAnswer);
        f.loop.runUntil([&] { return f.log.whole == 1; });
        if (what == incident::bytes_while_idle) {
            first.write(stray);
            f.loop.runFor(2ms);
        } else if (what == incident::bytes_unread) {
            first.write(stray);
        } else if (what == incident::closed_unread) {
            f.accepted.clear();
        }
        f.client.start(attemptOf(2), getCall);
        const bool isKept = what == incident::none;
        auto &second = isKept ? first : f.accept();
        f.awaitHead(second, isKept ? 2 : 1);
        second.write(okAnswer);
        f.loop.runUntil([&] { return f.log.whole == 2; });
        CHECK(f.log.body == "okok");
        CHECK(f.log.failed == 0);
    }
}

TEST_CASE("calls can be cancelled and started in any event", "[http-client]")
{
    // Guards against the use of a call that its own event has ended.
    const std::string answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n1\r\nb\r\n0\r\n\r\n";
    constexpr int eventsOfAnswer = 4;
    for (int at = 1; at <= eventsOfAnswer; ++at) {
        INFO(at);
        fixture f({ .keepAlive = true });
        f.log.inEvent = [&](attempt_id attempt, int number) {
            if (number == at) {
                f.client.cancel(attempt);
                f.client.start(attemptOf(2), getCall);
            }
        };
        f.call(1).write(answer);
        f.loop.runUntil([&] { return f.log.events == at; });
        f.loop.runFor(2ms);
        CHECK(f.log.events == at);
        const bool isKept = at == eventsOfAnswer;
        CHECK((isKept || f.accepted.front()->isClosed()));
        auto &second = isKept ? *f.accepted.front() : f.accept();
        f.awaitHead(second, isKept ? 2 : 1);
        second.write(okAnswer);
        f.loop.runUntil([&] { return f.log.events == at + 3; });
        CHECK(f.log.events == at + 3);
        CHECK(f.log.failed == 0);
    }
}

TEST_CASE("a body above the limit of a client fails the call", "[http-client]")
{
    // Guards against an agent or a command line that collects a body without end.
    for (const std::string answer :
         { "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n",
           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3e8\r\n", "HTTP/1.1 200 OK\r\n\r\n" }) {
        INFO(answer);
        fixture f({ .endOfConnectionIsEnd = true, .maxBodyBytes = 999 });
        f.call(1).write(answer + std::string(1000, 'a'));
        f.loop.runUntil([&] { return f.log.hasEnded(); }, 500ms);
        CHECK(f.log.failed == 1);
        CHECK(f.log.body.size() < 1000);
    }
    fixture f({ .maxBodyBytes = 2 });
    f.answer({ okAnswer });
    CHECK(f.log.whole == 1);
}
