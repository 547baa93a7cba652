// A whole registry process divides the allowances of the configuration that it holds.

#include "LibAllowance/AllowanceKey.h"
#include "LibBase/Compression.h"
#include "LibConsensus/TemporaryDirectory.h"
#include "LibWire/AllowanceMessages.h"
#include "Services/Registry/RegistryProcess.h"

#include "FakeAdapter.h"

#include <atomic>
#include <csignal>
#include <fmt/format.h>
#include <fstream>
#include <future>
#include <gtest/gtest.h>
#include <thread>
#include <unistd.h>

namespace {

/// Decodes "version rate burst" into a configuration with one tenant; a rate of 0 gives none.
class TenantAdapter final : public Services::FakeAdapter
{
public:
    Base::Result<Route::Configuration>
    decodeConfiguration(std::string_view text, const Route::Configuration *previous) const override
    {
        ++decoded;
        decodedAgainst = previous != nullptr ? previous->version : 0;
        Route::Configuration configuration;
        double rate = 0.0;
        double burst = 0.0;
        if (std::sscanf(std::string(text).c_str(), "%lu %lf %lf", &configuration.version, &rate, &burst) != 3)
            return Base::fail(Base::ErrorKind::DocumentInvalid);
        Route::TenantRule tenant;
        tenant.name = "acme";
        tenant.requestsPerSecond = rate;
        tenant.burst = burst;
        configuration.tenants = {tenant};
        return configuration;
    }

    mutable std::atomic<int> decoded {0};
    mutable std::atomic<std::uint64_t> decodedAgainst {0}; ///< Version of the previous one; 0 without.
};

class RegistryAllowancesTest : public ::testing::Test
{
protected:
    // Without a registry the tests cannot go on, so a failure here ends them.
    void SetUp() override
    {
        // Below the ports that the kernel hands out to outgoing connections.
        const auto port = 20000 + ::getpid() % 3000 * 4;
        address = fmt::format("127.0.0.1:{}", port);
        writeSettings("0.1");
        Edge::Loop::holdSignals({SIGTERM, SIGINT, SIGHUP});
        auto created = Services::RegistryProcess::create(directory.path() + "/settings.toml", {}, adapter);
        ASSERT_TRUE(created.has_value()) << created.error().detail;
        registry = std::move(*created);
        thread = std::thread([this] { registry->run(); });
        Peer::EndpointOptions options;
        options.listenAddress = "127.0.0.1:0";
        options.sharedSecret = "secret";
        options.handler = [](Wire::Method, const Base::Bytes &,
                             const std::shared_ptr<Peer::Responder> &responder) { responder->fail({}); };
        endpoint = std::move(*Peer::Endpoint::create(std::move(options)));
    }

    ~RegistryAllowancesTest() override
    {
        if (!thread.joinable())
            return;
        ::kill(::getpid(), SIGTERM);
        thread.join();
        endpoint->shutDown(Base::milliseconds(100));
    }

    void writeSettings(const std::string &overage) const
    {
        const auto port = std::stoi(address.substr(address.find(':') + 1));
        std::ofstream settings(directory.path() + "/settings.toml");
        settings << fmt::format("node = \"vm-1\"\ndata_centre = \"a\"\nip = \"127.0.0.1\"\n"
                                "operator_address = \"127.0.0.1:{}\"\nfirst_peer_port = {}\n"
                                "cluster_key = \"secret\"\nseeds = \"127.0.0.1:{}\"\nfirst_start = true\n"
                                "data_directory = \"{}/data\"\nshutdown_grace_s = 1\nlost_vms_tolerated = 0\n"
                                "allowance_window_s = \"5\"\nallowance_overage = \"{}\"\n"
                                "allowance_slack = \"0\"\n",
                                port + 2, port, port + 2, directory.path(), overage);
    }

    /// Has the settings read again, and waits until units are valid for `validMs`.
    void reload(const std::string &overage, std::uint32_t validMs)
    {
        writeSettings(overage);
        ::kill(::getpid(), SIGHUP);
        std::uint32_t seen = 0;
        for (int tries = 0; tries < 200 && seen != validMs; ++tries) {
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
            seen = grant(0).validMs;
        }
        EXPECT_EQ(seen, validMs);
    }

    template<typename Reply, typename Request>
    Base::Result<Reply> call(Wire::Method method, const Request &request)
    {
        std::promise<Base::Result<Base::Bytes>> promise;
        endpoint->call(address, method, Wire::encode(request), Base::seconds(1),
                       [&](const Base::Result<Base::Bytes> &result) { promise.set_value(result); });
        return promise.get_future().get().and_then(
            [](const Base::Bytes &bytes) { return Wire::decode<Reply>(bytes); });
    }

    /// Stores the configuration, once this registry leads.
    void store(std::uint64_t version, const std::string &text)
    {
        for (int tries = 0; tries < 100; ++tries) {
            if (call<Wire::SubmitConfigurationReply>(
                    Wire::Method::SubmitConfiguration,
                    Wire::SubmitConfigurationRequest {version, Base::compress(text)}))
                return;
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
        ADD_FAILURE() << "the registry does not lead";
    }

    Wire::AllowanceGrant grant(std::uint32_t needed)
    {
        const auto reply = call<Wire::TakeAllowanceReply>(
            Wire::Method::TakeAllowance,
            Wire::TakeAllowanceRequest {{{Allowance::tenantKey("acme"), needed, 0}}});
        return reply && !reply->grants.empty() ? reply->grants.front() : Wire::AllowanceGrant {};
    }
    std::uint32_t take(std::uint32_t needed) { return grant(needed).units; }

    TemporaryDirectory directory;
    TenantAdapter adapter;
    std::string address;
    std::unique_ptr<Services::RegistryProcess> registry;
    std::thread thread;
    std::unique_ptr<Peer::Endpoint> endpoint;
};

} // namespace

TEST_F(RegistryAllowancesTest, LeaderDividesWhatTheConfigurationInForceAllows)
{
    store(1, "1 1000 100");
    // Nobody has asked, so nothing was decoded for limits.
    EXPECT_EQ(adapter.decoded, 0);
    std::uint32_t units = 0;
    for (int tries = 0; tries < 100 && units == 0; ++tries) {
        units = take(5);
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    EXPECT_EQ(units, 5U);
    EXPECT_EQ(adapter.decoded, 1);
    // A lowered limit holds at once.
    store(2, "2 0.01 1");
    EXPECT_LE(take(100), 2U);
    EXPECT_EQ(take(100), 0U);
    EXPECT_EQ(adapter.decoded, 2);
    // A tenant without a limit needs no unit, and gets none.
    store(3, "3 0 0");
    EXPECT_EQ(take(1), 0U);
}

// A storm of changes to a configuration of many tenants must not hold up the leader, which sends heartbeats
// on the same loop, so only what differs is decoded.
TEST_F(RegistryAllowancesTest, ChangeIsDecodedAgainstTheConfigurationBefore)
{
    store(1, "1 1000 100");
    take(1);
    EXPECT_EQ(adapter.decodedAgainst, 0U);
    store(2, "2 1000 100");
    take(1);
    EXPECT_EQ(adapter.decodedAgainst, 1U);
    // What cannot be decoded leaves the configuration before in force.
    store(3, "damaged");
    take(1);
    EXPECT_EQ(adapter.decodedAgainst, 2U);
    store(4, "4 1000 100");
    take(1);
    EXPECT_EQ(adapter.decodedAgainst, 2U);
    EXPECT_EQ(adapter.decoded, 4);
}

// A tolerance that operators change must hold without a restart, and a lower one at once also for what was
// earned under the higher one.
TEST_F(RegistryAllowancesTest, ToleranceIsTakenOverOnReload)
{
    store(1, "1 1000 100");
    while (take(1) == 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    const Allowance::RateLimit limit {1000.0, 100.0};
    const auto low = Allowance::termsFor(limit, {Base::seconds(5), 0.1, 0.0});
    const auto high = Allowance::termsFor(limit, {Base::seconds(5), 0.4, 0.0});
    const auto ms = [](const Allowance::AllowanceTerms &terms) {
        return static_cast<std::uint32_t>(terms.validity / Base::milliseconds(1));
    };
    ASSERT_GT(high.capacity, low.capacity + 100.0);
    reload("0.4", ms(high));
    // Until the bucket holds more than the low tolerance allows.
    std::this_thread::sleep_for(std::chrono::duration<double>(high.capacity / high.perSecond));
    reload("0.1", ms(low));
    const auto units = take(1000);
    EXPECT_GT(units, 0U);
    EXPECT_LE(units, static_cast<std::uint32_t>(low.capacity));
    EXPECT_EQ(adapter.decoded, 1); // What the configuration says was known.
}

TEST_F(RegistryAllowancesTest, RequestBeyondItsLimitsIsRefusedAndTheRegistryServesOn)
{
    store(1, "1 1000 100");
    const auto reply = call<Wire::TakeAllowanceReply>(
        Wire::Method::TakeAllowance,
        Wire::TakeAllowanceRequest {std::vector<Wire::AllowanceAsk>(1000, {"Ta", 1, 1})});
    ASSERT_FALSE(reply.has_value());
    EXPECT_EQ(reply.error().kind, Base::ErrorKind::InvalidRequest);
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    EXPECT_GT(take(1), 0U);
}
