#pragma once

#include "LibConsensus/LogStore.h"
#include "LibConsensus/RaftNode.h"
#include "LibRegistry/RegistryCore.h"
#include "Services/Common/NodeSettings.h"

#include <memory>
#include <string>

namespace Services {

/// The replicated part of a registry: the store on disk, the consensus node and the register on top. It is
/// made anew when the disk failed or when the node must join as an empty one.
class ClusterNode
{
public:
    /// Opens the data directory, or a store in memory without one. A node founds a cluster by itself only
    /// when the whole deployment starts for the first time, its directory is empty, and it is the first seed;
    /// all others join it.
    static Base::Result<std::unique_ptr<ClusterNode>> create(const NodeSettings &settings, Base::Instant now);

    /// Sets the files of the data directory aside, so that the next create() opens an empty one.
    static Base::Result<void> reset(const NodeSettings &settings);

    Consensus::RaftNode &raft() { return *raft_; }
    Registry::RegistryCore &core() { return *core_; }
    std::uint64_t incarnation() const { return store_->incarnation(); }
    bool holdsLog() const { return store_->snapshot().has_value() || store_->lastIndex() > 0; }

    /// Replaces the applied log by a snapshot when it has grown.
    Base::Result<void> compactIfDue(std::size_t appliedBytes);

private:
    ClusterNode(std::unique_ptr<Consensus::LogStore> store, std::unique_ptr<Consensus::RaftNode> raft);

    std::unique_ptr<Consensus::LogStore> store_;
    std::unique_ptr<Consensus::RaftNode> raft_;
    std::unique_ptr<Registry::RegistryCore> core_;
    std::size_t bytesSinceSnapshot_ = 0;
};

} // namespace Services
