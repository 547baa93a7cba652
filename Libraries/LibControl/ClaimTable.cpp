#include "LibControl/ClaimTable.h"

#include <algorithm>

namespace Control {

namespace {

/// Encoded numbers, length prefixes and the second copy of the request id.
constexpr std::size_t ClaimOverheadBytes = 64;

std::size_t sizeOf(const Claim &claim)
{
    return 2 * claim.request.requestId.size() + claim.request.bodyDigest.size() + claim.request.entryId.size()
           + claim.outcome.body.size() + ClaimOverheadBytes;
}

Wire::ClaimRequestReply makeReply(Wire::ClaimState state)
{
    Wire::ClaimRequestReply reply;
    reply.state = state;
    return reply;
}

bool isRepeat(const Wire::ClaimRequestMessage &first, const Wire::ClaimRequestMessage &second)
{
    return first.attempt != 0 && first.attempt == second.attempt && first.entryId == second.entryId
           && first.incarnation == second.incarnation;
}

bool isFromClaimant(const Claim &claim, const Wire::RecordOutcomeRequest &request)
{
    // An outcome without the number is accepted: only an attempt that was dispatched has one. "Not run" needs
    // the number, since a late copy of it may belong to an earlier claim on the same id.
    const bool numberMatches = claim.claimId == request.claimId || (request.claimId == 0 && !request.notRun);
    return numberMatches && claim.request.entryId == request.entryId
           && claim.request.incarnation == request.incarnation;
}

Wire::ClaimRequestReply replyToExistingClaim(const Claim &claim, const Wire::ClaimRequestMessage &request)
{
    if (claim.request.bodyDigest != request.bodyDigest
        || claim.request.createdAtMilliseconds != request.createdAtMilliseconds)
        return makeReply(Wire::ClaimState::DigestMismatch);
    auto reply = makeReply(Wire::ClaimState::InProgress);
    if (claim.phase == ClaimPhase::Recorded) {
        reply.state = Wire::ClaimState::Recorded;
        reply.outcome = claim.outcome;
    } else if (claim.phase == ClaimPhase::Orphaned) {
        reply.state = Wire::ClaimState::OutcomeUnknown;
    } else if (isRepeat(claim.request, request)) {
        reply.state = Wire::ClaimState::Granted;
        reply.claimId = claim.claimId;
    }
    return reply;
}

} // namespace

Base::Result<Wire::ClaimRequestReply> ClaimTable::claim(const ClaimRequest &command, std::uint64_t claimId)
{
    const auto &request = command.request;
    wallTime_ = std::max(wallTime_, command.proposedAtMilliseconds);
    removeExpired();
    if (isExpired(request.createdAtMilliseconds))
        return makeReply(Wire::ClaimState::Expired);
    if (request.createdAtMilliseconds > wallTime_ + MaxClockSkewMilliseconds)
        return Base::fail(Base::ErrorKind::InvalidRequest,
                          "the creation time of the request id is too far in the future");
    const auto found = claims_.find(request.requestId);
    if (found != claims_.end())
        return replyToExistingClaim(found->second, request);
    if (bytes_ >= MaxBytesForClaims)
        return Base::fail(Base::ErrorKind::Overloaded, "the claim table is full");
    const auto &stored =
        claims_.emplace(request.requestId, Claim {request, claimId, ClaimPhase::Held, {}}).first->second;
    bytes_ += sizeOf(stored);
    auto reply = makeReply(Wire::ClaimState::Granted);
    reply.claimId = claimId;
    return reply;
}

Wire::RecordOutcomeReply ClaimTable::record(const Wire::RecordOutcomeRequest &request)
{
    const auto found = claims_.find(request.requestId);
    // A repeat of "not run" finds its claim already removed, which is what it asks for.
    if (found == claims_.end())
        return {request.notRun};
    auto &claim = found->second;
    if (!isFromClaimant(claim, request))
        return {false};
    if (claim.phase == ClaimPhase::Recorded)
        return {!request.notRun && claim.outcome == request.outcome};
    if (request.notRun) {
        bytes_ -= sizeOf(claim);
        claims_.erase(found);
        return {true};
    }
    if (bytes_ + request.outcome.body.size() > MaxBytesForOutcomes) {
        claim.phase = ClaimPhase::Orphaned;
        return {false};
    }
    bytes_ += request.outcome.body.size();
    claim.phase = ClaimPhase::Recorded;
    claim.outcome = request.outcome;
    return {true};
}

void ClaimTable::orphan(const std::string &entryId, std::uint64_t incarnation)
{
    for (auto &[requestId, claim] : claims_) {
        if (claim.phase == ClaimPhase::Held && claim.request.entryId == entryId
            && claim.request.incarnation == incarnation)
            claim.phase = ClaimPhase::Orphaned;
    }
}

void ClaimTable::removeExpired()
{
    // A sweep visits every claim, so it runs at intervals and not for each request.
    if (wallTime_ < lastSweep_ + SweepIntervalMilliseconds)
        return;
    lastSweep_ = wallTime_;
    std::erase_if(claims_, [this](const auto &item) {
        const bool expired = isExpired(item.second.request.createdAtMilliseconds);
        bytes_ -= expired ? sizeOf(item.second) : 0;
        return expired;
    });
}

bool ClaimTable::isExpired(std::int64_t createdAtMilliseconds) const
{
    return createdAtMilliseconds < wallTime_ - RetentionMilliseconds;
}

} // namespace Control
