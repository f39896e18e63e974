#pragma once

#include "figcleat/settings/toml-reader.h"
#include "figcleat/target/messages.h"

namespace figcleat
{

/** Token limit where a plain service gives none. It is finite so that sums and ratios of limits stay exact. */
inline constexpr std::int64_t noTokenLimit = 1'000'000'000;

/**
 * Reads the sub-tables `full` and `cold`.
 *
 * The token limits may be absent where `tokens` is optional. A cold limit above the full limit is
 * `configuration_invalid`.
 */
[[nodiscard]] target_limits readLimits(table_reader &parent, presence tokens);

} // namespace figcleat
