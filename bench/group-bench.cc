#include "../test/group-harness.h"

#include <boost/program_options.hpp>
#include <iostream>
#include <mutex>
#include <thread>

namespace po = boost::program_options;
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

} // namespace

int main(int argc, char **argv)
{
    po::options_description options("group-bench measure|soak");
    options.add_options()("command", po::value<std::string>()->required())(
        "seed", po::value<std::uint64_t>()->default_value(1))("runs", po::value<std::uint64_t>()->default_value(2000));
    po::positional_options_description positional;
    positional.add("command", 1);
    po::variables_map values;
    try {
        po::store(po::command_line_parser(argc, argv).options(options).positional(positional).run(), values);
        po::notify(values);
    } catch (const po::error &problem) {
        std::cerr << problem.what() << '\n';
        return 2;
    }
    const auto command = values["command"].as<std::string>();
    if (command == "soak") {
        return soak(values["seed"].as<std::uint64_t>(), values["runs"].as<std::uint64_t>());
    }
    std::cout << "group-bench has no " << command << '\n';
    return 0;
}
