#pragma once

#include "LibWire/Directory.h"

namespace Wire {

/// One share given back by its owner.
struct ReleasedShare
{
    std::string serverId;
    std::uint64_t epoch = 0;

    MSGPACK_DEFINE(serverId, epoch)
};

/// entry → control leader, every renewal interval.
struct RenewLeaseRequest
{
    EntryRecord entry;
    std::uint64_t stagedRevision = 0; ///< Highest revision that was validated and is held ready.
    std::uint64_t acceptedRevision = 0; ///< Revision in force at the sender.
    std::uint64_t rejectedRevision = 0; ///< Proposed revision that failed validation; 0 means none.
    std::string rejectionDetail;
    std::uint64_t directoryVersion = 0; ///< Version that the sender holds.
    std::vector<ReleasedShare> releasedShares; ///< Repeated until the directory shows the release.
    bool finished = false; ///< The sender is about to exit and gives up its lease.

    MSGPACK_DEFINE(entry, stagedRevision, acceptedRevision, rejectedRevision, rejectionDetail,
                   directoryVersion, releasedShares, finished)
};

struct RenewLeaseReply
{
    std::uint64_t term = 0;
    std::int64_t leaseMicroseconds = 0; ///< Counted by the holder from the moment it sent the renewal.
    bool directoryChanged = false; ///< `directory` is filled only then.
    Directory directory;

    MSGPACK_DEFINE(term, leaseMicroseconds, directoryChanged, directory)
};

struct FetchDocumentRequest
{
    std::string documentHash;

    MSGPACK_DEFINE(documentHash)
};

struct FetchDocumentReply
{
    std::string text;

    MSGPACK_DEFINE(text)
};

} // namespace Wire
