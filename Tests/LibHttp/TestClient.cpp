#include "LibHttp/Client.h"
#include "Support/RawSocket.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <thread>

namespace Http {

namespace {

constexpr auto LongTimeout = Base::seconds(120);

using Exchange = tl::expected<Response, ExchangeError>;

/// Connects a client to a scripted server that reads one request, sends `reply` and closes.
Exchange exchangeWith(const std::string &reply)
{
    const auto listener = Support::RawSocket::listening();
    std::thread script([&] {
        auto socket = listener.accept();
        socket.receiveUntil("\r\n\r\n");
        socket.send(reply);
        socket.finishSending();
        socket.receiveAll();
    });
    Exchange result;
    {
        const auto client = Client::connect(listener.address(), LongTimeout);
        result = (*client)->exchange({}, LongTimeout);
        EXPECT_TRUE(result || !(*client)->isUsable());
    }
    script.join();
    return result;
}

void expectLost(const Exchange &result)
{
    ASSERT_FALSE(result);
    EXPECT_EQ(result.error().sendState, SendState::Sent);
    EXPECT_EQ(result.error().error.kind, Base::ErrorKind::BackendReplyLost);
}

} // namespace

// A server in trouble sent the status 000. What is no status, and what is no version that this process
// speaks, is no answer.
TEST(Client, RefusesStatusLinesThatAreNone)
{
    for (const auto *line : {"HTTP/1.1 000 Zero", "HTTP/1.1 099 Low", "HTTP/1.1 600 High",
                             "HTTP/1.1 1000 Long", "HTTP/1.1 20 Short", "HTTP/1.1 abc OK", "HTTP/0.9 200 OK",
                             "HTTP/2.0 200 OK", "HTTP/2 200 OK", "200 OK", "HTTP/1.1 100 Continue"}) {
        const auto result = exchangeWith(std::string(line) + "\r\nContent-Length: 2\r\n\r\nok");
        EXPECT_FALSE(result) << line;
        if (!result) {
            EXPECT_EQ(result.error().error.kind, Base::ErrorKind::BackendReplyLost) << line;
        }
    }
}

// The reason may be empty (RFC 9112, section 4).
TEST(Client, TakesStatusLineWithoutReason)
{
    const auto result = exchangeWith("HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\nok");
    ASSERT_TRUE(result);
    EXPECT_EQ(result->status, 200);
}

// Guards against "may have run" for a request to a server that nobody could reach.
TEST(Client, ReportsUnreachableWhenNothingListens)
{
    auto listener = Support::RawSocket::listening();
    const auto address = listener.address();
    listener.close();
    const auto client = Client::connect(address, LongTimeout);
    ASSERT_FALSE(client);
    EXPECT_EQ(client.error().kind, Base::ErrorKind::BackendUnreachable);
}

// Guards against "not run" for a request that the server received before it died.
TEST(Client, ReportsLostReplyWhenServerDiesAfterReceiving)
{
    expectLost(exchangeWith(""));
}

// Guards against a part of a body that passes as the whole.
TEST(Client, RefusesTruncatedBody)
{
    expectLost(exchangeWith("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc"));
}

// Guards against a head that breaks off and passes as a response without a body.
TEST(Client, RefusesTruncatedHead)
{
    const std::string whole = "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 0\r\n\r\n";
    for (std::size_t cut = 0; cut < whole.size(); ++cut) {
        const auto result = exchangeWith(whole.substr(0, cut));
        EXPECT_FALSE(result.has_value()) << cut;
    }
}

// Guards against a body whose end cannot be told from a broken connection.
TEST(Client, RefusesBodyWithoutLength)
{
    expectLost(exchangeWith("HTTP/1.1 200 OK\r\n\r\nabc"));
    expectLost(exchangeWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"));
}

// Guards against a stated length that makes the client allocate without bound.
TEST(Client, RefusesOversizedBody)
{
    expectLost(exchangeWith("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\nabc"));
    expectLost(exchangeWith("HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nabc"));
}

// Guards against garbage from a server that terminates the process or passes as a response.
RC_GTEST_PROP(Client, SurvivesMalformedInput, ())
{
    const auto garbage = *rc::gen::arbitrary<std::string>();
    const auto startsWell = *rc::gen::arbitrary<bool>();
    const auto result = exchangeWith((startsWell ? "HTTP/1.1 200 OK\r\n" : "") + garbage);
    RC_ASSERT(!result.has_value());
}

// Guards against a server that accepts a request and never replies.
TEST(Client, TimesOutWithoutReply)
{
    const auto listener = Support::RawSocket::listening();
    const auto client = Client::connect(listener.address(), LongTimeout);
    ASSERT_TRUE(client);
    const auto accepted = listener.accept();
    expectLost((*client)->exchange({}, Base::milliseconds(50)));
    EXPECT_FALSE((*client)->isUsable());
}

// Guards against reuse of a connection that the server announced to close.
TEST(Client, ConnectionCloseEndsUse)
{
    const auto listener = Support::RawSocket::listening();
    const auto client = Client::connect(listener.address(), LongTimeout);
    ASSERT_TRUE(client);
    std::thread script([&] {
        const auto socket = listener.accept();
        socket.receiveUntil("\r\n\r\n");
        socket.send("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok");
    });
    const auto response = (*client)->exchange({}, LongTimeout);
    script.join();
    ASSERT_TRUE(response);
    EXPECT_EQ(response->body, "ok");
    EXPECT_FALSE((*client)->isUsable());
    const auto second = (*client)->exchange({}, LongTimeout);
    ASSERT_FALSE(second);
    EXPECT_EQ(second.error().sendState, SendState::NotSent);
}

} // namespace Http
