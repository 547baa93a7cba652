#include "LibRegistry/DirectorySimulation.h"

#include <gtest/gtest.h>

namespace {

using Rule = Registry::GatewayNaming::Rule;

constexpr std::size_t Callers = 300;
constexpr std::uint64_t Seeds = 3;
/// Requests a second of each caller. With the list by class the gateways of speed 1 are a third full, five
/// sixths full, and more than full.
constexpr double CalmRate = 0.4;
constexpr double BusyRate = 0.8;
constexpr double HotRate = 1.0;

/// Less than a tenth of all shares together, in sixteenths.
constexpr int MaxSwingOfSum = 18;

class DirectoryLoad : public testing::TestWithParam<bool>
{
protected:
    /// Whether all gateways are of one class and named by it, so that there is no standby.
    static bool alike() { return GetParam(); }

    static DirectorySimulation simulation(Rule rule, double rate, std::uint64_t seed)
    {
        return {rule, Callers, rate, seed, alike()};
    }
};

INSTANTIATE_TEST_SUITE_P(Classes, DirectoryLoad, testing::Bool(),
                         [](const auto &which) { return which.param ? "Alike" : "WithStandbys"; });

} // namespace

// VMs of speeds 1 and 2.5, and half of the callers of one data centre move at once: the slow ones queue while
// the fast ones idle.
TEST_P(DirectoryLoad, HotGatewaysGetFewerCallers)
{
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        auto byClass = simulation(Rule::ByClass, HotRate, seed);
        auto byShare = simulation(Rule::ByShare, HotRate, seed);
        for (auto *play : {&byClass, &byShare}) {
            play->run(Base::seconds(120));
            play->beginWindow();
            play->moveHalf(0, 1);
            play->run(Base::seconds(60));
        }
        EXPECT_LT(byShare.fractionAtSlowOnes(), byClass.fractionAtSlowOnes() - 0.1) << byShare.describe();
        EXPECT_LT(byShare.lateFraction(), byClass.lateFraction() / 2) << byShare.describe();
    }
}

// Callers act 0 to 15 s later: shares that follow the figure at once would send them to and fro.
TEST_P(DirectoryLoad, SharesSettleAfterCallersHaveMoved)
{
    for (const double rate : {BusyRate, HotRate}) {
        for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
            auto play = simulation(Rule::ByShare, rate, seed);
            play.run(Base::seconds(60));
            play.moveHalf(0, 1);
            play.run(Base::seconds(60));
            play.beginWindow();
            play.run(Base::seconds(120));
            // Single gateways follow the chance of their requests, and turn three times in two minutes at
            // most; together the gateways of speed 1 stay where they are.
            EXPECT_LE(play.mostTurns(), 3) << play.describe();
            EXPECT_LE(play.swingOfSum(), MaxSwingOfSum) << play.describe();
        }
    }
}

// With nothing hot each request goes where it goes by class.
TEST_P(DirectoryLoad, CalmGatewaysAreNamedByClass)
{
    auto byClass = simulation(Rule::ByClass, CalmRate, 1);
    auto byShare = simulation(Rule::ByShare, CalmRate, 1);
    for (auto *play : {&byClass, &byShare}) {
        play->run(Base::seconds(60));
        play->moveHalf(0, 1);
        play->run(Base::seconds(60));
    }
    for (std::size_t index = 0; index < byClass.gateways().size(); ++index)
        EXPECT_EQ(byShare.gateways()[index].requests, byClass.gateways()[index].requests);
}

// A burst must not leave callers with a shorter list for good.
TEST_P(DirectoryLoad, SharesAreFullAgainAfterABurst)
{
    auto play = simulation(Rule::ByShare, HotRate, 1);
    play.run(Base::seconds(60));
    EXPECT_LT(play.sumOfShares(), 12 * Wire::FullCallerShare);
    play.setRequestRate(CalmRate / 2);
    play.run(Base::seconds(120));
    EXPECT_EQ(play.sumOfShares(), 12 * Wire::FullCallerShare) << play.describe();
}
