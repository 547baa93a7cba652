#pragma once

#include "LibQuery/ServerTable.h"
#include "LibQuery/ShardMap.h"

#include <cstdint>
#include <span>

namespace Query {

/// An index version and how many of the given shards an eligible server offers it for.
struct VersionChoice
{
    std::uint64_t version = 0;
    std::uint32_t shardCount = 0; ///< 0 means that no version is offered.
};

/// Returns the version offered for the most shards, the newest in case of a tie.
VersionChoice chooseVersion(Base::Instant now, const ServerTable &servers,
                            std::span<const MappedShard> shards);

/// Returns whether an eligible server offers `version` for the shard.
bool offersVersion(Base::Instant now, const ServerTable &servers, const MappedShard &shard,
                   std::uint64_t version);

/// Returns whether no replica is usable now but one is expected to recover.
bool isRecovering(Base::Instant now, const ServerTable &servers, const MappedShard &shard);

/// Interval at which a shard whose replicas are recovering is retried.
constexpr Base::Duration RecoveryPollInterval = Base::milliseconds(20);

} // namespace Query
