#include "figcleat/placement/choose.h"

#include <catch2/catch.hpp>

using namespace figcleat;
using namespace figcleat::placement;
using namespace std::chrono_literals;

namespace
{

constexpr work_cost oneRequest { { 1 }, { 100 }, { 100 } };

announce report(const std::string &target, std::int64_t spare, const std::string &dataCentre = "north")
{
    announce message;
    message.target = { target };
    message.service = { "chat" };
    message.dataCentre = { dataCentre };
    message.incarnation = { 1 };
    message.state = target_state::warm;
    message.limit = { { 10 }, { 10'000 }, { 10'000 } };
    message.spare = { { spare }, { spare * 1000 }, { spare * 1000 } };
    message.sequence = 1;
    return message;
}

struct fixture
{
    /** Announces with the next sequence. */
    std::optional<lost_target> hear(announce message)
    {
        message.sequence = ++sequence;
        return subject.heard(message, { message.target.value + ":1" }, now);
    }
    std::string chooseOnce()
    {
        const auto chosen = choose(subject, request, how, random, now);
        if (!chosen) {
            return std::string(describe(chosen.error().code).name);
        }
        if (const auto *entry = std::get_if<spill_entry>(&*chosen)) {
            return "entry " + entry->address.value;
        }
        return std::get<target_choice>(*chosen).target.value;
    }
    std::map<std::string, int> chooseMany(int times = 300)
    {
        std::map<std::string, int> counts;
        for (int i = 0; i < times; ++i) {
            ++counts[chooseOnce()];
        }
        return counts;
    }

    table subject { { { "north" } } };
    placement_request request { { "chat" }, {}, oneRequest, 0, {}, true };
    policy how = two_choices_by_spare {};
    std::mt19937_64 random { 1 };
    time_point now { 1h };
    std::uint64_t sequence = 0;
};

} // namespace

// Guards against work for targets that are silent, leaving, out of service, or serve something else.
TEST_CASE("unusable targets get no work", "[placement]")
{
    fixture f;
    f.hear(report("a", 5));
    CHECK(f.chooseOnce() == "a");
    SECTION("silent")
    {
        f.now += 1500ms;
        const auto lost = f.subject.expire(f.now);
        REQUIRE(lost.size() == 1);
        CHECK(lost[0].incarnation == incarnation_id { 1 });
        CHECK(f.subject.expire(f.now).empty());
    }
    SECTION("leaving")
    {
        auto message = report("a", 5);
        message.state = target_state::leaving;
        f.hear(message);
    }
    SECTION("data centre out")
    {
        f.subject.setDataCentresOut({ { "north" } });
    }
    SECTION("other service")
    {
        f.request.service = { "till" };
    }
    SECTION("refused this request")
    {
        f.request.excluded = { { "a" } };
    }
    CHECK(f.chooseOnce() == "no_target");
}

// Guards against an entry that takes its own suspension for the loss of all targets.
TEST_CASE("silence while this process was suspended is not counted", "[placement]")
{
    fixture f;
    f.hear(report("a", 5));
    f.now += 10s;
    f.subject.resumeListening(f.now);
    CHECK(f.subject.expire(f.now).empty());
    CHECK(f.chooseOnce() == "a");
    f.now += 1500ms;
    CHECK(f.subject.expire(f.now).size() == 1);
    CHECK(f.chooseOnce() == "no_target");
    f.hear(report("a", 5));
    CHECK(f.chooseOnce() == "a");
}

// Guards against a target that is never used again after another process announced itself under its id.
TEST_CASE("of two processes under one id the one that goes on is used", "[placement]")
{
    fixture f;
    f.hear(report("a", 5));
    auto other = report("a", 3);
    other.incarnation = { 2 };
    f.hear(other);
    f.now += 1s;
    f.hear(report("a", 5));
    CHECK(f.subject.find({ "a" })->report.incarnation == incarnation_id { 2 });
    f.now += 600ms;
    f.hear(report("a", 5));
    CHECK(f.subject.find({ "a" })->report.incarnation == incarnation_id { 1 });
    CHECK(f.chooseOnce() == "a");
}

// Guards against an old announcement that hides a restart, and against counts of a former life.
TEST_CASE("a new incarnation replaces the former one", "[placement]")
{
    fixture f;
    f.hear(report("a", 5));
    f.subject.began({ "a" }, { 1 }, oneRequest);
    auto restarted = report("a", 3);
    restarted.incarnation = { 2 };
    const auto lost = f.hear(restarted);
    REQUIRE(lost.has_value());
    CHECK(lost->incarnation == incarnation_id { 1 });
    CHECK_FALSE(f.hear(report("a", 9)).has_value());
    f.subject.ended({ "a" }, { 1 }, oneRequest);
    CHECK(f.subject.find({ "a" })->report.incarnation == incarnation_id { 2 });
    CHECK(f.subject.find({ "a" })->outstanding == work_cost {});
    auto late = restarted;
    late.sequence = 1;
    late.spare = {};
    f.subject.heard(late, { "a:1" }, f.now);
    CHECK(f.subject.find({ "a" })->report.spare.requests.count == 3);
}

// Guards against a burst between two reports that goes to one target because its report still says "free".
TEST_CASE("own work since the report counts", "[placement]")
{
    fixture f;
    f.hear(report("a", 2));
    f.hear(report("b", 1));
    for (int i = 0; i < 2; ++i) {
        f.subject.began({ "a" }, { 1 }, oneRequest);
    }
    CHECK(f.chooseMany() == std::map<std::string, int> { { "b", 300 } });
    f.subject.ended({ "a" }, { 1 }, oneRequest);
    CHECK(f.chooseMany().contains("a"));
    f.subject.refused({ "a" }, { 1 });
    CHECK_FALSE(f.chooseMany().contains("a"));
}

// Guards against many entries that all send to the target that the same late report shows as free.
TEST_CASE("the others are expected to do what this entry does", "[placement]")
{
    fixture f;
    f.subject.heard(report("a", 9), { "a:1" }, f.now);
    f.subject.began({ "a" }, { 1 }, oneRequest);
    f.sequence = 1;
    f.hear(report("a", 6));
    f.hear(report("b", 2));
    CHECK(f.chooseMany().contains("a"));
    for (int i = 0; i < 2; ++i) {
        f.subject.began({ "a" }, { 1 }, oneRequest);
    }
    // A policy that does not look at the spare capacity shows that the full target is passed over.
    f.how = round_robin {};
    CHECK(f.chooseMany() == std::map<std::string, int> { { "b", 300 } });
    f.request.excluded = { { "b" } };
    CHECK(f.chooseOnce() == "a");
}

// Guards against work that leaves its data centre without need, and against refusals while others have room.
TEST_CASE("other data centres get work only by need", "[placement]")
{
    fixture f;
    f.hear(report("far", 10, "south"));
    f.subject.heardEntry({ "e:1" }, { "west" }, f.now);
    f.subject.heardEntry({ "home:1" }, { "north" }, f.now);
    f.hear(report("near", 1));
    CHECK(f.chooseMany() == std::map<std::string, int> { { "near", 300 } });
    f.hear(report("near", 0));
    CHECK(f.chooseOnce() == "far");
    f.hear(report("far", 0, "south"));
    CHECK(f.chooseOnce() == "entry e:1");
    f.request.maySpill = false;
    CHECK(f.chooseOnce() == "near");
    f.request.maySpill = true;
    f.subject.setDataCentresOut({ { "west" } });
    const auto full = choose(f.subject, f.request, f.how, f.random, f.now);
    CHECK_FALSE(std::get<target_choice>(*full).hasRoom);
}

// Guards against a group that gets work for its fast ranks only, while a straggler delays all of them.
TEST_CASE("a group is as able as its least able rank", "[placement]")
{
    fixture f;
    const auto rank = [](const std::string &target, std::uint32_t number, std::int64_t limit, std::uint64_t gap) {
        auto message = report(target, limit);
        message.group = { target.substr(0, 2) };
        message.rank = number;
        message.limit.requests.count = limit;
        message.pieceGapMicros = gap;
        return message;
    };
    f.hear(rank("g1-0", 0, 10, 40));
    f.hear(rank("g1-1", 1, 10, 40));
    f.hear(rank("g2-0", 0, 10, 40));
    f.hear(rank("g2-1", 1, 10, 400));
    CHECK(f.chooseMany() == std::map<std::string, int> { { "g1-0", 300 } });
    f.hear(rank("g1-1", 1, 0, 40));
    CHECK(f.chooseMany() == std::map<std::string, int> { { "g2-0", 300 } });
    auto leaving = rank("g2-1", 1, 10, 40);
    leaving.state = target_state::leaving;
    f.hear(leaving);
    f.hear(rank("g1-1", 1, 10, 40));
    CHECK(f.chooseMany() == std::map<std::string, int> { { "g1-0", 300 } });
}

// Guards against a policy that ignores the measure that it is named for.
TEST_CASE("each policy follows its measure", "[placement]")
{
    fixture f;
    f.hear(report("a", 9));
    f.hear(report("b", 3));
    f.hear(report("c", 6));
    SECTION("round robin")
    {
        f.how = round_robin {};
        CHECK(f.chooseMany() == std::map<std::string, int> { { "a", 100 }, { "b", 100 }, { "c", 100 } });
    }
    SECTION("least outstanding")
    {
        f.how = least_outstanding {};
        f.subject.began({ "a" }, { 1 }, oneRequest);
        f.subject.began({ "c" }, { 1 }, oneRequest);
        CHECK(f.chooseMany() == std::map<std::string, int> { { "b", 300 } });
    }
    SECTION("two choices by load")
    {
        f.how = two_choices_by_load {};
        CHECK_FALSE(f.chooseMany().contains("b"));
    }
    SECTION("two choices by spare capacity")
    {
        CHECK_FALSE(f.chooseMany().contains("b"));
        f.now += 1200ms;
        f.hear(report("c", 6));
        f.hear(report("b", 3));
        CHECK_FALSE(f.chooseMany().contains("a"));
    }
    SECTION("prefix affinity")
    {
        f.how = prefix_affinity {};
        f.hear(report("a", 9));
        f.hear(report("b", 9));
        f.hear(report("c", 9));
        std::map<std::string, int> counts;
        for (f.request.prefixHash = 0; f.request.prefixHash < 300; ++f.request.prefixHash) {
            const auto first = f.chooseOnce();
            CHECK(f.chooseOnce() == first);
            ++counts[first];
        }
        CHECK(counts.size() == 3);
        f.request.prefixHash = 5;
        const auto owner = f.chooseOnce();
        f.hear(report(owner, 2));
        CHECK(f.chooseOnce() != owner);
    }
}
