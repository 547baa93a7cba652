// What a server refuses for its memory, descriptors or time. A refusal says that the request has not run, so
// each test looks at what the handler got.

#include "LibEdge/CallerServer.h"

#include "Support/RawSocket.h"

#include <atomic>
#include <fmt/format.h>
#include <future>
#include <gtest/gtest.h>
#include <map>
#include <mutex>
#include <thread>

using Base::milliseconds;
using Support::RawSocket;

namespace {

constexpr std::size_t LargeAnswer = 65536;

class Refusals : public ::testing::Test
{
protected:
    void start(const Edge::EdgeLimits &limits, std::size_t memoryBytes = 1 << 20,
               Edge::BodyFilter usesBody = {})
    {
        memory_ = std::make_shared<Edge::MemoryAccount>(memoryBytes);
        auto created = Edge::CallerServer::create(
            loop_, "127.0.0.1:0",
            [this](Edge::RequestMessage &request, const Edge::CallerExchange &exchange) {
                ++handled_;
                Edge::ResponseMessage response;
                response.body = request.path() == "/large" ? std::string(LargeAnswer, '.')
                                                           : fmt::format("{} bytes", request.body.size());
                exchange.respond(std::move(response));
            },
            {memory_, std::move(usesBody), [this](Edge::RefusalCause cause) {
                 const std::lock_guard lock(mutex_);
                 ++causes_[cause];
             }});
        server_ = std::move(*created);
        server_->setLimits(limits);
        address_ = server_->address();
        thread_ = std::thread([this] { loop_.run(); });
    }

    ~Refusals() override
    {
        loop_.post([this] {
            server_.reset();
            loop_.stop();
        });
        thread_.join();
    }

    int count(Edge::RefusalCause cause)
    {
        const std::lock_guard lock(mutex_);
        return causes_[cause];
    }

    /// The account belongs to the thread of the loop.
    std::size_t heldBytes()
    {
        std::promise<std::size_t> held;
        loop_.post([this, &held] { held.set_value(memory_->heldBytes()); });
        return held.get_future().get();
    }

    RawSocket connect() const { return RawSocket::connectTo(address_); }

    static std::string upload(std::size_t bodyBytes)
    {
        return fmt::format("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n", bodyBytes);
    }

    std::shared_ptr<Edge::MemoryAccount> memory_;
    std::atomic<int> handled_ {0};

private:
    Edge::Loop loop_;
    std::unique_ptr<Edge::CallerServer> server_;
    std::string address_;
    std::mutex mutex_;
    std::map<Edge::RefusalCause, int> causes_;
    std::thread thread_;
};

constexpr std::string_view Request = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

} // namespace

TEST_F(Refusals, BodyBeyondTheMemoryHasNotRun)
{
    start({}, 100'000);
    const auto caller = connect();
    caller.send(upload(200'000) + std::string(150'000, 'x'));
    const auto answer = caller.receiveAll();
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 ")) << answer;
    EXPECT_NE(answer.find("Retry-After: "), std::string::npos);
    EXPECT_EQ(handled_, 0);
    EXPECT_GE(count(Edge::RefusalCause::NoMemory), 1);
}

// A stopped body gives way to the next caller, who gets an answer.
TEST_F(Refusals, StoppedBodyGivesWayToAnOrdinaryCaller)
{
    start({}, 150'000);
    const auto stopped = connect();
    stopped.send(upload(100'000) + std::string(90'000, 'x'));
    std::this_thread::sleep_for(milliseconds(100));
    const auto ordinary = connect();
    ordinary.send(upload(60'000) + std::string(60'000, 'x'));
    EXPECT_TRUE(ordinary.receiveUntil("60000 bytes").starts_with("HTTP/1.1 200 "));
    EXPECT_TRUE(stopped.receiveAll().starts_with("HTTP/1.1 503 "));
    EXPECT_EQ(handled_, 1);
    EXPECT_EQ(count(Edge::RefusalCause::NoMemory), 1);
}

TEST_F(Refusals, HeadOfVeryManyFieldsHasNotRun)
{
    Edge::EdgeLimits limits;
    start(limits);
    const auto head = [](std::size_t fields) {
        std::string text = "GET /a HTTP/1.1\r\nHost: h\r\n";
        for (std::size_t number = 1; number < fields; ++number)
            text += "a:\r\n";
        return text + "\r\n";
    };
    const auto within = connect();
    within.send(head(limits.maxHeaderFields));
    EXPECT_TRUE(within.receiveUntil("bytes").starts_with("HTTP/1.1 200 "));
    const auto beyond = connect();
    beyond.send(head(limits.maxHeaderFields + 1));
    EXPECT_TRUE(beyond.receiveAll().starts_with("HTTP/1.1 431 "));
    EXPECT_EQ(handled_, 1);
    EXPECT_EQ(count(Edge::RefusalCause::TooManyFields), 1);
}

// A body may take longer than the idle time of the connection as long as it moves.
TEST_F(Refusals, SlowBodyHasNotRunAndAMovingOneHas)
{
    Edge::EdgeLimits limits;
    limits.headerTimeout = milliseconds(200);
    limits.idleTimeout = milliseconds(600);
    start(limits);
    const auto slow = connect();
    const auto moving = connect();
    slow.send(upload(100'000));
    moving.send(upload(200'000));
    for (int piece = 0; piece < 20; ++piece) {
        slow.send("x");
        moving.send(std::string(10'000, 'x'));
        std::this_thread::sleep_for(milliseconds(100));
    }
    EXPECT_TRUE(moving.receiveUntil("200000 bytes").starts_with("HTTP/1.1 200 "));
    EXPECT_TRUE(slow.receiveAll().starts_with("HTTP/1.1 408 "));
    EXPECT_EQ(handled_, 1);
    EXPECT_EQ(count(Edge::RefusalCause::SlowRequest), 1);
}

// While all connections are fresh a further one is closed; later the one that does nothing gives way.
TEST_F(Refusals, IdleConnectionGivesWayToANewOne)
{
    Edge::EdgeLimits limits;
    limits.maxConnections = 2;
    start(limits);
    const auto first = connect();
    std::this_thread::sleep_for(milliseconds(20));
    const auto second = connect();
    std::this_thread::sleep_for(milliseconds(20));
    EXPECT_EQ(connect().receiveAll(), "");
    std::this_thread::sleep_for(milliseconds(400));
    const auto third = connect();
    third.send(Request);
    EXPECT_TRUE(third.receiveUntil("bytes").starts_with("HTTP/1.1 200 "));
    EXPECT_EQ(first.receiveAll(), "");
    second.send(Request);
    EXPECT_TRUE(second.receiveUntil("bytes").starts_with("HTTP/1.1 200 "));
    EXPECT_EQ(count(Edge::RefusalCause::TooManyConnections), 2);
}

// A crowd that sends a little now and then would otherwise hold all connections for as long as it moves.
TEST_F(Refusals, LongTransferGivesWayToANewConnection)
{
    Edge::EdgeLimits limits;
    limits.maxConnections = 1;
    start(limits);
    const auto slow = connect();
    slow.send(upload(100'000));
    for (int piece = 0; piece < 30; ++piece) {
        slow.send("x");
        std::this_thread::sleep_for(milliseconds(50));
    }
    const auto ordinary = connect();
    ordinary.send(Request);
    EXPECT_TRUE(ordinary.receiveUntil("bytes").starts_with("HTTP/1.1 200 "));
    EXPECT_EQ(handled_, 1);
    EXPECT_EQ(count(Edge::RefusalCause::TooManyConnections), 1);
}

// Requests behind an answer that is not taken wait, and are answered when it has been.
TEST_F(Refusals, NothingIsReadAheadOfAnswersThatAreNotTaken)
{
    constexpr int Requests = 1000;
    start({});
    const auto caller = connect();
    std::string requests;
    for (int number = 0; number < Requests; ++number)
        requests += "GET /large HTTP/1.1\r\nHost: h\r\n\r\n";
    caller.send(requests);
    std::this_thread::sleep_for(milliseconds(500));
    EXPECT_LT(handled_, Requests);
    EXPECT_LT(heldBytes(), 4 * LargeAnswer);
    std::size_t received = 0;
    while (received < Requests * LargeAnswer) {
        const auto piece = caller.receive();
        ASSERT_FALSE(piece.empty());
        received += piece.size();
    }
    EXPECT_EQ(handled_, Requests);
}

TEST_F(Refusals, UnusedBodyIsNotKept)
{
    start({}, 100'000, [](const Edge::RequestMessage &head) { return head.path() != "/a"; });
    const auto caller = connect();
    caller.send(upload(200'000) + std::string(200'000, 'x'));
    EXPECT_TRUE(caller.receiveUntil("0 bytes").starts_with("HTTP/1.1 200 "));
    EXPECT_EQ(handled_, 1);
}
