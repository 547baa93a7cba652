#include "LibAllowance/AllowanceDivider.h"
#include "LibAllowance/AllowanceKey.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using Allowance::AllowanceDivider;
using Allowance::AllowanceTerms;
using Base::milliseconds;
using Base::seconds;

const Base::Instant Start {seconds(1000)};
const AllowanceTerms TenPerSecond {10.0, 20.0, 0.0, seconds(1)};

Wire::AllowanceGrant take(AllowanceDivider &divider, Base::Instant now, const std::string &key,
                          std::uint32_t needed, std::uint32_t ahead = 0)
{
    const auto reply = divider.take(now, {{{key, needed, ahead}}});
    return reply ? reply->grants.at(0) : Wire::AllowanceGrant {};
}

class DividerTest : public testing::Test
{
protected:
    DividerTest()
    {
        divider_.begin(Start, 1);
        divider_.setTerms(Start, {{"Ta", TenPerSecond}});
    }

    AllowanceDivider divider_;
};

} // namespace

// Two leaders must not add up to more than one.
TEST_F(DividerTest, NewLeaderStartsEmptyAndEarns)
{
    EXPECT_EQ(take(divider_, Start, "Ta", 1).units, 0U);
    EXPECT_EQ(take(divider_, Start + seconds(1), "Ta", 100).units, 10U);
    divider_.begin(Start + seconds(60), 2);
    EXPECT_EQ(take(divider_, Start + seconds(60), "Ta", 1).units, 0U);
}

TEST_F(DividerTest, LevelIsBoundedAndUnitsAreGivenOnce)
{
    EXPECT_EQ(take(divider_, Start + seconds(100), "Ta", 15).units, 15U);
    EXPECT_EQ(take(divider_, Start + seconds(100), "Ta", 15).units, 5U);
    EXPECT_EQ(take(divider_, Start + seconds(100), "Ta", 15).units, 0U);
}

// A stock at one gateway must not take the unit that a request at another one needs.
TEST_F(DividerTest, StocksGetHalfOfTheRest)
{
    const auto grant = take(divider_, Start + seconds(100), "Ta", 4, 100);
    EXPECT_EQ(grant.units, 4U + 8U);
}

// A limit that an operator lowers holds at once, also for what was earned before.
TEST_F(DividerTest, LoweredLimitClipsTheLevelAndRaisedOneEarnsFaster)
{
    EXPECT_EQ(take(divider_, Start + seconds(100), "Ta", 0).units, 0U);
    divider_.setTerms(Start + seconds(100), {{"Ta", {1.0, 2.0, 0.0, seconds(1)}}});
    EXPECT_EQ(take(divider_, Start + seconds(100), "Ta", 100).units, 2U);
    divider_.setTerms(Start + seconds(101), {{"Ta", {100.0, 200.0, 0.0, seconds(1)}}});
    EXPECT_EQ(take(divider_, Start + seconds(102), "Ta", 1000).units, 101U);
}

// A limit that is lowered and raised again must not give a second burst; the explorer found it.
TEST_F(DividerTest, RaisedLimitDoesNotFillTheBucketAtOnce)
{
    EXPECT_EQ(take(divider_, Start + seconds(100), "Ta", 20).units, 20U);
    divider_.setTerms(Start + seconds(100), {{"Ta", {1.0, 1.0, 0.0, seconds(1)}}});
    divider_.sweep(Start + seconds(102)); // Full again, by the low limit.
    EXPECT_EQ(divider_.buckets(), 0U);
    divider_.setTerms(Start + seconds(102), {{"Ta", TenPerSecond}});
    EXPECT_EQ(take(divider_, Start + seconds(102), "Ta", 100).units, 1U);
}

// A tenant that is dropped and added again must not get a second burst.
TEST_F(DividerTest, RuleThatComesBackStartsEmpty)
{
    EXPECT_EQ(take(divider_, Start + seconds(100), "Ta", 20).units, 20U);
    divider_.setTerms(Start + seconds(101), {});
    EXPECT_EQ(take(divider_, Start + seconds(101), "Ta", 1).units, 0U);
    divider_.setTerms(Start + seconds(102), {{"Ta", TenPerSecond}});
    EXPECT_EQ(take(divider_, Start + seconds(102), "Ta", 1).units, 0U);
}

// All who are refused at once would come back at once.
TEST_F(DividerTest, DeniedAreToldTimesOneBehindTheOther)
{
    const auto now = Start + seconds(100);
    take(divider_, now, "Ta", 20);
    const auto first = take(divider_, now, "Ta", 3);
    EXPECT_EQ(first.retryAfterMs, 100U);
    EXPECT_EQ(first.unitAfterMs, 100U);
    EXPECT_DOUBLE_EQ(first.spacingMs, 100.0);
    const auto second = take(divider_, now, "Ta", 1);
    EXPECT_EQ(second.retryAfterMs, 400U);
    EXPECT_EQ(second.unitAfterMs, 100U);
}

// Memory is bounded by the keys in use, not by all tenants that ever sent something.
TEST_F(DividerTest, FullBucketsNeedNoMemory)
{
    take(divider_, Start + seconds(100), "Ta", 20);
    EXPECT_EQ(divider_.buckets(), 1U);
    divider_.sweep(Start + seconds(101));
    EXPECT_EQ(divider_.buckets(), 1U);
    divider_.sweep(Start + seconds(103));
    EXPECT_EQ(divider_.buckets(), 0U);
    EXPECT_EQ(take(divider_, Start + seconds(103), "Ta", 100).units, 20U);
}

TEST_F(DividerTest, ManyKeysOfOneRuleStayBounded)
{
    divider_.setTerms(Start, {{Allowance::coldServiceRule("s"), TenPerSecond}});
    const auto now = Start + seconds(100);
    for (std::size_t index = 0; index < AllowanceDivider::MaxBuckets + 10; ++index)
        take(divider_, now, Allowance::coldServerKey("s", std::to_string(index), 5), 1);
    EXPECT_EQ(divider_.buckets(), AllowanceDivider::MaxBuckets);
    EXPECT_EQ(take(divider_, now, Allowance::coldServerKey("s", "another", 5), 1).units, 0U);
    EXPECT_EQ(take(divider_, now + seconds(1), Allowance::coldServerKey("s", "another", 5), 1).units, 1U);
}

TEST_F(DividerTest, RefusesMessagesBeyondTheirLimits)
{
    const auto fails = [this](const Wire::TakeAllowanceRequest &request) {
        const auto reply = divider_.take(Start, request);
        return !reply && reply.error().kind == Base::ErrorKind::InvalidRequest;
    };
    EXPECT_TRUE(fails({std::vector<Wire::AllowanceAsk>(AllowanceDivider::MaxAsksPerRequest + 1)}));
    EXPECT_TRUE(fails({{{std::string(AllowanceDivider::MaxKeyBytes + 1, 'T'), 1, 0}}}));
    EXPECT_TRUE(fails({{{"Ta", AllowanceDivider::MaxUnitsPerAsk + 1, 0}}}));
    EXPECT_TRUE(fails({{{"Ta", 0, UINT32_MAX}}}));
    EXPECT_EQ(divider_.buckets(), 0U);
}

// Input from a faulty peer must end as an error and never as a crash or a partly decoded message.
RC_GTEST_PROP(AllowanceMessages, RejectArbitraryInput, (const std::vector<std::uint8_t> &input))
{
    (void)Wire::decode<Wire::TakeAllowanceRequest>(input);
    (void)Wire::decode<Wire::TakeAllowanceReply>(input);
}

TEST(AllowanceMessages, RoundTrip)
{
    const auto request = Wire::decode<Wire::TakeAllowanceRequest>(
        Wire::encode(Wire::TakeAllowanceRequest {{{"Ta", 3, 4}, {"Sb\nc@5", 1, 0}}}));
    ASSERT_TRUE(request.has_value());
    ASSERT_EQ(request->asks.size(), 2U);
    EXPECT_EQ(request->asks[0].key, "Ta");
    EXPECT_EQ(request->asks[0].needed, 3U);
    EXPECT_EQ(request->asks[0].ahead, 4U);
    const auto reply = Wire::decode<Wire::TakeAllowanceReply>(
        Wire::encode(Wire::TakeAllowanceReply {{{7, 300, 40, 500, 12.5}}, "10.0.0.1:7000"}));
    ASSERT_TRUE(reply.has_value());
    EXPECT_EQ(reply->leaderAddress, "10.0.0.1:7000");
    EXPECT_EQ(reply->grants.at(0).units, 7U);
    EXPECT_EQ(reply->grants.at(0).validMs, 300U);
    EXPECT_EQ(reply->grants.at(0).unitAfterMs, 40U);
    EXPECT_EQ(reply->grants.at(0).retryAfterMs, 500U);
    EXPECT_DOUBLE_EQ(reply->grants.at(0).spacingMs, 12.5);
}

TEST(AllowanceKey, RuleOfAKey)
{
    EXPECT_EQ(Allowance::ruleOf(Allowance::tenantKey("a")), Allowance::tenantKey("a"));
    EXPECT_EQ(Allowance::ruleOf(Allowance::coldServerKey("s", "i-1", 5)), Allowance::coldServiceRule("s"));
    EXPECT_NE(Allowance::tenantKey("s"), Allowance::coldServiceRule("s"));
    EXPECT_NE(Allowance::coldServerKey("s", "i", 1), Allowance::coldServerKey("s", "i", 2));
}

// The whole guarantee rests on this sum; see AllowanceTerms.
RC_GTEST_PROP(AllowanceTermsProperties, NeverAllowMoreThanTheTolerance, ())
{
    const auto real = [](double high) {
        return high * static_cast<double>(*rc::gen::inRange(0, 1'000'001)) / 1e6;
    };
    const Allowance::RateLimit limit {0.001 + real(5000.0), real(1000.0)};
    const Allowance::Tolerance tolerance {milliseconds(200 + *rc::gen::inRange(0, 20'000)), real(1.0),
                                          real(50.0)};
    const auto terms = Allowance::termsFor(limit, tolerance);
    const double span = std::chrono::duration<double>(tolerance.window + terms.validity).count();
    const double leaders =
        std::floor(span / std::chrono::duration<double>(Allowance::StartLevelDelay).count()) + 1;
    const double most = terms.perSecond * span + terms.capacity + leaders * terms.startLevel;
    // The least capacity is one whole unit.
    RC_ASSERT(most <= std::max(1.0, Allowance::mostInWindow(limit, tolerance)) + 1e-6);
    RC_ASSERT(terms.capacity >= 1.0);
    RC_ASSERT(terms.perSecond >= 0.0);
}

// A tolerance that falls must not let more be spent, in a window that begins under the old one, than that
// allowed: what is earned goes on no faster, and nothing is valid for longer.
RC_GTEST_PROP(AllowanceTermsProperties, FallingToleranceAllowsNoMoreThanTheOldOne, ())
{
    const auto real = [](double high) {
        return high * static_cast<double>(*rc::gen::inRange(0, 1'000'001)) / 1e6;
    };
    const Allowance::RateLimit limit {0.001 + real(5000.0), real(1000.0)};
    const Allowance::Tolerance old {milliseconds(200 + *rc::gen::inRange(0, 20'000)), real(1.0), real(50.0)};
    const auto before = Allowance::termsFor(limit, old);
    const auto after =
        Allowance::termsFor(limit, {old.window, old.overage * real(1.0), old.slack * real(1.0)});
    RC_ASSERT(after.perSecond <= before.perSecond + 1e-6);
    RC_ASSERT(after.capacity <= before.capacity + 1e-6);
    RC_ASSERT(after.validity <= before.validity);
    // The leader in whose term it falls may have its start level still to give.
    const double span = std::chrono::duration<double>(old.window + before.validity).count();
    const double leaders =
        std::floor(span / std::chrono::duration<double>(Allowance::StartLevelDelay).count());
    const double most = before.perSecond * span + before.capacity + leaders * before.startLevel
                        + std::max(before.startLevel, after.startLevel);
    RC_ASSERT(most <= std::max(1.0, Allowance::mostInWindow(limit, old)) + 1e-6);
}

// Cold servers fail when the bound is exceeded, and stay cold for long when it isn't used.
TEST(AllowanceTerms, OfAColdServer)
{
    const auto terms = Allowance::termsFor({10.0, 0.0}, {seconds(1), 0.5, 5.0});
    EXPECT_GE(terms.perSecond, 9.0);
    EXPECT_GE(terms.validity, milliseconds(200));
}
