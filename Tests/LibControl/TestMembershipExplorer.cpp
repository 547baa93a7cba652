#include "LibConsensus/ExplorerEpisode.h"
#include "LibConsensus/NodeIdentity.h"
#include "LibControl/MembershipPlanner.h"

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>

namespace {

using Base::milliseconds;
using Control::MembershipPlanner;
using JoinAnswer = MembershipPlanner::JoinAnswer;

constexpr std::uint64_t FirstSeed = 41;
/// Each seed range is a test case of its own, so that they can run in parallel; episodes take long under the
/// sanitizers.
constexpr unsigned SeedRanges = 6;
constexpr unsigned Episodes = 20; ///< Per seed range.
constexpr unsigned StepsPerEpisode = 2000;
constexpr std::size_t RequiredStates = 4000; ///< Per seed range.
constexpr ExplorerNoise Noise {20, 5, 4, 3, 60};
/// As in the registries: silence after which a voter is removed, and silence of the leader after which a
/// member asks to join.
constexpr Base::Duration RemovalDelay = milliseconds(4000);
constexpr Base::Duration LeaderSilenceUntilJoin = milliseconds(2000);
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
        , totals_(totals)
    {
    }

private:
    struct PendingReply
    {
        std::size_t node = 0;
        std::uint64_t incarnation = 0; ///< Of the node when it asked.
        JoinAnswer answer = JoinAnswer::AskAgain;
    };

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
        return isolatedNode_ < cluster_.size()
               && (message.from == idOf(isolatedNode_) || message.to == idOf(isolatedNode_));
    }

    std::string idOf(std::size_t index) const { return cluster_.member(index, true).nodeId; }

    /// Lets time pass without new faults while lasting ones persist, so that silent nodes are removed.
    void runWithoutNewFaults(Base::Duration time)
    {
        std::set<std::size_t> isolated;
        if (isolatedNode_ < cluster_.size())
            isolated.insert(isolatedNode_);
        for (Base::Duration passed {}; passed < time && cluster_.violations.empty();
             passed += milliseconds(30)) {
            cluster_.run(milliseconds(30), isolated);
            timePassed();
        }
    }

    // Runs the membership logic that each registry runs in its tick.
    void timePassed() override
    {
        for (std::size_t index = 0; index < cluster_.size(); ++index) {
            if (cluster_.node(index) == nullptr)
                continue;
            if (cluster_.node(index)->isLeader(cluster_.now()))
                runLeader(index);
            else
                requestJoin(index);
        }
        deliverJoinReplies();
    }

    void runLeader(std::size_t index)
    {
        auto &node = *cluster_.node(index);
        const auto status = node.status(cluster_.now());
        auto next = MembershipPlanner::next(status);
        if (!next) {
            next = MembershipPlanner::withoutGone(status, 2 * tolerated_ + 1, RemovalDelay);
            totals_.removals += next ? 1 : 0;
        }
        if (next && node.proposeMembership(cluster_.now(), *next))
            cluster_.takeReady(index);
    }

    void requestJoin(std::size_t index)
    {
        const auto status = cluster_.node(index)->status(cluster_.now());
        const auto self = cluster_.member(index, false);
        Base::Duration silence {};
        bool isMember = false;
        for (const auto &member : status.members) {
            silence = std::max(silence, member.silentFor);
            isMember = isMember || Consensus::identityOf(member.member) == Consensus::identityOf(self);
        }
        const bool leaderLost = status.leaderId.empty() || silence > LeaderSilenceUntilJoin;
        const auto leader = cluster_.leader();
        if ((isMember && !leaderLost) || leader == cluster_.size() || index == isolatedNode_
            || leader == isolatedNode_)
            return;
        handleJoin(leader, index, self);
    }

    void handleJoin(std::size_t leader, std::size_t applicant, const Wire::RaftMember &self)
    {
        auto &node = *cluster_.node(leader);
        const auto status = node.status(cluster_.now());
        // Before an entry of its own term is applied, a leader may not know the newest membership.
        if (cluster_.store(leader).termAt(status.appliedIndex) != status.term)
            return;
        const auto &store = cluster_.store(applicant);
        const bool holdsLog = store.snapshot().has_value() || store.lastIndex() > 0;
        const auto step = MembershipPlanner::join(status, self, holdsLog);
        if (step.answer == JoinAnswer::Add && node.proposeMembership(cluster_.now(), step.membership))
            cluster_.takeReady(leader);
        pendingReplies_.push_back({applicant, self.incarnation, step.answer});
    }

    // Replies may be late: the node may have a new incarnation by then.
    void deliverJoinReplies()
    {
        const auto replies = std::exchange(pendingReplies_, {});
        for (const auto &reply : replies) {
            if (chance(30)) {
                pendingReplies_.push_back(reply);
                continue;
            }
            const bool current = cluster_.member(reply.node, false).incarnation == reply.incarnation;
            if (reply.answer != JoinAnswer::SetLogAside || !current || cluster_.node(reply.node) == nullptr)
                continue;
            // Only injected disk losses are tolerated; the repair must not also take the log of a committed
            // voter.
            if (isCommittedVoter(reply.node))
                cluster_.violations.push_back(fmt::format("voter {} sets its log aside", idOf(reply.node)));
            cluster_.wipe(reply.node);
            cluster_.restart(reply.node);
            ++totals_.logsSetAside;
        }
    }

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

    // The next disks may be lost once the cluster has recovered: all committed voters are present, and
    // there are enough of them to tolerate the next loss.
    void wipeRandomDisks()
    {
        std::size_t voters = 0;
        for (const auto &member : cluster_.committedMembership().members) {
            if (!member.voter)
                continue;
            ++voters;
            if (!isCurrent(member))
                return;
        }
        if (voters < 2 * tolerated_ + 1)
            return;
        for (std::size_t count = 1 + random_.below(tolerated_); count > 0; --count) {
            cluster_.wipe(anyNode());
            ++totals_.disksLost;
        }
    }

    bool isCommittedVoter(std::size_t index) const
    {
        const auto &members = cluster_.committedMembership().members;
        return std::find(members.begin(), members.end(), cluster_.member(index, true)) != members.end();
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
        return cluster_.isFullyRepaired() && cluster_.applied(0).ends_with("last,");
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
    Totals &totals_;
    std::size_t isolatedNode_ = SIZE_MAX; ///< Isolated node; none if it is not a valid index.
    std::vector<PendingReply> pendingReplies_;
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
