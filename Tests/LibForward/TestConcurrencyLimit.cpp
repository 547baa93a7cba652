#include "LibForward/ConcurrencyLimit.h"
#include "LibForward/RouteTimes.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using Base::Instant;
using Base::milliseconds;
using Base::seconds;
using Forward::ConcurrencyLimit;

namespace {

constexpr std::uint32_t Slots = 8;

/// Replies that a server gives at a steady rate.
class Replies
{
public:
    ConcurrencyLimit limit;
    Instant now {seconds(1000)};

    void give(double latency, std::uint32_t inFlight, Base::Duration time, Base::Duration interval)
    {
        for (const auto end = now + time; now < end; now += interval)
            limit.record(now, latency, inFlight, Slots);
    }
};

} // namespace

TEST(ConcurrencyLimit, StartsWithoutALimit)
{
    const ConcurrencyLimit limit;
    EXPECT_EQ(limit.limit(Slots), Slots);
    EXPECT_EQ(limit.limit(3), 3U);
}

// A server that is slow with all of its slots in use gets less, and all of them again once it is fast.
TEST(ConcurrencyLimit, FollowsLatencyInBothDirections)
{
    Replies replies;
    replies.give(1.0, 3, seconds(3), milliseconds(10));
    EXPECT_EQ(replies.limit.limit(Slots), Slots);
    replies.give(2.5, 8, seconds(2), milliseconds(10));
    const auto lowered = replies.limit.limit(Slots);
    EXPECT_LT(lowered, Slots);
    for (int step = 0; step < 40; ++step)
        replies.give(1.0, replies.limit.limit(Slots), milliseconds(500), milliseconds(10));
    EXPECT_EQ(replies.limit.limit(Slots), Slots);
}

// A pause of the server ends with a burst of slow replies. It is no overload.
TEST(ConcurrencyLimit, PausesDoNotLowerIt)
{
    Replies replies;
    for (int pause = 0; pause < 20; ++pause) {
        replies.give(1.0, 8, milliseconds(700), milliseconds(5));
        replies.now += milliseconds(120 + 7 * pause);
        for (int reply = 0; reply < 8; ++reply)
            replies.limit.record(replies.now, 15.0, 8, Slots);
        EXPECT_EQ(replies.limit.limit(Slots), Slots);
    }
}

// Too few replies say nothing, whatever their latency.
TEST(ConcurrencyLimit, FewRepliesDoNotLowerIt)
{
    Replies replies;
    replies.give(1.0, 1, seconds(3), milliseconds(10));
    replies.give(3.0, 2, seconds(60), milliseconds(400));
    EXPECT_EQ(replies.limit.limit(Slots), Slots);
}

// A server that was found to take one attempt and then gets hardly any recovers within a minute.
TEST(ConcurrencyLimit, RecoversWithoutLoad)
{
    Replies replies;
    replies.give(1.0, 3, seconds(3), milliseconds(10));
    replies.give(3.0, 8, seconds(1), milliseconds(10));
    EXPECT_LT(replies.limit.limit(Slots), Slots);
    replies.give(1.0, 1, seconds(60), milliseconds(400));
    EXPECT_EQ(replies.limit.limit(Slots), Slots);
}

// A server that becomes slower for good, also with one attempt at a time, must not stay at one.
TEST(ConcurrencyLimit, FollowsALastingChangeOfSpeed)
{
    Replies replies;
    replies.give(1.0, 3, seconds(3), milliseconds(10));
    for (int step = 0; step < 120; ++step)
        replies.give(2.2, replies.limit.limit(Slots), milliseconds(500), milliseconds(10));
    EXPECT_EQ(replies.limit.limit(Slots), Slots);
    EXPECT_NEAR(replies.limit.best(), 2.2, 0.5);
}

RC_GTEST_PROP(ConcurrencyLimit, StaysWithinBounds, ())
{
    ConcurrencyLimit limit;
    Instant now {seconds(1000)};
    const auto count = *rc::gen::inRange(1, 400);
    for (int index = 0; index < count; ++index) {
        now += milliseconds(*rc::gen::inRange(0, 200));
        const auto ceiling = *rc::gen::inRange<std::uint32_t>(1, 20);
        limit.record(now, 0.1 * *rc::gen::inRange(1, 100), *rc::gen::inRange<std::uint32_t>(1, 30), ceiling);
        RC_ASSERT(limit.limit(ceiling) >= 1U);
        RC_ASSERT(limit.limit(ceiling) <= ceiling);
    }
}

// The usual latency of a route must not follow an overload of all its servers.
TEST(RouteTimesReference, FollowsDownAtOnceAndUpSlowly)
{
    Forward::RouteTimes times(milliseconds(100));
    for (int index = 0; index < 1000; ++index)
        times.add(milliseconds(10));
    EXPECT_NEAR(Base::toMilliseconds(times.reference()), 10.0, 1.0);
    for (int index = 0; index < 1000; ++index)
        times.add(milliseconds(30));
    EXPECT_GT(Base::toMilliseconds(times.mean()), 25.0);
    EXPECT_LT(Base::toMilliseconds(times.reference()), 12.0);
    for (int index = 0; index < 100'000; ++index)
        times.add(milliseconds(30));
    EXPECT_NEAR(Base::toMilliseconds(times.reference()), 30.0, 1.0);
}
