#pragma once

#include "LibWire/Codec.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Wire {

/// One key for which a gateway wants units.
struct AllowanceAsk
{
    std::string key; ///< As the functions of LibAllowance/AllowanceKey.h give.
    std::uint32_t needed = 0; ///< Units that requests wait for.
    std::uint32_t ahead = 0; ///< Units for requests that will probably come.

    MSGPACK_DEFINE(key, needed, ahead)
};

/// gateway → registry leader: takes units of bounded rates. Units of a lost reply are lost.
struct TakeAllowanceRequest
{
    std::vector<AllowanceAsk> asks;

    MSGPACK_DEFINE(asks)
};

/// The answer to one ask.
struct AllowanceGrant
{
    std::uint32_t units = 0; ///< Now the gateway's own; nobody else gets them.
    std::uint32_t validMs =
        0; ///< How long they may be spent, counted from when the gateway sent the request.
    std::uint32_t unitAfterMs = 0; ///< With fewer units than needed: time until the gateway may ask again.
    /// With fewer units than needed: time until there is one behind the requests that were denied before.
    std::uint32_t retryAfterMs = 0;
    double spacingMs = 0.0; ///< Mean time between two units.

    MSGPACK_DEFINE(units, validMs, unitAfterMs, retryAfterMs, spacingMs)
};

struct TakeAllowanceReply
{
    std::vector<AllowanceGrant> grants; ///< In the order of the asks; empty if the callee does not lead.
    std::string leaderAddress; ///< Peer address of the leader that the callee hears; empty if it hears none.

    MSGPACK_DEFINE(grants, leaderAddress)
};

} // namespace Wire
