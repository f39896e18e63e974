#pragma once

#include "figcleat/core/result-code.h"
#include "figcleat/http/server.h"

#include <boost/beast/http/parser.hpp>
#include <cstdint>
#include <optional>
#include <string>

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
    /** Takes memory for what has arrived, and none for a length that is only announced. */
    struct arrived_body
    {
        using value_type = std::string;

        class reader
        {
        public:
            template<bool isRequest, typename Fields>
            reader(boost::beast::http::header<isRequest, Fields> & /*head*/, value_type &body)
                : m_body(&body)
            {
            }
            void init(const boost::optional<std::uint64_t> & /*length*/, boost::beast::error_code &problem)
            {
                problem = {};
            }
            template<typename Buffer>
            std::size_t put(const Buffer &buffer, boost::beast::error_code &problem)
            {
                problem = {};
                m_body->append(static_cast<const char *>(buffer.data()), buffer.size());
                return buffer.size();
            }
            void finish(boost::beast::error_code &problem)
            {
                problem = {};
            }

        private:
            value_type *m_body;
        };
    };
    using parser = boost::beast::http::request_parser<arrived_body>;

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
