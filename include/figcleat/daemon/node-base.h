#pragma once

#include "figcleat/daemon/loop.h"
#include "figcleat/daemon/messenger.h"
#include "figcleat/daemon/node-links.h"
#include "figcleat/daemon/reply-server.h"
#include "figcleat/forward/dialect.h"

#include <memory>
#include <optional>

namespace figcleat
{

/** What a node is opened with. */
struct node_context
{
    forward::node_settings settings;
    const forward::dialect *language = nullptr;
    loop *eventLoop = nullptr;
    const clock *time = nullptr;
    /** Random bits; they name this life of the process. */
    std::uint64_t random = 0;
};

/** What the nodes of all roles share: the mailbox, the coordinators that they poll, and metrics. */
class node_base
{
public:
    explicit node_base(node_context context);
    virtual ~node_base() = default;
    node_base(const node_base &) = delete;
    node_base &operator=(const node_base &) = delete;

    /** Opens the listeners of the role; to be called once. */
    [[nodiscard]] virtual expected<void> start() = 0;
    /** Planned stop. */
    virtual void drain() = 0;
    /** Takes the seeds of settings that were read again. */
    void reload(const forward::node_settings &settings);

protected:
    /** A coordinator that has not answered for this long is taken for lost. */
    static constexpr duration coordinatorSilence = std::chrono::seconds(2);

    [[nodiscard]] expected<void> openMailbox();
    [[nodiscard]] expected<void> openMetrics();
    [[nodiscard]] time_point now() const;
    /** Sends the poll to each coordinator that is known, filled in for it. */
    void pollCoordinators(revision_number revision, const std::vector<group::group_membership> &seat = {},
                          const std::vector<target_id> &doubted = {});

    virtual void receive(const envelope &received) = 0;
    virtual void writeMetrics(report::metrics_text &page) const = 0;
    /** Answers a request of an operator on the address for metrics; `nullopt` if it is for the metrics themselves. */
    [[nodiscard]] virtual std::optional<forward::http_answer> answerOperator(const http_request &request);

    forward::node_settings m_settings;
    const forward::dialect *m_dialect;
    loop *m_loop;
    const clock *m_time;
    std::uint64_t m_random;
    incarnation_id m_incarnation;
    peer_address m_self;
    time_point m_startedAt;
    std::unique_ptr<messenger> m_messenger;
    coordinator_links m_links;

private:
    [[nodiscard]] forward::http_answer answerMetrics(const http_request &request);

    std::unique_ptr<reply_server> m_metrics;
};

/** A node that has started; the error of the listener or data folder that could not be opened. */
template<typename Node>
[[nodiscard]] expected<std::unique_ptr<Node>> openNode(node_context context)
{
    auto opened = std::make_unique<Node>(std::move(context));
    if (const auto started = opened->start(); !started) {
        return tl::unexpected<error>(started.error());
    }
    return opened;
}

} // namespace figcleat
