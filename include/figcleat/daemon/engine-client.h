#pragma once

#include "figcleat/daemon/loop.h"
#include "figcleat/http/client.h"
#include "figcleat/settings/daemon-settings.h"
#include "figcleat/target/gate.h"

#include <functional>
#include <memory>
#include <set>
#include <unordered_map>

namespace figcleat
{

/**
 * Speaks with the engine or service behind a target and reports to the gate in its events.
 *
 * Besides the calls themselves it uses two paths of the engine: `GET /figcleat/health` names the engine's
 * incarnation, and `POST /figcleat/cancel` ends an attempt and answers once it cannot run any more.
 */
class engine_client
{
public:
    using event_function = std::function<void(const target::gate_event &)>;

    /**
     * @param cancelsLeftovers first ends all work that an earlier process of this target left at the engine, so
     *        that it does not add to the limit. Not for plain services, whose calls must not be cut off.
     */
    engine_client(loop &eventLoop, const socket_address &engine, bool cancelsLeftovers, event_function onEvent);
    ~engine_client();
    engine_client(const engine_client &) = delete;
    engine_client &operator=(const engine_client &) = delete;

    void run(const target::run &what);
    /** Repeats the cancel until the engine proves the end. */
    void cancel(attempt_id attempt);
    void tick();

private:
    class calls;
    class probes;
    std::unique_ptr<calls> m_calls;
    std::unique_ptr<probes> m_probes;
};

} // namespace figcleat
