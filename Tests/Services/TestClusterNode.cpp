#include "Services/Registry/ClusterNode.h"

#include "LibConsensus/TemporaryDirectory.h"

#include <gtest/gtest.h>

namespace {

const Base::Instant Start {Base::seconds(1000)};

Services::NodeSettings settingsOf(const std::string &directory)
{
    Services::NodeSettings settings;
    settings.nodeId = "vm-1";
    settings.ip = "10.0.0.1";
    settings.operatorAddress = "10.0.0.1:80";
    settings.registryPort = 7000;
    settings.seeds = {"10.0.0.1:80", "10.0.0.2:80"};
    settings.firstStart = true;
    settings.dataDirectory = directory;
    return settings;
}

/// Tells whether the node elects itself when nobody else is there.
bool leadsAlone(Services::ClusterNode &node)
{
    for (auto now = Start; now < Start + Base::seconds(5); now += Base::milliseconds(50)) {
        node.raft().tick(now);
        EXPECT_TRUE(node.raft().takeReady(now).has_value());
        if (node.raft().isLeader(now))
            return true;
    }
    return false;
}

} // namespace

TEST(ClusterNode, FirstSeedFoundsTheCluster)
{
    const TemporaryDirectory directory;
    const auto node = Services::ClusterNode::create(settingsOf(directory.path()), Start);
    ASSERT_TRUE(node.has_value());
    EXPECT_TRUE(leadsAlone(**node));
}

TEST(ClusterNode, OtherNodesJoin)
{
    const TemporaryDirectory directory;
    auto settings = settingsOf(directory.path());
    settings.operatorAddress = "10.0.0.2:80";
    const auto node = Services::ClusterNode::create(settings, Start);
    ASSERT_TRUE(node.has_value());
    EXPECT_FALSE(leadsAlone(**node));
}

// A wiped disk comes back with the same settings but for the first start; founding again would split the
// deployment into two clusters with different configurations.
TEST(ClusterNode, EmptiedNodeDoesNotFoundAgain)
{
    const TemporaryDirectory directory;
    auto settings = settingsOf(directory.path());
    settings.firstStart = false;
    const auto node = Services::ClusterNode::create(settings, Start);
    ASSERT_TRUE(node.has_value());
    EXPECT_FALSE(leadsAlone(**node));
}

// csf-waxroute hunt-ffb3-3: the first seed was removed while it was cut off, set its log aside, and founded a
// second cluster, because its settings still spoke of the first start.
TEST(ClusterNode, RemovedNodeDoesNotFoundAgain)
{
    const TemporaryDirectory directory;
    const auto settings = settingsOf(directory.path());
    ASSERT_TRUE(Services::ClusterNode::create(settings, Start).has_value());
    ASSERT_TRUE(Services::ClusterNode::reset(settings).has_value());
    for (int start = 0; start < 2; ++start) {
        const auto node = Services::ClusterNode::create(settings, Start);
        ASSERT_TRUE(node.has_value());
        EXPECT_FALSE(leadsAlone(**node)) << "start " << start;
    }
}

// Registries without a disk shared one directory when their VMs shared a file system, and all but one of them
// did not work.
TEST(ClusterNode, NodesWithoutADiskShareNothing)
{
    auto first = settingsOf("");
    auto second = settingsOf("");
    second.nodeId = "vm-2";
    second.operatorAddress = "10.0.0.2:80";
    const auto one = Services::ClusterNode::create(first, Start);
    ASSERT_TRUE(one.has_value());
    const auto two = Services::ClusterNode::create(second, Start);
    ASSERT_TRUE(two.has_value());
    EXPECT_NE((*one)->incarnation(), (*two)->incarnation());
    EXPECT_FALSE((*two)->holdsLog());
    const auto again = Services::ClusterNode::create(second, Start);
    ASSERT_TRUE(again.has_value());
    EXPECT_NE((*again)->incarnation(), (*two)->incarnation());
}

// It must not do so after its removal either, although it remembers nothing of it.
TEST(ClusterNode, NodeWithoutADiskKeepsNothingOverAReset)
{
    auto settings = settingsOf("");
    settings.firstStart = false;
    ASSERT_TRUE(Services::ClusterNode::reset(settings).has_value());
    const auto node = Services::ClusterNode::create(settings, Start);
    ASSERT_TRUE(node.has_value());
    EXPECT_FALSE(leadsAlone(**node));
}

// review/11: a first seed without a disk founded the cluster, and what it alone had confirmed was lost with
// its power.
TEST(ClusterNode, FirstSeedWithoutADiskDoesNotFound)
{
    const auto node = Services::ClusterNode::create(settingsOf(""), Start);
    ASSERT_TRUE(node.has_value());
    EXPECT_FALSE(leadsAlone(**node));
    EXPECT_FALSE((*node)->mayFound());
}

// Only a disk that never belonged to a cluster may found one; otherwise two clusters would exist.
TEST(ClusterNode, AppointedNodeFoundsOnAFreshDiskOnly)
{
    using Founding = Services::ClusterNode::Founding;
    const TemporaryDirectory directory;
    auto settings = settingsOf(directory.path());
    settings.operatorAddress = "10.0.0.2:80";
    {
        const auto node = Services::ClusterNode::create(settings, Start);
        ASSERT_TRUE(node.has_value());
        EXPECT_TRUE((*node)->mayFound());
    }
    {
        const auto node = Services::ClusterNode::create(settings, Start, Founding::Appointed);
        ASSERT_TRUE(node.has_value());
        EXPECT_FALSE((*node)->mayFound());
        EXPECT_TRUE(leadsAlone(**node));
    }
    ASSERT_TRUE(Services::ClusterNode::reset(settings).has_value());
    const auto removed = Services::ClusterNode::create(settings, Start, Founding::Appointed);
    ASSERT_TRUE(removed.has_value());
    EXPECT_FALSE((*removed)->mayFound());
    EXPECT_FALSE(leadsAlone(**removed));
}
