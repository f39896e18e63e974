#pragma once

#include "figcleat/consensus/raft.h"
#include "figcleat/core/result-code.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace figcleat::consensus
{

/** The files of one data folder; an interface so that tests can inject disk faults. */
class data_folder
{
public:
    virtual ~data_folder() = default;
    [[nodiscard]] virtual expected<std::vector<std::string>> list() = 0;
    [[nodiscard]] virtual expected<std::string> read(const std::string &name) = 0;
    /** Creates the file if needed. After an error the file may hold a part of the bytes. */
    [[nodiscard]] virtual expected<void> append(const std::string &name, std::string_view bytes) = 0;
    [[nodiscard]] virtual expected<void> truncate(const std::string &name, std::uint64_t size) = 0;
    [[nodiscard]] virtual expected<void> sync(const std::string &name) = 0;
    [[nodiscard]] virtual expected<void> syncFolder() = 0;
    [[nodiscard]] virtual expected<void> rename(const std::string &from, const std::string &to) = 0;
    [[nodiscard]] virtual expected<void> remove(const std::string &name) = 0;
};

/** Opens a folder of the file system and creates it if needed. */
[[nodiscard]] expected<std::unique_ptr<data_folder>> openFolder(const std::string &path);

/**
 * Renames a folder that must not be used again to an unused name beside it, which is returned.
 *
 * For a voter that halted with `identity_mismatch`: the next start makes a new folder with a new identity, which the
 * cluster takes in as a learner.
 */
[[nodiscard]] expected<std::string> setAside(const std::string &path);

/** Bytes of a log segment after which a new one is started. */
inline constexpr std::uint64_t segmentBytes = std::uint64_t { 8 } * 1024 * 1024;

/**
 * Disk adapter of `raft`.
 *
 *     auto store = log_store::open(std::move(folder), randomNumber);
 *     raft log(settings, store->takeRestored(), clock.now());
 *     store->write(action); // for each persist
 *     store->sync();        // then step(synced { lastSequence })
 *
 * After `disk_full` from `write` the folder holds what it held before, and at most the vote or snapshot of that call.
 * After any other error the store has to be reopened.
 */
class log_store
{
public:
    /**
     * Reads the folder. A torn tail is cut and counted in `tornBytes`; `log_damaged`, `unsupported_version`,
     * `disk_full` or `sync_failed` otherwise. `newIdentity` is used for an empty folder and must be random.
     */
    [[nodiscard]] static expected<log_store> open(std::unique_ptr<data_folder> folder, voter_identity newIdentity);

    [[nodiscard]] restored_state takeRestored();
    /** Bytes that were cut from the end of the log on opening. */
    [[nodiscard]] std::uint64_t tornBytes() const;
    [[nodiscard]] expected<void> write(const persist &action);
    [[nodiscard]] expected<void> sync();

private:
    struct segment
    {
        std::uint64_t number = 0;
        log_index last;
    };

    explicit log_store(std::unique_ptr<data_folder> folder);
    [[nodiscard]] expected<void> load(voter_identity newIdentity);
    [[nodiscard]] expected<void> loadIdentity(bool isMissing, voter_identity newIdentity);
    [[nodiscard]] expected<void> loadState(bool isThere);
    [[nodiscard]] expected<void> loadSnapshot(const std::vector<std::string> &names);
    [[nodiscard]] expected<void> loadSegments(const std::vector<std::string> &names);
    [[nodiscard]] expected<void> loadSegment(std::uint64_t number, bool isLast);
    [[nodiscard]] expected<void> addBatch(std::string_view payload);
    [[nodiscard]] expected<void> replaceFile(const std::string &name, std::string_view content);
    [[nodiscard]] expected<void> writeSnapshot(const persist &action);
    [[nodiscard]] expected<void> writeBatch(const persist &action);
    [[nodiscard]] expected<void> dropOldFiles();
    void startSegment();

    std::unique_ptr<data_folder> m_folder;
    restored_state m_restored;
    std::vector<segment> m_segments;
    std::uint64_t m_firstSegment = 1;
    log_index m_snapshotIndex;
    std::uint64_t m_size = 0;
    std::uint64_t m_syncedSize = 0;
    bool m_fileIsNew = true;
    bool m_failed = false;
    std::uint64_t m_tornBytes = 0;
};

} // namespace figcleat::consensus
