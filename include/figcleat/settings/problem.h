#pragma once

#include "figcleat/core/result-code.h"

#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace figcleat
{

/** One error in a settings or configuration file. */
struct problem
{
    result_code code = result_code::ok;
    std::string file;
    /** Line from 1; 0 where the file as a whole is meant. */
    std::uint32_t line = 0;
    /** Path of the key, for example `entry.caller_address` or `service[2].name`, where the first is `service[0]`. */
    std::string key;
    std::string detail;
};

/** A value, or every problem that was found. */
template<typename T>
using checked = tl::expected<T, std::vector<problem>>;

/** `file:line: key: detail (505 settings_missing_value)`; the line and the key are absent where there is none. */
[[nodiscard]] std::string toString(const problem &found);

} // namespace figcleat
