#pragma once

#include "LibBackend/Action.h"
#include "LibBackend/BackendReply.h"

#include <optional>
#include <string>

namespace Services {

/// Takes what the backend connections report. All functions run on the decision thread.
class BackendListener
{
public:
    virtual ~BackendListener() = default;
    virtual void connectionOpened(const std::string &serverId, Backend::ConnectionId connection) = 0;
    /// A connection failed to open or ended while it was idle.
    virtual void connectionClosed(const std::string &serverId, Backend::ConnectionId connection) = 0;
    virtual void replied(const std::string &attemptId, const Backend::BackendReply &reply, bool usable) = 0;
    virtual void statusPolled(const std::string &serverId,
                              const std::optional<Backend::BackendStatus> &status) = 0;
};

} // namespace Services
