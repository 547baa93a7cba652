#include "LibRegistry/GatewayChoice.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <set>

namespace {

std::vector<Wire::GatewayRecord> gateways(std::size_t strong, std::size_t weak)
{
    std::vector<Wire::GatewayRecord> records;
    for (std::size_t index = 0; index < strong + weak; ++index) {
        const auto name = "vm-" + std::to_string(index);
        records.push_back({name, 1, name, "dc-" + std::to_string(index % 3), Wire::GatewayState::Serving,
                           index < strong ? 0.32 : 0.12, true});
    }
    return records;
}

std::vector<Wire::GatewayRecord> withShares(std::vector<Wire::GatewayRecord> records, double strong,
                                            double weak)
{
    for (auto &gateway : records)
        gateway.processorShare = gateway.processorShare > 0.2 ? strong : weak;
    return records;
}

std::size_t strongOf(const std::vector<Wire::GatewayRecord> &gateways)
{
    return static_cast<std::size_t>(std::count_if(
        gateways.begin(), gateways.end(), [](const auto &gateway) { return gateway.processorShare > 0.3; }));
}

} // namespace

// If all VMs have equal or similar processor shares, all are advertised.
TEST(GatewayChoice, UsesAllOfAFewEqualGateways)
{
    EXPECT_EQ(Registry::selectGateways(gateways(0, 12), 24).size(), 12U);
    EXPECT_EQ(Registry::selectGateways(withShares(gateways(4, 8), 0.45, 0.3), 24).size(), 12U);
}

// Load pattern: 16 gateways, 4 of them with nearly twice the processor share of the others. With all in use,
// each gets a sixteenth of the requests, has less information about the servers and opens more connections.
TEST(GatewayChoice, LeavesOutMostGatewaysWithLittleMoreThanHalfTheProcessor)
{
    const auto chosen = Registry::selectGateways(withShares(gateways(4, 12), 0.45, 0.25), 24);
    EXPECT_EQ(chosen.size(), 10U);
    EXPECT_EQ(strongOf(chosen), 4U);
    EXPECT_EQ(Registry::selectGateways(withShares(gateways(2, 8), 0.45, 0.25), 24).size(), 10U);
}

// On a tenth of a core, a gather over 90 shards costs tens of milliseconds in the gateway alone.
TEST(GatewayChoice, PrefersStrongGatewaysWhileThereAreSome)
{
    const auto chosen = Registry::selectGateways(gateways(5, 64), 24);
    EXPECT_EQ(strongOf(chosen), 5U);
    EXPECT_EQ(chosen.size(), 11U);
    EXPECT_EQ(Registry::selectGateways(gateways(2, 64), 24).size(), 24U);
}

// Load pattern: the same with so many shards that their parts use up the target time on a tenth of a core
// (score of the days with trouble on csf-waxroute-grown: 0.70 without such gateways in use, 0.54 with them).
TEST(GatewayChoice, LeavesOutGatewaysThatAreTooSlow)
{
    auto all = gateways(5, 64);
    for (auto &gateway : all)
        gateway.suitsGathers = gateway.processorShare > 0.3;
    EXPECT_EQ(Registry::selectGateways(all, 24).size(), 5U);
    // Without enough strong ones there is no better choice.
    std::erase_if(all, [](const auto &gateway) { return gateway.processorShare > 0.3; });
    EXPECT_EQ(Registry::selectGateways(all, 24).size(), 24U);
}

// Load pattern: the strong VMs are those with a disk, and all of them lose power at once
// (inyuguti-search-large scale-1). Callers must hold the address of gateways elsewhere in each data centre,
// and these must stay in use when the strong ones have left the directory.
TEST(GatewayChoice, KeepsGatewaysInUseWhenAllStrongOnesAreLost)
{
    auto all = gateways(5, 195);
    const auto before = Registry::selectGateways(all, 24);
    std::set<std::string> others;
    std::set<std::string> dataCentres;
    for (const auto &gateway : before) {
        if (gateway.processorShare < 0.3) {
            others.insert(gateway.gatewayId);
            dataCentres.insert(gateway.dataCentre);
        }
    }
    EXPECT_EQ(dataCentres.size(), 3U);
    std::erase_if(all, [](const auto &gateway) { return gateway.processorShare > 0.3; });
    std::set<std::string> after;
    for (const auto &gateway : Registry::selectGateways(all, 24))
        after.insert(gateway.gatewayId);
    EXPECT_TRUE(std::includes(after.begin(), after.end(), others.begin(), others.end()));
}

// All nodes must select the same gateways, spread over all data centres; otherwise connections would add up.
TEST(GatewayChoice, IsTheSameOnAllNodesAndSpreads)
{
    auto all = gateways(0, 60);
    const auto chosen = Registry::selectGateways(all, 12);
    std::reverse(all.begin(), all.end());
    EXPECT_EQ(Registry::selectGateways(all, 12), chosen);
    std::set<std::string> dataCentres;
    for (const auto &gateway : chosen)
        dataCentres.insert(gateway.dataCentre);
    EXPECT_EQ(dataCentres.size(), 3U);
    EXPECT_TRUE(Registry::selectGateways({}, 12).empty());
}
