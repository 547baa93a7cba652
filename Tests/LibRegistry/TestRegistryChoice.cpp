#include "LibRegistry/RegistryChoice.h"

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <map>

namespace {

std::vector<Registry::RegistryLocation> registries(std::size_t count, std::size_t dataCentres)
{
    std::vector<Registry::RegistryLocation> locations;
    for (std::size_t index = 0; index < count; ++index)
        locations.push_back(
            {fmt::format("10.0.0.{}:7000", index), fmt::format("dc-{}", index % dataCentres)});
    return locations;
}

std::string firstChoice(std::size_t gateway, std::size_t dataCentres,
                        const std::vector<Registry::RegistryLocation> &locations)
{
    return Registry::rankRegistries(fmt::format("vm-{}", gateway),
                                    fmt::format("dc-{}", gateway % dataCentres), locations)
        .front();
}

} // namespace

// 300 gateways that all kept their call open to the same registry used 64% of its VM's processor.
TEST(RegistryChoice, ManyGatewaysSpreadOverTheRegistries)
{
    constexpr std::size_t Gateways = 300;
    const auto locations = registries(15, 3);
    std::map<std::string, std::size_t> load;
    for (std::size_t gateway = 0; gateway < Gateways; ++gateway)
        ++load[firstChoice(gateway, 3, locations)];
    EXPECT_EQ(load.size(), locations.size());
    for (const auto &[address, count] : load)
        EXPECT_LT(count, 2 * Gateways / locations.size()) << address;
}

// Each changed list is sent to every gateway, and traffic between data centres costs money.
TEST(RegistryChoice, PrefersTheOwnDataCentreThenUnknownOnes)
{
    auto locations = registries(6, 3);
    locations.push_back({"10.0.0.9:7000", ""});
    const auto order = Registry::rankRegistries("vm-1", "dc-1", locations);
    ASSERT_EQ(order.size(), locations.size());
    EXPECT_TRUE(std::is_permutation(order.begin(), order.begin() + 2,
                                    std::vector<std::string> {"10.0.0.1:7000", "10.0.0.4:7000"}.begin()));
    EXPECT_EQ(order[2], "10.0.0.9:7000");
}

// The loss of one registry must not move gateways that watch other registries.
TEST(RegistryChoice, OnlyTheGatewaysOfALostRegistryMove)
{
    const auto locations = registries(15, 3);
    auto remaining = locations;
    remaining.erase(remaining.begin() + 7);
    for (std::size_t gateway = 0; gateway < 300; ++gateway) {
        const auto before = firstChoice(gateway, 3, locations);
        if (before != locations[7].address) {
            EXPECT_EQ(firstChoice(gateway, 3, remaining), before);
        }
    }
}
