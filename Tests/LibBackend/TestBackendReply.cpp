#include "LibBackend/BackendReply.h"

#include <gtest/gtest.h>

// A shed or draining status without "X-Run: 0" must not be reported as not run: the server did not say so.
TEST(BackendReply, NotRunNeedsTheServersStatement)
{
    Backend::BackendResponse response;
    response.status = 503;
    response.attemptId = "a";
    response.reason = "shed";
    EXPECT_FALSE(Backend::interpret(response, "a").notRun);
    EXPECT_EQ(Backend::interpret(response, "a").error.kind, Base::ErrorKind::BackendFailed);
    response.statedNotRun = true;
    EXPECT_TRUE(Backend::interpret(response, "a").notRun);
    EXPECT_EQ(Backend::interpret(response, "a").error.kind, Base::ErrorKind::BackendShedding);
}

// A reply to another attempt must never enter this attempt's answer.
TEST(BackendReply, ReplyOfAnotherAttemptIsDiscarded)
{
    Backend::BackendResponse response;
    response.status = 200;
    response.attemptId = "b";
    const auto verdict = Backend::interpret(response, "a");
    EXPECT_FALSE(verdict.ok);
    EXPECT_FALSE(verdict.notRun);
}
