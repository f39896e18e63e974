#pragma once

/** The command-line tool `figcleat`. */
namespace figcleat::cli
{

/** Runs one command; returns the exit status of its result code. */
int run(int argc, char **argv);

} // namespace figcleat::cli
