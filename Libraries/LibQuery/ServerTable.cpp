#include "LibQuery/ServerTable.h"

#include <algorithm>

namespace Query {

namespace {

/// Owners are polled every 500 ms; after three missed polls the observation is stale.
constexpr Base::Duration ObservationLifetime = Base::milliseconds(1600);

/// The share of a failed entry process is reassigned after its lease (3.35 s), received with the next lease
/// renewal (0.5 s) and observed with the next poll (0.5 s).
constexpr Base::Duration RecoveryWindow = Base::seconds(5);

constexpr std::uint32_t FailuresUntilEjection = 5;
constexpr Base::Duration InitialEjectionTime = Base::seconds(1);
constexpr std::uint32_t MaxEjectionDoublings = 4;

/// Effective slots of a server whose slots all hold overdue attempts: a new request is predicted to wait for
/// three service times.
constexpr double MinEffectiveSlots = 0.25;

constexpr double LatencySmoothingFactor = 0.1;
/// A single sample counts as at most this multiple of the average, so that one straggler does not divert
/// requests from a healthy server.
constexpr double LatencySampleCap = 3.0;

} // namespace

bool ServerRow::offers(std::uint64_t version) const
{
    if (!observation)
        return false;
    const auto &versions = observation->versions;
    return std::find(versions.begin(), versions.end(), version) != versions.end();
}

ServerKey ServerTable::intern(std::string_view serverId)
{
    const auto next = static_cast<ServerKey>(rows_.size());
    const auto [entry, added] = keys_.try_emplace(std::string(serverId), next);
    if (added)
        rows_.emplace_back().serverId = serverId;
    return entry->second;
}

void ServerTable::assignShares(Base::Instant now, std::span<const Wire::ShareRecord> shares)
{
    for (const auto &share : shares) {
        auto &server = rows_[intern(share.serverId)];
        if (server.ownerEntryId == share.entryId && server.shareEpoch == share.epoch)
            continue;
        server.ownerEntryId = share.entryId;
        server.shareEpoch = share.epoch;
        server.observation.reset();
        server.recoveringUntil = now + RecoveryWindow;
    }
}

void ServerTable::observe(Base::Instant now, std::string_view ownerEntryId,
                          const Wire::ServerObservation &observation)
{
    const auto entry = keys_.find(observation.serverId);
    if (entry == keys_.end())
        return;
    auto &server = rows_[entry->second];
    if (server.ownerEntryId != ownerEntryId)
        return;
    server.observation = observation;
    server.observedAt = now;
    server.inFlightWhenObserved = server.inFlight;
    if (observation.reachable && !observation.draining)
        server.recoveringUntil = now + RecoveryWindow;
}

void ServerTable::withdrawVersion(ServerKey key, std::uint64_t version)
{
    if (rows_[key].observation)
        std::erase(rows_[key].observation->versions, version);
}

void ServerTable::attemptStarted(Base::Instant now, ServerKey key)
{
    auto &server = rows_[key];
    ++server.inFlight;
    if (eligibility(now, key) == Eligibility::ProbeDue)
        server.probing = true;
}

void ServerTable::attemptEnded(ServerKey key, bool overdue)
{
    auto &server = rows_[key];
    server.overdue -= overdue ? 1 : 0;
    server.inFlight -= server.inFlight > 0 ? 1 : 0;
    if (server.inFlight == 0)
        server.probing = false;
}

void ServerTable::recordReply(ServerKey key, Base::Duration latency)
{
    auto &server = rows_[key];
    server.consecutiveFailures = 0;
    server.consecutiveEjections = 0;
    server.ejectedUntil.reset();
    server.probing = false;
    addLatencySample(key, latency);
}

bool ServerTable::recordFailure(Base::Instant now, ServerKey key)
{
    auto &server = rows_[key];
    ++server.consecutiveFailures;
    const bool probeFailed = server.probing;
    server.probing = false;
    if (!probeFailed && (server.ejectedUntil || server.consecutiveFailures < FailuresUntilEjection))
        return false;
    const auto doublings = std::min(server.consecutiveEjections, MaxEjectionDoublings);
    ++server.consecutiveEjections;
    server.ejectedUntil = now + InitialEjectionTime * (1U << doublings);
    return true;
}

void ServerTable::addLatencySample(ServerKey key, Base::Duration elapsed)
{
    auto &average = rows_[key].latencyMicroseconds;
    const auto sample = static_cast<double>(elapsed.count());
    if (average <= 0.0) {
        average = sample;
        return;
    }
    average += LatencySmoothingFactor * (std::min(sample, LatencySampleCap * average) - average);
}

Eligibility ServerTable::eligibility(Base::Instant now, ServerKey key) const
{
    const auto &server = rows_[key];
    if (server.leaving || server.ownerEntryId.empty() || !server.observation)
        return Eligibility::Unusable;
    if (!server.observation->reachable || server.observation->draining)
        return Eligibility::Unusable;
    if (server.ejectedUntil && now >= *server.ejectedUntil && !server.probing)
        return Eligibility::ProbeDue;
    if (server.ejectedUntil || now - server.observedAt > ObservationLifetime)
        return Eligibility::LastResort;
    return Eligibility::Ready;
}

bool ServerTable::isRecovering(Base::Instant now, ServerKey key) const
{
    const auto &server = rows_[key];
    return !server.leaving && now < server.recoveringUntil && eligibility(now, key) == Eligibility::Unusable;
}

double ServerTable::occupancy(ServerKey key) const
{
    const auto &server = rows_[key];
    double others = 0.0;
    double slots = 1.0;
    if (server.observation) {
        const auto total = server.observation->inFlight + server.observation->queued;
        others = std::max(0.0, static_cast<double>(total) - server.inFlightWhenObserved);
        slots = std::max(1.0, static_cast<double>(server.observation->slots));
    }
    return (others + server.inFlight) / slots;
}

double ServerTable::expectedLatency(const ServerRow &server, Base::Duration typicalLatency) const
{
    if (server.latencyMicroseconds > 0.0)
        return server.latencyMicroseconds;
    if (server.observation && server.observation->recentLatencyMicroseconds > 0)
        return static_cast<double>(server.observation->recentLatencyMicroseconds);
    return static_cast<double>(typicalLatency.count());
}

double ServerTable::serviceTimesUntilFreeSlot(const ServerRow &server) const
{
    const double slots = server.observation ? std::max<double>(1.0, server.observation->slots) : 1.0;
    // An overdue attempt is likely to hold its slot for much longer than one service time.
    return 1.0 / std::max(slots - server.overdue, MinEffectiveSlots);
}

double ServerTable::serviceTimesUntilDispatch(ServerKey key) const
{
    const auto &server = rows_[key];
    const double slots = server.observation ? std::max<double>(1.0, server.observation->slots) : 1.0;
    const double ahead = std::max(0.0, occupancy(key) * slots - server.overdue);
    return std::max(0.0, (ahead + 1.0) * serviceTimesUntilFreeSlot(server) - 1.0);
}

Base::Duration ServerTable::predictedQueueTime(ServerKey key, Base::Duration typicalLatency) const
{
    const auto wait = expectedLatency(rows_[key], typicalLatency) * serviceTimesUntilDispatch(key);
    return Base::Duration(static_cast<Base::Duration::rep>(wait));
}

Base::Duration ServerTable::predictedResponseTime(ServerKey key, Base::Duration typicalLatency) const
{
    const auto latency = static_cast<Base::Duration::rep>(expectedLatency(rows_[key], typicalLatency));
    return predictedQueueTime(key, typicalLatency) + Base::Duration(latency);
}

Base::Duration ServerTable::predictedHedgeResponseTime(ServerKey key, Base::Duration typicalLatency,
                                                       Base::Duration elapsed) const
{
    const double latency = expectedLatency(rows_[key], typicalLatency);
    const double queue = latency * serviceTimesUntilDispatch(key);
    const double older = std::max(0.0, queue - static_cast<double>(elapsed.count()));
    const double wait = std::min(queue, latency * serviceTimesUntilFreeSlot(rows_[key]) + older);
    return Base::Duration(static_cast<Base::Duration::rep>(latency + wait));
}

} // namespace Query
