#include "figcleat/request/answer-stream.h"

#include <algorithm>

namespace figcleat::request
{

void answer_stream::restart(attempt_id attempt)
{
    m_attempt = attempt;
    m_nextPosition = 0;
    m_pieces = 0;
    m_finished = false;
    m_early.clear();
    m_repeated = 0;
}

bool answer_stream::canRestart() const
{
    return m_sentBytes <= maxResumableBytes;
}

bool answer_stream::hasStarted() const
{
    return m_started;
}

bool answer_stream::hasGap() const
{
    return !m_early.empty() || m_finished;
}

std::uint64_t answer_stream::piecesTaken() const
{
    return m_nextPosition;
}

stream_progress answer_stream::onPiece(const answer_piece &piece)
{
    if (piece.attempt != m_attempt || piece.position < m_nextPosition) {
        return {};
    }
    if (m_early.size() >= maxPiecesOutOfOrder) {
        stream_progress broken;
        broken.code = result_code::stream_broken;
        return broken;
    }
    m_early.emplace(piece.position, piece);
    return takeInOrder();
}

stream_progress answer_stream::onFinished(const attempt_finished &finished)
{
    if (finished.attempt != m_attempt) {
        return {};
    }
    m_finished = true;
    m_pieces = finished.pieces;
    return takeInOrder();
}

stream_progress answer_stream::takeInOrder()
{
    stream_progress progress;
    for (auto next = m_early.find(m_nextPosition); next != m_early.end() && progress.code == result_code::ok;
         next = m_early.find(m_nextPosition)) {
        take(next->second, progress);
        m_early.erase(next);
        ++m_nextPosition;
    }
    checkWhole(progress);
    return progress;
}

void answer_stream::take(const answer_piece &piece, stream_progress &progress)
{
    if (piece.position == 0) {
        if (m_started && m_httpStatus != static_cast<int>(piece.httpStatus)) {
            progress.code = result_code::stream_broken;
            return;
        }
        progress.starts = !m_started;
        m_started = true;
        m_httpStatus = static_cast<int>(piece.httpStatus);
        progress.httpStatus = m_httpStatus;
        progress.headers = piece.headers;
    }
    const std::size_t known = std::min(m_sentBytes - m_repeated, piece.bytes.size());
    if (known > 0 && m_sent.compare(m_repeated, known, piece.bytes, 0, known) != 0) {
        progress.code = result_code::stream_broken;
        return;
    }
    m_repeated += piece.bytes.size();
    const std::string_view fresh = std::string_view(piece.bytes).substr(known);
    m_sentBytes += fresh.size();
    if (m_sentBytes <= maxResumableBytes) {
        m_sent += fresh;
    }
    progress.bytes += fresh;
}

void answer_stream::checkWhole(stream_progress &progress) const
{
    if (!m_finished || m_nextPosition != m_pieces || progress.code != result_code::ok) {
        return;
    }
    if (m_repeated < m_sentBytes) {
        // The second run ended before it had repeated what the caller already has.
        progress.code = result_code::stream_broken;
        return;
    }
    if (!m_early.empty() || !m_started) {
        progress.code = result_code::stream_broken;
        return;
    }
    progress.whole = true;
}

} // namespace figcleat::request
