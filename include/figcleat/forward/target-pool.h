#pragma once

#include "figcleat/forward/node-messages.h"
#include "figcleat/forward/route-table.h"
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

/** Requests at a target as the target counts them, of all callers. */
struct target_load
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

/** How an attempt at a target ended, as evidence of the target's health. */
enum class attempt_result : std::uint8_t {
    answered,
    /** The target refused and did not run the request. */
    shed,
    /** No connection. */
    unreachable,
    /** Broken off, spoiled, silent or answered with an error of its own. */
    failed,
    /** Ended by the caller or by this node; says nothing about the target. */
    abandoned,
};

/** The target ends after what runs there; it wants no further requests. */
struct leaving_notice
{
    bool operator==(const leaving_notice &) const = default;
};

/**
 * The target turned a request away and wants no other for a while.
 *
 * The end of the attempt counts beside it: a target gets requests when neither its rest nor a block after failures
 * forbids it.
 */
struct backoff_notice
{
    duration left {};

    bool operator==(const backoff_notice &) const = default;
};

/** What a target says of itself in an answer, whatever the answer says of the request. */
using target_notice = std::variant<leaving_notice, backoff_notice>;

/** An attempt as far as a pool needs to know it. */
struct started_attempt
{
    target_incarnation incarnation;
    time_point startedAt {};
};

struct pool_settings
{
    data_centre_id dataCentre;
    /** A registration says the slots; this many more requests than slots may be at a target. */
    std::uint32_t waitingPerTarget = 1;
    /** Requests whose prompt is being read at a target at the same time; each delays every stream of the group. */
    std::uint32_t promptsPerTarget = 1;
    /** Share of the limits over all nodes that the nodes use, for a node that has not been counted yet. */
    double limitShare = 0.8;
    std::uint64_t seed = 1;
};

/** What a request asks of its target. */
struct choice_limits
{
    /** Requests that may be at the target; 0 for no limit but its slots. */
    double requestLimit = 0;
    /** The request has a prompt, and streams in progress wait while it is read. */
    bool readsPrompt = false;
};

/** Load of the targets of a service that are in use, as this node sees it. */
struct load_spread
{
    std::size_t targets = 0;
    /** Requests at all of them. */
    double requests = 0;
    double maxRequests = 0;
    /** The target with most requests. */
    target_id busiest;
    /** Targets with fewer requests than the level. */
    std::size_t belowRequestLimit = 0;
    /** Targets that read as many prompts as they may. */
    std::size_t atPromptLimit = 0;
    /** Targets that would get one more stream. */
    std::size_t withRoom = 0;
};

/**
 * Chooses targets and bounds what this node sends to each.
 *
 * Limits that hold over all nodes together (requests to a cold target, connections) are split evenly among the nodes,
 * so a node that cannot hear the others still keeps to its part.
 */
class target_pool
{
public:
    explicit target_pool(pool_settings settings);

    void setDirectory(const target_directory *directory);
    void setRoutes(std::shared_ptr<const route_index> routes);
    void setEvacuated(std::set<data_centre_id> dataCentres);
    /** Engines that are slow or whose group is broken; replaces the earlier list. */
    void setEngines(const std::vector<engine_condition> &engines, time_point now);
    /** Nodes that send requests, this one included. */
    void setNodeCount(std::uint32_t nodes);

    /**
     * A target for one more request.
     *
     * Codes: `no_target` if none is known and usable, `target_at_limit` if those that are usable have no room.
     */
    [[nodiscard]] expected<directory_entry> choose(const service_id &service, const std::set<target_id> &excluded,
                                                   const choice_limits &limits, time_point now);
    /** True if the target may still get requests: ready, its data centre in service, and it did not say it leaves. */
    [[nodiscard]] bool isOpen(const directory_entry &entry) const;

    /** @param readsPrompt the target reads a prompt until `onProgress` */
    void onStarted(const target_incarnation &incarnation, bool readsPrompt);
    /**
     * What all other nodes have at targets; nothing if it is not known.
     *
     * @param isDelayed other nodes may have chosen since; loads that differ by less than one request then count as
     * equal
     */
    void setPeerLoads(const std::optional<std::vector<target_use>> &uses, bool isDelayed);
    /** What this node has at targets. */
    [[nodiscard]] std::vector<target_use> ownLoads() const;
    /** @param readsPrompt there was no `onProgress` with the prompt read */
    void onEnded(const started_attempt &attempt, attempt_result result, bool readsPrompt, time_point now);
    /** The target began an answer that is no failure. */
    void onAccepted(const started_attempt &attempt);
    /** The target has read a prompt. */
    void onPromptRead(const target_id &target);
    /** A sign of life in the middle of an attempt. */
    void onProgress(const target_id &target, time_point now);
    void onLoad(const target_id &target, const target_load &load, time_point now);
    /**
     * True if it says something new.
     *
     * @param incarnation that an answer is of; what an earlier life said does not hold for the present one
     */
    bool onNotice(const target_incarnation &incarnation, const target_notice &notice, time_point now);

    /** A target that delays the others of its group so much that its streams are better moved. */
    [[nodiscard]] bool isSlow(const target_id &target, time_point now) const;
    /** No other target of the service is open, or those that are open rest or have a group known to be broken. */
    [[nodiscard]] bool hasNoUsableTarget(const service_id &service, const std::set<target_id> &excluded,
                                         time_point now) const;
    /** When the first target of the service ends its rest; nothing if one that is open does not rest. */
    [[nodiscard]] std::optional<time_point> earliestBackoffEnd(const service_id &service, time_point now) const;
    /** Targets of the service that answered something within `window`. */
    [[nodiscard]] std::size_t countActive(const service_id &service, duration window, time_point now) const;
    /** Requests at targets of the service, and the places that they have. */
    [[nodiscard]] target_load totalLoad(const service_id &service, time_point now) const;
    /** Most requests at one target of the service, and the slots of one. */
    [[nodiscard]] std::pair<double, std::uint32_t> maxLoadAndSlots(const service_id &service, time_point now) const;
    [[nodiscard]] load_spread loadSpread(const service_id &service, const choice_limits &limits, time_point now) const;
    void removeUnknownTargets();

private:
    /** What a life of a target said of itself; void for every other life. */
    struct life_notices
    {
        target_incarnation incarnation;
        bool isLeaving = false;
        /** Gets no request before. */
        time_point restEnd {};
        /** Has not answered well since its rest, so it gets one request at a time. */
        bool isReturning = false;
        /** Requests in flight that started after the rest. */
        std::uint32_t probes = 0;
    };

    struct target_record
    {
        std::uint32_t inFlight = 0;
        life_notices notices;
        /** The group of the target is broken. */
        bool isBroken = false;
        /** Time that the target takes for its work relative to a sound one. */
        double pace = 1;
        /** Requests of this node whose prompt is being read. */
        std::uint32_t prompts = 0;
        /** The same of other nodes, if they are heard. */
        std::uint32_t peerRequests = 0;
        std::uint32_t peerPrompts = 0;
        /** Requests of other nodes at the target as last reported, and when. */
        std::uint32_t others = 0;
        time_point othersAt {};
        std::uint32_t failuresInRow = 0;
        /** Share of attempts that failed, smoothed. */
        double failureShare = 0;
        time_point blockedUntil {};
        time_point lastProgress {};
        /** Cold start: tokens that allow one request each. */
        double coldTokens = 1;
        time_point coldAt {};
    };

    struct candidate
    {
        const directory_entry *entry = nullptr;
        double score = 0;
    };

    /** One of the candidates with the lowest scores. */
    [[nodiscard]] const directory_entry *pick(std::vector<candidate> &candidates);
    [[nodiscard]] bool knowsEngines(time_point now) const;
    bool apply(life_notices &notices, const leaving_notice &notice, time_point now);
    bool apply(life_notices &notices, const backoff_notice &notice, time_point now);
    [[nodiscard]] static bool isResting(const directory_entry &entry, const target_record &record, time_point now);
    /** What the target said in this life, if the attempt is one of those that show whether its rest has helped. */
    [[nodiscard]] life_notices *probed(const started_attempt &attempt);
    [[nodiscard]] double load(const target_record &record, time_point now) const;
    [[nodiscard]] bool hasRoom(const directory_entry &entry, const target_record &record, const choice_limits &limits,
                               time_point now) const;
    /** As many prompts are read at the target as may be. */
    [[nodiscard]] bool isReading(const target_record &record) const;
    [[nodiscard]] bool isBelowRequestLimit(const directory_entry &entry, const target_record &record,
                                           const choice_limits &limits, time_point now) const;
    [[nodiscard]] double score(const directory_entry &entry, const target_record &record, time_point now) const;
    /** A cold target bears a bounded rate of requests; refills the tokens of this node's share. */
    [[nodiscard]] bool hasColdToken(const directory_entry &entry, target_record &record, time_point now) const;
    void block(target_record &record, duration base, time_point now) const;

    pool_settings m_settings;
    const target_directory *m_directory = nullptr;
    std::shared_ptr<const route_index> m_routes;
    std::set<data_centre_id> m_evacuated;
    std::uint32_t m_nodes;
    time_point m_enginesHeard {};
    std::unordered_map<target_id, target_record> m_records;
    std::mt19937_64 m_random;
    bool m_hasPeers = false;
    /** Differences of load, in requests, that do not decide between targets. */
    double m_tolerance = 0;
};

} // namespace figcleat::forward
