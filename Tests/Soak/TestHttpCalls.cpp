#include "Soak/HttpCalls.h"
#include "Support/RawSocket.h"

#include <gtest/gtest.h>

namespace {

using Support::RawSocket;

const char *const Request = "GET / HTTP/1.1\r\nHost: soak.example\r\n\r\n";

} // namespace

// A silenced link ends no connection, so callers without patience of their own would stay for ever.
TEST(HttpCalls, CallersLeaveASilentLink)
{
    const auto listener = RawSocket::listening(); // Accepts in the kernel and never answers.
    Edge::Loop loop;
    Soak::HttpCalls calls(loop);
    int withoutResponse = 0;
    calls.start(
        listener.address(), Request, Base::milliseconds(50),
        [&](const Edge::ResponseMessage *response) { withoutResponse += response == nullptr ? 1 : 0; });
    for (int round = 0; round < 200 && withoutResponse == 0; ++round) {
        loop.runFor(Base::milliseconds(5));
        calls.sweep();
    }
    EXPECT_EQ(withoutResponse, 1);
    EXPECT_EQ(calls.underWay(), 0U);
}

// Found by Soak.Seed2 in the address preset: calls on silenced links were still open at the end of a run, and
// nothing owned them.
TEST(HttpCalls, CallsUnderWayAreFreedWithoutAResult)
{
    const auto listener = RawSocket::listening(); // Accepts in the kernel and never answers.
    Edge::Loop loop;
    bool called = false;
    {
        Soak::HttpCalls calls(loop);
        calls.start(listener.address(), Request, Base::seconds(10),
                    [&](const Edge::ResponseMessage *) { called = true; });
        loop.runFor(Base::milliseconds(20));
        EXPECT_EQ(calls.underWay(), 1U);
    }
    loop.runFor(Base::milliseconds(20));
    EXPECT_FALSE(called);
}

// The operator sends a change again from the callback of the failed try.
TEST(HttpCalls, ACallMayStartAnotherWhenItEnds)
{
    const auto listener = RawSocket::listening(); // Accepts in the kernel and never answers.
    Edge::Loop loop;
    Soak::HttpCalls calls(loop);
    int ended = 0;
    calls.start(listener.address(), Request, Base::milliseconds(1), [&](const Edge::ResponseMessage *) {
        ++ended;
        calls.start(listener.address(), Request, Base::milliseconds(1),
                    [&](const Edge::ResponseMessage *) { ++ended; });
    });
    for (int round = 0; round < 200 && ended < 2; ++round) {
        loop.runFor(Base::milliseconds(5));
        calls.sweep();
    }
    EXPECT_EQ(ended, 2);
}
