#pragma once

#include "LibConsensus/MembershipHistory.h"
#include "LibConsensus/NodeIdentity.h"
#include "LibConsensus/PeerProgress.h"
#include "LibConsensus/RaftNode.h"
#include "LibConsensus/RestartPoll.h"

#include <map>
#include <optional>

namespace Consensus {

/// RaftNode according to the published Raft rules (Ongaro, "Consensus: Bridging Theory and Practice", 2014).
class StandardRaftNode final : public RaftNode
{
public:
    StandardRaftNode(RaftOptions options, LogStore &store, Base::Instant now);

    /// Writes the first entry of a new cluster and loads the state of the store.
    Base::Result<void> initialise();

    void tick(Base::Instant now) override;
    void receive(Base::Instant now, const Wire::RaftMessage &message) override;
    Base::Result<std::uint64_t> propose(Base::Instant now, Base::Bytes payload) override;
    Base::Result<std::uint64_t> proposeMembership(Base::Instant now,
                                                  Wire::RaftMembership membership) override;
    Base::Result<Ready> takeReady(Base::Instant now) override;
    Base::Result<void> compact(std::uint64_t index, Base::Bytes payload) override;
    bool isLeader(Base::Instant now) const override;
    std::optional<Base::Instant> confirmedAt(Base::Instant now) const override;
    RaftStatus status(Base::Instant now) const override;

private:
    // StandardRaftNode.cpp: state shared by all roles.
    Base::Result<void> bootstrap();
    Base::Result<void> loadMemberships();
    void recordStoreResult(const Base::Result<void> &result);
    void updatePeers(Base::Instant contactTime);
    void resetElectionDeadline(Base::Instant now);
    PeerProgress *findPeer(const Wire::RaftMessage &message);
    Wire::RaftMessage makeMessage(Wire::RaftMessageKind kind, const NodeIdentity &to) const;
    Wire::RaftMessage makeReply(Wire::RaftMessageKind kind, const Wire::RaftMessage &request) const;
    std::uint64_t lastTerm() const;
    std::uint64_t snapshotIndex() const { return store_.firstIndex() - 1; }
    bool isVoter() const { return memberships_.isVoter(self_); }
    template<typename Value, typename PeerValue>
    Value quorumValue(Value own, PeerValue peerValue) const;
    void collectCommitted(Ready &ready);
    Base::Instant lastQuorumContact(Base::Instant now) const;
    Base::Duration silentFor(Base::Instant now, const Wire::RaftMember &member) const;

    // StandardRaftNodeElection.cpp: terms, votes and roles.
    void becomeFollower(Base::Instant now, std::uint64_t term, std::string leaderId);
    void becomePreCandidate(Base::Instant now);
    void becomeCandidate(Base::Instant now);
    void becomeLeader(Base::Instant now);
    void setFollowerOrLearnerRole();
    void setHardState(std::uint64_t term, const NodeIdentity &votedFor);
    Wire::RaftMessage makeElectionRequest(Wire::RaftMessageKind kind, const NodeIdentity &to,
                                          std::uint64_t term) const;
    void requestVotes(Base::Instant now, Wire::RaftMessageKind kind, std::uint64_t term);
    bool hasVoteQuorum() const;
    bool hasRecentLeaderContact(Base::Instant now) const;
    bool isCandidateLogUpToDate(const Wire::RaftMessage &request) const;
    void receivePreVoteRequest(Base::Instant now, const Wire::RaftMessage &request);
    void receivePreVoteReply(Base::Instant now, const Wire::RaftMessage &reply);
    void receiveVoteRequest(Base::Instant now, const Wire::RaftMessage &request);
    void receiveVoteReply(Base::Instant now, const Wire::RaftMessage &reply);
    bool mayVoteFor(const NodeIdentity &candidate) const;
    void pollMembersAfterRestart(Base::Instant now);
    void receiveRestartPollRequest(Base::Instant now, const Wire::RaftMessage &request);
    void receiveRestartPollReply(Base::Instant now, const Wire::RaftMessage &reply);
    bool knowsNoLeader() const;
    Base::Instant leaseStart(Base::Instant now) const;
    bool hasQuorum(Base::Instant now) const;

    // StandardRaftNodeFollower.cpp: entries and snapshots received.
    bool acceptLeader(Base::Instant now, const Wire::RaftMessage &request);
    void receiveAppendRequest(Base::Instant now, const Wire::RaftMessage &request);
    void receiveSnapshotRequest(Base::Instant now, const Wire::RaftMessage &request);
    std::optional<std::uint64_t> conflictHint(const Wire::RaftMessage &request) const;
    void storeEntries(const Wire::RaftMessage &request);
    void appendReceivedEntries(std::span<const Wire::RaftEntry> entries);
    void truncateFrom(std::uint64_t index);
    void installSnapshot(const Wire::RaftSnapshot &snapshot);

    // StandardRaftNodeLeader.cpp: replication and proposals.
    std::uint64_t appendEntry(Wire::RaftEntryKind kind, Base::Bytes payload);
    void sendHeartbeats(Base::Instant now);
    void replicate(Base::Instant now);
    void sendAppend(Base::Instant now, const NodeIdentity &to, PeerProgress &peer);
    void sendSnapshot(Base::Instant now, const NodeIdentity &to, PeerProgress &peer);
    void receiveAppendReply(Base::Instant now, const Wire::RaftMessage &reply);
    void receiveSnapshotReply(Base::Instant now, const Wire::RaftMessage &reply);
    void recordMatch(PeerProgress &peer, std::uint64_t index);
    void recordConflict(PeerProgress &peer, const Wire::RaftMessage &reply);
    PeerProgress *acceptReply(Base::Instant now, const Wire::RaftMessage &reply);
    void advanceCommit(Base::Instant now);
    Base::Result<void> checkProposal(Base::Instant now) const;
    Base::Result<void> checkMembershipChange(Base::Instant now, const Wire::RaftMembership &next) const;
    Base::Result<void> checkAddition(const Wire::RaftMember &member) const;
    Base::Result<void> checkUpdate(Base::Instant now, const Wire::RaftMember &before,
                                   const Wire::RaftMember &after) const;

    RaftOptions options_;
    LogStore &store_;
    NodeIdentity self_;
    Base::RandomSource random_;
    Base::Instant createdAt_;

    Role role_ = Role::Follower;
    HardState hardState_;
    MembershipHistory memberships_;
    std::map<NodeIdentity, PeerProgress> peers_;
    std::string leaderId_;
    Base::Instant lastLeaderContact_;
    bool heardLeader_ = false; ///< Since this process started, this node has led or heard from a leader.
    std::uint64_t processId_ = 0; ///< Random; differs between the processes of one node.
    RestartPoll restartPoll_;
    std::uint64_t restartPollTerm_ = 0; ///< Term of the election that the round is for.
    Base::Instant nextRestartPoll_ {};
    Base::Instant electionDeadline_ {};
    Base::Instant leaderSince_ {};
    Base::Instant nextHeartbeat_ {};

    std::uint64_t commitIndex_ = 0;
    std::uint64_t appliedIndex_ = 0;
    std::uint64_t syncedIndex_ = 0;
    bool hasUnsyncedChanges_ = false;
    std::optional<Wire::RaftSnapshot> restore_;
    std::vector<Wire::RaftMessage> outbox_;
    std::optional<Base::Error> failure_; ///< First storage error; the node processes nothing after it.
};

} // namespace Consensus
