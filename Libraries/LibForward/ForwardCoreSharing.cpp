// Sharing of scarce room among tenants: who waits, who is refused and for whom. Load patterns: a tenant sends
// many times its usual, or callers repeat at once, while the servers are full.

#include "LibForward/ForwardCore.h"

#include <algorithm>

namespace Forward {

namespace {

/// A route without samples of its latency costs at least this, so that no claim is free.
constexpr double MinCostMs = 0.1;

} // namespace

/// Requests per second, of the tenants that have an allowance; 0 if there are no tenants at all.
double ForwardCore::meanAllowanceOf(const Route::Configuration &configuration)
{
    const auto tenants = configuration.tenantRules();
    double sum = 0.0;
    double count = 0.0;
    for (const auto &tenant : tenants) {
        sum += tenant.requestsPerSecond;
        count += tenant.requestsPerSecond > 0.0 ? 1.0 : 0.0;
    }
    return tenants.empty() ? 0.0 : count > 0.0 ? sum / count : 1.0;
}

/// Takes over the tenants of the table of a new request. Without tenants nothing is kept.
void ForwardCore::followTenants(const std::shared_ptr<const Route::RouteTable> &table)
{
    if (latestTable_ == table)
        return;
    latestTable_ = table;
    const auto tenants = table->configuration().tenantRules();
    meanAllowance_ = meanAllowanceOf(table->configuration());
    if (tenants.empty())
        fairQueues_.clear();
    for (auto &[service, queue] : fairQueues_)
        queue.setTenantCount(tenants.size());
}

FairQueue &ForwardCore::fairQueueOf(std::string_view service)
{
    const auto found = fairQueues_.find(service);
    if (found != fairQueues_.end())
        return found->second;
    auto &queue = fairQueues_[std::string(service)];
    queue.setTenantCount(latestTable_->configuration().tenantRules().size());
    return queue;
}

/// A queue that does not exist yet owes nothing to anybody.
const FairQueue &ForwardCore::queueIn(const FairQueues &queues, std::string_view service)
{
    static const FairQueue Empty;
    const auto found = queues.find(service);
    return found == queues.end() ? Empty : found->second;
}

RoomClaim ForwardCore::claimOf(Base::Instant now, ExchangeId id, const Exchange &exchange,
                               double meanAllowance) const
{
    RoomClaim claim;
    claim.rank = exchange.facts.rank();
    if (const auto *tenant = exchange.facts.tenant; tenant != nullptr) {
        claim.tenant = tenant->name;
        // A tenant without an allowance counts as an average one.
        if (tenant->requestsPerSecond > 0.0)
            claim.weight = tenant->requestsPerSecond / meanAllowance;
    }
    const auto mean = expectedLatency(*exchange.facts.route);
    claim.costMs = std::max(MinCostMs, Base::toMilliseconds(mean));
    claim.late = !canMeetTarget(now, exchange, mean);
    claim.nothingSent = exchange.sends == 0;
    claim.deadline = exchange.deadline;
    claim.id = id;
    return claim;
}

/// Claims of the waiting legs. They refer to names in the tables of their exchanges.
ForwardCore::ClaimsByService ForwardCore::claimsWaiting(Base::Instant now, double meanAllowance) const
{
    ClaimsByService claims;
    for (const auto &waiting : waiting_) {
        const auto &exchange = exchanges_.at(waiting.exchange);
        claims[exchange.legs[waiting.leg].service].push_back(
            claimOf(now, waiting.exchange, exchange, meanAllowance));
    }
    return claims;
}

/// Empty if nothing waits for the service.
std::span<const RoomClaim> ForwardCore::claimsAt(const ClaimsByService &claims, std::string_view service)
{
    const auto found = claims.find(service);
    return found == claims.end() ? std::span<const RoomClaim>() : found->second;
}

/// Estimated time until the claim's fair turn.
Base::Duration ForwardCore::fairWait(Base::Instant now, const Exchange &exchange, std::string_view service,
                                     const RoomClaim &claim, std::span<const RoomClaim> waiting,
                                     const FairQueue &queue) const
{
    const auto mean = expectedLatency(*exchange.facts.route);
    const auto rate = backends_.attemptsPerMillisecond(
        now, service, connectionShare(exchange.facts.table->configuration(), service), mean);
    if (rate <= 0.0)
        return exchange.deadline - now;
    const auto room = rate * std::max(MinCostMs, Base::toMilliseconds(mean));
    const auto waitMs = queue.costAheadMs(claim, waiting) / room;
    return Base::Duration(static_cast<Base::Duration::rep>(waitMs * 1000.0));
}

/// Whether too many legs of a request of which nothing was sent would get their turn past its time limit.
bool ForwardCore::waitsPastLimit(Base::Instant now, ExchangeId id, const Exchange &exchange,
                                 const SharingView &view) const
{
    const auto claim = claimOf(now, id, exchange, view.meanAllowance);
    std::size_t inTime = 0;
    for (const auto &leg : exchange.legs) {
        if (backends_.eligibleCount(now, leg.service) == 0)
            continue;
        const auto others = claimsAt(view.waiting, leg.service);
        const auto wait = [&] {
            return fairWait(now, exchange, leg.service, claim, others, queueIn(view.queues, leg.service));
        };
        inTime += others.empty() || now + wait() < exchange.latestStart() ? 1 : 0;
    }
    return static_cast<double>(inTime) < exchange.legsNeeded();
}

/// Counts a new request as demand, and returns why it must be refused if its fair turn would come too late.
/// What others have waiting beyond their share does not count against it.
std::optional<Refusal> ForwardCore::refuseFairly(ExchangeId id, Exchange &exchange,
                                                 const ServiceCounts &counts)
{
    const auto now = exchange.arrivedAt;
    timesOf(*exchange.facts.route); // From now on, its latency is known.
    const auto claim = claimOf(now, id, exchange, meanAllowance_);
    for (const auto &leg : exchange.legs)
        fairQueueOf(leg.service).recordArrival(now, claim);
    if (waiting_.empty())
        return std::nullopt;
    const auto waiting = claimsWaiting(now, meanAllowance_);
    const auto refusal = findLateTurn(id, exchange, counts, sharing(waiting));
    if (!refusal)
        return std::nullopt;
    exchange.sharing.result = SharingRecord::Result::Refused;
    exchange.sharing.tenant = claim.tenant;
    exchange.sharing.aboveShare =
        std::any_of(exchange.legs.begin(), exchange.legs.end(), [&](const Leg &leg) {
            const auto others = claimsAt(waiting, leg.service);
            return !others.empty() && fairQueueOf(leg.service).isAboveShare(claim, others);
        });
    return refusal;
}

/// Charges what a new request has sent at once, and sees to those that its waiting legs delay. `before` is
/// what waited before it.
void ForwardCore::shareRoom(Base::Instant now, ExchangeId id, Exchange &exchange,
                            const ClaimsByService &before)
{
    const auto claim = claimOf(now, id, exchange, meanAllowance_);
    bool waits = false;
    for (const auto &leg : exchange.legs) {
        const auto others = claimsAt(before, leg.service);
        if (leg.state == LegState::Open)
            fairQueueOf(leg.service).recordSent(claim, others);
        if (leg.state != LegState::Waiting)
            continue;
        waits = true;
        exchange.sharing.aboveShare =
            exchange.sharing.aboveShare || fairQueueOf(leg.service).isAboveShare(claim, others);
    }
    if (!waits)
        return;
    exchange.sharing.result = SharingRecord::Result::Waited;
    exchange.sharing.tenant = claim.tenant;
    makeRoom(now, id, exchange, claimsWaiting(now, meanAllowance_));
}

/// Refuses the last request in the order of the tenant that is furthest above its share, if it would get its
/// turn past its limit now that the new request `id` waits too. At most one for each new request, as each
/// takes the place of one.
void ForwardCore::makeRoom(Base::Instant now, ExchangeId id, const Exchange &exchange,
                           const ClaimsByService &waiting)
{
    const auto claim = claimOf(now, id, exchange, meanAllowance_);
    for (const auto &leg : exchange.legs) {
        if (leg.state != LegState::Waiting)
            continue;
        const auto &claims = waiting.at(leg.service);
        const auto index = fairQueueOf(leg.service).furthestAboveShare(claim.rank, claims);
        if (!index || claims[*index].id == id)
            continue;
        const auto last = exchanges_.find(claims[*index].id);
        if (!waitsPastLimit(now, last->first, last->second, sharing(waiting)))
            continue;
        const bool forOther = claims[*index].tenant != claim.tenant;
        auto &record = last->second.sharing;
        record.result = forOther ? SharingRecord::Result::RefusedForOther : SharingRecord::Result::Refused;
        record.aboveShare = true;
        auto outcome = failedOutcome(now, last->second, Base::ErrorKind::Overloaded,
                                     forOther ? "refused for a tenant below its share"
                                              : "refused for newer requests of its tenant, which is above "
                                                "its share");
        return finish(now, last->first, last->second, std::move(outcome));
    }
}

/// Dispatches the waiting legs of each service in their fair order, until its servers are full.
void ForwardCore::dispatchFairly(Base::Instant now)
{
    struct Queue
    {
        std::vector<RoomClaim> claims;
        std::vector<WaitingLeg> legs;
    };
    std::map<std::string_view, Queue> queues;
    // Claims refer to names in these, also once their exchanges have ended.
    std::vector<std::shared_ptr<const Route::RouteTable>> tables;
    for (const auto &waiting : std::exchange(waiting_, {})) {
        const auto &exchange = exchanges_.at(waiting.exchange);
        if (tables.empty() || tables.back() != exchange.facts.table)
            tables.push_back(exchange.facts.table);
        auto &queue = queues[exchange.legs[waiting.leg].service];
        queue.claims.push_back(claimOf(now, waiting.exchange, exchange, meanAllowance_));
        queue.legs.push_back(waiting);
    }
    for (auto &[service, queue] : queues) {
        auto &shares = fairQueueOf(service);
        while (const auto index = shares.next(queue.claims)) {
            const auto position = static_cast<std::ptrdiff_t>(*index);
            const auto waiting = queue.legs[*index];
            const auto claim = queue.claims[*index];
            queue.legs.erase(queue.legs.begin() + position);
            queue.claims.erase(queue.claims.begin() + position);
            const auto owner = exchanges_.find(waiting.exchange);
            if (owner == exchanges_.end())
                continue;
            if (claim.nothingSent && now + meanLatency(owner->second.facts.route->name) > claim.deadline) {
                finish(now, waiting.exchange, owner->second,
                       failedOutcome(now, owner->second, Base::ErrorKind::Overloaded,
                                     "its turn came too late to be done by its deadline"));
                continue;
            }
            const bool sent = dispatch(now, waiting.exchange, owner->second, waiting.leg);
            if (sent)
                shares.recordSent(claim, queue.claims);
            const bool full = owner->second.legs[waiting.leg].state == LegState::Waiting;
            concludeDispatched(now, waiting.exchange, waiting.leg);
            if (!full)
                continue;
            std::copy_if(queue.legs.begin(), queue.legs.end(), std::back_inserter(waiting_),
                         [this](const WaitingLeg &other) { return exchanges_.contains(other.exchange); });
            break;
        }
    }
}

} // namespace Forward
