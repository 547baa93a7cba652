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

/// Identifies the admission gate and tenant of one query.
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
    bool overloadSeen = false; ///< Shed, dropped from a queue, or queued for a large part of the deadline.
};

/// Limits queries in flight per class and index. The limit shrinks when queries meet queues and grows while
/// they do not; tenants get shares by weight once the gate is nearly full.
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

    struct Gate
    {
        double limit = 0.0; ///< 0 until the first query.
        double maxLimit = 0.0;
        std::uint32_t inFlight = 0;
        std::uint32_t peakInFlight = 0; ///< Since the last decrease.
        Base::Instant lastDecrease {};
        std::map<std::string, TenantRow> tenants;
    };

    static double tenantShare(Base::Instant now, const Gate &gate, const TenantRow &tenant);

    std::map<std::pair<std::string, std::string>, Gate> gates_; ///< Keyed by class and index.
    std::map<std::string, std::uint32_t> inFlightByClass_;
};

} // namespace Query
