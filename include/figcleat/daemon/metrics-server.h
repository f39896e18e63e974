#pragma once

#include "figcleat/http/server.h"
#include "figcleat/report/metrics-text.h"
#include "figcleat/settings/daemon-settings.h"

#include <functional>
#include <memory>

namespace figcleat
{

/** Answers `GET` of any path with a page of metrics. */
class metrics_server : public http_handler
{
public:
    using page_function = std::function<void(report::metrics_text &)>;

    /** `address_unusable` if the address cannot be bound. */
    [[nodiscard]] static expected<std::unique_ptr<metrics_server>> open(event_base *loop, const socket_address &listen,
                                                                        page_function write);

private:
    explicit metrics_server(page_function write);

    void onRequest(exchange_id exchange, http_request request) override;
    void onCallerGone(exchange_id exchange) override;
    void onRejected(result_code code) override;

    page_function m_write;
    std::unique_ptr<http_server> m_server;
};

} // namespace figcleat
