#pragma once

#include "figcleat/daemon/front-metrics.h"
#include "figcleat/daemon/http-client-pool.h"
#include "figcleat/daemon/node-base.h"
#include "figcleat/forward/load-exchange.h"
#include "figcleat/forward/stop-schedule.h"
#include "figcleat/http/connect-probe.h"
#include "figcleat/http/server.h"

#include <map>
#include <memory>
#include <optional>

namespace figcleat
{

/** A process that takes callers' requests and forwards them straight to targets. */
class front_node : public node_base, public http_handler, public http_client_handler
{
public:
    explicit front_node(node_context context);

    [[nodiscard]] expected<void> start() override;
    /** Takes no new connections and ends when all answers are sent. */
    void drain() override;

private:
    [[nodiscard]] expected<void> openReadiness();
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

    void receive(const envelope &received) override;
    void writeMetrics(report::metrics_text &page) const override;
    [[nodiscard]] std::optional<forward::http_answer> answerOperator(const http_request &request) override;
    void onUpdate(const envelope &received, const forward::node_update &update);
    /** Takes over the fronts that coordinators know. */
    void knowFronts();
    void apply(const agreed::configuration_in_force &configuration);
    void poll();
    void tick();
    /** Tells other fronts what this one has at targets, as far as that is due. */
    /** Applies the reports of coordinators that targets are silent, unless other coordinators hear them. */
    void settleTargets();
    void shareLoad();
    /** Tells other fronts what this one knows of prompts that crash targets, as far as that is due. */
    void shareQuarantine();
    /** Asks the other fronts for theirs, after the start of this one. */
    void queryQuarantine();
    void onQuarantineUpdate(const envelope &received, const forward::quarantine_update &update);
    [[nodiscard]] forward::http_answer answerQuarantine(const http_request &request);
    void stopIfDone();
    /** Returns how long ago a signal that is handled now may have come. */
    [[nodiscard]] duration signalDelay() const;
    void step(const forward::forward_event &event);

    void carryOut(forward::start_attempt &action);
    void carryOut(const forward::cancel_attempt &action);
    void carryOut(const forward::probe_target &action);
    void carryOut(const forward::refuse_request &action);
    void carryOut(forward::send_answer &action);
    void carryOut(const forward::start_event_stream &action);
    void carryOut(const forward::send_events &action);
    void carryOut(const forward::end_event_stream &action);
    void carryOut(const forward::abort_answer &action);
    void carryOut(const forward::request_finished &action);
    void carryOut(const forward::failed_attempt &action);
    void carryOut(const forward::notice_applied &action);
    void carryOut(const forward::quarantine_changed &action);
    void carryOut(const forward::node_stalled &action);

    struct open_attempt
    {
        std::shared_ptr<const forward::caller_request> request;
        std::string address;
    };

    std::unique_ptr<http_server> m_callers;
    std::unique_ptr<reply_server> m_readiness;
    forward::target_directory m_directory;
    forward::forwarder m_forwarder;
    revision_number m_revision;
    std::uint64_t m_version = 0;
    /** Content of the configuration in force, to which changes are applied. */
    std::string m_configuration;
    http_client_pool m_clients;
    connect_probe m_probes;
    std::map<attempt_number, open_attempt> m_attempts;
    std::optional<time_point> m_drainStarted;
    bool m_heardCoordinator = true;
    time_point m_lastPollAt {};
    time_point m_tickAt {};
    /** The tick before `m_tickAt`. */
    time_point m_tickBeforeAt {};
    forward::load_exchange m_loads;
    forward::stop_schedule m_stopSchedule;
    front_metrics m_counts;
    std::uint64_t m_callersRejected = 0;
    time_point m_quarantineSharedAt {};
    /** Queries that no other front has answered yet; none are sent after the first update. */
    int m_quarantineQueries = 0;
    bool m_hasQuarantineUpdate = false;
    event *m_shareLater = nullptr;
};

} // namespace figcleat
