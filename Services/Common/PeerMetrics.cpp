#include "Services/Common/PeerMetrics.h"

#include <string>

namespace Services {

void updatePeerMetrics(Metrics::Registry &registry, const Peer::TrafficCounters &traffic)
{
    for (std::size_t index = 0; index < static_cast<std::size_t>(Wire::Method::Count); ++index) {
        const auto method = static_cast<Wire::Method>(index);
        const auto totals = traffic.of(method);
        const Metrics::Labels labels {{"method", std::string(Wire::methodName(method))}};
        registry.counter("daisyroute_peer_calls_total", "Calls made to other processes.", labels)
            .raiseTo(totals.calls);
        registry.counter("daisyroute_peer_request_bytes_total", "Payload of calls made.", labels)
            .raiseTo(totals.requestBytes);
        registry.counter("daisyroute_peer_reply_bytes_total", "Payload of replies received.", labels)
            .raiseTo(totals.replyBytes);
    }
    constexpr const char *SocketHelp = "Bytes on the sockets between processes.";
    registry.counter("daisyroute_peer_socket_bytes_total", SocketHelp, {{"direction", "sent"}})
        .raiseTo(traffic.socketBytesSent());
    registry.counter("daisyroute_peer_socket_bytes_total", SocketHelp, {{"direction", "received"}})
        .raiseTo(traffic.socketBytesReceived());
}

} // namespace Services
