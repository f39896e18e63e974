#include "bench-main.h"

#include "../test/pipeline-harness.h"

#include <atomic>
#include <cstdio>
#include <iostream>
#include <mutex>
#include <thread>

using namespace figcleat;
using namespace figcleat::path_harness;

namespace
{

using bench::arguments;

/** Sum of all runs of a soak. */
struct soak_sum
{
    std::map<int, std::uint64_t> codes;
    std::array<std::uint64_t, faultNames.size()> faults {};
    counters counts;
    std::uint64_t retried = 0;
    std::vector<violation> violations;

    void add(const run_result &one)
    {
        for (const auto which : one.faults) {
            ++faults[static_cast<std::size_t>(which)];
        }
        for (const auto &[code, number] : one.counts.codes) {
            codes[code] += number;
        }
        counts.calls += one.counts.calls;
        counts.engineRuns += one.counts.engineRuns;
        counts.executions += one.counts.executions;
        counts.resent += one.counts.resent;
        counts.whole += one.counts.whole;
        for (const auto &[workspace, number] : one.counts.retried) {
            retried += number;
        }
        violations.insert(violations.end(), one.violations.begin(), one.violations.end());
    }
};

std::string nameOfCode(int code)
{
    if (code < 0) {
        return code == -1 ? "connection or stream broken" : "caller left";
    }
    return std::string(describe(static_cast<result_code>(code)).name);
}

int soak(const arguments &given)
{
    constexpr std::size_t threads = 4;
    soak_sum sum;
    std::mutex lock;
    std::atomic<std::uint64_t> next { 0 };
    std::vector<std::thread> workers;
    for (std::size_t i = 0; i < threads; ++i) {
        workers.emplace_back([&] {
            for (std::uint64_t run = next++; run < given.runs; run = next++) {
                const auto result = random_run(given.seed + run, {}).run();
                const std::scoped_lock held(lock);
                sum.add(result);
            }
        });
    }
    for (auto &worker : workers) {
        worker.join();
    }
    std::printf("path soak: seed %lu, %lu runs\n", given.seed, given.runs);
    std::printf("calls %lu, resent keys %lu, engine runs %lu, executions %lu, whole answers %lu, retries %lu\n",
                sum.counts.calls, sum.counts.resent, sum.counts.engineRuns, sum.counts.executions, sum.counts.whole,
                sum.retried);
    for (std::size_t i = 0; i < faultNames.size(); ++i) {
        std::printf("  fault %-16s %lu\n", faultNames[i], sum.faults[i]);
    }
    for (const auto &[code, number] : sum.codes) {
        std::printf("  outcome %4d %-28s %lu\n", code, nameOfCode(code).c_str(), number);
    }
    constexpr std::size_t mostPrinted = 40;
    for (std::size_t i = 0; i < std::min(mostPrinted, sum.violations.size()); ++i) {
        std::printf("  violation %d, %s\n", static_cast<int>(sum.violations[i].kind), sum.violations[i].detail.c_str());
    }
    std::printf("violations: %zu\n", sum.violations.size());
    const bool nothingTested = sum.counts.whole == 0 || sum.counts.executions == 0 || sum.counts.resent == 0;
    return sum.violations.empty() && !nothingTested ? 0 : 1;
}

struct policy_case
{
    std::string name;
    placement::policy policy;
    bool fairQueue = true;
};

std::vector<policy_case> policyCases()
{
    return { { "two_choices_by_spare (ours)", placement::two_choices_by_spare {} },
             { "ours without fair queue", placement::two_choices_by_spare {}, false },
             { "round_robin", placement::round_robin {} },
             { "least_outstanding", placement::least_outstanding {} },
             { "two_choices_by_load", placement::two_choices_by_load {} },
             { "prefix_affinity", placement::prefix_affinity {} } };
}

/** What the callers of one workspace, or of all, saw. */
struct service_row
{
    std::uint64_t sent = 0;
    std::uint64_t inTime = 0;
    std::uint64_t refused = 0;
    std::uint64_t retried = 0;
    std::uint64_t replaced = 0;
    std::vector<double> firstBytes;
    std::map<int, std::uint64_t> codes;

    void add(const call_record &call)
    {
        ++sent;
        ++codes[call.code];
        inTime += call.whole && call.endedAt <= call.deadline ? 1 : 0;
        refused += call.code > 0 && describe(static_cast<result_code>(call.code)).ran == execution::not_run ? 1 : 0;
        if (call.firstByte >= duration::zero()) {
            firstBytes.push_back(std::chrono::duration<double, std::milli>(call.firstByte).count());
        }
    }

    double percentile(double share)
    {
        if (firstBytes.empty()) {
            return 0;
        }
        std::ranges::sort(firstBytes);
        return firstBytes[static_cast<std::size_t>(share * static_cast<double>(firstBytes.size() - 1))];
    }

    void print(const std::string &name)
    {
        std::printf("%-28s %6lu %7.2f%% %6.0f %6.0f %6.0f %8lu %8lu %9lu", name.c_str(), sent,
                    100.0 * static_cast<double>(inTime) / static_cast<double>(std::max<std::uint64_t>(sent, 1)),
                    percentile(0.5), percentile(0.95), percentile(0.99), refused, retried, replaced);
    }
};

constexpr std::size_t workspaceCount = 10;
constexpr std::size_t largeWorkspaces = 3;
constexpr auto warmUp = seconds(10);
constexpr auto outAt = seconds(20);
constexpr auto backAt = seconds(40);
constexpr auto measuredUntil = seconds(60);
/** Calls per second that hold about 70 in 100 of the sum of limits while all data centres serve. */
constexpr double callsPerSecond = 119;

enum class scenario : std::uint8_t {
    taken_out,
    cut_off,
};

/** A steady load while one data centre of three leaves and returns. */
class measurement
{
public:
    measurement(std::uint64_t seed, scenario what, const policy_case &which)
        : m_what(what)
        , m_random(seed)
        , m_world(settingsFor(seed, which))
    {
    }

    void run()
    {
        arrive();
        sample();
        m_world.runFor(warmUp);
        const auto before = m_world.counts;
        m_isMeasuring = true;
        m_world.runFor(outAt - warmUp);
        if (m_what == scenario::taken_out) {
            m_world.setDataCentre(0, false);
        } else {
            m_world.cut(0);
        }
        m_world.runFor(backAt - outAt);
        if (m_what == scenario::taken_out) {
            m_world.setDataCentre(0, true);
        } else {
            m_world.reconnect(0);
        }
        m_world.runFor(measuredUntil - backAt);
        m_isMeasuring = false;
        m_world.runFor(seconds(10));
        for (const auto &[number, call] : m_world.calls) {
            if (call.sentAt >= m_start + warmUp) {
                rows[call.workspace].add(call);
                all.add(call);
            }
        }
        for (std::size_t i = 0; i < workspaceCount; ++i) {
            const workspace_id name { fmt::format("w{}", i) };
            const auto difference = [&name, &before, this](auto member) {
                auto first = before.*member;
                auto last = m_world.counts.*member;
                return last[name] - first[name];
            };
            rows[i].retried = difference(&counters::retried);
            rows[i].replaced = difference(&counters::replaced);
            all.retried += rows[i].retried;
            all.replaced += rows[i].replaced;
        }
    }

    std::array<service_row, workspaceCount> rows;
    service_row all;
    double largestLoad = 0;
    double sumOfLoads = 0;
    std::uint64_t samples = 0;
    double sumOfLoadsAway = 0;
    std::uint64_t samplesAway = 0;

    [[nodiscard]] const std::vector<violation> &violations() const
    {
        return m_world.violations;
    }

private:
    static world_settings settingsFor(std::uint64_t seed, const policy_case &which)
    {
        world_settings chosen;
        chosen.seed = seed;
        chosen.entries = { 3, 3, 2 };
        chosen.modelsPerDataCentre = 4;
        chosen.desksPerDataCentre = 0;
        chosen.workspaces = workspaceCount;
        chosen.fullLimit = 8;
        chosen.coldLimit = 4;
        chosen.firstPiece = milliseconds(120);
        chosen.pieceGap = milliseconds(25);
        chosen.cacheMiss = milliseconds(200);
        chosen.policy = which.policy;
        chosen.fairQueue = which.fairQueue;
        return chosen;
    }

    void arrive()
    {
        if (m_world.now - m_start >= measuredUntil) {
            return;
        }
        // Three large workspaces send three quarters of all calls.
        const bool large = std::uniform_int_distribution<int>(0, 3)(m_random) != 0;
        const std::size_t workspace = large
            ? std::uniform_int_distribution<std::size_t>(0, largeWorkspaces - 1)(m_random)
            : std::uniform_int_distribution<std::size_t>(largeWorkspaces, workspaceCount - 1)(m_random);
        const auto entry = std::uniform_int_distribution<std::size_t>(0, m_world.entries.size() - 1)(m_random);
        m_world.send(entry, workspace, seconds(4));
        const std::chrono::duration<double> wait(std::exponential_distribution<double>(callsPerSecond)(m_random));
        m_world.after(std::chrono::duration_cast<duration>(wait), [this] { arrive(); });
    }

    void sample()
    {
        std::int64_t held = 0;
        std::int64_t limit = 0;
        for (const auto &vm : m_world.targets) {
            held += vm.gate->inProgress().requests.count;
            limit += settingsFor(1, {}).fullLimit;
        }
        if (m_isMeasuring) {
            const double load = static_cast<double>(held) / static_cast<double>(limit);
            largestLoad = std::max(largestLoad, load);
            sumOfLoads += load;
            ++samples;
            const auto passed = m_world.now - m_start;
            if (passed >= outAt + seconds(3) && passed < backAt) {
                sumOfLoadsAway += load;
                ++samplesAway;
            }
        }
        m_world.after(milliseconds(100), [this] { sample(); });
    }

    scenario m_what;
    std::mt19937_64 m_random;
    world m_world;
    time_point m_start = m_world.now;
    bool m_isMeasuring = false;
};

constexpr auto heading
    = "                               sent  in time   p50ms  p95ms  p99ms  refused  retried re-placed";

int measure(const arguments &given)
{
    std::size_t violations = 0;
    for (const auto what : { scenario::taken_out, scenario::cut_off }) {
        std::printf("path measure, seed %lu: one data centre of three is %s from second 20 to 40 of 60\n", given.seed,
                    what == scenario::taken_out ? "taken out" : "cut off");
        std::vector<std::unique_ptr<measurement>> done;
        std::printf("%s  load mean  largest\n", heading);
        for (const auto &one : policyCases()) {
            done.push_back(std::make_unique<measurement>(given.seed, what, one));
            auto &result = *done.back();
            result.run();
            result.all.print(one.name);
            std::printf("     %5.1f%%   %5.1f%%\n",
                        100 * result.sumOfLoads / static_cast<double>(std::max<std::uint64_t>(result.samples, 1)),
                        100 * result.largestLoad);
            std::printf("  ");
            for (const auto &[code, number] : result.all.codes) {
                std::printf("  %s %lu", nameOfCode(code).c_str(), number);
            }
            std::printf("; load while away %.1f%%\n",
                        100 * result.sumOfLoadsAway
                            / static_cast<double>(std::max<std::uint64_t>(result.samplesAway, 1)));
            violations += result.violations().size();
        }
        for (const std::size_t i : { 0U, 1U }) {
            std::printf("by workspace, %s (w0 to w2 are large)\n%s\n", policyCases()[i].name.c_str(), heading);
            for (std::size_t w = 0; w < workspaceCount; ++w) {
                done[i]->rows[w].print(fmt::format("w{}", w));
                std::printf("\n");
            }
        }
    }
    std::printf("violations: %zu\n", violations);
    return violations == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    return bench::run(argc, argv, "path-bench", { { "soak", soak }, { "measure", measure } });
}
