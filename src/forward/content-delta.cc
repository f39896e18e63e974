#include "figcleat/forward/content-delta.h"

#include <algorithm>
#include <unordered_map>

namespace figcleat::forward
{

namespace
{

constexpr char pieceEnd = '}';
/** Offset, length and framing of one piece in a message. */
constexpr std::size_t pieceOverhead = 16;

std::vector<std::string_view> split(std::string_view text)
{
    std::vector<std::string_view> parts;
    while (!text.empty()) {
        const auto end = text.find(pieceEnd);
        const auto size = end == std::string_view::npos ? text.size() : end + 1;
        parts.push_back(text.substr(0, size));
        text.remove_prefix(size);
    }
    return parts;
}

} // namespace

std::vector<delta_piece> makeDelta(std::string_view base, std::string_view changed)
{
    std::unordered_map<std::string_view, std::size_t> offsets;
    for (const auto part : split(base)) {
        offsets.emplace(part, static_cast<std::size_t>(part.data() - base.data()));
    }
    std::vector<delta_piece> pieces;
    for (const auto part : split(changed)) {
        auto *last = pieces.empty() ? nullptr : &pieces.back();
        // The same part may occur several times in the base; the one that continues the last piece is the cheapest.
        if (last != nullptr && last->literal.empty() && base.substr(last->offset + last->length).starts_with(part)) {
            last->length += part.size();
            continue;
        }
        const auto known = offsets.find(part);
        if (known != offsets.end()) {
            pieces.push_back({ known->second, part.size(), {} });
        } else if (last != nullptr) {
            last->literal += part;
        } else {
            pieces.push_back({ 0, 0, std::string(part) });
        }
    }
    return pieces;
}

expected<std::string> applyDelta(std::string_view base, const std::vector<delta_piece> &pieces, std::size_t maxBytes)
{
    std::string changed;
    for (const auto &piece : pieces) {
        if (piece.offset > base.size() || piece.length > base.size() - piece.offset) {
            return fail(result_code::malformed_request, "a piece lies outside of the text");
        }
        if (changed.size() + piece.length + piece.literal.size() > maxBytes) {
            return fail(result_code::malformed_request, "the text is too long");
        }
        changed += base.substr(piece.offset, piece.length);
        changed += piece.literal;
    }
    return changed;
}

std::size_t sizeOf(const std::vector<delta_piece> &pieces)
{
    std::size_t size = 0;
    for (const auto &piece : pieces) {
        size += pieceOverhead + piece.literal.size();
    }
    return size;
}

} // namespace figcleat::forward
