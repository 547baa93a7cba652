#include "LibForward/ForwardCore.h"

#include "LibForward/GatherPolicy.h"
#include "LibForward/LeavingPolicy.h"
#include "LibForward/TopRecords.h"

#include <algorithm>
#include <limits>

namespace Forward {

namespace {

/// Time after which open attempts of a disconnected caller are aborted.
constexpr Base::Duration AbandonedGrace = Base::milliseconds(300);
/// The same once the caller was answered. Most of these attempts end soon, and an abort costs the connection.
constexpr Base::Duration AnsweredGrace = Base::milliseconds(1000);

/// A server counts as silent after this multiple of the route's mean latency, and at least MinSilence.
constexpr int SilenceLatencyMultiple = 8;
/// Interval at which a request of a route is sent to silent servers as a probe. A gateway detects their
/// recovery after half of it on average.
constexpr Base::Duration ProbeInterval = Base::milliseconds(200);

/// Retry-After of a gateway that stops. Another one can take the request as soon as the caller has connected
/// to it.
constexpr Base::Duration RetryElsewhereDelay = Base::milliseconds(10);

/// Callers take these statuses to mean that the request has not run.
bool impliesNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

ForwardCore::ForwardCore(const ForwardOptions &options)
    : options_(options)
    , backends_(options.seed, options.dataCentre)
    , random_(options.seed + 1)
{
}

void ForwardCore::setOptions(const ForwardOptions &options)
{
    options_ = options;
    if (!options_.learnServerLimits)
        backends_.forgetHistories();
    for (auto &[service, budget] : budgets_)
        budget.setMaxTokens(maxExtraTokens());
}

void ForwardCore::setServers(Base::Instant now, const Wire::ServerList &list)
{
    backends_.update(now, list);
    dispatchWaiting(now);
}

void ForwardCore::setEvacuated(Base::Instant now, std::set<std::string, std::less<>> dataCentres)
{
    backends_.setEvacuated(now, std::move(dataCentres));
    dispatchWaiting(now);
}

void ForwardCore::setGatewayCount(std::size_t count)
{
    gatewayCount_ = std::max<std::size_t>(1, count);
    for (auto &[service, budget] : budgets_)
        budget.setMaxTokens(maxExtraTokens());
}

/// Still without legs.
ForwardCore::Exchange ForwardCore::makeExchange(Base::Instant now, RequestFacts facts)
{
    Exchange exchange;
    exchange.facts = std::move(facts);
    const auto &route = *exchange.facts.route;
    exchange.arrivedAt = now;
    exchange.deadline = now + std::min(route.timeout, exchange.facts.callerDeadline.value_or(route.timeout));
    const auto &delay = exchange.facts.callerDelay;
    exchange.answerBy = now + std::max(route.latencyTarget - delay.network, Base::Duration::zero());
    exchange.answerEarlyBy = std::max(now, exchange.answerBy - delay.lookUp);
    return exchange;
}

/// `target` is ignored for a gather.
void ForwardCore::addLegs(Exchange &exchange, std::string_view target)
{
    if (!exchange.isGather()) {
        exchange.legs.emplace_back().service = target;
        return;
    }
    for (const auto &shard : exchange.facts.route->gather->shards)
        exchange.legs.emplace_back().service = shard;
}

ExchangeId ForwardCore::begin(Base::Instant now, RequestFacts facts)
{
    const auto id = ++lastId_;
    auto &exchange = exchanges_[id];
    exchange = makeExchange(now, std::move(facts));
    addLegs(exchange, exchange.isGather() ? std::string_view() : pickTarget(*exchange.facts.route));
    for (const auto &leg : exchange.legs)
        budgetOf(leg.service).earn(extraTokensPerRequest());
    followTenants(exchange.facts.table);
    auto refusal = refuseUnfinishable(exchange);
    if (!refusal)
        refusal = refuseUnservable(id, exchange);
    if (refusal) {
        finish(now, id, exchange, std::move(*refusal));
        return id;
    }
    const auto before = sharesFairly() ? claimsWaiting(now, meanAllowance_) : ClaimsByService();
    for (std::size_t index = 0; index < exchange.legs.size(); ++index)
        dispatch(now, id, exchange, index);
    if (sharesFairly())
        shareRoom(now, id, exchange, before);
    if (!concludeIfDecided(now, id, exchange))
        scheduleReview(id, exchange);
    return id;
}

// Smooth weighted round robin: each request adds the weights and selects the highest credit, so that even a
// few requests are split close to the weights. Random initial credits keep the gateways out of step.
std::string_view ForwardCore::pickTarget(const Route::RouteRule &route)
{
    if (route.targets.size() == 1)
        return route.targets.front().service;
    auto &credits = splitCredits_[route.name];
    if (credits.size() != route.targets.size()) {
        double total = 0.0;
        for (const auto &target : route.targets)
            total += target.weight;
        credits.clear();
        for (std::size_t index = 0; index < route.targets.size(); ++index)
            credits.push_back(random_.unit() * total / 2);
    }
    return route.targets[nextTarget(route, credits)].service;
}

/// Takes the turn of the target that is next, and returns its index. There is a credit for each target.
std::size_t ForwardCore::nextTarget(const Route::RouteRule &route, std::vector<double> &credits)
{
    double total = 0.0;
    std::size_t best = 0;
    bool found = false;
    for (std::size_t index = 0; index < route.targets.size(); ++index) {
        total += route.targets[index].weight;
        credits[index] += route.targets[index].weight;
        // A weight of 0 disables a service, even if it has credit left.
        if (route.targets[index].weight > 0.0 && (!found || credits[index] > credits[best])) {
            best = index;
            found = true;
        }
    }
    credits[best] -= total;
    return best;
}

ForwardCore::ServiceCounts ForwardCore::countServices(const Exchange &exchange, bool isRoomShared) const
{
    const auto silence = silenceLimit(exchange.facts.route->name);
    const auto latest = exchange.latestStart();
    ServiceCounts counts;
    const auto waiting = isRoomShared ? Counts() : waitingAhead(exchange);
    for (const auto &leg : exchange.legs) {
        if (backends_.eligibleCount(exchange.arrivedAt, leg.service) == 0) {
            counts.pausing += backends_.resumesAt(exchange.arrivedAt, leg.service) ? 1 : 0;
            continue;
        }
        ++counts.reachable;
        counts.silent += backends_.isSilent(exchange.arrivedAt, leg.service, silence) ? 1 : 0;
        const auto ahead = waiting.find(leg.service);
        const bool mayStart =
            ahead == waiting.end()
            || exchange.arrivedAt + expectedWait(exchange, leg.service, ahead->second) < latest;
        counts.inTime += mayStart ? 1 : 0;
    }
    return counts;
}

/// If all servers of some services are silent, a request that needs them would hang until its deadline and
/// load the other services in vain. One request per ProbeInterval is admitted to detect their recovery.
bool ForwardCore::needsProbe(const Exchange &exchange, const ServiceCounts &counts) const
{
    return static_cast<double>(counts.reachable - counts.silent) < exchange.legsNeeded();
}

/// A request that cannot succeed is refused at once and while nothing of it has run.
std::optional<Refusal> ForwardCore::findUnservable(const Exchange &exchange,
                                                   const ServiceCounts &counts) const
{
    const auto needed = exchange.legsNeeded();
    const bool isReachable = static_cast<double>(counts.reachable) >= needed;
    if (!isReachable && static_cast<double>(counts.reachable + counts.pausing) >= needed)
        return Refusal {Base::ErrorKind::Overloaded,
                        "too many of the required services have only servers that asked for a pause"};
    if (!isReachable)
        return Refusal {Base::ErrorKind::NoEligibleReplica,
                        backends_.isLoaded()
                            ? "too few of the required services have a server that accepts work"
                            : "the list of servers is not known yet"};
    if (needsProbe(exchange, counts) && !isProbeDue(exchange))
        return Refusal {Base::ErrorKind::NoEligibleReplica,
                        "too many of the required services have only unresponsive servers"};
    return std::nullopt;
}

/// Whether the turn of a new request would come too late. In `view`, what waits includes no leg of it, and it
/// has been counted as demand.
std::optional<Refusal> ForwardCore::findLateTurn(ExchangeId id, const Exchange &exchange,
                                                 const ServiceCounts &counts, const SharingView &view) const
{
    const bool isLate = view.sharesFairly()
                            ? !waiting_.empty() && waitsPastLimit(exchange.arrivedAt, id, exchange, view)
                            : static_cast<double>(counts.inTime) < exchange.legsNeeded();
    if (!isLate)
        return std::nullopt;
    return Refusal {Base::ErrorKind::Overloaded,
                    "the queued work would delay this request past its time limit"};
}

std::optional<Outcome> ForwardCore::refuseUnservable(ExchangeId id, Exchange &exchange)
{
    const auto counts = countServices(exchange, sharesFairly());
    auto refusal = findUnservable(exchange, counts);
    if (!refusal) {
        if (needsProbe(exchange, counts))
            nextProbes_[exchange.facts.route->name] = exchange.arrivedAt + ProbeInterval;
        refusal = sharesFairly() ? refuseFairly(id, exchange, counts)
                                 : findLateTurn(id, exchange, counts, sharing({}));
    }
    if (!refusal)
        return std::nullopt;
    return failedOutcome(exchange.arrivedAt, exchange, refusal->error, std::string(refusal->cause));
}

/// A request that this gateway could not answer before its planned stop is refused.
std::optional<Refusal> ForwardCore::findUnfinishable(const Exchange &exchange) const
{
    if (stopTime_ == Base::Instant::max())
        return std::nullopt;
    const auto &route = *exchange.facts.route;
    const auto times = routeTimes_.find(route.name);
    const auto expected = expectedDuration(route, times == routeTimes_.end() ? nullptr : &times->second);
    if (std::min(exchange.arrivedAt + expected, exchange.deadline) <= stopTime_)
        return std::nullopt;
    return Refusal {Base::ErrorKind::ShuttingDown, "gateway stops before this request would be done"};
}

std::optional<Outcome> ForwardCore::refuseUnfinishable(const Exchange &exchange)
{
    const auto refusal = findUnfinishable(exchange);
    if (!refusal)
        return std::nullopt;
    auto outcome = failedOutcome(exchange.arrivedAt, exchange, refusal->error, std::string(refusal->cause));
    outcome.retryAfter = RetryElsewhereDelay;
    return outcome;
}

/// Whether this request should probe silent servers.
bool ForwardCore::isProbeDue(const Exchange &exchange) const
{
    const auto next = nextProbes_.find(exchange.facts.route->name);
    return next == nextProbes_.end() || exchange.arrivedAt >= next->second;
}

/// Removes and returns an attempt that has ended; empty if it was aborted before.
std::optional<ForwardCore::Attempt> ForwardCore::takeAttempt(AttemptId id)
{
    auto node = attempts_.extract(id);
    if (node.empty())
        return std::nullopt;
    BackendTable::recordEnded(*node.mapped().backend, node.mapped().sentAt);
    return std::move(node.mapped());
}

/// Updates the leg of an ended attempt. Returns the exchange, or null if the leg needs no further result.
ForwardCore::Exchange *ForwardCore::endAttempt(const Attempt &attempt)
{
    const auto owner = exchanges_.find(attempt.exchange);
    if (owner == exchanges_.end())
        return nullptr;
    auto &leg = owner->second.legs[attempt.leg];
    --leg.open;
    return leg.state == LegState::Present ? nullptr : &owner->second;
}

/// Time without any answer after which a server counts as gone. If servers fall silent without closing their
/// connections, callers are answered without them before any attempt fails, so without this limit the servers
/// would be selected again.
Base::Duration ForwardCore::silenceLimit(const std::string &routeName) const
{
    return std::max(BackendTable::MinSilence, meanLatency(routeName) * SilenceLatencyMultiple);
}

/// Mean latency of the route's attempts; zero before the first one.
Base::Duration ForwardCore::meanLatency(const std::string &routeName) const
{
    const auto times = routeTimes_.find(routeName);
    return times == routeTimes_.end() ? Base::Duration::zero() : times->second.mean();
}

void ForwardCore::replyArrived(Base::Instant now, AttemptId attemptId, AttemptReply reply)
{
    const auto taken = takeAttempt(attemptId);
    if (!taken)
        return;
    const auto &attempt = *taken;
    BackendTable::recordResponse(now, *attempt.backend);
    if (reply.load)
        BackendTable::recordLoad(now, *attempt.backend, *reply.load);
    const bool succeeded =
        reply.response.status / 100 == 2 && reply.isWhole && !reply.proof.empty() && !reply.notExecuted;
    if (reply.response.status == 421) {
        BackendTable::markMisdirected(now, *attempt.backend);
        backends_.giveBackUnit(now, *attempt.backend, attempt.unitValidUntil);
    } else if (reply.isWhole) {
        takeNotice(now, attempt, reply);
    }
    const bool serverFault = reply.response.status >= 500 || !reply.isWhole;
    if (succeeded) {
        const auto times = routeTimes_.find(attempt.routeName);
        if (times != routeTimes_.end()) {
            times->second.add(now - attempt.sentAt);
            BackendTable::recordSuccess(now, *attempt.backend, now - attempt.sentAt, times->second.mean());
            if (options_.learnServerLimits)
                learnFrom(now, attempt, times->second);
        }
    } else if (serverFault || reply.notExecuted) {
        BackendTable::recordError(now, *attempt.backend);
    }
    const bool notRun = reply.notExecuted || reply.response.status == 421;
    settleGone(attempt, notRun);
    auto *owner = endAttempt(attempt);
    if (owner == nullptr)
        return dispatchWaiting(now);
    auto &exchange = *owner;
    auto &leg = exchange.legs[attempt.leg];
    if (succeeded) {
        takeSuccess(now, attempt.exchange, exchange, attempt.leg, reply);
        return dispatchWaiting(now);
    }
    leg.mayHaveRun = leg.mayHaveRun || !notRun;
    leg.failure = notRun ? "not_executed" : !reply.isWhole ? "malformed" : "server_error";
    // Unless the server states that the request has not run, it may have. A status that implies "not run" is
    // then not relayed; the caller gets an error that leaves this open.
    if (!notRun && reply.isWhole && !reply.proof.empty() && !impliesNotRun(reply.response.status))
        exchange.fallback = std::move(reply.response);
    // The server rejected the request itself; another server would give the same response.
    const bool isFinal =
        exchange.fallback && exchange.fallback->status / 100 != 5 && !notRun && reply.isWhole;
    if (isFinal)
        leg.state = LegState::Closed;
    else
        retryOrClose(now, attempt.exchange, exchange, attempt.leg);
    if (!concludeIfDecided(now, attempt.exchange, exchange))
        scheduleReview(attempt.exchange, exchange);
    dispatchWaiting(now);
}

/// Takes a successful reply into what is known of its server.
void ForwardCore::learnFrom(Base::Instant now, const Attempt &attempt, const RouteTimes &times)
{
    auto &backend = *attempt.backend;
    const auto share = latestTable_ ? connectionShare(latestTable_->configuration(), backend.record.service)
                                    : std::numeric_limits<std::uint32_t>::max();
    const auto from = backend.history ? backend.history->reportedLimit : 0U;
    if (BackendTable::learn(now, backend, now - attempt.sentAt, times.reference(), times.mean(), share))
        actions_.emplace_back(LimitChange {attempt.backend, from, backend.history->reportedLimit,
                                           backend.history->concurrency.best()});
}

/// Takes over what the server says of itself. A response with status 421 comes from another server, and one
/// that is not whole may have other damage.
void ForwardCore::takeNotice(Base::Instant now, const Attempt &attempt, const AttemptReply &reply)
{
    auto &backend = *attempt.backend;
    if (reply.warmUp)
        backends_.recordWarmUp(now, attempt.backend, *reply.warmUp);
    if (reply.announcesLeaving && BackendTable::markLeaving(now, backend, options_.leavingUseTime))
        actions_.emplace_back(
            ServerNotice {ServerNotice::Kind::Leaving, attempt.backend, *backend.lastUse, reply.requestId});
    if (reply.pause && reply.response.status == 503) {
        BackendTable::markPaused(now, backend, *reply.pause);
        actions_.emplace_back(
            ServerNotice {ServerNotice::Kind::Pause, attempt.backend, backend.pausedUntil, reply.requestId});
    }
}

void ForwardCore::takeSuccess(Base::Instant now, ExchangeId id, Exchange &exchange, std::size_t legIndex,
                              AttemptReply &reply)
{
    auto &leg = exchange.legs[legIndex];
    leg.state = LegState::Present;
    leg.proof = std::move(reply.proof);
    if (exchange.isGather()) {
        leg.body = std::move(reply.response.body);
        // Only the top records can be in the answer; the others would hold memory until the last part
        // arrives.
        const auto limit = exchange.facts.route->gather->recordLimit;
        if (const std::string_view part = leg.body; part.size() > limit * RecordBytes)
            leg.body = mergeTopRecords({&part, 1}, limit);
        if (!concludeIfDecided(now, id, exchange))
            scheduleReview(id, exchange);
        return;
    }
    Outcome outcome;
    outcome.kind = Outcome::Kind::Relay;
    outcome.response = std::move(reply.response);
    finish(now, id, exchange, std::move(outcome));
}

void ForwardCore::attemptFailed(Base::Instant now, AttemptId attemptId, Edge::ExchangeFailure failure)
{
    const auto taken = takeAttempt(attemptId);
    if (!taken)
        return;
    const auto &attempt = *taken;
    if (failure != Edge::ExchangeFailure::NoConnection && failure != Edge::ExchangeFailure::PeerSilent)
        BackendTable::recordResponse(now, *attempt.backend);
    if (failure == Edge::ExchangeFailure::ReplyMalformed || failure == Edge::ExchangeFailure::ReplyTooLarge)
        BackendTable::recordError(now, *attempt.backend);
    else
        BackendTable::recordUnreachable(now, *attempt.backend);
    const bool sentNothing =
        failure == Edge::ExchangeFailure::NotSent || failure == Edge::ExchangeFailure::NoConnection;
    if (sentNothing)
        backends_.giveBackUnit(now, *attempt.backend, attempt.unitValidUntil);
    settleGone(attempt, sentNothing);
    auto *owner = endAttempt(attempt);
    if (owner == nullptr)
        return dispatchWaiting(now);
    auto &exchange = *owner;
    auto &leg = exchange.legs[attempt.leg];
    leg.failure = Edge::exchangeFailureName(failure);
    if (sentNothing) {
        // Nothing reached the server, so the attempt does not count towards the limit.
        --leg.sends;
        leg.unreached.push_back(attempt.backend);
    } else {
        leg.mayHaveRun = true;
    }
    retryOrClose(now, attempt.exchange, exchange, attempt.leg);
    if (!concludeIfDecided(now, attempt.exchange, exchange))
        scheduleReview(attempt.exchange, exchange);
    dispatchWaiting(now);
}

void ForwardCore::callerLeft(Base::Instant now, ExchangeId id)
{
    const auto node = exchanges_.extract(id);
    if (!node)
        return;
    const auto &legs = node.mapped().legs;
    const bool mayHaveRun = std::any_of(legs.begin(), legs.end(), [](const Leg &leg) {
        return leg.mayHaveRun || leg.state == LegState::Present;
    });
    std::erase_if(waiting_, [id](const WaitingLeg &waiting) { return waiting.exchange == id; });
    std::size_t open = 0;
    for (auto &[attemptId, attempt] : attempts_) {
        if (attempt.exchange != id)
            continue;
        ++open;
        attempt.exchange = 0;
        attempt.gone = mayHaveRun ? 0 : id;
        aborts_.schedule(now + AbandonedGrace, attemptId);
    }
    if (mayHaveRun || open == 0)
        actions_.emplace_back(CallerGone {id, !mayHaveRun});
    else
        gone_.emplace(id, open);
}

/// Takes the end of an attempt into what is known of a request whose caller has left.
void ForwardCore::settleGone(const Attempt &attempt, bool notRun)
{
    const auto found = gone_.find(attempt.gone);
    if (found == gone_.end() || (notRun && --found->second > 0))
        return;
    gone_.erase(found);
    actions_.emplace_back(CallerGone {attempt.gone, notRun});
}

void ForwardCore::endAll(Base::Instant now)
{
    std::vector<ExchangeId> open;
    open.reserve(exchanges_.size());
    for (const auto &[id, exchange] : exchanges_)
        open.push_back(id);
    for (const auto id : open) {
        // An exchange at its deadline is answered with the parts it has, or with a failure that states
        // correctly whether it may have run.
        auto &exchange = exchanges_.at(id);
        exchange.deadline = now;
        concludeIfDecided(now, id, exchange);
    }
}

void ForwardCore::runTimers(Base::Instant now)
{
    while (const auto id = reviews_.popDue(now))
        review(now, *id);
    while (const auto attemptId = aborts_.popDue(now)) {
        const auto attempt = takeAttempt(*attemptId);
        if (!attempt)
            continue;
        BackendTable::recordAbandoned(now, *attempt->backend, silenceLimit(attempt->routeName));
        actions_.emplace_back(AbortAttempt {*attemptId});
        settleGone(*attempt, false);
    }
    dispatchWaiting(now);
}

std::optional<Base::Instant> ForwardCore::nextTimer() const
{
    const auto review = reviews_.next();
    const auto abort = aborts_.next();
    if (!review || !abort)
        return review ? review : abort;
    return std::min(*review, *abort);
}

std::vector<Action> ForwardCore::takeActions()
{
    return std::exchange(actions_, {});
}

void ForwardCore::review(Base::Instant now, ExchangeId id)
{
    const auto found = exchanges_.find(id);
    if (found == exchanges_.end())
        return;
    auto &exchange = found->second;
    exchange.nextReview = Base::Instant::max();
    exchange.answerByPassed = exchange.answerByPassed || now >= exchange.answerBy;
    const bool early = !exchange.earlyPassed && now >= exchange.answerEarlyBy;
    exchange.earlyPassed = exchange.earlyPassed || early;
    if (concludeIfDecided(now, id, exchange, early))
        return;
    hedgeDueLegs(now, id, exchange);
    if (!concludeIfDecided(now, id, exchange))
        scheduleReview(id, exchange);
}

void ForwardCore::scheduleReview(ExchangeId id, Exchange &exchange)
{
    auto next = exchange.deadline;
    bool undecided = false;
    for (const auto &leg : exchange.legs) {
        if (leg.state == LegState::Open || leg.state == LegState::Recovering) {
            next = std::min(next, leg.hedgeAt);
            undecided = true;
        }
        undecided = undecided || leg.state == LegState::Waiting;
    }
    // At these times a gather may answer with the parts it has.
    if (exchange.isGather() && undecided && !exchange.answerByPassed)
        next = std::min(next, exchange.earlyPassed ? exchange.answerBy : exchange.answerEarlyBy);
    if (next < exchange.nextReview) {
        exchange.nextReview = next;
        reviews_.schedule(next, id);
    }
}

void ForwardCore::finish(Base::Instant now, ExchangeId id, Exchange &exchange, Outcome outcome)
{
    outcome.attempts = exchange.sends;
    outcome.extraAttempts = exchange.extraSends;
    outcome.sharing = std::move(exchange.sharing);
    actions_.emplace_back(AnswerCaller {id, std::move(outcome)});
    std::erase_if(waiting_, [id](const WaitingLeg &waiting) { return waiting.exchange == id; });
    abandonAttempts(now, id);
    exchanges_.erase(id);
}

void ForwardCore::abandonAttempts(Base::Instant now, ExchangeId id)
{
    for (auto &[attemptId, attempt] : attempts_) {
        if (attempt.exchange != id)
            continue;
        attempt.exchange = 0;
        aborts_.schedule(now + AnsweredGrace, attemptId);
    }
}

/// As timesOf() would tell.
Base::Duration ForwardCore::expectedLatency(const Route::RouteRule &route) const
{
    const auto times = routeTimes_.find(route.name);
    return times == routeTimes_.end() ? RouteTimes(route.latencyTarget).mean() : times->second.mean();
}

RouteTimes &ForwardCore::timesOf(const Route::RouteRule &route)
{
    return routeTimes_.try_emplace(route.name, route.latencyTarget).first->second;
}

} // namespace Forward
