#include "response-reader.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <event2/buffer.h>
#include <limits>
#include <utility>

namespace figcleat
{

namespace
{

namespace beast_http = boost::beast::http;

enum class status_kind : std::uint8_t {
    /** The answer itself follows. */
    interim,
    final,
    /** No status of HTTP, or one that no call here asks for. */
    invalid,
};

status_kind kindOf(int status)
{
    constexpr int firstInterim = 100;
    constexpr int switchingProtocols = 101;
    constexpr int firstFinal = 200;
    constexpr int lastFinal = 599;
    if (status < firstInterim || status > lastFinal || status == switchingProtocols) {
        return status_kind::invalid;
    }
    return status < firstFinal ? status_kind::interim : status_kind::final;
}

std::string_view toView(boost::beast::string_view text)
{
    return { text.data(), text.size() };
}

/** Whether bytes can be the beginning of an answer, so that junk is not read up to the bound. */
bool canBeStatusLine(std::string_view bytes)
{
    constexpr std::string_view mark = "HTTP/1.";
    return bytes.substr(0, mark.size()) == mark.substr(0, std::min(bytes.size(), mark.size()));
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

/** Adds the space that many servers leave out where the reason is empty; the parser insists on it. */
void completeStatusLine(evbuffer *input)
{
    constexpr std::size_t lineBytes = std::string_view("HTTP/1.1 200").size();
    std::array<char, lineBytes + 1> front {};
    const auto copied = evbuffer_copyout(input, front.data(), front.size());
    if (copied == static_cast<ev_ssize_t>(front.size()) && front.back() == '\r') {
        front.back() = ' ';
        evbuffer_drain(input, lineBytes);
        evbuffer_prepend(input, front.data(), front.size());
    }
}

} // namespace

response_reader::response_reader(bool isHead, std::uint64_t maxBodyBytes)
    : m_isHead(isHead)
    , m_maxBodyBytes(maxBodyBytes)
{
    start();
}

void response_reader::start()
{
    m_parser.emplace();
    m_parser->header_limit(std::numeric_limits<std::uint32_t>::max());
    m_parser->body_limit(m_maxBodyBytes);
    m_parser->skip(m_isHead);
}

response_part response_reader::read(evbuffer *input)
{
    evbuffer_drain(input, std::exchange(m_used, 0));
    return m_isHeadDone ? readBody(input) : readHead(input);
}

response_part response_reader::readHead(evbuffer *input)
{
    constexpr std::string_view headEnd = "\r\n\r\n";
    while (evbuffer_get_length(input) > 0) {
        completeStatusLine(input);
        const std::string_view bytes { reinterpret_cast<const char *>(evbuffer_pullup(input, -1)),
                                       evbuffer_get_length(input) };
        const auto end = bytes.find(headEnd);
        const auto head = end == std::string_view::npos ? bytes : bytes.substr(0, end + headEnd.size());
        const auto lines = static_cast<std::size_t>(std::count(head.begin(), head.end(), '\n'));
        const bool isTooLong = m_headBytes + head.size() > maxHeadBytes || m_headLines + lines > maxHeadLines;
        if (isTooLong || !canBeStatusLine(head) || hasBareLineFeed(head)) {
            return response_part::unusable;
        }
        if (end == std::string_view::npos) {
            break;
        }
        // Whole, so that the parser never holds the headers of a head that is given up.
        boost::beast::error_code problem;
        const std::size_t used = m_parser->put(boost::asio::const_buffer(head.data(), head.size()), problem);
        if (problem || used != head.size()) {
            return response_part::unusable;
        }
        const auto kind = kindOf(status());
        if (kind == status_kind::invalid) {
            return response_part::unusable;
        }
        m_headBytes += head.size();
        m_headLines += lines;
        evbuffer_drain(input, used);
        if (kind == status_kind::final) {
            m_isHeadDone = true;
            return response_part::head;
        }
        start();
    }
    return response_part::incomplete;
}

response_part response_reader::readBody(evbuffer *input)
{
    while (!m_parser->is_done()) {
        const std::size_t size = evbuffer_get_length(input);
        if (size == 0) {
            return response_part::incomplete;
        }
        const std::size_t first = evbuffer_get_contiguous_space(input);
        // Bytes of a body are taken where they are; only the lines between chunks have to be in one piece.
        auto *bytes = evbuffer_pullup(input, static_cast<ev_ssize_t>(first));
        auto &view = m_parser->get().body();
        view = {};
        boost::beast::error_code problem;
        std::size_t used = m_parser->put(boost::asio::const_buffer(bytes, first), problem);
        if (problem == beast_http::error::need_more && first < size) {
            bytes = evbuffer_pullup(input, -1);
            used = m_parser->put(boost::asio::const_buffer(bytes, size), problem);
        }
        if (problem == beast_http::error::need_more) {
            return size > maxFramingBytes ? response_part::unusable : response_part::incomplete;
        }
        if (problem) {
            return response_part::unusable;
        }
        if (!view.empty()) {
            m_used = used;
            return response_part::bytes;
        }
        evbuffer_drain(input, used);
    }
    return response_part::end;
}

int response_reader::status() const
{
    return static_cast<int>(m_parser->get().result_int());
}

http_headers response_reader::headers() const
{
    http_headers all;
    for (const auto &field : m_parser->get()) {
        all.emplace_back(toView(field.name_string()), toView(field.value()));
    }
    return all;
}

std::string_view response_reader::bytes() const
{
    return m_parser->get().body();
}

bool response_reader::endsWithConnection() const
{
    return m_isHeadDone && !m_parser->is_done() && m_parser->need_eof();
}

bool response_reader::keepsAlive() const
{
    return m_parser->keep_alive();
}

} // namespace figcleat
