#pragma once

#include "figcleat/core/result-code.h"

#include <cstdint>

namespace figcleat::request
{

/** What an entry knows of all attempts of one request. */
struct attempt_record
{
    /** Attempts whose dispatch was handed to the mailbox, so that it may reach a target at any later time. */
    std::uint32_t handedOver = 0;
    /** Of those, the ones that their target refused or closed as never started, and bars from starting. */
    std::uint32_t provedNotStarted = 0;
    /** The target said that the attempt ran, or its answer came. */
    bool ran = false;
};

/**
 * The one place that decides whether a request was run.
 *
 * `not_run` only if no byte of the call can reach the service any more: every attempt that was handed over
 * has been refused or closed. A dispatch without an answer may still be in a queue, so it is `unknown`.
 */
[[nodiscard]] constexpr execution verdictOf(const attempt_record &attempts)
{
    if (attempts.ran) {
        return execution::ran;
    }
    return attempts.handedOver == attempts.provedNotStarted ? execution::not_run : execution::unknown;
}

/**
 * The code to answer with when a request ends for the reason `code`.
 *
 * A code whose meaning is `not_run` is replaced by outcome_unknown where the attempts do not prove it.
 */
[[nodiscard]] inline result_code codeFor(result_code code, const attempt_record &attempts)
{
    const bool saysNotRun = describe(code).ran == execution::not_run;
    return saysNotRun && verdictOf(attempts) != execution::not_run ? result_code::outcome_unknown : code;
}

} // namespace figcleat::request
