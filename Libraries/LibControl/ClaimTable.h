#pragma once

#include "LibBase/Error.h"
#include "LibControl/Commands.h"

#include <cstdint>
#include <map>
#include <string>

namespace Control {

enum class ClaimPhase : std::uint8_t {
    Held, ///< The claimant may dispatch or has dispatched.
    Orphaned, ///< The claimant's lease ended without an outcome.
    Recorded
};

} // namespace Control

MSGPACK_ADD_ENUM(Control::ClaimPhase);

namespace Control {

/// One non-idempotent request.
struct Claim
{
    Wire::ClaimRequestMessage request;
    std::uint64_t claimId = 0;
    ClaimPhase phase = ClaimPhase::Held;
    Wire::OutcomeRecord outcome;

    MSGPACK_DEFINE(request, claimId, phase, outcome)
};

/// Claims and outcomes of non-idempotent requests; part of the replicated state, so all rules are
/// deterministic.
class ClaimTable
{
public:
    /// Ids older than this are refused; claims are kept at least as long.
    static constexpr std::int64_t WindowMilliseconds = std::int64_t {24} * 60 * 60 * 1000;
    /// Ids may carry a creation time this far ahead of the leader's clock, which covers unsynchronised
    /// callers. Without a limit, an id from the far future would be kept for ever.
    static constexpr std::int64_t MaxClockAheadMilliseconds = std::int64_t {10} * 60 * 1000;

    /// Expired claims are removed this often.
    static constexpr std::int64_t SweepIntervalMilliseconds = std::int64_t {60} * 1000;

    // A snapshot travels in one message, so the claims may take only a part of its size.
    // FIXME: Raise both limits when snapshots travel in parts; at 450 bytes a claim, the first one is reached
    // after 4,600 claims in 24 h.
    static constexpr std::size_t MaxBytesForClaims = Wire::MaxMessageBytes / 4;
    static constexpr std::size_t MaxBytesForOutcomes = Wire::MaxMessageBytes / 8 * 3;

    /// Decides a claim. Fails with Overloaded when the table is full. `claimId` must be unique; the caller
    /// has checked that the claimant is registered.
    Base::Result<Wire::ClaimRequestReply> claim(const ClaimRequest &command, std::uint64_t claimId);

    /// Stores an outcome, or removes the claim when the request was proven not run. An outcome that does not
    /// fit is not recorded, and the claim ends as OutcomeUnknown.
    Wire::RecordOutcomeReply record(const Wire::RecordOutcomeRequest &request);

    /// Marks the open claims of a claimant whose lease ended.
    void orphan(const std::string &entryId, std::uint64_t incarnation);

    /// Number of claims held.
    std::size_t size() const { return claims_.size(); }

    /// Approximate encoded size.
    std::size_t bytes() const { return bytes_; }

    MSGPACK_DEFINE(claims_, wallTime_, lastSweep_, bytes_)

private:
    void removeExpired();
    bool isExpired(std::int64_t createdAtMilliseconds) const;

    std::map<std::string, Claim> claims_;
    std::size_t bytes_ = 0;
    std::int64_t wallTime_ = 0; ///< Latest stamp; never goes back when a leader with a slower clock follows.
    std::int64_t lastSweep_ = 0; ///< Wall time of the last removal of expired claims.
};

} // namespace Control
