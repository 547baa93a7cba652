// Load patterns of servers of one service that differ in speed or slow down before their slots are full.

#include "LibForward/ForwardFixture.h"
#include "LibForward/SlowingServers.h"

using Base::seconds;
using Tests::milliseconds;
using Tests::SlowingServers;

namespace {

struct Latency
{
    double meanMs = 0.0;
    double p95Ms = 0.0;
    unsigned refused = 0;
};

/// Several gateways that send to three servers of eight slots: "a", "b" and "c".
class LearnedLimits : public ::testing::Test
{
protected:
    struct Gateway
    {
        std::unique_ptr<Forward::ForwardCore> core;
        std::map<Forward::ExchangeId, Base::Instant> begun;
    };

    void useGateways(std::size_t count, bool learn)
    {
        gateways.clear();
        Wire::ServerList list;
        for (const char *id : {"a", "b", "c"})
            list.servers.push_back({id, 0, "s", fmt::format("10.0.0.1:{}", 1000 + list.servers.size()),
                                    "dc-a", 8, Wire::ServerState::Ready, 0});
        list.digest = 1;
        for (std::size_t index = 0; index < count; ++index) {
            Forward::ForwardOptions options {"dc-a", index + 1, 0.2, 1000.0};
            options.learnServerLimits = learn;
            auto &gateway = gateways.emplace_back();
            gateway.core = std::make_unique<Forward::ForwardCore>(options);
            gateway.core->setServers(now, list);
            gateway.core->setGatewayCount(count);
        }
        Route::Configuration configuration;
        configuration.version = 1;
        Route::RouteRule route;
        route.name = "r";
        route.host = "h";
        route.prefix = "/";
        route.repeatability = Route::Repeatability::AtMostOnce;
        route.timeout = milliseconds(2000);
        route.latencyTarget = milliseconds(100);
        route.targets = {{"s", 1.0}};
        configuration.services["s"] = {"s", 60};
        configuration.routes = {route};
        table = std::make_shared<const Route::RouteTable>(std::move(configuration));
    }

    static constexpr int Chances = 8; ///< Arrivals in one millisecond at a gateway, at most.

    /// Plays `perSecond` requests for `time` over all gateways; the first `skipped` does not count.
    Latency play(double perSecond, Base::Duration time, Base::Duration skipped = {})
    {
        std::vector<double> latencies;
        Latency result;
        const auto startedAt = now;
        for (; now - startedAt < time; now += milliseconds(1)) {
            for (std::size_t index = 0; index < gateways.size(); ++index) {
                auto &gateway = gateways[index];
                for (int chance = 0; chance < Chances; ++chance) {
                    if (random.unit() >= perSecond / 1000.0 / Chances / static_cast<double>(gateways.size()))
                        continue;
                    gateway.begun[gateway.core->begin(
                        now, {table, table->find("h", "/"), milliseconds(2000), {}})] = now;
                }
                gateway.core->runTimers(now);
                takeActions(index, startedAt + skipped, latencies, result);
            }
            for (const auto key : servers.run(now, milliseconds(1))) {
                Forward::AttemptReply reply;
                reply.response.status = 200;
                reply.proof = "proof";
                gateways[key % 64].core->replyArrived(now + milliseconds(1), key / 64, std::move(reply));
                takeActions(key % 64, startedAt + skipped, latencies, result);
            }
        }
        std::sort(latencies.begin(), latencies.end());
        double sum = 0.0;
        for (const auto latency : latencies)
            sum += latency;
        result.meanMs = sum / static_cast<double>(latencies.size());
        result.p95Ms = latencies.at(latencies.size() * 95 / 100);
        fmt::print("{} gateways, {}/s: mean {:.1f} ms, p95 {:.1f} ms, {} refused, {} limits logged, at most "
                   "running a {} b {} c {}\n",
                   gateways.size(), perSecond, result.meanMs, result.p95Ms, result.refused, changes,
                   servers.mostRunning("a"), servers.mostRunning("b"), servers.mostRunning("c"));
        return result;
    }

    void takeActions(std::size_t index, Base::Instant countFrom, std::vector<double> &latencies,
                     Latency &result)
    {
        auto &gateway = gateways[index];
        for (const auto &action : gateway.core->takeActions()) {
            if (const auto *send = std::get_if<Forward::SendAttempt>(&action))
                servers.take(*send, send->attempt * 64 + index);
            else if (std::get_if<Forward::LimitChange>(&action) != nullptr)
                ++changes;
            else if (const auto *answer = std::get_if<Forward::AnswerCaller>(&action)) {
                const auto begun = gateway.begun.extract(answer->exchange).mapped();
                const bool refused = answer->outcome.kind == Forward::Outcome::Kind::Refused;
                if (begun < countFrom)
                    continue;
                result.refused += refused ? 1 : 0;
                if (!refused)
                    latencies.push_back(Base::toMilliseconds(now - begun));
            }
        }
    }

    void expectGainOnSharedServers(std::size_t count)
    {
        for (const char *id : {"a", "b", "c"})
            servers.nature(id) = {1.0, 4.0, 2.0, {}};
        useGateways(count, false);
        play(400, seconds(2));
        const auto before = play(1000, seconds(6), seconds(3));
        now += seconds(10);
        useGateways(count, true);
        play(400, seconds(2));
        const auto after = play(1000, seconds(6), seconds(3));
        EXPECT_LT(after.meanMs, before.meanMs);
        EXPECT_LE(after.refused, before.refused);
    }

    std::size_t limited() const
    {
        std::size_t count = 0;
        for (const auto &gateway : gateways)
            count += gateway.core->backends().limitedCount();
        return count;
    }

    Base::Instant now {milliseconds(1'000'000)};
    std::vector<Gateway> gateways;
    std::shared_ptr<const Route::RouteTable> table;
    SlowingServers servers {milliseconds(10)};
    Base::RandomSource random {5};
    unsigned changes = 0;
};

} // namespace

// One server does less the more it runs beyond half of its slots. All callers gain if it gets what it takes.
TEST_F(LearnedLimits, ServerThatSlowsDownEarlyGetsLess)
{
    servers.nature("a") = {1.0, 4.0, 2.5, {}};
    useGateways(1, false);
    play(600, seconds(2));
    const auto before = play(1700, seconds(6), seconds(3));
    now += seconds(10);
    useGateways(1, true);
    play(600, seconds(2));
    const auto after = play(1700, seconds(6), seconds(3));
    EXPECT_GE(limited(), 1U);
    EXPECT_LT(after.meanMs, before.meanMs);
    EXPECT_LE(after.refused, before.refused);
    // It becomes fast again.
    servers.nature("a") = {};
    play(1700, seconds(15));
    EXPECT_EQ(limited(), 0U);
}

// All servers slow down beyond half of their slots, and all gateways send to all of them.
TEST_F(LearnedLimits, ThreeGatewaysShareServers)
{
    expectGainOnSharedServers(3);
}

TEST_F(LearnedLimits, SixGatewaysShareServers)
{
    expectGainOnSharedServers(6);
}

// Servers of steady but different speed are no reason for a limit.
TEST_F(LearnedLimits, DifferentSpeedsAreNoOverload)
{
    servers.nature("a").slowness = 0.8;
    servers.nature("c").slowness = 1.3;
    useGateways(1, false);
    const auto before = play(1200, seconds(6), seconds(3));
    now += seconds(10);
    useGateways(1, true);
    const auto after = play(1200, seconds(6), seconds(3));
    EXPECT_EQ(limited(), 0U);
    EXPECT_LE(after.meanMs, before.meanMs * 1.02);
}

// Pauses of 120 to 250 ms now and then.
TEST_F(LearnedLimits, PausesAreNoOverload)
{
    useGateways(1, true);
    play(800, seconds(3));
    for (int pause = 0; pause < 8; ++pause) {
        servers.nature("b").pausedUntil = now + milliseconds(120 + 18 * pause);
        play(800, milliseconds(900));
        EXPECT_EQ(limited(), 0U);
    }
}

// Without the setting nothing is learned or kept.
TEST_F(LearnedLimits, NothingIsLearnedWithoutTheSetting)
{
    servers.nature("a") = {1.0, 3.0, 2.5, {}};
    useGateways(1, false);
    play(1500, seconds(4));
    EXPECT_EQ(limited(), 0U);
    EXPECT_EQ(changes, 0U);
}

// Turning the setting off drops what was learned.
TEST_F(LearnedLimits, TurningItOffForgets)
{
    servers.nature("a") = {1.0, 3.0, 2.5, {}};
    useGateways(1, true);
    play(1500, seconds(8));
    EXPECT_GE(limited(), 1U);
    gateways.front().core->setOptions({"dc-a", 1, 0.2, 1000.0});
    EXPECT_EQ(limited(), 0U);
}

// A server that is slower than the others stays so while it gets no work; one of unknown speed counts as
// usual.
TEST(ServerHistory, KeepsTheSteadySpeed)
{
    using Forward::BackendTable;
    for (const bool learned : {false, true}) {
        Base::Instant now {seconds(1000)};
        Forward::Backend backend;
        backend.record.slots = 4;
        for (int reply = 0; reply < 500; ++reply, now += milliseconds(10)) {
            BackendTable::recordSuccess(now, backend, milliseconds(13), milliseconds(10));
            if (learned)
                BackendTable::learn(now, backend, milliseconds(13), milliseconds(10), milliseconds(10), 10);
        }
        now += seconds(10);
        const auto expected = learned ? 10.0 + 3.0 * std::exp2(-0.5) : 10.0;
        EXPECT_NEAR(BackendTable::latencyEstimateMs(now, backend, milliseconds(10)), expected, 0.2);
        now += seconds(100);
        EXPECT_NEAR(BackendTable::latencyEstimateMs(now, backend, milliseconds(10)), 10.0, 0.2);
    }
}

// A server that warms up is slow whatever it gets.
TEST(ServerHistory, WarmingUpIsNotLearned)
{
    const Base::Instant now {seconds(1000)};
    Forward::Backend backend;
    backend.warmAt = now + seconds(1);
    EXPECT_FALSE(
        Forward::BackendTable::learn(now, backend, milliseconds(30), milliseconds(10), milliseconds(10), 10));
    EXPECT_FALSE(backend.history);
}
