// Who gives way when the memory for callers is used up, and when a transfer is too slow.

#include "LibEdge/MemoryAccount.h"
#include "LibEdge/TransferProgress.h"

#include <gtest/gtest.h>
#include <vector>

using Base::milliseconds;

namespace {

const Base::Instant Start {Base::seconds(1000)};

class FakeHolder final : public Edge::MemoryHolder
{
public:
    FakeHolder(Edge::MemoryAccount &account, std::size_t bytes, Base::Instant lastProgress)
        : account_(account)
        , bytes_(bytes)
        , lastProgress_(lastProgress)
    {
        account.add(*this);
        EXPECT_TRUE(account.resize(Start, 0, bytes, this));
    }

    std::size_t releasableBytes() const override { return mayEnd ? bytes_ : 0; }
    Base::Instant lastProgress() const override { return lastProgress_; }
    void giveWay() override
    {
        account_.resize(Start, bytes_, 0);
        bytes_ = 0;
    }

    bool gaveWay() const { return bytes_ == 0; }

    bool mayEnd = true;

private:
    Edge::MemoryAccount &account_;
    std::size_t bytes_;
    Base::Instant lastProgress_;
};

} // namespace

// A crowd of unfinished bodies beside an ordinary caller: the large and stopped ones go, the caller stays.
TEST(MemoryAccount, LargestAndSlowestGiveWayFirst)
{
    Edge::MemoryAccount account(100'000);
    FakeHolder ordinary(account, 2000, Start - Base::seconds(60));
    FakeHolder moving(account, 40'000, Start);
    FakeHolder stopped(account, 30'000, Start - Base::seconds(5));
    FakeHolder asking(account, 1000, Start);
    EXPECT_TRUE(account.resize(Start, 1000, 41'000, &asking));
    EXPECT_TRUE(stopped.gaveWay());
    EXPECT_FALSE(moving.gaveWay());
    EXPECT_FALSE(ordinary.gaveWay());
    EXPECT_EQ(account.heldBytes(), 83'000U);
}

// Requests that a server has, and answers under way from it, must not be cut off for a new one.
TEST(MemoryAccount, RequestsUnderWayStay)
{
    Edge::MemoryAccount account(50'000);
    FakeHolder underWay(account, 45'000, Start - Base::seconds(5));
    underWay.mayEnd = false;
    FakeHolder asking(account, 1000, Start);
    EXPECT_FALSE(account.resize(Start, 1000, 20'000, &asking));
    EXPECT_FALSE(underWay.gaveWay());
    EXPECT_EQ(account.heldBytes(), 46'000U);
}

// Whoever is first in the order itself is told so and takes nothing from others.
TEST(MemoryAccount, TheLargestItselfIsRefused)
{
    Edge::MemoryAccount account(50'000);
    FakeHolder small(account, 10'000, Start);
    FakeHolder large(account, 30'000, Start - milliseconds(10));
    EXPECT_FALSE(account.resize(Start, 30'000, 45'000, &large));
    EXPECT_FALSE(small.gaveWay());
}

// An answer that is ready is kept although others have to go for it.
TEST(MemoryAccount, AnswersAreChargedInAnyCase)
{
    Edge::MemoryAccount account(50'000);
    FakeHolder unfinished(account, 30'000, Start - Base::seconds(1));
    account.force(Start, 0, 40'000);
    EXPECT_TRUE(unfinished.gaveWay());
    EXPECT_EQ(account.heldBytes(), 40'000U);
    account.force(Start, 40'000, 60'000);
    EXPECT_EQ(account.heldBytes(), 60'000U);
}

TEST(TransferProgress, EachWindowBringsItsShare)
{
    constexpr auto Window = Base::seconds(10);
    Edge::TransferProgress progress;
    progress.begin(Start);
    auto now = Start;
    for (int second = 0; second < 60; ++second) {
        now += Base::seconds(1);
        progress.moved(now, Edge::TransferProgress::BytesPerWindow / 8);
        EXPECT_FALSE(progress.isTooSlow(now, Window)) << second;
    }
    bool ended = false;
    for (int second = 0; second < 25 && !ended; ++second) {
        now += Base::seconds(1);
        progress.moved(now, 10);
        ended = progress.isTooSlow(now, Window);
    }
    EXPECT_TRUE(ended);
}
