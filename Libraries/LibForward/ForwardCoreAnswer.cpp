// Completion of exchanges: when an exchange ends, and the answer to its caller.

#include "LibForward/ForwardCore.h"
#include "LibForward/GatherPolicy.h"
#include "LibForward/TopRecords.h"

#include <algorithm>
#include <fmt/format.h>

namespace Forward {

namespace {

/// Callers are told to retry after one to two times this value if nothing else is known. Short enough for a
/// retry within the usual latency targets.
constexpr Base::Duration MinRetryAfter = Base::milliseconds(100);
/// A longer Retry-After is spread over this fraction of it.
constexpr int RetrySpreadDivisor = 5;
/// Shards named in one log line.
constexpr std::size_t MaxShardsLogged = 6;

} // namespace

/// Ends the exchange if there is nothing left worth waiting for. Returns whether it ended.
bool ForwardCore::concludeIfDecided(Base::Instant now, ExchangeId id, Exchange &exchange, bool early)
{
    return exchange.isGather() ? concludeGather(now, id, exchange, early) : concludeSingle(now, id, exchange);
}

bool ForwardCore::concludeGather(Base::Instant now, ExchangeId id, Exchange &exchange, bool early)
{
    GatherProgress progress;
    progress.total = exchange.legs.size();
    progress.minimumCoverage = exchange.facts.route->gather->minimumCoverage;
    progress.answerBy = exchange.answerBy;
    progress.lateUnlessNow = early ? exchange.facts.callerDelay.lookUpShare : 0.0;
    bool mayHaveRun = false;
    for (const auto &leg : exchange.legs) {
        progress.present += leg.state == LegState::Present ? 1 : 0;
        progress.pending += leg.state == LegState::Open || leg.state == LegState::Waiting ? 1 : 0;
        progress.recovering += leg.state == LegState::Recovering ? 1 : 0;
        mayHaveRun = mayHaveRun || leg.mayHaveRun || leg.open > 0 || leg.state == LegState::Present;
    }
    const bool expired = now >= exchange.deadline;
    if (expired) {
        progress.pending = 0;
        progress.recovering = 0;
    }
    const auto decision = decideGather(progress, now);
    if (decision == GatherDecision::Wait)
        return false;
    if (decision == GatherDecision::Answer) {
        auto outcome = gatheredOutcome(exchange);
        if (progress.pending > 0) {
            const bool beforeTarget = early && now < exchange.answerBy;
            outcome.dueAt = beforeTarget ? exchange.answerEarlyBy : exchange.answerBy;
            outcome.cause = beforeTarget ? "answered early to allow for the time of a possible caller look-up"
                                         : "answered without the missing parts to meet the latency target";
        }
        finish(now, id, exchange, std::move(outcome));
        return true;
    }
    const auto kind = !mayHaveRun ? Base::ErrorKind::Overloaded
                      : expired   ? Base::ErrorKind::DeadlineExceeded
                                  : Base::ErrorKind::BackendFailed;
    finish(now, id, exchange,
           failedOutcome(now, exchange, kind,
                         fmt::format("only {} of {} parts arrived", progress.present, progress.total)));
    return true;
}

bool ForwardCore::concludeSingle(Base::Instant now, ExchangeId id, Exchange &exchange)
{
    const auto &leg = exchange.legs.front();
    const bool expired = now >= exchange.deadline;
    if (leg.state != LegState::Closed && !expired)
        return false;
    if (exchange.fallback && leg.state == LegState::Closed) {
        Outcome outcome;
        outcome.kind = Outcome::Kind::Relay;
        outcome.response = std::move(*exchange.fallback);
        outcome.cause = "the backend server answered with an error status";
        finish(now, id, exchange, std::move(outcome));
        return true;
    }
    auto kind = Base::ErrorKind::Overloaded;
    if (leg.mayHaveRun || leg.open > 0)
        kind = expired ? Base::ErrorKind::DeadlineExceeded : Base::ErrorKind::BackendReplyLost;
    finish(now, id, exchange, failedOutcome(now, exchange, kind, std::string(leg.failure)));
    return true;
}

Outcome ForwardCore::gatheredOutcome(Exchange &exchange) const
{
    Outcome outcome;
    outcome.kind = Outcome::Kind::Gathered;
    std::vector<std::string_view> parts;
    for (auto &leg : exchange.legs) {
        if (leg.state != LegState::Present) {
            ++outcome.missingParts;
            if (outcome.missingParts <= MaxShardsLogged)
                outcome.lackingShards += fmt::format("{}:{},", leg.service, leg.failure);
            continue;
        }
        parts.push_back(leg.body);
        outcome.partProofs.push_back(leg.proof);
    }
    outcome.response.status = 200;
    outcome.response.body = mergeTopRecords(parts, exchange.facts.route->gather->recordLimit);
    return outcome;
}

/// Time after which a refused request may be served: if it lacks services whose servers have all asked for a
/// pause, when enough of them accept work again. Spread, so that callers refused together do not return
/// together.
Base::Duration ForwardCore::retryDelay(Base::Instant now, const Exchange &exchange)
{
    std::vector<Base::Instant> ends;
    std::size_t unavailable = 0;
    for (const auto &leg : exchange.legs) {
        if (leg.state == LegState::Present || backends_.eligibleCount(now, leg.service) > 0)
            continue;
        if (const auto end = backends_.resumesAt(now, leg.service))
            ends.push_back(*end);
        else
            ++unavailable;
    }
    const auto coverage = exchange.isGather() ? exchange.facts.route->gather->minimumCoverage : 1.0;
    const auto dispensable =
        static_cast<std::size_t>((1.0 - coverage) * static_cast<double>(exchange.legs.size()));
    const auto lacking = ends.size() + unavailable;
    Base::Duration wait {};
    if (!ends.empty() && lacking > dispensable) {
        std::sort(ends.begin(), ends.end());
        wait = ends[std::min(lacking - dispensable, ends.size()) - 1] - now;
    }
    const auto spread = std::max(MinRetryAfter, wait / RetrySpreadDivisor);
    return std::max(wait, MinRetryAfter)
           + Base::Duration(
               static_cast<Base::Duration::rep>(random_.below(static_cast<std::uint64_t>(spread.count()))));
}

Outcome ForwardCore::failedOutcome(Base::Instant now, const Exchange &exchange, Base::ErrorKind kind,
                                   std::string cause)
{
    Outcome outcome;
    outcome.error = kind;
    outcome.cause = std::move(cause);
    if (Base::errorAnswer(kind).runState == Base::RunState::NotRun)
        outcome.retryAfter = retryDelay(now, exchange);
    std::size_t named = 0;
    for (const auto &leg : exchange.legs) {
        if (leg.state != LegState::Present && ++named <= MaxShardsLogged)
            outcome.lackingShards += fmt::format("{}:{},", leg.service, leg.failure);
    }
    return outcome;
}

} // namespace Forward
