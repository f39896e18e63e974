#pragma once

#include "figcleat/core/clock.h"
#include "figcleat/core/ids.h"
#include "figcleat/core/result-code.h"
#include "figcleat/core/units.h"
#include "figcleat/group/store-share.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace figcleat::group
{

using order_number = number_id<struct order_tag>;

enum class order_kind : std::uint8_t {
    load_model,
    load_adapter,
    load_version,
    change_role,
};

/** An order to the engine of one target. `number` rises over all orders to a target, also across controllers. */
struct engine_order
{
    fence_number fence;
    order_number number;
    target_id target;
    order_kind kind = order_kind::load_model;
    /** Model, adapter, version or role. */
    std::string subject;
    /** What the engine loads for it from the weight store. */
    byte_count bytes;

    MSGPACK_DEFINE(fence, number, target, kind, subject, bytes)
};

struct order_answer
{
    target_id target;
    fence_number fence;
    order_number number;
    result_code code = result_code::ok;

    MSGPACK_DEFINE(target, fence, number, code)
};

struct order_submitted
{
    target_id target;
    order_kind kind = order_kind::load_model;
    std::string subject;
    byte_count bytes;
};

struct order_answered
{
    order_answer answer;
};

/** A new term as controller; `next` is above every order number that the targets report. */
struct order_term
{
    fence_number fence;
    order_number next;
};

struct order_tick
{
};

using order_event = std::variant<order_submitted, order_answered, order_term, order_tick>;

struct send_order
{
    engine_order order;
};

struct order_settled
{
    engine_order order;
    result_code code = result_code::ok;
};

using order_action = std::variant<send_order, order_settled>;

struct order_settings
{
    std::string claimant = "orders";
    std::size_t most = 256;
    duration resendEvery = std::chrono::seconds(2);
    duration timeout = std::chrono::minutes(10);
};

/**
 * Sends orders to engines, one at a time for each target and in the order of submission.
 *
 * An order that loads weights starts once `store_bandwidth_allocator` has granted its bytes. It is repeated until it is
 * answered; `order_gate` at the target carries it out once. An order that is not answered in time is settled as unknown
 * and its number is not used again.
 */
class order_queue
{
public:
    order_queue(const order_settings &settings, store_bandwidth_allocator &store);

    [[nodiscard]] std::vector<order_action> step(const order_event &event, time_point now);
    [[nodiscard]] std::size_t size() const;

private:
    struct entry
    {
        engine_order order;
        bool started = false;
        time_point startedAt {};
        time_point sentAt {};
    };

    void on(const order_submitted &event);
    void on(const order_answered &event);
    void on(const order_term &event);
    void on(const order_tick &event);
    void advance();
    void start(entry &next);
    void settle(std::size_t index, result_code code);

    order_settings m_settings;
    store_bandwidth_allocator &m_store;
    fence_number m_fence;
    order_number m_next;
    std::deque<entry> m_entries;
    time_point m_now {};
    std::vector<order_action> m_actions;
};

/** Checks orders in front of one engine, which may not check fencing numbers itself. */
class order_gate
{
public:
    enum class verdict : std::uint8_t {
        run,
        /** The order is running or done; `answer` holds the result if there is one. */
        repeated,
        refused,
    };
    struct decision
    {
        verdict what = verdict::refused;
        std::optional<order_answer> answer;
    };

    [[nodiscard]] decision receive(const engine_order &order);
    /** The engine has carried the running order out. */
    [[nodiscard]] std::optional<order_answer> finished(result_code code);
    /** Raises the floor, for example when the gate of the rank hears of a new controller. */
    void raiseFloor(fence_number fence);

private:
    fence_number m_floor;
    std::optional<engine_order> m_last;
    std::optional<order_answer> m_answer;
};

} // namespace figcleat::group

MSGPACK_ADD_ENUM(figcleat::group::order_kind)
