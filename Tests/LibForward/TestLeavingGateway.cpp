// Requests that reach a gateway during its planned stop.

#include "LibForward/ForwardFixture.h"

using Base::ErrorKind;
using Forward::Outcome;
using Tests::ForwardFixture;
using Tests::milliseconds;

namespace {

class LeavingGateway : public ForwardFixture
{
protected:
    /// Serves enough requests for an estimate of the route's latency.
    void serve(const std::string &path, Base::Duration latency)
    {
        for (int count = 0; count < 200; ++count) {
            begin(path);
            advance(latency);
            reply(sends.back().attempt, success());
        }
        sends.clear();
        answers.clear();
    }

    /// Whether a request that arrives now is taken; it is refused as not run otherwise.
    bool isTaken(const std::string &path)
    {
        const auto sent = sends.size();
        const auto answered = answers.size();
        begin(path);
        if (sends.size() > sent || answers.size() == answered)
            return true;
        EXPECT_EQ(answers.back().outcome.kind, Outcome::Kind::Refused);
        EXPECT_EQ(answers.back().outcome.error, ErrorKind::ShuttingDown);
        EXPECT_TRUE(answers.back().outcome.retryAfter.has_value());
        return false;
    }
};

} // namespace

// A request that arrived shortly before the end was passed on, and its caller got no result of it at the end,
// also where it may not be sent again. It must be refused while it has not run, so that another gateway takes
// it.
TEST_F(LeavingGateway, RefusesRequestsThatWouldOutlastIt)
{
    serve("/o/x", milliseconds(50));
    core->setStopTime(now + milliseconds(400));
    EXPECT_TRUE(isTaken("/o/x"));
    core->setStopTime(now + milliseconds(120));
    EXPECT_FALSE(isTaken("/o/x"));
}

// A repeatable request that is cut off is only repeated, so a smaller margin is enough for it.
TEST_F(LeavingGateway, TakesRepeatableRequestsForLonger)
{
    serve("/s/x", milliseconds(50));
    core->setStopTime(now + milliseconds(120));
    EXPECT_TRUE(isTaken("/s/x"));
    core->setStopTime(now + milliseconds(40));
    EXPECT_FALSE(isTaken("/s/x"));
}

// Without an estimate, the latency target tells how long a request may take; a gather ends at it in any case.
TEST_F(LeavingGateway, ExpectsTheLatencyTargetWithoutSamples)
{
    core->setStopTime(now + milliseconds(90));
    EXPECT_FALSE(isTaken("/g/x"));
    EXPECT_FALSE(isTaken("/s/x"));
    core->setStopTime(now + milliseconds(110));
    EXPECT_TRUE(isTaken("/g/x"));
    EXPECT_TRUE(isTaken("/s/x"));
    EXPECT_FALSE(isTaken("/o/x"));
    core->setStopTime(now + milliseconds(310));
    EXPECT_TRUE(isTaken("/o/x"));
}

// Load pattern: callers that keep the address of a leaving gateway, until its end. Whatever was passed on is
// answered by the server's response.
TEST_F(LeavingGateway, NothingSentOnceIsCutOff)
{
    serve("/o/x", milliseconds(50));
    const auto stop = now + milliseconds(2000);
    core->setStopTime(stop);
    std::map<Forward::AttemptId, Base::Instant> due;
    std::size_t sent = 0;
    while (now < stop) {
        begin("/o/x");
        // One request in fifty takes twice the usual time.
        for (; sent < sends.size(); ++sent)
            due[sends[sent].attempt] = now + milliseconds(sent % 50 == 0 ? 100 : 50);
        advance(milliseconds(20));
        for (auto next = due.begin(); next != due.end();) {
            const bool done = next->second <= now;
            if (done)
                reply(next->first, success());
            next = done ? due.erase(next) : std::next(next);
        }
    }
    core->endAll(now);
    collect();
    EXPECT_GT(sent, 80U);
    for (const auto &answer : answers) {
        const bool answered = answer.outcome.kind == Outcome::Kind::Relay;
        EXPECT_TRUE(answered || answer.outcome.error == ErrorKind::ShuttingDown) << answer.outcome.cause;
    }
}
