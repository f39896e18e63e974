#pragma once

#include "figcleat/forward/node-messages.h"

#include <map>
#include <memory>
#include <optional>

namespace figcleat::forward
{

/** The latest configurations, from which a coordinator makes the deltas that it sends to fronts. */
class configuration_history
{
public:
    static constexpr std::size_t maxConfigurations = 8;
    /** The newest configuration is kept whatever its size. */
    static constexpr std::size_t maxBytes = std::size_t { 8 } * 1024 * 1024;

    /** Revisions rise; a revision that is not higher than the newest is ignored. */
    void add(const agreed::configuration_in_force &configuration);
    /** The change from `base` to the newest configuration; empty if `base` is not kept or a copy is as short. */
    [[nodiscard]] std::shared_ptr<const configuration_delta> deltaFrom(revision_number base);
    /** Bytes to send to a front that has `base`. */
    [[nodiscard]] std::size_t sizeFrom(revision_number base);

private:
    struct cached_delta
    {
        std::shared_ptr<const configuration_delta> delta;
        std::size_t bytes = 0;
    };

    [[nodiscard]] const cached_delta &cachedFrom(revision_number base);

    std::map<revision_number, agreed::configuration_in_force> m_configurations;
    /** By base, to the newest configuration. */
    std::map<revision_number, cached_delta> m_deltas;
};

/**
 * The configuration that results from `delta` at a node that has the configuration of `revision` with `content`; empty
 * if the delta starts from another one or does not lead to the configuration that was sent.
 */
[[nodiscard]] std::optional<agreed::configuration_in_force>
applyConfigurationDelta(const configuration_delta &delta, revision_number revision, const std::string &content);

} // namespace figcleat::forward
