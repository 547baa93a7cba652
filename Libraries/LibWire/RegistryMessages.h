#pragma once

#include "LibWire/Codec.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Wire {

enum class ServerState : std::uint8_t { Ready, Draining };
enum class GatewayState : std::uint8_t { Joining, Serving, Leaving };
enum class LeaveVerdict : std::uint8_t {
    AskAgain, ///< Undecided, or the callee does not lead.
    Gone, ///< The removal is committed; the registry may stop.
    Needed ///< The registry stays a member while it is stopped.
};

} // namespace Wire

MSGPACK_ADD_ENUM(Wire::ServerState);
MSGPACK_ADD_ENUM(Wire::GatewayState);
MSGPACK_ADD_ENUM(Wire::LeaveVerdict);

namespace Wire {

/// One incarnation of a backend server as the platform lists it. An address alone is no identity, because
/// another server may get it later.
struct ServerRecord
{
    std::string id;
    std::int64_t bornAt = 0; ///< Unix milliseconds of its start; 0 when the platform does not say.
    std::string service;
    std::string address; ///< ip:port
    std::string dataCentre;
    std::uint32_t slots = 1; ///< Requests that it runs at once.
    ServerState state = ServerState::Ready;
    std::uint32_t warmUpLeftMs = 0; ///< How much longer it is slow after its start, when the list was read.

    bool operator==(const ServerRecord &) const = default;
    MSGPACK_DEFINE(id, bornAt, service, address, dataCentre, slots, state, warmUpLeftMs)
};

/// The platform's list of backend servers as one process read it.
struct ServerList
{
    std::vector<ServerRecord> servers;
    std::uint64_t digest = 0; ///< Of the servers; tells equal lists without comparing them.
    std::uint32_t ageMs = 0; ///< Since the start of the read.
};

/// A server list on its way between processes.
struct PackedServerList
{
    std::string servers; ///< Result of pack(); empty when the receiver holds the same ones.
    std::uint64_t digest = 0;
    std::uint32_t ageMs = 0;

    MSGPACK_DEFINE(servers, digest, ageMs)
};

/// Value of GatewayRecord::callerShare of a gateway that takes as many callers as others do.
constexpr std::uint8_t FullCallerShare = 16;

/// What a gateway tells of itself.
struct GatewayRecord
{
    std::string gatewayId;
    std::uint64_t incarnation = 0; ///< Random number of this start.
    std::string callerAddress; ///< Where callers connect.
    std::string dataCentre;
    GatewayState state = GatewayState::Joining;
    double processorShare = 1.0; ///< Of a core.
    bool suitsGathers = false; ///< Its VM can answer the widest gathers in time.
    /// Share of callers that it can take now, in sixteenths of a full one, from 1.
    std::uint8_t callerShare = FullCallerShare;

    bool operator==(const GatewayRecord &) const = default;

    /// A full share is left out: nothing is sent for it, and the digest of a directory without reduced shares
    /// stays what it was before there were shares.
    template<typename Packer>
    void msgpack_pack(Packer &packer) const // NOLINT(readability-identifier-naming): msgpack's own name.
    {
        if (callerShare == FullCallerShare)
            msgpack::type::make_define_array(gatewayId, incarnation, callerAddress, dataCentre, state,
                                             processorShare, suitsGathers)
                .msgpack_pack(packer);
        else
            msgpack::type::make_define_array(gatewayId, incarnation, callerAddress, dataCentre, state,
                                             processorShare, suitsGathers, callerShare)
                .msgpack_pack(packer);
    }
    void msgpack_unpack(const msgpack::object &object) // NOLINT(readability-identifier-naming)
    {
        msgpack::type::make_define_array(gatewayId, incarnation, callerAddress, dataCentre, state,
                                         processorShare, suitsGathers, callerShare)
            .msgpack_unpack(object);
    }
};

/// A gateway's record with the time since it was received from the gateway itself.
struct GatewayReport
{
    GatewayRecord gateway;
    std::uint32_t ageMs = 0;

    MSGPACK_DEFINE(gateway, ageMs)
};

/// What leads from one directory of gateways to another.
struct DirectoryChanges
{
    std::vector<GatewayRecord> present; ///< New or changed.
    std::vector<std::string> gone; ///< Ids.

    MSGPACK_DEFINE(present, gone)
};

/// A directory of serving gateways on its way to a process that may hold an earlier one.
struct DirectoryCopy
{
    std::uint64_t digest = 0; ///< 0 when the sender knows of no gateway yet.
    std::uint64_t base = 0; ///< Digest of the directory that `packed` changes; 0 when it is a whole one.
    std::string packed; ///< Records or DirectoryChanges, as pack() gives; empty when nothing differs.

    MSGPACK_DEFINE(digest, base, packed)
};

/// gateway → registry, or another gateway while no registry is reachable: reports the gateway and waits until
/// something differs from what it holds.
struct WatchRequest
{
    GatewayRecord gateway;
    std::uint64_t configurationVersion = 0;
    std::uint64_t serverListDigest = 0;
    std::uint64_t directoryDigest = 0;
    bool mayWait = true; ///< False asks for an answer at once.
    std::vector<GatewayReport> relayed; ///< Of gateways that reach the sender but no registry.
    std::uint32_t serverListAgeMs = UINT32_MAX; ///< Since the list held was read; an older one is not wanted.
    std::uint64_t evacuationRevision = 0;
    /// Set by a gateway that needs confirmations of its configuration: the age of the last one, UINT32_MAX if
    /// it has none.
    std::optional<std::uint32_t> confirmationAgeMs;

    MSGPACK_DEFINE(gateway, configurationVersion, serverListDigest, directoryDigest, mayWait, relayed,
                   serverListAgeMs, evacuationRevision, confirmationAgeMs)
};

struct WatchReply
{
    bool leaderKnown = false; ///< False when the registry has heard no leader yet.
    std::uint32_t leaderSilentMs =
        0; ///< Since the registry last heard the leader; bounds how old the rest is.
    std::uint64_t configurationVersion = 0;
    std::string configurationText; ///< Compressed; empty unless it is newer than what the gateway holds.
    std::optional<PackedServerList> serverList;
    DirectoryCopy directory;
    std::vector<std::string> registryAddresses; ///< Peer addresses of all known registries.
    std::string dataCentre; ///< Of the process that answers.
    std::string leaderAddress; ///< Peer address of the leader; empty while none is known.
    /// Set if no configuration above `configurationVersion` had been accepted at an instant this long before
    /// the request arrived at the callee, or later (0). The caller counts from when it sent the request.
    std::optional<std::uint32_t> confirmedBeforeMs;
    std::uint64_t evacuationRevision = 0; ///< Log index of the last evacuation order.
    std::vector<std::string> evacuatedDataCentres; ///< Meaningful if `evacuationRevision` is not 0.

    MSGPACK_DEFINE(leaderKnown, leaderSilentMs, configurationVersion, configurationText, serverList,
                   directory, registryAddresses, dataCentre, leaderAddress, confirmedBeforeMs,
                   evacuationRevision, evacuatedDataCentres)
};

/// registry → leader: an operator's order to send nothing more to the servers of a data centre, or its end.
struct ChangeEvacuationRequest
{
    std::string dataCentre;
    bool evacuated = false;
    std::uint64_t heldRevision = 0; ///< Of the last order that the caller has applied.

    MSGPACK_DEFINE(dataCentre, evacuated, heldRevision)
};

struct ChangeEvacuationReply
{
    std::uint64_t revision = 0;

    MSGPACK_DEFINE(revision)
};

/// registry → registry: a node that is not a member asks to be added.
struct JoinRequest
{
    std::string nodeId;
    std::uint64_t incarnation = 0;
    std::string peerAddress;
    bool holdsLog = false;
    bool hasDisk = true;
    bool mayFound = false; ///< On an empty disk that never belonged to a cluster.

    MSGPACK_DEFINE(nodeId, incarnation, peerAddress, holdsLog, hasDisk, mayFound)
};

struct JoinReply
{
    bool isMember = false;
    bool mustReset = false; ///< The caller was removed; its log must be set aside before it can join again.
    std::string leaderAddress; ///< Peer address of the leader when the callee is not the leader.
    bool mustFound = false; ///< The caller is appointed to found the cluster.

    MSGPACK_DEFINE(isMember, mustReset, leaderAddress, mustFound)
};

/// registry → leader: a registry that has been told to stop asks to be removed first.
struct LeaveRequest
{
    std::string nodeId;
    std::uint64_t incarnation = 0;

    MSGPACK_DEFINE(nodeId, incarnation)
};

struct LeaveReply
{
    LeaveVerdict verdict = LeaveVerdict::AskAgain;

    MSGPACK_DEFINE(verdict)
};

/// registry → registry: soft state that is not worth a log entry.
struct ShareStateRequest
{
    std::string gateways; ///< Reports that the sender itself heard, as pack() gives.
    std::optional<PackedServerList> serverList; ///< Only when it was read later than the receiver's.

    MSGPACK_DEFINE(gateways, serverList)
};

struct ShareStateReply
{
    std::uint64_t serverListDigest = 0; ///< What the callee holds afterwards.
    std::uint32_t serverListAgeMs = UINT32_MAX; ///< Since that was read.

    MSGPACK_DEFINE(serverListDigest, serverListAgeMs)
};

/// registry → leader: stores a validated configuration unless a higher version is held.
struct SubmitConfigurationRequest
{
    std::uint64_t version = 0;
    std::string text; ///< Compressed.

    MSGPACK_DEFINE(version, text)
};

struct SubmitConfigurationReply
{
    std::uint64_t heldVersion = 0;

    MSGPACK_DEFINE(heldVersion)
};

/// registry → leader: asks for the newest configuration.
struct ReadConfigurationRequest
{
    std::uint64_t heldVersion = 0; ///< Its text is not sent again.

    MSGPACK_DEFINE(heldVersion)
};

struct ReadConfigurationReply
{
    std::uint64_t version = 0;
    std::string text; ///< Compressed; empty when the caller holds this version.

    MSGPACK_DEFINE(version, text)
};

/// registry → leader: asks whether the configuration held is still the newest.
struct ConfirmConfigurationRequest
{
    std::uint64_t heldVersion = 0;

    MSGPACK_DEFINE(heldVersion)
};

struct ConfirmConfigurationReply
{
    std::uint64_t version = 0; ///< Held by the leader.
    /// No configuration above `version` had been accepted at an instant this long before the request arrived,
    /// or later (0). The caller counts from when it sent the request.
    std::uint32_t confirmedBeforeMs = 0;

    MSGPACK_DEFINE(version, confirmedBeforeMs)
};

} // namespace Wire
