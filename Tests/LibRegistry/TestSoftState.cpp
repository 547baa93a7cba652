#include "LibRegistry/GatewayTable.h"
#include "LibRegistry/ServerListHolder.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace {

using Base::milliseconds;
using Registry::GatewayTable;
using Registry::ServerListHolder;
using Wire::GatewayState;

const Base::Instant Start {Base::seconds(1000)};

Wire::GatewayRecord gateway(const std::string &id, GatewayState state, std::uint64_t incarnation = 1)
{
    return {id, incarnation, id + ":80", "dc-a", state};
}

Wire::ServerList listRead(std::uint32_t ageMs, std::uint64_t digest, std::size_t servers)
{
    return {std::vector<Wire::ServerRecord>(servers), digest, ageMs};
}

} // namespace

// Each caller sent to a lost gateway loses a second.
TEST(GatewayTable, SilentGatewaysAreNotServing)
{
    GatewayTable table;
    table.report(Start, gateway("a", GatewayState::Serving));
    table.report(Start, gateway("b", GatewayState::Joining));
    EXPECT_EQ(table.serving(Start).size(), 1U);
    EXPECT_TRUE(table.serving(Start + GatewayTable::ReportTimeout).empty());
}

// A relayed report of "serving" that was in flight must not bring a leaving gateway back.
TEST(GatewayTable, LeavingIsFinalForOneIncarnation)
{
    GatewayTable table;
    table.report(Start, gateway("a", GatewayState::Serving));
    table.report(Start + milliseconds(100), gateway("a", GatewayState::Leaving));
    table.merge(Start + milliseconds(200), {{gateway("a", GatewayState::Serving), 150}});
    EXPECT_TRUE(table.serving(Start + milliseconds(200)).empty());
    table.merge(Start + milliseconds(300), {{gateway("a", GatewayState::Serving), 10}});
    EXPECT_TRUE(table.serving(Start + milliseconds(300)).empty());
    table.report(Start + milliseconds(400), gateway("a", GatewayState::Serving, 2));
    EXPECT_EQ(table.serving(Start + milliseconds(400)).size(), 1U);
}

// Only first-hand reports are shared; otherwise two registries would keep a dead gateway alive for each
// other.
TEST(GatewayTable, SharesOnlyFirstHandReports)
{
    GatewayTable table;
    table.merge(Start, {{gateway("a", GatewayState::Serving), 10}});
    table.report(Start, gateway("b", GatewayState::Serving));
    EXPECT_EQ(table.serving(Start).size(), 2U);
    ASSERT_EQ(table.firstHandReports(Start).size(), 1U);
    EXPECT_EQ(table.firstHandReports(Start)[0].gateway.gatewayId, "b");
}

// A gateway that is partitioned from the registries stays known while another one relays its reports.
TEST(GatewayTable, RelayedReportsCountAsFirstHandWithTheirAge)
{
    GatewayTable table;
    table.relay(Start, {{gateway("a", GatewayState::Serving), 200}});
    ASSERT_EQ(table.firstHandReports(Start).size(), 1U);
    EXPECT_EQ(table.firstHandReports(Start)[0].ageMs, 200U);
    EXPECT_TRUE(table.serving(Start + GatewayTable::ReportTimeout - milliseconds(200)).empty());
}

// A list from an earlier read must not bring drained servers back, no matter how it arrived.
TEST(ServerListHolder, LaterReadWins)
{
    ServerListHolder holder;
    EXPECT_TRUE(holder.offer(Start, listRead(100, 1, 3)));
    EXPECT_FALSE(holder.offer(Start, listRead(500, 2, 4)));
    EXPECT_EQ(holder.digest(), 1U);
    EXPECT_TRUE(holder.offer(Start + milliseconds(50), listRead(0, 2, 4)));
    EXPECT_EQ(holder.digest(), 2U);
}

// Content is sent only to receivers without it; a digest without content only confirms a matching list.
TEST(ServerListHolder, SendsContentOnlyIfNeeded)
{
    ServerListHolder holder;
    EXPECT_FALSE(holder.copyFor(Start, 0).has_value());
    holder.offer(Start, listRead(0, 1, 3));
    EXPECT_TRUE(holder.copyFor(Start, 1)->servers.empty());
    EXPECT_EQ(Registry::unpack(*holder.copyFor(Start + milliseconds(20), 9))->servers.size(), 3U);
    EXPECT_EQ(holder.copyFor(Start + milliseconds(20), 9)->ageMs, 20U);
    EXPECT_FALSE(holder.offer(Start + milliseconds(100), listRead(0, 1, 0)));
    EXPECT_EQ(holder.readAt(), Start + milliseconds(100));
    EXPECT_FALSE(holder.offer(Start + milliseconds(200), listRead(0, 7, 0)));
    EXPECT_EQ(holder.readAt(), Start + milliseconds(100));
}

// A registry with an older list answered its gateways in a tight loop with a list that they rejected, which
// saturated the links (seen on csf-waxroute-grown trouble-3).
TEST(ServerListHolder, SendsNoListOlderThanTheReceivers)
{
    ServerListHolder holder;
    EXPECT_EQ(holder.ageMs(Start), UINT32_MAX);
    holder.offer(Start, listRead(500, 1, 3));
    EXPECT_FALSE(holder.copyFor(Start, 2, 100).has_value());
    EXPECT_TRUE(holder.copyFor(Start, 2, 900).has_value());
    EXPECT_EQ(Registry::unpack(*holder.copyFor(Start, 2, 900))->servers.size(), 3U);
    EXPECT_EQ(holder.ageMs(Start), 500U);
}

// One reader is enough while it works; any other process takes over if it fails.
TEST(ServerListHolder, OthersTakeOverFromTheLeader)
{
    ServerListHolder holder;
    EXPECT_TRUE(holder.shouldRead(Start, false));
    holder.offer(Start, listRead(0, 1, 3));
    EXPECT_FALSE(holder.shouldRead(Start + ServerListHolder::ReadInterval, false));
    EXPECT_TRUE(holder.shouldRead(Start + ServerListHolder::ReadInterval, true));
    EXPECT_TRUE(holder.shouldRead(Start + ServerListHolder::TakeoverAge, false));
}

// Calls beyond the platform's rate limit are refused, and a read with a missing page fails as a whole. Each
// changed list also goes to every gateway: 900 servers occupied links of 14 Mbit/s for 40 ms.
TEST(ServerListHolder, ReadsLessOftenAtALowRateLimit)
{
    EXPECT_EQ(ServerListHolder::readInterval(19, 390.0), ServerListHolder::ReadInterval);
    const auto interval = ServerListHolder::readInterval(20, 10.0);
    EXPECT_GE(interval, Base::seconds(2));
    ServerListHolder holder;
    holder.offer(Start, listRead(0, 1, 3));
    EXPECT_FALSE(holder.shouldRead(Start + ServerListHolder::ReadInterval, true, interval));
    EXPECT_TRUE(holder.shouldRead(Start + interval, true, interval));
    EXPECT_FALSE(holder.shouldRead(Start + interval, false, interval));
    EXPECT_TRUE(holder.shouldRead(Start + 2 * interval, false, interval));
}

TEST(ServerListHolder, CopiesAreCompressed)
{
    constexpr std::size_t Servers = 900;
    Wire::ServerList list {std::vector<Wire::ServerRecord>(Servers), 1, 0};
    for (std::size_t index = 0; index < Servers; ++index) {
        auto &server = list.servers[index];
        server.id = fmt::format("i-{:010x}", index * 2654435761U);
        server.service = fmt::format("shard-{}", index / 3);
        server.address = fmt::format("10.1.{}.{}:8080", index / 200, index % 200);
        server.dataCentre = "dc-a";
    }
    ServerListHolder holder;
    holder.offer(Start, list);
    const auto packed = holder.copyFor(Start, 0);
    EXPECT_LT(packed->servers.size(), Wire::encode(list.servers).size() / 2);
    EXPECT_EQ(Registry::unpack(*packed)->servers, list.servers);
}

TEST(ServerListHolder, DamagedListsAreRefused)
{
    EXPECT_FALSE(Registry::unpack({"no list", 1, 0}).has_value());
}

// After a power loss of the whole deployment, callers wait for the first list; simultaneous reads by all
// registries would exceed the platform's rate limit.
TEST(ServerListHolder, FirstReadsOfRegistriesAreStaggered)
{
    const std::vector<std::string> addresses {"10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7"};
    std::vector<Base::Duration> delays;
    for (const auto &own : addresses) {
        auto others = addresses;
        std::erase(others, own);
        delays.push_back(ServerListHolder::firstReadDelay(own, others));
    }
    EXPECT_EQ(delays[0], Base::Duration::zero());
    EXPECT_GE(delays[1], ServerListHolder::FirstReadStagger);
    EXPECT_GE(delays[2] - delays[1], ServerListHolder::FirstReadStagger);
}
