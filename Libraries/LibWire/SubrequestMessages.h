#pragma once

#include "LibWire/ErrorMessage.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Wire {

/// State of one backend server as its owner observed it.
struct ServerObservation
{
    std::string serverId;
    std::vector<std::uint64_t> versions; ///< Index versions offered.
    bool reachable = false;
    bool draining = false;
    std::uint32_t slots =
        0; ///< Slots that the owner currently uses; fewer than the document's during ramp-up.
    std::uint32_t inFlight = 0;
    std::uint32_t queued = 0;
    std::int64_t recentLatencyMicroseconds = 0; ///< Moving average of observed service time.
    double reportedLoad = 0.0; ///< The server's own report; a hint.

    MSGPACK_DEFINE(serverId, versions, reachable, draining, slots, inFlight, queued,
                   recentLatencyMicroseconds, reportedLoad)
};

/// entry → owner: run one shard's part of a query on one backend server.
struct ExecuteSubrequestRequest
{
    std::string requestId; ///< Caller's request id.
    std::string attemptId; ///< Unique per attempt over the whole system.
    std::string serverId;
    std::uint64_t shareEpoch = 0; ///< The owner refuses another epoch with NotOwner.
    std::string index;
    std::string shard;
    std::uint64_t indexVersion = 0;
    std::uint64_t revision = 0; ///< Configuration revision that the query is pinned to.
    std::string trafficClass;
    std::string tenant;
    bool idempotent = true;
    std::int64_t budgetMicroseconds = 0; ///< Time left until the deadline when the message was sent.
    std::string body;

    MSGPACK_DEFINE(requestId, attemptId, serverId, shareEpoch, index, shard, indexVersion, revision,
                   trafficClass, tenant, idempotent, budgetMicroseconds, body)
};

struct ExecuteSubrequestReply
{
    std::string attemptId;
    bool ok = false;
    ErrorMessage error; ///< Filled when not ok.
    bool notRun = false; ///< Proven by the owner: no byte of this attempt was run by the server.
    std::uint64_t indexVersion = 0; ///< Version that the backend server answered from.
    std::string body;
    std::int64_t queueMicroseconds = 0; ///< Time in the owner's queue.
    std::int64_t serviceMicroseconds = 0; ///< Time from dispatch to the whole reply.
    ServerObservation observation;

    MSGPACK_DEFINE(attemptId, ok, error, notRun, indexVersion, body, queueMicroseconds, serviceMicroseconds,
                   observation)
};

struct ObserveBackendsRequest
{
    std::string entryId;

    MSGPACK_DEFINE(entryId)
};

struct ObserveBackendsReply
{
    std::vector<ServerObservation> servers;

    MSGPACK_DEFINE(servers)
};

} // namespace Wire
