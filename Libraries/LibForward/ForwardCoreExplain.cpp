// Tells what begin() would do, by the functions that it decides with.

#include "LibForward/ForwardCore.h"

#include <algorithm>

namespace Forward {

/// `ahead` counts what waits at least as urgently.
LegExplanation ForwardCore::explainLeg(const Exchange &exchange, std::string_view service,
                                       const Counts &ahead, const SharingView &view) const
{
    const auto now = exchange.arrivedAt;
    const auto &route = *exchange.facts.route;
    const auto mean = expectedLatency(route);
    LegExplanation explained;
    explained.service = service;
    explained.connectionShare = connectionShare(exchange.facts.table->configuration(), service);
    explained.servers =
        backends_.standings(now, service, explained.connectionShare, mean, route.latencyTarget);
    explained.accepting = backends_.eligibleCount(now, service);
    for (const auto &standing : explained.servers) {
        if (standing.obstacle == Obstacle::None)
            explained.freeAttempts += standing.limit - std::min(standing.limit, standing.open);
    }
    explained.attemptsPerSecond =
        1000.0 * backends_.attemptsPerMillisecond(now, service, explained.connectionShare, mean);
    if (!explained.servers.empty() && explained.servers.front().obstacle == Obstacle::None)
        explained.fate = LegExplanation::Fate::Sent;
    else if (explained.accepting > 0)
        explained.fate = LegExplanation::Fate::Waits;
    if (view.sharesFairly()) {
        const auto claim = claimOf(now, lastId_ + 1, exchange, view.meanAllowance);
        const auto &queue = queueIn(view.queues, service);
        const auto others = claimsAt(view.waiting, service);
        explained.expectedWait = fairWait(now, exchange, service, claim, others, queue);
        explained.aboveShare = queue.isAboveShare(claim, others);
    } else {
        const auto found = ahead.find(service);
        explained.expectedWait = expectedWait(exchange, service, found == ahead.end() ? 0 : found->second);
    }
    return explained;
}

Explanation ForwardCore::explain(Base::Instant now, const RequestFacts &facts) const
{
    const auto &route = *facts.route;
    auto exchange = makeExchange(now, facts);
    Explanation explanation;
    explanation.rank = facts.rank();
    explanation.meanLatency = expectedLatency(route);
    std::string_view target;
    if (!exchange.isGather()) {
        for (const auto &[service, weight] : route.targets)
            explanation.targets.push_back({service, weight, false});
        std::size_t next = 0;
        if (route.targets.size() > 1) {
            const auto found = splitCredits_.find(route.name);
            explanation.isSplitKnown =
                found != splitCredits_.end() && found->second.size() == route.targets.size();
            auto credits =
                explanation.isSplitKnown ? found->second : std::vector<double>(route.targets.size(), 0.0);
            next = nextTarget(route, credits);
        }
        explanation.targets[next].next = true;
        target = explanation.targets[next].service;
    }
    addLegs(exchange, target);
    explanation.legsNeeded = exchange.legsNeeded();
    // The request counts as demand before its turn is estimated, so the queues are copies.
    const auto &configuration = facts.table->configuration();
    const auto meanAllowance = meanAllowanceOf(configuration);
    FairQueues queues;
    ClaimsByService waiting;
    if (meanAllowance > 0.0) {
        const auto claim = claimOf(now, lastId_ + 1, exchange, meanAllowance);
        for (const auto &leg : exchange.legs) {
            auto &queue =
                queues.try_emplace(std::string(leg.service), queueIn(fairQueues_, leg.service)).first->second;
            queue.setTenantCount(configuration.tenantRules().size());
            queue.recordArrival(now, claim);
        }
        waiting = claimsWaiting(now, meanAllowance);
    }
    const SharingView view {meanAllowance, queues, waiting};
    const auto counts = countServices(exchange, view.sharesFairly());
    explanation.refusal = findUnfinishable(exchange);
    if (!explanation.refusal)
        explanation.refusal = findUnservable(exchange, counts);
    if (!explanation.refusal)
        explanation.refusal = findLateTurn(lastId_ + 1, exchange, counts, view);
    explanation.isProbe = !explanation.refusal && needsProbe(exchange, counts);
    Counts allWaiting;
    for (const auto &other : waiting_)
        ++allWaiting[exchanges_.at(other.exchange).legs[other.leg].service];
    const auto ahead = waitingAhead(exchange);
    explanation.legs.reserve(exchange.legs.size());
    for (const auto &leg : exchange.legs) {
        explanation.legs.push_back(explainLeg(exchange, leg.service, ahead, view));
        const auto found = allWaiting.find(leg.service);
        explanation.legs.back().waiting = found == allWaiting.end() ? 0 : found->second;
    }
    return explanation;
}

} // namespace Forward
