#include "LibRegistry/RegistryCore.h"

#include "LibControl/FakeRaftNode.h"

#include <gtest/gtest.h>
#include <utility>

namespace {

using Base::ErrorKind;
using Registry::RegistryCore;

const Base::Instant Start {Base::seconds(1000)};

Consensus::Ready commit(std::vector<Wire::RaftEntry> entries)
{
    Consensus::Ready ready;
    ready.committed = std::move(entries);
    return ready;
}

Wire::RaftEntry store(std::uint64_t index, std::uint64_t term, std::uint64_t version, const std::string &text)
{
    return {index, term, Wire::RaftEntryKind::Command,
            Wire::encode(Registry::StoreConfiguration {version, text})};
}

class RegistryCoreTest : public ::testing::Test
{
protected:
    RegistryCoreTest()
    {
        raft.leads = true;
        raft.term = 1;
    }

    void submit(std::uint64_t version, const std::string &text)
    {
        core.submit(Start, version, text,
                    [this](const Base::Result<std::uint64_t> &result) { results.push_back(result); });
    }

    Tests::FakeRaftNode raft {"c1"};
    RegistryCore core {raft};
    std::vector<Base::Result<std::uint64_t>> results;
};

} // namespace

// A configuration acknowledged before the commit would be lost with the leader's disk.
TEST_F(RegistryCoreTest, AnswersOnlyAfterTheCommit)
{
    submit(5, "five");
    EXPECT_TRUE(results.empty());
    EXPECT_EQ(core.configuration().version(), 0U);
    ASSERT_TRUE(core.handleReady(commit(raft.uncommitted)).has_value());
    ASSERT_EQ(results.size(), 1U);
    EXPECT_EQ(results[0].value(), 5U);
    EXPECT_EQ(core.configuration().text(), "five");
}

// Two operators submit the same version: the first content wins, and both calls succeed.
TEST_F(RegistryCoreTest, FirstContentOfAVersionStays)
{
    submit(5, "first");
    submit(5, "second");
    ASSERT_TRUE(core.handleReady(commit(raft.uncommitted)).has_value());
    EXPECT_EQ(results.size(), 2U);
    EXPECT_TRUE(results[0].has_value() && results[1].has_value());
    EXPECT_EQ(core.configuration().text(), "first");
    submit(4, "older");
    EXPECT_EQ(results.back().value(), 5U);
    EXPECT_EQ(core.configuration().text(), "first");
}

// A follower whose log is behind must not confirm a version that it has not applied.
TEST_F(RegistryCoreTest, FollowerRefusesWhatItDoesNotHold)
{
    raft.leads = false;
    submit(5, "five");
    ASSERT_EQ(results.size(), 1U);
    EXPECT_EQ(results[0].error().kind, ErrorKind::NotLeader);
}

// Another leader's entry replaced the submission in the log.
TEST_F(RegistryCoreTest, LostSubmissionIsNotConfirmed)
{
    submit(5, "five");
    const Wire::RaftEntry noop {raft.uncommitted[0].index, 2, Wire::RaftEntryKind::Noop, {}};
    ASSERT_TRUE(core.handleReady(commit({noop})).has_value());
    ASSERT_EQ(results.size(), 1U);
    EXPECT_EQ(results[0].error().kind, ErrorKind::OutcomeUnknown);
}

TEST_F(RegistryCoreTest, OvertakenSubmissionIsConfirmed)
{
    submit(5, "five");
    ASSERT_TRUE(core.handleReady(commit({store(1, 2, 9, "nine")})).has_value());
    ASSERT_EQ(results.size(), 1U);
    EXPECT_EQ(results[0].value(), 9U);
}

// Without a majority, callers must get OutcomeUnknown soon.
TEST_F(RegistryCoreTest, SilentMajorityEndsTheWait)
{
    submit(5, "five");
    core.tick(Start + Base::milliseconds(100));
    EXPECT_TRUE(results.empty());
    core.tick(Start + Base::seconds(2));
    ASSERT_EQ(results.size(), 1U);
    EXPECT_EQ(results[0].error().kind, ErrorKind::OutcomeUnknown);
}

// A callback that submits again must not lose that submission, whose caller would wait without end.
TEST_F(RegistryCoreTest, SubmissionFromWithinAnAnswerIsAnswered)
{
    core.submit(Start, 5, "five", [this](const Base::Result<std::uint64_t> &) { submit(6, "six"); });
    ASSERT_TRUE(core.handleReady(commit(std::exchange(raft.uncommitted, {}))).has_value());
    EXPECT_TRUE(results.empty());
    core.tick(Start + Base::seconds(2));
    ASSERT_EQ(results.size(), 1U);
    EXPECT_EQ(results[0].error().kind, ErrorKind::OutcomeUnknown);
}

// Submissions and orders wait side by side, and the end of one must not end the other.
TEST_F(RegistryCoreTest, SubmissionsAndOrdersEndOnTheirOwn)
{
    ASSERT_TRUE(core.handleReady(commit({{1, 1, Wire::RaftEntryKind::Noop, {}}})).has_value());
    raft.committedIndex = 1;
    submit(5, "five");
    std::vector<Base::Result<std::uint64_t>> orders;
    core.orderEvacuation(Start + Base::seconds(1), "dc-a", true, 0,
                         [&orders](const auto &result) { orders.push_back(result); });
    core.tick(Start + Base::seconds(2));
    ASSERT_EQ(results.size(), 1U);
    EXPECT_EQ(results[0].error().kind, ErrorKind::OutcomeUnknown);
    EXPECT_TRUE(orders.empty());
    submit(5, "five");
    ASSERT_EQ(raft.uncommitted.size(), 3U);
    ASSERT_TRUE(core.handleReady(commit({raft.uncommitted[0], raft.uncommitted[1]})).has_value());
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders[0].value(), raft.uncommitted[1].index);
    ASSERT_EQ(results.size(), 2U);
    EXPECT_EQ(results[1].value(), 5U);
}

// A new leader may lack commits of the earlier term until an entry of its own is applied.
TEST_F(RegistryCoreTest, NewLeaderReadsOnlyAfterItsOwnEntry)
{
    ASSERT_TRUE(core.handleReady(commit({store(1, 1, 5, "five")})).has_value());
    EXPECT_TRUE(core.isUpToDateLeader(Start));
    raft.term = 2;
    EXPECT_FALSE(core.isUpToDateLeader(Start));
    ASSERT_TRUE(core.handleReady(commit({{2, 2, Wire::RaftEntryKind::Noop, {}}})).has_value());
    EXPECT_TRUE(core.isUpToDateLeader(Start));
    raft.hasQuorum = false;
    EXPECT_FALSE(core.isUpToDateLeader(Start));
}

// Before its own entry is applied, a new leader may not know a configuration that an earlier one accepted.
TEST_F(RegistryCoreTest, ConfirmsOnlyAfterAnEntryOfItsTerm)
{
    raft.majorityHeardAt = Start;
    EXPECT_FALSE(core.confirmedAt(Start).has_value());
    ASSERT_TRUE(core.handleReady(commit({store(1, 1, 5, "five")})).has_value());
    EXPECT_EQ(core.confirmedAt(Start + Base::seconds(9)), Start);
    raft.term = 2;
    EXPECT_FALSE(core.confirmedAt(Start).has_value());
    ASSERT_TRUE(core.handleReady(commit({{2, 2, Wire::RaftEntryKind::Noop, {}}})).has_value());
    EXPECT_EQ(core.confirmedAt(Start), Start);
    raft.leads = false;
    EXPECT_FALSE(core.confirmedAt(Start).has_value());
}

TEST_F(RegistryCoreTest, SnapshotHoldsTheConfiguration)
{
    ASSERT_TRUE(core.handleReady(commit({store(1, 1, 5, "five")})).has_value());
    Consensus::Ready ready;
    ready.restore = Wire::RaftSnapshot {7, 3, {}, core.snapshot()};
    Tests::FakeRaftNode otherRaft {"c2"};
    RegistryCore other {otherRaft};
    ASSERT_TRUE(other.handleReady(ready).has_value());
    EXPECT_EQ(other.configuration().text(), "five");
    EXPECT_EQ(other.appliedIndex(), 7U);
}
