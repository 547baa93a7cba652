#include "LibControl/MembershipPlanner.h"

#include <gtest/gtest.h>

namespace {

using Base::milliseconds;
using Control::MembershipPlanner;

Consensus::MemberStatus member(const std::string &nodeId, std::uint64_t incarnation, bool voter,
                               std::uint64_t matchIndex, Base::Duration silentFor = {})
{
    return {{nodeId, incarnation, nodeId + ":9", voter}, matchIndex, silentFor};
}

} // namespace

// A learner that becomes a voter too early would count for a majority without holding the log. Beside the
// lost incarnation of its node it would also raise the majority, which the loss of the same disk once more
// would then put out of reach for good.
TEST(MembershipPlanner, RemovesLostIncarnationBeforeItsSuccessorVotes)
{
    Consensus::RaftStatus status;
    status.commitIndex = 10;
    status.members = {member("c1", 1, true, 10), member("c2", 1, true, 10),
                      member("c3", 1, true, 7, milliseconds(100)), member("c3", 2, false, 0)};
    // The successor has not answered this leader yet, so its join request may be an old one.
    EXPECT_FALSE(MembershipPlanner::next(status, 3).has_value());
    status.members[3].matchIndex = 10;
    const auto removed = MembershipPlanner::next(status, 3);
    ASSERT_TRUE(removed.has_value());
    ASSERT_EQ(removed->members.size(), 3U);
    EXPECT_EQ(removed->members.back().incarnation, 2U);
    EXPECT_FALSE(removed->members.back().voter);
    status.members.erase(status.members.begin() + 2);
    status.members[2].matchIndex = 9;
    EXPECT_FALSE(MembershipPlanner::next(status, 3).has_value());
    status.members[2].matchIndex = 10;
    const auto promoted = MembershipPlanner::next(status, 3);
    ASSERT_TRUE(promoted.has_value());
    EXPECT_EQ(promoted->members.size(), 3U);
    EXPECT_TRUE(promoted->members.back().voter);
}

// A voter that is only silent, or whose newer incarnation has not answered this leader, must stay.
TEST(MembershipPlanner, KeepsVotersWithoutReplacement)
{
    Consensus::RaftStatus status;
    status.members = {member("c1", 1, true, 0), member("c2", 1, true, 0, milliseconds(60'000)),
                      member("c3", 1, true, 0), member("c3", 2, true, 0)};
    EXPECT_FALSE(MembershipPlanner::next(status, 3).has_value());
    EXPECT_FALSE(MembershipPlanner::findUnheard(status, "c1").has_value());
    EXPECT_TRUE(MembershipPlanner::findUnheard(status, "c2").has_value());
}

// Until its removal is committed, the log of a node that was silent may be what a majority needs.
TEST(MembershipPlanner, KeepsLogUntilRemovalIsCommitted)
{
    using JoinAnswer = MembershipPlanner::JoinAnswer;
    Consensus::RaftStatus status;
    status.members = {member("c1", 1, true, 10), member("c2", 1, true, 10)};
    status.commitIndex = 9;
    status.membershipIndex = 10;
    const Wire::RaftMember removed {"c3", 1, "c3:9", false};
    EXPECT_EQ(MembershipPlanner::join(status, removed, true).answer, JoinAnswer::AskAgain);
    EXPECT_EQ(MembershipPlanner::join(status, status.members[1].member, true).answer, JoinAnswer::IsMember);
    status.commitIndex = 10;
    EXPECT_EQ(MembershipPlanner::join(status, removed, true).answer, JoinAnswer::SetLogAside);
    const auto added = MembershipPlanner::join(status, {"c3", 2, "c3:9", false}, false);
    EXPECT_EQ(added.answer, JoinAnswer::Add);
    ASSERT_EQ(added.membership.members.size(), 3U);
    EXPECT_FALSE(added.membership.members.back().voter);
}

// Six voters that are cut into halves have no majority on either side; five of them do.
TEST(MembershipPlanner, KeepsTheNumberOfVotersOdd)
{
    Consensus::RaftStatus status;
    status.commitIndex = 10;
    for (const auto *name : {"c1", "c2", "c3", "c4"})
        status.members.push_back(member(name, 1, true, 10));
    status.members.push_back(member("c5", 1, false, 10));
    status.members.push_back(member("c6", 1, false, 10));
    const auto fifth = MembershipPlanner::next(status, 5);
    ASSERT_TRUE(fifth.has_value());
    EXPECT_TRUE(fifth->members[4].voter);
    EXPECT_FALSE(fifth->members[5].voter);
    status.members[4].member.voter = true;
    EXPECT_FALSE(MembershipPlanner::next(status, 5).has_value());
    // Two at once keep the number odd.
    status.members.push_back(member("c7", 1, false, 10));
    const auto sixth = MembershipPlanner::next(status, 5);
    ASSERT_TRUE(sixth.has_value());
    EXPECT_TRUE(sixth->members[5].voter);
    status.members[5].member.voter = true;
    const auto seventh = MembershipPlanner::next(status, 5);
    ASSERT_TRUE(seventh.has_value());
    EXPECT_TRUE(seventh->members[6].voter);
}

// The target goes before the odd number: a deployment that asks for more voters than it has gets all.
TEST(MembershipPlanner, BelowTheTargetEachNodeVotes)
{
    Consensus::RaftStatus status;
    status.commitIndex = 10;
    for (const auto *name : {"c1", "c2", "c3"})
        status.members.push_back(member(name, 1, true, 10));
    status.members.push_back(member("c4", 1, false, 10));
    EXPECT_TRUE(MembershipPlanner::next(status, 5).has_value());
    EXPECT_FALSE(MembershipPlanner::next(status, 3).has_value());
}

// Without the vote of the standby, a voter that never returns could not be removed.
TEST(MembershipPlanner, StandbyReplacesASilentVoter)
{
    Consensus::RaftStatus status;
    status.commitIndex = 10;
    status.members = {member("c1", 1, true, 10), member("c2", 1, true, 4, milliseconds(5000)),
                      member("c3", 1, true, 10), member("c4", 1, false, 10)};
    EXPECT_FALSE(MembershipPlanner::withoutGone(status, 3, milliseconds(6000)).has_value());
    const auto promoted = MembershipPlanner::withoutGone(status, 3, milliseconds(4000));
    ASSERT_TRUE(promoted.has_value());
    ASSERT_EQ(promoted->members.size(), 4U);
    EXPECT_TRUE(promoted->members.back().voter);
    status.members.back().member.voter = true;
    const auto removed = MembershipPlanner::withoutGone(status, 3, milliseconds(4000));
    ASSERT_TRUE(removed.has_value());
    EXPECT_EQ(removed->members.size(), 3U);
}

// After a restart, a node without a disk has lost the entries that it confirmed, so a majority that counts it
// could lose committed entries.
TEST(MembershipPlanner, NodesWithoutDiskNeverVote)
{
    Consensus::RaftStatus status;
    status.commitIndex = 10;
    status.members = {member("c1", 1, true, 10), member("c2", 1, false, 10)};
    status.members[1].member.hasDisk = false;
    EXPECT_FALSE(MembershipPlanner::next(status, 3).has_value());
}

// With three voters of which one never returns, the loss of another would leave no majority.
TEST(MembershipPlanner, RemovesSilentMembersWhenEnoughVotersRespond)
{
    Consensus::RaftStatus status;
    status.members = {member("c1", 1, true, 0), member("c2", 1, true, 0, milliseconds(5000)),
                      member("c3", 1, true, 0), member("c4", 1, true, 0)};
    const auto shrunk = MembershipPlanner::withoutGone(status, 3, milliseconds(4000));
    ASSERT_TRUE(shrunk.has_value());
    EXPECT_EQ(shrunk->members.size(), 3U);
    EXPECT_FALSE(MembershipPlanner::withoutGone(status, 4, milliseconds(4000)).has_value());
    EXPECT_FALSE(MembershipPlanner::withoutGone(status, 3, milliseconds(6000)).has_value());
    status.members[1].member.voter = false;
    EXPECT_TRUE(MembershipPlanner::withoutGone(status, 9, milliseconds(4000)).has_value());
}

// A registry that is told to stop must neither stay a voter that never answers again, nor leave fewer voters
// than the tolerated losses need, nor go while the others have no majority.
TEST(MembershipPlanner, LeavingNodeIsRemovedOnlyIfEnoughVotersRemain)
{
    using LeaveAnswer = MembershipPlanner::LeaveAnswer;
    const Consensus::NodeIdentity leaving {"c3", 1};
    Consensus::RaftStatus status;
    status.members = {member("c1", 1, true, 10), member("c2", 1, true, 10), member("c3", 1, true, 10)};
    EXPECT_EQ(MembershipPlanner::leave(status, leaving, 3).answer, LeaveAnswer::Needed);
    status.members.push_back(member("c4", 1, false, 10));
    EXPECT_EQ(MembershipPlanner::leave(status, leaving, 3).answer, LeaveAnswer::Prepare);
    status.members.back().member.voter = true;
    const auto step = MembershipPlanner::leave(status, leaving, 3);
    ASSERT_EQ(step.answer, LeaveAnswer::Remove);
    EXPECT_EQ(step.membership.members.size(), 3U);
    status.members[0].silentFor = milliseconds(5000);
    EXPECT_EQ(MembershipPlanner::leave(status, leaving, 3).answer, LeaveAnswer::Remove);
    status.members[1].silentFor = milliseconds(5000);
    EXPECT_EQ(MembershipPlanner::leave(status, leaving, 3).answer, LeaveAnswer::AskAgain);
    status.members.erase(status.members.begin() + 2);
    EXPECT_EQ(MembershipPlanner::leave(status, leaving, 3).answer, LeaveAnswer::Gone);
    status.membershipIndex = status.commitIndex + 1;
    EXPECT_EQ(MembershipPlanner::leave(status, leaving, 3).answer, LeaveAnswer::AskAgain);
}

// A standby has its vote before the leaving node gives up its own, so that there are never fewer voters.
TEST(MembershipPlanner, StandbyVotesBeforeANodeLeaves)
{
    using LeaveAnswer = MembershipPlanner::LeaveAnswer;
    const Consensus::NodeIdentity leaving {"c1", 1};
    Consensus::RaftStatus status;
    status.commitIndex = 10;
    status.members = {member("c1", 1, true, 10), member("c2", 1, true, 10), member("c3", 1, true, 10),
                      member("c4", 1, false, 9)};
    EXPECT_EQ(MembershipPlanner::leave(status, leaving, 3).answer, LeaveAnswer::AskAgain);
    status.members.back().matchIndex = 10;
    const auto prepared = MembershipPlanner::leave(status, leaving, 3);
    ASSERT_EQ(prepared.answer, LeaveAnswer::Prepare);
    EXPECT_EQ(prepared.membership.members.size(), 4U);
    EXPECT_TRUE(prepared.membership.members.back().voter);
    status.members.back().member.voter = true;
    EXPECT_EQ(MembershipPlanner::leave(status, leaving, 3).answer, LeaveAnswer::Remove);
}

// A founder without a disk keeps its vote only until a registry with a disk has one: the loss of its power
// would leave a majority out of reach.
TEST(MembershipPlanner, VoterWithoutADiskGivesWayToOneThatHasOne)
{
    Consensus::RaftStatus status;
    status.leaderId = "c1";
    status.commitIndex = 10;
    status.membershipIndex = 10;
    status.members = {member("c1", 1, true, 10), member("c2", 1, true, 10), member("c3", 1, false, 10)};
    status.members[0].member.hasDisk = false;
    status.members[1].member.hasDisk = false;
    const auto promoted = MembershipPlanner::next(status, 1);
    ASSERT_TRUE(promoted.has_value());
    EXPECT_TRUE(promoted->members[2].voter);
    status.members[2].member.voter = true;
    status.members[2].matchIndex = 9;
    EXPECT_FALSE(MembershipPlanner::next(status, 1).has_value()) << "before the disk holds the membership";
    status.members[2].matchIndex = 10;
    const auto withoutFollower = MembershipPlanner::next(status, 1);
    ASSERT_TRUE(withoutFollower.has_value());
    EXPECT_EQ(withoutFollower->members.size(), 2U);
    EXPECT_EQ(withoutFollower->members.front().nodeId, "c1");
    status.members.erase(status.members.begin() + 1);
    const auto withoutLeader = MembershipPlanner::next(status, 1);
    ASSERT_TRUE(withoutLeader.has_value());
    ASSERT_EQ(withoutLeader->members.size(), 1U);
    EXPECT_EQ(withoutLeader->members.front().nodeId, "c3");
}

// review/12: where no member has a disk, one of them alone must not be the cluster.
TEST(MembershipPlanner, NodesWithoutADiskVoteWhereNobodyHasOne)
{
    Consensus::RaftStatus status;
    status.commitIndex = 10;
    status.members = {member("c1", 1, true, 10), member("c2", 1, false, 10)};
    for (auto &each : status.members)
        each.member.hasDisk = false;
    const auto promoted = MembershipPlanner::next(status, 3);
    ASSERT_TRUE(promoted.has_value());
    EXPECT_TRUE(promoted->members[1].voter);
    status.members.push_back(member("c3", 1, false, 4));
    EXPECT_FALSE(MembershipPlanner::next(status, 3).has_value()) << "it gives way to a disk";
}

// As a member that has lost its log it would count for the majority for good.
TEST(MembershipPlanner, NodeWithoutADiskLeavesWhenAnybodyElseCanVote)
{
    using LeaveAnswer = MembershipPlanner::LeaveAnswer;
    Consensus::RaftStatus status;
    status.members = {member("c1", 1, true, 0)};
    status.members[0].member.hasDisk = false;
    const Consensus::NodeIdentity leaving {"c1", 1};
    EXPECT_EQ(MembershipPlanner::leave(status, leaving, 3).answer, LeaveAnswer::Needed);
    status.members.push_back(member("c2", 1, true, 0));
    EXPECT_EQ(MembershipPlanner::leave(status, leaving, 3).answer, LeaveAnswer::Remove);
    status.members.push_back(member("c3", 1, false, 0));
    EXPECT_EQ(MembershipPlanner::leave(status, leaving, 3).answer, LeaveAnswer::Prepare);
}
