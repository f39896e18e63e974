#pragma once

#include "figcleat/daemon/loop.h"
#include "figcleat/http/client.h"

#include <map>
#include <memory>
#include <string>

namespace figcleat
{

/** One client for each peer that is called, all with the same settings. */
class http_client_pool
{
public:
    http_client_pool(loop *eventLoop, http_client_settings settings, http_client_handler &handler);

    /** Client of a peer, made when it is called first; null if `address` is not "IP:port". */
    [[nodiscard]] http_client *at(const std::string &address);

private:
    loop *m_loop;
    http_client_settings m_settings;
    http_client_handler *m_handler;
    std::map<std::string, std::unique_ptr<http_client>> m_clients;
};

} // namespace figcleat
