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

/// Claim on one non-idempotent request.
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
    /// Older request ids are refused. Claims are kept for at least this time.
    static constexpr std::int64_t RetentionMilliseconds = std::int64_t {24} * 60 * 60 * 1000;
    /// Tolerated lead of an id's creation time over the leader's clock, for callers with unsynchronised
    /// clocks. Without a limit, an id from the far future would never expire.
    static constexpr std::int64_t MaxClockSkewMilliseconds = std::int64_t {10} * 60 * 1000;

    /// Minimum time between two removals of expired claims.
    static constexpr std::int64_t SweepIntervalMilliseconds = std::int64_t {60} * 1000;

    // A snapshot is sent as one message, so claims may use only part of its size limit.
    // FIXME: Raise both limits when snapshots are sent in chunks; at 450 bytes per claim, the first limit
    // is reached after 4,600 claims in 24 h.
    static constexpr std::size_t MaxBytesForClaims = Wire::MaxMessageBytes / 4;
    static constexpr std::size_t MaxBytesForOutcomes = Wire::MaxMessageBytes / 8 * 3;

    /// Grants a claim or returns the state of the existing one. Fails with Overloaded when the table is full.
    /// `claimId` must be unique; the caller has checked that the claimant is registered.
    Base::Result<Wire::ClaimRequestReply> claim(const ClaimRequest &command, std::uint64_t claimId);

    /// Stores an outcome, or removes the claim if the request provably did not run. An outcome that does not
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
    std::int64_t wallTime_ = 0; ///< Highest leader time seen; never decreases.
    std::int64_t lastSweep_ = 0; ///< Wall time of the last removal of expired claims.
};

} // namespace Control
