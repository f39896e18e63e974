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

/**
 * Demand has shifted if, with recent demand, the skew of a map exceeds both `shiftSkew` and `shiftRatio` times the skew
 * that was planned for this map.
 */
constexpr double shiftRatio = 1.2;
constexpr double shiftSkew = 1.6;
/** Period of the check for shifts of demand; long enough for a few reports to arrive between two checks. */
constexpr duration demandCheckPeriod = std::chrono::milliseconds(50);
/**
 * Time from the first sign of a shift to the plan. By then most ranks have reported choices of the new demand alone.
 */
constexpr duration settlingTime = std::chrono::milliseconds(100);
/** A map that saves less time than this over `mapLifetime` is not loaded, as loading makes steps longer. */
constexpr double minGainSeconds = 0.45;
/** Period of planning while no switch is in progress. */
constexpr duration planPeriod = std::chrono::milliseconds(150);
/**
 * A switch begins only while the latest report of every rank is at most this old. An older report says too little about
 * the state of the rank to begin a switch.
 */
constexpr duration maxReportAge = std::chrono::milliseconds(700);
/**
 * Time without an answer after which an order is sent again. It can be short, because an order and its answer stay on
 * one machine and one network.
 */
constexpr duration orderTimeout = std::chrono::milliseconds(90);
/**
 * Like `orderTimeout`, for an order with a map. Such an order has about 6 KB for each rank, and two links of 6 Mbit/s
 * carry it in 0.15 s.
 */
constexpr duration mapOrderTimeout = std::chrono::milliseconds(400);
/**
 * Like `orderTimeout`, once an order of the switch was not answered. Orders are then repeated sooner, because
 * duplicates are harmless and a held step may stop the group.
 */
constexpr duration repeatPeriod = std::chrono::milliseconds(30);
/**
 * Time after which loading is abandoned. Loading takes as long as the link needs to transfer the experts of one rank.
 * After this timeout the map is out of date.
 */
constexpr duration prepareTimeout = std::chrono::seconds(6);
/** An unanswered hold may stop the group, so it is abandoned after this time, at about the time its step is reached. */
constexpr duration holdTimeout = std::chrono::milliseconds(130);
/** Ranks switch within a few steps of the release; after this time the controller checks whether the switch failed. */
constexpr duration switchTimeout = std::chrono::seconds(3);
/** Smallest distance from the latest reported step to the held one, in steps; reports are a few steps old. */
constexpr std::uint64_t firstStepMargin = 2;
/** Number of refusals after which an order counts as impossible. A single refusal may be due to an outdated report. */
constexpr std::uint32_t maxRefusals = 3;
/** Steps by which the reports that an earlier controller received may be ahead of those that this controller has. */
constexpr std::uint64_t reportedStepLag = 2;
/**
 * Largest distance from the latest reported step to the held one, in steps. This also bounds the steps that orders of
 * an earlier controller can name, so that its successor does not hold any of them again: a release of such a step may
 * still be executed.
 */
constexpr std::uint64_t maxStepMargin = 16;
/**
 * Time, and largest distance in steps, from the latest reported step to the held one after orders of a switch went
 * unanswered. Several rounds of about 55 ms have to end before the held step is reached, as pausing a step delays every
 * stream of the group. The longer a step takes, the fewer steps are needed.
 */
constexpr double unansweredMarginSeconds = 0.45;
constexpr std::uint64_t maxUnansweredStepMargin = 10;
/** Weight of the newest sample in the smoothed step duration. */
constexpr double stepTimeWeight = 0.3;
/** Time that a rank may spend on loading for one switch; short, as demand stays the same for only a few seconds. */
constexpr double maxLoadSeconds = 0.45;
/** Expected useful life of a map; demand shifts every few seconds. */
constexpr duration mapLifetime = std::chrono::seconds(4);
/** Share of the step time that loading costs while it lasts (from the platform's description of its engines). */
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
        if (now - rank.lastReportAt <= window) {
            latest.push_back(rank.status);
        }
    }
    return latest;
}

double map_controller::skew() const
{
    return m_skew;
}

std::uint64_t map_controller::switchCount() const
{
    return m_switchCount;
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
    std::visit([this](const auto &typedEvent) { handle(typedEvent); }, event);
    return std::exchange(m_actions, {});
}

void map_controller::resetForEpoch(const engine_rank_status &status)
{
    m_epoch = status.epoch;
    m_step = {};
    m_lastChosenStep = {};
    m_firstStep.reset();
    m_isRecovering = false;
    m_furthestStep = {};
    m_stepSeconds = 0;
    m_rankCount = status.ranks;
    m_ranks.clear();
    enter(phase::idle);
    logMessage(fmt::format("epoch={} ranks={}", m_epoch.value, m_rankCount));
}

void map_controller::handle(const rank_reported &event)
{
    const auto &status = event.status;
    if (status.epoch < m_epoch || status.ranks == 0 || status.rank >= status.ranks) {
        return;
    }
    if (status.epoch > m_epoch || status.ranks != m_rankCount) {
        resetForEpoch(status);
    }
    auto &rank = m_ranks[status.rank];
    if (status.orders < rank.status.orders || status.step < rank.status.step) {
        // A later report has already arrived.
        return;
    }
    m_settings.demand->observe(status.chosen, m_now);
    updateStepTime(status.step);
    rank.status = status;
    rank.lastReportAt = m_now;
    rank.isAgentSilent = false;
    if (std::exchange(rank.refused, false)) {
        handleRefusal(rank);
    }
    m_nextVersion = std::max({ m_nextVersion, status.map.next(), status.prepared.next(), status.armed.next() });
    advance();
}

void map_controller::handle(const choices_counted &event)
{
    m_settings.demand->observe(event.chosen, m_now);
    advance();
}

void map_controller::updateStepTime(step_number step)
{
    if (step <= m_furthestStep) {
        return;
    }
    const auto steps = static_cast<double>(step.value - m_furthestStep.value);
    const double seconds = std::chrono::duration<double>(m_now - m_furthestStepAt).count() / steps;
    if (m_furthestStep != step_number {}) {
        m_stepSeconds += stepTimeWeight * (seconds - m_stepSeconds);
    }
    m_furthestStep = step;
    m_furthestStepAt = m_now;
}

std::uint64_t map_controller::stepMarginForUnansweredOrders() const
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
    if (event.answer.id == rank.abandonedHoldReleaseOrder) {
        const bool isAnswered = event.answer.result != order_result::unknown;
        rank.abandonedHold = isAnswered ? step_number {} : rank.abandonedHold;
        rank.abandonedHoldReleasedAt = {};
        return;
    }
    if (rank.firstOrder == order_id {} || event.answer.id < rank.firstOrder) {
        return;
    }
    const bool isLatest = rank.pendingOrder == event.answer.id;
    if (isLatest) {
        rank.pendingOrder = {};
    }
    if (!rank.isDirect) {
        rank.unansweredSince = {};
    }
    switch (event.answer.result) {
    case order_result::accepted:
        // All orders of a phase ask a rank for the same change, so accepting any of them confirms the phase.
        rank.confirmed = true;
        break;
    case order_result::refused:
        if (!rank.confirmed) {
            rank.sentAt = m_now;
            rank.refused = true;
            ++rank.refusalCount;
        }
        break;
    case order_result::unknown:
        rank.sentAt = isLatest ? time_point {} : rank.sentAt;
        ++m_unansweredOrders;
        break;
    }
    advance();
}

/** Reacts to a refusal once a report later than the refusal has arrived. */
void map_controller::handleRefusal(rank_state &rank)
{
    rank.sentAt = {};
    if (m_phase == phase::voiding && rank.status.armed != map_version {}) {
        // An earlier order to arm was executed late.
        undoOrComplete();
        return;
    }
    if (m_phase != phase::holding || hasCompletedPhase(rank)) {
        return;
    }
    // An existing hold is not reused: a release that was sent for it may be executed late, while ranks are being armed.
    if (rank.status.held == step_number {}) {
        m_stepMargin = std::min(m_stepMargin * 2, maxStepMargin);
    }
    chooseStep();
}

/**
 * Undoes or completes a switch for which a rank was armed late. Ranks are disarmed only once another rank has prepared
 * the map that makes the switch void. From then on no controller completes the switch, so an order to disarm may safely
 * be executed late.
 */
void map_controller::undoOrComplete()
{
    const auto isVoid = [this](const auto &entry) { return hasCompletedPhase(entry.second); };
    const auto isArmed = [](const auto &entry) { return entry.second.status.armed != map_version {}; };
    if (std::any_of(m_ranks.begin(), m_ranks.end(), isVoid)) {
        enter(phase::disarming);
    } else if (std::all_of(m_ranks.begin(), m_ranks.end(), isArmed)) {
        recoverSwitch();
    }
}

void map_controller::handle(const map_tick & /*event*/)
{
    advance();
}

bool map_controller::haveAllRanksReported() const
{
    return m_rankCount > 0 && m_ranks.size() == m_rankCount;
}

bool map_controller::areReportsFresh(duration window) const
{
    return std::all_of(m_ranks.begin(), m_ranks.end(), [&](const auto &entry) {
        return m_now - entry.second.lastReportAt <= window && entry.second.status.isOpen;
    });
}

/** True if no rank is armed or holds a step, and all ranks use the same map. */
bool map_controller::isConsistent() const
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
    m_phaseSince = m_now;
    for (auto &[number, rank] : m_ranks) {
        rank.pendingOrder = {};
        rank.firstOrder = {};
        rank.sentAt = {};
        rank.unansweredSince = {};
        rank.sentCount = 0;
        rank.confirmed = false;
        rank.refused = false;
        rank.refusalCount = 0;
    }
}

bool map_controller::takesPartInPhase(rank_number rank) const
{
    const bool concernsHolder = m_phase == phase::holding || m_phase == phase::releasing;
    return !concernsHolder || rank == m_holder;
}

/** True if the rank has done what the current phase asks of it. */
bool map_controller::hasCompletedPhase(const rank_state &rank) const
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
        return rank.confirmed || (rank.lastReportAt > m_phaseSince && status.held == step_number {});
    case phase::switching:
        return status.map == m_version;
    case phase::disarming:
        return rank.confirmed || (rank.lastReportAt > m_phaseSince && status.armed == map_version {});
    case phase::voiding:
        // Acceptance only means that loading has begun; until loading ends, the earlier map might still be armed.
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
        order.map = toOrderFormat(m_layers);
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
    to.pendingOrder = order.id;
    to.firstOrder = to.firstOrder == order_id {} ? order.id : to.firstOrder;
    to.unansweredSince = to.unansweredSince == time_point {} ? m_now : to.unansweredSince;
    to.sentAt = m_now;
    // While a step is held or ranks are armed the group may stop, so orders bypass a silent agent.
    const bool isUrgent = m_phase == phase::arming || m_phase == phase::releasing;
    to.isAgentSilent = to.isAgentSilent || m_now - to.unansweredSince >= orderTimeout;
    to.isDirect = isUrgent && to.isAgentSilent;
    to.sentCount += 1;
    m_actions.emplace_back(send_order { rank, std::move(order), to.isDirect });
}

void map_controller::sendDueOrders()
{
    if (m_phase == phase::idle || m_phase == phase::switching) {
        return;
    }
    if (m_phase == phase::holding && m_step.value > furthestStep().value + maxStepMargin) {
        // The step is too far ahead; wait until the group has begun more steps.
        m_phaseSince = m_now;
        return;
    }
    std::vector<rank_number> first;
    for (auto &[number, rank] : m_ranks) {
        const bool isDue = rank.sentAt == time_point {} || m_now - rank.sentAt >= answerTimeout();
        const bool isLoading = m_phase == phase::preparing && rank.confirmed;
        const bool hasNothingToDisarm = m_phase == phase::disarming && rank.status.armed == map_version {};
        if (!takesPartInPhase(number) || hasCompletedPhase(rank) || !isDue || isLoading || hasNothingToDisarm) {
            continue;
        }
        // Separate copies of a map for many ranks would saturate the controller's link, also when they are sent again.
        const bool ordersCarryMap = m_phase == phase::preparing || m_phase == phase::voiding;
        if ((rank.sentCount == 0 && !rank.isAgentSilent && m_phase != phase::disarming) || ordersCarryMap) {
            first.push_back(number);
        } else {
            send(number, rank, orderFor(rank));
        }
    }
    sendToRanks(first);
}

duration map_controller::answerTimeout() const
{
    if (m_phase == phase::preparing || m_phase == phase::voiding) {
        return mapOrderTimeout;
    }
    return m_unansweredOrders > 0 ? repeatPeriod : orderTimeout;
}

void map_controller::sendToRanks(const std::vector<rank_number> &to)
{
    if (to.size() == 1) {
        auto &rank = m_ranks.at(to.front());
        send(to.front(), rank, orderFor(rank));
    }
    if (to.size() <= 1) {
        return;
    }
    multi_rank_order sent { orderFor(m_ranks.at(to.front())), {} };
    for (const auto number : to) {
        auto &rank = m_ranks.at(number);
        m_lastOrder = m_lastOrder.next();
        rank.pendingOrder = m_lastOrder;
        rank.firstOrder = rank.firstOrder == order_id {} ? m_lastOrder : rank.firstOrder;
        rank.unansweredSince = rank.unansweredSince == time_point {} ? m_now : rank.unansweredSince;
        rank.sentAt = m_now;
        rank.isDirect = false;
        rank.sentCount += 1;
        sent.to.push_back({ number, {}, m_lastOrder, rank.status.orders });
    }
    m_actions.emplace_back(std::move(sent));
}

void map_controller::releaseAbandonedHolds()
{
    const bool isArming = m_phase == phase::arming && !m_isRecovering;
    const bool isSwitching = m_phase == phase::holding || isArming || m_phase == phase::releasing;
    for (auto &[number, rank] : m_ranks) {
        const auto held = rank.status.held;
        if (isSwitching && held != step_number {} && (number != m_holder || held != m_step)) {
            rank.abandonedHold = held;
        }
        if (rank.abandonedHold == step_number {} || m_now - rank.abandonedHoldReleasedAt < orderTimeout) {
            continue;
        }
        if (rank.abandonedHoldReleasedAt == time_point {}) {
            logMessage(fmt::format("releases_stray=1 rank={} step={}", number, rank.abandonedHold.value));
        }
        m_lastOrder = m_lastOrder.next();
        rank.abandonedHoldReleaseOrder = m_lastOrder;
        rank.abandonedHoldReleasedAt = m_now;
        rank_order order;
        order.id = m_lastOrder;
        order.operation = rank_operation::go;
        order.epoch = m_epoch;
        order.step = rank.abandonedHold;
        order.expectedOrders = rank.status.orders;
        m_actions.emplace_back(send_order { number, std::move(order), true });
    }
}

void map_controller::moveHold()
{
    logMessage(fmt::format("holder_silent=1 version={} rank={} step={}", m_version.value, m_holder, m_step.value));
    auto &silent = m_ranks.at(m_holder);
    silent.isAgentSilent = true;
    silent.abandonedHold = m_step;
    silent.abandonedHoldReleasedAt = {};
    enter(phase::holding);
    chooseStep();
}

bool map_controller::isAnyStepHeld() const
{
    return std::any_of(m_ranks.begin(), m_ranks.end(),
                       [](const auto &entry) { return entry.second.status.held != step_number {}; });
}

/** False if a rank keeps refusing to be armed and reports no state in which it could be armed. */
bool map_controller::canArm() const
{
    return std::all_of(m_ranks.begin(), m_ranks.end(), [this](const auto &entry) {
        const auto &status = entry.second.status;
        return entry.second.confirmed || status.armed == m_version || status.prepared == m_version
            || status.map == m_version || entry.second.refusalCount < maxRefusals;
    });
}

void map_controller::advance()
{
    if (!haveAllRanksReported()) {
        return;
    }
    if (!m_firstStep) {
        m_firstStep = step_number { furthestStep().value + reportedStepLag + maxStepMargin + 1 };
    }
    const auto isDone = [this] {
        return std::all_of(m_ranks.begin(), m_ranks.end(), [this](const auto &entry) {
            return !takesPartInPhase(entry.first) || hasCompletedPhase(entry.second);
        });
    };
    // Several phases may be complete at once, for example when a report shows a result that no answer reported.
    while (m_phase != phase::idle && isDone()) {
        if (m_phase == phase::preparing && !areReportsFresh(maxReportAge)) {
            return;
        }
        completePhase();
    }
    checkTimeouts();
    checkDemand();
    if (m_phase == phase::idle) {
        advanceIdle();
    }
    releaseAbandonedHolds();
    sendDueOrders();
}

void map_controller::completePhase()
{
    switch (m_phase) {
    case phase::preparing:
        chooseStep();
        enter(phase::holding);
        break;
    case phase::holding:
        logMessage(fmt::format("held=1 version={} rank={} step={}", m_version.value, m_holder, m_step.value));
        enter(phase::arming);
        break;
    case phase::arming:
        if (std::exchange(m_isRecovering, false)) {
            releaseHold();
        } else {
            enter(phase::releasing);
        }
        break;
    case phase::releasing:
        logMessage(fmt::format("released=1 version={} rank={} step={}", m_version.value, m_holder, m_step.value));
        enter(m_version == map_version {} ? phase::idle : phase::switching);
        break;
    case phase::switching:
        ++m_switchCount;
        m_stepMargin
            = m_unansweredOrders > 0 ? stepMarginForUnansweredOrders() : std::max(firstStepMargin, m_stepMargin / 2);
        logMessage(fmt::format("switched=1 version={} step={}", m_version.value, m_step.value));
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

/**
 * Has every rank prepare the current map under a new version, so that orders to arm an earlier version have no effect.
 */
void map_controller::voidSwitch()
{
    m_version = m_nextVersion;
    m_nextVersion = m_nextVersion.next();
    m_layers = currentMap().layers;
    enter(phase::voiding);
}

/** Starts releasing the step that a rank holds, so that the group can begin it. */
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
    const duration since = m_now - m_phaseSince;
    if (m_phase == phase::switching && since >= orderTimeout && isAnyStepHeld()) {
        // A duplicate of the hold was executed after the release. Every rank is armed, so the hold can be released
        // again.
        logMessage(fmt::format("releases_again=1 version={} step={}", m_version.value, m_step.value));
        releaseHold();
    } else if (m_phase == phase::preparing && since >= prepareTimeout) {
        logMessage(fmt::format("abandoned=1 version={} reason=prepare_timeout", m_version.value));
        enter(phase::idle);
    } else if (m_phase == phase::switching && since >= switchTimeout && isConsistent()) {
        logMessage(fmt::format("abandoned=1 version={} reason=not_switched", m_version.value));
        enter(phase::idle);
    } else if (m_phase == phase::holding && since >= holdTimeout && m_ranks.at(m_holder).sentCount > 0) {
        moveHold();
    } else if (m_phase == phase::arming && areReportsFresh(maxReportAge) && !canArm()) {
        m_isRecovering = false;
        logMessage(fmt::format("abandoned=1 version={} reason=not_prepared", m_version.value));
        enter(phase::disarming);
    }
}

/** Completes a switch that an earlier controller began, or voids it if its map or its step is unknown. */
void map_controller::recoverSwitch()
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
    logMessage(fmt::format("recovers=1 armed={} step={} holds={}", armed.value, armedStep.value, held.size()));
    if (armed == map_version {} || armedStep == step_number {}) {
        voidSwitch();
        return;
    }
    // Some reports may be outdated: all ranks may be armed, and a release may be in transit. So the switch is not
    // undone unless a rank refuses to be armed.
    m_version = armed;
    m_step = armedStep;
    m_isRecovering = true;
    enter(phase::arming);
}

void map_controller::advanceIdle()
{
    if (!areReportsFresh(maxReportAge)) {
        return;
    }
    if (isAnyStepHeld()) {
        recoverSwitch();
        return;
    }
    if (isConsistent() && m_now >= m_nextPlanAt && !isDemandSettling()) {
        m_nextPlanAt = m_now + planPeriod;
        planNextMap();
    }
}

expert_map map_controller::currentMap() const
{
    expert_map map;
    map.ranks = m_rankCount;
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

/**
 * Number of new experts per rank and set in one switch: as many as can be loaded within `maxLoadSeconds`, but at
 * least one unless the model has no spare slots.
 */
std::size_t map_controller::loadsPerSwitch() const
{
    const auto &model = m_settings.model;
    const auto bytes = static_cast<double>(model.bytesPerExpert.count) * static_cast<double>(model.sets);
    const double secondsForOne
        = bytes / static_cast<double>(std::max<std::int64_t>(1, model.rankLoadBytesPerSecond.count));
    const auto loads = static_cast<std::size_t>(maxLoadSeconds / std::max(secondsForOne, 1e-6));
    return std::min(model.spareSlotsPerRank, std::max<std::size_t>(1, loads));
}

plan_limits map_controller::planLimits() const
{
    const auto &model = m_settings.model;
    plan_limits limits;
    limits.slotsPerRank = model.slotsPerRank;
    limits.loadsPerRank = loadsPerSwitch();
    limits.bytesPerExpert = model.bytesPerExpert;
    // All ranks load at the same time, so a replica costs the group only its share of the loading time.
    limits.storeBytesPerSecond = { model.rankLoadBytesPerSecond.count * m_rankCount };
    limits.storeContentionFactor = 8;
    limits.loadingSlowdown = loadingSlowdown;
    limits.expertShare = model.expertShare;
    limits.maxMapLifetime = mapLifetime;
    limits.byteBudget = { model.bytesPerExpert.count
                          * static_cast<std::int64_t>(m_rankCount * model.spareSlotsPerRank * model.sets) };
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
        const auto ranks = rankLoads({ demand[set], 0, 0 }, map.layers[set], limits, m_rankCount);
        busiest += *std::max_element(ranks.begin(), ranks.end());
        mean += std::accumulate(ranks.begin(), ranks.end(), 0.0) / m_rankCount;
    }
    return mean > 0 ? busiest / mean : 0;
}

bool map_controller::isOutdated(const expert_map &map) const
{
    return skewOf(m_settings.demand->recent(), map, planLimits()) > std::max(shiftSkew, shiftRatio * m_expectedSkew);
}

void map_controller::checkDemand()
{
    const bool isDue = m_now - m_demandCheckedAt >= demandCheckPeriod;
    const bool isLoading = m_phase == phase::preparing;
    if (!isDue || m_expectedSkew <= 0 || (m_phase != phase::idle && !isLoading)) {
        return;
    }
    m_demandCheckedAt = m_now;
    const auto map = isLoading ? expert_map { {}, m_rankCount, m_layers } : currentMap();
    if (!validate(map, m_settings.model.slotsPerRank) || !isOutdated(map)) {
        m_shiftDetectedAt.reset();
        return;
    }
    m_shiftDetectedAt = m_shiftDetectedAt.value_or(m_now);
    if (m_now - *m_shiftDetectedAt < settlingTime) {
        return;
    }
    m_nextPlanAt = m_now;
    if (isLoading) {
        logMessage(fmt::format("abandoned=1 version={} reason=demand_shifted", m_version.value));
        enter(phase::idle);
    }
}

bool map_controller::isDemandSettling() const
{
    return m_shiftDetectedAt && m_now - *m_shiftDetectedAt < settlingTime;
}

void map_controller::planNextMap()
{
    const auto present = currentMap();
    auto &demand = *m_settings.demand;
    if (demand.steady().empty() || !validate(present, m_settings.model.slotsPerRank)) {
        return;
    }
    const auto limits = planLimits();
    m_shiftDetectedAt.reset();
    m_skew = skewOf(demand.steady(), present, limits);
    const double recentSkew = skewOf(demand.recent(), present, limits);
    if (recentSkew > shiftSkew && recentSkew > shiftRatio * m_expectedSkew) {
        // A plan for the mean of old and new demand would serve neither of them.
        logMessage(fmt::format("shift=1 skew={:.2f} recent={:.2f}", m_skew, recentSkew));
        demand.resetSteadyToRecent();
        m_skew = recentSkew;
    }
    std::vector<layer_load> loads;
    for (const auto &set : demand.steady()) {
        loads.push_back({ set, 0, 0 });
    }
    auto next = plan(loads, present, limits);
    m_expectedSkew = m_skew;
    if (next.layers.empty() || next.gainSeconds < minGainSeconds) {
        return;
    }
    m_unansweredOrders = 0;
    m_version = m_nextVersion;
    m_nextVersion = m_nextVersion.next();
    m_layers = std::move(next.layers);
    m_expectedSkew = skewOf(demand.steady(), { {}, m_rankCount, m_layers }, limits);
    logMessage(fmt::format("prepare=1 version={} skew={:.2f} expected={:.2f} replicas={} gain_s={:.2f} cost_s={:.2f}",
                           m_version.value, m_skew, m_expectedSkew, next.replicasLoaded, next.gainSeconds,
                           next.costSeconds));
    enter(phase::preparing);
}

std::vector<expert_lists> map_controller::toOrderFormat(const std::vector<layer_map> &layers) const
{
    std::vector<expert_lists> sets(layers.size(), expert_lists(m_rankCount));
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
    // Never choose the same step twice: a late release of an earlier hold would also release the new hold.
    for (auto &[number, rank] : m_ranks) {
        // An answer to an order for the previous step does not confirm this step.
        rank.pendingOrder = {};
        rank.firstOrder = {};
    }
    m_step = { std::max({ furthestStep().value + m_stepMargin, m_lastChosenStep.value + 1, m_firstStep->value }) };
    m_lastChosenStep = m_step;
    const auto answers
        = std::find_if(m_ranks.begin(), m_ranks.end(), [](const auto &entry) { return !entry.second.isAgentSilent; });
    m_holder = answers == m_ranks.end() ? m_ranks.begin()->first : answers->first;
}

void map_controller::logMessage(std::string text)
{
    m_actions.emplace_back(map_log_line { std::move(text) });
}

} // namespace figcleat::group
