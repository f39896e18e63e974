#pragma once

#include "figcleat/target/admission-level.h"
#include "figcleat/target/attempt-table.h"
#include "figcleat/target/latency-baseline.h"

#include <optional>
#include <variant>

namespace figcleat::target
{

/** A dispatch with the mailbox address of the entry that sent it. */
struct dispatch_received
{
    peer_address from;
    dispatch message;
};

struct cancel_received
{
    attempt_cancel message;
};

struct close_received
{
    peer_address from;
    close_attempt message;
};

/** The entry at this address has been silent for 2 s. */
struct entry_lost
{
    peer_address address;
};

/** Bytes of an answer as the engine sent them; the first piece carries status and headers. */
struct engine_piece
{
    attempt_id attempt;
    std::uint32_t httpStatus = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string bytes;
};

/** The engine proved that the attempt has ended, for example by the end of its stream or its reply to a cancel. */
struct engine_finished
{
    attempt_id attempt;
    /** The engine marked the end of the answer. */
    bool complete = false;
    token_count generatedTokens;
};

/** The engine refused the call, or the connection to it broke or timed out. */
struct engine_failed
{
    attempt_id attempt;
    /** It is proved that the engine did not start the call; else the attempt keeps its slot. */
    bool provedNotStarted = false;
};

/** A new life of the engine; nothing of the former one runs any more. */
struct engine_restarted
{
    incarnation_id incarnation;
    /** Attempts that may have been started at the new engine before the restart was noticed. They keep their slots. */
    std::vector<attempt_id> maySurvive {};
};

struct limits_changed
{
    target_limits limits;
};

struct data_centre_service
{
    bool inService = true;
};

struct drain
{
};

/** At least every 100 ms, for deadlines, overdue pieces and announcements. */
struct tick
{
};

using gate_event
    = std::variant<dispatch_received, cancel_received, close_received, entry_lost, engine_piece, engine_finished,
                   engine_failed, engine_restarted, limits_changed, data_centre_service, drain, tick>;

/** Start the call at the engine. */
struct run
{
    attempt_id attempt;
    std::uint32_t priority = 0;
    time_point deadline;
    service_call call;
};

struct refuse
{
    peer_address to;
    attempt_refused message;
};

struct forward_piece
{
    peer_address to;
    answer_piece message;
};

struct forward_finish
{
    peer_address to;
    attempt_finished message;
};

struct answer_close
{
    peer_address to;
    attempt_closed message;
};

/** Ask the engine to stop the attempt; only its proof of the end frees the slot. */
struct cancel_engine
{
    attempt_id attempt;
};

/** State for all entries; the sender adds the configuration revision. */
struct announce_state
{
    announce message;
};

/** The last slot of a draining target is free. */
struct drained
{
};

using gate_action
    = std::variant<run, refuse, forward_piece, forward_finish, answer_close, cancel_engine, announce_state, drained>;

struct gate_settings
{
    /** Fixed part of every announcement: names, role, group, rank, incarnations. */
    announce identity;
    target_limits limits;
    bool dataCentreInService = true;
    attempt_table_settings attempts;
    baseline_settings firstPiece;
    baseline_settings pieceGap { 3.0, 1, 64, 256 };
    /** Long gaps in a row of one answer that show a cold engine; one is common, while the engine reads a prompt. */
    std::uint32_t longGaps = 3;
    /** Time to first piece of a short prompt that counts as normal while nothing is known. */
    duration expectedFirstPiece = std::chrono::milliseconds(810);
    duration announceEvery = std::chrono::milliseconds(500);
};

/**
 * Admission at one target: the only place that enforces its limit, its claims and its drain.
 *
 * Every dispatch is answered by `run` or by `refuse`. A slot is free again only when the engine proved that the
 * attempt ended or was not started, or when the engine restarted.
 */
class gate
{
public:
    explicit gate(gate_settings settings);

    std::vector<gate_action> step(const gate_event &event, time_point now);

    [[nodiscard]] work_cost limit() const;
    [[nodiscard]] work_cost inProgress() const;
    [[nodiscard]] target_state state() const;
    [[nodiscard]] const attempt_table &attempts() const;

private:
    struct slot
    {
        peer_address from;
        work_cost cost;
        bool claimed = false;
        time_point startedAt;
        time_point deadline;
        time_point lastPieceAt;
        std::uint64_t epoch = 0;
        std::uint64_t pieces = 0;
        bool busy = false;
        bool slow = false;
        /** How often the present wait was counted as overdue. */
        std::uint32_t overdue = 0;
        std::uint32_t longGaps = 0;
        /** Set once the attempt has no answer any more, with the code that the entry was told. */
        std::optional<result_code> stopped;
        std::uint32_t httpStatus = 0;
        std::string answer;
    };
    using slot_map = std::unordered_map<attempt_id, slot>;

    void on(const dispatch_received &event);
    void on(const cancel_received &event);
    void on(const close_received &event);
    void on(const entry_lost &event);
    void on(const engine_piece &event);
    void on(const engine_finished &event);
    void on(const engine_failed &event);
    void on(const engine_restarted &event);
    void on(const limits_changed &event);
    void on(const data_centre_service &event);
    void on(const drain &event);
    void on(const tick &event);

    [[nodiscard]] result_code judge(const dispatch &message, const work_cost &cost);
    [[nodiscard]] result_code judgeIdentity(const dispatch &message) const;
    /** True if the attempt may have run and been forgotten since. */
    [[nodiscard]] bool mayBeForgotten(const close_attempt &message) const;
    void start(const dispatch_received &event, const work_cost &cost);
    void refuseDispatch(const dispatch_received &event, result_code code);
    void stop(slot_map::iterator found, result_code code);
    void release(slot_map::iterator found);
    void learnFromPiece(slot &work);
    void takeAlarm(slot &work);
    void checkOverdue(slot &work);
    void fall();
    void announceNow();
    void checkDrained();
    [[nodiscard]] attempt_closed describeAttempt(const attempt_id &attempt) const;

    gate_settings m_settings;
    admission_level m_level;
    latency_baseline m_firstPiece;
    latency_baseline m_pieceGap;
    attempt_table m_attempts;
    slot_map m_slots;
    work_cost m_inProgress;
    bool m_inService;
    bool m_draining = false;
    bool m_drained = false;
    incarnation_id m_engine;
    std::uint64_t m_sequence = 0;
    time_point m_nextAnnounce;
    time_point m_now;
    std::vector<gate_action> m_actions;
};

} // namespace figcleat::target
