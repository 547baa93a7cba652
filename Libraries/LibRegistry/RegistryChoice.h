#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Registry {

/// A registry as a gateway knows it.
struct RegistryPlace
{
    std::string address;
    std::string dataCentre; ///< Empty until the registry has answered once.
};

/// Load pattern: hundreds of gateways each keep a call open to a registry, and each change goes to all of
/// them. Returns the addresses in the order in which this gateway should use them: those of its own data
/// centre first, because bytes between data centres cost money, then those whose place is unknown. Among
/// equals a hash of both names decides, so that the gateways spread evenly and only those of a lost registry
/// move.
std::vector<std::string> registryPreference(std::string_view gatewayId, std::string_view dataCentre,
                                            std::span<const RegistryPlace> registries);

} // namespace Registry
