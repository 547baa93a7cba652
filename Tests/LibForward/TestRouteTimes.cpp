#include "LibForward/RouteTimes.h"

#include <gtest/gtest.h>

// The replies of one gather arrive in the order of their latency, so a mean over fewer attempts than a gather
// has shards would follow the slowest replies.
TEST(RouteTimes, MeanDoesNotFollowTheLastReplies)
{
    constexpr int Shards = 90;
    Forward::RouteTimes times(Base::milliseconds(120));
    for (int gather = 0; gather < 20; ++gather) {
        for (int reply = 0; reply < Shards; ++reply)
            times.add(Base::milliseconds(reply < 80 ? 10 : 100));
    }
    EXPECT_GT(times.mean(), Base::milliseconds(15));
    EXPECT_LT(times.mean(), Base::milliseconds(35));
}

// The assumed initial latency must be replaced within the first gather.
TEST(RouteTimes, FollowsTheFirstRepliesQuickly)
{
    Forward::RouteTimes times(Base::milliseconds(600));
    for (int reply = 0; reply < 10; ++reply)
        times.add(Base::milliseconds(5));
    EXPECT_LT(times.mean(), Base::milliseconds(20));
}
