#pragma once

#include "figcleat/http/server.h"
#include "piecewise-body.h"

#include <boost/beast/http/parser.hpp>
#include <cstdint>
#include <optional>
#include <string_view>

struct evbuffer;

namespace figcleat
{

enum class response_part : std::uint8_t {
    /** More bytes are needed. */
    incomplete,
    head,
    bytes,
    /** The answer is whole; what follows in the buffer belongs to no call. */
    end,
    /** Malformed, with a status that no answer has, or above a bound. */
    unusable,
};

/**
 * Reads one answer from its bytes, in whatever pieces they arrive.
 *
 * Interim answers (1xx) are skipped. An answer with a status outside 100 to 599, or with 101, is unusable: what follows
 * such a head cannot be told from its body. What has to be whole before it can be used is bounded in bytes.
 */
class response_reader
{
public:
    /** Status lines and headers of the answer and of all interim answers before it, as for requests: 4,096 calls in
     * progress hold 64 MB at most. */
    static constexpr std::size_t maxHeadBytes = std::size_t { 16 } * 1024;
    /** The parser takes about 100 bytes for each header, so that short ones would take many times their size. */
    static constexpr std::size_t maxHeadLines = 128;
    /** A chunk's size with its extensions, or all trailers. */
    static constexpr std::size_t maxFramingBytes = std::size_t { 4 } * 1024;

    /** @param isHead the answer to a HEAD request, which has no body whatever its headers say. */
    response_reader(bool isHead, std::uint64_t maxBodyBytes);

    /** Takes the next part from the front of the buffer. */
    [[nodiscard]] response_part read(evbuffer *input);
    /** After part `head`. */
    [[nodiscard]] int status() const;
    [[nodiscard]] http_headers headers() const;
    /** After part `bytes`; valid until the next call of `read`. */
    [[nodiscard]] std::string_view bytes() const;
    /** The body has neither a length nor chunks. */
    [[nodiscard]] bool endsWithConnection() const;
    /** After part `end`: the target allows another call on the connection. */
    [[nodiscard]] bool keepsAlive() const;

private:
    /** Keeps the parser's view of the latest piece, without a copy. */
    struct view_piece
    {
        void operator()(std::string_view &body, std::string_view piece) const
        {
            body = piece;
        }
    };
    using parser = boost::beast::http::response_parser<piecewise_body<std::string_view, view_piece>>;

    void start();
    [[nodiscard]] response_part readHead(evbuffer *input);
    [[nodiscard]] response_part readBody(evbuffer *input);

    bool m_isHead;
    std::uint64_t m_maxBodyBytes;
    std::optional<parser> m_parser;
    std::size_t m_headBytes = 0;
    std::size_t m_headLines = 0;
    bool m_isHeadDone = false;
    /** Bytes at the front of the buffer that the caller of `read` still used. */
    std::size_t m_used = 0;
};

} // namespace figcleat
