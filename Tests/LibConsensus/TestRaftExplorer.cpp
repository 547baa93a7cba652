#include "LibConsensus/ExplorerEpisode.h"

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>

namespace {

constexpr std::uint64_t FirstSeed = 20'261'204;
constexpr unsigned Episodes = 140;
constexpr unsigned StepsPerEpisode = 2500;
constexpr std::size_t RequiredStates = 20'000;
constexpr ExplorerNoise FaultRates {30, 8, 8, 5, 24};

struct Totals : ExplorerTotals
{
    std::size_t terms = 0;
    unsigned crashes = 0;
    unsigned wipes = 0;
};

/// One run of random events from one seed.
class Episode final : public ExplorerEpisode
{
public:
    Episode(std::uint64_t seed, Totals &totals)
        : ExplorerEpisode(seed, 3, seed * 1001, FaultRates, totals)
        , totals_(totals)
        , removesMembers_(seed % 3 == 0)
    {
    }

private:
    void stepOnce() override
    {
        const auto roll = random_.below(1000);
        if (roll < 700)
            deliverOne();
        else if (roll < 840)
            passTime();
        else if (roll < 890)
            (void)cluster_.propose(anyNode(), fmt::format("{}", ++commands_));
        else if (roll < 920)
            cluster_.repairStep();
        else if (roll < 950)
            cluster_.restart(anyNode());
        else if (roll < 965)
            crashOne();
        else if (roll < 975)
            cluster_.compact(anyNode());
        else if (roll < 985)
            changeMembers();
        else if (roll < 990)
            changePartition();
        else if (roll < 994)
            cluster_.advance(Base::milliseconds(300 + random_.below(1200)));
    }

    bool isCut(const Wire::RaftMessage &message) const override
    {
        const auto blocks = [&](std::size_t from, std::size_t to) {
            return message.from == cluster_.member(from, true).nodeId
                   && message.to == cluster_.member(to, true).nodeId;
        };
        return blocks(partitionedLink_.first, partitionedLink_.second)
               || (partitionedBothWays_ && blocks(partitionedLink_.second, partitionedLink_.first));
    }

    void changePartition()
    {
        partitionedLink_ = {anyNode(), anyNode()};
        partitionedBothWays_ = chance(50);
    }

    void crashOne()
    {
        // Leaders crash more often, to test that successors recover their entries.
        const auto leader = cluster_.leader();
        cluster_.crash(leader < cluster_.size() && chance(60) ? leader : anyNode());
        ++totals_.crashes;
    }

    // A second disk is lost only once all nodes are voters again after the first loss. Removals of working
    // members happen in other episodes, because a cluster of two voters does not survive the loss of a disk.
    void changeMembers()
    {
        if (removesMembers_)
            return cluster_.proposeRemoval(anyNode());
        if (!cluster_.isFullyRepaired())
            return;
        cluster_.wipe(anyNode());
        ++totals_.wipes;
    }

    // Once the faults end, all nodes must become voters again and hold the same commands.
    void heal() override
    {
        for (std::size_t index = 0; index < cluster_.size(); ++index)
            cluster_.restart(index);
        for (int round = 0; round < 20; ++round) {
            cluster_.run(Base::milliseconds(500));
            cluster_.repairStep();
        }
        (void)cluster_.propose(std::min(cluster_.leader(), cluster_.size() - 1), "last");
        cluster_.run(Base::seconds(1));
        const bool agreed = cluster_.applied(0) == cluster_.applied(1)
                            && cluster_.applied(1) == cluster_.applied(2)
                            && cluster_.applied(0).ends_with("last,");
        if (!agreed)
            cluster_.violations.emplace_back("the state machines differ after recovery");
        if (!cluster_.isFullyRepaired())
            cluster_.violations.emplace_back("not all nodes are voters after recovery");
        totals_.terms += cluster_.termsWithLeader();
    }

    Totals &totals_;
    bool removesMembers_;
    std::pair<std::size_t, std::size_t>
        partitionedLink_; ///< The same node twice means no partition, because no node sends to itself.
    bool partitionedBothWays_ = false;
    unsigned commands_ = 0;
};

} // namespace

// Guards the safety of the protocol against message loss, duplication and reordering, one-way partitions,
// frozen processes, crashes before and after a sync, and the loss of a disk.
TEST(RaftExplorer, KeepsSafetyUnderRandomFaults)
{
    Totals totals;
    for (unsigned episode = 0; episode < Episodes; ++episode) {
        const auto violations = Episode(FirstSeed + episode, totals).run(StepsPerEpisode);
        ASSERT_TRUE(violations.empty()) << "seed " << FirstSeed + episode << ": " << violations.front();
    }
    fmt::print("distinct states {}, committed entries {}, terms with leader {}, crashes {}, disks lost {}\n",
               totals.states.size(), totals.committed, totals.terms, totals.crashes, totals.wipes);
    EXPECT_GE(totals.states.size(), RequiredStates);
    EXPECT_GT(totals.committed, Episodes * 10);
    EXPECT_GT(totals.terms, Episodes * 2);
    EXPECT_GT(totals.wipes, Episodes / 2);
}
