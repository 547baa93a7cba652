#include "LibRegistry/Formation.h"

#include <gtest/gtest.h>

namespace {

Consensus::RaftStatus statusOf(std::size_t voters, std::size_t learners)
{
    Consensus::RaftStatus status;
    for (std::size_t index = 0; index < voters + learners; ++index)
        status.members.push_back({{std::to_string(index), 1, "", index < voters}, 0, {}});
    return status;
}

} // namespace

// A first configuration that two of three registries confirmed after some seconds was lost with one disk: a
// cluster of two has no majority without it. No time may end the refusal, because the third may be down for
// any time.
TEST(Formation, FirstConfigurationNeedsAMajorityAfterTheToleratedLosses)
{
    const auto needed = Registry::votersToForm({1, 3, true});
    EXPECT_EQ(needed, 3U);
    EXPECT_TRUE(Registry::isForming(statusOf(1, 0), 0, needed));
    EXPECT_TRUE(Registry::isForming(statusOf(2, 1), 0, needed));
    EXPECT_FALSE(Registry::isForming(statusOf(3, 0), 0, needed));
    EXPECT_EQ(Registry::votersToForm({2, 3, true}), 5U);
}

// A cluster that holds a configuration must go on accepting changes while a lost member is replaced.
TEST(Formation, ClusterThatHoldsAConfigurationGoesOn)
{
    EXPECT_FALSE(Registry::isForming(statusOf(2, 1), 7, 3));
}

// Deployments with fewer registries than the tolerated losses need, or without disks, must accept
// configurations as well.
TEST(Formation, SmallDeploymentsFormWithAllTheyHave)
{
    EXPECT_EQ(Registry::votersToForm({1, 1, true}), 1U);
    EXPECT_EQ(Registry::votersToForm({1, 2, true}), 2U);
    EXPECT_EQ(Registry::votersToForm({1, 0, true}), 1U);
    EXPECT_EQ(Registry::votersToForm({1, 3, false}), 1U);
    EXPECT_EQ(Registry::votersToForm({0, 3, true}), 1U);
}
