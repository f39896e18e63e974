#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace figcleat
{

/** SHA-256 of some content. */
struct digest
{
    std::array<std::uint8_t, 32> bytes {};

    auto operator<=>(const digest &) const = default;
    MSGPACK_DEFINE(bytes)
};

[[nodiscard]] digest sha256(std::string_view content);
/** 64 lower-case hexadecimal digits. */
[[nodiscard]] std::string toHex(const digest &value);
[[nodiscard]] std::optional<digest> parseDigest(std::string_view hex);
/** Takes the same time whatever the two hold. */
[[nodiscard]] bool equalInConstantTime(const digest &a, const digest &b);
/** XXH3 checksum of a record. */
[[nodiscard]] std::uint64_t checksum(std::string_view content);

} // namespace figcleat
