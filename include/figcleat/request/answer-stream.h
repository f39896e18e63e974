#pragma once

#include "figcleat/http/server.h"
#include "figcleat/target/messages.h"

#include <cstdint>
#include <map>
#include <string>

namespace figcleat::request
{

/** Bytes of an answer that are kept to compare a second run with the first; longer answers cannot be resumed. */
inline constexpr std::size_t maxResumableBytes = std::size_t { 64 } * 1024;
/** Pieces that wait for an earlier one. */
inline constexpr std::size_t maxPiecesOutOfOrder = 256;

/** What the caller gets next. */
struct stream_progress
{
    result_code code = result_code::ok;
    /** Status and headers, with the first piece of the first run. */
    bool starts = false;
    int httpStatus = 0;
    http_headers headers;
    std::string bytes;
    /** The answer is whole. */
    bool whole = false;
};

/**
 * Puts the pieces of one request's answer in order.
 *
 * Takes pieces of the present attempt only. After `restart` a second run has to repeat what the caller has
 * already got, byte for byte; what differs ends in stream_broken, so that two answers are never mixed.
 */
class answer_stream
{
public:
    /** Starts to take the pieces of this attempt and drops those of all others. */
    void restart(attempt_id attempt);
    [[nodiscard]] stream_progress onPiece(const answer_piece &piece);
    [[nodiscard]] stream_progress onFinished(const attempt_finished &finished);
    /** True while a second run could still give the caller a whole answer. */
    [[nodiscard]] bool canRestart() const;
    [[nodiscard]] bool hasStarted() const;
    /** True if a piece is missing while a later one, or the end, is there. */
    [[nodiscard]] bool hasGap() const;
    [[nodiscard]] std::uint64_t piecesTaken() const;

private:
    stream_progress takeInOrder();
    void take(const answer_piece &piece, stream_progress &progress);
    void checkWhole(stream_progress &progress) const;

    attempt_id m_attempt;
    std::uint64_t m_nextPosition = 0;
    std::uint64_t m_pieces = 0;
    bool m_finished = false;
    bool m_started = false;
    int m_httpStatus = 0;
    std::map<std::uint64_t, answer_piece> m_early;
    std::string m_sent;
    std::size_t m_sentBytes = 0;
    /** Bytes of this attempt so far, while it repeats what was sent. */
    std::size_t m_repeated = 0;
};

} // namespace figcleat::request
