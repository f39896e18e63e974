#include "figcleat/request/replies.h"

#include <nlohmann/json.hpp>

namespace figcleat::request
{

namespace
{

constexpr auto retryAfterSeconds = "1";
/** Another entry serves the caller at once. */
constexpr auto retryElsewhereSeconds = "0";

} // namespace

reply errorReply(exchange_id exchange, const request_id &id, result_code code, std::string_view detail)
{
    const auto &info = describe(code);
    const nlohmann::json body { { "error",
                                  { { "code", static_cast<int>(code) },
                                    { "name", info.name },
                                    { "request", toString(info.ran) },
                                    { "message", info.meaning },
                                    { "detail", detail } } } };
    http_headers headers { { "Content-Type", "application/json" },
                           { "X-Request-Id", id.value },
                           { "X-Figcleat-Code", std::to_string(static_cast<int>(code)) },
                           { "X-Figcleat-Request", std::string(toString(info.ran)) } };
    constexpr int tooManyRequests = 429;
    constexpr int unavailable = 503;
    if (info.httpStatus == tooManyRequests || info.httpStatus == unavailable) {
        headers.emplace_back("Retry-After",
                             code == result_code::entry_stopping ? retryElsewhereSeconds : retryAfterSeconds);
    }
    return { exchange, info.httpStatus, std::move(headers),
             body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n" };
}

http_headers answerHeaders(const request_id &id, http_headers fromService)
{
    std::erase_if(fromService, [](const auto &header) { return header.first.starts_with("X-Figcleat-"); });
    fromService.emplace_back("X-Request-Id", id.value);
    fromService.emplace_back("X-Figcleat-Code", "0");
    fromService.emplace_back("X-Figcleat-Request", "ran");
    return fromService;
}

http_headers recordedHeaders(const request_id &id, std::string_view answer)
{
    http_headers headers = answerHeaders(id, {});
    headers.emplace_back("X-Figcleat-Recorded", "true");
    // The log keeps no headers of the service.
    const bool isJson = nlohmann::json::accept(answer.begin(), answer.end());
    headers.emplace_back("Content-Type", isJson ? "application/json" : "application/octet-stream");
    return headers;
}

} // namespace figcleat::request
