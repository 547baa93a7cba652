// Units of the tenants' allowances: a request that is handed to the core holds one.

#include "LibAllowance/AllowanceKey.h"
#include "Services/Gateway/Forwarder.h"

#include <algorithm>

namespace Services {

namespace {

using Importance = Base::EventLog::Importance;
using Kind = Allowance::Taking::Kind;

/// A request waits for the leader for a fraction of its latency target, so that a refusal still leaves time
/// for a new attempt.
constexpr int TargetPerUnitWait = 5;
constexpr Base::Duration MaxUnitWait = Base::milliseconds(300);
/// Bytes of requests that wait for units. Load pattern: large bodies of a tenant while no leader answers.
constexpr std::size_t MaxWaitingBytes = std::size_t {4} * 1024 * 1024;
/// The next leader is found within about this time; callers come back spread over the same time.
constexpr Base::Duration LeaderRetryAfter = Base::milliseconds(500);

std::size_t sizeOf(const Edge::RequestMessage &request)
{
    auto size = sizeof(request) + request.target.size() + request.body.size();
    for (const auto &[name, value] : request.headers)
        size += sizeof(Http::Header) + name.size() + value.size();
    return size;
}

} // namespace

void Forwarder::setAllowances(AllowanceClient *allowances)
{
    allowances_ = allowances;
    if (allowances_ != nullptr)
        allowances_->setDecisionHandler([this](Allowance::WaiterId waiter, Allowance::Taking taking) {
            unitDecided(waiter, std::move(taking));
        });
}

bool Forwarder::needsUnit(const Route::TenantRule *tenant) const
{
    return tenant != nullptr && tenant->requestsPerSecond > 0.0 && allowances_ != nullptr;
}

/// Until when a request of `size` bytes may wait for a unit.
Base::Instant Forwarder::unitPatienceEnd(Base::Instant now, const Route::RouteRule &route,
                                         std::size_t size) const
{
    const bool mayWait = bytesWaitingForUnits_ + size <= MaxWaitingBytes;
    return mayWait ? now + std::min(route.latencyTarget / TargetPerUnitWait, MaxUnitWait) : now;
}

/// Empty if the request needs no unit.
std::optional<Allowance::Taking::Kind> Forwarder::foreseeUnit(Base::Instant now, const Judgement &judgement,
                                                              const ExplainQuestion &question) const
{
    if (!needsUnit(judgement.tenant))
        return std::nullopt;
    const auto size = sizeof(Edge::RequestMessage) + question.path.size() + question.size;
    return allowances_->stock().foresee(now, Allowance::tenantKey(judgement.tenant->name),
                                        unitPatienceEnd(now, *judgement.route, size));
}

/// Of a request without a unit.
Forward::Refusal Forwarder::unitRefusal(Allowance::Taking::Kind kind)
{
    if (kind == Kind::OverLimit)
        return {Base::ErrorKind::TenantOverLimit, "the tenant's allowance is used up"};
    return {Base::ErrorKind::ControlUnavailable, "no leader divides the allowances"};
}

/// Returns false if the request was refused or waits; a request that waits comes back through handle(), so
/// that what has changed meanwhile holds for it.
bool Forwarder::obtainUnit(Edge::RequestMessage &request, const Edge::CallerExchange &caller,
                           const Route::RouteRule &route, const Route::TenantRule *tenant, HeldUnit &held)
{
    if (!needsUnit(tenant))
        return true;
    const auto key = Allowance::tenantKey(tenant->name);
    if (resumed_ && resumed_->unit.key == key) {
        held = *std::exchange(resumed_, std::nullopt);
        return true;
    }
    const auto now = clock_.now();
    const auto size = sizeOf(request);
    auto taking = allowances_->take(now, key, unitPatienceEnd(now, route, size));
    if (taking.kind == Kind::Granted) {
        held.unit = std::move(taking.unit);
        return true;
    }
    if (taking.kind != Kind::Waiting) {
        refuseUnit(request, caller, {route.name, tenant->name, {}}, taking);
        return false;
    }
    const auto waiter = taking.waiter;
    waitingForUnits_.emplace(
        waiter, UnitWaiter {std::move(request), caller, {route.name, tenant->name, {}}, now, size});
    bytesWaitingForUnits_ += size;
    caller.onCallerLeft([this, waiter] {
        allowances_->abandon(waiter);
        takeUnitWaiter(waiter);
    });
    return false;
}

std::optional<Forwarder::UnitWaiter> Forwarder::takeUnitWaiter(Allowance::WaiterId waiter)
{
    auto node = waitingForUnits_.extract(waiter);
    if (!node)
        return std::nullopt;
    bytesWaitingForUnits_ -= node.mapped().size;
    return std::move(node.mapped());
}

void Forwarder::unitDecided(Allowance::WaiterId waiter, Allowance::Taking taking)
{
    auto found = takeUnitWaiter(waiter);
    const auto now = clock_.now();
    if (found && taking.kind != Kind::Granted) {
        auto details = found->details;
        details.waited = now - found->arrivedAt;
        return refuseUnit(found->request, found->caller, details, taking);
    }
    if (found) {
        found->caller.onCallerLeft({});
        resumed_ = HeldUnit {std::move(taking.unit), now - found->arrivedAt};
        handle(std::move(found->request), found->caller);
    } else if (taking.kind == Kind::Granted) {
        resumed_ = HeldUnit {std::move(taking.unit), {}};
    }
    // The caller has left, or the request is refused by what holds now.
    if (resumed_)
        giveBackUnit(*std::exchange(resumed_, std::nullopt));
}

void Forwarder::giveBackUnit(const HeldUnit &held)
{
    if (!held.unit.key.empty())
        allowances_->giveBack(clock_.now(), held.unit.key, held.unit.validUntil);
}

void Forwarder::settleUnitOfGone(Forward::ExchangeId id, bool notRun)
{
    const auto node = unitsOfGone_.extract(id);
    if (node && notRun)
        giveBackUnit(node.mapped());
}

void Forwarder::refuseUnit(const Edge::RequestMessage &request, const Edge::CallerExchange &caller,
                           const UnitDetails &details, const Allowance::Taking &taking)
{
    const auto now = clock_.now();
    const bool overLimit = taking.kind == Kind::OverLimit;
    const auto [error, cause] = unitRefusal(taking.kind);
    const auto retryAfter = overLimit
                                ? taking.retryAfter
                                : LeaderRetryAfter + Base::Duration(random_.below(LeaderRetryAfter.count()));
    const std::string requestId(request.header(adapter_.headers().requestId));
    caller.respond(refusalOf(requestId, error, retryAfter));
    metrics_.requestAnswered(details.route, std::string(Base::errorName(error)), details.waited);
    // A tenant far above its limit must not use up the lines about failures.
    events_.write(now, overLimit ? Importance::Routine : Importance::Notable, "request_answered",
                  {{"request", requestId},
                   {"route", details.route},
                   {"tenant", details.tenant},
                   {"outcome", Base::errorName(error)},
                   {"status", Base::errorAnswer(error).httpStatus},
                   {"ms", Base::toMilliseconds(details.waited)},
                   {"retry_after_ms", Base::toMilliseconds(retryAfter)},
                   {"configuration_version", table_ ? table_->version() : 0},
                   {"cause", cause}});
}

/// Before endAll() ends the requests that the core knows.
void Forwarder::endUnitWaiters()
{
    if (allowances_ != nullptr)
        allowances_->abandonAll();
}

} // namespace Services
