#pragma once

#include "LibWire/Codec.h"

#include <cstdint>
#include <string>

namespace Wire {

/// entry → control leader, before a non-idempotent request is dispatched.
struct ClaimRequestMessage
{
    std::string requestId;
    std::string bodyDigest; ///< SHA-256 of index, shard and body.
    std::string entryId;
    std::uint64_t incarnation = 0;
    std::int64_t createdAtMilliseconds = 0; ///< Unix time that the request id carries.
    /// Random number of the sender's own handling of the request. A repeat with the same number is granted
    /// again, so that a lost reply does not block the request; 0 means that the claim is never repeated.
    std::uint64_t attempt = 0;

    MSGPACK_DEFINE(requestId, bodyDigest, entryId, incarnation, createdAtMilliseconds, attempt)
};

enum class ClaimState : std::uint8_t {
    Granted, ///< The sender holds the claim and may dispatch once.
    InProgress, ///< Another live entry process holds the claim.
    Recorded, ///< The outcome is in the reply.
    OutcomeUnknown, ///< The claimant is gone without a recorded outcome.
    Expired, ///< The id is older than the retention window.
    DigestMismatch ///< The id was used with another body.
};

} // namespace Wire

MSGPACK_ADD_ENUM(Wire::ClaimState);

namespace Wire {

/// The final result of a non-idempotent request.
struct OutcomeRecord
{
    int httpStatus = 0;
    std::string body; ///< Whole HTTP body as sent to the caller.

    bool operator==(const OutcomeRecord &) const = default;
    MSGPACK_DEFINE(httpStatus, body)
};

struct ClaimRequestReply
{
    ClaimState state = ClaimState::OutcomeUnknown;
    OutcomeRecord outcome; ///< Filled only when `state` is Recorded.
    std::uint64_t claimId = 0; ///< Unique number of the claim, filled when `state` is Granted.

    MSGPACK_DEFINE(state, outcome, claimId)
};

/// entry → control leader, after dispatch.
struct RecordOutcomeRequest
{
    std::string requestId;
    std::string entryId;
    std::uint64_t incarnation = 0;
    bool notRun = false; ///< Proven not run: the claim is removed and the id may be used again.
    OutcomeRecord outcome;
    /// Number from the grant. Without it, a late copy of "not run" could remove a newer claim on the same
    /// id and let the request run twice.
    std::uint64_t claimId = 0;

    MSGPACK_DEFINE(requestId, entryId, incarnation, notRun, outcome, claimId)
};

struct RecordOutcomeReply
{
    bool recorded = false;

    MSGPACK_DEFINE(recorded)
};

} // namespace Wire
