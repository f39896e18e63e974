#pragma once

#include "figcleat/request/events.h"

namespace figcleat::request
{

/** Answer that reports a result code, as a JSON object `error` with the headers that carry the code. */
[[nodiscard]] reply errorReply(exchange_id exchange, const request_id &id, result_code code, std::string_view detail);

/** Headers of every answer that came from a service. */
[[nodiscard]] http_headers answerHeaders(const request_id &id, http_headers fromService);

/** Headers of an answer that the log kept for a resend of its key. */
[[nodiscard]] http_headers recordedHeaders(const request_id &id, std::string_view answer);

} // namespace figcleat::request
