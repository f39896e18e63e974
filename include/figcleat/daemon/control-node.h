#pragma once

#include "figcleat/agreed/state.h"
#include "figcleat/consensus/log-store.h"
#include "figcleat/consensus/raft.h"
#include "figcleat/daemon/loop.h"
#include "figcleat/settings/daemon-settings.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <unordered_map>

namespace figcleat
{

/**
 * A voter: drives the replicated log, its files and the agreed state that the log feeds.
 *
 * Writes of one turn of the loop share one sync.
 */
class control_node
{
public:
    using send_function = std::function<void(const peer_address &, const consensus::raft_message &)>;
    using commit_function = std::function<void(const agreed::configuration_in_force &)>;
    using sign_off_function = std::function<void(const agreed::record_sign_off &)>;
    using answer_function = std::function<void(result_code, const agreed::outcome &)>;
    using read_function = std::function<void(result_code)>;

    struct parts
    {
        loop *eventLoop = nullptr;
        const clock *time = nullptr;
        send_function send;
        commit_function onCommitted;
        /** Called for each sign-off in the agreed state, also for those that it held when it was opened. */
        sign_off_function onSignedOff {};
    };

    /** Opens the data folder; the error of the log store otherwise. */
    [[nodiscard]] static expected<std::unique_ptr<control_node>>
    open(const control_settings &settings, const peer_address &self, std::uint64_t random, parts wiring);

    void receive(const peer_address &from, const consensus::raft_message &message);
    /** Answers once, also if the command cannot be agreed; not_leader without trying if another voter leads. */
    void propose(agreed::command command, answer_function answer);
    /** Answers once this voter's state holds all that was acknowledged before the call. */
    void read(read_function answer);
    void changeMembership(consensus::membership_change change, const peer_address &address, answer_function answer);
    /** Further addresses at which the log may ask for a seat. */
    void learnContacts(std::vector<peer_address> addresses);
    void tick();

    [[nodiscard]] const agreed::state &state() const;
    [[nodiscard]] consensus::raft_status status() const;

private:
    control_node(const control_settings &settings, const peer_address &self, std::uint64_t random, parts wiring);
    /** Reads the data folder and starts the log from it. */
    [[nodiscard]] expected<void> reopen();
    void reopenIfHalted();

    void step(const consensus::raft_event &event);
    void flush();
    void carryOut(consensus::send &action);
    void carryOut(const consensus::persist &action);
    void carryOut(const consensus::apply &action);
    void carryOut(const consensus::reply_propose &action);
    void carryOut(const consensus::reply_read &action);
    void carryOut(const consensus::became_leader &action);
    void carryOut(const consensus::stepped_down &action);
    void carryOut(const consensus::take_snapshot &action);
    void carryOut(const consensus::install_snapshot &action);
    void carryOut(const consensus::halted &action);
    void announceIfChanged();
    void announceSignOffs();
    [[nodiscard]] std::uint64_t add(answer_function answer);

    parts m_parts;
    std::string m_dataFolder;
    std::mt19937_64 m_random;
    consensus::raft_settings m_log;
    /** Empty while the data folder cannot be opened. */
    std::optional<consensus::log_store> m_store;
    std::optional<time_point> m_reopenAt;
    result_code m_haltCode = result_code::ok;
    agreed::state m_state;
    std::optional<consensus::raft> m_raft;
    event *m_flush = nullptr;
    std::uint64_t m_unsynced = 0;
    std::uint64_t m_lastId = 0;
    std::unordered_map<std::uint64_t, answer_function> m_answers;
    std::unordered_map<std::uint64_t, read_function> m_reads;
    /** Outcomes of the latest commands, until the reply to their proposals. */
    std::map<log_index, agreed::outcome> m_outcomes;
    revision_number m_announced;
    time_point m_nextExpiry;
};

} // namespace figcleat
