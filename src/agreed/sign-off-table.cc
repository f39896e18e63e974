#include "figcleat/agreed/sign-off-table.h"

namespace figcleat::agreed
{

outcome sign_off_table::record(const record_sign_off &signOff, log_index index)
{
    if (contains(signOff.target, signOff.startedMs)) {
        return {};
    }
    const auto known = m_targets.find(signOff.target);
    if (known != m_targets.end()) {
        m_byIndex.erase(known->second.index);
    } else if (m_targets.size() >= maxTargets) {
        m_targets.erase(m_byIndex.begin()->second);
        m_byIndex.erase(m_byIndex.begin());
    }
    m_targets[signOff.target] = { signOff.startedMs, index.value };
    m_byIndex[index.value] = signOff.target;
    return {};
}

bool sign_off_table::contains(const target_id &target, std::int64_t startedMs) const
{
    const auto known = m_targets.find(target);
    return known != m_targets.end() && startedMs <= known->second.startedMs;
}

std::vector<record_sign_off> sign_off_table::all() const
{
    std::vector<record_sign_off> list;
    list.reserve(m_byIndex.size());
    for (const auto &[index, target] : m_byIndex) {
        list.push_back({ target, m_targets.at(target).startedMs });
    }
    return list;
}

void sign_off_table::write(snapshot_writer &out) const
{
    out.put(m_targets);
}

void sign_off_table::read(snapshot_reader &in)
{
    m_targets = in.take<std::map<target_id, entry>>();
    in.require(m_targets.size() <= maxTargets);
    for (const auto &[target, held] : m_targets) {
        in.require(m_byIndex.emplace(held.index, target).second);
    }
}

} // namespace figcleat::agreed
