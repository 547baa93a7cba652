// Placing: which server gets a leg, when it is sent a second time, and what waits.

#include "LibForward/ForwardCore.h"

#include <algorithm>
#include <tuple>

namespace Forward {

namespace {

/// Connections that the gateways hold together, as a fraction of what a server accepts. The rest is left to
/// gateways that have just started and are not counted yet.
constexpr double ConnectionUse = 0.85;
/// Fraction of the deployment's budget for extra arrivals that the gateways plan with. The rest covers
/// gateways that restart within one window.
constexpr double BudgetUse = 0.8;
/// Time until a second attempt is considered again when budget or connections were lacking.
constexpr Base::Duration RetryPause = Base::milliseconds(15);
/// Pauses between rounds over servers that could not be reached.
constexpr Base::Duration MinRecoveryPause = Base::milliseconds(40);
constexpr Base::Duration MaxRecoveryPause = Base::milliseconds(160);
/// Fraction of the caller's time that is spent on them; the rest is left for a try elsewhere.
constexpr int RecoveryShare = 3;
/// A reply that takes longer than its server's usual time by this factor is late for a reason of its own.
constexpr double HedgeUsualMultiple = 1.5;
/// A second attempt that has less time than this fraction of the mean latency cannot help.
constexpr double LeastUsefulTime = 0.7;

} // namespace

std::uint32_t ForwardCore::connectionShare(const Route::Configuration &configuration,
                                           std::string_view service) const
{
    const auto found = configuration.services.find(service);
    const double limit = found == configuration.services.end() ? 1.0 : found->second.maxConnections;
    const auto share = ConnectionUse * limit / static_cast<double>(gatewayCount_);
    return std::max(1U, static_cast<std::uint32_t>(share));
}

double ForwardCore::maxExtraTokens() const
{
    return std::max(1.0, BudgetUse * options_.extraLoadSlack / static_cast<double>(gatewayCount_));
}

double ForwardCore::extraTokensPerRequest() const
{
    return BudgetUse * options_.extraLoadRatio;
}

Query::ExtraLoadBudget &ForwardCore::budgetOf(std::string_view service)
{
    // A new process starts with half: the one that it replaces may have spent the rest in this window.
    return budgets_
        .try_emplace(std::string(service), Query::ExtraLoadBudget(maxExtraTokens(), maxExtraTokens() / 2))
        .first->second;
}

/// Counts by service what waits already and is no less urgent than the exchange.
std::unordered_map<std::string_view, std::size_t> ForwardCore::waitingAhead(const Exchange &exchange) const
{
    std::unordered_map<std::string_view, std::size_t> counts;
    for (const auto &waiting : waiting_) {
        const auto &other = exchanges_.at(waiting.exchange);
        if (other.facts.route->rank <= exchange.facts.route->rank)
            ++counts[other.legs[waiting.leg].service];
    }
    return counts;
}

/// Time until a new attempt would leave this gateway, behind `ahead` others for the same service.
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

/// Sends the first attempt of a leg, or lets it wait for a connection. Returns true when it was sent.
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
    if (backends_.eligibleCount(leg.service) == 0) {
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

/// Tells whether a first attempt that leaves now can still be answered within the latency target.
bool ForwardCore::canBeInTime(Base::Instant now, const Exchange &exchange) const
{
    return now + meanLatency(exchange.facts.route->name) <= exchange.answerBy;
}

/// Load pattern: more work than slots. The most urgent rank goes first, within it what can still be in time,
/// and then what must end first. Without the second rule all requests of an overload would be just late.
void ForwardCore::dispatchWaiting(Base::Instant now)
{
    if (waiting_.empty())
        return;
    const auto urgency = [this, now](const WaitingLeg &waiting) {
        const auto &exchange = exchanges_.at(waiting.exchange);
        return std::tuple(exchange.facts.route->rank, !canBeInTime(now, exchange), exchange.deadline);
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
        // The leg may have closed, and with it the exchange.
        if (owner->second.legs[waiting.leg].state == LegState::Closed) {
            const auto id = waiting.exchange;
            if (!concludeIfDecided(now, id, owner->second))
                scheduleReview(id, owner->second);
        } else {
            scheduleReview(waiting.exchange, owner->second);
        }
    }
}

void ForwardCore::send(Base::Instant now, ExchangeId id, Exchange &exchange, std::size_t legIndex,
                       const BackendPointer &backend, bool extra)
{
    auto &leg = exchange.legs[legIndex];
    const auto &route = *exchange.facts.route;
    const auto attemptId = ++lastId_;
    attempts_.emplace(attemptId, Attempt {id, legIndex, backend, now, route.name});
    const auto untilHedge = hedgeDelay(now, route, *backend);
    BackendTable::noteSent(*backend, now);
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

/// Load pattern: all servers of a few shards are slow, for example behind one slow disk. A second attempt
/// there would wait as long as the first and double the load, so it goes out only when the first takes longer
/// than its server's replies usually do by now.
Base::Duration ForwardCore::hedgeDelay(Base::Instant now, const Route::RouteRule &route,
                                       const Backend &backend)
{
    auto &times = timesOf(route);
    const auto usual = BackendTable::usualMilliseconds(now, backend, times.mean());
    return std::max(times.hedgeDelay(),
                    Base::Duration(static_cast<Base::Duration::rep>(HedgeUsualMultiple * usual * 1000.0)));
}

/// Load pattern: a server pauses or is slow while the others of its service answer. A second attempt goes out
/// once the first is slower than nearly all are, within the budget that all gateways share.
void ForwardCore::hedgeDueLegs(Base::Instant now, ExchangeId id, Exchange &exchange)
{
    for (std::size_t index = 0; index < exchange.legs.size(); ++index) {
        auto &leg = exchange.legs[index];
        if ((leg.state != LegState::Open && leg.state != LegState::Recovering) || now < leg.hedgeAt)
            continue;
        const auto timeLeft = exchange.deadline - now;
        const auto useful = timesOf(*exchange.facts.route).mean() * LeastUsefulTime;
        if (!mayRetry(exchange, leg) || std::chrono::duration<double, std::micro>(timeLeft) < useful) {
            leg.hedgeAt = Base::Instant::max();
            if (leg.open == 0 && !beginRecovery(now, exchange, leg))
                leg.state = LegState::Closed;
            continue;
        }
        if (!sendExtra(now, id, exchange, index))
            leg.hedgeAt = now + RetryPause;
    }
}

bool ForwardCore::sendExtra(Base::Instant now, ExchangeId id, Exchange &exchange, std::size_t legIndex)
{
    auto &leg = exchange.legs[legIndex];
    // A refused connection is load on the server as well, so it draws on the budget like any other attempt.
    auto &budget = budgetOf(leg.service);
    if (!budget.available())
        return false;
    const auto backend = backends_.choose(
        now, leg.service, leg.tried, connectionShare(exchange.facts.table->configuration(), leg.service),
        timesOf(*exchange.facts.route).mean(), exchange.facts.route->latencyTarget);
    // Another server that is known to fail brings nothing while the first one may still answer.
    if (!backend || (leg.open > 0 && now < backend->avoidUntil))
        return false;
    budget.take();
    send(now, id, exchange, legIndex, backend, true);
    return true;
}

/// Tells whether another attempt of this leg is allowed and could have a server.
bool ForwardCore::mayRetry(const Exchange &exchange, const Leg &leg) const
{
    if (leg.sends >= std::max(1U, exchange.facts.route->attempts))
        return false;
    if (!exchange.isRepeatable() && (leg.mayHaveRun || leg.open > 0))
        return false;
    return leg.tried.size() < backends_.eligibleCount(leg.service);
}

void ForwardCore::retryOrClose(Base::Instant now, ExchangeId id, Exchange &exchange, std::size_t legIndex)
{
    auto &leg = exchange.legs[legIndex];
    if (mayRetry(exchange, leg)) {
        if (!sendExtra(now, id, exchange, legIndex))
            leg.hedgeAt = now + RetryPause;
        return;
    }
    if (leg.open == 0 && !beginRecovery(now, exchange, leg))
        leg.state = LegState::Closed;
}

/// Load pattern: servers refuse connections for a moment, as after a restart or while they still count
/// connections of processes that are gone. Nothing has run, so they are tried again with growing pauses for a
/// part of the caller's time. Returns false when that is over or there is nothing to try again.
bool ForwardCore::beginRecovery(Base::Instant now, const Exchange &exchange, Leg &leg)
{
    if (leg.unreached.empty()
        || now - exchange.arrivedAt > (exchange.deadline - exchange.arrivedAt) / RecoveryShare)
        return false;
    std::erase_if(leg.tried, [&](const BackendPointer &backend) {
        return std::find(leg.unreached.begin(), leg.unreached.end(), backend) != leg.unreached.end();
    });
    leg.unreached.clear();
    leg.recoveryPause = std::clamp(leg.recoveryPause * 2, MinRecoveryPause, MaxRecoveryPause);
    leg.hedgeAt = now + leg.recoveryPause;
    leg.state = LegState::Recovering;
    return true;
}

} // namespace Forward
