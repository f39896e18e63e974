#include "figcleat/forward/event-splitter.h"

namespace figcleat::forward
{

namespace
{

constexpr std::string_view idField = "id:";

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == '\r' || text.back() == ' ')) {
        text.remove_suffix(1);
    }
    return text;
}

} // namespace

std::string event_splitter::push(std::string_view bytes)
{
    const std::size_t end = append(bytes);
    std::string completeEvents = m_partialEvent.substr(0, end);
    m_partialEvent.erase(0, end);
    m_lineStart -= end;
    std::string_view remaining = completeEvents;
    while (!remaining.empty()) {
        const auto lineEnd = remaining.find('\n');
        const auto line = remaining.substr(0, lineEnd);
        if (line.starts_with(idField)) {
            m_lastId = trimmed(line.substr(idField.size()));
        }
        remaining.remove_prefix(lineEnd == std::string_view::npos ? remaining.size() : lineEnd + 1);
    }
    return completeEvents;
}

std::size_t event_splitter::append(std::string_view bytes)
{
    std::size_t end = 0;
    const std::size_t searched = m_partialEvent.size();
    m_partialEvent += bytes;
    auto lineEnd = m_partialEvent.find('\n', searched);
    while (lineEnd != std::string::npos) {
        const bool isEmpty
            = lineEnd == m_lineStart || (lineEnd == m_lineStart + 1 && m_partialEvent[m_lineStart] == '\r');
        m_lineStart = lineEnd + 1;
        if (isEmpty) {
            end = m_lineStart;
        }
        lineEnd = m_partialEvent.find('\n', m_lineStart);
    }
    return end;
}

void event_splitter::dropPartialEvent()
{
    m_partialEvent.clear();
    m_lineStart = 0;
}

bool event_splitter::hasPartialEvent() const
{
    return !m_partialEvent.empty();
}

bool event_splitter::isTooLong() const
{
    return m_partialEvent.size() > maxEventBytes;
}

std::size_t event_splitter::partialBytes() const
{
    return m_partialEvent.size();
}

const std::string &event_splitter::lastId() const
{
    return m_lastId;
}

} // namespace figcleat::forward
