#pragma once

#include "figcleat/core/clock.h"
#include "figcleat/daemon/loop.h"
#include "figcleat/daemon/process-message.h"
#include "figcleat/report/metrics-text.h"
#include "figcleat/wire/mailbox.h"

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace figcleat
{

inline constexpr duration heartbeatPeriod = std::chrono::milliseconds(500);
/** A peer without any message for so long gets a new connection. */
inline constexpr duration peerSilence = std::chrono::milliseconds(1500);
/** An entry without any message for so long is given up by targets; its work is cancelled. */
inline constexpr duration entrySilence = std::chrono::seconds(2);

/** Sends and receives messages in their envelopes, and knows which peers are silent. */
class messenger
{
public:
    using handler = std::function<void(const envelope &)>;

    [[nodiscard]] static expected<std::unique_ptr<messenger>>
    open(loop &eventLoop, const clock &time, const peer_address &self, incarnation_id incarnation, handler onMessage);

    void send(const peer_address &to, process_message message);
    /** Dials peers again that have been silent for `peerSilence`. */
    void tick();
    /** Peers that were heard from and have been silent for `limit`; each is reported once until heard again. */
    [[nodiscard]] std::vector<peer_address> newlySilent(duration limit);
    /** Time since the last message of a peer; none if it was never heard from. */
    [[nodiscard]] std::optional<duration> silenceOf(const peer_address &peer) const;
    void writeMetrics(report::metrics_text &page) const;
    [[nodiscard]] incarnation_id incarnation() const;
    [[nodiscard]] const peer_address &self() const;

private:
    struct connection
    {
        time_point dialled;
        time_point lastUsed;
        /** Dials since the peer was last heard. */
        unsigned redials = 0;
    };
    struct peer
    {
        time_point lastHeard;
        bool reportedSilent = false;
    };

    messenger(const clock &time, peer_address self, incarnation_id incarnation, handler onMessage);
    void receive(std::string_view bytes);

    const clock *m_time;
    peer_address m_self;
    incarnation_id m_incarnation;
    handler m_onMessage;
    std::unique_ptr<mailbox> m_mailbox;
    std::unordered_map<peer_address, peer> m_heard;
    std::unordered_map<peer_address, connection> m_dialled;
};

} // namespace figcleat
