#include "LibAllowance/AllowanceKey.h"

#include <fmt/format.h>

namespace Allowance {

namespace {

/// Neither names of services nor ids contain it, as both come from lines of text.
constexpr char ServerSeparator = '\n';

} // namespace

std::string tenantKey(std::string_view tenant)
{
    return fmt::format("T{}", tenant);
}

std::string coldServiceRule(std::string_view service)
{
    return fmt::format("S{}", service);
}

std::string coldServerKey(std::string_view service, std::string_view serverId, std::int64_t bornAt)
{
    return fmt::format("S{}{}{}@{}", service, ServerSeparator, serverId, bornAt);
}

std::string_view ruleOf(std::string_view key)
{
    return key.starts_with('S') ? key.substr(0, key.find(ServerSeparator)) : key;
}

} // namespace Allowance
