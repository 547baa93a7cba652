#include "LibAllowance/AllowanceDivider.h"

#include "LibAllowance/AllowanceKey.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <limits>

namespace Allowance {

namespace {

using Seconds = std::chrono::duration<double>;

/// Callers that are told a later time give up or come when the tenant is quiet again.
constexpr Base::Duration MaxRetryAfter = Base::seconds(10);
/// When a key has no rule, the configuration of its gateway is older than that of the leader, or no bucket is
/// free; both pass soon.
constexpr std::uint32_t NoRuleRetryMs = 500;
/// Load pattern: a tenant sends many times its limit at many gateways. Without a least time, each of them
/// would ask for each unit. Nothing is lost by it, as the bucket goes on earning.
constexpr Base::Duration MinBlock = Base::milliseconds(100);
/// Levels add up fractions, so one that ought to be whole may be less by a rounding error.
constexpr double Rounding = 1e-6;

Base::Duration timeFor(double units, double perSecond)
{
    if (units <= 0.0)
        return Base::Duration::zero();
    const double seconds = perSecond > 0.0 ? units / perSecond : std::numeric_limits<double>::infinity();
    return seconds < Seconds(MaxRetryAfter).count()
               ? std::chrono::duration_cast<Base::Duration>(Seconds(seconds))
               : MaxRetryAfter;
}

/// Rounded up, so that nobody comes too early.
std::uint32_t milliseconds(Base::Duration duration)
{
    return static_cast<std::uint32_t>(std::ceil(Base::toMilliseconds(std::max(duration, Base::Duration {}))));
}

} // namespace

void AllowanceDivider::begin(Base::Instant now, std::uint64_t term)
{
    term_ = term;
    buckets_.clear();
    for (auto &[name, rule] : rules_)
        rule = {rule.terms, now, {0.0, now, {}}};
}

void AllowanceDivider::setTerms(Base::Instant now, const TermsByRule &terms, Base::Instant newSince)
{
    // What was earned until now was earned under the old rules.
    for (auto bucket = buckets_.begin(); bucket != buckets_.end();) {
        const auto *rule = ruleFor(bucket->first);
        const auto changed = terms.find(ruleOf(bucket->first));
        if (rule == nullptr || changed == terms.end()) {
            bucket = buckets_.erase(bucket);
            continue;
        }
        changeTerms(now, bucket->second, *rule, changed->second);
        ++bucket;
    }
    std::map<std::string, Rule, std::less<>> rules;
    for (const auto &[name, newTerms] : terms) {
        Rule rule {newTerms, newSince, {0.0, newSince, {}}};
        if (const auto before = rules_.find(name); before != rules_.end()) {
            rule.since = before->second.since;
            rule.fresh = before->second.fresh;
            changeTerms(now, rule.fresh, before->second, newTerms);
        }
        rules.emplace(name, rule);
    }
    rules_ = std::move(rules);
}

void AllowanceDivider::changeTerms(Base::Instant now, Bucket &bucket, const Rule &rule,
                                   const AllowanceTerms &terms)
{
    bucket.level = std::min(levelAt(now, bucket, rule), terms.capacity);
    bucket.at = now;
}

const AllowanceDivider::Rule *AllowanceDivider::ruleFor(std::string_view key) const
{
    const auto found = rules_.find(ruleOf(key));
    return found != rules_.end() ? &found->second : nullptr;
}

double AllowanceDivider::levelAt(Base::Instant now, const Bucket &bucket, const Rule &rule)
{
    const auto startAt = rule.since + StartLevelDelay;
    const double start = bucket.at < startAt && now >= startAt ? rule.terms.startLevel : 0.0;
    const double earned = rule.terms.perSecond * Seconds(now - bucket.at).count();
    return std::min(rule.terms.capacity, bucket.level + earned + start);
}

Base::Result<Wire::TakeAllowanceReply> AllowanceDivider::take(Base::Instant now,
                                                              const Wire::TakeAllowanceRequest &request)
{
    if (request.asks.size() > MaxAsksPerRequest)
        return Base::fail(Base::ErrorKind::InvalidRequest,
                          fmt::format("{} keys in one request for units", request.asks.size()));
    for (const auto &ask : request.asks) {
        if (ask.key.size() > MaxKeyBytes || ask.needed > MaxUnitsPerAsk || ask.ahead > MaxUnitsPerAsk)
            return Base::fail(Base::ErrorKind::InvalidRequest,
                              fmt::format("a key of {} bytes, {} units needed and {} ahead", ask.key.size(),
                                          ask.needed, ask.ahead));
    }
    Wire::TakeAllowanceReply reply;
    reply.grants.reserve(request.asks.size());
    for (const auto &ask : request.asks)
        reply.grants.push_back(takeOne(now, ask));
    return reply;
}

Wire::AllowanceGrant AllowanceDivider::takeOne(Base::Instant now, const Wire::AllowanceAsk &ask)
{
    Wire::AllowanceGrant grant;
    const auto *rule = ruleFor(ask.key);
    auto found = buckets_.find(ask.key);
    if (found == buckets_.end() && rule != nullptr) {
        if (buckets_.size() >= MaxBuckets)
            sweep(now);
        if (buckets_.size() < MaxBuckets)
            found = buckets_.emplace(ask.key, rule->fresh).first;
    }
    if (rule == nullptr || found == buckets_.end()) {
        grant.unitAfterMs = grant.retryAfterMs = NoRuleRetryMs;
        return grant;
    }
    const auto &terms = rule->terms;
    auto &bucket = found->second;
    bucket.level = levelAt(now, bucket, *rule);
    bucket.at = now;
    const auto available = static_cast<std::uint32_t>(bucket.level + Rounding);
    grant.units = std::min(ask.needed, available);
    // Stocks take only half of the rest, because a request at another gateway may need a unit at once.
    grant.units += std::min(ask.ahead, (available - grant.units) / 2);
    bucket.level -= grant.units;
    unitsGranted_ += grant.units;
    grant.validMs = static_cast<std::uint32_t>(terms.validity / Base::milliseconds(1));
    const auto spacing = timeFor(1.0, terms.perSecond);
    grant.spacingMs = Base::toMilliseconds(spacing);
    if (grant.units >= ask.needed)
        return grant;
    const auto denied = ask.needed - grant.units;
    unitsDenied_ += denied;
    const auto unitAfter = std::max(timeFor(1.0 - bucket.level, terms.perSecond), MinBlock);
    const auto promise = std::min(std::max(now + unitAfter, bucket.nextPromise), now + MaxRetryAfter);
    bucket.nextPromise = std::min(promise + timeFor(denied, terms.perSecond), now + MaxRetryAfter);
    grant.unitAfterMs = milliseconds(unitAfter);
    grant.retryAfterMs = milliseconds(promise - now);
    return grant;
}

void AllowanceDivider::sweep(Base::Instant now)
{
    std::erase_if(buckets_, [this, now](const auto &item) {
        const auto *rule = ruleFor(item.first);
        return rule == nullptr || levelAt(now, item.second, *rule) >= rule->terms.capacity;
    });
}

} // namespace Allowance
