#include "LibTenant/Authenticator.h"

#include <algorithm>

namespace Tenant {

namespace {

/// Configurations reach gateways in touch with the registries well within this time. Callers don't try again
/// after a rejection, so an older configuration must not cause one.
constexpr Base::Duration MaxAgeForRejections = Base::seconds(2);

bool isYounger(Base::Instant now, std::optional<Base::Instant> confirmedAt, Base::Duration limit)
{
    return confirmedAt && now - *confirmedAt < limit;
}

} // namespace

void Authenticator::setTable(std::shared_ptr<const Route::RouteTable> table)
{
    const auto &next = table->configuration();
    const bool sameTenants = table_ && table_->configuration().tenantsDigest == next.tenantsDigest
                             && table_->configuration().tenantRules().size() == next.tenantRules().size();
    if (!next.needsKeys())
        keys_.reset();
    else if (!keys_ || !sameTenants)
        keys_ = std::make_shared<const KeyTable>(next.tenantRules());
    currency_.hold(next.version);
    table_ = std::move(table);
}

bool Authenticator::mayServeKeys(Base::Instant now) const
{
    return !needsConfirmations() || isYounger(now, currency_.confirmedAt(), servingLimit());
}

bool Authenticator::mayRejectKeys(Base::Instant now) const
{
    const auto limit =
        needsConfirmations() ? std::min(MaxAgeForRejections, servingLimit()) : MaxAgeForRejections;
    return isYounger(now, currency_.confirmedAt(), limit);
}

Authenticator::Verdict Authenticator::check(Base::Instant now, const Route::RouteRule &route,
                                            std::span<const std::string_view> keys) const
{
    if (!isActive() || route.isPublic)
        return {};
    if (!mayServeKeys(now))
        return {nullptr, Base::ErrorKind::ConfigurationNotCurrent, "configuration was not confirmed in time"};
    if (keys.size() == 1) {
        if (const auto tenant = keys_->find(Route::digestOfKey(keys.front())))
            return {&table_->configuration().tenantRules()[*tenant], std::nullopt, {}};
    }
    if (!mayRejectKeys(now))
        return {nullptr, Base::ErrorKind::ConfigurationNotCurrent,
                "key is not known, and a newer configuration may have it"};
    return {nullptr, Base::ErrorKind::Unauthorized,
            keys.empty()       ? "request has no key"
            : keys.size() == 1 ? "key is not known"
                               : "request has several keys"};
}

} // namespace Tenant
