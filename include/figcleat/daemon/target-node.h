#pragma once

#include "figcleat/daemon/engine-client.h"
#include "figcleat/daemon/messenger.h"
#include "figcleat/distribution/replica.h"
#include "figcleat/settings/configuration.h"
#include "figcleat/target/gate.h"

#include <memory>
#include <optional>

namespace figcleat
{

/** The role `target`: the last hop before one engine or plain service. */
class target_node
{
public:
    /** @param random seeds the incarnation and every choice of this process. */
    [[nodiscard]] static expected<std::unique_ptr<target_node>> open(const daemon_settings &settings, loop &eventLoop,
                                                                     const clock &time, std::uint64_t random);

    /** Planned stop: refuses new work at once and ends the loop when the last attempt has ended. */
    void drain();

private:
    target_node(daemon_settings settings, loop &eventLoop, const clock &time, std::uint64_t random);

    void receive(const envelope &received);
    void heartbeat();
    void tick();
    void step(const target::gate_event &event);
    void step(const distribution::replica_event &event);

    void carryOut(const target::run &action);
    void carryOut(const target::refuse &action);
    void carryOut(target::forward_piece &action);
    void carryOut(const target::forward_finish &action);
    void carryOut(const target::answer_close &action);
    void carryOut(const target::cancel_engine &action);
    void carryOut(const target::announce_state &action);
    void carryOut(const target::drained &action);
    void carryOut(const distribution::in_force &action);
    void applyRule(const configuration &config);

    daemon_settings m_settings;
    loop *m_loop;
    const clock *m_time;
    std::unique_ptr<messenger> m_messenger;
    std::unique_ptr<engine_client> m_engine;
    target::gate m_gate;
    distribution::replica m_replica;
    /** Nothing is announced before the engine has answered once. */
    bool m_engineSeen = false;
    /** Request of the dispatch that is being handled, for the log. */
    request_id m_dispatched;
    std::optional<time_point> m_drainDeadline;
};

} // namespace figcleat
