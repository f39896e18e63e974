#pragma once

#include "figcleat/daemon/control-node.h"
#include "figcleat/daemon/coordinator-inbox.h"
#include "figcleat/daemon/node-base.h"
#include "figcleat/daemon/proposer.h"
#include "figcleat/forward/configuration-feed.h"
#include "figcleat/forward/configuration-history.h"
#include "figcleat/group/control-leases.h"
#include "figcleat/http/server.h"

#include <map>
#include <memory>

namespace figcleat
{

/**
 * A process with a data folder: takes operators' commands into the replicated log, and registrations of targets into a
 * directory that coordinators share and that fronts copy.
 */
class coordinator_node : public node_base, public http_handler
{
public:
    explicit coordinator_node(node_context context);

    [[nodiscard]] expected<void> start() override;
    void drain() override;

private:
    /** A node that polls this coordinator. */
    struct subscriber
    {
        forward::node_role role = forward::node_role::front;
        data_centre_id dataCentre;
        time_point heard {};
        /** What the node has, as it said or as it was sent since. */
        std::uint64_t directoryVersion = 0;
        std::uint64_t contactsChecksum = 0;
        incarnation_id incarnation {};
        bool takesDeltas = false;
        /** Targets of which the node wants the current registration with the next update. */
        std::vector<target_id> doubted;
        forward::configuration_feed configuration;
    };

    /** Contacts as they are sent to nodes of one kind. */
    struct contact_list
    {
        forward::node_contacts contacts;
        std::uint64_t checksum = 0;
    };

    /** A call that is answered when the log has decided, or with an error at the deadline. */
    struct sign_off_call
    {
        exchange_id exchange;
        time_point deadline;
    };

    [[nodiscard]] expected<void> openLog();

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
    /** The settings name the data centre. */
    [[nodiscard]] bool isKnown(const data_centre_id &dataCentre) const;
    /**
     * Answers once the log holds that this start of the target signed off, so that the loss of this process cannot undo
     * it; `agreement_unavailable` if the log cannot decide.
     */
    void signOff(exchange_id exchange, const target_id &target, std::int64_t startedMs);
    /** Passes the proposals of other coordinators and the answers to own ones on. */
    [[nodiscard]] bool receiveProposal(const envelope &received);
    void perform(std::vector<proposer_action> actions);
    void refuseOverdueSignOffs();
    void onSignedOff(const agreed::record_sign_off &signOff);
    /** Excludes time in which this process was suspended or cut off from the observed silence of targets. */
    void checkListening();
    void logUnusedTargets();

    void receive(const envelope &received) override;
    /** Some of the messages that wait, so that those of the log and calls get their turn between them. */
    void handleWaiting();
    void handle(const envelope &received);
    void writeMetrics(report::metrics_text &page) const override;
    [[nodiscard]] std::optional<forward::http_answer> answerOperator(const http_request &request) override;
    void onPoll(const envelope &received, const forward::node_poll &poll);
    void onUpdate(const envelope &received, const forward::node_update &update);
    void onRenewal(const envelope &received, const forward::control_renewal &renewal);
    /** Appoints controllers of groups while this coordinator leads. */
    void controlGroups();
    /** True once this coordinator leads and the controllers of all groups have told it of their engines. */
    [[nodiscard]] bool knowsEngines() const;
    /** Collects the contacts that updates name, once for all of them. */
    void collectContacts();
    /** Writes a log line for a registration that is refused for its address. */
    bool merge(const forward::registration &what, time_point now);
    /** Takes the models of the services with groups from the configuration, which takes long to read. */
    void readModels();
    /** Tells all nodes soon what has changed; changes that come together are told together. */
    void publishSoon();
    void publish();
    void update(const peer_address &to, subscriber &who);
    /** Adds the configuration in force, as a copy or as a change, if the front is to be sent it now. */
    void addConfiguration(forward::node_update &message, subscriber &who);
    void pollOthers();
    void tick();
    /** In a planned stop, ends the loop once all calls that were received have their answers. */
    void stopIfDone();
    /** Tells when this process cannot keep up with its messages. */
    void measureDelay();

    std::unique_ptr<control_node> m_control;
    std::unique_ptr<http_server> m_server;
    forward::target_directory m_directory;
    forward::configuration_history m_configurations;
    std::map<peer_address, subscriber> m_subscribers;
    coordinator_inbox m_inbox;
    event *m_waitingDue = nullptr;
    bool m_isWaitingScheduled = false;
    event *m_publicationDue = nullptr;
    bool m_isPublicationScheduled = false;
    std::map<exchange_id, http_request> m_open;
    /** Brings sign-offs to the leader of the log. */
    proposer m_proposer;
    std::map<std::uint64_t, sign_off_call> m_signOffCalls;
    std::uint64_t m_lastProposal = 0;
    time_point m_lastPollAt {};
    group::control_leases m_leases;
    /** Engines that are slow or whose group is broken, as the controllers of the groups say. */
    std::map<group_id, std::vector<forward::engine_condition>> m_engines;
    std::optional<std::uint64_t> m_leadsInTerm;
    time_point m_leadsSince {};
    /** Revision of the configuration from which the models were read. */
    revision_number m_modelsRevision;
    time_point m_modelsReadAt {};
    contact_list m_frontContacts;
    contact_list m_otherContacts;
    std::map<result_code, std::uint64_t> m_commands;
    time_point m_lastTick {};
    /** Of ticks, in the window that has begun and in the one before. */
    duration m_longestDelay {};
    duration m_lastWindowDelay {};
    time_point m_delayWindowStart {};
    std::uint64_t m_messages = 0;
    std::uint64_t m_messagesAtWindowStart = 0;
    std::uint64_t m_shedAtWindowStart = 0;
    bool m_hasLeader = false;
    std::optional<time_point> m_stopStarted;
};

} // namespace figcleat
