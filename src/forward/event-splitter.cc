#include "figcleat/forward/event-splitter.h"

namespace figcleat::forward
{

namespace
{

constexpr std::string_view idField = "id:";

/** Offset just after the last complete event in `bytes`; 0 if there is none. An event ends with an empty line. */
std::size_t completeEventsEnd(std::string_view bytes)
{
    std::size_t end = 0;
    std::size_t lineStart = 0;
    for (auto lineEnd = bytes.find('\n'); lineEnd != std::string_view::npos; lineEnd = bytes.find('\n', lineStart)) {
        const bool isEmpty = lineEnd == lineStart || (lineEnd == lineStart + 1 && bytes[lineStart] == '\r');
        lineStart = lineEnd + 1;
        if (isEmpty) {
            end = lineStart;
        }
    }
    return end;
}

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
    m_partialEvent += bytes;
    const std::size_t end = completeEventsEnd(m_partialEvent);
    std::string completeEvents = m_partialEvent.substr(0, end);
    m_partialEvent.erase(0, end);
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

void event_splitter::dropPartialEvent()
{
    m_partialEvent.clear();
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
