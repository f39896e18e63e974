#include "../test/request-harness.h"
#include "bench-main.h"

#include <atomic>
#include <iostream>
#include <mutex>
#include <thread>

namespace
{

using namespace figcleat;
using namespace figcleat::harness;

void printCounts(const std::string &title, const std::map<std::string, std::uint64_t> &counts)
{
    std::cout << title << '\n';
    for (const auto &[name, count] : counts) {
        std::cout << "  " << std::left << std::setw(40) << name << count << '\n';
    }
}

totals runMany(std::uint64_t seed, std::uint64_t runs, const switches &off)
{
    totals sum;
    std::mutex lock;
    std::atomic<std::uint64_t> next { 0 };
    std::vector<std::jthread> workers;
    const auto work = [&] {
        for (auto run = next++; run < runs; run = next++) {
            scenario plan;
            plan.seed = seed + run;
            plan.off = off;
            const auto one = runOnce(plan);
            const std::scoped_lock guard(lock);
            sum.add(one);
            if (one.violations() > 0) {
                std::cout << "violation in the run with seed " << plan.seed << '\n';
            }
        }
    };
    for (int worker = 0; worker < 4; ++worker) {
        workers.emplace_back(work);
    }
    workers.clear();
    return sum;
}

int soak(std::uint64_t seed, std::uint64_t runs, const switches &off)
{
    const auto sum = runMany(seed, runs, off);
    std::cout << "request-bench soak: seed " << seed << ", runs " << runs << '\n';
    printCounts("faults", sum.faults);
    printCounts("outcomes", sum.outcomes);
    printCounts("refusals by gates", sum.refusalCodes);
    printCounts("work",
                { { "requests", sum.requests },
                  { "executions", sum.executions },
                  { "claimed keys run", sum.claimedKeysRun },
                  { "refusals", sum.refusals },
                  { "retries", sum.retries },
                  { "falls to the cold limit", sum.falls },
                  { "calls admitted before a cold engine showed", sum.admittedUnseen } });
    printCounts("violations",
                { { "claimed keys run more than once", sum.keysRunTwice },
                  { "refused as not run, but run", sum.notRunButRan },
                  { "work over the gate's limit", sum.overLimit },
                  { "cold targets over their limit", sum.coldOverLimit },
                  { "wrong answers", sum.wrongAnswers },
                  { "requests without outcome", sum.withoutOutcome },
                  { "invariants of a gate", sum.invariants } });
    return sum.violations() > 0 || sum.executions == 0 ? 1 : 0;
}

/** Time to first piece in steady operation: spread, and a share of samples that waited behind another prompt. */
struct noise_kind
{
    double spread = 0.3;
    double outliers = 0;
};

duration drawSample(std::mt19937_64 &random, const noise_kind &noise, double slowness)
{
    double value = std::lognormal_distribution<>(0, noise.spread)(random) * slowness;
    if (std::uniform_real_distribution<>(0, 1)(random) < noise.outliers) {
        value *= std::uniform_real_distribution<>(2, 6)(random);
    }
    return duration(static_cast<std::int64_t>(value * 1e8));
}

/** Samples until the alarm after the engine turned slower by `slowness`, mean of 200 trials; at most 100. */
double samplesToAlarm(std::uint64_t seed, const target::baseline_settings &settings, const noise_kind &noise,
                      double slowness)
{
    std::mt19937_64 random(seed);
    double sum = 0;
    constexpr int trials = 200;
    for (int trial = 0; trial < trials; ++trial) {
        target::latency_baseline baseline(settings);
        for (int sample = 0; sample < 300; ++sample) {
            baseline.observe(drawSample(random, noise, 1), 1, false);
        }
        int count = 1;
        while (count < 100
               && baseline.observe(drawSample(random, noise, slowness), 1, false) != target::reading::alarm) {
            ++count;
        }
        sum += count;
    }
    return sum / trials;
}

std::uint64_t falseAlarms(std::uint64_t seed, const target::baseline_settings &settings, const noise_kind &noise)
{
    std::mt19937_64 random(seed);
    target::latency_baseline baseline(settings);
    std::uint64_t alarms = 0;
    for (int sample = 0; sample < 100'000; ++sample) {
        alarms += baseline.observe(drawSample(random, noise, 1), 1, false) == target::reading::alarm ? 1 : 0;
    }
    return alarms;
}

void measureDetection(std::uint64_t seed)
{
    std::cout << "Detection of a cold engine by time to first piece. False alarms of 100,000 steady samples, and mean\n"
                 "samples until the alarm when the engine turns 3, 6 and 10 times slower (100: not seen).\n"
                 "spread outliers factor samples | false alarms |     x3     x6    x10\n";
    for (const auto &noise : { noise_kind { 0.3, 0 }, noise_kind { 0.6, 0 }, noise_kind { 0.3, 0.01 } }) {
        for (const double factor : { 2.0, 3.0, 4.0 }) {
            for (const std::uint32_t samples : { 1U, 2U, 3U }) {
                const target::baseline_settings settings { factor, samples };
                std::cout << std::fixed << std::setprecision(1) << std::right << std::setw(6) << noise.spread
                          << std::setw(8) << noise.outliers * 100 << '%' << std::setw(7) << factor << std::setw(8)
                          << samples << " |" << std::setw(13) << falseAlarms(seed, settings, noise) << " |";
                for (const double slowness : { 3.0, 6.0, 10.0 }) {
                    std::cout << std::setw(7) << samplesToAlarm(seed, settings, noise, slowness);
                }
                std::cout << '\n';
            }
        }
    }
}

double quantile(std::vector<double> &sorted, double share)
{
    return sorted.empty() ? 0 : sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
}

scenario policyScenario(std::uint64_t seed, std::size_t targets, double load, const placement::policy &policy)
{
    scenario plan;
    plan.seed = seed;
    plan.faults = false;
    plan.entries = 8;
    plan.targets = targets;
    plan.dataCentres = 3;
    plan.claimedShare = 0;
    plan.load = 40s;
    plan.settle = 10s;
    plan.countFrom = 10s;
    plan.pieces = 15;
    plan.limits = { { { 32 }, { 64'000 }, { 64'000 } }, { { 4 }, { 8'000 }, { 8'000 } } };
    plan.requestsPerSecond = load * static_cast<double>(targets) / 8;
    plan.reportDelay = 200ms;
    plan.costDrift = 2;
    plan.coldStart = true;
    plan.stragglerSlowness = 3;
    plan.policy = policy;
    return plan;
}

void measurePolicies(std::uint64_t seed, std::size_t targets, double load)
{
    const std::vector<std::pair<std::string, placement::policy>> policies {
        { "round robin", placement::round_robin {} },
        { "least outstanding, own count", placement::least_outstanding {} },
        { "two choices, reported load", placement::two_choices_by_load {} },
        { "two choices, spare capacity", placement::two_choices_by_spare {} },
        { "prefix affinity, bounded load", placement::prefix_affinity {} },
    };
    std::cout << "\nPlacement on " << targets << " targets, 8 entries, " << load << " requests/s per target\n"
              << std::left << std::setw(31) << "policy" << std::right << std::setw(9) << "requests" << std::setw(10)
              << "in time %" << std::setw(8) << "p50 ms" << std::setw(8) << "p95 ms" << std::setw(8) << "p99 ms"
              << std::setw(9) << "refusals" << std::setw(9) << "retries" << std::setw(7) << "falls" << std::setw(8)
              << "load %" << '\n';
    for (const auto &[name, policy] : policies) {
        auto result = runOnce(policyScenario(seed, targets, load, policy));
        std::ranges::sort(result.firstPieceMs);
        std::cout << std::left << std::setw(31) << name << std::right << std::setw(9) << result.requests
                  << std::setprecision(2) << std::setw(10)
                  << 100.0 * static_cast<double>(result.inTime) / static_cast<double>(result.requests)
                  << std::setprecision(1) << std::setw(8) << quantile(result.firstPieceMs, 0.5) << std::setw(8)
                  << quantile(result.firstPieceMs, 0.95) << std::setw(8) << quantile(result.firstPieceMs, 0.99)
                  << std::setw(9) << result.refusals << std::setw(9) << result.retries << std::setw(7) << result.falls
                  << std::setw(8) << 100 * result.loadHeld << '\n';
    }
}

int measure(std::uint64_t seed)
{
    std::cout << "request-bench measure: seed " << seed << '\n';
    measureDetection(seed);
    for (const std::size_t targets : { 15, 75 }) {
        for (const double load : { 20.0, 35.0 }) {
            measurePolicies(seed, targets, load);
        }
    }
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    const auto soakWithout = [](const bench::arguments &given) {
        switches off;
        if (!given.without.empty()) {
            off.*switchNames.at(given.without) = true;
        }
        return soak(given.seed, given.runs, off);
    };
    return bench::run(
        argc, argv, "request-bench",
        { { "soak", soakWithout }, { "measure", [](const bench::arguments &given) { return measure(given.seed); } } });
}
