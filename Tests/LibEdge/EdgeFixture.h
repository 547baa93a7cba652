#pragma once

#include "LibEdge/BackendConnection.h"
#include "LibEdge/CallerServer.h"
#include "Support/RawSocket.h"

#include <atomic>
#include <future>
#include <gtest/gtest.h>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>

namespace Tests {

using Base::milliseconds;
using Support::RawSocket;

/// A server on a loop of its own thread that answers each request with its target and body, but keeps "/held"
/// unanswered and fails at "/throws".
class EdgeTest : public ::testing::Test
{
protected:
    EdgeTest()
    {
        auto created = Edge::CallerServer::create(
            loop, "127.0.0.1:0",
            [this](const Edge::RequestMessage &request, const Edge::CallerExchange &exchange) {
                ++handled;
                if (request.target == "/throws")
                    throw std::runtime_error("a fault of the handler");
                Edge::ResponseMessage response;
                response.body = request.target + " " + request.body;
                if (request.target == "/held") {
                    exchange.onCallerLeft([this] { ++left; });
                    held = exchange;
                } else {
                    exchange.respond(response);
                }
            });
        server = std::move(*created);
        address = server->address();
        thread = std::thread([this] { loop.run(); });
    }

    ~EdgeTest() override
    {
        loop.post([this] {
            held = {};
            server.reset();
            loop.stop();
        });
        thread.join();
    }

    std::string exchange(const std::string &request) const
    {
        const auto socket = RawSocket::connectTo(address);
        socket.send(request);
        socket.finishSending();
        return socket.receiveAll();
    }

    template<typename Condition>
    static bool eventually(Condition condition)
    {
        for (int i = 0; i < 200 && !condition(); ++i)
            std::this_thread::sleep_for(milliseconds(10));
        return condition();
    }

    Edge::Loop loop;
    std::unique_ptr<Edge::CallerServer> server;
    std::string address;
    std::atomic<int> handled {0};
    std::atomic<int> left {0};
    Edge::CallerExchange held;
    std::thread thread;
};

/// Records what one connection reports.
struct Recorder final : Edge::BackendConnectionEvents
{
    bool answersRequest(const Edge::ResponseMessage &response) override
    {
        return response.header("Id") != "stale";
    }
    void replyArrived(Edge::ResponseMessage response) override { reply = std::move(response); }
    void exchangeFailed(Edge::ExchangeFailure kind, const std::string &text) override
    {
        failure = kind;
        detail = text;
    }
    void idleConnectionEnded() override { ended = true; }

    std::optional<Edge::ResponseMessage> reply;
    std::optional<Edge::ExchangeFailure> failure;
    std::string detail; ///< Of the failure.
    bool ended = false;
};

/// Sends one request to a server that writes `answer` and closes.
inline Recorder exchangeWith(const std::string &answer, bool &reusable)
{
    const auto listener = RawSocket::listening();
    std::thread peer([&] {
        const auto socket = listener.accept();
        socket.receiveUntil("\r\n\r\n");
        socket.send(answer);
        std::this_thread::sleep_for(milliseconds(50));
    });
    Edge::Loop loop;
    Edge::ReplyMemory memory(1 << 20);
    Recorder recorder;
    Edge::BackendConnection connection(loop, listener.address(), milliseconds(1000), memory, recorder);
    connection.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    for (int i = 0; i < 200 && !recorder.reply && !recorder.failure; ++i)
        loop.runFor(milliseconds(10));
    reusable = connection.isReusable(Base::SystemClock().now());
    peer.join();
    return recorder;
}

} // namespace Tests
