#pragma once

#include "figcleat/agreed/commands.h"
#include "figcleat/agreed/snapshot.h"

#include <map>
#include <optional>

namespace figcleat::agreed
{

struct fence_holder
{
    std::string holder;
    fence_number fence;

    bool operator==(const fence_holder &) const = default;
    MSGPACK_DEFINE(holder, fence)
};

/**
 * Last holder of each subject's fence.
 *
 * At the bound the subject whose fence is lowest is forgotten. That loses only the answer to "who holds it": its
 * next fence is a later log index and so still the highest.
 */
class fence_table
{
public:
    static constexpr std::size_t maxSubjects = 4096;

    /** Every command gets a new fence, also one from the same holder. Codes: ok. */
    [[nodiscard]] outcome issue(const issue_fence &request, fence_number fence);
    [[nodiscard]] std::optional<fence_holder> find(const std::string &subject) const;
    [[nodiscard]] std::size_t size() const;

    void write(snapshot_writer &out) const;
    void read(snapshot_reader &in);

private:
    std::map<std::string, fence_holder> m_holders;
    std::map<std::uint64_t, std::string> m_subjectByFence;
};

} // namespace figcleat::agreed
