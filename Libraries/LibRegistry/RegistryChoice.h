#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Registry {

/// A registry as a gateway knows it.
struct RegistryLocation
{
    std::string address;
    std::string dataCentre; ///< Empty until the registry has answered once.
};

/// Returns the addresses in the order in which this gateway should use them: registries in its own data
/// centre first, because traffic between data centres costs money, then those whose data centre is unknown.
/// Ties are broken by rendezvous hashing, so that gateways spread evenly and only those of a lost registry
/// move. Load pattern: hundreds of gateways each keep a call open to a registry, and each change goes to all
/// of them.
std::vector<std::string> rankRegistries(std::string_view gatewayId, std::string_view dataCentre,
                                        std::span<const RegistryLocation> registries);

} // namespace Registry
