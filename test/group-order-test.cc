#include "figcleat/group/order-queue.h"

#include <catch2/catch.hpp>
#include <random>
#include <set>

using namespace figcleat;
using namespace figcleat::group;

namespace
{

order_submitted loadOf(const char *target, const char *subject, std::int64_t bytes)
{
    return { { target }, order_kind::load_adapter, subject, { bytes } };
}

} // namespace

// Guards against a claimant that starves the others, and against bandwidth wasted when a claimant needs less than an
// equal share.
TEST_CASE("the bandwidth of the weight store is shared evenly", "[group]")
{
    time_point now {};
    store_bandwidth_allocator store({ 900 }, now);
    store.setRequestedBytes("group a", { 10'000 });
    store.setRequestedBytes("group b", { 10'000 });
    store.setRequestedBytes("orders", { 100 });
    now += std::chrono::seconds(1);
    store.advance(now);
    CHECK(store.grantedBytes("orders").count == 100);
    CHECK(store.grantedBytes("group a").count == 400);
    CHECK(store.grantedBytes("group b").count == 400);
    now += std::chrono::hours(1);
    store.advance(now);
    CHECK(store.grantedBytes("group a").count == 850);
    CHECK_FALSE(store.consumeGrant("group a", { 851 }));
    CHECK(store.consumeGrant("group a", { 850 }));
    CHECK_FALSE(store.consumeGrant("unknown", { 1 }));
}

// Guards against an order that starts before the weight store has granted its bytes, and against a full queue that
// drops an order without an answer.
TEST_CASE("an order waits until its bytes are granted, and a full queue refuses orders", "[group]")
{
    time_point now { std::chrono::hours(1) };
    store_bandwidth_allocator store({ 100 }, now);
    order_settings settings;
    settings.maxEntries = 2;
    order_queue queue(settings, store);
    (void)queue.step(order_term_started { { 5 }, { 40 } }, now);
    CHECK(queue.step(loadOf("t1", "a", 150), now).empty());
    CHECK(queue.step(order_submitted { { "t2" }, order_kind::change_role, "decode", {} }, now).size() == 1);
    const auto refused = queue.step(loadOf("t3", "b", 1), now);
    REQUIRE(refused.size() == 1);
    CHECK(std::get<order_settled>(refused[0]).code == result_code::queue_full);
    now += std::chrono::seconds(1);
    store.advance(now);
    CHECK(queue.step(order_tick {}, now).empty());
    now += std::chrono::seconds(1);
    store.advance(now);
    const auto sent = queue.step(order_tick {}, now);
    REQUIRE(sent.size() >= 1);
    CHECK(std::get<send_order>(sent.back()).order.fence == fence_number { 5 });
    CHECK(std::get<send_order>(sent.back()).order.number.value == 42);
}

// Guards against executing orders of a replaced controller, and against executing an order twice.
TEST_CASE("the order gate runs an order once and refuses orders of an earlier controller", "[group]")
{
    order_gate gate;
    const engine_order first { { 3 }, { 1 }, { "t" }, order_kind::load_model, "m", {} };
    CHECK(gate.receive(first).result == order_gate::verdict::run);
    CHECK(gate.receive(first).result == order_gate::verdict::repeated);
    CHECK(gate.recordCompletion(result_code::ok).has_value());
    REQUIRE(gate.receive(first).answer.has_value());
    const engine_order next { { 4 }, { 2 }, { "t" }, order_kind::change_role, "prefill", {} };
    CHECK(gate.receive(next).result == order_gate::verdict::run);
    const engine_order stale { { 3 }, { 9 }, { "t" }, order_kind::load_model, "m", {} };
    CHECK(gate.receive(stale).result == order_gate::verdict::refused);
    CHECK(gate.receive(stale).answer->code == result_code::stale_fence);
}

// Guards against an order that runs twice or never when messages are lost, duplicated and delayed.
TEST_CASE("each order runs exactly once over a lossy network", "[group]")
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        INFO("seed " << seed);
        std::mt19937_64 rng(seed);
        time_point now { std::chrono::hours(1) };
        store_bandwidth_allocator store({ 1000 }, now);
        order_queue queue({}, store);
        order_gate gate;
        std::multiset<std::string> ran;
        std::size_t settled = 0;
        std::multimap<time_point, engine_order> network;
        (void)queue.step(order_term_started { { 1 }, {} }, now);
        const auto carryOut = [&](const std::vector<order_action> &actions) {
            for (const auto &action : actions) {
                if (const auto *send = std::get_if<send_order>(&action)) {
                    for (auto copies = rng() % 3; copies > 0; --copies) {
                        network.emplace(now + std::chrono::milliseconds(rng() % 5000), send->order);
                    }
                } else {
                    CHECK(std::get<order_settled>(action).code == result_code::ok);
                    ++settled;
                }
            }
        };
        for (int i = 0; i < 5; ++i) {
            carryOut(queue.step(loadOf("t", std::to_string(i).c_str(), 500), now));
        }
        for (int tick = 0; tick < 1200; ++tick) {
            now += std::chrono::milliseconds(100);
            store.advance(now);
            carryOut(queue.step(order_tick {}, now));
            while (!network.empty() && network.begin()->first <= now) {
                const auto order = network.begin()->second;
                network.erase(network.begin());
                auto decision = gate.receive(order);
                if (decision.result == order_gate::verdict::run) {
                    ran.insert(order.subject);
                    decision.answer = gate.recordCompletion(result_code::ok);
                }
                if (decision.answer && rng() % 3 != 0) {
                    carryOut(queue.step(order_answered { *decision.answer }, now));
                }
            }
        }
        CHECK(settled == 5);
        CHECK(ran.size() == 5);
        CHECK(std::set<std::string>(ran.begin(), ran.end()).size() == 5);
    }
}
