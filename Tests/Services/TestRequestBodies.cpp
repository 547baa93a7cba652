// What becomes of the bodies of requests between a caller and the backend server.

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

class RequestBodies : public ::testing::Test
{
protected:
    RequestBodies()
        : events_("gateway", STDOUT_FILENO)
    {
        server_ = std::move(*Edge::CallerServer::create(
            loop_, "127.0.0.1:0",
            [this](Edge::RequestMessage &request, const Edge::CallerExchange &exchange) {
                const std::lock_guard lock(mutex_);
                bodies_.push_back(std::move(request.body));
                Edge::ResponseMessage response;
                response.headers = {{"Id", std::string(request.header("Id"))}, {"Proof", "p"}};
                exchange.respond(std::move(response));
            }));
        Forward::ForwardOptions options;
        options.dataCentre = "a";
        forwarder_ = std::make_unique<Services::Forwarder>(loop_, adapter_, events_, metrics_, options);
        Wire::ServerList list;
        list.digest = 1;
        list.servers.push_back({"i", 0, "s", server_->address(), "a", 4, Wire::ServerState::Ready, 0});
        forwarder_->setServers(clock_.now(), list);
        Edge::CallerServerOptions callerOptions;
        callerOptions.usesBody = [this](const Edge::RequestMessage &head) {
            return forwarder_->usesBody(head);
        };
        callers_ = std::move(*Edge::CallerServer::create(
            loop_, "127.0.0.1:0",
            [this](Edge::RequestMessage &request, const Edge::CallerExchange &exchange) {
                forwarder_->handle(std::move(request), exchange);
            },
            std::move(callerOptions)));
        thread_ = std::thread([this] { loop_.run(); });
    }

    ~RequestBodies() override
    {
        loop_.post([this] { loop_.stop(); });
        thread_.join();
        callers_.reset();
        forwarder_.reset();
        server_.reset();
    }

    void setRoutes()
    {
        std::promise<void> set;
        loop_.post([&] {
            Route::Configuration configuration;
            configuration.version = 1;
            configuration.services["s"] = {"s", 8};
            Route::RouteRule route;
            route.name = "single";
            route.host = "h";
            route.prefix = "/";
            route.timeout = Base::seconds(5);
            route.latencyTarget = Base::seconds(1);
            route.targets = {{"s", 1.0}};
            configuration.routes.push_back(route);
            forwarder_->setRoutes(std::make_shared<const Route::RouteTable>(std::move(configuration)));
            set.set_value();
        });
        set.get_future().wait();
    }

    RawSocket connect() const { return RawSocket::connectTo(callers_->address()); }

    static std::string head(std::size_t bodyBytes)
    {
        return fmt::format("POST /a HTTP/1.1\r\nHost: h\r\nId: 1\r\nContent-Length: {}\r\n\r\n", bodyBytes);
    }

    std::vector<std::string> bodies()
    {
        const std::lock_guard lock(mutex_);
        return bodies_;
    }

private:
    FakeAdapter adapter_;
    Base::SystemClock clock_;
    Base::EventLog events_;
    Services::GatewayMetrics metrics_;
    Edge::Loop loop_;
    std::mutex mutex_;
    std::vector<std::string> bodies_; ///< Of the requests that the server has run.
    std::unique_ptr<Edge::CallerServer> server_;
    std::unique_ptr<Services::Forwarder> forwarder_;
    std::unique_ptr<Edge::CallerServer> callers_;
    std::thread thread_;
};

} // namespace

// Small ones travel with their head, large ones apart from it.
TEST_F(RequestBodies, ArriveWhole)
{
    setRoutes();
    const auto caller = connect();
    for (const std::size_t size : {0U, 10U, 16'384U, 16'385U, 250'000U}) {
        std::string body;
        while (body.size() < size)
            body += fmt::format("{} ", body.size());
        body.resize(size);
        caller.send(head(size) + body);
        ASSERT_TRUE(caller.receiveUntil("\r\n\r\n").starts_with("HTTP/1.1 200 ")) << size;
        EXPECT_EQ(bodies().back(), body) << size;
    }
}

// The route was not there when the body began, so its beginning is gone when the route comes.
TEST_F(RequestBodies, RequestWithoutItsBodyHasNotRun)
{
    const auto caller = connect();
    caller.send(head(10) + "0");
    std::this_thread::sleep_for(Base::milliseconds(100));
    setRoutes();
    caller.send("123456789");
    const auto answer = caller.receiveUntil("\r\n\r\n");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 ")) << answer;
    EXPECT_NE(answer.find("Retry-After: "), std::string::npos);
    EXPECT_TRUE(bodies().empty());
}
