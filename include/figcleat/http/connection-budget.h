#pragma once

#include "figcleat/core/clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace figcleat
{

/** Bytes that one connection holds, by what they are for. */
struct connection_bytes
{
    /** Of a request that has not arrived completely. */
    std::size_t receiving = 0;
    /** Of a request in progress, with its copy for the target. */
    std::size_t inProgress = 0;
    /** Of answers that the client has not taken yet. */
    std::size_t unsent = 0;
};

/**
 * Limits the bytes that all connections of a server hold together, for clients that send or read without limit.
 *
 * A request in progress is never ended. A request that would leave too little for others is refused before its body is
 * read, and above the limit the connections are closed that have held most bytes for longest: clients that finish what
 * they send and take what they get hold little of both.
 *
 * The class does no I/O and reads no clock.
 */
class connection_budget
{
public:
    using connection_key = std::uint64_t;

    /** Requests in progress with larger bodies leave `smallShare` of the limit to others. */
    static constexpr std::size_t smallBodyBytes = std::size_t { 64 } * 1024;
    static constexpr double smallShare = 0.25;

    /** @param maxBytes limit for all connections together */
    explicit connection_budget(std::size_t maxBytes);

    /** Bytes that a request holds while it is in progress: its own, and the copy that is sent to its target. */
    [[nodiscard]] static std::size_t progressBytes(std::size_t headBytes, std::size_t bodyBytes);

    /** Replaces what the connection holds. */
    void update(connection_key connection, const connection_bytes &bytes, time_point now);
    void remove(connection_key connection);
    /** True if a request with so many bytes in its body may be received and passed on. */
    [[nodiscard]] bool mayAccept(std::size_t headBytes, std::size_t bodyBytes) const;
    /** Returns the connection to close next; `nullopt` while the connections are within the limit. */
    [[nodiscard]] std::optional<connection_key> excess(time_point now) const;
    [[nodiscard]] bool isExceeded() const;
    [[nodiscard]] std::size_t totalBytes() const;
    [[nodiscard]] std::size_t maxBytes() const;

private:
    struct holder
    {
        connection_bytes bytes;
        time_point receivingSince {};
        time_point unsentSince {};
    };

    [[nodiscard]] static double byteSeconds(const holder &of, time_point now);

    std::size_t m_maxBytes;
    std::size_t m_totalBytes = 0;
    std::size_t m_inProgressBytes = 0;
    std::unordered_map<connection_key, holder> m_holders;
};

} // namespace figcleat
