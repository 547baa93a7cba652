#include "LibConsensus/ExplorerEpisode.h"
#include "LibConsensus/NodeIdentity.h"
#include "LibControl/RepairingCluster.h"

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>

namespace {

using Base::milliseconds;

constexpr std::uint64_t FirstSeed = 41;
/// Each seed range is a test case of its own, so that they can run in parallel; episodes take long under the
/// sanitizers.
constexpr unsigned SeedRanges = 6;
constexpr unsigned Episodes = 20; ///< Per seed range.
constexpr unsigned StepsPerEpisode = 2000;
constexpr std::size_t RequiredStates = 4000; ///< Per seed range.
constexpr ExplorerNoise Noise {20, 5, 4, 3, 60};
constexpr unsigned LateReplyPercent = 30;
constexpr Base::Duration RecoveryBound = Base::seconds(60);

struct Totals : ExplorerTotals
{
    unsigned powerLosses = 0;
    unsigned disksLost = 0;
    unsigned logsSetAside = 0;
    unsigned removals = 0;
};

/// Registries that repair their membership automatically, under random faults from one seed. As many
/// disks are lost at once as the deployment tolerates, also together with the power of all VMs.
class Episode final : public ExplorerEpisode
{
public:
    Episode(std::uint64_t seed, Totals &totals)
        : ExplorerEpisode(seed, static_cast<unsigned>(2 * toleratedOf(seed) + 1 + seed % 3), seed * 1009,
                          Noise, totals)
        , tolerated_(toleratedOf(seed))
        , registries_(cluster_, tolerated_, random_, LateReplyPercent)
        , totals_(totals)
    {
    }

    ~Episode() override
    {
        totals_.logsSetAside += registries_.logsSetAside;
        totals_.removals += registries_.removals;
    }
    Episode(const Episode &) = delete;
    Episode &operator=(const Episode &) = delete;

private:
    static std::size_t toleratedOf(std::uint64_t seed) { return 1 + seed % 2; }

    void stepOnce() override
    {
        const auto roll = random_.below(1000);
        if (roll < 640)
            deliverOne();
        else if (roll < 800)
            passTime();
        else if (roll < 850)
            (void)cluster_.propose(anyNode(), fmt::format("{}", ++commands_));
        else if (roll < 900)
            cluster_.restart(anyNode());
        else if (roll < 915)
            crash(anyNode());
        else if (roll < 920)
            crashAllNodes();
        else if (roll < 930)
            wipeRandomDisks();
        else if (roll < 940)
            cluster_.compact(anyNode());
        else if (roll < 950)
            isolatedNode_ = anyNode();
        else if (roll < 960)
            isolatedNode_ = cluster_.size();
        else if (roll < 985)
            runWithoutNewFaults(milliseconds(static_cast<std::int64_t>(random_.below(3000))));
    }

    bool isCut(const Wire::RaftMessage &message) const override
    {
        const auto isIsolated = [&](const std::string &id) {
            return isolatedNode_ < cluster_.size() && id == registries_.idOf(isolatedNode_);
        };
        return isIsolated(message.from) || isIsolated(message.to);
    }

    std::set<std::size_t> isolated() const
    {
        return isolatedNode_ < cluster_.size() ? std::set {isolatedNode_} : std::set<std::size_t> {};
    }

    /// Lets time pass without new faults while lasting ones persist, so that silent nodes are removed.
    void runWithoutNewFaults(Base::Duration time) { registries_.run(time, isolated()); }

    void timePassed() override { registries_.step(isolated()); }

    void crash(std::size_t index)
    {
        const auto unsynced = cluster_.store(index).unsyncedChanges();
        cluster_.crash(index, random_.below(unsynced + 1));
    }

    void crashAllNodes()
    {
        for (std::size_t index = 0; index < cluster_.size(); ++index)
            crash(index);
        cluster_.messages().clear();
        ++totals_.powerLosses;
        if (chance(50))
            wipeRandomDisks();
    }

    // The next disks may be lost once the cluster has recovered: all committed members are present, and
    // there are enough voters to tolerate the next loss. A learner that is lost counts as a lost VM too: it
    // may have the vote in a membership that is not committed.
    void wipeRandomDisks()
    {
        std::size_t voters = 0;
        for (const auto &member : cluster_.committedMembership().members) {
            if (!isCurrent(member))
                return;
            voters += member.voter ? 1 : 0;
        }
        if (voters < 2 * tolerated_ + 1)
            return;
        for (std::size_t count = 1 + random_.below(tolerated_); count > 0; --count) {
            cluster_.wipe(anyNode());
            ++totals_.disksLost;
        }
    }

    bool isCurrent(const Wire::RaftMember &member) const
    {
        for (std::size_t index = 0; index < cluster_.size(); ++index) {
            if (Consensus::identityOf(cluster_.member(index, true)) == Consensus::identityOf(member))
                return true;
        }
        return false;
    }

    bool hasRecovered() const
    {
        for (std::size_t index = 1; index < cluster_.size(); ++index) {
            if (cluster_.applied(index) != cluster_.applied(0))
                return false;
        }
        return registries_.isRepaired() && cluster_.applied(0).ends_with("last,");
    }

    // After all faults end, the cluster must recover automatically.
    void heal() override
    {
        isolatedNode_ = cluster_.size();
        for (std::size_t index = 0; index < cluster_.size(); ++index)
            cluster_.restart(index);
        for (Base::Duration passed {}; passed < RecoveryBound && cluster_.violations.empty();
             passed += milliseconds(500)) {
            runWithoutNewFaults(milliseconds(500));
            if (cluster_.leader() < cluster_.size())
                (void)cluster_.propose(cluster_.leader(), "last");
            cluster_.run(milliseconds(200));
            if (hasRecovered())
                return;
        }
        if (cluster_.violations.empty())
            cluster_.violations.emplace_back(
                "the cluster did not recover within the recovery bound after all faults ended");
    }

    std::size_t tolerated_;
    RepairingCluster registries_;
    Totals &totals_;
    std::size_t isolatedNode_ = SIZE_MAX; ///< Isolated node; none if it is not a valid index.
    unsigned commands_ = 0;
};

class MembershipExplorer : public ::testing::TestWithParam<unsigned>
{
};

} // namespace

// Acknowledged commands must survive a loss of all power that truncates unsynced changes at any point, the
// loss of as many disks as the deployment tolerates, and automatic repair while nodes leave and rejoin.
TEST_P(MembershipExplorer, RepairsMembershipWithoutDataLoss)
{
    Totals totals;
    const auto firstSeed = FirstSeed + std::uint64_t {GetParam()} * Episodes;
    for (auto seed = firstSeed; seed < firstSeed + Episodes; ++seed) {
        const auto violations = Episode(seed, totals).run(StepsPerEpisode);
        ASSERT_TRUE(violations.empty()) << "seed " << seed << ": " << violations.front();
    }
    fmt::print("distinct states {}, committed entries {}, power losses {}, disks lost {}, logs set aside {}, "
               "removals {}\n",
               totals.states.size(), totals.committed, totals.powerLosses, totals.disksLost,
               totals.logsSetAside, totals.removals);
    EXPECT_GE(totals.states.size(), RequiredStates);
    EXPECT_GT(totals.committed, Episodes * 10);
    EXPECT_GT(totals.powerLosses, Episodes);
    EXPECT_GT(totals.disksLost, Episodes);
    EXPECT_GT(totals.logsSetAside, Episodes / 4);
    EXPECT_GT(totals.removals, Episodes / 4);
}

INSTANTIATE_TEST_SUITE_P(Blocks, MembershipExplorer, ::testing::Range(0U, SeedRanges));
