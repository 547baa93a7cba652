// What backend servers, callers and the log get of keys and of the names of tenants.

#include "LibEdge/MessageParser.h"
#include "Services/Gateway/ForwardedHead.h"
#include "Services/Gateway/Forwarder.h"

#include "FakeAdapter.h"
#include "Support/RawSocket.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <future>
#include <gtest/gtest.h>
#include <mutex>
#include <thread>

namespace {

using Services::FakeAdapter;
using Support::RawSocket;

constexpr std::string_view Key = "sK9x2";

Route::Configuration tenantsConfiguration(bool hasTenants)
{
    Route::Configuration configuration;
    configuration.version = 3;
    configuration.services["s"] = {"s", 8};
    configuration.services["t"] = {"t", 8};
    Route::RouteRule route;
    route.host = "h";
    route.timeout = route.latencyTarget = Base::seconds(5);
    route.repeatability = Route::Repeatability::Idempotent;
    route.attempts = 2;
    const auto add = [&](const std::string &name, bool isPublic, bool isGather) {
        route.name = name;
        route.prefix = "/" + name + "/";
        route.isPublic = isPublic;
        route.targets.clear();
        route.gather.reset();
        if (isGather)
            route.gather = Route::GatherRule {{"s", "t"}, 10, 1.0};
        else
            route.targets = {{"s", 1.0}};
        configuration.routes.push_back(route);
    };
    add("single", false, false);
    add("gather", false, true);
    add("open", true, false);
    if (hasTenants) {
        Route::TenantRule tenant;
        tenant.name = "acme";
        tenant.keys = {Route::digestOfKey(Key)};
        configuration.tenants = {tenant};
        configuration.tenantsDigest = 1;
    }
    return configuration;
}

Edge::RequestMessage requestWith(std::vector<Http::Header> headers)
{
    Edge::RequestMessage request;
    request.method = "GET";
    request.target = "/x";
    request.headers = std::move(headers);
    return request;
}

std::size_t occurrences(std::string_view text, std::string_view part)
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string_view::npos; at = text.find(part, at + 1))
        ++count;
    return count;
}

std::string headOf(const Edge::RequestMessage &request, bool hasTenants, bool hasTenant)
{
    const FakeAdapter adapter;
    const auto configuration = tenantsConfiguration(hasTenants);
    return Services::forwardedHead(request, adapter.headers(), configuration,
                                   hasTenant ? configuration.tenantRules().data() : nullptr);
}

/// A gateway's forwarder between callers and two backend servers, all on one loop.
class TenantRequestsTest : public ::testing::Test
{
protected:
    TenantRequestsTest()
    {
        EXPECT_EQ(::pipe2(log, O_NONBLOCK), 0);
        const auto serve = [this](const std::string &proof) {
            return [this, proof](const Edge::RequestMessage &request, const Edge::CallerExchange &exchange) {
                const std::lock_guard lock(mutex);
                std::string head;
                for (const auto &[name, value] : request.headers)
                    head += fmt::format("{}: {}\n", name, value);
                received.push_back(head);
                Edge::ResponseMessage response;
                response.headers = {{"Id", std::string(request.header("Id"))}};
                if (refusals > 0) {
                    --refusals;
                    response.status = 503;
                    response.headers.emplace_back("Not-Run", "1");
                } else {
                    response.headers.emplace_back("Proof", proof);
                }
                exchange.respond(response);
            };
        };
        for (const auto *proof : {"p1", "p2", "p3"})
            servers.push_back(std::move(*Edge::CallerServer::create(loop, "127.0.0.1:0", serve(proof))));
        events = std::make_unique<Base::EventLog>("gateway", log[1]);
        Forward::ForwardOptions options;
        options.dataCentre = "a";
        options.extraLoadRatio = 1.0;
        options.extraLoadSlack = 100.0;
        forwarder = std::make_unique<Services::Forwarder>(loop, adapter, *events, metrics, options, Bound);
        auto door = Edge::CallerServer::create(
            loop, "127.0.0.1:0",
            [this](const Edge::RequestMessage &request, const Edge::CallerExchange &exchange) {
                forwarder->handle(request, exchange);
            });
        callers = std::move(*door);
    }

    ~TenantRequestsTest() override
    {
        if (thread.joinable()) {
            loop.post([this] { loop.stop(); });
            thread.join();
        }
        callers.reset();
        forwarder.reset();
        servers.clear();
        events.reset();
        ::close(log[0]);
        ::close(log[1]);
    }

    void start(bool hasTenants, bool confirmed = true)
    {
        forwarder->setRoutes(std::make_shared<const Route::RouteTable>(tenantsConfiguration(hasTenants)));
        Wire::ServerList list;
        list.digest = 1;
        for (std::size_t index = 0; index < servers.size(); ++index)
            list.servers.push_back({fmt::format("i{}", index), 0, index == 2 ? "t" : "s",
                                    servers[index]->address(), "a", 4, Wire::ServerState::Ready, 0});
        forwarder->setServers(clock.now(), list);
        if (confirmed)
            forwarder->confirmConfiguration(3, clock.now());
        thread = std::thread([this] { loop.run(); });
    }

    std::string ask(const std::string &path, const std::string &headers) const
    {
        const auto socket = RawSocket::connectTo(callers->address());
        socket.send(fmt::format("GET {} HTTP/1.1\r\nHost: h\r\nId: 7\r\nDeadline: 4000\r\n{}"
                                "Connection: close\r\n\r\n",
                                path, headers));
        return socket.receiveAll();
    }

    std::string logText()
    {
        std::promise<void> flushed;
        loop.post([&] {
            events->flush();
            flushed.set_value();
        });
        flushed.get_future().wait();
        std::string text(65536, '\0');
        const auto count = ::read(log[0], text.data(), text.size());
        text.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
        return text;
    }

    static constexpr Base::Duration Bound = Base::seconds(5);
    int log[2] {};
    FakeAdapter adapter;
    Base::SystemClock clock;
    Services::GatewayMetrics metrics;
    Edge::Loop loop;
    std::mutex mutex;
    std::vector<std::string> received; ///< Headers of each request at a backend server.
    int refusals = 0; ///< Requests that the servers still refuse as not run.
    std::vector<std::unique_ptr<Edge::CallerServer>> servers;
    std::unique_ptr<Base::EventLog> events;
    std::unique_ptr<Services::Forwarder> forwarder;
    std::unique_ptr<Edge::CallerServer> callers;
    std::thread thread;
};

} // namespace

TEST(ForwardedHead, NamesTheTenantAndHidesTheKey)
{
    const auto head = headOf(requestWith({{"KEY", std::string(Key)},
                                          {"Other", "o"},
                                          {"key", std::string(Key)},
                                          {"tEnAnT", "forged"},
                                          {"Tenant", "forged"}}),
                             true, true);
    EXPECT_EQ(head.find(Key), std::string::npos);
    EXPECT_EQ(head.find("forged"), std::string::npos);
    EXPECT_EQ(occurrences(head, "Tenant: acme\r\n"), 1U);
    EXPECT_EQ(occurrences(head, "Other: o\r\n"), 1U);
}

TEST(ForwardedHead, PublicRoutesNameNoTenant)
{
    const auto head = headOf(requestWith({{"Key", std::string(Key)}, {"Tenant", "forged"}}), true, false);
    EXPECT_EQ(head, "GET /x HTTP/1.1\r\n");
}

// A caller may name any header in Connection; those that this process sets must reach the server all the
// same.
TEST(ForwardedHead, ConnectionOptionsDoNotChangeTheTenant)
{
    const auto head = headOf(
        requestWith({{"Connection", "Tenant, Key, close"}, {"Key", std::string(Key)}, {"Tenant", "forged"}}),
        true, true);
    EXPECT_EQ(head, "GET /x HTTP/1.1\r\nTenant: acme\r\n");
}

// Without tenants, callers may use headers of these names for purposes of their own.
TEST(ForwardedHead, NothingChangesWithoutTenants)
{
    const auto head = headOf(requestWith({{"Key", "k"}, {"Tenant", "t"}}), false, false);
    EXPECT_EQ(head, "GET /x HTTP/1.1\r\nKey: k\r\nTenant: t\r\n");
}

// A trailer that reached a server as a header could stand for any header, also for those that a caller is not
// allowed to set.
TEST(ForwardedHead, TrailersReachNoServer)
{
    const Edge::RequestLimits limits {.maxHeaderBytes = 16384, .maxBodyBytes = 16384};
    Edge::RequestParser parser(limits);
    const std::string text =
        "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTrailer: Other\r\n\r\n"
        "1\r\na\r\n0\r\nTenant: forged\r\nKey: sK9x2\r\nOther: o\r\nId: 9\r\n\r\n";
    ASSERT_TRUE(parser.feed(text).done);
    const auto request = parser.take();
    EXPECT_EQ(request.body, "a");
    EXPECT_TRUE(request.header("Key").empty());
    EXPECT_TRUE(request.header("Id").empty());
    const auto head = headOf(request, true, true);
    EXPECT_EQ(head.find(Key), std::string::npos);
    EXPECT_EQ(head.find("forged"), std::string::npos);
    EXPECT_EQ(occurrences(head, "Tenant: acme\r\n"), 1U);
    EXPECT_EQ(head, "POST /x HTTP/1.1\r\nHost: h\r\nTenant: acme\r\nContent-Length: 1\r\n");
    EXPECT_EQ(headOf(request, false, false), "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n");
}

TEST_F(TenantRequestsTest, EveryAttemptNamesTheTenant)
{
    start(true);
    const auto headers = fmt::format("kEy: {}\r\ntenant: forged\r\n", Key);
    EXPECT_NE(ask("/single/x", headers).find(" 200 "), std::string::npos);
    EXPECT_NE(ask("/gather/x", headers).find(" 200 "), std::string::npos);
    loop.post([this] { refusals = 1; });
    EXPECT_NE(ask("/single/x", headers).find(" 200 "), std::string::npos); // Sent again after a refusal.
    EXPECT_NE(ask("/open/x", "tenant: forged\r\n").find(" 200 "), std::string::npos);
    const std::lock_guard lock(mutex);
    ASSERT_EQ(received.size(), 6U);
    for (std::size_t index = 0; index < received.size(); ++index) {
        EXPECT_EQ(received[index].find(Key), std::string::npos);
        EXPECT_EQ(received[index].find("forged"), std::string::npos);
        EXPECT_EQ(occurrences(received[index], "Tenant: acme\n"), index == 5 ? 0U : 1U) << index;
    }
}

// A refusal must be true: no server may have seen the request.
TEST_F(TenantRequestsTest, RefusedRequestsReachNoServer)
{
    start(true);
    EXPECT_NE(ask("/single/x", "").find(" 401 "), std::string::npos);
    EXPECT_NE(ask("/single/x", "Key: other\r\n").find(" 401 "), std::string::npos);
    EXPECT_NE(ask("/single/x", fmt::format("Key: {}\r\nkey: {}\r\n", Key, Key)).find(" 401 "),
              std::string::npos);
    EXPECT_NE(ask("/none/x", "Key: other\r\n").find(" 404 "), std::string::npos);
    const std::lock_guard lock(mutex);
    EXPECT_TRUE(received.empty());
}

// The last tenant was removed while callers were connected; servers were handed their keys and the names that
// they wrote themselves.
TEST_F(TenantRequestsTest, WithoutAnyTenantLeftOnlyPublicRoutesAreServed)
{
    start(true);
    const auto headers = fmt::format("Key: {}\r\nTenant: forged\r\n", Key);
    EXPECT_NE(ask("/single/x", headers).find(" 200 "), std::string::npos);
    loop.post([this] {
        auto configuration = tenantsConfiguration(true);
        configuration.version = 4;
        configuration.tenants->clear();
        configuration.tenantsDigest = 2;
        forwarder->setRoutes(std::make_shared<const Route::RouteTable>(std::move(configuration)));
        forwarder->confirmConfiguration(4, clock.now());
    });
    for (const auto *path : {"/single/x", "/gather/x"}) {
        EXPECT_NE(ask(path, headers).find(" 401 "), std::string::npos);
        EXPECT_NE(ask(path, "Key: never-held\r\n").find(" 401 "), std::string::npos);
        EXPECT_NE(ask(path, "").find(" 401 "), std::string::npos);
    }
    EXPECT_NE(ask("/open/x", headers).find(" 200 "), std::string::npos);
    const std::lock_guard lock(mutex);
    ASSERT_EQ(received.size(), 2U);
    EXPECT_EQ(received[1].find(Key), std::string::npos);
    EXPECT_EQ(received[1].find("forged"), std::string::npos);
}

TEST_F(TenantRequestsTest, UnconfirmedGatewaySendsCallersElsewhere)
{
    start(true, false);
    const auto answer = ask("/single/x", fmt::format("Key: {}\r\n", Key));
    EXPECT_NE(answer.find(" 503 "), std::string::npos);
    EXPECT_NE(answer.find("Retry-After: "), std::string::npos);
    EXPECT_NE(ask("/open/x", "").find(" 200 "), std::string::npos);
    loop.post([this] { forwarder->confirmConfiguration(3, clock.now() - Base::seconds(10)); });
    const auto later = ask("/single/x", fmt::format("Key: {}\r\n", Key));
    EXPECT_NE(later.find(" 503 "), std::string::npos);
    EXPECT_NE(later.find("Retry-After: 0.100"), std::string::npos);
    const std::lock_guard lock(mutex);
    EXPECT_EQ(received.size(), 1U);
}

TEST_F(TenantRequestsTest, LogNamesTenantsAndNoKeys)
{
    start(true);
    (void)ask("/single/x", fmt::format("Key: {}\r\n", Key));
    (void)ask("/single/x", fmt::format("Key: {}\r\nKey: {}\r\n", Key, Key));
    (void)ask("/none/x", fmt::format("Key: {}\r\n", Key));
    loop.post([this] {
        forwarder->maintain(clock.now());
        forwarder->maintain(clock.now() + 2 * Bound);
    });
    const auto text = logText();
    EXPECT_EQ(text.find(Key), std::string::npos) << text;
    EXPECT_EQ(occurrences(text, "tenant=acme"), 1U) << text;
    EXPECT_EQ(occurrences(text, "event=keys_not_served"), 1U) << text;
    EXPECT_EQ(occurrences(text, "outcome=unauthorized"), 1U) << text;
}

TEST_F(TenantRequestsTest, DeploymentsWithoutTenantsPassKeysOn)
{
    start(false, false);
    EXPECT_NE(ask("/single/x", "Key: k\r\n").find(" 200 "), std::string::npos);
    const auto text = logText();
    EXPECT_EQ(text.find("tenant"), std::string::npos);
    const std::lock_guard lock(mutex);
    ASSERT_EQ(received.size(), 1U);
    EXPECT_NE(received[0].find("Key: k\n"), std::string::npos);
}
