#include "../test/request-harness.h"

#include <atomic>
#include <boost/program_options.hpp>
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

} // namespace

int main(int argc, char **argv)
{
    namespace po = boost::program_options;
    po::options_description options("request-bench measure|soak");
    options.add_options()("command", po::value<std::string>()->default_value("measure"))(
        "seed", po::value<std::uint64_t>()->default_value(1))("runs", po::value<std::uint64_t>()->default_value(2000))(
        "without", po::value<std::string>(), "soak without one mechanism, to see that its violation is found");
    po::positional_options_description positional;
    positional.add("command", 1);
    try {
        po::variables_map values;
        po::store(po::command_line_parser(argc, argv).options(options).positional(positional).run(), values);
        const auto command = values["command"].as<std::string>();
        const auto seed = values["seed"].as<std::uint64_t>();
        if (command == "soak") {
            switches off;
            if (values.count("without") > 0) {
                off.*switchNames.at(values["without"].as<std::string>()) = true;
            }
            return soak(seed, values["runs"].as<std::uint64_t>(), off);
        }
        std::cout << "request-bench has no " << command << '\n';
        return 0;
    } catch (const std::exception &problem) {
        std::cerr << problem.what() << '\n';
        return 2;
    }
}
