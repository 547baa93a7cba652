#pragma once

#include "LibRoute/Configuration.h"

#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>

namespace Tenant {

/// Maps keys to tenants. Immutable; holds positions, so that configurations with equal tenants can share it.
class KeyTable
{
public:
    explicit KeyTable(std::span<const Route::TenantRule> tenants);

    /// Returns the position of the tenant that holds the key. Digests are compared in constant time, so that
    /// the time of a look-up tells nothing about the keys.
    std::optional<std::size_t> find(const Route::KeyDigest &key) const;

private:
    struct ConstantTimeEqual
    {
        bool operator()(const Route::KeyDigest &left, const Route::KeyDigest &right) const;
    };

    std::unordered_map<Route::KeyDigest, std::uint32_t, Route::KeyDigestHash, ConstantTimeEqual> holders_;
};

} // namespace Tenant
