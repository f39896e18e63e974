#include "figcleat/agreed/configurations.h"

#include "figcleat/core/invariant.h"

namespace figcleat::agreed
{

outcome configurations::submit(const submit_configuration &file, log_index index)
{
    const digest content = sha256(file.content);
    const auto known = m_accepted.find(file.number);
    if (known != m_accepted.end()) {
        if (known->second.content != content) {
            return { .code = result_code::configuration_number_taken, .detail = toHex(known->second.content) };
        }
        return { .revision = known->second.revision };
    }
    if (file.number <= m_inForce.number) {
        return { .code = result_code::configuration_number_too_low,
                 .detail = "the highest accepted number is " + std::to_string(m_inForce.number) };
    }
    ensure(m_accepted.empty() || m_accepted.rbegin()->first < file.number, result_code::invariant_configuration_order,
           "an accepted number is above the number in force");
    advance(index);
    m_accepted.emplace(file.number, accepted_file { content, m_inForce.revision });
    if (m_accepted.size() > maxNumbers) {
        m_accepted.erase(m_accepted.begin());
    }
    m_inForce.number = file.number;
    m_inForce.content = file.content;
    for (const data_centre_id &named : file.dataCentres) {
        m_overrides.erase(named);
    }
    listOverrides();
    return { .revision = m_inForce.revision };
}

outcome configurations::set(const set_data_centre &change, log_index index)
{
    if (m_inForce.revision.value == 0) {
        return { .code = result_code::not_configured, .detail = "no file was accepted yet" };
    }
    const auto known = m_overrides.find(change.dataCentre);
    if (known != m_overrides.end() && known->second.inService == change.inService) {
        return { .revision = m_inForce.revision };
    }
    if (known == m_overrides.end() && m_overrides.size() >= maxOverrides) {
        return { .code = result_code::unknown_data_centre,
                 .detail = std::to_string(maxOverrides) + " data centres have an override" };
    }
    advance(index);
    m_overrides[change.dataCentre] = { change.inService, m_inForce.revision };
    listOverrides();
    return { .revision = m_inForce.revision };
}

const configuration_in_force &configurations::inForce() const
{
    return m_inForce;
}

void configurations::advance(log_index index)
{
    ensure(index.value > m_inForce.revision.value, result_code::invariant_configuration_order,
           "a change has no higher revision than the configuration in force");
    m_inForce.revision = { index.value };
}

void configurations::listOverrides()
{
    m_inForce.dataCentresOut.clear();
    m_inForce.dataCentresIn.clear();
    for (const auto &[name, held] : m_overrides) {
        if (held.inService) {
            m_inForce.dataCentresIn.push_back({ name, held.since });
        } else {
            m_inForce.dataCentresOut.push_back(name);
        }
    }
}

void configurations::write(snapshot_writer &out) const
{
    out.put(m_inForce.revision);
    out.put(m_inForce.number);
    out.put(m_inForce.content);
    out.put(m_overrides);
    out.put(m_accepted);
}

void configurations::read(snapshot_reader &in)
{
    m_inForce.revision = in.take<revision_number>();
    m_inForce.number = in.take<std::uint64_t>();
    m_inForce.content = in.take<std::string>();
    m_overrides = in.take<std::map<data_centre_id, data_centre_override>>();
    m_accepted = in.take<std::map<std::uint64_t, accepted_file>>();
    in.require(m_overrides.size() <= maxOverrides && m_accepted.size() <= maxNumbers);
    in.require(m_accepted.empty() == (m_inForce.revision.value == 0));
    if (!m_accepted.empty()) {
        const auto &[number, file] = *m_accepted.rbegin();
        in.require(number == m_inForce.number && file.content == sha256(m_inForce.content)
                   && file.revision <= m_inForce.revision);
    }
    listOverrides();
}

} // namespace figcleat::agreed
