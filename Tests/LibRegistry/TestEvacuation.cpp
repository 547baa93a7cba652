#include "LibRegistry/RegistryCore.h"

#include "LibBase/RandomSource.h"
#include "LibControl/FakeRaftNode.h"

#include <gtest/gtest.h>

namespace {

using Base::ErrorKind;
using Registry::RegistryCore;
using Names = std::vector<std::string>;

const Base::Instant Start {Base::seconds(1000)};

Wire::RaftEntry order(std::uint64_t index, std::uint64_t term, const std::string &name, bool evacuated)
{
    return {index, term, Wire::RaftEntryKind::Command,
            Wire::encode(
                Registry::OrderEvacuation {std::string(Registry::OrderEvacuation::Tag), name, evacuated})};
}

class EvacuationTest : public ::testing::Test
{
protected:
    EvacuationTest()
    {
        raft.leads = true;
        raft.term = 1;
        apply({1, 1, Wire::RaftEntryKind::Noop, {}});
    }

    /// Applies an entry as committed.
    void apply(const Wire::RaftEntry &entry)
    {
        Consensus::Ready ready;
        ready.committed = {entry};
        raft.committedIndex = entry.index;
        ASSERT_TRUE(core.handleReady(ready).has_value());
    }

    void commitAll()
    {
        for (const auto &entry : std::exchange(raft.uncommitted, {}))
            apply(entry);
    }

    void send(const std::string &name, bool evacuated, std::uint64_t heldRevision)
    {
        core.orderEvacuation(Start, name, evacuated, heldRevision,
                             [this](const auto &result) { results.push_back(result); });
    }

    void send(const std::string &name, bool evacuated)
    {
        send(name, evacuated, core.evacuations().revision());
    }

    Tests::FakeRaftNode raft {"c1"};
    RegistryCore core {raft};
    std::vector<Base::Result<std::uint64_t>> results;
};

} // namespace

// An order that was acknowledged before the commit would be lost with the leader's disk.
TEST_F(EvacuationTest, IsAcknowledgedOnlyAfterTheCommit)
{
    send("dc-a", true);
    EXPECT_TRUE(results.empty());
    EXPECT_TRUE(core.evacuations().dataCentres().empty());
    commitAll();
    ASSERT_EQ(results.size(), 1U);
    EXPECT_EQ(results[0].value(), core.evacuations().revision());
    EXPECT_EQ(core.evacuations().dataCentres(), Names {"dc-a"});
    send("dc-a", false);
    commitAll();
    EXPECT_TRUE(results.at(1).has_value());
    EXPECT_TRUE(core.evacuations().dataCentres().empty());
}

// Acks are lost on their way and operators repeat: an order that holds is acknowledged again.
TEST_F(EvacuationTest, RepeatedOrderIsAcknowledged)
{
    for (int count = 0; count < 3; ++count) {
        send("dc-a", true);
        commitAll();
    }
    send("dc-b", false);
    commitAll();
    ASSERT_EQ(results.size(), 4U);
    for (const auto &result : results)
        EXPECT_TRUE(result.has_value());
    EXPECT_EQ(core.evacuations().dataCentres(), Names {"dc-a"});
}

// A copy of an order that was held up on its way to the leader must not undo what was ordered since, also
// if that changed nothing.
TEST_F(EvacuationTest, DelayedCopyOfAnOrderIsRefused)
{
    const auto before = core.evacuations().revision();
    send("dc-a", false);
    commitAll();
    send("dc-a", true, before);
    commitAll();
    ASSERT_EQ(results.size(), 2U);
    EXPECT_EQ(results[1].error().kind, ErrorKind::RevisionConflict);
    EXPECT_TRUE(core.evacuations().dataCentres().empty());
}

// The later order is in the log, but not applied yet.
TEST_F(EvacuationTest, DelayedCopyIsRefusedWhileALaterOrderIsOnItsWay)
{
    const auto before = core.evacuations().revision();
    send("dc-a", false);
    send("dc-a", true, before);
    commitAll();
    ASSERT_EQ(results.size(), 2U);
    EXPECT_EQ(results[0].error().kind, ErrorKind::RevisionConflict);
    EXPECT_TRUE(results[1].has_value());
    EXPECT_TRUE(core.evacuations().dataCentres().empty());
}

// Without a majority, operators must get an answer soon that leaves the outcome open.
TEST_F(EvacuationTest, SilentMajorityEndsTheWait)
{
    send("dc-a", true);
    core.tick(Start + Base::milliseconds(100));
    EXPECT_TRUE(results.empty());
    core.tick(Start + Base::seconds(2));
    ASSERT_EQ(results.size(), 1U);
    EXPECT_EQ(results[0].error().kind, ErrorKind::OutcomeUnknown);
}

TEST_F(EvacuationTest, StoppedNodeLeavesTheOutcomeOpen)
{
    send("dc-a", true);
    core.failPendingSubmissions();
    ASSERT_EQ(results.size(), 1U);
    EXPECT_EQ(results[0].error().kind, ErrorKind::OutcomeUnknown);
}

// The next leader has put another entry in the order's place.
TEST_F(EvacuationTest, ReplacedOrderIsNotConfirmed)
{
    send("dc-a", true);
    const auto index = raft.uncommitted.back().index;
    raft.uncommitted.clear();
    apply(order(index, 2, "dc-a", true));
    ASSERT_EQ(results.size(), 1U);
    EXPECT_EQ(results[0].error().kind, ErrorKind::OutcomeUnknown);
    EXPECT_EQ(core.evacuations().dataCentres(), Names {"dc-a"});
}

// An order of an earlier term that was replaced must not hold up further ones for ever.
TEST_F(EvacuationTest, LostOrderHoldsUpNoFurtherOne)
{
    raft.committedIndex = 10;
    send("dc-a", true);
    raft.uncommitted.clear();
    raft.term = 3;
    raft.committedIndex = 1;
    apply({2, 3, Wire::RaftEntryKind::Noop, {}});
    send("dc-b", true);
    commitAll();
    ASSERT_FALSE(results.empty());
    EXPECT_TRUE(results.back().has_value());
    EXPECT_EQ(core.evacuations().dataCentres(), Names {"dc-b"});
}

TEST_F(EvacuationTest, OnlyAnUpToDateLeaderTakesOrders)
{
    raft.term = 2;
    send("dc-a", true);
    raft.leads = false;
    send("dc-a", true);
    ASSERT_EQ(results.size(), 2U);
    EXPECT_EQ(results[0].error().kind, ErrorKind::NotLeader);
    EXPECT_EQ(results[1].error().kind, ErrorKind::NotLeader);
    EXPECT_TRUE(raft.uncommitted.empty());
}

// Orders with wrong names must not fill the memory.
TEST_F(EvacuationTest, NumberOfDataCentresIsBounded)
{
    for (std::size_t count = 0; count < Registry::EvacuationRegister::MaxDataCentres; ++count) {
        send(std::to_string(count), true);
        commitAll();
        ASSERT_TRUE(results.back().has_value());
    }
    send("one more", true);
    EXPECT_EQ(results.back().error().kind, ErrorKind::InvalidRequest);
    send("0", true);
    commitAll();
    EXPECT_TRUE(results.back().has_value());
    send("0", false);
    commitAll();
    send("one more", true);
    commitAll();
    EXPECT_TRUE(results.back().has_value());
}

TEST_F(EvacuationTest, SnapshotHoldsEvacuations)
{
    apply({2, 1, Wire::RaftEntryKind::Command, Wire::encode(Registry::StoreConfiguration {5, "five"})});
    send("dc-a", true);
    commitAll();
    Consensus::Ready ready;
    ready.restore = Wire::RaftSnapshot {7, 3, {}, core.snapshot()};
    Tests::FakeRaftNode otherRaft {"c2"};
    RegistryCore other {otherRaft};
    ASSERT_TRUE(other.handleReady(ready).has_value());
    EXPECT_EQ(other.configuration().version(), 5U);
    EXPECT_EQ(other.configuration().text(), "five");
    EXPECT_EQ(other.evacuations().dataCentres(), Names {"dc-a"});
    EXPECT_EQ(other.evacuations().revision(), core.evacuations().revision());
}

// Disks hold logs and snapshots that earlier releases wrote: [5, "five"] as MessagePack.
TEST_F(EvacuationTest, ReadsLogsAndSnapshotsOfEarlierReleases)
{
    const Base::Bytes written {0x92, 0x05, 0xa4, 'f', 'i', 'v', 'e'};
    apply({2, 1, Wire::RaftEntryKind::Command, written});
    EXPECT_EQ(core.configuration().version(), 5U);
    EXPECT_EQ(core.configuration().text(), "five");
    EXPECT_EQ(core.evacuations().revision(), 0U);
    // Without an order, snapshots are still written in that form.
    EXPECT_EQ(core.snapshot(), written);
    Consensus::Ready ready;
    ready.restore = Wire::RaftSnapshot {7, 3, {}, written};
    Tests::FakeRaftNode otherRaft {"c2"};
    RegistryCore other {otherRaft};
    ASSERT_TRUE(other.handleReady(ready).has_value());
    EXPECT_EQ(other.configuration().version(), 5U);
    EXPECT_EQ(other.evacuations().revision(), 0U);
}

// A command that is neither must not be passed over, as this node would then hold other state than others.
TEST_F(EvacuationTest, UnknownCommandIsCorruptData)
{
    for (const auto &text : {"", "x"}) {
        Consensus::Ready ready;
        ready.committed = {{2, 1, Wire::RaftEntryKind::Command,
                            Wire::encode(Registry::OrderEvacuation {text, "dc-a", true})}};
        const auto applied = core.handleReady(ready);
        ASSERT_FALSE(applied.has_value());
        EXPECT_EQ(applied.error().kind, ErrorKind::CorruptData);
    }
}

// Damaged commands give an error or another value, never an exception.
TEST_F(EvacuationTest, DecodesDamagedCommands)
{
    Base::RandomSource random(20261206);
    const auto proper = order(1, 1, "dc-a", true).payload;
    ASSERT_TRUE(Registry::decodeEvacuation(proper).has_value());
    for (int count = 0; count < 4000; ++count) {
        auto damaged = proper;
        damaged[random.below(damaged.size())] = static_cast<std::uint8_t>(random.below(256));
        if (random.below(4) == 0)
            damaged.resize(random.below(damaged.size()));
        EXPECT_NO_THROW((void)Registry::decodeEvacuation(damaged)); // May be anything but an exception.
    }
}
