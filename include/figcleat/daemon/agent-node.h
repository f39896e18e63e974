#pragma once

#include "figcleat/daemon/group-control.h"
#include "figcleat/daemon/node-base.h"
#include "figcleat/group/choice-watch.h"
#include "figcleat/http/client.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace figcleat
{

/**
 * A process beside a model engine: reports the state of its rank to the controller of its group and passes the
 * controller's orders on. Reading an engine's state from its own VM is free and fresh.
 *
 * Agents collect the reports of other ranks for the controller and spread its orders, and one of them is the
 * controller.
 */
class agent_node : public node_base, public http_client_handler
{
public:
    explicit agent_node(node_context context);

    [[nodiscard]] expected<void> start() override;
    void drain() override;

private:
    using answer_function = std::function<void(int status, const std::string &body)>;

    struct open_call
    {
        answer_function onAnswer;
        int status = 0;
        std::string body;
    };

    /** Map that the rank has begun to load, or is armed for. */
    struct awaited_map
    {
        group::map_version version;
        bool isInUse = false;
        time_point since {};
    };

    // http_client_handler
    void onAnswerStart(attempt_id attempt, int status, const http_headers &headers) override;
    void onBytes(attempt_id attempt, std::string_view bytes) override;
    void onAnswerEnd(attempt_id attempt) override;
    void onFailure(attempt_id attempt, bool notSent) override;

    /** Calls the engine through this client; status 0 means that there was no answer. */
    void call(http_client &client, const service_call &what, answer_function onAnswer);
    void finish(attempt_id attempt, bool isWhole);

    void receive(const envelope &received) override;
    void writeMetrics(report::metrics_text &page) const override;
    [[nodiscard]] group_control::parts controlParts();
    [[nodiscard]] std::vector<group::group_membership> seat() const;
    /** Sends a message; one to this process itself arrives at once. */
    void deliver(const peer_address &to, process_message message);
    void onAnnouncement(const group::control_announcement &announcement);
    void onCommand(const peer_address &from, const group::rank_command &command);
    void spread(const peer_address &from, const group::multi_rank_command &command);
    /** An order of a controller that this agent does not follow. */
    void refuse(const peer_address &from, const group::rank_order &order, fence_number fence);
    /** Sends the controller what this agent has collected as a relay, soon. */
    void scheduleRelay();
    void relayReports();
    void afterOrder(const group::rank_order &order, group::order_result result);
    [[nodiscard]] bool hasArrived(const awaited_map &what) const;
    void poll();
    void watch();
    void readStatus();
    void onStatus(int status, const std::string &body);
    void readChosen();
    void readLists();
    void report();

    std::unique_ptr<http_client> m_readings;
    /** The answer to an order does not name it, so each order has a connection that carries no other answer. */
    std::unique_ptr<http_client> m_orderCalls;
    std::map<attempt_id, open_call> m_calls;
    attempt_number m_lastCall;
    /** Empty until the engine has said that it belongs to a group. */
    std::optional<group::engine_rank_status> m_status;
    bool m_readsStatus = false;
    bool m_readsLists = false;
    std::uint64_t m_watches = 0;
    bool m_choicesDue = false;
    /** Choices at the last reading; reports say what was chosen since. */
    group::expert_lists m_lastChosen;
    group::choice_watch m_choices;
    std::optional<awaited_map> m_awaited;
    /** The controller needs the next state that is read. */
    bool m_reportDue = false;
    time_point m_reportedAt {};
    group::followed_control m_control;
    group::report_relay m_relay;
    event *m_relayDue = nullptr;
    bool m_hasNews = false;
    group_control m_groupControl;
    std::uint64_t m_reports = 0;
    std::map<group::order_result, std::uint64_t> m_orders {
        { group::order_result::accepted, 0 },
        { group::order_result::refused, 0 },
        { group::order_result::unknown, 0 },
    };
    std::uint64_t m_engineFailures = 0;
};

} // namespace figcleat
