// Real registries of which the first seed has no disk. It founded the cluster alone, and what it had
// acknowledged was gone with its process (review/11).

#include "LibConsensus/TemporaryDirectory.h"
#include "Soak/Cluster.h"
#include "Soak/FaultProxy.h"
#include "Soak/HttpCalls.h"
#include "Soak/StandInPlatform.h"

#include <csignal>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <unistd.h>

using namespace Soak;

namespace {

constexpr int FirstSeed = 0;
/// By how much the first seed starts earlier.
constexpr Base::Duration HeadStart = Base::seconds(2);
/// Two registries with a disk cannot bear the loss that the settings ask for, which they wait out first
/// (Registry::FormationWatch::patience).
constexpr Base::Duration FoundingBound = Base::seconds(20);
/// The platform's `recoveryS`.
constexpr Base::Duration RecoveryBound = Base::seconds(12);
constexpr Base::Duration DownTime = Base::milliseconds(800);
constexpr Base::Duration CallPatience = Base::milliseconds(500);

class FoundingTest : public ::testing::Test
{
protected:
    FoundingTest()
        : platform_(loop_, network(), 1)
        , cluster_(network(), directory_.path(), platform_.listAddress())
    {
        for (const auto &[listen, target] : cluster_.proxiedAddresses())
            proxies_.push_back(std::make_unique<FaultProxy>(loop_, listen, target));
        cluster_.takeDisk(FirstSeed);
    }

    static std::string network()
    {
        const auto process = ::getpid();
        return fmt::format("127.{}.{}.", 130 + process / 251 % 60, 1 + process % 251);
    }

    void startRegistriesFrom(int first)
    {
        for (int vm = first; vm < Cluster::Registries; ++vm)
            cluster_.start(vm);
    }

    void runFor(Base::Duration duration)
    {
        for (const auto end = clock_.now() + duration; clock_.now() < end; calls_.sweep())
            loop_.runFor(Base::milliseconds(2));
    }

    /// Sends a request to one registry after the other until one answers 200.
    bool succeeds(const std::string &request, Base::Duration within)
    {
        bool succeeded = false;
        const auto end = clock_.now() + within;
        for (int call = 0; !succeeded && clock_.now() < end; ++call) {
            calls_.start(cluster_.operatorAddress(call % Cluster::Registries), request, CallPatience,
                         [&succeeded](const Edge::ResponseMessage *response) {
                             succeeded = succeeded || (response != nullptr && response->status == 200);
                         });
            for (int wait = 0; !succeeded && wait < 12; ++wait)
                runFor(CallPatience / 10);
        }
        return succeeded;
    }

    bool acknowledgesFirstConfiguration(Base::Duration within)
    {
        const std::string body = R"({"version":3,"routes":[{"name":"safe","host":"soak.example",)"
                                 R"("pathPrefix":"/s/","routeType":"safe","timeoutMs":1000,)"
                                 R"("targetLatencyMs":200,"attempts":1,"service":"plain"}],)"
                                 R"("services":[{"name":"plain","maxConnections":8}]})";
        return succeeds(
            fmt::format("PUT /v1/config HTTP/1.1\r\nHost: registry\r\nContent-Length: {}\r\n\r\n{}",
                        body.size(), body),
            within);
    }

    bool readsBack() { return succeeds("GET /v1/config HTTP/1.1\r\nHost: registry\r\n\r\n", RecoveryBound); }

    TemporaryDirectory directory_;
    Base::SystemClock clock_;
    Edge::Loop loop_;
    HttpCalls calls_ {loop_};
    StandInPlatform platform_;
    Cluster cluster_;
    std::vector<std::unique_ptr<FaultProxy>> proxies_;
};

} // namespace

TEST_F(FoundingTest, FirstConfigurationSurvivesTheLossOfTheSeedWithoutADisk)
{
    // Whether it is acknowledged before the others are there or afterwards, it must not be lost.
    cluster_.start(FirstSeed);
    const bool isEarly = acknowledgesFirstConfiguration(HeadStart);
    startRegistriesFrom(FirstSeed + 1);
    cluster_.setFirstStart(false);
    ASSERT_TRUE(isEarly || acknowledgesFirstConfiguration(FoundingBound));
    cluster_.signal(FirstSeed, SIGKILL);
    runFor(DownTime);
    cluster_.start(FirstSeed);
    EXPECT_TRUE(readsBack());
    for (int vm = 0; vm < Cluster::Registries; ++vm)
        cluster_.signal(vm, SIGKILL);
    runFor(DownTime);
    startRegistriesFrom(FirstSeed);
    EXPECT_TRUE(readsBack());
}
