#pragma once

#include "figcleat/consensus/types.h"

#include <deque>
#include <memory>

namespace figcleat::consensus
{

/** Entries in memory with the snapshot before them. */
class memory_log
{
public:
    memory_log(snapshot base, std::vector<log_entry> entries);

    [[nodiscard]] const std::shared_ptr<const snapshot> &base() const;
    /** First entry in memory; one past the last one if there is none. */
    [[nodiscard]] log_index first() const;
    [[nodiscard]] log_index last() const;
    [[nodiscard]] term_number lastTerm() const;
    /** Term 0 if the entry is not known any more or not yet. */
    [[nodiscard]] term_number termAt(log_index index) const;
    [[nodiscard]] bool holds(log_index index, term_number term) const;
    [[nodiscard]] const log_entry &at(log_index index) const;
    /** Entries from `from` up to both bounds, but at least one if there is one. */
    [[nodiscard]] std::vector<log_entry> slice(log_index from, std::size_t maxEntries, std::size_t maxBytes) const;

    void append(log_entry entry);
    /** Drops `from` and everything after it. */
    void truncate(log_index from);
    /** Sets a snapshot of the log's own entries and keeps `trailing` entries before it, within `maxBytes`. */
    void compact(std::shared_ptr<const snapshot> base, std::uint64_t trailing, std::size_t maxBytes);
    /** Replaces everything by a snapshot. */
    void reset(std::shared_ptr<const snapshot> base);

    /** Latest membership, committed or not, and the index that holds it. */
    [[nodiscard]] const membership &members() const;
    [[nodiscard]] log_index membersIndex() const;
    /** Membership as of an index. */
    [[nodiscard]] membership membersAt(log_index index) const;
    /** True if the entries after `index` number more than `maxEntries` or hold more than `maxBytes`. */
    [[nodiscard]] bool exceeds(log_index index, std::size_t maxEntries, std::size_t maxBytes) const;
    /** Bytes of entries after the snapshot. */
    [[nodiscard]] std::uint64_t bytesSinceSnapshot() const;

private:
    struct membership_version
    {
        log_index index;
        membership members;
    };

    std::shared_ptr<const snapshot> m_base;
    std::deque<log_entry> m_entries;
    /** Entry before the first one in memory. */
    log_index m_before;
    term_number m_beforeTerm;
    std::vector<membership_version> m_versions;
    std::uint64_t m_bytes = 0;
};

} // namespace figcleat::consensus
