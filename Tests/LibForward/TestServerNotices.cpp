// What backend servers say of themselves in their responses.

#include "LibForward/ForwardFixture.h"

using Base::ErrorKind;
using Base::seconds;
using Tests::ForwardFixture;
using Tests::milliseconds;

namespace {

class ServerNotices : public ForwardFixture
{
protected:
    static Forward::AttemptReply leaving(Forward::AttemptReply reply = success())
    {
        reply.announcesLeaving = true;
        return reply;
    }

    static Forward::AttemptReply pausing(Base::Duration pause)
    {
        auto reply = notExecuted(503);
        reply.pause = pause;
        return reply;
    }

    /// Makes all servers of service s0 ask for a pause. Returns when the first of them ends.
    Base::Instant pauseAll(Base::Duration first, Base::Duration second)
    {
        begin("/s/x");
        reply(sends.back().attempt, pausing(first));
        reply(sends.back().attempt, pausing(second));
        clear();
        return now + std::min(first, second);
    }

    /// Sends requests to service s0 until each of the servers has got one, and answers them with `answer`.
    void answerFrom(const std::set<std::string> &servers, const Forward::AttemptReply &answer)
    {
        std::set<std::string> answered;
        for (int count = 0; count < 200 && answered.size() < servers.size(); ++count) {
            begin("/s/x");
            const auto &send = sends.back();
            const auto &id = send.backend->record.id;
            const bool chosen = servers.contains(id) && answered.insert(id).second;
            reply(send.attempt, chosen ? answer : success());
        }
        ASSERT_EQ(answered.size(), servers.size());
        clear();
    }

    /// Ids of the servers that get the attempts of `count` requests, each answered before the next.
    std::set<std::string> serversOf(const std::string &path, int count = 30)
    {
        std::set<std::string> used;
        for (int i = 0; i < count; ++i) {
            const auto sent = sends.size();
            begin(path);
            if (sends.size() == sent)
                continue;
            used.insert(sends.back().backend->record.id);
            reply(sends.back().attempt, success());
        }
        return used;
    }

    void clear()
    {
        sends.clear();
        answers.clear();
    }
};

using Ids = std::set<std::string>;

} // namespace

// A server that announces its end while the list still shows it as ready went on getting half of all
// requests.
TEST_F(ServerNotices, LeavingServerGetsNothingWhileAnotherHasRoom)
{
    answerFrom({"s0-a"}, leaving());
    EXPECT_EQ(serversOf("/s/x"), Ids {"s0-b"});
    EXPECT_EQ(serversOf("/o/x"), Ids {"s0-b"});
    advance(seconds(5));
    EXPECT_EQ(serversOf("/s/x"), Ids {"s0-b"});
}

// An announcement in a refusal counts as well, and the retry goes to the other copy.
TEST_F(ServerNotices, RefusalOfALeavingServerIsRetriedElsewhere)
{
    begin("/o/x");
    const auto first = sends.back();
    reply(first.attempt, leaving(notExecuted(503)));
    ASSERT_EQ(sends.size(), 2U);
    EXPECT_NE(sends.back().backend, first.backend);
}

// A service whose only copies leave is used while the bound allows; afterwards its requests are refused at
// once, because a late one would reach a server that may be gone.
TEST_F(ServerNotices, OnlyCopiesAreUsedUntilTheBound)
{
    answerFrom({"s0-a", "s0-b"}, leaving());
    EXPECT_FALSE(serversOf("/o/x").empty());
    advance(milliseconds(1400));
    EXPECT_FALSE(serversOf("/o/x").empty());
    advance(milliseconds(100));
    clear();
    begin("/o/x");
    EXPECT_TRUE(sends.empty());
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers.front().outcome.error, ErrorKind::NoEligibleReplica);
    // A gather is answered without that part.
    clear();
    begin("/g/x");
    EXPECT_EQ(sends.size(), std::size_t {Shards} - 1);
    for (const auto &send : std::vector(sends))
        reply(send.attempt, success());
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers.front().outcome.missingParts, 1U);
}

// Another copy of the only remaining kind, a leaving one, is no help while the first attempt may still be
// answered.
TEST_F(ServerNotices, LeavingServerGetsNoHedge)
{
    answerFrom({"s0-a"}, leaving());
    begin("/s/x");
    ASSERT_EQ(sends.size(), 1U);
    advance(milliseconds(500));
    EXPECT_EQ(sends.size(), 1U);
}

// The mark belongs to one incarnation: it outlives changes of the list, and a successor at the address is
// free of it.
TEST_F(ServerNotices, MarkOutlivesListChangesAndEndsWithTheIncarnation)
{
    answerFrom({"s0-a"}, leaving());
    auto changed = list();
    changed.servers.push_back(Tests::serverRecord("s0-c", "s0", 3000));
    core->setServers(now, changed);
    core->setServers(now, list());
    EXPECT_EQ(serversOf("/s/x"), Ids {"s0-b"});
    auto restarted = list();
    for (auto &server : restarted.servers)
        server.bornAt = server.id == "s0-a" ? 2000 : 0;
    core->setServers(now, restarted);
    answerFrom({"s0-b"}, leaving());
    advance(seconds(2));
    EXPECT_EQ(serversOf("/s/x"), Ids {"s0-a"});
}

// A response of another server, a damaged one, and one to an attempt that has ended say nothing of this
// server.
TEST_F(ServerNotices, OtherAndDamagedResponsesMarkNobody)
{
    auto damaged = leaving();
    damaged.isWhole = false;
    answerFrom({"s0-a"}, damaged);
    begin("/s/x");
    const auto ended = sends.back();
    reply(ended.attempt, success());
    reply(ended.attempt, leaving());
    EXPECT_FALSE(ended.backend->lastUse.has_value());
    answerFrom({"s0-b"}, leaving());
    advance(seconds(2));
    EXPECT_EQ(serversOf("/s/x"), Ids {"s0-a"});

    begin("/s/x");
    const auto other = sends.back();
    reply(other.attempt, leaving(notExecuted(421)));
    EXPECT_FALSE(other.backend->lastUse.has_value());
}

// A server that turned requests away with a time to wait went on getting them. No first attempt, repeat or
// hedge may go to it before that time is over.
TEST_F(ServerNotices, PausedServerGetsNothingUntilTheEnd)
{
    answerFrom({"s0-a"}, pausing(seconds(3)));
    for (int step = 0; step < 29; ++step) {
        EXPECT_EQ(serversOf("/s/x", 4), Ids {"s0-b"});
        begin("/s/x"); // Answered late, so that it would be hedged.
        const auto late = sends.back().attempt;
        advance(milliseconds(100));
        reply(late, success());
    }
    for (const auto &send : sends)
        EXPECT_EQ(send.backend->record.id, "s0-b");
}

// The entry of a paused server cannot be read for a while, or moves between the pages. The server got its
// usual share as soon as it was listed again.
TEST_F(ServerNotices, PauseOutlivesReadsWithoutTheServer)
{
    answerFrom({"s0-a"}, pausing(seconds(20)));
    auto lacking = list();
    std::erase_if(lacking.servers, [](const auto &server) { return server.id == "s0-a"; });
    for (const auto &read : {lacking, lacking, list()}) {
        advance(seconds(1));
        core->setServers(now, read);
    }
    EXPECT_EQ(serversOf("/s/x"), Ids {"s0-b"});
    advance(seconds(17));
    begin("/s/x");
    if (sends.back().backend->record.id == "s0-b")
        reply(sends.back().attempt, pausing(seconds(1)));
    EXPECT_EQ(sends.back().backend->record.id, "s0-a");
}

// The same holds for what a server has announced, but not for a successor with its id: one at another
// address, or one that may have been started anew, as the list tells no start times.
TEST_F(ServerNotices, AnnouncementOutlivesReadsWithoutTheServer)
{
    const auto readTwiceWithout = [this] {
        auto lacking = list();
        std::erase_if(lacking.servers, [](const auto &server) { return server.id == "s0-a"; });
        core->setServers(now, lacking);
        core->setServers(now, lacking);
    };
    const auto listWith = [this](std::int64_t bornAt, const std::string &address) {
        auto changed = list();
        for (auto &server : changed.servers) {
            if (server.id != "s0-a")
                continue;
            server.bornAt = bornAt;
            server.address = address;
        }
        core->setServers(now, changed);
    };
    readTwiceWithout();
    listWith(1000, "10.0.0.98:80");
    answerFrom({"s0-a"}, leaving());
    readTwiceWithout();
    listWith(1000, "10.0.0.98:80");
    EXPECT_EQ(serversOf("/s/x"), Ids {"s0-b"});
    readTwiceWithout();
    listWith(1000, "10.0.0.99:80");
    answerFrom({"s0-b"}, pausing(seconds(1)));
    EXPECT_EQ(serversOf("/s/x"), Ids {"s0-a"});

    readTwiceWithout();
    listWith(0, "10.0.0.98:80");
    answerFrom({"s0-a"}, leaving());
    readTwiceWithout();
    listWith(0, "10.0.0.98:80");
    advance(Base::seconds(1));
    answerFrom({"s0-a"}, success());
}

// When all copies pause, callers waited until the deadline. The request is refused at once as not run, and
// the Retry-After leads behind the earliest end, spread so that callers do not return together.
TEST_F(ServerNotices, RefusedAtOnceWhileAllCopiesPause)
{
    const auto end = pauseAll(milliseconds(3000), milliseconds(2000));
    std::set<Base::Duration> delays;
    for (const char *path : {"/s/x", "/o/x", "/s/x", "/o/x"})
        begin(path);
    EXPECT_TRUE(sends.empty());
    ASSERT_EQ(answers.size(), 4U);
    for (const auto &answer : answers) {
        EXPECT_EQ(answer.outcome.error, ErrorKind::Overloaded);
        ASSERT_TRUE(answer.outcome.retryAfter.has_value());
        EXPECT_GE(now + *answer.outcome.retryAfter, end);
        EXPECT_LE(now + *answer.outcome.retryAfter, end + milliseconds(400));
        delays.insert(*answer.outcome.retryAfter);
    }
    EXPECT_GT(delays.size(), 1U);
    advance(milliseconds(2000));
    clear();
    begin("/s/x");
    EXPECT_EQ(sends.size(), 1U);
}

// The last copy asks for a pause while the request is at work on it: nothing has run, so nothing is waited
// for.
TEST_F(ServerNotices, RequestTurnedAwayByTheLastCopyIsRefusedAtOnce)
{
    begin("/o/x");
    reply(sends.back().attempt, pausing(seconds(2)));
    reply(sends.back().attempt, pausing(seconds(2)));
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers.front().outcome.error, ErrorKind::Overloaded);
    EXPECT_GE(*answers.front().outcome.retryAfter, seconds(2));
}

// A gather does without the paused shards while its coverage allows, and is refused beyond.
TEST_F(ServerNotices, GatherLeavesOutPausedShards)
{
    const auto pauseShard = [this](int shard) {
        const auto service = fmt::format("s{}", shard);
        sends.clear();
        begin("/g/x");
        for (std::size_t index = 0; index < sends.size(); ++index) {
            const auto send = sends[index];
            reply(send.attempt, send.backend->record.service == service ? pausing(seconds(2)) : success());
        }
        clear();
    };
    pauseShard(0);
    pauseShard(1);
    begin("/g/x");
    EXPECT_EQ(sends.size(), std::size_t {Shards} - 2);
    for (const auto &send : std::vector(sends))
        reply(send.attempt, success());
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers.front().outcome.missingParts, 2U);
    pauseShard(2);
    begin("/g/x");
    EXPECT_TRUE(sends.empty());
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers.front().outcome.error, ErrorKind::Overloaded);
    EXPECT_GE(*answers.front().outcome.retryAfter, seconds(2));
}

// All that waited for the end of a pause would arrive at once, and the server would turn most of it away
// again.
TEST_F(ServerNotices, ResumesWithOneAttemptAtATime)
{
    pauseAll(seconds(1), seconds(1));
    advance(seconds(1));
    for (int request = 0; request < 6; ++request)
        begin("/s/x");
    EXPECT_EQ(sends.size(), 2U);
    for (const auto &send : std::vector(sends))
        reply(send.attempt, success());
    EXPECT_GE(sends.size(), 6U);
}

// An enormous value must not ban a server for good, and a second answer must not shorten what the first asked
// for.
TEST_F(ServerNotices, PausesHaveABoundAndDoNotShrink)
{
    pauseAll(seconds(1'000'000), seconds(1'000'000));
    begin("/s/x");
    EXPECT_TRUE(sends.empty());
    advance(Forward::BackendTable::MaxPause);
    begin("/s/x");
    ASSERT_EQ(sends.size(), 1U);

    Forward::Backend backend;
    Forward::BackendTable::markPaused(now, backend, seconds(5));
    Forward::BackendTable::markPaused(now, backend, seconds(1));
    EXPECT_EQ(backend.pausedUntil, now + seconds(5));
}

// Only a refusal with 503 asks for a pause; a Retry-After beside another status, or of another server, does
// not.
TEST_F(ServerNotices, OnlyRefusalsPause)
{
    auto served = success();
    served.pause = seconds(5);
    auto displaced = notExecuted(421);
    displaced.pause = seconds(5);
    begin("/s/x");
    const auto first = sends.back();
    reply(first.attempt, served);
    EXPECT_LE(first.backend->pausedUntil, now);
    begin("/s/x");
    const auto second = sends.back();
    reply(second.attempt, displaced);
    EXPECT_LE(second.backend->pausedUntil, now);
}
