#pragma once

#include "figcleat/core/log.h"
#include "figcleat/forward/dialect.h"
#include "figcleat/http/server.h"
#include "figcleat/settings/daemon-settings.h"

#include <functional>
#include <memory>
#include <string>

namespace figcleat
{

/** Answers each request at once, for small listeners such as readiness and metrics. */
class reply_server : public http_handler
{
public:
    using answer_function = std::function<forward::http_answer(const http_request &)>;

    /**
     * `address_unusable` if the address cannot be bound.
     *
     * @param name in the log line of a request that was refused unread, `event=NAME_rejected`
     */
    [[nodiscard]] static expected<std::unique_ptr<reply_server>>
    open(event_base *loop, const socket_address &listen, part where, std::string name, answer_function answer);

private:
    reply_server(part where, std::string name, answer_function answer);

    void onRequest(exchange_id exchange, http_request request) override;
    void onCallerGone(exchange_id exchange) override;
    void onRejected(result_code code) override;

    part m_part;
    std::string m_name;
    answer_function m_answer;
    std::unique_ptr<http_server> m_server;
};

} // namespace figcleat
