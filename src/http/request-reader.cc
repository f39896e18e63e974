#include "request-reader.h"

#include "case-insensitive.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <event2/buffer.h>

namespace figcleat
{

namespace
{

namespace beast_http = boost::beast::http;

/** Request line and separators, beside the limit for names and values of headers. */
constexpr std::size_t headOverheadBytes = std::size_t { 16 } * 1024;

std::string_view toView(boost::beast::string_view text)
{
    return { text.data(), text.size() };
}

/** Callers often end a body with a line break of its own. False while half of a blank line is all there is. */
bool skipBlankLines(evbuffer *input)
{
    std::array<char, 2> front {};
    auto count = evbuffer_copyout(input, front.data(), front.size());
    while (count == 2 && front[0] == '\r' && front[1] == '\n') {
        evbuffer_drain(input, front.size());
        count = evbuffer_copyout(input, front.data(), front.size());
    }
    return count != 1 || front[0] != '\r';
}

/** A line that ends with a bare LF: the parser would wait for the end of such a head until its limit. */
bool hasBareLineFeed(std::string_view head)
{
    for (auto at = head.find('\n'); at != std::string_view::npos; at = head.find('\n', at + 1)) {
        if (at == 0 || head[at - 1] != '\r') {
            return true;
        }
    }
    return false;
}

/** Turns "http://host/path" into "/path"; its host takes precedence over the Host header. */
void toOriginForm(http_request &request)
{
    constexpr std::string_view scheme = "http://";
    if (!equalsIgnoringCase(std::string_view(request.path).substr(0, scheme.size()), scheme)) {
        return;
    }
    const std::string rest = request.path.substr(scheme.size());
    const auto authorityEnd = std::min(rest.find_first_of("/?#"), rest.size());
    const bool hasPath = authorityEnd < rest.size() && rest[authorityEnd] == '/';
    request.path = (hasPath ? "" : "/") + rest.substr(authorityEnd);
    std::erase_if(request.headers, [](const auto &header) { return equalsIgnoringCase(header.first, "Host"); });
    request.headers.emplace_back("Host", rest.substr(0, authorityEnd));
}

} // namespace

request_reader::request_reader(const http_limits &limits)
    : m_limits(&limits)
{
    start();
}

void request_reader::start()
{
    m_parser.emplace();
    // The head by itself first: the parser adds the fields after a body in chunks to those of the head.
    m_parser->eager(false);
    m_parser->header_limit(static_cast<std::uint32_t>(m_limits->headerBytes + headOverheadBytes));
    m_headBytes = 0;
    m_isStarted = false;
    m_isHeadChecked = false;
    m_awaitsContinue = false;
}

bool request_reader::isWhole() const
{
    return m_parser->is_done();
}

bool request_reader::isIdle() const
{
    return !m_isStarted;
}

std::size_t request_reader::headBytes() const
{
    return m_headBytes;
}

std::size_t request_reader::bodyBytes() const
{
    if (!m_parser->is_header_done()) {
        return 0;
    }
    const auto announced = m_parser->content_length();
    return announced ? static_cast<std::size_t>(*announced) : m_parser->get().body().size();
}

std::size_t request_reader::heldBytes() const
{
    // The parser and `m_headers` hold the head.
    return 2 * m_headBytes + m_parser->get().body().capacity();
}

void request_reader::abandon()
{
    m_headers.clear();
    start();
}

bool request_reader::takeContinue()
{
    return std::exchange(m_awaitsContinue, false);
}

result_code request_reader::read(evbuffer *input)
{
    if (!m_isStarted && !skipBlankLines(input)) {
        return result_code::ok;
    }
    while (!isWhole() && evbuffer_get_length(input) > 0) {
        if (!std::exchange(m_isStarted, true)) {
            m_parser->body_limit(m_limits->bodyBytes);
        }
        const std::size_t size = evbuffer_get_length(input);
        const auto *bytes = reinterpret_cast<const char *>(evbuffer_pullup(input, -1));
        boost::beast::error_code problem;
        const std::size_t used = m_parser->put(boost::asio::const_buffer(bytes, size), problem);
        const bool isHeadOpen = !m_parser->is_header_done();
        const bool isMalformed = isHeadOpen && hasBareLineFeed({ bytes, size });
        evbuffer_drain(input, used);
        if (isMalformed) {
            return result_code::malformed_request;
        }
        if (problem && problem != beast_http::error::need_more) {
            return codeOf(problem);
        }
        if (const auto code = checkHead(); code != result_code::ok) {
            return code;
        }
        if (problem == beast_http::error::need_more) {
            break;
        }
    }
    return result_code::ok;
}

result_code request_reader::checkHead()
{
    if (m_isHeadChecked || !m_parser->is_header_done()) {
        return result_code::ok;
    }
    m_isHeadChecked = true;
    m_parser->eager(true);
    const auto &head = m_parser->get();
    std::size_t bytes = 0;
    m_headers.clear();
    for (const auto &field : head) {
        bytes += field.name_string().size() + field.value().size();
        m_headers.emplace_back(toView(field.name_string()), toView(field.value()));
    }
    m_headBytes = bytes;
    if (bytes > m_limits->headerBytes) {
        return result_code::header_too_large;
    }
    // The parser takes a request with another encoding for one without a body, and its body for the next request.
    const auto encoding = head.find(beast_http::field::transfer_encoding);
    if (encoding != head.end() && !equalsIgnoringCase(toView(encoding->value()), "chunked")) {
        return result_code::malformed_request;
    }
    m_awaitsContinue = !isWhole() && equalsIgnoringCase(toView(head[beast_http::field::expect]), "100-continue");
    return result_code::ok;
}

result_code request_reader::codeOf(const boost::beast::error_code &problem) const
{
    if (problem == beast_http::error::header_limit) {
        return result_code::header_too_large;
    }
    return problem == beast_http::error::body_limit ? result_code::body_too_large : result_code::malformed_request;
}

received_request request_reader::take()
{
    constexpr unsigned http10 = 10;
    auto message = m_parser->release();
    received_request received { {}, message.keep_alive(), message.version() > http10 };
    auto &request = received.request;
    request.method = toView(message.method_string());
    request.path = toView(message.target());
    request.headers = std::move(m_headers);
    request.body = std::move(message.body());
    toOriginForm(request);
    start();
    return received;
}

} // namespace figcleat
