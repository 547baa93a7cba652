#pragma once

#include "LibQuery/Answer.h"
#include "LibQuery/CallerQuery.h"
#include "LibWire/SubrequestMessages.h"

#include <cstdint>
#include <string>
#include <variant>

namespace Query {

/// Identifies one query inside QueryCore; ids are not reused.
using QueryId = std::uint64_t;

/// Calls ExecuteSubrequest at the owner, or hands the request to the local owner when `ownerEntryId` is this
/// process. Exactly one subrequestReplied() or subrequestFailed() is expected, also after a cancellation.
struct SendSubrequest
{
    std::string ownerEntryId;
    std::string peerAddress; ///< Of the owner.
    Wire::ExecuteSubrequestRequest request;
    Base::Duration timeout {}; ///< After this the call has failed with PeerReplyLost.
};

/// Cancels the call of this attempt; its result is no longer needed.
struct CancelSubrequest
{
    std::string ownerEntryId;
    std::string attemptId;
};

/// Calls ClaimRequest at the control leader. The driver may try another control process only while the reply
/// is NotLeader or the call failed with PeerUnreachable.
struct SendClaim
{
    QueryId queryId = 0;
    Wire::ClaimRequestMessage request;
    Base::Duration timeout {};
};

/// Calls RecordOutcome at the control leader. The call is idempotent and may be repeated until the timeout.
struct SendRecordOutcome
{
    QueryId queryId = 0;
    Wire::RecordOutcomeRequest request;
    Base::Duration timeout {};
};

/// Replies to the caller; emitted exactly once per accepted token unless callerGone() was called for it.
struct CompleteQuery
{
    CallerToken token = 0;
    Completion completion;
};

/// What the driver of QueryCore must do, in the order of emission.
using Action = std::variant<SendSubrequest, CancelSubrequest, SendClaim, SendRecordOutcome, CompleteQuery>;

} // namespace Query
