#include "LibControl/RepairingCluster.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace {

using Base::milliseconds;
using Base::seconds;

constexpr std::uint64_t Seed = 7;
constexpr unsigned LateReplyPercent = 30;

/// Registries of a deployment that tolerates the loss of `tolerated` VMs.
class Registries
{
public:
    explicit Registries(unsigned size, std::size_t tolerated = 1)
        : cluster_(size, Seed)
        , logic_(cluster_, tolerated, random_, LateReplyPercent)
    {
        logic_.run(seconds(2));
    }

    void run(Base::Duration time, const std::set<std::size_t> &isolated = {}) { logic_.run(time, isolated); }

    void loseDisk(std::size_t index, Base::Duration downFor)
    {
        cluster_.wipe(index);
        logic_.run(downFor);
        cluster_.restart(index);
    }

    /// Adds a node with an empty disk and gives it time to catch up.
    std::size_t addSuccessor()
    {
        const auto index = cluster_.addNode();
        logic_.run(seconds(4));
        return index;
    }

    void beginLeaving(std::size_t index) { logic_.beginLeaving(index); }

    /// Stores a command and reports whether all nodes applied it.
    bool storesAndApplies(const std::string &command)
    {
        if (cluster_.leader() == cluster_.size() || !cluster_.propose(cluster_.leader(), command))
            return false;
        logic_.run(seconds(2));
        for (std::size_t index = 0; index < cluster_.size(); ++index) {
            if (!cluster_.isRetired(index) && !cluster_.applied(index).ends_with(command + ","))
                return false;
        }
        return true;
    }

    SimulatedCluster &cluster() { return cluster_; }

private:
    Base::RandomSource random_ {Seed};
    SimulatedCluster cluster_;
    RepairingCluster logic_;
};

} // namespace

// One node that loses its disk several times in quick succession must not add up to several lost voters: the
// two others, which are never touched, are a majority of the three.
TEST(MembershipRepair, SurvivesRepeatedLossOfOneDisk)
{
    for (int upMs = 50; upMs <= 2500; upMs += 50) {
        Registries registries(3);
        ASSERT_TRUE(registries.storesAndApplies("before")) << "up for " << upMs << " ms";
        for (int loss = 0; loss < 6; ++loss) {
            registries.loseDisk(2, milliseconds(200));
            registries.run(milliseconds(upMs));
        }
        registries.run(seconds(8));
        EXPECT_TRUE(registries.storesAndApplies("after")) << "up for " << upMs << " ms";
        EXPECT_TRUE(registries.cluster().isFullyRepaired()) << "up for " << upMs << " ms";
        EXPECT_TRUE(registries.cluster().violations.empty()) << registries.cluster().violations.front();
    }
}

// A registry that is replaced as planned must not count for the majority once it has stopped: the loss of a
// disk right afterwards would leave two of four voters that can never answer again.
TEST(MembershipRepair, SurvivesDiskLossAfterPlannedReplacement)
{
    for (std::size_t leaving = 0; leaving < 3; ++leaving) {
        for (int gapMs = 0; gapMs <= 4000; gapMs += 100) {
            const auto scenario = fmt::format("node {} leaves, gap of {} ms", leaving, gapMs);
            Registries registries(3);
            ASSERT_TRUE(registries.storesAndApplies("before"));
            registries.addSuccessor();
            registries.beginLeaving(leaving);
            registries.run(milliseconds(gapMs));
            registries.loseDisk((leaving + 1) % 3, seconds(1));
            registries.run(seconds(10));
            EXPECT_TRUE(registries.storesAndApplies("after")) << scenario;
            EXPECT_TRUE(registries.cluster().isFullyRepaired()) << scenario;
            ASSERT_TRUE(registries.cluster().violations.empty()) << registries.cluster().violations.front();
        }
    }
}

// The same with the disk lost first: the leaving registry is one of three voters that respond, so it must not
// stop before the lost one is replaced or removed.
TEST(MembershipRepair, SurvivesPlannedReplacementAfterDiskLoss)
{
    for (int downMs = 100; downMs <= 3000; downMs += 100) {
        const auto scenario = fmt::format("down for {} ms", downMs);
        Registries registries(3);
        ASSERT_TRUE(registries.storesAndApplies("before"));
        registries.addSuccessor();
        registries.cluster().wipe(1);
        registries.run(milliseconds(20));
        registries.beginLeaving(2);
        registries.run(milliseconds(downMs));
        registries.cluster().restart(1);
        registries.run(seconds(12));
        EXPECT_TRUE(registries.storesAndApplies("after")) << scenario;
        EXPECT_TRUE(registries.cluster().isFullyRepaired()) << scenario;
        ASSERT_TRUE(registries.cluster().violations.empty()) << registries.cluster().violations.front();
    }
}

// Planned replacement of every registry must not end the cluster, however close the stop signals are.
TEST(MembershipRepair, SurvivesPlannedReplacementOfAllNodes)
{
    for (int gapMs = 0; gapMs <= 3000; gapMs += 100) {
        const auto scenario = fmt::format("gap of {} ms", gapMs);
        Registries registries(3);
        ASSERT_TRUE(registries.storesAndApplies("before"));
        for (int node = 0; node < 3; ++node)
            registries.cluster().addNode();
        registries.run(seconds(4));
        for (std::size_t node = 0; node < 3; ++node) {
            registries.beginLeaving(node);
            registries.run(milliseconds(gapMs));
        }
        registries.run(seconds(10));
        EXPECT_TRUE(registries.storesAndApplies("after")) << scenario;
        EXPECT_TRUE(registries.cluster().isFullyRepaired()) << scenario;
        ASSERT_TRUE(registries.cluster().violations.empty()) << registries.cluster().violations.front();
    }
}

// A restart of a registry without a successor must not shrink the cluster: its log would be discarded.
TEST(MembershipRepair, KeepsMemberThatRestartsWithoutSuccessor)
{
    Registries registries(3);
    ASSERT_TRUE(registries.storesAndApplies("before"));
    registries.beginLeaving(2);
    registries.run(seconds(1));
    EXPECT_TRUE(registries.cluster().isRetired(2));
    EXPECT_EQ(registries.cluster().committedMembership().members.size(), 3U);
}

// Six registries that are cut into halves: with six votes, neither half has a majority. The one without a
// vote and two others are cut off here, so that the three that are left go on.
TEST(MembershipRepair, OneHalfOfAnEvenNumberGoesOn)
{
    Registries registries(5, 2);
    ASSERT_TRUE(registries.storesAndApplies("before"));
    const auto standby = registries.addSuccessor();
    auto &cluster = registries.cluster();
    ASSERT_EQ(cluster.committedMembership().members.size(), 6U);
    const auto leader = cluster.leader();
    ASSERT_LT(leader, standby);
    const std::set<std::size_t> cutOff {standby, leader, (leader + 1) % 5};
    registries.run(seconds(4), cutOff);
    const auto next = (leader + 2) % 5;
    const auto leads = cluster.node(next)->status(cluster.now()).leaderId;
    EXPECT_FALSE(leads.empty());
    EXPECT_NE(leads, cluster.member(leader, true).nodeId);
}
