#include "LibForward/GatherLoad.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace {

/// Two gathers over the same shards, one of them with half the latency target.
Route::Configuration gathers(std::size_t shards, Base::Duration target)
{
    Route::Configuration configuration;
    for (const auto latencyTarget : {target, target / 2}) {
        auto &route = configuration.routes.emplace_back();
        route.latencyTarget = latencyTarget;
        route.gather.emplace();
        for (std::size_t shard = 0; shard < shards; ++shard)
            route.gather->shards.push_back(fmt::format("s{}", shard));
    }
    configuration.routes.emplace_back().latencyTarget = Base::milliseconds(5);
    return configuration;
}

constexpr Forward::VmCapacity Small {0.12, 14.0};

} // namespace

// Deployments with small VMs, as seen by their callers. With 90 shards on a tenth of a core, answers to every
// second request were late; with 20 shards on a quarter of a core, nothing was lost.
TEST(GatherLoad, SmallVmsSuitNarrowGathersOnly)
{
    EXPECT_FALSE(Forward::suitsGathers(gathers(90, Base::milliseconds(100)), Small));
    EXPECT_FALSE(Forward::suitsGathers(gathers(90, Base::milliseconds(120)), Small));
    EXPECT_TRUE(Forward::suitsGathers(gathers(87, Base::milliseconds(120)), {0.12, 20.0}));
    EXPECT_TRUE(Forward::suitsGathers(gathers(20, Base::milliseconds(100)), {0.25, 1000.0}));
    EXPECT_TRUE(Forward::suitsGathers(gathers(90, Base::milliseconds(100)), {0.32, 70.0}));
}

TEST(GatherLoad, GrowsWithShardsAndWithLessCapacity)
{
    const auto few = gathers(10, Base::milliseconds(100));
    const auto many = gathers(100, Base::milliseconds(100));
    EXPECT_NEAR(Forward::gatherLoad(many, Small), 10.0 * Forward::gatherLoad(few, Small), 1e-9);
    EXPECT_GT(Forward::gatherLoad(few, {0.06, 14.0}), Forward::gatherLoad(few, Small));
    EXPECT_GT(Forward::gatherLoad(few, {0.12, 7.0}), Forward::gatherLoad(few, Small));
    EXPECT_EQ(Forward::gatherLoad({}, Small), 0.0);
}
