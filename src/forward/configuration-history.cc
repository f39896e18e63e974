#include "figcleat/forward/configuration-history.h"

#include "figcleat/core/digest.h"
#include "figcleat/wire/codec.h"

#include <numeric>

namespace figcleat::forward
{

void configuration_history::add(const agreed::configuration_in_force &configuration)
{
    if (!m_configurations.empty() && configuration.revision <= m_configurations.rbegin()->first) {
        return;
    }
    m_configurations.emplace(configuration.revision, configuration);
    m_deltas.clear();
    const auto bytes = [this] {
        return std::accumulate(m_configurations.begin(), m_configurations.end(), std::size_t { 0 },
                               [](std::size_t sum, const auto &item) { return sum + item.second.content.size(); });
    };
    while (m_configurations.size() > 1 && (m_configurations.size() > maxConfigurations || bytes() > maxBytes)) {
        m_configurations.erase(m_configurations.begin());
    }
}

const configuration_history::cached_delta &configuration_history::cachedFrom(revision_number base)
{
    const auto known = m_deltas.find(base);
    if (known != m_deltas.end()) {
        return known->second;
    }
    const auto &newest = m_configurations.rbegin()->second;
    cached_delta made { nullptr, newest.content.size() };
    if (const auto old = m_configurations.find(base); old != m_configurations.end() && base < newest.revision) {
        configuration_delta delta { base, newest, checksum(newest.content), {} };
        delta.result.content.clear();
        delta.pieces = makeDelta(old->second.content, newest.content);
        if (const auto size = sizeOf(delta.pieces); size < made.bytes) {
            made = { std::make_shared<const configuration_delta>(std::move(delta)), size };
        }
    }
    // Fronts may report any revision, so bases that are not kept share one entry.
    return m_deltas[m_configurations.contains(base) ? base : revision_number {}] = std::move(made);
}

std::shared_ptr<const configuration_delta> configuration_history::deltaFrom(revision_number base)
{
    return m_configurations.empty() ? nullptr : cachedFrom(base).delta;
}

std::size_t configuration_history::sizeFrom(revision_number base)
{
    return m_configurations.empty() ? 0 : cachedFrom(base).bytes;
}

std::optional<agreed::configuration_in_force>
applyConfigurationDelta(const configuration_delta &delta, revision_number revision, const std::string &content)
{
    if (delta.base != revision) {
        return std::nullopt;
    }
    auto changed = applyDelta(content, delta.pieces, maxMessageBytes);
    if (!changed || checksum(*changed) != delta.checksum) {
        return std::nullopt;
    }
    auto result = delta.result;
    result.content = std::move(*changed);
    return result;
}

} // namespace figcleat::forward
