#pragma once

#include "figcleat/daemon/http-client-pool.h"
#include "figcleat/forward/dialect.h"
#include "figcleat/forward/node-messages.h"
#include "figcleat/group/map-controller.h"
#include "figcleat/report/metrics-text.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace figcleat
{

/**
 * Controls the expert maps of all groups while its coordinator leads the replicated log, and knows from the agents'
 * reports which engines are impaired.
 */
class map_operator : public http_client_handler
{
public:
    struct parts
    {
        loop *eventLoop = nullptr;
        const clock *time = nullptr;
        const forward::dialect *language = nullptr;
        incarnation_id incarnation;
        std::function<void(const peer_address &, forward::rank_command)> send;
        std::function<void()> onEnginesChanged;
    };

    explicit map_operator(parts wiring);

    /** Services whose engines form groups; a change of them ends what is under way. */
    void setModels(std::map<service_id, group::group_model> models);
    /**
     * Term in which this coordinator leads; nothing while another one does.
     *
     * @param votersFollow every voter has answered in this term, so that none still leads an earlier one
     */
    void setTerm(std::optional<std::uint64_t> term, bool votersFollow);
    /** True while this coordinator leads and no earlier leader can still act. */
    [[nodiscard]] bool mayOrder() const;
    void receive(const peer_address &from, const forward::rank_report &report);
    void receive(const forward::rank_result &result);
    void tick();
    /** Engines that are slow or whose group is broken. */
    [[nodiscard]] const std::vector<forward::engine_condition> &engines() const;
    void writeMetrics(report::metrics_text &page) const;

private:
    struct group_record
    {
        std::unique_ptr<group::map_controller> controller;
        std::map<group::rank_number, peer_address> agents;
    };

    struct direct_order
    {
        group_id group;
        group::rank_number rank = 0;
        group::order_id order;
        group::order_result result = group::order_result::unknown;
    };

    // http_client_handler, for orders to engines
    void onAnswerStart(attempt_id attempt, int status, const http_headers &headers) override;
    void onBytes(attempt_id attempt, std::string_view bytes) override;
    void onAnswerEnd(attempt_id attempt) override;
    void onFailure(attempt_id attempt, bool notSent) override;

    void step(const group_id &group, const group::map_event &event);
    void carryOut(const group_id &group, group::send_order &order);
    /** Calls an engine whose agent does not answer. */
    void orderDirectly(const group_id &group, const group::send_order &order);
    void endDirectOrder(attempt_id attempt, group::order_result result);
    void reviewEngines();

    parts m_parts;
    std::map<service_id, group::group_model> m_models;
    std::optional<std::uint64_t> m_term;
    time_point m_leadsSince {};
    bool m_votersFollow = false;
    std::map<group_id, group_record> m_groups;
    std::map<service_id, std::shared_ptr<group::demand_estimate>> m_demands;
    std::vector<forward::engine_condition> m_engines;
    http_client_pool m_clients;
    std::map<attempt_id, direct_order> m_directOrders;
    attempt_number m_lastDirectOrder;
};

} // namespace figcleat
