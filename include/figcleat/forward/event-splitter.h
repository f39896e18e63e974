#pragma once

#include <string>
#include <string_view>

namespace figcleat::forward
{

/** Cuts the bytes of an event stream (`text/event-stream`) into whole events, so that a stream can go on elsewhere. */
class event_splitter
{
public:
    /** Bytes of one event; a longer one breaks the stream. */
    static constexpr std::size_t maxEventBytes = std::size_t { 1024 } * 1024;

    /** Returns the whole events that these bytes complete; the rest waits for more. */
    [[nodiscard]] std::string push(std::string_view bytes);
    /** Drops an event that has begun; the target that sent it is lost. */
    void dropPartial();

    [[nodiscard]] bool hasPartial() const;
    [[nodiscard]] bool isTooLong() const;
    [[nodiscard]] std::size_t partialBytes() const;
    /** Id of the last whole event that had one. */
    [[nodiscard]] const std::string &lastId() const;

private:
    std::string m_waiting;
    std::string m_lastId;
};

} // namespace figcleat::forward
