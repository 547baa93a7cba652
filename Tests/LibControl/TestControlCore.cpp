#include "FakeCluster.h"

#include <gtest/gtest.h>

namespace {

using Base::ErrorKind;
using Control::PromotionState;
using Tests::FakeCluster;

constexpr std::int64_t Day = std::int64_t {24} * 60 * 60 * 1000;

Wire::ClaimRequestMessage claimBy(const std::string &entryId, std::int64_t createdAt,
                                  std::uint64_t attempt = 1)
{
    return {"request-1", "digest", entryId, 1, createdAt, attempt};
}

} // namespace

// Two operators on one base revision must not both succeed, and the other must be told which change won.
TEST(ControlCore, RaceOnOneBaseRevisionHasOneWinner)
{
    FakeCluster cluster;
    const auto first = cluster.submit("two-by-1");
    const auto second = cluster.submit("two-by-2");
    cluster.renew(FakeCluster::renewal("e1"));
    const auto winner = cluster.promote(first, 0, "change-a");
    const auto loser = cluster.promote(second, 0, "change-b");
    cluster.commit();
    EXPECT_FALSE(winner->has_value());
    EXPECT_FALSE(loser->has_value());
    cluster.renew(FakeCluster::renewal("e1", 1));
    ASSERT_TRUE(winner->has_value() && loser->has_value());
    EXPECT_EQ(**winner, (Control::PromotionResult {PromotionState::Accepted, 1, first, "change-a", ""}));
    EXPECT_EQ(**loser, (Control::PromotionResult {PromotionState::Conflict, 1, first, "change-a", ""}));
}

// A promotion that waits behind a rejected one must still be proposed.
TEST(ControlCore, WaitingPromotionFollowsRejectedOne)
{
    FakeCluster cluster;
    const auto hash = cluster.submit("two-by-1");
    cluster.renew(FakeCluster::renewal("e1"));
    const auto rejected = cluster.promote(hash, 0, "change-a");
    const auto waiting = cluster.promote(hash, 0, "change-b");
    cluster.commit();
    auto report = FakeCluster::renewal("e1");
    report.rejectedRevision = 1;
    report.rejectionDetail = "no memory";
    cluster.renew(report);
    ASSERT_TRUE(rejected->has_value());
    EXPECT_EQ((**rejected)->state, PromotionState::Rejected);
    EXPECT_EQ((**rejected)->detail, "e1: no memory");
    // A report about the aborted proposal must not count for the next one.
    cluster.renew(FakeCluster::renewal("e1", 1));
    EXPECT_FALSE(waiting->has_value());
    cluster.renew(FakeCluster::renewal("e1", 2));
    ASSERT_TRUE(waiting->has_value());
    EXPECT_EQ((**waiting)->revision, 2U);
}

// An operator who resends a change after a lost reply must get the first result and cause no second change.
TEST(ControlCore, ResentChangeGetsFirstResult)
{
    FakeCluster cluster;
    const auto first = cluster.submit("two-by-1");
    const auto second = cluster.submit("two-by-2");
    cluster.promote(first, 0, "change-a");
    cluster.commit();
    cluster.promote(second, 1, "change-b");
    cluster.commit();
    ASSERT_EQ(cluster.content().accepted.revision, 2U);
    cluster.elect(1);
    const auto resent = cluster.promote(first, 0, "change-a");
    const auto reused = cluster.promote(second, 0, "change-a");
    cluster.commit();
    ASSERT_TRUE(resent->has_value() && reused->has_value());
    EXPECT_EQ(**resent, (Control::PromotionResult {PromotionState::Accepted, 1, first, "change-a", ""}));
    EXPECT_EQ((*reused)->error().kind, ErrorKind::InvalidRequest);
    EXPECT_EQ(cluster.content().accepted.revision, 2U);
}

// After a leader change the operator cannot know the result; the promotion must go on and a resend must join
// it.
TEST(ControlCore, LeaderChangeDuringPromotion)
{
    FakeCluster cluster;
    const auto hash = cluster.submit("two-by-1");
    cluster.renew(FakeCluster::renewal("e1"));
    const auto interrupted = cluster.promote(hash, 0, "change-a");
    cluster.commit();
    cluster.elect(1);
    ASSERT_TRUE(interrupted->has_value());
    EXPECT_EQ((*interrupted)->error().kind, ErrorKind::OutcomeUnknown);
    const auto resent = cluster.promote(hash, 0, "change-a");
    cluster.commit();
    EXPECT_FALSE(resent->has_value());
    cluster.renew(FakeCluster::renewal("e1", 1));
    ASSERT_TRUE(resent->has_value());
    EXPECT_EQ((**resent)->state, PromotionState::Accepted);
}

// A leader without quorum must not report success, and what it proposed may be lost without harm.
TEST(ControlCore, LeaderWithoutQuorumReportsNoSuccess)
{
    FakeCluster cluster;
    const auto hash = cluster.submit("two-by-1");
    cluster.nodes[0]->raft.hasQuorum = false;
    const auto refused = cluster.promote(hash, 0, "change-a");
    ASSERT_TRUE(refused->has_value());
    EXPECT_EQ((*refused)->error(), (Base::Error {ErrorKind::NotLeader, "c1:9"}));
    EXPECT_EQ(cluster.renew(FakeCluster::renewal("e1"))->error().kind, ErrorKind::NotLeader);
    cluster.nodes[0]->raft.hasQuorum = true;
    cluster.commit();
    const auto unknown = cluster.promote(hash, 0, "change-b");
    cluster.nodes[0]->raft.hasQuorum = false;
    cluster.commit();
    ASSERT_TRUE(unknown->has_value());
    EXPECT_EQ((*unknown)->error().kind, ErrorKind::OutcomeUnknown);
    cluster.elect(1);
    EXPECT_EQ(cluster.content().accepted.revision, 0U);
}

// Acceptance must wait for a silent entry process until its lease expires, and no longer.
TEST(ControlCore, SilentEntryDelaysAcceptanceByItsLease)
{
    FakeCluster cluster;
    const auto hash = cluster.submit("two-by-1");
    cluster.renew(FakeCluster::renewal("e1"));
    cluster.elect(2);
    const auto promotion = cluster.promote(hash, 0, "change-a");
    cluster.advance(Base::milliseconds(3300));
    EXPECT_FALSE(promotion->has_value());
    cluster.advance(Base::milliseconds(100));
    ASSERT_TRUE(promotion->has_value());
    EXPECT_EQ((**promotion)->state, PromotionState::Accepted);
    EXPECT_TRUE(cluster.content().entries.empty());
}

// A restarted entry process must not get a lease while its predecessor may still hold one.
TEST(ControlCore, SuccessorWaitsForLeaseOfPredecessor)
{
    FakeCluster cluster;
    cluster.renew(FakeCluster::renewal("e1", 0, 1));
    EXPECT_EQ(cluster.renew(FakeCluster::renewal("e1", 0, 2))->error().kind, ErrorKind::LeaseExpired);
    cluster.advance(Base::milliseconds(3350));
    EXPECT_TRUE(cluster.renew(FakeCluster::renewal("e1", 0, 2))->has_value());
    EXPECT_EQ(cluster.renew(FakeCluster::renewal("e1", 0, 1))->error().kind, ErrorKind::LeaseExpired);
}

// A claim whose reply was lost with its leader must be granted again to the same attempt, and to no other.
TEST(ControlCore, ClaimSurvivesLeaderChange)
{
    FakeCluster cluster;
    cluster.renew(FakeCluster::renewal("e1"));
    cluster.renew(FakeCluster::renewal("e2"));
    std::optional<ErrorKind> firstError;
    cluster.leader().claim(cluster.now, cluster.wallNow, claimBy("e1", cluster.wallNow),
                           [&firstError](const auto &result) { firstError = result.error().kind; });
    cluster.elect(1, true);
    EXPECT_EQ(firstError, ErrorKind::NotLeader);
    const auto repeated = cluster.claim(claimBy("e1", cluster.wallNow));
    EXPECT_EQ(repeated->state, Wire::ClaimState::Granted);
    EXPECT_EQ(cluster.claim(claimBy("e1", cluster.wallNow, 2))->state, Wire::ClaimState::InProgress);
    EXPECT_EQ(cluster.claim(claimBy("e2", cluster.wallNow))->state, Wire::ClaimState::InProgress);
    EXPECT_TRUE(cluster.record({"request-1", "e1", 1, false, {200, "ok"}, repeated->claimId})->recorded);
    EXPECT_EQ(cluster.claim(claimBy("e2", cluster.wallNow))->outcome.body, "ok");
}

// A request whose claimant lost its lease must never be granted again, even when the claimant registers
// again.
TEST(ControlCore, DeadClaimantLeavesOutcomeUnknown)
{
    FakeCluster cluster;
    cluster.renew(FakeCluster::renewal("e1"));
    cluster.renew(FakeCluster::renewal("e2"));
    const auto createdAt = cluster.wallNow;
    ASSERT_EQ(cluster.claim(claimBy("e1", createdAt))->state, Wire::ClaimState::Granted);
    for (int i = 0; i < 7; ++i) {
        cluster.advance(Base::milliseconds(500));
        cluster.renew(FakeCluster::renewal("e2"));
    }
    EXPECT_EQ(cluster.claim(claimBy("e2", createdAt))->state, Wire::ClaimState::OutcomeUnknown);
    EXPECT_EQ(cluster.claim(claimBy("e1", createdAt)).error().kind, ErrorKind::LeaseExpired);
    cluster.renew(FakeCluster::renewal("e1"));
    EXPECT_EQ(cluster.claim(claimBy("e1", createdAt))->state, Wire::ClaimState::OutcomeUnknown);
    cluster.wallNow += Day + 1;
    EXPECT_EQ(cluster.claim(claimBy("e2", createdAt))->state, Wire::ClaimState::Expired);
}
