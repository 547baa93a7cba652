#include "LibForward/BackendTable.h"

#include "LibForward/ForwardFixture.h"

using Forward::BackendTable;
using Tests::serverRecord;

namespace {

constexpr Base::Duration Mean = Base::milliseconds(10);
/// Targets are set to several times the usual latency.
constexpr Base::Duration Target = Base::milliseconds(60);
constexpr std::uint32_t Share = 4;
const Base::Instant Start {Base::milliseconds(1'000'000)};

Wire::ServerList listOf(std::vector<Wire::ServerRecord> servers)
{
    return {std::move(servers), 1, 0};
}

} // namespace

// A drained or vanished server that still gets work breaks the promise about leaving servers.
TEST(BackendTable, GivesNoWorkToServersThatLeave)
{
    BackendTable table(1, "dc-a");
    auto leaving = serverRecord("b", "s", 2);
    leaving.state = Wire::ServerState::Draining;
    table.update(Start, listOf({serverRecord("a", "s", 1), leaving}));
    EXPECT_EQ(table.eligibleCount("s"), 1U);
    for (int i = 0; i < 20; ++i)
        EXPECT_EQ(table.choose(Start, "s", {}, Share, Mean, Target)->record.id, "a");
}

// The list is read page by page; a server that moves between pages during one read must not be lost.
TEST(BackendTable, KeepsAServerThatOneReadLacks)
{
    BackendTable table(1, "dc-a");
    table.update(Start, listOf({serverRecord("a", "s", 1)}));
    table.update(Start, listOf({}));
    EXPECT_EQ(table.eligibleCount("s"), 1U);
    table.update(Start, listOf({}));
    EXPECT_EQ(table.eligibleCount("s"), 0U);
}

// A vanished server stays listed for seconds while its address belongs to another one. Requests that go there
// count as load on the other server's service (csf-waxroute trouble-3: 718 such requests in one day).
TEST(BackendTable, GivesNoWorkToAServerWhoseAddressIsTaken)
{
    BackendTable table(1, "dc-a");
    table.update(Start, listOf({serverRecord("old", "s", 1), serverRecord("x", "s", 2)}));
    table.update(Start + Base::seconds(1), listOf({serverRecord("old", "s", 1), serverRecord("x", "s", 2),
                                                   serverRecord("new", "t", 1)}));
    EXPECT_EQ(table.eligibleCount("s"), 1U);
    EXPECT_EQ(table.eligibleCount("t"), 1U);
}

// In one read only the starts tell which of two servers at one address is the older one.
TEST(BackendTable, ComparesStartsOfServersThatAppearTogether)
{
    BackendTable table(1, "dc-a");
    auto young = serverRecord("a-young", "t", 1);
    young.bornAt = 2000;
    auto old = serverRecord("b-old", "s", 1);
    old.bornAt = 1000;
    table.update(Start, listOf({old, young}));
    EXPECT_EQ(table.eligibleCount("t"), 1U);
    EXPECT_EQ(table.eligibleCount("s"), 0U);
    BackendTable unknown(1, "dc-a");
    unknown.update(Start, listOf({serverRecord("a", "t", 1), serverRecord("b", "s", 1)}));
    EXPECT_EQ(unknown.eligibleCount("t") + unknown.eligibleCount("s"), 2U);
}

// Pauses: an attempt that has been open for several times the mean shows that its server has stopped.
TEST(BackendTable, GoesRoundAServerThatStalls)
{
    BackendTable table(1, "dc-a");
    table.update(Start, listOf({serverRecord("a", "s", 1), serverRecord("b", "s", 2)}));
    const auto stalled = table.choose(Start, "s", {}, Share, Mean, Target);
    BackendTable::noteSent(*stalled, Start);
    const auto later = Start + Base::milliseconds(40);
    for (int i = 0; i < 20; ++i)
        EXPECT_NE(table.choose(later, "s", {}, Share, Mean, Target), stalled);
    BackendTable::noteEnded(*stalled, Start);
    BackendTable::noteReply(later, *stalled, Base::milliseconds(10), Mean);
    int chosen = 0;
    for (int i = 0; i < 50; ++i)
        chosen += table.choose(later, "s", {}, Share, Mean, Target) == stalled ? 1 : 0;
    EXPECT_GT(chosen, 0);
}

// Grey failure: good health, part of the requests failed.
TEST(BackendTable, PrefersServersWithoutErrorsAndForgetsThemInTime)
{
    BackendTable table(1, "dc-a");
    table.update(Start, listOf({serverRecord("a", "s", 1), serverRecord("b", "s", 2)}));
    const auto failing = table.choose(Start, "s", {}, Share, Mean, Target);
    BackendTable::noteError(Start, *failing);
    for (int i = 0; i < 20; ++i)
        EXPECT_NE(table.choose(Start, "s", {}, Share, Mean, Target), failing);
    const auto later = Start + Base::seconds(20);
    int chosen = 0;
    for (int i = 0; i < 50; ++i)
        chosen += table.choose(later, "s", {}, Share, Mean, Target) == failing ? 1 : 0;
    EXPECT_GT(chosen, 0);
}

// Servers limit their connections, and refuse what comes beyond.
TEST(BackendTable, KeepsToTheConnectionShare)
{
    BackendTable table(1, "dc-a");
    table.update(Start, listOf({serverRecord("a", "s", 1)}));
    const auto backend = table.choose(Start, "s", {}, 1, Mean, Target);
    BackendTable::noteSent(*backend, Start);
    EXPECT_EQ(table.choose(Start, "s", {}, 1, Mean, Target), nullptr);
    EXPECT_NE(table.choose(Start, "s", {}, 2, Mean, Target), nullptr);
}

// Work beyond a server's slots would wait in its queue, where the first one goes first whatever its urgency.
TEST(BackendTable, KeepsToTheSlotsOfAServer)
{
    BackendTable table(1, "dc-a");
    table.update(Start, listOf({serverRecord("a", "s", 1)}));
    constexpr std::uint32_t ManyConnections = 30;
    for (int count = 0; count < 2; ++count) {
        const auto backend = table.choose(Start, "s", {}, ManyConnections, Mean, Target);
        ASSERT_NE(backend, nullptr);
        BackendTable::noteSent(*backend, Start);
    }
    EXPECT_EQ(table.choose(Start, "s", {}, ManyConnections, Mean, Target), nullptr);
    // Attempts that hang say nothing about the slots; the server may have started anew.
    EXPECT_NE(table.choose(Start + BackendTable::MinSilence, "s", {}, ManyConnections, Mean, Target),
              nullptr);
}

// Bytes between data centres cost money and time; equal servers elsewhere are left for when they are needed.
TEST(BackendTable, PrefersServersOfItsOwnDataCentre)
{
    BackendTable table(1, "dc-a");
    auto far = serverRecord("far", "s", 2);
    far.dataCentre = "dc-b";
    table.update(Start, listOf({serverRecord("near", "s", 1), far}));
    for (int i = 0; i < 20; ++i)
        EXPECT_EQ(table.choose(Start, "s", {}, Share, Base::milliseconds(5), Target)->record.id, "near");
    const auto near = table.choose(Start, "s", {}, Share, Mean, Target);
    for (int i = 0; i < 3; ++i)
        BackendTable::noteSent(*near, Start);
    EXPECT_EQ(table.choose(Start, "s", {}, Share, Mean, Target)->record.id, "far");
}

// inyuguti-search-grown: 57% of the requests left the data centre for servers that were a little faster,
// although the target left time for slower ones.
TEST(BackendTable, LeavesTheDataCentreOnlyWhenTheTargetIsShort)
{
    BackendTable table(1, "dc-a");
    auto far = serverRecord("far", "s", 2);
    far.dataCentre = "dc-b";
    table.update(Start, listOf({serverRecord("near", "s", 1), far}));
    const auto near = table.choose(Start, "s", {}, Share, Mean, Target);
    ASSERT_EQ(near->record.id, "near");
    for (int i = 0; i < 20; ++i)
        BackendTable::noteReply(Start, *near, Base::milliseconds(16), Mean);
    for (int i = 0; i < 20; ++i) {
        EXPECT_EQ(table.choose(Start, "s", {}, Share, Mean, Base::milliseconds(120))->record.id, "near");
        EXPECT_EQ(table.choose(Start, "s", {}, Share, Mean, Base::milliseconds(15))->record.id, "far");
    }
}

// One reply during a pause made a server look slow, and as it got no more work it stayed so for good.
TEST(BackendTable, ForgetsASlowReplyInTime)
{
    BackendTable table(1, "dc-a");
    table.update(Start, listOf({serverRecord("a", "s", 1), serverRecord("b", "s", 2)}));
    const auto paused = table.choose(Start, "s", {}, Share, Mean, Target);
    BackendTable::noteReply(Start, *paused, Base::milliseconds(150), Mean);
    const auto chosenAt = [&](Base::Instant now) {
        int chosen = 0;
        for (int i = 0; i < 50; ++i)
            chosen += table.choose(now, "s", {}, Share, Mean, Target) == paused ? 1 : 0;
        return chosen;
    };
    EXPECT_EQ(chosenAt(Start), 0);
    EXPECT_GT(chosenAt(Start + Base::seconds(10)), 0);
}

// What a server reported as running has mostly ended after a service time or two.
TEST(BackendTable, TrustsAReportOfLoadForAServiceTime)
{
    BackendTable table(1, "dc-a");
    table.update(Start, listOf({serverRecord("a", "s", 1), serverRecord("b", "s", 2)}));
    const auto busy = table.choose(Start, "s", {}, Share, Mean, Target);
    BackendTable::noteLoad(Start, *busy, {2, 2, 2, 1.0});
    const auto other = table.choose(Start, "s", {}, Share, Mean, Target);
    EXPECT_NE(other, busy);
    const auto expected = [](Base::Instant now, const Forward::BackendPointer &backend) {
        return BackendTable::expectedMilliseconds(now, *backend, Mean);
    };
    EXPECT_GT(expected(Start, busy), 2 * expected(Start, other));
    const auto later = Start + 3 * Mean;
    EXPECT_NEAR(expected(later, busy), expected(later, other), 0.1);
}
