#include "LibConsensus/FileLogStore.h"
#include "LibConsensus/RaftNode.h"
#include "LibConsensus/TemporaryDirectory.h"

#include <algorithm>
#include <fstream>
#include <gtest/gtest.h>
#include <iterator>

using Consensus::FileLogStore;

namespace {

Wire::RaftEntry entry(std::uint64_t index, std::uint64_t term = 1)
{
    return {index, term, Wire::RaftEntryKind::Command, Base::toBytes("command " + std::to_string(index))};
}

class FileLogStoreTest : public testing::Test
{
protected:
    std::unique_ptr<FileLogStore> open()
    {
        auto store = FileLogStore::create(directory.path());
        EXPECT_TRUE(store.has_value()) << store.error().detail;
        return store ? std::move(*store) : nullptr;
    }
    /// Appends entries [from, to], each with its own sync.
    static void append(FileLogStore &store, std::uint64_t from, std::uint64_t to)
    {
        for (auto index = from; index <= to; ++index) {
            const auto next = entry(index);
            ASSERT_TRUE(store.append({&next, 1}).has_value());
            ASSERT_TRUE(store.sync().has_value());
        }
    }
    std::string file(const std::string &name) const { return directory.path() + "/" + name; }
    std::string read(const std::string &name) const
    {
        std::ifstream stream(file(name), std::ios::binary);
        return {std::istreambuf_iterator<char>(stream), {}};
    }
    void write(const std::string &name, const std::string &content) const
    {
        std::ofstream(file(name), std::ios::binary) << content;
    }
    void expectRefused(const std::string &damagedFile) const
    {
        const auto store = FileLogStore::create(directory.path());
        ASSERT_FALSE(store.has_value());
        EXPECT_EQ(store.error().kind, Base::ErrorKind::CorruptData);
        for (const auto &part :
             {file(damagedFile), std::string("offset "), std::string("daisyroute control --repair")})
            EXPECT_NE(store.error().detail.find(part), std::string::npos) << store.error().detail;
    }

    TemporaryDirectory directory;
};

} // namespace

// Term, vote, entries and identity must survive a restart.
TEST_F(FileLogStoreTest, KeepsSyncedChanges)
{
    auto store = open();
    const auto incarnation = store->incarnation();
    const Consensus::HardState state {3, "node-1", 77};
    ASSERT_TRUE(store->setHardState(state).has_value());
    append(*store, 1, 5);
    ASSERT_TRUE(store->truncateFrom(4).has_value());
    const auto replaced = entry(4, 2);
    ASSERT_TRUE(store->append({&replaced, 1}).has_value());
    ASSERT_TRUE(store->sync().has_value());
    store.reset();
    store = open();
    EXPECT_EQ(store->incarnation(), incarnation);
    EXPECT_EQ(store->hardState(), state);
    EXPECT_EQ(store->lastIndex(), 4U);
    EXPECT_EQ(store->entries(4, 4, 0), std::vector {replaced});
}

// An unsynced change must not appear after a restart as if it had been acknowledged.
TEST_F(FileLogStoreTest, DiscardsUnsyncedChanges)
{
    auto store = open();
    append(*store, 1, 1);
    const auto unsynced = entry(2);
    ASSERT_TRUE(store->append({&unsynced, 1}).has_value());
    store.reset();
    EXPECT_EQ(open()->lastIndex(), 1U);
}

// Two processes on one directory would overwrite each other's votes.
TEST_F(FileLogStoreTest, LocksDirectory)
{
    const auto store = open();
    EXPECT_FALSE(FileLogStore::create(directory.path()).has_value());
}

// A crash during a write leaves an incomplete batch at the end of the log, which must not prevent a restart.
TEST_F(FileLogStoreTest, TruncatesIncompleteWriteAtEveryByte)
{
    auto store = open();
    append(*store, 1, 3);
    const auto before = read("log").size();
    append(*store, 4, 4);
    store.reset();
    const auto full = read("log");
    for (auto size = before; size < full.size(); ++size) {
        // After a power failure, the rest of the file may read as zeros.
        for (const bool zeros : {false, size <= full.size() - 8}) {
            auto incomplete = full.substr(0, size);
            incomplete.resize(zeros ? full.size() : size, '\0');
            write("log", incomplete);
            store = open();
            ASSERT_EQ(store->lastIndex(), 3U) << size;
            append(*store, store->lastIndex() + 1, 5);
            store.reset();
            ASSERT_EQ(open()->lastIndex(), 5U) << size;
        }
    }
}

// Power is lost while a batch of several blocks is written, and the disk has written any of them. Nothing of
// it was acknowledged; all registries set their whole logs aside, and nothing was read back any more.
TEST_F(FileLogStoreTest, TruncatesLastWriteWithMissingBlocks)
{
    constexpr std::size_t Block = 4096;
    auto store = open();
    append(*store, 1, 3);
    const auto before = read("log").size();
    auto large = entry(4);
    large.payload = Base::toBytes(std::string(3 * Block, 'x'));
    ASSERT_TRUE(store->append({&large, 1}).has_value());
    ASSERT_TRUE(store->sync().has_value());
    store.reset();
    const auto full = read("log");
    const auto blocks = (full.size() + Block - 1) / Block;
    for (unsigned missing = 1; missing < 1U << blocks; ++missing) {
        auto torn = full;
        for (std::size_t block = 0; block < blocks; ++block) {
            const auto begin = std::max(before, block * Block);
            const auto end = std::min(full.size(), (block + 1) * Block);
            if ((missing >> block & 1U) != 0)
                std::fill(torn.begin() + static_cast<std::ptrdiff_t>(begin),
                          torn.begin() + static_cast<std::ptrdiff_t>(end), '\0');
        }
        write("log", torn);
        store = open();
        ASSERT_NE(store, nullptr) << missing;
        ASSERT_EQ(store->lastIndex(), 3U) << missing;
        append(*store, 4, 5);
        store.reset();
        ASSERT_EQ(open()->lastIndex(), 5U) << missing;
    }
}

// The same hole in front of a later batch is damage to acknowledged data, as batches are written one at a
// time; and so is a last batch of which nothing is missing.
TEST_F(FileLogStoreTest, RefusesMissingBlockBeforeLastBatchAndDamageWithoutOne)
{
    auto store = open();
    append(*store, 1, 3);
    const auto before = read("log").size();
    auto large = entry(4);
    large.payload = Base::toBytes(std::string(10'000, 'x'));
    ASSERT_TRUE(store->append({&large, 1}).has_value());
    ASSERT_TRUE(store->sync().has_value());
    const auto behind = read("log").size();
    append(*store, 5, 5);
    store.reset();
    const auto full = read("log");
    auto holed = full;
    std::fill(holed.begin() + static_cast<std::ptrdiff_t>(before), holed.begin() + 4096, '\0');
    write("log", holed);
    expectRefused("log");
    auto changed = full.substr(0, behind);
    changed[before + 5000] = 'y';
    write("log", changed);
    expectRefused("log");
}

// Damage to acknowledged data must stop the process instead of silently dropping entries or votes.
TEST_F(FileLogStoreTest, RefusesEveryFlippedBitBeforeLastBatch)
{
    auto store = open();
    append(*store, 1, 2);
    const auto lastBatchOffset = read("log").size();
    append(*store, 3, 3);
    store.reset();
    const auto intact = read("log");
    for (std::size_t bit = 0; bit < lastBatchOffset * 8; ++bit) {
        auto damaged = intact;
        damaged[bit / 8] = static_cast<char>(damaged[bit / 8] ^ (1 << (bit % 8)));
        write("log", damaged);
        ASSERT_NO_FATAL_FAILURE(expectRefused("log")) << bit;
    }
}

// Repair must not let the node vote again under the identity that it had before.
TEST_F(FileLogStoreTest, RepairMakesNewIncarnation)
{
    auto store = open();
    const auto incarnation = store->incarnation();
    append(*store, 1, 2);
    store.reset();
    auto damaged = read("log");
    damaged[30] = static_cast<char>(damaged[30] ^ 1);
    write("log", damaged);
    expectRefused("log");
    ASSERT_TRUE(FileLogStore::repair(directory.path()).has_value());
    store = open();
    EXPECT_NE(store->incarnation(), incarnation);
    EXPECT_EQ(store->lastIndex(), 0U);
}

// A snapshot replaces the entries it covers, also when the process stops before the log is rewritten.
TEST_F(FileLogStoreTest, RestartsFromSnapshot)
{
    auto store = open();
    append(*store, 1, 10);
    const auto longLog = read("log");
    const Wire::RaftSnapshot snapshot {8, 1, {{{"node-1", 7, "address", true}}}, Base::toBytes("state")};
    ASSERT_TRUE(store->saveSnapshot(snapshot).has_value());
    append(*store, 11, 11);
    store.reset();
    EXPECT_LT(read("log").size(), longLog.size());
    for (const std::uint64_t last : {11U, 10U}) {
        store = open();
        EXPECT_EQ(store->snapshot(), snapshot);
        EXPECT_EQ(store->firstIndex(), 9U);
        EXPECT_EQ(store->lastIndex(), last);
        EXPECT_EQ(store->termAt(8), 1U);
        store.reset();
        write("log", longLog);
    }
}

// A lost or damaged snapshot must be detected, because the log no longer holds what it covered.
TEST_F(FileLogStoreTest, RefusesDamagedSnapshot)
{
    auto store = open();
    append(*store, 1, 3);
    ASSERT_TRUE(store->saveSnapshot({2, 1, {}, Base::toBytes("state")}).has_value());
    store.reset();
    const auto intact = read("snapshot");
    for (std::size_t byte = 0; byte < intact.size(); ++byte) {
        auto damaged = intact;
        damaged[byte] = static_cast<char>(damaged[byte] ^ 4);
        write("snapshot", damaged);
        ASSERT_NO_FATAL_FAILURE(expectRefused("snapshot")) << byte;
    }
    std::filesystem::remove(file("snapshot"));
    expectRefused("snapshot");
    write("snapshot", intact);
    std::filesystem::remove(file("log"));
    expectRefused("log");
}

// A control process must restore all entries on restart after hundreds of configuration changes.
TEST_F(FileLogStoreTest, NodeRestartsAfter500Entries)
{
    auto store = open();
    Consensus::RaftOptions options;
    options.nodeId = "node-1";
    options.initialMembers = {{"node-1", store->incarnation(), "", true}};
    Base::Instant now {};
    std::size_t applied = 0;
    for (const bool restarted : {false, true}) {
        auto node = *Consensus::RaftNode::create(options, *store, now);
        now += Base::seconds(2);
        node->tick(now);
        ASSERT_TRUE(node->isLeader(now));
        for (int command = 0; command < 500 && !restarted; ++command)
            ASSERT_TRUE(node->propose(now, Base::toBytes(std::to_string(command))).has_value());
        applied = node->takeReady(now)->committed.size();
        node.reset();
        store.reset();
        store = open();
    }
    // The membership, the commands and one Noop of each leadership.
    EXPECT_EQ(applied, 1 + 500 + 2U);
}
