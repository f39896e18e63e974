#pragma once

#include "figcleat/consensus/log-store.h"
#include "figcleat/consensus/raft.h"
#include "figcleat/core/invariant.h"
#include "figcleat/wire/codec.h"

#include <algorithm>
#include <ctime>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

/** Randomised runs of several `raft` and `log_store` on a fake network, fake disks and a fake clock. */
namespace figcleat::consensus::harness
{

/** A disk that keeps only what was synced when the power goes. */
struct memory_disk
{
    struct file
    {
        std::string data;
        std::size_t synced = 0;
    };
    using directory = std::map<std::string, std::shared_ptr<file>>;

    directory files;
    directory durableNames;
    /** Bytes that appends may still write before the disk is full. */
    std::optional<std::size_t> space;
    std::uint64_t syncs = 0;

    /** Returns true if a part of an unsynced write was kept. */
    bool crash(std::mt19937_64 &random, bool keepTornPart)
    {
        bool torn = false;
        files = durableNames;
        for (auto &[name, one] : files) {
            const auto unsynced = one->data.size() - one->synced;
            const auto kept = keepTornPart && unsynced > 1 ? 1 + random() % (unsynced - 1) : 0;
            torn = torn || kept > 0;
            one->data.resize(one->synced + kept);
            one->synced = one->data.size();
        }
        return torn;
    }
    [[nodiscard]] memory_disk copy() const
    {
        memory_disk result;
        for (const auto &[name, one] : durableNames) {
            result.files[name] = std::make_shared<file>(file { one->data.substr(0, one->synced), one->synced });
        }
        result.durableNames = result.files;
        return result;
    }
};

class memory_folder : public data_folder
{
public:
    explicit memory_folder(std::shared_ptr<memory_disk> disk)
        : m_disk(std::move(disk))
    {
    }
    expected<std::vector<std::string>> list() override
    {
        std::vector<std::string> names;
        for (const auto &[name, one] : m_disk->files) {
            names.push_back(name);
        }
        return names;
    }
    expected<std::string> read(const std::string &name) override
    {
        return m_disk->files.at(name)->data;
    }
    expected<void> append(const std::string &name, std::string_view bytes) override
    {
        auto &one = m_disk->files[name];
        if (!one) {
            one = std::make_shared<memory_disk::file>();
        }
        const auto written = std::min(bytes.size(), m_disk->space.value_or(bytes.size()));
        one->data += bytes.substr(0, written);
        if (m_disk->space) {
            *m_disk->space -= written;
        }
        return written == bytes.size() ? expected<void> {} : fail(result_code::disk_full, name);
    }
    expected<void> truncate(const std::string &name, std::uint64_t size) override
    {
        if (const auto found = m_disk->files.find(name); found != m_disk->files.end()) {
            found->second->data.resize(size);
            found->second->synced = std::min<std::size_t>(found->second->synced, size);
        }
        return {};
    }
    expected<void> sync(const std::string &name) override
    {
        ++m_disk->syncs;
        auto &one = *m_disk->files.at(name);
        one.synced = one.data.size();
        return {};
    }
    expected<void> syncFolder() override
    {
        ++m_disk->syncs;
        m_disk->durableNames = m_disk->files;
        return {};
    }
    expected<void> rename(const std::string &from, const std::string &to) override
    {
        m_disk->files[to] = m_disk->files.at(from);
        m_disk->files.erase(from);
        return {};
    }
    expected<void> remove(const std::string &name) override
    {
        m_disk->files.erase(name);
        return {};
    }

private:
    std::shared_ptr<memory_disk> m_disk;
};

/** Takes one mechanism away, to show that the checks find it missing. */
enum class sabotage : std::uint8_t {
    none,
    /** The disk adapter reports a sync that takes place much later; the notes of what it acknowledged are removed. */
    sync_reported_early,
    /** A lost folder comes back empty under its old identity, and the notes of what it acknowledged are removed. */
    lost_disk_keeps_identity,
    /** Answers to a read round are forged, so a deposed leader answers reads. */
    read_round_skipped,
};

struct run_options
{
    std::uint64_t seed = 1;
    std::size_t voters = 5;
    /** Processes that no settings list as voters; operators may add them. */
    std::size_t spares = 0;
    sabotage without = sabotage::none;
    duration faultTime = std::chrono::seconds(20);
    bool faults = true;
};

struct run_report
{
    std::uint64_t messages = 0, late = 0, lost = 0, duplicated = 0, reordered = 0;
    std::uint64_t cuts = 0, isolations = 0, freezes = 0, kills = 0, killsBeforeSync = 0, tornWrites = 0;
    std::uint64_t lostDisks = 0, replacements = 0, fullDisks = 0, snapshotsInstalled = 0;
    std::uint64_t elections = 0, committed = 0, acknowledged = 0, reads = 0, refused = 0, uncertain = 0;
    std::string violation;

    void add(const run_report &other)
    {
        for (auto field : { &run_report::messages,        &run_report::late,       &run_report::lost,
                            &run_report::duplicated,      &run_report::reordered,  &run_report::cuts,
                            &run_report::isolations,      &run_report::freezes,    &run_report::kills,
                            &run_report::killsBeforeSync, &run_report::tornWrites, &run_report::lostDisks,
                            &run_report::replacements,    &run_report::fullDisks,  &run_report::snapshotsInstalled,
                            &run_report::elections,       &run_report::committed,  &run_report::acknowledged,
                            &run_report::reads,           &run_report::refused,    &run_report::uncertain }) {
            this->*field += other.*field;
        }
    }
};

class violation_found : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

class simulation
{
public:
    struct node
    {
        peer_address address;
        std::shared_ptr<memory_disk> disk;
        std::optional<log_store> store;
        std::optional<raft> log;
        voter_identity identity;
        /** Rises with each restart, so that events of an earlier life are dropped. */
        std::uint64_t life = 0;
        time_point frozenUntil {};
        std::vector<raft_event> inbox;
        std::uint64_t written = 0, synced = 0;
        bool syncDue = false;
        /** Applied proposals by index. */
        std::map<std::uint64_t, std::uint64_t> state;
        log_index applied;
    };

    explicit simulation(run_options options)
        : m_options(options)
        , m_random(options.seed)
        , m_snapshotEntries(40 + m_random() % 200)
    {
        m_nodes.resize(options.voters + options.spares);
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            m_addresses.push_back({ "10.0.0." + std::to_string(i + 1) + ":7000" });
        }
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            m_nodes[i].address = m_addresses[i];
            m_nodes[i].disk = std::make_shared<memory_disk>();
            start(i);
        }
    }

    /** Faults for a while, then a time without faults in which the log must make progress and all voters catch up. */
    run_report run()
    {
        try {
            m_faults = m_options.faults;
            schedule(millis(1500), [this] { injectFault(); });
            schedule(millis(1000), [this] { clientCall(); });
            runFor(m_options.faultTime);
            heal();
            runFor(std::chrono::seconds(15));
            checkConverged();
        } catch (const violation_found &found) {
            m_report.violation = found.what();
        } catch (const invariant_violation &found) {
            m_report.violation = found.what();
        }
        m_report.committed = m_committed.size();
        return m_report;
    }

    void runFor(duration length)
    {
        const auto end = m_now + length;
        while (!m_events.empty() && m_events.top().at <= end) {
            auto action = m_events.top().action;
            m_now = m_events.top().at;
            m_events.pop();
            action();
        }
        m_now = end;
    }

    // Faults by hand, for focused tests.
    void kill(std::size_t i, bool keepTornPart = false)
    {
        auto &one = m_nodes[i];
        if (!one.log) {
            return;
        }
        ++m_report.kills;
        m_report.killsBeforeSync += one.written > one.synced ? 1 : 0;
        one.log.reset();
        one.store.reset();
        ++one.life;
        one.inbox.clear();
        m_report.tornWrites += one.disk->crash(m_random, keepTornPart) ? 1 : 0;
    }
    void loseDisk(std::size_t i)
    {
        kill(i);
        ++m_report.lostDisks;
        m_nodes[i].disk = std::make_shared<memory_disk>();
        if (m_options.without == sabotage::lost_disk_keeps_identity) {
            auto folder = std::make_unique<memory_folder>(m_nodes[i].disk);
            (void)log_store::open(std::move(folder), m_nodes[i].identity);
        }
        m_nodes[i].identity = {};
    }
    void start(std::size_t i)
    {
        auto &one = m_nodes[i];
        if (one.log) {
            return;
        }
        ++one.life;
        one.disk->space.reset();
        auto store = log_store::open(std::make_unique<memory_folder>(one.disk), { m_random() | 1U });
        check(store.has_value(), "store refused after a crash: " + (store ? "" : store.error().detail));
        one.store.emplace(std::move(*store));
        auto restored = one.store->takeRestored();
        one.identity = restored.identity;
        one.written = one.synced = 0;
        one.syncDue = false;
        one.frozenUntil = {};
        one.state.clear();
        one.applied = {};
        raft_settings settings { one.address,
                                 { m_addresses.begin(), m_addresses.end() - m_options.spares },
                                 m_random() };
        settings.snapshotEntries = m_snapshotEntries;
        settings.trailingEntries = 10;
        one.log.emplace(std::move(settings), std::move(restored), m_now);
        tickNode(i, one.life);
    }
    void cut(std::size_t from, std::size_t to, duration length)
    {
        m_cuts[{ from, to }] = m_now + length;
    }
    void isolate(std::size_t i, duration length)
    {
        for (std::size_t other = 0; other < m_nodes.size(); ++other) {
            cut(i, other, length);
            cut(other, i, length);
        }
    }
    void freeze(std::size_t i, duration length)
    {
        m_nodes[i].frozenUntil = m_now + length;
    }
    void heal()
    {
        m_faults = false;
        m_cuts.clear();
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            m_nodes[i].frozenUntil = std::min(m_nodes[i].frozenUntil, m_now);
            start(i);
        }
    }
    std::uint64_t proposeAt(std::size_t i)
    {
        return proposeAt(i, m_random() % 100);
    }
    std::uint64_t proposeAt(std::size_t i, std::size_t padding)
    {
        const auto id = ++m_lastId;
        m_issued.insert(id);
        give(i, propose { id, encode(id) + std::string(padding, 'x') });
        return id;
    }
    std::uint64_t readAt(std::size_t i)
    {
        const auto id = ++m_lastId;
        m_readFloors[id] = m_highestAcknowledged;
        give(i, read { id });
        return id;
    }
    std::uint64_t changeMembers(std::size_t i, membership_change change, std::size_t whose)
    {
        const auto id = ++m_lastId;
        give(i, change_membership { id, change, m_addresses[whose] });
        return id;
    }
    void give(std::size_t i, raft_event event)
    {
        auto &one = m_nodes[i];
        if (!one.log) {
            return;
        }
        if (one.frozenUntil > m_now) {
            one.inbox.push_back(std::move(event));
            return;
        }
        // Copied, since an action may restart the node.
        const auto life = one.life;
        const auto started = onStep ? processorTime() : 0;
        const auto actions = one.log->step(event, m_now);
        if (onStep) {
            onStep(i, processorTime() - started);
        }
        for (const auto &action : actions) {
            if (one.life == life) {
                std::visit([&](const auto &what) { perform(i, what); }, action);
            }
        }
    }

    [[nodiscard]] std::optional<std::size_t> leader() const
    {
        std::optional<std::size_t> best;
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            if (m_nodes[i].log && m_nodes[i].log->status().role == raft_role::leader
                && (!best || m_nodes[*best].log->status().term < m_nodes[i].log->status().term)) {
                best = i;
            }
        }
        return best;
    }
    [[nodiscard]] node &at(std::size_t i)
    {
        return m_nodes[i];
    }
    [[nodiscard]] time_point now() const
    {
        return m_now;
    }
    [[nodiscard]] const run_report &report() const
    {
        return m_report;
    }
    [[nodiscard]] std::optional<result_code> answerTo(std::uint64_t id) const
    {
        const auto found = m_answers.find(id);
        return found == m_answers.end() ? std::nullopt : std::optional(found->second);
    }
    /** Called with each message that is sent. */
    std::function<void(std::size_t, const send &)> onSend;
    /** Called with the processor time of each step, in nanoseconds. */
    std::function<void(std::size_t, std::uint64_t)> onStep;
    std::optional<halted> lastHalt;
    /** Set by tests that put back an older folder; a voter then stays halted. */
    bool expectMismatch = false;

private:
    struct timed
    {
        time_point at;
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator<(const timed &other) const
        {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };

    struct acknowledged_write
    {
        std::uint64_t id = 0;
        /** Of the leader that acknowledged it. */
        term_number term;
    };

    static std::uint64_t processorTime()
    {
        timespec used {};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
        return static_cast<std::uint64_t>(used.tv_sec) * 1000000000U + static_cast<std::uint64_t>(used.tv_nsec);
    }
    static duration millis(std::uint64_t count)
    {
        return std::chrono::milliseconds(count);
    }
    duration between(std::uint64_t fromMicros, std::uint64_t toMicros)
    {
        return std::chrono::microseconds(fromMicros + m_random() % (toMicros - fromMicros));
    }
    bool chance(std::uint64_t inThousand)
    {
        return m_random() % 1000 < inThousand;
    }
    void schedule(duration after, std::function<void()> action)
    {
        m_events.push({ m_now + after, ++m_order, std::move(action) });
    }
    static void check(bool condition, const std::string &what)
    {
        if (!condition) {
            throw violation_found(what);
        }
    }

    void tickNode(std::size_t i, std::uint64_t life)
    {
        auto &one = m_nodes[i];
        if (one.life != life) {
            return;
        }
        if (one.frozenUntil <= m_now) {
            // A process that wakes finds its queued messages before its timer.
            const auto inbox = std::exchange(one.inbox, {});
            for (const auto &event : inbox) {
                give(i, event);
            }
            give(i, tick {});
        }
        schedule(millis(25), [this, i, life] { tickNode(i, life); });
    }

    // Actions.
    void perform(std::size_t i, const send &action)
    {
        if (onSend) {
            onSend(i, action);
        }
        const auto to = std::find(m_addresses.begin(), m_addresses.end(), action.to);
        if (to == m_addresses.end()) {
            return;
        }
        ++m_report.messages;
        const auto target = static_cast<std::size_t>(to - m_addresses.begin());
        if (const auto *round = std::get_if<read_round>(&action.message);
            round != nullptr && m_options.without == sabotage::read_round_skipped) {
            const auto &header = round->header;
            const read_round_answer forged { { header.cluster, header.receiver, header.sender, header.term },
                                             round->round };
            schedule(millis(1), [this, i, target, forged] { give(i, receive { m_addresses[target], forged }); });
            return;
        }
        if (isCut(i, target)) {
            return;
        }
        if (m_faults && chance(10)) {
            ++m_report.lost;
            return;
        }
        deliver(i, target, action.message);
        if (m_faults && chance(10)) {
            ++m_report.duplicated;
            deliver(i, target, action.message);
        }
    }
    bool isCut(std::size_t from, std::size_t to)
    {
        const auto found = m_cuts.find({ from, to });
        return found != m_cuts.end() && found->second > m_now;
    }
    void deliver(std::size_t from, std::size_t to, raft_message message)
    {
        auto delay = between(500, 2500);
        if (m_faults && chance(20)) {
            ++m_report.late;
            delay = between(2500, 800000);
        }
        const auto number = ++m_messageNumber;
        auto travelled = decode<raft_message>(encode(message));
        check(travelled.has_value(), "a message does not survive encoding");
        message = *std::move(travelled);
        weaken(message);
        schedule(delay, [this, from, to, number, message = std::move(message)] {
            auto &highest = m_delivered[{ from, to }];
            m_report.reordered += number < highest ? 1 : 0;
            highest = std::max(highest, number);
            give(to, receive { m_addresses[from], message });
        });
    }
    void weaken(raft_message &message) const
    {
        const bool forgets = m_options.without == sabotage::lost_disk_keeps_identity
            || m_options.without == sabotage::sync_reported_early;
        if (!forgets) {
            return;
        }
        if (auto *request = std::get_if<append_request>(&message)) {
            request->acknowledged = {};
        }
        if (auto *answer = std::get_if<standing_answer>(&message)) {
            answer->knownTerm = {};
            answer->knownIndex = {};
        }
    }
    void perform(std::size_t i, const persist &action)
    {
        auto &one = m_nodes[i];
        const auto life = one.life;
        if (auto written = one.store->write(action); !written) {
            ++m_report.fullDisks;
            give(i, persist_failed { written.error().code });
            return;
        }
        one.written = action.sequence;
        if (m_options.without == sabotage::sync_reported_early) {
            schedule(std::chrono::microseconds(1), [this, i, life, sequence = action.sequence] {
                if (m_nodes[i].life == life) {
                    give(i, synced { sequence });
                }
            });
        }
        if (!one.syncDue) {
            one.syncDue = true;
            const bool isSlow = m_options.without == sabotage::sync_reported_early || (m_faults && chance(20));
            schedule(isSlow ? between(10000, 300000) : between(100, 5000), [this, i, life] { syncNode(i, life); });
        }
    }
    void syncNode(std::size_t i, std::uint64_t life)
    {
        auto &one = m_nodes[i];
        if (one.life != life) {
            return;
        }
        one.syncDue = false;
        check(one.store->sync().has_value(), "sync failed");
        one.synced = one.written;
        if (m_options.without != sabotage::sync_reported_early) {
            give(i, synced { one.written });
        }
    }
    void perform(std::size_t i, const apply &action)
    {
        auto &one = m_nodes[i];
        check(action.index > one.applied, "applied index does not rise");
        one.applied = action.index;
        const auto id = decode<std::uint64_t>(action.bytes.substr(0, encode(idOf(action.bytes)).size()));
        check(id.has_value(), "applied bytes were never proposed");
        const auto [place, isNew] = m_committed.try_emplace(action.index.value, *id);
        check(place->second == *id, "committed entry " + std::to_string(action.index.value) + " changed");
        check(!isNew || m_refused.count(*id) == 0, "a proposal that was said not to be appended was committed");
        one.state[action.index.value] = *id;
    }
    static std::uint64_t idOf(const std::string &bytes)
    {
        std::size_t offset = 0;
        return msgpack::unpack(bytes.data(), bytes.size(), offset).get().as<std::uint64_t>();
    }
    void perform(std::size_t i, const reply_propose &action)
    {
        m_answers[action.id] = action.code;
        if (m_issued.count(action.id) == 0) {
            return;
        }
        if (action.code == result_code::ok) {
            ++m_report.acknowledged;
            const auto found = m_nodes[i].state.find(action.index.value);
            check(found != m_nodes[i].state.end() && found->second == action.id, "acknowledged but not applied");
            m_acknowledged[action.index.value] = { action.id, m_nodes[i].log->status().term };
            m_highestAcknowledged = std::max(m_highestAcknowledged, action.index);
        } else if (action.code == result_code::leadership_lost) {
            ++m_report.uncertain;
        } else {
            ++m_report.refused;
            m_refused.insert(action.id);
            const bool isCommitted = std::any_of(m_committed.begin(), m_committed.end(),
                                                 [&](const auto &one) { return one.second == action.id; });
            check(!isCommitted, "a committed proposal was said not to be appended");
        }
    }
    void perform(std::size_t i, const reply_read &action)
    {
        m_answers[action.id] = action.code;
        if (action.code == result_code::ok) {
            ++m_report.reads;
            const auto floor = m_readFloors[action.id];
            check(action.index >= floor && (floor.value == 0 || m_nodes[i].state.count(floor.value) == 1),
                  "a read misses an acknowledged write");
        }
        m_readFloors.erase(action.id);
    }
    void perform(std::size_t i, const became_leader &action)
    {
        ++m_report.elections;
        auto &one = m_nodes[i];
        const auto [place, isNew] = m_leaders.try_emplace(action.term.value, one.identity);
        check(isNew, "two leaders in term " + std::to_string(action.term.value));
        std::map<std::uint64_t, std::uint64_t> held;
        for (const auto &entry : one.log->entries()) {
            if (entry.kind == entry_kind::command) {
                held[entry.index.value] = idOf(entry.bytes);
            }
        }
        for (const auto &[index, write] : m_acknowledged) {
            // A candidate of an old term may win late; it can commit nothing, so it may lack later entries.
            const auto found = held.find(index);
            const bool isHeld = write.term > action.term || index <= one.log->status().snapshotIndex.value
                || (found != held.end() && found->second == write.id);
            check(isHeld, "a leader lacks acknowledged entry " + std::to_string(index));
        }
    }
    void perform(std::size_t /*i*/, const stepped_down & /*action*/)
    {
    }
    void perform(std::size_t i, const take_snapshot &action)
    {
        const std::vector<std::pair<std::uint64_t, std::uint64_t>> rows(m_nodes[i].state.begin(),
                                                                        m_nodes[i].state.end());
        give(i, snapshot_taken { action.index, encode(rows) });
    }
    void perform(std::size_t i, const install_snapshot &action)
    {
        ++m_report.snapshotsInstalled;
        auto &one = m_nodes[i];
        check(action.base->index >= one.applied, "a snapshot lowers the applied index");
        const auto rows = decode<std::vector<std::pair<std::uint64_t, std::uint64_t>>>(action.base->bytes);
        check(rows.has_value(), "snapshot bytes changed");
        one.state = { rows->begin(), rows->end() };
        one.applied = action.base->index;
    }
    void perform(std::size_t i, const halted &action)
    {
        lastHalt = action;
        check(action.code != result_code::identity_mismatch || expectMismatch,
              "identity refused although the folder is current");
        schedule(millis(500), [this, i, life = m_nodes[i].life] {
            if (m_nodes[i].life == life && !expectMismatch) {
                kill(i);
                start(i);
            }
        });
    }

    // Load and faults.
    void clientCall()
    {
        // Half of the calls go to a leader, maybe a deposed one; the rest anywhere.
        auto i = m_random() % m_nodes.size();
        for (std::size_t tries = 0; tries < m_nodes.size() && chance(800); ++tries) {
            if (m_nodes[i].log && m_nodes[i].log->status().role == raft_role::leader) {
                break;
            }
            i = (i + 1) % m_nodes.size();
        }
        if (chance(300)) {
            readAt(i);
        } else {
            proposeAt(i);
        }
        schedule(between(1000, 60000), [this] { clientCall(); });
    }
    void injectFault()
    {
        if (!m_faults) {
            return;
        }
        const auto i = chance(400) && leader() ? *leader() : m_random() % m_nodes.size();
        switch (m_random() % 8) {
        case 0:
        case 1:
            killAndRestart(i, false);
            break;
        case 2:
            killAndRestart(i, true);
            break;
        case 3:
            ++m_report.freezes;
            freeze(i, between(100000, 4000000));
            break;
        case 4:
            ++m_report.cuts;
            cut(i, m_random() % m_nodes.size(), between(200000, 4000000));
            break;
        case 5:
            ++m_report.isolations;
            isolate(i, between(200000, 4000000));
            break;
        case 6:
            loseDiskIfAllowed(i);
            break;
        default:
            m_nodes[i].disk->space = m_random() % 200;
            break;
        }
        schedule(between(50000, 900000), [this] { injectFault(); });
    }
    void killAndRestart(std::size_t i, bool torn)
    {
        kill(i, torn);
        schedule(between(50000, 2500000), [this, i] { start(i); });
    }
    /** One lost folder at a time, as more lose a majority's acknowledgements. */
    void loseDiskIfAllowed(std::size_t i)
    {
        if (m_replacing && !isSeated(*m_replacing)) {
            return;
        }
        m_report.replacements += m_replacing ? 1 : 0;
        loseDisk(i);
        m_replacing = i;
        schedule(between(50000, 500000), [this, i] { start(i); });
    }
    bool isSeated(std::size_t i)
    {
        const auto who = leader();
        if (!who) {
            return false;
        }
        const auto status = m_nodes[*who].log->status();
        return status.commit == status.last
            && std::any_of(status.members.begin(), status.members.end(), [&](const follower_status &one) {
                   return one.who.identity == m_nodes[i].identity && one.who.role == member_role::voter
                       && one.match == status.last;
               });
    }
    void checkConverged()
    {
        const auto who = leader();
        check(who.has_value(), "no leader 15 s after the last fault");
        const auto id = proposeAt(*who);
        runFor(std::chrono::seconds(2));
        check(answerTo(id) == result_code::ok, "no progress after the last fault");
        const auto status = m_nodes[*who].log->status();
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            check(m_nodes[i].applied.value + 20 >= status.applied.value, "a voter has not caught up");
            check(m_options.without != sabotage::none || isVoterNow(status, i), "a lost folder was not replaced");
        }
    }
    bool isVoterNow(const raft_status &status, std::size_t i) const
    {
        return std::any_of(status.members.begin(), status.members.end(), [&](const follower_status &one) {
            return one.who.identity == m_nodes[i].identity && one.who.role == member_role::voter;
        });
    }

    run_options m_options;
    std::mt19937_64 m_random;
    std::uint64_t m_snapshotEntries;
    time_point m_now { std::chrono::seconds(1000) };
    std::priority_queue<timed> m_events;
    std::uint64_t m_order = 0, m_messageNumber = 0, m_lastId = 0;
    std::vector<peer_address> m_addresses;
    std::vector<node> m_nodes;
    std::map<std::pair<std::size_t, std::size_t>, time_point> m_cuts;
    std::map<std::pair<std::size_t, std::size_t>, std::uint64_t> m_delivered;
    bool m_faults = false;
    std::optional<std::size_t> m_replacing;

    std::set<std::uint64_t> m_issued, m_refused;
    std::map<std::uint64_t, result_code> m_answers;
    std::map<std::uint64_t, std::uint64_t> m_committed;
    std::map<std::uint64_t, acknowledged_write> m_acknowledged;
    std::map<std::uint64_t, voter_identity> m_leaders;
    std::map<std::uint64_t, log_index> m_readFloors;
    log_index m_highestAcknowledged;
    run_report m_report;
};

} // namespace figcleat::consensus::harness
