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

/** An order to the engine of one target. `number` increases over all orders to a target, also across controllers. */
struct engine_order
{
    fence_number fence;
    order_number number;
    target_id target;
    order_kind kind = order_kind::load_model;
    /** Name of the model, adapter, version or role, depending on `kind`. */
    std::string subject;
    /** Bytes that the engine loads from the weight store to carry out the order. */
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

/**
 * This process began a new term as controller. New orders are numbered above `lastNumber`, which is itself above every
 * order number that the targets report.
 */
struct order_term_started
{
    fence_number fence;
    order_number lastNumber;
};

struct order_tick
{
};

using order_event = std::variant<order_submitted, order_answered, order_term_started, order_tick>;

struct send_order
{
    engine_order order;
};

/** The order is answered with `code`, or the queue gives up on it. */
struct order_settled
{
    engine_order order;
    result_code code = result_code::ok;
};

using order_action = std::variant<send_order, order_settled>;

struct order_settings
{
    /** Name under which the queue claims bytes from `store_bandwidth_allocator`. */
    std::string claimant = "orders";
    std::size_t maxEntries = 256;
    duration resendInterval = std::chrono::seconds(2);
    /** Time after the first sending at which an unanswered order is settled as unknown. */
    duration timeout = std::chrono::minutes(10);
};

/**
 * Sends orders to engines, one at a time for each target and in the order of submission.
 *
 * An order that loads weights starts once `store_bandwidth_allocator` has granted its bytes. Orders are resent until
 * they are answered; `order_gate` at the target ensures that each is carried out once. An order that is not answered
 * before the timeout is settled as unknown, and its number is not reused.
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
        time_point lastSentAt {};
    };

    void on(const order_submitted &event);
    void on(const order_answered &event);
    void on(const order_term_started &event);
    void on(const order_tick &event);
    void advance();
    void startOrder(entry &next);
    void settle(std::size_t index, result_code code);

    order_settings m_settings;
    store_bandwidth_allocator &m_storeBandwidth;
    fence_number m_fence;
    order_number m_lastNumber;
    std::deque<entry> m_entries;
    time_point m_now {};
    std::vector<order_action> m_actions;
};

/** Rejects outdated and repeated orders on behalf of one engine, which may not check fencing numbers itself. */
class order_gate
{
public:
    enum class verdict : std::uint8_t {
        run,
        /** The order is already running or done; `answer` holds the result once it is known. */
        repeated,
        refused,
    };
    struct decision
    {
        verdict result = verdict::refused;
        std::optional<order_answer> answer;
    };

    [[nodiscard]] decision receive(const engine_order &order);
    /** Records the result of the running order; returns no answer if no order is running. */
    [[nodiscard]] std::optional<order_answer> recordCompletion(result_code code);
    /** Refuses orders below `fence` from now on, for example after the rank gate accepted a newer controller. */
    void raiseFenceFloor(fence_number fence);

private:
    fence_number m_fenceFloor;
    std::optional<engine_order> m_lastOrder;
    std::optional<order_answer> m_lastAnswer;
};

} // namespace figcleat::group

MSGPACK_ADD_ENUM(figcleat::group::order_kind)
