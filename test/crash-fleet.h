#pragma once

#include "figcleat/forward/forwarder.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <random>

/** Simulates fronts, callers, and targets in groups that a request with certain parts ends. */
namespace figcleat::forward
{

struct fleet_settings
{
    std::size_t fronts = 8;
    std::size_t groups = 1;
    std::size_t ranks = 12;
    double arrivalsPerSecond = 60;
    std::uint64_t seed = 1;
    /** Share of the requests that contain each of the deadly parts. */
    double deadlyShare = 0.05;
    std::size_t deadlyParts = 1;
    /** Delay of a message between two fronts; beyond 16 fronts it passes relays. */
    duration messageDelay = std::chrono::milliseconds(30);
    /** Deadly requests end their targets after the head of the answer, else before it. */
    bool sendsHead = true;
    /** Fronts learn from a coordinator which groups are broken. */
    bool hearsEngines = true;
};

/** What callers got and what reached targets. */
struct fleet_counts
{
    std::size_t soundRequests = 0;
    std::size_t soundServed = 0;
    /** Sound requests that were refused because of their parts. */
    std::size_t soundQuarantined = 0;
    /** By deadly part, the times of arrivals at targets and of crashes. */
    std::map<std::string, std::vector<time_point>> deadlyArrivals;
    std::map<std::string, std::vector<time_point>> crashesByRequest;
    /** Most groups that were broken at a time. */
    std::size_t mostGroupsDown = 0;
};

class crash_fleet
{
public:
    static constexpr duration timeStep = std::chrono::milliseconds(5);

    explicit crash_fleet(fleet_settings settings)
        : m_settings(settings)
        , m_random(settings.seed)
    {
        for (std::size_t i = 0; i < settings.groups * settings.ranks; ++i) {
            m_targets.push_back({ .id = { "t" + std::to_string(i) }, .group = i / settings.ranks });
        }
        m_groups.resize(settings.groups);
        for (std::size_t i = 0; i < settings.fronts; ++i) {
            m_fronts.push_back(makeFront(i, 1));
        }
    }

    void run(duration length)
    {
        for (const auto end = m_now + length; m_now < end; m_now += timeStep) {
            arriveAtRandom();
            advanceTargets();
            advanceAttempts();
            endProbes();
            exchange();
            tickFronts();
        }
    }

    void setDeadly(bool isDeadly)
    {
        m_isDeadly = isDeadly;
    }

    void setDeadlyShare(double share)
    {
        m_settings.deadlyShare = share;
    }

    /** Ends targets for reasons of their own. */
    void crashAtRandom(std::size_t count)
    {
        for (; count > 0; --count) {
            crash(std::uniform_int_distribution<std::size_t>(0, m_targets.size() - 1)(m_random), {});
        }
    }

    /** Ends a target that has just been told to leave, with the requests that it still runs. */
    void stopTarget(std::size_t index)
    {
        crash(index % m_targets.size(), {});
    }

    /** Cuts the fronts from `first` on from all others, or joins them again. */
    void setCut(std::size_t first)
    {
        m_cutAt = first;
    }

    void restartFront(std::size_t index)
    {
        for (auto &[key, one] : m_attempts) {
            one.isLost = one.isLost || one.front == index;
        }
        m_fronts[index] = makeFront(index, ++m_incarnations);
        m_news.push_back(
            { m_now + m_settings.messageDelay, index, m_fronts[nextTo(index)]->quarantine().update(m_now) });
    }

    forwarder &front(std::size_t index)
    {
        return *m_fronts[index];
    }

    fleet_counts &counts()
    {
        return m_counts;
    }

    time_point now() const
    {
        return m_now;
    }

    std::size_t crashesByRequest() const
    {
        std::size_t all = 0;
        for (const auto &entry : m_counts.crashesByRequest) {
            all += entry.second.size();
        }
        return all;
    }

    std::size_t quarantines(std::size_t index) const
    {
        return m_fronts[index]->quarantine().status(m_now).size();
    }

    /** Deadly requests that reached targets later than `delay` after the fifth crash by a request. */
    std::size_t deadlyArrivalsAfterFifthCrash(duration delay) const
    {
        constexpr std::size_t fifth = 4;
        std::size_t most = 0;
        for (const auto &[part, crashes] : m_counts.crashesByRequest) {
            if (crashes.size() > fifth) {
                const auto &arrivals = m_counts.deadlyArrivals.at(part);
                const auto late = std::count_if(arrivals.begin(), arrivals.end(),
                                                [since = crashes[fifth] + delay](auto at) { return at > since; });
                most = std::max(most, static_cast<std::size_t>(late));
            }
        }
        return most;
    }

private:
    struct target_state
    {
        target_id id;
        std::size_t group = 0;
        std::int64_t startedMs = 1000;
        time_point downUntil {};
    };

    struct group_state
    {
        time_point brokenAt {};
        time_point openAt {};
    };

    struct client
    {
        caller_request request;
        bool isDeadly = false;
        bool isRetry = false;
    };

    struct attempt
    {
        std::size_t front = 0;
        std::size_t target = 0;
        attempt_number number;
        std::int64_t startedMs = 0;
        time_point begins {};
        time_point ends {};
        time_point nextEvent {};
        /** Empty if there is none. */
        std::string deadlyPart {};
        bool hasBegun = false;
        /** The target was down when the attempt began, so that nothing could be sent. */
        bool isUnsent = false;
        /** Its front has ended. */
        bool isLost = false;
    };

    struct news
    {
        time_point due {};
        std::size_t to = 0;
        quarantine_update update;
    };

    static constexpr auto downTime = std::chrono::milliseconds(3000);
    static constexpr auto stallTime = std::chrono::milliseconds(1500);
    static constexpr auto formTime = std::chrono::milliseconds(600);
    static constexpr auto reportLag = std::chrono::milliseconds(150);

    static registration makeRegistration(const target_state &target)
    {
        registration one;
        one.target = target.id;
        one.order = { target.startedMs, 1 };
        one.service = { "models" };
        one.address = "10.0.1." + target.id.value.substr(1) + ":80";
        one.dataCentre = { "north" };
        one.slots = 12;
        return one;
    }

    static std::shared_ptr<const route_index> makeRoutes()
    {
        route one;
        one.name = { "draft" };
        one.host = "desk.example";
        one.pathPrefix = "/draft/";
        one.kind = route_kind::stream;
        one.timeout = milliseconds(8000);
        one.objective = milliseconds(400);
        one.maxGap = milliseconds(120);
        one.attempts = 2;
        one.resumable = true;
        one.split = { { { "models" }, 1 } };
        route_table table;
        table.version = 1;
        table.routes = { one };
        table.services = { { { "models" }, 610, 0 } };
        return std::make_shared<const route_index>(std::move(table));
    }

    std::unique_ptr<forwarder> makeFront(std::size_t index, std::uint64_t incarnation)
    {
        forwarder_settings settings;
        settings.pool.dataCentre = { "north" };
        settings.pool.seed = m_settings.seed * 1000 + index;
        settings.seed = settings.pool.seed;
        settings.retrySlack = 92;
        settings.self = { "10.0.0." + std::to_string(index) };
        settings.incarnation = { incarnation * 1000 + index };
        auto made = std::make_unique<forwarder>(settings);
        m_directories.resize(std::max(m_directories.size(), index + 1));
        m_directories[index] = std::make_unique<target_directory>();
        for (const auto &target : m_targets) {
            m_directories[index]->merge(makeRegistration(target), m_now);
        }
        made->pool().setDirectory(m_directories[index].get());
        made->setNodeCount(static_cast<std::uint32_t>(m_settings.fronts));
        made->setRoutes(makeRoutes());
        return made;
    }

    std::size_t nextTo(std::size_t index) const
    {
        return (index + 1) % m_settings.fronts;
    }

    bool chance(double share)
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random) < share;
    }

    void arriveAtRandom()
    {
        const double mean = m_settings.arrivalsPerSecond * std::chrono::duration<double>(timeStep).count();
        for (int count = std::poisson_distribution<int>(mean)(m_random); count > 0; --count) {
            client one;
            // All requests have one of two first parts; a tenth of the subjects gets half of the requests.
            one.request.sharedParts = { { chance(0.7) ? "first" : "second" } };
            const int subject = std::uniform_int_distribution<int>(0, chance(0.5) ? 9 : 99)(m_random);
            one.request.sharedParts.push_back({ "subject" + std::to_string(subject) });
            for (std::size_t i = 0; i < m_settings.deadlyParts; ++i) {
                if (chance(m_settings.deadlyShare)) {
                    one.isDeadly = true;
                    one.request.sharedParts.push_back({ "deadly" + std::to_string(i) });
                }
            }
            one.request.host = "desk.example";
            one.request.path = "/draft/1";
            m_counts.soundRequests += one.isDeadly ? 0 : 1;
            send(std::move(one));
        }
        for (; !m_returning.empty() && m_returning.begin()->first <= m_now; m_returning.erase(m_returning.begin())) {
            send(std::move(m_returning.begin()->second));
        }
    }

    void send(client one)
    {
        const auto index = std::uniform_int_distribution<std::size_t>(0, m_settings.fronts - 1)(m_random);
        const exchange_id exchange { ++m_lastExchange };
        one.request.id = { "r" + std::to_string(m_lastExchange) };
        auto request = one.request;
        m_clients.emplace(exchange, std::move(one));
        carryOut(index, m_fronts[index]->step(request_arrived { exchange, std::move(request) }, m_now));
    }

    void carryOut(std::size_t index, std::vector<forward_action> actions)
    {
        for (auto &action : actions) {
            if (auto *start = std::get_if<start_attempt>(&action); start != nullptr) {
                startAt(index, *start);
            } else if (auto *cancel = std::get_if<cancel_attempt>(&action); cancel != nullptr) {
                m_attempts.erase({ index, cancel->attempt });
            } else if (auto *probe = std::get_if<probe_target>(&action); probe != nullptr) {
                const auto target = static_cast<std::size_t>(std::stoul(probe->incarnation.target.value.substr(1)));
                m_probes.push_back({ index, { probe->incarnation, m_targets[target].downUntil > m_now } });
            } else if (auto *refused = std::get_if<refuse_request>(&action); refused != nullptr) {
                onRefused(refused->exchange, refused->details);
            } else if (auto *end = std::get_if<end_event_stream>(&action); end != nullptr) {
                m_counts.soundServed += m_clients.at(end->exchange).isDeadly ? 0 : 1;
                m_clients.erase(end->exchange);
            } else if (auto *broken = std::get_if<abort_answer>(&action); broken != nullptr) {
                m_clients.erase(broken->exchange);
            }
        }
    }

    void onRefused(exchange_id exchange, const refusal &details)
    {
        auto one = std::move(m_clients.at(exchange));
        m_clients.erase(exchange);
        m_counts.soundQuarantined += details.code == result_code::prompt_quarantined && !one.isDeadly ? 1 : 0;
        if (!std::exchange(one.isRetry, true)) {
            const auto wait = std::min(details.retryAfter.value_or(milliseconds(20)), milliseconds(2600));
            m_returning.emplace(m_now + wait, std::move(one));
        }
    }

    void startAt(std::size_t index, const start_attempt &start)
    {
        const auto target = static_cast<std::size_t>(std::stoul(start.call.target.value.substr(1)));
        attempt one { .front = index, .target = target, .number = start.attempt };
        one.startedMs = m_targets[target].startedMs;
        const auto &parts = start.call.request->sharedParts;
        for (const auto &part : parts) {
            one.deadlyPart = part.value.starts_with("deadly") ? part.value : one.deadlyPart;
        }
        one.begins = m_now + milliseconds(std::uniform_int_distribution<int>(40, 160)(m_random));
        one.ends = one.begins + milliseconds(std::uniform_int_distribution<int>(600, 2000)(m_random));
        one.isUnsent = m_targets[target].downUntil > m_now;
        if (!one.deadlyPart.empty() && !one.isUnsent) {
            m_counts.deadlyArrivals[one.deadlyPart].push_back(m_now);
        }
        m_attempts.emplace(std::pair(index, start.attempt), one);
    }

    /** @param cause part of the request that ends the target; empty for another cause */
    void crash(std::size_t index, const std::string &cause)
    {
        auto &target = m_targets[index];
        if (target.downUntil > m_now) {
            return;
        }
        if (!cause.empty()) {
            m_counts.crashesByRequest[cause].push_back(m_now);
        }
        target.downUntil = m_now + downTime;
        auto &group = m_groups[target.group];
        if (group.openAt <= m_now) {
            group.brokenAt = m_now;
        }
        group.openAt = std::max(group.openAt, target.downUntil + formTime);
        const auto down
            = std::count_if(m_groups.begin(), m_groups.end(), [this](const auto &one) { return one.openAt > m_now; });
        m_counts.mostGroupsDown = std::max(m_counts.mostGroupsDown, static_cast<std::size_t>(down));
    }

    bool isOpen(std::size_t target) const
    {
        return m_groups[m_targets[target].group].openAt <= m_now;
    }

    void advanceTargets()
    {
        for (auto &target : m_targets) {
            if (target.downUntil != time_point {} && target.downUntil <= m_now) {
                target.downUntil = {};
                target.startedMs += downTime.count();
                for (const auto &directory : m_directories) {
                    directory->merge(makeRegistration(target), m_now);
                }
            }
        }
    }

    void advanceAttempts()
    {
        std::vector<std::pair<std::size_t, attempt_number>> keys;
        for (const auto &entry : m_attempts) {
            keys.push_back(entry.first);
        }
        for (const auto &key : keys) {
            if (const auto found = m_attempts.find(key); found != m_attempts.end()) {
                advance(found->second);
            }
        }
    }

    void advance(attempt &one)
    {
        const auto &target = m_targets[one.target];
        const auto &group = m_groups[target.group];
        if (one.isUnsent || target.downUntil > m_now || target.startedMs != one.startedMs) {
            end(one, attempt_failed { one.number, one.isUnsent });
            return;
        }
        if (!isOpen(one.target)) {
            if (m_now - group.brokenAt < stallTime) {
                one.begins = std::max(one.begins, m_now + timeStep);
                return;
            }
            one.hasBegun ? end(one, attempt_failed { one.number, false }) : refuse(one);
            return;
        }
        if (!one.hasBegun && m_now >= one.begins) {
            if (!one.deadlyPart.empty() && m_isDeadly && !m_settings.sendsHead) {
                crash(one.target, one.deadlyPart);
            } else {
                begin(one);
            }
        } else if (one.hasBegun && m_now >= one.nextEvent) {
            writeEvent(one);
        }
    }

    void begin(attempt &one)
    {
        one.hasBegun = true;
        answer_head head;
        head.status = 200;
        head.isEventStream = true;
        const auto key = std::pair(one.front, one.number);
        step(one.front, answer_started { one.number, head });
        const auto found = m_attempts.find(key);
        if (found == m_attempts.end()) {
            return;
        }
        if (!found->second.deadlyPart.empty() && m_isDeadly) {
            crash(found->second.target, found->second.deadlyPart);
        } else {
            writeEvent(found->second);
        }
    }

    void writeEvent(attempt &one)
    {
        one.nextEvent = m_now + milliseconds(50);
        const auto key = std::pair(one.front, one.number);
        const bool isLast = m_now >= one.ends;
        step(one.front, answer_bytes { one.number, "id: 1\n\n" });
        if (isLast && m_attempts.contains(key)) {
            end(m_attempts.at(key), answer_ended { key.second });
        }
    }

    void refuse(attempt &one)
    {
        answer_head head;
        head.status = 503;
        head.notRun = true;
        end(one, answer_started { one.number, head });
    }

    void end(const attempt &one, const forward_event &event)
    {
        const auto front = one.front;
        const bool isLost = one.isLost;
        m_attempts.erase({ one.front, one.number });
        if (!isLost) {
            step(front, event);
        }
    }

    void endProbes()
    {
        for (const auto &[front, result] : std::exchange(m_probes, {})) {
            step(front, result);
        }
    }

    void step(std::size_t front, const forward_event &event)
    {
        carryOut(front, m_fronts[front]->step(event, m_now));
    }

    void exchange()
    {
        for (std::size_t from = 0; from < m_fronts.size(); ++from) {
            auto &quarantine = m_fronts[from]->quarantine();
            const bool isRepeat
                = !quarantine.isEmpty() && (m_now.time_since_epoch() % std::chrono::seconds(2)).count() == 0;
            if (!quarantine.takeNews(false) && !isRepeat) {
                continue;
            }
            for (std::size_t to = 0; to < m_fronts.size(); ++to) {
                if (to != from && (from < m_cutAt) == (to < m_cutAt)) {
                    m_news.push_back({ m_now + m_settings.messageDelay, to, quarantine.update(m_now) });
                }
            }
        }
        for (; !m_news.empty() && m_news.front().due <= m_now; m_news.pop_front()) {
            step(m_news.front().to, quarantine_received { m_news.front().update });
        }
    }

    void tickFronts()
    {
        const bool isDue = (m_now.time_since_epoch() % std::chrono::milliseconds(25)).count() == 0;
        for (std::size_t i = 0; isDue && i < m_fronts.size(); ++i) {
            if (m_settings.hearsEngines) {
                m_fronts[i]->pool().setEngines(brokenEngines(), m_now);
            }
            step(i, forward_tick {});
        }
    }

    std::vector<engine_condition> brokenEngines() const
    {
        std::vector<engine_condition> engines;
        for (const auto &target : m_targets) {
            const auto &group = m_groups[target.group];
            if (group.openAt + reportLag > m_now && m_now - group.brokenAt > stallTime + reportLag) {
                engines.push_back({ makeRegistration(target).address, false, 1 });
            }
        }
        return engines;
    }

    fleet_settings m_settings;
    std::mt19937_64 m_random;
    time_point m_now { std::chrono::seconds(1000) };
    std::vector<target_state> m_targets;
    std::vector<group_state> m_groups;
    std::vector<std::unique_ptr<target_directory>> m_directories;
    std::vector<std::unique_ptr<forwarder>> m_fronts;
    std::map<exchange_id, client> m_clients;
    std::multimap<time_point, client> m_returning;
    std::map<std::pair<std::size_t, attempt_number>, attempt> m_attempts;
    std::deque<news> m_news;
    std::vector<std::pair<std::size_t, target_probed>> m_probes;
    fleet_counts m_counts;
    std::uint64_t m_lastExchange = 0;
    std::uint64_t m_incarnations = 1;
    std::size_t m_cutAt = 0;
    bool m_isDeadly = true;
};

} // namespace figcleat::forward
