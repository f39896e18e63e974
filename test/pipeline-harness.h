#pragma once

#include "figcleat/agreed/state.h"
#include "figcleat/core/invariant.h"
#include "figcleat/core/overloaded.h"
#include "figcleat/request/pipeline.h"
#include "figcleat/target/gate.h"

#include <algorithm>
#include <fmt/format.h>
#include <functional>
#include <memory>
#include <queue>

/** Entries, targets, callers and the log around the real state machines, with a seed and a clock moved by hand. */
namespace figcleat::path_harness
{

using std::chrono::milliseconds;
using std::chrono::seconds;

enum class violation_kind : std::uint8_t {
    executed_twice,
    ran_after_not_run,
    answer_not_whole,
    above_limit,
    data_centre_out,
    draining,
    cut_off,
    late_end,
    leak,
    invariant,
    key_stuck,
};

struct violation
{
    violation_kind kind {};
    std::string detail;
};

/** Mechanisms that a test switches off, to see that the check behind each of them finds it. */
struct switched_off
{
    bool claimBeforeDispatch = false;
    bool verdict = false;
    bool attemptOfPieces = false;
    bool limitAtGate = false;
    bool dataCentreOut = false;
    bool drainAtGate = false;
    bool drainWaits = false;
    bool deadlines = false;
    bool cancelOfAttempts = false;
    bool heldClaims = false;
};

struct link_settings
{
    duration least = std::chrono::microseconds(500);
    duration most = milliseconds(2);
    /** Shares of messages. */
    double lost = 0;
    double twice = 0;
    /** Delayed by up to 300 ms, so that later ones overtake them. */
    double late = 0;
};

struct world_settings
{
    std::uint64_t seed = 1;
    std::vector<std::size_t> entries { 1, 1, 1 };
    std::size_t modelsPerDataCentre = 2;
    std::size_t desksPerDataCentre = 1;
    std::size_t workspaces = 3;
    std::uint32_t workspaceLimit = 1000;
    std::int64_t fullLimit = 6;
    std::int64_t coldLimit = 2;
    /** The engine words depend on the run, so that a second run never repeats the first. */
    bool wordsDependOnRun = false;
    duration firstPiece = milliseconds(30);
    duration pieceGap = milliseconds(15);
    /** Added to the first piece when the prompt's prefix is not in the engine's cache. */
    duration cacheMiss {};
    link_settings link;
    /** Shares of proposals that are applied twice, or applied with the answer lost. */
    double appliedTwice = 0;
    double answerLost = 0;
    placement::policy policy = placement::two_choices_by_spare {};
    bool fairQueue = true;
    bool longAnswers = false;
    switched_off off;
};

constexpr std::uint32_t mostResends = 4;
constexpr std::size_t cachedPrefixes = 12;
constexpr duration entryTick = milliseconds(20);
constexpr duration gateTick = milliseconds(50);
constexpr duration heartbeat = milliseconds(500);
constexpr duration proposalWait = seconds(3);

struct call_record
{
    request_id id;
    std::size_t workspace = 0;
    /** Empty for a model call. */
    std::string key;
    bool streaming = false;
    std::size_t prefix = 0;
    std::size_t pieces = 1;
    std::size_t entry = 0;
    exchange_id exchange;
    std::uint32_t resends = 0;
    time_point sentAt;
    time_point deadline;
    std::string text;
    bool started = false;
    bool ended = false;
    bool whole = false;
    bool gone = false;
    int code = -1;
    duration firstByte { -1 };
    time_point endedAt;
    std::vector<std::uint64_t> runs;
};

struct entry_vm
{
    peer_address address;
    std::size_t dataCentre = 0;
    std::unique_ptr<request::pipeline> machine;
    incarnation_id life;
    bool frozen = false;
    bool stopping = false;
    time_point wokeAt;
    std::vector<request::pipeline_event> backlog;
    std::set<data_centre_id> out;
};

struct engine_work
{
    request_id request;
    incarnation_id gateLife;
    std::uint64_t run = 0;
    std::size_t next = 0;
    std::size_t pieces = 1;
};

struct target_vm
{
    target_id name;
    peer_address address;
    std::size_t dataCentre = 0;
    bool isModel = true;
    std::unique_ptr<target::gate> gate;
    incarnation_id life;
    incarnation_id engineLife;
    bool draining = false;
    bool out = false;
    double slowness = 1;
    std::map<attempt_id, engine_work> works;
    std::deque<std::size_t> cache;
    std::map<peer_address, time_point> heard;
};

struct counters
{
    std::map<int, std::uint64_t> codes;
    std::uint64_t calls = 0;
    std::uint64_t engineRuns = 0;
    std::uint64_t executions = 0;
    std::uint64_t resent = 0;
    std::uint64_t whole = 0;
    std::uint64_t connectionsLost = 0;
    std::uint64_t broken = 0;
    /** Attempts after the first, and requests that had any. */
    std::map<workspace_id, std::uint64_t> retried;
    std::map<workspace_id, std::uint64_t> replaced;
};

class world
{
public:
    explicit world(world_settings chosen)
        : m_settings(std::move(chosen))
        , m_random(m_settings.seed)
        , m_callRandom(m_settings.seed)
    {
        m_config = makeConfiguration();
        const std::size_t centres = m_settings.entries.size();
        for (std::size_t dc = 0; dc < centres; ++dc) {
            for (std::size_t i = 0; i < m_settings.entries[dc]; ++i) {
                entries.push_back({ { fmt::format("entry-{}-{}", dc, i) }, dc, {}, {}, false, false, {}, {}, {} });
            }
            for (std::size_t i = 0; i < m_settings.modelsPerDataCentre + m_settings.desksPerDataCentre; ++i) {
                const std::string name = fmt::format("target-{}-{}", dc, i);
                target_vm made;
                made.name = { name };
                made.address = { name };
                made.dataCentre = dc;
                made.isModel = i < m_settings.modelsPerDataCentre;
                targets.push_back(std::move(made));
            }
        }
        for (std::size_t i = 0; i < targets.size(); ++i) {
            startTarget(i);
        }
        for (std::size_t i = 0; i < entries.size(); ++i) {
            startEntry(i);
        }
        everyWhile(milliseconds(100), [this] { return checkDeadlines(); });
    }

    // Clock and random numbers.

    void after(duration wait, std::function<void()> action)
    {
        m_events.push({ now + wait, ++m_sequence, std::make_shared<std::function<void()>>(std::move(action)) });
    }

    void runFor(duration time)
    {
        const time_point end = now + time;
        while (!m_events.empty() && m_events.top().at <= end) {
            const auto next = m_events.top();
            m_events.pop();
            now = next.at;
            (*next.action)();
        }
        now = end;
    }

    std::uint64_t below(std::uint64_t bound)
    {
        return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(m_random);
    }

    bool chance(double share)
    {
        return share > 0 && std::uniform_real_distribution<double>(0, 1)(m_random) < share;
    }

    duration between(duration least, duration most)
    {
        return duration(std::uniform_int_distribution<std::int64_t>(least.count(), most.count())(m_random));
    }

    // Callers.

    /** Sends a call to an entry; a key makes it a booking, without one it is a completion. */
    void send(std::size_t entry, std::size_t workspace, duration deadline, const std::string &key = {},
              std::uint32_t resends = 0)
    {
        auto &vm = entries[entry];
        if (!vm.machine) {
            return;
        }
        const std::uint64_t number = ++m_lastCall;
        auto &call = calls[number];
        call.id = { fmt::format("r{}", number) };
        call.workspace = workspace;
        call.key = key;
        const auto pick = [this](std::uint64_t bound) {
            return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(m_callRandom);
        };
        call.streaming = key.empty() && pick(4) != 0;
        call.prefix = workspace * 8 + pick(8);
        // Some answers take longer than the silence that makes an entry give up a target.
        const std::size_t longAnswer = m_settings.longAnswers && pick(6) == 0 ? 120 : 0;
        call.pieces = key.empty() ? 3 + pick(30) + longAnswer : 1;
        call.entry = entry;
        call.exchange = { number };
        call.resends = resends;
        call.sentAt = now;
        call.deadline = now + deadline;
        ++counts.calls;
        counts.resent += resends > 0 ? 1 : 0;
        m_open.insert(number);
        toEntry(entry, request::call_arrived { call.exchange, requestOf(call, deadline) });
    }

    /** The caller closes its connection. */
    void leave(std::uint64_t number)
    {
        auto &call = calls.at(number);
        if (!call.ended) {
            call.gone = true;
            endCall(call, -2);
            toEntry(call.entry, request::caller_gone { call.exchange });
        }
    }

    [[nodiscard]] const std::set<std::uint64_t> &open() const
    {
        return m_open;
    }

    // Faults.

    void startEntry(std::size_t index)
    {
        auto &vm = entries[index];
        vm.life = { ++m_lastLife };
        request::pipeline::options chosen;
        chosen.entry = vm.life;
        chosen.dataCentre = nameOf(vm.dataCentre);
        chosen.seed = m_settings.seed * 1000 + vm.life.value;
        chosen.policy = m_settings.policy;
        chosen.fairQueue = m_settings.fairQueue;
        vm.machine = std::make_unique<request::pipeline>(chosen);
        vm.frozen = vm.stopping = false;
        vm.backlog.clear();
        configure(index);
        const auto life = vm.life;
        everyWhile(entryTick, [this, index, life] {
            if (!m_settings.off.deadlines && entries[index].life == life && !entries[index].frozen) {
                toEntry(index, request::tick {});
            }
            return entries[index].life == life;
        });
        everyWhile(heartbeat, [this, index, life] {
            if (entries[index].life == life && entries[index].machine && !entries[index].frozen) {
                beat(index);
            }
            return entries[index].life == life;
        });
    }

    void killEntry(std::size_t index)
    {
        auto &vm = entries[index];
        vm.machine.reset();
        vm.life = {};
        vm.frozen = false;
        vm.backlog.clear();
        const auto open = m_open;
        for (const auto number : open) {
            auto &call = calls.at(number);
            if (call.entry == index) {
                ++counts.connectionsLost;
                endCall(call, -1);
                resendLater(call);
            }
        }
    }

    void freezeEntry(std::size_t index)
    {
        entries[index].frozen = entries[index].machine != nullptr;
    }

    void wakeEntry(std::size_t index)
    {
        auto &vm = entries[index];
        if (!vm.frozen) {
            return;
        }
        vm.frozen = false;
        vm.wokeAt = now;
        for (const auto &event : std::exchange(vm.backlog, {})) {
            // A deadline is relative, so it starts when the entry reads the call.
            if (const auto *arrived = std::get_if<request::call_arrived>(&event)) {
                auto &call = calls.at(arrived->exchange.value);
                call.deadline += now - call.sentAt;
            }
            toEntry(index, event);
        }
    }

    void stopEntry(std::size_t index)
    {
        entries[index].stopping = true;
        toEntry(index, request::stop_requested {});
        if (m_settings.off.drainWaits) {
            onEntryDrained(index);
        }
    }

    void startTarget(std::size_t index)
    {
        auto &vm = targets[index];
        vm.life = { ++m_lastLife };
        if (vm.engineLife == incarnation_id {}) {
            vm.engineLife = { ++m_lastLife };
        }
        vm.draining = false;
        vm.out = m_out.contains(nameOf(vm.dataCentre)) && !m_cut.contains(vm.dataCentre);
        vm.heard.clear();
        target::gate_settings chosen;
        chosen.identity.target = vm.name;
        chosen.identity.service = { vm.isModel ? "models" : "desk" };
        chosen.identity.dataCentre = nameOf(vm.dataCentre);
        chosen.identity.model = { vm.isModel ? "m" : "" };
        chosen.identity.incarnation = vm.life;
        chosen.identity.engineIncarnation = vm.engineLife;
        chosen.limits.full = { { m_settings.fullLimit }, { 1'000'000 }, { 1'000'000 } };
        chosen.limits.cold = { { m_settings.coldLimit }, { 1'000'000 }, { 1'000'000 } };
        chosen.dataCentreInService = !vm.out;
        vm.gate = std::make_unique<target::gate>(chosen);
        const auto life = vm.life;
        everyWhile(gateTick, [this, index, life] {
            if (targets[index].life == life) {
                noticeSilentEntries(index);
                toGate(index, target::tick {});
            }
            return targets[index].life == life;
        });
    }

    /** A new process starts 300 ms later; the engine goes on, but drops the work of the connections that closed. */
    void killTarget(std::size_t index)
    {
        auto &vm = targets[index];
        vm.gate.reset();
        vm.life = {};
        vm.works.clear();
        after(milliseconds(300), [this, index] {
            if (!targets[index].gate) {
                startTarget(index);
            }
        });
    }

    void restartEngine(std::size_t index)
    {
        auto &vm = targets[index];
        vm.engineLife = { ++m_lastLife };
        vm.works.clear();
        vm.cache.clear();
        // Calls may reach the new engine before the target's process has noticed the restart.
        after(milliseconds(100), [this, index, life = vm.engineLife] {
            std::vector<attempt_id> survivors;
            for (const auto &[attempt, work] : targets[index].works) {
                survivors.push_back(attempt);
            }
            toGate(index, target::engine_restarted { life, std::move(survivors) });
        });
    }

    void breakStream(std::size_t index)
    {
        auto &works = targets[index].works;
        if (works.empty()) {
            return;
        }
        const auto attempt = std::next(works.begin(), static_cast<std::ptrdiff_t>(below(works.size())))->first;
        works.erase(attempt);
        toGate(index, target::engine_failed { attempt, false });
        after(milliseconds(200), [this, index, attempt] {
            toGate(index, target::engine_finished { attempt, false, {} });
        });
    }

    void drainTarget(std::size_t index)
    {
        auto &vm = targets[index];
        if (!vm.gate || vm.draining) {
            return;
        }
        vm.draining = true;
        if (!m_settings.off.drainAtGate) {
            toGate(index, target::drain {});
        }
    }

    void setDataCentre(std::size_t dc, bool inService)
    {
        if (inService) {
            m_out.erase(nameOf(dc));
        } else {
            m_out.insert(nameOf(dc));
        }
        for (std::size_t i = 0; i < entries.size(); ++i) {
            after(between(milliseconds(1), milliseconds(1500)), [this, i] { configure(i); });
        }
        for (std::size_t i = 0; i < targets.size(); ++i) {
            after(between(milliseconds(1), milliseconds(1500)), [this, i] { configureTarget(i); });
        }
    }

    void cut(std::size_t dc)
    {
        m_cut.insert(dc);
    }

    void heal()
    {
        m_cut.clear();
        m_silent.clear();
        logAvailable = true;
        m_settings.link.lost = m_settings.link.twice = m_settings.link.late = 0;
        m_settings.appliedTwice = m_settings.answerLost = 0;
        for (std::size_t i = 0; i < entries.size(); ++i) {
            wakeEntry(i);
            if (!entries[i].machine) {
                startEntry(i);
            }
            configure(i);
        }
        for (std::size_t i = 0; i < targets.size(); ++i) {
            targets[i].slowness = 1;
            if (!targets[i].gate) {
                startTarget(i);
            }
            configureTarget(i);
        }
    }

    void reconnect(std::size_t dc)
    {
        m_cut.erase(dc);
        for (std::size_t i = 0; i < entries.size(); ++i) {
            configure(i);
        }
        for (std::size_t i = 0; i < targets.size(); ++i) {
            configureTarget(i);
        }
    }

    void silence(const peer_address &from, const peer_address &to, bool silent)
    {
        if (silent) {
            m_silent.insert({ from, to });
        } else {
            m_silent.erase({ from, to });
        }
    }

    /** Sends every key without a whole answer again; call `checkKeys` some seconds later. */
    void probeKeys()
    {
        std::map<std::string, std::size_t> open;
        for (const auto &[number, call] : calls) {
            if (!call.key.empty()) {
                open.emplace(call.key, call.workspace);
            }
        }
        for (const auto &[number, call] : calls) {
            if (call.whole) {
                open.erase(call.key);
            }
        }
        m_firstProbe = m_lastCall + 1;
        // A burst would be refused at the cold limits and then wait for the retry budget.
        duration wait {};
        for (const auto &[key, workspace] : open) {
            after(wait, [this, key = key, workspace = workspace] {
                send(below(entries.size()), workspace, seconds(4), key, mostResends);
            });
            wait += milliseconds(50);
        }
    }

    /** In quiet times a key is answered, or known to be lost, but not in progress. */
    void checkKeys()
    {
        for (auto probe = calls.lower_bound(m_firstProbe); probe != calls.end(); ++probe) {
            const auto &call = probe->second;
            if (!call.whole && call.code != static_cast<int>(result_code::outcome_unknown)
                && call.code != static_cast<int>(result_code::answer_not_kept)) {
                report(violation_kind::key_stuck, fmt::format("{} ends with {}", call.key, call.code));
            }
        }
    }

    // Results.

    void checkQuiet()
    {
        for (const auto &vm : entries) {
            if (!vm.machine) {
                continue;
            }
            if (vm.machine->requestsInProgress() != 0) {
                report(violation_kind::leak,
                       fmt::format("{} has {} requests", vm.address.value, vm.machine->requestsInProgress()));
            }
            for (const auto &[name, known] : vm.machine->targets().all()) {
                if (known.outstanding != work_cost {}) {
                    report(violation_kind::leak,
                           fmt::format("{} has {} outstanding at {}", vm.address.value,
                                       known.outstanding.requests.count, name.value));
                }
            }
        }
        for (const auto &vm : targets) {
            if (vm.gate && vm.gate->inProgress() != work_cost {}) {
                report(violation_kind::leak, vm.name.value + " holds slots");
            }
        }
        for (const auto number : m_open) {
            report(violation_kind::late_end, calls.at(number).id.value + " has no end");
        }
    }

    [[nodiscard]] bool isHealthy(std::size_t entry) const
    {
        return entries[entry].machine && !entries[entry].frozen && !entries[entry].stopping;
    }

    [[nodiscard]] std::size_t dataCentres() const
    {
        return m_settings.entries.size();
    }

    void report(violation_kind kind, const std::string &detail)
    {
        violations.push_back({ kind, fmt::format("seed {}: {}", m_settings.seed, detail) });
    }

    time_point now = time_point {} + std::chrono::hours(1);
    std::vector<entry_vm> entries;
    std::vector<target_vm> targets;
    std::map<std::uint64_t, call_record> calls;
    counters counts;
    std::vector<violation> violations;
    bool logAvailable = true;

private:
    struct event
    {
        time_point at;
        std::uint64_t sequence = 0;
        std::shared_ptr<std::function<void()>> action;
        bool operator>(const event &other) const
        {
            return std::pair(at, sequence) > std::pair(other.at, other.sequence);
        }
    };

    [[nodiscard]] static data_centre_id nameOf(std::size_t dc)
    {
        return { fmt::format("dc-{}", dc) };
    }

    std::shared_ptr<const configuration> makeConfiguration() const
    {
        std::string text = "number = 1\n";
        for (std::size_t i = 0; i < m_settings.workspaces; ++i) {
            text += fmt::format("[[workspace]]\nname = \"w{0}\"\ncredential_sha256 = [\"{1}\"]\n"
                                "max_requests_in_progress = {2}\n",
                                i, toHex(sha256(fmt::format("secret-{}", i))), m_settings.workspaceLimit);
        }
        for (std::size_t i = 0; i < m_settings.entries.size(); ++i) {
            text += fmt::format("[[data_centre]]\nname = \"dc-{}\"\nregion = \"r\"\n", i);
        }
        text += "[[service]]\nname = \"models\"\nkind = \"model\"\nmodels = [\"m\"]\n"
                "[[service]]\nname = \"desk\"\nkind = \"plain\"\n";
        auto parsed = parseConfiguration(text, "harness");
        if (!parsed) {
            throw std::runtime_error("the configuration of the harness is wrong");
        }
        return std::make_shared<const configuration>(std::move(*parsed));
    }

    void everyWhile(duration period, std::function<bool()> action)
    {
        after(period, [this, period, action = std::move(action)] {
            if (action()) {
                everyWhile(period, action);
            }
        });
    }

    http_request requestOf(const call_record &call, duration deadline) const
    {
        http_request made { "POST",
                            "/v1/chat/completions",
                            { { "Authorization", fmt::format("Bearer secret-{}", call.workspace) },
                              { "X-Request-Id", call.id.value },
                              { "X-Figcleat-Deadline-Ms",
                                std::to_string(std::chrono::duration_cast<milliseconds>(deadline).count()) } },
                            {} };
        if (!call.key.empty()) {
            made.path = "/services/desk/bookings";
            made.body = call.key;
            made.headers.emplace_back("Idempotency-Key", call.key);
            return made;
        }
        made.body = fmt::format(R"({{"model":"m","messages":[{{"role":"user","content":"prefix {}"}}],)"
                                R"("stream":{},"max_tokens":{}}})",
                                call.prefix, call.streaming, call.pieces);
        return made;
    }

    // Link.

    bool isCut(std::size_t a, std::size_t b) const
    {
        return a != b && (m_cut.contains(a) || m_cut.contains(b));
    }

    template<typename Deliver>
    void transfer(const peer_address &from, std::size_t fromCentre, const peer_address &to, std::size_t toCentre,
                  Deliver deliver)
    {
        const auto &link = m_settings.link;
        const std::size_t copies = chance(link.twice) ? 2 : 1;
        for (std::size_t i = 0; i < copies; ++i) {
            if (chance(link.lost) || isCut(fromCentre, toCentre) || m_silent.contains({ from, to })) {
                continue;
            }
            after(between(link.least, chance(link.late) ? duration(milliseconds(300)) : link.most), deliver);
        }
    }

    void beat(std::size_t index)
    {
        const auto &vm = entries[index];
        for (std::size_t t = 0; t < targets.size(); ++t) {
            transfer(vm.address, vm.dataCentre, targets[t].address, targets[t].dataCentre,
                     [this, t, from = vm.address] { targets[t].heard[from] = now; });
        }
    }

    // Entries.

    void configure(std::size_t index)
    {
        const auto &vm = entries[index];
        if (!m_cut.contains(vm.dataCentre)) {
            toEntry(index,
                    request::configuration_changed { m_config, { m_out.begin(), m_out.end() }, { ++m_revision } });
        }
    }

    void toEntry(std::size_t index, request::pipeline_event what)
    {
        auto &vm = entries[index];
        if (!vm.machine) {
            return;
        }
        if (vm.frozen) {
            vm.backlog.push_back(std::move(what));
            return;
        }
        if (auto *changed = std::get_if<request::configuration_changed>(&what)) {
            vm.out = { changed->dataCentresOut.begin(), changed->dataCentresOut.end() };
            if (m_settings.off.dataCentreOut) {
                changed->dataCentresOut.clear();
            }
        }
        std::vector<request::pipeline_action> actions;
        try {
            actions = vm.machine->step(what, now);
        } catch (const invariant_violation &broken) {
            report(violation_kind::invariant, broken.what());
            killEntry(index);
            return;
        }
        for (auto &action : actions) {
            std::visit([&](auto &one) { carryOut(index, one); }, action);
        }
    }

    void carryOut(std::size_t index, const request::propose &action)
    {
        const auto life = entries[index].life;
        const bool isClaim = std::holds_alternative<agreed::claim_key>(action.command);
        if (m_settings.off.claimBeforeDispatch && isClaim) {
            agreed::outcome forged;
            forged.status = agreed::claim_status::granted;
            forged.fence = { ++m_forgedFence };
            after(milliseconds(1), [=, this] {
                answerProposal(index, life, { action.proposal, result_code::ok, forged });
            });
            return;
        }
        const request::proposal_decided unavailable { action.proposal, result_code::agreement_unavailable, {} };
        if (m_cut.contains(entries[index].dataCentre) || !logAvailable) {
            if (chance(0.3)) {
                // The command waits at a voter and is applied after the entry has given up.
                after(between(proposalWait, proposalWait + seconds(2)), [=, this] { (void)apply(action.command); });
            }
            after(proposalWait, [=, this] { answerProposal(index, life, unavailable); });
            return;
        }
        after(between(milliseconds(2), milliseconds(8)), [=, this] {
            auto result = apply(action.command);
            const bool lost = chance(m_settings.answerLost);
            if (chance(m_settings.appliedTwice) || lost) {
                result = apply(action.command);
            }
            if (m_settings.off.heldClaims && result.status == agreed::claim_status::held) {
                result.status = agreed::claim_status::refused;
            }
            after(lost ? milliseconds(700) : milliseconds(2), [=, this] {
                answerProposal(index, life, { action.proposal, result_code::ok, result });
            });
        });
    }

    agreed::outcome apply(agreed::command what)
    {
        if (auto *claim = std::get_if<agreed::claim_key>(&what)) {
            claim->nowMs = std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count();
        }
        return m_log.apply({ ++m_logIndex }, what);
    }

    void answerProposal(std::size_t index, incarnation_id life, const request::proposal_decided &answer)
    {
        if (entries[index].life == life) {
            toEntry(index, answer);
        }
    }

    void carryOut(std::size_t index, const request::send_to_target &action)
    {
        const auto found = std::ranges::find(targets, action.to, &target_vm::address);
        const auto t = static_cast<std::size_t>(found - targets.begin());
        const auto &vm = entries[index];
        if (const auto *sent = std::get_if<dispatch>(&action.message)) {
            if (vm.out.contains(nameOf(found->dataCentre))) {
                report(violation_kind::data_centre_out,
                       sent->request.value + " is sent to " + found->name.value + ", whose data centre is out");
            }
            m_latest[sent->request] = sent->attempt;
            m_requestOf[sent->attempt] = sent->request;
        }
        if (std::holds_alternative<attempt_cancel>(action.message) && m_settings.off.cancelOfAttempts) {
            return;
        }
        transfer(vm.address, vm.dataCentre, found->address, found->dataCentre,
                 [this, t, from = vm.address, message = action.message] {
                     std::visit(overloaded {
                                    [&](const dispatch &one) {
                                        toGate(t, target::dispatch_received { from, one });
                                    },
                                    [&](const attempt_cancel &one) { toGate(t, target::cancel_received { one }); },
                                    [&](const close_attempt &one) {
                                        toGate(t, target::close_received { from, one });
                                    },
                                },
                                message);
                 });
    }

    void carryOut(std::size_t /*index*/, const request::request_ended &action)
    {
        if (action.attempts > 1) {
            ++counts.replaced[action.workspace];
            counts.retried[action.workspace] += action.attempts - 1;
        }
    }

    void carryOut(std::size_t index, const request::drained & /*action*/)
    {
        onEntryDrained(index);
    }

    void onEntryDrained(std::size_t index)
    {
        for (const auto number : m_open) {
            const auto &call = calls.at(number);
            if (call.entry == index) {
                report(violation_kind::cut_off, call.id.value + " is cut off by the stop of its entry");
            }
        }
        after(duration(0), [this, index] { killEntry(index); });
    }

    // Answers as the caller sees them.

    call_record *findOpen(exchange_id exchange)
    {
        const auto found = calls.find(exchange.value);
        return found == calls.end() || found->second.ended ? nullptr : &found->second;
    }

    void noteFirstByte(call_record &call) const
    {
        if (call.firstByte < duration::zero()) {
            call.firstByte = now - call.sentAt;
        }
    }

    void carryOut(std::size_t /*index*/, const request::reply &action)
    {
        auto *call = findOpen(action.exchange);
        if (call == nullptr) {
            return;
        }
        if (call->started) {
            report(violation_kind::answer_not_whole, call->id.value + " got a reply within its stream");
        }
        const int code = std::stoi(std::string(findHeader(action.headers, "X-Figcleat-Code")));
        std::string told(findHeader(action.headers, "X-Figcleat-Request"));
        if (m_settings.off.verdict && told == "unknown") {
            told = "not_run";
        }
        if (told == "not_run" || describe(static_cast<result_code>(code)).ran == execution::not_run) {
            m_toldNotRun.insert(call->id);
            if (!call->runs.empty()) {
                report(violation_kind::ran_after_not_run, call->id.value + " ran and is told not run");
            }
        }
        endCall(*call, code);
        if (code == 0) {
            noteFirstByte(*call);
            checkWhole(*call, action.body);
        } else {
            resendLater(*call);
        }
    }

    void carryOut(std::size_t /*index*/, const request::start_stream &action)
    {
        if (auto *call = findOpen(action.exchange)) {
            call->started = true;
        }
    }

    void carryOut(std::size_t /*index*/, const request::send_piece &action)
    {
        if (auto *call = findOpen(action.exchange)) {
            noteFirstByte(*call);
            call->text += action.bytes;
        }
    }

    void carryOut(std::size_t /*index*/, const request::end_stream &action)
    {
        if (auto *call = findOpen(action.exchange)) {
            endCall(*call, 0);
            checkWhole(*call, call->text);
        }
    }

    void carryOut(std::size_t /*index*/, const request::break_stream &action)
    {
        if (auto *call = findOpen(action.exchange)) {
            ++counts.broken;
            endCall(*call, -1);
        }
    }

    void endCall(call_record &call, int code)
    {
        call.ended = true;
        call.code = code;
        call.endedAt = now;
        ++counts.codes[code];
        m_open.erase(call.exchange.value);
    }

    void resendLater(const call_record &call)
    {
        if (call.key.empty() || call.gone || call.resends >= mostResends) {
            return;
        }
        after(between(milliseconds(20), milliseconds(400)),
              [this, key = call.key, workspace = call.workspace, resends = call.resends] {
                  const std::size_t entry = below(entries.size());
                  send(entry, workspace, seconds(4), key, resends + 1);
              });
    }

    [[nodiscard]] std::string wordAt(const request_id &id, std::size_t position, std::uint64_t run) const
    {
        return fmt::format("{}.{}.{} ", id.value, position, m_settings.wordsDependOnRun ? run : 0);
    }

    void checkWhole(call_record &call, const std::string &text)
    {
        call.whole = true;
        ++counts.whole;
        if (!call.key.empty()) {
            if (text != "booked " + call.key || m_executions[call.key] == 0) {
                report(violation_kind::answer_not_whole, call.id.value + " got " + text);
            }
            return;
        }
        const bool known = std::ranges::any_of(call.runs, [&](std::uint64_t run) {
            std::string expected;
            for (std::size_t i = 0; i < call.pieces; ++i) {
                expected += wordAt(call.id, i, run);
            }
            return text == expected;
        });
        if (!known) {
            report(violation_kind::answer_not_whole, call.id.value + " got " + text);
        }
    }

    bool checkDeadlines()
    {
        for (const auto number : m_open) {
            auto &call = calls.at(number);
            const auto &vm = entries[call.entry];
            const bool isLate = now > std::max(call.deadline, vm.wokeAt) + seconds(1);
            if (isLate && !vm.frozen && !call.gone) {
                call.gone = true;
                report(violation_kind::late_end, call.id.value + " has no end a second after its deadline");
            }
        }
        return true;
    }

    // Targets.

    void configureTarget(std::size_t index)
    {
        auto &vm = targets[index];
        const bool out = m_out.contains(nameOf(vm.dataCentre));
        if (!vm.gate || m_cut.contains(vm.dataCentre) || vm.out == out) {
            return;
        }
        vm.out = out;
        toGate(index, target::data_centre_service { !out });
    }

    void noticeSilentEntries(std::size_t index)
    {
        auto &heard = targets[index].heard;
        for (auto one = heard.begin(); one != heard.end();) {
            const auto current = one++;
            if (now - current->second >= seconds(2)) {
                const auto address = current->first;
                heard.erase(current);
                toGate(index, target::entry_lost { address });
            }
        }
    }

    void toGate(std::size_t index, const target::gate_event &what)
    {
        auto &vm = targets[index];
        if (!vm.gate) {
            return;
        }
        std::vector<target::gate_action> actions;
        try {
            actions = vm.gate->step(what, now);
        } catch (const invariant_violation &broken) {
            report(violation_kind::invariant, broken.what());
            killTarget(index);
            return;
        }
        for (const auto &action : actions) {
            std::visit([&](const auto &one) { carryOut(index, one); }, action);
        }
        const auto *sent = std::get_if<target::dispatch_received>(&what);
        if (m_settings.off.limitAtGate && sent != nullptr && !actions.empty()) {
            const auto *refused = std::get_if<target::refuse>(&actions.front());
            if (refused != nullptr && refused->message.code == result_code::target_at_limit) {
                carryOut(index, target::run { sent->message.attempt, 0, {}, sent->message.call });
            }
        }
    }

    template<typename Message>
    void toEntryFrom(std::size_t index, const peer_address &to, const Message &message)
    {
        const auto &vm = targets[index];
        const auto found = std::ranges::find(entries, to, &entry_vm::address);
        const auto e = static_cast<std::size_t>(found - entries.begin());
        transfer(vm.address, vm.dataCentre, to, found->dataCentre, [this, e, message] { toEntry(e, message); });
    }

    void carryOut(std::size_t index, const target::refuse &action)
    {
        toEntryFrom(index, action.to, action.message);
    }

    void carryOut(std::size_t index, const target::forward_piece &action)
    {
        answer_piece piece = action.message;
        if (m_settings.off.attemptOfPieces) {
            piece.attempt = m_latest[m_requestOf[piece.attempt]];
        }
        toEntryFrom(index, action.to, piece);
    }

    void carryOut(std::size_t index, const target::forward_finish &action)
    {
        toEntryFrom(index, action.to, action.message);
    }

    void carryOut(std::size_t index, const target::answer_close &action)
    {
        toEntryFrom(index, action.to, action.message);
    }

    void carryOut(std::size_t index, const target::announce_state &action)
    {
        const auto &vm = targets[index];
        for (const auto &entry : entries) {
            toEntryFrom(index, entry.address, request::target_announced { vm.address, action.message });
        }
    }

    void carryOut(std::size_t index, const target::drained & /*action*/)
    {
        for (const auto &[attempt, work] : targets[index].works) {
            report(violation_kind::cut_off, work.request.value + " is cut off by the stop of its target");
        }
        // The process ends once its last messages are on their way.
        after(milliseconds(1), [this, index] { killTarget(index); });
    }

    void carryOut(std::size_t index, const target::cancel_engine &action)
    {
        after(milliseconds(3), [this, index, attempt = action.attempt, life = targets[index].engineLife] {
            // An engine answers that an attempt which it does not know has ended.
            if (targets[index].engineLife == life) {
                targets[index].works.erase(attempt);
                toGate(index, target::engine_finished { attempt, false, {} });
            }
        });
    }

    void carryOut(std::size_t index, const target::run &action)
    {
        auto &vm = targets[index];
        const request_id id { std::string(findHeader(action.call.headers, "X-Request-Id")) };
        auto &call = calls.at(std::stoull(id.value.substr(1)));
        if (m_toldNotRun.contains(id)) {
            report(violation_kind::ran_after_not_run, id.value + " runs after not run");
        }
        if (static_cast<std::int64_t>(vm.works.size()) >= vm.gate->limit().requests.count) {
            report(violation_kind::above_limit, vm.name.value + " runs more than its limit");
        }
        if (vm.draining) {
            report(violation_kind::draining, id.value + " starts at " + vm.name.value + ", which drains");
        }
        if (vm.out && !m_settings.off.dataCentreOut) {
            report(violation_kind::data_centre_out, id.value + " starts at " + vm.name.value);
        }
        ++counts.engineRuns;
        call.runs.push_back(++m_lastRun);
        vm.works[action.attempt] = { id, vm.life, m_lastRun, 0, call.pieces };
        after(firstPieceTime(vm, call),
              [this, index, attempt = action.attempt, run = m_lastRun] { produce(index, attempt, run); });
    }

    duration stretched(const target_vm &vm, duration time) const
    {
        const double load = static_cast<double>(vm.works.size()) / static_cast<double>(m_settings.fullLimit);
        return duration(static_cast<std::int64_t>(static_cast<double>(time.count()) * vm.slowness * (0.5 + load / 2)));
    }

    duration firstPieceTime(target_vm &vm, const call_record &call)
    {
        auto time = m_settings.firstPiece;
        const auto found = std::ranges::find(vm.cache, call.prefix);
        if (found == vm.cache.end()) {
            time += m_settings.cacheMiss;
        } else {
            vm.cache.erase(found);
        }
        vm.cache.push_back(call.prefix);
        if (vm.cache.size() > cachedPrefixes) {
            vm.cache.pop_front();
        }
        return stretched(vm, time);
    }

    void produce(std::size_t index, attempt_id attempt, std::uint64_t run)
    {
        auto &vm = targets[index];
        const auto found = vm.works.find(attempt);
        if (found == vm.works.end() || found->second.run != run) {
            return;
        }
        auto &work = found->second;
        const auto &call = calls.at(std::stoull(work.request.value.substr(1)));
        std::string text = wordAt(work.request, work.next, work.run);
        if (!call.key.empty()) {
            text = "booked " + call.key;
            ++counts.executions;
            if (++m_executions[call.key] > 1) {
                report(violation_kind::executed_twice, call.key);
            }
        }
        const bool isLast = ++work.next == work.pieces;
        if (isLast) {
            vm.works.erase(found);
        }
        toGate(index, target::engine_piece { attempt, 200, {}, text });
        if (isLast) {
            toGate(index, target::engine_finished { attempt, true, { 1 } });
            return;
        }
        after(stretched(vm, m_settings.pieceGap), [this, index, attempt, run] { produce(index, attempt, run); });
    }

    world_settings m_settings;
    std::mt19937_64 m_random;
    /** Apart, so that equal seeds give equal calls whatever the link does. */
    std::mt19937_64 m_callRandom;
    std::shared_ptr<const configuration> m_config;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_lastLife = 0;
    std::uint64_t m_lastCall = 0;
    std::uint64_t m_lastRun = 0;
    std::uint64_t m_firstProbe = 0;
    std::uint64_t m_revision = 0;
    std::uint64_t m_logIndex = 0;
    std::uint64_t m_forgedFence = 0;
    agreed::state m_log;
    std::set<std::uint64_t> m_open;
    std::set<data_centre_id> m_out;
    std::set<std::size_t> m_cut;
    std::set<std::pair<peer_address, peer_address>> m_silent;
    std::set<request_id> m_toldNotRun;
    std::map<std::string, std::uint64_t> m_executions;
    std::map<request_id, attempt_id> m_latest;
    std::map<attempt_id, request_id> m_requestOf;
};

enum class fault : std::uint8_t {
    kill_entry,
    freeze_entry,
    kill_target,
    restart_engine,
    cold_engine,
    break_stream,
    silent_link,
    cut_data_centre,
    take_out,
    drain_target,
    stop_entry,
    callers_leave,
    log_unavailable,
    log_repeats,
    bad_link,
    resend_at_once,
};

constexpr std::array faultNames { "kill_entry",      "freeze_entry", "kill_target", "restart_engine",
                                  "cold_engine",     "break_stream", "silent_link", "cut_data_centre",
                                  "take_out",        "drain_target", "stop_entry",  "callers_leave",
                                  "log_unavailable", "log_repeats",  "bad_link",    "resend_at_once" };

struct run_result
{
    counters counts;
    std::vector<fault> faults;
    std::vector<violation> violations;
};

/** Eight seconds of load with one to three faults, then ten quiet seconds and the checks. */
class random_run
{
public:
    random_run(std::uint64_t seed, const switched_off &off)
        : m_random(seed)
    {
        world_settings chosen;
        chosen.seed = seed;
        chosen.off = off;
        chosen.wordsDependOnRun = pick(2) == 0;
        chosen.longAnswers = true;
        const std::size_t number = 1 + pick(3);
        for (std::size_t i = 0; i < number; ++i) {
            m_result.faults.push_back(static_cast<fault>(pick(faultNames.size())));
        }
        for (const auto one : m_result.faults) {
            if (one == fault::bad_link) {
                chosen.link.lost = 0.005 * static_cast<double>(pick(4));
                chosen.link.twice = 0.02;
                chosen.link.late = 0.05;
            } else if (one == fault::log_repeats) {
                chosen.appliedTwice = 0.2;
                chosen.answerLost = 0.1;
            }
        }
        m_world = std::make_unique<world>(chosen);
    }

    run_result run()
    {
        m_world->runFor(milliseconds(600));
        for (const auto one : m_result.faults) {
            const auto start = milliseconds(500 + pick(4000));
            const auto length = milliseconds(200 + pick(3000));
            m_world->after(start, [this, one, length] { inject(one, length); });
        }
        load();
        m_world->runFor(seconds(8));
        m_loading = false;
        m_world->heal();
        m_world->runFor(seconds(10));
        m_world->probeKeys();
        m_world->runFor(seconds(15));
        m_world->checkKeys();
        m_world->checkQuiet();
        m_result.counts = m_world->counts;
        m_result.violations = m_world->violations;
        return std::move(m_result);
    }

private:
    std::size_t pick(std::size_t bound)
    {
        return std::uniform_int_distribution<std::size_t>(0, bound - 1)(m_random);
    }

    void load()
    {
        if (!m_loading) {
            return;
        }
        const std::size_t entry = pick(m_world->entries.size());
        const auto deadline = milliseconds(800 + pick(3200));
        if (pick(3) == 0) {
            const std::string key = fmt::format("key-{}", ++m_lastKey);
            const std::size_t workspace = pick(3);
            m_world->send(entry, workspace, deadline, key);
            if (pick(8) == 0 || m_resending) {
                resend(key, entry, workspace);
            }
        } else {
            m_world->send(entry, pick(3), deadline);
        }
        m_world->after(milliseconds(5 + pick(50)), [this] { load(); });
    }

    /** The same key through two or three entries at nearly the same time; sometimes the first one dies. */
    void resend(const std::string &key, std::size_t first, std::size_t workspace)
    {
        const std::size_t copies = 1 + pick(2);
        for (std::size_t i = 1; i <= copies; ++i) {
            const std::size_t other = (first + i) % m_world->entries.size();
            m_world->after(milliseconds(pick(30)),
                           [this, key, other, workspace] { m_world->send(other, workspace, seconds(3), key, 1); });
        }
        if (m_resending && pick(6) == 0) {
            m_world->after(milliseconds(pick(25)), [this, first] { killForAWhile(first, seconds(1)); });
        }
    }

    void inject(fault which, duration length)
    {
        auto &all = *m_world;
        const std::size_t entry = pick(all.entries.size());
        const std::size_t target = pick(all.targets.size());
        const std::size_t centre = pick(all.dataCentres());
        switch (which) {
        case fault::kill_entry:
            killForAWhile(entry, length);
            break;
        case fault::freeze_entry:
            all.freezeEntry(entry);
            all.after(length, [&all, entry] { all.wakeEntry(entry); });
            break;
        case fault::kill_target:
            all.killTarget(target);
            break;
        case fault::restart_engine:
            all.restartEngine(target);
            break;
        case fault::cold_engine:
            all.targets[target].slowness = 12;
            all.after(length, [&all, target] { all.targets[target].slowness = 1; });
            break;
        case fault::break_stream:
            for (std::size_t i = 0; i < all.targets.size(); ++i) {
                all.breakStream(i);
            }
            break;
        case fault::silent_link:
            silence(entry, target, length);
            break;
        case fault::cut_data_centre:
            all.cut(centre);
            all.after(length + seconds(1), [&all, centre] { all.reconnect(centre); });
            break;
        case fault::take_out:
            all.setDataCentre(centre, false);
            all.after(length + seconds(2), [&all, centre] { all.setDataCentre(centre, true); });
            break;
        case fault::drain_target:
            all.drainTarget(target);
            break;
        case fault::stop_entry:
            all.stopEntry(entry);
            break;
        case fault::callers_leave: {
            const auto open = all.open();
            for (const auto number : open) {
                if (pick(2) == 0) {
                    all.leave(number);
                }
            }
            break;
        }
        case fault::log_unavailable:
            all.logAvailable = false;
            all.after(length, [&all] { all.logAvailable = true; });
            break;
        case fault::resend_at_once:
            m_resending = true;
            break;
        case fault::log_repeats:
        case fault::bad_link:
            break;
        }
    }

    void silence(std::size_t entry, std::size_t target, duration length)
    {
        auto from = m_world->entries[entry].address;
        auto to = m_world->targets[target].address;
        if (pick(2) == 0) {
            std::swap(from, to);
        }
        m_world->silence(from, to, true);
        if (pick(2) == 0) {
            m_world->after(length + seconds(1), [this, from, to] { m_world->silence(from, to, false); });
        }
    }

    void killForAWhile(std::size_t entry, duration length)
    {
        m_world->killEntry(entry);
        m_world->after(length, [this, entry] {
            if (!m_world->entries[entry].machine) {
                m_world->startEntry(entry);
            }
        });
    }

    std::mt19937_64 m_random;
    std::unique_ptr<world> m_world;
    run_result m_result;
    std::uint64_t m_lastKey = 0;
    bool m_loading = true;
    bool m_resending = false;
};

} // namespace figcleat::path_harness
