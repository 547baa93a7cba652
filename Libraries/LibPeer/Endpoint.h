#pragma once

#include "LibBase/Bytes.h"
#include "LibBase/Error.h"
#include "LibBase/Time.h"
#include "LibPeer/Responder.h"
#include "LibPeer/TrafficCounters.h"
#include "LibWire/Method.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Peer {

using CallId = std::uint64_t;

/// Runs on the endpoint's thread, exactly once per call, with the payload of the reply.
using ReplyHandler = std::function<void(Base::Result<Base::Bytes>)>;

/// Runs on the endpoint's thread for each request; must not block.
using RequestHandler = std::function<void(Wire::Method, Base::Bytes payload, std::shared_ptr<Responder>)>;

struct EndpointOptions
{
    std::string listenAddress; ///< ip:port; port 0 lets the kernel choose.
    std::string sharedSecret; ///< Must be equal on all processes of one deployment.
    RequestHandler handler;
};

/// Calls other processes of the system and serves their calls over nghttp2 streams, on one thread of its own.
///
/// A call is never sent twice. It fails with PeerUnreachable when no byte of the request left this process,
/// and with PeerReplyLost when the peer may have received it.
class Endpoint
{
public:
    static Base::Result<std::unique_ptr<Endpoint>> create(EndpointOptions options);
    ~Endpoint();
    Endpoint(const Endpoint &) = delete;
    Endpoint &operator=(const Endpoint &) = delete;

    /// Address that the kernel bound, with the real port.
    std::string listenAddress() const;

    /// Sends one request; thread-safe. `done` may run before call() returns.
    CallId call(std::string_view address, Wire::Method method, Base::Bytes payload, Base::Duration timeout,
                ReplyHandler done);

    /// Resets the stream of a call; its handler runs with Cancelled unless it already ran. Thread-safe.
    void cancel(CallId id);

    const TrafficCounters &traffic() const;

    /// Stops taking new calls, waits up to `timeout` for open streams, then stops the thread.
    void shutDown(Base::Duration timeout);

private:
    class Implementation;
    explicit Endpoint(std::unique_ptr<Implementation> implementation);

    std::unique_ptr<Implementation> implementation_;
};

} // namespace Peer
