#include "LibHttp/Client.h"
#include "LibHttp/ErrorResponse.h"
#include "LibHttp/Server.h"
#include "Support/RawSocket.h"

#include <array>
#include <atomic>
#include <future>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>
#include <span>
#include <stdexcept>
#include <thread>

namespace Http {

namespace {

constexpr auto LongTimeout = Base::seconds(120);

Response echo(const Request &request)
{
    return {200, {{"X-Path", request.path}, {"X-Query", request.query}}, request.body};
}

std::unique_ptr<Server> makeServer(Handler handler, Base::Duration requestTimeout = Base::seconds(30),
                                   int threads = 8)
{
    ServerOptions options;
    options.listenAddress = "127.0.0.1:0";
    options.threads = threads;
    options.maxBodyBytes = 1000;
    options.requestTimeout = requestTimeout;
    options.handler = std::move(handler);
    auto server = Server::create(std::move(options));
    return server ? std::move(*server) : nullptr;
}

std::unique_ptr<Client> connectTo(const Server &server)
{
    auto client = Client::connect(server.listenAddress(), LongTimeout);
    return client ? std::move(*client) : nullptr;
}

Request post(std::string path, std::string body)
{
    Request request;
    request.method = "POST";
    request.path = std::move(path);
    request.body = std::move(body);
    return request;
}

std::string errorName(const std::string &rawResponse)
{
    const auto body = rawResponse.substr(rawResponse.find("\r\n\r\n") + 4);
    return nlohmann::json::parse(body).at("error");
}

/// Sends each of the requests with a further one behind it, to a server that must handle none of them.
void expectRefused(std::span<const std::string_view> requests)
{
    std::atomic<int> handled {0};
    const auto server = makeServer([&handled](const Request &request) {
        ++handled;
        return echo(request);
    });
    for (const auto unclear : requests) {
        const auto socket = Support::RawSocket::connectTo(server->listenAddress());
        socket.send(std::string(unclear) + "GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n");
        socket.finishSending();
        const auto answer = socket.receiveAll();
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 400") || answer.empty()) << unclear << answer;
        EXPECT_EQ(answer.find("smuggled"), std::string::npos) << unclear;
    }
    EXPECT_EQ(handled, 0);
}

} // namespace

// Guards against a connection that is not reused or that shifts replies between exchanges.
TEST(Server, ServesManyExchangesOnOneConnection)
{
    const auto server = makeServer(&echo);
    const auto client = connectTo(*server);
    for (int number = 0; number < 50; ++number) {
        auto request = post("/echo/" + std::to_string(number), std::to_string(number * 7));
        request.query = "a=" + std::to_string(number);
        const auto response = client->exchange(request, LongTimeout);
        ASSERT_TRUE(response) << response.error().error.detail;
        EXPECT_EQ(response->body, request.body);
        EXPECT_EQ(response->header("x-path"), request.path);
        EXPECT_EQ(response->header("X-QUERY"), request.query);
        ASSERT_TRUE(client->isUsable());
    }
}

// Guards against answers that reach another connection's caller.
TEST(Server, ConcurrentExchangesAreNeverMixed)
{
    const auto server = makeServer(&echo);
    std::vector<std::future<bool>> workers;
    workers.reserve(8);
    for (int worker = 0; worker < 8; ++worker) {
        workers.push_back(std::async(std::launch::async, [&, worker] {
            const auto client = connectTo(*server);
            bool same = true;
            for (int number = 0; number < 50; ++number) {
                const auto body = std::to_string(worker) + ":" + std::to_string(number);
                const auto response = client->exchange(post("/", body), LongTimeout);
                same = same && response && response->body == body;
            }
            return same;
        }));
    }
    for (auto &worker : workers)
        EXPECT_TRUE(worker.get());
}

// Guards against a handler fault that ends the process or leaves the caller without a reply.
TEST(Server, HandlerExceptionBecomesInternalError)
{
    const auto server = makeServer([](const Request &) -> Response { throw std::runtime_error("fault"); });
    const auto client = connectTo(*server);
    const auto response = client->exchange({}, LongTimeout);
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 500);
    EXPECT_EQ(nlohmann::json::parse(response->body).at("error"), "internal");
}

// Guards against an error body that differs from docs/HTTP.md.
TEST(Server, ErrorResponseFollowsTheTable)
{
    const auto response = errorResponse({Base::ErrorKind::Overloaded, "in flight 64 \xff"});
    EXPECT_EQ(response.status, 503);
    const auto body = nlohmann::json::parse(response.body);
    EXPECT_EQ(body.at("error"), "overloaded");
    EXPECT_EQ(body.at("run"), "no");
    EXPECT_EQ(body.at("message"), "The class is at its admission limit.");
}

// Guards against bodies beyond the limit, whether the length is stated truthfully or not at all.
TEST(Server, RefusesOversizedBody)
{
    const auto server = makeServer(&echo);
    const auto stated = Support::RawSocket::connectTo(server->listenAddress());
    stated.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999\r\n\r\nabc");
    EXPECT_EQ(errorName(stated.receiveAll()), "request_too_large");
    const auto chunked = Support::RawSocket::connectTo(server->listenAddress());
    chunked.send("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n"
                 + std::string(2000, 'x') + "\r\n0\r\n\r\n");
    EXPECT_EQ(errorName(chunked.receiveAll()), "request_too_large");
}

// Guards against headers that grow the server's memory.
// As many bodies as there are threads would otherwise hold their size each.
TEST(Server, RefusesBodiesBeyondTheirMemoryAsNotRun)
{
    std::atomic<int> handled = 0;
    ServerOptions options;
    options.listenAddress = "127.0.0.1:0";
    options.threads = 4;
    options.maxBodyBytes = 100'000;
    options.maxBodiesBytes = 50'000;
    options.handler = [&handled](const Request &request) {
        ++handled;
        return echo(request);
    };
    const auto server = Server::create(std::move(options));
    ASSERT_TRUE(server);
    const auto large = connectTo(**server)->exchange(post("/a", std::string(80'000, 'x')), LongTimeout);
    ASSERT_TRUE(large);
    EXPECT_EQ(large->status, 503);
    EXPECT_EQ(nlohmann::json::parse(large->body).at("run"), "no");
    EXPECT_EQ(handled, 0);
    const auto small = connectTo(**server)->exchange(post("/a", std::string(20'000, 'x')), LongTimeout);
    ASSERT_TRUE(small);
    EXPECT_EQ(small->status, 200);
}

TEST(Server, RefusesOversizedHeaders)
{
    const auto server = makeServer(&echo);
    const auto socket = Support::RawSocket::connectTo(server->listenAddress());
    socket.send("GET / HTTP/1.1\r\nX-Long: " + std::string(60000, 'x') + "\r\n\r\n");
    const auto reply = socket.receiveAll();
    EXPECT_TRUE(reply.empty() || reply.find("HTTP/1.1 4") == 0) << reply;
    EXPECT_TRUE(connectTo(*server)->exchange({}, LongTimeout));
}

// Guards against a handler that runs on half a body.
TEST(Server, DoesNotHandleTruncatedBody)
{
    std::atomic<int> handled {0};
    const auto server = makeServer([&](const Request &request) {
        ++handled;
        return echo(request);
    });
    const auto socket = Support::RawSocket::connectTo(server->listenAddress());
    socket.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc");
    socket.finishSending();
    EXPECT_EQ(errorName(socket.receiveAll()), "invalid_request");
    EXPECT_EQ(handled, 0);
}

// Guards against garbage that terminates the process or the service of others.
TEST(Server, SurvivesMalformedInput)
{
    const auto server = makeServer(&echo);
    EXPECT_TRUE(rc::check([&] {
        const auto garbage = *rc::gen::arbitrary<std::string>();
        const auto startsWell = *rc::gen::arbitrary<bool>();
        const auto socket = Support::RawSocket::connectTo(server->listenAddress());
        socket.send((startsWell ? "POST /a HTTP/1.1\r\n" : "") + garbage);
        socket.finishSending();
        socket.receiveAll();
        RC_ASSERT(connectTo(*server)->exchange(post("/", "x"), LongTimeout).has_value());
    }));
}

// Where two readers could disagree about the end of a request, what follows could run as a second one.
TEST(Server, RefusesRequestsWhoseEndIsUnclear)
{
    expectRefused(std::array<std::string_view, 7> {
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nContent-Length: 60\r\n\r\nxx",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: identity\r\n\r\nxx",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nxx\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n-2\r\nxx\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -2\r\n\r\nxx",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2x\r\n\r\nxx",
    });
}

// The library takes such header lines for others or drops them before this process sees them.
TEST(Server, RefusesHeaderLinesWithMisplacedSpace)
{
    expectRefused(std::array<std::string_view, 2> {
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length : 2\r\n\r\nxx",
        "POST / HTTP/1.1\r\nHost: a\r\nX: 1\r\n Content-Length: 2\r\n\r\nxx",
    });
}

// Guards against slow clients that hold up others or keep their thread for ever.
TEST(Server, SlowClientsDoNotHoldUpOthers)
{
    const auto server = makeServer(&echo, Base::seconds(1), 3);
    const auto slowHead = Support::RawSocket::connectTo(server->listenAddress());
    slowHead.send("POST / HT");
    const auto slowBody = Support::RawSocket::connectTo(server->listenAddress());
    slowBody.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc");
    EXPECT_TRUE(connectTo(*server)->exchange(post("/", "x"), LongTimeout));
    slowHead.receiveAll();
    EXPECT_EQ(errorName(slowBody.receiveAll()), "invalid_request");
}

// Guards against a planned stop that cuts off a request in flight.
TEST(Server, ShutdownLetsRunningHandlersFinish)
{
    std::promise<void> entered;
    std::promise<void> released;
    const auto server = makeServer([&](const Request &request) {
        entered.set_value();
        released.get_future().wait();
        return echo(request);
    });
    const auto client = connectTo(*server);
    auto response =
        std::async(std::launch::async, [&] { return client->exchange(post("/", "last"), LongTimeout); });
    entered.get_future().wait();
    std::thread stopper([&] { server->shutDown(); });
    released.set_value();
    stopper.join();
    const auto result = response.get();
    ASSERT_TRUE(result);
    EXPECT_EQ(result->body, "last");
}

} // namespace Http
