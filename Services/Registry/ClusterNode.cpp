#include "Services/Registry/ClusterNode.h"

#include "LibConsensus/FileLogStore.h"
#include "LibConsensus/VolatileLogStore.h"

#include <random>

namespace Services {

namespace {

/// Bytes of applied commands before compaction; bounds memory, disk use and replay after a restart.
constexpr std::size_t MaxLogBytes = std::size_t {512} * 1024;
/// The registries of one deployment are milliseconds apart. The timeout covers the sync of a slow disk, which
/// delays a leader's heartbeats.
constexpr Base::Duration HeartbeatInterval = Base::milliseconds(60);
constexpr Base::Duration ElectionTimeout = Base::milliseconds(250);

/// A VM without a disk keeps its log in memory; after a restart it joins as a new node.
Base::Result<std::unique_ptr<Consensus::LogStore>> openStore(const NodeSettings &settings)
{
    if (settings.dataDirectory.empty())
        return std::make_unique<Consensus::VolatileLogStore>();
    return Consensus::FileLogStore::create(settings.dataDirectory);
}

Base::Result<bool> wasRepaired(const NodeSettings &settings)
{
    if (settings.dataDirectory.empty())
        return false;
    return Consensus::FileLogStore::wasRepaired(settings.dataDirectory);
}

bool isEmpty(const Consensus::LogStore &store)
{
    return !store.snapshot() && store.lastIndex() == 0 && store.hardState() == Consensus::HardState {};
}

// A first seed without a disk appoints a founder that has one (Registry::FounderSearch).
bool isFounder(const NodeSettings &settings, ClusterNode::Founding founding)
{
    if (founding == ClusterNode::Founding::Appointed)
        return true;
    return settings.firstStart
           && (settings.seeds.empty() || (settings.isFirstSeed() && !settings.dataDirectory.empty()));
}

} // namespace

Base::Result<std::unique_ptr<ClusterNode>> ClusterNode::create(const NodeSettings &settings,
                                                               Base::Instant now, Founding founding)
{
    const auto repaired = wasRepaired(settings);
    if (!repaired)
        return tl::unexpected(repaired.error());
    auto store = openStore(settings);
    if (!store)
        return tl::unexpected(store.error());
    Consensus::RaftOptions options;
    options.nodeId = settings.nodeId;
    options.peerAddress = settings.registryPeerAddress();
    options.heartbeatInterval = HeartbeatInterval;
    options.electionTimeout = ElectionTimeout;
    options.seed = std::random_device {}();
    const bool hasDisk = !settings.dataDirectory.empty();
    // A removed node is empty as well, but its cluster still exists and must not be founded again.
    const bool isFresh = isEmpty(**store) && !*repaired;
    if (isFresh && isFounder(settings, founding))
        options.initialMembers = {
            {settings.nodeId, (*store)->incarnation(), options.peerAddress, true, hasDisk}};
    auto raft = Consensus::RaftNode::create(std::move(options), **store, now);
    if (!raft)
        return tl::unexpected(raft.error());
    return std::unique_ptr<ClusterNode>(
        new ClusterNode(std::move(*store), std::move(*raft), isFresh && hasDisk));
}

Base::Result<void> ClusterNode::reset(const NodeSettings &settings)
{
    if (settings.dataDirectory.empty())
        return {};
    return Consensus::FileLogStore::repair(settings.dataDirectory);
}

ClusterNode::ClusterNode(std::unique_ptr<Consensus::LogStore> store,
                         std::unique_ptr<Consensus::RaftNode> raft, bool isFreshDisk)
    : store_(std::move(store))
    , raft_(std::move(raft))
    , core_(std::make_unique<Registry::RegistryCore>(*raft_))
    , isFreshDisk_(isFreshDisk)
{
}

bool ClusterNode::mayFound() const
{
    return isFreshDisk_ && isEmpty(*store_);
}

Base::Result<void> ClusterNode::compactIfDue(std::size_t appliedBytes)
{
    bytesSinceSnapshot_ += appliedBytes;
    if (bytesSinceSnapshot_ < MaxLogBytes)
        return {};
    bytesSinceSnapshot_ = 0;
    return raft_->compact(core_->appliedIndex(), core_->snapshot());
}

} // namespace Services
