#include "LibForward/CallerDelay.h"

#include <gtest/gtest.h>

using Base::milliseconds;

// With a fixed allowance, nearby callers got answers with fewer parts than time allowed, and distant callers
// got late answers.
TEST(CallerDelay, FollowsTheRoundTripOfTheConnection)
{
    const auto near = Forward::estimateCallerDelay(milliseconds(2), false);
    const auto far = Forward::estimateCallerDelay(milliseconds(30), false);
    EXPECT_EQ(far.network - near.network, milliseconds(28));
    EXPECT_GT(near.network, milliseconds(2));
    EXPECT_LT(near.network, milliseconds(8));
}

TEST(CallerDelay, CountsTheHandshakeOfANewConnection)
{
    const auto kept = Forward::estimateCallerDelay(milliseconds(9), false);
    const auto first = Forward::estimateCallerDelay(milliseconds(9), true);
    EXPECT_EQ(first.network - kept.network, milliseconds(9));
    EXPECT_EQ(first.lookUp, milliseconds(18));
    EXPECT_GT(first.lookUpShare, kept.lookUpShare);
}

TEST(CallerDelay, AssumesARoundTripWithinTheRegion)
{
    const auto unknown = Forward::estimateCallerDelay(std::nullopt, false);
    EXPECT_GT(unknown.network, milliseconds(5));
    EXPECT_LT(unknown.network, milliseconds(20));
}
