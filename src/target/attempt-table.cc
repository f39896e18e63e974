#include "figcleat/target/attempt-table.h"

#include "figcleat/core/invariant.h"

#include <algorithm>

namespace figcleat::target
{

namespace
{

/** Entry incarnations with a floor; more than eight times the entries of the design size. */
constexpr std::size_t maxEntryFloors = 4'096;

} // namespace

attempt_table::attempt_table(attempt_table_settings settings)
    : m_settings(settings)
{
}

const attempt_record *attempt_table::find(const attempt_id &attempt) const
{
    const auto found = m_records.find(attempt);
    return found == m_records.end() ? nullptr : &found->second;
}

bool attempt_table::hasRoom(time_point now)
{
    while (m_records.size() >= m_settings.maxAttempts) {
        if (m_ended.empty() || now - m_records.at(m_ended.front()).endedAt < m_settings.keepFor) {
            return false;
        }
        forget(m_ended.front());
        m_ended.pop_front();
    }
    return true;
}

fence_number attempt_table::fenceFloor() const
{
    return m_fenceFloor;
}

bool attempt_table::isBelowEntryFloor(const attempt_id &attempt) const
{
    const auto floor = m_entryFloors.find(attempt.entry);
    return floor != m_entryFloors.end() && attempt.number <= floor->second;
}

bool attempt_table::isKeyStarted(const digest &key, time_point now) const
{
    const auto found = m_startedKeys.find(key);
    return found != m_startedKeys.end() && now - m_records.at(found->second).startedAt < m_settings.keyLife;
}

std::size_t attempt_table::size() const
{
    return m_records.size();
}

std::size_t attempt_table::answerBytes() const
{
    return m_answerBytes;
}

void attempt_table::bar(const attempt_id &attempt, const claim_ticket &claim, time_point now)
{
    if (m_records.contains(attempt)) {
        return;
    }
    const bool claimed = claim.fence.value != 0;
    // Half of the table is reserved for attempts that start, so that a storm of refusals cannot stop the target.
    if (!hasRoom(now) || (!claimed && 2 * m_records.size() >= m_settings.maxAttempts)) {
        m_fenceFloor = std::max(m_fenceFloor, claim.fence);
        raiseEntryFloor(attempt);
        return;
    }
    m_records.emplace(attempt, attempt_record { attempt_state::never_started, claim, now, now, {}, 0, {} });
    m_ended.push_back(attempt);
}

void attempt_table::start(const attempt_id &attempt, const claim_ticket &claim, time_point now)
{
    ensure(claim.fence.value == 0 || claim.fence > m_fenceFloor, result_code::invariant_at_most_once,
           "start below the fence floor");
    ensure(claim.fence.value == 0 || !isKeyStarted(claim.key, now), result_code::invariant_at_most_once,
           "second start of a claimed key");
    const bool fresh
        = m_records.emplace(attempt, attempt_record { attempt_state::running, claim, now, now, {}, 0, {} }).second;
    ensure(fresh, result_code::invariant_at_most_once, "second start of an attempt");
    if (claim.fence.value != 0) {
        m_startedKeys[claim.key] = attempt;
    }
}

void attempt_table::finish(const attempt_id &attempt, result_code code, std::uint32_t httpStatus, std::string answer,
                           time_point now)
{
    auto &record = m_records.at(attempt);
    record.state = attempt_state::finished;
    record.code = code;
    record.httpStatus = httpStatus;
    record.endedAt = now;
    m_ended.push_back(attempt);
    if (record.claim.fence.value == 0) {
        return;
    }
    if (answer.size() > m_settings.maxAnswerBytes) {
        record.code = code == result_code::ok ? result_code::answer_not_kept : code;
        return;
    }
    m_answerBytes += answer.size();
    record.answer = std::move(answer);
    m_answered.push_back(attempt);
    dropOldAnswers();
}

void attempt_table::revoke(const attempt_id &attempt, time_point now)
{
    auto &record = m_records.at(attempt);
    record.state = attempt_state::never_started;
    record.endedAt = now;
    m_ended.push_back(attempt);
    const auto key = m_startedKeys.find(record.claim.key);
    if (key != m_startedKeys.end() && key->second == attempt) {
        m_startedKeys.erase(key);
    }
}

void attempt_table::forget(const attempt_id &attempt)
{
    const auto &record = m_records.at(attempt);
    if (record.claim.fence.value != 0) {
        m_fenceFloor = std::max(m_fenceFloor, record.claim.fence);
        const auto key = m_startedKeys.find(record.claim.key);
        if (key != m_startedKeys.end() && key->second == attempt) {
            m_startedKeys.erase(key);
        }
    }
    m_answerBytes -= record.answer.size();
    m_records.erase(attempt);
}

void attempt_table::dropOldAnswers()
{
    while (m_answerBytes > m_settings.maxAnswersBytes) {
        const auto found = m_records.find(m_answered.front());
        m_answered.pop_front();
        if (found == m_records.end()) {
            continue;
        }
        auto &record = found->second;
        m_answerBytes -= record.answer.size();
        record.answer = {};
        record.code = record.code == result_code::ok ? result_code::answer_not_kept : record.code;
    }
}

void attempt_table::raiseEntryFloor(const attempt_id &attempt)
{
    const auto [floor, isNew] = m_entryFloors.try_emplace(attempt.entry, attempt.number);
    floor->second = std::max(floor->second, attempt.number);
    if (!isNew) {
        return;
    }
    m_entryFloorOrder.push_back(attempt.entry);
    if (m_entryFloorOrder.size() > maxEntryFloors) {
        m_entryFloors.erase(m_entryFloorOrder.front());
        m_entryFloorOrder.pop_front();
    }
}

} // namespace figcleat::target
