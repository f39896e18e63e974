#include "figcleat/daemon/replica-messages.h"

#include <algorithm>

namespace figcleat
{

bool isOut(const configuration &config, const std::vector<data_centre_id> &out, const data_centre_id &dataCentre)
{
    const data_centre *known = findDataCentre(config, dataCentre);
    const bool byFile = known != nullptr && !known->inService;
    return byFile || std::find(out.begin(), out.end(), dataCentre) != out.end();
}

distribution::replica_settings replicaSettings(const daemon_settings &settings, distribution::replica_role role,
                                               std::uint64_t seed)
{
    distribution::replica_settings replica;
    replica.self = peer_address { toString(settings.mailbox.address) };
    replica.dataCentre = settings.dataCentre;
    replica.role = role;
    replica.seed = seed;
    const auto &nearby = settings.mailbox.nearby;
    for (const auto &peer : settings.mailbox.peers) {
        const bool isNear = std::find(nearby.begin(), nearby.end(), peer) != nearby.end();
        replica.entries.push_back({ peer, isNear ? settings.dataCentre : data_centre_id {} });
    }
    replica.fileTakesOut = [own = settings.dataCentre](const std::string &content) {
        const auto config = parseConfiguration(content, "configuration in force");
        return config && isOut(*config, {}, own);
    };
    return replica;
}

} // namespace figcleat
