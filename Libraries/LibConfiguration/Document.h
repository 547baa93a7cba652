#pragma once

#include "LibBase/Time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Configuration {

/// What a class gives up first when shards are late.
enum class CompletionPolicy : std::uint8_t {
    Coverage, ///< Waits for the last shard until the deadline.
    Latency ///< Answers at the latency target with the replies received.
};

/// Policy of one traffic class; every query belongs to one class.
struct TrafficClass
{
    std::string name;
    CompletionPolicy policy = CompletionPolicy::Coverage;
    Base::Duration deadline {}; ///< Longest time to an answer; a caller may ask for less.
    Base::Duration latencyTarget {}; ///< Used by CompletionPolicy::Latency only.
    double extraLoadBudget = 0.02; ///< Hedges and retries as a fraction of sub-requests.
    double hedgeQuantile = 0.95; ///< Quantile of the observed shard latency after which a hedge is sent.
    std::uint32_t maxQueriesInFlight = 64; ///< Per entry process; the adaptive limit never exceeds it.

    bool operator==(const TrafficClass &) const = default;
};

/// A group of callers that shares one allowance.
struct Tenant
{
    std::string name;
    std::uint32_t weight = 1; ///< Relative share of the admission limit under contention.

    bool operator==(const Tenant &) const = default;
};

/// One backend server, which is a replica of one or more shards.
struct BackendServer
{
    std::string id;
    std::string address; ///< ip:port of its HTTP interface.
    std::string dataCentre;
    bool leaving = false; ///< Gets no new work.

    bool operator==(const BackendServer &) const = default;
};

struct Shard
{
    std::string name;
    std::vector<std::string> serverIds; ///< Its replicas.

    bool operator==(const Shard &) const = default;
};

/// One index: a set of shards that a query covers as a whole.
struct Index
{
    std::string name;
    std::uint32_t slotsPerServer = 1; ///< Requests that one server runs at once.
    std::uint32_t connectionsPerServer = 1; ///< Connections that one server accepts.
    Base::Duration connectTime {}; ///< Usual cost of a new connection.
    std::vector<Shard> shards;
    std::vector<BackendServer> servers;

    const Shard *findShard(std::string_view shardName) const;
    const BackendServer *findServer(std::string_view serverId) const;

    bool operator==(const Index &) const = default;
};

/// The whole declaration of one environment. Server ids are unique over all indexes.
struct Document
{
    std::string environment;
    Base::Duration addressMaxAge = Base::seconds(5); ///< How long callers may cache entry addresses.
    std::vector<TrafficClass> classes;
    std::vector<Tenant> tenants;
    std::vector<Index> indexes;

    const TrafficClass *findClass(std::string_view className) const;
    const Tenant *findTenant(std::string_view tenantName) const;
    const Index *findIndex(std::string_view indexName) const;

    bool operator==(const Document &) const = default;
};

} // namespace Configuration
