#include "figcleat/core/digest.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>
#include <xxhash.h>

namespace figcleat
{

namespace
{

int hexValue(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f') {
        return c - 'a' + 10;
    }
    return -1;
}

} // namespace

digest sha256(std::string_view content)
{
    digest result;
    SHA256(reinterpret_cast<const unsigned char *>(content.data()), content.size(), result.bytes.data());
    return result;
}

std::string toHex(const digest &value)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(value.bytes.size() * 2);
    for (const auto byte : value.bytes) {
        text += digits[byte >> 4U];
        text += digits[byte & 0xfU];
    }
    return text;
}

std::optional<digest> parseDigest(std::string_view hex)
{
    digest result;
    if (hex.size() != result.bytes.size() * 2) {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < result.bytes.size(); ++i) {
        const int high = hexValue(hex[2 * i]);
        const int low = hexValue(hex[2 * i + 1]);
        if (high < 0 || low < 0) {
            return std::nullopt;
        }
        result.bytes[i] = static_cast<std::uint8_t>(high * 16 + low);
    }
    return result;
}

bool equalInConstantTime(const digest &a, const digest &b)
{
    return CRYPTO_memcmp(a.bytes.data(), b.bytes.data(), a.bytes.size()) == 0;
}

std::uint64_t checksum(std::string_view content)
{
    return XXH3_64bits(content.data(), content.size());
}

} // namespace figcleat
