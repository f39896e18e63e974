#include "log-records.h"

#include "figcleat/core/digest.h"

#include <fmt/format.h>
#include <optional>

namespace figcleat::consensus
{

namespace
{

constexpr std::size_t lengthOffset = 2;
constexpr std::size_t syncedOffset = 10;
constexpr std::size_t checksumOffset = 18;
constexpr std::size_t headerBytes = 26;

struct record_view
{
    std::uint8_t version = 0;
    record_kind kind = record_kind::batch;
    std::uint64_t syncedBytes = 0;
    std::string_view payload;
    std::size_t bytes = 0;
};

void putNumber(std::string &out, std::uint64_t value)
{
    for (int i = 0; i < 8; ++i) {
        out += static_cast<char>(value >> (8 * i));
    }
}

std::uint64_t getNumber(std::string_view bytes, std::size_t offset)
{
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < 8; ++i) {
        value |= std::uint64_t { static_cast<std::uint8_t>(bytes[offset + i]) } << (8 * i);
    }
    return value;
}

std::uint64_t checksumOf(std::string_view header, std::string_view payload)
{
    // Two passes save a copy of a large snapshot.
    std::string input(header);
    putNumber(input, checksum(payload));
    return checksum(input);
}

/** The record at the start of `bytes` if its checksum is right. */
std::optional<record_view> recordAt(std::string_view bytes)
{
    if (bytes.size() < headerBytes) {
        return std::nullopt;
    }
    const auto length = getNumber(bytes, lengthOffset);
    if (length > bytes.size() - headerBytes) {
        return std::nullopt;
    }
    const auto payload = bytes.substr(headerBytes, length);
    if (checksumOf(bytes.substr(0, checksumOffset), payload) != getNumber(bytes, checksumOffset)) {
        return std::nullopt;
    }
    return record_view { static_cast<std::uint8_t>(bytes[0]), static_cast<record_kind>(bytes[1]),
                         getNumber(bytes, syncedOffset), payload, headerBytes + length };
}

tl::unexpected<error> damaged(const std::string &name, std::size_t offset)
{
    return fail(result_code::log_damaged, fmt::format("{}: damaged record at byte {}", name, offset));
}

tl::unexpected<error> unsupported(const std::string &name, std::uint8_t version)
{
    return fail(result_code::unsupported_version, fmt::format("{}: record of version {}", name, version));
}

/** True if a valid record after `offset` was written when the record at `offset` was durable already. */
bool wasSynced(std::string_view bytes, std::size_t offset)
{
    for (auto next = offset + 1; next + headerBytes <= bytes.size(); ++next) {
        const auto record = recordAt(bytes.substr(next));
        if (record && record->syncedBytes > offset) {
            return true;
        }
    }
    return false;
}

struct snapshot_head
{
    std::uint64_t firstSegment = 1;
    log_index index;
    term_number term;
    membership members;

    MSGPACK_DEFINE(firstSegment, index, term, members)
};

} // namespace

std::string makeRecord(record_kind kind, std::uint64_t syncedBytes, std::string_view payload, std::uint8_t version)
{
    std::string record;
    record.reserve(headerBytes + payload.size());
    record += static_cast<char>(version);
    record += static_cast<char>(kind);
    putNumber(record, payload.size());
    putNumber(record, syncedBytes);
    putNumber(record, checksumOf(record, payload));
    record += payload;
    return record;
}

expected<record_scan> scanRecords(const std::string &name, std::string_view bytes, bool isLast)
{
    record_scan scan;
    while (scan.validBytes < bytes.size()) {
        const auto record = recordAt(bytes.substr(scan.validBytes));
        if (!record) {
            if (!isLast || wasSynced(bytes, scan.validBytes)) {
                return damaged(name, scan.validBytes);
            }
            return scan;
        }
        if (record->version != recordVersion) {
            return unsupported(name, record->version);
        }
        if (record->kind != record_kind::batch) {
            return damaged(name, scan.validBytes);
        }
        scan.payloads.push_back(record->payload);
        scan.validBytes += record->bytes;
    }
    return scan;
}

expected<std::string_view> onlyRecord(const std::string &name, std::string_view bytes, record_kind kind)
{
    const auto record = recordAt(bytes);
    if (!record) {
        return damaged(name, 0);
    }
    if (record->version != recordVersion) {
        return unsupported(name, record->version);
    }
    if (record->kind != kind || record->bytes != bytes.size()) {
        return damaged(name, 0);
    }
    return record->payload;
}

std::string makeSnapshot(const snapshot_file &content)
{
    const auto &base = content.base;
    const auto head = encode(snapshot_head { content.firstSegment, base.index, base.term, base.members });
    std::string payload;
    payload.reserve(sizeof(std::uint64_t) + head.size() + base.bytes.size());
    putNumber(payload, head.size());
    payload += head;
    payload += base.bytes;
    return makeRecord(record_kind::snapshot, 0, payload);
}

expected<snapshot_file> parseSnapshot(const std::string &name, std::string_view bytes)
{
    const auto payload = onlyRecord(name, bytes, record_kind::snapshot);
    if (!payload) {
        return tl::unexpected(payload.error());
    }
    const std::size_t start = sizeof(std::uint64_t);
    const auto length = payload->size() < start ? payload->size() : getNumber(*payload, 0);
    if (payload->size() < start || length > payload->size() - start) {
        return damaged(name, 0);
    }
    auto head = decode<snapshot_head>(payload->substr(start, length));
    if (!head) {
        return damaged(name, 0);
    }
    return snapshot_file { head->firstSegment,
                           { head->index, head->term, std::move(head->members),
                             std::string(payload->substr(start + length)) } };
}

} // namespace figcleat::consensus
