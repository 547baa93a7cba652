#include "LibForward/BackendTable.h"
#include "LibForward/ForwardFixture.h"

using Forward::BackendTable;
using Tests::ForwardFixture;
using Tests::serverRecord;

namespace {

constexpr Base::Duration Mean = Base::milliseconds(10);
constexpr Base::Duration Target = Base::milliseconds(60);
constexpr std::uint32_t Share = 4;
const Base::Instant Start {Base::milliseconds(1'000'000)};

Wire::ServerRecord recordIn(const std::string &id, const std::string &dataCentre)
{
    auto record = serverRecord(id, "s", 1);
    record.address = id + ":80";
    record.dataCentre = dataCentre;
    return record;
}

Wire::ServerList listOf(std::vector<Wire::ServerRecord> servers)
{
    return {std::move(servers), 1, 0};
}

} // namespace

TEST(EvacuatedServers, GetNothingUntilTheEndOfTheEvacuation)
{
    BackendTable table(1, "dc-a");
    table.update(Start, listOf({recordIn("a", "dc-a"), recordIn("b", "dc-b")}));
    const auto inA = table.choose(Start, "s", {}, Share, Mean, Target);
    ASSERT_EQ(inA->record.id, "a");
    table.setEvacuated(Start, {"dc-a"});
    EXPECT_EQ(table.evacuatedCount(), 1U);
    EXPECT_FALSE(inA->keepsConnections());
    EXPECT_EQ(table.eligibleCount(Start, "s"), 1U);
    for (int count = 0; count < 20; ++count)
        EXPECT_EQ(table.choose(Start, "s", {}, Share, Mean, Target)->record.id, "b");
    table.setEvacuated(Start, {"dc-a", "dc-b"});
    EXPECT_EQ(table.choose(Start, "s", {}, Share, Mean, Target), nullptr);
    EXPECT_FALSE(table.hasUntried(Start, "s", {}));
    EXPECT_FALSE(table.resumesAt(Start, "s").has_value());
    EXPECT_EQ(table.attemptsPerMillisecond(Start, "s", Share, Mean), 0.0);
    table.setEvacuated(Start, {});
    EXPECT_EQ(table.eligibleCount(Start, "s"), 2U);
    EXPECT_TRUE(inA->keepsConnections());
}

// Servers that the list names later, or anew, belong to the evacuated data centre as well.
TEST(EvacuatedServers, NewServersGetNothingEither)
{
    BackendTable table(1, "dc-a");
    table.setEvacuated(Start, {"dc-a"});
    table.update(Start, listOf({recordIn("a", "dc-a")}));
    EXPECT_EQ(table.eligibleCount(Start, "s"), 0U);
    EXPECT_EQ(table.evacuatedCount(), 1U);
    auto moved = recordIn("a", "dc-b");
    table.update(Start, listOf({moved}));
    EXPECT_EQ(table.eligibleCount(Start, "s"), 1U);
    EXPECT_EQ(table.evacuatedCount(), 0U);
}

// A server that is paused in an evacuated data centre promises nothing when its pause ends.
TEST(EvacuatedServers, EndOfAPauseIsNoPromise)
{
    BackendTable table(1, "dc-a");
    table.update(Start, listOf({recordIn("a", "dc-a")}));
    BackendTable::markPaused(Start, *table.choose(Start, "s", {}, Share, Mean, Target), Base::seconds(1));
    EXPECT_TRUE(table.resumesAt(Start, "s").has_value());
    table.setEvacuated(Start, {"dc-a"});
    EXPECT_FALSE(table.resumesAt(Start, "s").has_value());
}

// The servers of a data centre that comes back may have become cold just before; the list is late.
TEST(EvacuatedServers, CountAsColdAfterTheEndOfTheEvacuation)
{
    BackendTable table(1, "dc-a");
    table.update(Start, listOf({recordIn("a", "dc-a"), recordIn("b", "dc-b")}));
    const auto inA = table.choose(Start, "s", {}, Share, Mean, Target);
    table.setEvacuated(Start, {"dc-a"});
    const auto end = Start + Base::seconds(20);
    table.setEvacuated(end, {});
    table.update(end, listOf({recordIn("a", "dc-a"), recordIn("b", "dc-b")}));
    EXPECT_TRUE(inA->isCold(end + Base::seconds(3)));
    EXPECT_FALSE(inA->isCold(end + BackendTable::PresumedColdTime));
    EXPECT_FALSE(table.choose(end, "s", {{inA}}, Share, Mean, Target)->isCold(end));
}

// Work that waits for a slot in the data centre goes elsewhere or is refused as not run, at once.
TEST_F(ForwardFixture, WaitingWorkLeavesTheEvacuatedDataCentre)
{
    for (int count = 0; count < 200; ++count)
        begin("/s/x");
    ASSERT_GT(core->legsWaiting(), 0U);
    std::set<std::string, std::less<>> dataCentres;
    for (const auto &sent : sends)
        dataCentres.insert(sent.backend->record.dataCentre);
    const auto sentBefore = sends.size();
    const auto answeredBefore = answers.size();
    const auto waiting = core->legsWaiting();
    core->setEvacuated(now, dataCentres);
    collect();
    EXPECT_EQ(sends.size(), sentBefore);
    EXPECT_EQ(core->legsWaiting(), 0U);
    ASSERT_EQ(answers.size(), answeredBefore + waiting);
    for (auto index = answeredBefore; index < answers.size(); ++index)
        EXPECT_EQ(Base::errorAnswer(answers[index].outcome.error).httpStatus, 503);
}
