#include "figcleat/daemon/reply-server.h"

namespace figcleat
{

namespace
{

/** Operators and the platform ask a few short questions a second. */
constexpr http_limits replyLimits { .bodyBytes = std::size_t { 64 } * 1024,
                                    .connections = 128,
                                    .heldBytes = std::size_t { 4 } * 1024 * 1024 };

} // namespace

expected<std::unique_ptr<reply_server>> reply_server::open(event_base *loop, const socket_address &listen, part where,
                                                           std::string name, answer_function answer)
{
    auto opened = std::unique_ptr<reply_server>(new reply_server(where, std::move(name), std::move(answer)));
    auto server = http_server::open(loop, listen.ip, listen.port, replyLimits, *opened);
    if (!server) {
        return tl::unexpected<error>(server.error());
    }
    opened->m_server = std::move(*server);
    return opened;
}

reply_server::reply_server(part where, std::string name, answer_function answer)
    : m_part(where)
    , m_name(std::move(name))
    , m_answer(std::move(answer))
{
}

void reply_server::onRequest(exchange_id exchange, http_request request)
{
    const auto answer = m_answer(request);
    m_server->reply(exchange, answer.status, answer.headers, answer.body);
}

void reply_server::onCallerGone(exchange_id /*exchange*/)
{
}

void reply_server::onRejected(result_code code)
{
    logFor(m_part)->warn("event={}_rejected code={}", m_name, describe(code).name);
}

} // namespace figcleat
