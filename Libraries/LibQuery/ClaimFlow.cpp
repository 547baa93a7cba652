#include "LibQuery/ClaimFlow.h"

#include "LibBase/Digest.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace Query {

namespace {

/// Allows the outcome to be recorded although the deadline is near, so that a repeated request id finds it.
constexpr Base::Duration MinRecordTimeout = Base::seconds(2);

std::string digestOf(const CallerQuery &caller)
{
    // Length prefixes give different splits of the same text different digests.
    const auto text = fmt::format("{}:{}{}:{}{}", caller.index.size(), caller.index, caller.shard.size(),
                                  caller.shard, caller.body);
    return Base::sha256Hex(Base::asBytes(text));
}

Failure makeFailure(const QueryRow &query, Base::ErrorKind kind, Base::RunState run, std::string detail = {})
{
    return {query.caller.requestId, {kind, std::move(detail)}, run, {}};
}

/// Identifies the repeats of one claim, which the log grants again. Never 0, which means "not repeated".
std::uint64_t attemptNumber(const QueryRow &query)
{
    return query.id + 1;
}

Failure outcomeUnknown(const QueryRow &query, Base::RunState run)
{
    return makeFailure(query, Base::ErrorKind::OutcomeUnknown, run);
}

/// Returns whether an attempt that ended with `kind` leaves the outcome unknown, unlike an error reply of the
/// backend server, which is an outcome.
bool leavesOutcomeUnknown(Base::ErrorKind kind)
{
    return kind != Base::ErrorKind::BackendFailed && kind != Base::ErrorKind::VersionMismatch;
}

} // namespace

std::optional<Base::Error> ClaimFlow::conflict(const CallerQuery &caller) const
{
    const auto open = tables_.openRequestIds.find(caller.requestId);
    if (open == tables_.openRequestIds.end())
        return std::nullopt;
    const bool sameBody = tables_.queries.at(open->second).bodyDigest == digestOf(caller);
    return Base::Error {sameBody ? Base::ErrorKind::InProgress : Base::ErrorKind::RequestIdReused, {}};
}

void ClaimFlow::start(Base::Instant now, QueryRow &query)
{
    query.stage = QueryStage::Claiming;
    query.bodyDigest = digestOf(query.caller);
    query.completionIfUnconfirmed = outcomeUnknown(query, Base::RunState::MayHaveRun);
    tables_.openRequestIds[query.caller.requestId] = query.id;
    SendClaim action;
    action.queryId = query.id;
    action.request = {query.caller.requestId,
                      query.bodyDigest,
                      tables_.options.entryId,
                      tables_.options.incarnation,
                      query.caller.createdAtMilliseconds,
                      attemptNumber(query)};
    action.timeout = query.deadline - now;
    tables_.actions.emplace_back(std::move(action));
}

void ClaimFlow::claimReplied(Base::Instant now, QueryRow &query, const Wire::ClaimRequestReply &reply)
{
    switch (reply.state) {
    case Wire::ClaimState::Granted:
        query.claimId = reply.claimId;
        return claimGranted(now, query);
    case Wire::ClaimState::Recorded:
        completer_.reply(query, reply.outcome);
        return completer_.finish(now, query);
    case Wire::ClaimState::InProgress:
        return refuse(now, query, Base::ErrorKind::InProgress);
    case Wire::ClaimState::OutcomeUnknown:
        return refuse(now, query, Base::ErrorKind::OutcomeUnknown);
    case Wire::ClaimState::Expired:
        return refuse(now, query, Base::ErrorKind::RequestIdExpired);
    case Wire::ClaimState::DigestMismatch:
        return refuse(now, query, Base::ErrorKind::RequestIdReused);
    }
    refuse(now, query, Base::ErrorKind::OutcomeUnknown);
}

void ClaimFlow::claimGranted(Base::Instant now, QueryRow &query)
{
    // The control log grants a claim again to the process that holds it.
    if (tables_.dispatchedRequestIds.contains(query.caller.requestId))
        return refuse(now, query, Base::ErrorKind::OutcomeUnknown);
    const bool leaseValid = tables_.leaseValid(now);
    if (!leaseValid || !query.callerWaiting || now >= query.deadline) {
        const auto kind = leaseValid ? Base::ErrorKind::DeadlineExceeded : Base::ErrorKind::LeaseExpired;
        const auto failure = makeFailure(query, kind, Base::RunState::NotRun);
        return releaseClaim(now, query, failure, failure);
    }
    query.stage = QueryStage::Running;
    tables_.dispatchedRequestIds[query.caller.requestId] = now;
    planner_.plan(now, query);
}

void ClaimFlow::claimFailed(Base::Instant now, QueryRow &query, const Base::Error &error)
{
    const auto unsent = {Base::ErrorKind::PeerUnreachable, Base::ErrorKind::NotLeader,
                         Base::ErrorKind::ControlUnavailable};
    if (std::find(unsent.begin(), unsent.end(), error.kind) != unsent.end())
        return refuse(now, query, Base::ErrorKind::ControlUnavailable);
    if (tables_.dispatchedRequestIds.contains(query.caller.requestId))
        return refuse(now, query, Base::ErrorKind::OutcomeUnknown);
    // The log may hold the claim. Nothing was dispatched under it, so it can be released.
    releaseClaim(now, query,
                 makeFailure(query, Base::ErrorKind::ControlUnavailable, Base::RunState::NotRun,
                             "the reply to the claim was lost"),
                 outcomeUnknown(query, Base::RunState::MayHaveRun));
}

void ClaimFlow::refuse(Base::Instant now, QueryRow &query, Base::ErrorKind kind)
{
    completer_.reply(query, makeFailure(query, kind, Base::errorAnswer(kind).runState));
    completer_.finish(now, query);
}

void ClaimFlow::shardFinished(Base::Instant now, QueryRow &query)
{
    const auto worstRunState =
        query.shards.empty() ? Base::RunState::NotRun : query.shards.front().worstRunState;
    auto completion = completer_.summarize(query);
    auto *failure = std::get_if<Failure>(&completion);
    if (failure != nullptr && worstRunState == Base::RunState::NotRun) {
        tables_.dispatchedRequestIds.erase(query.caller.requestId);
        return releaseClaim(now, query, completion, completion);
    }
    if (failure != nullptr && leavesOutcomeUnknown(failure->error.kind))
        failure->error = {Base::ErrorKind::OutcomeUnknown, std::string(Base::errorName(failure->error.kind))};
    query.stage = QueryStage::Recording;
    query.completionIfUnconfirmed =
        outcomeUnknown(query, failure != nullptr ? worstRunState : Base::RunState::Run);
    sendRecord(now, query, false, renderCompletion(completion));
    query.completionIfConfirmed = std::move(completion);
    if (now >= query.deadline)
        deadlinePassed(query);
}

void ClaimFlow::releaseClaim(Base::Instant now, QueryRow &query, Completion ifReleased,
                             Completion ifNotReleased)
{
    query.stage = QueryStage::Releasing;
    query.completionIfConfirmed = std::move(ifReleased);
    query.completionIfUnconfirmed = std::move(ifNotReleased);
    sendRecord(now, query, true, {});
    if (now >= query.deadline)
        deadlinePassed(query);
}

void ClaimFlow::sendRecord(Base::Instant now, QueryRow &query, bool notRun, Wire::OutcomeRecord outcome)
{
    // Needs no valid lease: the record reports a past event, and the log decides whether to accept it.
    SendRecordOutcome action;
    action.queryId = query.id;
    action.request = {query.caller.requestId,      tables_.options.entryId,
                      tables_.options.incarnation, notRun,
                      std::move(outcome),          query.claimId};
    action.timeout = std::max(query.deadline - now, MinRecordTimeout);
    tables_.actions.emplace_back(std::move(action));
}

void ClaimFlow::recordFinished(Base::Instant now, QueryRow &query, bool recorded)
{
    if (query.stage != QueryStage::Recording && query.stage != QueryStage::Releasing)
        return;
    if (recorded && query.stage == QueryStage::Recording)
        tables_.dispatchedRequestIds.erase(query.caller.requestId);
    completer_.reply(query,
                     std::move(recorded ? *query.completionIfConfirmed : *query.completionIfUnconfirmed));
    completer_.finish(now, query);
}

void ClaimFlow::deadlinePassed(QueryRow &query)
{
    completer_.reply(query, *query.completionIfUnconfirmed);
}

} // namespace Query
