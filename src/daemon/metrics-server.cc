#include "figcleat/daemon/metrics-server.h"

#include "figcleat/core/log.h"

namespace figcleat
{

expected<std::unique_ptr<metrics_server>> metrics_server::open(event_base *loop, const socket_address &listen,
                                                               page_function write)
{
    auto opened = std::unique_ptr<metrics_server>(new metrics_server(std::move(write)));
    auto server = http_server::open(loop, listen.ip, listen.port, {}, *opened);
    if (!server) {
        return tl::unexpected<error>(server.error());
    }
    opened->m_server = std::move(*server);
    return opened;
}

metrics_server::metrics_server(page_function write)
    : m_write(std::move(write))
{
}

void metrics_server::onRequest(exchange_id exchange, http_request request)
{
    constexpr int okStatus = 200;
    constexpr int methodNotAllowed = 405;
    if (request.method != "GET") {
        m_server->reply(exchange, methodNotAllowed, {}, {});
        return;
    }
    report::metrics_text page;
    m_write(page);
    m_server->reply(exchange, okStatus, { { "Content-Type", report::metricsContentType } }, page.text());
}

void metrics_server::onCallerGone(exchange_id /*exchange*/)
{
}

void metrics_server::onRejected(result_code code)
{
    logFor(part::report)->warn("event=metrics_rejected code={}", describe(code).name);
}

} // namespace figcleat
