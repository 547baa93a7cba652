#pragma once

#include "LibBase/Time.h"
#include "LibWire/Codec.h"

#include <cstddef>
#include <cstdint>

namespace Peer {

/// Largest payload of a request or reply.
constexpr std::size_t MaxPayloadBytes = Wire::MaxMessageBytes;

/// Payload bytes that one connection may hold in unfinished streams.
constexpr std::size_t MaxBufferedBytes = std::size_t {64} * 1024 * 1024;

/// Streams that a peer may have open on one connection.
constexpr std::uint32_t MaxStreams = 4096;

/// Streams that a peer may have open before it is authenticated.
constexpr std::uint32_t MaxUnauthenticatedStreams = 2;

/// Accepted connections; further ones are closed at once.
constexpr std::size_t MaxAcceptedConnections = 2048;

/// Receive window of one stream and of one connection, so that large replies need few round trips.
constexpr std::int32_t StreamWindowBytes = 1 << 20;
constexpr std::int32_t ConnectionWindowBytes = 16 << 20;

/// Time until the peer's kernel accepts; grows from the minimum with the backoff of the address. The kernel
/// repeats a lost opening packet only after a second, so an attempt at a VM that has just come up is better
/// made anew. The minimum covers one round trip between regions, the maximum several.
constexpr Base::Duration MinConnectTimeout = Base::milliseconds(100);
constexpr Base::Duration MaxConnectTimeout = Base::milliseconds(300);
constexpr int ConnectTimeoutBackoffs = 5; ///< Timeout of an attempt in multiples of the backoff before it.

/// An attempt that is younger than this may still be answered, so it is not renewed when the peer's VM turns
/// out to be up.
constexpr Base::Duration MinAttemptAge = Base::milliseconds(40);

/// Time for connecting and authenticating.
constexpr Base::Duration HandshakeTimeout = Base::seconds(2);

/// A connection without received bytes for this long sends a PING.
constexpr Base::Duration PingInterval = Base::milliseconds(500);

/// A connection without received bytes for this long is treated as cut; the PING would have been answered.
constexpr Base::Duration SilenceTimeout = Base::milliseconds(1500);

/// A client connection without calls for this long is closed.
constexpr Base::Duration IdleTimeout = Base::seconds(60);

/// Delay before the next connection attempt after a failure; doubles up to the maximum.
constexpr Base::Duration MinBackoff = Base::milliseconds(20);
constexpr Base::Duration MaxBackoff = Base::milliseconds(150);

/// Interval of the checks above, and the same while a connection attempt is open.
constexpr Base::Duration MaintenanceInterval = Base::milliseconds(100);
constexpr Base::Duration AttemptCheckInterval = Base::milliseconds(25);

} // namespace Peer
