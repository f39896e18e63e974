#pragma once

#include "figcleat/core/clock.h"
#include "figcleat/forward/node-messages.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace figcleat::forward
{

/** Sums over several fronts. */
struct load_sums
{
    std::map<target_id, target_use> uses;
    /** By service and urgency. */
    std::map<std::pair<service_id, std::uint32_t>, double> demand;
};

struct load_message
{
    peer_address to;
    node_load load;
};

/**
 * Exchanges the number of requests at each target among fronts.
 *
 * Up to `maxDirectFronts` fronts send their load to each other directly and immediately. With more fronts the number of
 * messages would grow with the square of their number, so the fronts of each data centre send their load to one of
 * them, the relay. Relays exchange the sums of their data centres and send each front the load of all other fronts. The
 * relay is the first front of the data centre, by address, that is not silent, so fronts agree on it without further
 * messages. A front that receives no messages has no view of the load of others.
 */
class load_exchange
{
public:
    /**
     * Maximum number of fronts that exchange load directly. Each of 16 fronts with 10 requests per second sends 150
     * messages per second.
     */
    static constexpr std::size_t maxDirectFronts = 16;
    /** Unchanged load is sent again after this time, so that receivers know that it still holds. */
    static constexpr duration repeatPeriod = std::chrono::milliseconds(250);
    /** Received load expires after this time; fronts send at least every `repeatPeriod`. */
    static constexpr duration loadExpiry = std::chrono::milliseconds(900);
    /** A relay that has not sent anything for this time since a message was sent to it is skipped. */
    static constexpr duration relayTimeout = std::chrono::milliseconds(600);
    /** Messages that a relay sends and receives in its data centre; they take about 1.5% of a core. */
    static constexpr std::int64_t maxRelayMessagesPerSecond = 800;
    /** Shortest time between two rounds of messages of a front, unless fronts exchange load directly. */
    static constexpr duration minPeriod = std::chrono::milliseconds(25);

    load_exchange(peer_address self, data_centre_id dataCentre);

    /** Sets the known fronts, which may include this one. */
    void setFronts(const std::vector<front_contact> &fronts);
    void receive(const peer_address &from, const node_load &load, time_point now);
    /** Returns the messages to send now; empty if none are due. A change of demand alone is no reason to send one. */
    [[nodiscard]] std::vector<load_message> takeDueMessages(const std::vector<target_use> &own, time_point now,
                                                            const std::vector<placement_demand> &demand = {});
    /** Returns the requests of all other fronts at each target; `nullopt` if no recent message gives them. */
    [[nodiscard]] std::optional<std::vector<target_use>> peerLoads(time_point now) const;
    /** Returns what all other fronts together look for; empty if it is not known. */
    [[nodiscard]] std::vector<placement_demand> peerDemand(time_point now) const;
    /** True if the result of `peerLoads` may have changed since the previous call. */
    [[nodiscard]] bool takePeerLoadsChanged(time_point now);
    /** True if fronts exchange load without a relay, so that known loads are only a few milliseconds old. */
    [[nodiscard]] bool isDirect() const;
    /**
     * Returns the fronts to which this one sends what all fronts have to know: the relay of its data centre or, for a
     * relay, the members of its data centre and the relays of others; all other fronts if they exchange load directly.
     */
    [[nodiscard]] std::set<peer_address> neighbours(time_point now) const;
    /** True if this front is the relay of its data centre. */
    [[nodiscard]] bool isRelay(time_point now) const;

private:
    struct received_load
    {
        node_load load;
        time_point receivedAt {};
    };

    struct contact_state
    {
        /** When the latest message from the front was received. */
        time_point receivedAt {};
        /** When the first message was sent to the front since the latest message from it. */
        std::optional<time_point> firstUnansweredAt;
    };

    [[nodiscard]] bool isSilent(const peer_address &front, time_point now) const;
    /**
     * Returns the first front of a data centre that is not silent. Without one, returns this front for its own data
     * centre and an empty address for others.
     */
    [[nodiscard]] peer_address relayOf(const data_centre_id &dataCentre, time_point now) const;
    [[nodiscard]] data_centre_id dataCentreOf(const peer_address &front) const;
    /** Time between messages to a relay that keeps it within `maxRelayMessagesPerSecond`; at least `minPeriod`. */
    [[nodiscard]] duration period() const;
    /** Returns the fronts that receive the sums of a relay of another data centre. */
    [[nodiscard]] std::set<peer_address> relaysOfOthers(time_point now) const;
    [[nodiscard]] std::vector<load_message> directMessages(const node_load &own) const;
    [[nodiscard]] std::vector<load_message> relayMessages(const node_load &own, time_point now) const;
    /** Adds the received loads of one scope. */
    void addReceived(load_sums &sums, load_scope scope) const;
    /** Load of all other fronts; `nullopt` if no recent message gives it. */
    [[nodiscard]] std::optional<node_load> peers(time_point now) const;
    void removeExpired(time_point now);

    peer_address m_self;
    data_centre_id m_dataCentre;
    std::vector<front_contact> m_knownFronts;
    /** Known fronts by data centre, in the order in which they become relays. */
    std::map<data_centre_id, std::vector<peer_address>> m_frontsByDataCentre;
    std::map<peer_address, contact_state> m_contacts;
    std::map<peer_address, received_load> m_received;
    std::vector<target_use> m_lastSentLoad;
    time_point m_lastSentAt {};
    bool m_peerLoadsChanged = false;
    /** A received load has not been passed on yet. */
    bool m_hasUnsentLoad = false;
};

} // namespace figcleat::forward
