#include "figcleat/request/fair-queue.h"

#include <algorithm>
#include <utility>

namespace figcleat::request
{

namespace
{

double seconds(duration time)
{
    return std::chrono::duration<double>(time).count();
}

double perWeight(std::size_t requests, std::uint32_t weight)
{
    return static_cast<double>(requests) / std::max<std::uint32_t>(weight, 1);
}

} // namespace

fair_queue::fair_queue(fair_queue_settings settings)
    : m_settings(settings)
{
}

std::vector<queue_action> fair_queue::step(const queue_event &event, time_point now)
{
    m_now = now;
    m_actions.clear();
    std::visit([this](const auto &which) { on(which); }, event);
    return std::exchange(m_actions, {});
}

const queued_request *fair_queue::front() const
{
    const auto found = frontLane();
    return found == m_lanes.end() ? nullptr : &found->second.requests.front().request;
}

std::size_t fair_queue::size() const
{
    return m_positions.size();
}

duration fair_queue::estimatedWait(const workspace_id &workspace, std::uint32_t weight, time_point now) const
{
    double weights = std::max<std::uint32_t>(weight, 1);
    double ownCost = 0;
    for (const auto &[name, one] : m_lanes) {
        if (name == workspace) {
            ownCost = one.cost;
        } else if (!one.requests.empty()) {
            weights += one.weight;
        }
    }
    // The others get their share while the own requests ahead are served, and no more than they have waiting.
    // Without own requests ahead, at most one request of each other workspace goes first.
    const double own = std::max(ownCost, m_cost > 0 ? m_cost / static_cast<double>(m_positions.size()) : 0.0);
    const double ahead = std::min(m_cost, own * weights / std::max<std::uint32_t>(weight, 1));
    constexpr double longest = 3600;
    const double wait = std::min(ahead * secondsPerCost(now), longest);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(wait));
}

void fair_queue::on(const enqueue &event)
{
    const auto &request = event.request;
    if (m_positions.contains(request.id)) {
        return;
    }
    const auto wait = estimatedWait(request.workspace, request.weight, m_now);
    if (m_now + wait + request.needed >= request.deadline) {
        m_actions.emplace_back(turn_away { request.id, result_code::deadline_too_near });
        return;
    }
    if (!makeRoomFor(request)) {
        m_actions.emplace_back(turn_away { request.id, result_code::queue_full });
        return;
    }
    if (m_positions.empty()) {
        m_lastRelease = m_now;
    }
    const auto where = m_lanes.try_emplace(request.workspace).first;
    auto &own = where->second;
    own.weight = std::max<std::uint32_t>(request.weight, 1);
    const double startTag = std::max(m_virtualTime, own.finishTag);
    own.finishTag = startTag + request.cost / own.weight;
    own.cost += request.cost;
    m_cost += request.cost;
    own.requests.push_back({ request, startTag });
    m_positions.emplace(request.id, position { where, std::prev(own.requests.end()) });
}

void fair_queue::on(const withdraw &event)
{
    const auto found = m_positions.find(event.id);
    if (found != m_positions.end()) {
        drop(found->second);
    }
}

void fair_queue::on(const serve & /*event*/)
{
    const auto found = frontLane();
    if (found == m_lanes.end()) {
        return;
    }
    const auto &first = found->second.requests.front();
    const auto id = first.request.id;
    m_virtualTime = std::max(m_virtualTime, first.startTag);
    learn(first.request.cost);
    remove(m_positions.at(id));
    m_actions.emplace_back(release { id });
}

void fair_queue::on(const queue_tick & /*event*/)
{
    std::vector<exchange_id> late;
    for (const auto &[id, at] : m_positions) {
        if (m_now + at.item->request.needed >= at.item->request.deadline) {
            late.push_back(id);
        }
    }
    std::ranges::sort(late);
    for (const auto id : late) {
        drop(m_positions.at(id));
        m_actions.emplace_back(turn_away { id, result_code::deadline_too_near });
    }
}

bool fair_queue::makeRoomFor(const queued_request &request)
{
    if (m_positions.size() < m_settings.maxRequests) {
        return true;
    }
    auto worst = m_lanes.end();
    double most = 0;
    for (auto one = m_lanes.begin(); one != m_lanes.end(); ++one) {
        const double load = perWeight(one->second.requests.size(), one->second.weight);
        if (load > most) {
            most = load;
            worst = one;
        }
    }
    const auto own = m_lanes.find(request.workspace);
    const auto ownSize = own == m_lanes.end() ? 0 : own->second.requests.size();
    if (worst == m_lanes.end() || perWeight(ownSize + 1, request.weight) >= most) {
        return false;
    }
    const auto victim = worst->second.requests.back().request.id;
    drop(m_positions.at(victim));
    m_actions.emplace_back(turn_away { victim, result_code::queue_full });
    return true;
}

void fair_queue::drop(position at)
{
    // Service that was not taken is not charged.
    if (std::next(at.item) == at.where->second.requests.end()) {
        at.where->second.finishTag = at.item->startTag;
    }
    remove(at);
}

void fair_queue::remove(position at)
{
    auto &from = at.where->second;
    const auto cost = at.item->request.cost;
    m_positions.erase(at.item->request.id);
    from.cost -= cost;
    m_cost = m_positions.empty() ? 0 : m_cost - cost;
    from.requests.erase(at.item);
    if (from.requests.empty() && from.finishTag <= m_virtualTime) {
        m_lanes.erase(at.where);
    }
}

void fair_queue::learn(double cost)
{
    const double sample = seconds(m_now - m_lastRelease) / std::max(cost, 1e-9);
    m_lastRelease = m_now;
    m_secondsPerCost += m_settings.smoothing * (sample - m_secondsPerCost);
}

fair_queue::lane_map::const_iterator fair_queue::frontLane() const
{
    auto first = m_lanes.end();
    for (auto one = m_lanes.begin(); one != m_lanes.end(); ++one) {
        const auto &requests = one->second.requests;
        if (requests.empty()) {
            continue;
        }
        if (first == m_lanes.end() || requests.front().startTag < first->second.requests.front().startTag) {
            first = one;
        }
    }
    return first;
}

double fair_queue::secondsPerCost(time_point now) const
{
    if (m_positions.empty()) {
        return m_secondsPerCost;
    }
    // While nothing is released, the wait so far is the better estimate.
    const double meanCost = m_cost / static_cast<double>(m_positions.size());
    return std::max(m_secondsPerCost, seconds(now - m_lastRelease) / std::max(meanCost, 1e-9));
}

} // namespace figcleat::request
