#pragma once

namespace figcleat
{

/** Sends the lines of every part to standard output instead of standard error. */
void logToStandardOutput();

} // namespace figcleat
