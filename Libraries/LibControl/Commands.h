#pragma once

#include "LibBase/Error.h"
#include "LibWire/ClaimMessages.h"
#include "LibWire/Directory.h"
#include "LibWire/LeaseMessages.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Control {

/// Stores a document and makes it the trial document.
struct StoreDocument
{
    std::string documentHash;
    std::string text;

    MSGPACK_DEFINE(documentHash, text)
};

/// First step of a promotion: asks all entry processes to stage the document.
struct ProposePromotion
{
    std::string documentHash;
    std::uint64_t baseRevision = 0; ///< Revision in force that the change is based on.
    std::string changeId; ///< Chosen by the operator; identical in retries of one change.

    MSGPACK_DEFINE(documentHash, baseRevision, changeId)
};

/// Second step of a promotion: puts the proposed revision in force.
struct AcceptPromotion
{
    std::uint64_t revision = 0;

    MSGPACK_DEFINE(revision)
};

/// Ends a promotion that an entry process rejected.
struct AbortPromotion
{
    std::uint64_t revision = 0;
    std::string detail;

    MSGPACK_DEFINE(revision, detail)
};

/// Adds an entry process or replaces its record.
struct RegisterEntry
{
    Wire::EntryRecord entry;

    MSGPACK_DEFINE(entry)
};

/// Removes an entry process whose lease ended; frees its shares and orphans its claims.
struct RemoveEntry
{
    std::string entryId;
    std::uint64_t incarnation = 0;

    MSGPACK_DEFINE(entryId, incarnation)
};

struct ShareAssignment
{
    std::string serverId;
    std::string entryId;

    bool operator==(const ShareAssignment &) const = default;
    MSGPACK_DEFINE(serverId, entryId)
};

/// Assigns unowned servers to entry processes; an item whose server has an owner is ignored.
struct AssignShares
{
    std::vector<ShareAssignment> assignments;

    MSGPACK_DEFINE(assignments)
};

/// Asks the owners of these shares to release them.
struct RequestReleases
{
    std::vector<Wire::ReleasedShare> shares;

    MSGPACK_DEFINE(shares)
};

/// Records that an owner has released these shares.
struct ReleaseShares
{
    std::string entryId;
    std::uint64_t incarnation = 0;
    std::vector<Wire::ReleasedShare> shares;

    MSGPACK_DEFINE(entryId, incarnation, shares)
};

struct ClaimRequest
{
    Wire::ClaimRequestMessage request;
    std::int64_t proposedAtMilliseconds = 0; ///< The leader's wall time, so that expiry is deterministic.

    MSGPACK_DEFINE(request, proposedAtMilliseconds)
};

struct RecordOutcome
{
    Wire::RecordOutcomeRequest request;

    MSGPACK_DEFINE(request)
};

/// One change of the replicated state. The order of alternatives is part of the log format.
using Command =
    std::variant<StoreDocument, ProposePromotion, AcceptPromotion, AbortPromotion, RegisterEntry, RemoveEntry,
                 AssignShares, RequestReleases, ReleaseShares, ClaimRequest, RecordOutcome>;

/// Encodes a command as the payload of a log entry.
Base::Bytes encodeCommand(const Command &command);

/// Decodes a log entry's payload; fails with MalformedMessage.
Base::Result<Command> decodeCommand(Base::ByteView payload);

} // namespace Control
