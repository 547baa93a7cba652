// Losses of disks and planned replacements of registries, as close to each other as the platform allows.

#include "LibConsensus/NodeIdentity.h"
#include "LibControl/RepairingCluster.h"

#include <algorithm>
#include <cstdlib>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <unordered_set>

namespace {

using Base::milliseconds;
using Base::seconds;

constexpr std::uint64_t FirstSeed = 20'261'205;
/// Overridden by the environment variable DAISYROUTE_EXPLORER_EPISODES for long runs by hand.
constexpr unsigned Episodes = 20;
constexpr unsigned EventsPerEpisode = 12;
constexpr std::size_t RequiredStates = 800;
constexpr unsigned LateReplyPercent = 30;
constexpr Base::Duration Tick = milliseconds(30);
/// A VM counts as lost for this long after it is back, or has started for the first time.
constexpr Base::Duration CatchUpTime = seconds(4);
constexpr std::int64_t LongestOutageMs = 3000;
constexpr Base::Duration RecoveryBound = seconds(15);

/// One schedule of losses from one seed. At most `tolerated` VMs are lost at any time; one that is lost may
/// be lost again.
class Schedule
{
public:
    explicit Schedule(std::uint64_t seed)
        : random_(seed)
        , tolerated_(1 + seed % 2)
        , cluster_(static_cast<unsigned>(2 * tolerated_ + 1 + seed % 3 / 2), seed * 1013)
        , registries_(cluster_, tolerated_, random_, LateReplyPercent)
        , lostUntil_(cluster_.size())
    {
    }

    /// Returns what went wrong, or an empty text.
    std::string run(std::unordered_set<std::size_t> &states)
    {
        pass(seconds(2));
        for (unsigned event = 0; event < EventsPerEpisode && failure_.empty(); ++event) {
            const auto roll = random_.below(100);
            if (roll < 55)
                loseDisk();
            else if (roll < 70)
                losePower();
            else
                replace();
            // From the next moment to well behind the catch-up time.
            pass(milliseconds(static_cast<std::int64_t>(random_.below(random_.below(2) == 0 ? 400 : 6000))));
            (void)cluster_.propose(std::min(cluster_.leader(), cluster_.size() - 1),
                                   fmt::format("{}", event));
            states.insert(cluster_.stateHash());
        }
        recover();
        states.insert(states_.begin(), states_.end());
        return failure_.empty() ? failure_ : fmt::format("{}: {}", failure_, history_);
    }

private:
    /// Lets time pass, brings lost VMs back when they are due, and checks the membership after each tick.
    void pass(Base::Duration time)
    {
        for (const auto end = cluster_.now() + time; cluster_.now() < end && failure_.empty();) {
            for (std::size_t index = 0; index < cluster_.size(); ++index) {
                if (cluster_.node(index) == nullptr && cluster_.now() >= backAt(index))
                    cluster_.restart(index);
            }
            registries_.run(Tick);
            states_.insert(cluster_.stateHash());
            check();
        }
    }

    Base::Instant backAt(std::size_t index) const { return lostUntil_[index] - CatchUpTime; }

    bool isLost(std::size_t index) const
    {
        return !cluster_.isRetired(index) && cluster_.now() < lostUntil_[index];
    }

    /// Whether another VM may be lost now: a lost one may be lost again, because it counts once.
    bool mayLose(std::size_t index) const
    {
        std::size_t others = 0;
        for (std::size_t other = 0; other < cluster_.size(); ++other)
            others += other != index && isLost(other) ? 1 : 0;
        return !cluster_.isRetired(index) && others < tolerated_;
    }

    void lose(std::size_t index)
    {
        const auto outage = milliseconds(50 + static_cast<std::int64_t>(random_.below(LongestOutageMs)));
        lostUntil_[index] = cluster_.now() + outage + CatchUpTime;
    }

    void loseDisk()
    {
        // Half of the losses hit a VM that is lost already, as one with a broken disk does at each start.
        auto index = random_.below(cluster_.size());
        for (std::size_t other = 0; other < cluster_.size() && random_.below(2) == 0; ++other)
            index = isLost(other) ? other : index;
        if (!mayLose(index))
            return;
        history_ += fmt::format(" {} disk of {},", at(), index);
        cluster_.wipe(index);
        lose(index);
    }

    void losePower()
    {
        const auto index = random_.below(cluster_.size());
        if (!mayLose(index) || cluster_.node(index) == nullptr)
            return;
        history_ += fmt::format(" {} power of {},", at(), index);
        cluster_.crash(index);
        lose(index);
    }

    /// Planned: the successor first, and the stop signal once it has had its time. It takes the place of its
    /// predecessor.
    void replace()
    {
        const auto index = random_.below(cluster_.size());
        const bool isQuiet = [&] {
            for (std::size_t other = 0; other < cluster_.size(); ++other) {
                if (isLost(other))
                    return false;
            }
            return true;
        }();
        if (!isQuiet || cluster_.isRetired(index) || cluster_.node(index) == nullptr)
            return;
        const auto successor = cluster_.addNode();
        lostUntil_.resize(cluster_.size());
        lostUntil_[successor] = cluster_.now() + CatchUpTime;
        history_ += fmt::format(" {} adds {} for {},", at(), successor, index);
        pass(CatchUpTime);
        history_ += fmt::format(" {} stops {},", at(), index);
        registries_.beginLeaving(index);
    }

    /// A majority of the committed voters must be able to come back, or nobody can ever change the membership
    /// again.
    void check()
    {
        std::size_t voters = 0;
        std::size_t returning = 0;
        for (const auto &member : cluster_.committedMembership().members) {
            voters += member.voter ? 1 : 0;
            returning += member.voter && canReturn(member) ? 1 : 0;
        }
        if (returning * 2 <= voters)
            failure_ = fmt::format("only {} of {} voters can come back at {}", returning, voters, at());
        if (!cluster_.violations.empty())
            failure_ = cluster_.violations.front();
    }

    bool canReturn(const Wire::RaftMember &member) const
    {
        for (std::size_t index = 0; index < cluster_.size(); ++index) {
            const bool same =
                Consensus::identityOf(cluster_.member(index, true)) == Consensus::identityOf(member);
            if (same && !cluster_.isRetired(index))
                return true;
        }
        return false;
    }

    void recover()
    {
        pass(milliseconds(LongestOutageMs) + CatchUpTime + RecoveryBound);
        if (!failure_.empty())
            return;
        (void)cluster_.propose(std::min(cluster_.leader(), cluster_.size() - 1), "last");
        pass(seconds(2));
        for (std::size_t index = 0; index < cluster_.size() && failure_.empty(); ++index) {
            if (!cluster_.isRetired(index) && !cluster_.applied(index).ends_with("last,"))
                failure_ = fmt::format("node {} did not recover", index);
        }
    }

    std::int64_t at() const { return (cluster_.now() - Base::Instant {}) / milliseconds(1); }

    Base::RandomSource random_;
    std::size_t tolerated_;
    SimulatedCluster cluster_;
    RepairingCluster registries_;
    std::vector<Base::Instant> lostUntil_; ///< By node.
    std::unordered_set<std::size_t> states_;
    std::string failure_;
    std::string history_;
};

} // namespace

// One disk lost again and again, or one lost right after a planned replacement, left half of the voters
// unable to answer ever again, and the cluster without a leader for good.
TEST(LossExplorer, MajorityCanAlwaysComeBack)
{
    const auto *const chosen = std::getenv("DAISYROUTE_EXPLORER_EPISODES"); // NOLINT(concurrency-mt-unsafe)
    const auto episodes = chosen != nullptr ? std::strtoul(chosen, nullptr, 10) : Episodes;
    std::unordered_set<std::size_t> states;
    for (auto seed = FirstSeed; seed < FirstSeed + episodes; ++seed) {
        const auto failure = Schedule(seed).run(states);
        ASSERT_TRUE(failure.empty()) << "seed " << seed << ": " << failure;
    }
    fmt::print("distinct states {}\n", states.size());
    EXPECT_GE(states.size(), RequiredStates);
}
