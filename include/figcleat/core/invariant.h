#pragma once

#include "figcleat/core/result-code.h"

#include <cstdint>
#include <functional>
#include <stdexcept>

namespace figcleat
{

/** Thrown when an invariant does not hold; stops the part that broke it. */
class invariant_violation : public std::logic_error
{
public:
    invariant_violation(result_code code, const std::string &detail);
    [[nodiscard]] result_code code() const;

private:
    result_code m_code;
};

/**
 * Asserts an invariant, in release builds too.
 *
 * On violation it logs, counts and throws `invariant_violation`; the daemon ends the process, so that a
 * part with a broken state gives no further answer.
 *
 *     ensure(attempts.insert(id).second, result_code::invariant_at_most_once, "attempt 7");
 */
void ensure(bool condition, result_code code, std::string_view detail);

/** Number of violations since the process started. */
[[nodiscard]] std::uint64_t violationCount();

} // namespace figcleat
