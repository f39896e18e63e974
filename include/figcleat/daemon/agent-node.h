#pragma once

#include "figcleat/daemon/loop.h"
#include "figcleat/daemon/messenger.h"
#include "figcleat/daemon/node-links.h"
#include "figcleat/forward/dialect.h"
#include "figcleat/http/client.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace figcleat
{

/**
 * A process beside a model engine: reports the state of its rank to the leader of the replicated log and passes the
 * leader's orders on. Reading an engine's state from its own VM is free and fresh.
 */
class agent_node : public http_client_handler
{
public:
    [[nodiscard]] static expected<std::unique_ptr<agent_node>> open(const forward::node_settings &settings,
                                                                    const forward::dialect &language, loop &eventLoop,
                                                                    const clock &time, std::uint64_t random);
    void drain();
    void reload(const forward::node_settings &settings);

private:
    using answer_function = std::function<void(int status, const std::string &body)>;

    struct open_call
    {
        answer_function onAnswer;
        int status = 0;
        std::string body;
    };

    agent_node(forward::node_settings settings, const forward::dialect &language, loop &eventLoop, const clock &time,
               std::uint64_t random);
    [[nodiscard]] expected<void> start();

    // http_client_handler
    void onAnswerStart(attempt_id attempt, int status, const http_headers &headers) override;
    void onBytes(attempt_id attempt, std::string_view bytes) override;
    void onAnswerEnd(attempt_id attempt) override;
    void onFailure(attempt_id attempt, bool notSent) override;

    /** Calls the engine; status 0 means that there was no answer. */
    void call(const service_call &what, answer_function onAnswer);
    void finish(attempt_id attempt, bool isWhole);

    void receive(const envelope &received);
    void onCommand(const forward::rank_command &command);
    void poll();
    void watch();
    void readStatus();
    void onStatus(int status, const std::string &body);
    void readChosen();
    void readLists();
    void report();

    forward::node_settings m_settings;
    const forward::dialect *m_dialect;
    loop *m_loop;
    const clock *m_time;
    incarnation_id m_incarnation;
    std::unique_ptr<messenger> m_messenger;
    std::unique_ptr<http_client> m_engine;
    coordinator_links m_links;
    std::map<attempt_id, open_call> m_calls;
    attempt_number m_lastCall;
    /** Empty until the engine has said that it belongs to a group. */
    std::optional<group::engine_rank_status> m_status;
    bool m_readsStatus = false;
    bool m_readsLists = false;
    std::uint64_t m_watches = 0;
    /** Map that the rank loads; 0 for none. */
    group::map_version m_loading {};
    time_point m_reportedAt {};
    std::uint64_t m_term = 0;
};

} // namespace figcleat
