#include "figcleat/settings/configuration.h"
#include "figcleat/settings/daemon-settings.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <map>
#include <set>
#include <spdlog/fmt/fmt.h>

using namespace figcleat;
using namespace std::chrono_literals;

namespace
{

const std::string abc = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";

const std::string valid = R"(number = 7
[[workspace]]
name = "clinics"
credential_sha256 = ["ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"]
max_requests_in_progress = 200
weight = 4
priority = 2
[[data_centre]]
name = "north"
region = "khomas"
in_service = false
[[service]]
name = "chat"
kind = "model"
models = ["fig-7b", "fig-70b"]
[service.level]
objective = 0.995
answer_within = "20s"
first_token_within = "810ms"
[[service]]
name = "desk"
kind = "plain"
[[rule]]
service = "chat"
full = { max_requests = 8, max_prompt_tokens = 8000, max_generated_tokens = 4000 }
cold = { max_requests = 2, max_prompt_tokens = 1000, max_generated_tokens = 500 }
[[rule]]
service = "desk"
full = { max_requests = 8 }
cold = { max_requests = 2 }
)";

std::vector<std::string> problemsOf(const std::string &text)
{
    std::vector<std::string> shown;
    const auto parsed = parseConfiguration(text, "test.toml");
    for (const auto &found : parsed ? std::vector<problem> {} : parsed.error()) {
        shown.push_back(fmt::format("{} {} {}", found.line, describe(found.code).name, found.key));
    }
    return shown;
}

using strings = std::vector<std::string>;

} // namespace

// Guards against a key that is read into the wrong field or ignored.
TEST_CASE("a configuration is read as a whole", "[configuration]")
{
    const auto read = parseConfiguration(valid, "test.toml");
    REQUIRE(read.has_value());
    CHECK(read->number == 7);
    REQUIRE(read->workspaces.size() == 1);
    CHECK(read->workspaces[0].credentials == std::vector<digest> { sha256("abc") });
    CHECK(read->workspaces[0].maxRequestsInProgress == 200);
    CHECK(read->workspaces[0].weight == 4);
    CHECK(read->workspaces[0].priority == 2);
    CHECK(findDataCentre(*read, { "north" })->region == "khomas");
    CHECK_FALSE(findDataCentre(*read, { "north" })->inService);
    CHECK(findDataCentre(*read, { "south" }) == nullptr);
    const auto *chat = findServiceOfModel(*read, { "fig-70b" });
    REQUIRE(chat == findService(*read, { "chat" }));
    CHECK(chat->level.objective == Approx(0.995));
    CHECK(chat->level.answerWithin == 20s);
    CHECK(chat->level.firstTokenWithin == 810ms);
    CHECK(findService(*read, { "desk" })->kind == service_kind::plain);
    CHECK(findService(*read, { "desk" })->repeatableMethods == strings { "GET", "HEAD" });
    CHECK(findServiceOfModel(*read, { "fig-1b" }) == nullptr);
    REQUIRE(read->rules.size() == 2);
    CHECK(read->rules[0].limits == target_limits { { { 8 }, { 8000 }, { 4000 } }, { { 2 }, { 1000 }, { 500 } } });
    CHECK(read->rules[1].limits.cold.requests == request_count { 2 });
}

// Guards against a file that is accepted although a part of it can never take effect.
TEST_CASE("duplicates and references to nothing are refused", "[configuration]")
{
    CHECK(problemsOf(valid + "[[workspace]]\nname = \"clinics\"\ncredential_sha256 = [\"" + abc + "\"]\n"
                     + "[[data_centre]]\nname = \"north\"\nregion = \"khomas\"\n"
                     + "[[service]]\nname = \"chat\"\nkind = \"model\"\nmodels = [\"fig-7b\"]\n"
                     + "[[rule]]\nservice = \"chat\"\nfull = { max_requests = 1 }\ncold = { max_requests = 1 }\n"
                     + "[[rule]]\nservice = \"nowhere\"\nfull = { max_requests = 1 }\ncold = { max_requests = 2 }\n")
          == strings {
              "32 configuration_invalid workspace[1].name", "33 configuration_invalid workspace[1].credential_sha256",
              "35 configuration_invalid data_centre[1].name", "38 configuration_invalid service[2].name",
              "40 configuration_invalid service[2].models", "42 configuration_invalid rule[2].service",
              "43 settings_missing_value rule[2].full.max_prompt_tokens",
              "43 settings_missing_value rule[2].full.max_generated_tokens",
              "44 settings_missing_value rule[2].cold.max_prompt_tokens",
              "44 settings_missing_value rule[2].cold.max_generated_tokens", "46 configuration_invalid rule[3].service",
              "48 configuration_invalid rule[3].cold.max_requests" });
}

TEST_CASE("values out of range or of the wrong type are refused", "[configuration]")
{
    CHECK(problemsOf("number = 0\nworkspace = 3\n[[service]]\nname = \"a\"\nkind = \"other\"\nmodels = [1]\n"
                     "[[service]]\nname = \"b\"\nkind = \"plain\"\nmodels = [\"m\"]\nrepeatable_methods = [\"get\"]\n"
                     "[service.level]\nobjective = 1.0\nanswer_within = \"301s\"\n"
                     "[[service]]\nname = \"c\"\nkind = \"plain\"\n[service.level]\nobjective = nan\n"
                     "answer_within = \"1s\"\nfirst_token_within = \"2s\"\nextra = 1\n")
          == strings { "1 settings_out_of_range number", "2 settings_wrong_type workspace",
                       "5 settings_out_of_range service[0].kind", "6 settings_wrong_type service[0].models",
                       "6 settings_missing_value service[0].models", "10 configuration_invalid service[1].models",
                       "11 settings_out_of_range service[1].repeatable_methods",
                       "13 settings_out_of_range service[1].level.objective",
                       "14 settings_out_of_range service[1].level.answer_within",
                       "19 settings_out_of_range service[2].level.objective",
                       "21 configuration_invalid service[2].level.first_token_within",
                       "22 settings_unknown_key service[2].level.extra" });
}

// Guards against a credential that appears in a log because it was put where its digest belongs.
TEST_CASE("a malformed credential digest is not shown", "[configuration]")
{
    const auto read = parseConfiguration(
        "number = 1\n[[workspace]]\nname = \"a\"\ncredential_sha256 = [\"my-secret\"]\n", "test.toml");
    REQUIRE_FALSE(read.has_value());
    CHECK(toString(read.error()[0]).find("my-secret") == std::string::npos);
}

// Guards against a name that could change a terminal, a page or a path that shows it.
TEST_CASE("names have 1 to 64 safe characters", "[configuration]")
{
    const auto withName = [](const std::string &name) {
        return problemsOf("number = 1\n[[data_centre]]\nregion = \"r\"\nname = \"" + name + "\"\n");
    };
    CHECK(withName("a.b_c-9").empty());
    CHECK(withName(std::string(64, 'a')).empty());
    for (const auto &bad : { std::string(), std::string(65, 'a'), std::string("A"), std::string("a/b"),
                             std::string("\\u001b[2J"), std::string("é") }) {
        CHECK(withName(bad) == strings { "4 settings_out_of_range data_centre[0].name" });
    }
}

namespace
{

/** Settings of every process of a sample deployment. */
std::vector<daemon_settings> loadSample(const std::filesystem::path &folder)
{
    std::vector<daemon_settings> all;
    for (const auto &file : std::filesystem::directory_iterator(folder)) {
        if (file.path().extension() != ".toml" || file.path().filename() == "configuration.toml") {
            continue;
        }
        const auto read = loadDaemonSettings(file.path().string());
        INFO(file.path() << (read ? "" : ": " + toString(read.error().front())));
        REQUIRE(read.has_value());
        all.push_back(*read);
    }
    return all;
}

void checkTarget(const target_settings &target, const configuration &config)
{
    const auto *named = findService(config, target.service);
    REQUIRE(named != nullptr);
    CHECK(named->kind == (target.model.empty() ? service_kind::plain : service_kind::model));
    CHECK((target.model.empty() || findServiceOfModel(config, target.model) == named));
}

std::vector<std::string> listenersOf(const daemon_settings &process)
{
    std::vector<std::string> all { toString(process.mailbox.address) };
    if (process.entry) {
        all.push_back(toString(process.entry->callerAddress));
        all.push_back(toString(process.entry->operatorAddress));
    }
    if (process.target) {
        all.push_back(toString(process.target->engine));
    }
    return all;
}

} // namespace

// Guards against samples that no longer load, or whose processes cannot run beside each other.
TEST_CASE("the sample deployments are consistent", "[configuration]")
{
    for (const std::string name : { "tulonga", "caseta" }) {
        const auto folder = std::filesystem::path(FIGCLEAT_SOURCE_DIR) / "examples" / name;
        const auto config = loadConfiguration((folder / "configuration.toml").string());
        REQUIRE(config.has_value());
        CHECK(config->workspaces.size() == 10);
        std::map<data_centre_id, int> voters;
        std::map<service_id, int> targets;
        std::set<std::string> listeners;
        int entries = 0;
        for (const auto &process : loadSample(folder)) {
            CHECK(findDataCentre(*config, process.dataCentre) != nullptr);
            for (const auto &address : listenersOf(process)) {
                INFO(name << " " << address);
                CHECK(listeners.insert(address).second);
            }
            entries += process.entry ? 1 : 0;
            voters[process.dataCentre] += process.control ? 1 : 0;
            if (process.target) {
                checkTarget(*process.target, *config);
                ++targets[process.target->service];
            }
        }
        CHECK(entries == 8);
        CHECK(targets
              == std::map<service_id, int> { { config->services[0].name, 12 }, { config->services[1].name, 3 } });
        int sum = 0;
        for (const auto &[centre, count] : voters) {
            CHECK(count <= 2);
            sum += count;
        }
        CHECK(sum == 5);
    }
}
