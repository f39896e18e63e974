#include "figcleat/forward/configuration-history.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <random>

using namespace figcleat;
using namespace figcleat::forward;

namespace
{

/** Text like that of a configuration with a number of routes. */
std::string makeContent(std::uint64_t version, const std::vector<int> &routes)
{
    std::string text = fmt::format("{{\"version\":{},\"routes\":[", version);
    for (const int one : routes) {
        text += fmt::format("{{\"name\":\"r-{}\",\"split\":[{{\"service\":\"desk\",\"weight\":9}}]}},", one);
    }
    return text + "]}";
}

agreed::configuration_in_force makeConfiguration(std::uint64_t revision, std::string content)
{
    return { .revision = { revision }, .number = revision, .content = std::move(content) };
}

std::vector<int> routesUpTo(int count)
{
    std::vector<int> routes;
    for (int i = 0; i < count; ++i) {
        routes.push_back(i);
    }
    return routes;
}

} // namespace

TEST_CASE("a delta leads from any text to any other", "[configuration-history]")
{
    std::mt19937_64 random(1);
    const auto draw = [&random] {
        std::string text;
        for (auto left = random() % 60; left > 0; --left) {
            text += "ab{}"[random() % 4];
        }
        return text;
    };
    for (int i = 0; i < 2000; ++i) {
        const auto base = draw();
        const auto changed = draw();
        const auto result = applyDelta(base, makeDelta(base, changed), 100);
        REQUIRE(result);
        CHECK(*result == changed);
    }
}

TEST_CASE("a change of one route costs about as much as the route", "[configuration-history]")
{
    // Guards against links of coordinators that are filled by copies of a long configuration with small changes.
    auto routes = routesUpTo(1600);
    const auto old = makeContent(7, routes);
    routes[800] = 5000;
    routes.erase(routes.begin() + 30);
    routes.push_back(6000);
    const auto changed = makeContent(8, routes);
    CHECK(sizeOf(makeDelta(old, changed)) < changed.size() / 100);
}

TEST_CASE("a damaged delta is refused", "[configuration-history]")
{
    CHECK_FALSE(applyDelta("abc", { { 2, 5, {} } }, 100));
    CHECK_FALSE(applyDelta("abc", { { ~std::uint64_t { 0 }, 2, {} } }, 100));
    CHECK_FALSE(applyDelta("abc", { { 0, 3, {} }, { 0, 3, {} } }, 5));
}

TEST_CASE("a front reaches the newest configuration from any one that is kept", "[configuration-history]")
{
    configuration_history history;
    std::vector<agreed::configuration_in_force> all;
    for (std::uint64_t revision = 1; revision <= 12; ++revision) {
        all.push_back(makeConfiguration(revision, makeContent(revision, routesUpTo(static_cast<int>(100 + revision)))));
        history.add(all.back());
    }
    const auto &newest = all.back();
    CHECK(history.deltaFrom({ 1 }) == nullptr);
    CHECK(history.sizeFrom({ 1 }) == newest.content.size());
    for (std::uint64_t base = 6; base < 12; ++base) {
        const auto delta = history.deltaFrom({ base });
        REQUIRE(delta);
        const auto &held = all[base - 1];
        const auto result = applyConfigurationDelta(*delta, held.revision, held.content);
        REQUIRE(result);
        CHECK(result->content == newest.content);
        CHECK(result->revision == newest.revision);
        // A front with another configuration would end with a content that nobody sent.
        CHECK_FALSE(applyConfigurationDelta(*delta, { base + 1 }, held.content));
        CHECK_FALSE(applyConfigurationDelta(*delta, held.revision, all.front().content));
    }
}
