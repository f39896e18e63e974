#pragma once

#include "figcleat/consensus/log-store.h"
#include "figcleat/wire/codec.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace figcleat::consensus
{

/** Version of every record that this program writes. */
inline constexpr std::uint8_t recordVersion = 1;

enum class record_kind : std::uint8_t {
    identity = 1,
    state = 2,
    batch = 3,
    snapshot = 4,
};

/**
 * Record: version (1 byte), kind (1), payload length (8), bytes of the file that were synced before (8), XXH3 checksum
 * of all that and the payload (8), payload. Numbers are little-endian.
 *
 * The synced size tells a torn tail from damage: a record before the synced size of a later one was durable once.
 */
[[nodiscard]] std::string makeRecord(record_kind kind, std::uint64_t syncedBytes, std::string_view payload,
                                     std::uint8_t version = recordVersion);

/** Entries of one `persist`; they are written and lost together. */
struct batch_record
{
    log_index truncateFrom;
    std::vector<log_entry> entries;

    MSGPACK_DEFINE(truncateFrom, entries)
};

struct record_scan
{
    std::vector<std::string_view> payloads;
    /** Up to the end of the last valid record. */
    std::uint64_t validBytes = 0;
};

/** Reads the batches of a segment. Only the last segment may have a torn tail. */
[[nodiscard]] expected<record_scan> scanRecords(const std::string &name, std::string_view bytes, bool isLast);

/** Payload of a file that holds one record. */
[[nodiscard]] expected<std::string_view> onlyRecord(const std::string &name, std::string_view bytes, record_kind kind);

struct snapshot_file
{
    /** Segments before this one are void. */
    std::uint64_t firstSegment = 1;
    snapshot base;
};

[[nodiscard]] std::string makeSnapshot(const snapshot_file &content);
[[nodiscard]] expected<snapshot_file> parseSnapshot(const std::string &name, std::string_view bytes);

template<typename T>
[[nodiscard]] expected<T> readWhole(data_folder &folder, const std::string &name, record_kind kind)
{
    auto bytes = folder.read(name);
    if (!bytes) {
        return tl::unexpected(bytes.error());
    }
    const auto payload = onlyRecord(name, *bytes, kind);
    if (!payload) {
        return tl::unexpected(payload.error());
    }
    auto value = decode<T>(*payload);
    return value ? value : fail(result_code::log_damaged, name + ": " + value.error().detail);
}

} // namespace figcleat::consensus
