#include "LibConsensus/SimulatedCluster.h"

#include <gtest/gtest.h>

namespace {

constexpr auto Settle = Base::seconds(3);

/// A cluster that has elected a leader.
class RaftNodeTest : public testing::Test
{
protected:
    void SetUp() override
    {
        cluster.run(Settle);
        leader = cluster.leader();
        ASSERT_LT(leader, cluster.size());
        follower = (leader + 1) % cluster.size();
    }
    void TearDown() override { EXPECT_TRUE(cluster.violations.empty()) << cluster.violations.front(); }

    Consensus::RaftStatus status(std::size_t index) { return cluster.node(index)->status(cluster.now()); }

    SimulatedCluster cluster {3, 42};
    std::size_t leader = 0;
    std::size_t follower = 0;
};

} // namespace

// A command must reach every node exactly once and in order.
TEST_F(RaftNodeTest, ReplicatesCommands)
{
    for (const auto *text : {"a", "b", "c"})
        ASSERT_TRUE(cluster.propose(leader, text));
    cluster.run(Base::seconds(1));
    for (std::size_t index = 0; index < cluster.size(); ++index)
        EXPECT_EQ(cluster.applied(index), "a,b,c,");
}

// The loss of the leader must not stop the cluster, and the successor must keep what was committed.
TEST_F(RaftNodeTest, ElectsSuccessorOfLostLeader)
{
    ASSERT_TRUE(cluster.propose(leader, "a"));
    cluster.run(Base::seconds(1));
    cluster.crash(leader);
    cluster.run(Settle);
    const auto successor = cluster.leader();
    ASSERT_LT(successor, cluster.size());
    EXPECT_NE(successor, leader);
    EXPECT_TRUE(cluster.propose(successor, "b"));
    cluster.restart(leader);
    cluster.run(Base::seconds(1));
    EXPECT_EQ(cluster.applied(leader), "a,b,");
}
