#pragma once

#include "figcleat/forward/node-messages.h"
#include "figcleat/forward/route-table.h"
#include "figcleat/forward/stale-load-choice.h"
#include "figcleat/forward/target-directory.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <variant>

namespace figcleat::forward
{

/** Request counts that a target reports about itself; they cover the requests of all callers. */
struct target_load
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

/** How an attempt at a target ended, as evidence of the target's health. */
enum class attempt_result : std::uint8_t {
    answered,
    /** The target refused the request without running it. */
    shed,
    /** Another target answered at the target's address, without running the request. */
    misdirected,
    /** The connection could not be established. */
    unreachable,
    /** The connection broke, the answer was corrupt, or the target was silent too long or reported its own error. */
    failed,
    /** The caller or this node ended the attempt, so the outcome is no evidence about the target. */
    abandoned,
};

/** The target accepts no further requests and exits when its running requests have finished. */
struct leaving_notice
{
    bool operator==(const leaving_notice &) const = default;
};

/**
 * The target refused a request and asks to receive none for a while.
 *
 * The result of the attempt is recorded as well: a target receives requests only when neither this backoff nor a block
 * after failures is in force.
 */
struct backoff_notice
{
    /** Time until the backoff ends, as of the answer. */
    duration left {};

    bool operator==(const backoff_notice &) const = default;
};

/** A statement of a target about itself, sent with an answer and independent of the result of the request. */
using target_notice = std::variant<leaving_notice, backoff_notice>;

/** The data of an attempt that the pool needs when the attempt is answered or ends. */
struct started_attempt
{
    target_incarnation incarnation;
    time_point startedAt {};
};

struct pool_settings
{
    data_centre_id dataCentre;
    /** Requests that a target may have in addition to the slots of its registration. */
    std::uint32_t waitingPerTarget = 1;
    /** Prefills that a target may run at the same time; each delays all streams of the target's group. */
    std::uint32_t maxPrefillsPerTarget = 1;
    /** Share of the fleet-wide limits that the nodes use together; the remainder covers nodes not counted yet. */
    double limitShare = 0.8;
    /** Draws targets from loads that come through relays instead of choosing among the least loaded ones. */
    bool drawsFromDelayedLoads = false;
    std::uint64_t seed = 1;
};

/** Conditions that a target has to meet to receive a request. */
struct choice_limits
{
    /** Maximum requests at the target, the new one included; 0 stands for its slots plus `waitingPerTarget`. */
    double requestLimit = 0;
    /** The request needs a prefill, which delays the streams in progress at the target. */
    bool readsPrompt = false;
    /** Requests of all nodes while loads are on their way; used if loads are delayed. */
    competing_requests competition {};
};

/** Load of the usable targets of a service, as known to this node. */
struct load_spread
{
    std::size_t targets = 0;
    /** Requests at all of these targets. */
    double requests = 0;
    double maxRequests = 0;
    /** The target with `maxRequests` requests. */
    target_id busiest;
    /** Targets that could take one more request within `choice_limits::requestLimit`. */
    std::size_t belowRequestLimit = 0;
    /** Targets that run the maximum number of prefills. */
    std::size_t atPromptLimit = 0;
    /** Targets that could receive one more stream; the request rate of cold targets is not considered. */
    std::size_t withRoom = 0;
};

/**
 * Selects targets for requests and limits the requests that this node sends to each target.
 *
 * Limits over all nodes together (requests to a cold target, connections) are split evenly among the nodes, so a node
 * that is cut off from the others still keeps to its share.
 */
class target_pool
{
public:
    explicit target_pool(pool_settings settings);

    void setDirectory(const target_directory *directory);
    void setRoutes(std::shared_ptr<const route_index> routes);
    void setEvacuated(std::set<data_centre_id> dataCentres);
    /** Replaces the list of engines that are slow or whose group is broken. */
    void setEngines(const std::vector<engine_condition> &engines, time_point now);
    /** Sets the number of nodes that send requests, this one included. */
    void setNodeCount(std::uint32_t nodes);

    /**
     * Selects a target for one more request.
     *
     * Errors: `no_target` if no usable target is known, `target_at_limit` if every usable target is at a limit.
     */
    [[nodiscard]] expected<directory_entry> choose(const service_id &service, const std::set<target_id> &excluded,
                                                   const choice_limits &limits, time_point now);
    /**
     * Selects the target for requests with a part that may crash targets.
     *
     * All nodes that know the same targets select the same one, so that at most one group is lost. Errors as of
     * `choose`; `target_at_limit` also if the selected target reads a prompt or is cold.
     */
    [[nodiscard]] expected<directory_entry> chooseConfined(const service_id &service, const prompt_part_id &part,
                                                           const std::set<target_id> &excluded,
                                                           const choice_limits &limits, time_point now);
    /** True if the target is ready, its data centre is not evacuated and it sent no leaving notice. */
    [[nodiscard]] bool isOpen(const directory_entry &entry) const;

    /** @param readsPrompt the target runs a prefill until `onPromptRead` or `onEnded` */
    void onStarted(const target_incarnation &incarnation, bool readsPrompt);
    /**
     * Sets the requests of all other nodes at each target; `nullopt` if they are unknown.
     *
     * @param isDelayed loads come through relays, so that other nodes have selected targets since they were reported
     */
    void setPeerLoads(const std::optional<std::vector<target_use>> &uses, bool isDelayed);
    /** Returns the requests of this node at each target that has any. */
    [[nodiscard]] std::vector<target_use> ownLoads() const;
    /** @param readsPrompt the prefill was still running: `onPromptRead` was not called for the attempt */
    void onEnded(const started_attempt &attempt, attempt_result result, bool readsPrompt, time_point now);
    /** Called when the target begins an answer that is not a failure; ends the half-open state after a backoff. */
    void onAccepted(const started_attempt &attempt);
    /** Called when the target has finished the prefill of one request. */
    void onPromptRead(const target_id &target);
    /** Called when data of an answer arrives during an attempt. */
    void onProgress(const target_id &target, time_point now);
    void onLoad(const target_id &target, const target_load &load, time_point now);
    /**
     * Records a notice; true if it changed the recorded state.
     *
     * @param incarnation the incarnation that sent the answer; a notice of an earlier incarnation is ignored
     */
    bool onNotice(const target_incarnation &incarnation, const target_notice &notice, time_point now);

    /** True if the target slows its group down so much that the target's streams should move to another target. */
    [[nodiscard]] bool isSlow(const target_id &target, time_point now) const;
    /**
     * True if no target of the service other than those in `excluded` is open, or if all that are open back off or have
     * a group known to be broken.
     */
    [[nodiscard]] bool hasNoUsableTarget(const service_id &service, const std::set<target_id> &excluded,
                                         time_point now) const;
    /**
     * Returns the earliest end of a backoff among the open targets of the service whose group is not broken; `nullopt`
     * if any such target is not in backoff or if no such target exists.
     */
    [[nodiscard]] std::optional<time_point> earliestBackoffEnd(const service_id &service, time_point now) const;
    /** True if targets of the service are open, and all of them are known to be in a broken group. */
    [[nodiscard]] bool isInterrupted(const service_id &service, time_point now) const;
    /** True if targets are drawn from delayed loads. */
    [[nodiscard]] bool drawsTargets() const;
    /** Counts the targets of the service that sent data of an answer within `window`. */
    [[nodiscard]] std::size_t countActive(const service_id &service, duration window, time_point now) const;
    /** Returns the sum of requests (in `running`) and slots over the open targets of the service. */
    [[nodiscard]] target_load totalLoad(const service_id &service, time_point now) const;
    /** Returns the maximum of requests and the maximum of slots over the open targets of the service. */
    [[nodiscard]] std::pair<double, std::uint32_t> maxLoadAndSlots(const service_id &service, time_point now) const;
    [[nodiscard]] load_spread loadSpread(const service_id &service, const choice_limits &limits, time_point now) const;
    void removeUnknownTargets();

private:
    /** Notices of one incarnation of a target; they do not apply to any other incarnation. */
    struct incarnation_notices
    {
        target_incarnation incarnation;
        bool isLeaving = false;
        /** The target receives no request before this time. */
        time_point backoffEnd {};
        /** No request has succeeded since the backoff, so the target receives one request at a time. */
        bool isHalfOpen = false;
        /** Requests in flight that started after the backoff. */
        std::uint32_t probesInFlight = 0;
    };

    struct target_record
    {
        /** Requests of this node at the target. */
        std::uint32_t inFlight = 0;
        incarnation_notices notices;
        bool isGroupBroken = false;
        /** Time that the target takes for its work, relative to a healthy target. */
        double pace = 1;
        /** Requests of this node whose prefill the target is running. */
        std::uint32_t prompts = 0;
        /** Requests and prompts of the other nodes, if `m_hasPeerLoads`. */
        std::uint32_t peerRequests = 0;
        std::uint32_t peerPrompts = 0;
        /** Requests of other nodes according to the target's latest load report, and the time of that report. */
        std::uint32_t reportedOthers = 0;
        time_point reportedAt {};
        std::uint32_t failuresInRow = 0;
        /** Exponentially smoothed share of failed attempts. */
        double failureShare = 0;
        time_point blockedUntil {};
        time_point lastProgress {};
        /** Token bucket for a cold target: each request takes one token. */
        double coldTokens = 1;
        /** `directory_entry::coldUntil` of the cold phase to which `coldTokens` belongs. */
        time_point coldPhaseEnd {};
        /** Time of the latest refill of `coldTokens`. */
        time_point coldTokensRefilledAt {};
    };

    struct candidate
    {
        const directory_entry *entry = nullptr;
        const target_record *record = nullptr;
    };

    /** Returns one of the candidates within the load tolerance of the lowest score; null if there are none. */
    [[nodiscard]] const directory_entry *pickLeastLoaded(const std::vector<candidate> &candidates, time_point now);
    /** Draws a candidate so that nodes with the same outdated loads spread their requests; null if the request waits.
     */
    [[nodiscard]] const directory_entry *drawCandidate(const std::vector<candidate> &candidates,
                                                       const choice_limits &limits);
    [[nodiscard]] bool isRemote(const directory_entry &entry) const;
    /** True if the target is open, in no backoff, not blocked and not in a group known to be broken. */
    [[nodiscard]] bool isUsable(const directory_entry &entry, const target_record &record, time_point now) const;
    /** True if a list of engine conditions was received recently. */
    [[nodiscard]] bool hasCurrentEngines(time_point now) const;
    /** Both overloads return true if the notice changed `notices`. */
    bool apply(incarnation_notices &notices, const leaving_notice &notice, time_point now);
    bool apply(incarnation_notices &notices, const backoff_notice &notice, time_point now);
    [[nodiscard]] static bool isBackingOff(const directory_entry &entry, const target_record &record, time_point now);
    /** Returns the notices if the attempt is a probe: it started after the backoff of a half-open target. */
    [[nodiscard]] incarnation_notices *halfOpenNoticesFor(const started_attempt &attempt);
    /** Requests of all nodes at the target; those of other nodes are an estimate. */
    [[nodiscard]] double load(const target_record &record, time_point now) const;
    /** False while the target gets no more than the requests that it has, whatever its load. */
    [[nodiscard]] bool isAdmitting(const directory_entry &entry, const target_record &record) const;
    [[nodiscard]] double maxRequests(const directory_entry &entry, const choice_limits &limits) const;
    [[nodiscard]] bool hasRoom(const directory_entry &entry, const target_record &record, const choice_limits &limits,
                               time_point now) const;
    /** True if the target runs the maximum number of prefills. */
    [[nodiscard]] bool isAtPromptLimit(const target_record &record) const;
    [[nodiscard]] bool isBelowRequestLimit(const directory_entry &entry, const target_record &record,
                                           const choice_limits &limits, time_point now) const;
    /** Load per slot with penalties for failures and other data centres; lower is better. */
    [[nodiscard]] double score(const directory_entry &entry, const target_record &record, time_point now) const;
    /** Refills the token bucket with this node's share of the cold rate; true if it holds a token or none is needed. */
    [[nodiscard]] bool refillColdTokens(const directory_entry &entry, target_record &record, time_point now);
    /** Blocks the target for `base`, doubled for each further failure in a row up to a limit. */
    void block(target_record &record, duration base, time_point now) const;

    pool_settings m_settings;
    const target_directory *m_directory = nullptr;
    std::shared_ptr<const route_index> m_routes;
    std::set<data_centre_id> m_evacuated;
    std::uint32_t m_nodes;
    time_point m_enginesReceivedAt {};
    std::unordered_map<target_id, target_record> m_records;
    std::mt19937_64 m_random;
    bool m_hasPeerLoads = false;
    /** Loads of other nodes come through relays. */
    bool m_hasDelayedLoads = false;
    /** Loads that differ by up to this many requests count as equal. */
    double m_loadTolerance = 0;
};

} // namespace figcleat::forward
