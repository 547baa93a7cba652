#include "LibControl/ControlCore.h"

#include "LibControl/SharePlanner.h"

#include <algorithm>
#include <array>

namespace Control {

namespace {

using Base::ErrorKind;
using Base::LogLevel;

Wire::EntryRecord findRecord(const ControlContent &content, const std::string &entryId)
{
    const auto found = content.entries.find(entryId);
    return found == content.entries.end() ? Wire::EntryRecord {} : found->second;
}

/// Tells whether the command ends the pending promotion.
bool endsPromotion(const Command &command)
{
    return std::holds_alternative<AcceptPromotion>(command)
           || std::holds_alternative<AbortPromotion>(command);
}

/// Calls of entry processes are safe to retry with any leader, so an unknown outcome becomes NotLeader.
Base::Error toRetryableError(Base::Error error)
{
    if (error.kind == ErrorKind::OutcomeUnknown)
        error.kind = ErrorKind::NotLeader;
    return error;
}

} // namespace

ControlCore::ControlCore(ControlCoreOptions options, Consensus::RaftNode &raft)
    : options_(std::move(options))
    , raft_(raft)
    , leases_(options_.leaseDuration)
{
}

template<typename Value>
ProposalTable::Done ControlCore::extractValue(Done<Value> done)
{
    return [done = std::move(done)](const Base::Result<ApplyValue> &result) {
        if (!result)
            done(tl::unexpected(toRetryableError(result.error())));
        else
            done(std::get<Value>(*result));
    };
}

Base::Result<void> ControlCore::handleReady(Base::Instant now, const Consensus::Ready &ready)
{
    if (ready.restore) {
        auto restored = restore(*ready.restore);
        if (!restored)
            return restored;
    }
    for (const auto &entry : ready.committed) {
        auto applied = applyEntry(now, entry);
        if (!applied)
            return applied;
    }
    tick(now);
    return {};
}

void ControlCore::tick(Base::Instant now)
{
    updateLeadership(now);
    waiters_.expire(now);
    if (!isReady(now))
        return;
    expireLeases(now);
    resumeQueuedPromotions(now);
    decidePromotion(now);
    planShares(now);
}

bool ControlCore::isReady(Base::Instant now) const
{
    return ready_ && raft_.isLeader(now);
}

void ControlCore::renewLease(Base::Instant now, const Wire::RenewLeaseRequest &request,
                             const Done<Wire::RenewLeaseReply> &done)
{
    const auto unavailable = availabilityError(now);
    if (unavailable)
        return done(tl::unexpected(*unavailable));
    const auto invalidRenewal = renewalError(request);
    if (invalidRenewal)
        return done(tl::unexpected(*invalidRenewal));
    if (request.finished)
        return deregisterEntry(now, request, done);
    leases_.renew(now, request.entry.entryId, request.entry.incarnation);
    tracker_.recordReport(request);
    proposeReleases(now, request);
    decidePromotion(now);
    const auto heldVersion = request.directoryVersion;
    if (findRecord(state_.content(), request.entry.entryId) == request.entry)
        return done(renewalReply(heldVersion));
    propose(now, RegisterEntry {request.entry},
            [this, heldVersion, done](const Base::Result<ApplyValue> &result) {
                if (!result)
                    done(tl::unexpected(toRetryableError(result.error())));
                else
                    done(renewalReply(heldVersion));
            });
}

std::optional<Base::Error> ControlCore::renewalError(const Wire::RenewLeaseRequest &request) const
{
    if (request.entry.entryId.empty())
        return Base::Error {ErrorKind::InvalidRequest, "the entry id is empty"};
    const auto *lease = leases_.find(request.entry.entryId);
    if (lease == nullptr)
        return std::nullopt;
    // The earlier process may be suspended and resume with a lease that it considers valid, so its
    // successor waits for the expiry.
    if (lease->incarnation != request.entry.incarnation)
        return Base::Error {ErrorKind::LeaseExpired, "another process holds the lease of this entry id"};
    if (lease->removalPending)
        return Base::Error {ErrorKind::LeaseExpired, "the removal of this entry process is in progress"};
    return std::nullopt;
}

void ControlCore::deregisterEntry(Base::Instant now, const Wire::RenewLeaseRequest &request,
                                  const Done<Wire::RenewLeaseReply> &done)
{
    const auto &entry = request.entry;
    leases_.beginRemoval(entry.entryId);
    options_.onEvent(LogLevel::Info, "Entry process deregistering.", {{"entry", entry.entryId}});
    propose(now, RemoveEntry {entry.entryId, entry.incarnation},
            [this, done](const Base::Result<ApplyValue> &result) {
                if (!result)
                    done(tl::unexpected(toRetryableError(result.error())));
                else
                    done(renewalReply(state_.content().directoryVersion));
            });
}

void ControlCore::proposeReleases(Base::Instant now, const Wire::RenewLeaseRequest &request)
{
    ReleaseShares command {request.entry.entryId, request.entry.incarnation, {}};
    const auto &shares = state_.content().shares;
    for (const auto &released : request.releasedShares) {
        const auto found = shares.find(released.serverId);
        const bool isHeld = found != shares.end() && found->second.entryId == command.entryId
                            && found->second.epoch == released.epoch;
        if (isHeld && releasing_.insert({released.serverId, released.epoch}).second)
            command.shares.push_back(released);
    }
    if (command.shares.empty())
        return;
    propose(now, command, [this, proposed = command.shares](const Base::Result<ApplyValue> &) {
        for (const auto &released : proposed)
            releasing_.erase({released.serverId, released.epoch});
    });
}

Wire::RenewLeaseReply ControlCore::renewalReply(std::uint64_t heldVersion) const
{
    Wire::RenewLeaseReply reply;
    reply.term = leadingTerm_;
    reply.leaseMicroseconds = leases_.leaseDuration().count();
    reply.directoryChanged = heldVersion != state_.content().directoryVersion;
    if (reply.directoryChanged)
        reply.directory = state_.directory();
    return reply;
}

void ControlCore::claim(Base::Instant now, Base::WallMilliseconds wallNow,
                        const Wire::ClaimRequestMessage &request, Done<Wire::ClaimRequestReply> done)
{
    const auto unavailable = availabilityError(now);
    if (unavailable)
        return done(tl::unexpected(*unavailable));
    propose(now, ClaimRequest {request, wallNow}, extractValue<Wire::ClaimRequestReply>(std::move(done)));
}

void ControlCore::recordOutcome(Base::Instant now, const Wire::RecordOutcomeRequest &request,
                                Done<Wire::RecordOutcomeReply> done)
{
    const auto unavailable = availabilityError(now);
    if (unavailable)
        return done(tl::unexpected(*unavailable));
    propose(now, RecordOutcome {request}, extractValue<Wire::RecordOutcomeReply>(std::move(done)));
}

void ControlCore::submitDocument(Base::Instant now, const std::string &text, Done<SubmitResult> done)
{
    const auto unavailable = availabilityError(now);
    if (unavailable)
        return done(tl::unexpected(*unavailable));
    auto outcome = options_.parse(text);
    if (!outcome.document)
        return done(SubmitResult {{}, {}, std::move(outcome.mistakes)});
    if (outcome.document->environment != options_.environment)
        return done(SubmitResult {
            {}, {}, {{0, "environment", outcome.document->environment, "\"" + options_.environment + "\""}}});
    SubmitResult submitted {Configuration::documentHash(text), options_.environment, {}};
    propose(now, StoreDocument {submitted.documentHash, text},
            [submitted, done = std::move(done)](const Base::Result<ApplyValue> &result) {
                if (!result)
                    done(tl::unexpected(result.error()));
                else
                    done(submitted);
            });
}

void ControlCore::promote(Base::Instant now, const ProposePromotion &request, const PromotionDone &done)
{
    const auto unavailable = availabilityError(now);
    if (unavailable)
        return done(tl::unexpected(*unavailable));
    if (request.changeId.empty())
        return done(Base::fail(ErrorKind::InvalidRequest, "the change id is empty"));
    proposePromotion(now, request, now + options_.operatorTimeout, done);
}

void ControlCore::proposePromotion(Base::Instant now, const ProposePromotion &request, Base::Instant deadline,
                                   const PromotionDone &done)
{
    propose(now, request, [this, request, deadline, done](const Base::Result<ApplyValue> &result) {
        if (!result)
            return done(tl::unexpected(result.error()));
        const auto &promotion = std::get<PromotionResult>(*result);
        if (promotion.state == PromotionState::Pending)
            waiters_.wait(request.changeId, deadline, done);
        else if (promotion.state == PromotionState::Waiting)
            waiters_.queue({request, deadline, done});
        else
            done(promotion);
    });
}

void ControlCore::resumeQueuedPromotions(Base::Instant now)
{
    if (state_.content().proposed.revision != 0)
        return;
    for (const auto &queued : waiters_.takeQueued())
        proposePromotion(now, queued.request, queued.deadline, queued.done);
}

void ControlCore::decidePromotion(Base::Instant now)
{
    const auto revision = state_.content().proposed.revision;
    if (revision == 0 || revision == decidedRevision_)
        return;
    const auto decision = tracker_.decide(revision, liveEntries(now));
    if (decision.verdict == PromotionTracker::Verdict::Wait)
        return;
    decidedRevision_ = revision;
    const auto ignoreResult = [](const Base::Result<ApplyValue> &) {};
    if (decision.verdict == PromotionTracker::Verdict::Accept)
        propose(now, AcceptPromotion {revision}, ignoreResult);
    else
        propose(now, AbortPromotion {revision, decision.detail}, ignoreResult);
}

std::vector<std::string> ControlCore::liveEntries(Base::Instant now) const
{
    std::vector<std::string> live;
    for (const auto &[entryId, entry] : state_.content().entries) {
        if (leases_.isLive(now, entryId))
            live.push_back(entryId);
    }
    return live;
}

void ControlCore::beginShutDown()
{
    shuttingDown_ = true;
    proposals_.failAll();
    waiters_.failAll({ErrorKind::ShuttingDown, {}});
}

std::optional<Base::Error> ControlCore::availabilityError(Base::Instant now)
{
    // The node may have changed its role since the last call.
    updateLeadership(now);
    if (shuttingDown_)
        return Base::Error {ErrorKind::ShuttingDown, {}};
    if (isReady(now))
        return std::nullopt;
    // The detail is the leader's peer address, so that the caller can try it next.
    const auto status = raft_.status(now);
    for (const auto &member : status.members) {
        if (member.member.nodeId == status.leaderId)
            return Base::Error {ErrorKind::NotLeader, member.member.peerAddress};
    }
    return Base::Error {ErrorKind::NotLeader, {}};
}

void ControlCore::propose(Base::Instant now, const Command &command, ProposalTable::Done done)
{
    const auto index = raft_.propose(now, encodeCommand(command));
    if (!index)
        done(tl::unexpected(index.error()));
    else
        proposals_.add(*index, leadingTerm_, std::move(done));
}

Base::Result<void> ControlCore::restore(const Wire::RaftSnapshot &snapshot)
{
    // A snapshot skips entries, so the results of proposals in it cannot be determined any more.
    proposals_.failAll();
    auto restored = state_.restore(snapshot.payload);
    if (!restored)
        return restored;
    appliedIndex_ = snapshot.lastIndex;
    appliedTerm_ = snapshot.lastTerm;
    loadDocument();
    options_.onEvent(LogLevel::Info, "State restored from a snapshot.",
                     {{"index", appliedIndex_}, {"revision", state_.content().accepted.revision}});
    return {};
}

Base::Result<void> ControlCore::applyEntry(Base::Instant now, const Wire::RaftEntry &entry)
{
    appliedIndex_ = entry.index;
    appliedTerm_ = entry.term;
    if (entry.kind != Wire::RaftEntryKind::Command) {
        proposals_.complete(entry.index, entry.term, ApplyValue {});
        updateLeadership(now);
        return {};
    }
    const auto command = decodeCommand(entry.payload);
    // Skipping a command that other builds can decode would make the node states diverge.
    if (!command)
        return Base::fail(ErrorKind::CorruptData, "log entry cannot be applied: " + command.error().detail);
    const auto result = state_.apply(entry.index, *command);
    afterApply(*command, result);
    proposals_.complete(entry.index, entry.term, result);
    if (result && endsPromotion(*command))
        waiters_.completeWaiting(std::get<PromotionResult>(*result));
    return {};
}

void ControlCore::afterApply(const Command &command, const Base::Result<ApplyValue> &result)
{
    if (const auto *removal = std::get_if<RemoveEntry>(&command)) {
        const auto *lease = leases_.find(removal->entryId);
        if (lease != nullptr && lease->incarnation == removal->incarnation)
            leases_.remove(removal->entryId);
        tracker_.removeReport(removal->entryId);
    }
    // Followers and replaying nodes apply the same commands, so only the leader logs them.
    if (ready_ && result && std::holds_alternative<PromotionResult>(*result)) {
        const auto &promotion = std::get<PromotionResult>(*result);
        // A retry that gets the stored result is not logged as another acceptance.
        const bool hasEnded =
            promotion.state == PromotionState::Accepted || promotion.state == PromotionState::Rejected;
        if (!hasEnded || endsPromotion(command))
            reportPromotion(promotion);
    }
    loadDocument();
}

void ControlCore::reportPromotion(const PromotionResult &result)
{
    static constexpr std::array<std::string_view, 5> Messages {
        "Promotion proposed.", "Promotion queued behind the pending one.", "Promotion accepted.",
        "Promotion conflicts with an accepted one.", "Promotion rejected."};
    options_.onEvent(LogLevel::Info, Messages.at(static_cast<std::size_t>(result.state)),
                     {{"revision", result.revision},
                      {"hash", result.documentHash},
                      {"change", result.changeId},
                      {"detail", result.detail}});
}

void ControlCore::loadDocument()
{
    const auto &hash = state_.content().accepted.documentHash;
    if (hash == documentHash_)
        return;
    documentHash_ = hash;
    const auto *text = state_.findDocument(hash);
    document_ = text == nullptr ? std::nullopt : options_.parse(*text).document;
}

void ControlCore::updateLeadership(Base::Instant now)
{
    const auto term = raft_.isLeader(now) ? raft_.status(now).term : 0;
    if (term != leadingTerm_) {
        if (leadingTerm_ != 0)
            stepDown();
        leadingTerm_ = term;
    }
    if (leadingTerm_ != 0 && !ready_ && appliedTerm_ == leadingTerm_)
        becomeReady(now);
}

void ControlCore::stepDown()
{
    options_.onEvent(LogLevel::Warning, "Leadership lost.", {{"term", leadingTerm_}});
    ready_ = false;
    leases_.clear();
    tracker_.clear();
    proposals_.failAll();
    waiters_.failAll({ErrorKind::NotLeader, {}});
}

void ControlCore::becomeReady(Base::Instant now)
{
    ready_ = true;
    decidedRevision_ = 0;
    plannedVersion_ = 0;
    firstServingAt_.reset();
    for (const auto &[entryId, entry] : state_.content().entries)
        leases_.grantAfterElection(now, entryId, entry.incarnation);
    options_.onEvent(LogLevel::Info, "Became leader.",
                     {{"term", leadingTerm_}, {"entries", state_.content().entries.size()}});
}

void ControlCore::expireLeases(Base::Instant now)
{
    for (const auto &entryId : leases_.expired(now)) {
        const auto incarnation = leases_.find(entryId)->incarnation;
        leases_.beginRemoval(entryId);
        options_.onEvent(LogLevel::Warning, "Lease expired.", {{"entry", entryId}});
        propose(now, RemoveEntry {entryId, incarnation}, [](const Base::Result<ApplyValue> &) {});
    }
}

void ControlCore::planShares(Base::Instant now)
{
    const auto &content = state_.content();
    if (!document_ || planProposals_ > 0 || plannedVersion_ == content.directoryVersion)
        return;
    std::vector<Wire::EntryRecord> owners;
    for (const auto &[entryId, entry] : content.entries) {
        if (entry.state == Wire::EntryState::Serving && leases_.isLive(now, entryId))
            owners.push_back(entry);
    }
    if (mustDelayFirstAssignment(now, !owners.empty()))
        return;
    plannedVersion_ = content.directoryVersion;
    auto plan = SharePlanner::plan(*document_, owners, content.shares);
    const auto onPlanApplied = [this](const Base::Result<ApplyValue> &) { --planProposals_; };
    if (!plan.assignments.empty()) {
        ++planProposals_;
        options_.onEvent(LogLevel::Info, "Shares assigned.", {{"count", plan.assignments.size()}});
        propose(now, AssignShares {std::move(plan.assignments)}, onPlanApplied);
    }
    if (!plan.releases.empty()) {
        ++planProposals_;
        options_.onEvent(LogLevel::Info, "Releases requested.", {{"count", plan.releases.size()}});
        propose(now, RequestReleases {std::move(plan.releases)}, onPlanApplied);
    }
}

bool ControlCore::mustDelayFirstAssignment(Base::Instant now, bool anyEntry)
{
    if (!anyEntry || !state_.content().shares.empty()) {
        firstServingAt_.reset();
        return false;
    }
    if (!firstServingAt_)
        firstServingAt_ = now;
    return now < *firstServingAt_ + options_.firstAssignmentDelay;
}

} // namespace Control
