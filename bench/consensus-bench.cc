#include "../test/raft-harness.h"
#include "bench-main.h"
#include "figcleat/core/log.h"

#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fmt/format.h>
#include <malloc.h>
#include <mutex>
#include <thread>

using namespace figcleat;
using namespace figcleat::consensus;
using namespace figcleat::consensus::harness;

namespace
{

constexpr unsigned soakThreads = 4;
/** Bytes of one command in the measurements; about a claim. */
constexpr std::size_t commandBytes = 300;
constexpr std::uint64_t measuredEntries = 5000;

/** What all voters of a cluster send and compute. */
struct traffic
{
    std::uint64_t messages = 0, bytes = 0, stepNanos = 0, leaderNanos = 0;
};

run_options calm(std::uint64_t seed, std::size_t voters)
{
    run_options options;
    options.seed = seed;
    options.voters = voters;
    options.faults = false;
    return options;
}

void count(simulation &cluster, traffic &total)
{
    cluster.onSend = [&total](std::size_t, const consensus::send &sent) {
        ++total.messages;
        total.bytes += encode(sent.message).size();
    };
    cluster.onStep = [&total, leader = cluster.leader()](std::size_t i, std::uint64_t nanos) {
        total.stepNanos += nanos;
        total.leaderNanos += i == leader ? nanos : 0;
    };
}

void measureIdle(std::uint64_t seed, std::size_t voters)
{
    constexpr std::uint64_t seconds = 60;
    simulation cluster(calm(seed, voters));
    cluster.runFor(std::chrono::seconds(3));
    traffic total;
    count(cluster, total);
    cluster.runFor(std::chrono::seconds(seconds));
    fmt::print(
        "consensus idle, {} voters: {} messages/s, {} bytes/s, per voter {} bytes/s sent and {:.4f}% of a core\n",
        voters, total.messages / seconds, total.bytes / seconds, total.bytes / seconds / voters,
        static_cast<double>(total.stepNanos) / 1e7 / seconds / static_cast<double>(voters));
}

/** `burst` proposals every 5 ms; a sync takes 0.1 to 5 ms. */
void measureLoad(std::uint64_t seed, std::size_t voters, std::uint64_t burst)
{
    simulation cluster(calm(seed, voters));
    cluster.runFor(std::chrono::seconds(3));
    const auto leader = *cluster.leader();
    const auto syncs = cluster.at(leader).disk->syncs;
    traffic total;
    count(cluster, total);
    for (std::uint64_t i = 0; i < measuredEntries; i += burst) {
        for (std::uint64_t one = 0; one < burst; ++one) {
            cluster.proposeAt(leader, commandBytes);
        }
        cluster.runFor(std::chrono::milliseconds(5));
    }
    cluster.runFor(std::chrono::milliseconds(100));
    const auto entries = std::max<std::uint64_t>(1, cluster.report().acknowledged);
    fmt::print("consensus load, {} voters, {} proposals per 5 ms: {} committed, per entry {:.2f} messages, {} bytes, "
               "{:.2f} syncs of the leader, {:.1f} us of processor time at the leader and {:.1f} us in all\n",
               voters, burst, cluster.report().acknowledged,
               static_cast<double>(total.messages) / static_cast<double>(entries), total.bytes / entries,
               static_cast<double>(cluster.at(leader).disk->syncs - syncs) / static_cast<double>(entries),
               static_cast<double>(total.leaderNanos) / 1e3 / static_cast<double>(entries),
               static_cast<double>(total.stepNanos) / 1e3 / static_cast<double>(entries));
}

persist commandAt(std::uint64_t index)
{
    persist action;
    action.entries.push_back({ { index }, { 1 }, entry_kind::command, std::string(commandBytes, 'x') });
    return action;
}

/** Opens a real folder with a log of one record per entry, and builds the voter. */
void measureRestart(std::uint64_t entries)
{
    char pattern[] = "/tmp/figcleat-bench-XXXXXX";
    if (mkdtemp(pattern) == nullptr) {
        return;
    }
    const std::string path = std::string(pattern) + "/log";
    {
        auto store = log_store::open(std::move(*openFolder(path)), { 1 });
        for (std::uint64_t index = 1; index <= entries; ++index) {
            (void)store->write(commandAt(index));
        }
        (void)store->sync();
    }
    const auto memory = mallinfo2().uordblks;
    const auto begin = std::chrono::steady_clock::now();
    auto store = log_store::open(std::move(*openFolder(path)), { 2 });
    const raft log({ { "a" }, { { "a" } } }, store->takeRestored(), {});
    const auto took = std::chrono::steady_clock::now() - begin;
    fmt::print("consensus restart, {} entries of {} bytes: {:.2f} ms to read and check, {} bytes of memory per entry\n",
               log.status().last.value, commandBytes, std::chrono::duration<double, std::milli>(took).count(),
               (mallinfo2().uordblks - memory) / entries);
    std::filesystem::remove_all(pattern);
}

int measure(std::uint64_t seed)
{
    for (const std::size_t voters : { 3, 5, 7 }) {
        measureIdle(seed, voters);
        measureLoad(seed, voters, 1);
        measureLoad(seed, voters, 20);
    }
    measureRestart(500);
    measureRestart(5000);
    return 0;
}

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
    startLog("off", "bench");
    return bench::run(argc, argv, "consensus-bench",
                      { { "soak", [](const bench::arguments &given) { return soak(given.seed, given.runs); } },
                        { "measure", [](const bench::arguments &given) { return measure(given.seed); } } });
}
