#pragma once

#include "figcleat/placement/choose.h"
#include "figcleat/request/retry-budget.h"
#include "figcleat/target/gate.h"

#include "figcleat/core/invariant.h"
#include "figcleat/core/overloaded.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iomanip>
#include <memory>
#include <queue>
#include <random>
#include <sstream>

/**
 * Gates and placements with a fake engine, a fake link and a fake log of claims, on simulated time.
 *
 * Every run depends on its seed alone.
 */
namespace figcleat::harness
{

using namespace std::chrono_literals;

/** Each takes one mechanism away, so that a run can show that it finds the violation that follows. */
struct switches
{
    /** A cancel or a broken connection counts as the end of the call. */
    bool reuseUnprovenSlots = false;
    /** Every copy of a dispatch is new to the gate. */
    bool forgetAttempts = false;
    /** A copy of a refused dispatch is new to the gate. */
    bool forgetRefusals = false;
    /** The gate answers a close, but does not bar the attempt. */
    bool closeWithoutBar = false;
    /** A dispatch for a former incarnation is accepted. */
    bool ignoreIncarnation = false;
    /** Entries take the refusal of another incarnation than they addressed as "not run". */
    bool trustAnyRefusal = false;
    /** A restart of the engine also frees the slots of calls that the new engine runs. */
    bool restartFreesAllSlots = false;
    /** Slow pieces are no sign of a cold engine. */
    bool ignoreSlowness = false;
};

/** Switches by name, for the command line. */
inline const std::map<std::string, bool switches::*> switchNames {
    { "slot-proof", &switches::reuseUnprovenSlots },          { "attempt-memory", &switches::forgetAttempts },
    { "refusal-memory", &switches::forgetRefusals },          { "close-bar", &switches::closeWithoutBar },
    { "incarnation-check", &switches::ignoreIncarnation },    { "refusal-check", &switches::trustAnyRefusal },
    { "restart-survivors", &switches::restartFreesAllSlots }, { "slowness", &switches::ignoreSlowness },
};

struct scenario
{
    std::uint64_t seed = 1;
    std::size_t entries = 3;
    std::size_t targets = 4;
    std::size_t dataCentres = 2;
    /** Mean rate of each entry. */
    double requestsPerSecond = 15;
    double claimedShare = 0.3;
    duration load = 10s;
    duration settle = 25s;
    /** Requests before this are not counted, and what happens before it neither. */
    duration countFrom {};
    duration deadline = 5s;
    /** Mean pieces of an answer. */
    std::uint64_t pieces = 5;
    std::int64_t promptTokens = 256;
    target_limits limits { { { 12 }, { 20'000 }, { 20'000 } }, { { 2 }, { 4'000 }, { 4'000 } } };
    placement::policy policy;
    bool faults = true;
    duration reportDelay {};
    /** Prompt tokens grow by this factor, linearly over the load; their spread grows with them. */
    double costDrift = 1;
    /** Target 0 becomes cold at half of the load. */
    bool coldStart = false;
    /** Target 1 is this many times slower than the others. */
    double stragglerSlowness = 1;
    switches off;
};

/** Counts of one or several runs. */
struct totals
{
    std::map<std::string, std::uint64_t> faults;
    std::map<std::string, std::uint64_t> outcomes;
    std::map<std::string, std::uint64_t> refusalCodes;
    std::uint64_t requests = 0;
    std::uint64_t executions = 0;
    std::uint64_t claimedKeysRun = 0;
    std::uint64_t refusals = 0;
    std::uint64_t retries = 0;
    std::uint64_t inTime = 0;
    std::uint64_t falls = 0;
    /** Calls admitted by a gate between the start of a cold phase and its first sign. */
    std::uint64_t admittedUnseen = 0;
    /** Violations. */
    std::uint64_t keysRunTwice = 0;
    std::uint64_t notRunButRan = 0;
    std::uint64_t overLimit = 0;
    std::uint64_t coldOverLimit = 0;
    std::uint64_t wrongAnswers = 0;
    std::uint64_t withoutOutcome = 0;
    std::uint64_t invariants = 0;
    /** Time to first piece from the arrival of the request, in milliseconds. */
    std::vector<double> firstPieceMs;
    double loadHeld = 0;

    [[nodiscard]] std::uint64_t violations() const
    {
        return keysRunTwice + notRunButRan + overLimit + coldOverLimit + wrongAnswers + withoutOutcome + invariants;
    }
    void add(const totals &other)
    {
        for (const auto &[name, count] : other.faults) {
            faults[name] += count;
        }
        for (const auto &[name, count] : other.outcomes) {
            outcomes[name] += count;
        }
        for (const auto &[name, count] : other.refusalCodes) {
            refusalCodes[name] += count;
        }
        for (const auto field :
             { &totals::requests, &totals::executions, &totals::claimedKeysRun, &totals::refusals, &totals::retries,
               &totals::inTime, &totals::falls, &totals::admittedUnseen, &totals::keysRunTwice, &totals::notRunButRan,
               &totals::overLimit, &totals::coldOverLimit, &totals::wrongAnswers, &totals::withoutOutcome,
               &totals::invariants }) {
            this->*field += other.*field;
        }
    }
};

/** Events in order of time, then of insertion. */
class scheduler
{
public:
    [[nodiscard]] time_point now() const
    {
        return m_now;
    }
    void at(time_point when, std::function<void()> what)
    {
        m_events.push({ std::max(when, m_now), m_next++, std::move(what) });
    }
    void runUntil(time_point end)
    {
        while (!m_events.empty() && m_events.top().when < end) {
            auto what = std::move(const_cast<item &>(m_events.top()).what);
            m_now = m_events.top().when;
            m_events.pop();
            what();
        }
        m_now = end;
    }

private:
    struct item
    {
        time_point when;
        std::uint64_t number;
        std::function<void()> what;
        bool operator<(const item &other) const
        {
            return std::tie(when, number) > std::tie(other.when, other.number);
        }
    };
    std::priority_queue<item> m_events;
    time_point m_now { 1h };
    std::uint64_t m_next = 0;
};

struct heartbeat
{
    data_centre_id dataCentre;
};
using message = std::variant<dispatch, attempt_cancel, close_attempt, heartbeat, announce, attempt_refused,
                             answer_piece, attempt_finished, attempt_closed>;

/** Record of a claim in the fake log. */
struct claim
{
    attempt_id attempt;
    std::size_t target = 0;
    incarnation_id incarnation;
    fence_number fence;
    bool settled = false;
    result_code code = result_code::ok;
};

class world
{
public:
    explicit world(scenario plan);
    totals run();

private:
    /** A process can be paused, and can restart with a new life; timers of a former life do not fire. */
    struct process
    {
        std::uint64_t life = 0;
        time_point pausedUntil;
    };
    struct engine_call
    {
        attempt_id gateId;
        std::uint64_t targetLife = 0;
        std::uint64_t piecesLeft = 0;
        std::string tag;
        bool connected = true;
    };
    struct engine
    {
        std::uint64_t life = 1;
        bool up = true;
        bool cold = false;
        time_point coldSince;
        time_point firstStartWhileCold;
        bool fallSeen = false;
        double slowness = 1;
        std::uint64_t lastCall = 0;
        std::map<std::uint64_t, engine_call> calls;
    };
    struct target : process
    {
        std::unique_ptr<figcleat::target::gate> gate;
        figcleat::target::gate_settings settings;
        engine backend;
        std::map<std::size_t, time_point> heard;
        std::map<attempt_id, attempt_id> aliases;
        std::map<attempt_id, attempt_id> originals;
        std::uint64_t wholeAnswers = 0;
    };
    struct caller_request
    {
        std::size_t entry = 0;
        std::uint64_t entryLife = 0;
        std::string key;
        std::string tag;
        time_point created;
        time_point deadline;
        work_cost cost;
        std::uint64_t prefix = 0;
        std::uint64_t pieces = 1;
        std::uint32_t tries = 0;
        std::set<target_id> excluded;
        std::vector<attempt_id> attempts;
        std::optional<result_code> outcome;
        bool firstPieceSeen = false;
        bool closing = false;
        std::string answer;
    };
    struct pending_attempt
    {
        std::size_t request = 0;
        std::size_t target = 0;
        incarnation_id incarnation;
        fence_number fence;
        time_point heardAt;
        std::uint64_t position = 0;
        bool gap = false;
    };
    struct entry : process
    {
        incarnation_id incarnation;
        std::unique_ptr<placement::table> table;
        placement::policy policy;
        request::retry_budget budget;
        std::map<attempt_id, pending_attempt> pending;
    };

    // Time, chance and processes.
    bool chance(double share);
    duration between(duration least, duration most);
    void later(process &owner, duration delay, std::function<void()> what);
    void every(process &owner, duration period, const std::function<void()> &what);
    static incarnation_id incarnationOf(const process &owner);
    [[nodiscard]] data_centre_id dataCentreOf(std::size_t index) const;

    // Link. Entries have the nodes 0.., targets follow.
    void send(std::size_t from, std::size_t to, message what);
    void deliver(std::size_t from, std::size_t to, const message &what);
    process &node(std::size_t index);

    // Target and engine.
    void startTarget(std::size_t index);
    void stepGate(std::size_t index, const figcleat::target::gate_event &event);
    void perform(std::size_t index, const figcleat::target::gate_action &action);
    void receiveAtTarget(std::size_t index, std::size_t from, const message &what);
    void dispatchToGate(std::size_t index, std::size_t from, dispatch what);
    void sendFromTarget(std::size_t index, const peer_address &to, message what);
    attempt_id original(std::size_t index, const attempt_id &alias);
    void startCall(std::size_t index, const figcleat::target::run &start);
    void checkLimits(std::size_t index);
    void continueCall(std::size_t index, std::uint64_t call, duration delay);
    void advanceCall(std::size_t index, std::uint64_t number);
    void endCall(std::size_t index, std::uint64_t number, bool complete, bool proved);
    void cancelCall(std::size_t index, const attempt_id &gateId);
    void tellGate(std::size_t index, std::uint64_t life, duration delay, figcleat::target::gate_event event);
    void restartEngine(std::size_t index);
    void tellRestart(std::size_t index, std::uint64_t engineLife);
    void makeCold(std::size_t index, duration length);
    double noise();

    // Entry.
    void startEntry(std::size_t index);
    void receiveAtEntry(std::size_t index, std::size_t from, const message &what);
    void arrive(std::size_t entryIndex, const std::string &key, std::uint64_t tag);
    void place(std::size_t number);
    void placeLater(std::size_t number, duration delay);
    void claimThenDispatch(std::size_t number, std::size_t to, incarnation_id incarnation);
    void dispatchTo(std::size_t number, std::size_t to, incarnation_id incarnation, attempt_id attempt,
                    fence_number fence);
    void onRefused(std::size_t entryIndex, const attempt_refused &refusal);
    void onPiece(std::size_t entryIndex, const answer_piece &piece);
    void onFinished(std::size_t entryIndex, const attempt_finished &finish);
    void onClosed(std::size_t entryIndex, const attempt_closed &closed);
    void lostAttempt(std::size_t entryIndex, attempt_id attempt, result_code code, bool incarnationGone);
    void retry(std::size_t number, result_code code);
    void closeClaim(std::size_t number, const claim &held);
    void settle(std::size_t number, const attempt_id &attempt, result_code code);
    void finish(std::size_t number, result_code code);
    void checkProgress(std::size_t entryIndex);
    void dropPending(std::size_t entryIndex, const attempt_id &attempt);

    // Load, faults and checks.
    void scheduleArrivals(std::size_t entryIndex);
    void scheduleFaults();
    void injectFault();
    void pause(process &who, const std::string &name, duration length);
    void takeDataCentreOut();
    void sampleLoad();
    [[nodiscard]] bool isCounted(const caller_request &request) const;
    void checkOutcomes();

    scenario m_plan;
    scheduler m_time;
    std::mt19937_64 m_random;
    std::vector<entry> m_entries;
    std::vector<target> m_targets;
    std::deque<caller_request> m_requests;
    std::map<std::pair<std::size_t, std::size_t>, time_point> m_silent;
    std::map<std::pair<std::size_t, std::size_t>, time_point> m_lastDelivery;
    std::map<std::string, claim> m_claims;
    std::uint64_t m_lastFence = 0;
    std::uint64_t m_lastAttempt = 0;
    std::uint64_t m_lastTag = 0;
    std::map<attempt_id, int> m_executions;
    std::map<attempt_id, std::pair<std::string, std::string>> m_tags;
    std::map<std::string, int> m_keyExecutions;
    std::vector<attempt_id> m_trustedRefusals;
    std::set<data_centre_id> m_out;
    request::retry_backoff m_backoff;
    std::vector<double> m_load;
    totals m_totals;
};

inline totals runOnce(const scenario &plan)
{
    return world(plan).run();
}

// Time, chance and processes.

inline world::world(scenario plan)
    : m_plan(std::move(plan))
    , m_random(m_plan.seed)
    , m_entries(m_plan.entries)
    , m_targets(m_plan.targets)
    , m_backoff(m_plan.seed)
{
}

inline bool world::chance(double share)
{
    return std::uniform_real_distribution<>(0, 1)(m_random) < share;
}

inline duration world::between(duration least, duration most)
{
    return duration(std::uniform_int_distribution<std::int64_t>(least.count(), most.count())(m_random));
}

inline double world::noise()
{
    return std::lognormal_distribution<>(0, 0.2)(m_random);
}

inline void world::later(process &owner, duration delay, std::function<void()> what)
{
    m_time.at(m_time.now() + delay, [this, &owner, life = owner.life, what = std::move(what)]() mutable {
        if (owner.life != life) {
            return;
        }
        if (m_time.now() < owner.pausedUntil) {
            later(owner, owner.pausedUntil - m_time.now(), std::move(what));
            return;
        }
        what();
    });
}

inline void world::every(process &owner, duration period, const std::function<void()> &what)
{
    later(owner, period, [this, &owner, period, what] {
        what();
        every(owner, period, what);
    });
}

inline incarnation_id world::incarnationOf(const process &owner)
{
    return { owner.life };
}

inline data_centre_id world::dataCentreOf(std::size_t index) const
{
    return { "dc" + std::to_string(index % m_plan.dataCentres) };
}

// Link.

inline world::process &world::node(std::size_t index)
{
    if (index < m_entries.size()) {
        return m_entries[index];
    }
    return m_targets[index - m_entries.size()];
}

inline void world::send(std::size_t from, std::size_t to, message what)
{
    // A connection keeps the order of its messages; only faults break it.
    auto &last = m_lastDelivery[{ from, to }];
    last = std::max(last + 1ns, m_time.now() + between(200us, 1500us));
    auto delay = last - m_time.now();
    int copies = 1;
    if (m_plan.faults) {
        const auto silent = m_silent.find(std::minmax(from, to));
        if ((silent != m_silent.end() && m_time.now() < silent->second) || chance(0.002)) {
            ++m_totals.faults["message lost"];
            return;
        }
        if (chance(0.003)) {
            ++m_totals.faults["message delayed and overtaken"];
            delay += between(5ms, 400ms);
        }
        if (chance(0.01)) {
            ++m_totals.faults["message duplicated"];
            copies = 2;
            const auto *call = std::get_if<dispatch>(&what);
            if (call != nullptr && call->claim.fence.value != 0 && chance(0.4)) {
                ++m_totals.faults["target restarted between two copies"];
                m_time.at(m_time.now() + delay + 1ms, [this, to] { startTarget(to - m_entries.size()); });
            }
        }
    }
    const auto shared = std::make_shared<message>(std::move(what));
    for (int copy = 0; copy < copies; ++copy) {
        m_time.at(m_time.now() + delay, [this, from, to, shared] { deliver(from, to, *shared); });
        delay += chance(0.5) ? between(0ms, 60ms) : between(0ms, 2s);
    }
}

inline void world::deliver(std::size_t from, std::size_t to, const message &what)
{
    // Unlike a timer, a message reaches the next life of its receiver.
    const auto resume = node(to).pausedUntil;
    if (m_time.now() < resume) {
        m_time.at(resume, [this, from, to, what] { deliver(from, to, what); });
    } else if (to < m_entries.size()) {
        receiveAtEntry(to, from, what);
    } else {
        receiveAtTarget(to - m_entries.size(), from, what);
    }
}

// Target.

inline void world::startTarget(std::size_t index)
{
    auto &self = m_targets[index];
    ++self.life;
    self.heard.clear();
    self.aliases.clear();
    self.originals.clear();
    self.wholeAnswers = 0;
    auto &settings = self.settings;
    settings.identity.target = { std::to_string(index) };
    settings.identity.service = { "chat" };
    settings.identity.dataCentre = dataCentreOf(index);
    settings.identity.incarnation = incarnationOf(self);
    settings.identity.engineIncarnation = { self.backend.life };
    settings.limits = m_plan.limits;
    settings.dataCentreInService = !m_out.contains(dataCentreOf(index));
    settings.expectedFirstPiece = 60ms;
    if (m_plan.off.ignoreSlowness) {
        settings.firstPiece.alarmFactor = settings.pieceGap.alarmFactor = 1e9;
    }
    if (m_plan.faults && m_plan.seed % 2 == 0) {
        // Small enough that attempts are forgotten during a run.
        settings.attempts.maxAttempts = 400;
        settings.attempts.keepFor = 8s;
    }
    self.gate = std::make_unique<figcleat::target::gate>(settings);
    for (auto &[number, call] : self.backend.calls) {
        call.connected = false;
    }
    every(self, 50ms, [this, index] {
        auto &me = m_targets[index];
        for (auto entry = me.heard.begin(); entry != me.heard.end();) {
            const auto [from, when] = *entry;
            const bool lost = m_time.now() - when >= 2s;
            entry = lost ? me.heard.erase(entry) : std::next(entry);
            if (lost) {
                stepGate(index, figcleat::target::entry_lost { { std::to_string(from) } });
            }
        }
        stepGate(index, figcleat::target::tick {});
    });
}

inline void world::stepGate(std::size_t index, const figcleat::target::gate_event &event)
{
    auto &self = m_targets[index];
    const auto before = self.gate->limit();
    std::vector<figcleat::target::gate_action> actions;
    try {
        actions = self.gate->step(event, m_time.now());
    } catch (const invariant_violation &) {
        ++m_totals.invariants;
        return;
    }
    if (self.gate->limit().requests < before.requests) {
        ++m_totals.falls;
        self.backend.fallSeen = true;
    }
    for (const auto &action : actions) {
        perform(index, action);
    }
}

inline void world::perform(std::size_t index, const figcleat::target::gate_action &action)
{
    namespace t = figcleat::target;
    std::visit(
        overloaded {
            [&](const t::run &start) { startCall(index, start); },
            [&](const t::cancel_engine &cancel) {
                cancelCall(index, cancel.attempt);
                if (m_plan.off.reuseUnprovenSlots) {
                    stepGate(index, t::engine_finished { cancel.attempt, false, {} });
                }
            },
            [&](const t::announce_state &state) {
                for (std::size_t to = 0; to < m_entries.size(); ++to) {
                    m_time.at(m_time.now() + m_plan.reportDelay, [this, index, to, report = state.message] {
                        send(m_entries.size() + index, to, report);
                    });
                }
            },
            [&](const t::drained & /*end*/) { later(m_targets[index], 1s, [this, index] { startTarget(index); }); },
            [&](const auto &reply) {
                auto content = reply.message;
                content.attempt = original(index, content.attempt);
                if constexpr (std::is_same_v<std::decay_t<decltype(reply)>, t::refuse>) {
                    ++m_totals.refusals;
                    ++m_totals.refusalCodes[std::string(describe(content.code).name)];
                    if (m_plan.off.forgetRefusals) {
                        m_targets[index].aliases[content.attempt] = { { 999 }, { ++m_lastAttempt } };
                        m_targets[index].originals[m_targets[index].aliases[content.attempt]] = content.attempt;
                    }
                }
                sendFromTarget(index, reply.to, content);
            },
        },
        action);
}

inline void world::sendFromTarget(std::size_t index, const peer_address &to, message what)
{
    send(m_entries.size() + index, std::stoul(to.value), std::move(what));
}

inline attempt_id world::original(std::size_t index, const attempt_id &alias)
{
    const auto found = m_targets[index].originals.find(alias);
    return found == m_targets[index].originals.end() ? alias : found->second;
}

inline void world::receiveAtTarget(std::size_t index, std::size_t from, const message &what)
{
    auto &self = m_targets[index];
    self.heard[from] = m_time.now();
    if (const auto *call = std::get_if<dispatch>(&what)) {
        dispatchToGate(index, from, *call);
    } else if (const auto *cancel = std::get_if<attempt_cancel>(&what)) {
        stepGate(index, figcleat::target::cancel_received { *cancel });
    } else if (const auto *close = std::get_if<close_attempt>(&what)) {
        if (m_plan.off.closeWithoutBar && self.gate->attempts().find(close->attempt) == nullptr) {
            send(m_entries.size() + index, from,
                 attempt_closed { close->attempt, attempt_state::never_started, {}, 0, {}, close->targetIncarnation });
            return;
        }
        stepGate(index, figcleat::target::close_received { { std::to_string(from) }, *close });
    }
}

inline void world::dispatchToGate(std::size_t index, std::size_t from, dispatch what)
{
    auto &self = m_targets[index];
    if (m_plan.off.ignoreIncarnation) {
        what.targetIncarnation = incarnationOf(self);
    }
    const auto known = self.aliases.find(what.attempt);
    if (m_plan.off.forgetAttempts) {
        const attempt_id alias { { 999 }, { ++m_lastAttempt } };
        self.originals[alias] = what.attempt;
        what.attempt = alias;
        what.claim.key = sha256(std::to_string(m_lastAttempt));
    } else if (known != self.aliases.end()) {
        what.attempt = known->second;
    }
    stepGate(index, figcleat::target::dispatch_received { { std::to_string(from) }, std::move(what) });
}

// Engine.

inline void world::startCall(std::size_t index, const figcleat::target::run &start)
{
    auto &self = m_targets[index];
    auto &backend = self.backend;
    const auto limit = m_plan.limits;
    const auto live = static_cast<std::int64_t>(backend.calls.size());
    const bool refuses = !backend.up || (backend.cold && live >= 5 * limit.cold.requests.count);
    if (refuses) {
        tellGate(index, self.life, 1ms, figcleat::target::engine_failed { start.attempt, true });
        return;
    }
    const auto id = original(index, start.attempt);
    const auto &tag = m_tags.at(id);
    ++m_totals.executions;
    ++m_executions[id];
    if (!tag.second.empty()) {
        ++m_keyExecutions[tag.second];
    }
    if (backend.cold && !backend.fallSeen) {
        ++m_totals.admittedUnseen;
        backend.firstStartWhileCold = std::min(backend.firstStartWhileCold, m_time.now());
    }
    const auto number = ++backend.lastCall;
    const auto pieces = std::stoull(start.call.path);
    backend.calls.emplace(number, engine_call { start.attempt, self.life, pieces, tag.first, true });
    checkLimits(index);
    const auto prompt = static_cast<double>(std::stoul(start.call.method));
    const auto first = std::chrono::duration_cast<duration>(20ms * (1 + prompt / 256));
    continueCall(index, number, first);
    if (m_plan.faults && chance(0.01)) {
        ++m_totals.faults["engine connection broken"];
        tellGate(index, self.life, between(0ms, 300ms), figcleat::target::engine_failed { start.attempt, false });
        later(self, 1ms, [this, index, number] {
            const auto call = m_targets[index].backend.calls.find(number);
            if (call != m_targets[index].backend.calls.end()) {
                call->second.connected = false;
            }
        });
    }
}

inline void world::checkLimits(std::size_t index)
{
    auto &self = m_targets[index];
    auto &backend = self.backend;
    // What a former target process has left at the engine is not this gate's work.
    const auto live
        = std::ranges::count_if(backend.calls, [&](const auto &call) { return call.second.targetLife == self.life; });
    m_totals.overLimit += live > self.gate->limit().requests.count ? 1 : 0;
    // A cold engine shows itself only by work, which takes three times its normal time to be overdue.
    const bool hadWork = m_time.now() - backend.coldSince > 3s && backend.firstStartWhileCold + 1500ms < m_time.now();
    const bool knowsNormal = self.wholeAnswers >= 40;
    if (backend.cold && hadWork && knowsNormal && live > m_plan.limits.cold.requests.count) {
        ++m_totals.coldOverLimit;
    }
}

inline void world::continueCall(std::size_t index, std::uint64_t number, duration delay)
{
    auto &backend = m_targets[index].backend;
    const auto bears = backend.cold ? m_plan.limits.cold.requests.count : m_plan.limits.full.requests.count;
    const double share = static_cast<double>(backend.calls.size()) / static_cast<double>(bears);
    const double slowness
        = backend.slowness * (backend.cold ? 6.0 : 1.0) * (0.7 + 0.3 * share) * std::max(1.0, share) * noise();
    m_time.at(m_time.now() + duration(static_cast<std::int64_t>(static_cast<double>(delay.count()) * slowness)),
              [this, index, number, life = backend.life] {
                  if (m_targets[index].backend.life == life) {
                      advanceCall(index, number);
                  }
              });
}

inline void world::advanceCall(std::size_t index, std::uint64_t number)
{
    auto &backend = m_targets[index].backend;
    const auto found = backend.calls.find(number);
    if (found == backend.calls.end()) {
        return;
    }
    auto &call = found->second;
    if (call.connected) {
        tellGate(index, call.targetLife, 0ms, figcleat::target::engine_piece { call.gateId, 200, {}, call.tag });
    }
    if (--call.piecesLeft == 0) {
        endCall(index, number, true, call.connected || chance(0.7));
        return;
    }
    continueCall(index, number, 40ms);
}

inline void world::endCall(std::size_t index, std::uint64_t number, bool complete, bool proved)
{
    auto &self = m_targets[index];
    const auto found = self.backend.calls.find(number);
    if (found == self.backend.calls.end()) {
        return;
    }
    const auto call = found->second;
    self.backend.calls.erase(found);
    if (proved) {
        tellGate(index, call.targetLife, 0ms,
                 figcleat::target::engine_finished { call.gateId, complete && call.connected, { 1 } });
    }
    if (complete && call.targetLife == self.life && !self.backend.cold) {
        ++self.wholeAnswers;
    }
}

inline void world::cancelCall(std::size_t index, const attempt_id &gateId)
{
    for (auto &[number, call] : m_targets[index].backend.calls) {
        if (call.gateId != gateId || call.targetLife != m_targets[index].life) {
            continue;
        }
        if (m_plan.faults && chance(0.2)) {
            ++m_totals.faults["cancel without effect"];
            return;
        }
        const auto life = m_targets[index].backend.life;
        m_time.at(m_time.now() + between(5ms, 200ms), [this, index, life, which = number] {
            if (m_targets[index].backend.life == life) {
                endCall(index, which, false, true);
            }
        });
        return;
    }
}

inline void world::tellGate(std::size_t index, std::uint64_t life, duration delay, figcleat::target::gate_event event)
{
    auto &self = m_targets[index];
    if (life == self.life) {
        later(self, delay, [this, index, event = std::move(event)] { stepGate(index, event); });
    }
}

inline void world::restartEngine(std::size_t index)
{
    auto &backend = m_targets[index].backend;
    ++backend.life;
    backend.calls.clear();
    backend.up = false;
    makeCold(index, between(4s, 10s));
    const auto down = chance(0.5) ? 0ms : between(10ms, 500ms);
    m_time.at(m_time.now() + down, [this, index, life = backend.life] {
        if (m_targets[index].backend.life == life) {
            m_targets[index].backend.up = true;
            tellRestart(index, life);
        }
    });
}

inline void world::tellRestart(std::size_t index, std::uint64_t engineLife)
{
    auto &self = m_targets[index];
    // Calls may have reached the new engine before this is known.
    later(self, m_plan.faults ? between(0ms, 300ms) : 0ms, [this, index, engineLife] {
        auto &me = m_targets[index];
        std::vector<attempt_id> survivors;
        for (const auto &[number, call] : me.backend.calls) {
            if (call.targetLife == me.life && !m_plan.off.restartFreesAllSlots) {
                survivors.push_back(call.gateId);
            }
        }
        stepGate(index, figcleat::target::engine_restarted { { engineLife }, survivors });
    });
}

inline void world::makeCold(std::size_t index, duration length)
{
    auto &backend = m_targets[index].backend;
    backend.cold = true;
    backend.fallSeen = false;
    backend.coldSince = m_time.now();
    backend.firstStartWhileCold = time_point::max() - 1h;
    m_time.at(m_time.now() + length, [this, index, since = backend.coldSince] {
        if (m_targets[index].backend.coldSince == since) {
            m_targets[index].backend.cold = false;
        }
    });
}

// Entry.

inline void world::startEntry(std::size_t index)
{
    auto &self = m_entries[index];
    ++self.life;
    self.incarnation = { 1000 * (index + 1) + self.life };
    self.table = std::make_unique<placement::table>(placement::table_settings { dataCentreOf(index) });
    self.table->setDataCentresOut(m_out);
    self.policy = m_plan.policy;
    self.pending.clear();
    every(self, 500ms, [this, index] {
        for (std::size_t to = 0; to < m_targets.size(); ++to) {
            send(index, m_entries.size() + to, heartbeat { dataCentreOf(index) });
        }
    });
    every(self, 100ms, [this, index] { checkProgress(index); });
}

inline void world::receiveAtEntry(std::size_t index, std::size_t from, const message &what)
{
    auto &self = m_entries[index];
    const auto fromTarget = from - m_entries.size();
    std::visit(overloaded {
                   [&](const announce &report) {
                       if (self.table->heard(report, { std::to_string(from) }, m_time.now())) {
                           const auto pending = self.pending;
                           for (const auto &[attempt, known] : pending) {
                               if (known.target == fromTarget && known.incarnation != report.incarnation) {
                                   lostAttempt(index, attempt, result_code::target_lost, true);
                               }
                           }
                       }
                   },
                   [&](const attempt_refused &refusal) { onRefused(index, refusal); },
                   [&](const answer_piece &piece) { onPiece(index, piece); },
                   [&](const attempt_finished &finish) { onFinished(index, finish); },
                   [&](const attempt_closed &closed) { onClosed(index, closed); },
                   [](const auto & /*other*/) {},
               },
               what);
}

inline void world::arrive(std::size_t entryIndex, const std::string &key, std::uint64_t tag)
{
    auto &self = m_entries[entryIndex];
    caller_request request;
    request.entry = entryIndex;
    request.entryLife = self.life;
    request.key = key;
    request.tag = std::to_string(tag) + ";";
    request.created = m_time.now();
    request.deadline = m_time.now() + m_plan.deadline;
    const double progress = std::chrono::duration<double>(m_time.now() - time_point(1h)) / m_plan.load;
    const double drift = 1 + (m_plan.costDrift - 1) * std::min(progress, 1.0);
    const auto prompt = static_cast<std::int64_t>(static_cast<double>(m_plan.promptTokens) * drift
                                                  * std::lognormal_distribution<>(0, 0.3 * drift)(m_random));
    request.pieces
        = 1 + static_cast<std::uint64_t>(std::poisson_distribution<>(static_cast<double>(m_plan.pieces))(m_random));
    request.cost = { { 1 },
                     { std::min<std::int64_t>(prompt, m_plan.limits.cold.promptTokens.count) },
                     { static_cast<std::int64_t>(request.pieces) } };
    request.prefix = m_random() % 50;
    m_requests.push_back(std::move(request));
    m_totals.requests += isCounted(m_requests.back()) ? 1 : 0;
    self.budget.firstAttempt(m_time.now());
    const auto number = m_requests.size() - 1;
    later(self, 0ms, [this, number] { place(number); });
}

inline void world::place(std::size_t number)
{
    auto &request = m_requests[number];
    auto &self = m_entries[request.entry];
    if (request.outcome) {
        return;
    }
    if (m_time.now() >= request.deadline) {
        finish(number, request.attempts.empty() ? result_code::deadline_too_near : result_code::deadline_exceeded);
        return;
    }
    const placement::placement_request wanted { { "chat" }, {}, request.cost, request.prefix, request.excluded, true };
    const auto chosen = placement::choose(*self.table, wanted, self.policy, m_random, m_time.now());
    const auto *to = chosen ? std::get_if<placement::target_choice>(&*chosen) : nullptr;
    if (to == nullptr || !to->hasRoom) {
        request.excluded.clear();
        placeLater(number, 10ms);
        return;
    }
    const auto index = std::stoul(to->target.value);
    if (request.key.empty()) {
        dispatchTo(number, index, to->incarnation, { self.incarnation, { ++m_lastAttempt } }, {});
    } else {
        claimThenDispatch(number, index, to->incarnation);
    }
}

inline void world::placeLater(std::size_t number, duration delay)
{
    later(m_entries[m_requests[number].entry], delay, [this, number] { place(number); });
}

inline void world::claimThenDispatch(std::size_t number, std::size_t to, incarnation_id incarnation)
{
    auto &self = m_entries[m_requests[number].entry];
    const attempt_id attempt { self.incarnation, { ++m_lastAttempt } };
    // The entry may pause or die between each two of these steps.
    m_time.at(m_time.now() + between(1ms, 4ms), [this, number, to, incarnation, attempt, &self, life = self.life] {
        auto &request = m_requests[number];
        const auto [record, granted] = m_claims.try_emplace(request.key);
        if (granted) {
            record->second = { attempt, to, incarnation, { ++m_lastFence }, false, {} };
        }
        if (self.life != life) {
            return;
        }
        later(self, between(1ms, 4ms),
              [this, number, to, incarnation, attempt, granted = granted, claim = record->second] {
                  if (m_requests[number].outcome) {
                      return;
                  }
                  if (granted) {
                      dispatchTo(number, to, incarnation, attempt, claim.fence);
                  } else if (claim.settled) {
                      finish(number, claim.code);
                  } else {
                      closeClaim(number, claim);
                  }
              });
    });
}

inline void world::dispatchTo(std::size_t number, std::size_t to, incarnation_id incarnation, attempt_id attempt,
                              fence_number fence)
{
    auto &request = m_requests[number];
    auto &self = m_entries[request.entry];
    request.attempts.push_back(attempt);
    request.answer.clear();
    m_tags[attempt] = { request.tag, request.key };
    self.pending[attempt] = { number, to, incarnation, fence, m_time.now(), 0, false };
    self.table->began({ std::to_string(to) }, incarnation, request.cost);
    const auto left = std::max<duration>(request.deadline - m_time.now(), 0ms);
    dispatch call { attempt,
                    {},
                    {},
                    incarnation,
                    request.cost,
                    0,
                    static_cast<std::uint64_t>(left / 1ms),
                    { fence, sha256(request.key) },
                    { std::to_string(request.cost.promptTokens.count), std::to_string(request.pieces), {}, {} } };
    send(request.entry, m_entries.size() + to, std::move(call));
}

inline void world::dropPending(std::size_t entryIndex, const attempt_id &attempt)
{
    auto &self = m_entries[entryIndex];
    const auto found = self.pending.find(attempt);
    if (found == self.pending.end()) {
        return;
    }
    const auto &known = found->second;
    self.table->ended({ std::to_string(known.target) }, known.incarnation, m_requests[known.request].cost);
    self.pending.erase(found);
}

inline void world::onRefused(std::size_t entryIndex, const attempt_refused &refusal)
{
    auto &self = m_entries[entryIndex];
    const auto found = self.pending.find(refusal.attempt);
    if (found == self.pending.end() || describe(refusal.code).ran != execution::not_run) {
        return;
    }
    const auto known = found->second;
    if (refusal.targetIncarnation != known.incarnation && !m_plan.off.trustAnyRefusal) {
        lostAttempt(entryIndex, refusal.attempt, result_code::target_lost, true);
        return;
    }
    m_trustedRefusals.push_back(refusal.attempt);
    dropPending(entryIndex, refusal.attempt);
    self.table->refused({ std::to_string(known.target) }, known.incarnation);
    auto &request = m_requests[known.request];
    std::erase(request.attempts, refusal.attempt);
    request.excluded.insert({ std::to_string(known.target) });
    if (known.fence.value == 0) {
        retry(known.request, refusal.code);
        return;
    }
    m_time.at(m_time.now() + between(1ms, 4ms), [this, known, refusal] {
        const auto record = m_claims.find(m_requests[known.request].key);
        if (record != m_claims.end() && record->second.fence == known.fence && !record->second.settled) {
            m_claims.erase(record);
        }
        auto &owner = m_entries[m_requests[known.request].entry];
        if (owner.life == m_requests[known.request].entryLife) {
            later(owner, 2ms, [this, known, refusal] { retry(known.request, refusal.code); });
        }
    });
}

inline void world::retry(std::size_t number, result_code code)
{
    auto &request = m_requests[number];
    if (request.outcome) {
        return;
    }
    if (!m_entries[request.entry].budget.takeRetry(m_time.now())) {
        // An attempt before the refused one may have run.
        const bool unknown = describe(code).ran != execution::not_run;
        finish(number,
               request.attempts.empty() ? result_code::retry_budget_spent
                   : unknown            ? code
                                        : result_code::stream_broken);
        return;
    }
    ++m_totals.retries;
    placeLater(number, m_backoff.next(request.tries++));
}

inline void world::onPiece(std::size_t entryIndex, const answer_piece &piece)
{
    auto &self = m_entries[entryIndex];
    const auto found = self.pending.find(piece.attempt);
    if (found == self.pending.end()) {
        return;
    }
    auto &known = found->second;
    known.heardAt = m_time.now();
    if (piece.position != known.position) {
        known.gap = known.gap || piece.position > known.position;
        return;
    }
    ++known.position;
    auto &request = m_requests[known.request];
    request.answer += piece.bytes;
    if (!request.firstPieceSeen && isCounted(request)) {
        request.firstPieceSeen = true;
        m_totals.firstPieceMs.push_back(
            std::chrono::duration<double, std::milli>(m_time.now() - request.created).count());
    }
}

inline void world::onFinished(std::size_t entryIndex, const attempt_finished &finished)
{
    auto &self = m_entries[entryIndex];
    const auto found = self.pending.find(finished.attempt);
    if (found == self.pending.end()) {
        return;
    }
    const auto known = found->second;
    const bool whole = finished.code == result_code::ok && !known.gap && finished.pieces == known.position;
    if (!whole) {
        lostAttempt(entryIndex, finished.attempt,
                    finished.code == result_code::ok ? result_code::stream_broken : finished.code, false);
        return;
    }
    dropPending(entryIndex, finished.attempt);
    if (known.fence.value != 0) {
        settle(known.request, finished.attempt, result_code::ok);
    }
    finish(known.request, result_code::ok);
}

inline void world::lostAttempt(std::size_t entryIndex, attempt_id attempt, result_code code, bool incarnationGone)
{
    const auto known = m_entries[entryIndex].pending.at(attempt);
    if (known.fence.value == 0) {
        dropPending(entryIndex, attempt);
        send(entryIndex, m_entries.size() + known.target, attempt_cancel { attempt });
        retry(known.request, code);
        return;
    }
    if (incarnationGone) {
        dropPending(entryIndex, attempt);
        settle(known.request, attempt, result_code::outcome_unknown);
        finish(known.request, result_code::outcome_unknown);
        return;
    }
    if (!m_requests[known.request].closing) {
        closeClaim(known.request, { attempt, known.target, known.incarnation, known.fence, false, {} });
    }
}

inline void world::closeClaim(std::size_t number, const claim &held)
{
    auto &request = m_requests[number];
    if (request.outcome) {
        return;
    }
    request.closing = true;
    if (m_time.now() >= request.deadline) {
        finish(number, result_code::still_running);
        return;
    }
    send(request.entry, m_entries.size() + held.target, close_attempt { held.attempt, held.fence, held.incarnation });
    later(m_entries[request.entry], 300ms, [this, number, held] {
        if (m_requests[number].closing) {
            closeClaim(number, held);
        }
    });
}

inline void world::onClosed(std::size_t entryIndex, const attempt_closed &closed)
{
    for (std::size_t number = 0; number < m_requests.size(); ++number) {
        auto &request = m_requests[number];
        if (request.entry != entryIndex || !request.closing || request.outcome
            || request.entryLife != m_entries[entryIndex].life) {
            continue;
        }
        const auto record = m_claims.find(request.key);
        if (record == m_claims.end() || record->second.attempt != closed.attempt) {
            continue;
        }
        const bool gone = closed.targetIncarnation != record->second.incarnation;
        if (closed.state == attempt_state::running && !gone) {
            continue;
        }
        request.closing = false;
        dropPending(entryIndex, closed.attempt);
        if (closed.state == attempt_state::never_started && !gone) {
            m_trustedRefusals.push_back(closed.attempt);
            std::erase(request.attempts, closed.attempt);
            m_claims.erase(record);
            retry(number, result_code::attempt_closed);
            continue;
        }
        const auto code = gone ? result_code::outcome_unknown : closed.code;
        if (code == result_code::ok) {
            request.answer = closed.answer;
        }
        settle(number, closed.attempt, code);
        finish(number, code);
    }
}

inline void world::settle(std::size_t number, const attempt_id &attempt, result_code code)
{
    const auto record = m_claims.find(m_requests[number].key);
    if (record != m_claims.end() && record->second.attempt == attempt && !record->second.settled) {
        record->second.settled = true;
        record->second.code = code;
    }
}

inline void world::finish(std::size_t number, result_code code)
{
    auto &request = m_requests[number];
    if (request.outcome) {
        return;
    }
    request.outcome = code;
    request.closing = false;
    ++m_totals.outcomes[std::string(describe(code).name)];
    m_totals.inTime += isCounted(request) && code == result_code::ok && m_time.now() <= request.deadline ? 1 : 0;
    // The answer of a settled claim is in the log, not here.
    for (std::size_t at = 0; code == result_code::ok && at < request.answer.size(); at += request.tag.size()) {
        if (request.answer.compare(at, request.tag.size(), request.tag) != 0) {
            ++m_totals.wrongAnswers;
            break;
        }
    }
}

inline void world::checkProgress(std::size_t entryIndex)
{
    auto &self = m_entries[entryIndex];
    self.table->expire(m_time.now());
    const auto pending = self.pending;
    for (const auto &[attempt, known] : pending) {
        const auto &request = m_requests[known.request];
        if (request.outcome) {
            dropPending(entryIndex, attempt);
        } else if (m_time.now() >= request.deadline) {
            if (known.fence.value == 0) {
                send(entryIndex, m_entries.size() + known.target, attempt_cancel { attempt });
            }
            dropPending(entryIndex, attempt);
            finish(known.request, result_code::deadline_exceeded);
        } else if (m_time.now() - known.heardAt >= 2s) {
            lostAttempt(entryIndex, attempt, result_code::target_lost, false);
        }
    }
}

// Load, faults and checks.

inline void world::scheduleArrivals(std::size_t entryIndex)
{
    std::exponential_distribution<> gap(m_plan.requestsPerSecond);
    auto when = m_time.now() + 600ms;
    while (when < time_point(1h) + m_plan.load) {
        when += std::chrono::duration_cast<duration>(std::chrono::duration<double>(gap(m_random)));
        const auto tag = ++m_lastTag;
        const bool claimed = chance(m_plan.claimedShare);
        const std::string key = claimed ? "k" + std::to_string(tag) : "";
        const auto come = [this, key, tag](std::size_t at) { arrive(at, key, tag); };
        m_time.at(when, [come, entryIndex] { come(entryIndex); });
        if (claimed && m_plan.faults && chance(0.4)) {
            ++m_totals.faults["key resent through another entry"];
            const auto other = (entryIndex + 1) % m_entries.size();
            m_time.at(when + between(0ms, 2s), [come, other] { come(other); });
            if (chance(0.1)) {
                const bool dies = chance(0.5);
                ++m_totals.faults[dies ? "key resent while its entry dies" : "key resent while its entry is frozen"];
                m_time.at(when + between(1ms, 10ms), [this, entryIndex, dies] {
                    dies ? startEntry(entryIndex) : pause(m_entries[entryIndex], "entry frozen and woken late", 1500ms);
                });
            }
        }
    }
}

inline void world::scheduleFaults()
{
    auto when = m_time.now() + 1s;
    while (when < time_point(1h) + m_plan.load) {
        when += between(100ms, 1500ms);
        m_time.at(when, [this] { injectFault(); });
    }
}

inline void world::pause(process &who, const std::string &name, duration length)
{
    ++m_totals.faults[name];
    who.pausedUntil = m_time.now() + length;
}

inline void world::injectFault()
{
    const auto entryIndex = m_random() % m_entries.size();
    const auto index = m_random() % m_targets.size();
    switch (m_random() % 9) {
    case 0:
        ++m_totals.faults["connection silent"];
        m_silent[{ entryIndex, m_entries.size() + index }] = m_time.now() + between(500ms, 4s);
        break;
    case 1:
        pause(m_entries[entryIndex], "entry frozen and woken late", between(100ms, 6s));
        break;
    case 2:
        ++m_totals.faults["entry restarted"];
        startEntry(entryIndex);
        break;
    case 3:
        ++m_totals.faults["target process restarted"];
        startTarget(index);
        break;
    case 4:
        pause(m_targets[index], "target process frozen", between(50ms, 2s));
        break;
    case 5:
        ++m_totals.faults["engine restarted"];
        restartEngine(index);
        break;
    case 6:
        ++m_totals.faults["engine suddenly cold"];
        makeCold(index, between(4s, 8s));
        break;
    case 7:
        ++m_totals.faults["target drained"];
        stepGate(index, figcleat::target::drain {});
        break;
    default:
        takeDataCentreOut();
    }
}

inline void world::takeDataCentreOut()
{
    const auto which = dataCentreOf(m_random() % m_plan.dataCentres);
    if (!m_out.empty()) {
        return;
    }
    ++m_totals.faults["data centre out and back"];
    const auto apply = [this, which](bool inService) {
        inService ? (void)m_out.erase(which) : (void)m_out.insert(which);
        for (auto &one : m_entries) {
            later(one, between(1ms, 1s), [this, &one] { one.table->setDataCentresOut(m_out); });
        }
        for (std::size_t index = 0; index < m_targets.size(); ++index) {
            if (dataCentreOf(index) == which) {
                tellGate(index, m_targets[index].life, between(1ms, 1s),
                         figcleat::target::data_centre_service { inService });
            }
        }
    };
    apply(false);
    m_time.at(m_time.now() + 3s, [apply] { apply(true); });
}

inline bool world::isCounted(const caller_request &request) const
{
    return request.created >= time_point(1h) + m_plan.countFrom;
}

inline void world::sampleLoad()
{
    double live = 0;
    double limit = 0;
    for (const auto &one : m_targets) {
        live += static_cast<double>(one.backend.calls.size());
        limit += static_cast<double>(one.gate->limit().requests.count);
    }
    m_load.push_back(live / limit);
}

inline void world::checkOutcomes()
{
    for (const auto &attempt : m_trustedRefusals) {
        m_totals.notRunButRan += m_executions.contains(attempt) ? 1 : 0;
    }
    for (const auto &request : m_requests) {
        if (!request.outcome) {
            const bool entryDied = m_entries[request.entry].life != request.entryLife;
            entryDied ? ++m_totals.outcomes["(entry died)"] : ++m_totals.withoutOutcome;
            continue;
        }
        if (describe(*request.outcome).ran != execution::not_run) {
            continue;
        }
        for (const auto &attempt : request.attempts) {
            m_totals.notRunButRan += m_executions.contains(attempt) ? 1 : 0;
        }
    }
    m_totals.claimedKeysRun = m_keyExecutions.size();
    for (const auto &[key, times] : m_keyExecutions) {
        m_totals.keysRunTwice += times > 1 ? 1 : 0;
    }
    for (const auto sample : m_load) {
        m_totals.loadHeld += sample / static_cast<double>(m_load.size());
    }
}

inline totals world::run()
{
    for (std::size_t index = 0; index < m_targets.size(); ++index) {
        startTarget(index);
    }
    for (std::size_t index = 0; index < m_entries.size(); ++index) {
        startEntry(index);
        scheduleArrivals(index);
    }
    if (m_plan.faults) {
        scheduleFaults();
    }
    if (m_plan.coldStart) {
        m_time.at(m_time.now() + m_plan.load / 2, [this] { makeCold(0, m_plan.load / 4); });
    }
    if (m_targets.size() > 1) {
        m_targets[1].backend.slowness = m_plan.stragglerSlowness;
    }
    for (auto at = m_plan.load / 4; at < m_plan.load; at += 100ms) {
        m_time.at(m_time.now() + at, [this] { sampleLoad(); });
    }
    if (m_plan.countFrom > 0s) {
        m_time.at(m_time.now() + m_plan.countFrom, [this] { m_totals = {}; });
    }
    m_time.runUntil(time_point(1h) + m_plan.load + m_plan.settle);
    checkOutcomes();
    return std::move(m_totals);
}

} // namespace figcleat::harness
