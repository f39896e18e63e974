#include "figcleat/settings/daemon-settings.h"
#include "figcleat/settings/toml-reader.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <spdlog/fmt/fmt.h>
#include <unistd.h>

using namespace figcleat;
using namespace std::chrono_literals;

namespace
{

const std::string common = R"([vm]
name = "entry-1"
data_centre = "north"
[mailbox]
address = "127.0.0.1:7101"
peers = ["127.0.0.1:7102", "127.0.0.1:7103"]
)";

const std::string entry = R"([entry]
caller_address = "127.0.0.1:7301"
operator_address = "127.0.0.1:7401"
operator_credential_sha256 = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"
)";

const std::string limits = R"([target.full]
max_requests = 8
max_prompt_tokens = 8000
max_generated_tokens = 4000
[target.cold]
max_requests = 2
max_prompt_tokens = 1000
max_generated_tokens = 500
)";

const std::string target = R"([target]
name = "target-1"
service = "chat"
engine = "127.0.0.1:7501"
model = "fig-7b"
)";

/** Problems as "line code key", so that a failing check shows everything that was found. */
std::vector<std::string> problemsOf(const std::string &text)
{
    std::vector<std::string> shown;
    const auto parsed = parseDaemonSettings(text, "test.toml");
    for (const auto &found : parsed ? std::vector<problem> {} : parsed.error()) {
        shown.push_back(fmt::format("{} {} {}", found.line, describe(found.code).name, found.key));
    }
    return shown;
}

using strings = std::vector<std::string>;

} // namespace

// Guards against a key that is read into the wrong field or ignored.
TEST_CASE("an entry's settings are read", "[settings]")
{
    const auto read = parseDaemonSettings(common + "[log]\nlevel = \"debug\"\n" + entry
                                              + "max_requests_in_progress = 100\ndrain_deadline = \"5m\"\n"
                                              + "[control]\ndata_folder = \"/data\"\nvoters = [\"127.0.0.1:7101\"]\n",
                                          "test.toml");
    REQUIRE(read.has_value());
    CHECK(read->vm.value == "entry-1");
    CHECK(read->dataCentre.value == "north");
    CHECK(read->logLevel == "debug");
    CHECK(read->mailbox.address == socket_address { "127.0.0.1", 7101 });
    CHECK(read->mailbox.peers == std::vector<peer_address> { { "127.0.0.1:7102" }, { "127.0.0.1:7103" } });
    REQUIRE(read->entry.has_value());
    CHECK(read->entry->callerAddress.port == 7301);
    CHECK(read->entry->operatorAddress.port == 7401);
    CHECK(read->entry->operatorCredential == sha256("abc"));
    CHECK(read->entry->maxRequestsInProgress == 100);
    CHECK(read->entry->drainDeadline == 5min);
    REQUIRE(read->control.has_value());
    CHECK(read->control->dataFolder == "/data");
    CHECK(read->control->voters == std::vector<peer_address> { { "127.0.0.1:7101" } });
    CHECK_FALSE(read->target.has_value());
}

TEST_CASE("a target's settings are read", "[settings]")
{
    const auto read = parseDaemonSettings(common + target
                                              + "version = \"2\"\nrole = \"decode\"\ngroup = \"g1\"\nrank = 3\n"
                                                "engine_checks_fences = true\ndrain_deadline = \"1s\"\n"
                                              + limits,
                                          "test.toml");
    REQUIRE(read.has_value());
    REQUIRE(read->target.has_value());
    CHECK(read->target->name.value == "target-1");
    CHECK(read->target->service.value == "chat");
    CHECK(read->target->engine == socket_address { "127.0.0.1", 7501 });
    CHECK(read->target->model.value == "fig-7b");
    CHECK(read->target->modelVersion == "2");
    CHECK(read->target->role == "decode");
    CHECK(read->target->group.value == "g1");
    CHECK(read->target->rank == 3);
    CHECK(read->target->engineChecksFences);
    CHECK(read->target->drainDeadline == 1s);
    CHECK(read->target->limits == target_limits { { { 8 }, { 8000 }, { 4000 } }, { { 2 }, { 1000 }, { 500 } } });
    CHECK_FALSE(read->entry.has_value());
}

TEST_CASE("a problem is shown with file, line, key and code", "[settings]")
{
    const auto read = parseDaemonSettings(common + target + "drain_deadline = \"810ms\"\n" + limits, "test.toml");
    REQUIRE_FALSE(read.has_value());
    REQUIRE(read.error().size() == 1);
    CHECK(toString(read.error()[0])
          == "test.toml:12: target.drain_deadline: \"810ms\" is not from 1s to 1h (506 settings_out_of_range)");
}

// Guards against stopping at the first problem, which makes operators repair a file one error at a time.
TEST_CASE("every problem of a file is listed with its line and key", "[settings]")
{
    CHECK(problemsOf("[vm]\nname = \"Entry 1\"\n[log]\nlevel = 3\ncolour = true\n"
                     "[mailbox]\naddress = \"localhost:7101\"\n"
                     "[entry]\ncaller_address = \"127.0.0.1:0\"\noperator_address = \"127.0.0.1:70000\"\n"
                     "operator_credential_sha256 = \"secret\"\nmax_requests_in_progress = 4097\n"
                     "drain_deadline = 30\n[extra]\n")
          == strings { "1 settings_missing_value vm.data_centre", "2 settings_out_of_range vm.name",
                       "4 settings_wrong_type log.level", "5 settings_unknown_key log.colour",
                       "7 settings_out_of_range mailbox.address", "9 settings_out_of_range entry.caller_address",
                       "10 settings_out_of_range entry.operator_address",
                       "11 settings_out_of_range entry.operator_credential_sha256",
                       "12 settings_out_of_range entry.max_requests_in_progress",
                       "13 settings_bad_unit entry.drain_deadline", "14 settings_unknown_key extra" });
}

TEST_CASE("a duration needs a whole number and a known unit", "[settings]")
{
    const auto withDeadline
        = [](const std::string &value) { return problemsOf(common + entry + "drain_deadline = " + value + "\n"); };
    CHECK(withDeadline("\"30s\"").empty());
    CHECK(withDeadline("\"1h\"").empty());
    for (const auto *bad : { "\"30\"", "\"s\"", "\"1.5s\"", "\"-3s\"", "\"3 s\"", "\"3d\"", "30", "3.0" }) {
        CHECK(withDeadline(bad) == strings { "11 settings_bad_unit entry.drain_deadline" });
    }
    // The last two overflow 64 bits before and after the unit is applied.
    for (const auto *bad : { "\"0s\"", "\"2h\"", "\"99999999999999999999s\"", "\"9999999999999h\"" }) {
        CHECK(withDeadline(bad) == strings { "11 settings_out_of_range entry.drain_deadline" });
    }
}

// Guards against a process that starts with no role or with two.
TEST_CASE("a process has exactly one role", "[settings]")
{
    CHECK(problemsOf(common) == strings { "1 settings_missing_value " });
    CHECK(problemsOf(common + entry + target + limits) == strings { "11 configuration_invalid target" });
    CHECK(problemsOf(common + target + limits + "[control]\ndata_folder = \"/d\"\nvoters = [\"127.0.0.1:7101\"]\n")
          == strings { "20 configuration_invalid control" });
}

// Guards against voter lists that cannot form a quorum safely.
TEST_CASE("voters are odd in number, at most 7, distinct, and include the process", "[settings]")
{
    const auto withVoters = [](int first, int count) {
        std::string list;
        for (int i = 0; i < count; ++i) {
            list += fmt::format("\"127.0.0.1:{}\", ", first + i);
        }
        return problemsOf(common + entry + "[control]\ndata_folder = \"/d\"\nvoters = [" + list + "]\n");
    };
    CHECK(withVoters(7101, 5).empty());
    CHECK(withVoters(7101, 7).empty());
    CHECK(withVoters(7101, 4) == strings { "13 settings_out_of_range control.voters" });
    CHECK(withVoters(7101, 9) == strings { "13 settings_out_of_range control.voters" });
    CHECK(withVoters(7102, 3) == strings { "13 configuration_invalid control.voters" });
    CHECK(problemsOf(common + entry
                     + "[control]\ndata_folder = \"/d\"\n"
                       "voters = [\"127.0.0.1:7101\", \"127.0.0.1:7102\", \"127.0.0.1:7102\"]\n")
          == strings { "13 configuration_invalid control.voters" });
}

TEST_CASE("a cold limit above the full limit is refused", "[settings]")
{
    auto text = common + target + limits;
    text.replace(text.find("max_requests = 2"), 16, "max_requests = 9");
    CHECK(problemsOf(text) == strings { "17 configuration_invalid target.cold.max_requests" });
}

// Guards against a process that cannot bind its listeners, or that dials itself.
TEST_CASE("listeners are distinct and a process is not its own peer", "[settings]")
{
    auto text = common + entry;
    text.replace(text.find("7401"), 4, "7301");
    CHECK(problemsOf(text) == strings { "9 configuration_invalid entry.operator_address" });
    text = common + entry;
    text.replace(text.find("7103"), 4, "7101");
    CHECK(problemsOf(text) == strings { "6 configuration_invalid mailbox.peers" });
    text.replace(text.rfind("7101"), 4, "7102");
    CHECK(problemsOf(text) == strings { "6 configuration_invalid mailbox.peers" });
    text = common + target + limits;
    text.erase(text.find("peers"), text.find("[target]") - text.find("peers"));
    CHECK(problemsOf(text) == strings { "4 settings_missing_value mailbox.peers" });
}

// Guards against a file or a list that takes memory without bound.
TEST_CASE("files and lists have a largest size", "[settings]")
{
    std::string peers;
    for (int i = 0; i <= 1024; ++i) {
        peers += fmt::format("\"10.0.{}.{}:7101\", ", i / 256, i % 256);
    }
    auto text = common + entry;
    text.replace(text.find("\"127.0.0.1:7102\""), 16, peers + "\"127.0.0.1:7102\"");
    CHECK(problemsOf(text) == strings { "6 settings_out_of_range mailbox.peers" });

    const std::string path = fmt::format("{}/settings-test-{}.toml", P_tmpdir, getpid());
    std::ofstream(path) << common << entry << std::string(maxSettingsBytes, '#');
    const auto read = loadDaemonSettings(path);
    std::remove(path.c_str());
    REQUIRE_FALSE(read.has_value());
    CHECK(read.error().front().code == result_code::settings_out_of_range);
}

TEST_CASE("a syntax error and an unreadable file have their own codes", "[settings]")
{
    CHECK(problemsOf("[vm]\nname = \n") == strings { "2 settings_syntax " });
    for (const std::string path : { "/does/not/exist.toml", "/tmp" }) {
        const auto read = loadDaemonSettings(path);
        REQUIRE_FALSE(read.has_value());
        CHECK(read.error().front().code == result_code::settings_unreadable);
    }
}

TEST_CASE("a socket address is an IP address and a port", "[settings]")
{
    CHECK(toString(parseSocketAddress("[0:0::1]:80").value()) == "[::1]:80");
    CHECK(toString(parseSocketAddress("10.0.0.1:65535").value()) == "10.0.0.1:65535");
    for (const auto *bad : { "", ":80", "10.0.0.1", "10.0.0.1:", "10.0.0.1:+8", "::1:80", "[10.0.0.1]:80", "[]:80" }) {
        CHECK_FALSE(parseSocketAddress(bad).has_value());
    }
}
