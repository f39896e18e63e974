#include "figcleat/core/invariant.h"
#include "figcleat/core/log.h"
#include "figcleat/group/step-witness.h"
#include "figcleat/group/switch-controller.h"
#include "figcleat/wire/codec.h"

#include <catch2/catch.hpp>

using namespace figcleat;
using namespace figcleat::group;

namespace
{

template<typename T, typename Action>
std::vector<T> actionsOfType(const std::vector<Action> &actions)
{
    std::vector<T> found;
    for (const auto &action : actions) {
        if (const auto *match = std::get_if<T>(&action)) {
            found.push_back(*match);
        }
    }
    return found;
}

expert_map mapOf(std::uint64_t fence, std::uint64_t version, rank_number holder)
{
    return { { { fence }, { version } }, 2, { { { { holder } } } } };
}

/** Two gates that deliver messages to each other without delay; messages to a rank in `unreachable` are lost. */
struct gate_pair
{
    time_point now { std::chrono::hours(1) };
    std::vector<rank_gate> gates;
    std::set<rank_number> unreachable;
    std::vector<permit_step> permits;
    std::vector<release_map> releases;
    std::vector<refused_message> refusals;

    gate_pair()
    {
        for (rank_number rank = 0; rank < 2; ++rank) {
            gates.push_back(makeGate(rank, 10U + rank));
            feed(rank, engine_started { { 20U + rank }, sha256("default map") });
        }
        tick();
        tick();
    }
    static rank_gate makeGate(rank_number rank, std::uint64_t incarnation)
    {
        gate_settings settings;
        settings.rank = rank;
        settings.ranks = 2;
        settings.incarnation = { incarnation };
        return rank_gate(settings);
    }
    void feed(rank_number rank, const gate_event &event)
    {
        for (const auto &action : gates[rank].step(event, now)) {
            if (const auto *load = std::get_if<load_map>(&action)) {
                feed(rank, engine_loaded { load->content });
            } else if (const auto *send = std::get_if<send_peer>(&action); send && !unreachable.contains(send->to)) {
                feed(send->to, from_peer { rank, gates[rank].status().incarnation, send->message });
            } else if (const auto *permit = std::get_if<permit_step>(&action)) {
                permits.push_back(*permit);
            } else if (const auto *release = std::get_if<release_map>(&action)) {
                releases.push_back(*release);
            } else if (const auto *refused = std::get_if<refused_message>(&action)) {
                refusals.push_back(*refused);
            }
        }
    }
    void tick(duration after = std::chrono::milliseconds(100))
    {
        now += after;
        feed(0, gate_tick {});
        feed(1, gate_tick {});
    }
    void sendToAll(const controller_message &message)
    {
        feed(0, from_controller { message });
        feed(1, from_controller { message });
    }
    void requestStep(std::uint64_t step)
    {
        feed(0, step_requested { { step } });
        feed(1, step_requested { { step } });
    }
    void holdAt(const expert_map &map, switch_id from, std::uint64_t step)
    {
        sendToAll(prepare { map.id.fence, from, map });
        sendToAll(hold { map.id.fence, map.id, { step } });
    }
    void switchTo(const expert_map &map, switch_id from, std::uint64_t step)
    {
        holdAt(map, from, step);
        sendToAll(decide { map.id.fence, { map.id, contentDigest(map), { step }, true } });
    }
    /** Installs the first map of the group, runs step 1 with it and returns it. */
    expert_map installFirstMap()
    {
        const auto map = mapOf(1, 1, 0);
        switchTo(map, {}, 1);
        requestStep(1);
        permits.clear();
        return map;
    }
};

} // namespace

// Guards against a rank that runs steps with the default map of its engine, at first start and after a restart.
TEST_CASE("a rank permits no step before it has the group's map", "[group]")
{
    gate_pair group;
    group.requestStep(1);
    CHECK(group.permits.empty());
    const auto map = mapOf(1, 1, 0);
    group.switchTo(map, {}, 1);
    REQUIRE(group.permits.size() == 2);

    group.gates[1] = gate_pair::makeGate(1, 99);
    group.feed(1, engine_started { { 98 }, sha256("default map") });
    group.feed(1, step_requested { { 2 } });
    CHECK(group.permits.size() == 2);
    group.tick();
    group.tick();
    REQUIRE(group.permits.size() == 3);
    CHECK(group.permits.back().content == contentDigest(map));
}

// Guards against a rank that runs the switch step with the old map while another rank uses the new one.
TEST_CASE("a rank that does not know the decision does not run the switch step", "[group]")
{
    gate_pair group;
    const auto first = group.installFirstMap();
    const auto second = mapOf(1, 2, 1);
    group.holdAt(second, first.id, 5);
    group.requestStep(4);
    CHECK(group.permits.size() == 2);
    group.requestStep(5);
    CHECK(group.permits.size() == 2);
    group.sendToAll(decide { { 1 }, { second.id, contentDigest(second), { 5 }, true } });
    REQUIRE(group.permits.size() == 4);
    CHECK(group.permits.back().id == second.id);
    // The old map is released only after every rank has run the first step with the new map.
    CHECK(group.releases.empty());
    group.requestStep(6);
    CHECK(group.releases.size() == 2);
}

// Guards against a group that stops while it cannot reach a quorum of the replicated log: the ranks agree to hold, and
// the decision does not arrive.
TEST_CASE("a group without a quorum continues with its current map", "[group]")
{
    gate_pair group;
    const auto first = group.installFirstMap();
    const auto second = mapOf(1, 2, 1);
    group.holdAt(second, first.id, 5);
    group.requestStep(5);
    group.permits.clear();
    group.tick(std::chrono::seconds(1));
    CHECK(group.permits.empty());
    group.tick(std::chrono::seconds(2));
    group.tick();
    REQUIRE(group.permits.size() == 2);
    CHECK(group.permits[0].id == first.id);
    CHECK(group.permits[1].id == first.id);
    // A decision that arrives after the vote has no effect.
    group.sendToAll(decide { { 1 }, { second.id, contentDigest(second), { 5 }, true } });
    CHECK(group.gates[0].status().current.id == first.id);
    CHECK(group.gates[0].status().pending.phase == switch_phase::none);
}

// Guards against a vote that returns one rank to the old map while another rank already uses the new one.
TEST_CASE("a rank that knows the decision overrides votes to cancel the switch", "[group]")
{
    gate_pair group;
    const auto first = group.installFirstMap();
    const auto second = mapOf(1, 2, 1);
    group.holdAt(second, first.id, 5);
    group.feed(0, from_controller { decide { { 1 }, { second.id, contentDigest(second), { 5 }, true } } });
    group.permits.clear();
    group.requestStep(5);
    CHECK(group.permits.size() == 1);
    group.tick(std::chrono::seconds(3));
    REQUIRE(group.permits.size() == 2);
    CHECK(group.permits[1].id == second.id);
}

// Guards against messages of a controller that was frozen or partitioned and does not know that it was replaced.
TEST_CASE("a rank refuses an older fencing number", "[group]")
{
    gate_pair group;
    const auto first = group.installFirstMap();
    group.sendToAll(inquire { { 2 } });
    group.sendToAll(prepare { { 1 }, first.id, mapOf(1, 2, 1) });
    CHECK(group.refusals.size() == 2);
    CHECK(group.refusals[0].code == result_code::stale_fence);
    CHECK(group.gates[0].status().pending.phase == switch_phase::none);
}

// Guards against weights that stay loaded after their switch was abandoned.
TEST_CASE("an abandoned switch releases the map loaded for it", "[group]")
{
    gate_pair group;
    const auto first = group.installFirstMap();
    const auto second = mapOf(1, 2, 1);
    group.holdAt(second, first.id, 5);
    group.sendToAll(decide { { 2 }, { second.id, contentDigest(second), {}, false } });
    REQUIRE(group.releases.size() == 2);
    CHECK(group.releases[0].content == contentDigest(second));
    group.requestStep(5);
    CHECK(group.permits.back().id == first.id);
}

// Guards against committing a switch although a rank restarted after it agreed to hold: its new incarnation knows of no
// hold. Here the engine restarts, and the status reports a new engine incarnation.
TEST_CASE("a rank that restarts before the decision makes the controller abandon the switch", "[group]")
{
    const time_point now { std::chrono::hours(1) };
    controller_settings settings;
    settings.ranks = 1;
    switch_controller controller(settings);
    (void)controller.step(control_acquired { { 7 }, std::nullopt }, now);
    rank_status status;
    status.incarnation = { 5 };
    status.engine = { 6 };
    status.fenceFloor = { 7 };
    status.joined = true;
    status.incarnationChecksum = checksum(encode(std::vector<incarnation_id> { { 5 } }));
    status.sequence = 1;
    (void)controller.step(status_received { status }, now);
    const auto sent = actionsOfType<send_rank>(controller.step(propose_map { mapOf(0, 0, 0).layers }, now));
    REQUIRE(sent.size() == 1);
    const auto id = std::get<prepare>(sent[0].message).map.id;
    status.pending = { switch_phase::prepared, id, {}, {} };
    status.ready = true;
    status.engine = { 8 };
    ++status.sequence;
    const auto abandoned = actionsOfType<switch_abandoned>(controller.step(status_received { status }, now));
    REQUIRE(abandoned.size() == 1);
    CHECK(abandoned[0].reason == result_code::rank_not_ready);
}

// Guards against a late record of a replaced controller, and against a repeated record that hides a later decision.
TEST_CASE("the log records only decisions of the latest controller, and a repeated record does not replace a later one",
          "[group]")
{
    decision_register log;
    log.issue({ 1 });
    const decision first { { { 1 }, { 1 } }, {}, { 4 }, true };
    const decision second { { { 1 }, { 2 } }, {}, { 9 }, true };
    CHECK(log.record(first) == record_outcome::recorded);
    CHECK(log.record(second) == record_outcome::recorded);
    CHECK(log.record(first) == record_outcome::recorded);
    CHECK(log.last() == second);
    log.issue({ 2 });
    CHECK(log.record({ { { 1 }, { 3 } }, {}, { 12 }, true }) == record_outcome::refused);
    CHECK(log.last() == second);
}

// Guards against a checker that misses a difference in version, or in content between maps of the same version.
TEST_CASE("the consistency checker rejects a different map version or content in one step", "[group]")
{
    logFor(part::invariant)->set_level(spdlog::level::off);
    step_consistency_checker checker(2);
    checker.recordPermit(0, { { 3 }, { { 1 }, { 2 } }, sha256("a") });
    CHECK_THROWS_AS(checker.recordPermit(1, { { 3 }, { { 1 }, { 1 } }, sha256("a") }), invariant_violation);
    CHECK_THROWS_AS(checker.recordPermit(1, { { 3 }, { { 1 }, { 2 } }, sha256("b") }), invariant_violation);
    logFor(part::invariant)->set_level(spdlog::level::warn);
    checker.recordPermit(1, { { 3 }, { { 1 }, { 2 } }, sha256("a") });
    CHECK(checker.isComplete());
}

// Guards against messages that are too large in a group of the largest size, and against status reports that use up the
// bandwidth for control traffic.
TEST_CASE("messages of the largest group stay within their size limits", "[group]")
{
    expert_map map = evenlySpreadMap(128, 128, 61);
    for (auto &layer : map.layers) {
        for (rank_number expert = 0; expert < 128; ++expert) {
            layer.replicas[expert] = { expert, static_cast<rank_number>(expert + 128) };
        }
    }
    const auto bytes = encode(controller_message { prepare { { 1 }, {}, map } });
    CHECK(bytes.size() < 128 * 1024);
    const auto received = decode<controller_message>(bytes);
    REQUIRE(received.has_value());
    CHECK(std::get<prepare>(*received).map == map);
    rank_status status;
    status.incarnation = { ~0ULL };
    status.engine = { ~0ULL };
    status.incarnationChecksum = ~0ULL;
    status.current.content = sha256("a");
    status.pending.content = sha256("b");
    const auto perSecond = 128.0 * static_cast<double>(encode(status).size())
        / std::chrono::duration<double>(gate_settings {}.idleStatusInterval).count();
    CHECK(perSecond < 5'750);
    const auto peer
        = decode<peer_message>(encode(peer_message { join_reply { { 3 }, {}, {}, {}, {}, {}, {}, { map } } }));
    REQUIRE(peer.has_value());
    CHECK(std::get<join_reply>(*peer).maps.front() == map);
}
