#include "figcleat/daemon/messenger.h"

#include "figcleat/core/log.h"

#include <algorithm>

namespace figcleat
{

namespace
{

constexpr std::size_t maxPeers = 4096;
// 1.5 s doubled three times: a peer that was away is dialled within 12 s.
constexpr unsigned maxRedialDoublings = 3;
// VMs are replaced for good; their addresses must not fill the tables.
constexpr duration forgetAfter = std::chrono::minutes(1);

} // namespace

messenger::messenger(const clock &time, peer_address self, incarnation_id incarnation, handler onMessage)
    : m_time(&time)
    , m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_onMessage(std::move(onMessage))
{
}

expected<std::unique_ptr<messenger>> messenger::open(loop &eventLoop, const clock &time, const peer_address &self,
                                                     incarnation_id incarnation, handler onMessage)
{
    auto opened = std::unique_ptr<messenger>(new messenger(time, self, incarnation, std::move(onMessage)));
    auto box = mailbox::open(eventLoop.base(), self,
                             [target = opened.get()](std::string_view bytes) { target->receive(bytes); });
    if (!box) {
        return tl::unexpected<error>(box.error());
    }
    opened->m_mailbox = std::move(*box);
    return opened;
}

void messenger::send(const peer_address &to, process_message message)
{
    const time_point now = m_time->now();
    m_dialled.try_emplace(to, connection { now, now, 0 }).first->second.lastUsed = now;
    const auto sent = m_mailbox->send(to, encode(envelope { m_self, m_incarnation, std::move(message) }));
    if (!sent) {
        logFor(part::mailbox)->debug("A message to {} is dropped: {}.", to.value, describe(sent.error().code).name);
    }
}

void messenger::receive(std::string_view bytes)
{
    const auto received = decode<envelope>(bytes);
    if (!received) {
        logFor(part::mailbox)->warn("Refuses a message of {} bytes: {}.", bytes.size(), received.error().detail);
        return;
    }
    if (m_heard.size() < maxPeers || m_heard.contains(received->from)) {
        m_heard[received->from] = { m_time->now(), false };
    }
    m_onMessage(*received);
}

void messenger::tick()
{
    const time_point now = m_time->now();
    for (auto &[address, state] : m_dialled) {
        if (address == m_self) {
            continue;
        }
        const auto heard = m_heard.find(address);
        if (heard != m_heard.end() && heard->second.lastHeard > state.dialled) {
            state.dialled = heard->second.lastHeard;
            state.redials = 0;
        }
        // Something between the two ends may have lost track of the connection while new ones work. An absent peer is
        // dialled less and less often, since each dial costs both processor time and messages.
        const duration patience = peerSilence * (1U << std::min(state.redials, maxRedialDoublings));
        if (now - state.dialled >= patience) {
            m_mailbox->reconnect(address);
            state.dialled = now;
            ++state.redials;
        }
    }
    std::erase_if(m_dialled, [&](const auto &entry) {
        const bool unused = now - entry.second.lastUsed >= forgetAfter;
        if (unused) {
            m_mailbox->reconnect(entry.first);
        }
        return unused;
    });
    std::erase_if(m_heard, [&](const auto &entry) { return now - entry.second.lastHeard >= forgetAfter; });
}

std::vector<peer_address> messenger::newlySilent(duration limit)
{
    std::vector<peer_address> silent;
    for (auto &[address, state] : m_heard) {
        if (address != m_self && !state.reportedSilent && m_time->now() - state.lastHeard >= limit) {
            state.reportedSilent = true;
            silent.push_back(address);
        }
    }
    return silent;
}

std::optional<duration> messenger::silenceOf(const peer_address &peer) const
{
    const auto found = m_heard.find(peer);
    return found == m_heard.end() ? std::nullopt : std::optional(m_time->now() - found->second.lastHeard);
}

void messenger::writeMetrics(report::metrics_text &page) const
{
    const auto &counters = m_mailbox->counters();
    page.counter("figcleat_mailbox_sent_bytes_total", "Bytes of messages to other processes.", {}, counters.bytesSent);
    page.counter("figcleat_mailbox_received_bytes_total", "Bytes of messages from other processes.", {},
                 counters.bytesReceived);
    page.counter("figcleat_mailbox_sent_messages_total", "Messages to other processes.", {}, counters.messagesSent);
    page.counter("figcleat_mailbox_received_messages_total", "Messages from other processes.", {},
                 counters.messagesReceived);
    page.counter("figcleat_mailbox_dropped_messages_total", "Messages that found the queue to their process full.", {},
                 counters.messagesDropped);
}

incarnation_id messenger::incarnation() const
{
    return m_incarnation;
}

const peer_address &messenger::self() const
{
    return m_self;
}

} // namespace figcleat
