#pragma once

#include "figcleat/daemon/control-node.h"
#include "figcleat/daemon/loop.h"
#include "figcleat/daemon/messenger.h"
#include "figcleat/daemon/node-links.h"
#include "figcleat/forward/dialect.h"
#include "figcleat/group/map-controller.h"
#include "figcleat/http/client.h"
#include "figcleat/http/server.h"

#include <map>
#include <memory>

namespace figcleat
{

/**
 * A process with a data folder: takes operators' commands into the replicated log, and registrations of targets into a
 * directory that coordinators share and that fronts copy.
 */
class coordinator_node : public http_handler, public http_client_handler
{
public:
    [[nodiscard]] static expected<std::unique_ptr<coordinator_node>> open(const forward::node_settings &settings,
                                                                          const forward::dialect &language,
                                                                          loop &eventLoop, const clock &time,
                                                                          std::uint64_t random);
    void drain();
    void reload(const forward::node_settings &settings);

private:
    /** A node that polls this coordinator. */
    struct subscriber
    {
        incarnation_id incarnation;
        forward::node_role role = forward::node_role::front;
        time_point heard {};
        /** What the node has, as it said or as it was sent since. */
        std::uint64_t directoryVersion = 0;
        revision_number revision;
    };

    coordinator_node(forward::node_settings settings, const forward::dialect &language, loop &eventLoop,
                     const clock &time, std::uint64_t random);
    [[nodiscard]] expected<void> start(std::uint64_t random);

    // http_handler
    void onRequest(exchange_id exchange, http_request request) override;
    void onCallerGone(exchange_id exchange) override;
    void onRejected(result_code code) override;

    void carryOut(exchange_id exchange, const forward::register_target &call);
    void carryOut(exchange_id exchange, const forward::deregister_target &call);
    void carryOut(exchange_id exchange, const forward::put_configuration &call);
    void carryOut(exchange_id exchange, const forward::get_configuration &call);
    void carryOut(exchange_id exchange, const forward::set_data_centre_service &call);

    void propose(exchange_id exchange, agreed::command command);
    void answer(exchange_id exchange, const forward::coordinator_answer &what);
    /** Names the leader as the coordinator to ask, if this one follows another. */
    [[nodiscard]] bool redirect(exchange_id exchange);
    [[nodiscard]] peer_address leader() const;
    /** False while this coordinator can reach no other one; what it acknowledged might reach nobody. */
    [[nodiscard]] bool isConnected() const;

    void receive(const envelope &received);
    void onPoll(const envelope &received, const forward::node_poll &poll);
    void onUpdate(const envelope &received, const forward::node_update &update);
    void onRankReport(const envelope &received, const forward::rank_report &report);
    void onRankResult(const forward::rank_result &result);
    /** True while this coordinator leads and no earlier leader can still act. */
    [[nodiscard]] bool mayOrder() const;
    void stepMaps(const group_id &group, const group::map_event &event);
    /** Calls an engine whose agent does not answer. */
    void orderDirectly(const group_id &group, const group::send_order &what);
    void endDirectOrder(attempt_id attempt, group::order_result result);
    /** Engines that are slow or whose group is broken; fronts are told of changes. */
    void reviewEngines();

    // http_client_handler, for orders to engines
    void onAnswerStart(attempt_id attempt, int status, const http_headers &headers) override;
    void onBytes(attempt_id attempt, std::string_view bytes) override;
    void onAnswerEnd(attempt_id attempt) override;
    void onFailure(attempt_id attempt, bool notSent) override;
    void applyRoutes();
    void publish();
    void update(const peer_address &to, subscriber &who);
    void pollOthers();
    void tick();

    forward::node_settings m_settings;
    const forward::dialect *m_dialect;
    loop *m_loop;
    const clock *m_time;
    incarnation_id m_incarnation;
    time_point m_startedAt;
    std::unique_ptr<messenger> m_messenger;
    std::unique_ptr<control_node> m_control;
    std::unique_ptr<http_server> m_server;
    coordinator_links m_links;
    forward::target_directory m_directory;
    std::map<peer_address, subscriber> m_subscribers;
    std::map<exchange_id, http_request> m_open;
    /** Groups whose expert maps this coordinator controls while it leads. */
    struct group_record
    {
        std::unique_ptr<group::map_controller> controller;
        std::map<group::rank_number, peer_address> agents;
    };
    std::map<group_id, group_record> m_groups;
    struct direct_order
    {
        group_id group;
        group::rank_number rank = 0;
        group::order_id order;
        group::order_result result = group::order_result::unknown;
    };
    std::map<std::string, std::unique_ptr<http_client>> m_engineClients;
    std::map<attempt_id, direct_order> m_directOrders;
    attempt_number m_lastDirectOrder;
    std::vector<forward::engine_condition> m_engines;
    std::map<service_id, group::group_model> m_models;
    std::optional<time_point> m_leadsSince;
    time_point m_lastTick {};
    bool m_hasLeader = false;
    bool m_stopping = false;
};

} // namespace figcleat
