#include "request-head.h"

#include "case-insensitive.h"
#include "figcleat/http/connection-names.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace figcleat
{

namespace
{

// Headers that concern one connection only, and the length, which the client sets itself.
constexpr std::array<std::string_view, 5> connectionHeaders { "connection", "content-length", "host",
                                                              "transfer-encoding", "expect" };

bool isConnectionHeader(std::string_view name)
{
    return std::any_of(connectionHeaders.begin(), connectionHeaders.end(),
                       [name](std::string_view known) { return equalsIgnoringCase(known, name); });
}

bool isToken(std::string_view text)
{
    constexpr std::string_view separators = "()<>@,;:\\\"/[]?={}";
    return !text.empty() && std::all_of(text.begin(), text.end(), [separators](char one) {
        return one > ' ' && one < '\x7f' && separators.find(one) == std::string_view::npos;
    });
}

/** A space or a line break would end the path for the target. */
bool isPath(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char one) {
        const auto byte = static_cast<unsigned char>(one);
        return byte > ' ' && byte != 0x7f;
    });
}

bool isValue(std::string_view text)
{
    constexpr std::string_view breaks { "\r\n\0", 3 };
    return text.find_first_of(breaks) == std::string_view::npos;
}

bool isHeader(const std::pair<std::string, std::string> &header)
{
    return isToken(header.first) && isValue(header.second);
}

bool alwaysHasLength(std::string_view method)
{
    return method == "POST" || method == "PUT" || method == "PATCH";
}

} // namespace

std::optional<std::string> requestHead(const service_call &call, std::string_view address,
                                       const http_client_settings &settings)
{
    if (!isToken(call.method) || !isPath(call.path)) {
        return std::nullopt;
    }
    std::string head = fmt::format("{} {} HTTP/1.1\r\n", call.method, call.path);
    for (const auto &header : call.headers) {
        if (!isConnectionHeader(header.first) && isHeader(header)) {
            head += header.first + ": " + header.second + "\r\n";
        }
    }
    const std::string_view host = settings.keepHost ? findHeader(call.headers, "Host") : std::string_view();
    head += fmt::format("Host: {}\r\n", isValue(host) && !host.empty() ? host : address);
    head += settings.keepAlive ? "Connection: keep-alive\r\n" : "Connection: close\r\n";
    if (!call.body.empty() || alwaysHasLength(call.method)) {
        // Without a length the target takes the body for the next request.
        head += fmt::format("Content-Length: {}\r\n", call.body.size());
    }
    return head + "\r\n";
}

http_headers withoutConnectionHeaders(http_headers headers)
{
    const connection_names listed(headers);
    std::erase_if(headers, [&listed](const auto &header) {
        return isConnectionHeader(header.first) || listed.contains(header.first);
    });
    return headers;
}

} // namespace figcleat
