// Backend servers in trouble: bytes without end, second copies of answers, answers that break off.

#include "LibEdge/EdgeFixture.h"

#include "LibEdge/MessageParser.h"

#include <array>
#include <functional>

using Base::milliseconds;
using Edge::ExchangeFailure;
using Support::RawSocket;
using Tests::Recorder;

namespace {

constexpr std::size_t MaxMemory = std::size_t {1} << 20;

/// One connection to a server that `serve` plays, on a loop that the test drives.
class Exchange
{
public:
    explicit Exchange(const std::function<void(const RawSocket &)> &serve, std::size_t maxMemory = MaxMemory)
        : listener_(RawSocket::listening())
        , peer_([this, serve] { serve(listener_.accept()); })
        , memory_(maxMemory)
        , connection_(loop_, listener_.address(), milliseconds(1000), memory_, recorder_)
    {
    }

    ~Exchange()
    {
        connection_.abort();
        peer_.join();
    }

    Recorder &send(const Edge::ReplyFraming &framing = {})
    {
        recorder_.reply.reset();
        recorder_.failure.reset();
        connection_.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n", framing);
        run([this] { return recorder_.reply || recorder_.failure; });
        return recorder_;
    }

    template<typename Condition>
    void run(Condition done)
    {
        const Base::SystemClock clock;
        const auto deadline = clock.now() + Base::seconds(10);
        while (!done() && clock.now() < deadline)
            loop_.runFor(milliseconds(10));
    }

    const Edge::BackendConnection &connection() const { return connection_; }
    std::size_t heldBytes() const { return memory_.heldBytes(); }
    bool ended() const { return recorder_.ended; }

private:
    RawSocket listener_;
    std::thread peer_;
    Edge::Loop loop_;
    Edge::ReplyMemory memory_;
    Recorder recorder_;
    Edge::BackendConnection connection_;
};

/// Reads the request, writes `start` and then `filler` until the other side closes or much has been written.
std::function<void(const RawSocket &)> endless(const std::string &start, const std::string &filler)
{
    return [start, filler](const RawSocket &socket) {
        socket.receiveUntil("\r\n\r\n");
        socket.send(start);
        for (std::size_t sent = 0; sent < 64 * MaxMemory && socket.send(filler); sent += filler.size()) { }
    };
}

std::string response(const std::string &id, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
           + body;
}

} // namespace

// The sender goes on until the connection closes, so each place in a response needs a limit.
TEST(BrokenServers, BytesWithoutEndAreCutOff)
{
    const std::string filler(16384, 'x');
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::array<std::pair<std::string, std::string>, 8> places {{
        {"HTTP/1.1 200 ", filler},
        {"HTTP/1.1 200 OK\r\nName: ", filler},
        {"HTTP/1.1 200 OK\r\n", "Name: value\r\n"},
        {"HTTP/1.1 200 OK\r\n\r\n", filler},
        {chunked, "5\r\nhello\r\n"},
        {chunked + "5;extension=", filler},
        {chunked + "0\r\nTrailer: ", filler},
        {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
    }};
    for (const auto &[start, rest] : places) {
        Exchange exchange(endless(start, rest));
        const auto &seen = exchange.send({.maxBodyBytes = 100'000});
        EXPECT_FALSE(seen.reply.has_value()) << start;
        ASSERT_TRUE(seen.failure.has_value()) << start;
        EXPECT_TRUE(seen.failure == ExchangeFailure::ReplyTooLarge
                    || seen.failure == ExchangeFailure::ReplyMalformed)
            << start;
        EXPECT_EQ(exchange.heldBytes(), 0U);
        EXPECT_FALSE(exchange.connection().isOpen());
    }
}

// Many responses at once, each within its own limit, must not fill the memory of a small VM.
TEST(BrokenServers, AllResponsesTogetherKeepToTheMemory)
{
    Exchange exchange(endless("HTTP/1.1 200 OK\r\n\r\n", std::string(16384, 'x')));
    EXPECT_EQ(exchange.send().failure, ExchangeFailure::ReplyTooLarge);
    EXPECT_EQ(exchange.heldBytes(), 0U);

    Edge::ReplyMemory memory(100);
    EXPECT_TRUE(memory.resize(0, 60));
    EXPECT_FALSE(memory.resize(0, 60));
    EXPECT_TRUE(memory.resize(60, 0));
    EXPECT_TRUE(memory.resize(0, 60));
}

// Each field costs its container as well, so that a head of short ones held 32 times its bytes.
TEST(BrokenServers, HeadOfManyShortFieldsIsTooLarge)
{
    for (const std::string status : {"HTTP/1.1 200 OK\r\n", "HTTP/1.1 103 Early Hints\r\n"}) {
        std::string head = status;
        for (int count = 0; count < 1000; ++count)
            head += "a:\r\n";
        Exchange exchange([&](const RawSocket &socket) {
            socket.receiveUntil("\r\n\r\n");
            socket.send(head + "\r\n" + response("1", "ok"));
            socket.receive();
        });
        const auto &seen = exchange.send();
        EXPECT_FALSE(seen.reply.has_value()) << status;
        EXPECT_EQ(seen.failure, ExchangeFailure::ReplyTooLarge) << status;
    }
}

// A trailer must not be taken for a header (RFC 9110, section 6.5.1), nor be kept: trailers have no limit.
TEST(BrokenServers, TrailersAreDropped)
{
    std::string whole = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n";
    for (int count = 0; count < 1000; ++count)
        whole += "Id: 2\r\n";
    Exchange exchange([&](const RawSocket &socket) {
        socket.receiveUntil("\r\n\r\n");
        socket.send(whole + "\r\n");
        socket.receive();
    });
    const auto &seen = exchange.send();
    ASSERT_TRUE(seen.reply.has_value());
    EXPECT_EQ(seen.reply->body, "ok");
    EXPECT_EQ(seen.reply->headers.size(), 1U);
}

// A head whose body does not come counts against the memory of all responses, as a body does.
TEST(BrokenServers, HeadsCountAgainstTheMemory)
{
    std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n";
    for (int count = 0; count < 50; ++count)
        head += "Name: " + std::string(1000, 'x') + "\r\n";
    Exchange exchange(
        [&](const RawSocket &socket) {
            socket.receiveUntil("\r\n\r\n");
            socket.send(head + "\r\n");
            socket.receive();
        },
        40'000);
    const auto &seen = exchange.send();
    EXPECT_EQ(seen.failure, ExchangeFailure::ReplyTooLarge);
    EXPECT_EQ(seen.detail, "unfinished responses use up the memory for them");
    EXPECT_EQ(exchange.heldBytes(), 0U);
}

// Small responses come although others hold all of the memory.
TEST(BrokenServers, SmallResponsesNeedNoMemory)
{
    Exchange exchange(
        [](const RawSocket &socket) {
            socket.receiveUntil("\r\n\r\n");
            socket.send(response("1", "ok"));
            socket.receive();
        },
        0);
    EXPECT_TRUE(exchange.send().reply.has_value());
}

// A second copy of an answer that arrives while the connection rests belongs to nobody.
TEST(BrokenServers, SecondCopyOnARestingConnectionEndsIt)
{
    Exchange exchange([](const RawSocket &socket) {
        socket.receiveUntil("\r\n\r\n");
        socket.send(response("1", "one"));
        std::this_thread::sleep_for(milliseconds(50));
        socket.send(response("stale", "one"));
        socket.receive();
    });
    ASSERT_TRUE(exchange.send().reply.has_value());
    exchange.run([&] { return exchange.ended(); });
    EXPECT_TRUE(exchange.ended());
    EXPECT_FALSE(exchange.connection().isReusable(Base::SystemClock().now()));
}

// One that arrives where the next answer is due is not that answer. The right one follows, and a request that
// must not be sent again would otherwise be lost.
TEST(BrokenServers, SecondCopyBeforeTheNextAnswerIsDropped)
{
    Exchange exchange([](const RawSocket &socket) {
        socket.receiveUntil("\r\n\r\n");
        socket.send(response("1", "one"));
        socket.receiveUntil("\r\n\r\n");
        socket.send(response("stale", "one"));
        std::this_thread::sleep_for(milliseconds(20));
        socket.send(response("2", "two"));
        socket.receive();
    });
    ASSERT_TRUE(exchange.send().reply.has_value());
    const auto &second = exchange.send();
    ASSERT_TRUE(second.reply.has_value());
    EXPECT_EQ(second.reply->body, "two");
    EXPECT_FALSE(exchange.connection().isReusable(Base::SystemClock().now()));
}

// Bytes that the kernel holds and the loop has not seen show only to whoever asks the kernel.
TEST(BrokenServers, UnreadBytesShowBeforeTheNextSend)
{
    Exchange exchange([](const RawSocket &socket) {
        socket.receiveUntil("\r\n\r\n");
        socket.send(response("1", "one"));
        std::this_thread::sleep_for(milliseconds(20));
        socket.send(response("stale", "one"));
        socket.receive();
    });
    ASSERT_TRUE(exchange.send().reply.has_value());
    EXPECT_TRUE(exchange.connection().isQuiet());
    std::this_thread::sleep_for(milliseconds(100));
    EXPECT_TRUE(exchange.connection().isReusable(Base::SystemClock().now()));
    EXPECT_FALSE(exchange.connection().isQuiet());
}

// A server that stops in the middle of its head and closes has not answered, also where the bytes so far end
// a line, and where nothing but the end of the connection delimits the body. Callers of another system got a
// 200 with an empty body.
TEST(BrokenServers, HeadThatBreaksOffIsNoAnswer)
{
    const std::array<std::string, 3> heads {
        "HTTP/1.1 200 OK\r\nId: 1\r\nStamp: a.b\r\n\r\n",
        "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\nStamp: a.b\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.0 200 OK\r\nId: 1\r\n\r\n",
    };
    for (const auto &head : heads) {
        // The pieces are sent apart, so that the parser sees each line, and each part of one, on its own.
        for (std::size_t cut = 0; cut < head.size(); ++cut) {
            const auto firstPiece = std::min(cut, head.find("\r\n") + 2);
            Exchange exchange([&](const RawSocket &socket) {
                socket.receiveUntil("\r\n\r\n");
                socket.send(head.substr(0, firstPiece));
                std::this_thread::sleep_for(milliseconds(1));
                socket.send(head.substr(firstPiece, cut - firstPiece));
                socket.finishSending();
                socket.receive();
            });
            const auto &seen = exchange.send();
            EXPECT_FALSE(seen.reply.has_value()) << cut << " of " << head;
            EXPECT_TRUE(seen.failure.has_value()) << cut << " of " << head;
        }
    }
}

// Whatever byte a response breaks off at, it must not pass for a whole one. Without a length or chunks only
// the end of the connection delimits the body, so nobody can tell there.
TEST(BrokenServers, ResponsesThatBreakOffAreNotWhole)
{
    const std::array<std::string, 3> framings {
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n0123456789",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\n012345\r\n4;x=y\r\n6789\r\n0\r\nT: "
        "v\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    };
    for (const auto &whole : framings) {
        for (std::size_t cut = 0; cut < whole.size(); ++cut) {
            Edge::ResponseParser parser({});
            const auto parsed = parser.feed(std::string_view(whole).substr(0, cut));
            EXPECT_FALSE(parsed.done && !parser.isInformational()) << cut;
            EXPECT_FALSE(!parsed.done && parsed.consumed == cut && parser.finishAtEnd()) << cut << whole;
        }
    }
}

// A server in trouble sent the status 000, and its caller got that as an answer. What is no status, and what
// is no version that this process speaks, is no answer of that server.
TEST(BrokenServers, StatusLineThatIsNoneIsNoAnswer)
{
    constexpr std::array<std::string_view, 12> Lines {
        "HTTP/1.1 000 Zero",  "HTTP/1.1 099 Low",  "HTTP/1.1 600 High", "HTTP/1.1 999 High",
        "HTTP/1.1 1000 Long", "HTTP/1.1 20 Short", "HTTP/1.1 abc OK",   "HTTP/1.1 -20 OK",
        "HTTP/0.9 200 OK",    "HTTP/2.0 200 OK",   "HTTP/2 200 OK",     "200 OK",
    };
    for (const auto line : Lines) {
        Exchange exchange([line](const RawSocket &socket) {
            socket.receiveUntil("\r\n\r\n");
            socket.send(std::string(line) + "\r\nId: 1\r\nContent-Length: 2\r\n\r\nok");
            socket.finishSending();
            socket.receive();
        });
        const auto &seen = exchange.send();
        EXPECT_FALSE(seen.reply.has_value()) << line;
        EXPECT_EQ(seen.failure, ExchangeFailure::ReplyMalformed) << line;
        EXPECT_FALSE(exchange.connection().isOpen()) << line;
    }
}

// Interim answers may precede one, but not without end, and an upgrade that nobody asked for is none.
TEST(BrokenServers, InterimAnswersWithoutEndAreNoAnswer)
{
    Exchange exchange(endless("", "HTTP/1.1 100 Continue\r\n\r\n"));
    EXPECT_EQ(exchange.send().failure, ExchangeFailure::ReplyMalformed);
}

TEST(BrokenServers, StatusLineWithoutReasonIsAnAnswer)
{
    constexpr std::array<std::string_view, 3> Lines {"HTTP/1.1 200 ", "HTTP/1.0 200 ", "HTTP/1.1 599 Odd"};
    for (const auto line : Lines) {
        Exchange exchange([line](const RawSocket &socket) {
            socket.receiveUntil("\r\n\r\n");
            socket.send(std::string(line) + "\r\nId: 1\r\nContent-Length: 2\r\n\r\nok");
            socket.receive();
        });
        EXPECT_TRUE(exchange.send().reply.has_value()) << line;
    }
}
