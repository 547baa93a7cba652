#include "LibRegistry/BusyMeter.h"
#include "LibRegistry/CallerShare.h"

#include <gtest/gtest.h>

namespace {

using Base::milliseconds;
using Base::seconds;
using Registry::BusyMeter;
using Registry::CallerShare;
using Wire::FullCallerShare;

/// Feeds one figure a second.
class SharedCallers
{
public:
    void feed(std::optional<double> busy, int count)
    {
        for (int second = 0; second < count; ++second, now_ += seconds(1)) {
            const auto before = share_.sixteenths();
            share_.update(now_, busy);
            largestStep_ = std::max(largestStep_, std::abs(share_.sixteenths() - before));
            largeChanges_ += share_.takeLargeChange() ? 1 : 0;
        }
    }
    int sixteenths() const { return share_.sixteenths(); }
    int largestStep() const { return largestStep_; }
    int largeChanges() const { return largeChanges_; }
    void pass(Base::Duration time) { now_ += time; }

private:
    Base::Instant now_ {seconds(1000)};
    CallerShare share_;
    int largestStep_ = 0;
    int largeChanges_ = 0;
};

} // namespace

// A reduced share of a gateway with room would send its callers to others for nothing.
TEST(CallerShare, StaysFullWhileNothingIsHot)
{
    SharedCallers callers;
    callers.feed(0.45, 100);
    callers.feed(1.0, 1); // A single bad second.
    callers.feed(0.3, 20);
    EXPECT_EQ(callers.sixteenths(), FullCallerShare);
    EXPECT_EQ(callers.largestStep(), 0);
}

// Callers act seconds later, so a large step would empty the gateway before its effect can be seen.
TEST(CallerShare, FallsInSmallStepsAndKeepsSomeCallers)
{
    SharedCallers callers;
    for (int second = 1; second <= 10; ++second) {
        callers.feed(1.0, 1);
        EXPECT_GE(callers.sixteenths(), (1.0 - CallerShare::FallPerSecond * second) * FullCallerShare - 1.0);
    }
    EXPECT_LT(callers.sixteenths(), FullCallerShare);
    callers.feed(1.0, 100);
    EXPECT_GE(callers.sixteenths(), 4);
    EXPECT_LE(callers.sixteenths(), 5);
    EXPECT_LE(callers.largestStep(), 2);
    EXPECT_EQ(callers.largeChanges(), 2); // 16 to 8, and to 4.
}

// A figure that moves within the dead band must not move callers.
TEST(CallerShare, StaysWithinTheDeadBand)
{
    SharedCallers callers;
    callers.feed(0.75, 100);
    const auto settled = callers.sixteenths();
    EXPECT_LT(settled, FullCallerShare);
    for (int round = 0; round < 20; ++round) {
        callers.feed(0.55, 10);
        callers.feed(0.75, 10);
        EXPECT_EQ(callers.sixteenths(), settled);
    }
}

// The load that lowered the share may be over although the figure stays in the dead band.
TEST(CallerShare, CreepsBackToFullWhileNothingIsHot)
{
    SharedCallers callers;
    callers.feed(0.75, 100);
    const auto lowered = callers.sixteenths();
    callers.feed(0.4, 30);
    EXPECT_LE(callers.sixteenths(), lowered + 1);
    callers.feed(0.4, 400);
    EXPECT_EQ(callers.sixteenths(), FullCallerShare);
}

// Uneven servers when all are hot: the hotter one must stay the one with fewer callers.
TEST(CallerShare, HotterGatewayHasTheLowerShare)
{
    SharedCallers warm;
    SharedCallers hot;
    warm.feed(0.7, 200);
    hot.feed(0.9, 200);
    EXPECT_LT(hot.sixteenths() + 4, warm.sixteenths());
}

TEST(CallerShare, RisesToFullAgain)
{
    SharedCallers callers;
    callers.feed(1.0, 60);
    callers.feed(0.1, 100);
    EXPECT_EQ(callers.sixteenths(), FullCallerShare);
    EXPECT_EQ(callers.largeChanges(), 4);
}

// A gateway that cannot measure counts as one of its class.
TEST(CallerShare, IsFullWithoutARecentFigure)
{
    SharedCallers callers;
    callers.feed(1.0, 60);
    callers.feed(std::nullopt, 100);
    EXPECT_EQ(callers.sixteenths(), FullCallerShare);
}

// A VM that was suspended for minutes must not make up for the steps that it has missed.
TEST(CallerShare, MovesNoFasterAfterAPause)
{
    SharedCallers callers;
    callers.feed(1.0, 60);
    const auto before = callers.sixteenths();
    callers.pass(seconds(300));
    callers.feed(0.0, 2);
    EXPECT_LE(callers.sixteenths(), before + 1);
}

TEST(BusyMeter, GivesAFigureEachSecond)
{
    BusyMeter meter;
    Base::Instant now {seconds(1000)};
    int figures = 0;
    double last = 0.0;
    for (int tick = 0; tick <= 40; ++tick, now += milliseconds(250)) {
        if (const auto busy = meter.sample(now, milliseconds(tick % 2 == 0 ? 30 : 0))) {
            ++figures;
            last = *busy;
        }
    }
    EXPECT_EQ(figures, 10);
    EXPECT_DOUBLE_EQ(last, 0.5);
}

// Suspended VMs and early timers are no load.
TEST(BusyMeter, SuspensionIsNoLoad)
{
    BusyMeter meter;
    Base::Instant now {seconds(1000)};
    for (int tick = 0; tick < 3; ++tick, now += milliseconds(250))
        EXPECT_FALSE(meter.sample(now, milliseconds(0)));
    now += seconds(10);
    EXPECT_FALSE(meter.sample(now, seconds(10)));
    for (int tick = 0; tick < 3; ++tick) {
        now += milliseconds(250);
        EXPECT_FALSE(meter.sample(now, milliseconds(-1)));
    }
    now += milliseconds(250);
    EXPECT_EQ(meter.sample(now, milliseconds(0)), 0.0);
}

// One pause of a second, such as a core that is taken away, counts as a short one.
TEST(BusyMeter, OneLongWaitDoesNotOutweighAWindow)
{
    BusyMeter meter;
    Base::Instant now {seconds(1000)};
    meter.sample(now, milliseconds(0));
    now += seconds(1);
    const auto busy = meter.sample(now, seconds(1));
    ASSERT_TRUE(busy);
    EXPECT_LT(*busy, 0.95);
}
