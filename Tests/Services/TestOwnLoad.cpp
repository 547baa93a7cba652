#include "Services/Gateway/OwnLoad.h"

#include <algorithm>
#include <array>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

namespace {

using Base::milliseconds;

class OwnLoadTest : public testing::Test
{
protected:
    OwnLoadTest()
        : log_(openPipe())
        , events_("gateway", log_[1])
        , load_(events_, metrics_)
    {
    }
    ~OwnLoadTest() override
    {
        close(log_[0]);
        close(log_[1]);
    }

    /// Ticks of 250 ms that each run `late` after they are due.
    void run(Base::Duration time, Base::Duration late)
    {
        for (const auto end = now_ + time; now_ < end;) {
            load_.expectTick(now_ + milliseconds(250));
            now_ += milliseconds(250) + late;
            load_.tick(now_);
        }
    }

    std::string takeLog()
    {
        events_.flush();
        std::array<char, 4096> buffer {};
        const auto size = read(log_[0], buffer.data(), buffer.size());
        return {buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(size, 0))};
    }

    static std::array<int, 2> openPipe()
    {
        std::array<int, 2> ends {};
        EXPECT_EQ(pipe2(ends.data(), O_NONBLOCK), 0);
        return ends;
    }

    std::array<int, 2> log_;
    Base::EventLog events_;
    Services::GatewayMetrics metrics_;
    Services::OwnLoad load_;
    Base::Instant now_ {Base::seconds(1000)};
};

} // namespace

// A person who asks why a gateway has few callers finds a line for each halving, and the share in the
// metrics.
TEST_F(OwnLoadTest, LateTimersLowerTheShareAndLeaveFewLines)
{
    run(Base::seconds(5), milliseconds(1));
    EXPECT_EQ(load_.callerShare(), Wire::FullCallerShare);
    EXPECT_EQ(takeLog(), "");
    run(Base::seconds(60), milliseconds(150));
    EXPECT_EQ(load_.callerShare(), Wire::FullCallerShare / 4);
    const auto log = takeLog();
    EXPECT_NE(log.find("event=caller_share_changed from=1 to=0.5 busy=0.8"), std::string::npos) << log;
    EXPECT_NE(log.find("event=caller_share_changed from=0.5 to=0.25 busy=0.9"), std::string::npos) << log;
    EXPECT_EQ(std::count(log.begin(), log.end(), '\n'), 2) << log;
    const auto metrics = metrics_.registry().prometheusText();
    EXPECT_NE(metrics.find("daisyroute_caller_share 0.25"), std::string::npos) << metrics;
    EXPECT_NE(metrics.find("daisyroute_gateway_busy 0.9"), std::string::npos) << metrics;
}
