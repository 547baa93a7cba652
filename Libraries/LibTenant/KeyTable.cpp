#include "LibTenant/KeyTable.h"

#include <openssl/crypto.h>

namespace Tenant {

bool KeyTable::ConstantTimeEqual::operator()(const Route::KeyDigest &left,
                                             const Route::KeyDigest &right) const
{
    return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

KeyTable::KeyTable(std::span<const Route::TenantRule> tenants)
{
    for (std::size_t position = 0; position < tenants.size(); ++position) {
        for (const auto &key : tenants[position].keys)
            holders_.emplace(key, static_cast<std::uint32_t>(position));
    }
}

std::optional<std::size_t> KeyTable::find(const Route::KeyDigest &key) const
{
    const auto found = holders_.find(key);
    return found == holders_.end() ? std::nullopt : std::optional<std::size_t>(found->second);
}

} // namespace Tenant
