#include "platform/platform-dialect.h"
#include "platform/settings.h"

#include "processor-time.h"

#include <catch2/catch.hpp>

using namespace figcleat;
using namespace figcleat::platform;
using namespace std::chrono_literals;

namespace
{

const platform_dialect language;

http_request makeCall(std::string method, std::string path, std::string body = {})
{
    return { std::move(method), std::move(path), {}, std::move(body) };
}

const std::string beat = R"({"service":"svc","addr":"10.0.0.9:8080","zone":"north","version":"v1","slots":12,)"
                         R"("state":"ready","cold-left-ms":250.5,"seq":4,"born":17})";

const std::string settingsText = R"(
node = "edge-1"
ip = "10.1.0.40"
zone = "north"
internal-ports = [7340,7355]
seeds = ["10.1.0.43:8229","10.2.0.32:8229"]
bootstrap = true
data-dir = "/data/core"
app = "10.1.0.44:8228"
service = "svc"
[zones]
north = "region"
[listen]
front = "10.1.0.40:8227"
ready = "10.1.0.40:8220"
control = "10.1.0.40:8229"
[fault-tolerance]
machines = 2
[bounds]
grace-s = 8
retry-budget-ratio = 0.2
retry-budget-slack = 92
retry-window-s = 10
)";

} // namespace

TEST_CASE("a request is decoded and passed on with what the target needs", "[platform]")
{
    http_request request = makeCall("POST", "/a/b?x=1", "body");
    request.headers = { { "Host", "desk.example" },
                        { "X-Figcleat-Attempt-Id", "id-1" },
                        { "X-Figcleat-Deadline-Ms", "8000" },
                        { "X-Figcleat-Token-Count", "1460,80" },
                        { "X-Figcleat-Tenant", "forged" },
                        { "Authorization", "Bearer secret" },
                        { "X-Other", "kept" } };
    forward::outgoing_call call;
    const auto decoded = language.decodeRequest(request);
    CHECK(decoded.key == "secret");
    CHECK(decoded.deadline == 8000ms);
    CHECK(decoded.promptTokens == 1460);
    call.request = std::make_shared<const forward::caller_request>(decoded);
    call.target = { "i-1" };
    call.workspace = { "clinics" };
    call.timeLeft = 1200ms;
    call.lastEventId = "7";
    call.priority = 12;
    const auto sent = language.encodeCall(call);
    CHECK(sent.path == "/a/b?x=1");
    CHECK(findHeader(sent.headers, "X-Figcleat-Attempt-Id") == "id-1");
    CHECK(findHeader(sent.headers, "X-Figcleat-Deadline-Ms") == "1200");
    CHECK(findHeader(sent.headers, "X-Figcleat-Expect-Instance") == "i-1");
    CHECK(findHeader(sent.headers, "X-Figcleat-Tenant") == "clinics");
    CHECK(findHeader(sent.headers, "Last-Event-Id") == "7");
    CHECK(findHeader(sent.headers, "X-Figcleat-Request-Priority") == "9");
    CHECK(findHeader(sent.headers, "X-Other") == "kept");
    CHECK(findHeader(sent.headers, "Authorization").empty());
}

TEST_CASE("the scheme of a key is read in any case", "[platform]")
{
    // Guards against 401 to callers whose client sends the scheme as HTTP allows.
    for (const auto *header : { "Bearer secret", "bearer secret", "BEARER secret" }) {
        http_request request = makeCall("GET", "/a");
        request.headers = { { "Host", "desk.example" }, { "Authorization", header } };
        CHECK(language.decodeRequest(request).key == "secret");
    }
    http_request request = makeCall("GET", "/a");
    request.headers = { { "Authorization", "Basic secret" } };
    CHECK_FALSE(language.decodeRequest(request).key);
}

TEST_CASE("headers that concern the caller's connection are not passed on to the target", "[platform]")
{
    http_request request = makeCall("GET", "/a");
    request.headers = { { "Host", "desk.example" },
                        { "connection", "keep-alive, x-hop" },
                        { "Connection", "X-Second ,X-Figcleat-Model" },
                        { "X-Hop", "1" },
                        { "X-Second", "2" },
                        { "X-Second", "3" },
                        { "Keep-Alive", "timeout=5" },
                        { "X-Figcleat-Model", "m" },
                        { "X-Other", "kept" } };
    const http_headers passedOn { { "X-Figcleat-Model", "m" }, { "X-Other", "kept" } };
    CHECK(language.decodeRequest(request).headers == passedOn);
}

TEST_CASE("the time for a head grows with its bytes", "[platform]")
{
    // Guards against clients whose Connection headers list thousands of names and keep a front from answering others.
    constexpr std::size_t fields = 150;
    constexpr std::size_t factor = 16;
    constexpr double mostGrowth = 4.0 * factor;
    const platform_dialect dialect;
    const auto decode = [&dialect](std::size_t count) {
        http_request request;
        std::string list;
        for (std::size_t i = 0; i < 2 * count; ++i) {
            list += "a" + std::to_string(i) + ",";
        }
        request.headers = { { "Connection", list } };
        for (std::size_t i = 0; i < count; ++i) {
            request.headers.emplace_back("b" + std::to_string(i), "");
        }
        const auto decoded = dialect.decodeRequest(std::move(request));
        REQUIRE(decoded.headers.size() == count);
    };
    CHECK(processor_time::growth(decode, fields, factor) < mostGrowth);
}

TEST_CASE("headers that concern the target's connection are not passed on to the caller", "[platform]")
{
    const http_headers sealed { { "X-Figcleat-Server-Seal", "s" }, { "X-Other", "kept" } };
    http_headers received = sealed;
    for (const auto *name : { "Keep-Alive", "Proxy-Connection", "Trailer", "Upgrade", "keep-alive" }) {
        received.emplace_back(name, "timeout=300");
    }
    CHECK(language.decodeHead({}, 200, received).headers == sealed);
}

TEST_CASE("bytes that are not the target's answer are told from it", "[platform]")
{
    forward::caller_request request;
    request.id = { "id-1" };
    const http_headers sealed { { "X-Figcleat-Attempt-Id", "id-1" }, { "X-Figcleat-Server-Seal", "s" } };
    CHECK_FALSE(language.decodeHead(request, 200, sealed).isCorrupt);
    CHECK(language.decodeHead(request, 200, { { "X-Figcleat-Attempt-Id", "id-1" } }).isCorrupt);
    CHECK(language.decodeHead(request, 200, { { "X-Figcleat-Attempt-Id", "id-2" }, sealed[1] }).isCorrupt);
    CHECK(language.decodeHead(request, 200, { sealed[0], sealed[1], { "Content-Encoding", "gzip" } }).isCorrupt);
    CHECK(language.decodeHead(request, 503, { sealed[0], { "X-Figcleat-Not-Executed", "1" } }).notRun);
    CHECK(language.decodeHead(request, 421, { sealed[0] }).notRun);
    CHECK_FALSE(language.decodeHead(request, 504, sealed).notRun);
}

TEST_CASE("a target is believed that it did not run a request only where its answer can say so", "[platform]")
{
    // Guards against a booking that is sent to a second target after the first one ran it.
    forward::caller_request request;
    request.id = { "id-1" };
    const std::pair<std::string, std::string> notRun { "X-Figcleat-Not-Executed", "1" };
    for (const int status : { 400, 421, 429, 503 }) {
        INFO(status);
        CHECK(language.decodeHead(request, status, { notRun, { "X-Figcleat-Attempt-Id", "id-1" } }).notRun);
        // An earlier refusal that was written once more need not name any request.
        const auto unnamed = language.decodeHead(request, status, { notRun });
        CHECK_FALSE(unnamed.notRun);
        CHECK(unnamed.isCorrupt);
        const auto another = language.decodeHead(request, status, { notRun, { "X-Figcleat-Attempt-Id", "id-2" } });
        CHECK_FALSE(another.notRun);
        CHECK(another.isCorrupt);
    }
    for (const int status : { 200, 202, 404, 500, 502, 504 }) {
        INFO(status);
        CHECK_FALSE(language.decodeHead(request, status, { notRun, { "X-Figcleat-Attempt-Id", "id-1" } }).notRun);
    }
}

TEST_CASE("only a request that did not run gets a status that says so", "[platform]")
{
    CHECK(language.encodeRefusal({ result_code::target_lost, true, std::nullopt }).status == 502);
    CHECK(language.encodeRefusal({ result_code::deadline_exceeded, true, std::nullopt }).status == 504);
    const auto refused = language.encodeRefusal({ result_code::target_at_limit, false, 1500ms });
    CHECK(refused.status == 503);
    CHECK(findHeader(refused.headers, "Retry-After") == "1.500");
}

TEST_CASE("a heartbeat names a target only if it is whole", "[platform]")
{
    const auto call = language.decodeCall(makeCall("PUT", "/-/instances/i-1", beat));
    REQUIRE(call);
    const auto &what = std::get<forward::register_target>(*call).what;
    CHECK(what.target.value == "i-1");
    CHECK(what.order == forward::registration_order { 17, 4 });
    CHECK(what.coldLeftMs == 250);
    for (const auto *broken : { "", "[]", R"({"service":"svc"})", "\xff\xfe" }) {
        CHECK_FALSE(language.decodeCall(makeCall("PUT", "/-/instances/i-1", broken)));
    }
    auto unknownState = beat;
    unknownState.replace(unknownState.find("ready"), 5, "maybe");
    CHECK_FALSE(language.decodeCall(makeCall("PUT", "/-/instances/i-1", unknownState)));
    CHECK_FALSE(language.decodeCall(makeCall("PUT", "/-/instanceos/i-1", beat)));
    auto noAddress = beat;
    noAddress.replace(noAddress.find("10.0.0.9:8080"), 13, "nowhere");
    CHECK_FALSE(language.decodeCall(makeCall("PUT", "/-/instances/i-1", noAddress)));
}

TEST_CASE("a heartbeat with a number out of range or with deep nesting is refused", "[platform]")
{
    // Guards against one odd entry that gives a target endless room, outdates its later heartbeats, keeps it cold for
    // good, or takes the memory of a coordinator.
    const auto decode = [](const std::string &from, const std::string &to) {
        auto body = beat;
        const auto at = body.find(from);
        REQUIRE(at != std::string::npos);
        body.replace(at, from.size(), to);
        return language.decodeCall(makeCall("PUT", "/-/instances/i-1", body));
    };
    for (const auto *slots : { "4294967297", "-1", "1.5", "1e300", "\"12\"", "18446744073709551616", "0" }) {
        INFO("slots " << slots);
        CHECK_FALSE(decode("\"slots\":12", std::string("\"slots\":") + slots));
    }
    for (const auto *sequence : { "18446744073709551615", "18446744073709551616", "-4", "4.5", "1e300", "null" }) {
        INFO("sequence " << sequence);
        CHECK_FALSE(decode("\"seq\":4", std::string("\"seq\":") + sequence));
    }
    for (const auto *born : { "18446744073709551615", "-17", "17.5", "1e300", "[]" }) {
        INFO("born " << born);
        CHECK_FALSE(decode("\"born\":17", std::string("\"born\":") + born));
        CHECK_FALSE(
            language.decodeCall(makeCall("DELETE", "/-/instances/i-1", std::string(R"({"born":)") + born + "}")));
    }
    for (const auto *cold : { "1e300", "-1", "1e12", "\"soon\"" }) {
        INFO("cold " << cold);
        CHECK_FALSE(decode("\"cold-left-ms\":250.5", std::string("\"cold-left-ms\":") + cold));
    }
    for (const auto *address : { "10.0.0.9:65536", "10.0.0.9:0", "10.0.0.9:-1", "10.0.0.9:99999999999999999999" }) {
        INFO("address " << address);
        CHECK_FALSE(decode("10.0.0.9:8080", address));
    }
    constexpr std::size_t deep = 1'000'000;
    CHECK_FALSE(decode("\"version\":\"v1\"", "\"version\":" + std::string(deep, '[') + std::string(deep, ']')));
    CHECK_FALSE(decode("\"version\":\"v1\"", "\"version\":" + std::string(deep, '[')));
    // Brackets within a text are no nesting.
    CHECK(decode("\"version\":\"v1\"", "\"version\":\"\\\"" + std::string(100, '[') + "\""));
}

TEST_CASE("a status of an engine with numbers out of range is refused", "[platform]")
{
    // Guards against the report of another rank, or of a group without end.
    const auto decode = [](const std::string &rank, const std::string &size) {
        group::engine_rank_status status;
        return language
            .decodeStatus(R"({"group":{"name":"g","epoch":1,"rank":)" + rank + R"(,"state":"open"},"size":)" + size
                              + R"(,"seq":0})",
                          status)
            .has_value();
    };
    CHECK(decode("3", "12"));
    CHECK_FALSE(decode("4294967299", "12"));
    CHECK_FALSE(decode("3", "4294967308"));
    CHECK_FALSE(decode("-1", "12"));
}

TEST_CASE("a configuration that is cut short is refused", "[platform]")
{
    const std::string whole
        = R"({"version":7,"routes":[{"name":"r","host":"h","path-prefix":"/a/","type":"safe","timeout-ms":100,)"
          R"("service":"svc","attempts":2}],"services":[{"name":"svc","max-conns":5}],)"
          R"("tenants":[{"name":"t","api-keys":["k"],"priority":1}]})";
    const auto routes = language.decodeRoutes(whole);
    REQUIRE(routes);
    CHECK(forward::check(*routes));
    CHECK(routes->routes.front().kind == forward::route_kind::safe);
    for (std::size_t length = 0; length < whole.size(); ++length) {
        CHECK_FALSE(language.decodeRoutes(whole.substr(0, length)));
    }
}

TEST_CASE("the settings of each role are read and checked", "[platform]")
{
    const auto front = parseSettings(settingsText, forward::node_role::front);
    REQUIRE(front);
    CHECK(front->listen.port == 8227);
    CHECK(front->seeds.front().value == "10.1.0.43:7340");
    CHECK(front->coordinatorPort == 8229);
    CHECK(front->bounds.grace == 8s);
    CHECK(front->bounds.toleratedLosses == 2);
    CHECK(parseSettings(settingsText, forward::node_role::coordinator)->dataFolder == "/data/core/log");
    CHECK(parseSettings(settingsText, forward::node_role::agent)->engine->port == 8228);
    const auto broken = parseSettings("node = 3\nseeds = [\"x\"]", forward::node_role::front);
    REQUIRE_FALSE(broken);
    for (const auto *field : { "node", "ip", "zone", "internal-ports", "seeds", "listen.front" }) {
        CHECK(broken.error().detail.find(field) != std::string::npos);
    }
}

TEST_CASE("every numeric setting may be a fraction", "[platform]")
{
    // Guards against a process that does not start because a bound of its deployment is no whole number.
    for (const std::string field :
         { "machines", "grace-s", "retry-budget-ratio", "retry-budget-slack", "retry-window-s" }) {
        INFO(field);
        const auto begin = settingsText.find(field + " = ");
        REQUIRE(begin != std::string::npos);
        const auto end = settingsText.find('\n', begin);
        for (const std::string value : { "3.7", "3", "3.0" }) {
            auto text = settingsText;
            text.replace(begin, end - begin, field + " = " + value);
            CHECK(parseSettings(text, forward::node_role::front));
        }
        for (const std::string value : { "\"3\"", "nan", "-1", "1e30" }) {
            auto text = settingsText;
            text.replace(begin, end - begin, field + " = " + value);
            CHECK_FALSE(parseSettings(text, forward::node_role::front));
        }
    }
    auto ports = settingsText;
    ports.replace(ports.find("[7340,"), 6, "[7340.0,");
    CHECK(parseSettings(ports, forward::node_role::front)->mailboxPort == 7340);
    ports.replace(ports.find("[7340.0,"), 8, "[70000,");
    CHECK_FALSE(parseSettings(ports, forward::node_role::front));
}

TEST_CASE("the state of a rank is read from its engine", "[platform]")
{
    group::engine_rank_status status;
    const std::string body = R"({"group":{"name":"g0","epoch":2,"rank":3,"state":"open"},"size":12,"seq":5,"pace":1.5,)"
                             R"("step":46,"map":7,"prepared":8,"armed":{"version":8,"step":47},"held":48})";
    REQUIRE(language.decodeStatus(body, status));
    CHECK(status.rank == 3);
    CHECK(status.orders == 5);
    CHECK(status.armed.value == 8);
    CHECK(status.armedStep.value == 47);
    CHECK(status.held.value == 48);
    REQUIRE(language.decodeExpertChoices(R"({"counts":[1,2,3,4,5,6]})", 3, status));
    CHECK(status.chosen == group::expert_lists { { 1, 2 }, { 3, 4 }, { 5, 6 } });
    CHECK_FALSE(language.decodeStatus(R"({"phase":"mixed"})", status));
}

TEST_CASE("a target says that it leaves only in an answer to the request", "[platform][leaving]")
{
    // Guards against requests to a target that leaves, and against a sound one that is taken out by an answer that
    // belongs to another request or comes from another target at its address.
    forward::caller_request request;
    request.id = { "id-1" };
    const std::vector<forward::target_notice> leaving { forward::leaving_notice {} };
    const std::pair<std::string, std::string> echo { "X-Figcleat-Attempt-Id", "id-1" };
    const auto notices = [&](int status, const http_headers &headers) {
        return language.decodeHead(request, status, headers).notices;
    };
    for (const int status : { 200, 302, 400, 404, 429, 500, 503, 504 }) {
        INFO(status);
        CHECK(notices(status, { echo, { "Server-Leaving", "1" } }) == leaving);
        CHECK(notices(status, { { "Server-Leaving", "1" } }).empty());
        CHECK(notices(status, { { "X-Figcleat-Attempt-Id", "id-2" }, { "Server-Leaving", "1" } }).empty());
    }
    CHECK(notices(421, { echo, { "Server-Leaving", "1" } }).empty());
    for (const auto *name : { "server-leaving", "SERVER-LEAVING" }) {
        CHECK(notices(200, { echo, { name, "1" } }) == leaving);
    }
    for (const auto *value : { " 1", "1\t", "0, 1" }) {
        CHECK(notices(200, { echo, { "Server-Leaving", value } }) == leaving);
    }
    for (const auto *value : { "", "0", "11", "-1", "yes" }) {
        CHECK(notices(200, { echo, { "Server-Leaving", value } }).empty());
    }
    CHECK(notices(200, { echo, { "Server-Leaving", "0" }, { "Server-Leaving", "1" } }) == leaving);
    CHECK(notices(200, { echo, { "Server-Leaving", "1" }, { "Server-Leaving", "0" } }) == leaving);
    // A request without an id cannot be named.
    CHECK(language.decodeHead({}, 200, { { "Server-Leaving", "1" } }).notices.empty());
}

TEST_CASE("the caller is told as well that a target leaves", "[platform][leaving]")
{
    const std::pair<std::string, std::string> header { "Server-Leaving", "1" };
    CHECK(language.decodeHead({}, 200, { header }).headers == http_headers { header });
}

TEST_CASE("a target asks for rest only in a refusal with a time that is one", "[platform][rest]")
{
    // Guards against a target that is left alone for ever, or not at all, by a value that was misread.
    forward::caller_request request;
    request.id = { "id-1" };
    const std::pair<std::string, std::string> echo { "X-Figcleat-Attempt-Id", "id-1" };
    const auto rest = [&](int status, const http_headers &headers) -> std::optional<duration> {
        const auto notices = language.decodeHead(request, status, headers).notices;
        return notices.empty() ? std::nullopt : std::optional(std::get<forward::backoff_notice>(notices.front()).left);
    };
    const auto restOf = [&](const std::string &value) { return rest(503, { echo, { "Retry-After", value } }); };
    CHECK(restOf("2") == 2s);
    CHECK(restOf("1.5") == 1500ms);
    CHECK(restOf(" 2\t") == 2s);
    CHECK(restOf("007") == 7s);
    CHECK(restOf("0.0001") == 1ms);
    CHECK(restOf("60") == 60s);
    for (const auto *huge : { "61", "3600", "999999999", "1000000000", "99999999999999999999999999999999" }) {
        INFO(huge);
        CHECK(restOf(huge) == 60s);
    }
    CHECK(restOf(std::string(400, '9') + ".5") == 60s);
    for (const auto *ignored : { "",     " ",   "0",   "0.0",   "-1",   "+1",   "-0.5",
                                 "soon", "2 s", "1e3", "1e400", "0x10", "inf",  "nan",
                                 ".",    "1.",  ".5",  "1.2.3", "1,5",  "2, 3", "Fri, 07 Nov 2025 23:59:59 GMT" }) {
        INFO("'" << ignored << "'");
        CHECK_FALSE(restOf(ignored).has_value());
    }
    CHECK(rest(503, { echo, { "X-Figcleat-Not-Executed", "1" }, { "RETRY-AFTER", "2" } }) == 2s);
    CHECK(rest(503, { echo, { "Retry-After", "2" }, { "retry-after", "3" } }) == 3s);
    CHECK(rest(503, { echo, { "Retry-After", "3" }, { "Retry-After", "soon" } }) == 3s);
    CHECK_FALSE(rest(503, { { "Retry-After", "2" } }).has_value());
    CHECK_FALSE(rest(503, { { "X-Figcleat-Attempt-Id", "id-2" }, { "Retry-After", "2" } }).has_value());
    for (const int status : { 200, 301, 421, 429, 500 }) {
        INFO(status);
        CHECK_FALSE(rest(status, { echo, { "Retry-After", "2" } }).has_value());
    }
}

TEST_CASE("the shared parts of a prompt are all but the last, and odd entries are skipped", "[platform]")
{
    const auto parse = [](std::string value) {
        auto request = makeCall("POST", "/a/");
        request.headers = { { "X-Figcleat-Prefix-Hash", std::move(value) } };
        std::vector<std::string> ids;
        for (const auto &part : language.decodeRequest(request).sharedParts) {
            ids.push_back(part.value);
        }
        return ids;
    };
    using list = std::vector<std::string>;
    CHECK(parse("5c1e07a2:800,91bd3f06:410,e4402b7d:250") == list { "5c1e07a2", "91bd3f06" });
    CHECK(parse("e4402b7d:250").empty());
    CHECK(parse("").empty());
    CHECK(parse("5c1e07a2,:410,91bd3f06:410,e4402b7d:250") == list { "91bd3f06" });
    CHECK(parse(std::string(65, 'a') + ":1,b:1,c:1") == list { "b" });
    CHECK(parse("not hex:1,b\n:1,c:1,d:1") == list { "c" });
    std::string endless;
    for (int i = 0; i < 1000; ++i) {
        endless += std::to_string(i) + ":1,";
    }
    CHECK(parse(endless + "c:1").size() == 32);
}

TEST_CASE("a refusal names the target at fault", "[platform]")
{
    forward::caller_request request;
    request.id = { "r1" };
    const http_headers headers { { "X-Figcleat-Attempt-Id", "r1" },
                                 { "X-Figcleat-Not-Executed", "1" },
                                 { "At-Server", "i-1" } };
    CHECK(language.decodeHead(request, 503, headers).targetAtFault == target_id { "i-1" });
}
