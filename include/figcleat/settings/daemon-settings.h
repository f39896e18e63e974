#pragma once

#include "figcleat/core/clock.h"
#include "figcleat/core/digest.h"
#include "figcleat/core/ids.h"
#include "figcleat/settings/problem.h"
#include "figcleat/target/messages.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figcleat
{

/** IP address and port of a listener. */
struct socket_address
{
    std::string ip;
    std::uint16_t port = 0;

    bool operator==(const socket_address &) const = default;
};

/** Parses "127.0.0.1:7101" or "[::1]:7101"; nothing for a name, a missing port or port 0. */
[[nodiscard]] std::optional<socket_address> parseSocketAddress(std::string_view text);
/** The form that `parseSocketAddress` reads, with the IP address in its canonical spelling. */
[[nodiscard]] std::string toString(const socket_address &address);

struct mailbox_settings
{
    socket_address address;
    /** Mailboxes of the entries this process exchanges state with (an entry) or announces to (a target). */
    std::vector<peer_address> peers;
    /** Those of `peers` in the process's own data centre. */
    std::vector<peer_address> nearby;
};

struct entry_settings
{
    socket_address callerAddress;
    socket_address operatorAddress;
    /** SHA-256 of the operators' credential. */
    digest operatorCredential;
    std::uint32_t maxRequestsInProgress = 4096;
    /** Above the longest request deadline, so that a planned stop cuts off nothing. */
    duration drainDeadline = std::chrono::seconds(330);
};

/** Settings of an entry that is a voter besides. */
struct control_settings
{
    std::string dataFolder;
    /** Mailboxes of all voters of the first configuration, this one among them. */
    std::vector<peer_address> voters;
    /** Voters to fill from processes that ask to join; 0 if only operators change the set of addresses. */
    std::size_t automaticSeats = 0;
    /** False if this voter may only join a cluster that exists. */
    bool mayFound = true;
};

struct target_settings
{
    target_id name;
    service_id service;
    socket_address engine;
    model_id model;
    std::string modelVersion;
    std::string role;
    group_id group;
    std::uint32_t rank = 0;
    target_limits limits;
    bool engineChecksFences = false;
    duration drainDeadline = std::chrono::seconds(330);
};

/** Settings of one process; exactly one of `entry` and `target` is there, `control` only with `entry`. */
struct daemon_settings
{
    vm_id vm;
    data_centre_id dataCentre;
    std::string logLevel = "info";
    mailbox_settings mailbox;
    std::optional<entry_settings> entry;
    std::optional<control_settings> control;
    std::optional<target_settings> target;
};

/** Reads and checks a settings file; lists every problem with file, line and key. */
[[nodiscard]] checked<daemon_settings> loadDaemonSettings(const std::string &path);
[[nodiscard]] checked<daemon_settings> parseDaemonSettings(std::string_view text, const std::string &fileName);

} // namespace figcleat
