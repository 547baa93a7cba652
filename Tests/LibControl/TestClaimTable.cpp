#include "LibControl/ClaimTable.h"

#include <gtest/gtest.h>

namespace {

using Control::ClaimTable;
using Wire::ClaimState;

constexpr std::int64_t Now = 1'700'000'000'000;

Control::ClaimRequest claim(const std::string &digest, std::uint64_t attempt, std::int64_t at = Now)
{
    return {{"request-1", digest, "e1", 1, Now, attempt}, at};
}

} // namespace

// Another body under a used id must be refused and must never get the outcome of the first body.
TEST(ClaimTable, RefusesAnotherBody)
{
    ClaimTable claims;
    EXPECT_EQ(claims.claim(claim("digest", 1), 10)->state, ClaimState::Granted);
    EXPECT_EQ(claims.claim(claim("other", 1), 11)->state, ClaimState::DigestMismatch);
    EXPECT_TRUE(claims.record({"request-1", "e1", 1, false, {200, "done"}, 10}).recorded);
    EXPECT_EQ(claims.claim(claim("other", 2), 12)->state, ClaimState::DigestMismatch);
    EXPECT_EQ(claims.claim(claim("digest", 2), 13)->outcome.body, "done");
}

// A late copy of "not run" must not remove the claim that followed it, or the request could run twice.
TEST(ClaimTable, LateNotRunLeavesNewerClaim)
{
    ClaimTable claims;
    ASSERT_EQ(claims.claim(claim("digest", 1), 10)->claimId, 10U);
    const Wire::RecordOutcomeRequest notRun {"request-1", "e1", 1, true, {}, 10};
    EXPECT_TRUE(claims.record(notRun).recorded);
    EXPECT_EQ(claims.claim(claim("digest", 2), 11)->state, ClaimState::Granted);
    EXPECT_FALSE(claims.record(notRun).recorded);
    EXPECT_FALSE(claims.record({"request-1", "e1", 1, true, {}, 0}).recorded);
    EXPECT_EQ(claims.claim(claim("digest", 3), 12)->state, ClaimState::InProgress);
}

// A recorded outcome must not change, whatever arrives later.
TEST(ClaimTable, RecordedOutcomeNeverChanges)
{
    ClaimTable claims;
    (void)claims.claim(claim("digest", 1), 10);
    EXPECT_FALSE(claims.record({"request-1", "e2", 1, false, {200, "foreign"}, 10}).recorded);
    EXPECT_FALSE(claims.record({"request-1", "e1", 2, false, {200, "restarted"}, 10}).recorded);
    EXPECT_TRUE(claims.record({"request-1", "e1", 1, false, {200, "first"}, 10}).recorded);
    EXPECT_TRUE(claims.record({"request-1", "e1", 1, false, {200, "first"}, 10}).recorded);
    EXPECT_FALSE(claims.record({"request-1", "e1", 1, false, {200, "second"}, 10}).recorded);
    EXPECT_FALSE(claims.record({"request-1", "e1", 1, true, {}, 10}).recorded);
    EXPECT_EQ(claims.claim(claim("digest", 2), 11)->outcome.body, "first");
}

// A claim that is removed while its id is still accepted would let the request run twice. A leader with a
// slower clock must not make an expired id valid again.
TEST(ClaimTable, IdExpiresBeforeItsClaimIsRemoved)
{
    ClaimTable claims;
    (void)claims.claim(claim("digest", 1), 10);
    claims.orphan("e1", 1);
    const auto end = Now + ClaimTable::RetentionMilliseconds;
    EXPECT_EQ(claims.claim(claim("digest", 2, end), 11)->state, ClaimState::OutcomeUnknown);
    EXPECT_EQ(claims.claim(claim("digest", 2, end + 1), 12)->state, ClaimState::Expired);
    EXPECT_EQ(claims.claim(claim("digest", 2, Now), 13)->state, ClaimState::Expired);
    (void)claims.claim(claim("digest", 2, end + ClaimTable::SweepIntervalMilliseconds), 14);
    EXPECT_EQ(claims.size(), 0U);
}

// A table that outgrows the message limit would give snapshots that no node can load again.
TEST(ClaimTable, RefusesClaimsWhenFull)
{
    ClaimTable claims;
    const std::string body(ClaimTable::MaxBytesForClaims / 2, 'x');
    std::uint64_t id = 0;
    const auto add = [&](const std::string &requestId) {
        ++id;
        const auto reply = claims.claim({{requestId, "digest", "e1", 1, Now, id}, Now}, id);
        return reply && claims.record({requestId, "e1", 1, false, {200, body}, id}).recorded;
    };
    EXPECT_TRUE(add("a") && add("b"));
    EXPECT_EQ(claims.claim({{"c", "digest", "e1", 1, Now, 9}, Now}, 9).error().kind,
              Base::ErrorKind::Overloaded);
    EXPECT_LT(Wire::encode(claims).size(), Wire::MaxMessageBytes / 2);
    (void)claims.claim(claim("digest", 1, Now + ClaimTable::RetentionMilliseconds + 1), 10);
    EXPECT_EQ(claims.bytes(), 0U);
}
