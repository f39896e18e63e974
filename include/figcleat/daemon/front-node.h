#pragma once

#include "figcleat/daemon/loop.h"
#include "figcleat/daemon/messenger.h"
#include "figcleat/daemon/node-links.h"
#include "figcleat/forward/dialect.h"
#include "figcleat/http/client.h"
#include "figcleat/http/server.h"

#include <map>
#include <memory>
#include <optional>

namespace figcleat
{

/** A process that takes callers' requests and forwards them straight to targets. */
class front_node : public http_handler, public http_client_handler
{
public:
    [[nodiscard]] static expected<std::unique_ptr<front_node>> open(const forward::node_settings &settings,
                                                                    const forward::dialect &language, loop &eventLoop,
                                                                    const clock &time, std::uint64_t random);
    /** Planned stop: takes no new connections and ends when all answers are sent. */
    void drain();
    void reload(const forward::node_settings &settings);

private:
    /** Answers the platform's question whether this front may get new connections. */
    class readiness_handler : public http_handler
    {
    public:
        explicit readiness_handler(front_node &owner);
        void onRequest(exchange_id exchange, http_request request) override;
        void onCallerGone(exchange_id exchange) override;
        void onRejected(result_code code) override;

    private:
        front_node *m_owner;
    };

    front_node(forward::node_settings settings, const forward::dialect &language, loop &eventLoop, const clock &time,
               std::uint64_t random);
    [[nodiscard]] expected<void> start(std::uint64_t random);
    [[nodiscard]] bool isReady() const;

    // http_handler, for callers
    void onRequest(exchange_id exchange, http_request request) override;
    void onCallerGone(exchange_id exchange) override;
    void onRejected(result_code code) override;

    // http_client_handler
    void onAnswerStart(attempt_id attempt, int status, const http_headers &headers) override;
    void onBytes(attempt_id attempt, std::string_view bytes) override;
    void onAnswerEnd(attempt_id attempt) override;
    void onFailure(attempt_id attempt, bool notSent) override;

    void receive(const envelope &received);
    void onUpdate(const envelope &received, const forward::node_update &update);
    void apply(const agreed::configuration_in_force &configuration);
    void poll();
    void tick();
    /** Tells the other fronts what this one has at targets, if that has changed or some time has passed. */
    void shareLoad();
    void stopIfDone();
    void step(const forward::forward_event &event);

    void carryOut(forward::start_attempt &action);
    void carryOut(const forward::cancel_attempt &action);
    void carryOut(const forward::refuse_request &action);
    void carryOut(forward::pass_answer &action);
    void carryOut(const forward::start_event_stream &action);
    void carryOut(const forward::send_events &action);
    void carryOut(const forward::end_event_stream &action);
    void carryOut(const forward::break_answer &action);
    void carryOut(const forward::forward_ended &action);
    void carryOut(const forward::attempt_note &action);

    struct open_attempt
    {
        std::shared_ptr<const forward::caller_request> request;
        std::string address;
    };

    [[nodiscard]] http_client *clientFor(const std::string &address);

    forward::node_settings m_settings;
    const forward::dialect *m_dialect;
    loop *m_loop;
    const clock *m_time;
    incarnation_id m_incarnation;
    std::unique_ptr<messenger> m_messenger;
    coordinator_links m_links;
    readiness_handler m_readinessHandler;
    std::unique_ptr<http_server> m_callers;
    std::unique_ptr<http_server> m_readiness;
    forward::target_directory m_directory;
    forward::forwarder m_forwarder;
    revision_number m_revision;
    std::uint64_t m_version = 0;
    std::map<std::string, std::unique_ptr<http_client>> m_clients;
    std::map<attempt_number, open_attempt> m_attempts;
    std::optional<time_point> m_drainStarted;
    bool m_heardCoordinator = true;
    std::vector<peer_address> m_otherFronts;
    std::vector<forward::target_use> m_sharedLoad;
    std::uint64_t m_loadSequence = 0;
    time_point m_loadSharedAt {};
    event *m_shareLater = nullptr;
};

} // namespace figcleat
