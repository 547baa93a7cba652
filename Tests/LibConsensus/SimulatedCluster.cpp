#include "LibConsensus/SimulatedCluster.h"

#include <algorithm>
#include <boost/container_hash/hash.hpp>
#include <fmt/format.h>
#include <utility>

namespace {

constexpr std::size_t MaxMessagesPerInstant = 5000;

} // namespace

SimulatedCluster::SimulatedCluster(unsigned size, std::uint64_t seed)
    : seed_(seed)
    , maxBatchBytes_(seed % 2 == 0 ? std::size_t {1} << 20U : 1)
    , nodes_(size)
{
    std::vector<Wire::RaftMember> members;
    for (std::size_t index = 0; index < size; ++index) {
        nodes_[index].id = fmt::format("node-{}", index);
        nodes_[index].store = std::make_unique<MemoryLogStore>(nextIncarnation_++);
        members.push_back(member(index, true));
    }
    committedMembership_.members = members;
    for (std::size_t index = 0; index < size; ++index)
        start(index, members);
}

Wire::RaftMember SimulatedCluster::member(std::size_t index, bool voter) const
{
    const auto &node = nodes_[index];
    return {node.id, node.store->incarnation(), node.id, voter, node.hasDisk};
}

std::size_t SimulatedCluster::leader() const
{
    const auto found = std::find_if(nodes_.begin(), nodes_.end(), [&](const SimulatedNode &node) {
        return node.raft && node.raft->isLeader(now_);
    });
    return static_cast<std::size_t>(found - nodes_.begin());
}

void SimulatedCluster::start(std::size_t index, std::vector<Wire::RaftMember> initialMembers)
{
    auto &node = nodes_[index];
    Consensus::RaftOptions options;
    options.nodeId = node.id;
    options.initialMembers = std::move(initialMembers);
    options.seed = ++seed_;
    options.maxBatchBytes = maxBatchBytes_;
    node.applied.clear();
    node.appliedIndex = 0;
    node.raft = *Consensus::RaftNode::create(options, *node.store, now_);
}

void SimulatedCluster::tick(std::size_t index)
{
    if (!nodes_[index].raft)
        return;
    nodes_[index].raft->tick(now_);
    takeReady(index);
}

void SimulatedCluster::deliver(const Wire::RaftMessage &message, bool ready)
{
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
        auto &node = nodes_[index];
        if (node.id != message.to || !node.raft)
            continue;
        const bool forOtherIncarnation = message.toIncarnation != node.store->incarnation();
        // Flushes earlier output, so that any message sent afterwards is a reply to this one.
        if (forOtherIncarnation)
            takeReady(index);
        const auto sent = messages_.size();
        node.raft->receive(now_, message);
        if (!ready)
            continue;
        takeReady(index);
        const bool replied = forOtherIncarnation && messages_.size() > sent;
        expect(!replied, "no reply to a message for another incarnation", node);
    }
}

bool SimulatedCluster::propose(std::size_t index, const std::string &text)
{
    if (!nodes_[index].raft || !nodes_[index].raft->propose(now_, Base::toBytes(text)))
        return false;
    takeReady(index);
    return true;
}

void SimulatedCluster::takeReady(std::size_t index)
{
    auto &node = nodes_[index];
    const auto ready = node.raft->takeReady(now_);
    expect(ready.has_value(), "no storage error", node);
    if (!ready)
        return;
    apply(node, *ready);
    for (const auto &message : ready->messages) {
        checkVote(node, message);
        messages_.push_back(message);
    }
    checkLeaders(node);
    checkLog(node);
}

void SimulatedCluster::compact(std::size_t index)
{
    auto &node = nodes_[index];
    if (node.raft)
        (void)node.raft->compact(node.appliedIndex, Base::toBytes(node.applied));
}

void SimulatedCluster::crash(std::size_t index, std::size_t keptChanges)
{
    nodes_[index].raft.reset();
    nodes_[index].store->crash(keptChanges);
    if (!nodes_[index].hasDisk)
        replaceStore(index);
}

void SimulatedCluster::restart(std::size_t index)
{
    if (nodes_[index].raft || nodes_[index].retired)
        return;
    start(index, {});
    takeReady(index);
}

std::size_t SimulatedCluster::addNode()
{
    auto &node = nodes_.emplace_back();
    node.id = fmt::format("node-{}", nodes_.size() - 1);
    node.store = std::make_unique<MemoryLogStore>(nextIncarnation_++);
    restart(nodes_.size() - 1);
    return nodes_.size() - 1;
}

void SimulatedCluster::retire(std::size_t index)
{
    crash(index);
    nodes_[index].retired = true;
}

void SimulatedCluster::wipe(std::size_t index)
{
    crash(index);
    replaceStore(index);
}

void SimulatedCluster::replaceStore(std::size_t index)
{
    nodes_[index].store = std::make_unique<MemoryLogStore>(nextIncarnation_++);
    nodes_[index].checkedChanges = 0;
}

void SimulatedCluster::found(std::size_t index)
{
    start(index, {member(index, true)});
    takeReady(index);
}

void SimulatedCluster::repairStep()
{
    const auto index = leader();
    if (index == size())
        return;
    Wire::RaftMembership next;
    std::set<std::string> listedIdentities;
    for (const auto &member : nodes_[index].raft->status(now_).members) {
        next.members.push_back(member.member);
        listedIdentities.insert(fmt::format("{}/{}", member.member.nodeId, member.member.incarnation));
    }
    auto &members = next.members;
    for (std::size_t other = 0; other < size(); ++other) {
        const auto learner = member(other, false);
        const auto stale = std::find_if(members.begin(), members.end(), [&](const Wire::RaftMember &listed) {
            return listed.nodeId == learner.nodeId && listed.incarnation != learner.incarnation;
        });
        const auto listedLearner = std::find(members.begin(), members.end(), learner);
        if (!listedIdentities.contains(fmt::format("{}/{}", learner.nodeId, learner.incarnation)))
            members.push_back(learner);
        else if (stale != members.end())
            members.erase(stale);
        else if (listedLearner != members.end())
            listedLearner->voter = true;
        else
            continue;
        if (nodes_[index].raft->proposeMembership(now_, next))
            takeReady(index);
        return;
    }
}

void SimulatedCluster::proposeRemoval(std::size_t removed)
{
    const auto index = leader();
    if (index == size())
        return;
    Wire::RaftMembership next;
    for (const auto &listed : nodes_[index].raft->status(now_).members) {
        if (listed.member.nodeId != nodes_[removed].id)
            next.members.push_back(listed.member);
    }
    if (nodes_[index].raft->proposeMembership(now_, next))
        takeReady(index);
}

bool SimulatedCluster::isFullyRepaired() const
{
    std::vector<Wire::RaftMember> expected;
    for (std::size_t index = 0; index < size(); ++index) {
        if (!nodes_[index].retired)
            expected.push_back(member(index, true));
    }
    return std::is_permutation(expected.begin(), expected.end(), committedMembership_.members.begin(),
                               committedMembership_.members.end());
}

void SimulatedCluster::run(Base::Duration time, const std::set<std::size_t> &isolated)
{
    const auto isIsolated = [&](const std::string &id) {
        return std::any_of(isolated.begin(), isolated.end(),
                           [&](std::size_t index) { return nodes_[index].id == id; });
    };
    const auto end = now_ + time;
    while (now_ < end) {
        advance(Base::milliseconds(10));
        for (std::size_t index = 0; index < size(); ++index)
            tick(index);
        std::size_t delivered = 0;
        while (!messages_.empty() && violations.empty()) {
            expect(++delivered < MaxMessagesPerInstant, "the exchange of messages ends", nodes_[0]);
            const auto message = messages_.front();
            messages_.erase(messages_.begin());
            if (!isIsolated(message.from) && !isIsolated(message.to))
                deliver(message);
        }
    }
}

std::size_t SimulatedCluster::stateHash() const
{
    std::size_t hash = 0;
    for (const auto &node : nodes_) {
        const auto status = node.raft ? node.raft->status(now_) : Consensus::RaftStatus {};
        boost::hash_combine(hash, node.raft ? static_cast<int>(status.role) : -1);
        boost::hash_combine(hash, status.commitIndex);
        boost::hash_combine(hash, node.store->incarnation());
        boost::hash_combine(hash, node.store->hardState().term);
        boost::hash_combine(hash, node.store->hardState().votedFor);
        boost::hash_combine(hash, node.store->firstIndex());
        for (auto index = node.store->firstIndex(); index <= node.store->lastIndex(); ++index)
            boost::hash_combine(hash, *node.store->termAt(index));
    }
    std::size_t messagesHash = 0;
    for (const auto &message : messages_) {
        std::size_t messageHash = static_cast<std::size_t>(message.kind);
        boost::hash_combine(messageHash, message.from);
        boost::hash_combine(messageHash, message.to);
        boost::hash_combine(messageHash, message.term);
        boost::hash_combine(messageHash, message.previousIndex + message.entries.size());
        boost::hash_combine(messageHash, message.granted);
        messagesHash += messageHash;
    }
    boost::hash_combine(hash, messagesHash);
    return hash;
}

void SimulatedCluster::expect(bool holds, const std::string &property, const SimulatedNode &node)
{
    if (!holds)
        violations.push_back(
            fmt::format("{} at {} in term {}", property, node.id, node.store->hardState().term));
}

void SimulatedCluster::apply(SimulatedNode &node, const Consensus::Ready &ready)
{
    if (ready.restore) {
        node.applied = Base::asText(ready.restore->payload);
        node.appliedIndex = ready.restore->lastIndex;
        expect(appliedAt_[node.appliedIndex] == node.applied, "snapshot matches the committed entries", node);
    }
    for (const auto &entry : ready.committed) {
        expect(entry.index == ++node.appliedIndex, "entries are applied in order", node);
        expect(committed_.try_emplace(entry.index, entry).first->second == entry,
               "committed entries never change", node);
        if (entry.kind == Wire::RaftEntryKind::Command)
            node.applied += std::string(Base::asText(entry.payload)) + ",";
        if (entry.kind == Wire::RaftEntryKind::Membership && entry.index > committedMembershipIndex_) {
            committedMembershipIndex_ = entry.index;
            committedMembership_ = *Wire::decode<Wire::RaftMembership>(entry.payload);
        }
        const auto &content = appliedAt_.try_emplace(entry.index, node.applied).first->second;
        expect(content == node.applied, "state machines agree", node);
    }
}

// Keyed by node id, not by identity: a node whose disk was emptied must not vote again in a term in which it
// has voted.
void SimulatedCluster::checkVote(const SimulatedNode &node, const Wire::RaftMessage &message)
{
    if (message.kind != Wire::RaftMessageKind::VoteReply || !message.granted)
        return;
    const Consensus::NodeIdentity candidate {message.to, message.toIncarnation};
    const auto &first = votes_.try_emplace({node.id, message.term}, candidate).first->second;
    expect(first == candidate, "at most one vote per disk and term", node);
    expect(message.fromIncarnation == node.store->incarnation(), "no vote under an old identity", node);
}

void SimulatedCluster::checkLeaders(const SimulatedNode &node)
{
    const auto status = node.raft->status(now_);
    if (status.role == Consensus::Role::Leader) {
        const Consensus::NodeIdentity identity {node.id, node.store->incarnation()};
        expect(leaders_.try_emplace(status.term, identity).first->second == identity,
               "at most one leader per term", node);
    }
    const auto leading = std::count_if(nodes_.begin(), nodes_.end(), [&](const SimulatedNode &other) {
        return other.raft && other.raft->isLeader(now_);
    });
    // Stronger than one leader per term: all nodes share one clock here, so the lease also excludes leaders
    // of different terms.
    expect(leading <= 1, "at most one node with isLeader()", node);
}

void SimulatedCluster::checkLog(SimulatedNode &node)
{
    if (std::exchange(node.checkedChanges, node.store->logChanges()) == node.store->logChanges())
        return;
    for (const auto &entry : node.store->entries(0, UINT64_MAX, SIZE_MAX)) {
        const std::pair value {entry, node.store->termAt(entry.index - 1).value_or(0)};
        const auto &first = firstSeenEntries_.try_emplace({entry.index, entry.term}, value).first->second;
        expect(first == value, "entries with equal index and term match in all logs", node);
    }
}
