#pragma once

#include "LibBase/ErrorKind.h"
#include "LibBase/Time.h"
#include "LibConfiguration/Document.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace Query {

/// Identifies the admission limiter and tenant of one query.
struct AdmissionKey
{
    std::string trafficClass;
    std::string index;
    std::string tenant;
};

/// How an admitted query ended, as far as admission is concerned.
struct AdmissionOutcome
{
    Base::Instant acceptedAt {};
    /// A sub-request was shed, timed out in a queue, or queued for a large part of the deadline.
    bool overloadSeen = false;
};

/// Limits queries in flight per traffic class and index. The limit decreases multiplicatively after overload
/// and increases additively while it is used without overload. Near the limit, each tenant is held to a
/// weighted quota.
class AdmissionTable
{
public:
    /// Admits a query and counts it, or returns Overloaded or TenantOverLimit.
    std::optional<Base::ErrorKind> admit(Base::Instant now, const AdmissionKey &key,
                                         const Configuration::TrafficClass &trafficClass,
                                         const Configuration::Document &document);
    /// Ends an admitted query.
    void release(Base::Instant now, const AdmissionKey &key, const AdmissionOutcome &outcome);

private:
    struct TenantRow
    {
        std::uint32_t inFlight = 0;
        std::uint32_t weight = 1;
        Base::Instant lastSeen {};
    };

    struct ConcurrencyLimiter
    {
        double limit = 0.0; ///< 0 until the first query.
        double maxLimit = 0.0;
        std::uint32_t inFlight = 0;
        std::uint32_t peakInFlight = 0; ///< Since the last decrease.
        Base::Instant lastDecrease {};
        std::map<std::string, TenantRow> tenants;
    };

    static double tenantQuota(Base::Instant now, const ConcurrencyLimiter &limiter, const TenantRow &tenant);

    /// Keyed by class and index.
    std::map<std::pair<std::string, std::string>, ConcurrencyLimiter> limiters_;
    std::map<std::string, std::uint32_t> inFlightByClass_;
};

} // namespace Query
