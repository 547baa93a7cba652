#include "LibRegistry/RegistryChoice.h"

#include <algorithm>
#include <cstdint>
#include <tuple>
#include <xxhash.h>

namespace Registry {

std::vector<std::string> rankRegistries(std::string_view gatewayId, std::string_view dataCentre,
                                        std::span<const RegistryLocation> registries)
{
    const auto seed = XXH3_64bits(gatewayId.data(), gatewayId.size());
    std::vector<std::tuple<int, std::uint64_t, std::string>> ranked;
    for (const auto &registry : registries) {
        const int distance = registry.dataCentre == dataCentre ? 0 : registry.dataCentre.empty() ? 1 : 2;
        const auto hash = XXH3_64bits_withSeed(registry.address.data(), registry.address.size(), seed);
        ranked.emplace_back(distance, hash, registry.address);
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<std::string> addresses;
    addresses.reserve(ranked.size());
    for (auto &[distance, hash, address] : ranked)
        addresses.push_back(std::move(address));
    return addresses;
}

} // namespace Registry
