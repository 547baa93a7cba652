#pragma once

#include "LibWire/Codec.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Wire {

/// Life cycle of an entry process as it reports it.
enum class EntryState : std::uint8_t {
    Joining, ///< Has no configuration yet and takes no requests.
    Serving,
    Leaving ///< Removed from the address list; finishes what is in flight.
};

} // namespace Wire

MSGPACK_ADD_ENUM(Wire::EntryState);

namespace Wire {

/// One registered entry process.
struct EntryRecord
{
    std::string entryId;
    std::uint64_t incarnation = 0;
    std::string dataCentre;
    std::string callerAddress; ///< ip:port for callers.
    std::string peerAddress; ///< ip:port for other processes of the system.
    EntryState state = EntryState::Joining;

    bool operator==(const EntryRecord &) const = default;
    MSGPACK_DEFINE(entryId, incarnation, dataCentre, callerAddress, peerAddress, state)
};

/// The right of one entry process to use one backend server.
struct ShareRecord
{
    std::string serverId; ///< Backend server as named in the document.
    std::string entryId; ///< Owner; empty while the server is unassigned.
    std::uint64_t epoch = 0; ///< Grows with every assignment of this server.
    bool releaseRequested = false; ///< The owner must finish its work on the server and release it.

    bool operator==(const ShareRecord &) const = default;
    MSGPACK_DEFINE(serverId, entryId, epoch, releaseRequested)
};

/// Names one revision of the configuration.
struct RevisionRecord
{
    std::uint64_t revision = 0; ///< 0 means none.
    std::string documentHash; ///< SHA-256 of the document text, hexadecimal.

    bool operator==(const RevisionRecord &) const = default;
    MSGPACK_DEFINE(revision, documentHash)
};

/// What every entry process needs to know of the control state.
struct Directory
{
    std::uint64_t version = 0; ///< Log index of the last change; grows with every change.
    RevisionRecord accepted; ///< Revision in force.
    RevisionRecord proposed; ///< Revision to stage; revision 0 while no promotion is pending.
    std::vector<EntryRecord> entries;
    std::vector<ShareRecord> shares;

    MSGPACK_DEFINE(version, accepted, proposed, entries, shares)
};

} // namespace Wire
