#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Allowance {

/// Key of a tenant's allowance. Its rule has the same name.
std::string tenantKey(std::string_view tenant);

/// Name of the rule for the cold servers of a service.
std::string coldServiceRule(std::string_view service);

/// Key of one incarnation of a cold server.
std::string coldServerKey(std::string_view service, std::string_view serverId, std::int64_t bornAt);

/// Name of the rule that holds for `key`; part of it.
std::string_view ruleOf(std::string_view key);

} // namespace Allowance
