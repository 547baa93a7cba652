#include "LibControl/RepairingCluster.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace {

using Base::milliseconds;
using Base::seconds;

constexpr std::uint64_t Seed = 7;
constexpr unsigned LateReplyPercent = 30;

/// Registries of a deployment that tolerates the loss of one VM.
class Registries
{
public:
    explicit Registries(unsigned size)
        : cluster_(size, Seed)
        , logic_(cluster_, 1, random_, LateReplyPercent)
    {
        logic_.run(seconds(2));
    }

    void run(Base::Duration time) { logic_.run(time); }

    void loseDisk(std::size_t index, Base::Duration downFor)
    {
        cluster_.wipe(index);
        logic_.run(downFor);
        cluster_.restart(index);
    }

    /// Stores a command and reports whether all nodes applied it.
    bool storesAndApplies(const std::string &command)
    {
        if (cluster_.leader() == cluster_.size() || !cluster_.propose(cluster_.leader(), command))
            return false;
        logic_.run(seconds(2));
        for (std::size_t index = 0; index < cluster_.size(); ++index) {
            if (!cluster_.applied(index).ends_with(command + ","))
                return false;
        }
        return true;
    }

    SimulatedCluster &cluster() { return cluster_; }

private:
    Base::RandomSource random_ {Seed};
    SimulatedCluster cluster_;
    RepairingCluster logic_;
};

} // namespace

// One node that loses its disk several times in quick succession must not add up to several lost voters: the
// two others, which are never touched, are a majority of the three.
TEST(MembershipRepair, SurvivesRepeatedLossOfOneDisk)
{
    for (int upMs = 50; upMs <= 2500; upMs += 50) {
        Registries registries(3);
        ASSERT_TRUE(registries.storesAndApplies("before")) << "up for " << upMs << " ms";
        for (int loss = 0; loss < 6; ++loss) {
            registries.loseDisk(2, milliseconds(200));
            registries.run(milliseconds(upMs));
        }
        registries.run(seconds(8));
        EXPECT_TRUE(registries.storesAndApplies("after")) << "up for " << upMs << " ms";
        EXPECT_TRUE(registries.cluster().isFullyRepaired()) << "up for " << upMs << " ms";
        EXPECT_TRUE(registries.cluster().violations.empty()) << registries.cluster().violations.front();
    }
}
