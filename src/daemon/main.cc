#include "figcleat/core/log.h"
#include "figcleat/core/process.h"
#include "figcleat/daemon/entry-node.h"
#include "figcleat/daemon/target-node.h"

#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>

namespace
{

using namespace figcleat;

struct arguments
{
    std::string settingsPath;
    bool checkOnly = false;
    bool help = false;
};

expected<arguments> parseArguments(int argc, char **argv)
{
    namespace po = boost::program_options;
    arguments given;
    po::options_description known("Usage: figcleatd --settings FILE [--check]\n\nOptions");
    known.add_options()("settings,s", po::value(&given.settingsPath), "settings file of this process (TOML)")(
        "check", po::bool_switch(&given.checkOnly),
        "check the settings file and exit")("help,h", po::bool_switch(&given.help), "show this text");
    try {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, known), values);
        po::notify(values);
    } catch (const po::error &problem) {
        return fail(result_code::usage_error, problem.what());
    }
    if (given.help) {
        std::cout << known;
    } else if (given.settingsPath.empty()) {
        return fail(result_code::usage_error, "--settings is missing");
    }
    return given;
}

constexpr std::string_view program = "figcleatd";

template<typename Node>
int serve(const daemon_settings &settings)
{
    loop eventLoop;
    const system_clock time;
    std::unique_ptr<Node> node;
    // Before the node opens, so that a stop during a long start is a graceful one too.
    for (const int number : { SIGTERM, SIGINT }) {
        eventLoop.onSignal(number, [&node] { node->drain(); });
    }
    auto opened = Node::open(settings, eventLoop, time, randomNumber());
    if (!opened) {
        return reportProblem(program, opened.error());
    }
    node = std::move(*opened);
    logFor(part::daemon)->info("Serves in {}.", settings.dataCentre.value);
    eventLoop.run();
    logFor(part::daemon)->info("Has stopped.");
    endProcess();
}

} // namespace

int main(int argc, char **argv)
{
    const auto given = parseArguments(argc, argv);
    if (!given) {
        return reportProblem(program, given.error());
    }
    if (given->help) {
        return 0;
    }
    const auto settings = loadDaemonSettings(given->settingsPath);
    if (!settings) {
        for (const auto &found : settings.error()) {
            std::cerr << toString(found) << '\n';
        }
        return describe(settings.error().front().code).exitStatus;
    }
    if (given->checkOnly) {
        std::cout << given->settingsPath << ": no problem found\n";
        return 0;
    }
    startLog(settings->logLevel, settings->vm.value);
    return runProcess(program,
                      [&] { return settings->entry ? serve<entry_node>(*settings) : serve<target_node>(*settings); });
}
