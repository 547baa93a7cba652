#include "Services/Registry/ClusterNode.h"

#include <random>

namespace Services {

namespace {

/// Bytes of applied commands that are kept as log; bounds memory, disk and what a restart replays.
constexpr std::size_t MaxLogBytes = std::size_t {512} * 1024;
/// The registries of one deployment are milliseconds apart. The timeout covers the sync of a slow disk, which
/// delays a leader's heartbeats.
constexpr Base::Duration HeartbeatInterval = Base::milliseconds(60);
constexpr Base::Duration ElectionTimeout = Base::milliseconds(250);
/// A VM without a disk keeps its log here. It is gone after a restart, and the node joins as a new one.
constexpr const char *VolatileDirectory = "/tmp/daisyroute-registry";

std::string directoryOf(const NodeSettings &settings)
{
    return settings.dataDirectory.empty() ? VolatileDirectory : settings.dataDirectory;
}

bool isFounder(const NodeSettings &settings, const Consensus::LogStore &store, bool wasRepaired)
{
    const bool empty =
        !store.snapshot() && store.lastIndex() == 0 && store.hardState() == Consensus::HardState {};
    // A node that was removed is empty again, but its cluster lives on without it.
    return empty && !wasRepaired && settings.firstStart
           && (settings.seeds.empty() || settings.seeds.front() == settings.operatorAddress);
}

} // namespace

Base::Result<std::unique_ptr<ClusterNode>> ClusterNode::create(const NodeSettings &settings,
                                                               Base::Instant now)
{
    const auto wasRepaired = Consensus::FileLogStore::wasRepaired(directoryOf(settings));
    if (!wasRepaired)
        return tl::unexpected(wasRepaired.error());
    auto store = Consensus::FileLogStore::create(directoryOf(settings));
    if (!store)
        return tl::unexpected(store.error());
    Consensus::RaftOptions options;
    options.nodeId = settings.nodeId;
    options.peerAddress = settings.registryPeerAddress();
    options.heartbeatInterval = HeartbeatInterval;
    options.electionTimeout = ElectionTimeout;
    options.seed = std::random_device {}();
    if (isFounder(settings, **store, *wasRepaired))
        options.initialMembers = {{settings.nodeId, (*store)->incarnation(), options.peerAddress, true}};
    auto raft = Consensus::RaftNode::create(std::move(options), **store, now);
    if (!raft)
        return tl::unexpected(raft.error());
    return std::unique_ptr<ClusterNode>(new ClusterNode(std::move(*store), std::move(*raft)));
}

Base::Result<void> ClusterNode::reset(const NodeSettings &settings)
{
    return Consensus::FileLogStore::repair(directoryOf(settings));
}

ClusterNode::ClusterNode(std::unique_ptr<Consensus::FileLogStore> store,
                         std::unique_ptr<Consensus::RaftNode> raft)
    : store_(std::move(store))
    , raft_(std::move(raft))
    , core_(std::make_unique<Registry::RegistryCore>(*raft_))
{
}

Base::Result<void> ClusterNode::compactIfDue(std::size_t appliedBytes)
{
    bytesSinceSnapshot_ += appliedBytes;
    if (bytesSinceSnapshot_ < MaxLogBytes)
        return {};
    bytesSinceSnapshot_ = 0;
    return raft_->compact(core_->appliedIndex(), core_->configuration().snapshot());
}

} // namespace Services
