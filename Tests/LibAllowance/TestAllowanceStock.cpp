#include "LibAllowance/AllowanceStock.h"

#include <gtest/gtest.h>

namespace {

using Allowance::AllowanceStock;
using Allowance::Taking;
using Base::milliseconds;
using Base::seconds;
using Kind = Allowance::Taking::Kind;

const Base::Instant Start {seconds(1000)};

class StockTest : public testing::Test
{
protected:
    Taking take(Base::Instant now) { return stock_.take(now, "Ta", now + milliseconds(100)); }

    /// Lets a waiting request fetch `units` at `now`, each valid for a second.
    void answer(Base::Instant askedAt, Base::Instant now, std::uint32_t units)
    {
        const auto call = stock_.nextCall(askedAt);
        ASSERT_TRUE(call.has_value());
        Wire::AllowanceGrant grant {units, 1000, 200, 300, 50.0};
        stock_.callAnswered(now, call->sequence, {{grant}, {}});
    }

    AllowanceStock stock_ {1};
};

} // namespace

TEST_F(StockTest, WaitingRequestGetsTheUnitThatWasFetchedForIt)
{
    const auto waiting = take(Start);
    ASSERT_EQ(waiting.kind, Kind::Waiting);
    answer(Start, Start + milliseconds(2), 1);
    const auto decisions = stock_.takeDecisions();
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(decisions[0].waiter, waiting.waiter);
    EXPECT_EQ(decisions[0].taking.kind, Kind::Granted);
    // Counted from the question, as the leader may have answered at once and the answer been late.
    EXPECT_EQ(decisions[0].taking.unit.validUntil, Start + seconds(1));
    EXPECT_EQ(stock_.waiters(), 0U);
}

// One call serves all requests that come while another one is in flight.
TEST_F(StockTest, RequestsGoTogetherInOneCall)
{
    take(Start);
    const auto first = stock_.nextCall(Start);
    ASSERT_TRUE(first.has_value());
    take(Start + milliseconds(1));
    take(Start + milliseconds(1));
    EXPECT_FALSE(stock_.nextCall(Start + milliseconds(50)).has_value());
    stock_.callAnswered(Start + milliseconds(50), first->sequence, {{{1, 1000, 0, 0, 50.0}}, {}});
    const auto second = stock_.nextCall(Start + milliseconds(50));
    ASSERT_TRUE(second.has_value());
    EXPECT_EQ(second->request.asks.at(0).needed, 2U);
}

// A gateway that froze after its question must not spend what has run out meanwhile.
TEST_F(StockTest, UnitsThatEndedOnTheWayAreNotSpent)
{
    take(Start);
    const auto call = stock_.nextCall(Start);
    stock_.callAnswered(Start + seconds(2), call->sequence, {{{1, 1000, 0, 0, 50.0}}, {}});
    EXPECT_TRUE(stock_.takeDecisions().empty());
    stock_.runTimers(Start + seconds(2));
    const auto decisions = stock_.takeDecisions();
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(decisions[0].taking.kind, Kind::Unavailable);
    EXPECT_EQ(stock_.unitsEnded(), 1U);
}

// A cut-off gateway keeps answering at once as not run.
TEST_F(StockTest, WithoutALeaderRequestsWaitNoLongerThanTheirPatience)
{
    take(Start);
    const auto call = stock_.nextCall(Start);
    EXPECT_EQ(stock_.nextTimer(), Start + milliseconds(100));
    stock_.runTimers(Start + milliseconds(100));
    ASSERT_EQ(stock_.takeDecisions().size(), 1U);
    stock_.callFailed(Start + milliseconds(400), call->sequence);
    EXPECT_FALSE(stock_.nextCall(Start + milliseconds(500)).has_value());
}

TEST_F(StockTest, DeniedGatewayAsksNoMoreUntilThereIsAUnit)
{
    take(Start);
    take(Start);
    answer(Start, Start + milliseconds(2), 0);
    const auto decisions = stock_.takeDecisions();
    ASSERT_EQ(decisions.size(), 2U);
    EXPECT_EQ(decisions[0].taking.kind, Kind::OverLimit);
    EXPECT_EQ(decisions[0].taking.retryAfter, milliseconds(300));
    EXPECT_EQ(decisions[1].taking.retryAfter, milliseconds(350));
    const auto later = take(Start + milliseconds(100));
    EXPECT_EQ(later.kind, Kind::OverLimit);
    EXPECT_EQ(later.retryAfter, milliseconds(302));
    EXPECT_FALSE(stock_.nextCall(Start + milliseconds(100)).has_value());
    EXPECT_EQ(take(Start + milliseconds(203)).kind, Kind::Waiting);
}

// All refused callers of a hot tenant would otherwise come back at the same moment.
TEST_F(StockTest, LongestRetryTimesAreSpread)
{
    take(Start);
    answer(Start, Start, 0);
    std::set<Base::Duration> times;
    for (int count = 0; count < 1000; ++count) {
        const auto taking = take(Start + milliseconds(1));
        EXPECT_LE(taking.retryAfter, seconds(10));
        times.insert(taking.retryAfter);
    }
    EXPECT_GT(times.size(), 900U);
}

// What a server has not run must not cost the tenant its allowance; and a unit never lives longer for it.
TEST_F(StockTest, UnitThatWasGivenBackServesTheNextRequestUntilItsOldEnd)
{
    take(Start);
    answer(Start, Start, 1);
    const auto unit = stock_.takeDecisions().at(0).taking.unit;
    stock_.giveBack(Start + milliseconds(500), unit.key, unit.validUntil);
    const auto again = take(Start + milliseconds(600));
    ASSERT_EQ(again.kind, Kind::Granted);
    EXPECT_EQ(again.unit.validUntil, unit.validUntil);
    stock_.giveBack(Start + milliseconds(1000), unit.key, unit.validUntil);
    EXPECT_EQ(take(Start + milliseconds(1000)).kind, Kind::Waiting);
}

TEST_F(StockTest, UnitGivenBackGoesToWhoWaits)
{
    take(Start);
    answer(Start, Start, 1);
    const auto unit = stock_.takeDecisions().at(0).taking.unit;
    ASSERT_EQ(take(Start + milliseconds(10)).kind, Kind::Waiting);
    stock_.giveBack(Start + milliseconds(20), unit.key, unit.validUntil);
    EXPECT_EQ(stock_.takeDecisions().size(), 1U);
}

TEST_F(StockTest, CallerThatLeavesFreesItsPlace)
{
    const auto first = take(Start);
    const auto second = take(Start);
    stock_.abandon(first.waiter);
    stock_.abandon(first.waiter);
    answer(Start, Start, 1);
    const auto decisions = stock_.takeDecisions();
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(decisions[0].waiter, second.waiter);
}

// Requests that wait must not fill the memory while no leader answers.
TEST_F(StockTest, WaitersAreBounded)
{
    for (std::size_t count = 0; count < AllowanceStock::MaxWaiters; ++count)
        EXPECT_EQ(take(Start).kind, Kind::Waiting);
    EXPECT_EQ(take(Start).kind, Kind::Unavailable);
    stock_.abandonAll();
    EXPECT_EQ(stock_.takeDecisions().size(), AllowanceStock::MaxWaiters);
    EXPECT_EQ(stock_.waiters(), 0U);
}

// Late and repeated answers belong to calls that have ended.
TEST_F(StockTest, OnlyTheAnswerToTheOpenCallCounts)
{
    take(Start);
    const auto call = stock_.nextCall(Start);
    stock_.callAnswered(Start, call->sequence + 1, {{{5, 1000, 0, 0, 50.0}}, {}});
    EXPECT_TRUE(stock_.takeDecisions().empty());
    const Wire::TakeAllowanceReply reply {{{1, 1000, 0, 0, 50.0}}, {}};
    stock_.callAnswered(Start, call->sequence, reply);
    EXPECT_EQ(stock_.takeDecisions().size(), 1U);
    stock_.callAnswered(Start, call->sequence, reply);
    EXPECT_EQ(take(Start).kind, Kind::Waiting);
}

// A reply with too many units or grants must not let a gateway spend more than it asked for.
TEST_F(StockTest, WrongRepliesGiveNothingBeyondTheQuestion)
{
    take(Start);
    auto call = stock_.nextCall(Start);
    stock_.callAnswered(Start, call->sequence, {{{1, 1000, 0, 0, 1.0}, {1, 1000, 0, 0, 1.0}}, {}});
    EXPECT_TRUE(stock_.takeDecisions().empty());
    call = stock_.nextCall(Start + milliseconds(60));
    ASSERT_TRUE(call.has_value());
    stock_.callAnswered(Start + milliseconds(60), call->sequence,
                        {{{1'000'000, UINT32_MAX, 0, 0, 1e300}}, {}});
    ASSERT_EQ(stock_.takeDecisions().size(), 1U);
    EXPECT_EQ(take(Start + milliseconds(61)).kind, Kind::Waiting);
}

// Units that lie in stock for a tenant with rare requests are missing elsewhere.
TEST_F(StockTest, OnlyBusyKeysKeepAStock)
{
    take(Start);
    answer(Start, Start, 1);
    EXPECT_FALSE(stock_.nextCall(Start + milliseconds(10)).has_value());
    for (int count = 0; count < 40; ++count) {
        const auto now = Start + milliseconds(20 + 10 * count);
        take(now);
        if (const auto call = stock_.nextCall(now)) {
            const auto &ask = call->request.asks.at(0);
            stock_.callAnswered(now, call->sequence, {{{ask.needed + ask.ahead, 4000, 0, 0, 10.0}}, {}});
        }
    }
    EXPECT_EQ(take(Start + milliseconds(500)).kind, Kind::Granted);
}

TEST_F(StockTest, IdleKeysAreForgotten)
{
    take(Start);
    answer(Start, Start, 1);
    stock_.takeDecisions();
    EXPECT_EQ(stock_.keys(), 1U);
    stock_.sweep(Start + seconds(10));
    EXPECT_EQ(stock_.keys(), 0U);
}

// A server that is cold gets a request when a unit is there; otherwise another server gets it at once.
TEST_F(StockTest, ImmediateTakeFetchesForLater)
{
    EXPECT_FALSE(stock_.take(Start, "Ss\ni@1").has_value());
    answer(Start, Start + milliseconds(2), 1);
    EXPECT_TRUE(stock_.takeArrival());
    EXPECT_FALSE(stock_.takeArrival());
    const auto validUntil = stock_.take(Start + milliseconds(3), "Ss\ni@1");
    ASSERT_TRUE(validUntil.has_value());
    EXPECT_EQ(*validUntil, Start + seconds(1));
    EXPECT_FALSE(stock_.take(Start + milliseconds(3), "Ss\ni@1").has_value());
}

// Work that waits for a cold server has nobody who asks again for it.
TEST_F(StockTest, ImmediateTakeAsksAgainWhenADenialEnds)
{
    EXPECT_FALSE(stock_.take(Start, "Ss\ni@1").has_value());
    answer(Start, Start, 0);
    EXPECT_FALSE(stock_.takeArrival());
    EXPECT_FALSE(stock_.take(Start + milliseconds(50), "Ss\ni@1").has_value());
    EXPECT_FALSE(stock_.nextCall(Start + milliseconds(50)).has_value());
    EXPECT_EQ(stock_.nextTimer(), Start + milliseconds(200));
    answer(Start + milliseconds(200), Start + milliseconds(202), 1);
    EXPECT_TRUE(stock_.takeArrival());
}

// An operator's question must name what a request would meet, and take nothing.
TEST_F(StockTest, ForeseesWhatTakeAnswers)
{
    const auto foresee = [this](Base::Instant now) {
        return stock_.foresee(now, "Ta", now + milliseconds(100));
    };
    EXPECT_EQ(foresee(Start), Kind::Waiting);
    EXPECT_FALSE(stock_.has(Start, "Ta"));
    EXPECT_EQ(stock_.keys(), 0U);
    EXPECT_FALSE(stock_.nextCall(Start).has_value());
    // The units of two requests that have left stay in stock.
    EXPECT_EQ(take(Start).kind, Kind::Waiting);
    const auto second = take(Start).waiter;
    const auto third = take(Start).waiter;
    const auto call = stock_.nextCall(Start);
    ASSERT_TRUE(call.has_value());
    stock_.abandon(second);
    stock_.abandon(third);
    stock_.callAnswered(Start, call->sequence, {{{3, 1000, 200, 300, 50.0}}, {}});
    ASSERT_EQ(stock_.takeDecisions().size(), 1U);
    for (int count = 0; count < 5; ++count)
        EXPECT_EQ(foresee(Start), Kind::Granted);
    EXPECT_TRUE(stock_.has(Start, "Ta"));
    EXPECT_EQ(foresee(Start + seconds(1)), Kind::Waiting);
    EXPECT_FALSE(stock_.has(Start + seconds(1), "Ta"));
    EXPECT_EQ(take(Start).kind, Kind::Granted);
    EXPECT_EQ(take(Start).kind, Kind::Granted);
    EXPECT_EQ(foresee(Start), Kind::Waiting);
    EXPECT_EQ(take(Start).kind, Kind::Waiting);
    // A denial holds for 200 ms.
    answer(Start + milliseconds(10), Start + milliseconds(10), 0);
    ASSERT_EQ(stock_.takeDecisions().size(), 1U);
    EXPECT_EQ(foresee(Start + milliseconds(20)), Kind::OverLimit);
    EXPECT_EQ(take(Start + milliseconds(20)).kind, Kind::OverLimit);
    EXPECT_EQ(stock_.foresee(Start, "Tb", Start), Kind::Unavailable);
    EXPECT_EQ(stock_.take(Start, "Tb", Start).kind, Kind::Unavailable);
}
