// What ForwardCore says that it would do must be what it then does, and asking must change nothing.

#include "LibForward/ForwardFixture.h"

using Forward::LegExplanation;
using Forward::Obstacle;
using Tests::ForwardFixture;
using Tests::milliseconds;
using Fate = Forward::LegExplanation::Fate;

namespace {

/// Each server has units of its own, as many as are granted.
class FakeUnits final : public Forward::ColdUnits
{
public:
    std::optional<Base::Instant> take(Base::Instant now, const Forward::Backend &backend) override
    {
        if (!has(now, backend))
            return std::nullopt;
        ++spent[backend.record.id];
        return now + milliseconds(50);
    }
    bool has(Base::Instant, const Forward::Backend &backend) const override
    {
        const auto found = spent.find(backend.record.id);
        return (found == spent.end() ? 0 : found->second) < granted;
    }
    void giveBack(Base::Instant, const Forward::Backend &backend, Base::Instant) override
    {
        --spent[backend.record.id];
    }

    std::size_t granted = 0;
    std::map<std::string, std::size_t> spent; ///< By server.
};

class ExplanationTest : public ForwardFixture
{
protected:
    Forward::RequestFacts factsOf(const std::string &path, const Route::TenantRule *tenant = nullptr) const
    {
        return {table, table->find("h", path), milliseconds(1000), {.network = milliseconds(10)}, tenant};
    }

    /// Asks, then sends such a request, and checks that it went to the first server, the only candidate.
    LegExplanation expectSentTo(const std::string &server)
    {
        const auto explained = core->explain(now, factsOf("/s/x"));
        EXPECT_FALSE(explained.refusal.has_value());
        auto leg = explained.legs.at(0);
        EXPECT_EQ(leg.fate, Fate::Sent);
        EXPECT_EQ(idOf(leg, 0), server);
        EXPECT_TRUE(leg.servers.at(0).mayBeChosen);
        EXPECT_FALSE(leg.servers.at(1).mayBeChosen);
        const auto before = sends.size();
        begin("/s/x");
        EXPECT_EQ(sends.size(), before + 1);
        EXPECT_EQ(sends.back().backend->record.id, server);
        return leg;
    }

    /// Asks, then sends such a request, and checks that it was refused for the reason that was named.
    Forward::Explanation expectRefused(const std::string &path, Base::ErrorKind error)
    {
        auto explained = core->explain(now, factsOf(path));
        EXPECT_TRUE(explained.refusal.has_value());
        EXPECT_EQ(explained.refusal->error, error);
        const auto id = begin(path);
        EXPECT_EQ(answers.back().exchange, id);
        EXPECT_EQ(answers.back().outcome.error, error);
        EXPECT_EQ(answers.back().outcome.cause, explained.refusal->cause);
        return explained;
    }

    static std::string idOf(const LegExplanation &leg, std::size_t position)
    {
        return leg.servers.at(position).server->record.id;
    }

    /// Sends requests until one is at `server`, and returns its attempt. The others succeed.
    Forward::AttemptId sendTo(const std::string &server)
    {
        for (int count = 0; count < 100; ++count) {
            begin("/s/x");
            if (sends.back().backend->record.id == server)
                return sends.back().attempt;
            reply(sends.back().attempt, success());
        }
        ADD_FAILURE() << "nothing was sent to " << server;
        return 0;
    }

    void answerFrom(const std::string &server, const Forward::AttemptReply &answer)
    {
        reply(sendTo(server), answer);
        // A refused request may have been sent to the other server.
        if (sends.back().backend->record.id != server)
            reply(sends.back().attempt, success());
    }
};

} // namespace

TEST_F(ExplanationTest, NamesTheFasterServer)
{
    for (int count = 0; count < 10; ++count) {
        begin("/o/x"); // Without hedges.
        const auto sent = sends.back();
        advance(milliseconds(sent.backend->record.id == "s0-a" ? 70 : 10));
        reply(sent.attempt, success());
    }
    const auto leg = expectSentTo("s0-b");
    EXPECT_LT(leg.servers[0].slowness, leg.servers[1].slowness);
}

TEST_F(ExplanationTest, NamesTheServerWithTheShorterQueue)
{
    auto loaded = success();
    loaded.load = Adapter::ServerLoad {2, 4, 2, 1.0};
    answerFrom("s0-a", loaded);
    const auto leg = expectSentTo("s0-b");
    EXPECT_TRUE(leg.servers[1].reportsLongQueue);
    EXPECT_EQ(leg.servers[1].limit, 1U);
    ASSERT_TRUE(leg.servers[1].load.has_value());
    EXPECT_EQ(leg.servers[1].load->waiting, 4U);
}

TEST_F(ExplanationTest, NamesThePause)
{
    auto pause = notExecuted(503);
    pause.pause = milliseconds(700);
    answerFrom("s0-a", pause);
    const auto leg = expectSentTo("s0-b");
    EXPECT_EQ(leg.servers[1].obstacle, Obstacle::Paused);
    EXPECT_EQ(leg.servers[1].pausedFor, milliseconds(700));
    EXPECT_EQ(leg.accepting, 1U);
}

TEST_F(ExplanationTest, NamesTheLeavingServerLast)
{
    auto leaving = success();
    leaving.announcesLeaving = true;
    answerFrom("s0-a", leaving);
    const auto leg = expectSentTo("s0-b");
    EXPECT_EQ(leg.servers[1].availability, Forward::Availability::LastResort);
    EXPECT_EQ(leg.servers[1].obstacle, Obstacle::None);
    ASSERT_TRUE(leg.servers[1].leavesIn.has_value());
    advance(milliseconds(2000));
    EXPECT_EQ(expectSentTo("s0-b").servers[1].obstacle, Obstacle::Left);
}

TEST_F(ExplanationTest, NamesColdServersAndMissingUnits)
{
    auto servers = list();
    servers.servers[0].warmUpLeftMs = 10'000;
    core->setServers(now, servers);
    EXPECT_TRUE(expectSentTo("s0-b").servers[1].isCold);
    reply(sends.back().attempt, success());
    FakeUnits units;
    core->setColdLimits({{"s0", 5.0}}, &units);
    const auto leg = expectSentTo("s0-b");
    EXPECT_EQ(leg.servers[1].obstacle, Obstacle::NoUnit);
    EXPECT_EQ(leg.servers[1].coldPerSecond, 5.0);
    units.granted = 1;
    EXPECT_EQ(core->explain(now, factsOf("/s/x")).legs[0].servers[1].obstacle, Obstacle::None);
    EXPECT_TRUE(units.spent.empty());
    core->setColdLimits({}, nullptr);
}

TEST_F(ExplanationTest, NamesEvacuatedServers)
{
    auto servers = list();
    servers.servers[0].dataCentre = "dc-b";
    core->setServers(now, servers);
    const auto near = expectSentTo("s0-b");
    EXPECT_GT(near.servers[1].distanceMs, 0.0);
    reply(sends.back().attempt, success());
    core->setEvacuated(now, {"dc-a"});
    EXPECT_EQ(expectSentTo("s0-a").servers[1].obstacle, Obstacle::Evacuated);
    reply(sends.back().attempt, success());
    core->setEvacuated(now, {"dc-a", "dc-b"});
    const auto refused = expectRefused("/s/x", Base::ErrorKind::NoEligibleReplica);
    EXPECT_EQ(refused.legs.at(0).fate, Fate::Missing);
}

TEST_F(ExplanationTest, NamesServersThatTheListNoLongerOffers)
{
    auto servers = list();
    servers.servers[0].state = Wire::ServerState::Draining;
    core->setServers(now, servers);
    EXPECT_EQ(expectSentTo("s0-b").servers[1].obstacle, Obstacle::NotReady);
}

TEST_F(ExplanationTest, NamesTheServerThatIsFull)
{
    for (int count = 0; count < 3; ++count)
        begin("/s/x");
    const bool isFirstFull = sends[0].backend->openSince.size() == 2;
    const auto &full = isFirstFull ? sends[0].backend : sends[1].backend;
    const auto leg = expectSentTo(full->record.id == "s0-a" ? "s0-b" : "s0-a");
    EXPECT_EQ(leg.servers[1].obstacle, Obstacle::Full);
    EXPECT_EQ(leg.freeAttempts, 1U);
}

TEST_F(ExplanationTest, NamesALearnedLimit)
{
    sendTo("s0-a");
    const auto server = sends.back().backend;
    server->history.reset(new Forward::ServerHistory);
    for (int step = 0; step < 600; ++step) {
        const double latency = step < 200 ? 1.0 : 3.0;
        server->history->concurrency.record(now + step * milliseconds(10), latency, 2, 2);
    }
    const auto leg = expectSentTo("s0-b");
    EXPECT_EQ(leg.servers[1].obstacle, Obstacle::Full);
    EXPECT_TRUE(leg.servers[1].isLimitLearned);
    EXPECT_EQ(leg.servers[1].limit, 1U);
    EXPECT_EQ(leg.servers[1].slotLimit, 2U);
}

// Two servers with two slots each, all taken.
TEST_F(ExplanationTest, SaysThatARequestWouldWait)
{
    for (int count = 0; count < 4; ++count)
        begin("/s/x");
    const auto explained = core->explain(now, factsOf("/s/x"));
    ASSERT_FALSE(explained.refusal.has_value());
    const auto &leg = explained.legs.at(0);
    EXPECT_EQ(leg.fate, Fate::Waits);
    EXPECT_EQ(leg.servers[0].obstacle, Obstacle::Full);
    EXPECT_EQ(leg.servers[0].open, 2U);
    EXPECT_EQ(leg.servers[0].limit, 2U);
    EXPECT_EQ(leg.freeAttempts, 0U);
    EXPECT_EQ(leg.waiting, 0U);
    begin("/s/x");
    EXPECT_EQ(sends.size(), 4U);
    EXPECT_EQ(core->legsWaiting(), 1U);
    EXPECT_EQ(core->explain(now, factsOf("/s/x")).legs.at(0).waiting, 1U);
}

TEST_F(ExplanationTest, SaysWhyTheQueueIsTooLong)
{
    std::size_t count = 0;
    while (!core->explain(now, factsOf("/s/x")).refusal && count < 5000) {
        begin("/s/x");
        ++count;
    }
    ASSERT_LT(count, 5000U);
    EXPECT_GT(count, 4U);
    expectRefused("/s/x", Base::ErrorKind::Overloaded);
    // Not everything is full.
    EXPECT_FALSE(core->explain(now, factsOf("/g/x")).refusal.has_value());
}

TEST_F(ExplanationTest, SaysThatTheGatewayStops)
{
    core->setStopTime(now + milliseconds(5));
    expectRefused("/s/x", Base::ErrorKind::ShuttingDown);
}

// One request in 200 ms finds out whether silent servers answer again; asking must not use it up.
TEST_F(ExplanationTest, AskingUsesUpNoProbe)
{
    for (int count = 0; count < 4; ++count)
        begin("/s/x");
    advance(milliseconds(700));
    ASSERT_FALSE(core->explain(now, factsOf("/s/x")).refusal.has_value());
    EXPECT_TRUE(core->explain(now, factsOf("/s/x")).isProbe);
    begin("/s/x");
    expectRefused("/s/x", Base::ErrorKind::NoEligibleReplica);
}

TEST_F(ExplanationTest, TellsTheShardsOfAGather)
{
    core->setEvacuated(now, {});
    auto servers = list();
    servers.servers[2].state = servers.servers[3].state = Wire::ServerState::Draining;
    core->setServers(now, servers);
    const auto explained = core->explain(now, factsOf("/g/x"));
    ASSERT_EQ(explained.legs.size(), 10U);
    EXPECT_FALSE(explained.refusal.has_value());
    EXPECT_NEAR(explained.legsNeeded, 8.0, 1e-6);
    EXPECT_TRUE(explained.targets.empty());
    EXPECT_EQ(explained.legs[0].fate, Fate::Sent);
    EXPECT_EQ(explained.legs[1].fate, Fate::Missing);
    EXPECT_EQ(explained.legs[1].accepting, 0U);
    begin("/g/x");
    EXPECT_EQ(sends.size(), 9U);
}

// Weighted splits take turns, which asking must not take.
TEST_F(ExplanationTest, NamesTheNextTargetOfASplit)
{
    auto configuration = makeTable()->configuration();
    configuration.routes[1].targets = {{"s0", 1.0}, {"s1", 2.0}, {"s2", 0.0}};
    table = std::make_shared<const Route::RouteTable>(std::move(configuration));
    EXPECT_FALSE(core->explain(now, factsOf("/s/x")).isSplitKnown);
    begin("/s/x");
    for (int count = 0; count < 12; ++count) {
        const auto explained = core->explain(now, factsOf("/s/x"));
        ASSERT_EQ(explained.targets.size(), 3U);
        EXPECT_TRUE(explained.isSplitKnown);
        EXPECT_FALSE(explained.targets[2].next);
        reply(sends.back().attempt, success());
        begin("/s/x");
        EXPECT_EQ(sends.back().backend->record.service, explained.legs.at(0).service);
    }
}

namespace {

/// Random traffic, faults, lists and orders. Each request is explained before it is sent, if `explains`, and
/// the two are compared.
class ExplanationSessions : public ExplanationTest, public ::testing::WithParamInterface<std::uint64_t>
{
protected:
    /// Returns what the core did.
    std::string run(bool explains, bool hasTenants)
    {
        now = Base::Instant(milliseconds(1'000'000));
        sends.clear();
        answers.clear();
        open_.clear();
        seen_ = 0;
        random_ = Base::RandomSource(GetParam());
        table = sessionTable(hasTenants);
        useOptions({"dc-a", GetParam(), 0.2, 1000.0, milliseconds(300), hasTenants});
        units_ = {};
        core->setColdLimits({{"s0", 5.0}, {"s1", 5.0}}, &units_);
        for (int step = 0; step < 600; ++step) {
            takeStep(explains);
            advance(Base::Duration(random_.below(6000)));
            collectOpen();
        }
        core->setColdLimits({}, nullptr);
        std::string trace;
        for (const auto &send : sends)
            trace += fmt::format("{} {} {}\n", send.attempt, send.exchange, send.backend->record.id);
        for (const auto &answer : answers)
            trace += fmt::format("{} {}\n", answer.exchange, answer.outcome.cause);
        return trace;
    }

    std::size_t refused = 0;
    std::size_t sent = 0;
    std::size_t waited = 0;
    std::size_t missing = 0;

private:
    static std::shared_ptr<const Route::RouteTable> sessionTable(bool hasTenants)
    {
        auto configuration = makeTable()->configuration();
        configuration.routes[1].targets = {{"s0", 1.0}, {"s1", 1.0}};
        configuration.routes[2].rank = 1;
        if (hasTenants) {
            auto &tenants = configuration.tenants.emplace();
            for (int index = 0; index < 3; ++index) {
                Route::TenantRule tenant;
                tenant.name = fmt::format("t{}", index);
                tenant.requestsPerSecond = 10.0 * index;
                if (index == 2)
                    tenant.rank = 2;
                tenants.push_back(tenant);
            }
        }
        return std::make_shared<const Route::RouteTable>(std::move(configuration));
    }

    void takeStep(bool explains)
    {
        const auto kind = random_.below(100);
        if (kind < 55)
            return request(explains);
        if (kind < 90 && !open_.empty())
            return answerOne();
        if (kind < 93)
            return listAnew();
        if (kind == 93)
            core->setEvacuated(now, random_.below(3) == 0 ? std::set<std::string, std::less<>> {"dc-b"}
                                                          : std::set<std::string, std::less<>> {});
        if (kind == 94)
            ++units_.granted;
        if (kind == 95)
            core->setGatewayCount(1 + random_.below(30));
        collect();
    }

    void request(bool explains)
    {
        const auto *path = random_.below(4) == 0 ? "/g/x" : random_.below(3) == 0 ? "/o/x" : "/s/x";
        const auto tenants = table->configuration().tenantRules();
        const auto tenant = random_.below(tenants.size() + 1);
        auto facts = factsOf(path, tenant < tenants.size() ? &tenants[tenant] : nullptr);
        if (!explains) {
            core->begin(now, facts);
            return collect();
        }
        const auto explained = core->explain(now, facts);
        const auto firstSend = sends.size();
        const auto firstAnswer = answers.size();
        const auto id = core->begin(now, facts);
        collect();
        // Without a known turn the target is drawn, and may be another one.
        if (explained.isSplitKnown)
            compare(explained, id, firstSend, firstAnswer);
    }

    void compare(const Forward::Explanation &explained, Forward::ExchangeId id, std::size_t firstSend,
                 std::size_t firstAnswer)
    {
        const auto answer =
            std::find_if(answers.begin() + static_cast<std::ptrdiff_t>(firstAnswer), answers.end(),
                         [id](const auto &other) { return other.exchange == id; });
        ASSERT_EQ(answer != answers.end(), explained.refusal.has_value());
        if (explained.refusal) {
            ++refused;
            EXPECT_EQ(answer->outcome.error, explained.refusal->error);
            EXPECT_EQ(answer->outcome.cause, explained.refusal->cause);
            return;
        }
        std::map<std::string_view, std::string> servers;
        for (auto index = firstSend; index < sends.size(); ++index) {
            if (sends[index].exchange == id)
                servers.emplace(sends[index].backend->record.service, sends[index].backend->record.id);
        }
        for (const auto &leg : explained.legs) {
            const auto server = servers.find(leg.service);
            ASSERT_EQ(server != servers.end(), leg.fate == Fate::Sent) << leg.service;
            waited += leg.fate == Fate::Waits ? 1 : 0;
            missing += leg.fate == Fate::Missing ? 1 : 0;
            if (leg.fate != Fate::Sent)
                continue;
            ++sent;
            const auto standing =
                std::find_if(leg.servers.begin(), leg.servers.end(), [&](const auto &candidate) {
                    return candidate.server->record.id == server->second;
                });
            ASSERT_NE(standing, leg.servers.end());
            EXPECT_TRUE(standing->mayBeChosen) << server->second;
        }
    }

    void answerOne()
    {
        const auto index = random_.below(open_.size());
        const auto attempt = open_[index];
        open_.erase(open_.begin() + static_cast<std::ptrdiff_t>(index));
        const auto kind = random_.below(20);
        if (kind == 0)
            return fail(attempt, Edge::ExchangeFailure::NoConnection);
        if (kind == 1)
            return fail(attempt, Edge::ExchangeFailure::ReplyLost);
        auto answer = kind == 2 ? notExecuted(503) : kind == 3 ? notExecuted(421) : success();
        if (kind == 2)
            answer.pause = milliseconds(random_.below(400));
        answer.announcesLeaving = kind == 4;
        if (kind == 5)
            answer.warmUp = milliseconds(random_.below(500));
        if (kind < 10)
            answer.load = Adapter::ServerLoad {static_cast<std::uint32_t>(random_.below(3)),
                                               static_cast<std::uint32_t>(random_.below(8)), 2, 1.0};
        reply(attempt, answer);
    }

    void listAnew()
    {
        auto servers = list();
        for (auto &server : servers.servers) {
            server.bornAt = static_cast<std::int64_t>(random_.below(40) / 39);
            server.dataCentre = server.id.ends_with('b') ? "dc-b" : "dc-a";
            server.warmUpLeftMs = random_.below(5) == 0 ? 200 : 0;
            if (random_.below(8) == 0)
                server.state = Wire::ServerState::Draining;
        }
        core->setServers(now, servers);
        collect();
    }

    void collectOpen()
    {
        for (; seen_ < sends.size(); ++seen_)
            open_.push_back(sends[seen_].attempt);
    }

    FakeUnits units_;
    Base::RandomSource random_ {1};
    std::vector<Forward::AttemptId> open_;
    std::size_t seen_ = 0;
};

} // namespace

TEST_P(ExplanationSessions, TellWhatIsDoneAndChangeNothing)
{
    for (const bool hasTenants : {false, true}) {
        const auto asked = run(true, hasTenants);
        EXPECT_EQ(run(false, hasTenants), asked);
    }
    EXPECT_GT(sent, 100U);
    EXPECT_GT(waited, 20U);
    EXPECT_GT(refused, 0U);
    EXPECT_GT(missing, 0U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, ExplanationSessions, ::testing::Range<std::uint64_t>(1, 31));
