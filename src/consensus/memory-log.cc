#include "memory-log.h"

#include "figcleat/core/invariant.h"
#include "figcleat/wire/codec.h"

#include <algorithm>

namespace figcleat::consensus
{

namespace
{

membership decodeMembers(const log_entry &entry)
{
    auto members = decode<membership>(entry.bytes);
    ensure(members.has_value(), result_code::invariant_internal, "membership entry cannot be decoded");
    return *std::move(members);
}

} // namespace

memory_log::memory_log(snapshot base, std::vector<log_entry> entries)
    : m_base(std::make_shared<const snapshot>(std::move(base)))
    , m_before(m_base->index)
    , m_beforeTerm(m_base->term)
    , m_versions { { m_base->index, m_base->members } }
{
    for (auto &entry : entries) {
        append(std::move(entry));
    }
}

const std::shared_ptr<const snapshot> &memory_log::base() const
{
    return m_base;
}

log_index memory_log::first() const
{
    return m_before.next();
}

log_index memory_log::last() const
{
    return { m_before.value + m_entries.size() };
}

term_number memory_log::lastTerm() const
{
    return m_entries.empty() ? m_beforeTerm : m_entries.back().term;
}

term_number memory_log::termAt(log_index index) const
{
    if (index == m_before) {
        return m_beforeTerm;
    }
    return index < m_before || index > last() ? term_number {} : at(index).term;
}

bool memory_log::holds(log_index index, term_number term) const
{
    return index >= m_before && index <= last() && termAt(index) == term;
}

const log_entry &memory_log::at(log_index index) const
{
    ensure(index > m_before && index <= last(), result_code::invariant_internal, "log index out of range");
    return m_entries[index.value - m_before.value - 1];
}

std::vector<log_entry> memory_log::slice(log_index from, std::size_t maxEntries, std::size_t maxBytes) const
{
    std::vector<log_entry> result;
    std::size_t bytes = 0;
    for (auto index = from; index <= last() && result.size() < maxEntries; index = index.next()) {
        bytes += at(index).bytes.size();
        if (!result.empty() && bytes > maxBytes) {
            break;
        }
        result.push_back(at(index));
    }
    return result;
}

void memory_log::append(log_entry entry)
{
    ensure(entry.index == last().next() && entry.term >= lastTerm(), result_code::invariant_internal,
           "entry does not follow the last one");
    if (entry.kind == entry_kind::membership) {
        m_versions.push_back({ entry.index, decodeMembers(entry) });
    }
    m_bytes += entry.bytes.size();
    m_entries.push_back(std::move(entry));
}

void memory_log::truncate(log_index from)
{
    ensure(from > m_base->index, result_code::invariant_committed_entry, "truncation reaches into the snapshot");
    while (last() >= from) {
        m_bytes -= m_entries.back().bytes.size();
        m_entries.pop_back();
    }
    std::erase_if(m_versions, [from](const auto &version) { return version.index >= from; });
}

void memory_log::compact(std::shared_ptr<const snapshot> base, std::uint64_t trailing, std::size_t maxBytes)
{
    for (auto index = std::max(m_base->index, m_before).next(); index <= base->index; index = index.next()) {
        m_bytes -= at(index).bytes.size();
    }
    m_base = std::move(base);
    std::size_t kept = 0;
    for (auto index = m_before.next(); index <= m_base->index; index = index.next()) {
        kept += at(index).bytes.size();
    }
    while (m_before < m_base->index && (m_before.value + trailing < m_base->index.value || kept > maxBytes)) {
        kept -= m_entries.front().bytes.size();
        m_before = m_entries.front().index;
        m_beforeTerm = m_entries.front().term;
        m_entries.pop_front();
    }
    std::erase_if(m_versions, [this](const auto &version) { return version.index < m_base->index; });
    m_versions.insert(m_versions.begin(), { m_base->index, m_base->members });
}

void memory_log::reset(std::shared_ptr<const snapshot> base)
{
    m_base = std::move(base);
    m_before = m_base->index;
    m_beforeTerm = m_base->term;
    m_entries.clear();
    m_versions = { { m_base->index, m_base->members } };
    m_bytes = 0;
}

const membership &memory_log::members() const
{
    return m_versions.back().members;
}

log_index memory_log::membersIndex() const
{
    return m_versions.back().index;
}

membership memory_log::membersAt(log_index index) const
{
    const auto after = std::find_if(m_versions.begin(), m_versions.end(),
                                    [index](const auto &version) { return version.index > index; });
    ensure(after != m_versions.begin(), result_code::invariant_internal, "membership before the snapshot asked for");
    return std::prev(after)->members;
}

bool memory_log::exceeds(log_index index, std::size_t maxEntries, std::size_t maxBytes) const
{
    std::size_t bytes = 0;
    for (auto one = index.next(); one <= last() && bytes <= maxBytes; one = one.next()) {
        bytes += at(one).bytes.size();
    }
    return last().value - index.value > maxEntries || bytes > maxBytes;
}

std::uint64_t memory_log::bytesSinceSnapshot() const
{
    return m_bytes;
}

} // namespace figcleat::consensus
