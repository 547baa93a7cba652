#include "LibConsensus/StandardRaftNode.h"

#include "LibConsensus/QuorumValue.h"

#include <algorithm>
#include <utility>

namespace Consensus {

namespace {

/// A voter without a leader asks for pre-votes after at most two election timeouts; one more leaves time for
/// replies.
constexpr int IsolationElectionTimeouts = 3;

/// A snapshot travels in one message, so its payload must leave room for the other fields.
constexpr std::size_t MaxSnapshotBytes = Wire::MaxMessageBytes - std::size_t {64} * 1024;

bool contains(const std::vector<Wire::RaftMember> &members, const NodeIdentity &identity)
{
    return std::any_of(members.begin(), members.end(),
                       [&](const Wire::RaftMember &member) { return identityOf(member) == identity; });
}

} // namespace

Base::Result<std::unique_ptr<RaftNode>> RaftNode::create(RaftOptions options, LogStore &store,
                                                         Base::Instant now)
{
    auto node = std::make_unique<StandardRaftNode>(std::move(options), store, now);
    if (auto result = node->initialise(); !result)
        return tl::unexpected(result.error());
    return node;
}

// A restarted voter may have answered a leader just before it stopped, so it starts as if it had just heard
// from one.
StandardRaftNode::StandardRaftNode(RaftOptions options, LogStore &store, Base::Instant now)
    : options_(std::move(options))
    , store_(store)
    , self_ {options_.nodeId, store.incarnation()}
    , random_(options_.seed)
    , createdAt_(now)
    , lastLeaderContact_(now)
    , processId_(1 + random_.below(UINT64_MAX))
    , restartPoll_(self_)
{
}

Base::Result<void> StandardRaftNode::initialise()
{
    if (auto result = bootstrap(); !result)
        return result;
    if (auto result = loadMemberships(); !result)
        return result;
    hardState_ = store_.hardState();
    restore_ = store_.snapshot();
    commitIndex_ = snapshotIndex();
    appliedIndex_ = commitIndex_;
    syncedIndex_ = store_.lastIndex();
    updatePeers(createdAt_);
    setFollowerOrLearnerRole();
    resetElectionDeadline(createdAt_);
    return {};
}

// All initial members write the same first entry, so their logs match without any message.
Base::Result<void> StandardRaftNode::bootstrap()
{
    const bool empty = !store_.snapshot() && store_.lastIndex() == 0 && store_.hardState() == HardState {};
    if (!empty || options_.initialMembers.empty())
        return {};
    if (!contains(options_.initialMembers, self_))
        return Base::fail(Base::ErrorKind::SettingInvalid,
                          "the initial members do not include this node with the incarnation of its data "
                          "directory");
    const Wire::RaftMembership membership {options_.initialMembers};
    const Wire::RaftEntry entry {1, 1, Wire::RaftEntryKind::Membership, Wire::encode(membership)};
    if (auto result = store_.setHardState({1, {}, 0}); !result)
        return result;
    if (auto result = store_.append({&entry, 1}); !result)
        return result;
    return store_.sync();
}

Base::Result<void> StandardRaftNode::loadMemberships()
{
    if (const auto snapshot = store_.snapshot())
        memberships_.reset(snapshot->lastIndex, snapshot->membership);
    for (auto index = store_.firstIndex(); index <= store_.lastIndex(); ++index) {
        const auto entry = store_.entries(index, index, 0).at(0);
        if (entry.kind != Wire::RaftEntryKind::Membership)
            continue;
        auto membership = Wire::decode<Wire::RaftMembership>(entry.payload);
        if (!membership)
            return Base::fail(Base::ErrorKind::CorruptData, "cannot decode a membership entry of the log");
        memberships_.append(index, std::move(*membership));
    }
    return {};
}

void StandardRaftNode::recordStoreResult(const Base::Result<void> &result)
{
    if (!result && !failure_)
        failure_ = result.error();
    hasUnsyncedChanges_ = true;
}

void StandardRaftNode::updatePeers(Base::Instant contactTime)
{
    const auto &members = memberships_.latest().members;
    std::erase_if(peers_, [&](const auto &peer) { return !contains(members, peer.first); });
    for (const auto &member : members) {
        if (identityOf(member) == self_)
            continue;
        PeerProgress fresh;
        fresh.nextIndex = store_.lastIndex() + 1;
        fresh.lastContact = contactTime;
        peers_.try_emplace(identityOf(member), fresh);
    }
}

void StandardRaftNode::resetElectionDeadline(Base::Instant now)
{
    const auto timeout = options_.electionTimeout;
    const auto extra =
        static_cast<Base::Duration::rep>(random_.below(static_cast<std::uint64_t>(timeout.count())));
    electionDeadline_ = now + timeout + Base::Duration {extra};
}

PeerProgress *StandardRaftNode::findPeer(const Wire::RaftMessage &message)
{
    const auto found = peers_.find({message.from, message.fromIncarnation});
    return found == peers_.end() ? nullptr : &found->second;
}

Wire::RaftMessage StandardRaftNode::makeMessage(Wire::RaftMessageKind kind, const NodeIdentity &to) const
{
    Wire::RaftMessage message;
    message.kind = kind;
    message.from = self_.nodeId;
    message.fromIncarnation = self_.incarnation;
    message.to = to.nodeId;
    message.toIncarnation = to.incarnation;
    message.term = hardState_.term;
    return message;
}

Wire::RaftMessage StandardRaftNode::makeReply(Wire::RaftMessageKind kind,
                                              const Wire::RaftMessage &request) const
{
    auto reply = makeMessage(kind, {request.from, request.fromIncarnation});
    reply.sequence = request.sequence;
    reply.previousIndex = request.previousIndex;
    return reply;
}

std::uint64_t StandardRaftNode::lastTerm() const
{
    return store_.termAt(store_.lastIndex()).value_or(0);
}

void StandardRaftNode::tick(Base::Instant now)
{
    if (failure_)
        return;
    if (role_ == Role::Leader) {
        if (!hasQuorum(now))
            return becomeFollower(now, hardState_.term, {});
        if (now >= nextHeartbeat_)
            sendHeartbeats(now);
        return;
    }
    // A leader that removed itself and stopped may hold the longest log, so it stays electable until the
    // removal is committed (dissertation, section 4.2.2). Without this rule, random fault tests found
    // clusters that made no more progress.
    if (!memberships_.isVoterAtOrAfter(commitIndex_, self_))
        return;
    if (now >= electionDeadline_)
        becomePreCandidate(now);
    else
        pollMembersAfterRestart(now);
}

// Messages for another incarnation are meant for a node that no longer exists. A request from an unknown
// identity is served, because this node's membership may be older than the sender's; a reply counts only from
// a known identity.
void StandardRaftNode::receive(Base::Instant now, const Wire::RaftMessage &message)
{
    const NodeIdentity from {message.from, message.fromIncarnation};
    const NodeIdentity to {message.to, message.toIncarnation};
    if (failure_ || to != self_ || from == self_)
        return;
    if (auto *peer = findPeer(message); peer != nullptr)
        peer->lastContact = now;
    switch (message.kind) {
    case Wire::RaftMessageKind::PreVoteRequest:
        return receivePreVoteRequest(now, message);
    case Wire::RaftMessageKind::PreVoteReply:
        return receivePreVoteReply(now, message);
    case Wire::RaftMessageKind::VoteRequest:
        return receiveVoteRequest(now, message);
    case Wire::RaftMessageKind::VoteReply:
        return receiveVoteReply(now, message);
    case Wire::RaftMessageKind::AppendRequest:
        return receiveAppendRequest(now, message);
    case Wire::RaftMessageKind::AppendReply:
        return receiveAppendReply(now, message);
    case Wire::RaftMessageKind::SnapshotRequest:
        return receiveSnapshotRequest(now, message);
    case Wire::RaftMessageKind::SnapshotReply:
        return receiveSnapshotReply(now, message);
    case Wire::RaftMessageKind::RestartPollRequest:
        return receiveRestartPollRequest(now, message);
    case Wire::RaftMessageKind::RestartPollReply:
        return receiveRestartPollReply(now, message);
    }
}

// No message is sent before the sync: messages acknowledge stored state, and a leader counts its own entries
// towards the commit only once they are durable.
Base::Result<Ready> StandardRaftNode::takeReady(Base::Instant now)
{
    if (!failure_ && hasUnsyncedChanges_) {
        recordStoreResult(store_.sync());
        hasUnsyncedChanges_ = false;
    }
    if (failure_)
        return tl::unexpected(*failure_);
    syncedIndex_ = store_.lastIndex();
    if (role_ == Role::Leader)
        advanceCommit(now);
    if (role_ == Role::Leader)
        replicate(now);
    Ready ready;
    collectCommitted(ready);
    return ready;
}

void StandardRaftNode::collectCommitted(Ready &ready)
{
    ready.restore = std::exchange(restore_, std::nullopt);
    ready.messages = std::exchange(outbox_, {});
    if (commitIndex_ == appliedIndex_)
        return;
    ready.committed = store_.entries(appliedIndex_ + 1, commitIndex_, SIZE_MAX);
    appliedIndex_ = commitIndex_;
}

Base::Result<void> StandardRaftNode::compact(std::uint64_t index, Base::Bytes payload)
{
    if (index > appliedIndex_ || index <= snapshotIndex())
        return Base::fail(Base::ErrorKind::InvalidRequest,
                          "the index is not yet applied or is already compacted");
    if (payload.size() > MaxSnapshotBytes)
        return Base::fail(Base::ErrorKind::RequestTooLarge, "the snapshot exceeds the message size limit");
    const auto term = store_.termAt(index).value_or(0);
    auto result = store_.saveSnapshot({index, term, memberships_.at(index), std::move(payload)});
    recordStoreResult(result);
    memberships_.compact(index);
    return result;
}

bool StandardRaftNode::isLeader(Base::Instant now) const
{
    return role_ == Role::Leader && now - leaseStart(now) < options_.electionTimeout;
}

std::optional<Base::Instant> StandardRaftNode::confirmedAt(Base::Instant now) const
{
    return role_ == Role::Leader ? std::optional(leaseStart(now)) : std::nullopt;
}

Base::Duration StandardRaftNode::silentFor(Base::Instant now, const Wire::RaftMember &member) const
{
    if (identityOf(member) == self_)
        return {};
    if (role_ == Role::Leader)
        return now - peers_.at(identityOf(member)).lastContact;
    return member.nodeId == leaderId_ ? now - lastLeaderContact_ : Base::Duration {};
}

// A leader that this node hears from has a majority itself; without one, the replies to this node's own
// pre-votes count.
Base::Instant StandardRaftNode::lastQuorumContact(Base::Instant now) const
{
    if (!isVoter())
        return lastLeaderContact_;
    const auto peerContact =
        quorumValue<Base::Instant>(now, [](const PeerProgress &peer) { return peer.lastContact; });
    return role_ == Role::Leader ? std::max(leaseStart(now), leaderSince_)
                                 : std::max(peerContact, lastLeaderContact_);
}

RaftStatus StandardRaftNode::status(Base::Instant now) const
{
    RaftStatus status;
    status.role = role_;
    status.term = hardState_.term;
    status.leaderId = leaderId_;
    status.commitIndex = commitIndex_;
    status.appliedIndex = appliedIndex_;
    status.lastIndex = store_.lastIndex();
    status.membershipIndex = memberships_.latestIndex();
    const auto timeSinceContact = now - lastQuorumContact(now);
    status.isolated = timeSinceContact > IsolationElectionTimeouts * options_.electionTimeout;
    status.isolatedFor = status.isolated ? timeSinceContact : Base::Duration {};
    for (const auto &member : memberships_.latest().members) {
        const auto peer = peers_.find(identityOf(member));
        const auto match = peer == peers_.end() ? syncedIndex_ : peer->second.matchIndex;
        status.members.push_back({member, match, silentFor(now, member)});
    }
    return status;
}

} // namespace Consensus
