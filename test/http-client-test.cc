#include "wire-harness.h"

#include <catch2/catch.hpp>

using namespace figcleat;
using namespace figcleat::wire_test;

namespace
{

/** Collects what the client says about one call. */
class call_log : public http_client_handler
{
public:
    void onAnswerStart(attempt_id /*attempt*/, int status, const http_headers & /*headers*/) override
    {
        statuses.push_back(status);
    }
    void onBytes(attempt_id /*attempt*/, std::string_view bytes) override
    {
        body += bytes;
    }
    void onAnswerEnd(attempt_id /*attempt*/) override
    {
        ++whole;
    }
    void onFailure(attempt_id /*attempt*/, bool /*notSent*/) override
    {
        ++failed;
    }

    [[nodiscard]] bool hasEnded() const
    {
        return whole + failed > 0;
    }

    std::vector<int> statuses;
    std::string body;
    int whole = 0;
    int failed = 0;
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
