#pragma once

#include "LibBase/ErrorKind.h"
#include "LibBase/Time.h"
#include "LibRoute/RouteTable.h"
#include "LibTenant/ConfigurationCurrency.h"
#include "LibTenant/KeyTable.h"

#include <memory>
#include <optional>
#include <span>
#include <string_view>

namespace Tenant {

/// Tells which tenant a request belongs to, and whether this process knows enough to say so: keys that a
/// newer configuration has removed must not be served past a bound, on any VM. No I/O.
class Authenticator
{
public:
    struct Verdict
    {
        const Route::TenantRule *tenant = nullptr; ///< Of the table in force.
        std::optional<Base::ErrorKind> refusal; ///< Unauthorized or ConfigurationNotCurrent.
        std::string_view cause; ///< Of the refusal, for logs.
    };

    /// `keyRemovalBound` is the longest time for which a removed key may be served; zero if there is no
    /// bound.
    explicit Authenticator(Base::Duration keyRemovalBound = {})
        : keyRemovalBound_(keyRemovalBound)
    {
    }

    void setKeyRemovalBound(Base::Duration bound) { keyRemovalBound_ = bound; }
    void setTable(std::shared_ptr<const Route::RouteTable> table);

    /// Records that no configuration above `version` had been accepted at `at`. Without a bound, this says
    /// only that a registry with a leader held `version`.
    void confirm(std::uint64_t version, Base::Instant at) { currency_.confirm(version, at); }
    const ConfigurationCurrency &currency() const { return currency_; }

    /// Whether requests of this configuration need keys at all.
    bool isActive() const { return table_ && table_->configuration().needsKeys(); }
    /// Whether confirmations are needed: keys expire unless they are confirmed.
    bool needsConfirmations() const { return isActive() && keyRemovalBound_ > Base::Duration::zero(); }
    /// Whether a key of the configuration in force may be served.
    bool mayServeKeys(Base::Instant now) const;

    /// Judges a request on a route of the table in force. `keys` holds every key that the request names.
    Verdict check(Base::Instant now, const Route::RouteRule &route,
                  std::span<const std::string_view> keys) const;

private:
    bool mayRejectKeys(Base::Instant now) const;
    Base::Duration servingLimit() const { return keyRemovalBound_ - keyRemovalBound_ / ReserveDivisor; }

    /// The last part of the bound is left for what the clocks of two VMs may differ in rate.
    static constexpr int ReserveDivisor = 10;

    Base::Duration keyRemovalBound_;
    std::shared_ptr<const Route::RouteTable> table_;
    std::shared_ptr<const KeyTable> keys_; ///< Null while requests need no keys.
    ConfigurationCurrency currency_;
};

} // namespace Tenant
