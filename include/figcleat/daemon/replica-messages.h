#pragma once

#include "figcleat/daemon/process-message.h"
#include "figcleat/distribution/replica.h"
#include "figcleat/settings/configuration.h"
#include "figcleat/settings/daemon-settings.h"

#include <optional>

namespace figcleat
{

/** True if the file or a later command of the operators takes the data centre out of service. */
[[nodiscard]] bool isOut(const configuration &config, const std::vector<data_centre_id> &out,
                         const data_centre_id &dataCentre);

[[nodiscard]] distribution::replica_settings replicaSettings(const daemon_settings &settings,
                                                             distribution::replica_role role, std::uint64_t seed);

/** The replica's event for a message of distribution; none for other messages. */
template<typename Message>
[[nodiscard]] std::optional<distribution::replica_event> replicaEvent(const peer_address &from, const Message &message)
{
    if constexpr (std::is_same_v<Message, distribution::heartbeat>) {
        return distribution::heartbeat_received { from, message };
    } else if constexpr (std::is_same_v<Message, distribution::fetch_configuration>) {
        return distribution::fetch_received { from, message };
    } else if constexpr (std::is_same_v<Message, distribution::fetch_declined>) {
        return distribution::decline_received { from, message };
    } else if constexpr (std::is_same_v<Message, distribution::configuration_copy>) {
        return distribution::configuration_received { from, message };
    } else {
        return std::nullopt;
    }
}

} // namespace figcleat
