#pragma once

#include "figcleat/agreed/commands.h"
#include "figcleat/agreed/snapshot.h"

#include <map>

namespace figcleat::agreed
{

/**
 * Targets that have signed off, with the latest start that did.
 *
 * At the bound the target that signed off first is forgotten. Its process has ended by then, so only registrations that
 * are late by as many sign-offs could bring it back.
 */
class sign_off_table
{
public:
    static constexpr std::size_t maxTargets = 512;

    /** Codes: ok, also if this start or a later one is recorded already. */
    [[nodiscard]] outcome record(const record_sign_off &signOff, log_index index);
    /** True if this start of the target or a later one has signed off. */
    [[nodiscard]] bool contains(const target_id &target, std::int64_t startedMs) const;
    /** From the first sign-off to the last. */
    [[nodiscard]] std::vector<record_sign_off> all() const;

    void write(snapshot_writer &out) const;
    void read(snapshot_reader &in);

private:
    struct entry
    {
        std::int64_t startedMs = 0;
        std::uint64_t index = 0;
        MSGPACK_DEFINE(startedMs, index)
    };

    std::map<target_id, entry> m_targets;
    std::map<std::uint64_t, target_id> m_byIndex;
};

} // namespace figcleat::agreed
