#include "LibQuery/AdmissionTable.h"

#include <algorithm>

namespace Query {

namespace {

/// Above this fraction of the limit a tenant may not exceed its quota, so that other tenants can be admitted.
constexpr double ContendedFraction = 0.75;
/// An idle tenant counts in the quotas for this long after its last query.
constexpr Base::Duration TenantActivityWindow = Base::seconds(1);

constexpr double DecreaseFactor = 0.85;
constexpr double MinLimit = 1.0;
/// Lower bound of the limit. Queries arrive in bursts: with a smaller bound, an entry process with little
/// traffic refuses the second of two simultaneous queries although the backend servers are idle.
constexpr double BurstFloor = 4.0;
/// Caps the lower bound for classes with a small configured limit, as a fraction of that limit.
constexpr double MaxFloorFraction = 0.25;

double limitFloor(double maxLimit)
{
    return std::max(MinLimit, std::min(BurstFloor, MaxFloorFraction * maxLimit));
}

/// The limit increases only above this utilisation, so that light traffic does not raise it to an untested
/// level.
constexpr double MinUtilisationToGrow = 0.7;

} // namespace

std::optional<Base::ErrorKind> AdmissionTable::admit(Base::Instant now, const AdmissionKey &key,
                                                     const Configuration::TrafficClass &trafficClass,
                                                     const Configuration::Document &document)
{
    auto &limiter = limiters_[{key.trafficClass, key.index}];
    limiter.maxLimit = std::max(MinLimit, static_cast<double>(trafficClass.maxQueriesInFlight));
    limiter.limit = limiter.limit > 0.0 ? std::min(limiter.limit, limiter.maxLimit) : limiter.maxLimit;
    auto &tenant = limiter.tenants[key.tenant];
    const auto *declared = document.findTenant(key.tenant);
    tenant.weight = declared != nullptr ? std::max(1U, declared->weight) : 1U;
    tenant.lastSeen = now;

    auto &classInFlight = inFlightByClass_[key.trafficClass];
    if (classInFlight >= trafficClass.maxQueriesInFlight || limiter.inFlight + 1.0 > limiter.limit)
        return Base::ErrorKind::Overloaded;
    const bool contended = limiter.inFlight + 1.0 > ContendedFraction * limiter.limit;
    if (contended && tenant.inFlight + 1.0 > tenantQuota(now, limiter, tenant))
        return Base::ErrorKind::TenantOverLimit;

    ++classInFlight;
    ++limiter.inFlight;
    limiter.peakInFlight = std::max(limiter.peakInFlight, limiter.inFlight);
    ++tenant.inFlight;
    return std::nullopt;
}

void AdmissionTable::release(Base::Instant now, const AdmissionKey &key, const AdmissionOutcome &outcome)
{
    auto &limiter = limiters_[{key.trafficClass, key.index}];
    const bool used = limiter.inFlight >= MinUtilisationToGrow * limiter.limit;
    --limiter.inFlight;
    --limiter.tenants[key.tenant].inFlight;
    --inFlightByClass_[key.trafficClass];

    if (!outcome.overloadSeen) {
        limiter.limit =
            used ? std::min(limiter.limit + 1.0 / limiter.limit, limiter.maxLimit) : limiter.limit;
        return;
    }
    // Queries accepted before the last decrease report overload that it already accounts for.
    if (outcome.acceptedAt < limiter.lastDecrease)
        return;
    // An unreached limit says nothing about capacity; decrease from the peak of queries in flight.
    const auto lowered = std::min<double>(limiter.limit, limiter.peakInFlight) * DecreaseFactor;
    limiter.limit = std::max(limitFloor(limiter.maxLimit), lowered);
    limiter.peakInFlight = limiter.inFlight;
    limiter.lastDecrease = now;
}

double AdmissionTable::tenantQuota(Base::Instant now, const ConcurrencyLimiter &limiter,
                                   const TenantRow &tenant)
{
    double weights = 0.0;
    for (const auto &[name, other] : limiter.tenants) {
        if (other.inFlight > 0 || now - other.lastSeen <= TenantActivityWindow)
            weights += other.weight;
    }
    return std::max(1.0, limiter.limit * tenant.weight / weights);
}

} // namespace Query
