#pragma once

#include "figcleat/core/ids.h"

#include <map>
#include <optional>
#include <vector>

namespace figcleat::forward
{

/** A request that waits for a target with room. */
struct waiting_request
{
    exchange_id exchange;
    service_id service;
    /** 0 is the most urgent. */
    std::uint32_t urgency = 0;
    /** The request waits for the end of an outage, and may go on waiting after it. */
    bool awaitsOutageEnd = false;
};

/**
 * Requests of a front that wait for room, in the order in which they get it.
 *
 * More urgent requests come first; of equal ones, those that have not waited for the end of an outage, as they can
 * still be answered on time, then those that have waited for longest.
 */
class waiting_queue
{
public:
    void add(const waiting_request &request);
    void remove(exchange_id exchange);
    [[nodiscard]] std::vector<exchange_id> inOrder() const;
    [[nodiscard]] std::size_t size(const service_id &service) const;
    /** Counts the requests of the service that are at least as urgent and do not await the end of an outage. */
    [[nodiscard]] std::size_t countAhead(const service_id &service, std::uint32_t urgency) const;
    /** Returns the request of the service that would get room last; `nullopt` if none waits. */
    [[nodiscard]] std::optional<waiting_request> last(const service_id &service) const;

private:
    struct queued
    {
        waiting_request request;
        /** Grows with each request that begins to wait. */
        std::uint64_t number = 0;
    };

    [[nodiscard]] static bool comesBefore(const queued &a, const queued &b);

    std::map<exchange_id, queued> m_requests;
    std::uint64_t m_lastNumber = 0;
};

} // namespace figcleat::forward
