#pragma once

#include "figcleat/core/clock.h"
#include "figcleat/core/ids.h"
#include "figcleat/forward/node-messages.h"
#include "figcleat/settings/daemon-settings.h"

#include <optional>
#include <string>
#include <vector>

namespace figcleat::forward
{

using milliseconds = std::chrono::milliseconds;

/** What binds all nodes together; the deployment sets it. */
struct deployment_bounds
{
    /** Time from SIGTERM to the end of the process. */
    milliseconds grace { 8000 };
    /** Repeats for each request, and further ones, in a window over all nodes. */
    double retryShare = 0.2;
    std::uint32_t retrySlack = 0;
    milliseconds retryWindow { 10000 };
    /** Data folders that may be lost at the same time. */
    std::uint32_t toleratedLosses = 1;
};

/** Settings of one node, checked. */
struct node_settings
{
    vm_id vm;
    data_centre_id dataCentre;
    node_role role = node_role::front;
    std::string ip;
    /** First port for messages between nodes; the same on every node. */
    std::uint16_t mailboxPort = 0;
    /** Where callers connect (front) or operators and targets (coordinator). */
    socket_address listen;
    /** Where the platform asks whether a front is ready. */
    std::optional<socket_address> readiness;
    /** Where metrics are served, if anywhere. */
    std::optional<socket_address> metrics;
    /** Mailboxes of some coordinators. */
    std::vector<peer_address> seeds;
    /** Port on which every coordinator is called. */
    std::uint16_t coordinatorPort = 0;
    /** The whole deployment starts for the first time. */
    bool isFirstStart = false;
    std::string dataFolder;
    /** For an agent: the engine beside it and its service. */
    std::optional<socket_address> engine;
    service_id service;
    std::vector<data_centre_id> dataCentres;
    deployment_bounds bounds;
};

} // namespace figcleat::forward
