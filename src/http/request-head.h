#pragma once

#include "figcleat/http/client.h"

#include <optional>
#include <string>
#include <string_view>

namespace figcleat
{

/**
 * Request line and headers of a call, with the empty line; method and path byte for byte.
 *
 * Empty if the method or the path would make something else of the request. Headers that would are left out.
 */
[[nodiscard]] std::optional<std::string> requestHead(const service_call &call, std::string_view address,
                                                     const http_client_settings &settings);

/** Leaves out what the target said to this connection only. */
[[nodiscard]] http_headers withoutConnectionHeaders(http_headers headers);

} // namespace figcleat
