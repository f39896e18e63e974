#pragma once

#include "figcleat/core/result-code.h"

#include <cstdint>
#include <string_view>

namespace figcleat
{

/** Prints a problem to standard error, as the named program; returns the exit status that its code has. */
[[nodiscard]] int reportProblem(std::string_view program, const error &problem);

/** Random bits from the system, different in each life of a process. */
[[nodiscard]] std::uint64_t randomNumber();

/** A closed connection and a file at the size limit become errors of the call instead of ending the process. */
void ignoreWriteSignals();

} // namespace figcleat
