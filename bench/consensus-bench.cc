#include "../test/raft-harness.h"
#include "figcleat/core/log.h"

#include <atomic>
#include <boost/program_options.hpp>
#include <chrono>
#include <cstdio>
#include <fmt/format.h>
#include <mutex>
#include <thread>

using namespace figcleat;
using namespace figcleat::consensus;
using namespace figcleat::consensus::harness;

namespace
{

constexpr unsigned soakThreads = 4;

void print(const run_report &all)
{
    fmt::print("consensus soak: {} messages, {} late, {} lost, {} duplicated, {} reordered\n", all.messages, all.late,
               all.lost, all.duplicated, all.reordered);
    fmt::print("consensus soak: {} cuts, {} isolations, {} freezes, {} kills ({} between write and sync, {} torn), "
               "{} lost disks ({} replaced before the next), {} full disks\n",
               all.cuts, all.isolations, all.freezes, all.kills, all.killsBeforeSync, all.tornWrites, all.lostDisks,
               all.replacements, all.fullDisks);
    fmt::print("consensus soak: {} elections, {} committed, {} acknowledged, {} refused, {} uncertain, {} reads, "
               "{} snapshots installed\n",
               all.elections, all.committed, all.acknowledged, all.refused, all.uncertain, all.reads,
               all.snapshotsInstalled);
}

int soak(std::uint64_t seed, std::uint64_t runs)
{
    std::atomic<std::uint64_t> next { 0 };
    std::atomic<std::uint64_t> violations { 0 };
    std::mutex guard;
    run_report all;
    const auto work = [&] {
        for (auto i = next++; i < runs; i = next++) {
            run_options options;
            options.seed = seed * 1000003 + i;
            options.voters = i % 3 == 0 ? 3 : (i % 3 == 1 ? 5 : 7);
            const auto report = simulation(options).run();
            const std::lock_guard lock(guard);
            all.add(report);
            if (!report.violation.empty()) {
                ++violations;
                fmt::print("consensus soak: run {} (seed {}, {} voters): {}\n", i, options.seed, options.voters,
                           report.violation);
            }
        }
    };
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < soakThreads; ++i) {
        threads.emplace_back(work);
    }
    for (auto &one : threads) {
        one.join();
    }
    print(all);
    fmt::print("consensus soak: seed {}, {} runs, {} violations\n", seed, runs, violations.load());
    return violations == 0 && all.committed > 0 ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    namespace po = boost::program_options;
    std::string subcommand;
    std::uint64_t seed = 1;
    std::uint64_t runs = 2000;
    po::options_description options("consensus-bench measure|soak");
    options.add_options()("command", po::value(&subcommand)->required())("seed", po::value(&seed))("runs",
                                                                                                   po::value(&runs));
    po::positional_options_description positional;
    positional.add("command", 1);
    try {
        po::variables_map values;
        po::store(po::command_line_parser(argc, argv).options(options).positional(positional).run(), values);
        po::notify(values);
    } catch (const po::error &problem) {
        fmt::print(stderr, "{}\n", problem.what());
        return 2;
    }
    startLog("off", "bench");
    if (subcommand == "soak") {
        return soak(seed, runs);
    }
    fmt::print("consensus-bench has no subcommand {}\n", subcommand);
    return 0;
}
