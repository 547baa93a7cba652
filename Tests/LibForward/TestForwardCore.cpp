#include "LibForward/ForwardFixture.h"
#include "LibForward/GatherPolicy.h"
#include "LibForward/TopRecords.h"

#include <functional>

using Forward::Outcome;
using Tests::ForwardFixture;
using Tests::milliseconds;

// The answer must contain the greatest records of all parts and state which parts it covers, by their proofs.
TEST_F(ForwardFixture, GatherAnswersWithAllParts)
{
    begin("/g/x");
    ASSERT_EQ(sends.size(), std::size_t {Shards});
    for (int shard = 0; shard < Shards; ++shard)
        reply(sends[shard].attempt, success(std::string(16, static_cast<char>('a' + shard))));
    ASSERT_EQ(answers.size(), 1U);
    const auto &outcome = answers.front().outcome;
    EXPECT_EQ(outcome.kind, Outcome::Kind::Gathered);
    EXPECT_EQ(outcome.missingParts, 0U);
    EXPECT_EQ(outcome.partProofs.size(), std::size_t {Shards});
    EXPECT_EQ(outcome.response.body, std::string(16, 'j') + std::string(16, 'i') + std::string(16, 'h'));
}

// An error response must not be merged as a part, and no shard may count twice.
TEST_F(ForwardFixture, ErrorResponsesAreNotMerged)
{
    begin("/g/x");
    for (int shard = 1; shard < Shards; ++shard)
        reply(sends[shard].attempt, success());
    auto failure = success();
    failure.response.status = 500;
    reply(sends[0].attempt, failure);
    ASSERT_EQ(sends.size(), std::size_t {Shards} + 1);
    EXPECT_TRUE(answers.empty());
    reply(sends.back().attempt, success());
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers.front().outcome.missingParts, 0U);
    EXPECT_EQ(answers.front().outcome.attempts, Shards + 1U);
}

// One server pauses for 150 ms. The answer must be sent in time without it.
TEST_F(ForwardFixture, GatherAnswersAtTheTargetWithoutALateShard)
{
    begin("/g/x");
    for (int shard = 1; shard < Shards; ++shard)
        reply(sends[shard].attempt, success());
    advance(milliseconds(89));
    EXPECT_TRUE(answers.empty());
    advance(milliseconds(2));
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers.front().outcome.missingParts, 1U);
}

// Some callers spent 12 ms on a look-up first, and one server pauses. If the share of such callers is high,
// the answer is sent that much earlier; if it is low, waiting for the part has more value.
TEST_F(ForwardFixture, GatherAnswersEarlyForCallersThatDidALookUp)
{
    const auto answeredAfter = [this](double lookUpShare) {
        answers.clear();
        sends.clear();
        const auto start = now;
        core->begin(now,
                    {table,
                     table->find("h", "/g/x"),
                     milliseconds(1000),
                     {.network = milliseconds(10), .lookUp = milliseconds(12), .lookUpShare = lookUpShare}});
        collect();
        for (int shard = 1; shard < Shards; ++shard)
            reply(sends[shard].attempt, success());
        while (answers.empty() && now - start < milliseconds(200))
            advance(milliseconds(1));
        return now - start;
    };
    EXPECT_EQ(answeredAfter(0.5), milliseconds(78));
    EXPECT_EQ(answers.front().outcome.missingParts, 1U);
    EXPECT_NE(answers.front().outcome.cause.find("early"), std::string::npos);
    EXPECT_EQ(answeredAfter(1.0 / 6.0), milliseconds(90));
    EXPECT_EQ(answers.front().outcome.cause.find("early"), std::string::npos);
    EXPECT_EQ(answeredAfter(0.0), milliseconds(90));
}

// Once the early answer time has passed, a gather waits for parts until the target.
TEST_F(ForwardFixture, GatherWaitsForTheTargetAfterTheEarlyAnswerTime)
{
    core->begin(now, {table,
                      table->find("h", "/g/x"),
                      milliseconds(1000),
                      {.network = milliseconds(10), .lookUp = milliseconds(12), .lookUpShare = 0.5}});
    collect();
    for (int shard = 4; shard < Shards; ++shard)
        reply(sends[shard].attempt, success());
    advance(milliseconds(80));
    ASSERT_TRUE(answers.empty());
    for (int shard = 1; shard < 4; ++shard)
        reply(sends[shard].attempt, success());
    EXPECT_TRUE(answers.empty());
    advance(milliseconds(11));
    EXPECT_EQ(answers.size(), 1U);
}

// Past the target, a gather waits only until it reaches its minimum coverage.
TEST_F(ForwardFixture, GatherBelowItsMinimumWaitsPastTheTarget)
{
    begin("/g/x");
    for (int shard = 3; shard < Shards; ++shard)
        reply(sends[shard].attempt, success());
    advance(milliseconds(300));
    EXPECT_TRUE(answers.empty());
    reply(sends[0].attempt, success());
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers.front().outcome.missingParts, 2U);
}

// A gather that can no longer succeed must end at once, not at its deadline.
TEST_F(ForwardFixture, GatherThatCannotReachItsMinimumEndsAtOnce)
{
    begin("/g/x");
    for (int shard = 0; shard < 3; ++shard) {
        const auto first = sends[shard].attempt;
        fail(first, Edge::ExchangeFailure::ReplyLost);
    }
    const auto retries = sends.size();
    for (auto index = std::size_t {Shards}; index < retries; ++index)
        fail(sends[index].attempt, Edge::ExchangeFailure::ReplyLost);
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers.front().outcome.error, Base::ErrorKind::BackendFailed);
}

// A server stalls. One second attempt is sent to another server, within the budget.
TEST_F(ForwardFixture, StalledAttemptIsHedgedOnce)
{
    begin("/s/x");
    advance(milliseconds(400));
    ASSERT_EQ(sends.size(), 2U);
    EXPECT_NE(sends[0].backend, sends[1].backend);
    reply(sends[1].attempt, success());
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers.front().outcome.extraAttempts, 1U);
}

// Extra arrivals at backend servers must stay within the deployment's budget even if every attempt stalls and
// then fails.
TEST_F(ForwardFixture, ExtraAttemptsStayWithinTheBudget)
{
    useOptions({"dc-a", 1, 0.2, 10.0});
    constexpr int Requests = 200;
    for (int i = 0; i < Requests; ++i) {
        begin("/s/x");
        advance(milliseconds(50));
        for (const auto &send : std::exchange(sends, {}))
            fail(send.attempt, Edge::ExchangeFailure::ReplyLost);
    }
    advance(milliseconds(2000));
    std::uint32_t extra = 0;
    for (const auto &answer : answers)
        extra += answer.outcome.extraAttempts;
    EXPECT_GT(extra, 20U);
    EXPECT_LE(extra, 0.2 * Requests + 10.0);
}

// An at-most-once request may be retried only if the server states that it has not run.
TEST_F(ForwardFixture, AtMostOnceIsNeverSentAgainAfterALostReply)
{
    begin("/o/x");
    ASSERT_EQ(sends.size(), 1U);
    advance(milliseconds(500));
    EXPECT_EQ(sends.size(), 1U) << "hedged";
    fail(sends[0].attempt, Edge::ExchangeFailure::ReplyLost);
    EXPECT_EQ(sends.size(), 1U);
    ASSERT_EQ(answers.size(), 1U);
    const auto kind = answers.front().outcome.error;
    EXPECT_EQ(Base::errorAnswer(kind).runState, Base::RunState::MayHaveRun);
    EXPECT_NE(Base::errorAnswer(kind).httpStatus, 503);
}

TEST_F(ForwardFixture, AtMostOnceIsRetriedElsewhereIfItHasNotRun)
{
    begin("/o/x");
    reply(sends[0].attempt, notExecuted(503));
    ASSERT_EQ(sends.size(), 2U);
    EXPECT_NE(sends[0].backend, sends[1].backend);
    reply(sends[1].attempt, notExecuted(503));
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(Base::errorAnswer(answers.front().outcome.error).httpStatus, 503);
    EXPECT_TRUE(answers.front().outcome.retryAfter.has_value());
}

// Callers retry after these statuses, so a request that may have run must not be answered with them.
TEST_F(ForwardFixture, AtMostOnceIsNotAnsweredAsNotRunWithoutServerStatement)
{
    for (const int status : {408, 429, 503}) {
        answers.clear();
        sends.clear();
        begin("/o/x");
        auto answer = notExecuted(status);
        answer.notExecuted = false;
        answer.proof = "proof";
        reply(sends[0].attempt, std::move(answer));
        EXPECT_EQ(sends.size(), 1U);
        ASSERT_EQ(answers.size(), 1U);
        const auto &outcome = answers.front().outcome;
        EXPECT_EQ(outcome.kind, Forward::Outcome::Kind::Refused);
        EXPECT_EQ(Base::errorAnswer(outcome.error).runState, Base::RunState::MayHaveRun);
        EXPECT_EQ(Base::errorAnswer(outcome.error).httpStatus, 502);
    }
}

// A request must not be sent to more backend servers than its route allows.
TEST_F(ForwardFixture, RespectsTheAttemptLimitOfTheRoute)
{
    begin("/s/x");
    for (std::size_t index = 0; index < sends.size() && index < 10; ++index)
        fail(sends[index].attempt, Edge::ExchangeFailure::ReplyLost);
    EXPECT_EQ(sends.size(), 2U);
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers.front().outcome.error, Base::ErrorKind::BackendReplyLost);
}

// After a power loss the servers still count the lost connections and refuse new ones for a second. Nothing
// has run, so the request is retried instead of failing within milliseconds.
TEST_F(ForwardFixture, RefusedConnectionsAreRetried)
{
    begin("/o/x");
    std::size_t next = 0;
    const auto refuseAll = [&] {
        for (; next < sends.size(); ++next)
            fail(sends[next].attempt, Edge::ExchangeFailure::NotSent);
    };
    refuseAll();
    EXPECT_TRUE(answers.empty());
    advance(milliseconds(60));
    ASSERT_GT(sends.size(), next);
    reply(sends[next].attempt, success());
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers.front().outcome.kind, Outcome::Kind::Relay);
}

// Unreachable servers must not hold a request until its deadline; it is refused as not run.
TEST_F(ForwardFixture, UnreachableServiceIsRefusedInTime)
{
    begin("/s/x");
    std::size_t next = 0;
    for (int step = 0; step < 100 && answers.empty(); ++step) {
        for (; next < sends.size(); ++next)
            fail(sends[next].attempt, Edge::ExchangeFailure::NotSent);
        advance(milliseconds(10));
    }
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers.front().outcome.error, Base::ErrorKind::Overloaded);
    EXPECT_LT(now, Tests::Instant(milliseconds(1'000'600)));
}

// An unreachable shard must not delay an answer that reaches its minimum coverage without it.
TEST_F(ForwardFixture, UnreachableShardDoesNotDelayASuccess)
{
    begin("/g/x");
    std::size_t next = Shards;
    fail(sends[0].attempt, Edge::ExchangeFailure::NotSent);
    for (; next < sends.size(); ++next)
        fail(sends[next].attempt, Edge::ExchangeFailure::NotSent);
    for (int shard = 1; shard < Shards; ++shard)
        reply(sends[shard].attempt, success());
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers.front().outcome.missingParts, 1U);
}

// Requests for a service without servers are refused at once as not run.
TEST_F(ForwardFixture, RefusesAtOnceWithoutServers)
{
    core->setServers(now, {});
    core->setServers(now, {});
    begin("/s/x");
    EXPECT_TRUE(sends.empty());
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers.front().outcome.error, Base::ErrorKind::NoEligibleReplica);
}

// After a caller has disconnected, nothing more is sent and its open attempts are soon aborted.
TEST_F(ForwardFixture, DisconnectedCallerCausesNoMoreWork)
{
    const auto id = begin("/g/x");
    const auto sent = sends.size();
    leave(id);
    advance(milliseconds(450));
    EXPECT_EQ(sends.size(), sent);
    EXPECT_EQ(aborts.size(), sent);
    EXPECT_TRUE(answers.empty());
}

// A tenant must not lose its allowance for what no server has run, whenever that becomes known.
TEST_F(ForwardFixture, DisconnectedCallerOfWaitingWorkHasNotRun)
{
    for (int count = 0; count < 200 && core->legsWaiting() == 0; ++count)
        begin("/s/x");
    const auto sent = sends.size();
    const auto id = begin("/s/x");
    ASSERT_EQ(core->legsWaiting(), 2U);
    leave(id);
    ASSERT_EQ(gone.size(), 1U);
    EXPECT_EQ(gone.front().exchange, id);
    EXPECT_TRUE(gone.front().notRun);
    EXPECT_EQ(sends.size(), sent);
    advance(milliseconds(450));
    EXPECT_EQ(gone.size(), 1U);
}

TEST_F(ForwardFixture, DisconnectedCallerIsSettledWhenItsAttemptsEnd)
{
    const auto settle = [this](const std::function<void(Forward::AttemptId)> &end) {
        gone.clear();
        const auto id = begin("/s/x");
        const auto attempt = sends.back().attempt;
        leave(id);
        EXPECT_TRUE(gone.empty());
        end(attempt);
        advance(milliseconds(450));
        EXPECT_EQ(gone.size(), 1U);
        return gone.size() == 1 && gone.front().exchange == id && gone.front().notRun;
    };
    EXPECT_TRUE(settle([this](auto attempt) { fail(attempt, Edge::ExchangeFailure::NotSent); }));
    EXPECT_TRUE(settle([this](auto attempt) { fail(attempt, Edge::ExchangeFailure::NoConnection); }));
    EXPECT_TRUE(settle([this](auto attempt) { reply(attempt, notExecuted(503)); }));
    EXPECT_FALSE(settle([this](auto attempt) { reply(attempt, success()); }));
    EXPECT_FALSE(settle([this](auto attempt) { fail(attempt, Edge::ExchangeFailure::ReplyLost); }));
    EXPECT_FALSE(settle([](auto) {})); // Aborted, when a server may have begun to run it.
}

// One part that may have run is enough, whatever comes of the others and in which order.
TEST_F(ForwardFixture, DisconnectedCallerOfAGatherIsSettledOnce)
{
    auto id = begin("/g/x");
    leave(id);
    for (int shard = 1; shard < Shards; ++shard)
        fail(sends[shard].attempt, Edge::ExchangeFailure::NoConnection);
    EXPECT_TRUE(gone.empty());
    fail(sends[0].attempt, Edge::ExchangeFailure::NoConnection);
    ASSERT_EQ(gone.size(), 1U);
    EXPECT_TRUE(gone.front().notRun);

    sends.clear();
    id = begin("/g/x");
    leave(id);
    fail(sends[0].attempt, Edge::ExchangeFailure::NoConnection);
    reply(sends[1].attempt, success());
    ASSERT_EQ(gone.size(), 2U);
    EXPECT_FALSE(gone.back().notRun);
    for (int shard = 2; shard < Shards; ++shard)
        fail(sends[shard].attempt, Edge::ExchangeFailure::NoConnection);
    EXPECT_EQ(gone.size(), 2U);

    sends.clear();
    id = begin("/g/x");
    reply(sends[0].attempt, success());
    leave(id);
    ASSERT_EQ(gone.size(), 3U);
    EXPECT_FALSE(gone.back().notRun);
    advance(milliseconds(450));
    EXPECT_EQ(gone.size(), 3U);
}

TEST_F(ForwardFixture, AnsweredCallerThatLeavesIsNotSettledAgain)
{
    const auto id = begin("/s/x");
    reply(sends.back().attempt, success());
    ASSERT_EQ(answers.size(), 1U);
    leave(id);
    EXPECT_TRUE(gone.empty());
}

// There is more work than connections. The more urgent route is served first, regardless of arrival.
TEST_F(ForwardFixture, WaitingWorkIsOrderedByRank)
{
    auto configuration = table->configuration();
    configuration.services["s0"].maxConnections = 1;
    configuration.routes[1].rank = 2;
    configuration.routes[2].rank = 1;
    table = std::make_shared<const Route::RouteTable>(configuration);
    begin("/s/1");
    begin("/s/2");
    ASSERT_EQ(sends.size(), 2U);
    begin("/s/3");
    const auto urgent = begin("/o/4");
    EXPECT_EQ(sends.size(), 2U);
    reply(sends[0].attempt, success());
    ASSERT_EQ(sends.size(), 3U);
    EXPECT_EQ(sends[2].exchange, urgent);
}

// Each attempt must carry the time left until the caller's deadline.
TEST_F(ForwardFixture, AttemptsCarryTheRemainingTime)
{
    begin("/s/x");
    EXPECT_EQ(sends[0].timeLeft, milliseconds(1000));
    advance(milliseconds(400));
    ASSERT_EQ(sends.size(), 2U);
    EXPECT_LT(sends[1].timeLeft, milliseconds(1000));
}

// A request that arrived 5.3 s after the stop signal was still in flight when the process ended, so its
// connection was closed without an answer (inyuguti-search trouble-2, seed 777469639406).
TEST_F(ForwardFixture, StopAnswersEveryRequestInFlight)
{
    begin("/g/1");
    for (int shard = 1; shard < Shards; ++shard)
        reply(sends[shard].attempt, success());
    begin("/o/2");
    EXPECT_TRUE(answers.empty());
    core->endAll(now);
    collect();
    ASSERT_EQ(answers.size(), 2U);
    EXPECT_EQ(answers[0].outcome.kind, Outcome::Kind::Gathered);
    EXPECT_EQ(answers[0].outcome.missingParts, 1U);
    EXPECT_EQ(Base::errorAnswer(answers[1].outcome.error).runState, Base::RunState::MayHaveRun);
    EXPECT_EQ(core->exchangesInFlight(), 0U);
}

// A split must follow its weights even for a small number of requests.
TEST_F(ForwardFixture, SplitsByWeight)
{
    auto configuration = table->configuration();
    configuration.routes[1].targets = {{"s0", 3.0}, {"s1", 1.0}, {"s2", 0.0}};
    table = std::make_shared<const Route::RouteTable>(configuration);
    std::map<std::string, int> counts;
    for (int i = 0; i < 40; ++i) {
        begin("/s/x");
        ++counts[sends.back().backend->record.service];
        reply(sends.back().attempt, success());
    }
    EXPECT_NEAR(counts["s0"], 30, 1);
    EXPECT_NEAR(counts["s1"], 10, 1);
    EXPECT_EQ(counts["s2"], 0);
}

// Records are compared as unsigned bytes, duplicates are kept, and trailing bytes shorter than a record are
// ignored.
TEST(TopRecords, MergesAsUnsignedBytes)
{
    const std::string low(16, '\x01');
    const std::string high(16, '\xff');
    const std::string first = low + high + "rest";
    const std::string_view parts[] = {first, high};
    EXPECT_EQ(Forward::mergeTopRecords(parts, 2), high + high);
    EXPECT_EQ(Forward::mergeTopRecords(parts, 9), high + high + low);
    EXPECT_EQ(Forward::mergeTopRecords({}, 3), "");
}

TEST(GatherPolicy, DecidesByCoverageAndTime)
{
    const Base::Instant start {milliseconds(1)};
    Forward::GatherProgress progress {20, 18, 2, 0, 0.89, start + milliseconds(80)};
    EXPECT_EQ(decideGather(progress, start), Forward::GatherDecision::Wait);
    EXPECT_EQ(decideGather(progress, start + milliseconds(80)), Forward::GatherDecision::Answer);
    progress.present = 17;
    progress.pending = 3;
    EXPECT_EQ(decideGather(progress, start + milliseconds(80)), Forward::GatherDecision::Wait);
    progress.pending = 0;
    EXPECT_EQ(decideGather(progress, start), Forward::GatherDecision::Fail);
    progress.recovering = 1;
    EXPECT_EQ(decideGather(progress, start), Forward::GatherDecision::Wait);
    progress = {20, 20, 0, 0, 0.89, start + milliseconds(80)};
    EXPECT_EQ(decideGather(progress, start), Forward::GatherDecision::Answer);
}

// A server falls silent and keeps its connections open. No attempt fails, so the silence itself must count
// against the server; otherwise every second request would need a hedge.
TEST_F(ForwardFixture, SilentServersGetNoMoreWork)
{
    begin("/s/x");
    const auto silent = sends[0].backend;
    advance(milliseconds(40));
    ASSERT_EQ(sends.size(), 2U);
    reply(sends[1].attempt, success());
    advance(milliseconds(1001));
    ASSERT_EQ(aborts.size(), 1U);
    for (int i = 0; i < 20; ++i) {
        sends.clear();
        begin("/s/x");
        ASSERT_EQ(sends.size(), 1U);
        EXPECT_NE(sends[0].backend, silent);
        reply(sends[0].attempt, success());
    }
}

// Both servers of one shard become seven times as slow. Second attempts there doubled the load on nearly
// saturated servers without any benefit (inyuguti-search-grown scale-1). A stalled server of another shard
// must still be hedged.
TEST_F(ForwardFixture, ShardsThatAreSlowAsAWholeAreNotHedged)
{
    const auto replyAll = [this](std::size_t from, bool slow) {
        for (auto index = from; index < sends.size(); ++index) {
            if ((sends[index].backend->record.service == "s0") == slow)
                reply(sends[index].attempt, success());
        }
    };
    for (int round = 0; round < 30; ++round) {
        sends.clear();
        begin("/g/x");
        advance(milliseconds(10));
        replyAll(0, false);
        advance(milliseconds(60));
        replyAll(0, true);
        advance(milliseconds(100));
    }
    sends.clear();
    begin("/g/x");
    ASSERT_EQ(sends.size(), std::size_t {Shards});
    advance(milliseconds(10));
    for (const auto &send : std::vector(sends)) {
        if (send.backend->record.service != "s0" && send.backend->record.service != "s1")
            reply(send.attempt, success());
    }
    advance(milliseconds(30));
    ASSERT_EQ(sends.size(), std::size_t {Shards} + 1);
    EXPECT_EQ(sends.back().backend->record.service, "s1");
}

// All servers of three out of ten shards stop responding. Requests that cannot reach their minimum coverage
// without them must be refused at once as not run, except for a few probes that detect when the servers are
// back.
TEST_F(ForwardFixture, RequestsThatNeedSilentServersAreRefusedAtOnce)
{
    const auto isUnresponsive = [](const Forward::SendAttempt &send) {
        const auto &service = send.backend->record.service;
        return service == "s0" || service == "s1" || service == "s2";
    };
    const auto replyOthers = [&] {
        for (const auto &send : std::vector(sends)) {
            if (!isUnresponsive(send))
                reply(send.attempt, success());
        }
    };
    begin("/g/x");
    const auto first = sends;
    replyOthers();
    advance(milliseconds(800));
    // The connections time out, which does not show that the servers are alive.
    for (const auto &send : first) {
        if (isUnresponsive(send))
            fail(send.attempt, Edge::ExchangeFailure::PeerSilent);
    }
    advance(milliseconds(1300));
    std::size_t refused = 0;
    for (int i = 0; i < 20; ++i) {
        sends.clear();
        answers.clear();
        begin("/g/x");
        if (!answers.empty()) {
            ++refused;
            EXPECT_TRUE(sends.empty());
            EXPECT_EQ(answers[0].outcome.error, Base::ErrorKind::NoEligibleReplica);
            EXPECT_TRUE(answers[0].outcome.retryAfter.has_value());
        }
        replyOthers();
        advance(milliseconds(20));
    }
    EXPECT_GE(refused, 15U);
    EXPECT_LT(refused, 20U);
    advance(milliseconds(1000));
    sends.clear();
    begin("/g/x");
    ASSERT_FALSE(sends.empty());
    for (const auto &send : std::vector(sends))
        reply(send.attempt, success());
    advance(milliseconds(20));
    for (int i = 0; i < 5; ++i) {
        answers.clear();
        sends.clear();
        begin("/g/x");
        EXPECT_FALSE(sends.empty());
        for (const auto &send : std::vector(sends))
            reply(send.attempt, success());
    }
}

// Of some shards, one server does not respond and the other is slow, so that more work is queued than can end
// by the target (csf-waxroute scale-1). A gather that would be late must be refused before it loads the other
// shards.
TEST_F(ForwardFixture, GathersBehindALongQueueAreRefusedAtOnce)
{
    Wire::ServerList servers = list();
    std::erase_if(servers.servers, [](const auto &server) { return server.id.ends_with("-b"); });
    servers.digest = 2;
    core->setServers(now, servers);
    core->setServers(now, servers);
    core->setGatewayCount(34); // One connection to each server.
    // The target leaves 90 ms and a reply takes 10 ms, so at most nine can wait.
    std::size_t refusedAfter = 0;
    for (std::size_t count = 0; count < 30 && refusedAfter == 0; ++count) {
        begin("/g/x");
        if (!answers.empty())
            refusedAfter = count;
        const auto sent = std::exchange(sends, {});
        advance(milliseconds(10));
        for (const auto &send : sent) {
            const auto &service = send.backend->record.service;
            if (service != "s0" && service != "s1" && service != "s2")
                reply(send.attempt, success());
        }
    }
    EXPECT_GT(refusedAfter, 1U);
    EXPECT_LT(refusedAfter, 11U);
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].outcome.error, Base::ErrorKind::Overloaded);
    EXPECT_EQ(answers[0].outcome.attempts, 0U);
}

// After an outage all callers return together, with more work than fits into the target. New requests must
// not be late because of requests that are late already.
TEST_F(ForwardFixture, CallersThatReturnTogetherDoNotDelayOthers)
{
    constexpr int ReturningCallers = 80; // 200 ms of work for two servers with two slots each.
    constexpr int Others = 60;
    Tests::QueueingServers servers(milliseconds(10));
    std::map<Forward::ExchangeId, Tests::Instant> arrivals;
    for (int request = 0; request < ReturningCallers; ++request)
        begin("/s/returning");
    for (int step = 0; step < 6 * Others; ++step) {
        if (step % 5 == 0 && arrivals.size() < Others)
            arrivals[begin("/s/other")] = now;
        runServers(servers, milliseconds(1));
    }
    ASSERT_EQ(arrivals.size(), std::size_t {Others});
    const auto inTime = std::count_if(arrivals.begin(), arrivals.end(), [this](const auto &arrival) {
        const auto answered = answeredAt.find(arrival.first);
        return answered != answeredAt.end() && answered->second - arrival.second <= milliseconds(90);
    });
    EXPECT_GE(inTime, Others * 9 / 10);
}

// For one second, the load is 1.5 times the capacity. In deadline order alone, all requests would be slightly
// late; at least half of them must be in time.
TEST_F(ForwardFixture, LastingOverloadLeavesMostRequestsInTime)
{
    constexpr std::size_t Requests = 600;
    Tests::QueueingServers servers(milliseconds(10)); // 400 requests a second.
    std::map<Forward::ExchangeId, Tests::Instant> arrivals;
    for (int step = 0; step < 2200; ++step) {
        const bool arrives = step % 5 < 3 && arrivals.size() < Requests;
        if (arrives)
            arrivals[begin("/s/x")] = now;
        runServers(servers, milliseconds(1));
    }
    ASSERT_EQ(answers.size(), Requests);
    std::size_t inTime = 0;
    for (const auto &answer : answers) {
        const auto held = answeredAt[answer.exchange] - arrivals[answer.exchange];
        const bool served = answer.outcome.kind == Outcome::Kind::Relay;
        inTime += served && held <= milliseconds(90) ? 1 : 0;
        EXPECT_LE(held, milliseconds(1000));
    }
    EXPECT_GE(inTime, Requests / 2);
}

// If the network delay alone exceeds the target, a gather that need not queue must still be served.
TEST_F(ForwardFixture, GathersWithAShortTargetAreServedLate)
{
    const auto id = core->begin(
        now, {table, table->find("h", "/g/x"), milliseconds(1000), {.network = milliseconds(150)}});
    collect();
    EXPECT_NE(id, 0U);
    ASSERT_EQ(sends.size(), std::size_t {Shards});
    for (const auto &send : std::vector(sends))
        reply(send.attempt, success());
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].outcome.kind, Outcome::Kind::Gathered);
}
