#pragma once

#include <string_view>
#include <strings.h>

namespace figcleat
{

/** Names of headers, schemes and encodings are compared so. */
[[nodiscard]] inline bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace figcleat
