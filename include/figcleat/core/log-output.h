#pragma once

#include "figcleat/core/clock.h"

namespace figcleat
{

/**
 * Sends the lines of every part to standard output instead of standard error, without waiting for its reader.
 *
 * @param time bounds the lines a second; has to outlive the log
 */
void logToStandardOutput(const clock &time);

} // namespace figcleat
