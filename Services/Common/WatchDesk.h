#pragma once

#include "LibBase/Time.h"
#include "LibPeer/Responder.h"
#include "LibWire/RegistryMessages.h"

#include <functional>
#include <memory>
#include <vector>

namespace Services {

/// Open calls of gateways that wait for news. A call is answered when the state differs from what its gateway
/// holds, or when its time is over.
class WatchDesk
{
public:
    using ResponderPointer = std::shared_ptr<Peer::Responder>;
    /// Builds the reply to one request; must be cheap when nothing changed.
    using MakeReply = std::function<Wire::WatchReply(Base::Instant now, const Wire::WatchRequest &request,
                                                     Base::Instant arrivedAt)>;

    explicit WatchDesk(MakeReply makeReply)
        : makeReply_(std::move(makeReply))
    {
    }

    void add(Base::Instant now, const Wire::WatchRequest &request, const ResponderPointer &responder);
    /// Answers all calls for which there is news, and those that have waited long enough.
    void answer(Base::Instant now);
    /// Answers all calls with ShuttingDown.
    void abandon();

private:
    struct Watcher
    {
        Wire::WatchRequest request;
        ResponderPointer responder;
        Base::Instant arrivedAt;
        Base::Instant heldUntil;
    };

    MakeReply makeReply_;
    std::vector<Watcher> watchers_;
};

} // namespace Services
