#pragma once

#include "LibPeer/Endpoint.h"
#include "Services/Entry/EntryLoop.h"

#include <memory>

namespace Services {

/// Serves the calls of other entry processes: decodes on the endpoint's thread and hands over to the decision
/// thread.
class PeerApi
{
public:
    explicit PeerApi(std::shared_ptr<EventQueue> events)
        : events_(std::move(events))
    {
    }

    /// Must be called before the loop runs; events wait until then.
    void setLoop(EntryLoop *loop) { loop_ = loop; }

    void handle(Wire::Method method, const Base::Bytes &payload,
                const std::shared_ptr<Peer::Responder> &responder);

private:
    void executeSubrequest(const Base::Bytes &payload, const std::shared_ptr<Peer::Responder> &responder);
    void observeBackends(const std::shared_ptr<Peer::Responder> &responder);

    std::shared_ptr<EventQueue> events_;
    EntryLoop *loop_ = nullptr; ///< Read on the decision thread only.
};

} // namespace Services
