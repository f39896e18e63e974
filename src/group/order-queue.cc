#include "figcleat/group/order-queue.h"

#include <algorithm>
#include <numeric>
#include <set>

namespace figcleat::group
{

order_queue::order_queue(const order_settings &settings, store_bandwidth_allocator &store)
    : m_settings(settings)
    , m_storeBandwidth(store)
{
}

std::vector<order_action> order_queue::step(const order_event &event, time_point now)
{
    m_now = now;
    m_actions.clear();
    std::visit([this](const auto &alternative) { on(alternative); }, event);
    advance();
    return std::move(m_actions);
}

std::size_t order_queue::size() const
{
    return m_entries.size();
}

void order_queue::on(const order_submitted &event)
{
    const engine_order order { m_fence, {}, event.target, event.kind, event.subject, event.bytes };
    if (m_entries.size() >= m_settings.maxEntries) {
        m_actions.emplace_back(order_settled { order, result_code::queue_full });
        return;
    }
    m_entries.push_back({ order });
}

void order_queue::on(const order_answered &event)
{
    const auto &answer = event.answer;
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        const auto &entry = m_entries[i];
        if (entry.started && entry.order.number == answer.number && entry.order.fence == answer.fence
            && entry.order.target == answer.target) {
            return settle(i, answer.code);
        }
    }
}

/**
 * Settles orders that were sent in an earlier term as unknown. They may have been carried out, so they are not sent
 * again under a new number.
 */
void order_queue::on(const order_term_started &event)
{
    if (event.fence <= m_fence) {
        return;
    }
    for (std::size_t i = m_entries.size(); i-- > 0;) {
        if (m_entries[i].started) {
            settle(i, result_code::outcome_unknown);
        }
    }
    m_fence = event.fence;
    m_lastNumber = std::max(m_lastNumber, event.lastNumber);
}

void order_queue::on(const order_tick & /*event*/)
{
    for (std::size_t i = m_entries.size(); i-- > 0;) {
        auto &entry = m_entries[i];
        if (!entry.started) {
            continue;
        }
        if (m_now > entry.startedAt + m_settings.timeout) {
            settle(i, result_code::outcome_unknown);
        } else if (m_now >= entry.lastSentAt + m_settings.resendInterval) {
            entry.lastSentAt = m_now;
            m_actions.emplace_back(send_order { entry.order });
        }
    }
}

void order_queue::settle(std::size_t index, result_code code)
{
    m_actions.emplace_back(order_settled { m_entries[index].order, code });
    m_entries.erase(m_entries.begin() + static_cast<std::ptrdiff_t>(index));
}

void order_queue::advance()
{
    if (m_fence == fence_number {}) {
        return;
    }
    std::set<target_id> busy;
    bool storeAvailable = true;
    for (auto &entry : m_entries) {
        const bool first = busy.insert(entry.order.target).second;
        if (entry.started || !first) {
            continue;
        }
        // A later, smaller order must not overtake an order that waits for its bytes, or the larger one could starve.
        const bool loads = entry.order.bytes.count > 0;
        if (!loads || (storeAvailable && m_storeBandwidth.consumeGrant(m_settings.claimant, entry.order.bytes))) {
            startOrder(entry);
        } else {
            storeAvailable = false;
        }
    }
    const auto wanted
        = std::accumulate(m_entries.begin(), m_entries.end(), byte_count {}, [](byte_count sum, const entry &next) {
              return next.started ? sum : sum + next.order.bytes;
          });
    m_storeBandwidth.setRequestedBytes(m_settings.claimant,
                                       wanted - m_storeBandwidth.grantedBytes(m_settings.claimant));
}

void order_queue::startOrder(entry &next)
{
    m_lastNumber = m_lastNumber.next();
    next.order.fence = m_fence;
    next.order.number = m_lastNumber;
    next.started = true;
    next.startedAt = m_now;
    next.lastSentAt = m_now;
    m_actions.emplace_back(send_order { next.order });
}

void order_gate::raiseFenceFloor(fence_number fence)
{
    m_fenceFloor = std::max(m_fenceFloor, fence);
}

order_gate::decision order_gate::receive(const engine_order &order)
{
    const auto refuse = [&](result_code code) {
        return decision { verdict::refused, order_answer { order.target, order.fence, order.number, code } };
    };
    if (order.fence < m_fenceFloor) {
        return refuse(result_code::stale_fence);
    }
    m_fenceFloor = order.fence;
    if (m_lastOrder && order.number <= m_lastOrder->number) {
        if (order.number == m_lastOrder->number && order.fence == m_lastOrder->fence) {
            return { verdict::repeated, m_lastAnswer };
        }
        return refuse(result_code::attempt_closed);
    }
    if (m_lastOrder && !m_lastAnswer) {
        return refuse(result_code::still_running);
    }
    m_lastOrder = order;
    m_lastAnswer.reset();
    return { verdict::run, std::nullopt };
}

std::optional<order_answer> order_gate::recordCompletion(result_code code)
{
    if (!m_lastOrder || m_lastAnswer) {
        return std::nullopt;
    }
    m_lastAnswer = order_answer { m_lastOrder->target, m_lastOrder->fence, m_lastOrder->number, code };
    return m_lastAnswer;
}

} // namespace figcleat::group
