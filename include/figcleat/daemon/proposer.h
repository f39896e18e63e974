#pragma once

#include "figcleat/agreed/commands.h"
#include "figcleat/core/clock.h"
#include "figcleat/core/ids.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

namespace figcleat
{

/** Longest wait for a decision of the log. */
inline constexpr duration proposalTimeout = std::chrono::seconds(3);
/** A voter that has not answered by then is passed over; below a failover, so that the next one is asked in time. */
inline constexpr duration voterTimeout = std::chrono::milliseconds(700);
inline constexpr std::size_t maxProposalsInProgress = 4096;

struct send_proposal
{
    peer_address to;
    std::uint64_t id = 0;
    agreed::command command;
};

struct decided
{
    std::uint64_t id = 0;
    result_code code = result_code::ok;
    agreed::outcome result;
};

using proposer_action = std::variant<send_proposal, decided>;

/**
 * Brings commands of an entry to the leader of the log, through failovers.
 *
 * A command may be sent more than once; every command is idempotent for that reason.
 */
class proposer
{
public:
    /** @param voters mailboxes that are known at the start; others are learned. */
    explicit proposer(std::vector<peer_address> voters = {});

    [[nodiscard]] std::vector<proposer_action> submit(std::uint64_t id, agreed::command command, time_point now);
    [[nodiscard]] std::vector<proposer_action> onAnswer(const peer_address &from, std::uint64_t id, result_code code,
                                                        const agreed::outcome &result, const peer_address &leader,
                                                        time_point now);
    [[nodiscard]] std::vector<proposer_action> tick(time_point now);
    /** A heartbeat of a voter, with the leader that it knows. */
    void onVoter(const peer_address &voter, const peer_address &leader);
    /** The voter is silent; it is no longer asked first. */
    void onSilent(const peer_address &voter);
    [[nodiscard]] std::optional<peer_address> leader() const;

private:
    struct pending
    {
        agreed::command command;
        time_point deadline;
        time_point askedAt;
        peer_address asked;
    };

    void ask(std::uint64_t id, pending &open, time_point now, std::vector<proposer_action> &actions);
    [[nodiscard]] peer_address next(const peer_address &after) const;

    std::set<peer_address> m_voters;
    std::optional<peer_address> m_leader;
    std::map<std::uint64_t, pending> m_pending;
};

} // namespace figcleat
