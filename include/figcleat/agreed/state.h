#pragma once

#include "figcleat/agreed/claim-table.h"
#include "figcleat/agreed/commands.h"
#include "figcleat/agreed/configurations.h"
#include "figcleat/agreed/fence-table.h"
#include "figcleat/agreed/sign-off-table.h"
#include "figcleat/agreed/usage-ledger.h"

namespace figcleat::agreed
{

/**
 * State that the replicated log drives; copies that apply the same commands are equal in every byte of a snapshot.
 *
 * It reads no clock: time is the highest that any command carried, so an earlier time never brings a claim back.
 *
 *     agreed::state copy;
 *     const auto answer = copy.apply({ 7 }, agreed::issue_fence { "group/assistant-1", "windhoek-north-1" });
 */
class state
{
public:
    /** Longest name in a command, in bytes; longer ones get malformed_request. */
    static constexpr std::size_t maxNameBytes = 256;

    /** Indexes rise; they may have gaps, for entries of the log that are no commands. */
    [[nodiscard]] outcome apply(log_index index, const command &what);

    [[nodiscard]] std::string snapshot() const;
    /** Codes: unsupported_version, log_damaged. */
    [[nodiscard]] static expected<state> restore(std::string_view bytes);

    [[nodiscard]] log_index lastApplied() const;
    [[nodiscard]] std::int64_t nowMs() const;
    /** Revision 0 means that no file was accepted yet. */
    [[nodiscard]] const configuration_in_force &configuration() const;
    [[nodiscard]] std::optional<claim_record> claim(const digest &key) const;
    [[nodiscard]] std::size_t claimCount() const;
    [[nodiscard]] std::size_t answerBytes() const;
    [[nodiscard]] std::optional<fence_holder> fence(const std::string &subject) const;
    [[nodiscard]] std::vector<usage_row> usageTotals() const;
    [[nodiscard]] const sign_off_table &signOffs() const;

private:
    [[nodiscard]] outcome run(const submit_configuration &what);
    [[nodiscard]] outcome run(const set_data_centre &what);
    [[nodiscard]] outcome run(const claim_key &what);
    [[nodiscard]] outcome run(const settle_claim &what);
    [[nodiscard]] outcome run(const release_claim &what);
    [[nodiscard]] outcome run(const issue_fence &what);
    [[nodiscard]] outcome run(const record_usage &what);
    [[nodiscard]] outcome run(const expire_claims &what);
    [[nodiscard]] outcome run(const record_sign_off &what);
    /** The index of the command at hand as a fence. */
    [[nodiscard]] fence_number newFence();
    void advanceTime(std::int64_t nowMs);

    log_index m_applied;
    fence_number m_lastFence;
    std::int64_t m_nowMs = 0;
    configurations m_configurations;
    claim_table m_claims;
    fence_table m_fences;
    usage_ledger m_usage;
    sign_off_table m_signOffs;
};

} // namespace figcleat::agreed
