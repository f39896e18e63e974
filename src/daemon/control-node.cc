#include "figcleat/daemon/control-node.h"

#include "figcleat/core/log.h"
#include "figcleat/wire/codec.h"

namespace figcleat
{

namespace
{

// Proposals are answered in the step that applies them, so few outcomes wait.
constexpr std::size_t maxOutcomesKept = 1024;
// A full disk is tried again after this time.
constexpr duration reopenPause = std::chrono::seconds(2);
constexpr duration expiryPeriod = std::chrono::minutes(1);

auto logger()
{
    return logFor(part::consensus);
}

} // namespace

expected<std::unique_ptr<control_node>> control_node::open(const control_settings &settings, const peer_address &self,
                                                           std::uint64_t random, parts wiring)
{
    auto opened = std::unique_ptr<control_node>(new control_node(settings, self, random, std::move(wiring)));
    if (const auto done = opened->reopen(); !done) {
        return tl::unexpected<error>(done.error());
    }
    return opened;
}

control_node::control_node(const control_settings &settings, const peer_address &self, std::uint64_t random,
                           parts wiring)
    : m_parts(std::move(wiring))
    , m_dataFolder(settings.dataFolder)
    , m_random(random)
{
    m_log.self = self;
    m_log.voters = settings.voters;
    m_log.automaticSeats = settings.automaticSeats;
    m_log.mayFound = settings.mayFound;
    m_log.seed = random;
    m_flush = m_parts.eventLoop->deferred([this] { flush(); });
}

expected<void> control_node::reopen()
{
    m_store.reset();
    auto folder = consensus::openFolder(m_dataFolder);
    if (!folder) {
        return tl::unexpected<error>(folder.error());
    }
    auto store = consensus::log_store::open(std::move(*folder), consensus::voter_identity { m_random() | 1U });
    if (!store) {
        return tl::unexpected<error>(store.error());
    }
    if (store->tornBytes() > 0) {
        logger()->warn("The last record was torn; {} bytes are cut ({}).", store->tornBytes(),
                       static_cast<int>(result_code::log_tail_torn));
    }
    auto restored = store->takeRestored();
    agreed::state initial;
    if (restored.base.index != log_index {}) {
        auto decoded = agreed::state::restore(restored.base.bytes);
        if (!decoded) {
            return tl::unexpected<error>(decoded.error());
        }
        initial = std::move(*decoded);
    }
    m_store.emplace(std::move(*store));
    m_state = std::move(initial);
    m_unsynced = 0;
    m_outcomes.clear();
    m_raft.emplace(m_log, std::move(restored), m_parts.time->now());
    announceSignOffs();
    announceIfChanged();
    return {};
}

void control_node::reopenIfHalted()
{
    if (!m_reopenAt || m_parts.time->now() < *m_reopenAt) {
        return;
    }
    m_reopenAt.reset();
    if (m_haltCode == result_code::identity_mismatch) {
        if (const auto done = consensus::setAside(m_dataFolder); !done) {
            logger()->error("The data folder cannot be set aside: {}.", done.error().detail);
            m_reopenAt = m_parts.time->now() + reopenPause;
            return;
        }
    }
    if (const auto done = reopen(); !done) {
        logger()->error("The data folder cannot be opened: {} ({}).", done.error().detail,
                        static_cast<int>(done.error().code));
        m_reopenAt = m_parts.time->now() + reopenPause;
        return;
    }
    logger()->info("The data folder is open again.");
}

const agreed::state &control_node::state() const
{
    return m_state;
}

consensus::raft_status control_node::status() const
{
    return m_raft->status();
}

void control_node::receive(const peer_address &from, const consensus::raft_message &message)
{
    step(consensus::receive { from, message });
}

std::uint64_t control_node::add(answer_function answer)
{
    m_answers.emplace(++m_lastId, std::move(answer));
    return m_lastId;
}

void control_node::propose(agreed::command command, answer_function answer)
{
    if (!m_store) {
        answer(result_code::not_leader, {});
        return;
    }
    const std::int64_t nowMs = m_parts.time->wallNow().time_since_epoch().count();
    // The leader's clock counts, so that entries with a wrong clock cannot expire claims.
    if (auto *claim = std::get_if<agreed::claim_key>(&command)) {
        claim->nowMs = nowMs;
    }
    step(consensus::propose { add(std::move(answer)), encode(command) });
}

void control_node::read(read_function answer)
{
    if (!m_store) {
        answer(result_code::not_leader);
        return;
    }
    m_reads.emplace(++m_lastId, std::move(answer));
    step(consensus::read { m_lastId });
}

void control_node::changeMembership(consensus::membership_change change, const peer_address &address,
                                    answer_function answer)
{
    if (!m_store) {
        answer(result_code::not_leader, {});
        return;
    }
    step(consensus::change_membership { add(std::move(answer)), change, address });
}

void control_node::learnContacts(std::vector<peer_address> addresses)
{
    step(consensus::learn_contacts { std::move(addresses) });
}

void control_node::tick()
{
    reopenIfHalted();
    step(consensus::tick {});
    const time_point now = m_parts.time->now();
    if (now >= m_nextExpiry && status().role == consensus::raft_role::leader) {
        m_nextExpiry = now + expiryPeriod;
        propose(agreed::expire_claims { m_parts.time->wallNow().time_since_epoch().count() },
                [](result_code, const agreed::outcome &) {});
    }
}

void control_node::step(const consensus::raft_event &event)
{
    if (!m_store) {
        return;
    }
    for (auto &action : m_raft->step(event, m_parts.time->now())) {
        std::visit([this](auto &what) { carryOut(what); }, action);
    }
    announceIfChanged();
}

void control_node::announceIfChanged()
{
    if (m_state.configuration().revision > m_announced) {
        m_announced = m_state.configuration().revision;
        m_parts.onCommitted(m_state.configuration());
    }
}

void control_node::announceSignOffs()
{
    if (!m_parts.onSignedOff) {
        return;
    }
    for (const auto &signOff : m_state.signOffs().all()) {
        m_parts.onSignedOff(signOff);
    }
}

void control_node::flush()
{
    const std::uint64_t sequence = std::exchange(m_unsynced, 0);
    if (sequence == 0 || !m_store) {
        return;
    }
    if (const auto done = m_store->sync(); !done) {
        logger()->error("The log cannot be synced: {} ({}).", done.error().detail, static_cast<int>(done.error().code));
        step(consensus::persist_failed { done.error().code });
        return;
    }
    step(consensus::synced { sequence });
}

void control_node::carryOut(consensus::send &action)
{
    m_parts.send(action.to, action.message);
}

void control_node::carryOut(const consensus::persist &action)
{
    if (const auto done = m_store->write(action); !done) {
        logger()->error("The log cannot be written: {} ({}).", done.error().detail,
                        static_cast<int>(done.error().code));
        step(consensus::persist_failed { done.error().code });
        return;
    }
    m_unsynced = action.sequence;
    loop::trigger(m_flush);
}

void control_node::carryOut(const consensus::apply &action)
{
    const auto command = decode<agreed::command>(action.bytes);
    if (!command) {
        logger()->error("Entry {} is no command; it has no effect: {}.", action.index.value, command.error().detail);
        return;
    }
    m_outcomes[action.index] = m_state.apply(action.index, *command);
    if (m_outcomes.size() > maxOutcomesKept) {
        m_outcomes.erase(m_outcomes.begin());
    }
    if (const auto *signOff = std::get_if<agreed::record_sign_off>(&*command);
        signOff != nullptr && m_parts.onSignedOff) {
        m_parts.onSignedOff(*signOff);
    }
}

void control_node::carryOut(const consensus::reply_propose &action)
{
    const auto found = m_answers.find(action.id);
    if (found == m_answers.end()) {
        return;
    }
    const auto answer = std::move(found->second);
    m_answers.erase(found);
    const auto outcome = m_outcomes.find(action.index);
    if (outcome == m_outcomes.end()) {
        answer(action.code, {});
        return;
    }
    const agreed::outcome result = std::move(outcome->second);
    m_outcomes.erase(outcome);
    answer(action.code, result);
}

void control_node::carryOut(const consensus::reply_read &action)
{
    const auto found = m_reads.find(action.id);
    if (found != m_reads.end()) {
        const auto answer = std::move(found->second);
        m_reads.erase(found);
        answer(action.code);
    }
}

void control_node::carryOut(const consensus::became_leader &action)
{
    logger()->info("Leads term {}.", action.term.value);
}

void control_node::carryOut(const consensus::stepped_down &action)
{
    logger()->warn("Steps down ({} {}): {}.", static_cast<int>(action.reason), describe(action.reason).name,
                   action.detail);
}

void control_node::carryOut(const consensus::take_snapshot &action)
{
    step(consensus::snapshot_taken { action.index, m_state.snapshot() });
}

void control_node::carryOut(const consensus::install_snapshot &action)
{
    auto restored = agreed::state::restore(action.base->bytes);
    if (!restored) {
        logger()->critical("The snapshot at {} cannot be read: {}.", action.base->index.value, restored.error().detail);
        step(consensus::persist_failed { restored.error().code });
        return;
    }
    m_state = std::move(*restored);
    announceSignOffs();
}

void control_node::carryOut(const consensus::halted &action)
{
    logger()->critical("This voter takes no further part ({} {}): {}.", static_cast<int>(action.code),
                       describe(action.code).name, action.detail);
    m_haltCode = action.code;
    m_reopenAt = m_parts.time->now() + reopenPause;
}

} // namespace figcleat
