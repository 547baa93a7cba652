// What backend servers say of themselves in their responses.

#include "LibForward/ForwardFixture.h"

using Base::ErrorKind;
using Base::seconds;
using Forward::Outcome;
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
