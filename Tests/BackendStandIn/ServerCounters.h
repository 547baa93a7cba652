#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>

namespace StandIn {

/// What one simulated server saw since its start or the last reset.
struct ServerCounters
{
    std::uint64_t requests = 0; ///< Query requests that arrived.
    std::uint64_t started = 0; ///< Requests that got a slot.
    std::uint64_t completed = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t shed = 0;
    std::uint64_t deadlinePassed = 0;
    std::uint64_t refusedDraining = 0;
    std::uint64_t refusedVersion = 0;
    std::uint64_t refusedConnections = 0; ///< Connections beyond the limit.
    std::uint64_t connectionsAccepted = 0;
    std::uint32_t peakRequests =
        0; ///< Requests at one time, running or waiting; more than slots is an overrun.
    std::uint32_t peakConnections = 0; ///< Including refused ones.
    double busyMs = 0; ///< Drawn service time of all started requests.
    double lastArrivalWhileDrainingMs = 0; ///< After the start of draining; 0 when none arrived.
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ServerCounters, requests, started, completed, cancelled, shed,
                                   deadlinePassed, refusedDraining, refusedVersion, refusedConnections,
                                   connectionsAccepted, peakRequests, peakConnections, busyMs,
                                   lastArrivalWhileDrainingMs)

} // namespace StandIn
