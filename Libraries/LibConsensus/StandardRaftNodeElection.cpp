#include "LibConsensus/QuorumValue.h"
#include "LibConsensus/StandardRaftNode.h"

#include <utility>

namespace Consensus {

void StandardRaftNode::setHardState(std::uint64_t term, const NodeIdentity &votedFor)
{
    hardState_ = {term, votedFor.nodeId, votedFor.incarnation};
    recordStoreResult(store_.setHardState(hardState_));
}

void StandardRaftNode::setFollowerOrLearnerRole()
{
    role_ = isVoter() ? Role::Follower : Role::Learner;
}

void StandardRaftNode::becomeFollower(Base::Instant now, std::uint64_t term, std::string leaderId)
{
    if (term > hardState_.term)
        setHardState(term, {});
    if (role_ == Role::Leader)
        resetElectionDeadline(now);
    leaderId_ = std::move(leaderId);
    setFollowerOrLearnerRole();
}

void StandardRaftNode::becomePreCandidate(Base::Instant now)
{
    role_ = Role::PreCandidate;
    leaderId_.clear();
    resetElectionDeadline(now);
    requestVotes(now, Wire::RaftMessageKind::PreVoteRequest, hardState_.term + 1);
    if (hasVoteQuorum())
        becomeCandidate(now);
}

void StandardRaftNode::becomeCandidate(Base::Instant now)
{
    role_ = Role::Candidate;
    setHardState(hardState_.term + 1, self_);
    resetElectionDeadline(now);
    requestVotes(now, Wire::RaftMessageKind::VoteRequest, hardState_.term);
    if (hasVoteQuorum())
        becomeLeader(now);
}

void StandardRaftNode::becomeLeader(Base::Instant now)
{
    role_ = Role::Leader;
    leaderId_ = self_.nodeId;
    leaderSince_ = now;
    heardLeader_ = true;
    for (auto &[identity, peer] : peers_) {
        peer = PeerProgress {};
        peer.lastContact = now;
        peer.nextIndex = store_.lastIndex() + 1;
    }
    // Entries of earlier terms are committed only through an entry of the new term.
    appendEntry(Wire::RaftEntryKind::Noop, {});
    sendHeartbeats(now);
}

/// Names the end of the own log, which the receiver compares in isCandidateLogUpToDate().
Wire::RaftMessage StandardRaftNode::makeElectionRequest(Wire::RaftMessageKind kind, const NodeIdentity &to,
                                                        std::uint64_t term) const
{
    auto request = makeMessage(kind, to);
    request.term = term;
    request.previousIndex = store_.lastIndex();
    request.previousTerm = lastTerm();
    return request;
}

void StandardRaftNode::requestVotes(Base::Instant now, Wire::RaftMessageKind kind, std::uint64_t term)
{
    for (auto &[identity, peer] : peers_) {
        peer.voteGranted = false;
        if (!memberships_.isVoter(identity))
            continue;
        auto request = makeElectionRequest(kind, identity, term);
        request.sequence = static_cast<std::uint64_t>(now.time_since_epoch().count());
        if (kind == Wire::RaftMessageKind::VoteRequest)
            request.processId = restartPoll_.processOf(identity);
        outbox_.push_back(std::move(request));
    }
}

bool StandardRaftNode::hasVoteQuorum() const
{
    return quorumValue<int>(1, [](const PeerProgress &peer) { return peer.voteGranted ? 1 : 0; }) == 1;
}

bool StandardRaftNode::hasRecentLeaderContact(Base::Instant now) const
{
    if (role_ == Role::Leader)
        return hasQuorum(now);
    return now - lastLeaderContact_ < options_.electionTimeout;
}

bool StandardRaftNode::isCandidateLogUpToDate(const Wire::RaftMessage &request) const
{
    if (request.previousTerm != lastTerm())
        return request.previousTerm > lastTerm();
    return request.previousIndex >= store_.lastIndex();
}

void StandardRaftNode::receivePreVoteRequest(Base::Instant now, const Wire::RaftMessage &request)
{
    auto reply = makeReply(Wire::RaftMessageKind::PreVoteReply, request);
    reply.granted =
        request.term > hardState_.term && isCandidateLogUpToDate(request) && !hasRecentLeaderContact(now);
    if (reply.granted)
        reply.term = request.term;
    outbox_.push_back(std::move(reply));
}

void StandardRaftNode::receivePreVoteReply(Base::Instant now, const Wire::RaftMessage &reply)
{
    if (!reply.granted) {
        if (reply.term > hardState_.term)
            becomeFollower(now, reply.term, {});
        return;
    }
    auto *peer = findPeer(reply);
    if (peer == nullptr || role_ != Role::PreCandidate || reply.term != hardState_.term + 1)
        return;
    peer->voteGranted = true;
    if (hasVoteQuorum())
        becomeCandidate(now);
}

bool StandardRaftNode::mayVoteFor(const NodeIdentity &candidate) const
{
    return hardState_.votedFor.empty()
           || NodeIdentity {hardState_.votedFor, hardState_.votedForIncarnation} == candidate;
}

// A voter in contact with a leader neither votes nor adopts the candidate's term, so a partitioned or
// removed node cannot depose a working leader. A voter that has restarted assumes such a contact for one
// election timeout, unless this process of it confirmed in a restart poll that it knows of no leader.
void StandardRaftNode::receiveVoteRequest(Base::Instant now, const Wire::RaftMessage &request)
{
    const bool polled = request.processId == processId_ && knowsNoLeader();
    if (request.term > hardState_.term && (polled || !hasRecentLeaderContact(now)))
        becomeFollower(now, request.term, {});
    const NodeIdentity candidate {request.from, request.fromIncarnation};
    auto reply = makeReply(Wire::RaftMessageKind::VoteReply, request);
    reply.granted =
        request.term == hardState_.term && mayVoteFor(candidate) && isCandidateLogUpToDate(request);
    if (reply.granted) {
        if (hardState_.votedFor.empty())
            setHardState(hardState_.term, candidate);
        resetElectionDeadline(now);
    }
    outbox_.push_back(std::move(reply));
}

void StandardRaftNode::receiveVoteReply(Base::Instant now, const Wire::RaftMessage &reply)
{
    if (reply.term > hardState_.term)
        return becomeFollower(now, reply.term, {});
    auto *peer = findPeer(reply);
    if (peer == nullptr || role_ != Role::Candidate || reply.term != hardState_.term || !reply.granted)
        return;
    peer->voteGranted = true;
    if (hasVoteQuorum())
        becomeLeader(now);
}

bool StandardRaftNode::knowsNoLeader() const
{
    return !heardLeader_ && role_ != Role::Candidate && role_ != Role::Leader;
}

/// Covers a power loss of all members: the first one that reaches the others starts an election at once.
/// Later the election timeout has passed anyway.
void StandardRaftNode::pollMembersAfterRestart(Base::Instant now)
{
    if (!knowsNoLeader() || now < nextRestartPoll_ || now - createdAt_ >= options_.electionTimeout)
        return;
    nextRestartPoll_ = now + options_.heartbeatInterval / 2;
    std::vector<NodeIdentity> members;
    for (const auto &member : memberships_.latest().members) {
        if (identityOf(member) != self_ && (member.voter || member.hasDisk))
            members.push_back(identityOf(member));
    }
    restartPoll_.begin(now, members);
    restartPollTerm_ = hardState_.term + 1;
    for (const auto &member : members) {
        auto request =
            makeElectionRequest(Wire::RaftMessageKind::RestartPollRequest, member, restartPollTerm_);
        request.sequence = restartPoll_.round();
        outbox_.push_back(std::move(request));
    }
}

void StandardRaftNode::receiveRestartPollRequest(Base::Instant now, const Wire::RaftMessage &request)
{
    auto reply = makeReply(Wire::RaftMessageKind::RestartPollReply, request);
    reply.granted = request.term > hardState_.term && isCandidateLogUpToDate(request) && knowsNoLeader();
    reply.processId = processId_;
    reply.uptimeUs = static_cast<std::uint64_t>((now - createdAt_).count());
    outbox_.push_back(std::move(reply));
}

void StandardRaftNode::receiveRestartPollReply(Base::Instant now, const Wire::RaftMessage &reply)
{
    if (!knowsNoLeader())
        return;
    if (reply.term > hardState_.term)
        return becomeFollower(now, reply.term, {});
    // Another member's election has begun since; a later term would depose its winner.
    if (restartPollTerm_ != hardState_.term + 1)
        return;
    const Base::Duration uptime(static_cast<Base::Duration::rep>(reply.uptimeUs));
    const bool electable = reply.granted
                           && restartPoll_.record(now, {reply.from, reply.fromIncarnation}, reply.sequence,
                                                  reply.processId, uptime);
    if (electable && isVoter())
        becomeCandidate(now);
}

/// Start of the leader's lease: a majority answered requests that were sent at this time or later.
Base::Instant StandardRaftNode::leaseStart(Base::Instant now) const
{
    return quorumValue<Base::Instant>(now, [](const PeerProgress &peer) { return peer.answeredSendTime; });
}

// A new leader has one election timeout to hear from a majority for the first time.
bool StandardRaftNode::hasQuorum(Base::Instant now) const
{
    return now - std::max(leaseStart(now), leaderSince_) < options_.electionTimeout;
}

} // namespace Consensus
