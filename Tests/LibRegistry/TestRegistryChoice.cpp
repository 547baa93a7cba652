#include "LibRegistry/RegistryChoice.h"

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <map>

namespace {

std::vector<Registry::RegistryPlace> registries(std::size_t count, std::size_t dataCentres)
{
    std::vector<Registry::RegistryPlace> places;
    for (std::size_t index = 0; index < count; ++index)
        places.push_back({fmt::format("10.0.0.{}:7000", index), fmt::format("dc-{}", index % dataCentres)});
    return places;
}

std::string firstChoice(std::size_t gateway, std::size_t dataCentres,
                        const std::vector<Registry::RegistryPlace> &places)
{
    return Registry::registryPreference(fmt::format("vm-{}", gateway),
                                        fmt::format("dc-{}", gateway % dataCentres), places)
        .front();
}

} // namespace

// 300 gateways that all keep their call open to one registry took 64% of its VM's processor.
TEST(RegistryChoice, ManyGatewaysSpreadOverTheRegistries)
{
    constexpr std::size_t Gateways = 300;
    const auto places = registries(15, 3);
    std::map<std::string, std::size_t> load;
    for (std::size_t gateway = 0; gateway < Gateways; ++gateway)
        ++load[firstChoice(gateway, 3, places)];
    EXPECT_EQ(load.size(), places.size());
    for (const auto &[address, count] : load)
        EXPECT_LT(count, 2 * Gateways / places.size()) << address;
}

// Every changed list goes to each gateway, and bytes between data centres cost money.
TEST(RegistryChoice, PrefersTheOwnDataCentreThenUnknownPlaces)
{
    auto places = registries(6, 3);
    places.push_back({"10.0.0.9:7000", ""});
    const auto order = Registry::registryPreference("vm-1", "dc-1", places);
    ASSERT_EQ(order.size(), places.size());
    EXPECT_TRUE(std::is_permutation(order.begin(), order.begin() + 2,
                                    std::vector<std::string> {"10.0.0.1:7000", "10.0.0.4:7000"}.begin()));
    EXPECT_EQ(order[2], "10.0.0.9:7000");
}

// The loss of one registry must not set all the others' gateways moving.
TEST(RegistryChoice, OnlyTheGatewaysOfALostRegistryMove)
{
    const auto places = registries(15, 3);
    auto remaining = places;
    remaining.erase(remaining.begin() + 7);
    for (std::size_t gateway = 0; gateway < 300; ++gateway) {
        const auto before = firstChoice(gateway, 3, places);
        if (before != places[7].address) {
            EXPECT_EQ(firstChoice(gateway, 3, remaining), before);
        }
    }
}
