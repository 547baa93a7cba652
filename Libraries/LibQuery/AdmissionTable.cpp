#include "LibQuery/AdmissionTable.h"

#include <algorithm>

namespace Query {

namespace {

/// Above this part of the limit a tenant may not exceed its share, so that the others always find room.
constexpr double ContendedFraction = 0.75;
/// A tenant keeps its claim to a share for this long after its last query.
constexpr Base::Duration TenantActivity = Base::seconds(1);

constexpr double DecreaseFactor = 0.85;
constexpr double MinLimit = 1.0;
/// Queries arrive in bursts: with a lower limit an entry process that gets few queries refuses the second of
/// two that arrive together, although the backend servers are idle.
constexpr double BurstLimit = 4.0;
/// A class with a small declared limit is kept tight: the lowest limit is at most this part of it.
constexpr double LargestFloorFraction = 0.25;

double lowestLimit(double maxLimit)
{
    return std::max(MinLimit, std::min(BurstLimit, LargestFloorFraction * maxLimit));
}

/// The limit grows only while it is used, so that a quiet hour does not raise it beyond what was tested.
constexpr double UsedFraction = 0.7;

} // namespace

std::optional<Base::ErrorKind> AdmissionTable::admit(Base::Instant now, const AdmissionKey &key,
                                                     const Configuration::TrafficClass &trafficClass,
                                                     const Configuration::Document &document)
{
    auto &gate = gates_[{key.trafficClass, key.index}];
    gate.maxLimit = std::max(MinLimit, static_cast<double>(trafficClass.maxQueriesInFlight));
    gate.limit = gate.limit > 0.0 ? std::min(gate.limit, gate.maxLimit) : gate.maxLimit;
    auto &tenant = gate.tenants[key.tenant];
    const auto *declared = document.findTenant(key.tenant);
    tenant.weight = declared != nullptr ? std::max(1U, declared->weight) : 1U;
    tenant.lastSeen = now;

    auto &classInFlight = inFlightByClass_[key.trafficClass];
    if (classInFlight >= trafficClass.maxQueriesInFlight || gate.inFlight + 1.0 > gate.limit)
        return Base::ErrorKind::Overloaded;
    const bool contended = gate.inFlight + 1.0 > ContendedFraction * gate.limit;
    if (contended && tenant.inFlight + 1.0 > tenantShare(now, gate, tenant))
        return Base::ErrorKind::TenantOverLimit;

    ++classInFlight;
    ++gate.inFlight;
    gate.peakInFlight = std::max(gate.peakInFlight, gate.inFlight);
    ++tenant.inFlight;
    return std::nullopt;
}

void AdmissionTable::release(Base::Instant now, const AdmissionKey &key, const AdmissionOutcome &outcome)
{
    auto &gate = gates_[{key.trafficClass, key.index}];
    const bool used = gate.inFlight >= UsedFraction * gate.limit;
    --gate.inFlight;
    --gate.tenants[key.tenant].inFlight;
    --inFlightByClass_[key.trafficClass];

    if (!outcome.overloadSeen) {
        gate.limit = used ? std::min(gate.limit + 1.0 / gate.limit, gate.maxLimit) : gate.limit;
        return;
    }
    // Queries accepted before the last decrease report the load that it already answered.
    if (outcome.acceptedAt < gate.lastDecrease)
        return;
    // A limit that was never reached says nothing; the decrease starts from what was in flight.
    const auto lowered = std::min<double>(gate.limit, gate.peakInFlight) * DecreaseFactor;
    gate.limit = std::max(lowestLimit(gate.maxLimit), lowered);
    gate.peakInFlight = gate.inFlight;
    gate.lastDecrease = now;
}

double AdmissionTable::tenantShare(Base::Instant now, const Gate &gate, const TenantRow &tenant)
{
    double weights = 0.0;
    for (const auto &[name, other] : gate.tenants) {
        if (other.inFlight > 0 || now - other.lastSeen <= TenantActivity)
            weights += other.weight;
    }
    return std::max(1.0, gate.limit * tenant.weight / weights);
}

} // namespace Query
