#include "LibConsensus/QuorumValue.h"
#include "LibConsensus/StandardRaftNode.h"

#include <algorithm>
#include <utility>

namespace Consensus {

namespace {

/// Largest command; a batch holds at least one entry and must fit into a message.
constexpr std::size_t MaxCommandBytes = std::size_t {4} * 1024 * 1024;

/// Append messages with entries that may be in flight per member, so that a slow member cannot fill the send
/// queue.
constexpr unsigned MaxInFlightAppends = 4;

/// A snapshot is sent again after this many election timeouts without a reply.
constexpr int SnapshotRetryElectionTimeouts = 2;

bool isChanged(const Wire::RaftMember &member, const Wire::RaftMembership &other)
{
    return std::find(other.members.begin(), other.members.end(), member) == other.members.end();
}

const Wire::RaftMember *findMember(const Wire::RaftMembership &membership, const NodeIdentity &identity)
{
    const auto &members = membership.members;
    const auto found = std::find_if(members.begin(), members.end(), [&](const Wire::RaftMember &member) {
        return identityOf(member) == identity;
    });
    return found == members.end() ? nullptr : &*found;
}

bool hasDuplicates(const Wire::RaftMembership &membership)
{
    std::vector<NodeIdentity> identities;
    for (const auto &member : membership.members)
        identities.push_back(identityOf(member));
    std::sort(identities.begin(), identities.end());
    return std::adjacent_find(identities.begin(), identities.end()) != identities.end();
}

} // namespace

std::uint64_t StandardRaftNode::appendEntry(Wire::RaftEntryKind kind, Base::Bytes payload)
{
    const Wire::RaftEntry entry {store_.lastIndex() + 1, hardState_.term, kind, std::move(payload)};
    recordStoreResult(store_.append({&entry, 1}));
    return entry.index;
}

void StandardRaftNode::sendHeartbeats(Base::Instant now)
{
    nextHeartbeat_ = now + options_.heartbeatInterval;
    for (auto &[identity, peer] : peers_) {
        peer.inFlightAppends = 0;
        sendAppend(now, identity, peer);
    }
}

// All proposals since the last call share one sync and one message per member.
void StandardRaftNode::replicate(Base::Instant now)
{
    for (auto &[identity, peer] : peers_) {
        const auto limit = peer.probing ? 1U : MaxInFlightAppends;
        while (peer.nextIndex <= store_.lastIndex() && peer.inFlightAppends < limit
               && peer.inFlightSnapshotIndex == 0)
            sendAppend(now, identity, peer);
    }
}

void StandardRaftNode::sendAppend(Base::Instant now, const NodeIdentity &to, PeerProgress &peer)
{
    const auto retryAt = peer.snapshotSentAt + SnapshotRetryElectionTimeouts * options_.electionTimeout;
    if (peer.inFlightSnapshotIndex != 0 && now >= retryAt)
        peer.inFlightSnapshotIndex = 0;
    if (peer.inFlightSnapshotIndex == 0 && peer.nextIndex <= snapshotIndex())
        sendSnapshot(now, to, peer);
    auto request = makeMessage(Wire::RaftMessageKind::AppendRequest, to);
    request.sequence = static_cast<std::uint64_t>(now.time_since_epoch().count());
    request.commitIndex = commitIndex_;
    // While a snapshot is in flight, an empty request at index 0, which always matches, serves as heartbeat.
    if (peer.inFlightSnapshotIndex == 0) {
        request.previousIndex = peer.nextIndex - 1;
        request.previousTerm = store_.termAt(request.previousIndex).value_or(0);
        request.entries = store_.entries(peer.nextIndex, store_.lastIndex(), options_.maxBatchBytes);
        peer.inFlightAppends += request.entries.empty() ? 0 : 1;
        peer.nextIndex += peer.probing ? 0 : request.entries.size();
    }
    outbox_.push_back(std::move(request));
}

void StandardRaftNode::sendSnapshot(Base::Instant now, const NodeIdentity &to, PeerProgress &peer)
{
    auto request = makeMessage(Wire::RaftMessageKind::SnapshotRequest, to);
    request.sequence = static_cast<std::uint64_t>(now.time_since_epoch().count());
    request.snapshot = store_.snapshot().value_or(Wire::RaftSnapshot {});
    peer.inFlightSnapshotIndex = request.snapshot.lastIndex;
    peer.snapshotSentAt = now;
    outbox_.push_back(std::move(request));
}

/// Returns the sender when the reply belongs to the current term of leadership. The sequence is the send time
/// of the request.
PeerProgress *StandardRaftNode::acceptReply(Base::Instant now, const Wire::RaftMessage &reply)
{
    if (reply.term > hardState_.term) {
        becomeFollower(now, reply.term, {});
        return nullptr;
    }
    auto *peer = findPeer(reply);
    const Base::Instant sent {Base::Duration {static_cast<Base::Duration::rep>(reply.sequence)}};
    if (peer == nullptr || role_ != Role::Leader || reply.term != hardState_.term || sent > now)
        return nullptr;
    peer->answeredSendTime = std::max(peer->answeredSendTime, sent);
    return peer;
}

void StandardRaftNode::receiveAppendReply(Base::Instant now, const Wire::RaftMessage &reply)
{
    auto *peer = acceptReply(now, reply);
    if (peer == nullptr || reply.matchIndex > store_.lastIndex())
        return;
    if (reply.granted) {
        peer->inFlightAppends -= std::min(peer->inFlightAppends, 1U);
        recordMatch(*peer, reply.matchIndex);
    } else {
        recordConflict(*peer, reply);
    }
    advanceCommit(now);
}

void StandardRaftNode::recordMatch(PeerProgress &peer, std::uint64_t index)
{
    peer.matchIndex = std::max(peer.matchIndex, index);
    peer.nextIndex = std::max(peer.nextIndex, peer.matchIndex + 1);
    if (peer.inFlightSnapshotIndex != 0 && peer.matchIndex >= peer.inFlightSnapshotIndex)
        peer.inFlightSnapshotIndex = 0;
    peer.probing = peer.probing && peer.inFlightSnapshotIndex != 0;
}

void StandardRaftNode::recordConflict(PeerProgress &peer, const Wire::RaftMessage &reply)
{
    const bool stale = reply.previousIndex <= peer.matchIndex;
    if (stale)
        return;
    const auto next = std::max(std::min(reply.matchIndex + 1, reply.previousIndex), peer.matchIndex + 1);
    // Without progress the next heartbeat tries again; an immediate retry could loop at network speed.
    if (next < peer.nextIndex)
        peer.inFlightAppends = 0;
    peer.probing = true;
    peer.nextIndex = next;
}

void StandardRaftNode::receiveSnapshotReply(Base::Instant now, const Wire::RaftMessage &reply)
{
    auto *peer = acceptReply(now, reply);
    if (peer == nullptr || !reply.granted || reply.matchIndex > store_.lastIndex())
        return;
    recordMatch(*peer, reply.matchIndex);
    advanceCommit(now);
}

void StandardRaftNode::advanceCommit(Base::Instant now)
{
    const auto reached =
        quorumValue<std::uint64_t>(syncedIndex_, [](const PeerProgress &peer) { return peer.matchIndex; });
    if (reached <= commitIndex_ || store_.termAt(reached) != hardState_.term)
        return;
    const bool firstOfTerm = store_.termAt(std::exchange(commitIndex_, reached)) != hardState_.term;
    const bool removedItself = !isVoter() && memberships_.latestIndex() <= commitIndex_;
    // After a restart of all members, followers learn only from this commit what they may apply. And the
    // other members are told of a removal before this node steps down.
    if (firstOfTerm || removedItself)
        sendHeartbeats(now);
    if (removedItself)
        becomeFollower(now, hardState_.term, {});
}

Base::Result<void> StandardRaftNode::checkProposal(Base::Instant now) const
{
    if (failure_)
        return tl::unexpected(*failure_);
    if (role_ != Role::Leader || !hasQuorum(now))
        return Base::fail(Base::ErrorKind::NotLeader,
                          "the leader is " + (leaderId_.empty() ? "unknown" : leaderId_));
    return {};
}

Base::Result<std::uint64_t> StandardRaftNode::propose(Base::Instant now, Base::Bytes payload)
{
    if (auto result = checkProposal(now); !result)
        return tl::unexpected(result.error());
    if (payload.size() > MaxCommandBytes)
        return Base::fail(Base::ErrorKind::RequestTooLarge, "the command exceeds the size limit");
    const auto index = appendEntry(Wire::RaftEntryKind::Command, std::move(payload));
    if (failure_)
        return tl::unexpected(*failure_);
    return index;
}

Base::Result<std::uint64_t> StandardRaftNode::proposeMembership(Base::Instant now,
                                                                Wire::RaftMembership membership)
{
    if (auto result = checkProposal(now); !result)
        return tl::unexpected(result.error());
    if (auto result = checkMembershipChange(now, membership); !result)
        return tl::unexpected(result.error());
    const auto index = appendEntry(Wire::RaftEntryKind::Membership, Wire::encode(membership));
    memberships_.append(index, std::move(membership));
    updatePeers(now);
    if (failure_)
        return tl::unexpected(*failure_);
    return index;
}

// The commit of an entry of the own term is required first: without it, two leaders of different terms could
// each hold an uncommitted change and form majorities that do not overlap.
Base::Result<void> StandardRaftNode::checkMembershipChange(Base::Instant now,
                                                           const Wire::RaftMembership &next) const
{
    if (memberships_.latestIndex() > commitIndex_ || store_.termAt(commitIndex_) != hardState_.term)
        return Base::fail(Base::ErrorKind::InProgress, "an earlier membership change is not committed yet");
    if (hasDuplicates(next))
        return Base::fail(Base::ErrorKind::InvalidRequest, "a member is listed twice");
    const auto &current = memberships_.latest();
    std::vector<NodeIdentity> changed;
    for (const auto &member : next.members) {
        if (isChanged(member, current))
            changed.push_back(identityOf(member));
    }
    for (const auto &member : current.members) {
        if (findMember(next, identityOf(member)) == nullptr)
            changed.push_back(identityOf(member));
    }
    if (changed.size() != 1)
        return Base::fail(Base::ErrorKind::InvalidRequest, "exactly one member must change");
    const auto *before = findMember(current, changed.front());
    const auto *after = findMember(next, changed.front());
    if (before == nullptr)
        return checkAddition(*after);
    if (after != nullptr)
        return checkUpdate(now, *before, *after);
    const bool hasVoter = std::any_of(next.members.begin(), next.members.end(),
                                      [](const Wire::RaftMember &member) { return member.voter; });
    if (!hasVoter)
        return Base::fail(Base::ErrorKind::InvalidRequest, "the last voter cannot be removed");
    return {};
}

Base::Result<void> StandardRaftNode::checkAddition(const Wire::RaftMember &member) const
{
    if (member.voter)
        return Base::fail(Base::ErrorKind::InvalidRequest, "a new member must be added as a learner");
    return {};
}

Base::Result<void> StandardRaftNode::checkUpdate(Base::Instant now, const Wire::RaftMember &before,
                                                 const Wire::RaftMember &after) const
{
    if (before.voter && !after.voter)
        return Base::fail(Base::ErrorKind::InvalidRequest,
                          "a voter cannot be demoted to learner; it can only be removed");
    if (before.voter == after.voter)
        return {};
    const auto &peer = peers_.at(identityOf(before));
    const bool peerContact = now - peer.answeredSendTime < options_.electionTimeout;
    if (!peerContact || peer.matchIndex < commitIndex_)
        return Base::fail(Base::ErrorKind::InProgress,
                          "the learner has not caught up or has not answered recently");
    return {};
}

} // namespace Consensus
