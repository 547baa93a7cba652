#pragma once

#include "LibControl/ClaimTable.h"
#include "LibControl/Commands.h"
#include "LibControl/PromotionResult.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace Control {

/// A document as submitted.
struct StoredDocument
{
    std::string text;
    std::uint64_t storedAt = 0; ///< Log index of the latest submission.

    MSGPACK_DEFINE(text, storedAt)
};

/// A promotion request with its result, kept to answer retries.
struct ChangeRecord
{
    ProposePromotion request;
    PromotionResult result;

    MSGPACK_DEFINE(request, result)
};

/// All fields of the replicated state, as written to snapshots. Ordered containers keep the encoding equal on
/// all nodes.
struct ControlContent
{
    std::uint64_t appliedIndex = 0; ///< Log index of the last command applied.
    std::uint64_t directoryVersion = 0; ///< Log index of the last command that changed the directory.
    std::map<std::string, StoredDocument> documents; ///< By hash.
    Wire::RevisionRecord trial; ///< Latest document submitted; its revision counts submissions.
    Wire::RevisionRecord accepted; ///< In force.
    std::string acceptedChangeId;
    Wire::RevisionRecord proposed; ///< Revision 0 while no promotion is pending.
    std::string proposedChangeId;
    /// Also counts aborted proposals, so that a report about one proposal is never attributed to a later one.
    std::uint64_t lastRevision = 0;
    std::map<std::string, ChangeRecord> changes; ///< By change id.
    std::deque<std::string> changeOrder; ///< Change ids, oldest first.
    std::map<std::string, Wire::EntryRecord> entries; ///< By entry id.
    std::map<std::string, Wire::ShareRecord> shares; ///< By server id.
    ClaimTable claims;

    MSGPACK_DEFINE(appliedIndex, directoryVersion, documents, trial, accepted, acceptedChangeId, proposed,
                   proposedChangeId, lastRevision, changes, changeOrder, entries, shares, claims)
};

} // namespace Control
