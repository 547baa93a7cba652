#include "LibConsensus/StandardRaftNode.h"

#include "LibBase/Log.h"

#include <algorithm>
#include <utility>

namespace Consensus {

namespace {

constexpr Base::Log ConsensusLog {"consensus"};

/// Whether the entries follow the previous index without gaps, with non-decreasing terms up to the sender's.
bool isWellFormed(const Wire::RaftMessage &request)
{
    auto index = request.previousIndex;
    auto term = request.previousTerm;
    for (const auto &entry : request.entries) {
        if (entry.index != ++index || entry.term < term || entry.term > request.term)
            return false;
        term = entry.term;
        const bool membership = entry.kind == Wire::RaftEntryKind::Membership;
        if (membership && !Wire::decode<Wire::RaftMembership>(entry.payload))
            return false;
    }
    return true;
}

} // namespace

bool StandardRaftNode::acceptLeader(Base::Instant now, const Wire::RaftMessage &request)
{
    if (request.term < hardState_.term)
        return false;
    if (request.term == hardState_.term && role_ == Role::Leader) {
        ConsensusLog.error("Ignored a message from another leader of the same term.",
                           {{"from", request.from}, {"term", request.term}});
        return false;
    }
    becomeFollower(now, request.term, request.from);
    lastLeaderContact_ = now;
    heardLeader_ = true;
    resetElectionDeadline(now);
    return true;
}

void StandardRaftNode::receiveAppendRequest(Base::Instant now, const Wire::RaftMessage &request)
{
    if (!isWellFormed(request))
        return;
    const bool accepted = acceptLeader(now, request);
    auto reply = makeReply(Wire::RaftMessageKind::AppendReply, request);
    const auto hint = accepted ? conflictHint(request) : store_.lastIndex();
    if (hint) {
        reply.matchIndex = *hint;
        outbox_.push_back(std::move(reply));
        return;
    }
    storeEntries(request);
    reply.granted = true;
    reply.matchIndex = request.previousIndex + request.entries.size();
    commitIndex_ = std::max(commitIndex_, std::min(request.commitIndex, reply.matchIndex));
    outbox_.push_back(std::move(reply));
}

// Skips all entries of the conflicting term, so that a leader needs one round trip per term instead of
// one per entry.
std::optional<std::uint64_t> StandardRaftNode::conflictHint(const Wire::RaftMessage &request) const
{
    auto index = request.previousIndex;
    if (index > store_.lastIndex())
        return store_.lastIndex();
    if (index <= commitIndex_)
        return std::nullopt;
    const auto term = store_.termAt(index);
    if (term == request.previousTerm)
        return std::nullopt;
    while (index > commitIndex_ && store_.termAt(index) == term)
        --index;
    return index;
}

void StandardRaftNode::storeEntries(const Wire::RaftMessage &request)
{
    std::span<const Wire::RaftEntry> entries = request.entries;
    while (!entries.empty()) {
        const auto &entry = entries.front();
        const bool known = entry.index <= commitIndex_ || store_.termAt(entry.index) == entry.term;
        if (!known)
            break;
        entries = entries.subspan(1);
    }
    if (entries.empty())
        return;
    if (entries.front().index <= store_.lastIndex())
        truncateFrom(entries.front().index);
    appendReceivedEntries(entries);
}

void StandardRaftNode::truncateFrom(std::uint64_t index)
{
    recordStoreResult(store_.truncateFrom(index));
    syncedIndex_ = std::min(syncedIndex_, index - 1);
    memberships_.truncateFrom(index);
    updatePeers(lastLeaderContact_);
    setFollowerOrLearnerRole();
}

void StandardRaftNode::appendReceivedEntries(std::span<const Wire::RaftEntry> entries)
{
    recordStoreResult(store_.append(entries));
    for (const auto &entry : entries) {
        if (entry.kind == Wire::RaftEntryKind::Membership)
            memberships_.append(entry.index, *Wire::decode<Wire::RaftMembership>(entry.payload));
    }
    updatePeers(lastLeaderContact_);
    setFollowerOrLearnerRole();
}

void StandardRaftNode::receiveSnapshotRequest(Base::Instant now, const Wire::RaftMessage &request)
{
    const bool accepted = acceptLeader(now, request);
    auto reply = makeReply(Wire::RaftMessageKind::SnapshotReply, request);
    reply.granted = accepted;
    if (accepted && request.snapshot.lastIndex > commitIndex_)
        installSnapshot(request.snapshot);
    if (accepted)
        reply.matchIndex = request.snapshot.lastIndex;
    outbox_.push_back(std::move(reply));
}

void StandardRaftNode::installSnapshot(const Wire::RaftSnapshot &snapshot)
{
    const bool keepsLaterEntries = store_.termAt(snapshot.lastIndex) == snapshot.lastTerm;
    recordStoreResult(store_.saveSnapshot(snapshot));
    if (keepsLaterEntries && memberships_.latestIndex() > snapshot.lastIndex)
        memberships_.compact(snapshot.lastIndex);
    else
        memberships_.reset(snapshot.lastIndex, snapshot.membership);
    commitIndex_ = snapshot.lastIndex;
    appliedIndex_ = snapshot.lastIndex;
    restore_ = snapshot;
    updatePeers(lastLeaderContact_);
    setFollowerOrLearnerRole();
}

} // namespace Consensus
