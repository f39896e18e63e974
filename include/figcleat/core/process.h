#pragma once

#include "figcleat/core/result-code.h"

#include <cstdint>
#include <functional>
#include <string_view>

namespace figcleat
{

/** Prints a problem to standard error, as the named program; returns the exit status that its code has. */
[[nodiscard]] int reportProblem(std::string_view program, const error &problem);

/** Random bits from the system, different in each life of a process. */
[[nodiscard]] std::uint64_t randomNumber();

/** A closed connection and a file at the size limit become errors of the call instead of ending the process. */
void ignoreWriteSignals();

/**
 * Ends a process whose loop has stopped, with status 0. Nothing is torn down: all state is synced and all answers are
 * sent, and nng_close of the listener sometimes does not return (nng 1.5.2).
 */
[[noreturn]] void endProcess();

/** Runs a process; an invariant violation ends it with the status of its code. Returns the exit status. */
[[nodiscard]] int runProcess(std::string_view program, const std::function<int()> &serve);

} // namespace figcleat
