#include "LibBackend/Server.h"

#include <algorithm>

namespace Backend {

bool Server::isReachable() const
{
    const auto isOpen = [](const Connection &connection) {
        return connection.state != ConnectionState::Opening;
    };
    return failedConnects == 0 || std::any_of(connections.begin(), connections.end(), isOpen);
}

Connection *Server::findConnection(ConnectionId id)
{
    const auto hasId = [id](const Connection &connection) { return connection.id == id; };
    const auto found = std::find_if(connections.begin(), connections.end(), hasId);
    return found == connections.end() ? nullptr : &*found;
}

Connection *Server::findIdleConnection()
{
    const auto isIdle = [](const Connection &connection) {
        return connection.state == ConnectionState::Idle;
    };
    const auto found = std::find_if(connections.begin(), connections.end(), isIdle);
    return found == connections.end() ? nullptr : &*found;
}

Wire::ServerObservation Server::observation() const
{
    Wire::ServerObservation result;
    result.serverId = serverId;
    result.versions = versions;
    result.reachable = isReachable();
    result.draining = !takesNewWork();
    result.slots = ramp.slots();
    result.inFlight = inFlight;
    result.queued = static_cast<std::uint32_t>(queue.size());
    result.recentLatencyMicroseconds = latency.average().count();
    result.reportedLoad = reportedLoad;
    return result;
}

} // namespace Backend
