#include "figcleat/core/invariant.h"
#include "figcleat/daemon/entry-node.h"

#include <algorithm>
#include <fmt/format.h>

/** What an entry tells operators and does for them. */
namespace figcleat
{

namespace
{

// Entries that answer later are not part of a report.
constexpr duration gatheringTime = std::chrono::milliseconds(500);

std::int64_t toMillis(duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

std::string_view toString(target_state state)
{
    switch (state) {
    case target_state::cold:
        return "cold";
    case target_state::warm:
        return "warm";
    case target_state::leaving:
        return "leaving";
    }
    return "unknown";
}

} // namespace

void entry_node::propose(agreed::command command, decision_function decide)
{
    submit(std::move(command), std::move(decide));
}

void entry_node::changeMembership(bool add, const peer_address &voter, decision_function decide)
{
    const auto leader = leaderHint();
    if (leader.empty()) {
        decide(result_code::agreement_unavailable, {});
        return;
    }
    const std::uint64_t id = ++m_lastId;
    m_membershipChanges[id] = { std::move(decide), m_time->now() + proposalTimeout };
    m_messenger->send(leader, membership_request { id, add, voter });
}

void entry_node::readUsage(usage_function answer)
{
    const auto leader = leaderHint();
    if (leader.empty()) {
        answer(result_code::agreement_unavailable, {});
        return;
    }
    const std::uint64_t id = ++m_lastId;
    m_usageReads[id] = { std::move(answer), m_time->now() + proposalTimeout };
    m_messenger->send(leader, usage_query { id });
}

void entry_node::readServiceLevels(burn_function answer)
{
    const std::uint64_t id = ++m_lastId;
    auto &gathering = m_gatherings[id];
    gathering.answer = std::move(answer);
    gathering.deadline = m_time->now() + gatheringTime;
    for (auto &summary : m_levels.held(m_time->now())) {
        (void)gathering.merger.accept(std::move(summary), m_time->now());
    }
    for (const auto &peer : m_settings.mailbox.peers) {
        m_messenger->send(peer, summary_query { id });
    }
}

void entry_node::on(const peer_address &from, const summary_query &message)
{
    for (auto &summary : m_levels.held(m_time->now())) {
        m_messenger->send(from, summary_answer { message.id, std::move(summary) });
    }
}

void entry_node::on(const peer_address & /*from*/, const summary_answer &message)
{
    if (message.id == 0) {
        m_levels.keep(message.summary, m_time->now());
        return;
    }
    const auto found = m_gatherings.find(message.id);
    if (found != m_gatherings.end()) {
        (void)found->second.merger.accept(message.summary, m_time->now());
    }
}

void entry_node::finishGathering()
{
    for (auto it = m_gatherings.begin(); it != m_gatherings.end();) {
        if (m_time->now() < it->second.deadline) {
            ++it;
            continue;
        }
        const auto levels = it->second.merger.merged(m_time->now());
        const configuration none;
        it->second.answer(report::burn(levels, m_config ? *m_config : none, m_time->wallNow()));
        it = m_gatherings.erase(it);
    }
}

void entry_node::giveUpQuestions()
{
    const auto giveUpLate = [now = m_time->now()](auto &questions) {
        std::erase_if(questions, [now](const auto &entry) {
            const bool late = now >= entry.second.deadline;
            if (late) {
                entry.second.answer(result_code::agreement_unavailable, {});
            }
            return late;
        });
    };
    giveUpLate(m_usageReads);
    giveUpLate(m_membershipChanges);
}

void entry_node::sendSummaryCopies()
{
    if (m_time->now() < m_nextSummary) {
        return;
    }
    m_nextSummary = m_time->now() + summaryPeriod;
    const auto &peers = m_settings.mailbox.peers;
    const auto summary = m_levels.summarise(m_time->now());
    // The peers that follow this one in the order of addresses, so that copies spread over all entries.
    auto next = std::upper_bound(peers.begin(), peers.end(), m_messenger->self());
    for (std::size_t i = 0; i < std::min(summaryCopies, peers.size()); ++i) {
        next = next == peers.end() ? peers.begin() : next;
        m_messenger->send(*next++, summary_answer { 0, summary });
    }
}

bool entry_node::overrideLocally(const data_centre_id &dataCentre, bool out)
{
    if (dataCentre != m_settings.dataCentre) {
        return false;
    }
    step(distribution::replica_event { distribution::override_requested { out } });
    return true;
}

const agreed::configuration_in_force &entry_node::inForce() const
{
    return m_replica.configuration();
}

nlohmann::json entry_node::status() const
{
    const auto &held = m_replica.configuration();
    nlohmann::json out = nlohmann::json::array();
    for (const auto &name : held.dataCentresOut) {
        out.push_back(name.value);
    }
    return { { "vm", m_settings.vm.value },
             { "data_centre", m_settings.dataCentre.value },
             { "revision", held.revision.value },
             { "number", held.number },
             { "data_centres_out", out },
             { "out_locally", m_replica.isOutLocally() },
             { "requests_in_progress", m_pipeline.requestsInProgress() },
             { "control", controlStatus() },
             { "entries", peerStatus() },
             { "targets", targetStatus() } };
}

nlohmann::json entry_node::controlStatus() const
{
    if (!m_control) {
        return { { "role", "none" }, { "leader", leaderHint().value } };
    }
    const auto log = m_control->status();
    nlohmann::json members = nlohmann::json::array();
    for (const auto &follower : log.members) {
        members.push_back({ { "address", follower.who.address.value },
                            { "role", follower.who.role == consensus::member_role::voter ? "voter" : "learner" },
                            { "match", follower.match.value },
                            { "reachable", follower.reachable } });
    }
    return { { "role", consensus::toString(log.role) },
             { "term", log.term.value },
             { "leader", log.leader.value_or(peer_address {}).value },
             { "commit", log.commit.value },
             { "last", log.last.value },
             { "claims", m_control->state().claimCount() },
             { "members", members } };
}

nlohmann::json entry_node::peerStatus() const
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto &[address, peer] : m_peers) {
        if (peer.vm.empty()) {
            continue;
        }
        list.push_back({ { "vm", peer.vm.value },
                         { "address", address.value },
                         { "data_centre", peer.dataCentre.value },
                         { "revision", peer.revision.value },
                         { "voter", peer.isVoter },
                         { "requests_in_progress", peer.requestsInProgress },
                         { "age_ms", toMillis(m_messenger->silenceOf(address).value_or(duration(-1))) } });
    }
    return list;
}

nlohmann::json entry_node::targetStatus() const
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto &[name, known] : m_pipeline.targets().all()) {
        const auto &report = known.report;
        list.push_back({ { "target", name.value },
                         { "service", report.service.value },
                         { "data_centre", report.dataCentre.value },
                         { "group", report.group.value },
                         { "rank", report.rank },
                         { "state", known.silent ? "silent" : toString(report.state) },
                         { "limit", report.limit.requests.count },
                         { "in_progress", (report.limit - report.spare).requests.count },
                         { "revision", report.revision.value },
                         { "age_ms", toMillis(m_time->now() - known.heardAt) } });
    }
    return list;
}

std::string entry_node::metrics() const
{
    report::metrics_text page;
    for (const auto &[code, count] : m_ended) {
        page.counter("figcleat_requests_total", "Requests by result code.",
                     fmt::format("code=\"{}\",name=\"{}\"", static_cast<int>(code), describe(code).name), count);
    }
    page.gauge("figcleat_requests_in_progress", "Requests without their final answer.", {},
               static_cast<double>(m_pipeline.requestsInProgress()));
    m_messenger->writeMetrics(page);
    page.gauge("figcleat_configuration_revision", "Revision of the configuration in force.", {},
               static_cast<double>(m_replica.configuration().revision.value));
    page.counter("figcleat_invariant_violations_total", "Violations of invariants.", {}, violationCount());
    m_levels.writeMetrics(page);
    return page.text();
}

} // namespace figcleat
