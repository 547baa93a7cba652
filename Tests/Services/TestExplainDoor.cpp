// The call by which operators have a running gateway explain a request.

#include "Services/Common/MetricsEndpoint.h"
#include "Services/Gateway/Forwarder.h"

#include "FakeAdapter.h"
#include "Support/RawSocket.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <thread>
#include <unistd.h>

namespace {

using Services::FakeAdapter;
using Support::RawSocket;

constexpr std::string_view ClusterKey = "cluster";
constexpr std::string_view CallerKey = "sK9x2";

/// A gateway's forwarder with a server that must never get anything, and the operators' door to it.
class ExplainDoor : public ::testing::Test
{
protected:
    ExplainDoor()
        : events_("gateway", STDOUT_FILENO)
        , guard_(Services::NodeSettings {}, events_, metrics_.registry())
    {
        Forward::ForwardOptions options;
        options.dataCentre = "a";
        forwarder_ = std::make_unique<Services::Forwarder>(loop_, adapter_, events_, metrics_, options);
        Route::Configuration configuration;
        configuration.version = 3;
        configuration.services["s"] = {"s", 8};
        configuration.limits.maxBodyBytes = 1000;
        Route::RouteRule route;
        route.name = "single";
        route.host = "h";
        route.prefix = "/s/";
        route.timeout = route.latencyTarget = Base::seconds(5);
        route.targets = {{"s", 1.0}};
        configuration.routes = {route};
        Route::TenantRule tenant;
        tenant.name = "acme";
        tenant.keys = {Route::digestOfKey(CallerKey)};
        configuration.tenants = {tenant};
        configuration.tenantsDigest = 1;
        forwarder_->setRoutes(std::make_shared<const Route::RouteTable>(std::move(configuration)));
        forwarder_->confirmConfiguration(3, clock_.now());
        Wire::ServerList list;
        list.digest = 1;
        list.servers.push_back({"i", 0, "s", "127.0.0.1:9", "a", 4, Wire::ServerState::Ready, 0});
        forwarder_->setServers(clock_.now(), list);
        Services::OperatorCall call {"/v1/explain", std::string(ClusterKey), [this](std::string_view text) {
                                         ++asked;
                                         return explain(text);
                                     }};
        auto door = Services::serveMetrics(
            loop_, metrics_.registry(), "127.0.0.1", "0", [] { return nlohmann::json::object(); }, guard_,
            std::move(call));
        door_ = std::move(*door);
        thread_ = std::thread([this] { loop_.run(); });
    }

    ~ExplainDoor() override
    {
        loop_.post([this] { loop_.stop(); });
        thread_.join();
    }

    Base::Result<nlohmann::json> explain(std::string_view text) const
    {
        return Services::parseExplainQuestion(text).map([this](const Services::ExplainQuestion &question) {
            return Services::describeExplanation(forwarder_->explain(question), question);
        });
    }

    std::string call(const std::string &body, std::string_view key = ClusterKey,
                     const std::string &method = "POST") const
    {
        const auto socket = RawSocket::connectTo(door_->address());
        socket.send(fmt::format("{} /v1/explain HTTP/1.1\r\nHost: g\r\nAuthorization: Bearer {}\r\n"
                                "Content-Length: {}\r\nConnection: close\r\n\r\n{}",
                                method, key, body.size(), body));
        return socket.receiveAll();
    }

    static nlohmann::json bodyOf(const std::string &response)
    {
        return nlohmann::json::parse(response.substr(response.find("\r\n\r\n") + 4), nullptr, false);
    }

    static std::string statusOf(const std::string &response) { return response.substr(9, 3); }

    static std::string question(const std::string &key, std::uint64_t size = 0)
    {
        return Services::formatExplainQuestion({"h", "/s/x", key, size});
    }

    std::atomic<int> asked = 0;

private:
    FakeAdapter adapter_;
    Base::SystemClock clock_;
    Services::GatewayMetrics metrics_;
    Edge::Loop loop_;
    Base::EventLog events_;
    Services::CallerGuard guard_;
    std::unique_ptr<Services::Forwarder> forwarder_;
    std::unique_ptr<Edge::CallerServer> door_;
    std::thread thread_;
};

} // namespace

TEST_F(ExplainDoor, NamesTheTenantAndNeverTheKey)
{
    const auto response = call(question(std::string(CallerKey)));
    EXPECT_EQ(statusOf(response), "200");
    EXPECT_EQ(response.find(CallerKey), std::string::npos);
    const auto body = bodyOf(response);
    EXPECT_EQ(body["verdict"], "admitted");
    EXPECT_EQ(body["tenant"], "acme");
    EXPECT_EQ(body["request"]["has_key"], true);
    EXPECT_EQ(body["service"]["server"], "i");
}

// The same reasons as callers get.
TEST_F(ExplainDoor, NamesTheRefusal)
{
    const auto unknown = bodyOf(call(question("another")));
    EXPECT_EQ(unknown["verdict"], "refused");
    EXPECT_EQ(unknown["refusal"]["status"], 401);
    EXPECT_EQ(unknown["refusal"]["cause"], "key is not known");
    EXPECT_EQ(unknown["route"]["name"], "single");
    const auto none = bodyOf(call(R"({"host": "h", "path": "/s/x"})"));
    EXPECT_EQ(none["refusal"]["cause"], "request has no key");
    const auto large = bodyOf(call(question(std::string(CallerKey), 1001)));
    EXPECT_EQ(large["refusal"]["status"], 413);
    const auto elsewhere = bodyOf(call(R"({"host": "h", "path": "/t/x"})"));
    EXPECT_EQ(elsewhere["refusal"]["status"], 404);
    EXPECT_TRUE(elsewhere["route"].is_null());
}

TEST_F(ExplainDoor, AnswersOnlyOperators)
{
    for (const auto *key : {"", "another", "cluste", "clusterr"}) {
        const auto response = call(question("k"), key);
        EXPECT_EQ(statusOf(response), "401");
        EXPECT_EQ(bodyOf(response)["error"], "unauthorized");
    }
    EXPECT_EQ(statusOf(call("", "another", "GET")), "401");
    EXPECT_EQ(asked, 0);
}

TEST_F(ExplainDoor, RefusesWhatIsNoQuestion)
{
    EXPECT_EQ(statusOf(call(question("k"), ClusterKey, "GET")), "400");
    EXPECT_EQ(asked, 0);
    for (const std::string body :
         {"", "{", "[]", "3", "{}", R"({"host": "h"})", R"({"host": 3, "path": "/"})",
          R"({"host": "h", "path": "x"})", R"({"host": "h", "path": "/", "size": -1})",
          R"({"host": "h", "path": "/", "size": 1.5})", R"({"host": "h", "path": "/", "key": "a\nb"})",
          R"({"host": "h", "path": "/", "keys": "sK9x2"})", R"({"host": "a b", "path": "/"})"}) {
        const auto response = call(body);
        EXPECT_EQ(statusOf(response), "400") << body;
        EXPECT_EQ(response.find(CallerKey), std::string::npos);
    }
    EXPECT_EQ(statusOf(call(std::string(60, '[') + std::string(60, ']'))), "400");
    EXPECT_EQ(statusOf(call(std::string(2000, '['))), "400");
    // Every field that is wrong is named at once.
    const auto detail = bodyOf(call(R"({"path": "x", "key": "", "size": "1"})"))["detail"].get<std::string>();
    for (const auto *field : {"host: ", "path: ", "key: ", "size: "})
        EXPECT_NE(detail.find(field), std::string::npos) << detail;
}

TEST_F(ExplainDoor, RefusesLargeQuestions)
{
    EXPECT_EQ(statusOf(call(std::string(Services::OperatorCall::MaxBodyBytes + 1, ' '))), "413");
    EXPECT_EQ(asked, 0);
    const auto largest = question(std::string(CallerKey));
    EXPECT_EQ(
        statusOf(call(largest + std::string(Services::OperatorCall::MaxBodyBytes - largest.size(), ' '))),
        "200");
}
