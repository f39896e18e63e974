#include "figcleat/request/identify.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace figcleat::request
{

namespace
{

constexpr std::string_view completionsPath = "/v1/chat/completions";
constexpr std::string_view servicesPath = "/services/";
// Tokens are counted by the engine; admission needs an estimate that errs on the high side for short words.
constexpr std::int64_t bytesPerToken = 4;
constexpr std::int64_t defaultGeneratedTokens = 512;
constexpr std::int64_t maxGeneratedTokens = 1'000'000;
constexpr std::size_t prefixBytes = 1024;
constexpr int maxJsonDepth = 32;

const workspace *findWorkspace(const configuration &config, std::string_view credential)
{
    const digest given = sha256(credential);
    const workspace *found = nullptr;
    // All are compared, so that the time says nothing about which one matched.
    for (const auto &candidate : config.workspaces) {
        for (const auto &known : candidate.credentials) {
            if (equalInConstantTime(known, given)) {
                found = &candidate;
            }
        }
    }
    return found;
}

expected<std::string_view> credentialOf(const http_request &received)
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string_view value = findHeader(received.headers, "Authorization");
    if (!value.starts_with(scheme) || value.size() > scheme.size() + maxCredentialBytes) {
        return fail(result_code::wrong_credential, "no bearer credential");
    }
    return value.substr(scheme.size());
}

expected<time_point> deadlineOf(const http_request &received, time_point now)
{
    const std::string_view value = findHeader(received.headers, "X-Figcleat-Deadline-Ms");
    if (value.empty()) {
        return now + defaultDeadline;
    }
    std::int64_t millis = 0;
    const auto [end, failed] = std::from_chars(value.data(), value.data() + value.size(), millis);
    if (failed != std::errc() || end != value.data() + value.size() || millis <= 0) {
        return fail(result_code::deadline_invalid, "X-Figcleat-Deadline-Ms");
    }
    return now + std::min<duration>(std::chrono::milliseconds(std::min<std::int64_t>(millis, 1'000'000)), maxDeadline);
}

expected<request_id> requestIdOf(const http_request &received, const request_id &fallback)
{
    const std::string_view value = findHeader(received.headers, "X-Request-Id");
    if (value.empty()) {
        return fallback;
    }
    const bool printable = std::all_of(value.begin(), value.end(), [](char c) { return c > ' ' && c < '\x7f'; });
    if (value.size() > maxRequestIdBytes || !printable) {
        return fail(result_code::malformed_request, "X-Request-Id");
    }
    return request_id { std::string(value) };
}

bool isJsonTooDeep(std::string_view text)
{
    int depth = 0;
    bool inString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (inString) {
            i += c == '\\' ? 1 : 0;
            inString = c != '"';
        } else if (c == '"') {
            inString = true;
        } else if (c == '[' || c == '{') {
            if (++depth > maxJsonDepth) {
                return true;
            }
        } else if (c == ']' || c == '}') {
            --depth;
        }
    }
    return false;
}

std::string promptOf(const nlohmann::json &body)
{
    std::string prompt;
    for (const auto &message : body.at("messages")) {
        const auto &content = message.at("content");
        prompt += content.is_string() ? content.get<std::string>() : content.dump();
        prompt += '\n';
    }
    return prompt;
}

std::int64_t generatedTokensOf(const nlohmann::json &body)
{
    const auto asked = body.value("max_tokens", defaultGeneratedTokens);
    return std::clamp<std::int64_t>(asked, 1, maxGeneratedTokens);
}

expected<void> identifyCompletion(const http_request &received, const configuration &config, identified_call &call)
{
    if (isJsonTooDeep(received.body)) {
        return fail(result_code::malformed_json, "nested too deeply");
    }
    try {
        const auto body = nlohmann::json::parse(received.body);
        const service *found = findServiceOfModel(config, model_id { body.at("model").get<std::string>() });
        if (found == nullptr) {
            return fail(result_code::unknown_service, "model");
        }
        const std::string prompt = promptOf(body);
        call.service = found->name;
        call.kind = found->kind;
        call.streaming = body.value("stream", false);
        call.prefix = checksum(std::string_view(prompt).substr(0, prefixBytes));
        call.cost
            = { { 1 }, { static_cast<std::int64_t>(prompt.size()) / bytesPerToken + 1 }, { generatedTokensOf(body) } };
    } catch (const nlohmann::json::exception &problem) {
        return fail(result_code::malformed_json, problem.what());
    }
    call.call = { received.method, received.path, {}, received.body };
    call.call.headers.emplace_back("Content-Type", "application/json");
    return {};
}

expected<void> identifyPlain(const http_request &received, const configuration &config, identified_call &call)
{
    const std::string_view rest = std::string_view(received.path).substr(servicesPath.size());
    const auto end = std::min(rest.find('/'), rest.size());
    const service *found = findService(config, service_id { std::string(rest.substr(0, end)) });
    if (found == nullptr || found->kind != service_kind::plain) {
        return fail(result_code::unknown_service, std::string(rest.substr(0, end)));
    }
    call.service = found->name;
    call.kind = found->kind;
    const auto &methods = found->repeatableMethods;
    call.repeatable = std::find(methods.begin(), methods.end(), received.method) != methods.end();
    call.cost = { { 1 }, { 0 }, { 0 } };
    call.call = { received.method, end < rest.size() ? std::string(rest.substr(end)) : "/", {}, received.body };
    for (const auto *name : { "Content-Type", "Accept" }) {
        if (const auto value = findHeader(received.headers, name); !value.empty()) {
            call.call.headers.emplace_back(name, value);
        }
    }
    return {};
}

expected<void> identifyKey(const http_request &received, identified_call &call)
{
    const std::string_view key = findHeader(received.headers, "Idempotency-Key");
    if (key.size() > maxIdempotencyKeyBytes) {
        return fail(result_code::idempotency_key_invalid, "over 128 bytes");
    }
    if (call.repeatable) {
        return {};
    }
    if (key.empty()) {
        return fail(result_code::idempotency_key_required, call.service.value);
    }
    // A zero byte separates the parts, since none of them can hold one.
    const std::string separator(1, '\0');
    call.key = sha256(call.workspace.value + separator + call.service.value + separator + std::string(key));
    call.call.headers.emplace_back("Idempotency-Key", key);
    return {};
}

} // namespace

expected<identified_call> identify(const http_request &received, const configuration &config,
                                   const request_id &fallbackId, time_point now)
{
    identified_call call;
    const auto credential = credentialOf(received);
    if (!credential) {
        return tl::unexpected<error>(credential.error());
    }
    const workspace *sender = findWorkspace(config, *credential);
    if (sender == nullptr) {
        return fail(result_code::wrong_credential, "no workspace has it");
    }
    call.workspace = sender->name;
    call.priority = sender->priority;
    const auto deadline = deadlineOf(received, now);
    if (!deadline) {
        return tl::unexpected<error>(deadline.error());
    }
    call.deadline = *deadline;
    const auto id = requestIdOf(received, fallbackId);
    if (!id) {
        return tl::unexpected<error>(id.error());
    }
    call.id = *id;
    expected<void> filled = fail(result_code::unknown_service, received.path);
    if (received.path == completionsPath && received.method == "POST") {
        filled = identifyCompletion(received, config, call);
    } else if (received.path.starts_with(servicesPath)) {
        filled = identifyPlain(received, config, call);
    }
    if (filled) {
        filled = identifyKey(received, call);
    }
    if (!filled) {
        return tl::unexpected<error>(filled.error());
    }
    call.content = sha256(call.call.method + " " + call.call.path + "\n" + call.call.body);
    call.call.headers.emplace_back("X-Request-Id", call.id.value);
    return call;
}

} // namespace figcleat::request
