#pragma once

#include "figcleat/agreed/commands.h"
#include "figcleat/agreed/snapshot.h"

#include <map>

namespace figcleat::agreed
{

/** Which content won each number, and the configuration in force. */
class configurations
{
public:
    /** Numbers that are remembered; at 760 changes a day a resend is recognised for five days. */
    static constexpr std::size_t maxNumbers = 4096;
    static constexpr std::size_t maxOverrides = 256;

    /**
     * Codes: ok, configuration_number_taken (the detail is the digest that won), configuration_number_too_low (also
     * for a number that is no longer remembered, since nothing proves that its content is the same).
     */
    [[nodiscard]] outcome submit(const submit_configuration &file, log_index index);
    /**
     * Codes: ok, not_configured before the first file, unknown_data_centre above the bound of overrides. The first
     * override of a data centre raises the revision even if the file says the same, which the state does not read.
     */
    [[nodiscard]] outcome set(const set_data_centre &change, log_index index);

    /** Revision 0 means that no file was accepted yet. */
    [[nodiscard]] const configuration_in_force &inForce() const;

    void write(snapshot_writer &out) const;
    void read(snapshot_reader &in);

private:
    struct accepted_file
    {
        digest content;
        revision_number revision;
        MSGPACK_DEFINE(content, revision)
    };

    struct data_centre_override
    {
        bool inService = true;
        revision_number since;
        MSGPACK_DEFINE(inService, since)
    };

    void advance(log_index index);
    void listOverrides();

    std::map<std::uint64_t, accepted_file> m_accepted;
    std::map<data_centre_id, data_centre_override> m_overrides;
    configuration_in_force m_inForce;
};

} // namespace figcleat::agreed
