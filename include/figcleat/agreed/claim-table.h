#pragma once

#include "figcleat/agreed/commands.h"
#include "figcleat/agreed/snapshot.h"

#include <boost/flyweight.hpp>
#include <map>
#include <optional>
#include <unordered_set>

namespace figcleat::agreed
{

/**
 * Claims on idempotency keys. A key is granted again only after a release under its own fence, or after its life.
 *
 * The caller passes fences that rise and times that never fall.
 */
class claim_table
{
public:
    static constexpr std::size_t maxClaims = 200'000;
    static constexpr std::size_t maxAnswerBytes = std::size_t { 8 } * 1024;
    /** At the bound the answers of the oldest claims are dropped: a resend most often follows within minutes. */
    static constexpr std::size_t maxAllAnswerBytes = std::size_t { 64 } * 1024 * 1024;
    static constexpr std::int64_t lifeMs = std::int64_t { 24 } * 60 * 60 * 1000;
    /** Claims past their life that one claim_key or expire_claims drops, so that no command holds up the others: 20,000
     * take 8 ms. */
    static constexpr std::size_t maxExpiredByClaim = 64;
    static constexpr std::size_t maxExpiredAtOnce = 20'000;

    claim_table() = default;
    // The index points into the map, so a copy would point into the original.
    claim_table(const claim_table &) = delete;
    claim_table &operator=(const claim_table &) = delete;
    claim_table(claim_table &&) = default;
    claim_table &operator=(claim_table &&) = default;
    ~claim_table() = default;

    /** See `outcome` for codes. */
    [[nodiscard]] outcome claim(const claim_key &request, fence_number fence, std::int64_t nowMs);
    /** Codes: ok (also for the same result again), stale_fence, attempt_closed if settled with another result. */
    [[nodiscard]] outcome settle(const settle_claim &result);
    /** Codes: ok, stale_fence (also if already released), attempt_closed if settled. */
    [[nodiscard]] outcome release(const release_claim &request);
    /** Drops at most `limit` claims that are past their life; returns how many. */
    std::size_t expire(std::int64_t nowMs, std::size_t limit = maxExpiredAtOnce);

    [[nodiscard]] std::optional<claim_record> find(const digest &key) const;
    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] std::size_t answerBytes() const;

    void write(snapshot_writer &out) const;
    void read(snapshot_reader &in);

private:
    /** Few names fill the table, so they are shared: three strings of their own would double the memory. */
    using shared_name = boost::flyweight<std::string>;
    struct stored_claim
    {
        digest key;
        digest call;
        digest answerDigest;
        shared_name workspace;
        shared_name service;
        shared_name target;
        incarnation_id targetIncarnation;
        attempt_id attempt;
        std::int64_t claimedMs = 0;
        std::string answer;
        std::uint32_t httpStatus = 0;
        result_code code = result_code::ok;
        bool settled = false;
        bool answerKept = false;
    };
    using claims_by_fence = std::map<std::uint64_t, stored_claim>;
    using position = claims_by_fence::iterator;
    struct key_hash
    {
        using is_transparent = void;
        std::size_t operator()(const digest &key) const;
        std::size_t operator()(position at) const;
    };
    struct key_equal
    {
        using is_transparent = void;
        bool operator()(position a, position b) const;
        bool operator()(const digest &a, position b) const;
        bool operator()(position a, const digest &b) const;
    };

    [[nodiscard]] static claim_record toRecord(std::uint64_t fence, const stored_claim &claim);
    [[nodiscard]] outcome answerFromRecord(const claim_key &request, position held) const;
    [[nodiscard]] position findUnder(const digest &key, fence_number fence);
    void grant(const claim_key &request, fence_number fence, std::int64_t nowMs);
    void keepAnswer(position at, const settle_claim &result);
    void dropAnswer(stored_claim &claim);
    void erase(position at);

    /** In order of claiming, so the first is the oldest. */
    claims_by_fence m_claims;
    std::unordered_set<position, key_hash, key_equal> m_byKey;
    std::size_t m_answerBytes = 0;
    /** Answers of claims up to this fence were dropped and are no longer kept. */
    std::uint64_t m_answerFloor = 0;
};

} // namespace figcleat::agreed
