#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace figcleat::cli
{

/** Tables for the terminal from the operator interface's answers. */
[[nodiscard]] std::string renderStatus(const nlohmann::json &status);
[[nodiscard]] std::string renderUsage(const nlohmann::json &usage);

} // namespace figcleat::cli
