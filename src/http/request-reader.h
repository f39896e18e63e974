#pragma once

#include "figcleat/core/result-code.h"
#include "figcleat/http/server.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>

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
    /** The caller waits for an interim answer before it sends the body. True once for each request. */
    [[nodiscard]] bool takeContinue();
    /** The whole request; the reader goes on with the next one. */
    [[nodiscard]] received_request take();

private:
    using parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void start();
    [[nodiscard]] result_code checkHead();
    [[nodiscard]] result_code codeOf(const boost::beast::error_code &problem) const;

    http_limits m_limits;
    std::optional<parser> m_parser;
    /** Of the head only, without the fields after a body in chunks. */
    http_headers m_headers;
    bool m_isStarted = false;
    bool m_isHeadChecked = false;
    bool m_awaitsContinue = false;
};

} // namespace figcleat
