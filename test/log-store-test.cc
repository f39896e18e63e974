#include "../src/consensus/log-records.h"
#include "raft-harness.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>

using namespace figcleat;
using namespace figcleat::consensus;
using figcleat::consensus::harness::memory_disk;
using figcleat::consensus::harness::memory_folder;

namespace
{

constexpr voter_identity fresh { 77 };
const std::string segmentName = "log-00000000000000000001";

expected<log_store> openOn(const std::shared_ptr<memory_disk> &disk, voter_identity identity = fresh)
{
    return log_store::open(std::make_unique<memory_folder>(disk), identity);
}

persist entriesFrom(std::uint64_t first, std::uint64_t count, std::uint64_t term)
{
    persist action;
    for (auto index = first; index < first + count; ++index) {
        action.entries.push_back({ { index }, { term }, entry_kind::command, "entry " + std::to_string(index) });
    }
    return action;
}

persist snapshotAt(std::uint64_t index, bool discardLog)
{
    persist action;
    action.base = std::make_shared<const snapshot>(
        snapshot { { index }, { 5 }, { { { { "a" }, fresh, member_role::voter } } }, "state" });
    action.discardLog = discardLog;
    return action;
}

/** Three batches, each synced before the next. */
std::shared_ptr<memory_disk> threeBatches(std::vector<std::size_t> &ends)
{
    auto disk = std::make_shared<memory_disk>();
    auto store = openOn(disk);
    for (std::uint64_t i = 0; i < 3; ++i) {
        REQUIRE(store->write(entriesFrom(1 + 2 * i, 2, 1)).has_value());
        REQUIRE(store->sync().has_value());
        ends.push_back(disk->files.at(segmentName)->data.size());
    }
    return disk;
}

} // namespace

// Guards against a vote, entry, truncation or snapshot that is lost or changed by a restart.
TEST_CASE("a store returns what was written", "[store]")
{
    auto disk = std::make_shared<memory_disk>();
    auto store = openOn(disk);
    REQUIRE(store.has_value());
    CHECK(store->takeRestored().identity == fresh);
    persist first = entriesFrom(1, 6, 1);
    first.state = hard_state { { 3 }, { 4 }, { 5 } };
    persist second = entriesFrom(4, 1, 2);
    second.truncateFrom = { 4 };
    REQUIRE(store->write(first).has_value());
    REQUIRE(store->write(second).has_value());
    REQUIRE(store->write(snapshotAt(2, false)).has_value());
    REQUIRE(store->sync().has_value());
    auto again = openOn(disk, { 99 });
    REQUIRE(again.has_value());
    const auto restored = again->takeRestored();
    CHECK(restored.identity == fresh);
    CHECK(restored.state == *first.state);
    CHECK(restored.base.bytes == "state");
    CHECK(restored.base.members.isVoter(fresh));
    CHECK(restored.entries == std::vector<log_entry> { first.entries[2], second.entries[0] });
    CHECK(again->tornBytes() == 0);
}

// Guards against a torn write that stops the voter, or that is taken for an entry.
TEST_CASE("a torn tail is cut and reported", "[store]")
{
    std::vector<std::size_t> ends;
    const auto whole = threeBatches(ends);
    for (std::size_t size = ends[1] + 1; size < ends[2]; ++size) {
        auto disk = std::make_shared<memory_disk>(whole->copy());
        disk->files.at(segmentName)->data.resize(size);
        auto store = openOn(disk);
        REQUIRE(store.has_value());
        CHECK(store->tornBytes() == size - ends[1]);
        CHECK(store->takeRestored().entries.size() == 4);
        REQUIRE(store->write(entriesFrom(5, 1, 2)).has_value());
        REQUIRE(store->sync().has_value());
        auto again = openOn(disk);
        REQUIRE(again.has_value());
        CHECK(again->tornBytes() == 0);
        CHECK(again->takeRestored().entries.size() == 5);
    }
}

// Guards against an unsynced batch whose later part alone reached the disk being taken for damage.
TEST_CASE("a hole in writes that were never synced is a torn tail", "[store]")
{
    auto disk = std::make_shared<memory_disk>();
    auto store = openOn(disk);
    REQUIRE(store->write(entriesFrom(1, 2, 1)).has_value());
    const auto end = disk->files.at(segmentName)->data.size();
    REQUIRE(store->write(entriesFrom(3, 2, 1)).has_value());
    std::fill_n(disk->files.at(segmentName)->data.begin(), end, '\0');
    auto again = openOn(disk);
    REQUIRE(again.has_value());
    CHECK(again->takeRestored().entries.empty());
    CHECK(again->tornBytes() > end);
}

// Guards against acknowledged entries that silently vanish with a damaged byte.
TEST_CASE("damage in the middle is refused", "[store]")
{
    std::vector<std::size_t> ends;
    const auto whole = threeBatches(ends);
    for (std::size_t at = 0; at < ends[1]; ++at) {
        auto disk = std::make_shared<memory_disk>(whole->copy());
        disk->files.at(segmentName)->data[at] ^= 0x10;
        const auto store = openOn(disk);
        REQUIRE_FALSE(store.has_value());
        CHECK(store.error().code == result_code::log_damaged);
    }
}

// Guards against a damaged vote, identity or snapshot that is used, and an identity made anew beside an old log.
TEST_CASE("other damaged files are refused", "[store]")
{
    auto whole = std::make_shared<memory_disk>();
    auto store = openOn(whole);
    persist vote;
    vote.state = hard_state { { 3 }, { 4 }, { 5 } };
    REQUIRE(store->write(vote).has_value());
    REQUIRE(store->write(entriesFrom(1, 3, 1)).has_value());
    REQUIRE(store->write(snapshotAt(3, false)).has_value());
    for (const std::string name : { "identity", "vote", "snapshot-00000000000000000003" }) {
        auto disk = std::make_shared<memory_disk>(whole->copy());
        auto &data = disk->files.at(name)->data;
        data[data.size() - 1] ^= 0x10;
        CHECK(openOn(disk).error().code == result_code::log_damaged);
    }
    whole->files.erase("identity");
    CHECK(openOn(whole).error().code == result_code::log_damaged);
}

// Guards against misreading the files of a later release.
TEST_CASE("an unknown version is refused", "[store]")
{
    std::vector<std::size_t> ends;
    const auto disk = threeBatches(ends);
    disk->files.at(segmentName)->data += makeRecord(record_kind::batch, ends[2], "later", recordVersion + 1);
    CHECK(openOn(disk).error().code == result_code::unsupported_version);
}

// Guards against a full disk that leaves half a record between whole ones or half a vote.
TEST_CASE("a full disk is reported and leaves the store consistent", "[store]")
{
    persist action = entriesFrom(3, 2, 1);
    action.state = hard_state { { 3 }, { 4 }, { 5 } };
    bool fitted = false;
    for (std::size_t space = 0; !fitted; ++space) {
        auto disk = std::make_shared<memory_disk>();
        auto store = openOn(disk);
        REQUIRE(store->write(entriesFrom(1, 2, 1)).has_value());
        REQUIRE(store->sync().has_value());
        disk->space = space;
        const auto written = store->write(action);
        fitted = written.has_value();
        disk->space.reset();
        if (!fitted) {
            CHECK(written.error().code == result_code::disk_full);
            auto between = openOn(std::make_shared<memory_disk>(disk->copy()));
            REQUIRE(between.has_value());
            CHECK(between->takeRestored().entries.size() == 2);
            REQUIRE(store->write(action).has_value());
        }
        REQUIRE(store->sync().has_value());
        auto again = openOn(disk);
        REQUIRE(again.has_value());
        CHECK(again->tornBytes() == 0);
        CHECK(again->takeRestored().entries.size() == 4);
    }
}

// Guards against entries of a dropped log that come back after the snapshot that replaced them.
TEST_CASE("a received snapshot voids the log before it, also if the power goes", "[store]")
{
    auto disk = std::make_shared<memory_disk>();
    auto store = openOn(disk);
    REQUIRE(store->write(entriesFrom(1, 20, 1)).has_value());
    REQUIRE(store->sync().has_value());
    REQUIRE(store->write(snapshotAt(10, true)).has_value());
    std::mt19937_64 random(1);
    disk->crash(random, false);
    auto again = openOn(disk);
    REQUIRE(again.has_value());
    const auto restored = again->takeRestored();
    CHECK(restored.base.index == log_index { 10 });
    CHECK(restored.entries.empty());
    REQUIRE(again->write(entriesFrom(11, 1, 5)).has_value());
    REQUIRE(again->sync().has_value());
    CHECK(openOn(disk)->takeRestored().entries.size() == 1);
}

// Guards against folders that grow for ever.
TEST_CASE("segments that a snapshot covers are removed", "[store]")
{
    auto disk = std::make_shared<memory_disk>();
    auto store = openOn(disk);
    for (std::uint64_t index = 1; index <= 30; ++index) {
        persist action = entriesFrom(index, 1, 1);
        action.entries[0].bytes = std::string(1024 * 1024, 'x');
        REQUIRE(store->write(action).has_value());
        REQUIRE(store->sync().has_value());
    }
    const auto before = disk->files.size();
    REQUIRE(store->write(snapshotAt(29, false)).has_value());
    CHECK(disk->files.size() + 2 <= before);
    auto again = openOn(disk);
    REQUIRE(again.has_value());
    CHECK(again->takeRestored().entries.size() == 1);
}

// Guards against a synced entry or vote that a crash at any moment loses, over random writes.
TEST_CASE("what was synced survives every crash", "[store]")
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        INFO("seed " << seed);
        std::mt19937_64 random(seed);
        auto disk = std::make_shared<memory_disk>();
        std::vector<log_entry> durable;
        std::vector<log_entry> written;
        hard_state vote;
        for (int life = 0; life < 6; ++life) {
            auto store = openOn(disk);
            REQUIRE(store.has_value());
            const auto restored = store->takeRestored();
            REQUIRE(restored.state == vote);
            // Unsynced batches may have survived, but only whole ones and in order.
            REQUIRE(restored.entries.size() <= written.size());
            REQUIRE(std::equal(restored.entries.begin(), restored.entries.end(), written.begin()));
            REQUIRE(restored.entries.size() >= durable.size());
            written = durable = restored.entries;
            for (auto steps = random() % 12; steps > 0; --steps) {
                auto action = entriesFrom(written.size() + 1, 1 + random() % 3, static_cast<std::uint64_t>(life) + 1);
                if (random() % 4 == 0) {
                    vote.term = vote.term.next();
                    action.state = vote;
                }
                REQUIRE(store->write(action).has_value());
                written.insert(written.end(), action.entries.begin(), action.entries.end());
                if (random() % 2 == 0) {
                    REQUIRE(store->sync().has_value());
                    durable = written;
                }
            }
            disk->crash(random, random() % 2 == 0);
        }
    }
}

// Guards against an adapter of the file system that behaves unlike the fake one.
TEST_CASE("a store works on a real folder", "[store]")
{
    char pattern[] = "/tmp/figcleat-store-XXXXXX";
    REQUIRE(mkdtemp(pattern) != nullptr);
    const std::string path = std::string(pattern) + "/data/log";
    for (std::uint64_t round = 0; round < 3; ++round) {
        auto folder = openFolder(path);
        REQUIRE(folder.has_value());
        auto store = log_store::open(std::move(*folder), { 50 + round });
        REQUIRE(store.has_value());
        const auto restored = store->takeRestored();
        CHECK(restored.identity == voter_identity { 50 });
        CHECK(restored.entries.size() == (round == 0 ? 0 : 1));
        auto action = entriesFrom(1 + 2 * round, 2, 1);
        action.state = hard_state { { round + 1 }, {}, {} };
        REQUIRE(store->write(action).has_value());
        REQUIRE(store->sync().has_value());
        REQUIRE(store->write(snapshotAt(1 + 2 * round, false)).has_value());
    }
    // An older copy that was set aside must not lend its identity to the next start.
    const auto aside = setAside(path);
    REQUIRE(aside.has_value());
    CHECK(std::filesystem::exists(*aside + "/identity"));
    auto anew = log_store::open(std::move(*openFolder(path)), { 90 });
    REQUIRE(anew.has_value());
    const auto restored = anew->takeRestored();
    CHECK(restored.identity == voter_identity { 90 });
    CHECK(restored.entries.empty());
    CHECK_FALSE(openFolder("/proc/no-such-folder").has_value());
    std::filesystem::remove_all(pattern);
}
