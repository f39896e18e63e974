#pragma once

#include "figcleat/core/clock.h"
#include "figcleat/core/ids.h"
#include "figcleat/core/result-code.h"

#include <list>
#include <map>
#include <unordered_map>
#include <variant>
#include <vector>

namespace figcleat::request
{

/** A request that waits for a target with room. */
struct queued_request
{
    exchange_id id;
    workspace_id workspace;
    /** Share of its workspace relative to others. */
    std::uint32_t weight = 1;
    /** Work in any unit, the same for all requests of a queue. */
    double cost = 1;
    time_point deadline;
    /** Time that the request needs once it has left the queue. */
    duration needed {};
};

struct enqueue
{
    queued_request request;
};

/** The caller has gone. */
struct withdraw
{
    exchange_id id;
};

/** A target has room for the request at the front. */
struct serve
{
};

/** At least every 100 ms, for deadlines. */
struct queue_tick
{
};

using queue_event = std::variant<enqueue, withdraw, serve, queue_tick>;

/** The request leaves the queue and is to be placed now. */
struct release
{
    exchange_id id;
};

/** The request was not run: `queue_full` or `deadline_too_near`. */
struct turn_away
{
    exchange_id id;
    result_code code = result_code::queue_full;
};

using queue_action = std::variant<release, turn_away>;

struct fair_queue_settings
{
    std::size_t maxRequests = 4'096;
    /** Share of a new sample in the smoothed time per unit of cost. */
    double smoothing = 1.0 / 32;
};

/**
 * Bounded queue with deadlines that shares its service among workspaces by weight.
 *
 * Start-time fair queueing: a workspace that sends more than its share waits behind its own requests only. When
 * the queue is full, the workspace with the most waiting requests for its weight loses its newest one. A request
 * whose estimated wait exceeds its deadline is turned away at once.
 */
class fair_queue
{
public:
    explicit fair_queue(fair_queue_settings settings = {});

    std::vector<queue_action> step(const queue_event &event, time_point now);
    /** The request that `serve` would release; null if none waits. */
    [[nodiscard]] const queued_request *front() const;
    [[nodiscard]] std::size_t size() const;
    /** Estimated time until a new request of this workspace is released. */
    [[nodiscard]] duration estimatedWait(const workspace_id &workspace, std::uint32_t weight, time_point now) const;

private:
    struct waiting
    {
        queued_request request;
        double startTag = 0;
    };
    struct lane
    {
        std::list<waiting> requests;
        std::uint32_t weight = 1;
        double finishTag = 0;
        double cost = 0;
    };
    using lane_map = std::map<workspace_id, lane>;
    struct position
    {
        lane_map::iterator where;
        std::list<waiting>::iterator item;
    };

    void on(const enqueue &event);
    void on(const withdraw &event);
    void on(const serve &event);
    void on(const queue_tick &event);

    [[nodiscard]] bool makeRoomFor(const queued_request &request);
    /** Takes out a request that was not served. */
    void drop(position at);
    void remove(position at);
    void learn(double cost);
    [[nodiscard]] lane_map::const_iterator frontLane() const;
    [[nodiscard]] double secondsPerCost(time_point now) const;

    fair_queue_settings m_settings;
    lane_map m_lanes;
    std::unordered_map<exchange_id, position> m_positions;
    double m_virtualTime = 0;
    double m_cost = 0;
    double m_secondsPerCost = 0;
    /** Last release, or the start of the present busy period. */
    time_point m_lastRelease;
    time_point m_now;
    std::vector<queue_action> m_actions;
};

} // namespace figcleat::request
