#include "figcleat/agreed/claim-table.h"

#include "figcleat/core/invariant.h"

#include <cstring>
#include <tuple>

namespace figcleat::agreed
{

namespace
{

/** About what a claim without its answer takes in a snapshot. */
constexpr std::size_t encodedClaimBytes = 224;

bool isExpired(std::int64_t claimedMs, std::int64_t nowMs)
{
    return nowMs - claimedMs >= claim_table::lifeMs;
}

/** A settlement may carry the digest alone, so an empty answer counts only with the digest of emptiness or none. */
bool carriesAnswer(const settle_claim &result)
{
    static const digest ofNothing = sha256("");
    return !result.answer.empty() || result.answerDigest == ofNothing || result.answerDigest == digest {};
}

outcome staleFence()
{
    return { .code = result_code::stale_fence, .detail = "the key is not claimed under this fence" };
}

} // namespace

std::size_t claim_table::key_hash::operator()(const digest &key) const
{
    // The key is a SHA-256 digest, so any eight bytes of it are spread evenly.
    std::size_t hash = 0;
    std::memcpy(&hash, key.bytes.data(), sizeof(hash));
    return hash;
}

std::size_t claim_table::key_hash::operator()(position at) const
{
    return (*this)(at->second.key);
}

bool claim_table::key_equal::operator()(position a, position b) const
{
    return a->second.key == b->second.key;
}

bool claim_table::key_equal::operator()(const digest &a, position b) const
{
    return a == b->second.key;
}

bool claim_table::key_equal::operator()(position a, const digest &b) const
{
    return a->second.key == b;
}

outcome claim_table::claim(const claim_key &request, fence_number fence, std::int64_t nowMs)
{
    expire(nowMs, maxExpiredByClaim);
    if (const auto known = m_byKey.find(request.key); known != m_byKey.end()) {
        const position held = *known;
        if (!isExpired(held->second.claimedMs, nowMs)) {
            return answerFromRecord(request, held);
        }
        erase(held);
    }
    if (m_claims.size() >= maxClaims) {
        return { .code = result_code::claims_full, .detail = std::to_string(maxClaims) + " keys are claimed" };
    }
    grant(request, fence, nowMs);
    return { .fence = fence, .status = claim_status::granted };
}

outcome claim_table::answerFromRecord(const claim_key &request, position held) const
{
    const stored_claim &claim = held->second;
    if (claim.call != request.call) {
        return { .code = result_code::idempotency_key_reused, .detail = "the key belongs to another call" };
    }
    outcome result;
    result.fence = { held->first };
    result.record = toRecord(held->first, claim);
    result.status = claim.settled ? claim_status::settled : claim_status::held;
    if (!claim.settled) {
        result.code = result_code::still_running;
    } else {
        result.code = claim.code == result_code::ok && !claim.answerKept ? result_code::answer_not_kept : claim.code;
    }
    return result;
}

void claim_table::grant(const claim_key &request, fence_number fence, std::int64_t nowMs)
{
    ensure(m_claims.empty() || m_claims.rbegin()->first < fence.value, result_code::invariant_fence_unique,
           "a claim has no higher fence than the one before");
    const auto [at, isNew] = m_claims.try_emplace(fence.value);
    stored_claim &claim = at->second;
    claim.key = request.key;
    claim.call = request.call;
    claim.workspace = request.workspace.value;
    claim.service = request.service.value;
    claim.target = request.target.value;
    claim.targetIncarnation = request.targetIncarnation;
    claim.attempt = request.attempt;
    claim.claimedMs = nowMs;
    ensure(isNew && m_byKey.insert(at).second, result_code::invariant_at_most_once, "a key is granted twice");
}

outcome claim_table::settle(const settle_claim &result)
{
    const position at = findUnder(result.key, result.fence);
    if (at == m_claims.end()) {
        return staleFence();
    }
    stored_claim &claim = at->second;
    if (claim.settled) {
        const bool same = claim.code == result.code && claim.httpStatus == result.httpStatus
            && claim.answerDigest == result.answerDigest && (!claim.answerKept || claim.answer == result.answer);
        if (same) {
            return { .fence = result.fence };
        }
        return { .code = result_code::attempt_closed, .detail = "the claim is settled with another result" };
    }
    claim.settled = true;
    claim.code = result.code;
    claim.httpStatus = result.httpStatus;
    claim.answerDigest = result.answerDigest;
    keepAnswer(at, result);
    return { .fence = result.fence };
}

void claim_table::keepAnswer(position at, const settle_claim &result)
{
    if (result.answer.size() > maxAnswerBytes || !carriesAnswer(result) || at->first <= m_answerFloor) {
        return;
    }
    at->second.answer = result.answer;
    at->second.answerKept = true;
    m_answerBytes += result.answer.size();
    for (auto oldest = m_claims.upper_bound(m_answerFloor); m_answerBytes > maxAllAnswerBytes; ++oldest) {
        ensure(oldest != m_claims.end(), result_code::invariant_internal, "the count of answer bytes is wrong");
        dropAnswer(oldest->second);
        m_answerFloor = oldest->first;
    }
}

void claim_table::dropAnswer(stored_claim &claim)
{
    m_answerBytes -= claim.answer.size();
    claim.answer = std::string {};
    claim.answerKept = false;
}

outcome claim_table::release(const release_claim &request)
{
    const position at = findUnder(request.key, request.fence);
    if (at == m_claims.end()) {
        return staleFence();
    }
    if (at->second.settled) {
        return { .code = result_code::attempt_closed, .detail = "the claim is settled" };
    }
    erase(at);
    return { .fence = request.fence };
}

std::size_t claim_table::expire(std::int64_t nowMs, std::size_t limit)
{
    std::size_t dropped = 0;
    while (dropped < limit && !m_claims.empty() && isExpired(m_claims.begin()->second.claimedMs, nowMs)) {
        erase(m_claims.begin());
        ++dropped;
    }
    return dropped;
}

std::optional<claim_record> claim_table::find(const digest &key) const
{
    const auto known = m_byKey.find(key);
    if (known == m_byKey.end()) {
        return std::nullopt;
    }
    return toRecord((*known)->first, (*known)->second);
}

std::size_t claim_table::size() const
{
    return m_claims.size();
}

std::size_t claim_table::answerBytes() const
{
    return m_answerBytes;
}

claim_record claim_table::toRecord(std::uint64_t fence, const stored_claim &claim)
{
    return { .call = claim.call,
             .workspace = { claim.workspace.get() },
             .service = { claim.service.get() },
             .target = { claim.target.get() },
             .targetIncarnation = claim.targetIncarnation,
             .attempt = claim.attempt,
             .fence = { fence },
             .claimedMs = claim.claimedMs,
             .settled = claim.settled,
             .code = claim.code,
             .httpStatus = claim.httpStatus,
             .answer = claim.answer,
             .answerDigest = claim.answerDigest,
             .answerKept = claim.answerKept };
}

claim_table::position claim_table::findUnder(const digest &key, fence_number fence)
{
    const auto at = m_claims.find(fence.value);
    return at != m_claims.end() && at->second.key == key ? at : m_claims.end();
}

void claim_table::erase(position at)
{
    m_answerBytes -= at->second.answer.size();
    m_byKey.erase(at);
    m_claims.erase(at);
}

void claim_table::write(snapshot_writer &out) const
{
    out.put(m_answerFloor);
    out.put(static_cast<std::uint64_t>(m_claims.size()));
    out.reserve(m_claims.size() * encodedClaimBytes + m_answerBytes);
    for (const auto &[fence, claim] : m_claims) {
        out.put(claim.key);
        // The fields of claim_record in its order, an id as the tuple of its name; a struct would copy the strings.
        out.putArray(claim.call, std::tie(claim.workspace.get()), std::tie(claim.service.get()),
                     std::tie(claim.target.get()), claim.targetIncarnation, claim.attempt, fence_number { fence },
                     claim.claimedMs, claim.settled, claim.code, claim.httpStatus, claim.answer, claim.answerDigest,
                     claim.answerKept);
    }
}

void claim_table::read(snapshot_reader &in)
{
    m_answerFloor = in.take<std::uint64_t>();
    const std::size_t count = in.takeCount(maxClaims);
    m_byKey.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        const auto key = in.take<digest>();
        const auto record = in.take<claim_record>();
        in.require(m_claims.empty()
                   || (m_claims.rbegin()->first < record.fence.value
                       && m_claims.rbegin()->second.claimedMs <= record.claimedMs));
        in.require(m_byKey.find(key) == m_byKey.end());
        grant({ .key = key,
                .call = record.call,
                .workspace = record.workspace,
                .service = record.service,
                .target = record.target,
                .targetIncarnation = record.targetIncarnation,
                .attempt = record.attempt },
              record.fence, record.claimedMs);
        stored_claim &claim = m_claims.rbegin()->second;
        claim.settled = record.settled;
        claim.code = record.code;
        claim.httpStatus = record.httpStatus;
        claim.answer = record.answer;
        claim.answerDigest = record.answerDigest;
        claim.answerKept = record.answerKept;
        m_answerBytes += claim.answer.size();
    }
    in.require(m_answerBytes <= maxAllAnswerBytes);
}

} // namespace figcleat::agreed
