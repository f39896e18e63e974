#pragma once

#include <cstdint>
#include <memory>
#include <spdlog/spdlog.h>
#include <string>

namespace figcleat
{

/** The parts of the program; each has a fixed log prefix. */
enum class part : std::uint8_t {
    daemon,
    settings,
    mailbox,
    http,
    request,
    target,
    consensus,
    agreed,
    distribution,
    group,
    report,
    invariant,
};

/**
 * Logger of a part. Lines read `2026-01-31T08:00:00.123Z info  [target] Admits attempt 4.`
 *
 * Before `startLog` the loggers write warnings and worse to standard error.
 */
[[nodiscard]] std::shared_ptr<spdlog::logger> logFor(part which);

/** Sets the level ("debug", "info", "warn", "error", "off") of every part and the name of the VM in each line. */
void startLog(const std::string &level, const std::string &vm);

} // namespace figcleat
