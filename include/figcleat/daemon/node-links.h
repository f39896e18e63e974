#pragma once

#include "figcleat/core/clock.h"
#include "figcleat/forward/node-messages.h"
#include "figcleat/forward/node-settings.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace figcleat
{

/**
 * The coordinators that a node polls: the seeds of its settings, and those that coordinators name.
 *
 * The seeds may all be replaced during the life of a node, so learned coordinators count as much.
 */
class coordinator_links
{
public:
    /** A learned coordinator that has been silent for this long is not polled any more. */
    static constexpr duration forgetAfter = std::chrono::seconds(30);
    static constexpr std::size_t maxCoordinators = 64;

    struct link
    {
        incarnation_id incarnation {};
        /** Version of the coordinator's directory that this node has. */
        std::uint64_t directoryVersion = 0;
        time_point heard {};
        /** Of the contacts that the coordinator sent last; 0 to have them sent again. */
        std::uint64_t contactsChecksum = 0;
        std::vector<forward::front_contact> fronts {};
        std::uint64_t term = 0;
        peer_address leader {};
        bool isSeed = false;
    };

    coordinator_links(const std::vector<peer_address> &seeds, peer_address self, time_point now);

    void onUpdate(const peer_address &from, incarnation_id incarnation, const forward::node_update &update,
                  time_point now);
    /** A coordinator that polls this one is a coordinator to poll, and to name to others. */
    void onCoordinatorPoll(const peer_address &from, time_point now);
    void setSeeds(const std::vector<peer_address> &seeds, time_point now);
    void forgetSilent(time_point now);

    [[nodiscard]] const std::map<peer_address, link> &links() const;
    /** Addresses of all links. */
    [[nodiscard]] std::vector<peer_address> addresses() const;
    /** Coordinators heard within `window`. */
    [[nodiscard]] std::size_t heardWithin(duration window, time_point now) const;
    /** When a coordinator was heard last; nothing if none was. */
    [[nodiscard]] std::optional<time_point> lastHeard() const;
    /** Leader of the replicated log as the coordinator with the highest term names it; empty if none is known. */
    [[nodiscard]] peer_address leader(duration window, time_point now) const;
    /** Fronts that coordinators heard within `window` know. */
    [[nodiscard]] std::vector<forward::front_contact> fronts(duration window, time_point now) const;

private:
    void add(const peer_address &address, bool isSeed, time_point now);

    peer_address m_self;
    std::map<peer_address, link> m_links;
};

} // namespace figcleat
