#pragma once

#include "LibWire/Codec.h"

#include <cstdint>
#include <string>

namespace Wire {

/// control → control, before the callee knows a membership: tells where the caller is reached and asks for
/// the callee's identity.
struct IntroduceNodeRequest
{
    std::string nodeId;
    std::uint64_t incarnation = 0;
    std::string peerAddress;

    MSGPACK_DEFINE(nodeId, incarnation, peerAddress)
};

struct IntroduceNodeReply
{
    std::string nodeId;
    std::uint64_t incarnation = 0;
    bool holdsLog = false; ///< Belongs to a cluster already.

    MSGPACK_DEFINE(nodeId, incarnation, holdsLog)
};

} // namespace Wire
