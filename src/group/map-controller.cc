#include "figcleat/group/map-controller.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <numeric>
#include <set>

namespace figcleat::group
{

namespace
{

/** Demand has shifted if a map serves what is recent this much worse than it was planned to, and badly. */
constexpr double shiftRatio = 1.2;
constexpr double shiftSkew = 1.6;
/** Shifts are looked for this often: a few reports come in that time. */
constexpr duration watchPeriod = std::chrono::milliseconds(50);
/** Time between the first sign of a shift and the plan: by then most ranks have told of the new demand alone. */
constexpr duration settlingTime = std::chrono::milliseconds(100);
/** Loading makes steps longer, so a map that saves less over `mapLifetime` is not worth it. */
constexpr double leastGainSeconds = 0.45;
/** Plans are made this often while nothing is under way. */
constexpr duration planPeriod = std::chrono::milliseconds(150);
/** A report that is older says too little of a rank to begin a switch. */
constexpr duration freshness = std::chrono::milliseconds(700);
/** An order is sent again after this time; orders and their answers stay on one machine and one network. */
constexpr duration orderTimeout = std::chrono::milliseconds(90);
/** The same for an order with a map of about 6 KB for each rank, which two links of 6 Mbit/s carry in 0.15 s. */
constexpr duration mapOrderTimeout = std::chrono::milliseconds(400);
/** The same once an order of the switch got no answer: copies do no harm, and a step may be held meanwhile. */
constexpr duration repeatPeriod = std::chrono::milliseconds(30);
/** Loading takes the link's time for the experts of one rank; beyond this the map is out of date. */
constexpr duration prepareTimeout = std::chrono::seconds(6);
/** A hold without an answer may stop the group, so it is taken back after this time, about when its step is reached. */
constexpr duration holdTimeout = std::chrono::milliseconds(130);
/** Ranks switch within a few steps of the release; after this time their state is looked at again. */
constexpr duration switchTimeout = std::chrono::seconds(3);
/** Steps between the last one reported and the one that is held: reports are a few steps old. */
constexpr std::uint64_t firstStepMargin = 2;
/** Refusals of one order after which it is taken to be impossible; single ones may be due to an older report. */
constexpr std::uint32_t lastingRefusals = 3;
/** Steps that an earlier controller may have known of beyond those that the ranks reported to this one. */
constexpr std::uint64_t reportedStepLag = 2;
/**
 * No step further ahead is held. It also bounds the steps that the orders of an earlier controller can name, so that a
 * successor holds none of them again: a release of such a step may still be carried out.
 */
constexpr std::uint64_t maxStepMargin = 16;
/**
 * The same while orders go unanswered: several rounds of about 55 ms have to end before the held step is reached, as a
 * pause of a step makes every stream of the group late. The longer the steps, the fewer of them that takes.
 */
constexpr double unansweredMarginSeconds = 0.45;
constexpr std::uint64_t maxUnansweredStepMargin = 10;
/** Weight of the newest step in the smoothed time of a step. */
constexpr double stepTimeWeight = 0.3;
/** Time that a rank may load for one switch; demand stays for a few seconds. */
constexpr double longestLoadSeconds = 0.45;
/** Time for which a map is taken to be of use; demand shifts every few seconds. */
constexpr duration mapLifetime = std::chrono::seconds(4);
/** Share of the step time that loading costs while it lasts (platform's description of its engines). */
constexpr double loadingSlowdown = 0.15;

} // namespace

map_controller::map_controller(map_controller_settings settings)
    : m_settings(std::move(settings))
    , m_nextVersion { m_settings.firstVersion }
    , m_stepMargin(firstStepMargin)
{
    if (!m_settings.demand) {
        m_settings.demand = std::make_shared<demand_estimate>(m_settings.model.sets, m_settings.model.experts);
    }
}

map_controller::phase map_controller::currentPhase() const
{
    return m_phase;
}

std::vector<engine_rank_status> map_controller::reports(duration window, time_point now) const
{
    std::vector<engine_rank_status> latest;
    for (const auto &[number, rank] : m_ranks) {
        if (now - rank.heard <= window) {
            latest.push_back(rank.status);
        }
    }
    return latest;
}

double map_controller::skew() const
{
    return m_skew;
}

std::uint64_t map_controller::switches() const
{
    return m_switches;
}

map_version map_controller::mapInUse() const
{
    map_version highest;
    for (const auto &[number, rank] : m_ranks) {
        highest = std::max(highest, rank.status.map);
    }
    return highest;
}

std::vector<map_action> map_controller::step(const map_event &event, time_point now)
{
    m_now = now;
    std::visit([this](const auto &what) { handle(what); }, event);
    return std::exchange(m_actions, {});
}

void map_controller::restart(const engine_rank_status &status)
{
    m_epoch = status.epoch;
    m_step = {};
    m_chosen = {};
    m_firstStep.reset();
    m_recovers = false;
    m_furthestStep = {};
    m_stepSeconds = 0;
    m_size = status.ranks;
    m_ranks.clear();
    enter(phase::idle);
    note(fmt::format("epoch={} ranks={}", m_epoch.value, m_size));
}

void map_controller::handle(const rank_reported &event)
{
    const auto &status = event.status;
    if (status.epoch < m_epoch || status.ranks == 0 || status.rank >= status.ranks) {
        return;
    }
    if (status.epoch > m_epoch || status.ranks != m_size) {
        restart(status);
    }
    auto &rank = m_ranks[status.rank];
    if (status.orders < rank.status.orders || status.step < rank.status.step) {
        // Overtaken by a later report.
        return;
    }
    m_settings.demand->observe(status.chosen, m_now);
    learnStepTime(status.step);
    rank.status = status;
    rank.heard = m_now;
    rank.agentSilent = false;
    if (std::exchange(rank.refused, false)) {
        reconsider(rank);
    }
    m_nextVersion = std::max({ m_nextVersion, status.map.next(), status.prepared.next(), status.armed.next() });
    advance();
}

void map_controller::handle(const choices_counted &event)
{
    m_settings.demand->observe(event.chosen, m_now);
    advance();
}

void map_controller::learnStepTime(step_number step)
{
    if (step <= m_furthestStep) {
        return;
    }
    const auto steps = static_cast<double>(step.value - m_furthestStep.value);
    const double seconds = std::chrono::duration<double>(m_now - m_furthestAt).count() / steps;
    if (m_furthestStep != step_number {}) {
        m_stepSeconds += stepTimeWeight * (seconds - m_stepSeconds);
    }
    m_furthestStep = step;
    m_furthestAt = m_now;
}

std::uint64_t map_controller::unansweredStepMargin() const
{
    if (m_stepSeconds <= 0) {
        return maxUnansweredStepMargin;
    }
    const auto steps = static_cast<std::uint64_t>(std::ceil(unansweredMarginSeconds / m_stepSeconds));
    return std::clamp(steps, firstStepMargin, maxUnansweredStepMargin);
}

void map_controller::handle(const order_answered &event)
{
    const auto found = m_ranks.find(event.rank);
    if (found == m_ranks.end()) {
        return;
    }
    auto &rank = found->second;
    if (event.answer.id == rank.strayRelease) {
        const bool isAnswered = event.answer.result != order_result::unknown;
        rank.strayHold = isAnswered ? step_number {} : rank.strayHold;
        rank.strayReleasedAt = {};
        return;
    }
    if (rank.firstOrder == order_id {} || event.answer.id < rank.firstOrder) {
        return;
    }
    const bool isLatest = rank.pending == event.answer.id;
    if (isLatest) {
        rank.pending = {};
    }
    if (!rank.isDirect) {
        rank.askedAt = {};
    }
    switch (event.answer.result) {
    case order_result::accepted:
        // All orders of a phase to a rank ask for the same.
        rank.confirmed = true;
        break;
    case order_result::refused:
        if (!rank.confirmed) {
            rank.sentAt = m_now;
            rank.refused = true;
            ++rank.refusals;
        }
        break;
    case order_result::unknown:
        rank.sentAt = isLatest ? time_point {} : rank.sentAt;
        ++m_unanswered;
        break;
    }
    advance();
}

/** After a refusal, with a report that is later than it. */
void map_controller::reconsider(rank_state &rank)
{
    rank.sentAt = {};
    if (m_phase == phase::voiding && rank.status.armed != map_version {}) {
        // An earlier order to arm was carried out late.
        undoOrComplete();
        return;
    }
    if (m_phase != phase::holding || isSettled(rank)) {
        return;
    }
    // A hold that is there already is not taken over: a release that was sent for it may be carried out late, while
    // ranks are being armed.
    if (rank.status.held == step_number {}) {
        m_stepMargin = std::min(m_stepMargin * 2, maxStepMargin);
    }
    chooseStep();
}

/**
 * Ranks are disarmed only once another one has taken the map that makes the switch void: from then on no controller
 * completes it, so that an order to disarm may be carried out late.
 */
void map_controller::undoOrComplete()
{
    const auto isVoid = [this](const auto &entry) { return isSettled(entry.second); };
    const auto isArmed = [](const auto &entry) { return entry.second.status.armed != map_version {}; };
    if (std::any_of(m_ranks.begin(), m_ranks.end(), isVoid)) {
        enter(phase::disarming);
    } else if (std::all_of(m_ranks.begin(), m_ranks.end(), isArmed)) {
        recover();
    }
}

void map_controller::handle(const map_tick & /*event*/)
{
    advance();
}

bool map_controller::isComplete() const
{
    return m_size > 0 && m_ranks.size() == m_size;
}

bool map_controller::areFresh(duration window) const
{
    return std::all_of(m_ranks.begin(), m_ranks.end(), [&](const auto &entry) {
        return m_now - entry.second.heard <= window && entry.second.status.isOpen;
    });
}

/** No rank is armed or held, and all use one map. */
bool map_controller::isClean() const
{
    const auto map = m_ranks.begin()->second.status.map;
    return std::all_of(m_ranks.begin(), m_ranks.end(), [&](const auto &entry) {
        const auto &status = entry.second.status;
        return status.map == map && status.armed == map_version {} && status.held == step_number {};
    });
}

void map_controller::enter(phase next)
{
    m_phase = next;
    m_since = m_now;
    for (auto &[number, rank] : m_ranks) {
        rank.pending = {};
        rank.firstOrder = {};
        rank.sentAt = {};
        rank.askedAt = {};
        rank.sends = 0;
        rank.confirmed = false;
        rank.refused = false;
        rank.refusals = 0;
    }
}

bool map_controller::takesPart(rank_number rank) const
{
    const bool concernsHolder = m_phase == phase::holding || m_phase == phase::releasing;
    return !concernsHolder || rank == m_holder;
}

/** What the present phase asks of the rank is done. */
bool map_controller::isSettled(const rank_state &rank) const
{
    const auto &status = rank.status;
    switch (m_phase) {
    case phase::idle:
        return true;
    case phase::preparing:
        return status.prepared == m_version;
    case phase::holding:
        return rank.confirmed || status.held == m_step;
    case phase::arming:
        return rank.confirmed || status.armed == m_version || status.map == m_version;
    case phase::releasing:
        return rank.confirmed || (rank.heard > m_since && status.held == step_number {});
    case phase::switching:
        return status.map == m_version;
    case phase::disarming:
        return rank.confirmed || (rank.heard > m_since && status.armed == map_version {});
    case phase::voiding:
        // An accepted order says only that the load has begun; until it has ended the earlier map might still be armed.
        return status.prepared == m_version;
    }
    return false;
}

rank_order map_controller::orderFor(const rank_state &to) const
{
    rank_order order;
    order.epoch = m_epoch;
    order.version = m_version;
    order.step = m_step;
    order.expectedOrders = to.status.orders;
    switch (m_phase) {
    case phase::preparing:
    case phase::voiding:
        order.operation = rank_operation::prepare;
        order.map = inOrderForm(m_layers);
        break;
    case phase::holding:
        order.operation = rank_operation::hold;
        break;
    case phase::arming:
        order.operation = rank_operation::arm;
        break;
    case phase::releasing:
        order.operation = rank_operation::go;
        break;
    case phase::disarming:
        order.operation = rank_operation::disarm;
        order.version = to.status.armed;
        break;
    case phase::idle:
    case phase::switching:
        break;
    }
    return order;
}

void map_controller::send(rank_number rank, rank_state &to, rank_order order)
{
    m_lastOrder = m_lastOrder.next();
    order.id = m_lastOrder;
    to.pending = order.id;
    to.firstOrder = to.firstOrder == order_id {} ? order.id : to.firstOrder;
    to.askedAt = to.askedAt == time_point {} ? m_now : to.askedAt;
    to.sentAt = m_now;
    // While a step is held or ranks are armed the group may come to a stop, so a silent agent is passed by.
    const bool isUrgent = m_phase == phase::arming || m_phase == phase::releasing;
    to.agentSilent = to.agentSilent || m_now - to.askedAt >= orderTimeout;
    to.isDirect = isUrgent && to.agentSilent;
    to.sends += 1;
    m_actions.emplace_back(send_order { rank, std::move(order), to.isDirect });
}

void map_controller::sendToUnsettled()
{
    if (m_phase == phase::idle || m_phase == phase::switching) {
        return;
    }
    if (m_phase == phase::holding && m_step.value > furthestStep().value + maxStepMargin) {
        // The group has to begin more steps first.
        m_since = m_now;
        return;
    }
    std::vector<rank_number> first;
    for (auto &[number, rank] : m_ranks) {
        const bool isDue = rank.sentAt == time_point {} || m_now - rank.sentAt >= answerTimeout();
        const bool isLoading = m_phase == phase::preparing && rank.confirmed;
        const bool hasNothingToDisarm = m_phase == phase::disarming && rank.status.armed == map_version {};
        if (!takesPart(number) || isSettled(rank) || !isDue || isLoading || hasNothingToDisarm) {
            continue;
        }
        // A map for many ranks would fill the link of the controller, also when it is sent again.
        const bool isLong = m_phase == phase::preparing || m_phase == phase::voiding;
        if ((rank.sends == 0 && !rank.agentSilent && m_phase != phase::disarming) || isLong) {
            first.push_back(number);
        } else {
            send(number, rank, orderFor(rank));
        }
    }
    spread(first);
}

duration map_controller::answerTimeout() const
{
    if (m_phase == phase::preparing || m_phase == phase::voiding) {
        return mapOrderTimeout;
    }
    return m_unanswered > 0 ? repeatPeriod : orderTimeout;
}

void map_controller::spread(const std::vector<rank_number> &to)
{
    if (to.size() == 1) {
        auto &rank = m_ranks.at(to.front());
        send(to.front(), rank, orderFor(rank));
    }
    if (to.size() <= 1) {
        return;
    }
    spread_order sent { orderFor(m_ranks.at(to.front())), {} };
    for (const auto number : to) {
        auto &rank = m_ranks.at(number);
        m_lastOrder = m_lastOrder.next();
        rank.pending = m_lastOrder;
        rank.firstOrder = rank.firstOrder == order_id {} ? m_lastOrder : rank.firstOrder;
        rank.askedAt = rank.askedAt == time_point {} ? m_now : rank.askedAt;
        rank.sentAt = m_now;
        rank.isDirect = false;
        rank.sends += 1;
        sent.to.push_back({ number, {}, m_lastOrder, rank.status.orders });
    }
    m_actions.emplace_back(std::move(sent));
}

void map_controller::releaseStrayHolds()
{
    const bool isArming = m_phase == phase::arming && !m_recovers;
    const bool isSwitching = m_phase == phase::holding || isArming || m_phase == phase::releasing;
    for (auto &[number, rank] : m_ranks) {
        const auto held = rank.status.held;
        if (isSwitching && held != step_number {} && (number != m_holder || held != m_step)) {
            rank.strayHold = held;
        }
        if (rank.strayHold == step_number {} || m_now - rank.strayReleasedAt < orderTimeout) {
            continue;
        }
        if (rank.strayReleasedAt == time_point {}) {
            note(fmt::format("releases_stray=1 rank={} step={}", number, rank.strayHold.value));
        }
        m_lastOrder = m_lastOrder.next();
        rank.strayRelease = m_lastOrder;
        rank.strayReleasedAt = m_now;
        rank_order order;
        order.id = m_lastOrder;
        order.operation = rank_operation::go;
        order.epoch = m_epoch;
        order.step = rank.strayHold;
        order.expectedOrders = rank.status.orders;
        m_actions.emplace_back(send_order { number, std::move(order), true });
    }
}

void map_controller::holdElsewhere()
{
    note(fmt::format("holder_silent=1 version={} rank={} step={}", m_version.value, m_holder, m_step.value));
    auto &silent = m_ranks.at(m_holder);
    silent.agentSilent = true;
    silent.strayHold = m_step;
    silent.strayReleasedAt = {};
    enter(phase::holding);
    chooseStep();
}

bool map_controller::isHeld() const
{
    return std::any_of(m_ranks.begin(), m_ranks.end(),
                       [](const auto &entry) { return entry.second.status.held != step_number {}; });
}

/** False if a rank has refused to be armed and reports no state from which it could be. */
bool map_controller::canArm() const
{
    return std::all_of(m_ranks.begin(), m_ranks.end(), [this](const auto &entry) {
        const auto &status = entry.second.status;
        return entry.second.confirmed || status.armed == m_version || status.prepared == m_version
            || status.map == m_version || entry.second.refusals < lastingRefusals;
    });
}

void map_controller::advance()
{
    if (!isComplete()) {
        return;
    }
    if (!m_firstStep) {
        m_firstStep = step_number { furthestStep().value + reportedStepLag + maxStepMargin + 1 };
    }
    const auto isDone = [this] {
        return std::all_of(m_ranks.begin(), m_ranks.end(),
                           [this](const auto &entry) { return !takesPart(entry.first) || isSettled(entry.second); });
    };
    // Several phases may be done at once, for example when a report shows what an answer did not.
    while (m_phase != phase::idle && isDone()) {
        if (m_phase == phase::preparing && !areFresh(freshness)) {
            return;
        }
        leavePhase();
    }
    checkTimeouts();
    watchDemand();
    if (m_phase == phase::idle) {
        advanceIdle();
    }
    releaseStrayHolds();
    sendToUnsettled();
}

void map_controller::leavePhase()
{
    switch (m_phase) {
    case phase::preparing:
        chooseStep();
        enter(phase::holding);
        break;
    case phase::holding:
        note(fmt::format("held=1 version={} rank={} step={}", m_version.value, m_holder, m_step.value));
        enter(phase::arming);
        break;
    case phase::arming:
        if (std::exchange(m_recovers, false)) {
            releaseHold();
        } else {
            enter(phase::releasing);
        }
        break;
    case phase::releasing:
        note(fmt::format("released=1 version={} rank={} step={}", m_version.value, m_holder, m_step.value));
        enter(m_version == map_version {} ? phase::idle : phase::switching);
        break;
    case phase::switching:
        ++m_switches;
        m_stepMargin = m_unanswered > 0 ? unansweredStepMargin() : std::max(firstStepMargin, m_stepMargin / 2);
        note(fmt::format("switched=1 version={} step={}", m_version.value, m_step.value));
        enter(phase::idle);
        break;
    case phase::disarming:
        voidSwitch();
        break;
    case phase::voiding:
        m_version = {};
        releaseHold();
        break;
    case phase::idle:
        break;
    }
}

/** Has every rank prepare the present map under a new version, so that orders to arm an earlier one have no effect. */
void map_controller::voidSwitch()
{
    m_version = m_nextVersion;
    m_nextVersion = m_nextVersion.next();
    m_layers = presentMap().layers;
    enter(phase::voiding);
}

/** Lets the group begin the step that a rank holds. */
void map_controller::releaseHold()
{
    const auto holder = std::find_if(m_ranks.begin(), m_ranks.end(),
                                     [](const auto &entry) { return entry.second.status.held != step_number {}; });
    if (holder == m_ranks.end()) {
        enter(phase::idle);
        return;
    }
    m_holder = holder->first;
    m_step = holder->second.status.held;
    enter(phase::releasing);
}

void map_controller::checkTimeouts()
{
    const duration since = m_now - m_since;
    if (m_phase == phase::switching && since >= orderTimeout && isHeld()) {
        // A copy of the hold was carried out late, after the release; every rank is armed.
        note(fmt::format("releases_again=1 version={} step={}", m_version.value, m_step.value));
        releaseHold();
    } else if (m_phase == phase::preparing && since >= prepareTimeout) {
        note(fmt::format("abandoned=1 version={} reason=prepare_timeout", m_version.value));
        enter(phase::idle);
    } else if (m_phase == phase::switching && since >= switchTimeout && isClean()) {
        note(fmt::format("abandoned=1 version={} reason=not_switched", m_version.value));
        enter(phase::idle);
    } else if (m_phase == phase::holding && since >= holdTimeout && m_ranks.at(m_holder).sends > 0) {
        holdElsewhere();
    } else if (m_phase == phase::arming && areFresh(freshness) && !canArm()) {
        m_recovers = false;
        note(fmt::format("abandoned=1 version={} reason=not_prepared", m_version.value));
        enter(phase::disarming);
    }
}

void map_controller::recover()
{
    map_version armed;
    step_number armedStep;
    std::set<step_number> held;
    for (const auto &[number, rank] : m_ranks) {
        if (rank.status.armed > armed) {
            armed = rank.status.armed;
            armedStep = rank.status.armedStep;
        }
        if (rank.status.held != step_number {}) {
            held.insert(rank.status.held);
        }
    }
    if (armedStep == step_number {} && held.size() == 1) {
        armedStep = *held.begin();
    }
    note(fmt::format("recovers=1 armed={} step={} holds={}", armed.value, armedStep.value, held.size()));
    if (armed == map_version {} || armedStep == step_number {}) {
        voidSwitch();
        return;
    }
    // All ranks may be armed, and a release be under way, though some reports are older than that. So nothing is undone
    // unless a rank refuses to be armed.
    m_version = armed;
    m_step = armedStep;
    m_recovers = true;
    enter(phase::arming);
}

void map_controller::advanceIdle()
{
    if (!areFresh(freshness)) {
        return;
    }
    if (isHeld()) {
        recover();
        return;
    }
    if (isClean() && m_now >= m_nextPlan && !isSettling()) {
        m_nextPlan = m_now + planPeriod;
        planNext();
    }
}

expert_map map_controller::presentMap() const
{
    expert_map map;
    map.ranks = m_size;
    map.layers.assign(m_settings.model.sets, { std::vector<std::vector<rank_number>>(m_settings.model.experts) });
    for (const auto &[number, rank] : m_ranks) {
        for (std::size_t set = 0; set < std::min(rank.status.experts.size(), map.layers.size()); ++set) {
            for (const auto expert : rank.status.experts[set]) {
                if (expert < m_settings.model.experts) {
                    map.layers[set].replicas[expert].push_back(number);
                }
            }
        }
    }
    return map;
}

/** New experts of a rank and set in one switch: as many as load in time. */
std::size_t map_controller::loadsPerSwitch() const
{
    const auto &model = m_settings.model;
    const auto bytes = static_cast<double>(model.bytesPerExpert.count) * static_cast<double>(model.sets);
    const double secondsForOne
        = bytes / static_cast<double>(std::max<std::int64_t>(1, model.rankLoadBytesPerSecond.count));
    const auto loads = static_cast<std::size_t>(longestLoadSeconds / std::max(secondsForOne, 1e-6));
    return std::min(model.spareSlotsPerRank, std::max<std::size_t>(1, loads));
}

plan_limits map_controller::planLimits() const
{
    const auto &model = m_settings.model;
    plan_limits limits;
    limits.slotsPerRank = model.slotsPerRank;
    limits.loadsPerRank = loadsPerSwitch();
    limits.bytesPerExpert = model.bytesPerExpert;
    // Ranks load at the same time, so that a replica takes its part of the group's time.
    limits.storeBytesPerSecond = { model.rankLoadBytesPerSecond.count * m_size };
    limits.storeContentionFactor = 8;
    limits.loadingSlowdown = loadingSlowdown;
    limits.expertShare = model.expertShare;
    limits.maxMapLifetime = mapLifetime;
    limits.byteBudget
        = { model.bytesPerExpert.count * static_cast<std::int64_t>(m_size * model.spareSlotsPerRank * model.sets) };
    for (const auto &[number, rank] : m_ranks) {
        limits.timePerToken.push_back(std::max(1.0, rank.status.pace));
    }
    return limits;
}

double map_controller::skewOf(const expert_demand &demand, const expert_map &map, const plan_limits &limits) const
{
    double busiest = 0;
    double mean = 0;
    for (std::size_t set = 0; set < demand.size(); ++set) {
        const auto ranks = rankLoads({ demand[set], 0, 0 }, map.layers[set], limits, m_size);
        busiest += *std::max_element(ranks.begin(), ranks.end());
        mean += std::accumulate(ranks.begin(), ranks.end(), 0.0) / m_size;
    }
    return mean > 0 ? busiest / mean : 0;
}

bool map_controller::isOutdated(const expert_map &map) const
{
    return skewOf(m_settings.demand->recent(), map, planLimits()) > std::max(shiftSkew, shiftRatio * m_expectedSkew);
}

void map_controller::watchDemand()
{
    const bool isDue = m_now - m_demandWatched >= watchPeriod;
    const bool isLoading = m_phase == phase::preparing;
    if (!isDue || m_expectedSkew <= 0 || (m_phase != phase::idle && !isLoading)) {
        return;
    }
    m_demandWatched = m_now;
    const auto map = isLoading ? expert_map { {}, m_size, m_layers } : presentMap();
    if (!validate(map, m_settings.model.slotsPerRank) || !isOutdated(map)) {
        m_shiftSeen.reset();
        return;
    }
    m_shiftSeen = m_shiftSeen.value_or(m_now);
    if (m_now - *m_shiftSeen < settlingTime) {
        return;
    }
    m_nextPlan = m_now;
    if (isLoading) {
        note(fmt::format("abandoned=1 version={} reason=demand_shifted", m_version.value));
        enter(phase::idle);
    }
}

bool map_controller::isSettling() const
{
    return m_shiftSeen && m_now - *m_shiftSeen < settlingTime;
}

void map_controller::planNext()
{
    const auto present = presentMap();
    auto &demand = *m_settings.demand;
    if (demand.steady().empty() || !validate(present, m_settings.model.slotsPerRank)) {
        return;
    }
    const auto limits = planLimits();
    m_shiftSeen.reset();
    m_skew = skewOf(demand.steady(), present, limits);
    const double recentSkew = skewOf(demand.recent(), present, limits);
    if (recentSkew > shiftSkew && recentSkew > shiftRatio * m_expectedSkew) {
        // A plan for the mean of old and new demand would serve neither.
        note(fmt::format("shift=1 skew={:.2f} recent={:.2f}", m_skew, recentSkew));
        demand.resetSteadyToRecent();
        m_skew = recentSkew;
    }
    std::vector<layer_load> loads;
    for (const auto &set : demand.steady()) {
        loads.push_back({ set, 0, 0 });
    }
    auto next = plan(loads, present, limits);
    m_expectedSkew = m_skew;
    if (next.layers.empty() || next.gainSeconds < leastGainSeconds) {
        return;
    }
    m_unanswered = 0;
    m_version = m_nextVersion;
    m_nextVersion = m_nextVersion.next();
    m_layers = std::move(next.layers);
    m_expectedSkew = skewOf(demand.steady(), { {}, m_size, m_layers }, limits);
    note(fmt::format("prepare=1 version={} skew={:.2f} expected={:.2f} replicas={} gain_s={:.2f} cost_s={:.2f}",
                     m_version.value, m_skew, m_expectedSkew, next.replicasLoaded, next.gainSeconds, next.costSeconds));
    enter(phase::preparing);
}

std::vector<expert_lists> map_controller::inOrderForm(const std::vector<layer_map> &layers) const
{
    std::vector<expert_lists> sets(layers.size(), expert_lists(m_size));
    for (std::size_t set = 0; set < layers.size(); ++set) {
        for (std::uint32_t expert = 0; expert < layers[set].replicas.size(); ++expert) {
            for (const auto rank : layers[set].replicas[expert]) {
                sets[set][rank].push_back(expert);
            }
        }
    }
    return sets;
}

step_number map_controller::furthestStep() const
{
    step_number furthest;
    for (const auto &[number, rank] : m_ranks) {
        furthest = std::max(furthest, rank.status.step);
    }
    return furthest;
}

void map_controller::chooseStep()
{
    // Never the same step twice: a release of an earlier hold may be carried out late.
    for (auto &[number, rank] : m_ranks) {
        // An answer to an order with the step before does not confirm this one.
        rank.pending = {};
        rank.firstOrder = {};
    }
    m_step = { std::max({ furthestStep().value + m_stepMargin, m_chosen.value + 1, m_firstStep->value }) };
    m_chosen = m_step;
    const auto answers
        = std::find_if(m_ranks.begin(), m_ranks.end(), [](const auto &entry) { return !entry.second.agentSilent; });
    m_holder = answers == m_ranks.end() ? m_ranks.begin()->first : answers->first;
}

void map_controller::note(std::string what)
{
    m_actions.emplace_back(map_note { std::move(what) });
}

} // namespace figcleat::group
