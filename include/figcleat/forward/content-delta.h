#pragma once

#include "figcleat/core/result-code.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace figcleat::forward
{

/** A part of the new text: bytes of the old text, followed by bytes that it does not have. */
struct delta_piece
{
    std::uint64_t offset = 0;
    std::uint64_t length = 0;
    std::string literal {};

    MSGPACK_DEFINE(offset, length, literal)
};

/**
 * Describes `changed` by parts of `base`.
 *
 * Texts are compared in pieces that end with a closing brace, so that a changed or added object of a JSON text costs
 * its own size, wherever it stands.
 */
[[nodiscard]] std::vector<delta_piece> makeDelta(std::string_view base, std::string_view changed);

/** Code `malformed_request` if a piece lies outside of `base` or the result is longer than `maxBytes`. */
[[nodiscard]] expected<std::string> applyDelta(std::string_view base, const std::vector<delta_piece> &pieces,
                                               std::size_t maxBytes);

/** Bytes that a delta takes in a message, approximately. */
[[nodiscard]] std::size_t sizeOf(const std::vector<delta_piece> &pieces);

} // namespace figcleat::forward
