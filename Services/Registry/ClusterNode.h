#pragma once

#include "LibConsensus/LogStore.h"
#include "LibConsensus/RaftNode.h"
#include "LibRegistry/RegistryCore.h"
#include "Services/Common/NodeSettings.h"

#include <memory>
#include <string>

namespace Services {

/// The replicated part of a registry: the log store, the Raft node and the state machine. It is recreated
/// after a disk failure, or when the node must rejoin with an empty log.
class ClusterNode
{
public:
    enum class Founding : std::uint8_t {
        FirstSeed, ///< On the first start of the whole deployment, by the first seed if it has a disk.
        Appointed ///< By this node, in place of a first seed without a disk.
    };

    /// Opens the data directory, or a store in memory without one. A node founds a cluster only if it never
    /// held a log; all others join it.
    static Base::Result<std::unique_ptr<ClusterNode>> create(const NodeSettings &settings, Base::Instant now,
                                                             Founding founding = Founding::FirstSeed);

    /// Moves the files of the data directory aside, so that the next create() starts with an empty one.
    static Base::Result<void> reset(const NodeSettings &settings);

    Consensus::RaftNode &raft() { return *raft_; }
    Registry::RegistryCore &core() { return *core_; }
    std::uint64_t incarnation() const { return store_->incarnation(); }
    bool holdsLog() const { return store_->snapshot().has_value() || store_->lastIndex() > 0; }
    /// Whether this node never belonged to a cluster and could keep the log of one.
    bool mayFound() const;

    /// Compacts the applied log into a snapshot once it exceeds the size limit.
    Base::Result<void> compactIfDue(std::size_t appliedBytes);

private:
    ClusterNode(std::unique_ptr<Consensus::LogStore> store, std::unique_ptr<Consensus::RaftNode> raft,
                bool isFreshDisk);

    std::unique_ptr<Consensus::LogStore> store_;
    std::unique_ptr<Consensus::RaftNode> raft_;
    std::unique_ptr<Registry::RegistryCore> core_;
    std::size_t bytesSinceSnapshot_ = 0;
    bool isFreshDisk_ = false; ///< When it was opened.
};

} // namespace Services
