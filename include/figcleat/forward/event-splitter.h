#pragma once

#include <string>
#include <string_view>

namespace figcleat::forward
{

/**
 * Splits the bytes of an event stream (`text/event-stream`) into complete events.
 *
 * Callers receive complete events only, so that another target can resume the stream after the last of them.
 */
class event_splitter
{
public:
    /** Longest event in bytes; a longer one ends the stream with an error. */
    static constexpr std::size_t maxEventBytes = std::size_t { 1024 } * 1024;

    /** Returns the events that `bytes` completes, and buffers an incomplete event at the end. */
    [[nodiscard]] std::string push(std::string_view bytes);
    /** Discards the incomplete event, for example when the connection to the target is lost. */
    void dropPartialEvent();

    [[nodiscard]] bool hasPartialEvent() const;
    [[nodiscard]] bool isTooLong() const;
    [[nodiscard]] std::size_t partialBytes() const;
    /** Id of the last complete event that had an id; empty if none had. */
    [[nodiscard]] const std::string &lastId() const;

private:
    /**
     * Appends to the partial event; each byte is searched once, in whatever pieces an event arrives.
     *
     * Returns the offset just after the last complete event, 0 if there is none. An event ends with an empty line.
     */
    [[nodiscard]] std::size_t append(std::string_view bytes);

    std::string m_partialEvent;
    /** Start of the line in `m_partialEvent` that is not complete. */
    std::size_t m_lineStart = 0;
    std::string m_lastId;
};

} // namespace figcleat::forward
