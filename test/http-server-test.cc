#include "wire-harness.h"

#include <catch2/catch.hpp>
#include <random>

using namespace figcleat;
using namespace figcleat::wire_test;

namespace
{

constexpr auto okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/** Passes each request on to a raw target, as a front does. */
class relay : public http_handler, public http_client_handler
{
public:
    relay()
        : m_port(freePort())
        , m_server(*http_server::open(m_loop.base(), loopback, m_port, {}, *this))
        , m_client(m_loop.base(), loopback, m_target.port(),
                   { .firstByteTimeout = 2s, .progressTimeout = 2s, .keepHost = true }, *this)
    {
    }

    /** Sends the pieces one by one on a new connection; the caller's answer, empty if there was none. */
    std::string call(const std::vector<std::string> &pieces)
    {
        const auto caller = connectTo(m_port);
        for (const auto &piece : pieces) {
            caller->write(piece);
            m_loop.runFor(1ms);
            serve();
        }
        m_loop.runUntil(
            [&] {
                serve();
                return !caller->received().empty() || caller->isClosed();
            },
            500ms);
        return caller->received();
    }

    std::string callInTwo(const std::string &request, std::size_t cut)
    {
        return call({ request.substr(0, cut), request.substr(cut) });
    }

    /** Bytes that targets got since the last question, one entry for each connection. */
    std::vector<std::string> takeReceived()
    {
        m_loop.runFor(1ms);
        serve();
        std::vector<std::string> all;
        for (const auto &one : m_connections) {
            all.push_back(one->received());
        }
        m_connections.clear();
        m_answered.clear();
        return all;
    }

    std::unique_ptr<raw_socket> connect()
    {
        return connectTo(m_port);
    }

    bool runUntil(const std::function<bool()> &isDone, duration limit = 1s)
    {
        return m_loop.runUntil(
            [&] {
                serve();
                return isDone();
            },
            limit);
    }

    std::vector<http_request> requests;

private:
    /** Answers whatever comes, as soon as its head is there. */
    void serve()
    {
        if (auto accepted = m_target.accept(); accepted) {
            m_connections.push_back(std::move(accepted));
        }
        for (const auto &one : m_connections) {
            if (one->received().find("\r\n\r\n") != std::string::npos && !m_answered.contains(one.get())) {
                m_answered[one.get()] = true;
                one->write(okAnswer);
            }
        }
    }

    void onRequest(exchange_id exchange, http_request request) override
    {
        requests.push_back(request);
        m_client.start({ { 1 }, { exchange.value } },
                       { request.method, request.path, request.headers, std::move(request.body) });
    }
    void onCallerGone(exchange_id exchange) override
    {
        m_client.cancel({ { 1 }, { exchange.value } });
    }
    void onRejected(result_code /*code*/) override
    {
    }
    void onAnswerStart(attempt_id /*attempt*/, int status, const http_headers & /*headers*/) override
    {
        m_status = status;
    }
    void onBytes(attempt_id /*attempt*/, std::string_view bytes) override
    {
        m_body += bytes;
    }
    void onAnswerEnd(attempt_id attempt) override
    {
        m_server->reply({ attempt.number.value }, m_status, {}, std::exchange(m_body, {}));
    }
    void onFailure(attempt_id attempt, bool /*notSent*/) override
    {
        constexpr int badGateway = 502;
        m_server->reply({ attempt.number.value }, badGateway, {}, {});
    }

    event_loop m_loop;
    raw_listener m_target;
    std::vector<std::unique_ptr<raw_socket>> m_connections;
    std::map<raw_socket *, bool> m_answered;
    std::uint16_t m_port;
    std::unique_ptr<http_server> m_server;
    http_client m_client;
    int m_status = 0;
    std::string m_body;
};

/** Answers each request with a body that exceeds the buffers of the socket. */
class large_answer : public http_handler
{
public:
    explicit large_answer(std::string body)
        : m_body(std::move(body))
    {
    }

    void onRequest(exchange_id exchange, http_request /*request*/) override
    {
        constexpr int ok = 200;
        server->reply(exchange, ok, {}, m_body);
        answered = true;
    }
    void onCallerGone(exchange_id /*exchange*/) override
    {
    }
    void onRejected(result_code /*code*/) override
    {
    }

    http_server *server = nullptr;
    bool answered = false;

private:
    std::string m_body;
};

/** Answers each request with a stream of one piece. */
class stream_answer : public http_handler
{
public:
    explicit stream_answer(int status)
        : m_status(status)
    {
    }

    void onRequest(exchange_id exchange, http_request /*request*/) override
    {
        server->startStream(exchange, m_status, {});
        CHECK(server->sendPiece(exchange, "piece"));
        server->endStream(exchange);
    }
    void onCallerGone(exchange_id /*exchange*/) override
    {
    }
    void onRejected(result_code /*code*/) override
    {
    }

    http_server *server = nullptr;

private:
    int m_status;
};

/** Answers `/now` at once and no other request. */
class some_answers : public http_handler
{
public:
    void onRequest(exchange_id exchange, http_request request) override
    {
        constexpr int ok = 200;
        ++requests;
        if (request.path == "/now") {
            server->reply(exchange, ok, {}, "ok");
        }
    }
    void onCallerGone(exchange_id /*exchange*/) override
    {
    }
    void onRejected(result_code /*code*/) override
    {
    }

    http_server *server = nullptr;
    int requests = 0;
};

/** Keeps requests until the test answers them. */
class held_requests : public http_handler
{
public:
    void onRequest(exchange_id exchange, http_request request) override
    {
        exchanges.push_back(exchange);
        paths.push_back(request.path);
    }
    void onCallerGone(exchange_id /*exchange*/) override
    {
    }
    void onRejected(result_code code) override
    {
        rejected.push_back(code);
    }

    std::vector<exchange_id> exchanges;
    std::vector<std::string> paths;
    std::vector<result_code> rejected;
};

/** A server whose answers the test gives, before and in a planned stop. */
struct stopping_server
{
    std::unique_ptr<raw_socket> connect() const
    {
        auto caller = connectTo(port);
        loop.runFor(2ms);
        return caller;
    }

    /** Sends a request and waits until the handler has it. */
    void send(const raw_socket &caller, const std::string &path)
    {
        const auto before = handler.exchanges.size();
        caller.write("GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n");
        REQUIRE(loop.runUntil([&] { return handler.exchanges.size() > before; }));
    }

    void answerLast()
    {
        constexpr int ok = 200;
        server->reply(handler.exchanges.back(), ok, {}, "ok");
        loop.runFor(2ms);
    }

    event_loop loop;
    held_requests handler;
    std::uint16_t port = freePort();
    std::unique_ptr<http_server> server = *http_server::open(loop.base(), loopback, port, {}, handler);
};

std::string requestLine(const std::string &bytes)
{
    return bytes.substr(0, bytes.find("\r\n"));
}

std::string headerLines(const std::string &request, const std::string &name)
{
    std::string found;
    for (std::size_t at = 0, end = 0; (end = request.find("\r\n", at)) != std::string::npos && end != at;
         at = end + 2) {
        if (request.compare(at, name.size() + 1, name + ":") == 0) {
            found += request.substr(at, end - at) + "\n";
        }
    }
    return found;
}

std::string randomText(std::mt19937_64 &random, std::size_t most)
{
    constexpr std::string_view letters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~%+";
    std::string text(1 + random() % most, '\0');
    std::generate(text.begin(), text.end(), [&] { return letters[random() % letters.size()]; });
    return text;
}

std::vector<std::string> inPieces(const std::string &bytes, std::mt19937_64 &random)
{
    constexpr std::size_t longestPiece = 12;
    std::vector<std::string> pieces;
    for (std::size_t at = 0; at < bytes.size(); at += pieces.back().size()) {
        pieces.push_back(bytes.substr(at, 1 + random() % longestPiece));
    }
    return pieces;
}

} // namespace

TEST_CASE("a request line that arrives in two pieces reaches the target unchanged", "[http-server]")
{
    const std::string line = "POST /abc/defgh?q=xy HTTP/1.1";
    const std::string request = line + "\r\nHost: desk.example\r\nX-Id: 7\r\nContent-Length: 4\r\n\r\nbody";
    relay between;
    for (std::size_t cut = 1; cut < request.size(); ++cut) {
        INFO("cut after byte " << cut);
        CHECK(between.callInTwo(request, cut).starts_with("HTTP/1.1 200 "));
        const auto received = between.takeReceived();
        REQUIRE(received.size() == 1);
        CHECK(requestLine(received.front()) == line);
        CHECK(headerLines(received.front(), "X-Id") == "X-Id: 7\n");
        CHECK(received.front().ends_with("\r\n\r\nbody"));
    }
}

TEST_CASE("random requests in small pieces reach the target unchanged", "[http-server]")
{
    constexpr int runs = 100;
    constexpr std::uint64_t seed = 17;
    std::mt19937_64 random(seed);
    relay between;
    for (int run = 0; run < runs; ++run) {
        const std::string query = random() % 2 == 0 ? "" : "?" + randomText(random, 20) + "=" + randomText(random, 9);
        const std::string line = "PUT /" + randomText(random, 12) + "/" + randomText(random, 24) + query + " HTTP/1.1";
        const std::string id = randomText(random, 16);
        const std::string body = randomText(random, 60);
        const std::string request = line + "\r\nHost: desk.example\r\nX-Id: " + id
            + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        INFO("seed " << seed << ", run " << run << ": " << line);
        CHECK(between.call(inPieces(request, random)).starts_with("HTTP/1.1 200 "));
        const auto received = between.takeReceived();
        REQUIRE(received.size() == 1);
        CHECK(requestLine(received.front()) == line);
        CHECK(headerLines(received.front(), "X-Id") == "X-Id: " + id + "\n");
        CHECK(received.front().ends_with("\r\n\r\n" + body));
    }
}

TEST_CASE("an empty query and a fragment reach the target as sent", "[http-server]")
{
    relay between;
    for (const std::string target : { "/a?", "/a?b#c", "/a#c", "/a//b/../c?x=%20&y=/?z", "/a;p=1|{}" }) {
        INFO(target);
        between.call({ "GET " + target + " HTTP/1.1\r\nHost: desk.example\r\n\r\n" });
        const auto received = between.takeReceived();
        REQUIRE(received.size() == 1);
        CHECK(requestLine(received.front()) == "GET " + target + " HTTP/1.1");
    }
}

TEST_CASE("requests sent back to back on one connection are all answered in order", "[http-server]")
{
    relay between;
    const auto caller = between.connect();
    caller->write("POST /first HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\none"
                  "GET /second HTTP/1.1\r\nHost: a\r\n\r\n"
                  "GET /third HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(between.runUntil([&] { return countOf(caller->received(), "HTTP/1.1 200 ") == 3; }));
    REQUIRE(between.requests.size() == 3);
    CHECK(between.requests[0].path == "/first");
    CHECK(between.requests[0].body == "one");
    CHECK(between.requests[1].path == "/second");
    CHECK(between.requests[2].path == "/third");
}

TEST_CASE("blank lines before a request do not hold it up", "[http-server]")
{
    relay between;
    CHECK(between.call({ "\r\n\r\nGET /a HTTP/1.1\r\nHost: a\r\n\r\n" }).starts_with("HTTP/1.1 200 "));
    CHECK(between.call({ "\r\n", "GET /a HTTP/1.1\r\nHost: a\r\n\r\n" }).starts_with("HTTP/1.1 200 "));
}

TEST_CASE("a blank line before a request may arrive in pieces", "[http-server]")
{
    // Guards against a 400 for a sound request whose blank line was cut between CR and LF.
    relay between;
    const std::string request = "\r\n\r\nGET /a HTTP/1.1\r\nHost: a\r\n\r\n";
    for (std::size_t cut = 1; cut <= 5; ++cut) {
        INFO(cut);
        CHECK(between.callInTwo(request, cut).starts_with("HTTP/1.1 200 "));
    }
}

TEST_CASE("a request that cannot be parsed is answered 400", "[http-server]")
{
    relay between;
    for (const std::string request :
         { "GET /a HTTP/1.1\nHost: a\n\n", "GET /a b HTTP/1.1\r\nHost: a\r\n\r\n", "no request\r\n\r\n",
           "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx",
           "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
           "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\nGET /b HTTP/1.1\r\n\r\n",
           "GET /a HTTP/1.1\r\nHost: a\r\nbad header\r\n\r\n" }) {
        INFO(request);
        CHECK(between.call({ request }).starts_with("HTTP/1.1 400 "));
        CHECK(between.takeReceived().empty());
    }
}

TEST_CASE("a body in chunks is received whole whatever the method", "[http-server]")
{
    relay between;
    for (const std::string method : { "GET", "POST", "PUT", "DELETE", "PATCH", "OPTIONS" }) {
        INFO(method);
        between.call({ method + " /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n",
                       "3\r\ntwo\r\n0\r\n\r\n" });
        REQUIRE(!between.requests.empty());
        CHECK(between.requests.back().method == method);
        CHECK(between.requests.back().body == "onetwo");
    }
}

TEST_CASE("a caller reads why its request was rejected before the connection closes", "[http-server]")
{
    constexpr std::size_t bodyBytes = http_limits {}.bodyBytes;
    relay between;
    const auto caller = between.connect();
    caller->write("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(bodyBytes + 1) + "\r\n\r\n");
    const std::string piece(65536, 'x');
    std::size_t sent = 0;
    CHECK(between.runUntil([&] {
        sent += caller->write(std::string_view(piece).substr(0, std::min(piece.size(), bodyBytes + 1 - sent)));
        return sent > bodyBytes && caller->isClosed();
    }));
    CHECK(caller->received().starts_with("HTTP/1.1 413 "));
    CHECK(between.call({ "GET /a HTTP/1.1\r\nHost: a\r\nX: " + std::string(17000, 'x') + "\r\n\r\n" })
              .starts_with("HTTP/1.1 431 "));
    CHECK(between.requests.empty());
}

TEST_CASE("a caller that asks to go on with its body is told so once", "[http-server]")
{
    relay between;
    const auto caller = between.connect();
    caller->write("POST /a HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n");
    CHECK(between.runUntil([&] { return !caller->received().empty(); }));
    CHECK(caller->received() == "HTTP/1.1 100 Continue\r\n\r\n");
    caller->write("bo");
    between.runUntil([] { return false; }, 5ms);
    caller->write("dy");
    CHECK(between.runUntil([&] { return countOf(caller->received(), "HTTP/1.1 ") == 2; }));
    CHECK(countOf(caller->received(), "100 Continue") == 1);
    REQUIRE(between.requests.size() == 1);
    CHECK(between.requests.front().body == "body");
}

TEST_CASE("an HTTP/1.0 caller gets its answer and the end of its connection", "[http-server]")
{
    relay between;
    const auto caller = between.connect();
    caller->write("GET /a HTTP/1.0\r\n\r\n");
    CHECK(between.runUntil([&] { return caller->isClosed(); }));
    CHECK(caller->received().starts_with("HTTP/1.1 200 "));
    CHECK(caller->received().ends_with("\r\n\r\nok"));
}

TEST_CASE("a request to a proxy names its host in the request line", "[http-server]")
{
    relay between;
    between.call({ "GET http://desk.example/a?b HTTP/1.1\r\nHost: other\r\n\r\n" });
    between.call({ "GET HTTP://desk.example?b HTTP/1.1\r\nHost: other\r\n\r\n" });
    REQUIRE(between.requests.size() == 2);
    CHECK(between.requests[0].path == "/a?b");
    CHECK(between.requests[1].path == "/?b");
    CHECK(findHeader(between.requests[0].headers, "Host") == "desk.example");
}

namespace
{

/** The caller closes its side while its answer, too large for the buffers, is being sent. */
void checkHalfClose(const std::string &request)
{
    event_loop loop;
    const std::string body(std::size_t { 4 } * 1024 * 1024, 'x');
    large_answer handler(body);
    const auto port = freePort();
    auto server = *http_server::open(loop.base(), loopback, port, {}, handler);
    handler.server = server.get();
    const auto caller = connectTo(port);
    caller->write(request);
    loop.runUntil([&] { return handler.answered; });
    caller->finishWriting();
    CHECK(loop.runUntil([&] { return caller->isClosed(); }));
    CHECK(caller->received().ends_with("\r\n\r\n" + body));
}

} // namespace

TEST_CASE("a caller that sends nothing more still reads the whole of its last answer", "[http-server]")
{
    checkHalfClose("GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
}

TEST_CASE("fields after a body in chunks are not taken for headers of the request", "[http-server]")
{
    relay between;
    const std::string head = "POST /a HTTP/1.1\r\nHost: a\r\nX-Model: m\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string rest = "3\r\none\r\n0\r\nHost: b\r\nX-Model: n\r\nX-Late: 1\r\n\r\n";
    for (const auto &pieces : std::vector<std::vector<std::string>> { { head + rest }, { head, rest } }) {
        CHECK(between.call(pieces).starts_with("HTTP/1.1 200 "));
        const auto received = between.takeReceived();
        REQUIRE(received.size() == 1);
        CHECK(headerLines(received.front(), "Host") == "Host: a\n");
        CHECK(headerLines(received.front(), "X-Model") == "X-Model: m\n");
        CHECK(headerLines(received.front(), "X-Late").empty());
        CHECK(received.front().ends_with("\r\n\r\none"));
    }
}

TEST_CASE("a blank line that arrives in two pieces does not spoil the next request", "[http-server]")
{
    relay between;
    CHECK(between.call({ "\r", "\nGET /a HTTP/1.1\r\nHost: a\r\n\r\n" }).starts_with("HTTP/1.1 200 "));
    CHECK(between.call({ "\r\n\r", "\n\r", "\n", "GET /a HTTP/1.1\r\nHost: a\r\n\r\n" }).starts_with("HTTP/1.1 200 "));
    CHECK(between.call({ "\r", "GET /a HTTP/1.1\r\nHost: a\r\n\r\n" }).starts_with("HTTP/1.1 400 "));
}

TEST_CASE("an answer that has no body by its method or status ends with its head, also as a stream", "[http-server]")
{
    constexpr int ok = 200;
    constexpr int noContent = 204;
    constexpr int notModified = 304;
    for (const auto &[method, status] :
         { std::pair("HEAD", ok), std::pair("GET", noContent), std::pair("GET", notModified) }) {
        INFO(method << " " << status);
        event_loop loop;
        stream_answer handler(status);
        const auto port = freePort();
        auto server = *http_server::open(loop.base(), loopback, port, {}, handler);
        handler.server = server.get();
        const auto caller = connectTo(port);
        const std::string request = std::string(method) + " /a HTTP/1.1\r\nHost: a\r\n\r\n";
        caller->write(request + request);
        CHECK(loop.runUntil([&] { return countOf(caller->received(), "HTTP/1.1 ") == 2; }));
        loop.runFor(5ms);
        const std::string &received = caller->received();
        const auto second = received.find("HTTP/1.1 ", 1);
        REQUIRE(second != std::string::npos);
        CHECK(received.substr(0, second).find("\r\n\r\n") == second - 4);
        CHECK(received.ends_with("\r\n\r\n"));
        CHECK(countOf(received, "piece") == 0);
    }
}

TEST_CASE("a caller that sends nothing more reads the whole answer of a kept connection", "[http-server]")
{
    checkHalfClose("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
}

TEST_CASE("a new caller takes the place of the connection that was unused for longest", "[http-server]")
{
    event_loop loop;
    some_answers handler;
    const auto port = freePort();
    http_limits limits;
    limits.connections = 3;
    auto server = *http_server::open(loop.base(), loopback, port, limits, handler);
    handler.server = server.get();
    const std::string now = "GET /now HTTP/1.1\r\nHost: a\r\n\r\n";
    const std::string later = "GET /later HTTP/1.1\r\nHost: a\r\n\r\n";
    const auto call = [&](raw_socket &caller, const std::string &request) {
        const int before = handler.requests;
        caller.write(request);
        CHECK(loop.runUntil([&] { return handler.requests > before || caller.isClosed(); }));
        loop.runFor(2ms);
    };
    std::vector<std::unique_ptr<raw_socket>> callers;
    for (int i = 0; i < 3; ++i) {
        callers.push_back(connectTo(port));
        call(*callers.back(), now);
    }
    call(*callers[0], now);
    call(*callers[2], later);

    callers.push_back(connectTo(port));
    call(*callers[3], later);
    CHECK(handler.requests == 6);
    CHECK(callers[1]->isClosed());
    CHECK_FALSE(callers[0]->isClosed());
    CHECK_FALSE(callers[2]->isClosed());

    // Without an unused connection the new one is refused; no request in progress is cut off.
    call(*callers[0], later);
    callers.push_back(connectTo(port));
    CHECK(loop.runUntil([&] { return callers[4]->isClosed(); }));
    for (const int busy : { 0, 2, 3 }) {
        CHECK_FALSE(callers[busy]->isClosed());
    }
}

TEST_CASE("a request received behind another one is answered in a planned stop", "[http-server]")
{
    // Guards against a pipelined request that is read and then lost with its connection.
    stopping_server f;
    const auto caller = f.connect();
    f.send(*caller, "/first");
    caller->write("GET /second HTTP/1.1\r\nHost: a\r\n\r\nGET /third HTTP/1.1\r\nHost: a\r\n\r\n");
    f.loop.runFor(2ms);
    f.server->closeAfterAnswers();
    for (int i = 0; i < 3; ++i) {
        CHECK(countOf(caller->received(), "Connection: close") == 0);
        f.answerLast();
    }
    CHECK(countOf(caller->received(), "HTTP/1.1 200 ") == 3);
    CHECK(countOf(caller->received(), "Connection: close") == 1);
    CHECK(f.loop.runUntil([&] { return caller->isClosed(); }));
}

TEST_CASE("requests received behind the announcement of the close are refused", "[http-server]")
{
    // Guards against a request that is read in the course of a stream and then lost with its connection.
    stopping_server f;
    const auto caller = f.connect();
    f.send(*caller, "/stream");
    f.server->closeAfterAnswers();
    constexpr int ok = 200;
    f.server->startStream(f.handler.exchanges.back(), ok, {});
    caller->write("GET /second HTTP/1.1\r\nHost: a\r\n\r\nHEAD /third HTTP/1.1\r\nHost: a\r\n\r\nGET /fou");
    f.loop.runFor(2ms);
    CHECK(f.server->sendPiece(f.handler.exchanges.back(), "piece"));
    f.server->endStream(f.handler.exchanges.back());
    f.loop.runFor(2ms);
    CHECK(countOf(caller->received(), "HTTP/1.1 503 ") == 2);
    CHECK_FALSE(caller->isClosed());
    caller->write("rth HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(f.loop.runUntil([&] { return caller->isClosed(); }));
    const auto received = caller->received();
    CHECK(countOf(received, "HTTP/1.1 503 ") == 3);
    CHECK(countOf(received, "Retry-After: 0.") == 3);
    CHECK(f.handler.paths == std::vector<std::string> { "/stream" });
    CHECK(f.handler.rejected == std::vector<result_code>(3, result_code::entry_stopping));
}

TEST_CASE("a request that is received in part is refused at the end of a planned stop", "[http-server]")
{
    // Guards against a caller whose body is still arriving and whose connection ends without a word.
    stopping_server f;
    const auto caller = f.connect();
    caller->write("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbo");
    const auto idle = f.connect();
    f.send(*idle, "/b");
    f.answerLast();
    f.server->closeAfterAnswers();
    f.server->closeUnused();
    f.loop.runFor(2ms);
    CHECK(idle->isClosed());
    CHECK_FALSE(caller->isClosed());
    CHECK(f.server->isInUse());
    f.server->rejectUnfinished(result_code::entry_stopping);
    CHECK(f.loop.runUntil([&] { return caller->isClosed(); }));
    CHECK(caller->received().starts_with("HTTP/1.1 503 "));
    CHECK(countOf(caller->received(), "Connection: close") == 1);
}

TEST_CASE("the rest of an answer is not followed by a refusal", "[http-server]")
{
    // Guards against bytes for no request behind an answer that the caller reads slowly.
    stopping_server f;
    const auto caller = f.connect();
    f.send(*caller, "/a");
    const std::string body(std::size_t { 4 } * 1024 * 1024, 'x');
    constexpr int ok = 200;
    f.server->reply(f.handler.exchanges.back(), ok, {}, body);
    f.loop.runFor(2ms);
    f.server->closeAfterAnswers();
    f.server->closeUnused();
    f.server->rejectUnfinished(result_code::entry_stopping);
    CHECK(f.server->isInUse());
    CHECK(f.loop.runUntil([&] { return caller->received().ends_with(body); }));
    f.loop.runFor(2ms);
    CHECK(countOf(caller->received(), "HTTP/1.1 ") == 1);
    CHECK_FALSE(f.server->isInUse());
}

TEST_CASE("a new connection has time for its first request in a planned stop", "[http-server]")
{
    // Guards against a caller that has just connected and is closed with its request on the way.
    stopping_server f;
    f.server->closeAfterAnswers();
    const auto caller = f.connect();
    f.server->closeUnused();
    CHECK(f.server->isInUse());
    f.send(*caller, "/a");
    f.answerLast();
    CHECK(caller->received().starts_with("HTTP/1.1 200 "));
    CHECK(f.loop.runUntil([&] { return caller->isClosed(); }));
    const auto silent = f.connect();
    CHECK(f.loop.runUntil([&] {
        f.server->closeUnused();
        return silent->isClosed();
    }));
}
