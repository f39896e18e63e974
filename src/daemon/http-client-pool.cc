#include "figcleat/daemon/http-client-pool.h"

#include "figcleat/settings/daemon-settings.h"

namespace figcleat
{

http_client_pool::http_client_pool(loop *eventLoop, http_client_settings settings, http_client_handler &handler)
    : m_loop(eventLoop)
    , m_settings(settings)
    , m_handler(&handler)
{
}

http_client *http_client_pool::at(const std::string &address)
{
    const auto known = m_clients.find(address);
    if (known != m_clients.end()) {
        return known->second.get();
    }
    const auto parsed = parseSocketAddress(address);
    if (!parsed) {
        return nullptr;
    }
    auto made = std::make_unique<http_client>(m_loop->base(), parsed->ip, parsed->port, m_settings, *m_handler);
    return m_clients.emplace(address, std::move(made)).first->second.get();
}

} // namespace figcleat
