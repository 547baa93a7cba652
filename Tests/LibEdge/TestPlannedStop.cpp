// A planned stop and faults of this process's own, as callers see them.

#include "LibEdge/EdgeFixture.h"

#include <csignal>

using Base::milliseconds;
using Support::RawSocket;
using Tests::EdgeTest;

namespace {

constexpr std::string_view Request = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
/// Long enough for loopback to deliver what was sent.
constexpr Base::Duration Delivery = milliseconds(50);

class PlannedStop : public EdgeTest
{
protected:
    /// Stops the server right after what `send` sends has arrived, before its loop has come to any of it.
    template<typename Send>
    void stopBehind(Send send)
    {
        std::promise<void> blocked;
        std::promise<void> sent;
        loop.post([&] {
            blocked.set_value();
            sent.get_future().wait();
            server->stopAccepting();
        });
        blocked.get_future().wait();
        send();
        std::this_thread::sleep_for(Delivery);
        sent.set_value();
        // The task on the loop refers to the promises.
        std::promise<void> stopped;
        loop.post([&] { stopped.set_value(); });
        stopped.get_future().wait();
    }
};

} // namespace

// Requests that the kernel has accepted, but the process has not come to, were reset when the listener
// closed.
TEST_F(PlannedStop, AnswersRequestsThatWaitInTheBacklog)
{
    std::vector<RawSocket> callers;
    stopBehind([&] {
        for (int i = 0; i < 20; ++i) {
            callers.push_back(RawSocket::connectTo(address));
            callers.back().send(Request);
        }
    });
    for (const auto &caller : callers)
        EXPECT_TRUE(caller.receiveAll().starts_with("HTTP/1.1 200"));
    EXPECT_EQ(handled, 20);
}

// The same on kept connections: closing one with unread bytes resets it.
TEST_F(PlannedStop, AnswersRequestsThatHaveNotBeenRead)
{
    std::vector<RawSocket> callers;
    for (int i = 0; i < 20; ++i) {
        callers.push_back(RawSocket::connectTo(address));
        callers.back().send(Request);
        ASSERT_TRUE(callers.back().receiveUntil("/a ").starts_with("HTTP/1.1 200"));
    }
    stopBehind([&] {
        for (const auto &caller : callers)
            caller.send(Request);
    });
    for (const auto &caller : callers)
        EXPECT_TRUE(caller.receiveAll().starts_with("HTTP/1.1 200"));
    EXPECT_EQ(handled, 40);
}

// Requests that a caller sent without waiting for the answer were read behind the one at work and never
// answered.
TEST_F(PlannedStop, AnswersRequestsReadBehindOneAtWork)
{
    const auto caller = RawSocket::connectTo(address);
    caller.send("GET /held HTTP/1.1\r\nHost: h\r\n\r\n" + std::string(Request) + std::string(Request));
    ASSERT_TRUE(eventually([&] { return handled == 1; }));
    std::this_thread::sleep_for(Delivery);
    loop.post([&] {
        server->beginDrain();
        held.respond({});
    });
    const auto answers = caller.receiveAll();
    EXPECT_EQ(handled, 3);
    std::size_t count = 0;
    for (auto at = answers.find("HTTP/1.1 200"); at != std::string::npos;
         at = answers.find("HTTP/1.1 200", at + 1))
        ++count;
    EXPECT_EQ(count, 3U);
    EXPECT_GT(answers.find("Connection: close"), answers.rfind("HTTP/1.1 200"));
    EXPECT_NE(answers.find("Connection: close"), std::string::npos);
}

// One request that meets a fault must not take the process, or other callers, with it.
TEST_F(EdgeTest, FailingHandlerEndsOneRequestOnly)
{
    EXPECT_TRUE(exchange("GET /throws HTTP/1.1\r\nHost: h\r\n\r\n").starts_with("HTTP/1.1 500"));
    EXPECT_TRUE(exchange(std::string(Request)).starts_with("HTTP/1.1 200"));
}

// A signal in the first moments of a process ended it, as nothing handled it yet.
TEST(Loop, HandlesSignalsThatWereHeldBack)
{
    Edge::Loop::holdSignals({SIGHUP});
    std::raise(SIGHUP);
    Edge::Loop loop;
    int signals = 0;
    loop.onSignals({SIGHUP}, [&](int) { ++signals; });
    for (int i = 0; i < 100 && signals == 0; ++i)
        loop.runFor(milliseconds(10));
    EXPECT_EQ(signals, 1);
    std::raise(SIGHUP);
    for (int i = 0; i < 100 && signals == 1; ++i)
        loop.runFor(milliseconds(10));
    EXPECT_EQ(signals, 2);
}

// Tasks and timers of a process go on after one of them has failed.
TEST(Loop, GoesOnAfterAFailingTask)
{
    Edge::Loop loop;
    int ticks = 0;
    loop.post([] { throw std::runtime_error("a fault of a task"); });
    loop.repeat(milliseconds(1), [&] {
        if (++ticks == 3)
            loop.stop();
        throw std::runtime_error("a fault of a timer");
    });
    loop.run();
    EXPECT_EQ(ticks, 3);
}

// Chunk extensions and trailers have no limit of their own, so they could fill the memory.
TEST_F(EdgeTest, RefusesLinesWithoutEnd)
{
    const std::string head = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string_view start : {"5;extension=", "0\r\nTrailer: "}) {
        const auto socket = RawSocket::connectTo(address);
        socket.send(head + std::string(start));
        const std::string filler(16384, 'x');
        const auto sentAt = std::chrono::steady_clock::now();
        for (int i = 0; i < 16; ++i)
            socket.send(filler);
        const auto answer = socket.receive();
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 4")) << start << " " << answer;
        // The limits on time would end it after 15 s, and on memory never.
        EXPECT_LT(std::chrono::steady_clock::now() - sentAt, std::chrono::seconds(5));
    }
    EXPECT_EQ(handled, 0);
}
