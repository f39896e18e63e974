#include "figcleat/forward/target-pool.h"

#include "figcleat/core/digest.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace figcleat::forward
{

namespace
{

/** Node count until a coordinator reports it; larger than a small fleet, so that shared limits are not exceeded. */
constexpr std::uint32_t defaultNodeCount = 16;
/** Half-life of a target's report of the load of other nodes; about the duration of a short answer. */
constexpr double loadHalfLifeSeconds = 0.7;
/** Weight of the latest attempt in the smoothed share of failures. */
constexpr double failureWeight = 0.2;
/** Consecutive failures after which a target is blocked for a while. */
constexpr std::uint32_t failuresToBlock = 3;
constexpr duration blockBase = std::chrono::milliseconds(500);
constexpr duration unreachableBlockBase = std::chrono::milliseconds(300);
/** Groups recover within seconds of a repair; a longer block would keep healthy targets idle. */
constexpr duration maxBlock = std::chrono::seconds(1);
constexpr std::uint32_t maxBlockDoublings = 2;
/** Another target answers at the address, which ends only with a new registration. */
constexpr duration misdirectedBlock = std::chrono::seconds(5);
/** Requests by which a target in another data centre must be less loaded to be preferred. */
constexpr double remotePenalty = 0.5;
/**
 * Load tolerance, in requests, for delayed peer loads: nodes that see the same outdated loads would otherwise all
 * select the one least loaded target. During a delay of about 75 ms a target receives 0.3 requests in the largest
 * deployment.
 */
constexpr double delayedLoadTolerance = 1.0;
/** Age at which the list of engine conditions is no longer used. */
constexpr duration engineListExpiry = std::chrono::seconds(2);
/** Pace from which a target is slow: ranks of a group advance together, so its requests delay the whole group. */
constexpr double slowPace = 1.5;
/**
 * Jitter as a share of the backoff, so that nodes refused at the same time do not return together; short compared to
 * the time that callers wait anyway.
 */
constexpr double backoffJitterShare = 0.1;
/** Upper limit of the jitter; long enough for the answer to a probe. */
constexpr duration maxBackoffJitter = std::chrono::milliseconds(500);
/** Score penalty of a target that fails every request, as a multiple of its slots: it scores like a full target. */
constexpr double failurePenaltySlots = 1.0;
/** Requests that all nodes together may send at once to a target that turns cold. */
constexpr double coldBurst = 4;

double secondsBetween(time_point from, time_point to)
{
    return std::chrono::duration<double>(to - from).count();
}

} // namespace

target_pool::target_pool(pool_settings settings)
    : m_settings(std::move(settings))
    , m_nodes(defaultNodeCount)
    , m_random(m_settings.seed)
{
}

void target_pool::setDirectory(const target_directory *directory)
{
    m_directory = directory;
}

void target_pool::setRoutes(std::shared_ptr<const route_index> routes)
{
    m_routes = std::move(routes);
}

void target_pool::setEvacuated(std::set<data_centre_id> dataCentres)
{
    m_evacuated = std::move(dataCentres);
}

void target_pool::setEngines(const std::vector<engine_condition> &engines, time_point now)
{
    m_enginesReceivedAt = now;
    for (const auto &[id, entry] : m_directory->entries()) {
        const auto found = std::find_if(engines.begin(), engines.end(), [&entry = entry](const auto &engine) {
            return engine.address == entry.latest.address;
        });
        auto &record = m_records[id];
        const bool isGroupBroken = found != engines.end() && !found->isOpen;
        if (record.isGroupBroken && !isGroupBroken) {
            // Failures while the group was broken are no evidence about the target itself.
            record.failuresInRow = 0;
            record.failureShare = 0;
            record.blockedUntil = {};
        }
        record.isGroupBroken = isGroupBroken;
        record.pace = found == engines.end() ? 1 : found->pace;
    }
}

void target_pool::setNodeCount(std::uint32_t nodes)
{
    m_nodes = std::max<std::uint32_t>(1, nodes);
}

bool target_pool::isOpen(const directory_entry &entry) const
{
    if (!entry.isUsable() || m_evacuated.contains(entry.latest.dataCentre)) {
        return false;
    }
    const auto record = m_records.find(entry.latest.target);
    return record == m_records.end() || !record->second.notices.isLeaving
        || record->second.notices.incarnation != entry.latest.incarnation();
}

double target_pool::load(const target_record &record, time_point now) const
{
    if (m_hasPeerLoads) {
        return record.inFlight + record.peerRequests;
    }
    const double age = std::max(0.0, secondsBetween(record.reportedAt, now));
    const double others = record.reportedOthers * std::exp2(-age / loadHalfLifeSeconds);
    return record.inFlight + others;
}

bool target_pool::isAdmitting(const directory_entry &entry, const target_record &record) const
{
    // A target is half open after a block: it receives one request at a time until one is answered.
    if (record.failuresInRow >= failuresToBlock && record.inFlight > 0) {
        return false;
    }
    const auto &notices = record.notices;
    if (notices.isHalfOpen && notices.probesInFlight > 0 && notices.incarnation == entry.latest.incarnation()) {
        return false;
    }
    const auto *service = m_routes ? m_routes->limitsOf(entry.latest.service) : nullptr;
    if (service != nullptr && service->maxConnections > 0) {
        const auto share = static_cast<std::uint32_t>(m_settings.limitShare * service->maxConnections / m_nodes);
        if (record.inFlight >= std::max<std::uint32_t>(1, share)) {
            return false;
        }
    }
    return true;
}

bool target_pool::hasRoom(const directory_entry &entry, const target_record &record, const choice_limits &limits,
                          time_point now) const
{
    return isAdmitting(entry, record) && !(limits.readsPrompt && isAtPromptLimit(record))
        && isBelowRequestLimit(entry, record, limits, now);
}

bool target_pool::isAtPromptLimit(const target_record &record) const
{
    return record.prompts + record.peerPrompts >= m_settings.maxPrefillsPerTarget;
}

bool target_pool::isBelowRequestLimit(const directory_entry &entry, const target_record &record,
                                      const choice_limits &limits, time_point now) const
{
    return load(record, now) + 1 <= maxRequests(entry, limits);
}

double target_pool::maxRequests(const directory_entry &entry, const choice_limits &limits) const
{
    return limits.requestLimit > 0 ? limits.requestLimit : entry.latest.slots + m_settings.waitingPerTarget;
}

double target_pool::score(const directory_entry &entry, const target_record &record, time_point now) const
{
    const double slots = std::max<std::uint32_t>(1, entry.latest.slots);
    // Loads of other data centres arrive later, so the penalty exceeds differences within the load tolerance.
    const double remote = isRemote(entry) ? remotePenalty + 2 * m_loadTolerance : 0;
    return (load(record, now) + remote) / slots + record.failureShare * failurePenaltySlots;
}

bool target_pool::refillColdTokens(const directory_entry &entry, target_record &record, time_point now)
{
    const auto *limits = m_routes ? m_routes->limitsOf(entry.latest.service) : nullptr;
    if (entry.coldUntil <= now || limits == nullptr || limits->coldPerSecond <= 0) {
        return true;
    }
    if (entry.coldUntil != record.coldPhaseEnd) {
        // Buckets that were all full would let each node send a request at the same moment.
        const double level = std::uniform_real_distribution<double>(0, 1)(m_random);
        record.coldTokens = level * m_nodes < coldBurst ? 1.0 : level;
        record.coldTokensRefilledAt = now;
        record.coldPhaseEnd = entry.coldUntil;
    }
    const double rate = m_settings.limitShare * limits->coldPerSecond / m_nodes;
    record.coldTokens
        = std::min(1.0, record.coldTokens + rate * std::max(0.0, secondsBetween(record.coldTokensRefilledAt, now)));
    record.coldTokensRefilledAt = now;
    return record.coldTokens >= 1.0;
}

expected<directory_entry> target_pool::choose(const service_id &service, const std::set<target_id> &excluded,
                                              const choice_limits &limits, time_point now)
{
    // Slow targets are used only if no other target is usable.
    const bool avoidsSlow = hasCurrentEngines(now)
        && std::any_of(m_directory->entries().begin(), m_directory->entries().end(), [&](const auto &item) {
                                const auto record = m_records.find(item.first);
                                return item.second.latest.service == service && isOpen(item.second)
                                    && !excluded.contains(item.first) && record != m_records.end()
                                    && !record->second.isGroupBroken && !isBackingOff(item.second, record->second, now)
                                    && record->second.pace < slowPace;
                            });
    std::vector<candidate> candidates;
    bool hasUsableTarget = false;
    for (const auto &[id, entry] : m_directory->entries()) {
        if (entry.latest.service != service || !isOpen(entry) || excluded.contains(id)) {
            continue;
        }
        auto &record = m_records[id];
        if (!isUsable(entry, record, now) || (avoidsSlow && record.pace >= slowPace)) {
            continue;
        }
        hasUsableTarget = true;
        const bool mayTake = drawsTargets() ? isAdmitting(entry, record) : hasRoom(entry, record, limits, now);
        if (mayTake && refillColdTokens(entry, record, now)) {
            candidates.push_back({ &entry, &record });
        }
    }
    const directory_entry *chosen
        = drawsTargets() ? drawCandidate(candidates, limits) : pickLeastLoaded(candidates, now);
    if (chosen == nullptr) {
        return fail(hasUsableTarget ? result_code::target_at_limit : result_code::no_target, service.value);
    }
    return *chosen;
}

bool target_pool::isUsable(const directory_entry &entry, const target_record &record, time_point now) const
{
    return isOpen(entry) && record.blockedUntil <= now && !isBackingOff(entry, record, now)
        && !(hasCurrentEngines(now) && record.isGroupBroken);
}

expected<directory_entry> target_pool::chooseConfined(const service_id &service, const prompt_part_id &part,
                                                      const std::set<target_id> &excluded, const choice_limits &limits,
                                                      time_point now)
{
    // Rendezvous hashing: a target that is lost or full changes the choice only for the parts that it had.
    std::map<std::uint64_t, const directory_entry *> ranked;
    for (const auto &[id, entry] : m_directory->entries()) {
        if (entry.latest.service == service && !excluded.contains(id) && isUsable(entry, m_records[id], now)) {
            ranked.emplace(checksum(part.value + '\n' + id.value), &entry);
        }
    }
    for (const auto &[weight, entry] : ranked) {
        auto &record = m_records[entry->latest.target];
        if (!isBelowRequestLimit(*entry, record, limits, now)) {
            continue;
        }
        if (hasRoom(*entry, record, limits, now) && refillColdTokens(*entry, record, now)) {
            return *entry;
        }
        break;
    }
    return fail(ranked.empty() ? result_code::no_target : result_code::target_at_limit, service.value);
}

bool target_pool::isRemote(const directory_entry &entry) const
{
    return entry.latest.dataCentre != m_settings.dataCentre;
}

const directory_entry *target_pool::pickLeastLoaded(const std::vector<candidate> &candidates, time_point now)
{
    if (candidates.empty()) {
        return nullptr;
    }
    std::vector<double> scores;
    scores.reserve(candidates.size());
    for (const auto &one : candidates) {
        scores.push_back(score(*one.entry, *one.record, now));
    }
    const auto lowest = std::min_element(scores.begin(), scores.end());
    const auto slotsOfBest = candidates[static_cast<std::size_t>(lowest - scores.begin())].entry->latest.slots;
    const double maxScore = *lowest + m_loadTolerance / std::max<std::uint32_t>(1, slotsOfBest);
    std::vector<const directory_entry *> best;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (scores[i] <= maxScore) {
            best.push_back(candidates[i].entry);
        }
    }
    return best[std::uniform_int_distribution<std::size_t>(0, best.size() - 1)(m_random)];
}

const directory_entry *target_pool::drawCandidate(const std::vector<candidate> &candidates, const choice_limits &limits)
{
    double peerRequests = 0;
    double peerPrompts = 0;
    for (const auto &one : candidates) {
        peerRequests += one.record->peerRequests;
        peerPrompts += one.record->peerPrompts;
    }
    // About as many requests and prompts of other nodes have ended since the loads were reported as have started.
    const auto remainingShare = [&limits](double reported) {
        return reported > 0 ? 1 - std::min(1.0, limits.competition.placedByPeers / reported) : 1;
    };
    const double running = remainingShare(peerRequests);
    const double reading = remainingShare(peerPrompts);
    std::vector<reported_load> loads;
    loads.reserve(candidates.size());
    for (const auto &one : candidates) {
        const double slots = std::max<std::uint32_t>(1, one.entry->latest.slots);
        const double expected = one.record->inFlight + running * one.record->peerRequests;
        double room = maxRequests(*one.entry, limits) - expected;
        if (limits.readsPrompt) {
            const double prompts = one.record->prompts + reading * one.record->peerPrompts;
            room = std::min(room, m_settings.maxPrefillsPerTarget - prompts);
        }
        const double penalty
            = (isRemote(*one.entry) ? remotePenalty : 0) + slots * failurePenaltySlots * one.record->failureShare;
        loads.push_back({ expected + penalty, slots, room });
    }
    const auto drawn = drawTarget(loads, limits.competition, m_random);
    return drawn ? candidates[*drawn].entry : nullptr;
}

void target_pool::onStarted(const target_incarnation &incarnation, bool readsPrompt)
{
    auto &record = m_records[incarnation.target];
    record.notices.probesInFlight += record.notices.incarnation == incarnation && record.notices.isHalfOpen ? 1 : 0;
    record.inFlight += 1;
    record.prompts += readsPrompt ? 1 : 0;
    record.coldTokens = std::max(0.0, record.coldTokens - 1.0);
}

void target_pool::onPromptRead(const target_id &target)
{
    auto &record = m_records[target];
    record.prompts -= std::min<std::uint32_t>(1, record.prompts);
}

void target_pool::setPeerLoads(const std::optional<std::vector<target_use>> &uses, bool isDelayed)
{
    m_hasPeerLoads = uses.has_value();
    m_hasDelayedLoads = isDelayed && uses.has_value();
    m_loadTolerance = isDelayed && !m_settings.drawsFromDelayedLoads ? delayedLoadTolerance : 0;
    for (auto &[id, record] : m_records) {
        record.peerRequests = 0;
        record.peerPrompts = 0;
    }
    if (uses) {
        for (const auto &use : *uses) {
            auto &record = m_records[use.target];
            record.peerRequests = use.requests;
            record.peerPrompts = use.prompts;
        }
    }
}

std::vector<target_use> target_pool::ownLoads() const
{
    std::vector<target_use> uses;
    for (const auto &[id, record] : m_records) {
        if (record.inFlight > 0) {
            uses.push_back({ id, record.inFlight, record.prompts });
        }
    }
    return uses;
}

target_pool::incarnation_notices *target_pool::halfOpenNoticesFor(const started_attempt &attempt)
{
    auto &notices = m_records[attempt.incarnation.target].notices;
    const bool isProbe
        = notices.isHalfOpen && notices.incarnation == attempt.incarnation && attempt.startedAt >= notices.backoffEnd;
    return isProbe ? &notices : nullptr;
}

void target_pool::onAccepted(const started_attempt &attempt)
{
    if (auto *notices = halfOpenNoticesFor(attempt); notices != nullptr) {
        notices->isHalfOpen = false;
        notices->probesInFlight = 0;
    }
}

void target_pool::onEnded(const started_attempt &attempt, attempt_result result, bool readsPrompt, time_point now)
{
    if (readsPrompt) {
        onPromptRead(attempt.incarnation.target);
    }
    if (auto *notices = halfOpenNoticesFor(attempt); notices != nullptr) {
        notices->probesInFlight -= std::min<std::uint32_t>(1, notices->probesInFlight);
    }
    auto &record = m_records[attempt.incarnation.target];
    record.inFlight -= std::min<std::uint32_t>(1, record.inFlight);
    switch (result) {
    case attempt_result::answered:
        record.failuresInRow = 0;
        record.failureShare *= 1 - failureWeight;
        record.lastProgress = now;
        break;
    case attempt_result::unreachable:
        record.failuresInRow = std::max(record.failuresInRow + 1, failuresToBlock);
        block(record, unreachableBlockBase, now);
        break;
    case attempt_result::misdirected:
        record.blockedUntil = std::max(record.blockedUntil, now + misdirectedBlock);
        break;
    case attempt_result::shed:
    case attempt_result::failed:
        record.failuresInRow += 1;
        record.failureShare += (1 - record.failureShare) * failureWeight;
        if (record.failuresInRow >= failuresToBlock) {
            block(record, blockBase, now);
        }
        break;
    case attempt_result::abandoned:
        break;
    }
}

void target_pool::block(target_record &record, duration base, time_point now) const
{
    const std::uint32_t doublings = std::min(record.failuresInRow - failuresToBlock, maxBlockDoublings);
    record.blockedUntil = std::max(record.blockedUntil, now + std::min(maxBlock, base * (1U << doublings)));
}

void target_pool::onProgress(const target_id &target, time_point now)
{
    m_records[target].lastProgress = now;
}

void target_pool::onLoad(const target_id &target, const target_load &load, time_point now)
{
    auto &record = m_records[target];
    const std::uint32_t all = load.running + load.waiting;
    record.reportedOthers = all - std::min(all, record.inFlight);
    record.reportedAt = now;
}

bool target_pool::onNotice(const target_incarnation &incarnation, const target_notice &notice, time_point now)
{
    const auto *entry = m_directory->find(incarnation.target);
    if (entry == nullptr || entry->latest.incarnation() != incarnation) {
        return false;
    }
    auto &notices = m_records[incarnation.target].notices;
    if (notices.incarnation != incarnation) {
        notices = { .incarnation = incarnation };
    }
    return std::visit([&](const auto &alternative) { return apply(notices, alternative, now); }, notice);
}

bool target_pool::apply(incarnation_notices &notices, const leaving_notice & /*notice*/, time_point /*now*/)
{
    return !std::exchange(notices.isLeaving, true);
}

bool target_pool::apply(incarnation_notices &notices, const backoff_notice &notice, time_point now)
{
    const double maxJitter = std::min<double>(backoffJitterShare * static_cast<double>(notice.left.count()),
                                              static_cast<double>(maxBackoffJitter.count()));
    const duration jitter(std::uniform_int_distribution<duration::rep>(0, std::llround(maxJitter))(m_random));
    const time_point end = now + notice.left + jitter;
    if (end <= notices.backoffEnd) {
        return false;
    }
    notices.backoffEnd = end;
    notices.isHalfOpen = true;
    // Every request in flight started before the end of this backoff, so none of them is a probe.
    notices.probesInFlight = 0;
    return true;
}

bool target_pool::isBackingOff(const directory_entry &entry, const target_record &record, time_point now)
{
    return record.notices.backoffEnd > now && record.notices.incarnation == entry.latest.incarnation();
}

bool target_pool::hasCurrentEngines(time_point now) const
{
    return m_enginesReceivedAt != time_point {} && now - m_enginesReceivedAt <= engineListExpiry;
}

bool target_pool::isSlow(const target_id &target, time_point now) const
{
    const auto record = m_records.find(target);
    return hasCurrentEngines(now) && record != m_records.end() && record->second.pace >= slowPace;
}

bool target_pool::hasNoUsableTarget(const service_id &service, const std::set<target_id> &excluded,
                                    time_point now) const
{
    return std::none_of(m_directory->entries().begin(), m_directory->entries().end(), [&](const auto &item) {
        if (item.second.latest.service != service || !isOpen(item.second) || excluded.contains(item.first)) {
            return false;
        }
        const auto record = m_records.find(item.first);
        return record == m_records.end()
            || ((!hasCurrentEngines(now) || !record->second.isGroupBroken)
                && !isBackingOff(item.second, record->second, now));
    });
}

bool target_pool::isInterrupted(const service_id &service, time_point now) const
{
    bool hasOpenTarget = false;
    for (const auto &[id, entry] : m_directory->entries()) {
        if (entry.latest.service == service && isOpen(entry)) {
            const auto record = m_records.find(id);
            if (record == m_records.end() || !record->second.isGroupBroken) {
                return false;
            }
            hasOpenTarget = true;
        }
    }
    return hasOpenTarget && hasCurrentEngines(now);
}

bool target_pool::drawsTargets() const
{
    return m_hasDelayedLoads && m_settings.drawsFromDelayedLoads;
}

std::optional<time_point> target_pool::earliestBackoffEnd(const service_id &service, time_point now) const
{
    std::optional<time_point> first;
    for (const auto &[id, entry] : m_directory->entries()) {
        const auto record = m_records.find(id);
        if (entry.latest.service != service || !isOpen(entry)
            || (record != m_records.end() && hasCurrentEngines(now) && record->second.isGroupBroken)) {
            continue;
        }
        if (record == m_records.end() || !isBackingOff(entry, record->second, now)) {
            return std::nullopt;
        }
        first = std::min(first.value_or(time_point::max()), record->second.notices.backoffEnd);
    }
    return first;
}

std::size_t target_pool::countActive(const service_id &service, duration window, time_point now) const
{
    std::size_t active = 0;
    for (const auto &[id, entry] : m_directory->entries()) {
        const auto record = m_records.find(id);
        const bool isActive = entry.latest.service == service && record != m_records.end()
            && record->second.lastProgress != time_point {} && now - record->second.lastProgress <= window;
        active += isActive ? 1 : 0;
    }
    return active;
}

target_load target_pool::totalLoad(const service_id &service, time_point now) const
{
    target_load total;
    for (const auto &[id, entry] : m_directory->entries()) {
        if (entry.latest.service != service || !isOpen(entry)) {
            continue;
        }
        total.slots += entry.latest.slots;
        if (const auto record = m_records.find(id); record != m_records.end()) {
            total.running += static_cast<std::uint32_t>(std::lround(load(record->second, now)));
        }
    }
    return total;
}

std::pair<double, std::uint32_t> target_pool::maxLoadAndSlots(const service_id &service, time_point now) const
{
    std::pair<double, std::uint32_t> most { 0, 0 };
    for (const auto &[id, entry] : m_directory->entries()) {
        if (entry.latest.service != service || !isOpen(entry)) {
            continue;
        }
        most.second = std::max(most.second, entry.latest.slots);
        if (const auto record = m_records.find(id); record != m_records.end()) {
            most.first = std::max(most.first, load(record->second, now));
        }
    }
    return most;
}

load_spread target_pool::loadSpread(const service_id &service, const choice_limits &limits, time_point now) const
{
    load_spread summary;
    const target_record unused;
    for (const auto &[id, entry] : m_directory->entries()) {
        const auto found = m_records.find(id);
        const auto &record = found == m_records.end() ? unused : found->second;
        if (entry.latest.service != service || !isOpen(entry) || record.blockedUntil > now
            || isBackingOff(entry, record, now) || (hasCurrentEngines(now) && record.isGroupBroken)) {
            continue;
        }
        const double requests = load(record, now);
        ++summary.targets;
        summary.requests += requests;
        if (requests >= summary.maxRequests) {
            summary.maxRequests = requests;
            summary.busiest = id;
        }
        summary.belowRequestLimit += isBelowRequestLimit(entry, record, limits, now) ? 1 : 0;
        summary.atPromptLimit += isAtPromptLimit(record) ? 1 : 0;
        summary.withRoom += hasRoom(entry, record, limits, now) ? 1 : 0;
    }
    return summary;
}

void target_pool::removeUnknownTargets()
{
    std::erase_if(m_records, [this](const auto &entry) {
        return entry.second.inFlight == 0 && m_directory->find(entry.first) == nullptr;
    });
}

} // namespace figcleat::forward
