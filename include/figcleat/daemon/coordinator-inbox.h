#pragma once

#include "figcleat/daemon/process-message.h"

#include <array>
#include <deque>
#include <map>
#include <optional>

namespace figcleat
{

/**
 * Messages that wait until a coordinator has time for them; those of the replicated log never wait here.
 *
 * What keeps groups controlled and coordinators agreed comes first, then fronts, then agents. A later poll or renewal
 * takes the place of an earlier one of the same sender, so that a coordinator that cannot keep up answers each node
 * once, with what is true now, instead of falling further behind.
 */
class coordinator_inbox
{
public:
    /** Updates of other coordinators that wait; what one that is dropped told is asked for again with the next poll. */
    static constexpr std::size_t maxUpdates = 256;
    /** Senders of polls and renewals, of each kind of node. */
    static constexpr std::size_t maxSenders = 4096;

    /** Ignores messages that are not for coordinators. */
    void add(const envelope &message);
    /** The most important message; the one that waits longest of these. Nothing if none waits. */
    [[nodiscard]] std::optional<envelope> take();
    [[nodiscard]] bool empty() const;
    /** Messages that a later one of their sender replaced, or that found no place. */
    [[nodiscard]] std::uint64_t shed() const;

private:
    /** The latest message of each sender, in the order in which the senders began to wait. */
    struct latest_messages
    {
        std::deque<peer_address> order;
        std::map<peer_address, envelope> bySender;
    };

    void addLatest(latest_messages &lane, const envelope &message);
    static std::optional<envelope> takeFirst(latest_messages &lane);

    latest_messages m_renewals;
    std::deque<envelope> m_updates;
    /** By `forward::node_role`. */
    std::array<latest_messages, 3> m_polls;
    std::uint64_t m_shed = 0;
};

} // namespace figcleat
