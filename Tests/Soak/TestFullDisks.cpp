// The disks of registries are full for a few seconds each, in turn. On another system changes were refused or
// stayed unanswered long after the last disk had room again, while all processes ran.

#include "LibConsensus/TemporaryDirectory.h"
#include "Soak/Cluster.h"
#include "Soak/FaultProxy.h"
#include "Soak/HttpCalls.h"
#include "Soak/StandInPlatform.h"

#include <algorithm>
#include <csignal>
#include <fmt/format.h>
#include <fstream>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <unistd.h>

using namespace Soak;

namespace {

/// Bounds of the platform's pages: `recoveryS`, `ackMs`, and `configApplyMs` for a read after an
/// acknowledgement. A majority of the registries has room at any moment, so they hold throughout.
constexpr Base::Duration RecoveryBound = Base::seconds(12);
constexpr Base::Duration AcknowledgementBound = Base::seconds(5);
constexpr Base::Duration ReadBound = Base::seconds(3);

/// Operators of the platform turn to another registry after this time.
constexpr Base::Duration OperatorPatience = Base::seconds(1);
constexpr Base::Duration RetryPause = Base::milliseconds(100);
constexpr Base::Duration ChangePause = Base::milliseconds(50);
constexpr int Rounds = 2;

struct Series
{
    const char *name;
    Base::Duration fullFor;
    Base::Duration pause; ///< Between the end of one and the begin of the next.
    std::size_t documentBytes; ///< Large ones make the registries write snapshots.
};

constexpr Series SeriesList[] = {
    {"ShortWithoutPause", Base::seconds(1), Base::Duration::zero(), 0},
    {"LongWithoutPause", Base::seconds(4), Base::Duration::zero(), 0},
    {"LongWithPause", Base::seconds(4), Base::seconds(2), 0},
    {"LargeDocuments", Base::seconds(3), Base::Duration::zero(), 100'000},
};

class FullDisksTest : public ::testing::TestWithParam<Series>
{
protected:
    FullDisksTest()
        : platform_(loop_, network(), 1)
        , cluster_(network(), directory_.path(), platform_.listAddress())
    {
        // A write past the limit on the size of files must fail instead of ending the process.
        std::signal(SIGXFSZ, SIG_IGN);
        for (const auto &[listen, target] : cluster_.proxiedAddresses())
            proxies_.push_back(std::make_unique<FaultProxy>(loop_, listen, target));
        for (int vm = 0; vm < Cluster::Registries; ++vm)
            cluster_.start(vm);
    }

    static std::string network()
    {
        const auto process = ::getpid();
        return fmt::format("127.{}.{}.", 192 + process / 251 % 60, 1 + process % 251);
    }

    void runFor(Base::Duration duration)
    {
        const auto end = clock_.now() + duration;
        do {
            loop_.runFor(Base::milliseconds(2));
            calls_.sweep();
        } while (clock_.now() < end);
    }

    std::string document(std::uint64_t version) const
    {
        const nlohmann::json route {{"name", "safe"},      {"host", "soak.example"}, {"pathPrefix", "/s/"},
                                    {"routeType", "safe"}, {"timeoutMs", 1000},      {"targetLatencyMs", 200},
                                    {"attempts", 1},       {"service", "plain"}};
        const nlohmann::json services {{{"name", "plain"}, {"maxConnections", 8}}};
        return nlohmann::json({{"version", version}, {"routes", {route}}, {"services", services}}).dump()
               + std::string(GetParam().documentBytes, ' ');
    }

    /// Sends the next change, and sends it again to the next registry until it is acknowledged.
    void submitNext()
    {
        sentAt_ = clock_.now();
        ++version_;
        submit();
    }

    void submit()
    {
        const auto body = document(version_);
        const auto request = fmt::format(
            "PUT /v1/config HTTP/1.1\r\nHost: registry\r\nContent-Length: {}\r\n\r\n{}", body.size(), body);
        calls_.start(nextRegistry(), request, OperatorPatience,
                     [this](const Edge::ResponseMessage *response) {
                         const bool isAcknowledged = response != nullptr && response->status == 200;
                         lastStatus_ = response != nullptr ? response->status : 0;
                         if (isAcknowledged) {
                             longest_ = std::max(longest_, clock_.now() - sentAt_);
                             acknowledged_ = version_;
                         }
                         due_ = clock_.now() + (isAcknowledged ? ChangePause : RetryPause);
                     });
    }

    std::string nextRegistry()
    {
        return cluster_.operatorAddress(static_cast<int>(callsMade_++ % Cluster::Registries));
    }

    /// Makes changes for `duration`, one after the other.
    void makeChanges(Base::Duration duration)
    {
        const auto end = clock_.now() + duration;
        while (clock_.now() < end)
            step();
    }

    void step()
    {
        runFor(Base::milliseconds(5));
        if (!due_ || clock_.now() < *due_)
            return;
        due_.reset();
        if (acknowledged_ == version_)
            submitNext();
        else
            submit();
    }

    /// Makes changes until one that was first sent from now on is acknowledged.
    Base::Duration timeUntilNewAcknowledgement()
    {
        const auto begin = clock_.now();
        const auto version = version_;
        while (acknowledged_ <= version && clock_.now() - begin < RecoveryBound)
            step();
        return clock_.now() - begin;
    }

    /// How often a registry opened its disk; each failed write closes it.
    int timesRegained(int registry) const
    {
        std::ifstream log(cluster_.logPath(registry));
        int count = 0;
        for (std::string line; std::getline(log, line);)
            count += line.find("dependency_regained") != std::string::npos ? 1 : 0;
        return count;
    }

    /// Version that each registry returns once it has had the time of the bound.
    std::uint64_t readVersion(int registry)
    {
        std::uint64_t version = 0;
        const auto end = clock_.now() + ReadBound;
        while (version < acknowledged_ && clock_.now() < end) {
            calls_.start(cluster_.operatorAddress(registry),
                         "GET /v1/config HTTP/1.1\r\nHost: registry\r\n\r\n", RetryPause,
                         [&version](const Edge::ResponseMessage *response) {
                             if (response != nullptr && response->status == 200)
                                 version = nlohmann::json::parse(response->body).at("version");
                         });
            runFor(2 * RetryPause);
        }
        return version;
    }

    TemporaryDirectory directory_;
    Base::SystemClock clock_;
    Edge::Loop loop_;
    HttpCalls calls_ {loop_};
    StandInPlatform platform_;
    Cluster cluster_;
    std::vector<std::unique_ptr<FaultProxy>> proxies_;
    std::uint64_t version_ = 0; ///< Of the change under way or made last.
    std::uint64_t acknowledged_ = 0;
    std::uint64_t callsMade_ = 0;
    int lastStatus_ = 0;
    Base::Instant sentAt_ {};
    Base::Duration longest_ {}; ///< From the first sending of a change to its acknowledgement.
    std::optional<Base::Instant> due_; ///< Of the next sending; none while one is under way.
};

} // namespace

TEST_P(FullDisksTest, ChangesAreAcknowledgedThroughout)
{
    const auto &series = GetParam();
    submitNext();
    makeChanges(RecoveryBound / 3);
    ASSERT_GT(acknowledged_, 0U) << "last status " << lastStatus_;
    longest_ = {};
    const auto before = acknowledged_;
    for (int vm = 0; vm < Rounds * Cluster::Registries; ++vm) {
        const int registry = vm % Cluster::Registries;
        cluster_.setDiskFull(registry, true);
        makeChanges(series.fullFor);
        cluster_.setDiskFull(registry, false);
        if (series.pause > Base::Duration::zero())
            makeChanges(series.pause);
    }
    const auto during = acknowledged_ - before;
    const auto recovery = timeUntilNewAcknowledgement();
    makeChanges(AcknowledgementBound);
    const auto milliseconds = [](Base::Duration duration) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    };
    fmt::print("{} changes meanwhile, the longest took {} ms; the first one after the end {} ms\n", during,
               milliseconds(longest_), milliseconds(recovery));
    EXPECT_GT(during, 0U);
    EXPECT_LT(recovery, RecoveryBound) << "last status " << lastStatus_;
    EXPECT_LE(longest_, AcknowledgementBound);
    for (int registry = 0; registry < Cluster::Registries; ++registry) {
        EXPECT_TRUE(cluster_.isRunning(registry));
        EXPECT_GT(timesRegained(registry), Rounds) << registry;
        EXPECT_GE(readVersion(registry), acknowledged_) << registry;
    }
}

INSTANTIATE_TEST_SUITE_P(Registries, FullDisksTest, ::testing::ValuesIn(SeriesList),
                         [](const auto &instance) { return std::string(instance.param.name); });
