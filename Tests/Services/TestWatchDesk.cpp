#include "Services/Common/WatchDesk.h"

#include "LibWire/Codec.h"

#include <gtest/gtest.h>

namespace {

using Base::milliseconds;

const Base::Instant Start {Base::seconds(1000)};

class FakeResponder final : public Peer::Responder
{
public:
    void reply(Base::Bytes) override { ++replies; }
    void fail(const Base::Error &) override { }
    void onCancelled(std::function<void()>) override { }

    int replies = 0;
};

class WatchDeskTest : public ::testing::Test
{
protected:
    /// Returns whether the call is answered at once.
    bool answersAtOnce(std::optional<std::uint32_t> confirmationAgeMs)
    {
        Wire::WatchRequest request;
        request.configurationVersion = 3;
        request.confirmationAgeMs = confirmationAgeMs;
        desk.add(Start, request, responder);
        return responder->replies == 1;
    }

    Wire::WatchReply next;
    Base::Instant arrivedAt;
    std::shared_ptr<FakeResponder> responder = std::make_shared<FakeResponder>();
    Services::WatchDesk desk {[this](Base::Instant, const Wire::WatchRequest &, Base::Instant arrived) {
        arrivedAt = arrived;
        return next;
    }};
};

} // namespace

// A gateway that has just started, or was cut off, refuses callers until it gets a confirmation.
TEST_F(WatchDeskTest, UrgentConfirmationLeavesAtOnce)
{
    next.configurationVersion = 3;
    EXPECT_FALSE(answersAtOnce(UINT32_MAX));
    next.confirmedBeforeMs = 80;
    desk.answer(Start + milliseconds(40));
    EXPECT_EQ(responder->replies, 1);
    EXPECT_EQ(arrivedAt, Start);
}

// A call that is answered with a confirmation as old as the one held would come again at once, without end.
TEST_F(WatchDeskTest, OldConfirmationWaits)
{
    next.configurationVersion = 3;
    next.confirmedBeforeMs = 3000;
    EXPECT_FALSE(answersAtOnce(3000));
    desk.answer(Start + milliseconds(290));
    EXPECT_EQ(responder->replies, 0);
    desk.answer(Start + milliseconds(300));
    EXPECT_EQ(responder->replies, 1);
}

// The same for a confirmation that does not count for the gateway, because it could not decode the newer
// version.
TEST_F(WatchDeskTest, ConfirmationOfAnotherVersionWaits)
{
    next.configurationVersion = 4;
    next.confirmedBeforeMs = 0;
    EXPECT_FALSE(answersAtOnce(UINT32_MAX));
}

TEST_F(WatchDeskTest, CallsWithoutNeedWait)
{
    next.configurationVersion = 3;
    next.confirmedBeforeMs = 0;
    EXPECT_FALSE(answersAtOnce(std::nullopt));
}

TEST_F(WatchDeskTest, RecentConfirmationIsNoReasonToAnswer)
{
    next.configurationVersion = 3;
    next.confirmedBeforeMs = 0;
    EXPECT_FALSE(answersAtOnce(650));
}
