#pragma once

#include "LibBase/Error.h"
#include "LibBase/MistakeList.h"
#include "LibBase/Time.h"
#include "LibRoute/KeyDigest.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace Route {

/// Whether a request may run on more than one backend server.
enum class Repeatability : std::uint8_t { Idempotent, AtMostOnce };

/// Target of a weighted traffic split; the weight is relative to those of the other targets.
struct WeightedService
{
    std::string service;
    double weight = 1.0;

    bool operator==(const WeightedService &) const = default;
};

/// Scatter-gather over shards; each shard is a service.
struct GatherRule
{
    std::vector<std::string> shards;
    std::uint32_t recordLimit = 0; ///< Maximum number of records in the answer.
    double minimumCoverage = 1.0; ///< Minimum fraction of the shards for a success.

    bool operator==(const GatherRule &) const = default;
};

/// Forwarding rule for requests with one host and path prefix.
struct RouteRule
{
    std::string name;
    std::string host; ///< Lower case.
    std::string prefix; ///< Of the path; begins and ends with a slash.
    Repeatability repeatability = Repeatability::AtMostOnce;
    Base::Duration timeout {}; ///< Maximum time until the caller is answered.
    Base::Duration latencyTarget {};
    std::uint32_t rank = 0; ///< 0 is the most urgent.
    std::uint32_t attempts = 1; ///< Maximum number of backend servers per request or gather shard.
    std::vector<WeightedService> targets; ///< Empty for a gather.
    std::optional<GatherRule> gather;
    /// Targets that the source names beside those in use. They must be valid as well.
    std::vector<std::vector<WeightedService>> unusedTargets;
    bool isPublic = false; ///< Needs no key, even if the configuration has tenants.
    std::uint64_t sourceDigest = 0; ///< Of the source text; equal texts give equal rules.

    bool operator==(const RouteRule &) const = default;
};

struct ServiceRule
{
    std::string name;
    std::uint32_t maxConnections = 1; ///< To one backend server, over all processes.
    /// Requests per second that a cold server tolerates, over all processes; 0 if it has no limit.
    double coldRequestsPerSecond = 0.0;

    bool operator==(const ServiceRule &) const = default;
};

/// A customer of the deployment, told by the keys that its callers send.
struct TenantRule
{
    std::string name;
    std::vector<KeyDigest> keys;
    std::optional<std::uint32_t> rank; ///< Replaces the rank of the route.
    double requestsPerSecond = 0.0; ///< Over all gateways; 0 if it has no limit.
    double burst = 0.0; ///< Requests that may come at once in addition to the rate.
    std::uint64_t sourceDigest = 0; ///< Of the source text; equal texts give equal rules.

    bool operator==(const TenantRule &) const = default;
};

/// Size and time limits for requests and connections of callers.
struct CallerLimits
{
    std::uint32_t maxHeaderBytes = 16384;
    std::uint64_t maxBodyBytes = 262144;
    Base::Duration headerTimeout = Base::seconds(3);
    Base::Duration idleTimeout = Base::seconds(15);

    bool operator==(const CallerLimits &) const = default;
};

/// Routing configuration of a deployment; immutable once decoded.
struct Configuration
{
    std::uint64_t version = 0;
    std::vector<RouteRule> routes;
    std::map<std::string, ServiceRule, std::less<>> services;
    /// Requests need a key, except on public routes, if the configuration has a list of tenants. An empty
    /// list holds no key, so it lets nobody in; only without a list are all requests let in.
    std::optional<std::vector<TenantRule>> tenants;
    CallerLimits limits;
    std::uint64_t servicesDigest = 0; ///< Of the text that `services` was decoded from.
    std::uint64_t tenantsDigest = 0; ///< Of the text that `tenants` was decoded from.

    bool needsKeys() const { return tenants.has_value(); }
    /// Empty also if there is no list of tenants.
    std::span<const TenantRule> tenantRules() const
    {
        return tenants ? std::span<const TenantRule>(*tenants) : std::span<const TenantRule>();
    }
};

/// The parts of a configuration that differ from one that was valid.
struct ChangedParts
{
    std::span<const std::size_t> routes; ///< Indices.
    bool tenants = true;
};

/// Validates the configuration. Each mistake has the name of its route or tenant, and none has a key.
Base::MistakeList findMistakes(const Configuration &configuration);
/// The same, but checks only the changed parts, and all routes for equal host and prefix. Adds to `mistakes`.
void findMistakes(const Configuration &configuration, const ChangedParts &changed,
                  Base::MistakeList &mistakes);

} // namespace Route
