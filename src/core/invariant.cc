#include "figcleat/core/invariant.h"

#include "figcleat/core/log.h"

#include <atomic>

namespace figcleat
{

namespace
{

std::atomic<std::uint64_t> violations { 0 };

} // namespace

invariant_violation::invariant_violation(result_code code, const std::string &detail)
    : std::logic_error(std::string(describe(code).name) + ": " + detail)
    , m_code(code)
{
}

result_code invariant_violation::code() const
{
    return m_code;
}

void ensure(bool condition, result_code code, std::string_view detail)
{
    if (condition) {
        return;
    }
    ++violations;
    logFor(part::invariant)
        ->critical("Invariant {} ({}) is violated: {}.", static_cast<int>(code), describe(code).name, detail);
    throw invariant_violation(code, std::string(detail));
}

std::uint64_t violationCount()
{
    return violations;
}

} // namespace figcleat
