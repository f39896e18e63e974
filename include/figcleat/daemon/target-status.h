#pragma once

#include "figcleat/forward/dialect.h"
#include "figcleat/report/metrics-text.h"

#include <optional>
#include <spdlog/logger.h>

/** What a node tells operators about targets that it does not use. */
namespace figcleat
{

/** Counts the targets by the reason why they are not used. */
void writeTargets(report::metrics_text &page, const forward::target_directory &directory);
/** Writes one log line for each target that has become unused since the last call. */
void logUnused(forward::target_directory &directory, spdlog::logger &log, time_point now);
/**
 * Answers `GET /targets` with a JSON array: each target with its state, and for an unused one the reason, since when
 * and on whose word. `nullopt` for other paths.
 */
[[nodiscard]] std::optional<forward::http_answer>
answerTargetStatus(const http_request &request, const forward::target_directory &directory, time_point now);

} // namespace figcleat
