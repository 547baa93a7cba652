#include "LibAllowance/AllowanceStock.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Allowance {

namespace {

using Seconds = std::chrono::duration<double>;

/// Time over which demand is averaged; stocks follow a change within a few hundred milliseconds.
constexpr Seconds DemandTime {1.0};
/// A key whose demand has faded to this is forgotten.
constexpr double NoDemand = 0.01;
/// A stock covers the demand of a part of the validity of its units, so that few of them end unused.
constexpr int ValidityPerStock = 4;
constexpr Base::Duration MaxStockTime = Base::milliseconds(500);
/// Upper bounds on what a reply may say, so that a wrong one does little harm.
constexpr std::uint32_t MaxValidityMs = 10'000;
constexpr std::uint32_t MaxRetryMs = 10'000;
/// Limits of one call; the divider refuses larger ones.
constexpr std::size_t MaxAsksPerCall = 128;
constexpr std::uint32_t MaxUnitsPerAsk = 2'000;
/// Immediate takes that find nothing choose something else, so most of them need no unit later.
constexpr std::uint32_t MaxMissed = 4;
/// Pause after a call that failed.
constexpr Base::Duration FailedCallPause = Base::milliseconds(50);
/// Callers that were told the longest time spread over this fraction of it.
constexpr double RetrySpread = 0.25;

} // namespace

AllowanceStock::Entry *AllowanceStock::entryFor(Base::Instant now, std::string_view key)
{
    const auto found = entries_.find(key);
    if (found != entries_.end())
        return &found->second;
    if (entries_.size() >= MaxKeys)
        sweep(now);
    if (entries_.size() >= MaxKeys)
        return nullptr;
    const auto added = entries_.emplace(std::string(key), Entry {}).first;
    added->second.key = added->first;
    added->second.demandAt = now;
    return &added->second;
}

double AllowanceStock::demandAt(Base::Instant now, const Entry &entry)
{
    return entry.demand * std::exp(-(Seconds(now - entry.demandAt) / DemandTime));
}

void AllowanceStock::noteDemand(Base::Instant now, Entry &entry)
{
    entry.demand = demandAt(now, entry) + 1.0;
    entry.demandAt = now;
}

/// Rounded down, so that keys with rare requests have no stock.
std::uint32_t AllowanceStock::wantedStock(Base::Instant now, const Entry &entry) const
{
    const auto covered = std::min(entry.validity / ValidityPerStock, MaxStockTime);
    const double units = demandAt(now, entry) / DemandTime.count() * Seconds(covered).count();
    return static_cast<std::uint32_t>(std::min(units, static_cast<double>(MaxUnitsPerAsk)));
}

void AllowanceStock::want(Entry &entry)
{
    if (!std::exchange(entry.listed, true))
        wanting_.push_back(&entry);
}

void AllowanceStock::wantIfLow(Base::Instant now, Entry &entry)
{
    const auto wanted = wantedStock(now, entry);
    if (wanted > 0 && entry.stock <= wanted / 2)
        want(entry);
}

void AllowanceStock::dropEnded(Base::Instant now, Entry &entry)
{
    while (!entry.lots.empty() && entry.lots.front().validUntil <= now) {
        unitsEnded_ += entry.lots.front().units;
        entry.stock -= entry.lots.front().units;
        entry.lots.erase(entry.lots.begin());
    }
}

std::optional<Base::Instant> AllowanceStock::takeFromStock(Base::Instant now, Entry &entry)
{
    dropEnded(now, entry);
    if (entry.lots.empty())
        return std::nullopt;
    auto &lot = entry.lots.front();
    const auto validUntil = lot.validUntil;
    --entry.stock;
    if (--lot.units == 0)
        entry.lots.erase(entry.lots.begin());
    return validUntil;
}

void AllowanceStock::addLot(Entry &entry, Base::Instant validUntil, std::uint32_t units)
{
    const auto later = std::find_if(entry.lots.begin(), entry.lots.end(),
                                    [validUntil](const Lot &lot) { return lot.validUntil >= validUntil; });
    if (later != entry.lots.end() && later->validUntil == validUntil)
        later->units += units;
    else
        entry.lots.insert(later, {validUntil, units});
    entry.stock += units;
}

/// Lots that have ended may still be there.
bool AllowanceStock::hasUnit(Base::Instant now, const Entry &entry)
{
    return !entry.lots.empty() && now < entry.lots.back().validUntil;
}

Taking::Kind AllowanceStock::foresee(Base::Instant now, const Entry &entry, Base::Instant patienceEnd) const
{
    if (entry.waiters.empty() && hasUnit(now, entry))
        return Taking::Kind::Granted;
    if (now < entry.blockedUntil)
        return Taking::Kind::OverLimit;
    const bool mayWait = waiters_.size() < MaxWaiters && now < patienceEnd;
    return mayWait ? Taking::Kind::Waiting : Taking::Kind::Unavailable;
}

/// Keys that a sweep would drop count as held here.
Taking::Kind AllowanceStock::foresee(Base::Instant now, std::string_view key, Base::Instant patienceEnd) const
{
    const auto found = entries_.find(key);
    if (found != entries_.end())
        return foresee(now, found->second, patienceEnd);
    return entries_.size() < MaxKeys ? foresee(now, Entry {}, patienceEnd) : Taking::Kind::Unavailable;
}

bool AllowanceStock::has(Base::Instant now, std::string_view key) const
{
    const auto found = entries_.find(key);
    return found != entries_.end() && hasUnit(now, found->second);
}

Taking AllowanceStock::take(Base::Instant now, std::string_view key, Base::Instant patienceEnd)
{
    auto *entry = entryFor(now, key);
    if (entry == nullptr)
        return {};
    noteDemand(now, *entry);
    if (entry->waiters.empty())
        dropEnded(now, *entry);
    const auto kind = foresee(now, *entry, patienceEnd);
    if (kind == Taking::Kind::Unavailable)
        return {};
    if (kind == Taking::Kind::OverLimit)
        return {kind, {}, 0, nextRetryAfter(now, *entry)};
    if (kind == Taking::Kind::Granted) {
        const auto validUntil = takeFromStock(now, *entry);
        wantIfLow(now, *entry);
        return {kind, {std::string(key), validUntil.value_or(now)}, 0, {}};
    }
    const auto waiter = ++lastWaiter_;
    waiters_.emplace(waiter, Waiter {entry, patienceEnd});
    patience_.emplace(patienceEnd, waiter);
    entry->waiters.push_back(waiter);
    want(*entry);
    return {kind, {}, waiter, {}};
}

std::optional<Base::Instant> AllowanceStock::take(Base::Instant now, std::string_view key)
{
    auto *entry = entryFor(now, key);
    if (entry == nullptr)
        return std::nullopt;
    noteDemand(now, *entry);
    const auto validUntil = takeFromStock(now, *entry);
    if (validUntil) {
        wantIfLow(now, *entry);
    } else {
        // Nobody may ask again, so what waits for a denied unit is fetched when the denial ends.
        entry->missed = std::min(entry->missed + 1, MaxMissed);
        entry->awaited = true;
        want(*entry);
    }
    return validUntil;
}

void AllowanceStock::giveBack(Base::Instant now, std::string_view key, Base::Instant validUntil)
{
    auto *entry = validUntil > now ? entryFor(now, key) : nullptr;
    if (entry == nullptr)
        return;
    addLot(*entry, validUntil, 1);
    serveWaiters(now, *entry);
    noteArrival(*entry);
}

void AllowanceStock::abandon(WaiterId waiter)
{
    const auto found = waiters_.find(waiter);
    if (found == waiters_.end())
        return;
    std::erase(found->second.entry->waiters, waiter);
    patience_.erase({found->second.patienceEnd, waiter});
    waiters_.erase(found);
}

void AllowanceStock::decide(WaiterId waiter, Taking taking)
{
    abandon(waiter);
    decisions_.push_back({waiter, std::move(taking)});
}

void AllowanceStock::serveWaiters(Base::Instant now, Entry &entry)
{
    while (!entry.waiters.empty()) {
        const auto validUntil = takeFromStock(now, entry);
        if (!validUntil)
            return;
        decide(entry.waiters.front(), {Taking::Kind::Granted, {std::string(entry.key), *validUntil}, 0, {}});
    }
}

void AllowanceStock::noteArrival(Entry &entry)
{
    if (entry.stock > 0 && std::exchange(entry.awaited, false))
        hasArrival_ = true;
}

void AllowanceStock::refuseWaiters(Base::Instant now, Entry &entry)
{
    while (!entry.waiters.empty())
        decide(entry.waiters.front(), {Taking::Kind::OverLimit, {}, 0, nextRetryAfter(now, entry)});
}

/// Load pattern: a tenant sends many times its limit, and those refused come back. Each of them is told the
/// time of a unit of its own, up to the longest time.
Base::Duration AllowanceStock::nextRetryAfter(Base::Instant now, Entry &entry)
{
    const auto longest = Base::Duration(Base::milliseconds(MaxRetryMs));
    entry.nextRetry = std::max(entry.nextRetry, entry.blockedUntil);
    const auto wait = entry.nextRetry - now;
    if (wait < longest) {
        entry.nextRetry += entry.spacing;
        return wait;
    }
    return std::chrono::duration_cast<Base::Duration>(longest * (1.0 - RetrySpread * random_.unit()));
}

std::optional<AllowanceStock::Call> AllowanceStock::nextCall(Base::Instant now)
{
    if (open_ || wanting_.empty() || now < nextCallAt_)
        return std::nullopt;
    Call call;
    std::vector<Entry *> later;
    for (auto *entry : std::exchange(wanting_, {})) {
        if (call.request.asks.size() >= MaxAsksPerCall || now < entry->blockedUntil) {
            later.push_back(entry);
            continue;
        }
        entry->listed = false;
        dropEnded(now, *entry);
        const auto needed =
            static_cast<std::uint32_t>(entry->waiters.size()) + std::exchange(entry->missed, 0);
        const auto wanted = wantedStock(now, *entry);
        const auto ahead = wanted > entry->stock ? wanted - entry->stock : 0;
        if (needed + ahead > 0)
            call.request.asks.push_back({std::string(entry->key), needed, ahead});
    }
    wanting_.insert(wanting_.begin(), later.begin(), later.end());
    if (call.request.asks.empty())
        return std::nullopt;
    call.sequence = ++lastSequence_;
    askedAt_ = now;
    nextCallAt_ = now + callInterval_;
    open_ = call;
    return call;
}

void AllowanceStock::callAnswered(Base::Instant now, std::uint64_t sequence,
                                  const Wire::TakeAllowanceReply &reply)
{
    if (!open_ || open_->sequence != sequence)
        return;
    if (reply.grants.size() != open_->request.asks.size())
        return callFailed(now, sequence);
    const auto request = std::move(open_->request);
    open_.reset();
    for (std::size_t index = 0; index < request.asks.size(); ++index) {
        if (auto *entry = entryFor(now, request.asks[index].key))
            applyGrant(now, *entry, request.asks[index], reply.grants[index]);
    }
}

void AllowanceStock::applyGrant(Base::Instant now, Entry &entry, const Wire::AllowanceAsk &ask,
                                const Wire::AllowanceGrant &grant)
{
    entry.validity = Base::milliseconds(std::min(grant.validMs, MaxValidityMs));
    entry.spacing = Base::Duration(static_cast<Base::Duration::rep>(
        std::clamp(grant.spacingMs, 0.0, static_cast<double>(MaxRetryMs)) * 1000.0));
    const auto units = std::min(grant.units, ask.needed + ask.ahead);
    const auto validUntil = askedAt_ + entry.validity;
    if (units > 0 && validUntil > now)
        addLot(entry, validUntil, units);
    else
        unitsEnded_ += units;
    serveWaiters(now, entry);
    noteArrival(entry);
    if (units < ask.needed) {
        entry.blockedUntil = now + Base::milliseconds(std::min(grant.unitAfterMs, MaxRetryMs));
        entry.nextRetry =
            std::max(entry.nextRetry, now + Base::milliseconds(std::min(grant.retryAfterMs, MaxRetryMs)));
        return refuseWaiters(now, entry);
    }
    if (!entry.waiters.empty())
        want(entry);
    else if (ask.ahead == 0)
        wantIfLow(now, entry);
}

void AllowanceStock::callFailed(Base::Instant now, std::uint64_t sequence)
{
    if (!open_ || open_->sequence != sequence)
        return;
    const auto request = std::move(open_->request);
    open_.reset();
    nextCallAt_ = std::max(nextCallAt_, now + FailedCallPause);
    for (const auto &ask : request.asks) {
        const auto found = entries_.find(ask.key);
        if (found != entries_.end() && !found->second.waiters.empty())
            want(found->second);
    }
}

void AllowanceStock::runTimers(Base::Instant now)
{
    while (!patience_.empty() && patience_.begin()->first <= now)
        decide(patience_.begin()->second, {});
}

std::optional<Base::Instant> AllowanceStock::nextTimer() const
{
    std::optional<Base::Instant> next;
    if (!patience_.empty())
        next = patience_.begin()->first;
    if (open_)
        return next;
    for (const auto *entry : wanting_) {
        const auto callAt = std::max(nextCallAt_, entry->blockedUntil);
        next = next ? std::min(*next, callAt) : callAt;
    }
    return next;
}

bool AllowanceStock::isIdle(Base::Instant now, const Entry &entry) const
{
    const bool asked =
        open_
        && std::any_of(open_->request.asks.begin(), open_->request.asks.end(),
                       [&entry](const Wire::AllowanceAsk &ask) { return ask.key == entry.key; });
    return entry.stock == 0 && entry.waiters.empty() && !entry.listed && !asked && now >= entry.blockedUntil
           && demandAt(now, entry) < NoDemand;
}

void AllowanceStock::sweep(Base::Instant now)
{
    for (auto item = entries_.begin(); item != entries_.end();) {
        dropEnded(now, item->second);
        item = isIdle(now, item->second) ? entries_.erase(item) : std::next(item);
    }
}

void AllowanceStock::abandonAll()
{
    while (!waiters_.empty())
        decide(waiters_.begin()->first, {});
}

std::vector<AllowanceStock::Decision> AllowanceStock::takeDecisions()
{
    return std::exchange(decisions_, {});
}

} // namespace Allowance
