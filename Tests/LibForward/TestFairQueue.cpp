#include "LibForward/FairQueue.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using Base::Instant;
using Base::milliseconds;
using Forward::FairQueue;
using Forward::RoomClaim;

namespace {

constexpr std::string_view Names[] = {"a", "b", "c", "d"};

RoomClaim claimOf(std::string_view tenant, std::uint64_t id, double weight = 1.0, std::uint32_t rank = 0)
{
    RoomClaim claim;
    claim.tenant = tenant;
    claim.rank = rank;
    claim.weight = weight;
    claim.deadline = Instant(milliseconds(static_cast<std::int64_t>(1000 + id)));
    claim.id = id;
    return claim;
}

/// Serves `count` claims and returns how many of each tenant they were.
std::map<std::string, unsigned> serve(FairQueue &queue, std::vector<RoomClaim> &waiting, unsigned count)
{
    std::map<std::string, unsigned> served;
    while (count-- > 0) {
        const auto index = queue.next(waiting);
        if (!index)
            break;
        const auto claim = waiting[*index];
        waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(*index));
        queue.recordSent(claim, waiting);
        ++served[std::string(claim.tenant)];
    }
    return served;
}

} // namespace

// Tenants that always have work waiting get room by their weights, whatever they have waiting.
TEST(FairQueue, ServesByWeight)
{
    FairQueue queue;
    std::vector<RoomClaim> waiting;
    for (std::uint64_t id = 1; id <= 900; ++id)
        waiting.push_back(claimOf("heavy", id, 3.0));
    for (std::uint64_t id = 901; id <= 1200; ++id)
        waiting.push_back(claimOf("light", id, 1.0));
    const auto served = serve(queue, waiting, 400);
    EXPECT_NEAR(served.at("heavy"), 300, 12);
    EXPECT_NEAR(served.at("light"), 100, 12);
}

// What a tenant has used while nobody else waited is not held against it, and idle time saves up a small
// burst only.
TEST(FairQueue, IdleTenantSavesUpASmallBurst)
{
    FairQueue queue;
    for (std::uint64_t id = 1; id <= 1000; ++id)
        queue.recordSent(claimOf("busy", id), {});
    std::vector<RoomClaim> waiting;
    for (std::uint64_t id = 1001; id <= 1100; ++id) {
        waiting.push_back(claimOf("busy", id));
        waiting.push_back(claimOf("idle", 1000 + id));
    }
    const auto served = serve(queue, waiting, 40);
    EXPECT_GE(served.at("idle"), 20U);
    EXPECT_LE(served.at("idle"), 25U);
}

// A late claim yields to claims that can be in time, of any tenant.
TEST(FairQueue, LateClaimsGoLast)
{
    FairQueue queue;
    auto late = claimOf("a", 1);
    late.late = true;
    const std::vector<RoomClaim> waiting {late, claimOf("b", 2), claimOf("b", 3)};
    EXPECT_EQ(queue.next(waiting), 1U);
}

// A new request of a tenant below its share does not count what another has waiting beyond its share.
TEST(FairQueue, BacklogOfAnotherTenantIsNotAhead)
{
    FairQueue queue;
    std::vector<RoomClaim> waiting;
    for (std::uint64_t id = 1; id <= 500; ++id)
        waiting.push_back(claimOf("hot", id));
    const auto calm = claimOf("calm", 501);
    const auto hot = claimOf("hot", 502);
    EXPECT_LE(queue.costAheadMs(calm, waiting), 5.0);
    EXPECT_GE(queue.costAheadMs(hot, waiting), 500.0);
    EXPECT_FALSE(queue.isAboveShare(calm, waiting));
    waiting.push_back(calm);
    EXPECT_TRUE(queue.isAboveShare(hot, waiting));
}

// What makes room is the last claim of the tenant that is furthest above its share, never one that was sent.
TEST(FairQueue, NamesTheLastClaimAboveShare)
{
    FairQueue queue;
    std::vector<RoomClaim> waiting;
    for (std::uint64_t id = 1; id <= 10; ++id)
        waiting.push_back(claimOf("hot", id));
    waiting.push_back(claimOf("calm", 11));
    EXPECT_EQ(queue.furthestAboveShare(0, waiting), 9U);
    waiting[9].nothingSent = false;
    EXPECT_EQ(queue.furthestAboveShare(0, waiting), 8U);
    EXPECT_FALSE(queue.furthestAboveShare(1, waiting).has_value());
}

// Lower ranks wait for urgent ones, but keep the floor that their demand gives them.
TEST(FairQueue, LowerRankKeepsAFloor)
{
    FairQueue queue;
    std::vector<RoomClaim> waiting;
    for (std::uint64_t id = 1; id <= 400; ++id) {
        waiting.push_back(claimOf("a", id, 1.0, id % 2 == 0 ? 0 : 5));
        queue.recordArrival(Instant(milliseconds(1)), waiting.back());
    }
    unsigned low = 0;
    for (unsigned turn = 0; turn < 100; ++turn) {
        const auto index = *queue.next(waiting);
        const auto claim = waiting[index];
        waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(index));
        queue.recordSent(claim, waiting);
        low += claim.rank == 5 ? 1 : 0;
    }
    // Half of the demand: at least half as often as all is a quarter of the room.
    EXPECT_GE(low, 25U);
    EXPECT_LT(low, 50U);
}

// Thousands of tenants that send once leave no account behind.
TEST(FairQueue, AccountsAreBounded)
{
    FairQueue queue;
    std::vector<std::string> names;
    for (std::uint64_t id = 1; id <= 20000; ++id)
        names.push_back(fmt::format("tenant-{}", id % 10000));
    for (std::uint64_t id = 1; id <= names.size(); ++id) {
        auto claim = claimOf(names[id - 1], id);
        queue.recordSent(claim, {});
        queue.recordSent(claimOf("busy", id), {});
    }
    EXPECT_LE(queue.accountCount(), 100U);
}

// Whatever waits, of whichever tenants and ranks, everything is served once.
RC_GTEST_PROP(FairQueue, ServesEveryClaimOnce, ())
{
    FairQueue queue;
    const auto count = *rc::gen::inRange<std::uint64_t>(1, 60);
    std::vector<RoomClaim> waiting;
    for (std::uint64_t id = 1; id <= count; ++id) {
        auto claim = claimOf(Names[*rc::gen::inRange(0, 4)], id, 0.1 * *rc::gen::inRange(1, 50),
                             *rc::gen::inRange<std::uint32_t>(0, 3));
        claim.costMs = *rc::gen::inRange(1, 50);
        claim.late = *rc::gen::arbitrary<bool>();
        queue.recordArrival(Instant(milliseconds(static_cast<std::int64_t>(id))), claim);
        RC_ASSERT(queue.costAheadMs(claim, waiting) >= 0.0);
        waiting.push_back(claim);
    }
    const auto served = serve(queue, waiting, 1000);
    std::uint64_t total = 0;
    for (const auto &[tenant, number] : served)
        total += number;
    RC_ASSERT(total == count);
    RC_ASSERT(waiting.empty());
}
