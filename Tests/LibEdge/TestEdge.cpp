#include "LibEdge/EdgeFixture.h"

using Base::milliseconds;
using Support::RawSocket;
using Tests::EdgeTest;
using Tests::exchangeWith;
using Tests::Recorder;

TEST_F(EdgeTest, ServesRequestsOnAKeptConnection)
{
    const auto socket = RawSocket::connectTo(address);
    socket.send("GET /a?b=1 HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_NE(socket.receiveUntil("/a?b=1 ").find("200 OK"), std::string::npos);
    socket.send("POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nxyz\r\n0\r\n\r\n");
    EXPECT_NE(socket.receiveUntil("/c xyz").find("/c xyz"), std::string::npos);
}

// What follows a request whose end is unclear would be taken for a second request.
TEST_F(EdgeTest, RefusesALengthBesideChunks)
{
    const auto answer =
        exchange("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
                 "0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 400")) << answer;
    EXPECT_EQ(answer.find("smuggled"), std::string::npos);
    EXPECT_EQ(handled, 0);
}

// The same for an encoding that is not understood: the request was taken for one without a body, and its body
// ran.
TEST_F(EdgeTest, RefusesTransferEncodingsThatItDoesNotKnow)
{
    for (const std::string encoding : {"xchunked", "gzip, chunked", "chunked, gzip", "identity", ""}) {
        const auto answer = exchange("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: " + encoding
                                     + "\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n");
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 400")) << encoding << answer;
        EXPECT_EQ(answer.find("smuggled"), std::string::npos) << encoding;
    }
    EXPECT_EQ(handled, 0);
}

// The request ends behind its trailers, so what is left over of them would be taken for a second request.
// They must not change the framing either.
TEST_F(EdgeTest, TrailersEndWithTheirRequest)
{
    const std::string head =
        "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n";
    const auto socket = RawSocket::connectTo(address);
    socket.send(head + "Expect: 100-continue\r\nOther: o\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    const auto answers = socket.receiveUntil("/b ");
    EXPECT_NE(answers.find("/a x"), std::string::npos) << answers;
    EXPECT_EQ(answers.find("100 Continue"), std::string::npos) << answers;
    EXPECT_TRUE(exchange(head + "Transfer-Encoding: gzip\r\n\r\n").starts_with("HTTP/1.1 400"));
    EXPECT_TRUE(exchange(head + "Content-Length: 3\r\n\r\n").starts_with("HTTP/1.1 400"));
}

TEST_F(EdgeTest, RefusesConflictingLengths)
{
    const auto answer =
        exchange("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nContent-Length: 40\r\n\r\nxx"
                 "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 400")) << answer;
    EXPECT_EQ(handled, 0);
}

// Slow callers must hold up nobody else.
TEST_F(EdgeTest, StalledCallersDoNotDelayOthers)
{
    std::vector<RawSocket> stalled;
    for (int i = 0; i < 160; ++i) {
        stalled.push_back(RawSocket::connectTo(address));
        stalled.back().send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nx");
    }
    const auto start = std::chrono::steady_clock::now();
    EXPECT_TRUE(exchange("GET /b HTTP/1.1\r\nHost: h\r\n\r\n").starts_with("HTTP/1.1 200"));
    EXPECT_LT(std::chrono::steady_clock::now() - start, std::chrono::seconds(2));
}

TEST_F(EdgeTest, RefusesWhatIsNoProperRequest)
{
    EXPECT_TRUE(exchange("nonsense\r\n\r\n").starts_with("HTTP/1.1 400"));
    EXPECT_TRUE(exchange("GET /a HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 400"));
    EXPECT_TRUE(exchange("GET /a HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n").starts_with("HTTP/1.1 400"));
    EXPECT_TRUE(exchange("GET /a HTTP/1.1\r\nHost: h\r\nX: " + std::string(20000, 'x') + "\r\n\r\n")
                    .starts_with("HTTP/1.1 431"));
    EXPECT_TRUE(exchange("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 999999999\r\n\r\n")
                    .starts_with("HTTP/1.1 413"));
    EXPECT_EQ(handled, 0);
}

// The work for a caller who left must end; only a read while it runs shows that the caller is gone.
TEST_F(EdgeTest, NoticesACallerThatLeaves)
{
    {
        const auto socket = RawSocket::connectTo(address);
        socket.send("GET /held HTTP/1.1\r\nHost: h\r\n\r\n");
        ASSERT_TRUE(eventually([this] { return handled == 1; }));
    }
    EXPECT_TRUE(eventually([this] { return left == 1; }));
}

// Answers leave in time for the way back, whose length only the kernel knows.
TEST_F(EdgeTest, KnowsTheRoundTripOfAConnection)
{
    const auto socket = RawSocket::connectTo(address);
    socket.send("GET /held HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(eventually([this] { return handled == 1; }));
    std::promise<std::optional<Base::Duration>> measured;
    loop.post([&] { measured.set_value(held.roundTripTime()); });
    const auto roundTrip = measured.get_future().get();
    ASSERT_TRUE(roundTrip.has_value());
    EXPECT_GT(*roundTrip, Base::Duration::zero());
    EXPECT_LT(*roundTrip, milliseconds(100));
    EXPECT_FALSE(Edge::CallerExchange().roundTripTime().has_value());
}

// A planned stop must not cut off a request, and callers must learn to go elsewhere.
TEST_F(EdgeTest, DrainAnswersAndCloses)
{
    const auto socket = RawSocket::connectTo(address);
    socket.send("GET /held HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(eventually([this] { return handled == 1; }));
    loop.post([this] {
        server->stopAccepting();
        held.respond({200, {}, {}, "late", true});
    });
    const auto answer = socket.receiveAll();
    EXPECT_NE(answer.find("Connection: close"), std::string::npos);
    EXPECT_TRUE(answer.ends_with("late"));
}

TEST(BackendConnection, TakesWholeResponses)
{
    bool reusable = false;
    const auto framed =
        exchangeWith("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=9\r\n\r\nok", reusable);
    ASSERT_TRUE(framed.reply.has_value());
    EXPECT_EQ(framed.reply->body, "ok");
    EXPECT_TRUE(reusable);
    const auto chunked =
        exchangeWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", reusable);
    ASSERT_TRUE(chunked.reply.has_value());
    EXPECT_EQ(chunked.reply->body, "ok");
    const auto unframed = exchangeWith("HTTP/1.1 200 OK\r\n\r\nok", reusable);
    ASSERT_TRUE(unframed.reply.has_value());
    EXPECT_EQ(unframed.reply->body, "ok");
    EXPECT_FALSE(reusable);
}

// A response that ends early must never pass for a whole one.
TEST(BackendConnection, RefusesTruncatedAndMalformedResponses)
{
    bool reusable = true;
    const auto truncated = exchangeWith("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", reusable);
    EXPECT_FALSE(truncated.reply.has_value());
    EXPECT_EQ(truncated.failure, Edge::ExchangeFailure::ReplyMalformed);
    const auto garbage = exchangeWith("\x01\x02 nonsense\r\n\r\n", reusable);
    EXPECT_FALSE(garbage.reply.has_value());
    const auto silent = exchangeWith("", reusable);
    EXPECT_EQ(silent.failure, Edge::ExchangeFailure::ReplyLost);
}

// Bytes after a complete response belong to no request; the connection must carry nothing more.
TEST(BackendConnection, ExtraBytesEndTheConnection)
{
    bool reusable = true;
    const auto extra =
        exchangeWith("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n", reusable);
    ASSERT_TRUE(extra.reply.has_value());
    EXPECT_EQ(extra.reply->body, "ok");
    EXPECT_FALSE(reusable);
}

// Whether a request may be sent again depends on this difference.
TEST(BackendConnection, UnreachableServerGotNothing)
{
    Edge::Loop loop;
    Edge::ReplyMemory memory(1 << 20);
    Recorder recorder;
    Edge::BackendConnection connection(loop, "127.0.0.1:1", milliseconds(500), memory, recorder);
    connection.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    for (int i = 0; i < 100 && !recorder.failure; ++i)
        loop.runFor(milliseconds(10));
    EXPECT_EQ(recorder.failure, Edge::ExchangeFailure::NotSent);
}
