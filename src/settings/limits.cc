#include "figcleat/settings/limits.h"

#include <spdlog/fmt/fmt.h>

namespace figcleat
{

namespace
{

constexpr value_range<std::int64_t> requestRange { 1, 100'000 };
constexpr value_range<std::int64_t> tokenRange { 0, noTokenLimit };

std::optional<work_cost> readLimit(table_reader &parent, std::string_view key, presence tokens)
{
    auto reader = parent.table(key);
    if (!reader) {
        return std::nullopt;
    }
    work_cost limit { {}, { noTokenLimit }, { noTokenLimit } };
    reader->readInteger("max_requests", limit.requests.count, requestRange);
    reader->readInteger("max_prompt_tokens", limit.promptTokens.count, tokenRange, tokens);
    reader->readInteger("max_generated_tokens", limit.generatedTokens.count, tokenRange, tokens);
    reader->finish();
    return limit;
}

void compare(table_reader &cold, std::string_view key, std::int64_t coldCount, std::int64_t fullCount)
{
    if (coldCount > fullCount) {
        cold.report(result_code::configuration_invalid, key,
                    fmt::format("the cold limit {} is above the full limit {}", coldCount, fullCount));
    }
}

} // namespace

target_limits readLimits(table_reader &parent, presence tokens)
{
    const auto full = readLimit(parent, "full", tokens);
    const auto cold = readLimit(parent, "cold", tokens);
    if (!full || !cold) {
        return {};
    }
    auto reader = parent.table("cold");
    compare(*reader, "max_requests", cold->requests.count, full->requests.count);
    compare(*reader, "max_prompt_tokens", cold->promptTokens.count, full->promptTokens.count);
    compare(*reader, "max_generated_tokens", cold->generatedTokens.count, full->generatedTokens.count);
    return { *full, *cold };
}

} // namespace figcleat
