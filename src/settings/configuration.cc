#include "figcleat/settings/configuration.h"

#include "figcleat/settings/limits.h"
#include "figcleat/settings/toml-reader.h"

#include <algorithm>
#include <limits>
#include <set>
#include <spdlog/fmt/fmt.h>

namespace figcleat
{

namespace
{

// Several times the design size of 230 workspaces, 8 data centres and 5 models.
constexpr std::size_t maxWorkspaces = 2'000;
constexpr std::size_t maxCredentials = 16;
constexpr std::size_t maxDataCentres = 64;
constexpr std::size_t maxServices = 256;
constexpr std::size_t maxModels = 64;
constexpr std::size_t maxMethods = 16;
constexpr std::size_t maxMethodLength = 16;
constexpr value_range<std::int64_t> numbers { 1, std::numeric_limits<std::int64_t>::max() };
constexpr value_range<std::int64_t> requestsInProgress { 1, 65'536 };
constexpr value_range<std::int64_t> weights { 1, 1'000 };
constexpr value_range<std::int64_t> priorities { 0, 255 };
// The longest deadline that an entry accepts is 300 s.
constexpr value_range<duration> answerTimes { std::chrono::milliseconds(1), std::chrono::seconds(300) };

/** Names and digests that may be defined only once in the file. */
struct definitions
{
    std::set<std::string> workspaces;
    std::set<std::string> dataCentres;
    std::set<std::string> services;
    std::set<std::string> models;
    std::set<std::string> ruled;
    std::set<digest> credentials;
};

void define(table_reader &reader, std::string_view key, std::set<std::string> &defined, const std::string &name)
{
    if (!defined.insert(name).second) {
        reader.report(result_code::configuration_invalid, key, fmt::format("{} is defined twice", quote(name)));
    }
}

template<typename Tag>
void readDefinedName(table_reader &reader, std::set<std::string> &defined, text_id<Tag> &out)
{
    if (reader.readName("name", out)) {
        define(reader, "name", defined, out.value);
    }
}

void readCredentials(table_reader &reader, definitions &defined, std::vector<digest> &out)
{
    constexpr std::string_view key = "credential_sha256";
    std::vector<std::string> texts;
    if (!reader.read(key, texts, maxCredentials)) {
        return;
    }
    if (texts.empty()) {
        reader.report(result_code::settings_missing_value, key, "at least one digest is required");
    }
    for (const auto &text : texts) {
        const auto parsed = parseDigest(text);
        if (!parsed) {
            // The value is not shown, since it may be a credential that was put here by mistake.
            reader.report(result_code::settings_out_of_range, key,
                          "a SHA-256 digest has 64 lower-case hexadecimal digits");
            continue;
        }
        if (!defined.credentials.insert(*parsed).second) {
            reader.report(result_code::configuration_invalid, key, "the digest is listed twice in this file");
        }
        out.push_back(*parsed);
    }
}

void readWorkspace(table_reader &reader, definitions &defined, configuration &out)
{
    auto &read = out.workspaces.emplace_back();
    readDefinedName(reader, defined.workspaces, read.name);
    readCredentials(reader, defined, read.credentials);
    reader.readInteger("max_requests_in_progress", read.maxRequestsInProgress, requestsInProgress, presence::optional);
    reader.readInteger("weight", read.weight, weights, presence::optional);
    reader.readInteger("priority", read.priority, priorities, presence::optional);
    reader.finish();
}

void readDataCentre(table_reader &reader, definitions &defined, configuration &out)
{
    auto &read = out.dataCentres.emplace_back();
    readDefinedName(reader, defined.dataCentres, read.name);
    reader.readName("region", read.region);
    reader.read("in_service", read.inService, presence::optional);
    reader.finish();
}

void readKind(table_reader &reader, service_kind &out)
{
    std::string text;
    if (!reader.read("kind", text)) {
        return;
    }
    if (text != "model" && text != "plain") {
        reader.report(result_code::settings_out_of_range, "kind",
                      fmt::format("{} is neither model nor plain", quote(text)));
    }
    out = text == "plain" ? service_kind::plain : service_kind::model;
}

void readModels(table_reader &reader, definitions &defined, service &out)
{
    std::vector<std::string> names;
    reader.read("models", names, maxModels, presence::optional);
    for (auto &name : names) {
        if (!isName(name)) {
            reader.report(result_code::settings_out_of_range, "models",
                          fmt::format("{} is no valid name", quote(name)));
            continue;
        }
        define(reader, "models", defined.models, name);
        out.models.push_back(model_id { std::move(name) });
    }
    if (out.kind == service_kind::model && names.empty()) {
        reader.report(result_code::settings_missing_value, "models", "a model service needs at least one model");
    }
    if (out.kind == service_kind::plain && !names.empty()) {
        reader.report(result_code::configuration_invalid, "models", "a plain service has no models");
    }
}

bool isMethod(std::string_view text)
{
    return !text.empty() && text.size() <= maxMethodLength
        && std::all_of(text.begin(), text.end(), [](char c) { return c >= 'A' && c <= 'Z'; });
}

void readMethods(table_reader &reader, service &out)
{
    constexpr std::string_view key = "repeatable_methods";
    if (out.kind == service_kind::plain) {
        out.repeatableMethods = { "GET", "HEAD" };
    }
    if (!reader.read(key, out.repeatableMethods, maxMethods, presence::optional)) {
        return;
    }
    if (out.kind == service_kind::model) {
        reader.report(result_code::configuration_invalid, key, "every call of a model service may be repeated");
    }
    std::set<std::string> listed;
    for (const auto &method : out.repeatableMethods) {
        if (!isMethod(method)) {
            reader.report(
                result_code::settings_out_of_range, key,
                fmt::format("{} is no HTTP method of 1 to {} capital letters", quote(method), maxMethodLength));
        }
        define(reader, key, listed, method);
    }
}

void readLevel(table_reader &parent, service_level &out)
{
    auto reader = parent.table("level", presence::optional);
    if (!reader) {
        return;
    }
    reader->readFraction("objective", out.objective, presence::optional);
    reader->read("answer_within", out.answerWithin, answerTimes, presence::optional);
    if (!reader->read("first_token_within", out.firstTokenWithin, answerTimes, presence::optional)) {
        out.firstTokenWithin = std::min(out.firstTokenWithin, out.answerWithin);
    }
    if (out.firstTokenWithin > out.answerWithin) {
        reader->report(result_code::configuration_invalid, "first_token_within", "it is above answer_within");
    }
    reader->finish();
}

void readService(table_reader &reader, definitions &defined, configuration &out)
{
    auto &read = out.services.emplace_back();
    readDefinedName(reader, defined.services, read.name);
    readKind(reader, read.kind);
    readModels(reader, defined, read);
    readMethods(reader, read);
    readLevel(reader, read.level);
    reader.finish();
}

void readRule(table_reader &reader, definitions &defined, configuration &out)
{
    auto &read = out.rules.emplace_back();
    presence tokens = presence::optional;
    if (reader.readName("service", read.service)) {
        const service *named = findService(out, read.service);
        if (named == nullptr) {
            reader.report(result_code::configuration_invalid, "service",
                          fmt::format("there is no service {}", quote(read.service.value)));
        } else if (named->kind == service_kind::model) {
            tokens = presence::required;
        }
        define(reader, "service", defined.ruled, read.service.value);
    }
    read.limits = readLimits(reader, tokens);
    reader.finish();
}

using element_reader = void (*)(table_reader &, definitions &, configuration &);

void readAll(table_reader &root, std::string_view key, std::size_t most, element_reader readOne, definitions &defined,
             configuration &out)
{
    for (auto &reader : root.tables(key, most)) {
        readOne(reader, defined, out);
    }
}

template<typename Elements, typename Name>
const auto *findNamed(const Elements &elements, const Name &name)
{
    const auto found
        = std::find_if(elements.begin(), elements.end(), [&](const auto &element) { return element.name == name; });
    return found == elements.end() ? nullptr : &*found;
}

} // namespace

checked<configuration> parseConfiguration(std::string_view text, const std::string &fileName)
{
    const auto parsed = parseToml(text, fileName);
    if (!parsed) {
        return tl::unexpected(parsed.error());
    }
    problem_list problems(fileName);
    table_reader root(*parsed, "", problems);
    configuration config;
    definitions defined;
    root.readInteger("number", config.number, numbers);
    readAll(root, "workspace", maxWorkspaces, readWorkspace, defined, config);
    readAll(root, "data_centre", maxDataCentres, readDataCentre, defined, config);
    readAll(root, "service", maxServices, readService, defined, config);
    readAll(root, "rule", maxServices, readRule, defined, config);
    root.finish();
    if (!problems.empty()) {
        return tl::unexpected(problems.take());
    }
    return config;
}

checked<configuration> loadConfiguration(const std::string &path)
{
    return readSettingsFile(path).and_then([&](const std::string &text) { return parseConfiguration(text, path); });
}

const service *findService(const configuration &config, const service_id &name)
{
    return findNamed(config.services, name);
}

const service *findServiceOfModel(const configuration &config, const model_id &model)
{
    for (const auto &candidate : config.services) {
        if (std::find(candidate.models.begin(), candidate.models.end(), model) != candidate.models.end()) {
            return &candidate;
        }
    }
    return nullptr;
}

const data_centre *findDataCentre(const configuration &config, const data_centre_id &name)
{
    return findNamed(config.dataCentres, name);
}

} // namespace figcleat
