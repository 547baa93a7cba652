#include "LibPeer/PeerFixture.h"
#include "LibPeer/Relay.h"
#include "Support/RawSocket.h"

#include <gtest/gtest.h>
#include <mutex>
#include <random>
#include <rapidcheck/gtest.h>
#include <stdexcept>
#include <thread>

namespace Peer {

namespace {

/// Keeps requests open until the test answers them.
struct HeldRequests
{
    void operator()(Wire::Method /*method*/, Base::Bytes payload, std::shared_ptr<Responder> responder)
    {
        const std::lock_guard lock(mutex);
        requests.emplace_back(std::move(payload), std::move(responder));
        arrived.notify_all();
    }
    void waitFor(std::size_t count)
    {
        std::unique_lock lock(mutex);
        arrived.wait(lock, [&] { return requests.size() >= count; });
    }

    std::mutex mutex;
    std::condition_variable arrived;
    std::vector<std::pair<Base::Bytes, std::shared_ptr<Responder>>> requests;
};

RequestHandler holdIn(const std::shared_ptr<HeldRequests> &held)
{
    return [held](Wire::Method method, Base::Bytes payload, std::shared_ptr<Responder> responder) {
        (*held)(method, std::move(payload), std::move(responder));
    };
}

} // namespace

// Guards against replies that reach another call when many streams are answered out of order.
RC_GTEST_PROP(Endpoint, ConcurrentCallsAreNeverMixed, ())
{
    const auto payloads = *rc::gen::container<std::vector<Base::Bytes>>(*rc::gen::inRange(1, 40),
                                                                        rc::gen::arbitrary<Base::Bytes>());
    const auto order = *rc::gen::arbitrary<std::uint32_t>();
    const auto held = std::make_shared<HeldRequests>();
    const auto server = makeEndpoint(holdIn(held));
    const auto client = makeEndpoint();
    std::vector<std::future<Reply>> replies;
    replies.reserve(payloads.size());
    for (const auto &payload : payloads)
        replies.push_back(startCall(*client, server->listenAddress(), payload));
    held->waitFor(payloads.size());
    std::shuffle(held->requests.begin(), held->requests.end(), std::mt19937(order));
    for (auto &[payload, responder] : held->requests)
        responder->reply(payload);
    for (std::size_t index = 0; index < payloads.size(); ++index)
        RC_ASSERT((replies[index].get() == Reply(payloads[index])));
}

// One call that meets a fault must not end the process, nor the other calls.
TEST(Endpoint, FailingHandlerEndsOneCallOnly)
{
    const auto server = makeEndpoint([](Wire::Method method, Base::Bytes payload, const auto &responder) {
        if (payload.empty())
            throw std::runtime_error("a fault of the handler");
        echo(method, std::move(payload), responder);
    });
    const auto client = makeEndpoint();
    const auto failed = startCall(*client, server->listenAddress(), {}).get();
    ASSERT_FALSE(failed.has_value());
    EXPECT_EQ(failed.error().kind, Base::ErrorKind::Internal);
    const Base::Bytes payload {1, 2, 3};
    EXPECT_EQ(startCall(*client, server->listenAddress(), payload).get(), Reply(payload));
}

// Guards against lost or truncated data when a payload exceeds the flow control windows.
TEST(Endpoint, CarriesLargePayloads)
{
    const auto server = makeEndpoint(&echo);
    const auto client = makeEndpoint();
    const Base::Bytes payload(7U << 20U, 0x5a);
    EXPECT_EQ(startCall(*client, server->listenAddress(), payload).get(), Reply(payload));
}

// Guards against errors of the peer that arrive as another kind or as transport failures.
TEST(Endpoint, CarriesErrorKindAndDetail)
{
    const Base::Error error {Base::ErrorKind::NotLeader, "ask 127.0.0.1:7"};
    const auto server =
        makeEndpoint([&](Wire::Method, const Base::Bytes &, const std::shared_ptr<Responder> &responder) {
            responder->fail(error);
        });
    const auto client = makeEndpoint();
    const auto reply = startCall(*client, server->listenAddress(), {1}).get();
    ASSERT_FALSE(reply);
    EXPECT_EQ(reply.error(), error);
}

// Guards against a process without the secret that calls or is called.
TEST(Endpoint, RefusesWrongSecret)
{
    const auto server = makeEndpoint(&echo);
    const auto client = makeEndpoint({}, "another secret");
    const auto reply = startCall(*client, server->listenAddress(), {1}).get();
    ASSERT_FALSE(reply);
    EXPECT_EQ(reply.error().kind, Base::ErrorKind::Unauthorized);
}

// Guards against reporting "may have run" for a request that never left this process.
TEST(Endpoint, ReportsUnreachableWhenNothingListens)
{
    auto listener = Support::RawSocket::listening();
    const auto address = listener.address();
    listener.close();
    const auto client = makeEndpoint();
    for (int attempt = 0; attempt < 3; ++attempt) {
        const auto reply = startCall(*client, address, {1}).get();
        ASSERT_FALSE(reply);
        EXPECT_EQ(reply.error().kind, Base::ErrorKind::PeerUnreachable);
    }
}

// Guards against the wrong kind when the peer dies while the connection is still being authenticated.
TEST(Endpoint, ReportsUnreachableWhenPeerDiesBeforeAuthentication)
{
    const auto listener = Support::RawSocket::listening();
    const auto client = makeEndpoint();
    auto reply = startCall(*client, listener.address(), {1});
    auto accepted = listener.accept();
    accepted.receive();
    accepted.close();
    const auto result = reply.get();
    ASSERT_FALSE(result);
    EXPECT_EQ(result.error().kind, Base::ErrorKind::PeerUnreachable);
}

// Guards against calls that wait for ever, or count as sent, behind a peer that accepts and says nothing.
TEST(Endpoint, ReportsUnreachableWhenPeerNeverAuthenticates)
{
    const auto listener = Support::RawSocket::listening();
    const auto client = makeEndpoint();
    const auto result = startCall(*client, listener.address(), {1}).get();
    ASSERT_FALSE(result);
    EXPECT_EQ(result.error().kind, Base::ErrorKind::PeerUnreachable);
}

// Guards against reporting "not run" for a request that the peer received before it died.
TEST(Endpoint, ReportsLostReplyWhenPeerDiesAfterReceiving)
{
    const auto held = std::make_shared<HeldRequests>();
    auto server = makeEndpoint(holdIn(held));
    const auto client = makeEndpoint();
    auto reply = startCall(*client, server->listenAddress(), {1});
    held->waitFor(1);
    server.reset();
    const auto result = reply.get();
    ASSERT_FALSE(result);
    EXPECT_EQ(result.error().kind, Base::ErrorKind::PeerReplyLost);
    // A responder that outlives its endpoint is harmless.
    held->requests.front().second->reply({});
}

// Guards against timeouts that leave the peer working on a request nobody waits for.
TEST(Endpoint, TimeoutIsLostReplyAndCancelsAtPeer)
{
    const auto held = std::make_shared<HeldRequests>();
    const auto server = makeEndpoint(holdIn(held));
    const auto client = makeEndpoint();
    auto warmUp = startCall(*client, server->listenAddress(), {0});
    held->waitFor(1);
    const auto result = startCall(*client, server->listenAddress(), {1}, Base::seconds(2)).get();
    ASSERT_FALSE(result);
    EXPECT_EQ(result.error().kind, Base::ErrorKind::PeerReplyLost);
    held->waitFor(2);
    std::promise<void> cancelled;
    held->requests.back().second->onCancelled([&] { cancelled.set_value(); });
    cancelled.get_future().wait();
}

// Guards against cancelled calls whose handler never runs, runs twice, or that the peer keeps.
TEST(Endpoint, CancelReachesBothSides)
{
    const auto held = std::make_shared<HeldRequests>();
    const auto server = makeEndpoint(holdIn(held));
    const auto client = makeEndpoint();
    CallId id = 0;
    auto reply = startCall(*client, server->listenAddress(), {1}, LongTimeout, &id);
    held->waitFor(1);
    std::promise<void> cancelled;
    held->requests.front().second->onCancelled([&] { cancelled.set_value(); });
    client->cancel(id);
    client->cancel(id);
    const auto result = reply.get();
    ASSERT_FALSE(result);
    EXPECT_EQ(result.error().kind, Base::ErrorKind::Cancelled);
    cancelled.get_future().wait();
}

// Guards against a payload beyond the limit that grows the receiver's memory.
TEST(Endpoint, RefusesOversizedPayload)
{
    const auto server = makeEndpoint(&echo);
    const auto client = makeEndpoint();
    const auto result = startCall(*client, server->listenAddress(), Base::Bytes(9U << 20U)).get();
    ASSERT_FALSE(result);
    EXPECT_EQ(result.error().kind, Base::ErrorKind::RequestTooLarge);
    EXPECT_TRUE(startCall(*client, server->listenAddress(), {1}).get());
}

// Guards against garbage that terminates the process or the service of others.
TEST(Endpoint, SurvivesMalformedInput)
{
    const auto server = makeEndpoint(&echo);
    const auto client = makeEndpoint();
    EXPECT_TRUE(rc::check([&] {
        const auto garbage = *rc::gen::arbitrary<std::string>();
        const auto startsWell = *rc::gen::arbitrary<bool>();
        const auto socket = Support::RawSocket::connectTo(server->listenAddress());
        const std::string preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
        socket.send((startsWell ? preface : std::string()) + garbage);
        socket.finishSending();
        socket.receiveAll();
        RC_ASSERT(startCall(*client, server->listenAddress(), {1}).get().has_value());
    }));
}

// A VM that comes up loses the opening packets sent to it before. Once it calls this process, a pending
// attempt to it must not wait for its timeout: after a power loss of all VMs an election would wait with it.
TEST(Endpoint, IncomingConnectionEndsOutdatedAttempt)
{
    const auto unresponsive = Support::RawSocket::listening(0);
    const auto onlyConnection = Support::RawSocket::connectTo(unresponsive.address());
    const auto endpoint = makeEndpoint(&echo);
    bool renewed = false;
    for (int attempt = 0; attempt < 20 && !renewed; ++attempt) {
        auto call = startCall(*endpoint, unresponsive.address(), {1});
        std::this_thread::sleep_for(std::chrono::milliseconds(60));
        const auto incoming = Support::RawSocket::connectTo(endpoint->listenAddress());
        const auto reply = call.get();
        ASSERT_FALSE(reply.has_value());
        EXPECT_EQ(reply.error().kind, Base::ErrorKind::PeerUnreachable);
        renewed = reply.error().detail.find("connects anew") != std::string::npos;
    }
    EXPECT_TRUE(renewed);
}

// Guards against a peer that connects and stalls: it must not hold up others, and its connection must end.
TEST(Endpoint, ClosesHalfOpenConnections)
{
    const auto server = makeEndpoint(&echo);
    const auto client = makeEndpoint();
    const auto stalled = Support::RawSocket::connectTo(server->listenAddress());
    stalled.send("PRI * HT");
    EXPECT_TRUE(startCall(*client, server->listenAddress(), {1}).get());
    stalled.receiveAll();
}

// Guards against calls that wait for their whole timeout after a silent cut of the network.
TEST(Endpoint, NoticesSilentCut)
{
    const auto held = std::make_shared<HeldRequests>();
    const auto server = makeEndpoint(holdIn(held));
    const auto client = makeEndpoint();
    Relay relay(server->listenAddress());
    auto reply = startCall(*client, relay.address(), {1});
    held->waitFor(1);
    std::promise<void> cancelled;
    held->requests.front().second->onCancelled([&] { cancelled.set_value(); });
    relay.cut();
    const auto result = reply.get();
    ASSERT_FALSE(result);
    EXPECT_EQ(result.error().kind, Base::ErrorKind::PeerReplyLost);
    EXPECT_NE(result.error().detail.find("silent"), std::string::npos) << result.error().detail;
    // The server notices it too, and stops working for a caller that is gone.
    cancelled.get_future().wait();
}

// Guards against calls that are served without any proof of the secret.
TEST(Endpoint, RefusesCallsBeforeAuthentication)
{
    std::atomic<int> handled {0};
    const auto server = makeEndpoint(
        [&](Wire::Method, const Base::Bytes &, const std::shared_ptr<Responder> &) { ++handled; });
    const std::string path = "/peer/execute-subrequest";
    // HPACK: POST and http from the static table, then literal :authority and :path.
    const auto block = std::string("\x83\x86\x01\x01p\x04") + static_cast<char>(path.size()) + path;
    const auto headers = std::string("\0\0", 2) + static_cast<char>(block.size())
                         + std::string("\x01\x05\0\0\0\x01", 6) + block;
    const auto socket = Support::RawSocket::connectTo(server->listenAddress());
    socket.send("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + std::string("\0\0\0\x04\0\0\0\0\0", 9) + headers);
    EXPECT_NE(socket.receiveUntil("not authenticated").find("not authenticated"), std::string::npos);
    EXPECT_EQ(handled, 0);
}

// Guards against a planned stop that interrupts a request in flight.
TEST(Endpoint, ShutdownWaitsForOpenRequests)
{
    const auto held = std::make_shared<HeldRequests>();
    const auto server = makeEndpoint(holdIn(held));
    const auto client = makeEndpoint();
    auto reply = startCall(*client, server->listenAddress(), {1});
    held->waitFor(1);
    std::thread stopper([&] { server->shutDown(LongTimeout); });
    held->requests.front().second->reply({7});
    EXPECT_EQ(reply.get(), Reply(Base::Bytes {7}));
    stopper.join();
    EXPECT_EQ(startCall(*server, client->listenAddress(), {1}).get().error().kind,
              Base::ErrorKind::PeerUnreachable);
}

} // namespace Peer
