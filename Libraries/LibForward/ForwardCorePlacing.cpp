// Placement: server selection for legs, hedging, retries and the queue of waiting legs.

#include "LibForward/ForwardCore.h"

#include <algorithm>
#include <tuple>

namespace Forward {

namespace {

/// Fraction of a server's connection limit that the known gateways use together. The rest is reserved for
/// gateways that have just started and are not counted yet.
constexpr double ConnectionLimitFraction = 0.85;
/// Fraction of the deployment's budget for extra arrivals at backend servers that the gateways use. The rest
/// covers gateways that restart within one window.
constexpr double BudgetFraction = 0.8;
/// Time until an extra attempt is tried again after the budget or the connections were exhausted.
constexpr Base::Duration ExtraAttemptRetryInterval = Base::milliseconds(15);
/// Bounds of the backoff between rounds over unreachable servers.
constexpr Base::Duration MinRecoveryBackoff = Base::milliseconds(40);
constexpr Base::Duration MaxRecoveryBackoff = Base::milliseconds(160);
/// Recovery may take the time until the deadline divided by this; the rest is left for a retry elsewhere.
constexpr int RecoveryTimeDivisor = 3;
/// An attempt that exceeds its server's latency estimate by this factor is delayed by more than load.
constexpr double HedgeEstimateMultiple = 1.5;
/// An extra attempt with less than this fraction of the mean latency left is unlikely to end in time.
constexpr double MinUsefulLatencyFraction = 0.7;

} // namespace

std::uint32_t ForwardCore::connectionShare(const Route::Configuration &configuration,
                                           std::string_view service) const
{
    const auto found = configuration.services.find(service);
    const double limit = found == configuration.services.end() ? 1.0 : found->second.maxConnections;
    const auto share = ConnectionLimitFraction * limit / static_cast<double>(gatewayCount_);
    return std::max(1U, static_cast<std::uint32_t>(share));
}

double ForwardCore::maxExtraTokens() const
{
    return std::max(1.0, BudgetFraction * options_.extraLoadSlack / static_cast<double>(gatewayCount_));
}

double ForwardCore::extraTokensPerRequest() const
{
    return BudgetFraction * options_.extraLoadRatio;
}

Query::ExtraLoadBudget &ForwardCore::budgetOf(std::string_view service)
{
    // A new process starts with half, because its predecessor may have spent the rest in this window.
    return budgets_
        .try_emplace(std::string(service), Query::ExtraLoadBudget(maxExtraTokens(), maxExtraTokens() / 2))
        .first->second;
}

/// Number of waiting legs per service that are at least as urgent as the exchange.
ForwardCore::Counts ForwardCore::waitingAhead(const Exchange &exchange) const
{
    Counts counts;
    for (const auto &waiting : waiting_) {
        const auto &other = exchanges_.at(waiting.exchange);
        if (other.facts.rank() <= exchange.facts.rank())
            ++counts[other.legs[waiting.leg].service];
    }
    return counts;
}

/// Estimated time in the queue of this gateway, behind `ahead` other legs for the same service.
Base::Duration ForwardCore::expectedWait(const Exchange &exchange, std::string_view service,
                                         std::size_t ahead) const
{
    const auto times = routeTimes_.find(exchange.facts.route->name);
    const auto mean = times == routeTimes_.end() ? exchange.facts.route->latencyTarget : times->second.mean();
    const auto rate = backends_.attemptsPerMillisecond(
        exchange.arrivedAt, service, connectionShare(exchange.facts.table->configuration(), service), mean);
    if (rate <= 0.0)
        return exchange.deadline - exchange.arrivedAt;
    return Base::Duration(static_cast<Base::Duration::rep>(static_cast<double>(ahead) * 1000.0 / rate));
}

/// Sends the first attempt of a leg, or queues the leg until a server has capacity. Returns whether it was
/// sent.
bool ForwardCore::dispatch(Base::Instant now, ExchangeId id, Exchange &exchange, std::size_t legIndex)
{
    auto &leg = exchange.legs[legIndex];
    const auto backend = backends_.choose(
        now, leg.service, leg.tried, connectionShare(exchange.facts.table->configuration(), leg.service),
        timesOf(*exchange.facts.route).mean(), exchange.facts.route->latencyTarget);
    if (backend) {
        send(now, id, exchange, legIndex, backend, false);
        return true;
    }
    if (backends_.eligibleCount(now, leg.service) == 0) {
        if (backends_.resumesAt(now, leg.service))
            leg.failure = "paused";
        leg.state = LegState::Closed;
        return false;
    }
    if (leg.state != LegState::Waiting || !isQueued(id, legIndex))
        waiting_.push_back({id, legIndex});
    leg.state = LegState::Waiting;
    return false;
}

bool ForwardCore::isQueued(ExchangeId id, std::size_t legIndex) const
{
    return std::any_of(waiting_.begin(), waiting_.end(), [&](const WaitingLeg &waiting) {
        return waiting.exchange == id && waiting.leg == legIndex;
    });
}

/// Returns whether a first attempt sent now is expected to be answered within the latency target.
bool ForwardCore::canMeetTarget(Base::Instant now, const Exchange &exchange) const
{
    return canMeetTarget(now, exchange, meanLatency(exchange.facts.route->name));
}

bool ForwardCore::canMeetTarget(Base::Instant now, const Exchange &exchange, Base::Duration latency)
{
    return now + latency <= exchange.answerBy;
}

/// Dispatches waiting legs when there is more work than slots. Legs are ordered by rank, then by whether they
/// can still meet the latency target, then by deadline. Without the second criterion all requests of an
/// overload would be slightly late.
void ForwardCore::dispatchWaiting(Base::Instant now)
{
    if (waiting_.empty())
        return;
    if (sharesFairly())
        return dispatchFairly(now);
    const auto urgency = [this, now](const WaitingLeg &waiting) {
        const auto &exchange = exchanges_.at(waiting.exchange);
        return std::tuple(exchange.facts.rank(), !canMeetTarget(now, exchange), exchange.deadline);
    };
    std::vector<std::pair<decltype(urgency(waiting_.front())), WaitingLeg>> queue;
    queue.reserve(waiting_.size());
    for (const auto &waiting : std::exchange(waiting_, {}))
        queue.emplace_back(urgency(waiting), waiting);
    std::stable_sort(queue.begin(), queue.end(),
                     [](const auto &left, const auto &right) { return left.first < right.first; });
    for (const auto &[key, waiting] : queue) {
        const auto owner = exchanges_.find(waiting.exchange);
        if (owner == exchanges_.end())
            continue;
        dispatch(now, waiting.exchange, owner->second, waiting.leg);
        concludeDispatched(now, waiting.exchange, waiting.leg);
    }
}

/// Ends the exchange if its leg has closed on dispatch and decides it.
void ForwardCore::concludeDispatched(Base::Instant now, ExchangeId id, std::size_t legIndex)
{
    auto &exchange = exchanges_.at(id);
    if (exchange.legs[legIndex].state != LegState::Closed || !concludeIfDecided(now, id, exchange))
        scheduleReview(id, exchange);
}

void ForwardCore::send(Base::Instant now, ExchangeId id, Exchange &exchange, std::size_t legIndex,
                       const BackendPointer &backend, bool extra)
{
    auto &leg = exchange.legs[legIndex];
    const auto &route = *exchange.facts.route;
    const auto attemptId = ++lastId_;
    attempts_.emplace(attemptId, Attempt {id, legIndex, backend, now, route.name,
                                          std::exchange(backend->unitValidUntil, std::nullopt)});
    const auto untilHedge = hedgeDelay(now, route, *backend);
    BackendTable::recordSent(*backend, now);
    leg.state = LegState::Open;
    leg.tried.push_back(backend);
    ++leg.open;
    ++leg.sends;
    ++exchange.sends;
    exchange.extraSends += extra ? 1 : 0;
    leg.hedgeAt =
        exchange.isRepeatable() && leg.sends < route.attempts ? now + untilHedge : Base::Instant::max();
    actions_.emplace_back(SendAttempt {attemptId, id, backend, exchange.deadline - now});
}

/// Time until an attempt is hedged. If all servers of a few shards are slow, for example behind one slow
/// disk, a second attempt there would wait as long as the first and double the load, so it is sent only if
/// the first takes longer than its server's current latency estimate.
Base::Duration ForwardCore::hedgeDelay(Base::Instant now, const Route::RouteRule &route,
                                       const Backend &backend)
{
    auto &times = timesOf(route);
    const auto estimateMs = BackendTable::latencyEstimateMs(now, backend, times.mean());
    return std::max(times.hedgeDelay(), Base::Duration(static_cast<Base::Duration::rep>(
                                            HedgeEstimateMultiple * estimateMs * 1000.0)));
}

/// Covers a server that pauses or is slow while the others of its service answer. A second attempt is sent
/// once the first is slower than nearly all are, within the budget that all gateways share.
void ForwardCore::hedgeDueLegs(Base::Instant now, ExchangeId id, Exchange &exchange)
{
    for (std::size_t index = 0; index < exchange.legs.size(); ++index) {
        auto &leg = exchange.legs[index];
        if ((leg.state != LegState::Open && leg.state != LegState::Recovering) || now < leg.hedgeAt)
            continue;
        const auto timeLeft = exchange.deadline - now;
        const auto useful = timesOf(*exchange.facts.route).mean() * MinUsefulLatencyFraction;
        if (!mayRetry(now, exchange, leg) || std::chrono::duration<double, std::micro>(timeLeft) < useful) {
            leg.hedgeAt = Base::Instant::max();
            if (leg.open == 0 && !beginRecovery(now, exchange, leg))
                leg.state = LegState::Closed;
            continue;
        }
        if (!sendExtra(now, id, exchange, index))
            leg.hedgeAt = now + ExtraAttemptRetryInterval;
    }
}

bool ForwardCore::sendExtra(Base::Instant now, ExchangeId id, Exchange &exchange, std::size_t legIndex)
{
    auto &leg = exchange.legs[legIndex];
    // A refused connection also loads the server, so it draws on the budget like any other attempt.
    auto &budget = budgetOf(leg.service);
    if (!budget.available())
        return false;
    const auto backend = backends_.choose(
        now, leg.service, leg.tried, connectionShare(exchange.facts.table->configuration(), leg.service),
        timesOf(*exchange.facts.route).mean(), exchange.facts.route->latencyTarget);
    // A hedge to an avoided or leaving server is unlikely to help while the first attempt may still be
    // answered.
    const bool isDoubtful =
        backend && (now < backend->avoidUntil || backend->availability(now) != Availability::Usual);
    if (backend && leg.open > 0 && isDoubtful)
        backends_.giveBackUnit(now, *backend, std::exchange(backend->unitValidUntil, std::nullopt));
    if (!backend || (leg.open > 0 && isDoubtful))
        return false;
    budget.take();
    send(now, id, exchange, legIndex, backend, true);
    return true;
}

/// Returns whether another attempt of this leg is allowed and an untried server exists.
bool ForwardCore::mayRetry(Base::Instant now, const Exchange &exchange, const Leg &leg) const
{
    if (leg.sends >= std::max(1U, exchange.facts.route->attempts))
        return false;
    if (!exchange.isRepeatable() && (leg.mayHaveRun || leg.open > 0))
        return false;
    return backends_.hasUntried(now, leg.service, leg.tried);
}

void ForwardCore::retryOrClose(Base::Instant now, ExchangeId id, Exchange &exchange, std::size_t legIndex)
{
    auto &leg = exchange.legs[legIndex];
    if (mayRetry(now, exchange, leg)) {
        if (!sendExtra(now, id, exchange, legIndex))
            leg.hedgeAt = now + ExtraAttemptRetryInterval;
        return;
    }
    if (leg.open == 0 && !beginRecovery(now, exchange, leg))
        leg.state = LegState::Closed;
}

/// Covers servers that refuse connections briefly, after a restart or while they still count connections of
/// terminated processes. Nothing has run, so they are retried with exponential backoff for a fraction of the
/// time until the deadline. Returns false once that has passed or if there is nothing to retry.
bool ForwardCore::beginRecovery(Base::Instant now, const Exchange &exchange, Leg &leg)
{
    if (leg.unreached.empty()
        || now - exchange.arrivedAt > (exchange.deadline - exchange.arrivedAt) / RecoveryTimeDivisor)
        return false;
    std::erase_if(leg.tried, [&](const BackendPointer &backend) {
        return std::find(leg.unreached.begin(), leg.unreached.end(), backend) != leg.unreached.end();
    });
    leg.unreached.clear();
    leg.recoveryBackoff = std::clamp(leg.recoveryBackoff * 2, MinRecoveryBackoff, MaxRecoveryBackoff);
    leg.hedgeAt = now + leg.recoveryBackoff;
    leg.state = LegState::Recovering;
    return true;
}

} // namespace Forward
