#pragma once

#include "figcleat/core/clock.h"
#include "figcleat/distribution/messages.h"
#include "figcleat/distribution/partners.h"
#include "figcleat/distribution/token-bucket.h"

#include <functional>
#include <optional>
#include <variant>

namespace figcleat::distribution
{

enum class replica_role : std::uint8_t {
    entry,
    target,
};

struct replica_settings
{
    peer_address self {};
    data_centre_id dataCentre {};
    replica_role role = replica_role::entry;
    std::vector<gossip_entry> entries {};
    std::uint64_t seed = 0;
    /** Whether the file takes the process's own data centre out; replicas do not read files. */
    std::function<bool(const std::string &content)> fileTakesOut {};

    duration period = std::chrono::milliseconds(500);
    /** Above a round trip between regions with a copy of the largest file at 1 Gbit/s. */
    duration fetchTimeout = std::chrono::milliseconds(250);
    /** Between questions to random entries while a higher revision is known and no holder gives it. */
    duration probePeriod = std::chrono::milliseconds(100);
    /** Control overhead that the design allows a node. */
    std::int64_t bytesPerSecond = 23'000;
    /** Five copies of a file of 46 KB at once, so that copies multiply in each round. */
    std::int64_t burstBytes = 240'000;
};

struct tick
{
};
struct heartbeat_received
{
    peer_address from {};
    heartbeat message {};
};
struct fetch_received
{
    peer_address from {};
    fetch_configuration message {};
};
struct decline_received
{
    peer_address from {};
    fetch_declined message {};
};
struct configuration_received
{
    peer_address from {};
    configuration_copy message {};
};
/** The log of this voter applied a change. */
struct committed
{
    agreed::configuration_in_force configuration {};
};
/** Operators inside take the data centre out without the quorum, or end that. */
struct override_requested
{
    bool out = true;
};
using replica_event = std::variant<tick, heartbeat_received, fetch_received, decline_received, configuration_received,
                                   committed, override_requested>;

struct send_heartbeat
{
    peer_address to {};
    heartbeat message {};
};
struct send_fetch
{
    peer_address to {};
    fetch_configuration message {};
};
struct send_decline
{
    peer_address to {};
    fetch_declined message {};
};
struct send_configuration
{
    peer_address to {};
    configuration_copy message {};
};
/** The process applies this now; one with a disk saves the configuration first. */
struct in_force
{
    agreed::configuration_in_force configuration {};
    /** The process's own data centre is out by a local override, whatever the configuration says. */
    bool outLocally = false;
};
using replica_action = std::variant<send_heartbeat, send_fetch, send_decline, send_configuration, in_force>;

/**
 * Holds the configuration in force of one process and passes it on.
 *
 * Every period it sends its revision to random entries. Who hears of a higher one fetches it from that peer, and after
 * a timeout or a refusal from another that has it; who hears of a lower one answers with its own revision. A change
 * is announced at once. Revisions never go down.
 */
class replica
{
public:
    /** Peers with a higher revision that are remembered while one of them is asked. */
    static constexpr std::size_t maxHolders = 16;

    /** `saved` is what a process with a disk had in force; without it the process holds nothing at first. */
    explicit replica(replica_settings settings, std::optional<agreed::configuration_in_force> saved = std::nullopt);

    [[nodiscard]] std::vector<replica_action> step(const replica_event &event, time_point now);

    /** False until the process has a configuration; it serves nothing before. */
    [[nodiscard]] bool isConfigured() const;
    [[nodiscard]] const agreed::configuration_in_force &configuration() const;
    [[nodiscard]] bool isOutLocally() const;

private:
    struct holder
    {
        peer_address address;
        revision_number revision;
    };
    struct pending_fetch
    {
        peer_address from;
        time_point deadline;
    };

    void handle(const tick &event, time_point now);
    void handle(const heartbeat_received &event, time_point now);
    void handle(const fetch_received &event, time_point now);
    void handle(const decline_received &event, time_point now);
    void handle(const configuration_received &event, time_point now);
    void handle(const committed &event, time_point now);
    void handle(const override_requested &event, time_point now);

    void adopt(agreed::configuration_in_force next);
    /** Whether the local override holds less than `other` says; then takes it over. */
    bool merge(const local_override &other);
    void endOverrideIfAgreed();
    [[nodiscard]] bool saysOwnIsOut() const;
    void rememberHolder(const peer_address &from, revision_number revision);
    void forgetHolder(const peer_address &from);
    void fetchIfNeeded(time_point now);
    void probeIfBehind(time_point now);
    void gossip();
    void gossipNearby();
    void sendHeartbeat(const peer_address &to);
    void putInForce();

    replica_settings m_settings;
    partners m_partners;
    token_bucket m_bandwidth;
    agreed::configuration_in_force m_held;
    local_override m_local;
    std::vector<holder> m_holders;
    std::optional<pending_fetch> m_fetch;
    std::optional<time_point> m_nextGossip;
    /** Highest revision heard of in this period. */
    revision_number m_heard;
    time_point m_nextProbe {};
    std::vector<replica_action> m_actions;
};

} // namespace figcleat::distribution
