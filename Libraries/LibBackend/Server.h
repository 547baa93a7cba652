#pragma once

#include "LibBackend/Attempt.h"
#include "LibBackend/LatencyEstimate.h"
#include "LibBackend/SlotRamp.h"

#include <string>
#include <vector>

namespace Backend {

enum class ConnectionState : std::uint8_t { Opening, Idle, Busy };

struct Connection
{
    ConnectionId id = 0;
    ConnectionState state = ConnectionState::Opening;
};

/// One owned backend server.
struct Server
{
    std::string serverId;
    std::string address;
    std::uint64_t shareEpoch = 0;
    std::uint32_t slotLimit = 0;
    std::uint32_t connectionLimit = 0;
    bool leaving = false; ///< By the document or the platform's list.
    bool draining = false; ///< By the server's own word.
    bool released = false; ///< The share is being given back; no new work.
    bool retired = false; ///< The directory gave the share to another process; kept only for work in flight.

    AttemptQueue queue;
    std::uint32_t inFlight = 0;
    std::vector<Connection> connections;
    SlotRamp ramp {1};
    LatencyEstimate latency;

    std::uint32_t failedConnects = 0; ///< In a row.
    Base::Instant nextConnectAt {};
    Base::Instant nextStatusPollAt {};
    std::vector<std::uint64_t> versions;
    double reportedLoad = 0.0;

    /// False while connecting has failed and no connection is open.
    bool isReachable() const;
    bool takesNewWork() const { return !leaving && !draining && !released; }
    Connection *findConnection(ConnectionId id);
    Connection *findIdleConnection();
    /// What other entry processes are told.
    Wire::ServerObservation observation() const;
};

} // namespace Backend
