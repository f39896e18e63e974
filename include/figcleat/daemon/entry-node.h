#pragma once

#include "figcleat/daemon/control-node.h"
#include "figcleat/daemon/messenger.h"
#include "figcleat/daemon/operator-api.h"
#include "figcleat/daemon/proposer.h"
#include "figcleat/daemon/service-levels.h"
#include "figcleat/distribution/replica.h"
#include "figcleat/http/server.h"
#include "figcleat/request/pipeline.h"

#include <map>
#include <memory>
#include <optional>
#include <unordered_map>

namespace figcleat
{

/** The role `entry`, with the role `control` besides where the settings say so. */
class entry_node : private http_handler, private operator_backend
{
public:
    /** @param random seeds the incarnation and every choice of this process. */
    [[nodiscard]] static expected<std::unique_ptr<entry_node>> open(const daemon_settings &settings, loop &eventLoop,
                                                                    const clock &time, std::uint64_t random);

    /** Planned stop: takes no new call and ends the loop when those in progress have ended. */
    void drain();

private:
    /** A question to another entry, which may never answer. */
    template<typename Function>
    struct waiting
    {
        Function answer;
        time_point deadline;
    };

    struct summary_gathering
    {
        report::summary_merger merger;
        burn_function answer;
        time_point deadline;
    };

    entry_node(daemon_settings settings, loop &eventLoop, const clock &time, std::uint64_t random);
    [[nodiscard]] expected<void> start(std::uint64_t random);

    // http_handler, for callers
    void onRequest(exchange_id exchange, http_request request) override;
    void onCallerGone(exchange_id exchange) override;
    void onRejected(result_code code) override;

    // operator_backend
    void propose(agreed::command command, decision_function decide) override;
    void changeMembership(bool add, const peer_address &voter, decision_function decide) override;
    void readUsage(usage_function answer) override;
    void readServiceLevels(burn_function answer) override;
    [[nodiscard]] bool overrideLocally(const data_centre_id &dataCentre, bool out) override;
    [[nodiscard]] const agreed::configuration_in_force &inForce() const override;
    [[nodiscard]] nlohmann::json status() const override;
    [[nodiscard]] std::string metrics() const override;

    void receive(const envelope &received);
    void on(const peer_address &from, const announce &message);
    void on(const peer_address &from, const peer_state &message);
    void on(const peer_address &from, const proposal &message);
    void on(const peer_address &from, const proposal_answer &message);
    void on(const peer_address &from, const usage_query &message);
    void on(const peer_address &from, const usage_answer &message);
    void on(const peer_address &from, const membership_request &message);
    void on(const peer_address &from, const summary_query &message);
    void on(const peer_address &from, const summary_answer &message);
    void on(const peer_address &from, const consensus::raft_message &message);
    template<typename Message>
    void on(const peer_address &from, const Message &message);

    void sendSummaryCopies();
    void finishGathering();
    void giveUpQuestions();
    void heartbeat();
    void tick();
    void stopIfDrained(bool deadlinePassed);
    void step(const request::pipeline_event &event);
    void step(const distribution::replica_event &event);
    void carryOut(const proposer_action &action);
    void carryOutAll(const std::vector<proposer_action> &actions);

    void carryOut(request::reply &action);
    void carryOut(request::start_stream &action);
    void carryOut(request::send_piece &action);
    void carryOut(request::end_stream &action);
    void carryOut(request::break_stream &action);
    void carryOut(request::send_to_target &action);
    void carryOut(request::propose &action);
    void carryOut(request::request_ended &action);
    void carryOut(request::drained &action);
    void carryOut(const distribution::in_force &action);

    void submit(agreed::command command, decision_function decide);
    void answerProposal(const peer_address &to, std::uint64_t id, result_code code, const agreed::outcome &result);
    /** Leader that this voter follows; empty if there is none. */
    [[nodiscard]] peer_address ownLeader() const;
    [[nodiscard]] peer_address leaderHint() const;
    [[nodiscard]] nlohmann::json controlStatus() const;
    [[nodiscard]] nlohmann::json targetStatus() const;
    [[nodiscard]] nlohmann::json peerStatus() const;

    daemon_settings m_settings;
    loop *m_loop;
    const clock *m_time;
    time_point m_startedAt;
    std::unique_ptr<messenger> m_messenger;
    std::unique_ptr<control_node> m_control;
    std::unique_ptr<http_server> m_callers;
    std::unique_ptr<operator_api> m_operators;
    request::pipeline m_pipeline;
    distribution::replica m_replica;
    proposer m_proposer;
    std::shared_ptr<const configuration> m_config;
    std::uint64_t m_lastId = 0;
    std::unordered_map<std::uint64_t, decision_function> m_decisions;
    std::unordered_map<std::uint64_t, waiting<decision_function>> m_membershipChanges;
    std::unordered_map<std::uint64_t, waiting<usage_function>> m_usageReads;
    service_levels m_levels;
    std::map<std::uint64_t, summary_gathering> m_gatherings;
    time_point m_nextSummary;
    std::map<peer_address, peer_state> m_peers;
    std::map<peer_address, target_id> m_targets;
    std::map<result_code, std::uint64_t> m_ended;
    std::optional<time_point> m_drainDeadline;
    bool m_isDrained = false;
};

} // namespace figcleat
