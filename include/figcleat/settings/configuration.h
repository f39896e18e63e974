#pragma once

#include "figcleat/core/clock.h"
#include "figcleat/core/digest.h"
#include "figcleat/core/ids.h"
#include "figcleat/settings/problem.h"
#include "figcleat/target/messages.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figcleat
{

struct workspace
{
    workspace_id name;
    std::vector<digest> credentials;
    std::uint32_t maxRequestsInProgress = 64;
    /** Share of capacity relative to other workspaces when there is not enough. */
    std::uint32_t weight = 1;
    /** Passed to engines; higher goes first. */
    std::uint32_t priority = 0;
};

struct data_centre
{
    data_centre_id name;
    std::string region;
    bool inService = true;
};

enum class service_kind : std::uint8_t {
    /** Chat completions; streams; any call may be repeated. */
    model,
    /** Plain HTTP; only the methods listed as repeatable may be repeated. */
    plain,
};

/** Service level objective; shares are of all requests that are not refused as malformed. */
struct service_level
{
    /** Share of requests that get a whole answer in time, for example 0.999. */
    double objective = 0.99;
    duration answerWithin = std::chrono::seconds(30);
    duration firstTokenWithin = std::chrono::milliseconds(810);
};

struct service
{
    service_id name;
    service_kind kind = service_kind::model;
    std::vector<model_id> models;
    /** HTTP methods whose calls may be repeated; for a model service all may. */
    std::vector<std::string> repeatableMethods;
    service_level level;
};

/** How much work each target of a service may take; it narrows what a target says of itself. */
struct work_rule
{
    service_id service;
    target_limits limits;
};

/** The declarative file that operators apply as a whole. */
struct configuration
{
    std::uint64_t number = 0;
    std::vector<workspace> workspaces;
    std::vector<data_centre> dataCentres;
    std::vector<service> services;
    std::vector<work_rule> rules;
};

/** Parses and checks the file as a whole; lists every problem, among them names that refer to nothing. */
[[nodiscard]] checked<configuration> parseConfiguration(std::string_view text, const std::string &fileName);
[[nodiscard]] checked<configuration> loadConfiguration(const std::string &path);

[[nodiscard]] const service *findService(const configuration &config, const service_id &name);
[[nodiscard]] const service *findServiceOfModel(const configuration &config, const model_id &model);
[[nodiscard]] const data_centre *findDataCentre(const configuration &config, const data_centre_id &name);

} // namespace figcleat
