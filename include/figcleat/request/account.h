#pragma once

#include "figcleat/agreed/commands.h"
#include "figcleat/core/clock.h"
#include "figcleat/core/ids.h"

#include <map>
#include <optional>
#include <utility>

namespace figcleat::request
{

/** Time that use is gathered before it is proposed as one batch. */
inline constexpr duration usageBatchPeriod = std::chrono::seconds(5);
/** Time after which a batch without an answer is proposed again under its old sequence, so that it counts once. */
inline constexpr duration usageRetryPeriod = std::chrono::seconds(5);

/** Last filter of the request path: adds up use and hands it over in batches that may be sent again. */
class usage_account
{
public:
    explicit usage_account(incarnation_id entry);

    void add(const agreed::usage_row &row);
    /** The batch to propose now, if one is due. */
    [[nodiscard]] std::optional<agreed::record_usage> due(time_point now);
    /** The batch with this sequence is recorded. */
    void onRecorded(std::uint64_t sequence);
    [[nodiscard]] bool empty() const;

private:
    incarnation_id m_entry;
    std::uint64_t m_sequence = 0;
    std::map<std::pair<workspace_id, service_id>, agreed::usage_row> m_open;
    /** The batch that was proposed and is not recorded yet; the next one waits for it. */
    std::optional<agreed::record_usage> m_pending;
    time_point m_nextAt;
};

} // namespace figcleat::request
