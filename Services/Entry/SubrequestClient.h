#pragma once

#include "LibPeer/Endpoint.h"
#include "LibQuery/Action.h"
#include "Services/Entry/EventQueue.h"

#include <functional>
#include <string>
#include <unordered_map>

namespace Services {

/// Calls ExecuteSubrequest at other entry processes. Used on the decision thread only.
class SubrequestClient
{
public:
    using Replied =
        std::function<void(const std::string &attemptId, Base::Result<Wire::ExecuteSubrequestReply>)>;

    /// `replied` runs on the decision thread, exactly once per send().
    SubrequestClient(Peer::Endpoint &endpoint, EventQueue &events, Replied replied);

    void send(const Query::SendSubrequest &action);
    void cancel(const std::string &attemptId);

private:
    Peer::Endpoint &endpoint_;
    EventQueue &events_;
    Replied replied_;
    std::unordered_map<std::string, Peer::CallId> calls_; ///< By attempt id.
};

} // namespace Services
