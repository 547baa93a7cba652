#pragma once

#include "LibConsensus/MemoryLogStore.h"
#include "LibConsensus/NodeIdentity.h"
#include "LibConsensus/RaftNode.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// Nodes with fake disks, messages in flight and one clock. Every step checks the safety properties of Raft
/// and records violations.
class SimulatedCluster
{
public:
    SimulatedCluster(unsigned size, std::uint64_t seed);

    std::size_t size() const { return nodes_.size(); }
    Consensus::RaftNode *node(std::size_t index) { return nodes_[index].raft.get(); }
    MemoryLogStore &store(std::size_t index) { return *nodes_[index].store; }
    Base::Instant now() const { return now_; }
    std::vector<Wire::RaftMessage> &messages() { return messages_; }
    Wire::RaftMember member(std::size_t index, bool voter) const;
    /// Index of the first node whose isLeader() is true; size() when there is none.
    std::size_t leader() const;

    void advance(Base::Duration step) { now_ += step; }
    void tick(std::size_t index);
    /// Delivers a message; without `ready` the node does not sync its store.
    void deliver(const Wire::RaftMessage &message, bool ready = true);
    /// Returns whether the node accepted the command.
    bool propose(std::size_t index, const std::string &text);
    void takeReady(std::size_t index);
    void compact(std::size_t index);
    /// Ends the process; the first `keptChanges` unsynced changes of its disk survive.
    void crash(std::size_t index, std::size_t keptChanges = 0);
    void restart(std::size_t index);
    /// Starts a further node with an empty disk, which is no member. Returns its index.
    std::size_t addNode();
    /// Takes the node's disk away: from now on a crash empties it.
    void takeDisk(std::size_t index) { nodes_[index].hasDisk = false; }
    bool hasDisk(std::size_t index) const { return nodes_[index].hasDisk; }
    /// Makes an empty node the only member of a new cluster.
    void found(std::size_t index);
    /// Ends the node for good; recovery expects only the other nodes.
    void retire(std::size_t index);
    bool isRetired(std::size_t index) const { return nodes_[index].retired; }
    /// Crashes the node and empties its disk; the restarted node is a new identity without members.
    void wipe(std::size_t index);
    /// Proposes at the leader the next membership change towards all nodes as voters under their current
    /// identities.
    void repairStep();
    /// Proposes at the leader the removal of a working member; repairStep() adds it again.
    void proposeRemoval(std::size_t removed);
    const Wire::RaftMembership &committedMembership() const { return committedMembership_; }
    /// Whether the committed membership is all nodes but the retired ones, each as voter under its current
    /// identity.
    bool isFullyRepaired() const;

    /// Ticks all nodes and delivers all messages in order for `time`; `isolated` nodes neither send nor
    /// receive.
    void run(Base::Duration time, const std::set<std::size_t> &isolated = {});

    /// Hash over roles, terms, votes, logs and messages in flight.
    std::size_t stateHash() const;

    std::vector<std::string> violations;
    std::size_t committedCount() const { return committed_.size(); }
    std::size_t termsWithLeader() const { return leaders_.size(); }
    /// Commands applied by a node, joined by ','.
    std::string applied(std::size_t index) const { return nodes_[index].applied; }

private:
    struct SimulatedNode
    {
        std::string id;
        std::unique_ptr<MemoryLogStore> store;
        std::unique_ptr<Consensus::RaftNode> raft;
        std::string applied;
        std::uint64_t appliedIndex = 0;
        std::uint64_t checkedChanges = 0; ///< logChanges() of the store at the last check.
        bool hasDisk = true;
        bool retired = false;
    };

    void start(std::size_t index, std::vector<Wire::RaftMember> initialMembers);
    void replaceStore(std::size_t index);
    void apply(SimulatedNode &node, const Consensus::Ready &ready);
    void expect(bool holds, const std::string &property, const SimulatedNode &node);
    void checkVote(const SimulatedNode &node, const Wire::RaftMessage &message);
    void checkLeaders(const SimulatedNode &node);
    void checkLog(SimulatedNode &node);

    std::uint64_t seed_;
    std::size_t maxBatchBytes_; ///< Odd seeds send one entry per message.
    std::uint64_t nextIncarnation_ = 1;
    Base::Instant now_ {};
    std::vector<SimulatedNode> nodes_;
    std::vector<Wire::RaftMessage> messages_;
    Wire::RaftMembership committedMembership_;
    std::uint64_t committedMembershipIndex_ = 0;

    std::map<std::uint64_t, Consensus::NodeIdentity> leaders_; ///< By term.
    std::map<std::pair<std::string, std::uint64_t>, Consensus::NodeIdentity> votes_; ///< By node id and term.
    std::map<std::uint64_t, Wire::RaftEntry> committed_; ///< By index.
    std::map<std::uint64_t, std::string> appliedAt_; ///< State machine content by index.
    /// Entry and its predecessor's term, by index and term. If each value is unique, all logs match by
    /// induction.
    std::map<std::pair<std::uint64_t, std::uint64_t>, std::pair<Wire::RaftEntry, std::uint64_t>>
        firstSeenEntries_;
};
