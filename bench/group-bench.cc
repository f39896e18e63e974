#include "../test/group-harness.h"
#include "bench-main.h"

#include "figcleat/group/planner.h"
#include "figcleat/group/popularity.h"
#include "figcleat/group/straggler.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <iostream>
#include <mutex>
#include <numeric>
#include <thread>

using namespace figcleat;
using namespace figcleat::group;

namespace
{

constexpr unsigned soakThreads = 4;

struct soak_total
{
    std::mutex lock;
    harness::run_result sum;
    std::uint64_t violations = 0;
    std::uint64_t stuck = 0;
};

void addRun(soak_total &total, std::uint64_t seed, const harness::run_result &run)
{
    const std::lock_guard guard(total.lock);
    total.sum.steps += run.steps;
    total.sum.completed += run.completed;
    total.sum.abandoned += run.abandoned;
    total.sum.messages += run.messages;
    for (const auto &[fault, count] : run.faults) {
        total.sum.faults[fault] += count;
    }
    if (!run.violation.empty()) {
        ++total.violations;
        std::cout << "seed " << seed << ": " << run.violation << '\n';
    } else if (!run.recovered) {
        ++total.stuck;
        std::cout << "seed " << seed << ": no steps or no switch after the faults ended\n";
    }
}

/** Runs seeds seed, seed + 1, … so that a failing run can be repeated with `--seed N --runs 1`. */
int soak(std::uint64_t seed, std::uint64_t runs)
{
    soak_total total;
    std::atomic<std::uint64_t> next { 0 };
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < soakThreads; ++i) {
        threads.emplace_back([&] {
            for (auto run = next++; run < runs; run = next++) {
                harness::run_settings settings;
                settings.seed = seed + run;
                settings.ranks = static_cast<rank_number>(2 + settings.seed % 5);
                addRun(total, settings.seed, harness::group_run(settings).run());
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    std::cout << "group soak: " << runs << " runs from seed " << seed << "\n  steps " << total.sum.steps
              << ", messages " << total.sum.messages << ", switches completed " << total.sum.completed << ", abandoned "
              << total.sum.abandoned << "\n  violations " << total.violations << ", runs that did not recover "
              << total.stuck << '\n';
    for (const auto &[fault, count] : total.sum.faults) {
        std::cout << "  " << fault << ": " << count << '\n';
    }
    return total.violations == 0 && total.stuck == 0 && total.sum.completed > 0 ? 0 : 1;
}

// Measurement of rebalancing policies.

/** Layers of a trace; a model has 61, which behave alike, so rates and bytes are scaled to 61. */
constexpr std::size_t sampledLayers = 4;
constexpr std::size_t modelLayers = 61;
constexpr std::size_t experts = 128;
constexpr std::size_t intervals = 288;
constexpr std::chrono::minutes intervalLength { 5 };
constexpr double tokensPerSecond = 20'000;
constexpr std::size_t stragglerFrom = 48;
constexpr double stragglerSlowness = 1.3;
constexpr std::int64_t expertBytes = 44'000'000;
/** Rate that the weight store grants to this group; a tenth of it may be used over time, the rest is for others. */
constexpr double storeRate = 1e9;
constexpr double storeShare = 0.1;

enum class trace_kind : std::uint8_t {
    slow_drift,
    sudden_jump,
    day_curve,
    uniform,
};
constexpr std::array traceKinds { trace_kind::slow_drift, trace_kind::sudden_jump, trace_kind::day_curve,
                                  trace_kind::uniform };
constexpr std::array traceNames { "slow drift", "sudden jump", "day curve", "uniform" };

/** loads[interval][layer][expert] in tokens per second. */
using trace = std::vector<std::vector<std::vector<double>>>;

std::vector<double> normals(std::mt19937_64 &rng, double deviation)
{
    std::normal_distribution<double> normal(0, deviation);
    std::vector<double> values(experts);
    std::generate(values.begin(), values.end(), [&] { return normal(rng); });
    return values;
}

std::vector<double> toRates(const std::vector<double> &logWeights)
{
    std::vector<double> rates;
    for (const double weight : logWeights) {
        rates.push_back(std::exp(weight));
    }
    const double total = std::accumulate(rates.begin(), rates.end(), 0.0);
    for (double &rate : rates) {
        rate *= tokensPerSecond / total;
    }
    return rates;
}

/** Popularity is log-normal over experts with deviation 0.8, so the hottest of 128 has about 6 times the mean. */
std::vector<std::vector<double>> makeLayer(trace_kind kind, std::mt19937_64 &rng)
{
    constexpr double deviation = 0.8;
    // Half of the popularity changes within about 8 hours of slow drift.
    constexpr double keep = 0.9965;
    auto now = normals(rng, deviation);
    const auto other = normals(rng, deviation);
    std::vector<std::vector<double>> rates;
    for (std::size_t i = 0; i < intervals; ++i) {
        std::vector<double> weights = now;
        if (kind == trace_kind::uniform) {
            weights.assign(experts, 0);
        } else if (kind == trace_kind::day_curve) {
            const double phase = 0.5 - 0.5 * std::cos(2 * 3.14159265 * static_cast<double>(i) / intervals);
            for (std::size_t e = 0; e < experts; ++e) {
                weights[e] = now[e] * (1 - phase) + other[e] * phase;
            }
        } else if (kind == trace_kind::sudden_jump && (i == 100 || i == 200)) {
            std::shuffle(now.begin(), now.end(), rng);
            weights = now;
        } else if (kind == trace_kind::slow_drift) {
            const auto noise = normals(rng, deviation * std::sqrt(1 - keep * keep));
            for (std::size_t e = 0; e < experts; ++e) {
                now[e] = now[e] * keep + noise[e];
            }
        }
        rates.push_back(toRates(weights));
    }
    return rates;
}

trace makeTrace(trace_kind kind, std::uint64_t seed)
{
    std::mt19937_64 rng(seed * 1000 + static_cast<std::uint64_t>(kind));
    trace result(intervals);
    for (std::size_t layer = 0; layer < sampledLayers; ++layer) {
        const auto rates = makeLayer(kind, rng);
        for (std::size_t i = 0; i < intervals; ++i) {
            result[i].push_back(rates[i]);
        }
    }
    return result;
}

/** Counts reach the estimator with noise; a tenth never come, a tenth come up to three windows late, some twice. */
class lossy_reports
{
public:
    explicit lossy_reports(std::uint64_t seed)
        : m_rng(seed)
    {
    }
    void deliver(const trace &loads, std::size_t interval, popularity_estimator &estimator)
    {
        for (std::uint32_t layer = 0; layer < sampledLayers; ++layer) {
            load_window window { layer, interval, {} };
            for (const double rate : loads[interval][layer]) {
                const double seconds = std::chrono::duration<double>(intervalLength).count();
                window.tokens.push_back(std::poisson_distribution<std::uint32_t>(rate * seconds)(m_rng));
            }
            const auto fate = m_rng() % 20;
            if (fate >= 2) {
                m_late.emplace(interval + (fate < 4 ? 1 + m_rng() % 3 : 0), window);
            }
            if (fate == 4) {
                m_late.emplace(interval + 2, window);
            }
        }
        for (auto next = m_late.begin(); next != m_late.end() && next->first <= interval;) {
            (void)estimator.observe(next->second);
            next = m_late.erase(next);
        }
    }

private:
    std::mt19937_64 m_rng;
    std::multimap<std::size_t, load_window> m_late;
};

/** Replicates the hottest experts and packs all replicas anew on the least loaded ranks, whatever is there now. */
layer_map packAnew(const std::vector<double> &rates, rank_number ranks, std::size_t slots)
{
    std::vector<std::size_t> copies(experts, 1);
    for (std::size_t spare = ranks * slots - experts; spare > 0; --spare) {
        std::size_t hottest = 0;
        for (std::size_t e = 1; e < experts; ++e) {
            const bool hotter
                = rates[e] / static_cast<double>(copies[e]) > rates[hottest] / static_cast<double>(copies[hottest]);
            hottest = hotter && copies[e] < ranks ? e : hottest;
        }
        ++copies[hottest];
    }
    std::vector<std::size_t> order(experts);
    std::iota(order.begin(), order.end(), 0);
    const auto share = [&](std::size_t e) { return rates[e] / static_cast<double>(copies[e]); };
    std::stable_sort(order.begin(), order.end(), [&](auto a, auto b) { return share(a) > share(b); });
    std::vector<double> load(ranks, 0);
    std::vector<std::size_t> used(ranks, 0);
    layer_map map { std::vector<std::vector<rank_number>>(experts) };
    for (const auto e : order) {
        for (std::size_t copy = 0; copy < copies[e]; ++copy) {
            int chosen = -1;
            for (int r = 0; r < ranks; ++r) {
                const auto &held = map.replicas[e];
                const bool fits = used[r] < slots && std::find(held.begin(), held.end(), r) == held.end();
                chosen = fits && (chosen < 0 || load[r] < load[chosen]) ? r : chosen;
            }
            if (chosen < 0) {
                break;
            }
            map.replicas[e].push_back(static_cast<rank_number>(chosen));
            load[chosen] += share(e);
            ++used[chosen];
        }
        std::sort(map.replicas[e].begin(), map.replicas[e].end());
    }
    return map;
}

enum class policy : std::uint8_t {
    fixed,
    greedy,
    threshold,
    cost_aware,
};

struct policy_settings
{
    const char *name;
    policy kind;
    double storeContentionFactor = plan_limits {}.storeContentionFactor;
};

struct measured
{
    std::vector<double> skew;
    double bytes = 0;
    double loadSeconds = 0;
    std::uint64_t switches = 0;
    std::vector<double> planMillis;
};

struct scenario
{
    rank_number ranks;
    std::size_t slots;
    bool straggler;
};

plan_limits limitsFor(const scenario &where, double storeContentionFactor)
{
    constexpr double sampled = static_cast<double>(sampledLayers) / modelLayers;
    plan_limits limits;
    limits.slotsPerRank = where.slots;
    limits.bytesPerExpert = { expertBytes };
    limits.storeBytesPerSecond = { static_cast<std::int64_t>(storeRate * sampled) };
    limits.storeContentionFactor = storeContentionFactor;
    return limits;
}

double busiestOverIdeal(const trace &loads, std::size_t interval, const expert_map &map,
                        const std::vector<double> &timePerToken)
{
    plan_limits limits;
    limits.timePerToken = timePerToken;
    double capacity = 0;
    for (const double time : timePerToken) {
        capacity += 1 / time;
    }
    double busiest = 0;
    for (std::size_t layer = 0; layer < sampledLayers; ++layer) {
        const auto ranks = rankLoads({ loads[interval][layer] }, map.layers[layer], limits, map.ranks);
        busiest += *std::max_element(ranks.begin(), ranks.end());
    }
    return busiest / (tokensPerSecond * sampledLayers / capacity);
}

/** No map has a busiest rank below the largest share of an expert under the best use of all spare slots. */
double lowerBound(const trace &loads, std::size_t interval, const scenario &where)
{
    double bound = 0;
    for (const auto &rates : loads[interval]) {
        std::vector<double> copies(experts, 1);
        const auto hottest = [&] {
            std::size_t best = 0;
            for (std::size_t e = 1; e < experts; ++e) {
                best = rates[e] / copies[e] > rates[best] / copies[best] ? e : best;
            }
            return best;
        };
        for (std::size_t spare = where.ranks * where.slots - experts; spare > 0; --spare) {
            ++copies[hottest()];
        }
        const auto top = hottest();
        bound += std::max(rates[top] / copies[top], tokensPerSecond / where.ranks);
    }
    return bound / (tokensPerSecond * sampledLayers / where.ranks);
}

std::vector<layer_map> decide(const policy_settings &chosen, const std::vector<layer_load> &loads,
                              const expert_map &map, const plan_limits &limits)
{
    if (chosen.kind == policy::fixed) {
        return {};
    }
    if (chosen.kind == policy::cost_aware) {
        return plan(loads, map, limits).layers;
    }
    // Both baselines see token counts only.
    double busiest = 0;
    double mean = 0;
    for (std::size_t layer = 0; layer < loads.size(); ++layer) {
        const auto ranks = rankLoads(loads[layer], map.layers[layer], {}, map.ranks);
        busiest += *std::max_element(ranks.begin(), ranks.end());
        mean += std::accumulate(ranks.begin(), ranks.end(), 0.0) / map.ranks;
    }
    constexpr double threshold = 1.2;
    if (chosen.kind == policy::threshold && busiest < threshold * mean) {
        return {};
    }
    std::vector<layer_map> layers;
    for (const auto &load : loads) {
        layers.push_back(packAnew(load.tokensPerSecond, map.ranks, limits.slotsPerRank));
    }
    return layers;
}

double loadedBytes(const expert_map &from, const expert_map &to)
{
    const auto added = addedReplicasPerRank(from, to);
    const auto replicas = std::accumulate(added.begin(), added.end(), std::size_t { 0 });
    return static_cast<double>(replicas * expertBytes) * modelLayers / sampledLayers;
}

/** Processor time of this process, since wall time on a shared machine says little. */
double processorMillis()
{
    return 1000.0 * static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

/** Work of the ranks in one minute, with 3% of noise; a step takes a third of its time whatever the load. */
work_window workOf(const std::vector<std::vector<double>> &rates, const expert_map &map,
                   const std::vector<double> &timePerToken, std::mt19937_64 &rng)
{
    std::normal_distribution<double> noise(1, 0.03);
    work_window work;
    work.ranks.resize(map.ranks);
    for (std::size_t layer = 0; layer < sampledLayers; ++layer) {
        const auto loads = rankLoads({ rates[layer] }, map.layers[layer], {}, map.ranks);
        for (std::size_t rank = 0; rank < loads.size(); ++rank) {
            work.ranks[rank].tokens += loads[rank] * 60;
        }
    }
    const double mean = tokensPerSecond * sampledLayers * 60 / map.ranks;
    for (std::size_t rank = 0; rank < work.ranks.size(); ++rank) {
        auto &each = work.ranks[rank];
        each.seconds = 20 * (1 + 2 * each.tokens / mean) / 3 * timePerToken[rank] * noise(rng);
    }
    return work;
}

measured runPolicy(const policy_settings &chosen, const trace &loads, const scenario &where, std::uint64_t seed)
{
    measured result;
    popularity_estimator estimator({ sampledLayers, experts, intervalLength });
    lossy_reports reports(seed);
    expert_map map = evenlySpreadMap(where.ranks, experts, sampledLayers);
    std::optional<expert_map> next;
    double loadLeft = 0;
    // What the group does not use of its share of the store is kept for up to an hour.
    double budget = storeRate * storeShare * 3600;
    std::vector<double> timePerToken(where.ranks, 1.0);
    std::mt19937_64 rng(seed);
    straggler_settings watching;
    watching.ranks = where.ranks;
    straggler_detector detector(watching);
    const double seconds = std::chrono::duration<double>(intervalLength).count();
    for (std::size_t i = 0; i < intervals; ++i) {
        if (where.straggler && i == stragglerFrom) {
            timePerToken[3] = stragglerSlowness;
        }
        result.skew.push_back(busiestOverIdeal(loads, i, map, timePerToken));
        reports.deliver(loads, i, estimator);
        for (int minute = 0; minute < 5; ++minute) {
            (void)detector.step(workOf(loads[i], map, timePerToken, rng), {});
        }
        if (next) {
            result.loadSeconds += std::min(loadLeft, seconds);
            loadLeft -= seconds;
            if (loadLeft > 0) {
                continue;
            }
            map = *next;
            next.reset();
            ++result.switches;
        }
        auto limits = limitsFor(where, chosen.storeContentionFactor);
        limits.timePerToken = detector.timePerToken();
        budget = std::min(budget + storeRate * storeShare * seconds, storeRate * storeShare * 3600);
        // What does not load within half an interval delays the rest of the plan, and the next plan can still add it.
        const double usable = std::min(budget, storeRate * seconds / 2);
        limits.byteBudget = { static_cast<std::int64_t>(usable * sampledLayers / modelLayers) };
        const double started = processorMillis();
        auto layers = decide(chosen, estimator.estimate(), map, limits);
        result.planMillis.push_back(processorMillis() - started);
        if (!layers.empty()) {
            next = map;
            next->layers = std::move(layers);
            const double bytes = loadedBytes(map, *next);
            result.bytes += bytes;
            budget -= bytes;
            loadLeft = bytes / storeRate;
        }
    }
    return result;
}

double percentile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, static_cast<std::size_t>(share * static_cast<double>(values.size())))];
}

void printRow(const char *name, const measured &run)
{
    const double hours = std::chrono::duration<double>(intervalLength).count() * intervals / 3600;
    std::printf("  %-24s %7.3f %7.3f %7.3f %9.1f %8llu %7.2f%% %8.2f %8.2f\n", name, percentile(run.skew, 0.5),
                percentile(run.skew, 0.95), percentile(run.skew, 0.99), run.bytes / 1e9 / hours,
                static_cast<unsigned long long>(run.switches), 100 * run.loadSeconds / (hours * 3600),
                percentile(run.planMillis, 0.5), percentile(run.planMillis, 1));
}

void measureScenario(const scenario &where, std::size_t kind, std::uint64_t seed)
{
    static constexpr std::array policies { policy_settings { "static", policy::fixed },
                                           policy_settings { "greedy, every interval", policy::greedy },
                                           policy_settings { "greedy, skew over 1.2", policy::threshold },
                                           policy_settings { "cost-aware (default)", policy::cost_aware } };
    const auto loads = makeTrace(traceKinds[kind], seed);
    std::printf("%s, %d ranks x %zu slots%s\n", traceNames[kind], where.ranks, where.slots,
                where.straggler ? ", one straggler" : "");
    for (const auto &chosen : policies) {
        printRow(chosen.name, runPolicy(chosen, loads, where, seed));
    }
    measured bound;
    for (std::size_t i = 0; i < intervals; ++i) {
        bound.skew.push_back(lowerBound(loads, i, where));
    }
    printRow("lower bound", bound);
    measured ideal;
    ideal.skew = { 1.0 };
    printRow("ideal", ideal);
}

void measureTrade(const scenario &where, std::uint64_t seed)
{
    std::printf("trade of skew and bytes on slow drift, %d ranks\n", where.ranks);
    const auto loads = makeTrace(trace_kind::slow_drift, seed);
    for (const double price : { 0.0, 1.0, 3.0, 10.0, 30.0, 100.0 }) {
        char name[32];
        std::snprintf(name, sizeof name, "store price %g", price);
        printRow(name, runPolicy({ name, policy::cost_aware, price }, loads, where, seed));
    }
}

/** Plans for all 61 layers of the largest group, from an even map and then on as popularity drifts. */
void measurePlanTime(std::uint64_t seed)
{
    std::mt19937_64 rng(seed);
    std::vector<std::vector<std::vector<double>>> layers;
    for (std::size_t layer = 0; layer < modelLayers; ++layer) {
        layers.push_back(makeLayer(trace_kind::slow_drift, rng));
    }
    expert_map map = evenlySpreadMap(128, experts, modelLayers);
    std::vector<double> millis;
    for (std::size_t i = 0; i < 60; ++i) {
        std::vector<layer_load> loads;
        for (const auto &layer : layers) {
            loads.push_back({ layer[i * 4], 1e-5, 900 });
        }
        const double started = processorMillis();
        auto result = plan(loads, map, {});
        millis.push_back(processorMillis() - started);
        if (!result.layers.empty()) {
            map.layers = std::move(result.layers);
        }
    }
    std::printf("plan time, 128 ranks x 128 experts x 61 layers, 60 plans: first %.1f ms, median %.1f ms, maximum %.1f "
                "ms; at one plan per 5 minutes %.4f%% of a core\n",
                millis.front(), percentile(millis, 0.5), percentile(millis, 1),
                100 * percentile(millis, 1) / 1000 / 300);
}

// Comparison of the ways to switch.

struct switch_cost
{
    double messages = 0;
    double stalledSteps = 0;
};

constexpr double stepMillis = 45;
constexpr double oneWayMillis = 2;
/** The harness loads for 50 to 500 ms, so the slowest of many ranks needs nearly 500 ms. */
constexpr double loadMillis = 500;

/** Runs the real state machines without faults; a second run with fewer switches shows what they cost. */
switch_cost twoPhase(rank_number ranks, std::uint64_t seed)
{
    const auto run = [&](std::chrono::seconds every) {
        harness::run_settings settings;
        settings.seed = seed;
        settings.ranks = ranks;
        settings.faults = false;
        settings.faultFreeDuration = std::chrono::seconds(33);
        settings.stepTime = std::chrono::milliseconds(45);
        settings.proposeEvery = every;
        return harness::group_run(settings).run();
    };
    const auto many = run(std::chrono::seconds(2));
    const auto few = run(std::chrono::seconds(30));
    const auto switches = static_cast<double>(many.completed - few.completed);
    return { (static_cast<double>(many.messages) - static_cast<double>(few.messages)) / switches,
             (static_cast<double>(many.stalledSteps) - static_cast<double>(few.stalledSteps)) / switches };
}

void measureSwitches(std::uint64_t seed)
{
    std::printf("ways to switch; steps of 45 ms, 2 ms one way, loading takes 0.5 s; stalled steps per switch\n"
                "  %-34s %5s %10s %14s %14s\n",
                "way", "ranks", "messages", "per step", "stalled steps");
    for (const rank_number ranks : { rank_number { 12 }, rank_number { 128 } }) {
        const auto ours = twoPhase(ranks, seed);
        std::printf("  %-34s %5d %10.0f %14d %14.2f\n", "two-phase at a future step (run)", ranks, ours.messages, 0,
                    ours.stalledSteps);
        // Stop, stopped, go, started; every rank waits for the slowest to load, and for two round trips.
        std::printf("  %-34s %5d %10d %14d %14.2f\n", "stop the group (computed)", ranks, 4 * ranks, 0,
                    (loadMillis + 4 * oneWayMillis) / stepMillis);
        // Every step waits for a round trip to whoever collects the votes, also when nothing changes.
        std::printf("  %-34s %5d %10d %14d %14s\n", "agreement in every step (computed)", ranks, 0, 2 * ranks,
                    "every, by 9%");
    }
}

int measure(std::uint64_t seed)
{
    measureSwitches(seed);
    std::printf("group measure, seed %llu; %zu of %zu layers, 24 h in intervals of 5 min\n",
                static_cast<unsigned long long>(seed), sampledLayers, modelLayers);
    std::printf("  %-24s %7s %7s %7s %9s %8s %8s %8s %8s\n", "policy", "skew 50", "95", "99", "GB/h", "switches",
                "loading", "plan ms", "max ms");
    for (const bool straggler : { false, true }) {
        for (const auto &[ranks, slots] : { std::pair<rank_number, std::size_t> { 12, 12 }, { 128, 2 } }) {
            for (std::size_t kind = 0; kind < traceKinds.size(); ++kind) {
                measureScenario({ ranks, slots, straggler }, kind, seed);
            }
        }
    }
    measureTrade({ 12, 12, false }, seed);
    measureTrade({ 128, 2, false }, seed);
    measurePlanTime(seed);
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    return bench::run(argc, argv, "group-bench",
                      { { "soak", [](const bench::arguments &given) { return soak(given.seed, given.runs); } },
                        { "measure", [](const bench::arguments &given) { return measure(given.seed); } } });
}
