#pragma once

#include "figcleat/agreed/commands.h"
#include "figcleat/forward/target-directory.h"
#include "figcleat/group/control-messages.h"

#include <optional>
#include <vector>

/** Messages between nodes that forward requests and coordinators, and among coordinators. */
namespace figcleat::forward
{

enum class node_role : std::uint8_t {
    /** Forwards callers' requests. */
    front,
    /** Takes registrations and operators' commands. */
    coordinator,
    /** Runs beside a target and passes orders on to its engine. */
    agent,
};

/** A node that forwards requests, as coordinators know it. */
struct front_contact
{
    peer_address address {};
    data_centre_id dataCentre {};

    auto operator<=>(const front_contact &) const = default;
    MSGPACK_DEFINE(address, dataCentre)
};

/** The nodes that a coordinator knows. */
struct node_contacts
{
    /** Coordinators, the sender included. */
    std::vector<peer_address> coordinators {};
    /** Fronts that have polled lately; only for fronts. */
    std::vector<front_contact> fronts {};

    bool operator==(const node_contacts &) const = default;
    MSGPACK_DEFINE(coordinators, fronts)
};

/** Asks a coordinator for what has changed; sent on a period, so that a lost update is made good. */
struct node_poll
{
    vm_id vm;
    data_centre_id dataCentre;
    node_role role = node_role::front;
    /** Life of the coordinator to which `directoryVersion` belongs. */
    incarnation_id coordinator;
    /** Version of the coordinator's directory that the node has. */
    std::uint64_t directoryVersion = 0;
    /** Checksum of the contacts of that coordinator that the node has. */
    std::uint64_t contactsChecksum = 0;
    revision_number revision;
    /** Place of the rank beside an agent; empty if its engine belongs to no group, and for other nodes. */
    std::vector<group::group_membership> seat;

    MSGPACK_DEFINE(vm, dataCentre, role, coordinator, directoryVersion, contactsChecksum, revision, seat)
};

/** A model engine that cannot be used like a sound one. */
struct engine_condition
{
    /** "IP:port", as in the registration. */
    std::string address;
    /** False while its group is broken. */
    bool isOpen = true;
    /** Time that it takes for its work relative to a sound one. */
    double pace = 1;

    bool operator==(const engine_condition &) const = default;
    MSGPACK_DEFINE(address, isOpen, pace)
};

/** What a coordinator knows; sent as the answer to a poll and at once when something changes. */
struct node_update
{
    std::uint64_t directoryVersion = 0;
    /** Version after which `changes` begin. */
    std::uint64_t since = 0;
    std::vector<registration> changes;
    /** Configuration in force, if the node has an older one. */
    std::vector<agreed::configuration_in_force> configuration;
    /** Contacts, if the node has others; they are long and change seldom. */
    std::vector<node_contacts> contacts;
    std::uint64_t contactsChecksum = 0;
    /** Leader of the replicated log; empty if not known. */
    peer_address leader;
    /** Term of the log at the sender. */
    std::uint64_t term = 0;
    /** True if the sender leads the log and so hears the controllers; then `engines` replaces earlier lists. */
    bool knowsEngines = false;
    /** Engines that are slow or whose group is broken. */
    std::vector<engine_condition> engines;

    MSGPACK_DEFINE(directoryVersion, since, changes, configuration, contacts, contactsChecksum, leader, term,
                   knowsEngines, engines)
};

/** Requests of one node at one target. */
struct target_use
{
    target_id target {};
    std::uint32_t requests = 0;
    /** Requests among them whose prompt is still being read. */
    std::uint32_t prompts = 0;

    bool operator==(const target_use &) const = default;
    MSGPACK_DEFINE(target, requests, prompts)
};

enum class load_scope : std::uint8_t {
    /** Of the sender alone. */
    node,
    /** Of all fronts in the sender's data centre. */
    data_centre,
    /** Of all fronts but the receiver. */
    others,
};

/** What fronts have at targets; replaces the sender's earlier message of the same scope. */
struct node_load
{
    load_scope scope = load_scope::node;
    std::vector<target_use> uses;

    MSGPACK_DEFINE(scope, uses)
};

/** A controller of a group asks the leader to prolong its control, and tells which engines are impaired. */
struct control_renewal
{
    group::control_request request;
    std::vector<engine_condition> engines;

    MSGPACK_DEFINE(request, engines)
};

} // namespace figcleat::forward

MSGPACK_ADD_ENUM(figcleat::forward::node_role)
MSGPACK_ADD_ENUM(figcleat::forward::load_scope)
