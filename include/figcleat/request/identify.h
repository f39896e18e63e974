#pragma once

#include "figcleat/core/clock.h"
#include "figcleat/core/digest.h"
#include "figcleat/http/server.h"
#include "figcleat/settings/configuration.h"
#include "figcleat/target/messages.h"

#include <optional>

namespace figcleat::request
{

inline constexpr duration defaultDeadline = std::chrono::seconds(30);
/** Longest deadline that a caller may ask for; drain deadlines are above it. */
inline constexpr duration maxDeadline = std::chrono::seconds(300);
inline constexpr std::size_t maxIdempotencyKeyBytes = 128;
inline constexpr std::size_t maxCredentialBytes = 256;
inline constexpr std::size_t maxRequestIdBytes = 64;

/** A call after the first filter: who sent it, what it asks for and what it will take. */
struct identified_call
{
    request_id id;
    workspace_id workspace;
    service_id service;
    service_kind kind = service_kind::model;
    /** Empty for a plain service. */
    model_id model;
    std::uint32_t priority = 0;
    time_point deadline;
    /** True if the call may run more than once. */
    bool repeatable = true;
    /** True if the caller wants the answer piece by piece. */
    bool streaming = false;
    /** SHA-256 over workspace, service and idempotency key; there for each call that may not be repeated. */
    std::optional<digest> key;
    /** SHA-256 over method, path and body. */
    digest content;
    /** Checksum of the start of the prompt, for prefix affinity. */
    std::uint64_t prefix = 0;
    work_cost cost;
    service_call call;
};

/**
 * First filter of the request path: checks a call against the configuration.
 *
 * Paths: `POST /v1/chat/completions` goes to the service that has the body's `model`;
 * `/services/NAME/REST` goes to the plain service NAME as `/REST`.
 *
 * @param fallbackId request id for a call that brings none.
 * @return an error that says "not run".
 */
[[nodiscard]] expected<identified_call> identify(const http_request &received, const configuration &config,
                                                 const request_id &fallbackId, time_point now);

} // namespace figcleat::request
