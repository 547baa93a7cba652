// Load patterns of tenants that compete for the same servers.

#include "LibForward/TenantLoad.h"

#include <rapidcheck/gtest.h>
#include <tuple>

using Forward::SharingRecord;
using Tests::milliseconds;
using Tests::TenantLoad;

// One tenant sends eight times its usual, twice what the servers can run together with the others.
TEST_F(TenantLoad, HotTenantDoesNotDelayOthers)
{
    EXPECT_LT(othersInTime(false, {2}, true), othersInTime(false, {2}, false) - 0.02);
    EXPECT_GE(othersInTime(true, {2}, true), othersInTime(true, {2}, false) - 0.02);
    EXPECT_EQ(refusedAfterSend, 0U);
}

TEST_F(TenantLoad, TwoHotTenantsDoNotDelayOthers)
{
    EXPECT_LT(othersInTime(false, {1, 3}, true), othersInTime(false, {1, 3}, false) - 0.02);
    EXPECT_GE(othersInTime(true, {1, 3}, true), othersInTime(true, {1, 3}, false) - 0.02);
}

// The same with gathers over all services.
TEST_F(TenantLoad, HotTenantOfGathersDoesNotDelayOthers)
{
    EXPECT_LT(othersInTime(false, {2}, true, 0, "/g/x"), othersInTime(false, {2}, false, 0, "/g/x") - 0.02);
    EXPECT_GE(othersInTime(true, {2}, true, 0, "/g/x"), othersInTime(true, {2}, false, 0, "/g/x") - 0.02);
}

// The hot tenant's callers send what was refused again at once, three times.
TEST_F(TenantLoad, CallersThatRepeatAtOnceGainNothing)
{
    const auto calm = othersInTime(true, {2}, false);
    const auto once = othersInTime(true, {2}, true);
    const auto servedOnce = hotServed;
    const auto repeated = othersInTime(true, {2}, true, 3);
    EXPECT_LE(hotServed.inTimeShare(), servedOnce.inTimeShare() + 0.02);
    EXPECT_GE(repeated, calm - 0.02);
    EXPECT_GE(repeated, once - 0.02);
}

// Twice as much arrives as the servers can run, from all tenants alike and for long.
TEST_F(TenantLoad, NoTenantStarvesUnderLastingOverload)
{
    useTenants();
    const auto served = play(usualDemand(2.0 * Capacity), Base::seconds(6));
    const auto all = sum(served);
    fmt::print("all: in time {:.3f}, served {:.3f}\n", all.inTimeShare(), all.servedShare());
    EXPECT_GE(all.servedShare(), 0.45);
    for (const auto &tenant : served)
        EXPECT_GE(tenant.servedShare(), 0.5 * all.servedShare()) << tenant.asked;
}

// Nearly everything that is served under a lasting overload must be in time.
TEST_F(TenantLoad, OverloadIsServedInTime)
{
    const auto demands = usualDemand(1.4 * Capacity);
    const auto unshared = sum(play(demands, Base::seconds(4)));
    useTenants();
    useOptions({"dc-a", 1, 0.2, 1000.0});
    const auto shared = sum(play(demands, Base::seconds(4)));
    fmt::print("in time: one queue {:.3f}, shared {:.3f}\n", unshared.inTimeShare(), shared.inTimeShare());
    EXPECT_GE(shared.inTimeShare(), unshared.inTimeShare() - 0.02);
}

// Urgent requests alone are more than the servers can run. The others must keep half of the mean share.
TEST_F(TenantLoad, LowRankKeepsItsFloor)
{
    useTenants();
    auto demands = usualDemand(1.2 * Capacity);
    for (const auto &demand : usualDemand(0.8 * Capacity, "/low/x"))
        demands.push_back(demand);
    const auto served = play(demands, Base::seconds(6));
    const auto split = served.begin() + Tenants;
    const auto urgent = sum({served.begin(), split});
    const auto low = sum({split, served.end()});
    const auto all = sum(served);
    fmt::print("urgent {:.3f}, low {:.3f}, all {:.3f}\n", urgent.servedShare(), low.servedShare(),
               all.servedShare());
    EXPECT_GE(low.servedShare(), 0.5 * all.servedShare());
    EXPECT_GT(urgent.servedShare(), low.servedShare());
}

// Requests on public routes have no tenant. They are a kind of their own and must not starve either.
TEST_F(TenantLoad, RequestsWithoutTenantDoNotStarve)
{
    useTenants();
    auto demands = usualDemand(1.0 * Capacity);
    demands.push_back({Tenants, 1.0 * Capacity, "/s/x"});
    const auto served = play(demands, Base::seconds(6));
    fmt::print("without tenant {:.3f}, all {:.3f}\n", served.back().servedShare(), sum(served).servedShare());
    EXPECT_GE(served.back().servedShare(), 0.5 * sum(served).servedShare());
}

// A request that makes room for another must not have been sent, and its answer says so.
TEST_F(TenantLoad, MakesRoomOnlyWithWhatWasNotSent)
{
    useTenants();
    auto demands = usualDemand(0.9 * Capacity);
    demands[0].perSecond *= 8.0;
    play(demands, Base::seconds(4));
    std::map<Forward::ExchangeId, unsigned> sent;
    for (const auto &send : sends)
        ++sent[send.exchange];
    unsigned replaced = 0;
    for (const auto &answer : answers) {
        const auto &outcome = answer.outcome;
        if (outcome.sharing.result != SharingRecord::Result::RefusedForOther)
            continue;
        ++replaced;
        EXPECT_EQ(sent.count(answer.exchange), 0U);
        EXPECT_EQ(Base::errorAnswer(outcome.error).runState, Base::RunState::NotRun);
        EXPECT_TRUE(outcome.retryAfter.has_value());
        EXPECT_EQ(outcome.cause, "refused for a tenant below its share");
        EXPECT_TRUE(outcome.sharing.aboveShare);
    }
    EXPECT_GT(replaced, 0U);
    EXPECT_EQ(refusedAfterSend, 0U);
}

// Without tenants nothing is kept, and the order is that of rank, then what can be in time, then deadline.
RC_GTEST_FIXTURE_PROP(TenantLoad, OrderWithoutTenantsIsUnchanged, ())
{
    const auto rankOf = [](std::uint32_t rank) { return fmt::format("/r{}/", rank); };
    auto configuration = makeTable()->configuration();
    for (std::uint32_t rank = 0; rank < 3; ++rank) {
        auto route = configuration.routes[1];
        route.name = fmt::format("rank{}", rank);
        route.prefix = rankOf(rank);
        route.rank = rank;
        route.latencyTarget = milliseconds(40 + 60 * rank);
        configuration.routes.push_back(route);
    }
    table = std::make_shared<const Route::RouteTable>(std::move(configuration));
    struct Key
    {
        const Route::RouteRule *route = nullptr;
        Base::Instant answerBy;
        Base::Instant deadline;
        Forward::ExchangeId id = 0;
    };
    std::map<std::string, Forward::RouteTimes> times;
    std::map<Forward::ExchangeId, const Route::RouteRule *> routes;
    std::vector<Key> waiting;
    std::map<Forward::AttemptId, Base::Instant> sentAt;
    const auto noteSends = [&] {
        for (const auto &send : sends)
            sentAt.try_emplace(send.attempt, now);
    };
    const auto count = *rc::gen::inRange(5, 40);
    for (int index = 0; index < count; ++index) {
        now += milliseconds(*rc::gen::inRange(0, 4));
        const auto *route = table->find("h", rankOf(*rc::gen::inRange<std::uint32_t>(0, 3)) + "x");
        times.try_emplace(route->name, route->latencyTarget);
        const auto left = milliseconds(*rc::gen::inRange(500, 900));
        const auto id = core->begin(now, {table, route, left, {.network = milliseconds(10)}});
        collect();
        noteSends();
        routes[id] = route;
        const bool refused = !answers.empty() && answers.back().exchange == id;
        const bool sent = !sends.empty() && sends.back().exchange == id;
        if (!refused && !sent)
            waiting.push_back({route, now + route->latencyTarget - milliseconds(10), now + left, id});
    }
    RC_ASSERT(!waiting.empty());
    // Each reply frees one slot, for the first in the order of that moment.
    for (std::size_t replied = 0; replied < sends.size() && !waiting.empty(); ++replied) {
        now += milliseconds(*rc::gen::inRange(0, 20));
        const auto send = sends[replied];
        const auto *route = routes.at(send.exchange);
        times.at(route->name).add(now - sentAt.at(send.attempt));
        const auto before = sends.size();
        reply(send.attempt, success());
        noteSends();
        std::stable_sort(waiting.begin(), waiting.end(), [&](const Key &left, const Key &right) {
            const auto keyOf = [&](const Key &key) {
                return std::tuple(key.route->rank, now + times.at(key.route->name).mean() > key.answerBy,
                                  key.deadline);
            };
            return keyOf(left) < keyOf(right);
        });
        RC_ASSERT(sends.size() == before + 1);
        RC_ASSERT(sends.back().exchange == waiting.front().id);
        waiting.erase(waiting.begin());
    }
    RC_ASSERT(core->sharedServices() == 0U);
}
