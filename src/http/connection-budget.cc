#include "figcleat/http/connection-budget.h"

namespace figcleat
{

namespace
{

/** Copies of a head: as received, as headers of the request, and as headers of the call to the target. */
constexpr std::size_t headCopies = 3;
constexpr std::size_t bodyCopies = 2;
/** Added to the time for which bytes have been held, so that of several new holders the largest one comes first. */
constexpr double minHoldSeconds = 0.01;

std::size_t sum(const connection_bytes &bytes)
{
    return bytes.receiving + bytes.inProgress + bytes.unsent;
}

double heldSeconds(time_point since, time_point now)
{
    return minHoldSeconds + std::chrono::duration<double>(now - since).count();
}

} // namespace

connection_budget::connection_budget(std::size_t maxBytes)
    : m_maxBytes(maxBytes)
{
}

std::size_t connection_budget::progressBytes(std::size_t headBytes, std::size_t bodyBytes)
{
    return headCopies * headBytes + bodyCopies * bodyBytes;
}

void connection_budget::update(connection_key connection, const connection_bytes &bytes, time_point now)
{
    auto &known = m_holders[connection];
    m_totalBytes = m_totalBytes - sum(known.bytes) + sum(bytes);
    m_inProgressBytes = m_inProgressBytes - known.bytes.inProgress + bytes.inProgress;
    if (known.bytes.receiving == 0) {
        known.receivingSince = now;
    }
    if (known.bytes.unsent == 0) {
        known.unsentSince = now;
    }
    known.bytes = bytes;
}

void connection_budget::remove(connection_key connection)
{
    const auto found = m_holders.find(connection);
    if (found != m_holders.end()) {
        m_totalBytes -= sum(found->second.bytes);
        m_inProgressBytes -= found->second.bytes.inProgress;
        m_holders.erase(found);
    }
}

bool connection_budget::mayAccept(std::size_t headBytes, std::size_t bodyBytes) const
{
    const double share = bodyBytes > smallBodyBytes ? 1 - smallShare : 1;
    const auto wanted = static_cast<double>(m_inProgressBytes + progressBytes(headBytes, bodyBytes));
    return wanted <= share * static_cast<double>(m_maxBytes);
}

double connection_budget::byteSeconds(const holder &of, time_point now)
{
    return static_cast<double>(of.bytes.receiving) * heldSeconds(of.receivingSince, now)
        + static_cast<double>(of.bytes.unsent) * heldSeconds(of.unsentSince, now);
}

std::optional<connection_budget::connection_key> connection_budget::excess(time_point now) const
{
    if (!isExceeded()) {
        return std::nullopt;
    }
    std::optional<connection_key> worst;
    double most = 0;
    for (const auto &[connection, held] : m_holders) {
        const double used = byteSeconds(held, now);
        if (used > most) {
            most = used;
            worst = connection;
        }
    }
    return worst;
}

bool connection_budget::isExceeded() const
{
    return m_totalBytes > m_maxBytes;
}

std::size_t connection_budget::totalBytes() const
{
    return m_totalBytes;
}

std::size_t connection_budget::maxBytes() const
{
    return m_maxBytes;
}

} // namespace figcleat
