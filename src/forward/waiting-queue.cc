#include "figcleat/forward/waiting-queue.h"

#include <algorithm>
#include <tuple>

namespace figcleat::forward
{

bool waiting_queue::comesBefore(const queued &a, const queued &b)
{
    const auto key
        = [](const queued &one) { return std::tuple(one.request.urgency, one.request.awaitsOutageEnd, one.number); };
    return key(a) < key(b);
}

void waiting_queue::add(const waiting_request &request)
{
    const auto found = m_requests.find(request.exchange);
    if (found != m_requests.end()) {
        found->second.request = request;
        return;
    }
    m_requests.emplace(request.exchange, queued { request, ++m_lastNumber });
}

void waiting_queue::remove(exchange_id exchange)
{
    m_requests.erase(exchange);
}

std::vector<exchange_id> waiting_queue::inOrder() const
{
    std::vector<queued> sorted;
    sorted.reserve(m_requests.size());
    for (const auto &[exchange, one] : m_requests) {
        sorted.push_back(one);
    }
    std::sort(sorted.begin(), sorted.end(), comesBefore);
    std::vector<exchange_id> exchanges;
    exchanges.reserve(sorted.size());
    for (const auto &one : sorted) {
        exchanges.push_back(one.request.exchange);
    }
    return exchanges;
}

std::size_t waiting_queue::size(const service_id &service) const
{
    return static_cast<std::size_t>(std::count_if(m_requests.begin(), m_requests.end(), [&service](const auto &entry) {
        return entry.second.request.service == service;
    }));
}

std::size_t waiting_queue::countAhead(const service_id &service, std::uint32_t urgency) const
{
    return static_cast<std::size_t>(std::count_if(m_requests.begin(), m_requests.end(), [&](const auto &entry) {
        const auto &request = entry.second.request;
        return request.service == service && request.urgency <= urgency && !request.awaitsOutageEnd;
    }));
}

std::optional<waiting_request> waiting_queue::last(const service_id &service) const
{
    const queued *found = nullptr;
    for (const auto &[exchange, one] : m_requests) {
        if (one.request.service == service && (found == nullptr || comesBefore(*found, one))) {
            found = &one;
        }
    }
    return found == nullptr ? std::nullopt : std::optional(found->request);
}

} // namespace figcleat::forward
