// What callers of a tenant with an allowance get, and what backend servers run of their requests.

#include "LibAllowance/AllowanceDivider.h"
#include "LibAllowance/AllowanceKey.h"
#include "Services/Gateway/ColdServerUnits.h"
#include "Services/Gateway/Forwarder.h"

#include "FakeAdapter.h"
#include "Support/RawSocket.h"

#include <fmt/format.h>
#include <future>
#include <gtest/gtest.h>
#include <mutex>
#include <thread>
#include <unistd.h>

namespace {

using Services::FakeAdapter;
using Support::RawSocket;

/// A gateway's forwarder between callers, a backend server and the leader of the registries.
class TenantAllowancesTest : public ::testing::Test
{
protected:
    TenantAllowancesTest()
        : events("gateway", STDOUT_FILENO)
    {
        Peer::EndpointOptions options;
        options.listenAddress = "127.0.0.1:0";
        options.sharedSecret = "secret";
        options.handler = [this](Wire::Method, const Base::Bytes &payload,
                                 const std::shared_ptr<Peer::Responder> &responder) {
            const std::lock_guard lock(mutex);
            ++calls;
            if (leaderIsSilent)
                return held.push_back(responder);
            const auto request = Wire::decode<Wire::TakeAllowanceRequest>(payload);
            responder->reply(Wire::encode(*divider.take(clock.now(), *request)));
        };
        endpoint = std::move(*Peer::Endpoint::create(std::move(options)));
        server = std::move(*Edge::CallerServer::create(
            loop, "127.0.0.1:0",
            [this](const Edge::RequestMessage &request, const Edge::CallerExchange &exchange) {
                const std::lock_guard lock(mutex);
                Edge::ResponseMessage response;
                response.headers = {{"Id", std::string(request.header("Id"))}};
                if (refusesToRun) {
                    response.status = 503;
                    response.headers.emplace_back("Not-Run", "1");
                } else {
                    ++run;
                    response.headers.emplace_back("Proof", "p");
                }
                if (!holdsResponses)
                    exchange.respond(response);
            }));
        Forward::ForwardOptions forwardOptions;
        forwardOptions.dataCentre = "a";
        forwardOptions.extraLoadRatio = 1.0;
        forwardOptions.extraLoadSlack = 100.0;
        client = std::make_unique<Services::AllowanceClient>(loop, *endpoint, events, metrics, 1,
                                                             [this] { return endpoint->listenAddress(); });
        forwarder = std::make_unique<Services::Forwarder>(loop, adapter, events, metrics, forwardOptions);
        forwarder->setAllowances(client.get());
        coldUnits = std::make_unique<Services::ColdServerUnits>(*client);
        forwarder->setColdUnits(coldUnits.get());
        client->setArrivalHandler([this] { forwarder->unitsArrived(); });
        callers = std::move(*Edge::CallerServer::create(
            loop, "127.0.0.1:0",
            [this](const Edge::RequestMessage &request, const Edge::CallerExchange &exchange) {
                forwarder->handle(request, exchange);
            }));
    }

    ~TenantAllowancesTest() override
    {
        {
            const std::lock_guard lock(mutex);
            held.clear();
        }
        loop.post([this] { loop.stop(); });
        thread.join();
        endpoint->shutDown(Base::milliseconds(100));
        callers.reset();
        forwarder.reset();
        server.reset();
    }

    /// `units` are there at once, and no further ones come.
    void start(double requestsPerSecond, double units)
    {
        setRoutes(1, requestsPerSecond, "key");
        setServer(1, server->address());
        const auto before = clock.now() - Base::seconds(1'000'000);
        divider.begin(before, 1);
        const Allowance::AllowanceTerms terms {0.001, units, 0.0, Base::seconds(5)};
        divider.setTerms(before,
                         {{Allowance::tenantKey("acme"), terms}, {Allowance::coldServiceRule("s"), terms}});
        thread = std::thread([this] { loop.run(); });
    }

    void setServer(std::uint64_t digest, const std::string &serverAddress)
    {
        Wire::ServerList list;
        list.digest = digest;
        list.servers.push_back({"i", 0, "s", serverAddress, "a", 4, Wire::ServerState::Ready,
                                coldRequestsPerSecond > 0.0 ? 60'000U : 0U});
        forwarder->setServers(clock.now(), list);
    }

    void setRoutes(std::uint64_t version, double requestsPerSecond, std::string_view key)
    {
        Route::Configuration configuration;
        configuration.version = version;
        configuration.services["s"] = {"s", 8, coldRequestsPerSecond};
        Route::RouteRule route;
        route.name = "single";
        route.host = "h";
        route.prefix = "/";
        route.timeout = Base::seconds(5);
        route.latencyTarget = Base::seconds(1);
        route.repeatability = Route::Repeatability::Idempotent;
        route.attempts = 1;
        route.targets = {{"s", 1.0}};
        configuration.routes = {route};
        Route::TenantRule tenant;
        tenant.name = "acme";
        tenant.keys = {Route::digestOfKey(key)};
        tenant.requestsPerSecond = requestsPerSecond;
        tenant.burst = 1.0;
        configuration.tenants = {tenant};
        configuration.tenantsDigest = version;
        forwarder->setRoutes(std::make_shared<const Route::RouteTable>(std::move(configuration)));
        forwarder->confirmConfiguration(version, clock.now());
    }

    /// Runs `task` on the loop's thread.
    void onLoop(const std::function<void()> &task)
    {
        std::promise<void> done;
        loop.post([&] {
            task();
            done.set_value();
        });
        done.get_future().wait();
    }

    RawSocket begin() const
    {
        auto socket = RawSocket::connectTo(callers->address());
        socket.send(
            "GET /x HTTP/1.1\r\nHost: h\r\nId: 7\r\nDeadline: 4000\r\nKey: key\r\nConnection: close\r\n\r\n");
        return socket;
    }
    std::string ask() const { return begin().receiveAll(); }
    static std::string statusOf(const std::string &response) { return response.substr(9, 3); }

    /// Waits until this many requests have no answer; false if that does not come to pass.
    bool waitForInFlight(std::size_t count)
    {
        std::size_t inFlight = count + 1;
        for (int tries = 0; tries < 1000 && inFlight != count; ++tries) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
            onLoop([&] { inFlight = forwarder->requestsInFlight(); });
        }
        return inFlight == count;
    }

    template<typename Value>
    Value locked(const Value &value)
    {
        const std::lock_guard lock(mutex);
        return value;
    }
    template<typename Value>
    void setLocked(Value &value, Value to)
    {
        const std::lock_guard lock(mutex);
        value = to;
    }

    FakeAdapter adapter;
    Base::SystemClock clock;
    Services::GatewayMetrics metrics;
    Edge::Loop loop;
    Base::EventLog events;
    std::mutex mutex;
    Allowance::AllowanceDivider divider;
    bool leaderIsSilent = false;
    bool refusesToRun = false;
    bool holdsResponses = false; ///< The server runs requests and does not answer.
    double coldRequestsPerSecond = 0.0; ///< Of the service; its server is cold if this is set.
    int calls = 0; ///< To the leader.
    int run = 0; ///< Requests that the server has run.
    std::vector<std::shared_ptr<Peer::Responder>> held;
    std::unique_ptr<Peer::Endpoint> endpoint;
    std::unique_ptr<Edge::CallerServer> server;
    std::unique_ptr<Services::AllowanceClient> client;
    std::unique_ptr<Services::ColdServerUnits> coldUnits;
    std::unique_ptr<Services::Forwarder> forwarder;
    std::unique_ptr<Edge::CallerServer> callers;
    std::thread thread;
};

} // namespace

TEST_F(TenantAllowancesTest, BeyondTheAllowanceRequestsAreNotRunAndToldWhenToComeBack)
{
    start(1.0, 3.0);
    for (int count = 0; count < 3; ++count)
        EXPECT_EQ(statusOf(ask()), "200");
    const auto refused = ask();
    EXPECT_EQ(statusOf(refused), "429");
    EXPECT_NE(refused.find("Retry-After: "), std::string::npos);
    EXPECT_NE(refused.find("Id: 7"), std::string::npos);
    EXPECT_EQ(locked(run), 3);
}

// A tenant must not lose its allowance for what no server has run.
TEST_F(TenantAllowancesTest, RequestThatWasNotRunGivesItsUnitBack)
{
    start(1.0, 1.0);
    setLocked(refusesToRun, true);
    for (int count = 0; count < 5; ++count)
        EXPECT_EQ(statusOf(ask()), "503");
    setLocked(refusesToRun, false);
    EXPECT_EQ(locked(run), 0);
    // The server has shed, so it may get nothing for a moment.
    std::string status;
    for (int count = 0; count < 100 && status != "200"; ++count) {
        status = statusOf(ask());
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    EXPECT_EQ(status, "200");
    EXPECT_EQ(locked(run), 1);
    EXPECT_EQ(statusOf(ask()), "429");
    EXPECT_EQ(locked(run), 1);
}

TEST_F(TenantAllowancesTest, WithoutALeaderRequestsAreRefusedAsNotRun)
{
    start(1.0, 3.0);
    setLocked(leaderIsSilent, true);
    const auto refused = ask();
    EXPECT_EQ(statusOf(refused), "503");
    EXPECT_NE(refused.find("Retry-After: "), std::string::npos);
    EXPECT_EQ(locked(run), 0);
}

// A key that is taken away while its request waits for a unit must not run with it.
TEST_F(TenantAllowancesTest, WaitingRequestIsJudgedByWhatHoldsWhenItGoesOn)
{
    start(1.0, 3.0);
    setLocked(leaderIsSilent, true);
    const auto socket = begin();
    while (locked(calls) == 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    onLoop([this] { setRoutes(2, 1.0, "another key"); });
    {
        const std::lock_guard lock(mutex);
        leaderIsSilent = false;
        Wire::TakeAllowanceReply reply;
        reply.grants = {{1, 5000, 0, 0, 1000.0}};
        held.front()->reply(Wire::encode(reply));
    }
    EXPECT_EQ(statusOf(socket.receiveAll()), "401");
    EXPECT_EQ(locked(run), 0);
    // Its unit serves the next request.
    onLoop([this] { setRoutes(3, 1.0, "key"); });
    const int before = locked(calls);
    EXPECT_EQ(statusOf(ask()), "200");
    EXPECT_EQ(locked(calls), before);
}

// Waiting requests must not keep a gateway from ending, nor be cut off by it.
TEST_F(TenantAllowancesTest, StopAnswersRequestsThatWait)
{
    start(1.0, 3.0);
    setLocked(leaderIsSilent, true);
    bool ended = false;
    // On a busy machine a request may have waited long enough before this thread looks; the next one then
    // serves.
    for (int tries = 0; tries < 20 && !ended; ++tries) {
        const auto socket = begin();
        for (int look = 0; look < 100 && !ended; ++look) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
            onLoop([&] {
                if (forwarder->requestsInFlight() != 1)
                    return;
                forwarder->endAll();
                EXPECT_EQ(forwarder->requestsInFlight(), 0U);
                ended = true;
            });
        }
        EXPECT_EQ(statusOf(socket.receiveAll()), "503");
    }
    EXPECT_TRUE(ended);
}

// A caller that leaves while it waits must not take a unit with it.
TEST_F(TenantAllowancesTest, CallerThatLeavesWhileItWaitsTakesNoUnit)
{
    start(1.0, 3.0);
    setLocked(leaderIsSilent, true);
    {
        const auto socket = begin();
        while (locked(calls) == 0)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    std::size_t inFlight = 1;
    for (int count = 0; count < 100 && inFlight > 0; ++count) {
        onLoop([&] { inFlight = forwarder->requestsInFlight(); });
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    EXPECT_EQ(inFlight, 0U);
    setLocked(leaderIsSilent, false);
    {
        const std::lock_guard lock(mutex);
        Wire::TakeAllowanceReply reply;
        reply.grants = {{1, 5000, 0, 0, 1000.0}};
        held.front()->reply(Wire::encode(reply));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    EXPECT_EQ(statusOf(ask()), "200");
    EXPECT_EQ(locked(calls), 1);
}

// A caller that leaves before a server was reached must not take a unit with it, nor return two.
TEST_F(TenantAllowancesTest, CallerThatLeavesBeforeAnythingWasSentGivesItsUnitBackOnce)
{
    start(1.0, 1.0);
    setLocked(refusesToRun, true);
    EXPECT_EQ(statusOf(ask()), "503"); // Its unit is in stock now, so that the next request goes on at once.
    setLocked(refusesToRun, false);
    onLoop([this] { setServer(2, "127.0.0.1:1"); });
    const int before = locked(calls);
    {
        const auto socket = begin();
        ASSERT_TRUE(waitForInFlight(1));
    }
    ASSERT_TRUE(waitForInFlight(0));
    EXPECT_EQ(locked(calls), before);
    onLoop([this] { setServer(3, server->address()); });
    std::string status;
    for (int count = 0; count < 100 && status != "200"; ++count) {
        status = statusOf(ask());
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    EXPECT_EQ(status, "200");
    EXPECT_EQ(statusOf(ask()), "429");
    EXPECT_EQ(locked(run), 1);
}

// What a server has begun to run counts, also if its caller did not wait for it.
TEST_F(TenantAllowancesTest, CallerThatLeavesWhileAServerRunsItsRequestKeepsItsUnitSpent)
{
    start(1.0, 1.0);
    setLocked(holdsResponses, true);
    {
        const auto socket = begin();
        while (locked(run) == 0)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    ASSERT_TRUE(waitForInFlight(0));
    setLocked(holdsResponses, false);
    // Until its attempt is aborted.
    std::this_thread::sleep_for(std::chrono::milliseconds(400));
    EXPECT_EQ(statusOf(ask()), "429");
    EXPECT_EQ(locked(run), 1);
}

// A deployment whose tenants have no limit must not pay for limits.
TEST_F(TenantAllowancesTest, WithoutALimitNothingIsAskedOrHeld)
{
    start(0.0, 0.0);
    for (int count = 0; count < 5; ++count)
        EXPECT_EQ(statusOf(ask()), "200");
    EXPECT_EQ(locked(calls), 0);
    onLoop([this] { EXPECT_EQ(client->stock().keys(), 0U); });
}

// The only server of a service is cold: work waits for its units, and no more than those reach it.
TEST_F(TenantAllowancesTest, ColdServerGetsWhatItsUnitsAllow)
{
    coldRequestsPerSecond = 1.0;
    start(0.0, 3.0);
    for (int count = 0; count < 3; ++count)
        EXPECT_EQ(statusOf(ask()), "200");
    const auto refused = ask();
    EXPECT_NE(statusOf(refused), "200");
    EXPECT_EQ(locked(run), 3);
    EXPECT_GT(locked(calls), 0);
}

// Explaining a request asks no leader, spends no unit and sends nothing.
TEST_F(TenantAllowancesTest, ExplainingSpendsNothing)
{
    start(1.0, 2.0);
    const auto explain = [this] {
        std::optional<Services::RequestExplanation> explanation;
        onLoop([&] {
            explanation = forwarder->explain({"h", "/x?q", "key", 10});
            EXPECT_TRUE(explanation->placing.has_value());
            explanation->placing.reset(); // It counts references to servers, which belong to the loop.
        });
        return *explanation;
    };
    for (int count = 0; count < 5; ++count) {
        const auto before = explain();
        EXPECT_EQ(Services::verdictOf(before), "asks_leader");
        EXPECT_EQ(before.unit, Allowance::Taking::Kind::Waiting);
        ASSERT_NE(before.tenant, nullptr);
        EXPECT_EQ(before.tenant->name, "acme");
    }
    EXPECT_EQ(locked(calls), 0);
    onLoop([this] { EXPECT_EQ(client->stock().keys(), 0U); });
    EXPECT_EQ(statusOf(ask()), "200");
    EXPECT_EQ(statusOf(ask()), "200");
    EXPECT_EQ(statusOf(ask()), "429");
    const auto usedUp = explain();
    // The denial may have ended meanwhile on a busy machine.
    if (usedUp.unit == Allowance::Taking::Kind::OverLimit) {
        ASSERT_TRUE(usedUp.refusal.has_value());
        EXPECT_EQ(usedUp.refusal->error, Base::ErrorKind::TenantOverLimit);
        EXPECT_EQ(usedUp.refusal->cause, "the tenant's allowance is used up");
    } else {
        EXPECT_EQ(usedUp.unit, Allowance::Taking::Kind::Waiting);
    }
    EXPECT_EQ(locked(run), 2);
}
