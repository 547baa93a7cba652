#include "LibRegistry/Formation.h"

#include "LibRegistry/FormationWatch.h"

#include <gtest/gtest.h>

namespace {

Consensus::RaftStatus statusOf(std::size_t voters, std::size_t learners)
{
    Consensus::RaftStatus status;
    for (std::size_t index = 0; index < voters + learners; ++index)
        status.members.push_back({{std::to_string(index), 1, "", index < voters}, 0, {}});
    return status;
}

using State = Registry::FormationWatch::State;

constexpr Base::Duration CatchUpTime = Base::seconds(6);
constexpr Base::Duration TickInterval = Base::milliseconds(100);

/// A leader's view of its cluster on logical time. Each member's address is its node id.
struct Founding
{
    Consensus::RaftStatus status;
    std::vector<std::string> seeds {"0", "1", "2"};
    std::size_t needed = 5;
    Registry::FormationWatch watch;
    Base::Instant now;

    explicit Founding(std::size_t voters, std::size_t learners = 0)
        : status(statusOf(voters, learners))
    {
        for (auto &member : status.members)
            member.member.peerAddress = member.member.nodeId;
    }

    /// Observes for `time`; returns the first instant at which the deployment counted as undersized.
    std::optional<Base::Duration> undersizedWithin(Base::Duration time)
    {
        const auto start = now;
        for (; now - start < time; now += TickInterval) {
            if (watch.observe(now, status, {needed, seeds, CatchUpTime}) == State::Undersized)
                return now - start;
        }
        return std::nullopt;
    }
};

constexpr Base::Duration ALongTime = Base::seconds(3600);

} // namespace

// Four data centres with one registry each, and two losses to be borne, were refused each configuration for
// ever: the voters that were waited for did not exist.
TEST(FormationWatch, DeploymentWithoutFurtherVotersIsAcceptedInTheEnd)
{
    Founding founding(4);
    EXPECT_EQ(founding.undersizedWithin(ALongTime), Registry::FormationWatch::patience(CatchUpTime));
    EXPECT_EQ(Registry::FormationWatch::lossesBorne(4), 1U);
    EXPECT_GE(Registry::FormationWatch::patience(CatchUpTime), 4 * CatchUpTime);
    EXPECT_GE(Registry::FormationWatch::patience({}), Base::seconds(10));
}

TEST(FormationWatch, LossesBorneKeepAMajority)
{
    for (std::size_t voters = 1; voters < 12; ++voters) {
        const auto losses = Registry::FormationWatch::lossesBorne(voters);
        EXPECT_GT(voters - losses, voters / 2);
        EXPECT_LE(voters - losses - 1, voters / 2);
    }
    EXPECT_EQ(Registry::FormationWatch::lossesBorne(0), 0U);
}

// review/3: one named registry of three is without power. The others must never found without it.
TEST(FormationWatch, NamedRegistryThatIsNoMemberYetIsWaitedForWithoutEnd)
{
    Founding founding(2);
    founding.needed = 3;
    EXPECT_FALSE(founding.undersizedWithin(ALongTime));
}

// The registry that lost its power was a voter already; its vote may be all that a majority lacks later.
TEST(FormationWatch, SilentVoterIsWaitedForWithoutEnd)
{
    Founding founding(3);
    founding.status.members[2].silentFor = Base::seconds(3);
    EXPECT_FALSE(founding.undersizedWithin(ALongTime));
    founding.status.members[2].silentFor = {};
    EXPECT_TRUE(founding.undersizedWithin(ALongTime));
}

TEST(FormationWatch, LearnerThatMayVoteIsWaitedFor)
{
    Founding founding(3, 1);
    EXPECT_FALSE(founding.undersizedWithin(ALongTime));
}

// A registry without a disk never votes: waiting for its vote would last for ever.
TEST(FormationWatch, LearnerWithoutADiskIsNotWaitedFor)
{
    Founding founding(2, 2);
    for (auto &member : founding.status.members)
        member.member.hasDisk = member.member.voter;
    EXPECT_TRUE(founding.undersizedWithin(ALongTime));
}

TEST(FormationWatch, UncommittedMembershipIsWaitedFor)
{
    Founding founding(4);
    founding.status.membershipIndex = founding.status.commitIndex + 1;
    EXPECT_FALSE(founding.undersizedWithin(ALongTime));
}

// Each new member and each that asks to become one shows that the deployment is still starting.
TEST(FormationWatch, EachArrivalStartsTheWaitOver)
{
    const auto patience = Registry::FormationWatch::patience(CatchUpTime);
    Founding founding(3);
    EXPECT_FALSE(founding.undersizedWithin(patience - Base::seconds(1)));
    founding.status.members.push_back({{"3", 1, "3", true}, 0, {}});
    EXPECT_FALSE(founding.undersizedWithin(patience - Base::seconds(1)));
    founding.watch.noteVoterOnItsWay();
    EXPECT_EQ(founding.undersizedWithin(ALongTime), patience);
    founding.status.members.push_back({{"4", 1, "4", true}, 0, {}});
    EXPECT_FALSE(founding.undersizedWithin(ALongTime));
    EXPECT_EQ(founding.watch.state(), State::Complete);
}

// A leader that was frozen has heard no registry meanwhile, and a new leader none before its term.
TEST(FormationWatch, FreezeAndChangeOfLeaderStartTheWaitOver)
{
    const auto patience = Registry::FormationWatch::patience(CatchUpTime);
    Founding founding(4);
    EXPECT_FALSE(founding.undersizedWithin(patience - Base::seconds(1)));
    founding.now += Base::seconds(30);
    EXPECT_EQ(founding.undersizedWithin(ALongTime), patience);
    founding.watch.reset();
    EXPECT_EQ(founding.watch.state(), State::Starting);
    EXPECT_EQ(founding.undersizedWithin(ALongTime), patience);
}

// A first configuration that two of three registries confirmed after some seconds was lost with one disk: a
// cluster of two has no majority without it. No time may end the refusal, because the third may be down for
// any time.
TEST(Formation, FirstConfigurationNeedsAMajorityAfterTheToleratedLosses)
{
    const auto needed = Registry::votersToForm({1, 3});
    EXPECT_EQ(needed, 3U);
    EXPECT_TRUE(Registry::isForming(statusOf(1, 0), 0, needed));
    EXPECT_TRUE(Registry::isForming(statusOf(2, 1), 0, needed));
    EXPECT_FALSE(Registry::isForming(statusOf(3, 0), 0, needed));
    EXPECT_EQ(Registry::votersToForm({2, 3}), 5U);
}

// A cluster that holds a configuration must go on accepting changes while a lost member is replaced.
TEST(Formation, ClusterThatHoldsAConfigurationGoesOn)
{
    EXPECT_FALSE(Registry::isForming(statusOf(2, 1), 7, 3));
}

// A voter without a disk loses what it confirmed with its power; a majority that needs it keeps nothing.
TEST(Formation, VotersWithoutADiskDoNotCountBesideOthers)
{
    auto status = statusOf(4, 0);
    status.members.front().member.hasDisk = false;
    EXPECT_TRUE(Registry::isForming(status, 0, 3));
    status.members.erase(status.members.begin());
    EXPECT_FALSE(Registry::isForming(status, 0, 3));
}

// Deployments with fewer registries than the tolerated losses need must accept configurations as well.
TEST(Formation, SmallDeploymentsFormWithAllTheyHave)
{
    EXPECT_EQ(Registry::votersToForm({1, 1}), 1U);
    EXPECT_EQ(Registry::votersToForm({1, 2}), 2U);
    EXPECT_EQ(Registry::votersToForm({1, 0}), 1U);
    EXPECT_EQ(Registry::votersToForm({0, 3}), 1U);
}
