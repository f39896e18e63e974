#pragma once

#include "figcleat/core/result-code.h"
#include "figcleat/http/server.h"
#include "piecewise-body.h"

#include <boost/beast/http/parser.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

struct evbuffer;

namespace figcleat
{

/** A request and what its caller's connection allows for the answer. */
struct received_request
{
    http_request request;
    bool keepAlive = false;
    /** An HTTP/1.0 caller does not understand chunks. */
    bool takesChunks = false;
};

/**
 * Reads the requests of one connection from its bytes, in whatever pieces they arrive.
 *
 * The request target is kept byte for byte as the caller sent it.
 */
class request_reader
{
public:
    /** @param limits are read at the start of each request; they outlive the reader */
    explicit request_reader(const http_limits &limits);

    /**
     * Takes bytes from the front of the buffer, up to the end of one request.
     *
     * Any code but `ok` says why the request is rejected; the connection cannot be read any further.
     */
    [[nodiscard]] result_code read(evbuffer *input);
    [[nodiscard]] bool isWhole() const;
    /** No byte of a request has been taken. */
    [[nodiscard]] bool isIdle() const;
    /** Bytes of the head, once it is complete. */
    [[nodiscard]] std::size_t headBytes() const;
    /** Bytes of the body: as many as are announced, or as many as have arrived if there is no length. */
    [[nodiscard]] std::size_t bodyBytes() const;
    /** Bytes of memory for what has been taken of the request. */
    [[nodiscard]] std::size_t heldBytes() const;
    /** Gives up the request and its memory. */
    void abandon();
    /** The caller waits for an interim answer before it sends the body. True once for each request. */
    [[nodiscard]] bool takeContinue();
    /** The whole request; the reader goes on with the next one. */
    [[nodiscard]] received_request take();

private:
    struct append_piece
    {
        void operator()(std::string &body, std::string_view piece) const
        {
            body += piece;
        }
    };
    using parser = boost::beast::http::request_parser<piecewise_body<std::string, append_piece>>;

    void start();
    [[nodiscard]] result_code checkHead();
    [[nodiscard]] result_code codeOf(const boost::beast::error_code &problem) const;

    const http_limits *m_limits;
    std::optional<parser> m_parser;
    /** Of the head only, without the fields after a body in chunks. */
    http_headers m_headers;
    std::size_t m_headBytes = 0;
    bool m_isStarted = false;
    bool m_isHeadChecked = false;
    bool m_awaitsContinue = false;
};

} // namespace figcleat
