#include "figcleat/settings/daemon-settings.h"

#include "figcleat/settings/limits.h"
#include "figcleat/settings/toml-reader.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <spdlog/fmt/fmt.h>

namespace figcleat
{

namespace
{

constexpr std::size_t maxPeers = 1024;
constexpr std::size_t maxVoters = 7;
constexpr std::size_t maxTextLength = 128;
constexpr value_range<std::int64_t> requestsInProgress { 1, 4096 };
constexpr value_range<std::int64_t> ranks { 0, 4095 };
constexpr value_range<duration> drainDeadlines { std::chrono::seconds(1), std::chrono::hours(1) };
constexpr std::array<std::string_view, 5> logLevels { "debug", "info", "warn", "error", "off" };

std::optional<std::string> canonicalIp(int family, const std::string &text)
{
    std::array<unsigned char, sizeof(in6_addr)> binary {};
    std::array<char, INET6_ADDRSTRLEN> shown {};
    if (inet_pton(family, text.c_str(), binary.data()) != 1) {
        return std::nullopt;
    }
    return inet_ntop(family, binary.data(), shown.data(), shown.size());
}

std::optional<std::uint16_t> parsePort(std::string_view text)
{
    std::uint16_t port = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), port);
    if (status != std::errc {} || end != text.data() + text.size() || port == 0) {
        return std::nullopt;
    }
    return port;
}

std::optional<socket_address> checkAddress(table_reader &reader, std::string_view key, const std::string &text)
{
    auto address = parseSocketAddress(text);
    if (!address) {
        reader.report(result_code::settings_out_of_range, key,
                      fmt::format("{} is no IP address with a port from 1 to 65535", quote(text)));
    }
    return address;
}

void readAddress(table_reader &reader, std::string_view key, socket_address &out)
{
    std::string text;
    if (reader.read(key, text)) {
        out = checkAddress(reader, key, text).value_or(out);
    }
}

void readPeers(table_reader &reader, std::string_view key, std::vector<peer_address> &out, presence need)
{
    std::vector<std::string> texts;
    reader.read(key, texts, maxPeers, need);
    for (const auto &text : texts) {
        const auto address = checkAddress(reader, key, text);
        if (!address) {
            continue;
        }
        const peer_address peer { toString(*address) };
        if (std::find(out.begin(), out.end(), peer) != out.end()) {
            reader.report(result_code::configuration_invalid, key, fmt::format("{} is listed twice", peer.value));
        }
        out.push_back(peer);
    }
}

void readText(table_reader &reader, std::string_view key, std::string &out, presence need)
{
    if (reader.read(key, out, need) && (out.empty() || out.size() > maxTextLength)) {
        reader.report(result_code::settings_out_of_range, key,
                      fmt::format("{} bytes, 1 to {} are allowed", out.size(), maxTextLength));
    }
}

void readVm(table_reader &root, daemon_settings &out)
{
    if (auto reader = root.table("vm")) {
        reader->readName("name", out.vm);
        reader->readName("data_centre", out.dataCentre);
        reader->finish();
    }
}

void readLog(table_reader &root, daemon_settings &out)
{
    auto reader = root.table("log", presence::optional);
    if (!reader) {
        return;
    }
    if (reader->read("level", out.logLevel, presence::optional)
        && std::find(logLevels.begin(), logLevels.end(), out.logLevel) == logLevels.end()) {
        reader->report(result_code::settings_out_of_range, "level",
                       fmt::format("{} is none of debug, info, warn, error, off", quote(out.logLevel)));
    }
    reader->finish();
}

void readMailbox(table_reader &root, mailbox_settings &out)
{
    auto reader = root.table("mailbox");
    if (!reader) {
        return;
    }
    readAddress(*reader, "address", out.address);
    // A target without peers could announce itself to nobody.
    readPeers(*reader, "peers", out.peers, root.has("target") ? presence::required : presence::optional);
    readPeers(*reader, "nearby", out.nearby, presence::optional);
    for (const auto &near : out.nearby) {
        if (std::find(out.peers.begin(), out.peers.end(), near) == out.peers.end()) {
            reader->report(result_code::configuration_invalid, "nearby", fmt::format("{} is not in peers", near.value));
        }
    }
    const peer_address own { toString(out.address) };
    if (std::find(out.peers.begin(), out.peers.end(), own) != out.peers.end()) {
        reader->report(result_code::configuration_invalid, "peers", "the own mailbox address is listed");
    }
    reader->finish();
}

void readEntry(table_reader &reader, entry_settings &out)
{
    readAddress(reader, "caller_address", out.callerAddress);
    readAddress(reader, "operator_address", out.operatorAddress);
    if (out.callerAddress.port != 0 && out.callerAddress == out.operatorAddress) {
        reader.report(result_code::configuration_invalid, "operator_address", "it is the same as caller_address");
    }
    reader.read("operator_credential_sha256", out.operatorCredential);
    reader.readInteger("max_requests_in_progress", out.maxRequestsInProgress, requestsInProgress, presence::optional);
    reader.read("drain_deadline", out.drainDeadline, drainDeadlines, presence::optional);
    reader.finish();
}

void readControl(table_reader &reader, const socket_address &own, control_settings &out)
{
    if (reader.read("data_folder", out.dataFolder) && out.dataFolder.empty()) {
        reader.report(result_code::settings_out_of_range, "data_folder", "the path is empty");
    }
    readPeers(reader, "voters", out.voters, presence::required);
    reader.finish();
    if (!reader.has("voters")) {
        return;
    }
    if (out.voters.size() > maxVoters || out.voters.size() % 2 == 0) {
        reader.report(result_code::settings_out_of_range, "voters",
                      fmt::format("{} voters, an odd number of at most {} is required", out.voters.size(), maxVoters));
    }
    if (std::find(out.voters.begin(), out.voters.end(), peer_address { toString(own) }) == out.voters.end()) {
        reader.report(result_code::configuration_invalid, "voters", "the own mailbox address is not listed");
    }
}

void readTarget(table_reader &reader, target_settings &out)
{
    reader.readName("name", out.name);
    reader.readName("service", out.service);
    readAddress(reader, "engine", out.engine);
    reader.readName("model", out.model, presence::optional);
    readText(reader, "version", out.modelVersion, presence::optional);
    reader.readName("role", out.role, presence::optional);
    reader.readName("group", out.group, presence::optional);
    reader.readInteger("rank", out.rank, ranks, presence::optional);
    reader.read("engine_checks_fences", out.engineChecksFences, presence::optional);
    reader.read("drain_deadline", out.drainDeadline, drainDeadlines, presence::optional);
    // Only a target of a plain service has no model, and only its work has no tokens.
    out.limits = readLimits(reader, reader.has("model") ? presence::required : presence::optional);
    reader.finish();
}

void readRoles(table_reader &root, daemon_settings &out)
{
    if (auto reader = root.table("entry", presence::optional)) {
        readEntry(*reader, out.entry.emplace());
    }
    if (auto reader = root.table("control", presence::optional)) {
        readControl(*reader, out.mailbox.address, out.control.emplace());
    }
    if (auto reader = root.table("target", presence::optional)) {
        readTarget(*reader, out.target.emplace());
    }
    if (!root.has("entry") && !root.has("target")) {
        root.report(result_code::settings_missing_value, "", "one of the tables entry and target is required");
    }
    if (root.has("entry") && root.has("target")) {
        root.report(result_code::configuration_invalid, "target", "a process is either an entry or a target");
    }
    if (root.has("control") && !root.has("entry")) {
        root.report(result_code::configuration_invalid, "control", "only an entry can be a voter");
    }
}

} // namespace

std::optional<socket_address> parseSocketAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    const auto port = parsePort(text.substr(colon + 1));
    std::string_view host = text.substr(0, colon);
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed) {
        host = host.substr(1, host.size() - 2);
    }
    auto ip = canonicalIp(bracketed ? AF_INET6 : AF_INET, std::string(host));
    if (!ip || !port) {
        return std::nullopt;
    }
    return socket_address { std::move(*ip), *port };
}

std::string toString(const socket_address &address)
{
    const bool bracketed = address.ip.find(':') != std::string::npos;
    return (bracketed ? "[" + address.ip + "]:" : address.ip + ":") + std::to_string(address.port);
}

checked<daemon_settings> parseDaemonSettings(std::string_view text, const std::string &fileName)
{
    const auto parsed = parseToml(text, fileName);
    if (!parsed) {
        return tl::unexpected(parsed.error());
    }
    problem_list problems(fileName);
    table_reader root(*parsed, "", problems);
    daemon_settings settings;
    readVm(root, settings);
    readLog(root, settings);
    readMailbox(root, settings.mailbox);
    readRoles(root, settings);
    root.finish();
    if (!problems.empty()) {
        return tl::unexpected(problems.take());
    }
    return settings;
}

checked<daemon_settings> loadDaemonSettings(const std::string &path)
{
    return readSettingsFile(path).and_then([&](const std::string &text) { return parseDaemonSettings(text, path); });
}

} // namespace figcleat
