#include "LibQuery/SessionModel.h"

#include <algorithm>

namespace {

/// Large enough for hedges and retries to occur in short sessions.
constexpr double BudgetFraction = 0.25;
constexpr double RoundingSlack = 1e-3;

std::string bodyOf(const std::string &requestId, const std::string &shard, std::uint64_t version)
{
    return requestId + "|" + shard + "|" + std::to_string(version);
}

} // namespace

SessionModel::SessionModel(std::uint64_t seed, std::uint32_t replicas)
    : shape_ {.shards = 4,
              .replicas = replicas,
              .budget = BudgetFraction,
              .deadline = Base::milliseconds(200)}
    , document_(shape_)
    , core_({"e1", 1, seed})
    , random_(seed)
{
    document_.install(now_, core_);
    document_.observe(now_, core_, {version_});
    for (int count = 0; count < 40; ++count) {
        sendQuery(0);
        advance(Base::milliseconds(3));
        while (std::any_of(attempts_.begin(), attempts_.end(),
                           [](const auto &entry) { return !entry.second.settled; }))
            answerAttempt(0);
    }
}

void SessionModel::step(std::uint32_t word)
{
    const auto argument = word / 16;
    switch (word % 16) {
    case 0:
    case 1:
    case 2:
        return sendQuery(argument);
    case 3:
        return observeServer(argument);
    case 4:
    case 5:
        return answerControl(argument);
    case 6:
    case 7:
        return advance(Base::milliseconds(argument % 30));
    case 8:
        if (const auto caller = callers_.find(1 + argument % (callers_.size() + 1));
            caller != callers_.end()) {
            caller->second.gone = true;
            core_.callerGone(now_, caller->first);
        }
        return drain();
    case 9:
        core_.leaseExtended(now_, now_ + (argument % 8 == 0 ? Base::seconds(0) : Base::seconds(3)));
        return;
    default:
        return answerAttempt(argument);
    }
}

void SessionModel::sendQuery(std::uint32_t word)
{
    const auto token = callers_.size() + 1;
    auto query = makeQuery(token, word % 4 == 1 ? "quick" : "steady");
    query.idempotent = word % 4 != 2;
    if (!query.idempotent) {
        query.requestId = "once" + std::to_string(word / 4 % 6);
        query.shard = "s0";
    }
    callers_[token] = {query.requestId, query.idempotent, 0, false};
    core_.acceptQuery(now_, query);
    drain();
}

void SessionModel::answerAttempt(std::uint32_t word)
{
    std::vector<std::string> ids;
    for (const auto &[id, attempt] : attempts_) {
        if (!attempt.settled)
            ids.push_back(id);
    }
    if (ids.empty())
        return;
    const auto &id = ids[word / 16 % ids.size()];
    auto &attempt = attempts_[id];
    const auto choice = word % 16;
    attempt.settled = choice != 1; // Choice 1 is a reply that will be duplicated.
    if (choice == 2 || choice == 3) {
        attempt.provenNotRun = choice == 2 && !attempt.cancelled;
        const auto kind = choice == 2 ? Base::ErrorKind::PeerUnreachable : Base::ErrorKind::PeerReplyLost;
        core_.subrequestFailed(now_, id, {kind, ""});
        return drain();
    }
    Wire::ExecuteSubrequestReply reply;
    reply.attemptId = id;
    reply.ok = choice < 2 || choice > 7;
    reply.notRun = choice == 4 || choice == 5;
    attempt.provenNotRun = reply.notRun && !attempt.cancelled;
    reply.error = Wire::toMessage(
        {choice == 4 ? Base::ErrorKind::VersionNotOffered : Base::ErrorKind::BackendFailed, ""});
    reply.indexVersion = attempt.request.indexVersion + (choice == 15 ? 1 : 0);
    reply.body = bodyOf(attempt.request.requestId, attempt.request.shard, reply.indexVersion);
    if (reply.ok)
        deliveredBodies_.insert(reply.body);
    core_.subrequestReplied(now_, reply);
    drain();
}

void SessionModel::observeServer(std::uint32_t word)
{
    const auto &shares = document_.shares();
    version_ += word % 16 == 0 ? 1 : 0;
    if (word % 16 == 0)
        return document_.observe(now_, core_, {version_});
    auto observation =
        document_.healthy(shares[word / 16 % shares.size()].serverId, {version_ - 1, version_});
    observation.draining = word % 16 == 1;
    observation.reachable = word % 16 != 2;
    observation.queued = word % 16 == 3 ? 20 : 0;
    document_.observe(now_, core_, observation);
}

void SessionModel::answerControl(std::uint32_t word)
{
    if (!claims_.empty()) {
        const auto claim = claims_.front();
        claims_.erase(claims_.begin());
        answerClaim(claim, word % 8);
        return drain();
    }
    if (records_.empty())
        return;
    const auto record = records_.front();
    records_.erase(records_.begin());
    const auto held = heldClaims_.find(record.request.requestId);
    const bool recorded = held != heldClaims_.end() && !held->second && word % 4 != 1;
    if (recorded && record.request.notRun)
        heldClaims_.erase(held);
    else if (recorded)
        held->second = true;
    if (word % 4 == 2)
        core_.outcomeFailed(now_, record.queryId, {Base::ErrorKind::PeerReplyLost, ""});
    else
        core_.outcomeReplied(now_, record.queryId, {recorded});
    drain();
}

void SessionModel::answerClaim(const Query::SendClaim &claim, std::uint32_t choice)
{
    if (choice == 0)
        return core_.claimFailed(now_, claim.queryId, {Base::ErrorKind::PeerUnreachable, ""});
    const auto [held, added] = heldClaims_.try_emplace(claim.request.requestId, false);
    if (choice == 1)
        return core_.claimFailed(now_, claim.queryId, {Base::ErrorKind::PeerReplyLost, ""});
    const auto state = held->second ? Wire::ClaimState::Recorded : Wire::ClaimState::Granted;
    core_.claimReplied(now_, claim.queryId, {state, {200, "recorded"}});
}

void SessionModel::advance(Base::Duration span)
{
    const auto target = now_ + span;
    for (auto due = core_.nextWake(); due && *due <= target; due = core_.nextWake()) {
        now_ = std::max(now_, *due);
        core_.tick(now_);
        drain();
    }
    now_ = target;
}

void SessionModel::finish()
{
    while (core_.busy() && violations_.empty()) {
        advance(Base::milliseconds(50));
        answerControl(0);
        answerAttempt(0);
    }
    for (const auto &[token, caller] : callers_)
        require(caller.gone || caller.completions == 1, "an open caller is completed exactly once");
    const auto &counts = core_.statistics();
    const auto allowance = BudgetFraction * static_cast<double>(firstAttempts_) + RoundingSlack;
    require(static_cast<double>(extraAttempts_) <= allowance, "extra attempts stay in the budget");
    require(extraAttempts_ == counts.hedges + counts.retries, "extra attempts are counted");
    require(shape_.replicas > 1 || counts.hedges == 0, "a single replica is never hedged");
}

void SessionModel::drain()
{
    for (const auto &action : core_.takeActions())
        std::visit([this](const auto &value) { handle(value); }, action);
}

void SessionModel::handle(const Query::SendSubrequest &action)
{
    const auto &request = action.request;
    require(!attempts_.contains(request.attemptId), "attempt ids are unique");
    bool earlierMayHaveRun = false;
    for (const auto &[id, earlier] : attempts_) {
        const bool sameWork =
            earlier.request.requestId == request.requestId && earlier.request.shard == request.shard;
        if (!sameWork || earlier.provenNotRun)
            continue;
        require(request.idempotent, "a non-idempotent request has one attempt that may have run");
        earlierMayHaveRun |= earlier.request.indexVersion == request.indexVersion;
    }
    if (!request.idempotent)
        require(heldClaims_.contains(request.requestId), "a claim is held before dispatch");
    ++(earlierMayHaveRun ? extraAttempts_ : firstAttempts_);
    attempts_[request.attemptId].request = request;
}

void SessionModel::handle(const Query::CompleteQuery &action)
{
    auto &caller = callers_.at(action.token);
    ++caller.completions;
    require(!caller.gone && caller.completions == 1, "a caller is completed at most once");
    if (const auto *answer = std::get_if<Query::Answer>(&action.completion)) {
        require(answer->requestId == caller.requestId, "the answer belongs to the request");
        return checkAnswer(*answer);
    }
    const auto *failure = std::get_if<Query::Failure>(&action.completion);
    const bool reportsNotRun = failure != nullptr && failure->run == Base::RunState::NotRun;
    if (reportsNotRun && caller.idempotent)
        checkNotRun(caller.requestId, "");
}

void SessionModel::checkAnswer(const Query::Answer &answer)
{
    std::set<std::string> shards;
    for (const auto &[shard, body] : answer.results) {
        require(shards.insert(shard).second, "a shard is covered once");
        require(body == bodyOf(answer.requestId, shard, answer.indexVersion),
                "a body belongs to the request and the pinned version");
        require(deliveredBodies_.contains(body), "a covered shard has replied");
    }
    for (const auto &lacking : answer.lacking) {
        require(shards.insert(lacking.shard).second, "a shard is covered or lacking, once");
        if (lacking.run == Base::RunState::NotRun)
            checkNotRun(answer.requestId, lacking.shard);
    }
    const bool allShards = !answer.requestId.starts_with("once");
    require(shards.size() == (allShards ? shape_.shards : 1U), "every shard is accounted for");
}

void SessionModel::checkNotRun(const std::string &requestId, const std::string &shard)
{
    for (const auto &[id, attempt] : attempts_) {
        const bool matches =
            attempt.request.requestId == requestId && (shard.empty() || attempt.request.shard == shard);
        require(!matches || attempt.provenNotRun, "a shard reported as not run is proven not to have run");
    }
}

void SessionModel::require(bool condition, const std::string &invariant)
{
    if (!condition)
        violations_.push_back(invariant);
}
