#pragma once

#include "figcleat/agreed/commands.h"
#include "figcleat/forward/content-delta.h"
#include "figcleat/forward/target-directory.h"
#include "figcleat/group/control-messages.h"

#include <optional>
#include <vector>

/** Messages between forwarding nodes and coordinators, among coordinators, and among fronts. */
namespace figcleat::forward
{

enum class node_role : std::uint8_t {
    /** Forwards requests of callers. */
    front,
    /** Accepts registrations of targets and commands of operators. */
    coordinator,
    /** Runs beside a target and passes commands on to its engine. */
    agent,
};

/** Address and data centre of a front. */
struct front_contact
{
    peer_address address {};
    data_centre_id dataCentre {};

    auto operator<=>(const front_contact &) const = default;
    MSGPACK_DEFINE(address, dataCentre)
};

/** The nodes known to a coordinator. */
struct node_contacts
{
    /** Mailboxes of the coordinators, the sender included. */
    std::vector<peer_address> coordinators {};
    /** Fronts that have polled recently; only sent to fronts. */
    std::vector<front_contact> fronts {};

    bool operator==(const node_contacts &) const = default;
    MSGPACK_DEFINE(coordinators, fronts)
};

/** Asks a coordinator for changes; sent periodically, so that a lost update is replaced by a later one. */
struct node_poll
{
    vm_id vm;
    data_centre_id dataCentre;
    node_role role = node_role::front;
    /** Incarnation of the coordinator to which `directoryVersion` belongs. */
    incarnation_id coordinator;
    /** Version of the coordinator's directory that the node has received. */
    std::uint64_t directoryVersion = 0;
    /** Checksum of the contacts that the node has received from this coordinator. */
    std::uint64_t contactsChecksum = 0;
    /** Revision of the configuration that the node has. */
    revision_number revision;
    /** For agents: group membership of the engine's rank; empty if the engine belongs to no group, and for other nodes.
     */
    std::vector<group::group_membership> seat;
    /** Targets that another coordinator reported as absent; the update names their registrations. */
    std::vector<target_id> doubted;
    /** The node can be sent changes of the configuration instead of copies. */
    bool takesDeltas = false;

    MSGPACK_DEFINE(vm, dataCentre, role, coordinator, directoryVersion, contactsChecksum, revision, seat, doubted,
                   takesDeltas)
};

/** Condition of a model engine that is slow or whose group is broken. */
struct engine_condition
{
    /** "IP:port", as in the registration. */
    std::string address;
    /** False while the engine's group is broken. */
    bool isOpen = true;
    /** Time that the engine takes for its work, relative to a healthy engine. */
    double pace = 1;

    bool operator==(const engine_condition &) const = default;
    MSGPACK_DEFINE(address, isOpen, pace)
};

/** The change from one configuration to a later one. */
struct configuration_delta
{
    revision_number base;
    /** The configuration that results, without its content. */
    agreed::configuration_in_force result;
    /** Checksum of the resulting content. */
    std::uint64_t checksum = 0;
    std::vector<delta_piece> pieces;

    MSGPACK_DEFINE(base, result, checksum, pieces)
};

/** State of a coordinator; sent as the answer to a poll and immediately after a change. */
struct node_update
{
    std::uint64_t directoryVersion = 0;
    /** Directory version of the receiver; `changes` holds the changes after this version. */
    std::uint64_t since = 0;
    std::vector<registration> changes;
    /** Configuration in force if the receiver has an older one; otherwise empty. */
    std::vector<agreed::configuration_in_force> configuration;
    /** Contacts if the receiver has different ones; otherwise empty, since contacts are long and rarely change. */
    std::vector<node_contacts> contacts;
    std::uint64_t contactsChecksum = 0;
    /** Leader of the replicated log; empty if unknown. */
    peer_address leader;
    /** Term of the log at the sender. */
    std::uint64_t term = 0;
    /** True if the sender leads the log and receives the reports of controllers; `engines` replaces earlier lists. */
    bool knowsEngines = false;
    /** Engines that are slow or whose group is broken. */
    std::vector<engine_condition> engines;
    /** Sent instead of `configuration` to a receiver that has the configuration from which it starts. */
    std::vector<configuration_delta> configurationDelta;

    MSGPACK_DEFINE(directoryVersion, since, changes, configuration, contacts, contactsChecksum, leader, term,
                   knowsEngines, engines, configurationDelta)
};

/** Number of requests at one target, of one node or summed over several. */
struct target_use
{
    target_id target {};
    std::uint32_t requests = 0;
    /** Those of `requests` whose prompt is still being read. */
    std::uint32_t prompts = 0;

    bool operator==(const target_use &) const = default;
    MSGPACK_DEFINE(target, requests, prompts)
};

/** How often a node looks for a target for requests of one service and urgency, or several nodes together. */
struct placement_demand
{
    service_id service {};
    /** 0 is the most urgent. */
    std::uint32_t urgency = 0;
    /** Requests that arrive, and further tries for those that wait. */
    float perSecond = 0;

    bool operator==(const placement_demand &) const = default;
    MSGPACK_DEFINE(service, urgency, perSecond)
};

/** The fronts whose load a message holds. */
enum class load_scope : std::uint8_t {
    /** Load of the sender alone. */
    node,
    /** Load of all fronts in the sender's data centre. */
    data_centre,
    /** Load of all fronts except the receiver. */
    others,
};

/** Requests that fronts have in flight at each target; replaces the sender's previous message to the receiver. */
struct node_load
{
    load_scope scope = load_scope::node;
    std::vector<target_use> uses;
    std::vector<placement_demand> demand {};

    MSGPACK_DEFINE(scope, uses, demand)
};

/** Asks the leader to renew a controller's control of a group and reports the impaired engines of that group. */
struct control_renewal
{
    group::control_request request;
    std::vector<engine_condition> engines;

    MSGPACK_DEFINE(request, engines)
};

} // namespace figcleat::forward

MSGPACK_ADD_ENUM(figcleat::forward::node_role)
MSGPACK_ADD_ENUM(figcleat::forward::load_scope)
