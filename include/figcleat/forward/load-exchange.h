#pragma once

#include "figcleat/core/clock.h"
#include "figcleat/forward/node-messages.h"

#include <map>
#include <optional>
#include <vector>

namespace figcleat::forward
{

/** Requests of several fronts at each target. */
using use_sums = std::map<target_id, target_use>;

struct load_message
{
    peer_address to;
    node_load load;
};

/**
 * Tells fronts what the other fronts have at targets.
 *
 * A few fronts tell each other directly, at once. Many fronts would send messages by the square of their number, so the
 * fronts of each data centre tell one of them, the relay; relays exchange the sums of their data centres and tell each
 * front what all the others have. The relay is the first front of the data centre, by address, that is not silent, so
 * that fronts agree on it without a message. A front that hears nobody has no view of the others.
 */
class load_exchange
{
public:
    /** Up to this many fronts tell each other directly: 16 fronts with 10 requests a second each send 150 a second. */
    static constexpr std::size_t maxDirectFronts = 16;
    /** Unchanged load is told again after this time, so that others know it is still true. */
    static constexpr duration repeatPeriod = std::chrono::milliseconds(250);
    /** What a front said is out of date after this time; fronts speak at least every `repeatPeriod`. */
    static constexpr duration silence = std::chrono::milliseconds(900);
    /** A relay that was told something and has not been heard for this time is passed over. */
    static constexpr duration relaySilence = std::chrono::milliseconds(600);
    /** Messages a second that a relay sends and receives in its data centre; about 1.5% of a core. */
    static constexpr std::int64_t relayRate = 800;
    static constexpr duration minPeriod = std::chrono::milliseconds(25);

    load_exchange(peer_address self, data_centre_id dataCentre);

    /** Fronts that are known; this one may be among them. */
    void setFronts(const std::vector<front_contact> &fronts);
    void receive(const peer_address &from, const node_load &load, time_point now);
    /** Messages that are due now. */
    [[nodiscard]] std::vector<load_message> takeDueMessages(const std::vector<target_use> &own, time_point now);
    /** What the other fronts have at targets; nothing if none has been heard lately. */
    [[nodiscard]] std::optional<std::vector<target_use>> peerLoads(time_point now) const;
    /** True once after `others` may have changed. */
    [[nodiscard]] bool takeChanged(time_point now);
    /** Fronts tell each other without a relay, so that what is known is a few milliseconds old. */
    [[nodiscard]] bool isDirect() const;
    /** This front passes on what the fronts of its data centre tell it. */
    [[nodiscard]] bool isRelay(time_point now) const;

private:
    struct heard_load
    {
        node_load load;
        time_point heard {};
    };

    struct contact_state
    {
        time_point heard {};
        /** First message to the front since it was heard. */
        std::optional<time_point> told;
    };

    [[nodiscard]] bool isSilent(const peer_address &front, time_point now) const;
    /** The front of a data centre that passes load on; this front if no other one of its own is heard. */
    [[nodiscard]] peer_address relayOf(const data_centre_id &dataCentre, time_point now) const;
    [[nodiscard]] data_centre_id dataCentreOf(const peer_address &front) const;
    [[nodiscard]] duration period() const;
    [[nodiscard]] std::vector<load_message> shareDirectly(const std::vector<target_use> &own) const;
    [[nodiscard]] std::vector<load_message> relay(const std::vector<target_use> &own, time_point now) const;
    /** Adds what was heard in messages of one scope. */
    void addHeard(use_sums &sums, load_scope scope) const;
    void forgetSilent(time_point now);

    peer_address m_self;
    data_centre_id m_dataCentre;
    std::vector<front_contact> m_known;
    /** The same by data centre, in the order in which they become relays. */
    std::map<data_centre_id, std::vector<peer_address>> m_fronts;
    std::map<peer_address, contact_state> m_contacts;
    std::map<peer_address, heard_load> m_heard;
    std::vector<target_use> m_lastOwn;
    time_point m_lastShared {};
    bool m_changed = false;
    /** Something was heard that has not been passed on. */
    bool m_hasNews = false;
};

} // namespace figcleat::forward
