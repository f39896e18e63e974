#pragma once

#include "figcleat/forward/route-table.h"

/** What several parts of the forwarder need. */
namespace figcleat::forward
{

/** No attempt is started with less time left until the deadline, as its answer would come too late. */
inline constexpr milliseconds minTimeLeft { 30 };
/** Retry delay for requests that are refused before their deadline is known. */
inline constexpr milliseconds defaultRetryDelay { 1000 };
inline constexpr int firstSuccessStatus = 200;
inline constexpr int firstRedirectStatus = 300;
inline constexpr int firstErrorStatus = 500;

[[nodiscard]] inline bool isSuccess(int status)
{
    return status >= firstSuccessStatus && status < firstRedirectStatus;
}

} // namespace figcleat::forward
