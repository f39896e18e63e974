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

/** Limits that hold for all nodes together; set by the deployment. */
struct deployment_bounds
{
    /** Time from SIGTERM to the end of the process. */
    milliseconds grace { 8000 };
    /** Maximum retries per request, over all nodes within `retryWindow`. */
    double retryShare = 0.2;
    /** Retries that are allowed in addition to `retryShare`. */
    std::uint32_t retrySlack = 0;
    milliseconds retryWindow { 10000 };
    /** Number of data folders that may be lost at the same time. */
    std::uint32_t toleratedLosses = 1;
};

/** What the VM of a node gives its process. */
struct vm_limits
{
    std::uint64_t memoryBytes = 160'000'000;
    std::uint32_t descriptors = 4100;
};

/** Validated settings of one node. */
struct node_settings
{
    vm_id vm;
    data_centre_id dataCentre;
    node_role role = node_role::front;
    std::string ip;
    /** First port for messages between nodes; the same on every node. */
    std::uint16_t mailboxPort = 0;
    /** Address to which callers (front) or operators and targets (coordinator) connect. */
    socket_address listen;
    /** Address at which the platform checks the readiness of a front. */
    std::optional<socket_address> readiness;
    /** Address at which metrics are served; not served if unset. */
    std::optional<socket_address> metrics;
    /** Addresses of the coordinators to contact first. */
    std::vector<peer_address> seeds;
    /** Port on which every coordinator accepts calls. */
    std::uint16_t coordinatorPort = 0;
    /** True if the entire deployment starts for the first time. */
    bool isFirstStart = false;
    std::string dataFolder;
    /** Address of the engine beside an agent; unset for other nodes. */
    std::optional<socket_address> engine;
    /** Service of an agent's engine. */
    service_id service;
    std::vector<data_centre_id> dataCentres;
    deployment_bounds bounds;
    vm_limits limits;
};

} // namespace figcleat::forward
