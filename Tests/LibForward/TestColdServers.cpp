#include "LibForward/ForwardFixture.h"

#include <set>

using Forward::BackendTable;
using Tests::ForwardFixture;
using Tests::milliseconds;

namespace {

/// Has as many units as the test puts in, and counts what happens to them.
class FakeUnits final : public Forward::ColdUnits
{
public:
    std::optional<Base::Instant> take(Base::Instant now, const Forward::Backend &server) override
    {
        asked.insert(server.record.id);
        if (stock == 0)
            return std::nullopt;
        --stock;
        return now + milliseconds(50);
    }

    bool has(Base::Instant, const Forward::Backend &) const override { return stock > 0; }

    void giveBack(Base::Instant, const Forward::Backend &, Base::Instant) override
    {
        ++stock;
        ++givenBack;
    }

    std::size_t stock = 0;
    std::size_t givenBack = 0;
    std::set<std::string> asked;
};

class ColdServers : public ForwardFixture
{
protected:
    /// Lists the servers anew; those with these ids are cold for ten seconds.
    void listCold(const std::set<std::string> &cold)
    {
        auto servers = list();
        for (auto &server : servers.servers)
            server.warmUpLeftMs = cold.contains(server.id) ? 10'000 : 0;
        core->setServers(now, servers);
        collect();
    }

    void limit() { core->setColdLimits({{"s0", 5.0}}, &units); }

    FakeUnits units;
};

} // namespace

TEST_F(ColdServers, ColdServerGetsNothingWithoutAUnit)
{
    limit();
    listCold({"s0-a"});
    for (int count = 0; count < 20; ++count) {
        begin("/s/x");
        ASSERT_EQ(sends.back().backend->record.id, "s0-b");
        reply(sends.back().attempt, success());
    }
    EXPECT_EQ(units.givenBack, 0U);
}

TEST_F(ColdServers, EachAttemptSpendsAUnit)
{
    limit();
    listCold({"s0-a", "s0-b"});
    units.stock = 2;
    begin("/s/x");
    begin("/s/x");
    EXPECT_EQ(sends.size(), 2U);
    EXPECT_EQ(units.stock, 0U);
    begin("/s/x");
    EXPECT_EQ(sends.size(), 2U);
    EXPECT_EQ(core->legsWaiting(), 1U);
    units.stock = 1;
    core->unitsArrived(now);
    collect();
    EXPECT_EQ(sends.size(), 3U);
    EXPECT_EQ(core->legsWaiting(), 0U);
}

// A hedge counts at the server like any other attempt.
TEST_F(ColdServers, HedgeNeedsAUnit)
{
    limit();
    listCold({"s0-a", "s0-b"});
    units.stock = 1;
    begin("/s/x");
    advance(milliseconds(400));
    EXPECT_EQ(sends.size(), 1U);
    units.stock = 1;
    advance(milliseconds(400));
    EXPECT_EQ(sends.size(), 2U);
}

// Another server has answered at the address, or nothing has left this process: the cold server has seen
// nothing.
TEST_F(ColdServers, AttemptThatTheServerNeverSawGivesItsUnitBack)
{
    limit();
    listCold({"s0-a", "s0-b"});
    units.stock = 1;
    begin("/s/x");
    reply(sends.back().attempt, notExecuted(421));
    EXPECT_EQ(units.givenBack, 1U);
    begin("/s/x");
    fail(sends.back().attempt, Edge::ExchangeFailure::NoConnection);
    EXPECT_GE(units.givenBack, 2U);
}

// A server that turns a request away has seen it, and counts it.
TEST_F(ColdServers, RejectedAttemptKeepsItsUnit)
{
    limit();
    listCold({"s0-a", "s0-b"});
    units.stock = 1;
    begin("/s/x");
    reply(sends.back().attempt, notExecuted(503));
    EXPECT_EQ(units.givenBack, 0U);
}

// Servers become cold again in the middle of a day; the list shows it seconds later, or not any more.
TEST_F(ColdServers, OwnFigureMakesAServerCold)
{
    limit();
    listCold({"s0-b"});
    begin("/s/x");
    ASSERT_EQ(sends.back().backend->record.id, "s0-a");
    auto cold = success();
    cold.warmUp = milliseconds(3000);
    reply(sends.back().attempt, cold);
    begin("/s/x");
    EXPECT_EQ(sends.size(), 1U);
    listCold({"s0-b"});
    EXPECT_EQ(sends.size(), 1U);
    advance(milliseconds(3001));
    begin("/s/x");
    EXPECT_EQ(sends.back().backend->record.id, "s0-a");
    EXPECT_GT(sends.size(), 1U);
}

// A 421 comes from another server, whose figure says nothing of the one that was meant.
TEST_F(ColdServers, FigureOfAnotherServerDoesNotCount)
{
    begin("/s/x");
    const auto server = sends.back().backend;
    auto misdirected = notExecuted(421);
    misdirected.warmUp = milliseconds(3000);
    reply(sends.back().attempt, misdirected);
    EXPECT_FALSE(server->isCold(now));
}

TEST_F(ColdServers, FigureOfZeroEndsTheGuessAfterAnEvacuation)
{
    begin("/s/x");
    const auto server = sends.back().backend;
    core->setEvacuated(now, {"dc-a"});
    core->setEvacuated(now, {});
    EXPECT_TRUE(server->isCold(now));
    auto warm = success();
    warm.warmUp = Base::Duration::zero();
    reply(sends.back().attempt, warm);
    EXPECT_FALSE(server->isCold(now));
}

// Where no service has a limit, or no source is set, nobody is asked and cold servers are used as before.
TEST_F(ColdServers, CostNothingWithoutALimit)
{
    listCold({"s0-a", "s0-b"});
    begin("/s/x");
    EXPECT_EQ(sends.size(), 1U);
    core->setColdLimits({}, &units);
    begin("/s/x");
    EXPECT_EQ(sends.size(), 2U);
    core->setColdLimits({{"s0", 5.0}}, nullptr);
    begin("/s/x");
    EXPECT_EQ(sends.size(), 3U);
    EXPECT_TRUE(units.asked.empty());
}

// A refusal for lack of time must not count on what cold servers do not take.
TEST_F(ColdServers, CapacityOfColdServersIsTheirLimit)
{
    FakeUnits none;
    BackendTable backends(1, "dc-a");
    auto servers = list();
    for (auto &server : servers.servers)
        server.warmUpLeftMs = 10'000;
    backends.update(now, servers);
    const auto unlimited = backends.attemptsPerMillisecond(now, "s0", 4, milliseconds(10));
    backends.setColdLimits({{"s0", 5.0}}, &none);
    EXPECT_DOUBLE_EQ(backends.attemptsPerMillisecond(now, "s0", 4, milliseconds(10)), 2 * 0.005);
    EXPECT_GT(unlimited, 0.01);
    EXPECT_EQ(backends.coldCount(now), servers.servers.size());
}

// Counts are kept up as marks change, so that no tick looks at all servers.
TEST_F(ColdServers, CountFollowsEveryMark)
{
    listCold({"s0-a", "s1-b"}); // For 10 s.
    EXPECT_EQ(core->coldServers(now), 2U);
    // Once each, also if both the list and the server say it. Four attempts fill both servers of the service.
    for (int count = 0; count < 4; ++count)
        begin("/s/x");
    for (auto &sent : std::exchange(sends, {})) {
        auto cold = success();
        cold.warmUp = milliseconds(20'000);
        reply(sent.attempt, cold);
    }
    EXPECT_EQ(core->coldServers(now), 3U);
    now += milliseconds(10'001);
    EXPECT_EQ(core->coldServers(now), 2U);
    core->setEvacuated(now, {"dc-a"});
    EXPECT_EQ(core->backends().evacuatedCount(), list().servers.size());
    core->setEvacuated(now, {});
    EXPECT_EQ(core->backends().evacuatedCount(), 0U);
    EXPECT_EQ(core->coldServers(now), list().servers.size());
    now += BackendTable::PresumedColdTime;
    EXPECT_EQ(core->coldServers(now), 2U);
    now += milliseconds(20'000);
    EXPECT_EQ(core->coldServers(now), 0U);
}

// One that has left the list is not held, and a late figure of it must not bring it back.
TEST_F(ColdServers, CountHoldsOnlyListedServers)
{
    begin("/s/x");
    listCold({"s0-a", "s0-b"});
    EXPECT_EQ(core->coldServers(now), 2U);
    const auto late = sends.back();
    auto servers = list();
    std::erase_if(servers.servers, [&](const auto &server) { return server.id == late.backend->record.id; });
    for (int read = 0; read < 2; ++read) {
        for (auto &server : servers.servers)
            server.warmUpLeftMs = server.service == "s0" ? 10'000 : 0;
        core->setServers(now, servers);
    }
    EXPECT_EQ(core->coldServers(now), 1U);
    auto cold = success();
    cold.warmUp = milliseconds(3000);
    reply(late.attempt, cold);
    EXPECT_EQ(core->coldServers(now), 1U);
}
