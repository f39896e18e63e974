#include "figcleat/consensus/log-store.h"

#include "figcleat/core/invariant.h"
#include "log-records.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace figcleat::consensus
{

namespace
{

constexpr std::string_view identityName = "identity";
constexpr std::string_view stateName = "vote";
constexpr std::string_view logPrefix = "log-";
constexpr std::string_view snapshotPrefix = "snapshot-";
constexpr std::string_view newSuffix = ".new";

std::string numbered(std::string_view prefix, std::uint64_t number)
{
    return fmt::format("{}{:020}", prefix, number);
}

/** Numbers of the files with a prefix, in ascending order. */
std::vector<std::uint64_t> numbersOf(const std::vector<std::string> &names, std::string_view prefix)
{
    std::vector<std::uint64_t> numbers;
    for (const auto &name : names) {
        std::uint64_t number = 0;
        const auto *end = name.data() + name.size();
        if (name.starts_with(prefix)
            && std::from_chars(name.data() + prefix.size(), end, number) == std::from_chars_result { end, {} }) {
            numbers.push_back(number);
        }
    }
    std::sort(numbers.begin(), numbers.end());
    return numbers;
}

bool contains(const std::vector<std::string> &names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

log_store::log_store(std::unique_ptr<data_folder> folder)
    : m_folder(std::move(folder))
{
}

expected<log_store> log_store::open(std::unique_ptr<data_folder> folder, voter_identity newIdentity)
{
    log_store store(std::move(folder));
    if (auto loaded = store.load(newIdentity); !loaded) {
        return tl::unexpected(std::move(loaded.error()));
    }
    return store;
}

restored_state log_store::takeRestored()
{
    return std::move(m_restored);
}

std::uint64_t log_store::tornBytes() const
{
    return m_tornBytes;
}

expected<void> log_store::load(voter_identity newIdentity)
{
    auto names = m_folder->list();
    if (!names) {
        return tl::unexpected(names.error());
    }
    for (const auto &name : *names) {
        if (name.ends_with(newSuffix)) {
            if (auto removed = m_folder->remove(name); !removed) {
                return removed;
            }
        }
    }
    std::erase_if(*names, [](const std::string &name) { return name.ends_with(newSuffix); });
    const bool hasIdentity = contains(*names, identityName);
    if (!hasIdentity && (contains(*names, stateName) || !numbersOf(*names, logPrefix).empty())) {
        return fail(result_code::log_damaged, "the folder holds a log but no identity");
    }
    return loadIdentity(!hasIdentity, newIdentity)
        .and_then([&] { return loadState(contains(*names, stateName)); })
        .and_then([&] { return loadSnapshot(*names); })
        .and_then([&] { return loadSegments(*names); });
}

expected<void> log_store::loadIdentity(bool isMissing, voter_identity newIdentity)
{
    if (isMissing) {
        ensure(newIdentity.value != 0, result_code::invariant_internal, "identity 0 offered for a new folder");
        m_restored.identity = newIdentity;
        return replaceFile(std::string(identityName), makeRecord(record_kind::identity, 0, encode(newIdentity)));
    }
    return readWhole<voter_identity>(*m_folder, std::string(identityName), record_kind::identity)
        .map([this](voter_identity identity) { m_restored.identity = identity; });
}

expected<void> log_store::loadState(bool isThere)
{
    if (!isThere) {
        return {};
    }
    return readWhole<hard_state>(*m_folder, std::string(stateName), record_kind::state).map([this](hard_state state) {
        m_restored.state = state;
    });
}

expected<void> log_store::loadSnapshot(const std::vector<std::string> &names)
{
    const auto numbers = numbersOf(names, snapshotPrefix);
    if (numbers.empty()) {
        return {};
    }
    const auto name = numbered(snapshotPrefix, numbers.back());
    auto bytes = m_folder->read(name);
    if (!bytes) {
        return tl::unexpected(bytes.error());
    }
    auto content = parseSnapshot(name, *bytes);
    if (!content) {
        return tl::unexpected(content.error());
    }
    m_firstSegment = content->firstSegment;
    m_restored.base = std::move(content->base);
    m_snapshotIndex = m_restored.base.index;
    return {};
}

expected<void> log_store::loadSegments(const std::vector<std::string> &names)
{
    auto numbers = numbersOf(names, logPrefix);
    std::erase_if(numbers, [this](std::uint64_t number) { return number < m_firstSegment; });
    for (const auto number : numbers) {
        if (auto loaded = loadSegment(number, number == numbers.back()); !loaded) {
            return loaded;
        }
    }
    if (numbers.empty()) {
        startSegment();
    }
    return dropOldFiles();
}

expected<void> log_store::loadSegment(std::uint64_t number, bool isLast)
{
    const auto name = numbered(logPrefix, number);
    auto bytes = m_folder->read(name);
    if (!bytes) {
        return tl::unexpected(bytes.error());
    }
    auto scan = scanRecords(name, *bytes, isLast);
    if (!scan) {
        return tl::unexpected(scan.error());
    }
    m_segments.push_back({ number, {} });
    for (const auto &payload : scan->payloads) {
        if (auto added = addBatch(payload); !added) {
            return added;
        }
    }
    m_size = m_syncedSize = scan->validBytes;
    m_fileIsNew = false;
    if (scan->validBytes == bytes->size()) {
        return {};
    }
    m_tornBytes = bytes->size() - scan->validBytes;
    return m_folder->truncate(name, m_size).and_then([&] { return m_folder->sync(name); });
}

expected<void> log_store::addBatch(std::string_view payload)
{
    auto batch = decode<batch_record>(payload);
    if (!batch) {
        return fail(result_code::log_damaged, "batch: " + batch.error().detail);
    }
    auto &entries = m_restored.entries;
    if (batch->truncateFrom.value > 0) {
        std::erase_if(entries, [&](const log_entry &entry) { return entry.index >= batch->truncateFrom; });
    }
    for (auto &entry : batch->entries) {
        m_segments.back().last = std::max(m_segments.back().last, entry.index);
        if (entry.index <= m_restored.base.index) {
            continue;
        }
        const auto expected = entries.empty() ? m_restored.base.index.next() : entries.back().index.next();
        if (entry.index != expected) {
            return fail(result_code::log_damaged,
                        fmt::format("entry {} where {} is due", entry.index.value, expected.value));
        }
        entries.push_back(std::move(entry));
    }
    return {};
}

expected<void> log_store::replaceFile(const std::string &name, std::string_view content)
{
    const auto fresh = name + std::string(newSuffix);
    auto done = m_folder->append(fresh, content)
                    .and_then([&] { return m_folder->sync(fresh); })
                    .and_then([&] { return m_folder->rename(fresh, name); })
                    .and_then([&] { return m_folder->syncFolder(); });
    if (!done) {
        // Only before the rename is it certain that the old file is still in place.
        m_failed = !m_folder->remove(fresh).has_value() || done.error().code != result_code::disk_full;
    }
    return done;
}

expected<void> log_store::write(const persist &action)
{
    if (m_failed) {
        return fail(result_code::sync_failed, "the store failed before; it has to be reopened");
    }
    if (action.state) {
        const auto record = makeRecord(record_kind::state, 0, encode(*action.state));
        if (auto written = replaceFile(std::string(stateName), record); !written) {
            return written;
        }
    }
    if (action.base) {
        if (auto written = writeSnapshot(action); !written) {
            return written;
        }
    }
    return action.entries.empty() && action.truncateFrom.value == 0 ? expected<void> {} : writeBatch(action);
}

expected<void> log_store::writeSnapshot(const persist &action)
{
    const auto next = m_segments.back().number + 1;
    const auto firstSegment = action.discardLog ? next : m_firstSegment;
    const auto name = numbered(snapshotPrefix, action.base->index.value);
    if (auto written = replaceFile(name, makeSnapshot({ firstSegment, *action.base })); !written) {
        return written;
    }
    m_firstSegment = firstSegment;
    m_snapshotIndex = action.base->index;
    if (action.discardLog) {
        startSegment();
    }
    return dropOldFiles();
}

expected<void> log_store::writeBatch(const persist &action)
{
    const auto name = numbered(logPrefix, m_segments.back().number);
    const auto record
        = makeRecord(record_kind::batch, m_syncedSize, encode(batch_record { action.truncateFrom, action.entries }));
    if (auto written = m_folder->append(name, record); !written) {
        // A part of the record may have reached the file.
        const auto cut = m_folder->truncate(name, m_size);
        m_failed = !cut.has_value();
        return written;
    }
    m_size += record.size();
    if (!action.entries.empty()) {
        m_segments.back().last = std::max(m_segments.back().last, action.entries.back().index);
    }
    return {};
}

expected<void> log_store::sync()
{
    if (m_failed) {
        return fail(result_code::sync_failed, "the store failed before; it has to be reopened");
    }
    if (m_size == m_syncedSize) {
        return {};
    }
    auto done = m_folder->sync(numbered(logPrefix, m_segments.back().number));
    if (done && m_fileIsNew) {
        done = m_folder->syncFolder();
    }
    if (!done) {
        // After a failed sync the kernel may have dropped the pages, so a second one proves nothing.
        m_failed = true;
        return done;
    }
    m_fileIsNew = false;
    m_syncedSize = m_size;
    if (m_size >= segmentBytes) {
        startSegment();
    }
    return {};
}

void log_store::startSegment()
{
    const auto number = m_segments.empty() ? m_firstSegment : m_segments.back().number + 1;
    m_segments.push_back({ number, {} });
    m_size = 0;
    m_syncedSize = 0;
    m_fileIsNew = true;
}

/** Removes what the snapshot covers; the current segment stays. */
expected<void> log_store::dropOldFiles()
{
    auto names = m_folder->list();
    if (!names) {
        return tl::unexpected(names.error());
    }
    while (m_segments.size() > 1
           && (m_segments.front().last <= m_snapshotIndex || m_segments.front().number < m_firstSegment)) {
        m_segments.erase(m_segments.begin());
    }
    for (const auto number : numbersOf(*names, logPrefix)) {
        if (number < m_segments.front().number) {
            if (auto removed = m_folder->remove(numbered(logPrefix, number)); !removed) {
                return removed;
            }
        }
    }
    for (const auto number : numbersOf(*names, snapshotPrefix)) {
        if (number < m_snapshotIndex.value) {
            if (auto removed = m_folder->remove(numbered(snapshotPrefix, number)); !removed) {
                return removed;
            }
        }
    }
    return {};
}

} // namespace figcleat::consensus
