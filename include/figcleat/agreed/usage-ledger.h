#pragma once

#include "figcleat/agreed/commands.h"
#include "figcleat/agreed/snapshot.h"

#include <map>
#include <set>

namespace figcleat::agreed
{

/**
 * Totals of use. A batch counts once for each pair of entry incarnation and sequence.
 *
 * Sequences of an incarnation start at 0. All below its floor are taken as counted; at most `windowSize` are
 * remembered above it. When more arrive out of order, the floor rises past the lowest of them, so a batch that is
 * missing for that long is never counted, but none is counted twice.
 *
 * At `maxIncarnations` the one whose last new batch is oldest is retired. Its id is remembered and its later batches
 * are refused with stale_incarnation, so a resend is not counted again; an entry that is refused continues under a
 * new id with batches that it has never proposed. The oldest of `maxRetired` ids is forgotten at the bound: at 64
 * restarts a day a batch would have to be resent after 2.8 years to count twice.
 */
class usage_ledger
{
public:
    static constexpr std::size_t windowSize = 64;
    static constexpr std::size_t maxIncarnations = 1024;
    static constexpr std::size_t maxRetired = 65'536;
    /** Pairs of workspace and service; the design has about 230 by 10. */
    static constexpr std::size_t maxTotals = 65'536;
    static constexpr std::size_t maxRows = 4096;
    /** Largest count in one row, so that a total cannot overflow in the life of a log. */
    static constexpr std::int64_t maxCount = std::int64_t { 1 } << 32;

    /**
     * Codes: ok (with a detail if already counted), stale_incarnation, malformed_request for too many rows or a count
     * out of range, queue_full if a total is new and there are `maxTotals`. A refused batch counts nothing.
     */
    [[nodiscard]] outcome record(const record_usage &batch, log_index index);
    /** Sorted by workspace and service. */
    [[nodiscard]] std::vector<usage_row> totals() const;
    [[nodiscard]] std::size_t incarnations() const;

    void write(snapshot_writer &out) const;
    void read(snapshot_reader &in);

private:
    struct window
    {
        /** Every sequence below is taken as counted. */
        std::uint64_t floor = 0;
        std::set<std::uint64_t> above;
        /** Log index of the last new batch. */
        log_index last;
        MSGPACK_DEFINE(floor, above, last)
    };
    struct total
    {
        request_count requests;
        token_count promptTokens;
        token_count generatedTokens;
        MSGPACK_DEFINE(requests, promptTokens, generatedTokens)
    };
    using total_key = std::pair<workspace_id, service_id>;

    [[nodiscard]] bool hasRoomFor(const std::vector<usage_row> &rows) const;
    void mark(const record_usage &batch, log_index index);
    void retireOldest();
    void rememberRetired(incarnation_id entry);

    std::map<incarnation_id, window> m_windows;
    std::map<std::uint64_t, incarnation_id> m_byLastUse;
    /** Retired incarnations by the order of their retirement. */
    std::map<std::uint64_t, incarnation_id> m_retired;
    std::set<incarnation_id> m_retiredIds;
    std::uint64_t m_retirements = 0;
    std::map<total_key, total> m_totals;
};

} // namespace figcleat::agreed
