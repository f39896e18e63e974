#include "../test/pipeline-harness.h"

#include <atomic>
#include <boost/program_options.hpp>
#include <cstdio>
#include <iostream>
#include <mutex>
#include <thread>

using namespace figcleat;
using namespace figcleat::path_harness;

namespace
{

struct arguments
{
    std::string subcommand;
    std::uint64_t seed = 1;
    std::uint64_t runs = 100;
};

arguments parseArguments(int argc, char **argv)
{
    namespace po = boost::program_options;
    arguments parsed;
    po::options_description options;
    options.add_options()("subcommand", po::value(&parsed.subcommand)->required());
    options.add_options()("seed", po::value(&parsed.seed));
    options.add_options()("runs", po::value(&parsed.runs));
    po::variables_map values;
    po::store(po::command_line_parser(argc, argv)
                  .options(options)
                  .positional(po::positional_options_description().add("subcommand", 1))
                  .run(),
              values);
    po::notify(values);
    return parsed;
}

/** Sum of all runs of a soak. */
struct soak_sum
{
    std::map<int, std::uint64_t> codes;
    std::array<std::uint64_t, faultNames.size()> faults {};
    counters counts;
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
        counts.retried += one.counts.retried;
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
                sum.counts.retried);
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

} // namespace

int main(int argc, char **argv)
{
    try {
        const auto given = parseArguments(argc, argv);
        if (given.subcommand == "soak") {
            return soak(given);
        }
        std::printf("path-bench has no subcommand %s\n", given.subcommand.c_str());
        return 0;
    } catch (const std::exception &problem) {
        std::cerr << problem.what() << '\n';
        return 2;
    }
}
