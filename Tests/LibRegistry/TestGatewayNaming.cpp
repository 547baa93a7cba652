#include "LibRegistry/GatewayChoice.h"
#include "LibRegistry/GatewayNaming.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>
#include <set>

namespace {

using Registry::GatewayNaming;
using Rule = GatewayNaming::Rule;
using Gateways = std::vector<Wire::GatewayRecord>;

constexpr std::size_t Preferred = 24;

Gateways gateways(std::size_t strong, std::size_t weak)
{
    Gateways records;
    for (std::size_t index = 0; index < strong + weak; ++index) {
        const auto name = fmt::format("vm-{:02}", index);
        records.push_back({name, 1, name, fmt::format("dc-{}", index % 3), Wire::GatewayState::Serving,
                           index < strong ? 0.32 : 0.12, true});
    }
    return records;
}

Gateways copyOf(const std::vector<const Wire::GatewayRecord *> &answer)
{
    Gateways copy;
    for (const auto *gateway : answer)
        copy.push_back(*gateway);
    return copy;
}

std::map<std::string, std::size_t> perDataCentre(const Gateways &answer)
{
    std::map<std::string, std::size_t> counts;
    for (const auto &gateway : answer)
        ++counts[gateway.dataCentre];
    return counts;
}

bool namesAGatewayTwice(const Gateways &answer)
{
    std::set<std::string> ids;
    for (const auto &gateway : answer)
        ids.insert(gateway.gatewayId);
    return ids.size() != answer.size();
}

/// In how many of `count` answers each gateway is named.
std::map<std::string, int> namings(GatewayNaming &naming, int count)
{
    std::map<std::string, int> result;
    for (int answer = 0; answer < count; ++answer) {
        for (const auto *gateway : naming.nextAnswer())
            ++result[gateway->gatewayId];
    }
    return result;
}

void expectAnswersByClass(const Gateways &all, Rule rule)
{
    GatewayNaming naming(rule);
    naming.setGateways(all, Preferred);
    for (int answer = 0; answer < 20; ++answer)
        EXPECT_EQ(copyOf(naming.nextAnswer()), Registry::selectGateways(all, Preferred));
    EXPECT_EQ(naming.gatewaysInUse(), Registry::selectGateways(all, Preferred).size());
}

} // namespace

// With nothing hot, and with the setting off, callers must get the same list as before there were shares.
TEST(GatewayNaming, WithEqualSharesEachAnswerIsTheOneByClass)
{
    for (const auto &all : {gateways(5, 64), gateways(0, 12), gateways(30, 0), Gateways()}) {
        for (const auto rule : {Rule::ByClass, Rule::ByShare}) {
            expectAnswersByClass(all, rule);
        }
    }
}

TEST(GatewayNaming, ByClassSharesCountForNothing)
{
    auto all = gateways(5, 64);
    all[0].callerShare = 4;
    expectAnswersByClass(all, Rule::ByClass);
}

// The share must hold over the answers, and a standby of the same data centre must make up for what is left
// out.
TEST(GatewayNaming, HotGatewayIsNamedInAPartOfTheAnswers)
{
    auto all = gateways(5, 64);
    all[0].callerShare = 6;
    GatewayNaming naming(Rule::ByShare);
    naming.setGateways(all, Preferred);
    const auto today = Registry::selectGateways(all, Preferred);
    EXPECT_EQ(naming.gatewaysInUse(), today.size() + 1);
    for (int answer = 0; answer < 64; ++answer) {
        const auto named = copyOf(naming.nextAnswer());
        EXPECT_EQ(perDataCentre(named), perDataCentre(today));
        EXPECT_FALSE(namesAGatewayTwice(named));
    }
    auto counts = namings(naming, 160);
    EXPECT_EQ(counts.at(all[0].gatewayId), 60);
    EXPECT_EQ(counts.at(all[1].gatewayId), 160);
    EXPECT_EQ(counts.size(), today.size() + 1);
}

// Two hot gateways must not be absent from the same answers only: these would be short, the others full.
TEST(GatewayNaming, HotGatewaysAreAbsentByTurns)
{
    auto all = gateways(0, 12);
    for (std::size_t index = 0; index < 6; ++index)
        all[index].callerShare = 8;
    GatewayNaming naming(Rule::ByShare);
    naming.setGateways(all, Preferred);
    for (int answer = 0; answer < 64; ++answer) {
        const auto size = naming.nextAnswer().size();
        EXPECT_GE(size, 7U);
        EXPECT_LE(size, 11U);
    }
}

// Callers that lose a gateway need another one, in each data centre, also where no standby is left.
TEST(GatewayNaming, KeepsTwoGatewaysPerDataCentreWithoutStandbys)
{
    auto all = gateways(0, 12);
    for (auto &gateway : all)
        gateway.callerShare = gateway.dataCentre == "dc-0" ? 4 : Wire::FullCallerShare;
    GatewayNaming naming(Rule::ByShare);
    naming.setGateways(all, Preferred);
    std::map<std::string, int> counts;
    for (int answer = 0; answer < 160; ++answer) {
        const auto named = copyOf(naming.nextAnswer());
        EXPECT_GE(perDataCentre(named).at("dc-0"), 2U);
        EXPECT_EQ(perDataCentre(named).at("dc-1"), 4U);
        for (const auto &gateway : named)
            ++counts[gateway.gatewayId];
    }
    // The four hot ones share the two places that stay.
    for (const auto &gateway : all) {
        if (gateway.dataCentre == "dc-0") {
            EXPECT_NEAR(counts.at(gateway.gatewayId), 80, 24) << gateway.gatewayId;
        }
    }
}

// If all are equally hot, leaving some out helps nobody.
TEST(GatewayNaming, OnlyDifferencesCount)
{
    auto all = gateways(0, 12);
    for (auto &gateway : all)
        gateway.callerShare = 5;
    GatewayNaming naming(Rule::ByShare);
    naming.setGateways(all, Preferred);
    EXPECT_EQ(copyOf(naming.nextAnswer()), Registry::selectGateways(all, Preferred));
    all[3].callerShare = 10;
    naming.setGateways(all, Preferred);
    const auto counts = namings(naming, 100);
    EXPECT_EQ(counts.at(all[3].gatewayId), 100);
    EXPECT_NEAR(counts.at(all[4].gatewayId), 50, 1);
}

// Strong gateways that are all hot: idle standbys of their data centres are named in their place.
TEST(GatewayNaming, StandbysThatSuitGathersStandIn)
{
    auto all = gateways(6, 60);
    for (std::size_t index = 0; index < 6; ++index)
        all[index].callerShare = 8;
    GatewayNaming naming(Rule::ByShare);
    naming.setGateways(all, Preferred);
    EXPECT_EQ(naming.gatewaysInUse(), 12U + 6U);
    EXPECT_EQ(naming.nextAnswer().size(), 12U);
    for (std::size_t index = 6; index < all.size(); ++index)
        all[index].suitsGathers = false;
    naming.setGateways(all, Preferred);
    EXPECT_EQ(naming.gatewaysInUse(), 6U);
}

// A wrong report must not keep a gateway out for ever.
TEST(GatewayNaming, SharesOutOfRangeAreBounded)
{
    auto all = gateways(0, 12);
    all[0].callerShare = 0;
    all[1].callerShare = 255;
    GatewayNaming naming(Rule::ByShare);
    naming.setGateways(all, Preferred);
    const auto counts = namings(naming, 160);
    EXPECT_EQ(counts.at(all[0].gatewayId), 10);
    EXPECT_EQ(counts.at(all[1].gatewayId), 160);
}

// Whatever is reported and however it changes: answers are never empty, name nobody twice, and have gateways
// in each data centre that has some.
RC_GTEST_PROP(GatewayNaming, AlwaysGivesCallersSomewhereToGo, ())
{
    const auto strong = *rc::gen::inRange<std::size_t>(0, 8);
    auto all = gateways(strong, *rc::gen::inRange<std::size_t>(1, 40));
    GatewayNaming naming(Rule::ByShare);
    for (int round = 0; round < 5; ++round) {
        for (auto &gateway : all)
            gateway.callerShare = *rc::gen::inRange<std::uint8_t>(0, 20);
        naming.setGateways(all, Preferred);
        const auto today = perDataCentre(Registry::selectGateways(all, Preferred));
        for (int answer = 0; answer < 10; ++answer) {
            const auto named = copyOf(naming.nextAnswer());
            RC_ASSERT(!namesAGatewayTwice(named));
            for (const auto &[dataCentre, count] : today) {
                const auto counts = perDataCentre(named);
                RC_ASSERT(counts.contains(dataCentre));
                RC_ASSERT(counts.at(dataCentre) >= std::min(count, GatewayNaming::MinPerDataCentre));
                RC_ASSERT(counts.at(dataCentre) <= count);
            }
        }
    }
}
