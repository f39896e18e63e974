#include "figcleat/cli/explain.h"

#include <catch2/catch.hpp>
#include <sstream>

using namespace figcleat::cli;

namespace
{

std::vector<figcleat::cli::log_line> linesOf(const std::string &text)
{
    std::istringstream in(text);
    return readLog(in);
}

const std::string refused
    = "2026-04-21T05:40:47.046 info     edge-1 [request] event=request id=r1 route=a workspace=w service=s target= "
      "code=target_at_limit status=0 attempts=0 queued_ms=178 first_ms=178 pause_ms=0 whole_ms=178 late=false\n";

} // namespace

TEST_CASE("a refused request is explained by what its front believed", "[explain]")
{
    const auto log = linesOf("2026-04-21T05:40:46.900 info     edge-1 [request] event=load service=s level=4.0\n"
                             "2026-04-21T05:40:46.901 info     edge-2 [request] event=load service=s level=9.0\n"
                             + refused + "no line of ours\n");
    const auto text = explain(log, "r1");
    CHECK(text.find("level=4.0") != std::string::npos);
    CHECK(text.find("level=9.0") == std::string::npos);
    CHECK(text.find("cause: refused, no target ran it (target_at_limit") != std::string::npos);
    CHECK(text.find("after 178 ms of waiting") != std::string::npos);
}

TEST_CASE("a request that a target broke off names the target and its registration", "[explain]")
{
    const auto log = linesOf(
        "2026-04-21T05:40:01.000 info     core-1 [agreed] event=target target=t7 service=s state=1\n"
        "2026-04-21T05:40:47.100 info     edge-1 [request] event=attempt id=r2 target=t7 outcome=target_lost next=end\n"
        "2026-04-21T05:40:47.100 info     edge-1 [request] event=request id=r2 target=t7 code=target_lost status=0 "
        "attempts=1 queued_ms=0\n"
        "2026-04-21T05:40:47.200 info     core-1 [agreed] event=target target=t8 service=s state=0\n");
    const auto text = explain(log, "r2");
    CHECK(text.find("event=target target=t7") != std::string::npos);
    CHECK(text.find("t8") == std::string::npos);
    CHECK(text.find("given up after 1 attempts, last at t7 (target_lost") != std::string::npos);
}

TEST_CASE("a late answer is explained by its longest part", "[explain]")
{
    const auto ended = [](const std::string &times) {
        return linesOf("2026-04-21T05:40:47.100 info     edge-1 [request] event=request id=r3 code=ok attempts=1 "
                       + times + " late=true\n");
    };
    CHECK(explain(ended("queued_ms=300 first_ms=450 pause_ms=0"), "r3").find("waited 300 ms") != std::string::npos);
    CHECK(explain(ended("queued_ms=0 first_ms=150 pause_ms=410"), "r3").find("pause of 410 ms") != std::string::npos);
    CHECK(explain(ended("queued_ms=10 first_ms=900 pause_ms=50"), "r3").find("890 ms after") != std::string::npos);
}

TEST_CASE("a request whose end is not in the logs is not called refused", "[explain]")
{
    // Guards against a cause that no line supports: the front was killed, or its last lines were not written.
    const auto log = linesOf(
        "2026-04-21T05:40:47.100 info     edge-1 [request] event=attempt id=r4 target=t7 outcome=silent next=retry\n");
    CHECK(explain(log, "r4").find("refused") == std::string::npos);
    CHECK(explain(log, "r4").find("cause: not known") != std::string::npos);
}

TEST_CASE("an id that no line names and an id within another one explain nothing", "[explain]")
{
    CHECK(explain(linesOf(refused), "r9").empty());
    CHECK(explain(linesOf(refused), "r").empty());
    CHECK(explain({}, "r1").empty());
}
