#pragma once

#include "figcleat/core/ids.h"

#include <random>
#include <vector>

namespace figcleat::distribution
{

/** An entry as the settings of a process list it. */
struct gossip_entry
{
    peer_address address;
    data_centre_id dataCentre;
};

/** Seeded choice of the entries that a process sends its next heartbeats to. Never chooses the process itself. */
class partners
{
public:
    partners(std::uint64_t seed, const peer_address &self, const data_centre_id &dataCentre,
             const std::vector<gossip_entry> &entries);

    /** Up to `count` different entries of all data centres. */
    [[nodiscard]] std::vector<peer_address> anywhere(std::size_t count);
    /** Up to `count` different entries of the process's own data centre. */
    [[nodiscard]] std::vector<peer_address> nearby(std::size_t count);
    /** As `nearby`, or `anywhere` if the data centre has no entry. */
    [[nodiscard]] std::vector<peer_address> nearbyFirst(std::size_t count);
    /** A number below `bound`, from the same seed. */
    [[nodiscard]] std::size_t below(std::size_t bound);

private:
    [[nodiscard]] std::vector<peer_address> pick(std::vector<peer_address> &from, std::size_t count);

    std::mt19937_64 m_random;
    std::vector<peer_address> m_all;
    std::vector<peer_address> m_nearby;
};

} // namespace figcleat::distribution
