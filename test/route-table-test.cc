#include "figcleat/forward/route-table.h"

#include <catch2/catch.hpp>

using namespace figcleat;
using namespace figcleat::forward;
using namespace std::chrono_literals;

namespace
{

route makeRoute(const std::string &name, const std::string &prefix)
{
    route one;
    one.name = { name };
    one.host = "desk.example";
    one.pathPrefix = prefix;
    one.timeout = 1s;
    one.split = { { { "desk" }, 1 } };
    return one;
}

route_table makeTable()
{
    route_table table;
    table.version = 1;
    table.services = { { { "desk" }, 10, 0 } };
    table.routes = { makeRoute("all", "/"), makeRoute("a", "/a/"), makeRoute("ab", "/a/b/") };
    return table;
}

std::string nameOf(const route *found)
{
    return found == nullptr ? "" : found->name.value;
}

} // namespace

TEST_CASE("the route with the longest matching path prefix is selected", "[forward]")
{
    const route_index index(makeTable());
    CHECK(nameOf(index.match("desk.example", "/a/b/c?x=/")) == "ab");
    CHECK(nameOf(index.match("desk.example", "/a/b")) == "a");
    CHECK(nameOf(index.match("desk.example", "/ab/")) == "all");
    CHECK(index.match("other.example", "/a/") == nullptr);
}

TEST_CASE("hosts match regardless of case and port", "[forward]")
{
    // Guards against a 404 for clients that send the host with a port or in upper case, as HTTP allows.
    const route_index index(makeTable());
    CHECK(nameOf(index.match("desk.example:8080", "/a/")) == "a");
    CHECK(nameOf(index.match("Desk.Example", "/a/")) == "a");
    CHECK(nameOf(index.match("DESK.example:80", "/a/")) == "a");
    CHECK(index.match("desk.example.org", "/a/") == nullptr);
    CHECK(index.match("", "/a/") == nullptr);
    CHECK(index.match("[::1]:80", "/a/") == nullptr);
}

TEST_CASE("a configuration with an error is rejected as a whole", "[forward]")
{
    auto table = makeTable();
    CHECK(check(table));
    SECTION("unknown service")
    {
        table.routes[0].split[0].service = { "nowhere" };
    }
    SECTION("two routes with the same host and prefix")
    {
        table.routes.push_back(makeRoute("again", "/a/"));
    }
    SECTION("weights that add up to 0")
    {
        table.routes[0].split[0].weight = 0;
    }
    SECTION("no timeout")
    {
        table.routes[0].timeout = 0ms;
    }
    SECTION("two workspaces with the same key")
    {
        table.workspaces = { { { "a" }, { "key" }, std::nullopt }, { { "b" }, { "key" }, std::nullopt } };
    }
    const auto checked = check(table);
    REQUIRE_FALSE(checked);
    CHECK(checked.error().code == result_code::configuration_invalid);
}
