#pragma once

#include "figcleat/core/clock.h"
#include "figcleat/target/messages.h"

#include <deque>
#include <map>
#include <unordered_map>

namespace figcleat::target
{

struct attempt_table_settings
{
    std::size_t maxAttempts = 65'536;
    /** No attempt is forgotten earlier than this after its end. It is the longest deadline that an entry accepts. */
    duration keepFor = std::chrono::seconds(300);
    /** Life of a claim on an idempotency key. */
    duration keyLife = std::chrono::hours(24);
    /** Largest answer that is kept, and the sum of all that are kept, in bytes. */
    std::size_t maxAnswerBytes = std::size_t { 8 } * 1024;
    std::size_t maxAnswersBytes = std::size_t { 16 } * 1024 * 1024;
};

/** What is known of an attempt; never_started means that it is barred from starting. */
struct attempt_record
{
    attempt_state state = attempt_state::never_started;
    claim_ticket claim;
    time_point startedAt;
    time_point endedAt;
    result_code code = result_code::ok;
    std::uint32_t httpStatus = 0;
    std::string answer;
};

/**
 * Attempts that were started or barred, bounded in number and in bytes of answers.
 *
 * Forgetting never permits a second run: forgetting a claimed attempt raises the fence floor to its fence, and
 * where a refusal cannot be recorded, the floor of its entry's attempt numbers rises instead. The latter
 * assumes that each entry numbers its attempts in ascending order.
 */
class attempt_table
{
public:
    explicit attempt_table(attempt_table_settings settings);

    [[nodiscard]] const attempt_record *find(const attempt_id &attempt) const;
    /** Makes room if it can; false means attempt_table_full. */
    [[nodiscard]] bool hasRoom(time_point now);
    [[nodiscard]] fence_number fenceFloor() const;
    /** True if the attempt is not in the table, but at or below a floor. */
    [[nodiscard]] bool isBelowEntryFloor(const attempt_id &attempt) const;
    [[nodiscard]] bool isKeyStarted(const digest &key, time_point now) const;
    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] std::size_t answerBytes() const;

    /** The attempt may never start. */
    void bar(const attempt_id &attempt, const claim_ticket &claim, time_point now);
    /** Records the start; violates invariant_at_most_once if the attempt or its key was started. */
    void start(const attempt_id &attempt, const claim_ticket &claim, time_point now);
    /** Records the end; `answer` is kept only for a claimed call. */
    void finish(const attempt_id &attempt, result_code code, std::uint32_t httpStatus, std::string answer,
                time_point now);
    /** The engine proved that it did not start the attempt. */
    void revoke(const attempt_id &attempt, time_point now);

private:
    void forget(const attempt_id &attempt);
    void dropOldAnswers();
    void raiseEntryFloor(const attempt_id &attempt);

    attempt_table_settings m_settings;
    std::unordered_map<attempt_id, attempt_record> m_records;
    /** Attempts that have ended or are barred, oldest first. */
    std::deque<attempt_id> m_ended;
    std::deque<attempt_id> m_answered;
    std::size_t m_answerBytes = 0;
    /** Attempt that started the call with this key. */
    std::map<digest, attempt_id> m_startedKeys;
    fence_number m_fenceFloor;
    std::unordered_map<incarnation_id, attempt_number> m_entryFloors;
    std::deque<incarnation_id> m_entryFloorOrder;
};

} // namespace figcleat::target
