#include "figcleat/distribution/partners.h"

#include <algorithm>

namespace figcleat::distribution
{

partners::partners(std::uint64_t seed, const peer_address &self, const data_centre_id &dataCentre,
                   const std::vector<gossip_entry> &entries)
    : m_random(seed)
{
    for (const gossip_entry &entry : entries) {
        if (entry.address == self) {
            continue;
        }
        m_all.push_back(entry.address);
        if (entry.dataCentre == dataCentre) {
            m_nearby.push_back(entry.address);
        }
    }
}

std::vector<peer_address> partners::anywhere(std::size_t count)
{
    return pick(m_all, count);
}

std::vector<peer_address> partners::nearby(std::size_t count)
{
    return pick(m_nearby, count);
}

std::vector<peer_address> partners::nearbyFirst(std::size_t count)
{
    return pick(m_nearby.empty() ? m_all : m_nearby, count);
}

std::size_t partners::below(std::size_t bound)
{
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(m_random);
}

std::vector<peer_address> partners::pick(std::vector<peer_address> &from, std::size_t count)
{
    // The first steps of a shuffle: the order of the list does not matter, so it is shuffled in place.
    const std::size_t taken = std::min(count, from.size());
    for (std::size_t i = 0; i < taken; ++i) {
        std::swap(from[i], from[i + below(from.size() - i)]);
    }
    return { from.begin(), from.begin() + static_cast<std::ptrdiff_t>(taken) };
}

} // namespace figcleat::distribution
