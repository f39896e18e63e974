#include "figcleat/core/process.h"

#include "figcleat/core/invariant.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <random>
#include <spdlog/spdlog.h>

namespace figcleat
{

int reportProblem(std::string_view program, const error &problem)
{
    const auto &info = describe(problem.code);
    std::cerr << program << ": " << problem.detail << " (" << static_cast<int>(problem.code) << " " << info.name
              << ")\n";
    return info.exitStatus;
}

std::uint64_t randomNumber()
{
    std::random_device source;
    return (std::uint64_t { source() } << 32U) | source();
}

void ignoreWriteSignals()
{
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGXFSZ, SIG_IGN);
}

void endProcess()
{
    spdlog::shutdown();
    std::_Exit(0);
}

int runProcess(std::string_view program, const std::function<int()> &serve)
{
    ignoreWriteSignals();
    try {
        return serve();
    } catch (const invariant_violation &violation) {
        return reportProblem(program, { violation.code(), violation.what() });
    }
}

} // namespace figcleat
