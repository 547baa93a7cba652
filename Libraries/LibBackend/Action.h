#pragma once

#include "LibBase/Time.h"
#include "LibWire/SubrequestMessages.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Backend {

/// Identifies one connection of this process; never reused.
using ConnectionId = std::uint64_t;

/// Identifies the sender of a sub-request to the caller of OwnerCore.
using SenderToken = std::uint64_t;

/// Open a connection and report connectionOpened() or connectionClosed().
struct OpenConnection
{
    std::string serverId;
    std::string address;
    ConnectionId connectionId = 0;
};

/// Close a connection; no report is expected.
struct CloseConnection
{
    std::string serverId;
    ConnectionId connectionId = 0;
};

/// Send one request on an idle connection and report replied().
struct Dispatch
{
    ConnectionId connectionId = 0;
    Wire::ExecuteSubrequestRequest request; ///< Its budget is the time left at this moment.
};

/// Tell the server that the result of an attempt is not needed any more.
struct CancelAtServer
{
    std::string serverId;
    std::string address;
    std::string attemptId;
};

/// Answer the sender of a sub-request.
struct ReplyToSender
{
    SenderToken sender = 0;
    Wire::ExecuteSubrequestReply reply;
};

/// Read the server's status page and report statusPolled().
struct PollStatus
{
    std::string serverId;
    std::string address;
};

using Action =
    std::variant<OpenConnection, CloseConnection, Dispatch, CancelAtServer, ReplyToSender, PollStatus>;
using Actions = std::vector<Action>;

} // namespace Backend
