#include "LibConsensus/RestartPoll.h"
#include "LibConsensus/SimulatedCluster.h"

#include <gtest/gtest.h>

namespace {

constexpr auto StabilizationTime = Base::seconds(3);

/// A cluster that has elected a leader.
class RaftNodeTest : public testing::Test
{
protected:
    void SetUp() override
    {
        cluster.run(StabilizationTime);
        leader = cluster.leader();
        ASSERT_LT(leader, cluster.size());
        follower = (leader + 1) % cluster.size();
    }
    void TearDown() override { EXPECT_TRUE(cluster.violations.empty()) << cluster.violations.front(); }

    Consensus::RaftStatus status(std::size_t index) { return cluster.node(index)->status(cluster.now()); }

    SimulatedCluster cluster {3, 42};
    std::size_t leader = 0;
    std::size_t follower = 0;
};

} // namespace

// Every node must apply each command exactly once and in order.
TEST_F(RaftNodeTest, ReplicatesCommands)
{
    for (const auto *text : {"a", "b", "c"})
        ASSERT_TRUE(cluster.propose(leader, text));
    cluster.run(Base::seconds(1));
    for (std::size_t index = 0; index < cluster.size(); ++index)
        EXPECT_EQ(cluster.applied(index), "a,b,c,");
}

// The loss of the leader must not stop the cluster, and the successor must keep what was committed.
TEST_F(RaftNodeTest, ElectsSuccessorOfLostLeader)
{
    ASSERT_TRUE(cluster.propose(leader, "a"));
    cluster.run(Base::seconds(1));
    cluster.crash(leader);
    cluster.run(StabilizationTime);
    const auto successor = cluster.leader();
    ASSERT_LT(successor, cluster.size());
    EXPECT_NE(successor, leader);
    EXPECT_TRUE(cluster.propose(successor, "b"));
    cluster.restart(leader);
    cluster.run(Base::seconds(1));
    EXPECT_EQ(cluster.applied(leader), "a,b,");
}

// A process that was frozen must not act as leader before its first tick, because a successor may exist.
TEST_F(RaftNodeTest, FrozenLeaderLosesLeadershipWithoutTick)
{
    cluster.advance(Base::milliseconds(600));
    EXPECT_FALSE(cluster.node(leader)->isLeader(cluster.now()));
    EXPECT_EQ(cluster.node(leader)->propose(cluster.now(), {}).error().kind, Base::ErrorKind::NotLeader);
}

// Keys that were removed rely on it: the instant must not move while no majority answers.
TEST_F(RaftNodeTest, ConfirmsOnlyWhatAMajorityAnswered)
{
    const auto confirmedAt = [this](std::size_t index) {
        return cluster.node(index)->confirmedAt(cluster.now());
    };
    ASSERT_TRUE(confirmedAt(leader).has_value());
    EXPECT_GT(*confirmedAt(leader), cluster.now() - Base::milliseconds(300));
    EXPECT_FALSE(confirmedAt(follower).has_value());
    // Frozen, and asked before its first tick.
    const auto before = confirmedAt(leader);
    cluster.advance(Base::seconds(30));
    EXPECT_EQ(confirmedAt(leader), before);
}

TEST_F(RaftNodeTest, LeaderThatIsCutOffConfirmsNothingAnyMore)
{
    const auto cutOffAt = cluster.now();
    for (int step = 0; step < 100; ++step) {
        cluster.run(Base::milliseconds(50), {leader});
        EXPECT_LE(cluster.node(leader)->confirmedAt(cluster.now()).value_or(cutOffAt), cutOffAt);
    }
    const auto successor = cluster.leader();
    ASSERT_LT(successor, cluster.size());
    ASSERT_NE(successor, leader);
    EXPECT_GT(cluster.node(successor)->confirmedAt(cluster.now()), cutOffAt);
}

// A partitioned node must report its isolation, and the leader must report its silence; its return must not
// depose the leader.
TEST_F(RaftNodeTest, ReportsIsolationAndRejoinsWithoutElection)
{
    const auto term = status(leader).term;
    cluster.run(Base::seconds(10), {follower});
    EXPECT_TRUE(status(follower).isolated);
    EXPECT_GT(status(follower).isolatedFor, Base::seconds(9));
    EXPECT_FALSE(status(leader).isolated);
    EXPECT_GT(status(leader).members[follower].silentFor, Base::seconds(9));
    cluster.run(StabilizationTime);
    EXPECT_FALSE(status(follower).isolated);
    EXPECT_EQ(status(leader).term, term);
    EXPECT_EQ(cluster.leader(), leader);
}

// A leader on the smaller side of a partition must step down and report its isolation.
TEST_F(RaftNodeTest, IsolatedLeaderStepsDown)
{
    cluster.run(Base::seconds(5), {leader});
    EXPECT_NE(status(leader).role, Consensus::Role::Leader);
    EXPECT_TRUE(status(leader).isolated);
    EXPECT_NE(cluster.leader(), leader);
    EXPECT_LT(cluster.leader(), cluster.size());
}

// A removed node that still asks for votes must not get them from a node in contact with a leader, nor from
// one that has just restarted and lost that knowledge.
TEST_F(RaftNodeTest, RefusesVoteAfterRecentLeaderContact)
{
    cluster.crash(follower);
    cluster.restart(follower);
    const auto term = status(follower).term;
    Wire::RaftMessage request;
    request.kind = Wire::RaftMessageKind::VoteRequest;
    request.from = "removed";
    request.to = cluster.member(follower, true).nodeId;
    request.toIncarnation = cluster.member(follower, true).incarnation;
    request.term = term + 5;
    request.previousIndex = 1000;
    request.previousTerm = term + 4;
    cluster.node(follower)->receive(cluster.now(), request);
    const auto ready = cluster.node(follower)->takeReady(cluster.now());
    ASSERT_EQ(ready->messages.size(), 1U);
    EXPECT_FALSE(ready->messages[0].granted);
    EXPECT_EQ(status(follower).term, term);
}

// A follower whose missing entries the leader has compacted must receive a snapshot.
TEST_F(RaftNodeTest, SendsSnapshotToFollowerThatIsBehind)
{
    cluster.crash(follower);
    ASSERT_TRUE(cluster.propose(leader, "a"));
    cluster.run(Base::seconds(1));
    cluster.compact(leader);
    cluster.restart(follower);
    cluster.run(Base::seconds(1));
    ASSERT_TRUE(cluster.propose(leader, "b"));
    cluster.run(Base::seconds(1));
    EXPECT_EQ(cluster.applied(follower), "a,b,");
    EXPECT_GT(cluster.store(follower).firstIndex(), 1U);
}

// A node whose disk was emptied must rejoin as a learner, and must not vote before it holds the synced log.
TEST_F(RaftNodeTest, ReplacesEmptiedDiskByCaughtUpLearner)
{
    ASSERT_TRUE(cluster.propose(leader, "a"));
    cluster.run(Base::seconds(1));
    cluster.wipe(follower);
    cluster.restart(follower);
    cluster.run(StabilizationTime);
    EXPECT_EQ(status(follower).role, Consensus::Role::Learner);
    EXPECT_EQ(status(follower).lastIndex, 0U);
    cluster.repairStep();
    cluster.run(Base::seconds(1), {follower});
    cluster.repairStep();
    cluster.run(Base::seconds(1), {follower});
    Wire::RaftMembership promoted;
    for (const auto &listed : status(leader).members)
        promoted.members.push_back(listed.member);
    promoted.members.back().voter = true;
    const auto early = cluster.node(leader)->proposeMembership(cluster.now(), promoted);
    EXPECT_EQ(early.error().kind, Base::ErrorKind::InProgress);
    cluster.run(Base::seconds(1));
    EXPECT_TRUE(cluster.node(leader)->proposeMembership(cluster.now(), promoted).has_value());
    cluster.run(Base::seconds(1));
    EXPECT_TRUE(cluster.isFullyRepaired());
    EXPECT_EQ(cluster.applied(follower), "a,");
}

// Two membership changes at the same time could form majorities that do not overlap.
TEST_F(RaftNodeTest, RefusesUnsafeMembershipChanges)
{
    const auto propose = [&](const std::vector<Wire::RaftMember> &members) {
        return cluster.node(leader)->proposeMembership(cluster.now(), {members});
    };
    const std::vector voters {cluster.member(0, true), cluster.member(1, true), cluster.member(2, true)};
    const Wire::RaftMember other {"other", 99, "", false};
    EXPECT_FALSE(propose(voters).has_value());
    EXPECT_FALSE(propose({voters[leader]}).has_value());
    EXPECT_FALSE(propose({voters[0], voters[1], other}).has_value());
    EXPECT_FALSE(propose({voters[0], voters[1], voters[2], {"other", 99, "", true}}).has_value());
    EXPECT_TRUE(propose({voters[0], voters[1], voters[2], other}).has_value());
    EXPECT_EQ(propose(voters).error().kind, Base::ErrorKind::InProgress);
}

// A node whose directory was emptied must not start a new cluster under the old list of members.
TEST(RaftNode, RefusesInitialMembersOfAnotherIncarnation)
{
    MemoryLogStore store(2);
    Consensus::RaftOptions options;
    options.nodeId = "node-0";
    options.initialMembers = {{"node-0", 1, "", true}};
    const auto node = Consensus::RaftNode::create(options, store, {});
    ASSERT_FALSE(node.has_value());
    EXPECT_EQ(node.error().kind, Base::ErrorKind::SettingInvalid);
}

// An entry of an earlier term on a majority can still be replaced by a later leader, so it must not count as
// committed before an entry of the leader's own term is (the paper's figure 8).
TEST(RaftNode, CommitsEarlierTermsOnlyWithCurrentTermEntry)
{
    MemoryLogStore store(1);
    Consensus::RaftOptions options;
    options.nodeId = "node-0";
    options.initialMembers = {{"node-0", 1, "", true}, {"node-1", 2, "", true}, {"node-2", 3, "", true}};
    auto node = *Consensus::RaftNode::create(options, store, {});
    node.reset();
    const Wire::RaftEntry earlier {2, 2, Wire::RaftEntryKind::Command, {}};
    ASSERT_TRUE(store.append({&earlier, 1}).has_value());
    ASSERT_TRUE(store.setHardState({3, {}, 0}).has_value());
    node = *Consensus::RaftNode::create(options, store, {});
    const Base::Instant now {Base::seconds(2)};
    node->tick(now);
    Wire::RaftMessage reply;
    reply.from = "node-1";
    reply.fromIncarnation = 2;
    reply.to = "node-0";
    reply.toIncarnation = 1;
    reply.term = 4;
    reply.granted = true;
    reply.sequence = static_cast<std::uint64_t>(now.time_since_epoch().count());
    const auto receive = [&](Wire::RaftMessageKind kind, std::uint64_t matchIndex) {
        reply.kind = kind;
        reply.matchIndex = matchIndex;
        node->receive(now, reply);
        EXPECT_TRUE(node->takeReady(now).has_value());
        return node->status(now).commitIndex;
    };
    receive(Wire::RaftMessageKind::PreVoteReply, 0);
    receive(Wire::RaftMessageKind::VoteReply, 0);
    ASSERT_EQ(node->status(now).role, Consensus::Role::Leader);
    EXPECT_EQ(receive(Wire::RaftMessageKind::AppendReply, 2), 0U);
    EXPECT_EQ(receive(Wire::RaftMessageKind::AppendReply, 3), 3U);
}

// After a power loss of all nodes, a leader must follow without an election timeout: callers are refused
// until then. No node can rely on a lease, because all of them have restarted.
TEST_F(RaftNodeTest, ElectsAtOnceAfterAllNodesRestarted)
{
    ASSERT_TRUE(cluster.propose(leader, "a"));
    cluster.run(Base::seconds(1));
    for (std::size_t index = 0; index < cluster.size(); ++index)
        cluster.crash(index);
    cluster.advance(Base::milliseconds(50));
    for (std::size_t index = 0; index < cluster.size(); ++index)
        cluster.restart(index);
    cluster.run(Base::milliseconds(150));
    ASSERT_LT(cluster.leader(), cluster.size());
    EXPECT_EQ(cluster.applied(cluster.leader()), "a,");
}

// The other two nodes restart within the lease of a partitioned leader. Without its answer they must wait for
// the election timeout, or two nodes would hold a lease.
TEST_F(RaftNodeTest, RestartedMajorityWaitsWhileAThirdNodeMayLead)
{
    for (const auto index : {follower, (leader + 2) % cluster.size()}) {
        cluster.crash(index);
        cluster.restart(index);
    }
    cluster.run(Base::milliseconds(300), {leader});
    EXPECT_TRUE(cluster.node(leader)->isLeader(cluster.now()));
    EXPECT_EQ(cluster.leader(), leader);
    cluster.run(StabilizationTime, {leader});
    EXPECT_LT(cluster.leader(), cluster.size());
    EXPECT_NE(cluster.leader(), leader);
}

// A follower whose log is behind must not lead after a common restart, and must not delay the others.
TEST_F(RaftNodeTest, RestartPollSkipsNodesWithAnOlderLog)
{
    cluster.crash(follower);
    ASSERT_TRUE(cluster.propose(leader, "a"));
    cluster.run(Base::seconds(1));
    for (std::size_t index = 0; index < cluster.size(); ++index)
        cluster.crash(index);
    for (std::size_t index = 0; index < cluster.size(); ++index)
        cluster.restart(index);
    cluster.run(Base::milliseconds(150));
    ASSERT_LT(cluster.leader(), cluster.size());
    EXPECT_NE(cluster.leader(), follower);
}

// A reply that arrives after this node has voted for another candidate must not start an election of a later
// term, which would depose the new leader. The first promotions of new control clusters failed that way.
TEST_F(RaftNodeTest, LateRestartPollReplyStartsNoSecondElection)
{
    for (std::size_t index = 0; index < cluster.size(); ++index)
        cluster.crash(index);
    for (std::size_t index = 0; index < cluster.size(); ++index)
        cluster.restart(index);
    cluster.messages().clear();
    const auto deliverAll = [&](auto isHeld) {
        std::vector<Wire::RaftMessage> held;
        while (!cluster.messages().empty()) {
            const auto message = cluster.messages().front();
            cluster.messages().erase(cluster.messages().begin());
            if (isHeld(message))
                held.push_back(message);
            else
                cluster.deliver(message);
        }
        return held;
    };
    const auto last = cluster.member(2, true).nodeId;
    const auto other = cluster.member(1, true).nodeId;
    // Two rounds leave the first election to the nodes with lower identities; the third misses one reply.
    std::vector<Wire::RaftMessage> lateReplies;
    for (int round = 0; round < 3; ++round) {
        cluster.advance(Base::milliseconds(60));
        cluster.tick(2);
        lateReplies = deliverAll([&](const Wire::RaftMessage &message) {
            return round == 2 && message.to == last && message.from == other;
        });
    }
    ASSERT_EQ(lateReplies.size(), 1U);
    // Node 0 is a candidate now, and node 2 votes for it.
    cluster.tick(0);
    deliverAll([&](const Wire::RaftMessage &message) {
        return message.kind == Wire::RaftMessageKind::VoteReply
               || (message.kind == Wire::RaftMessageKind::VoteRequest && message.to != last);
    });
    const auto term = status(2).term;
    cluster.deliver(lateReplies.front());
    EXPECT_EQ(status(2).term, term);
    EXPECT_EQ(status(2).role, Consensus::Role::Follower);
    cluster.messages().clear();
}

// A vote that a restart poll asked for must not be given by a later process of the same node: its predecessor
// may have answered another leader meanwhile.
TEST_F(RaftNodeTest, RestartPollDoesNotBindALaterProcess)
{
    cluster.crash(follower);
    cluster.restart(follower);
    auto request = Wire::RaftMessage {};
    const auto candidate = cluster.member((leader + 2) % cluster.size(), true);
    const auto voter = cluster.member(follower, true);
    request.kind = Wire::RaftMessageKind::VoteRequest;
    request.from = candidate.nodeId;
    request.fromIncarnation = candidate.incarnation;
    request.to = voter.nodeId;
    request.toIncarnation = voter.incarnation;
    request.term = status(follower).term + 1;
    request.previousIndex = 1000;
    request.previousTerm = request.term;
    request.processId = 1; // Of the process before the restart.
    cluster.messages().clear();
    cluster.deliver(request);
    for (const auto &message : cluster.messages())
        EXPECT_FALSE(message.kind == Wire::RaftMessageKind::VoteReply && message.granted);
    cluster.messages().clear();
}

// A reply counts only if its sender's process started before the round, and only in its own round.
TEST(RestartPoll, CountsOnlyProcessesOlderThanTheRound)
{
    const Base::Instant start {Base::seconds(100)};
    const std::vector<Consensus::NodeIdentity> members {{"b", 1}, {"c", 1}};
    Consensus::RestartPoll poll({"a", 1});
    poll.begin(start, members);
    const auto now = start + Base::milliseconds(20);
    EXPECT_FALSE(poll.record(now, members[0], poll.round(), 7, Base::milliseconds(50)));
    EXPECT_FALSE(poll.record(now, members[1], poll.round(), 8, Base::milliseconds(10)));
    EXPECT_FALSE(poll.record(now, {"d", 1}, poll.round(), 9, Base::milliseconds(50)));
    EXPECT_TRUE(poll.record(now, members[1], poll.round(), 8, Base::milliseconds(20)));
    EXPECT_EQ(poll.processOf(members[0]), 7U);
    const auto earlier = poll.round();
    poll.begin(now, members);
    EXPECT_FALSE(poll.record(now, members[0], earlier, 7, Base::milliseconds(50)));
    EXPECT_EQ(poll.processOf(members[0]), 0U);
}
